"""Tests that messages accepted but not attempted before a restart are attempted after it, in virtual time.

Hundreds of messages wait while a dispatcher restarts. The health of the endpoints, the endpoint list and the
time of each restart are drawn from the seed. The world tracks each message independently of the journal.
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
CALL_DURATION = 40 * MS  # duration of a call to a healthy endpoint
MAX_DELAY = 300 * MS  # maximum time from the deadline to the ending
MAX_START_DELAY = int(1.5 * SECOND)  # from a start to the ending, if the deadline passed before that start
RATE = 200.0  # calls per second; enough for all messages, even during slow start
ENDPOINT_ROWS: list[dict[str, Any]] = [{**row, "size": RATE} for row in ENDPOINT_LIST["members"]]
COMPLETE_LIST = {"revision": 1, "complete": True, "members": ENDPOINT_ROWS}
EMPTY_LIST = {"revision": 0, "complete": True, "members": []}
STATES = ("healthy", "retry after", "unreachable", "rejecting", "slow")


@dataclasses.dataclass
class TrackedMessage:
    """One message as tracked by the world. Times are in nanoseconds."""

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
    """The endpoints, the endpoint list and the messages; it runs one dispatcher process after another."""

    def __init__(self, directory: Path, seed: int, state: str, list_state: str) -> None:
        self.directory, self.rng, self.state, self.list_state = directory, Random(seed), state, list_state
        self.time, self.tracked = VirtualTime(), dict[str, TrackedMessage]()
        self.unhealthy_until = self.started_at = self.time.time
        # By message id: the first start of a process with no attempt of the message and half its time left.
        self.unattempted: dict[str, int] = {}
        self.node = Node(self, endpoint_list=COMPLETE_LIST)

    def unhealthy(self) -> bool:
        return self.time.time < self.unhealthy_until

    def submit(self, number: int) -> None:
        message_class = self.rng.randrange(len(CLASSES))
        name, now = f"m{number}", self.time.time
        time_left = int(CLASSES[message_class].deadline * self.rng.uniform(0.85, 1.0))
        transaction = Transaction(
            name, message_class, self.rng.choice((1, 2)), now + time_left, b"body", key=f"k-{name}"
        )
        if self.node.dispatcher.submit(transaction).accepted:
            self.tracked[name] = TrackedMessage(CLASSES[message_class], now, transaction.deadline)

    def restart(self, stop_method: str) -> None:
        """End the process by SIGTERM or kill it, and start the next process with its journal."""
        if stop_method == "SIGTERM":  # as in the service: decisions stop, calls in flight get time to end
            self.node.dispatcher.draining, self.node.dispatcher.accepting = True, False
            self.node.dispatcher.stop_deciding(int(1.5 * SECOND))
            self.time.advance(0.5)
        self.node.kill()
        self.time.advance(0.6)
        self.started_at = self.time.time
        self.unhealthy_until = self.started_at + int(self.rng.uniform(0.5, 2.5) * SECOND)
        for name, tracked in self.tracked.items():
            half_left = tracked.deadline - self.started_at >= (tracked.deadline - tracked.accepted_at) / 2
            if tracked.ended_at is None and not tracked.calls and half_left:
                self.unattempted.setdefault(name, self.started_at)
        self.node = Node(self, endpoint_list=COMPLETE_LIST if self.list_state == "known" else EMPTY_LIST)
        if self.list_state != "known":
            delay = self.rng.uniform(0.2, 2.0) if self.list_state == "late" else 6.0
            node, list_time = self.node, self.started_at + int(delay * SECOND)

            def list_endpoints() -> None:
                if not node.killed:
                    node.dispatcher.apply_list_update(node.dispatcher.pool.update(COMPLETE_LIST))

            self.time.call_at(list_time, list_endpoints)

    def record_end(self, name: str, delivered: bool) -> None:
        tracked = self.tracked[name]
        if tracked.ended_at is None:
            tracked.ended_at, tracked.delivered = self.time.time, delivered


class Node(DispatcherRig):
    """One dispatcher process; the state of the world decides the outcome of each call."""

    def __init__(self, world: World, endpoint_list: dict[str, Any]) -> None:
        self.world, self.killed = world, False
        node_settings: dict[str, Any] = {"classes": CLASSES, "max_messages": 600, "max_concurrent_calls": 12}
        super().__init__(world.directory, world.time, endpoint_list=endpoint_list, **node_settings)

    def start(self, call: Call) -> None:
        if self.killed:
            return
        unhealthy, state = self.world.unhealthy(), self.world.state
        if unhealthy and state == "unreachable":
            self.time.call_at(self.time.time + MS, lambda: self.end_call(call, Outcome.CONNECT_FAILED))
            return
        super().start(call)
        now = self.time.time
        for message in call.messages:
            tracked = self.world.tracked[message.id]
            tracked.calls, tracked.in_flight = tracked.calls + 1, tracked.in_flight + 1
            assert tracked.in_flight == 1, "two attempts of one message in flight"
            assert tracked.ended_at is None, "an attempt started after the message had ended"
            tracked.first_execution = tracked.first_execution if tracked.first_execution is not None else now
        duration = CALL_DURATION
        outcome, retry_after = Outcome.DELIVERED, 0
        if unhealthy and state == "retry after":
            outcome, retry_after = Outcome.REJECTED, int(self.world.rng.uniform(0.3, 2.0) * SECOND)
        elif unhealthy and state == "rejecting":
            outcome = Outcome.REJECTED
        elif unhealthy and state == "slow":
            duration = 700 * MS
        elif self.world.rng.random() < 0.05:
            outcome = Outcome.RESET
        if duration >= call.timeout:
            duration, outcome = call.timeout, Outcome.TIMEOUT
        self.time.call_at(now + duration, lambda: self.end_call(call, outcome, retry_after=retry_after))

    def end_call(self, call: Call, outcome: Outcome, **result_fields: Any) -> None:
        if self.killed or not any(call.pending):
            return
        # A reply that is too late for one message leaves the outcome of the others unknown.
        self.track(call, Outcome.RESET if call.message_expired else outcome)
        self.end(call, outcome, **result_fields)

    def track(self, call: Call, outcome: Outcome) -> None:
        for message, is_pending in zip(call.messages, call.pending, strict=True):
            tracked = self.world.tracked[message.id]
            tracked.in_flight -= call.started and is_pending
            if not call.started:
                continue
            if outcome.proves_not_executed:
                tracked.first_execution = tracked.first_execution if tracked.executions else None
                continue
            assert tracked.first_execution is not None
            dropped_as_repeat = (
                tracked.message_class.idempotency is Idempotency.IDEMPOTENCY_KEY
                and self.time.time - tracked.first_execution <= tracked.message_class.deduplication_window
            )
            tracked.executions += tracked.message_class.idempotency is not Idempotency.IDEMPOTENT and not (
                tracked.executions and dropped_as_repeat
            )
            assert tracked.executions <= 1, f"{message.id}: executed twice"
            if outcome is Outcome.DELIVERED:
                self.world.record_end(message.id, True)

    def cancel(self, call: Call) -> None:
        self.end_call(call, Outcome.CANCELLED) if call.started else self.dispatcher.call_ended(
            call, CallResult([])
        )

    def answer(self, transaction: Transaction) -> None:
        self.world.record_end(transaction.id, transaction.ending is Ending.DELIVERED)
        super().answer(transaction)

    def kill(self) -> None:
        """Kill the process; calls in flight may have been executed, and their outcomes are lost."""
        for call in {
            id(call_in_flight): call_in_flight for call_in_flight in self.dispatcher.calls_in_flight.values()
        }.values():
            self.track(call, Outcome.RESET)
        self.killed = True
        self.dispatcher.accepting = self.dispatcher.sending = False
        self.journal.close()


def run_two_restarts(directory: Path, seed: int, state: str, list_state: str, stop_method: str) -> World:
    """Submit 400 messages in 2 s, most of which wait, restart twice, and let all accepted messages end."""
    world = World(directory, seed, state, list_state)
    world.unhealthy_until = world.time.time + 10 * SECOND if state != "healthy" else 0
    world.node.dispatcher.policy.limit_concurrent_calls(1)  # most messages wait for the only slot
    for number in range(400):
        world.submit(number)
        world.time.advance(0.005)
    world.restart(stop_method)
    world.time.advance(world.rng.uniform(0.1, 1.5))
    world.restart(stop_method)
    world.time.advance(25)
    return world


@pytest.mark.parametrize("stop_method", ["kill", "SIGTERM"])
@pytest.mark.parametrize("list_state", ["known", "late", "missing"])
@pytest.mark.parametrize("state", STATES)
def test_messages_not_attempted_before_restarts_are_attempted_after_them(
    tmp_path: Path, state: str, list_state: str, stop_method: str
) -> None:
    unattempted_count, uncalled_count, ended_early = 0, 0, Counter[str]()
    for seed in range(3):
        (directory := tmp_path / str(seed)).mkdir()
        world = run_two_restarts(directory, seed, state, list_state, stop_method)
        assert len(world.tracked) > 300
        unfinished = [name for name, tracked in world.tracked.items() if tracked.ended_at is None]
        assert not unfinished, f"messages that did not end: {unfinished[:5]} of {len(unfinished)}"
        for name, tracked in world.tracked.items():
            assert tracked.ended_at is not None
            latest_end = max(tracked.deadline + MAX_DELAY, world.started_at + MAX_START_DELAY)
            assert tracked.ended_at <= latest_end, (
                f"{name}: ended {(tracked.ended_at - tracked.deadline) / SECOND:.2f} s after its deadline"
            )
        unattempted_count += len(world.unattempted)
        for name in world.unattempted:
            tracked = world.tracked[name]
            assert tracked.ended_at is not None
            uncalled_count += not tracked.calls
            if not tracked.calls and tracked.ended_at < tracked.accepted_at + 0.7 * (
                tracked.deadline - tracked.accepted_at
            ):
                ended_early[tracked.message_class.name] += 1
    assert unattempted_count > 100, "over 100 messages were not attempted before the restarts"
    assert not ended_early, f"ended early without a call: {dict(ended_early)} of {unattempted_count}"
    # Messages without a call end at their deadline: endpoints are unhealthy after each restart, and in most
    # cases there is no endpoint list at first.
    uncalled_bound = {"known": 0.25, "late": 0.25, "missing": 0.5}[list_state]
    assert uncalled_count <= uncalled_bound * unattempted_count, (
        f"{uncalled_count} of {unattempted_count} ended without a call"
    )
