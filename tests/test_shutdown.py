"""What is still owed while a process leaves, and after it: requests on their way, and messages untried."""

from __future__ import annotations

import asyncio
import os
import signal
from pathlib import Path
from random import Random

import pytest

from honeyhitch.policy.events import Outcome
from honeyhitch.service import shutdown

from .agent import Agent
from .program import enqueue, play, started
from .rig import DispatcherRig, endpoint_row
from .world import MS, SECOND


@pytest.mark.parametrize("held", [False, True])
def test_a_request_half_come_has_its_whole_reply_before_the_process_ends(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, held: bool
) -> None:
    """The process may end from a moment on if nothing is held, and from a later one on in any case."""
    monkeypatch.setattr(shutdown, "STOP_ACCEPTING_SECONDS", -1.0)
    if held:
        monkeypatch.setattr(shutdown, "STOP_SENDING_SECONDS", -1.0)

    async def work() -> None:
        agent = await Agent([]).start()
        members = [endpoint_row("s-1", 1)]
        async with started(tmp_path, agent.port, members, stopped=True) as port:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            if held:  # its member's port is closed: it waits for a further try
                writer.write(enqueue("held"))
                assert await reader.readline() == b"+OK\r\n"
            whole = enqueue("id")
            writer.write(b"PING\r\n" + whole[:-3])
            assert await reader.readline() == b"+PONG\r\n"
            os.kill(os.getpid(), signal.SIGTERM)
            other, asks = await asyncio.open_connection("127.0.0.1", port)
            asks.write(b"PING\r\n")
            assert await other.readline() == b"-LOADING not ready\r\n", "it has begun to leave"
            writer.write(whole[-3:])
            assert (await reader.readline())[:5] in (b"-BUSY", b"+OK\r\n"), "the reply is whole"

    play(work())


@pytest.mark.parametrize("how", ["kill", "leave"])
@pytest.mark.parametrize("seed", range(4))
def test_what_a_start_finds_untried_is_tried(tmp_path: Path, how: str, seed: int) -> None:
    """Nothing was sent before the end; afterwards each message with time left gets its call."""
    rng = Random(seed)
    more = {"max_messages": 400, "max_concurrent_calls": 12}
    one = DispatcherRig(tmp_path, **more)
    one.dispatcher.policy.concurrent_calls = (
        one.settings.max_concurrent_calls
    )  # as if all slots were taken by calls that hang
    names = [f"m{i}" for i in range(300)]
    for name in names:
        dest = rng.choice((1, 2))
        assert one.submit(name, dest=dest, left=int(rng.uniform(8, 20) * SECOND), key=f"k-{name}")
        assert not one.run(0.001)
    if how == "leave":
        one.dispatcher.stop_deciding(int(1.5 * SECOND))
    assert not one.answers, "none is given up early"
    one.time.time += int(rng.uniform(0.6, 2.0) * SECOND)
    again = DispatcherRig(tmp_path, one.time, **more)
    tried: set[str] = set()
    taken = 40 * MS
    for _ in range(int(20 * SECOND / taken)):
        for call in again.run(taken / SECOND):
            tried |= {part.id for part in call.messages}
            again.time.call_at(again.time.time + taken, lambda call=call: again.end(call, Outcome.DELIVERED))
        if not again.dispatcher.messages.by_id:
            break
    assert not again.dispatcher.messages.by_id
    assert not again.answers
    assert tried == set(names), f"{len(names) - len(tried)} of {len(names)} ended without a call"
