"""Non-blocking sockets: connecting, reading into a buffer, and recognizing a dead connection."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import select
import socket
import struct

from honeyhitch.protocols.buffer import Buffer

SO_ATTACH_REUSEPORT_CBPF = 51  # asm-generic/socket.h
BPF_RETURN_CONSTANT = 0x06  # BPF_RET | BPF_K, linux/filter.h
BPF_INSTRUCTION = "HBBI"  # struct sock_filter: code, jump offsets, constant
BPF_PROGRAM = "HP"  # struct sock_fprog: number of instructions, their address
SECOND_LISTENER = 1  # listeners of a shared address are numbered from 0
NOTHING_AVAILABLE = -1


def new_tcp_socket() -> socket.socket:
    """A non-blocking TCP socket that sends without delay."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def check_address_unused(address: tuple[str, int]) -> None:
    """Raise OSError if anything listens there already, even if it would share the address."""
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)


def prefer_second_listener(listener: socket.socket) -> bool:
    """Direct new connections to the second of two listeners that share an address, which is `listener`.

    The queue of the older one can then run empty. False where the system does not support it: connections
    are then distributed at random.

    It attaches a classic BPF program of one instruction, `return 1`, which selects a listener by its number
    (socket(7), SO_ATTACH_REUSEPORT_CBPF). With one listener left the number is invalid, and the system
    selects as it does without a program.
    """
    instruction = struct.pack(BPF_INSTRUCTION, BPF_RETURN_CONSTANT, 0, 0, SECOND_LISTENER)
    instructions = ctypes.create_string_buffer(instruction)
    program = struct.pack(BPF_PROGRAM, 1, ctypes.addressof(instructions))
    try:
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, program)
    except OSError:
        return False
    return True


async def connect(loop: asyncio.AbstractEventLoop, address: str) -> socket.socket:
    """Connect to HOST:PORT; the socket is closed if that fails or is cancelled. Raises OSError."""
    host, _, port = address.rpartition(":")
    sock = new_tcp_socket()
    try:
        await loop.sock_connect(sock, (host, int(port)))
    except BaseException:
        sock.close()
        raise
    return sock


async def wait_readable(loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
    """Wait until bytes, or a connection at a listener, have come, and do not take them.

    uvloop's sock_recv_into and sock_accept take what comes in one turn of the loop, and wake their task in
    the next. In between neither `is_reusable` nor the buffer shows it: the connection looks unused, and a
    task that is cancelled loses what came.
    """
    readable = loop.create_future()

    def on_readable() -> None:
        if not readable.done():
            readable.set_result(None)

    loop.add_reader(sock, on_readable)
    try:
        await readable
    finally:
        loop.remove_reader(sock)


async def read(loop: asyncio.AbstractEventLoop, sock: socket.socket, buffer: Buffer) -> int:
    """Read once into the buffer, after other tasks had their turn.

    Returns the number of bytes, 0 at the end of the connection. Raises OSError and BufferOverflowError.
    """
    while True:
        await wait_readable(loop, sock)
        if (count := read_available(sock, buffer)) != NOTHING_AVAILABLE:
            return count


def read_available(sock: socket.socket, buffer: Buffer) -> int:
    """Read once without waiting; 0 at the end of the connection, NOTHING_AVAILABLE if nothing has come."""
    with buffer.free_space() as space:
        try:
            count = sock.recv_into(space)
        except (BlockingIOError, InterruptedError):
            return NOTHING_AVAILABLE
    buffer.advance(count)
    return count


def has_pending_connection(listener: socket.socket) -> bool:
    """Whether a connection waits to be accepted: closing the listener would reset it."""
    poll = select.poll()  # unlike select(2), it takes descriptors of any number
    poll.register(listener, select.POLLIN)
    return bool(poll.poll(0))


def is_reusable(sock: socket.socket) -> bool:
    """Whether the connection is alive and nothing has come on it."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False  # its end, or unexpected bytes
