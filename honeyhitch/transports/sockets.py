"""Non-blocking sockets: connecting, reading into a buffer, and detecting a dead connection."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import errno
import select
import socket
import struct

from honeyhitch import logs
from honeyhitch.protocols.buffer import Buffer

log = logs.get_logger()
SO_ATTACH_REUSEPORT_CBPF = 51  # asm-generic/socket.h
BPF_RETURN_CONSTANT = 0x06  # BPF_RET | BPF_K, linux/filter.h
BPF_INSTRUCTION = "HBBI"  # struct sock_filter: code, jump offsets, constant
BPF_PROGRAM = "HP"  # struct sock_fprog: number of instructions, address of the first one
FIRST_LISTENER, SECOND_LISTENER = 0, 1  # numbers of the listeners on a shared address, in their order
NOTHING_AVAILABLE = -1  # returned by `read_available`
# The number of connections that wait to be accepted, in struct tcp_info of a listener (linux/tcp.h).
WAITING_CONNECTIONS = struct.Struct("24xI")
# Lack of a resource of this machine, or of a route, that may pass. It says nothing about the peer.
TRANSIENT_CONNECT_ERRORS = frozenset(
    {
        errno.EADDRNOTAVAIL,
        errno.EAGAIN,
        errno.EINTR,
        errno.EMFILE,
        errno.ENETUNREACH,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
    }
)
CONNECT_RETRY_SECONDS = 0.005


def new_tcp_socket() -> socket.socket:
    """Return a new non-blocking TCP socket that sends without delay (TCP_NODELAY)."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def check_bind(address: tuple[str, int], reuse_port: bool = False) -> None:
    """Raise OSError if a listener could not be bound to the address.

    Without `reuse_port` this is so if any socket listens there, even one with SO_REUSEPORT. No connection is
    accepted meanwhile.
    """
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if reuse_port:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(address)


def prefer_listener(listener: socket.socket, number: int) -> bool:
    """Direct new connections to the listener with this number; `listener` is any of those at its address.

    The queue of the other listener can then be emptied. Return false if the system does not support this;
    it then distributes the connections at random.

    The function attaches a classic BPF program of one instruction, `return NUMBER`, which selects a listener
    by its number (socket(7), SO_ATTACH_REUSEPORT_CBPF). If there is no listener with the number, the system
    selects one as it does without a program.
    """
    instruction = struct.pack(BPF_INSTRUCTION, BPF_RETURN_CONSTANT, 0, 0, number)
    instructions = ctypes.create_string_buffer(instruction)
    program = struct.pack(BPF_PROGRAM, 1, ctypes.addressof(instructions))
    try:
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, program)
    except OSError:
        return False
    return True


async def connect(loop: asyncio.AbstractEventLoop, address: str) -> socket.socket:
    """Connect to HOST:PORT and return the socket. Raise OSError if the peer cannot be reached.

    Connecting is tried again while this machine lacks the means for it, until the caller's timeout.
    """
    while True:
        try:
            return await _connect_once(loop, address)
        except OSError as error:
            if error.errno not in TRANSIENT_CONNECT_ERRORS:
                raise
            log.warning("connect.delayed", address=address, error=str(error), key=address)
        await asyncio.sleep(CONNECT_RETRY_SECONDS)


async def _connect_once(loop: asyncio.AbstractEventLoop, address: str) -> socket.socket:
    """Connect once; the socket is closed if connecting fails or is cancelled."""
    host, _, port = address.rpartition(":")
    sock = new_tcp_socket()
    try:
        await loop.sock_connect(sock, (host, int(port)))
    except BaseException:
        sock.close()
        raise
    return sock


async def wait_readable(loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
    """Wait until a socket has received bytes, or a listener a connection, without taking them.

    uvloop's sock_recv_into and sock_accept take bytes or a connection in one iteration of the event loop, and
    resume their task in the next iteration. Between the two, neither `is_reusable` nor the buffer shows the
    bytes: the connection looks unused, and if the task is cancelled, the bytes or the connection are lost.
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


async def wait_writable(loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
    """Wait until a socket accepts more bytes."""
    writable = loop.create_future()

    def on_writable() -> None:
        if not writable.done():
            writable.set_result(None)

    loop.add_writer(sock, on_writable)
    try:
        await writable
    finally:
        loop.remove_writer(sock)


async def send_all(loop: asyncio.AbstractEventLoop, sock: socket.socket, data: bytes) -> None:
    """Write all of `data`. Raise OSError if the connection breaks.

    If the caller is cancelled during this call, the last byte was not written. The loop's sock_sendall does
    not ensure this: it writes the last bytes in one iteration and resumes its task in the next.
    """
    unsent = memoryview(data)
    while unsent:
        try:
            unsent = unsent[sock.send(unsent) :]
        except (BlockingIOError, InterruptedError):
            await wait_writable(loop, sock)
        except TimeoutError as error:
            raise _connection_reset(error) from error


def _connection_reset(error: TimeoutError) -> ConnectionResetError:
    """Return the error for a connection that broke with ETIMEDOUT, which is not the end of a wait."""
    return ConnectionResetError(error.errno, error.strerror)


async def read(loop: asyncio.AbstractEventLoop, sock: socket.socket, buffer: Buffer) -> int:
    """Read once into the buffer, after other tasks have had the chance to run.

    Return the number of bytes, 0 at the end of the connection. Raise OSError if the socket fails, and
    BufferOverflowError if the buffer is full.
    """
    while True:
        await wait_readable(loop, sock)
        if (count := read_available(sock, buffer)) != NOTHING_AVAILABLE:
            return count


def read_available(sock: socket.socket, buffer: Buffer) -> int:
    """Read once into the buffer without waiting, and return the number of bytes.

    Return 0 at the end of the connection, and NOTHING_AVAILABLE if no byte was received. Raise OSError if
    the socket fails, and BufferOverflowError if the buffer is full.
    """
    with buffer.free_space() as space:
        try:
            count = sock.recv_into(space)
        except (BlockingIOError, InterruptedError):
            return NOTHING_AVAILABLE
        except TimeoutError as error:
            raise _connection_reset(error) from error
    buffer.advance(count)
    return count


def local_port(sock: socket.socket) -> int:
    """Return the port of this end of a connection, or 0 if the socket is closed."""
    try:
        return int(sock.getsockname()[1])
    except OSError:
        return 0


def has_pending_connection(listener: socket.socket) -> bool:
    """Return whether a connection waits to be accepted, which closing the listener would reset."""
    poll = select.poll()  # unlike select(2), poll(2) has no limit on the descriptor's number
    poll.register(listener, select.POLLIN)
    return bool(poll.poll(0))


def waiting_connections(listener: socket.socket) -> int:
    """Return how many connections wait to be accepted, or 0 if the system does not tell it."""
    try:
        info = listener.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, WAITING_CONNECTIONS.size)
        (count,) = WAITING_CONNECTIONS.unpack(info)
    except (OSError, struct.error):
        return 0
    return int(count)


def has_peer_left(sock: socket.socket) -> bool:
    """Return whether the peer has ended its side of the connection, or the connection is broken.

    Bytes that arrived before that may still be unread. A peer that only ended its sending cannot be told from
    one that closed the connection.
    """
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return bool(poll.poll(0))


def is_reusable(sock: socket.socket) -> bool:
    """Return whether the connection is alive and has no unread bytes."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False  # the end of the connection, or unexpected bytes
