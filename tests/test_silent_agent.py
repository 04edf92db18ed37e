"""Connections on which the agent stops responding: notices and the watch move to another connection."""

from __future__ import annotations

import asyncio
import copy
import json
import re
from pathlib import Path

import pytest

from honeyhitch.protocols import discovery_backoff, notices

from .program import SETTINGS, Peer, enqueue, run_async_test, running_program
from .rig import endpoint_row
from .test_program import serve_list_and_watch, serve_watch
from .world import SECOND

DRAIN_GRACE_SECONDS = 1.0
MALFORMED_WATCHES = 8
UNREACHED_TIMEOUT_SECONDS = 3600.0  # seconds, a timeout that does not elapse within a test
Stream = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def read_notice_id(stream: Stream) -> str:
    """Read one request with a single notice and return the id of its message."""
    head = await stream[0].readuntil(b"\r\n\r\n")
    length = re.search(rb"POST /reports .*Content-Length: (\d+)", head, re.DOTALL)
    assert length is not None, head
    return str(json.loads(await stream[0].readexactly(int(length[1])))["id"])


@pytest.mark.parametrize("dead", [1, 2])
def test_a_notice_on_a_silent_connection_is_repeated_on_another(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, dead: int
) -> None:
    monkeypatch.setattr(notices, "MAX_RESPONSE_SECONDS", UNREACHED_TIMEOUT_SECONDS)

    async def scenario() -> None:
        agent = await Peer().start()
        # The endpoint s-1 does not listen.
        async with running_program(tmp_path, agent.port, [endpoint_row("s-1", 1)]) as port:
            await serve_watch(agent, agent.port)
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(enqueue("id", left=500))
            assert await reader.readline() == b"+OK\r\n"
            # The connections stay open, because a closed connection would be detected immediately.
            silent = [await agent.connections.get() for _ in range(dead)]
            for connection in silent:
                assert await read_notice_id(connection) == "id"
            responding = await agent.connections.get()
            assert await read_notice_id(responding) == "id"
            responding[1].write(b"HTTP/1.1 204 No Content\r\n\r\n")
            writer.write(b"PING\r\n")
            assert await reader.readline() == b"+PONG\r\n"

    run_async_test(scenario())


def test_a_watch_without_a_response_ends_before_the_heartbeat_timeout(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(discovery_backoff, "HEARTBEAT_TIMEOUT_SECONDS", UNREACHED_TIMEOUT_SECONDS)
    monkeypatch.setattr(discovery_backoff, "NOTIFICATION_DEADLINE_SECONDS", UNREACHED_TIMEOUT_SECONDS + 1.0)

    async def scenario() -> None:
        agent = await Peer().start()
        async with running_program(tmp_path, agent.port, [endpoint_row("s-1", 1)]):
            dead = await agent.connections.get()
            second = await agent.connections.get()
            assert await dead[0].read() != b"", "the first connection carries a request and then ends"
            agent.connection = second
            await serve_watch(agent, agent.port)

    run_async_test(scenario())


def test_a_list_that_never_arrives_is_requested_on_another_connection(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(discovery_backoff, "HEARTBEAT_TIMEOUT_SECONDS", UNREACHED_TIMEOUT_SECONDS)
    monkeypatch.setattr(discovery_backoff, "NOTIFICATION_DEADLINE_SECONDS", UNREACHED_TIMEOUT_SECONDS + 1.0)

    async def scenario() -> None:
        agent = await Peer().start()
        async with running_program(tmp_path, agent.port, []):  # without a list the complete list is requested
            dead = await agent.connections.get()
            agent.connection = await agent.connections.get()
            assert b"GET /api/targets HTTP/1.1" in await dead[0].read()
            await serve_list_and_watch(agent, agent.port, [endpoint_row("s-1", 1)])

    run_async_test(scenario())


# Guards against a drain that is missed while the pause after malformed watches grows to seconds: the agent
# holds the change, and what the agent holds counts as notified.
@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nHTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        b"no HTTP\r\n\r\n",
    ],
    ids=["copied", "ended", "malformed"],
)
def test_malformed_watches_are_opened_anew_within_the_grace_of_a_drain(
    tmp_path: Path, response: bytes
) -> None:
    settings = copy.deepcopy(SETTINGS)
    settings["invariants"]["drain-grace"] = int(DRAIN_GRACE_SECONDS * SECOND)

    async def scenario() -> None:
        agent = await Peer().start()
        async with running_program(tmp_path, agent.port, [endpoint_row("s-1", 1)], settings=settings):
            for _ in range(MALFORMED_WATCHES):
                async with asyncio.timeout(DRAIN_GRACE_SECONDS):
                    reader, writer = await agent.connections.get()
                await reader.readuntil(b"\r\n\r\n")
                writer.write(response)

    run_async_test(scenario())
