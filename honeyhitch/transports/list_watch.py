"""Keeps a watch open on a list in discovery's format: of endpoints, or of the instances of a fleet."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from http import HTTPStatus
from typing import Generic, TypeVar

from honeyhitch import logs
from honeyhitch.protocols import http1
from honeyhitch.protocols.buffer import Buffer
from honeyhitch.protocols.discovery import (
    WatchError,
    WatchParser,
    encode_list_request,
    encode_watch_request,
)
from honeyhitch.protocols.discovery_backoff import WatchBackoff
from honeyhitch.protocols.list_parser import ParsedList, RowCollector
from honeyhitch.transports import sockets

log = logs.get_logger()
# A watch that ended, and an overloaded agent: the revision that was applied last remains valid.
HARMLESS_STATUSES = (HTTPStatus.OK, HTTPStatus.SERVICE_UNAVAILABLE)
CLOSED_BEFORE_RESPONSE = "expected a complete response, but the agent closed the connection"


C = TypeVar("C", bound=RowCollector)


class ListWatch(Generic[C]):
    """Requests lists and changes from the agent at one address (HOST:PORT), and applies each on arrival.

    `new_collector` returns the collector for the rows of the next list or change. `on_update` is called with
    each of them once it is complete, and raises an exception if it cannot be used. `revision` returns the
    revision of the update that was applied last. With `long_lists`, a complete list may take any time as long
    as bytes arrive; otherwise all of it must be received within one response timeout. `on_response` is called
    when bytes of a watch have been applied, and when a watch has failed.
    """

    def __init__(
        self,
        address: str,
        loop: asyncio.AbstractEventLoop,
        backoff: WatchBackoff,
        revision: Callable[[], int],
        new_collector: Callable[[], C],
        on_update: Callable[[ParsedList[C]], None],
        long_lists: bool = False,
        on_response: Callable[[], None] = lambda: None,
    ) -> None:
        self.address = address
        self.loop = loop
        self.backoff = backoff
        self.revision = revision
        self.new_collector = new_collector
        self.on_update = on_update
        self.long_lists = long_lists
        self.on_response = on_response

    async def run(self) -> None:
        """Watch until cancelled; updates that were applied stay in use while the agent sends nothing."""
        await asyncio.sleep(self.backoff.first_pause())
        while True:
            started_at = self.loop.time()
            answered = False
            try:
                await self._watch()
            except Exception as error:  # noqa: BLE001  # no input of an agent may end this loop
                answered = _is_rejection(error)
                self._record_failure(error)
                self.on_response()
                log.warning("watch.broken", error=f"{type(error).__name__}: {error}", key=self.address)
            await asyncio.sleep(self.backoff.next_pause(self.loop.time() - started_at, answered))

    def _record_failure(self, error: Exception) -> None:
        if isinstance(error, TimeoutError):
            self.backoff.timed_out()
        elif isinstance(error, OSError):
            # The agent may have ended, and another one may come up at its address, which does not know the
            # revision that was applied last or means another one by it.
            self.backoff.request_full_list()
        status = error.status if isinstance(error, WatchError) else 0
        if not isinstance(error, OSError) and status not in HARMLESS_STATUSES:
            self.backoff.request_full_list()

    async def _watch(self) -> None:
        """Run one watch. Raise an exception when it breaks, ends, or receives nothing in time."""
        parser = WatchParser(self.new_collector)
        buffer = Buffer()
        self.backoff.watch_opened()
        deadline = self._read_deadline()
        sock = await connect_before(self.loop, self.address, deadline)
        try:
            if self.backoff.full_list:
                # An agent that replaced another agent may number its revisions differently: a new change
                # could have the same revision as a change that this process has applied already.
                self.on_update(await self._fetch_complete_list(sock, buffer, deadline))
                self.backoff.list_received()
                deadline = self._read_deadline()
            await self.loop.sock_sendall(sock, encode_watch_request(self.address, self.revision()))
            while True:
                data = await self._receive(
                    sock, buffer, deadline, "the agent closed the connection of a watch"
                )
                for update in parser.feed(data):
                    self.on_update(update)
                self.on_response()
                deadline = self._read_deadline()
        finally:
            sock.close()

    def _read_deadline(self) -> float:
        return self.loop.time() + self.backoff.read_timeout

    async def _receive(
        self, sock: socket.socket, buffer: Buffer, deadline: float, closed_reason: str
    ) -> bytes:
        """Read once and return the bytes of a watch.

        Raise TimeoutError at `deadline` on the loop's clock, and ConnectionResetError with `closed_reason` at
        the end of the connection.
        """
        async with asyncio.timeout_at(deadline):
            count = await sockets.read(self.loop, sock, buffer)
        if not count:
            raise ConnectionResetError(closed_reason)
        self.backoff.data_received()
        return buffer.consume_all()

    async def _fetch_complete_list(
        self, sock: socket.socket, buffer: Buffer, deadline: float
    ) -> ParsedList[C]:
        """Request and return the complete list.

        Raise TimeoutError if the response is late, OSError if the connection breaks, and WatchError if the
        response is not a valid list.
        """
        parser = WatchParser(self.new_collector)
        lists: list[ParsedList[C]] = []
        await self.loop.sock_sendall(sock, encode_list_request(self.address))
        while not parser.complete:
            async with asyncio.timeout_at(deadline):
                count = await sockets.read(self.loop, sock, buffer)
            if count:
                lists += parser.feed(buffer.consume_all())
            elif not parser.connection_closed():
                raise ConnectionResetError(CLOSED_BEFORE_RESPONSE)
            if self.long_lists:
                self.backoff.data_received()
                deadline = self._read_deadline()
        self.backoff.data_received()
        if len(lists) != 1:
            raise WatchError(f"list of {self.address}: expected one object, got {len(lists)}")
        return lists[0]


def _is_rejection(error: Exception) -> bool:
    """Return whether the agent rejected the request, or sent a complete list that cannot be used.

    A response that is malformed or ends early is as good as a broken connection: the agent may hold a change.
    """
    if isinstance(error, WatchError):
        return error.status not in (0, HTTPStatus.OK)
    return not isinstance(error, (OSError, http1.HttpError))


async def connect_before(loop: asyncio.AbstractEventLoop, address: str, deadline: float) -> socket.socket:
    """Connect to HOST:PORT. Raise TimeoutError at `deadline` on the loop's clock, or OSError."""
    async with asyncio.timeout_at(deadline):
        return await sockets.connect(loop, address)


async def send_request(
    loop: asyncio.AbstractEventLoop,
    sock: socket.socket,
    buffer: Buffer,
    request: bytes,
    max_bytes: int = http1.MAX_RESPONSE_BYTES,
) -> http1.Response:
    """Send one request on an open connection and return its response of at most `max_bytes` bytes.

    Raise OSError if the connection breaks, and HttpError if the response is malformed or too long.
    """
    parser = http1.ResponseParser(max_bytes=max_bytes)
    await loop.sock_sendall(sock, request)
    while True:
        count = await sockets.read(loop, sock, buffer)
        response = parser.feed(buffer.consume_all()) if count else parser.connection_closed()
        if response is not None:
            return response
        if not count:
            raise ConnectionResetError(CLOSED_BEFORE_RESPONSE)
