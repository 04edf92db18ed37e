"""A test driver for the policy; it checks its actions against the rules, independently of its code.

The rules are: (1) a message gets one final answer in time; (2) no effect is duplicated; (3) an endpoint that
is draining or gone gets nothing new; (4) a destination in slow start is not overloaded; (5) the order of an
ordering key is kept; (6) a Retry-After is kept. Rule 4 is not checked here.
"""

from __future__ import annotations

import collections
import dataclasses
import math
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
from honeyhitch.time_units import MILLISECOND, SECOND

MS = MILLISECOND
IDEMPOTENT = MessageClass(Idempotency.IDEMPOTENT, latency_objective=2 * SECOND, deadline=16 * SECOND)
IDEMPOTENCY_KEY = MessageClass(
    Idempotency.IDEMPOTENCY_KEY,
    latency_objective=2 * SECOND,
    deadline=20 * SECOND,
    deduplication_window=6 * SECOND,
)
IDEMPOTENCY_KEY_BY_ZONE = dataclasses.replace(IDEMPOTENCY_KEY, deduplication_scope=DeduplicationScope.ZONE)
NON_IDEMPOTENT = MessageClass(
    Idempotency.NON_IDEMPOTENT, latency_objective=2 * SECOND, deadline=24 * SECOND, priority_weight=3.0
)
ORDERED = dataclasses.replace(NON_IDEMPOTENT, ordered=True)
CLASSES = (IDEMPOTENT, IDEMPOTENCY_KEY, IDEMPOTENCY_KEY_BY_ZONE, NON_IDEMPOTENT, ORDERED)
DRAIN_GRACE = 500 * MILLISECOND
ANSWER_TOLERANCE = 20 * MILLISECOND
MAY_HAVE_EXECUTED = {Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED}
ORDER_BLOCKING_OUTCOMES = {Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED}


def settings(**changes: Any) -> Settings:
    """Return default settings for tests with these changes."""
    base: dict[str, Any] = {
        "classes": CLASSES,
        "kinds": (DestinationKind(),),
        "max_concurrent_calls": 12,
        "overload_factor": 2.0,
        "slow_start_fraction": 0.2,
        "slow_start_duration": 10 * SECOND,
        "ordering_pause": 100 * MILLISECOND,
        "instance_count": 1,
        "max_attempts": 8,
        "can_cancel": True,
        "max_retry_after": 3 * SECOND,
        "connect_timeout": SECOND,
        "resolution": 5 * MILLISECOND,
        "listed_rate_meaning": ListedRateMeaning.NOMINAL,
    }
    return Settings(**{**base, **changes})


@dataclasses.dataclass
class Attempt:
    """One attempt, recorded from its Send and its AttemptEnded. Times are nanoseconds."""

    number: int
    endpoint: str
    sent_at: int
    timeout: int
    outcome: Outcome | None = None
    ended_at: int = 0


@dataclasses.dataclass
class SubmittedMessage:
    """One message, with its attempts and answers. Times are nanoseconds."""

    event: NewMessage
    message_class: MessageClass
    submitted_at: int
    attempts: list[Attempt] = dataclasses.field(default_factory=list)
    answers: list[tuple[int, str]] = dataclasses.field(default_factory=list)
    withdrawn_at: int | None = None

    @property
    def concluded(self) -> bool:
        """Whether the message was answered or withdrawn."""
        return bool(self.answers) or self.withdrawn_at is not None

    @property
    def non_idempotent(self) -> bool:
        """Whether the message must never be executed twice."""
        return self.message_class.idempotency is Idempotency.NON_IDEMPOTENT

    @property
    def has_idempotency_key(self) -> bool:
        """Whether a repeat is dropped inside the deduplication window."""
        return self.message_class.idempotency is Idempotency.IDEMPOTENCY_KEY

    @property
    def zone_bound(self) -> bool:
        """Whether the message's idempotency key is known in one zone only."""
        return self.has_idempotency_key and self.message_class.deduplication_scope is DeduplicationScope.ZONE

    def possible_executions(self, in_flight: bool = False) -> list[Attempt]:
        """Return the attempts that may have been executed; `in_flight` includes those in flight."""
        return [
            attempt
            for attempt in self.attempts
            if attempt.outcome in MAY_HAVE_EXECUTED or (in_flight and attempt.outcome is None)
        ]


