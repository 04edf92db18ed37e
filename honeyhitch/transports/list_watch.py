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
    MOST_LINE,
    Watch,
    WatchError,
    list_request,
    watch_request,
    whole_list,
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
        asking: WatchBackoff,
        revision: Callable[[], int],
        take: Callable[[dict[str, Any]], None],
        wanted: Callable[[dict[str, Any]], bool] | None = None,
    ) -> None:
        """With `wanted`, only those members of lists are kept for which it is true."""
        self.address, self.loop, self.backoff = address, loop, asking
        self.revision, self.take, self.wanted = revision, take, wanted

    async def run(self) -> None:
        """Watch for ever; what was taken stays in use while the agent is silent."""
        asking = self.backoff
        await asyncio.sleep(asking.first())
        while True:
            began, answered = self.loop.time(), False
            try:
                await self._watch()
            except Exception as error:
                # A break, an end, or an agent that is busy leaves our revision good; nothing else need.
                answered = not isinstance(error, OSError)
                if isinstance(error, TimeoutError):
                    asking.silent()
                if answered and getattr(error, "status", 0) not in (200, 503):
                    asking.unheard()
                log.warning("watch.broken", error=f"{type(error).__name__}: {error}", key=self.address)
            await asyncio.sleep(asking.next_pause(self.loop.time() - began, answered))

    async def _watch(self) -> None:
        """One watch, till it breaks or falls silent."""
        asking, watch, buffer = self.backoff, Watch(self.wanted), Buffer()
        asking.opens()
        until = self.loop.time() + asking.within
        sock = await connect_by(self.loop, self.address, until)
        try:
            if asking.full_list:
                # An agent that took another's place need not go on with its revisions, and would take the old
                # one's number for news that this process has had.
                self.take(await self._whole_list(sock, buffer, until))
                asking.listed()
                until = self.loop.time() + asking.within
            await self.loop.sock_sendall(sock, watch_request(self.address, self.revision()))
            while True:
                async with asyncio.timeout_at(until):
                    count = await sockets.read(self.loop, sock, buffer)
                if not count:
                    raise ConnectionResetError("the watch ended")
                asking.heard()
                for told in watch.feed(buffer.take()):
                    self.take(told)
                until = self.loop.time() + asking.within
        finally:
            sock.close()

    async def _whole_list(self, sock: socket.socket, buffer: Buffer, until: float) -> dict[str, Any]:
        """The whole list; one that is read piece by piece has to begin by then, and to go on."""
        if self.wanted is None:
            async with asyncio.timeout_at(until):
                return whole_list(await ask(self.loop, sock, buffer, list_request(self.address)))
        watch, found = Watch(self.wanted), list[dict[str, Any]]()
        await self.loop.sock_sendall(sock, list_request(self.address))
        while not watch.ended:
            async with asyncio.timeout_at(until):
                count = await sockets.read(self.loop, sock, buffer)
            if not count:
                raise ConnectionResetError("the agent ended the connection before its answer")
            self.backoff.heard()
            found += watch.feed(buffer.take())
            until = self.loop.time() + self.backoff.within
        if len(found) != 1:
            raise WatchError(f"list: expected one object, got {len(found)}")
        return found[0]


async def connect_by(loop: asyncio.AbstractEventLoop, address: str, by: float) -> socket.socket:
    """Connect to HOST:PORT until a time of the loop's clock; TimeoutError after it."""
    async with asyncio.timeout_at(by):
        return await sockets.connect(loop, address)


async def ask(
    loop: asyncio.AbstractEventLoop, sock: socket.socket, buffer: Buffer, request: bytes
) -> http1.Response:
    """Send one request on an open connection, and read its answer."""
    machine = http1.ResponseParser(most=MOST_LINE)
    await loop.sock_sendall(sock, request)
    while True:
        count = await sockets.read(loop, sock, buffer)
        answer = machine.feed(buffer.take()) if count else machine.ended()
        if answer is not None:
            return answer
        if not count:
            raise ConnectionResetError("the agent ended the connection before its answer")
