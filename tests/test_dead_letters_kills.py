"""Resends one message and kills the process at every kill point: the message is neither lost nor repeated."""

from __future__ import annotations

import random
from pathlib import Path

import pytest

from honeyhitch.dead_letters.filters import RecordFilter
from honeyhitch.dead_letters.records import UNRESOLVED, RecordStatus
from honeyhitch.journal.transactions import Ending, Transaction

from .dead_letters_rig import NEVER_KILLED, Killed, KillPoints
from .resend_world import UNSAFE, Receiver, ResendRig
from .rig import VirtualTime
from .world import SECOND


class KillScenario:
    """A message that is rejected, stored and resent, with kills of the process at the kill points `kills`.

    `resend_mode` is the mode in which the receiver answers the resend. The client submits a duplicate after
    `duplicate_after` seconds, unless that is None. Each kill point is counted from the preceding start of the
    process.
    """

    def __init__(
        self, folder: Path, kills: list[int], resend_mode: str, duplicate_after: float | None
    ) -> None:
        folder.mkdir(parents=True)
        self.folder = folder
        self.kills = kills
        self.resend_mode = resend_mode
        self.duplicate_after = duplicate_after
        self.clock = VirtualTime()
        self.receiver = Receiver()
        self.rng = random.Random(5)
        self.answers: dict[str, Ending | None] = {}
        self.started_at = self.clock.time
        self.kill_point_count = 0
        self.submitted: set[str] = set()
        self.rig = self.start()
        while self.clock.time < self.started_at + 150 * SECOND:
            try:
                self.step()
            except Killed:
                self.kill_point_count += self.rig.kill_points.count
                self.receive_answers()
                self.rig.close_as_killed()
                self.clock.time += SECOND
                self.rig = self.start()
        self.kill_point_count += self.rig.kill_points.count

    def start(self) -> ResendRig:
        kill_points = KillPoints(self.kills.pop(0) if self.kills else NEVER_KILLED)
        return ResendRig(self.folder, self.clock, self.receiver, self.rng, kill_points)

    def submit(self, name: str) -> None:
        if name not in self.submitted and self.rig.dispatcher.accepting:
            self.submitted.add(name)
            deadline = self.clock.time + 6 * SECOND
            self.rig.dispatcher.submit(
                Transaction(name, UNSAFE, 1, deadline, b"body", key="k", frontend="mqtt")
            )

    def step(self) -> None:
        elapsed = (self.clock.time - self.started_at) / SECOND
        self.rig.modes = (self.mode_at(elapsed),)
        if elapsed > 1:
            self.submit("m")
        if self.duplicate_after is not None and elapsed > self.duplicate_after:
            self.submit("copy")
        try:
            self.rig.advance(0.2)
        finally:
            self.receive_answers()
        self.receiver.apply_due(self.clock.time)

    def mode_at(self, elapsed: float) -> str:
        """Return the mode in which the receiver answers after `elapsed` seconds."""
        if elapsed < 12:
            return "refuse"
        return self.resend_mode if elapsed < 60 else "deliver"

    def receive_answers(self) -> None:
        for answer in self.rig.answers:
            first_ending = self.answers.setdefault(answer.id, answer.ending)
            assert first_ending is answer.ending, f"{answer.id}: answers differ"

    def check(self) -> None:
        records = [stored.record for stored in self.rig.store.page(RecordFilter(), limit=100)]
        applied_at = self.receiver.ledger.get("k", [])
        assert len(applied_at) <= 1, "the message was applied twice"
        assert len([record for record in records if record.status in UNRESOLVED]) <= 1, (
            "a message has two unresolved records"
        )
        assert not self.rig.dispatcher.messages.by_id
        assert not self.rig.dispatcher.messages.pending_dead_letters
        assert not self.rig.resend_scheduler.resends_in_progress
        assert not any(self.rig.resend_scheduler.waiting_duplicates.values())
        assert list(self.rig.store.verify()) == []
        settled = [record for record in records if record.status is RecordStatus.SETTLED]
        delivered = settled or Ending.DELIVERED in self.answers.values()
        in_doubt = [
            record for record in records if record.status is RecordStatus.PENDING and record.may_have_executed
        ]
        if "m" in self.answers or records:
            assert delivered or in_doubt, "the message is neither settled nor in doubt"
        if applied_at and not delivered:
            assert in_doubt, "the message was applied, but no record is in doubt"


CASES = [
    pytest.param("deliver", None, id="delivered"),
    pytest.param("refuse", None, id="refused-for-a-while"),
    pytest.param("reset-after", None, id="in-doubt"),
    pytest.param("deliver", 18.0, id="copy-before"),
    pytest.param("late", 33.0, id="copy-beside"),
    pytest.param("deliver", 80.0, id="copy-after"),
]


@pytest.mark.parametrize(("resend_mode", "duplicate_after"), CASES)
def test_a_kill_at_every_point(tmp_path: Path, resend_mode: str, duplicate_after: float | None) -> None:
    undisturbed = KillScenario(tmp_path / "0", [], resend_mode, duplicate_after)
    undisturbed.check()
    undisturbed.rig.close_as_killed()
    assert undisturbed.kill_point_count > 40
    for kill_point in range(1, undisturbed.kill_point_count + 1):
        scenario = KillScenario(tmp_path / f"{kill_point}", [kill_point], resend_mode, duplicate_after)
        try:
            scenario.check()
        except AssertionError as error:
            raise AssertionError(
                f"killed at point {kill_point} of {undisturbed.kill_point_count}: {error}"
            ) from error
        scenario.rig.close_as_killed()


@pytest.mark.parametrize("seed", range(40))
def test_repeated_kills_during_recovery(tmp_path: Path, seed: int) -> None:
    rng = random.Random(seed)
    resend_mode, duplicate_after = CASES[seed % len(CASES)].values
    kills = [rng.randrange(30, 90), *(rng.randrange(1, 40) for _ in range(4))]
    scenario = KillScenario(tmp_path / "day", kills, str(resend_mode), duplicate_after)  # type: ignore[arg-type]
    scenario.check()
    scenario.rig.close_as_killed()
