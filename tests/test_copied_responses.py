"""A response that arrives twice on a connection is never taken for the response to another request.

Real processes; a proxy between the dispatcher and its peers copies responses.
"""

from __future__ import annotations

import asyncio
import json
import re
from pathlib import Path
from typing import Any

import pytest

from .agent import Agent
from .faults.endpoint import RecordingEndpoint, Reply, overlapping_attempts
from .faults.proxy import CopyingProxy
from .polling import Changes
from .program import run_async_test, running_process
from .rig import endpoint_row

SINGLE, BATCH = 1, 2  # destinations whose kind takes one message per call, or several


def enqueue(message: str, destination: int, left: int) -> bytes:
    fields = b"c=standard,t=studio,d=%d,k=k-%s,dest=%d" % (left, message.encode(), destination)
    arguments = [b"ENQUEUE", b"0", message.encode(), fields, b"body"]
    return b"*5\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(value), value) for value in arguments)


class Client:
    """A client that submits messages and expects each to be accepted."""

    def __init__(self, port: int) -> None:
        self.port = port

    async def submit(self, destination: int, *messages: str, left: int = 8000) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(b"".join(enqueue(message, destination, left) for message in messages))
        for _ in messages:
            assert await reader.readline() == b"+OK\r\n"
        writer.close()


def row(name: str, destination: int, port: int) -> dict[str, Any]:
    kind = "large" if destination == BATCH else "small"
    return {**endpoint_row(name, destination, kind), "host_port": f"127.0.0.1:{port}"}


# Guards against a copied 200 that arrives under the next call and is taken for that call's response: the
# rejected message counted as delivered and was lost.
@pytest.mark.parametrize("destination", [SINGLE, BATCH])
def test_a_copied_200_does_not_conclude_the_next_message(tmp_path: Path, destination: int) -> None:
    async def work() -> None:
        changes = Changes()
        rejected: list[str] = []

        def respond(messages: list[str]) -> Reply:
            if "second" in messages and not rejected:
                rejected.append("second")
                return Reply(503, delay=0.1)
            return Reply()

        endpoint = await RecordingEndpoint(respond, changes.notify).start()
        proxy = await CopyingProxy(endpoint.port, copy_on_request=True).start()
        agent = await Agent([row("s", destination, proxy.port)]).start()
        async with running_process(tmp_path, agent.port, agent.members) as (_, port):
            client = Client(port)
            await client.submit(destination, "first")
            await changes.wait_until(lambda: endpoint.executions("first") > 0)
            await asyncio.sleep(0.05)  # the connection of the first call is idle now
            await client.submit(destination, "second")
            async with asyncio.timeout(5):
                await changes.wait_until(lambda: len(endpoint.attempts.get("second", [])) > 1)
        assert rejected
        (failed,) = re.findall(r"attempt\.failed .*message=second .*", (tmp_path / "config.log").read_text())
        assert "outcome=refused" in failed, "the log says why the message was sent again"
        assert re.search(r"local_port=[1-9]\d+", failed), "and on which connection"

    run_async_test(work())


# Guards against a copied batch response that is taken for the next batch's response: its messages were sent
# again while their first call was still in flight.
def test_a_copied_batch_response_does_not_cause_a_second_attempt_in_flight(tmp_path: Path) -> None:
    async def work() -> None:
        changes = Changes()

        def respond(messages: list[str]) -> Reply:
            return Reply(delay=0.0 if "a" in messages or "b" in messages else 1.0)

        endpoints = [await RecordingEndpoint(respond, changes.notify).start() for _ in range(2)]
        proxies = [await CopyingProxy(endpoint.port, copy_on_request=True).start() for endpoint in endpoints]
        rows = [row(f"s{index}", BATCH, proxy.port) for index, proxy in enumerate(proxies)]
        agent = await Agent(rows).start()

        def attempts(message: str) -> int:
            return sum(len(endpoint.attempts.get(message, [])) for endpoint in endpoints)

        async with running_process(tmp_path, agent.port, agent.members) as (_, port):
            client = Client(port)
            await client.submit(BATCH, "a", "b")
            await changes.wait_until(lambda: attempts("a") > 0 and attempts("b") > 0)
            await asyncio.sleep(0.05)  # the connection of the first call is idle now
            await client.submit(BATCH, "c", "d")
            await client.submit(BATCH, "e", "f")
            await changes.wait_until(lambda: attempts("c") > 0 and attempts("f") > 0)
            await asyncio.sleep(1.5)  # longer than the calls take
        assert not overlapping_attempts(endpoints)

    run_async_test(work())


class ForgetfulAgent(Agent):
    """An agent that loses the first notice of each message in `lost`, together with its connection."""

    def __init__(self, lost: set[str]) -> None:
        super().__init__([row("gone", SINGLE, 9)])
        self.lost = lost

    def _receive_notices(self, body: bytes) -> None:
        for line in body.splitlines():
            if (message := json.loads(line)["id"]) in self.lost:
                self.lost.remove(message)
                raise ConnectionResetError
        super()._receive_notices(body)


# Guards against a copied 204 that confirms the next notice, which the agent has not received.
def test_a_copied_204_does_not_confirm_the_next_notice(tmp_path: Path) -> None:
    async def work() -> None:
        agent = ForgetfulAgent({"second"})
        await agent.start()
        changes = Changes()
        agent.on_notice = changes.notify
        proxy = await CopyingProxy(agent.port, copy_on_request=True).start()
        async with running_process(tmp_path, proxy.port, agent.members) as (_, port):
            client = Client(port)
            await client.submit(SINGLE, "first", left=300)
            await changes.wait_until(lambda: "first" in agent.notices)
            await client.submit(SINGLE, "second", left=300)
            async with asyncio.timeout(5):
                await changes.wait_until(lambda: "second" in agent.notices)
        assert not agent.lost

    run_async_test(work())
