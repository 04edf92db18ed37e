"""Keeps the watch on discovery open, and sends the notices of the platform's front."""

from __future__ import annotations

import asyncio
import socket

from honeyhitch.core import Dispatcher
from honeyhitch.memory.buffer import Buffer
from honeyhitch.memory.transactions import Transaction
from honeyhitch.wire import http1, notices
from honeyhitch.wire.discovery import Watch, watch_request
from honeyhitch.wire.drivers import sockets
from honeyhitch.wire.drivers.tasks import Tasks

SILENCE = 5.0  # seconds without even a heartbeat, of which one comes every 2 s
ANSWER = 1.0  # seconds for the answer to notices, which is given at once
MOST_NOTICES = 200  # in one request


class Discovery:
    """What is said to the platform's agent at one address."""

    def __init__(self, address: str, dispatcher: Dispatcher, tasks: Tasks) -> None:
        self.address, self.dispatcher, self.tasks, self.loop = address, dispatcher, tasks, tasks.loop
        self.waiting: list[Transaction] = []
        self.wake = asyncio.Event()

    async def watch(self) -> None:
        """One watch, till it breaks or falls silent; the pool as it is stays in use meanwhile."""
        pool, watch, buffer = self.dispatcher.pool, Watch(), Buffer()
        async with asyncio.timeout(SILENCE):
            sock = await sockets.connect(self.loop, self.address)
        try:
            await self.loop.sock_sendall(sock, watch_request(self.address, pool.revision))
            while True:
                async with asyncio.timeout(SILENCE):
                    count = await sockets.read(self.loop, sock, buffer)
                if not count:
                    raise ConnectionResetError("the watch ended")
                for told in watch.feed(buffer.take()):
                    self.dispatcher.news(pool.update(told))
        finally:
            sock.close()

    def answer(self, transaction: Transaction) -> None:
        """The platform's front: send a notice."""
        self.waiting.append(transaction)
        self.wake.set()

    async def notify(self) -> None:
        """Send notices on one connection for as long as it lasts; those not confirmed go again."""
        if not self.waiting:  # those of a connection that broke must not wait for the next one
            await self.wake.wait()
        sock, buffer, machine = await self._connect(), Buffer(), http1.AnswerMachine()
        try:
            while True:
                self.wake.clear()
                while some := self.waiting[:MOST_NOTICES]:
                    await self._post(sock, buffer, machine, some)
                    del self.waiting[: len(some)]
                    for transaction in some:
                        self.dispatcher.answered(transaction)
                await self.wake.wait()
                if not sockets.quiet(sock):
                    return
        finally:
            sock.close()

    async def _connect(self) -> socket.socket:
        async with asyncio.timeout(ANSWER):
            return await sockets.connect(self.loop, self.address)

    async def _post(
        self,
        sock: socket.socket,
        buffer: Buffer,
        machine: http1.AnswerMachine,
        some: list[Transaction],
    ) -> None:
        machine.fresh()
        async with asyncio.timeout(ANSWER):
            await self.loop.sock_sendall(sock, notices.encode(some, self.address))
            answer = None
            while answer is None:
                count = await sockets.read(self.loop, sock, buffer)
                answer = machine.feed(buffer.take()) if count else machine.ended()
                if not count and answer is None:
                    raise ConnectionResetError("notices: the connection ended before the answer")
        if answer.status != 204:
            raise ConnectionError(f"notices: answered {answer.status}")
