"""A connection as transports read and write it: a plain socket here, or TLS in `tls_channel`."""

from __future__ import annotations

import asyncio
import socket
from typing import Protocol

from honeyhitch.protocols.buffer import Buffer
from honeyhitch.transports import sockets


class Channel(Protocol):
    """One connection to a peer."""

    sock: socket.socket

    async def send(self, data: bytes) -> None:
        """Write all of it. Raises OSError if the connection breaks."""

    async def read(self, buffer: Buffer) -> int:
        """Read once into the buffer; 0 at the end of the connection.

        Raises OSError if it breaks, TlsError among them.
        """

    async def receive(self, buffer: Buffer) -> bytes:
        """Read once, by way of the buffer, which is emptied; no bytes at the end of the connection."""

    def read_available(self, buffer: Buffer) -> bytes:
        """What has come and was not read, without waiting."""

    def is_reusable(self) -> bool:
        """Whether the connection is alive and nothing unexpected has come on it."""

    def close(self) -> None:
        """Close the connection at once."""


class PlainChannel:
    """A socket without encryption."""

    __slots__ = ("loop", "sock")

    def __init__(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
        self.loop = loop
        self.sock = sock

    async def send(self, data: bytes) -> None:
        """Write all of it. Raises OSError if the connection breaks."""
        await self.loop.sock_sendall(self.sock, data)

    async def read(self, buffer: Buffer) -> int:
        """Read once into the buffer; 0 at the end of the connection."""
        return await sockets.read(self.loop, self.sock, buffer)

    async def receive(self, buffer: Buffer) -> bytes:
        """The bytes of one read; none at the end of the connection."""
        return buffer.consume_all() if await sockets.read(self.loop, self.sock, buffer) else b""

    def read_available(self, buffer: Buffer) -> bytes:
        """What has come and was not read, without waiting."""
        return buffer.consume_all() if sockets.read_available(self.sock, buffer) > 0 else b""

    def is_reusable(self) -> bool:
        """Whether the connection is alive and nothing has come on it."""
        return sockets.is_reusable(self.sock)

    def close(self) -> None:
        """Close the connection at once."""
        self.sock.close()
