"""One message, resent, with a kill at every single step of its way: none lost, none repeated."""

from __future__ import annotations

import random
from pathlib import Path

import pytest

from honeyhitch.dead_letters.filters import RecordFilter
from honeyhitch.dead_letters.records import UNRESOLVED, RecordStatus
from honeyhitch.journal.transactions import Ending, Transaction

from .dead_letters_rig import NEVER_KILLED, Killed, KillPoints
from .resend_world import UNSAFE, Partner, ResendRig
from .rig import VirtualTime
from .world import SECOND


class KillScenario:
    """A message that is rejected, stored and resent, with kills at the given points.

    `resend` is the mode in which the receiver answers the resend; at `copy` seconds, if it is not None, the
    client submits a duplicate. Each kill counts from the start before it.
    """

    def __init__(self, folder: Path, kills: list[int], resend: str, copy: float | None) -> None:
        folder.mkdir(parents=True)
        self.folder = folder
        self.kills = kills
        self.resend = resend
        self.copy = copy
        self.clock = VirtualTime()
        self.partner = Partner()
        self.rng = random.Random(5)
        self.answers: dict[str, Ending | None] = {}
        self.started_at = self.clock.time
        self.steps = 0
        self.submitted: set[str] = set()
        self.rig = self.start()
        while self.clock.time < self.started_at + 150 * SECOND:
            try:
                self.step()
            except Killed:
                self.steps += self.rig.kill_points.count
                self.receive_answers()
                self.rig.close_as_killed()
                self.clock.time += SECOND
                self.rig = self.start()
        self.steps += self.rig.kill_points.count

    def start(self) -> ResendRig:
        points = KillPoints(self.kills.pop(0) if self.kills else NEVER_KILLED)
        return ResendRig(self.folder, self.clock, self.partner, self.rng, points)

    def submit(self, name: str) -> None:
        if name not in self.submitted and self.rig.dispatcher.accepting:
            self.submitted.add(name)
            at = self.clock.time + 6 * SECOND
            self.rig.dispatcher.submit(Transaction(name, UNSAFE, 1, at, b"body", key="k", frontend="mqtt"))

    def step(self) -> None:
        elapsed = (self.clock.time - self.started_at) / SECOND
        self.rig.modes = (self.mode_at(elapsed),)
        if elapsed > 1:
            self.submit("m")
        if self.copy is not None and elapsed > self.copy:
            self.submit("copy")
        try:
            self.rig.run(0.2)
        finally:
            self.receive_answers()
        self.partner.apply_due(self.clock.time)

    def mode_at(self, elapsed: float) -> str:
        """How the receiver answers after so many seconds."""
        if elapsed < 12:
            return "refuse"
        return self.resend if elapsed < 60 else "deliver"

    def receive_answers(self) -> None:
        for answer in self.rig.answers:
            first_ending = self.answers.setdefault(answer.id, answer.ending)
            assert first_ending is answer.ending, f"{answer.id}: two answers"

    def check(self) -> None:
        records = [stored.record for stored in self.rig.store.page(RecordFilter(), limit=100)]
        applied = self.partner.ledger.get("k", [])
        assert len(applied) <= 1, "applied twice"
        assert len([record for record in records if record.status in UNRESOLVED]) <= 1, (
            "a message stands twice"
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
            assert delivered or in_doubt, "neither settled nor in doubt"
        if applied and not delivered:
            assert in_doubt, "it was applied, and no record tells"


CASES = [
    pytest.param("deliver", None, id="delivered"),
    pytest.param("refuse", None, id="refused-for-a-while"),
    pytest.param("reset-after", None, id="in-doubt"),
    pytest.param("deliver", 18.0, id="copy-before"),
    pytest.param("late", 33.0, id="copy-beside"),
    pytest.param("deliver", 80.0, id="copy-after"),
]


@pytest.mark.parametrize(("resend", "copy"), CASES)
def test_killed_at_every_step(tmp_path: Path, resend: str, copy: float | None) -> None:
    undisturbed = KillScenario(tmp_path / "0", [], resend, copy)
    undisturbed.check()
    undisturbed.rig.close_as_killed()
    assert undisturbed.steps > 40
    for at in range(1, undisturbed.steps + 1):
        scenario = KillScenario(tmp_path / f"{at}", [at], resend, copy)
        try:
            scenario.check()
        except AssertionError as error:
            raise AssertionError(f"killed at step {at} of {undisturbed.steps}: {error}") from error
        scenario.rig.close_as_killed()


@pytest.mark.parametrize("seed", range(40))
def test_killed_and_killed_again_while_it_comes_back(tmp_path: Path, seed: int) -> None:
    rng = random.Random(seed)
    resend, copy = CASES[seed % len(CASES)].values
    kills = [rng.randrange(30, 90), *(rng.randrange(1, 40) for _ in range(4))]
    scenario = KillScenario(tmp_path / "day", kills, str(resend), copy)  # type: ignore[arg-type]
    scenario.check()
    scenario.rig.close_as_killed()
