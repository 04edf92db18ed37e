"""Property tests with random sequences of valid events: the world checks every action against the rules."""

from __future__ import annotations

import random
from typing import Any

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from honeyhitch.policy.events import (
    AttemptEnded,
    EndpointListing,
    EndpointListUpdate,
    EndpointStatus,
    Event,
    MessageWithdrawn,
    Outcome,
    UpdateMode,
)
from honeyhitch.policy.settings import (
    DeduplicationScope,
    DestinationKind,
    Idempotency,
    LateDecay,
    ListedRateMeaning,
    MessageClass,
)
from honeyhitch.time_units import MILLISECOND, SECOND
from tests.world import CLASSES, World, settings

OUTCOMES = [outcome for outcome in Outcome if outcome is not Outcome.CANCELLED]


def random_classes(rng: random.Random) -> tuple[MessageClass, ...]:
    """Return classes of a random deployment: one or several, with deadlines from 10 ms to 30 s."""
    classes = []
    for _ in range(rng.choice([1, 1, 2, 5])):
        idempotency = rng.choice(list(Idempotency))
        deadline = int(rng.choice([0.02, 0.2, 1, 4, 20]) * rng.uniform(0.5, 1.5) * SECOND)
        message_class = MessageClass(
            idempotency,
            latency_objective=max(1, int(deadline * rng.choice([0.01, 0.2, 1.0]))),
            deadline=deadline,
            priority_weight=rng.choice([0.0, 0.3, 1.0, 50.0]),
            late_weight_fraction=rng.choice([0.0, 0.4, 1.0]),
            deduplication_scope=rng.choice(list(DeduplicationScope)),
            deduplication_window=int(rng.choice([0.01, 0.3, 2.0]) * deadline) + 1
            if idempotency is Idempotency.IDEMPOTENCY_KEY
            else 0,
            ordered=rng.random() < 0.25,
            objective_work_factor=rng.choice([0.0, 2.0]),
        )
        classes.append(message_class)
    return tuple(classes)


def random_deployment_settings(rng: random.Random) -> dict[str, Any]:
    """Return further settings of a random deployment, up to the limits of the allowed values."""
    return {
        "resolution": rng.choice([0, 5 * MILLISECOND, 10 * MILLISECOND]),
        "max_attempts": rng.choice([1, 2, 12]),
        "connect_timeout": rng.choice([0, 300 * MILLISECOND, 2 * SECOND]),
        "can_cancel": rng.random() < 0.5,
        "sends_retry_after": rng.random() < 0.5,
        "max_retry_after": rng.choice([0, SECOND, 60 * SECOND]),
        "overload_factor": rng.choice([0.1, 1.5, 4.0]),
        "slow_start_fraction": rng.choice([0.01, 0.3, 1.0]),
        "slow_start_duration": rng.choice([1, SECOND, 14 * SECOND]),
        "ordering_pause": rng.choice([0, 100 * MILLISECOND, SECOND]),
        "late_decay": rng.choice(list(LateDecay)),
        "tenant_rates": rng.choice([(), (0.0, 0.0), (0.01, 500.0)]),
        "over_quota_weight": rng.choice([0.0, 0.1, 1.0]),
    }


def random_settings(rng: random.Random) -> dict[str, Any]:
    """Return the settings that differ between the random runs."""
    return {
        "kinds": (
            DestinationKind(limits_per_endpoint=rng.random() < 0.5),
            DestinationKind(max_messages_per_call=rng.choice([1, 3])),
        ),
        "max_concurrent_calls": rng.choice([1, 2, 3, 12]),
        "instance_count": rng.choice([1, 3, 240]),
        "listed_rate_meaning": rng.choice(list(ListedRateMeaning)),
        "tenant_rates": rng.choice([(), (50.0, 1.0)]),
        "over_quota_weight": 0.1,
        "max_attempts": rng.choice([2, 5, 8]),
        "must_subscribe": rng.random() < 0.5,
    }


