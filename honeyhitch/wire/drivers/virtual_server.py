"""The virtual server: it accepts clients and lets a session answer what they send."""

from __future__ import annotations

import asyncio
import socket
import sys
from collections.abc import Callable
from typing import Protocol

from honeyhitch.memory.buffer import Buffer, Overflow
from honeyhitch.wire.drivers import sockets
from honeyhitch.wire.drivers.tasks import Tasks

BACKLOG = 1024
PAUSE = 0.05  # seconds before accepting again when no descriptor was left


class ServerSession(Protocol):
    """What answers on one connection."""

    opening: bytes  # sent before anything is read
    closing: bool

    def receive(self, buffer: Buffer) -> bytes:
        """Replies to what the buffer holds whole."""


class VirtualServer:
    """One listener and its clients' connections."""

    def __init__(
        self, address: tuple[str, int], session: Callable[[], ServerSession], most: int, tasks: Tasks
    ) -> None:
        self.session, self.most, self.tasks, self.loop = session, most, tasks, tasks.loop
        self.clients: dict[socket.socket, bool] = {}  # true while a request is half read
        self.listener = sockets.fresh()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(address)
        self.listener.listen(BACKLOG)

    @property
    def port(self) -> int:
        """Where it listens."""
        return int(self.listener.getsockname()[1])

    async def accept(self) -> None:
        """Accept clients for ever."""
        while True:
            try:
                sock, _ = await self.loop.sock_accept(self.listener)
            except OSError as error:  # no descriptor left: those in use will come free
                print(f"accept: {error}", file=sys.stderr)
                await asyncio.sleep(PAUSE)
                continue
            if len(self.clients) >= self.most:
                sock.close()
                continue
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.clients[sock] = False
            self.tasks.start(self._serve(sock))

    async def _serve(self, sock: socket.socket) -> None:
        session, buffer = self.session(), Buffer()
        try:
            if session.opening:
                await self.loop.sock_sendall(sock, session.opening)
            while not session.closing and await sockets.read(self.loop, sock, buffer):
                replies = session.receive(buffer)
                self.clients[sock] = len(buffer) > 0
                if replies:
                    await self.loop.sock_sendall(sock, replies)
        except (OSError, Overflow):
            pass  # the client went away, or kept sending without end
        finally:
            self.clients.pop(sock, None)
            sock.close()

    def close_idle(self) -> None:
        """Close connections on which nothing is half read: the client's next request goes elsewhere."""
        for sock, busy in self.clients.items():
            if not busy and sockets.quiet(sock):
                sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Stop listening."""
        self.listener.close()
