"""Plain non-blocking sockets: connecting, reading into a buffer, and telling a dead one."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import select
import socket
import struct

from honeyhitch.protocols.buffer import Buffer

SO_ATTACH_REUSEPORT_CBPF, BPF_RET_K = 51, 0x06  # asm-generic/socket.h; linux/filter.h


def new_tcp_socket() -> socket.socket:
    """A non-blocking TCP socket that sends at once."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def check_address_unused(address: tuple[str, int]) -> None:
    """OSError if anything listens there already, also one that would share the address."""
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)


def prefer_second_listener(listener: socket.socket) -> bool:
    """New connections to an address that two listeners share go to the second one, this: the older one's
    queue can run empty. False where the system has no such thing; they are then shared out by chance.

    A classic BPF program of one instruction, `return 1`, which picks a listener by its number (socket(7),
    SO_ATTACH_REUSEPORT_CBPF). With one listener left the number fits none, and the system chooses as always.
    """
    program = ctypes.create_string_buffer(struct.pack("HBBI", BPF_RET_K, 0, 0, 1))
    try:
        told = struct.pack("HP", 1, ctypes.addressof(program))
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, told)
    except OSError:
        return False
    return True


async def connect(loop: asyncio.AbstractEventLoop, address: str) -> socket.socket:
    """Connect to HOST:PORT; the socket is closed if that fails or is cancelled."""
    host, _, port = address.rpartition(":")
    sock = new_tcp_socket()
    try:
        await loop.sock_connect(sock, (host, int(port)))
    except BaseException:
        sock.close()
        raise
    return sock


async def wait_readable(loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
    """Wait till something has come, a connection at a listener too, and leave it where it is.

    uvloop's sock_recv_into and sock_accept take what comes in one turn of the loop and wake their task in
    the next. In between it is out of sight: neither `quiet` nor the buffer shows it, who looks takes the
    connection for one that rests, and a task that is cancelled then loses it.
    """
    came = loop.create_future()

    def there() -> None:
        if not came.done():
            came.set_result(None)

    loop.add_reader(sock, there)
    try:
        await came
    finally:
        loop.remove_reader(sock)


async def read(loop: asyncio.AbstractEventLoop, sock: socket.socket, buffer: Buffer) -> int:
    """Read once into the buffer; 0 at the end of the connection. Others have their turn before."""
    while True:
        await wait_readable(loop, sock)
        if (count := read_available(sock, buffer)) >= 0:
            return count


def read_available(sock: socket.socket, buffer: Buffer) -> int:
    """Read once what has come already; 0 at the end of the connection, -1 if there is nothing."""
    with buffer.free_space() as room:
        try:
            count = sock.recv_into(room)
        except (BlockingIOError, InterruptedError):
            return -1
    buffer.advance(count)
    return count


def has_pending_connection(listener: socket.socket) -> bool:
    """True if a connection waits there to be accepted: closing the listener would reset it."""
    poll = select.poll()  # no limit on the descriptor's number, as select(2) has
    poll.register(listener, select.POLLIN)
    return bool(poll.poll(0))


def is_reusable(sock: socket.socket) -> bool:
    """True if the connection is alive and nothing has come on it: safe to use again."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False  # its end, or bytes that nobody asked for
