"""A driver for the module's tests that keeps its own account of the six rules."""

from __future__ import annotations

import collections
import dataclasses
from typing import Any

from honeyhitch.policy.actions import Action, Cancel, Fail, Reject, Send, SetTimer
from honeyhitch.policy.engine import DeliveryPolicy
from honeyhitch.policy.events import (
    AttemptEnded,
    EndpointListing,
    EndpointListUpdate,
    EndpointStatus,
    Event,
    MessageWithdrawn,
    NewMessage,
    Outcome,
    TimerFired,
    UpdateMode,
)
from honeyhitch.policy.settings import (
    DeduplicationScope,
    DestinationKind,
    Idempotency,
    ListedRateMeaning,
    MessageClass,
    Settings,
)

MS = 1_000_000
SECOND = 1000 * MS
SAFE = MessageClass(Idempotency.IDEMPOTENT, latency_objective=2 * SECOND, deadline=16 * SECOND)
KEYED = MessageClass(
    Idempotency.IDEMPOTENCY_KEY,
    latency_objective=2 * SECOND,
    deadline=20 * SECOND,
    deduplication_window=6 * SECOND,
)
ZONED = dataclasses.replace(KEYED, deduplication_scope=DeduplicationScope.ZONE)
UNSAFE = MessageClass(
    Idempotency.NON_IDEMPOTENT, latency_objective=2 * SECOND, deadline=24 * SECOND, priority_weight=3.0
)
ORDERED = dataclasses.replace(UNSAFE, ordered=True)
CLASSES = (SAFE, KEYED, ZONED, UNSAFE, ORDERED)
DRAIN_GRACE, ANSWER_SLACK = 500 * MS, 20 * MS
RAN = {Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED}
RESTS = {Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED}


def settings(**changes: Any) -> Settings:
    """Plain settings for tests, with changes."""
    base: dict[str, Any] = {
        "classes": CLASSES,
        "kinds": (DestinationKind(),),
        "max_concurrent_calls": 12,
        "overload_factor": 2.0,
        "slow_start_fraction": 0.2,
        "slow_start_duration": 10 * SECOND,
        "ordering_pause": 100 * MS,
        "instance_count": 1,
        "max_attempts": 8,
        "can_cancel": True,
        "max_retry_after": 3 * SECOND,
        "connect_timeout": SECOND,
        "resolution": 5 * MS,
        "listed_rate_meaning": ListedRateMeaning.NOMINAL,
    }
    return Settings(**{**base, **changes})


@dataclasses.dataclass
class Attempt:
    """One attempt as the world saw it."""

    number: int
    endpoint: str
    sent: int
    timeout: int
    outcome: Outcome | None = None
    ended: int = 0


@dataclasses.dataclass
class Known:
    """One message as the world handed it in."""

    event: NewMessage
    cls: MessageClass
    taken: int
    attempts: list[Attempt] = dataclasses.field(default_factory=list)
    answers: list[tuple[int, str]] = dataclasses.field(default_factory=list)
    withdrawn_at: int | None = None

    @property
    def over(self) -> bool:
        return bool(self.answers) or self.withdrawn_at is not None


