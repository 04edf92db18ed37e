"""Connections that have complete requests share the iterations of the event loop."""

from __future__ import annotations

import asyncio
from collections import Counter

from honeyhitch.transports.request_scheduler import (
    MAX_REQUESTS_PER_SLICE,
    SLICES_PER_ITERATION,
    RequestScheduler,
)

from .program import run_async_test

CONNECTIONS = 40


# Guards against a connection that waits for ever while others that came later have their requests handled.
def test_connections_are_served_in_the_order_in_which_they_ask() -> None:
    async def work() -> None:
        scheduler = RequestScheduler(asyncio.get_running_loop())
        taken = Counter[int]()
        assert scheduler.requests_per_slice == MAX_REQUESTS_PER_SLICE

        async def connection(number: int) -> None:
            while True:
                await scheduler.wait()
                taken[number] += 1
                await asyncio.sleep(0)  # as for reading and sending

        tasks = [asyncio.create_task(connection(number)) for number in range(CONNECTIONS)]
        for _ in range(10 * CONNECTIONS):
            before = taken.total()
            await asyncio.sleep(0)
            assert taken.total() - before <= 2 * SLICES_PER_ITERATION
        assert scheduler.requests_per_slice == 1
        assert max(taken.values()) - min(taken.values()) <= 1
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    run_async_test(work())


def test_a_connection_that_ends_while_it_waits_takes_no_slice() -> None:
    async def work() -> None:
        scheduler = RequestScheduler(asyncio.get_running_loop())
        for _ in range(SLICES_PER_ITERATION):
            await scheduler.wait()
        ended, other = (asyncio.create_task(scheduler.wait()) for _ in range(2))
        await asyncio.sleep(0)
        ended.cancel()
        await other

    run_async_test(work())
