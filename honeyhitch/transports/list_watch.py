"""Keeps one watch on a list in discovery's form open: the pool's members, or the instances of a fleet."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
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


class ListWatch:
    """Asks the agent at one address for lists and changes, and hands each over as it comes.

    `take` is given each list or change in discovery's form, and raises where it cannot be used; `revision` is
    that of what was taken last.
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
        """With `wanted`, only those members of lists are kept for which it is true."""
        self.address, self.loop, self.backoff = address, loop, backoff
        self.revision, self.on_update, self.keep_member = revision, on_update, keep_member

    async def run(self) -> None:
        """Watch for ever; what was taken stays in use while the agent is silent."""
        asking = self.backoff
        await asyncio.sleep(asking.first_pause())
        while True:
            began, answered = self.loop.time(), False
            try:
                await self._watch()
            except Exception as error:
                # A break, an end, or an agent that is busy leaves our revision good; nothing else need.
                answered = not isinstance(error, OSError)
                if isinstance(error, TimeoutError):
                    asking.timed_out()
                if answered and getattr(error, "status", 0) not in (200, 503):
                    asking.request_full_list()
                log.warning("watch.broken", error=f"{type(error).__name__}: {error}", key=self.address)
            await asyncio.sleep(asking.next_pause(self.loop.time() - began, answered))

    async def _watch(self) -> None:
        """One watch, till it breaks or falls silent."""
        asking, watch, buffer = self.backoff, WatchParser(self.keep_member), Buffer()
        asking.watch_opened()
        until = self.loop.time() + asking.read_timeout
        sock = await connect_before(self.loop, self.address, until)
        try:
            if asking.full_list:
                # An agent that took another's place need not go on with its revisions, and would take the old
                # one's number for news that this process has had.
                self.on_update(await self._fetch_complete_list(sock, buffer, until))
                asking.list_received()
                until = self.loop.time() + asking.read_timeout
            await self.loop.sock_sendall(sock, encode_watch_request(self.address, self.revision()))
            while True:
                async with asyncio.timeout_at(until):
                    count = await sockets.read(self.loop, sock, buffer)
                if not count:
                    raise ConnectionResetError("the watch ended")
                asking.data_received()
                for told in watch.feed(buffer.consume_all()):
                    self.on_update(told)
                until = self.loop.time() + asking.read_timeout
        finally:
            sock.close()

    async def _fetch_complete_list(self, sock: socket.socket, buffer: Buffer, until: float) -> dict[str, Any]:
        """The whole list; one that is read piece by piece has to begin by then, and to go on."""
        if self.keep_member is None:
            async with asyncio.timeout_at(until):
                return parse_complete_list(
                    await send_request(self.loop, sock, buffer, encode_list_request(self.address))
                )
        watch, found = WatchParser(self.keep_member), list[dict[str, Any]]()
        await self.loop.sock_sendall(sock, encode_list_request(self.address))
        while not watch.complete:
            async with asyncio.timeout_at(until):
                count = await sockets.read(self.loop, sock, buffer)
            if not count:
                raise ConnectionResetError("the agent ended the connection before its answer")
            self.backoff.data_received()
            found += watch.feed(buffer.consume_all())
            until = self.loop.time() + self.backoff.read_timeout
        if len(found) != 1:
            raise WatchError(f"list: expected one object, got {len(found)}")
        return found[0]


async def connect_before(loop: asyncio.AbstractEventLoop, address: str, deadline: float) -> socket.socket:
    """Connect to HOST:PORT until a time of the loop's clock; TimeoutError after it."""
    async with asyncio.timeout_at(deadline):
        return await sockets.connect(loop, address)


async def send_request(
    loop: asyncio.AbstractEventLoop, sock: socket.socket, buffer: Buffer, request: bytes
) -> http1.Response:
    """Send one request on an open connection, and read its answer."""
    machine = http1.ResponseParser(max_bytes=MAX_LIST_BYTES)
    await loop.sock_sendall(sock, request)
    while True:
        count = await sockets.read(loop, sock, buffer)
        answer = machine.feed(buffer.consume_all()) if count else machine.connection_closed()
        if answer is not None:
            return answer
        if not count:
            raise ConnectionResetError("the agent ended the connection before its answer")
