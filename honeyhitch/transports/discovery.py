"""Connections to the platform's agent: the watch on discovery, and notices of messages' final answers."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from random import Random
from typing import Any

from honeyhitch import logs
from honeyhitch.dispatcher.dispatcher import Dispatcher
from honeyhitch.journal.transactions import Transaction
from honeyhitch.protocols import http1, notices
from honeyhitch.protocols.buffer import Buffer
from honeyhitch.protocols.discovery import MAX_LIST_BYTES
from honeyhitch.protocols.discovery_backoff import WatchBackoff
from honeyhitch.time_units import SECOND
from honeyhitch.transports import sockets
from honeyhitch.transports.list_watch import ListLimits, ListWatch, send_request
from honeyhitch.transports.tasks import Tasks

log = logs.get_logger()


class Discovery:
    """The client of the agent at one address (HOST:PORT).

    `pending_notices` holds the transactions whose notices the agent has not confirmed yet. With
    `reads_partial_lists`, lists are parsed incrementally, and only the rows that the pool needs are kept.
    """

    def __init__(self, address: str, dispatcher: Dispatcher, tasks: Tasks, rng: Random) -> None:
        self.address = address
        self.dispatcher = dispatcher
        self.tasks = tasks
        self.loop = tasks.loop
        self.rng = rng
        self.address_changed = False
        self.pending_notices: list[Transaction] = []
        self.notice_added = asyncio.Event()
        self.running_tasks: list[asyncio.Task[None]] = []  # the task for notices, then the task for the watch
        self.reads_partial_lists = False
        self.list_limits = ListLimits()

    def limit_lists(self, max_bytes: int, max_endpoints: int) -> None:
        """Refuse lists of more bytes, and updates after which more endpoints would be listed."""
        self.list_limits = ListLimits(min(MAX_LIST_BYTES, max_bytes), max_endpoints)
        self.dispatcher.pool.max_endpoints = max_endpoints

    def start(self, watch: bool = True) -> None:
        """Start to send notices and to watch; without `watch`, watching starts with `refetch`."""
        self.running_tasks = [self.tasks.run_forever(self.notify)]
        if watch:
            self.running_tasks.append(self.tasks.run_forever(self.watch))

    def move(self, address: str) -> None:
        """Switch to an agent at another address, which also gets the notices not confirmed by the old one."""
        for task in self.running_tasks:
            task.cancel()
        self.address = address
        self.address_changed = True
        self.start()

    def refetch(self) -> None:
        """Request the complete list again, since rows that were left out of the last one are needed now."""
        if not self.running_tasks:
            return
        self.address_changed = True
        for task in self.running_tasks[1:]:
            task.cancel()
        self.running_tasks[1:] = [self.tasks.run_forever(self.watch)]

    async def watch(self) -> None:
        """Watch the endpoint list until cancelled; the pool stays as it is while discovery sends nothing."""
        pool = self.dispatcher.pool
        settings = self.dispatcher.settings
        backoff = WatchBackoff(
            self.rng,
            settings.instance_count,
            has_list=len(pool.endpoints) > len(pool.pinned),
            address_changed=self.address_changed,
            drain_grace=settings.drain_grace / SECOND,
        )
        keep_row = self._keep_row if self.reads_partial_lists else None
        watch = ListWatch(
            self.address,
            self.loop,
            backoff,
            lambda: pool.revision,
            self._apply_update,
            keep_row,
            lambda: self.list_limits,
        )
        await watch.run()

    def _keep_row(self, row: dict[str, Any]) -> bool:
        """Return whether the pool needs a row.

        A row without an id is kept, too, so that the list is rejected as it would be without filtering.
        """
        return "id" not in row or self.dispatcher.pool.accepts_row(row)

    def _apply_update(self, update: dict[str, Any]) -> None:
        self.dispatcher.apply_list_update(self.dispatcher.pool.update(update))

    def answer(self, transaction: Transaction) -> None:
        """Send the agent a notice of the final answer, as the frontend for clients that use RESP."""
        self.pending_notices.append(transaction)
        self.notice_added.set()

    async def notify(self) -> None:
        """Send notices until cancelled.

        Unconfirmed notices are sent again. The agent responds immediately, so a connection without a response
        is considered dead, and a second notice of the same final answer is harmless.
        """
        response_timeout = notices.response_timeout()
        while True:
            if not self.pending_notices:
                self.notice_added.clear()
                await self.notice_added.wait()
            batch = self.pending_notices[: notices.MAX_NOTICES_PER_REQUEST]
            try:
                async with asyncio.timeout(response_timeout.current):
                    await self._post_notices(batch)
            except (OSError, http1.HttpError) as error:
                response_timeout.record_failure()
                log.warning("notices.unconfirmed", error=f"{type(error).__name__}: {error}", key=self.address)
                await asyncio.sleep(response_timeout.retry_pause)
                continue
            response_timeout.record_response()
            del self.pending_notices[: len(batch)]
            for transaction in batch:
                self.dispatcher.answer_sent(transaction)

    async def _post_notices(self, batch: list[Transaction]) -> None:
        """Send notices in one request, on a connection that carries no other request.

        On a shared connection, a response that is delivered twice would confirm notices that the agent did
        not receive. Raise OSError if the connection breaks or the agent rejects the request, and HttpError if
        the response is malformed.
        """
        sock = await sockets.connect(self.loop, self.address)
        try:
            request = notices.encode_request(batch, self.address)
            response = await send_request(self.loop, sock, Buffer(), request)
        finally:
            sock.close()
        if response.status != HTTPStatus.NO_CONTENT:
            raise ConnectionError(
                f"notices: expected HTTP status {HTTPStatus.NO_CONTENT}, got {response.status}"
            )
