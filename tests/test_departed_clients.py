"""Requests of a client that has left are not sent on; those of one that ends its sending are answered."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
from pathlib import Path

from .faults.hostile import submission
from .faults.limited import limited_dispatcher, list_endpoint
from .processes import CountingEndpoint
from .program import run_async_test

REQUESTS = 300
SETTLE_SECONDS = 1.0  # in which the dispatcher would send on what it has accepted


def requests() -> dict[str, bytes]:
    return {f"left-{number}": submission(b"left-%d" % number) for number in range(REQUESTS)}


# Guards against requests that are sent on although their client closed its connection before they were read.
def test_requests_that_are_unread_when_their_client_leaves_are_not_sent_on(tmp_path: Path) -> None:
    async def work() -> None:
        endpoint = await CountingEndpoint(lambda: None).start()
        agent = await list_endpoint(endpoint.port)
        async with limited_dispatcher(tmp_path, agent) as dispatcher:
            os.kill(dispatcher.process.pid, signal.SIGSTOP)
            with socket.create_connection(("127.0.0.1", dispatcher.port)) as client:
                client.sendall(b"".join(requests().values()))
            os.kill(dispatcher.process.pid, signal.SIGCONT)
            await asyncio.sleep(SETTLE_SECONDS)
            assert not endpoint.calls
            reader, writer = await asyncio.open_connection("127.0.0.1", dispatcher.port)
            for request in requests().values():  # its client comes again
                writer.write(request)
                assert (await reader.readline())[:1] in (b"+", b"-")
            await asyncio.sleep(SETTLE_SECONDS)
            assert endpoint.calls
            assert max(endpoint.calls.values()) == 1

    run_async_test(work())


# Guards against a client that ends its sending, waits for its replies, and is never told what became of them.
def test_a_client_that_only_ends_its_sending_gets_a_reply_to_each_request(tmp_path: Path) -> None:
    async def work() -> None:
        endpoint = await CountingEndpoint(lambda: None).start()
        agent = await list_endpoint(endpoint.port)
        async with limited_dispatcher(tmp_path, agent) as dispatcher:
            reader, writer = await asyncio.open_connection("127.0.0.1", dispatcher.port)
            writer.write(b"PING\r\n" + b"".join(requests().values()) + b"PING\r\n")
            writer.write_eof()
            replies = (await reader.read()).split(b"\r\n")
            assert replies[0] == replies[-2] == b"+PONG"
            assert len(replies) == REQUESTS + 3
            assert {reply.split(b" ")[0] for reply in replies[1:-2]} <= {b"+OK", b"-BUSY"}
            accepted = sum(reply == b"+OK" for reply in replies)
            await asyncio.sleep(SETTLE_SECONDS)
            assert sum(endpoint.calls.values()) == accepted

    run_async_test(work())
