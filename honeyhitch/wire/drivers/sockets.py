"""Plain non-blocking sockets: connecting, reading into a buffer, and telling a dead one."""

from __future__ import annotations

import asyncio
import contextlib
import socket

from honeyhitch.memory.buffer import Buffer


def fresh() -> socket.socket:
    """A non-blocking TCP socket that sends at once."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


async def connect(loop: asyncio.AbstractEventLoop, address: str) -> socket.socket:
    """Connect to HOST:PORT; the socket is closed if that fails or is cancelled."""
    host, _, port = address.rpartition(":")
    sock = fresh()
    try:
        await loop.sock_connect(sock, (host, int(port)))
    except BaseException:
        sock.close()
        raise
    return sock


async def read(loop: asyncio.AbstractEventLoop, sock: socket.socket, buffer: Buffer) -> int:
    """Read once into the buffer; 0 at the end of the connection."""
    with buffer.room() as room:
        count = await loop.sock_recv_into(sock, room)
    buffer.filled(count)
    return count


def quiet(sock: socket.socket) -> bool:
    """True if the connection is alive and nothing has come on it: safe to use again."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False  # its end, or bytes that nobody asked for
