"""Sockets whose system calls fail, are interrupted or transfer only a part."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
from collections.abc import Iterator
from typing import ClassVar

import pytest

from honeyhitch.protocols.buffer import Buffer
from honeyhitch.transports import sockets
from honeyhitch.transports.channel import PlainChannel

from .program import run_async_test

LARGE_BODY = bytes(1 << 20)  # more than the system buffers for a connection


@contextlib.contextmanager
def connected_sockets() -> Iterator[tuple[socket.socket, socket.socket]]:
    near, far = socket.socketpair()
    near.setblocking(False)
    far.setblocking(False)
    with near, far:
        yield near, far


# Guards against a call that is cancelled after its last byte was written and is reported as never written.
def test_a_cancelled_send_has_not_written_the_last_byte() -> None:
    async def work() -> None:
        loop = asyncio.get_running_loop()
        with connected_sockets() as (near, far):
            sending = asyncio.ensure_future(PlainChannel(loop, near).send(LARGE_BODY))
            received = 0

            def read() -> None:
                nonlocal received
                with contextlib.suppress(BlockingIOError):
                    while data := far.recv(len(LARGE_BODY)):
                        received += len(data)
                if received == len(LARGE_BODY):
                    sending.cancel()
                elif not sending.done():
                    loop.call_soon(read)

            loop.call_soon(read)
            await asyncio.wait({sending})
        assert received == len(LARGE_BODY)
        assert not sending.cancelled()

    run_async_test(work())


class FailingSocket(socket.socket):
    """A socket whose reads and writes fail with `error`."""

    error = errno.ETIMEDOUT

    def recv_into(self, *_: object) -> int:
        raise OSError(self.error, "failed by the test")

    def send(self, *_: object) -> int:
        raise OSError(self.error, "failed by the test")


# Guards against a broken connection that is taken for the end of the wait for a response.
@pytest.mark.parametrize("error", [errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET])
def test_a_broken_connection_is_no_timeout(error: int) -> None:
    async def work() -> None:
        with FailingSocket() as sock:
            sock.error = error
            with pytest.raises(OSError, match="failed by the test") as failed_read:
                sockets.read_available(sock, Buffer())
            with pytest.raises(OSError, match="failed by the test") as failed_send:
                await sockets.send_all(asyncio.get_running_loop(), sock, b"data")
        assert not isinstance(failed_read.value, TimeoutError)
        assert not isinstance(failed_send.value, TimeoutError)

    run_async_test(work())


class UnconnectableSocket(socket.socket):
    """A socket whose first connects, counted over all sockets, fail with the errors in `failures`."""

    failures: ClassVar[list[int]] = []

    def connect(self, address: object) -> None:
        if self.failures:
            raise OSError(self.failures.pop(), "failed by the test")
        super().connect(address)  # type: ignore[arg-type]


# Guards against a momentary lack of ports, buffers or routes here that counts as a failure of the peer.
@pytest.mark.parametrize("error", [errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS, errno.ENFILE])
@pytest.mark.parametrize("operation", ["socket", "connect"])
def test_connecting_is_tried_again_while_this_machine_lacks_the_means(
    monkeypatch: pytest.MonkeyPatch, error: int, operation: str
) -> None:
    failures = [error, error]

    def new_tcp_socket() -> socket.socket:
        if operation == "socket" and failures:
            raise OSError(failures.pop(), "failed by the test")
        sock = UnconnectableSocket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        return sock

    async def work() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            UnconnectableSocket.failures = failures if operation == "connect" else []
            address = f"127.0.0.1:{listener.getsockname()[1]}"
            (await sockets.connect(asyncio.get_running_loop(), address)).close()
        assert not failures

    monkeypatch.setattr(sockets, "new_tcp_socket", new_tcp_socket)
    run_async_test(work())


def test_a_refused_connection_is_reported_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    async def work() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = f"127.0.0.1:{listener.getsockname()[1]}"
        with pytest.raises(ConnectionRefusedError):
            await sockets.connect(asyncio.get_running_loop(), address)

    monkeypatch.setattr(sockets, "CONNECT_RETRY_SECONDS", 60.0)
    run_async_test(work())
