"""Connections to the platform's agent: the watch on discovery, and notices of messages' final answers."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from random import Random

from honeyhitch import logs
from honeyhitch.dispatcher.dispatcher import Dispatcher
from honeyhitch.endpoints.row_collector import EndpointRows
from honeyhitch.journal.transactions import Transaction
from honeyhitch.protocols import http1, notices
from honeyhitch.protocols.buffer import Buffer
from honeyhitch.protocols.discovery_backoff import WatchBackoff, longest_first_pause
from honeyhitch.protocols.list_parser import ParsedList
from honeyhitch.time_units import SECOND
from honeyhitch.transports import sockets
from honeyhitch.transports.list_watch import ListWatch, send_request
from honeyhitch.transports.tasks import Tasks

log = logs.get_logger()
# The pause before the complete list is requested again because endpoints that were left out would fit now. It
# doubles with each such request that leaves endpoints out again.
MIN_REFETCH_SECONDS = 1.0
# The agent answers at once. What it has not sent by then is not to be expected soon.
CHANGE_SECONDS = 0.05  # after a response has begun
SILENCE_SECONDS = 0.3  # after a request
MAX_REFETCH_SECONDS = 60.0


class Discovery:
    """The client of the agent at one address (HOST:PORT).

    `pending_notices` holds the transactions whose notices the agent has not confirmed yet. With `long_lists`,
    the agent may take any time to send a complete list, of which the pool needs only a part.
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
        self.long_lists = False
        self.confirms_known_list = False  # calls wait until the list of the start is confirmed
        self.refetch_pause = MIN_REFETCH_SECONDS
        self.refetch_timer: asyncio.TimerHandle | None = None

    def limit_endpoints(self, max_endpoints: int) -> None:
        """Keep at most this number of listed endpoints, and request those again that would fit now."""
        self.dispatcher.pool.limit_endpoints(max_endpoints)
        self._refetch_left_out()

    def confirm_known_list(self) -> None:
        """Use the list with which the process started once discovery has answered or remains silent."""
        settings = self.dispatcher.settings
        pause = longest_first_pause(settings.instance_count, settings.drain_grace / SECOND)
        self.loop.call_later(pause + SILENCE_SECONDS, self._confirm_now)
        self.confirms_known_list = True

    def _on_response(self) -> None:
        if self.confirms_known_list:
            self.loop.call_later(CHANGE_SECONDS, self._confirm_now)

    def _confirm_now(self) -> None:
        if self.confirms_known_list:
            self.confirms_known_list = False
            self.dispatcher.apply_list_update(self.dispatcher.pool.confirm_known())

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
        watch = ListWatch(
            self.address,
            self.loop,
            backoff,
            lambda: pool.revision,
            pool.new_rows,
            self._apply_update,
            self.long_lists,
            self._on_response,
        )
        await watch.run()

    def _apply_update(self, update: ParsedList[EndpointRows]) -> None:
        pool = self.dispatcher.pool
        self.dispatcher.apply_list_update(pool.apply(update.fields, update.collector))
        if not pool.left_out.count:
            self.refetch_pause = MIN_REFETCH_SECONDS
        self._refetch_left_out()

    def _refetch_left_out(self) -> None:
        """Request the complete list after a pause if the pool has room for endpoints that it left out."""
        if self.refetch_timer is None and self.dispatcher.pool.has_room_for_left_out:
            self.refetch_timer = self.loop.call_later(self.refetch_pause, self._refetch_if_room)
            self.refetch_pause = min(2 * self.refetch_pause, MAX_REFETCH_SECONDS)

    def _refetch_if_room(self) -> None:
        self.refetch_timer = None
        if self.dispatcher.pool.has_room_for_left_out and not self.tasks.stopping:
            self.refetch()

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
