"""Hundreds of messages taken on and untried, and restarts in the middle of them: what a start finds is tried.

Virtual time. The partners' state, the list and the moment of each end are drawn from the seed; the books here
are the world's own, kept beside the journal.
"""

from __future__ import annotations

import dataclasses
from collections import Counter
from pathlib import Path
from random import Random
from typing import Any

import pytest

from honeyhitch.dispatcher.delivery import Call, CallResult
from honeyhitch.journal.transactions import Ending, Transaction
from honeyhitch.policy.events import Outcome
from honeyhitch.policy.settings import Idempotency, MessageClass

from .rig import ENDPOINT_LIST, STANDARD_CLASS, DispatcherRig, VirtualTime
from .world import MS, SECOND

CLASSES = (
    dataclasses.replace(
        STANDARD_CLASS,
        name="safe",
        idempotency=Idempotency.IDEMPOTENT,
        deduplication_window=0,
        deadline=8 * SECOND,
    ),
    dataclasses.replace(STANDARD_CLASS, name="keyed", deduplication_window=3 * SECOND, deadline=12 * SECOND),
    dataclasses.replace(
        STANDARD_CLASS,
        name="unsafe",
        idempotency=Idempotency.NON_IDEMPOTENT,
        deduplication_window=0,
        deadline=20 * SECOND,
    ),
)
TOOK = 40 * MS  # a call to a partner that is well
LATE = 300 * MS  # an end may be late by
READY = int(1.5 * SECOND)  # and by so long after a start, where its time ended meanwhile
MEMBERS = [
    {**one, "size": 200.0} for one in ENDPOINT_LIST["members"]
]  # calls a second: enough for all, cold too
WHOLE = {"revision": 1, "complete": True, "members": MEMBERS}
EMPTY = {"revision": 0, "complete": True, "members": []}
STATES = ("well", "waits", "out", "shut", "slow")


@dataclasses.dataclass
class Known:
    """One message as the world knows it."""

    cls: MessageClass
    taken: int
    deadline: int
    calls: int = 0
    out: int = 0
    ran: int = 0  # attempts that took effect, or may have, without being dropped as repeats
    first_ran: int | None = None
    ended: int | None = None
    delivered: bool = False


class World:
    """Partners, the list and the books; one process after the other stands in it."""

    def __init__(self, folder: Path, seed: int, state: str, listed: str) -> None:
        self.folder, self.rng, self.state, self.listed = folder, Random(seed), state, listed
        self.time, self.known = VirtualTime(), dict[str, Known]()
        self.sick_until = self.started = self.time.time
        self.found: dict[str, int] = {}  # untried at a start with half of their time left: time of that start
        self.node = Node(self, known=WHOLE)

    def sick(self) -> bool:
        return self.time.time < self.sick_until

    def hand_in(self, number: int) -> None:
        cls = self.rng.randrange(len(CLASSES))
        name, time = f"m{number}", self.time.time
        left = int(CLASSES[cls].deadline * self.rng.uniform(0.85, 1.0))
        one = Transaction(name, cls, self.rng.choice((1, 2)), time + left, b"body", key=f"k-{name}")
        if self.node.dispatcher.submit(one).accepted:
            self.known[name] = Known(CLASSES[cls], time, one.deadline)

    def restart(self, how: str) -> None:
        """The process ends by SIGTERM or without one, and the next one starts on what it left."""
        if how == "term":  # as lifecycle.serve: decisions end, calls out have a moment
            self.node.dispatcher.draining, self.node.dispatcher.accepting = True, False
            self.node.dispatcher.stop_deciding(int(1.5 * SECOND))
            self.time.run(0.5)
        self.node.kill()
        self.time.run(0.6)
        self.started = self.time.time
        self.sick_until = self.started + int(self.rng.uniform(0.5, 2.5) * SECOND)
        for name, one in self.known.items():
            half = one.deadline - self.started >= (one.deadline - one.taken) / 2
            if one.ended is None and not one.calls and half:
                self.found.setdefault(name, self.started)
        self.node = Node(self, known=WHOLE if self.listed == "known" else EMPTY)
        if self.listed != "known":
            late = self.rng.uniform(0.2, 2.0) if self.listed == "late" else 6.0
            node, when = self.node, self.started + int(late * SECOND)
            self.time.call_at(
                when,
                lambda: node.dead or node.dispatcher.apply_list_update(node.dispatcher.pool.update(WHOLE)),
            )

    def ends(self, name: str, delivered: bool) -> None:
        one = self.known[name]
        if one.ended is None:
            one.ended, one.delivered = self.time.time, delivered


