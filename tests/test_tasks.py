"""Tests of stopping the tasks that are restarted when they fail."""

from __future__ import annotations

import asyncio

import uvloop

from honeyhitch.transports.tasks import Tasks

from .polling import poll_condition


def test_a_task_group_that_fails_while_it_is_stopped_is_not_restarted() -> None:
    begun = 0

    async def work() -> None:
        nonlocal begun
        begun += 1
        if begun > 1:  # an unexpected restart; waiting can be cancelled, so the test fails instead of hanging
            await asyncio.Event().wait()

        async def fails() -> None:
            try:
                await asyncio.Event().wait()
            finally:
                raise ConnectionResetError("as it is cancelled")

        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(fails())
                group.create_task(fails())
        except BaseExceptionGroup as several:
            raise several.exceptions[0] from None

    async def stopped() -> None:
        tasks = Tasks(asyncio.get_running_loop())
        tasks.run_forever(work)
        await poll_condition(lambda: begun, interval=0)
        await asyncio.sleep(0)
        async with asyncio.timeout(5):
            await tasks.stop()
        assert begun == 1
        assert not tasks.running

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(stopped())