class World:
    """Feeds one instance and raises AssertionError where an action breaks a rule."""

    def __init__(self, given: Settings, entries: tuple[EndpointListing, ...], seed: int = 7) -> None:
        self.s, self.brain, self.now = given, DeliveryPolicy(given, seed), 0
        self.entries = {e.endpoint: e for e in entries}
        self.stopped: dict[str, int] = {}
        self.waits: dict[object, int] = {}
        self.messages: dict[str, Known] = {}
        self.order: list[str] = []
        self.timer: int | None = None
        self.log: list[tuple[int, Action]] = []
        self.batch([EndpointListUpdate(UpdateMode.CACHED, entries)])

    def bound(self, endpoint: str) -> object:
        """What a told wait at this endpoint binds."""
        entry = self.entries[endpoint]
        return endpoint if self.s.kinds[entry.kind].limits_per_endpoint else entry.destination

    def batch(self, events: list[Event], at: int | None = None) -> list[Action]:
        """Move the clock and let the instance act; `at` may not lie before the present."""
        self.now = self.now if at is None else at
        waits_before = dict(self.waits)
        for event in events:
            self.take(event)
        if self.timer is not None and self.timer <= self.now:
            self.timer = None
            events = [*events, TimerFired()]
        actions = self.brain.handle(self.now, events)
        for action in actions:
            self.check(action, waits_before)
        self.log += [(self.now, action) for action in actions]
        return actions

    def take(self, event: Event) -> None:
        """Enter an event in the account."""
        match event:
            case NewMessage():
                self.messages[event.message] = Known(event, self.s.classes[event.class_index], self.now)
                self.order.append(event.message)
            case AttemptEnded():
                known = self.messages[event.message]
                attempt = known.attempts[event.attempt]
                attempt.outcome, attempt.ended = event.outcome, self.now
                if event.outcome is Outcome.DELIVERED and not known.over:
                    known.answers.append((self.now, "delivered"))
                if event.retry_after:
                    bound = self.bound(event.endpoint)
                    self.waits[bound] = max(self.waits.get(bound, 0), self.now + event.retry_after)
            case MessageWithdrawn():
                self.messages[event.message].withdrawn_at = self.now
            case EndpointListUpdate():
                for entry in event.listings:
                    self.entries[entry.endpoint] = entry
                    if entry.status is not EndpointStatus.READY:
                        self.stopped.setdefault(entry.endpoint, self.now)

    def check(self, action: Action, waits: dict[object, int]) -> None:
        """One action against the rules."""
        match action:
            case Send(name, endpoint, timeout):
                self.check_send(self.messages[name], endpoint, waits)
                known = self.messages[name]
                known.attempts.append(Attempt(len(known.attempts), endpoint, self.now, timeout))
            case Reject(name, _) | Fail(name):
                known = self.messages[name]
                # An earlier event of the batch that withdraws it may have ended it already.
                assert not known.answers, "two final answers"
                assert known.withdrawn_at in (None, self.now), "answered though withdrawn"
                left = known.taken + known.event.time_left + ANSWER_SLACK
                assert self.now <= max(left, known.taken), "answered too late"
                if isinstance(action, Reject):
                    ran = [a for a in known.attempts if a.outcome is None or a.outcome in RAN]
                    assert known.cls.idempotency is not Idempotency.NON_IDEMPOTENT or not ran, (
                        "unsafe refused"
                    )
                    zoned = (
                        known.cls.idempotency is Idempotency.IDEMPOTENCY_KEY
                        and known.cls.deduplication_scope is DeduplicationScope.ZONE
                    )
                    assert not (zoned and ran), "keyed by zone refused"
                known.answers.append((self.now, type(action).__name__))
            case SetTimer(at):
                self.timer = at if self.timer is None else min(self.timer, at)
            case Cancel():
                assert self.s.can_cancel

    def check_send(self, known: Known, endpoint: str, waits: dict[object, int]) -> None:
        """Rules 1, 2, 3, 5 and 6 and the slots for one send."""
        entry = self.entries[endpoint]
        assert entry.destination == known.event.destination, "sent elsewhere"
        assert not known.over, "sent after its end"
        assert all(a.outcome is not None for a in known.attempts), "two attempts out"
        assert len(known.attempts) < self.s.max_attempts, "too many attempts"
        ran = [a for a in known.attempts if a.outcome in RAN]
        assert not (ran and known.cls.idempotency is Idempotency.NON_IDEMPOTENT), "unsafe repeated"
        if ran and known.cls.idempotency is Idempotency.IDEMPOTENCY_KEY:
            assert self.now <= ran[0].sent + known.cls.deduplication_window, "keyed outside its window"
            if known.cls.deduplication_scope is DeduplicationScope.ZONE:
                assert entry.zone == self.entries[ran[0].endpoint].zone, "keyed outside its zone"
        assert self.now <= self.stopped.get(endpoint, 1 << 62) + DRAIN_GRACE, "sent past a drain"
        assert self.now >= waits.get(self.bound(endpoint), 0), "sent inside a told wait"
        assert self.calls_out(endpoint) <= self.s.max_concurrent_calls, "sent without a slot"
        if known.cls.ordered and known.event.ordering_key is not None:
            self.check_order(known)

    def calls_out(self, endpoint: str) -> int:
        """Calls out with one more message to this endpoint; those of one batch travel together."""
        groups = collections.Counter({(endpoint, self.now): 1})
        for known in self.messages.values():
            groups.update((a.endpoint, a.sent) for a in known.attempts if a.outcome is None)
        most = {name: self.s.kinds[entry.kind].max_messages_per_call for name, entry in self.entries.items()}
        return sum(-(-count // most[name]) for (name, _), count in groups.items())

    def check_order(self, known: Known) -> None:
        for name in self.order[: self.order.index(known.event.message)]:
            earlier = self.messages[name]
            if not earlier.cls.ordered or earlier.event.ordering_key != known.event.ordering_key:
                continue
            assert earlier.over, "sent before an earlier one was over"
            assert all(a.outcome is not None for a in earlier.attempts), "an earlier attempt is out"
            rests = [a.ended for a in earlier.attempts if a.outcome in RESTS]
            assert all(self.now >= ended + self.s.ordering_pause for ended in rests), "the key rests"

    def hand_in(self, name: str, cls: int = 0, dest: int = 0, **more: Any) -> NewMessage:
        """A fresh message with its class's full time."""
        more.setdefault("time_left", self.s.classes[cls].deadline)
        return NewMessage(name, cls, dest, **more)

    def end(self, name: str, outcome: Outcome, wait: int = 0, **told: float) -> AttemptEnded:
        """The outcome of a message's latest attempt."""
        attempt = self.messages[name].attempts[-1]
        settled = outcome is Outcome.DELIVERED or self.messages[name].over
        took = self.now - attempt.sent
        return AttemptEnded(name, attempt.number, attempt.endpoint, outcome, took, settled, wait, **told)

    def run(self, until: int) -> None:
        """Let timers fire and attempts time out till then, tick by tick."""
        while self.now < until:
            self.now += self.s.resolution or 5 * MS
            events: list[Event] = [
                self.end(name, Outcome.TIMEOUT)
                for name, known in self.messages.items()
                for a in known.attempts[-1:]
                if a.outcome is None and self.now >= a.sent + a.timeout
            ]
            if events or (self.timer is not None and self.timer <= self.now):
                self.batch(events)

    def sends(self, name: str | None = None) -> list[tuple[int, Send]]:
        """The sends so far."""
        found = [(at, a) for at, a in self.log if isinstance(a, Send)]
        return [(at, a) for at, a in found if name is None or a.message == name]
