"""Steps of the machine's wall clock change no deadline and no window, also across a restart."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest

from honeyhitch.journal.clock_anchor import AnchorFile, ClockAnchor, stored_anchor

from .agent import Agent
from .faults.shim import Shim
from .polling import Changes
from .processes import killed_at_end, listening_port, request_line, spawn, wait_until_serving
from .program import enqueue, run_async_test, write_config_files
from .rig import endpoint_row
from .world import SECOND

TIME_LEFT_SECONDS = 3.0
LATEST_NOTICE_SECONDS = 0.35  # after the deadline (protocol page)
EARLIEST_NOTICE_SECONDS = 2.0  # the last attempt before the deadline is refused at once


# Guards against deadlines in the journal that a step of the wall clock between two processes shifts: messages
# were given up at once, or held for an hour after their deadline.
@pytest.mark.parametrize("step", [-3600, -3, 3, 3600])
def test_a_message_keeps_its_deadline_when_the_wall_clock_is_stepped_before_a_restart(
    tmp_path: Path, step: int
) -> None:
    async def work() -> None:
        agent = await Agent([endpoint_row("refuses", 1)]).start()
        changes = Changes()
        agent.on_notice = changes.notify
        port = listening_port()
        shim = Shim(tmp_path / "faults")
        path, _ = write_config_files(tmp_path, port, agent.port, agent.members)
        first = await spawn(path, environment=shim.environment)
        async with killed_at_end([first]):
            await wait_until_serving(first, port)
            submitted_at = time.monotonic()
            assert await request_line(port, enqueue("m", int(TIME_LEFT_SECONDS * 1000))) == b"+OK\r\n"
        shim.step_wall_clock(step * SECOND)
        second = await spawn(path, environment=shim.environment)
        async with killed_at_end([second]):
            await wait_until_serving(second, port)
            async with asyncio.timeout(2 * TIME_LEFT_SECONDS):
                await changes.wait_until(lambda: "m" in agent.notices)
            elapsed = time.monotonic() - submitted_at
        assert EARLIEST_NOTICE_SECONDS <= elapsed <= TIME_LEFT_SECONDS + LATEST_NOTICE_SECONDS

    run_async_test(work())


def test_an_anchor_is_read_back(tmp_path: Path) -> None:
    anchor = ClockAnchor.now()
    assert stored_anchor(tmp_path) is None
    assert AnchorFile(tmp_path, anchor).write()
    assert stored_anchor(tmp_path) == anchor


@pytest.mark.parametrize(
    "content", [b"", b'{"boot_id":', b"[]", b'{"boot_id":"another boot","offset":1}', b'{"offset":"x"}']
)
def test_an_incomplete_anchor_or_one_of_another_boot_is_not_used(tmp_path: Path, content: bytes) -> None:
    (tmp_path / "clock").write_bytes(content)
    assert stored_anchor(tmp_path) is None


def test_an_anchor_is_written_once_the_directory_can_be_written(tmp_path: Path) -> None:
    directory = tmp_path / "missing"
    anchor_file = AnchorFile(directory, ClockAnchor.now())
    assert not anchor_file.write()
    directory.mkdir()
    assert anchor_file.write()
    assert stored_anchor(directory) == anchor_file.anchor
