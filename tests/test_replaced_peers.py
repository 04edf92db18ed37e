"""A new process at the address of one that has gone is not taken for the old one."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

from .agent import Agent
from .faults.hostile import submission
from .faults.limited import limited_dispatcher
from .polling import poll_condition
from .processes import CountingEndpoint, request_line
from .program import run_async_test
from .rig import endpoint_row

SETTLE_SECONDS = 1.0


def row(name: str, destination: int, port: int, started_ms: int = 0) -> dict[str, Any]:
    address = {"host_port": f"127.0.0.1:{port}", "size": 40.0, "up_since_ms": started_ms}
    return {**endpoint_row(name, destination), **address}


# Guards against a call that reaches another destination, because a new endpoint listens at the address of one
# that is gone and still listed.
def test_a_call_does_not_go_to_the_process_that_took_over_the_address_of_its_endpoint(
    tmp_path: Path,
) -> None:
    async def work() -> None:
        other = await CountingEndpoint(lambda: None).start()
        agent = await Agent([row("e-1", 1, other.port)]).start()
        async with limited_dispatcher(tmp_path, agent) as dispatcher:
            await poll_condition(lambda: agent.watches)
            agent.members.append(row("e-2", 2, other.port, started_ms=1_700_000_000_000))
            agent.change(agent.members[-1])
            await asyncio.sleep(SETTLE_SECONDS)
            reply = await request_line(dispatcher.port, submission(b"m-1"))
            assert reply == b"+OK\r\n"
            await asyncio.sleep(SETTLE_SECONDS)
            assert not other.calls, "destination 1 got its message at the endpoint of destination 2"
            moved = await CountingEndpoint(lambda: None).start()
            agent.change(row("e-1", 1, moved.port, started_ms=1_700_000_001_000))
            await poll_condition(lambda: moved.calls)
            assert moved.calls == {"m-1": 1}
            assert not other.calls

    run_async_test(work())


# Guards against changes that are lost, because a new agent at the address of an old one counts its revisions
# from elsewhere.
def test_the_list_of_an_agent_that_was_replaced_is_read_again(tmp_path: Path) -> None:
    async def work() -> None:
        old, new = await CountingEndpoint(lambda: None).start(), await CountingEndpoint(lambda: None).start()
        agent = await Agent([row("e-1", 1, old.port)]).start()
        async with limited_dispatcher(tmp_path, agent) as dispatcher:
            await poll_condition(lambda: agent.watches)
            agent.go_down()
            successor = Agent([row("e-2", 1, new.port)])
            successor.port, successor.revision = agent.port, 60
            await asyncio.sleep(SETTLE_SECONDS)
            await successor.start()
            await poll_condition(lambda: successor.watches)
            assert await request_line(dispatcher.port, submission(b"m-1")) == b"+OK\r\n"
            await poll_condition(lambda: new.calls or old.calls)
            assert new.calls == {"m-1": 1}
            assert not old.calls

    run_async_test(work())
