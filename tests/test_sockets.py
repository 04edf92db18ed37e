"""Sockets whose system calls fail, are interrupted or transfer only a part."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Iterator

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
