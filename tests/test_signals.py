"""Signals at any moment of a real process, from its first instruction to its end."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import pytest

from .agent import Agent
from .processes import killed_at_end, listening_port, spawn, wait_until_serving
from .program import run_async_test, running_process, write_config_files


# Guards against a SIGHUP that ends a process which has not installed its handlers yet.
@pytest.mark.parametrize("delay", [0.02, 0.05, 0.1, 0.15, 0.2])
def test_a_reload_during_the_start_does_not_end_the_process(tmp_path: Path, delay: float) -> None:
    async def work() -> None:
        agent = await Agent([]).start()
        port = listening_port()
        path, _ = write_config_files(tmp_path, port, agent.port, [])
        process = await spawn(path)
        async with killed_at_end([process]):
            await asyncio.sleep(delay)
            process.send_signal(signal.SIGHUP)
            await wait_until_serving(process, port)

    run_async_test(work())


# Guards against a signal that ends the process by its default action after the service has been closed.
@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM, signal.SIGINT])
def test_signals_until_the_end_leave_the_exit_code(tmp_path: Path, number: signal.Signals) -> None:
    async def work() -> None:
        agent = await Agent([]).start()
        async with running_process(tmp_path, agent.port, []) as (process, _):
            process.send_signal(signal.SIGTERM)
            while process.returncode is None:
                process.send_signal(number)
                await asyncio.sleep(0.005)
        assert process.returncode == 0

    run_async_test(work())
