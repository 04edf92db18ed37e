"""Keeps the watch on discovery open, and sends the notices of the platform's front."""

from __future__ import annotations

import asyncio
import socket
from random import Random
from typing import Any

from honeyhitch import logs
from honeyhitch.dispatcher.dispatcher import Dispatcher
from honeyhitch.journal.transactions import Transaction
from honeyhitch.protocols import http1, notices
from honeyhitch.protocols.buffer import Buffer
from honeyhitch.protocols.discovery_backoff import ResponseTimeout, WatchBackoff
from honeyhitch.time_units import SECOND
from honeyhitch.transports import sockets
from honeyhitch.transports.list_watch import ListWatch, connect_before, send_request
from honeyhitch.transports.tasks import Tasks

log = logs.get()


class Discovery:
    """What is said to the platform's agent at one address."""

    def __init__(self, address: str, dispatcher: Dispatcher, tasks: Tasks, rng: Random) -> None:
        self.address, self.dispatcher, self.tasks, self.loop = address, dispatcher, tasks, tasks.loop
        self.rng, self.address_changed = rng, False
        self.pending_notices: list[Transaction] = []
        self.wake = asyncio.Event()
        self.running_tasks: list[asyncio.Task[None]] = []
        self.reads_partial_lists = (
            False  # only some members of lists are kept, and so they are read piece by piece
        )

    def start(self, watch: bool = True) -> None:
        """Send notices from now on, and keep the watch open; without `watch`, from `refetch` on."""
        self.running_tasks = [self.tasks.run_forever(self.notify)]
        if watch:
            self.running_tasks.append(self.tasks.run_forever(self.watch))

    def move(self, address: str) -> None:
        """The agent is at another address now; notices that the old one has not confirmed go there too."""
        for work in self.running_tasks:
            work.cancel()
        self.address, self.address_changed = address, True
        self.start()

    def refetch(self) -> None:
        """Ask for the whole list anew: entries that were left out of the last one are wanted now."""
        if self.running_tasks:
            self.address_changed = True
            for watch in self.running_tasks[1:]:
                watch.cancel()
            self.running_tasks[1:] = [self.tasks.run_forever(self.watch)]

    async def watch(self) -> None:
        """Watch for ever; the pool as it is stays in use while discovery is silent."""
        pool, settings = self.dispatcher.pool, self.dispatcher.settings
        known, grace = len(pool.endpoints) > len(pool.pinned), settings.drain_grace / SECOND
        asking = WatchBackoff(self.rng, settings.instance_count, known, self.address_changed, grace)
        # One without an id is let through, so that the list is refused for it as any other would be.
        wanted = (lambda row: "id" not in row or pool.keeps_row(row)) if self.reads_partial_lists else None
        await ListWatch(
            self.address, self.loop, asking, lambda: pool.revision, self._apply_update, wanted
        ).run()

    def _apply_update(self, told: dict[str, Any]) -> None:
        self.dispatcher.apply_list_update(self.dispatcher.pool.update(told))

    def answer(self, transaction: Transaction) -> None:
        """The platform's front: send a notice."""
        self.pending_notices.append(transaction)
        self.wake.set()

    async def notify(self) -> None:
        """Send notices for ever. Those not confirmed go again on another connection: one that says nothing is
        dead, as the agent answers at once, and a second notice of an end does no harm.
        """
        patience = notices.response_timeout()
        while True:
            if not self.pending_notices:
                await self.wake.wait()
            try:
                await self._send_notices(patience)
            except (OSError, http1.HttpError) as error:
                patience.record_failure()
                told = f"{type(error).__name__}: {error}"
                log.warning("notices.unconfirmed", error=told, key=self.address)
                await asyncio.sleep(patience.retry_pause)

    async def _send_notices(self, patience: ResponseTimeout) -> None:
        """Send notices on one connection for as long as it lasts."""
        sock, buffer = (
            await connect_before(self.loop, self.address, self.loop.time() + patience.current),
            Buffer(),
        )
        try:
            while True:
                self.wake.clear()
                while some := self.pending_notices[: notices.MAX_NOTICES_PER_REQUEST]:
                    await self._post_notices(sock, buffer, some, patience)
                    del self.pending_notices[: len(some)]
                    for transaction in some:
                        self.dispatcher.answer_sent(transaction)
                await self.wake.wait()
                if not sockets.is_reusable(sock):
                    return
        finally:
            sock.close()

    async def _post_notices(
        self, sock: socket.socket, buffer: Buffer, some: list[Transaction], patience: ResponseTimeout
    ) -> None:
        async with asyncio.timeout(patience.current):
            answer = await send_request(self.loop, sock, buffer, notices.encode_request(some, self.address))
        if answer.status != 204:
            raise ConnectionError(f"notices: answered {answer.status}")
        patience.record_response()
