"""Real processes take lists of any layout at the largest size, and apply what fits of a longer one."""

from __future__ import annotations

import asyncio
import json
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import pytest

from .agent import Agent
from .faults.limited import LimitedDispatcher, OrdinaryClient, limited_dispatcher, ordinary_clients
from .polling import poll_condition
from .processes import CountingEndpoint
from .program import run_async_test
from .rig import endpoint_row

LARGEST_LIST = 3_200  # endpoints (standing page)
INDENT = 4
UNUSED_PORT = 9
MOVE_SECONDS = 4.0  # what a new agent has counts as told so long after SIGHUP (LATER)
QUIET_SECONDS = 1.0  # without a call to an endpoint that drains


@dataclass(slots=True)
class Scene:
    """A dispatcher under traffic for destination 1, which has two endpoints, and its agents."""

    endpoints: list[CountingEndpoint]
    rows: list[dict[str, Any]]  # of all endpoints; the first two are those of destination 1
    agents: list[Agent]
    dispatcher: LimitedDispatcher
    clients: list[OrdinaryClient] = field(default_factory=list)

    def calls(self, index: int) -> int:
        """Return how many calls an endpoint of destination 1 has received."""
        return sum(self.endpoints[index].calls.values())

    def log(self) -> str:
        """Return the log of the dispatcher."""
        return Path(self.dispatcher.path).with_suffix(".log").read_text()

    def name_second_agent(self) -> None:
        """Name the second agent in the configuration file."""
        path = Path(self.dispatcher.path)
        document = json.loads(path.read_text())
        path.write_text(json.dumps(document | {"discovery": f"127.0.0.1:{self.agents[1].port}"}))

    async def move_discovery(self) -> None:
        """Move discovery to the second agent, and wait until it is watched."""
        self.name_second_agent()
        self.dispatcher.process.send_signal(signal.SIGHUP)
        async with asyncio.timeout(MOVE_SECONDS):
            await poll_condition(lambda: bool(self.agents[1].watches))

    async def drain(self, agent: Agent, index: int) -> None:
        """Have an agent tell that an endpoint drains; check that calls to it end, and that others go on."""
        agent.change(self.rows[index] | {"phase": "Terminating"})
        await asyncio.sleep(QUIET_SECONDS / 2)
        before = self.calls(index), self.calls(1 - index)
        await asyncio.sleep(QUIET_SECONDS)
        assert self.calls(index) == before[0]
        assert self.calls(1 - index) > before[1]


def long_list(ports: list[int], count: int) -> list[dict[str, Any]]:
    """Return two endpoints of destination 1, and others at addresses of their own that get no message."""
    rows = [
        endpoint_row(f"e-{number}", 1) | {"host_port": f"127.0.0.1:{port}", "size": 400.0}
        for number, port in enumerate(ports)
    ]
    for number in range(len(rows), count):
        address = f"127.{1 + (number >> 14)}.{(number >> 7) & 127}.{1 + (number & 127)}:{UNUSED_PORT}"
        rows.append(endpoint_row(f"s-{number:08x}", 2 + number // 2) | {"host_port": address})
    return rows


@asynccontextmanager
async def scene(folder: Path, memory_mb: int) -> AsyncIterator[Scene]:
    """Run a dispatcher under traffic, whose agents list the most endpoints, indented."""
    endpoints = [await CountingEndpoint(lambda: None).start() for _ in range(2)]
    rows = long_list([endpoint.port for endpoint in endpoints], LARGEST_LIST)
    agents = [await Agent(rows).start() for _ in range(2)]
    for agent in agents:
        agent.indent = INDENT
    async with limited_dispatcher(folder, agents[0], memory_mb) as dispatcher:
        async with ordinary_clients(dispatcher.port) as clients:
            yield Scene(endpoints, rows, agents, dispatcher, list(clients))
        assert dispatcher.check(*clients) == []


# Guards against a list that is refused again and again for its layout, so that no drain arrives any more.
@pytest.mark.parametrize("memory_mb", [48, 64, 96, 192])
def test_after_a_move_of_discovery_a_drain_is_applied_whatever_the_layout(
    tmp_path: Path, memory_mb: int
) -> None:
    async def work() -> None:
        async with scene(tmp_path, memory_mb) as played:
            await asyncio.sleep(QUIET_SECONDS)
            await played.move_discovery()
            await played.drain(played.agents[1], 1)
            assert played.agents[1].list_requests == 1
            assert "list.endpoints-left-out" not in played.log()

    run_async_test(work())


# Guards against a drain that is refused because the list, which fits one process, exceeds the part of one of
# two, and against two processes that exceed the memory together.
def test_two_processes_of_an_upgrade_take_the_largest_list_and_its_changes(tmp_path: Path) -> None:
    async def work() -> None:
        async with scene(tmp_path, 96) as played:
            old = played.dispatcher.process
            await played.dispatcher.start_process()
            await poll_condition(lambda: len(played.agents[0].watches) > 1)
            await asyncio.sleep(QUIET_SECONDS)
            await played.drain(played.agents[0], 0)
            old.terminate()
            await old.wait()
            played.agents[0].change(played.rows[0])
            await played.drain(played.agents[0], 1)
            await played.move_discovery()
            assert "list.endpoints-left-out" not in played.log()
            assert "watch.broken" not in played.log()

    run_async_test(work())


# Guards against a list that truly does not fit, of which nothing is applied, and which is requested without
# end.
def test_of_a_list_that_exceeds_the_memory_drains_are_applied_and_requests_come_to_rest(
    tmp_path: Path,
) -> None:
    async def work() -> None:
        async with scene(tmp_path, 48) as played:
            played.agents[1].members = long_list([endpoint.port for endpoint in played.endpoints], 12_000)
            await asyncio.sleep(QUIET_SECONDS)
            await played.move_discovery()
            await played.drain(played.agents[1], 1)
            await asyncio.sleep(3 * QUIET_SECONDS)
            assert played.agents[1].list_requests == 1
            assert "list.endpoints-left-out" in played.log()

    run_async_test(work())
