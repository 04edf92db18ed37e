"""Tests of stopping the tasks that are restarted when they fail."""

from __future__ import annotations

import asyncio

import uvloop

from honeyhitch.transports.tasks import Tasks

from .polling import poll_condition


def test_a_task_group_that_fails_while_it_is_stopped_is_not_restarted() -> None:
    start_count = 0

    async def run_failing_group() -> None:
        nonlocal start_count
        start_count += 1
        # After an unexpected restart, wait. The wait can be cancelled, so the test fails instead of hanging.
        if start_count > 1:
            await asyncio.Event().wait()

        async def fail_when_cancelled() -> None:
            try:
                await asyncio.Event().wait()
            finally:
                raise ConnectionResetError("raised while the task is cancelled")

        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(fail_when_cancelled())
                group.create_task(fail_when_cancelled())
        except BaseExceptionGroup as failures:
            raise failures.exceptions[0] from None

    async def run_and_stop() -> None:
        tasks = Tasks(asyncio.get_running_loop())
        tasks.run_forever(run_failing_group)
        await poll_condition(lambda: start_count, interval=0)
        await asyncio.sleep(0)
        async with asyncio.timeout(5):
            await tasks.stop()
        assert start_count == 1
        assert not tasks.running

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run_and_stop())