class Node(DispatcherRig):
    """One process: its carrier asks the world what becomes of a call."""

    def __init__(self, world: World, known: dict[str, Any]) -> None:
        self.world, self.dead = world, False
        settings: dict[str, Any] = {"classes": CLASSES, "max_messages": 600, "max_concurrent_calls": 12}
        super().__init__(world.folder, world.time, known=known, **settings)

    def start(self, call: Call) -> None:
        if self.dead:
            return
        sick, state = self.world.sick(), self.world.state
        if sick and state == "out":
            self.time.call_at(self.time.time + MS, lambda: self.over(call, Outcome.CONNECT_FAILED))
            return
        super().start(call)
        now = self.time.time
        for part in call.messages:
            one = self.world.known[part.id]
            one.calls, one.out = one.calls + 1, one.out + 1
            assert one.out == 1, "two attempts of one message out"
            assert one.ended is None, "sent after its end"
            one.first_ran = one.first_ran if one.first_ran is not None else now
        took = TOOK
        outcome, wait = Outcome.DELIVERED, 0
        if sick and state == "waits":
            outcome, wait = Outcome.REJECTED, int(self.world.rng.uniform(0.3, 2.0) * SECOND)
        elif sick and state == "shut":
            outcome = Outcome.REJECTED
        elif sick and state == "slow":
            took = 700 * MS
        elif self.world.rng.random() < 0.05:
            outcome = Outcome.RESET
        if took >= call.timeout:
            took, outcome = call.timeout, Outcome.TIMEOUT
        self.time.call_at(now + took, lambda: self.over(call, outcome, retry_after=wait))

    def over(self, call: Call, outcome: Outcome, **told: Any) -> None:
        if self.dead or not any(call.pending):
            return
        self.books(
            call, Outcome.RESET if call.message_expired else outcome
        )  # late for one: nobody can tell for others
        self.end(call, outcome, **told)

    def books(self, call: Call, outcome: Outcome) -> None:
        for part, is_open in zip(call.messages, call.pending, strict=True):
            one = self.world.known[part.id]
            one.out -= call.started and is_open
            if not call.started:
                continue
            if outcome.proves_not_executed:
                one.first_ran = one.first_ran if one.ran else None
                continue
            assert one.first_ran is not None
            dropped = (
                one.cls.idempotency is Idempotency.IDEMPOTENCY_KEY
                and self.time.time - one.first_ran <= one.cls.deduplication_window
            )
            one.ran += one.cls.idempotency is not Idempotency.IDEMPOTENT and not (one.ran and dropped)
            assert one.ran <= 1, f"{part.id}: took effect twice"
            if outcome is Outcome.DELIVERED:
                self.world.ends(part.id, True)

    def cancel(self, call: Call) -> None:
        self.over(call, Outcome.CANCELLED) if call.started else self.dispatcher.call_ended(
            call, CallResult([])
        )

    def answer(self, transaction: Transaction) -> None:
        self.world.ends(transaction.id, transaction.ending is Ending.DELIVERED)
        super().answer(transaction)

    def kill(self) -> None:
        """What is out may have run, and nobody hears of it."""
        for call in {id(one): one for one in self.dispatcher.calls_in_flight.values()}.values():
            self.books(call, Outcome.RESET)
        self.dead = True
        self.dispatcher.accepting = self.dispatcher.sending = False
        self.journal.close()


def a_day(folder: Path, seed: int, state: str, listed: str, how: str) -> World:
    """400 messages in 2 s, most of them held back; then two restarts, and all that is owed ends."""
    world = World(folder, seed, state, listed)
    world.sick_until = world.time.time + 10 * SECOND if state != "well" else 0
    world.node.dispatcher.policy.limit_concurrent_calls(1)  # most wait for a slot
    for number in range(400):
        world.hand_in(number)
        world.time.run(0.005)
    world.restart(how)
    world.time.run(world.rng.uniform(0.1, 1.5))
    world.restart(how)
    world.time.run(25)
    return world


@pytest.mark.parametrize("how", ["kill", "term"])
@pytest.mark.parametrize("listed", ["known", "late", "missing"])
@pytest.mark.parametrize("state", STATES)
def test_what_restarts_find_untried_is_tried(tmp_path: Path, state: str, listed: str, how: str) -> None:
    found, uncalled, early = 0, 0, Counter[str]()
    for seed in range(3):
        (folder := tmp_path / str(seed)).mkdir()
        world = a_day(folder, seed, state, listed, how)
        assert len(world.known) > 300
        lost = [name for name, one in world.known.items() if one.ended is None]
        assert not lost, f"without an end: {lost[:5]} of {len(lost)}"
        for name, one in world.known.items():
            assert one.ended is not None
            bound = max(one.deadline + LATE, world.started + READY)
            assert one.ended <= bound, f"{name}: {(one.ended - one.deadline) / SECOND:.2f} s late"
        found += len(world.found)
        for name in world.found:
            one = world.known[name]
            assert one.ended is not None
            uncalled += not one.calls
            if not one.calls and one.ended < one.taken + 0.7 * (one.deadline - one.taken):
                early[one.cls.name] += 1
    assert found > 100, "there was something to find"
    assert not early, f"given up early with no call: {dict(early)} of {found}"
    # At their own end only: partners that are sick after each restart, and no list for most of their time.
    bound = {"known": 0.25, "late": 0.25, "missing": 0.5}[listed]
    assert uncalled <= bound * found, f"{uncalled} of {found} ended with no call"
