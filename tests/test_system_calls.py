"""A real process whose system calls fail for a while, as Linux documents, starts and answers all the same."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest

from .agent import Agent
from .faults.shim import Fault, Shim
from .polling import poll_condition
from .processes import killed_at_end, listening_port, request_line, spawn, wait_until_serving
from .program import enqueue, run_async_test, running_process, write_config_files
from .rig import endpoint_row

FAILURE_SECONDS = 1.0
NOTICE_COUNT = 40
CONNECT_FAILURE_PROBABILITY = 0.57  # of socket(), and again of connect()
NOTICE_TIME_LEFT_SECONDS = 0.4
LATEST_NOTICE_SECONDS = 0.35  # after the deadline (protocol page)


# Guards against a start that ends because the disk or the descriptors are exhausted for a moment.
@pytest.mark.parametrize("fault", [Fault.FILE_WRITE, Fault.FILE_SHORT_WRITE, Fault.FILE_OTHER, Fault.SOCKET])
def test_a_start_outlasts_a_failure(tmp_path: Path, fault: Fault) -> None:
    async def work() -> None:
        agent = await Agent([endpoint_row("refuses", 1)]).start()
        port = listening_port()
        shim = Shim(tmp_path / "faults")
        shim.set_probability(fault, 1.0)
        path, _ = write_config_files(tmp_path, port, agent.port, agent.members)
        process = await spawn(path, environment=shim.environment)
        async with killed_at_end([process]):
            await asyncio.sleep(FAILURE_SECONDS)
            assert process.returncode is None
            shim.clear()
            await wait_until_serving(process, port)
            assert await request_line(port, enqueue("m", 3000)) == b"+OK\r\n"

    run_async_test(work())


# Guards against connections that are dropped, or wait, because accept() failed for another connection.
def test_each_new_connection_is_answered_while_accept_fails(tmp_path: Path) -> None:
    async def work() -> None:
        agent = await Agent([endpoint_row("refuses", 1)]).start()
        shim = Shim(tmp_path / "faults")
        async with running_process(tmp_path, agent.port, agent.members, shim.environment) as (_, port):
            for fault in (Fault.ACCEPT, Fault.WAIT, Fault.SHORT_READ, Fault.SHORT_WRITE):
                shim.set_probability(fault, 0.5)
            async with asyncio.timeout(15):
                replies = await asyncio.gather(
                    *(request_line(port, enqueue(f"m{number}", 3000)) for number in range(40))
                )
        assert set(replies) == {b"+OK\r\n"}

    run_async_test(work())


# Guards against late notices because connecting to the agent fails for lack of means on this machine.
def test_notices_are_in_time_while_connecting_fails_at_random(tmp_path: Path) -> None:
    async def work() -> None:
        agent = await Agent([endpoint_row("refuses", 1)]).start()
        shim = Shim(tmp_path / "faults")
        arrived: dict[str, float] = {}
        agent.on_notice = lambda: arrived.update(
            {name: time.monotonic() for name in agent.notices if name not in arrived}
        )
        deadlines: dict[str, float] = {}
        async with running_process(tmp_path, agent.port, agent.members, shim.environment) as (_, port):
            shim.set_probability(Fault.SOCKET, CONNECT_FAILURE_PROBABILITY)
            shim.set_probability(Fault.CONNECT, CONNECT_FAILURE_PROBABILITY)
            for number in range(NOTICE_COUNT):
                name = f"m{number}"
                deadlines[name] = time.monotonic() + NOTICE_TIME_LEFT_SECONDS
                request = enqueue(name, int(NOTICE_TIME_LEFT_SECONDS * 1000))
                assert await request_line(port, request) == b"+OK\r\n"
                await asyncio.sleep(0.1)
            await poll_condition(lambda: arrived.keys() >= deadlines.keys(), limit=10)
        late = {name: arrived[name] - deadlines[name] for name in deadlines}
        assert max(late.values()) <= LATEST_NOTICE_SECONDS, late

    run_async_test(work())
