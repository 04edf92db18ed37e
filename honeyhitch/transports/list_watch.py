"""Keeps one watch on a list in discovery's form open: the endpoints, or the instances of a fleet."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from honeyhitch import logs
from honeyhitch.protocols import http1
from honeyhitch.protocols.buffer import Buffer
from honeyhitch.protocols.discovery import (
    MAX_LIST_BYTES,
    WatchError,
    WatchParser,
    encode_list_request,
    encode_watch_request,
    parse_complete_list,
)
from honeyhitch.protocols.discovery_backoff import WatchBackoff
from honeyhitch.transports import sockets

log = logs.get()
# The end of a watch, and a busy agent: our revision is still good.
HARMLESS_STATUSES = (HTTPStatus.OK, HTTPStatus.SERVICE_UNAVAILABLE)
ENDED_BEFORE_RESPONSE = "the agent ended the connection before its answer"


class ListWatch:
    """Requests lists and changes from the agent at one address (HOST:PORT), and applies each as it comes.

    `on_update` is given each list or change in discovery's form, and raises if it cannot be used; `revision`
    gives that of the last one applied. With `keep_member`, only members for which it is true are kept.
    """

    def __init__(
        self,
        address: str,
        loop: asyncio.AbstractEventLoop,
        backoff: WatchBackoff,
        revision: Callable[[], int],
        on_update: Callable[[dict[str, Any]], None],
        keep_member: Callable[[dict[str, Any]], bool] | None = None,
    ) -> None:
        self.address = address
        self.loop = loop
        self.backoff = backoff
        self.revision = revision
        self.on_update = on_update
        self.keep_member = keep_member

    async def run(self) -> None:
        """Watch, and never return; what was applied stays in use while the agent is silent."""
        await asyncio.sleep(self.backoff.first_pause())
        while True:
            began = self.loop.time()
            answered = False
            try:
                await self._watch()
            except Exception as error:  # noqa: BLE001  # whatever an agent sends, the watch goes on
                answered = not isinstance(error, OSError)
                self._record_failure(error, answered)
                log.warning("watch.broken", error=f"{type(error).__name__}: {error}", key=self.address)
            await asyncio.sleep(self.backoff.next_pause(self.loop.time() - began, answered))

    def _record_failure(self, error: Exception, answered: bool) -> None:
        if isinstance(error, TimeoutError):
            self.backoff.timed_out()
        status = error.status if isinstance(error, WatchError) else 0
        if answered and status not in HARMLESS_STATUSES:
            self.backoff.request_full_list()

    async def _watch(self) -> None:
        """One watch, until it breaks or falls silent."""
        parser = WatchParser(self.keep_member)
        buffer = Buffer()
        self.backoff.watch_opened()
        deadline = self._read_deadline()
        sock = await connect_before(self.loop, self.address, deadline)
        try:
            if self.backoff.full_list:
                # An agent that replaced another one need not continue its revisions: a change could carry the
                # number of one that this process has applied already.
                self.on_update(await self._fetch_complete_list(sock, buffer, deadline))
                self.backoff.list_received()
                deadline = self._read_deadline()
            await self.loop.sock_sendall(sock, encode_watch_request(self.address, self.revision()))
            while True:
                data = await self._receive(sock, buffer, deadline, "the watch ended")
                for update in parser.feed(data):
                    self.on_update(update)
                deadline = self._read_deadline()
        finally:
            sock.close()

    def _read_deadline(self) -> float:
        return self.loop.time() + self.backoff.read_timeout

    async def _receive(
        self, sock: socket.socket, buffer: Buffer, deadline: float, reason_at_end: str
    ) -> bytes:
        """Read once. Raises TimeoutError, and ConnectionResetError at the end of the connection."""
        async with asyncio.timeout_at(deadline):
            count = await sockets.read(self.loop, sock, buffer)
        if not count:
            raise ConnectionResetError(reason_at_end)
        self.backoff.data_received()
        return buffer.consume_all()

    async def _fetch_complete_list(
        self, sock: socket.socket, buffer: Buffer, deadline: float
    ) -> dict[str, Any]:
        """The complete list. One that is parsed incrementally has to begin by then, and must not stall."""
        request = encode_list_request(self.address)
        if self.keep_member is None:
            async with asyncio.timeout_at(deadline):
                return parse_complete_list(await send_request(self.loop, sock, buffer, request))
        parser = WatchParser(self.keep_member)
        lists: list[dict[str, Any]] = []
        await self.loop.sock_sendall(sock, request)
        while not parser.complete:
            lists += parser.feed(await self._receive(sock, buffer, deadline, ENDED_BEFORE_RESPONSE))
            deadline = self._read_deadline()
        if len(lists) != 1:
            raise WatchError(f"list: expected one object, got {len(lists)}")
        return lists[0]


async def connect_before(loop: asyncio.AbstractEventLoop, address: str, deadline: float) -> socket.socket:
    """Connect to HOST:PORT. Raises TimeoutError at `deadline` on the loop's clock, and OSError."""
    async with asyncio.timeout_at(deadline):
        return await sockets.connect(loop, address)


async def send_request(
    loop: asyncio.AbstractEventLoop, sock: socket.socket, buffer: Buffer, request: bytes
) -> http1.Response:
    """Send one request on an open connection, and read its response. Raises OSError and HttpError."""
    parser = http1.ResponseParser(max_bytes=MAX_LIST_BYTES)
    await loop.sock_sendall(sock, request)
    while True:
        count = await sockets.read(loop, sock, buffer)
        response = parser.feed(buffer.consume_all()) if count else parser.connection_closed()
        if response is not None:
            return response
        if not count:
            raise ConnectionResetError(ENDED_BEFORE_RESPONSE)
