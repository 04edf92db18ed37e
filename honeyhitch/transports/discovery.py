"""The watch on discovery at the platform's agent, which also gets the notices of final answers."""

from __future__ import annotations

import asyncio
from random import Random

from honeyhitch.dispatcher.dispatcher import Dispatcher
from honeyhitch.endpoints.row_collector import EndpointRows
from honeyhitch.protocols.discovery_backoff import WatchBackoff, longest_first_pause
from honeyhitch.protocols.list_parser import ParsedList
from honeyhitch.time_units import SECOND
from honeyhitch.transports.list_watch import ListWatch
from honeyhitch.transports.notice_sender import NoticeSender
from honeyhitch.transports.tasks import Tasks

# The pause before the complete list is requested again because endpoints that were left out would fit now. It
# doubles with each such request that leaves endpoints out again.
MIN_REFETCH_SECONDS = 1.0
MAX_REFETCH_SECONDS = 60.0
# The agent answers at once. What it has not sent by then is not to be expected soon.
CHANGE_SECONDS = 0.05  # after a response has begun
SILENCE_SECONDS = 0.3  # after a request


class Discovery:
    """The client of the agent at one address (HOST:PORT).

    With `long_lists`, the agent may take any time to send a complete list, of which the pool needs a part.
    """

    def __init__(self, address: str, dispatcher: Dispatcher, tasks: Tasks, rng: Random) -> None:
        self.address = address
        self.dispatcher = dispatcher
        self.tasks = tasks
        self.loop = tasks.loop
        self.rng = rng
        self.address_changed = False
        self.notices = NoticeSender(address, dispatcher, tasks.loop)
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
        self.running_tasks = [self.tasks.run_forever(self.notices.run)]
        if watch:
            self.running_tasks.append(self.tasks.run_forever(self.watch))

    def move(self, address: str) -> None:
        """Switch to an agent at another address, which also gets the notices not confirmed by the old one."""
        for task in self.running_tasks:
            task.cancel()
        self.address = self.notices.address = address
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