class RandomDay:
    """A random run of about 30 s of virtual time, drawn step by step from one seed."""

    def __init__(self, seed: int, random_deployment: bool) -> None:
        self.rng = rng = random.Random(seed)
        self.classes = random_classes(rng) if random_deployment else CLASSES
        self.listings = tuple(
            EndpointListing(
                f"e{i}", i % 4, kind=i % 2, zone=i // 4 % 2, listed_rate=rng.choice([0.0, 2.0, 20.0])
            )
            for i in range(8)
        )
        drawn = random_settings(rng)
        if random_deployment:
            drawn |= random_deployment_settings(rng)
        self.world = World(settings(classes=self.classes, **drawn), self.listings, seed)
        self.outcome_weights = [rng.random() + 0.05 for _ in OUTCOMES]

    def play(self) -> World:
        """Run all steps, then continue until every message must have its answer."""
        world = self.world
        for step in range(400):
            events = self._ended_attempts()
            events += self._new_message(step)
            list_updates = self._drained_endpoint()
            events += list_updates or self._complete_list()
            events += self._withdrawn_message(events)
            world.batch(events)
            world.advance_to(world.now + self.rng.randrange(5, 150) * MILLISECOND)
        longest_deadline = max(message_class.deadline for message_class in self.classes)
        world.advance_to(world.now + longest_deadline + 2 * SECOND)
        return world

    def _ended_attempts(self) -> list[Event]:
        events: list[Event] = []
        for name, submitted in self.world.messages.items():
            for attempt in submitted.attempts[-1:]:
                if attempt.outcome is not None:
                    continue
                timed_out = self.world.now >= attempt.sent_at + attempt.timeout
                if timed_out or self.rng.random() < 0.25:
                    events.append(self._ended_attempt(name, timed_out))
        return events

    def _ended_attempt(self, name: str, timed_out: bool) -> AttemptEnded:
        rng = self.rng
        outcome = Outcome.TIMEOUT if timed_out else rng.choices(OUTCOMES, self.outcome_weights)[0]
        has_retry_after = outcome is Outcome.REJECTED and rng.random() < 0.5
        retry_after = rng.randrange(5000) * MILLISECOND if has_retry_after else 0
        limit_remaining = rng.random()
        rate_limit = rng.choice([0.0, 0.5, 90.0])
        return self.world.attempt_ended(
            name, outcome, retry_after, limit_remaining=limit_remaining, rate_limit=rate_limit
        )

    def _new_message(self, step: int) -> list[Event]:
        rng = self.rng
        if rng.random() >= 0.6:
            return []
        class_index = rng.randrange(len(self.classes))
        message_class = self.classes[class_index]
        deadline = message_class.deadline
        time_left = rng.randrange(1, deadline) if rng.random() < 0.3 else deadline
        key = rng.randrange(3) if message_class.ordered else None
        tenant = rng.randrange(2) if self.world.settings.tenant_rates else 0
        destination = rng.randrange(5)
        name = f"m{step}"
        return [
            self.world.new_message(
                name, class_index, destination, time_left=time_left, ordering_key=key, tenant=tenant
            )
        ]

    def _drained_endpoint(self) -> list[Event]:
        rng = self.rng
        if rng.random() >= 0.05:
            return []
        listing = rng.choice(self.listings)
        status = rng.choice([EndpointStatus.DRAINING, EndpointStatus.GONE])
        if listing.endpoint in self.world.not_ready_since or len(self.world.not_ready_since) >= 5:
            return []
        stopped = EndpointListing(
            listing.endpoint, listing.destination, listing.kind, listing.zone, status=status
        )
        return [EndpointListUpdate(UpdateMode.CHANGES, (stopped,))]

    def _complete_list(self) -> list[Event]:
        """Return an update with the complete list without the stopped endpoints, or no event."""
        if self.rng.random() >= 0.03:
            return []
        listed = tuple(
            listing for listing in self.listings if listing.endpoint not in self.world.not_ready_since
        )
        mode = self.rng.choice([UpdateMode.FULL, UpdateMode.CACHED])
        return [EndpointListUpdate(mode, listed)]

    def _withdrawn_message(self, events: list[Event]) -> list[Event]:
        pending = [name for name, submitted in self.world.messages.items() if not submitted.concluded]
        if not pending or self.rng.random() >= 0.02:
            return []
        name = self.rng.choice(pending)
        ends_now = any(isinstance(event, AttemptEnded) and event.message == name for event in events)
        return [] if ends_now else [MessageWithdrawn(name)]


def play_random_day(seed: int, random_deployment: bool = False) -> World:
    """Play a random run; `random_deployment` also draws classes and settings of a random deployment."""
    return RandomDay(seed, random_deployment).play()


@hypothesis_settings(max_examples=25)
@given(st.integers(0, 10_000))
def test_no_rule_is_broken_and_every_message_is_answered(seed: int) -> None:
    world = play_random_day(seed)
    unanswered = [name for name, submitted in world.messages.items() if not submitted.concluded]
    assert unanswered == []
    assert world.policy.messages == {}
    assert world.policy.concurrent_calls == 0


@hypothesis_settings(max_examples=40)
@given(st.integers(0, 100_000))
def test_no_rule_is_broken_by_a_random_deployment(seed: int) -> None:
    """Retry-After is honored, each message has one answer in time, whatever the settings."""
    world = play_random_day(seed, random_deployment=True)
    unanswered = [name for name, submitted in world.messages.items() if not submitted.concluded]
    assert unanswered == []
    assert world.policy.messages == {}
    assert world.policy.concurrent_calls == 0


def test_same_events_and_seed_give_the_same_actions() -> None:
    assert play_random_day(5).action_log == play_random_day(5).action_log
