"""A real process whose system calls fail for a while, as Linux documents, starts and answers all the same."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from .agent import Agent
from .faults.shim import Fault, Shim
from .processes import killed_at_end, listening_port, request_line, spawn, wait_until_serving
from .program import enqueue, run_async_test, write_config_files
from .rig import endpoint_row

FAILURE_SECONDS = 1.0


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
        port = listening_port()
        shim = Shim(tmp_path / "faults")
        path, _ = write_config_files(tmp_path, port, agent.port, agent.members)
        process = await spawn(path, environment=shim.environment)
        async with killed_at_end([process]):
            await wait_until_serving(process, port)
            for fault in (Fault.ACCEPT, Fault.WAIT, Fault.SHORT_READ, Fault.SHORT_WRITE):
                shim.set_probability(fault, 0.5)
            async with asyncio.timeout(15):
                replies = await asyncio.gather(
                    *(request_line(port, enqueue(f"m{number}", 3000)) for number in range(40))
                )
        assert set(replies) == {b"+OK\r\n"}

    run_async_test(work())
