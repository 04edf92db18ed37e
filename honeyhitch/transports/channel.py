"""Defines how transports read and write a connection: an unencrypted one here, TLS in `tls_channel`."""

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
        """Write all of `data`. Raise OSError if the connection breaks.

        If the caller is cancelled during this call, the last byte was not written.
        """

    async def read(self, buffer: Buffer) -> int:
        """Read once into the buffer and return the number of bytes, 0 at the end of the connection.

        Raise OSError, of which TlsError is a subclass, if the connection breaks.
        """

    async def receive(self, buffer: Buffer) -> bytes:
        """Read once and return the bytes, none at the end of the connection.

        An implementation may read into `buffer`, which it empties. Raise OSError as `read` does.
        """

    def read_available(self, buffer: Buffer) -> bytes:
        """Return the bytes that were received and not read yet, without waiting for more."""

    def is_reusable(self) -> bool:
        """Return whether the connection is alive and nothing unexpected was received on it."""

    def close(self) -> None:
        """Close the connection at once."""


class PlainChannel:
    """A socket without encryption."""

    __slots__ = ("loop", "sock")

    def __init__(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
        self.loop = loop
        self.sock = sock

    async def send(self, data: bytes) -> None:
        """Write all of `data`. Raise OSError if the connection breaks."""
        await sockets.send_all(self.loop, self.sock, data)

    async def read(self, buffer: Buffer) -> int:
        """Read once into the buffer and return the number of bytes, 0 at the end of the connection."""
        return await sockets.read(self.loop, self.sock, buffer)

    async def receive(self, buffer: Buffer) -> bytes:
        """Read once into the buffer, empty it and return the bytes, none at the end of the connection."""
        return buffer.consume_all() if await sockets.read(self.loop, self.sock, buffer) else b""

    def read_available(self, buffer: Buffer) -> bytes:
        """Return the bytes that were received and not read yet, without waiting for more."""
        return buffer.consume_all() if sockets.read_available(self.sock, buffer) > 0 else b""

    def is_reusable(self) -> bool:
        """Return whether the connection is alive and nothing was received on it."""
        return sockets.is_reusable(self.sock)

    def close(self) -> None:
        """Close the connection at once."""
        self.sock.close()
