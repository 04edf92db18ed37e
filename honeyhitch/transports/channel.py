"""What a driver reads and writes on: a plain socket here, one with a TLS machine before it in `tls_channel`.

Both look the same to those who use them.
"""

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
        """Write all of it; OSError if the connection broke."""

    async def read(self, buffer: Buffer) -> int:
        """Read once into the buffer; 0 at the peer's own end. OSError if it broke, TlsError among them."""

    async def receive(self, buffer: Buffer) -> bytes:
        """The same for one who takes all at once: the bytes, none at the peer's own end."""

    def read_available(self, buffer: Buffer) -> bytes:
        """What has come and was not read, without waiting for more."""

    def is_reusable(self) -> bool:
        """Alive, with nothing come that nobody asked for: safe to use again."""

    def close(self) -> None:
        """Close it at once."""


class PlainChannel:
    """A socket as it is."""

    __slots__ = ("loop", "sock")

    def __init__(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
        self.loop, self.sock = loop, sock

    async def send(self, data: bytes) -> None:
        """Write all of it; OSError if the connection broke."""
        await self.loop.sock_sendall(self.sock, data)

    async def read(self, buffer: Buffer) -> int:
        """Read once into the buffer; 0 at the peer's end."""
        return await sockets.read(self.loop, self.sock, buffer)

    async def receive(self, buffer: Buffer) -> bytes:
        """The bytes of one read, by way of the buffer; none at the peer's end."""
        return buffer.consume_all() if await sockets.read(self.loop, self.sock, buffer) else b""

    def read_available(self, buffer: Buffer) -> bytes:
        """What has come and was not read, without waiting for more."""
        return buffer.consume_all() if sockets.read_available(self.sock, buffer) > 0 else b""

    def is_reusable(self) -> bool:
        """Alive, with nothing come that nobody asked for."""
        return sockets.is_reusable(self.sock)

    def close(self) -> None:
        """Close it at once."""
        self.sock.close()
