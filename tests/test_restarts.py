"""Hundreds of messages accepted and not attempted, and restarts meanwhile: a start attempts what it finds.

Virtual time. The health of the endpoints, the list and the time of each restart are drawn from the seed; the
world tracks each message independently of the journal.
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
CALL_DURATION = 40 * MS  # to a healthy endpoint
MAX_DELAY = 300 * MS  # of an ending after the deadline
MAX_START_DELAY = int(1.5 * SECOND)  # of an ending after a start, if the deadline passed before it
RATE = 200.0  # calls a second: enough for all, also in slow start
MEMBERS: list[dict[str, Any]] = [{**row, "size": RATE} for row in ENDPOINT_LIST["members"]]
COMPLETE_LIST = {"revision": 1, "complete": True, "members": MEMBERS}
EMPTY_LIST = {"revision": 0, "complete": True, "members": []}
STATES = ("healthy", "retry after", "unreachable", "rejecting", "slow")


@dataclasses.dataclass
class TrackedMessage:
    """One message as the world knows it. Times in nanoseconds."""

    message_class: MessageClass
    accepted_at: int
    deadline: int
    calls: int = 0
    in_flight: int = 0
    executions: int = 0  # attempts that may have been executed and were not dropped as repeats
    first_execution: int | None = None
    ended_at: int | None = None
    delivered: bool = False


class World:
    """Endpoints, the list and the messages; one process after the other runs in it."""

    def __init__(self, directory: Path, seed: int, state: str, listed: str) -> None:
        self.directory, self.rng, self.state, self.listed = directory, Random(seed), state, listed
        self.time, self.known = VirtualTime(), dict[str, TrackedMessage]()
        self.unhealthy_until = self.started = self.time.time
        self.found: dict[str, int] = {}  # not attempted at a start with half of their time left: that start
        self.node = Node(self, known=COMPLETE_LIST)

    def unhealthy(self) -> bool:
        return self.time.time < self.unhealthy_until

    def submit(self, number: int) -> None:
        message_class = self.rng.randrange(len(CLASSES))
        name, time = f"m{number}", self.time.time
        time_left = int(CLASSES[message_class].deadline * self.rng.uniform(0.85, 1.0))
        tracked = Transaction(
            name, message_class, self.rng.choice((1, 2)), time + time_left, b"body", key=f"k-{name}"
        )
        if self.node.dispatcher.submit(tracked).accepted:
            self.known[name] = TrackedMessage(CLASSES[message_class], time, tracked.deadline)

    def restart(self, how: str) -> None:
        """The process ends by SIGTERM or is killed, and the next one starts with its journal."""
        if how == "SIGTERM":  # as the service does: decisions end, calls in flight have a moment
            self.node.dispatcher.draining, self.node.dispatcher.accepting = True, False
            self.node.dispatcher.stop_deciding(int(1.5 * SECOND))
            self.time.run(0.5)
        self.node.kill()
        self.time.run(0.6)
        self.started = self.time.time
        self.unhealthy_until = self.started + int(self.rng.uniform(0.5, 2.5) * SECOND)
        for name, tracked in self.known.items():
            half_left = tracked.deadline - self.started >= (tracked.deadline - tracked.accepted_at) / 2
            if tracked.ended_at is None and not tracked.calls and half_left:
                self.found.setdefault(name, self.started)
        self.node = Node(self, known=COMPLETE_LIST if self.listed == "known" else EMPTY_LIST)
        if self.listed != "known":
            delay = self.rng.uniform(0.2, 2.0) if self.listed == "late" else 6.0
            node, when = self.node, self.started + int(delay * SECOND)

            def list_endpoints() -> None:
                if not node.dead:
                    node.dispatcher.apply_list_update(node.dispatcher.pool.update(COMPLETE_LIST))

            self.time.call_at(when, list_endpoints)

    def ends(self, name: str, delivered: bool) -> None:
        tracked = self.known[name]
        if tracked.ended_at is None:
            tracked.ended_at, tracked.delivered = self.time.time, delivered


class Node(DispatcherRig):
    """One process: its transport asks the world what becomes of a call."""

    def __init__(self, world: World, known: dict[str, Any]) -> None:
        self.world, self.dead = world, False
        settings: dict[str, Any] = {"classes": CLASSES, "max_messages": 600, "max_concurrent_calls": 12}
        super().__init__(world.directory, world.time, known=known, **settings)

    def start(self, call: Call) -> None:
        if self.dead:
            return
        unhealthy, state = self.world.unhealthy(), self.world.state
        if unhealthy and state == "unreachable":
            self.time.call_at(self.time.time + MS, lambda: self.over(call, Outcome.CONNECT_FAILED))
            return
        super().start(call)
        now = self.time.time
        for message in call.messages:
            tracked = self.world.known[message.id]
            tracked.calls, tracked.in_flight = tracked.calls + 1, tracked.in_flight + 1
            assert tracked.in_flight == 1, "two attempts of one message in flight"
            assert tracked.ended_at is None, "sent after it ended"
            tracked.first_execution = tracked.first_execution if tracked.first_execution is not None else now
        duration = CALL_DURATION
        outcome, wait = Outcome.DELIVERED, 0
        if unhealthy and state == "retry after":
            outcome, wait = Outcome.REJECTED, int(self.world.rng.uniform(0.3, 2.0) * SECOND)
        elif unhealthy and state == "rejecting":
            outcome = Outcome.REJECTED
        elif unhealthy and state == "slow":
            duration = 700 * MS
        elif self.world.rng.random() < 0.05:
            outcome = Outcome.RESET
        if duration >= call.timeout:
            duration, outcome = call.timeout, Outcome.TIMEOUT
        self.time.call_at(now + duration, lambda: self.over(call, outcome, retry_after=wait))

    def over(self, call: Call, outcome: Outcome, **result: Any) -> None:
        if self.dead or not any(call.pending):
            return
        # Too late for one message: it is unknown for the others.
        self.track(call, Outcome.RESET if call.message_expired else outcome)
        self.end(call, outcome, **result)

    def track(self, call: Call, outcome: Outcome) -> None:
        for message, is_open in zip(call.messages, call.pending, strict=True):
            tracked = self.world.known[message.id]
            tracked.in_flight -= call.started and is_open
            if not call.started:
                continue
            if outcome.proves_not_executed:
                tracked.first_execution = tracked.first_execution if tracked.executions else None
                continue
            assert tracked.first_execution is not None
            dropped = (
                tracked.message_class.idempotency is Idempotency.IDEMPOTENCY_KEY
                and self.time.time - tracked.first_execution <= tracked.message_class.deduplication_window
            )
            tracked.executions += tracked.message_class.idempotency is not Idempotency.IDEMPOTENT and not (
                tracked.executions and dropped
            )
            assert tracked.executions <= 1, f"{message.id}: executed twice"
            if outcome is Outcome.DELIVERED:
                self.world.ends(message.id, True)

    def cancel(self, call: Call) -> None:
        self.over(call, Outcome.CANCELLED) if call.started else self.dispatcher.call_ended(
            call, CallResult([])
        )

    def answer(self, transaction: Transaction) -> None:
        self.world.ends(transaction.id, transaction.ending is Ending.DELIVERED)
        super().answer(transaction)

    def kill(self) -> None:
        """Calls in flight may have been executed, and their outcome is lost."""
        for call in {id(tracked): tracked for tracked in self.dispatcher.calls_in_flight.values()}.values():
            self.track(call, Outcome.RESET)
        self.dead = True
        self.dispatcher.accepting = self.dispatcher.sending = False
        self.journal.close()


def run_two_restarts(directory: Path, seed: int, state: str, listed: str, how: str) -> World:
    """400 messages in 2 s, most of them waiting; then two restarts, and each accepted message ends."""
    world = World(directory, seed, state, listed)
    world.unhealthy_until = world.time.time + 10 * SECOND if state != "healthy" else 0
    world.node.dispatcher.policy.limit_concurrent_calls(1)  # most wait for it
    for number in range(400):
        world.submit(number)
        world.time.run(0.005)
    world.restart(how)
    world.time.run(world.rng.uniform(0.1, 1.5))
    world.restart(how)
    world.time.run(25)
    return world


@pytest.mark.parametrize("how", ["kill", "SIGTERM"])
@pytest.mark.parametrize("listed", ["known", "late", "missing"])
@pytest.mark.parametrize("state", STATES)
def test_messages_not_attempted_before_restarts_are_attempted_after_them(
    tmp_path: Path, state: str, listed: str, how: str
) -> None:
    found, uncalled, early = 0, 0, Counter[str]()
    for seed in range(3):
        (directory := tmp_path / str(seed)).mkdir()
        world = run_two_restarts(directory, seed, state, listed, how)
        assert len(world.known) > 300
        unfinished = [name for name, tracked in world.known.items() if tracked.ended_at is None]
        assert not unfinished, f"without an end: {unfinished[:5]} of {len(unfinished)}"
        for name, tracked in world.known.items():
            assert tracked.ended_at is not None
            bound = max(tracked.deadline + MAX_DELAY, world.started + MAX_START_DELAY)
            assert tracked.ended_at <= bound, (
                f"{name}: {(tracked.ended_at - tracked.deadline) / SECOND:.2f} s late"
            )
        found += len(world.found)
        for name in world.found:
            tracked = world.known[name]
            assert tracked.ended_at is not None
            uncalled += not tracked.calls
            if not tracked.calls and tracked.ended_at < tracked.accepted_at + 0.7 * (
                tracked.deadline - tracked.accepted_at
            ):
                early[tracked.message_class.name] += 1
    assert found > 100, "there were messages to attempt"
    assert not early, f"ended early with no call: {dict(early)} of {found}"
    # By their deadline only: endpoints are unhealthy after each restart, and mostly there is no list.
    uncalled_bound = {"known": 0.25, "late": 0.25, "missing": 0.5}[listed]
    assert uncalled <= uncalled_bound * found, f"{uncalled} of {found} ended with no call"