class World:
    """Passes events to the policy of one instance; raises AssertionError if an action breaks a rule."""

    def __init__(
        self, instance_settings: Settings, listings: tuple[EndpointListing, ...], seed: int = 7
    ) -> None:
        self.settings = instance_settings
        self.policy = DeliveryPolicy(instance_settings, seed)
        self.now = 0
        self.listings = {listing.endpoint: listing for listing in listings}
        self.not_ready_since: dict[str, int] = {}
        self.retry_after_until: dict[object, int] = {}
        self.messages: dict[str, SubmittedMessage] = {}
        self.submission_order: list[str] = []
        self.timer_at: int | None = None
        self.action_log: list[tuple[int, Action]] = []
        self.batch([EndpointListUpdate(UpdateMode.CACHED, listings)])

    def retry_after_scope(self, endpoint: str) -> object:
        """Return what a Retry-After from this endpoint applies to: the endpoint alone, or its destination."""
        listing = self.listings[endpoint]
        return endpoint if self.settings.kinds[listing.kind].limits_per_endpoint else listing.destination

    def batch(self, events: list[Event], now: int | None = None) -> list[Action]:
        """Move the clock to `now`, which must not lie in the past, and pass the events to the policy."""
        self.now = self.now if now is None else now
        retry_after_before = dict(self.retry_after_until)
        for event in events:
            self.record_event(event)
        if self.timer_at is not None and self.timer_at <= self.now:
            self.timer_at = None
            events = [*events, TimerFired()]
        actions = self.policy.handle(self.now, events)
        for action in actions:
            self.check_action(action, retry_after_before)
        self.action_log += [(self.now, action) for action in actions]
        return actions

    def record_event(self, event: Event) -> None:
        """Record an event in the messages and limits that the checks use."""
        match event:
            case NewMessage():
                self.messages[event.message] = SubmittedMessage(
                    event, self.settings.classes[event.class_index], self.now
                )
                self.submission_order.append(event.message)
            case AttemptEnded():
                message = self.messages[event.message]
                attempt = message.attempts[event.attempt]
                attempt.outcome = event.outcome
                attempt.ended_at = self.now
                if event.outcome is Outcome.DELIVERED and not message.concluded:
                    message.answers.append((self.now, "delivered"))
                if event.retry_after:
                    scope = self.retry_after_scope(event.endpoint)
                    until = self.now + event.retry_after
                    self.retry_after_until[scope] = max(self.retry_after_until.get(scope, 0), until)
            case MessageWithdrawn():
                self.messages[event.message].withdrawn_at = self.now
            case EndpointListUpdate():
                for listing in event.listings:
                    self.listings[listing.endpoint] = listing
                    if listing.status is not EndpointStatus.READY:
                        self.not_ready_since.setdefault(listing.endpoint, self.now)

    def check_action(self, action: Action, retry_after_until: dict[object, int]) -> None:
        """Check one action against the rules and record it."""
        match action:
            case Send(name, endpoint, timeout):
                self.check_send(self.messages[name], endpoint, retry_after_until)
                message = self.messages[name]
                message.attempts.append(Attempt(len(message.attempts), endpoint, self.now, timeout))
            case Reject(name, _) | Fail(name):
                self.check_answer(self.messages[name], isinstance(action, Reject))
                self.messages[name].answers.append((self.now, type(action).__name__))
            case SetTimer(at):
                self.timer_at = at if self.timer_at is None else min(self.timer_at, at)
            case Cancel():
                assert self.settings.can_cancel

    def check_answer(self, message: SubmittedMessage, rejected: bool) -> None:
        """Check that a message has one answer, in time, and is rejected only if that is harmless (rule 2)."""
        # A message may be answered because of one event of a batch and withdrawn by a later one.
        assert not message.answers, "two final answers"
        assert message.withdrawn_at in (None, self.now), "answered though withdrawn"
        answer_until = message.submitted_at + message.event.time_left + ANSWER_TOLERANCE
        assert self.now <= max(answer_until, message.submitted_at), "answered too long after the deadline"
        if rejected:
            possible = message.possible_executions(in_flight=True)
            assert not (message.non_idempotent and possible), "non-idempotent message in doubt rejected"
            assert not (message.zone_bound and possible), "zone-bound message in doubt rejected"

    def check_send(
        self, message: SubmittedMessage, endpoint: str, retry_after_until: dict[object, int]
    ) -> None:
        """Check one send against rules 1, 2, 3, 5 and 6 and against the limit of slots."""
        listing = self.listings[endpoint]
        assert listing.destination == message.event.destination, "sent to an endpoint of another destination"
        assert not message.concluded, "sent after the message was concluded"
        assert all(a.outcome is not None for a in message.attempts), "two attempts in flight"
        assert len(message.attempts) < self.settings.max_attempts, "too many attempts"
        possible = message.possible_executions()
        assert not (possible and message.non_idempotent), "repeated though non-idempotent"
        if possible and message.has_idempotency_key:
            window_end = possible[0].sent_at + message.message_class.deduplication_window
            assert self.now <= window_end, "repeated after the window of its idempotency key"
            if message.zone_bound:
                first_zone = self.listings[possible[0].endpoint].zone
                assert listing.zone == first_zone, "repeated outside the zone of its idempotency key"
        assert self.now <= self.not_ready_since.get(endpoint, 1 << 62) + DRAIN_GRACE, "sent after drain grace"
        blocked_until = retry_after_until.get(self.retry_after_scope(endpoint), 0)
        assert self.now >= blocked_until, "sent before the end of a Retry-After"
        assert self.calls_in_flight(endpoint) <= self.settings.max_concurrent_calls, "sent without a slot"
        if message.message_class.ordered and message.event.ordering_key is not None:
            self.check_order(message)

    def calls_in_flight(self, endpoint: str) -> int:
        """Return the number of calls in flight after one more message to this endpoint.

        Messages sent to one endpoint in one batch share calls.
        """
        message_counts = collections.Counter({(endpoint, self.now): 1})
        for message in self.messages.values():
            message_counts.update((a.endpoint, a.sent_at) for a in message.attempts if a.outcome is None)
        return sum(
            math.ceil(count / self.max_messages_per_call(endpoint))
            for (endpoint, _), count in message_counts.items()
        )

    def max_messages_per_call(self, endpoint: str) -> int:
        """Return how many messages one call to this endpoint takes."""
        return self.settings.kinds[self.listings[endpoint].kind].max_messages_per_call

    def check_order(self, message: SubmittedMessage) -> None:
        """Check that a send keeps the order of its ordering key (rule 5)."""
        for name in self.submission_order[: self.submission_order.index(message.event.message)]:
            earlier = self.messages[name]
            if not earlier.message_class.ordered or earlier.event.ordering_key != message.event.ordering_key:
                continue
            assert earlier.concluded, "sent before an earlier message was concluded"
            assert all(a.outcome is not None for a in earlier.attempts), "an earlier attempt is in flight"
            blocked_since = [a.ended_at for a in earlier.attempts if a.outcome in ORDER_BLOCKING_OUTCOMES]
            blocked_until = max(blocked_since, default=0) + self.settings.ordering_pause
            assert not blocked_since or self.now >= blocked_until, "sent inside the ordering pause"

    def new_message(self, name: str, class_index: int = 0, destination: int = 0, **fields: Any) -> NewMessage:
        """Return the event of a new message, with its class's deadline unless `fields` has a `time_left`."""
        fields.setdefault("time_left", self.settings.classes[class_index].deadline)
        return NewMessage(name, class_index, destination, **fields)

    def attempt_ended(self, name: str, outcome: Outcome, retry_after: int = 0, **fields: Any) -> AttemptEnded:
        """Return the event that ends a message's latest attempt with this outcome."""
        attempt = self.messages[name].attempts[-1]
        concluded = outcome is Outcome.DELIVERED or self.messages[name].concluded
        elapsed = self.now - attempt.sent_at
        return AttemptEnded(
            name, attempt.number, attempt.endpoint, outcome, elapsed, concluded, retry_after, **fields
        )

    def advance_to(self, until: int) -> None:
        """Advance the clock to `until` in steps of its resolution; let timers fire and attempts time out."""
        while self.now < until:
            self.now += self.settings.resolution or 5 * MILLISECOND
            events: list[Event] = [
                self.attempt_ended(name, Outcome.TIMEOUT)
                for name, message in self.messages.items()
                for a in message.attempts[-1:]
                if a.outcome is None and self.now >= a.sent_at + a.timeout
            ]
            if events or (self.timer_at is not None and self.timer_at <= self.now):
                self.batch(events)

    def attempts_in_flight(self) -> list[str]:
        """Return the names of the messages whose latest attempt has no outcome."""
        return [
            name
            for name, message in self.messages.items()
            if message.attempts and message.attempts[-1].outcome is None
        ]

    def sends(self, name: str | None = None) -> list[tuple[int, Send]]:
        """Return all sends so far, or those of one message, each with its time."""
        sends = [(sent_at, action) for sent_at, action in self.action_log if isinstance(action, Send)]
        return [(sent_at, action) for sent_at, action in sends if name is None or action.message == name]
