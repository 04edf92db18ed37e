"""A shutdown replies to requests being received; messages not attempted get their call after the restart."""

from __future__ import annotations

import asyncio
import os
import signal
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

import pytest

from honeyhitch.policy.events import Outcome
from honeyhitch.service import shutdown

from .agent import Agent
from .program import enqueue, run_async_test, running_program
from .rig import DispatcherRig, endpoint_row
from .world import MS, SECOND


@pytest.mark.parametrize("held", [False, True], ids=["no message is held", "a message is held"])
def test_a_request_half_received_gets_its_complete_reply_before_the_process_ends(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, held: bool
) -> None:
    """The process may end early if it holds no message. It ends after a bounded time in any case."""
    monkeypatch.setattr(shutdown, "STOP_ACCEPTING_SECONDS", -1.0)
    if held:
        monkeypatch.setattr(shutdown, "STOP_SENDING_SECONDS", -1.0)

    async def work() -> None:
        agent = await Agent([]).start()
        members = [endpoint_row("s-1", 1)]
        async with running_program(tmp_path, agent.port, members, stopped=True) as port:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            if held:  # the port of its endpoint is closed, so the message waits for the next attempt
                writer.write(enqueue("held"))
                assert await reader.readline() == b"+OK\r\n"
            request = enqueue("id")
            writer.write(b"PING\r\n" + request[:-3])
            assert await reader.readline() == b"+PONG\r\n"
            os.kill(os.getpid(), signal.SIGTERM)
            other_reader, other_writer = await asyncio.open_connection("127.0.0.1", port)
            other_writer.write(b"PING\r\n")
            assert await other_reader.readline() == b"-LOADING not ready\r\n", "shutdown has started"
            writer.write(request[-3:])
            assert (await reader.readline())[:5] in (b"-BUSY", b"+OK\r\n"), "the reply is complete"

    run_async_test(work())


@pytest.mark.parametrize("process_end", ["kill", "shutdown"])
@pytest.mark.parametrize("seed", range(4))
def test_a_start_attempts_messages_that_were_not_attempted(
    tmp_path: Path, process_end: str, seed: int
) -> None:
    """No call is made before the process ends. After the restart every message gets its call in time."""
    rng = Random(seed)
    limits: dict[str, Any] = {"max_messages": 400, "max_concurrent_calls": 12}
    rig = DispatcherRig(tmp_path, **limits)
    # Simulate calls that never end and use all slots.
    rig.dispatcher.policy.concurrent_calls = rig.settings.max_concurrent_calls
    names = [f"m{i}" for i in range(300)]
    for name in names:
        dest = rng.choice((1, 2))
        assert rig.submit(name, dest=dest, left=int(rng.uniform(8, 20) * SECOND), key=f"k-{name}")
        assert not rig.advance(0.001)
    if process_end == "shutdown":
        rig.dispatcher.stop_deciding(int(1.5 * SECOND))
    assert not rig.answers, "no message is rejected early"
    rig.time.time += int(rng.uniform(0.6, 2.0) * SECOND)
    restarted = DispatcherRig(tmp_path, rig.time, **limits)
    attempted: set[str] = set()
    call_duration = 40 * MS
    for _ in range(int(20 * SECOND / call_duration)):
        for call in restarted.advance(call_duration / SECOND):
            attempted |= {message.id for message in call.messages}
            end = partial(restarted.end, call, Outcome.DELIVERED)
            restarted.time.call_at(restarted.time.time + call_duration, end)
        if not restarted.dispatcher.messages.by_id:
            break
    assert not restarted.dispatcher.messages.by_id
    assert not restarted.answers
    assert attempted == set(names), f"{len(names) - len(attempted)} of {len(names)} ended without a call"
