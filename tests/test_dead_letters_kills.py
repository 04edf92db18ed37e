"""One message, resent, with a kill at every single step of its way: none lost, none repeated."""

from __future__ import annotations

import random
from pathlib import Path

import pytest

from honeyhitch.dead_letters.filters import RecordFilter
from honeyhitch.dead_letters.records import UNRESOLVED, RecordStatus
from honeyhitch.journal.transactions import Ending, Transaction

from .dead_letters_rig import Killed, Points
from .resend_world import UNSAFE, Partner, ResendStand
from .rig import VirtualTime
from .world import SECOND


class Story:
    """A message that is refused, kept and resent; a second kill may strike some steps after the first."""

    def __init__(self, folder: Path, kills: list[int], resend: str, copy: float | None) -> None:
        folder.mkdir(parents=True)
        self.folder, self.kills, self.resend, self.copy = folder, kills, resend, copy
        self.clock, self.partner, self.rng = VirtualTime(), Partner(), random.Random(5)
        self.answers: dict[str, Ending | None] = {}
        self.began, self.steps = self.clock.time, 0
        self.handed: set[str] = set()
        self.stand = self.fresh()
        while self.clock.time < self.began + 150 * SECOND:
            try:
                self.step()
            except Killed:
                self.steps += self.stand.points.seen
                self.hear()
                self.stand.gone()
                self.clock.time += SECOND
                self.stand = self.fresh()
        self.steps += self.stand.points.seen

    def fresh(self) -> ResendStand:
        points = Points(self.kills.pop(0) if self.kills else -1)
        return ResendStand(self.folder, self.clock, self.partner, self.rng, points)

    def hand_in(self, name: str) -> None:
        if name not in self.handed and self.stand.dispatcher.accepting:
            self.handed.add(name)
            at = self.clock.time + 6 * SECOND
            self.stand.dispatcher.submit(Transaction(name, UNSAFE, 1, at, b"body", key="k", frontend="mqtt"))

    def step(self) -> None:
        gone = (self.clock.time - self.began) / SECOND
        modes = ("refuse",) if gone < 12 else (self.resend,) if gone < 60 else ("deliver",)
        self.stand.modes = modes
        if gone > 1:
            self.hand_in("m")
        if self.copy is not None and gone > self.copy:
            self.hand_in("copy")
        try:
            self.stand.run(0.2)
        finally:
            self.hear()
        self.partner.run(self.clock.time)

    def hear(self) -> None:
        for one in self.stand.answers:
            assert self.answers.setdefault(one.id, one.ending) is one.ending, f"{one.id}: two answers"

    def check(self) -> None:
        found = [one.record for one in self.stand.store.page(RecordFilter(), limit=100)]
        applied = self.partner.ledger.get("k", [])
        assert len(applied) <= 1, "applied twice"
        assert len([one for one in found if one.status in UNRESOLVED]) <= 1, "a message stands twice"
        assert not self.stand.dispatcher.messages.by_id
        assert not self.stand.dispatcher.messages.pending_dead_letters
        assert not self.stand.resending.resends_in_progress
        assert not any(self.stand.resending.waiting_duplicates.values())
        assert list(self.stand.store.verify()) == []
        settled = [one for one in found if one.status is RecordStatus.SETTLED]
        done = settled or Ending.DELIVERED in self.answers.values()
        doubt = [one for one in found if one.status is RecordStatus.PENDING and one.may_have_executed]
        if "m" in self.answers or found:
            assert done or doubt, "neither settled nor in doubt"
        if applied and not done:
            assert doubt, "it was applied, and nobody would know"


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
    whole = Story(tmp_path / "0", [], resend, copy)
    whole.check()
    whole.stand.gone()
    assert whole.steps > 40
    for at in range(1, whole.steps + 1):
        story = Story(tmp_path / f"{at}", [at], resend, copy)
        try:
            story.check()
        except AssertionError as error:
            raise AssertionError(f"killed at step {at} of {whole.steps}: {error}") from error
        story.stand.gone()


@pytest.mark.parametrize("seed", range(40))
def test_killed_and_killed_again_while_it_comes_back(tmp_path: Path, seed: int) -> None:
    rng = random.Random(seed)
    resend, copy = CASES[seed % len(CASES)].values
    kills = [rng.randrange(30, 90), *(rng.randrange(1, 40) for _ in range(4))]
    story = Story(tmp_path / "day", kills, str(resend), copy)  # type: ignore[arg-type]
    story.check()
    story.stand.gone()
