"""Keeps the watch on discovery open, and sends the notices of the platform's front."""

from __future__ import annotations

import asyncio
import socket
from random import Random

from honeyhitch import logs
from honeyhitch.core import Dispatcher
from honeyhitch.memory.buffer import Buffer
from honeyhitch.memory.transactions import Transaction
from honeyhitch.wire import http1, notices
from honeyhitch.wire.asking import Asking, Patience
from honeyhitch.wire.discovery import MOST_LINE, Watch, list_request, watch_request, whole_list
from honeyhitch.wire.drivers import sockets
from honeyhitch.wire.drivers.tasks import Tasks

log = logs.get()
NS = 1_000_000_000


class Discovery:
    """What is said to the platform's agent at one address."""

    def __init__(self, address: str, dispatcher: Dispatcher, tasks: Tasks, rng: Random) -> None:
        self.address, self.dispatcher, self.tasks, self.loop = address, dispatcher, tasks, tasks.loop
        self.rng, self.moved = rng, False
        self.waiting: list[Transaction] = []
        self.wake = asyncio.Event()
        self.works: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Keep the watch open and send notices from now on."""
        self.works = [self.tasks.keep(self.watch), self.tasks.keep(self.notify)]

    def move(self, address: str) -> None:
        """The agent is at another address now; notices that the old one has not confirmed go there too."""
        for work in self.works:
            work.cancel()
        self.address, self.moved = address, True
        self.start()

    async def watch(self) -> None:
        """Watch for ever; the pool as it is stays in use while discovery is silent."""
        pool, settings = self.dispatcher.pool, self.dispatcher.s
        known, grace = len(pool.members) > len(pool.fixed), settings.drain_grace / NS
        asking = Asking(self.rng, settings.instances, known, self.moved, grace)
        await asyncio.sleep(asking.first())
        while True:
            began, answered = self.loop.time(), False
            try:
                await self._watch(asking)
            except Exception as error:
                # A break, an end, or an agent that is busy leaves our revision good; nothing else need.
                answered = not isinstance(error, OSError)
                if isinstance(error, TimeoutError):
                    asking.silent()
                if answered and getattr(error, "status", 0) not in (200, 503):
                    asking.unheard()
                log.warning("watch.broken", error=f"{type(error).__name__}: {error}", key=self.address)
            await asyncio.sleep(asking.again(self.loop.time() - began, answered))

    async def _watch(self, asking: Asking) -> None:
        """One watch, till it breaks or falls silent."""
        pool, watch, buffer = self.dispatcher.pool, Watch(), Buffer()
        asking.opens()
        until = self.loop.time() + asking.within
        sock = await self._connect(until)
        try:
            if asking.whole:
                # An agent that took another's place need not go on with its revisions, and would take the old
                # one's number for news that this process has had.
                async with asyncio.timeout_at(until):
                    answer = await self._ask(sock, buffer, list_request(self.address))
                self.dispatcher.news(pool.update(whole_list(answer)))
                asking.listed()
            await self.loop.sock_sendall(sock, watch_request(self.address, pool.revision))
            while True:
                async with asyncio.timeout_at(until):
                    count = await sockets.read(self.loop, sock, buffer)
                if not count:
                    raise ConnectionResetError("the watch ended")
                asking.heard()
                for told in watch.feed(buffer.take()):
                    self.dispatcher.news(pool.update(told))
                until = self.loop.time() + asking.within
        finally:
            sock.close()

    def answer(self, transaction: Transaction) -> None:
        """The platform's front: send a notice."""
        self.waiting.append(transaction)
        self.wake.set()

    async def notify(self) -> None:
        """Send notices for ever. Those not confirmed go again on another connection: one that says nothing is
        dead, as the agent answers at once, and a second notice of an end does no harm.
        """
        patience = notices.patience()
        while True:
            if not self.waiting:
                await self.wake.wait()
            try:
                await self._notify(patience)
            except (OSError, http1.HttpError) as error:
                patience.failed()
                told = f"{type(error).__name__}: {error}"
                log.warning("notices.unconfirmed", error=told, key=self.address)
                await asyncio.sleep(patience.pause)

    async def _notify(self, patience: Patience) -> None:
        """Send notices on one connection for as long as it lasts."""
        sock, buffer = await self._connect(self.loop.time() + patience.within), Buffer()
        try:
            while True:
                self.wake.clear()
                while some := self.waiting[: notices.MOST]:
                    await self._post(sock, buffer, some, patience)
                    del self.waiting[: len(some)]
                    for transaction in some:
                        self.dispatcher.answered(transaction)
                await self.wake.wait()
                if not sockets.quiet(sock):
                    return
        finally:
            sock.close()

    async def _connect(self, by: float) -> socket.socket:
        async with asyncio.timeout_at(by):
            return await sockets.connect(self.loop, self.address)

    async def _post(
        self, sock: socket.socket, buffer: Buffer, some: list[Transaction], patience: Patience
    ) -> None:
        async with asyncio.timeout(patience.within):
            answer = await self._ask(sock, buffer, notices.encode(some, self.address))
        if answer.status != 204:
            raise ConnectionError(f"notices: answered {answer.status}")
        patience.heard()

    async def _ask(self, sock: socket.socket, buffer: Buffer, request: bytes) -> http1.Answer:
        machine = http1.AnswerMachine(most=MOST_LINE)
        await self.loop.sock_sendall(sock, request)
        while True:
            count = await sockets.read(self.loop, sock, buffer)
            answer = machine.feed(buffer.take()) if count else machine.ended()
            if answer is not None:
                return answer
            if not count:
                raise ConnectionResetError("the agent ended the connection before its answer")
