"""Random legal days; the world's own account must find no broken rule."""

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
from tests.world import CLASSES, MS, SECOND, World, settings

OUTCOMES = [o for o in Outcome if o is not Outcome.CANCELLED]


Classes = tuple[MessageClass, ...]


def a_deployment(chance: random.Random) -> Classes:
    """Classes as some deployment might have them: one or several, with deadlines from a moment to minutes."""
    classes = []
    for _ in range(chance.choice([1, 1, 2, 5])):
        effect = chance.choice(list(Idempotency))
        deadline = int(chance.choice([0.02, 0.2, 1, 4, 20]) * chance.uniform(0.5, 1.5) * SECOND)
        one = MessageClass(
            effect,
            latency_objective=max(1, int(deadline * chance.choice([0.01, 0.2, 1.0]))),
            deadline=deadline,
            priority_weight=chance.choice([0.0, 0.3, 1.0, 50.0]),
            late_weight_fraction=chance.choice([0.0, 0.4, 1.0]),
            deduplication_scope=chance.choice(list(DeduplicationScope)),
            deduplication_window=int(chance.choice([0.01, 0.3, 2.0]) * deadline) + 1
            if effect is Idempotency.IDEMPOTENCY_KEY
            else 0,
            ordered=chance.random() < 0.25,
            objective_work_factor=chance.choice([0.0, 2.0]),
        )
        classes.append(one)
    return tuple(classes)


def oddities(chance: random.Random) -> dict[str, Any]:
    """Settings beside them, at the ends of what is allowed as well."""
    return {
        "resolution": chance.choice([0, 5 * MS, 10 * MS]),
        "max_attempts": chance.choice([1, 2, 12]),
        "connect_timeout": chance.choice([0, 300 * MS, 2 * SECOND]),
        "can_cancel": chance.random() < 0.5,
        "sends_retry_after": chance.random() < 0.5,
        "max_retry_after": chance.choice([0, SECOND, 60 * SECOND]),
        "overload_factor": chance.choice([0.1, 1.5, 4.0]),
        "slow_start_fraction": chance.choice([0.01, 0.3, 1.0]),
        "slow_start_duration": chance.choice([1, SECOND, 14 * SECOND]),
        "ordering_pause": chance.choice([0, 100 * MS, SECOND]),
        "late_decay": chance.choice(list(LateDecay)),
        "tenant_rates": chance.choice([(), (0.0, 0.0), (0.01, 500.0)]),
        "over_quota_weight": chance.choice([0.0, 0.1, 1.0]),
    }


def a_day(seed: int, deployment: bool = False) -> World:
    """Play a random day of about 30 s and drain it; with a deployment of its own if so wanted."""
    chance = random.Random(seed)
    classes = a_deployment(chance) if deployment else CLASSES
    entries = tuple(
        EndpointListing(
            f"e{i}", i % 4, kind=i % 2, zone=i // 4 % 2, listed_rate=chance.choice([0.0, 2.0, 20.0])
        )
        for i in range(8)
    )
    drawn: dict[str, Any] = {
        "kinds": (
            DestinationKind(limits_per_endpoint=chance.random() < 0.5),
            DestinationKind(max_messages_per_call=chance.choice([1, 3])),
        ),
        "max_concurrent_calls": chance.choice([1, 2, 3, 12]),
        "instance_count": chance.choice([1, 3, 240]),
        "listed_rate_meaning": chance.choice(list(ListedRateMeaning)),
        "tenant_rates": chance.choice([(), (50.0, 1.0)]),
        "over_quota_weight": 0.1,
        "max_attempts": chance.choice([2, 5, 8]),
        "must_subscribe": chance.random() < 0.5,
    }
    drawn |= oddities(chance) if deployment else {}
    world = World(settings(classes=classes, **drawn), entries, seed)
    weights = [chance.random() + 0.05 for _ in OUTCOMES]
    for i in range(400):
        events: list[Event] = []
        for name, known in world.messages.items():
            for attempt in known.attempts[-1:]:
                late = attempt.outcome is None and world.now >= attempt.sent + attempt.timeout
                if late or (attempt.outcome is None and chance.random() < 0.25):
                    outcome = Outcome.TIMEOUT if late else chance.choices(OUTCOMES, weights)[0]
                    waits = outcome is Outcome.REJECTED and chance.random() < 0.5
                    wait = chance.randrange(5000) * MS if waits else 0
                    report = {
                        "limit_remaining": chance.random(),
                        "rate_limit": chance.choice([0.0, 0.5, 90.0]),
                    }
                    events.append(world.end(name, outcome, wait, **report))
        if chance.random() < 0.6:
            cls = chance.randrange(len(classes))
            most = classes[cls].deadline
            left = chance.randrange(1, most) if chance.random() < 0.3 else most
            key = chance.randrange(3) if classes[cls].ordered else None
            tenant = chance.randrange(2) if world.s.tenant_rates else 0
            events.append(
                world.hand_in(
                    f"m{i}", cls, chance.randrange(5), time_left=left, ordering_key=key, tenant=tenant
                )
            )
        if chance.random() < 0.05:
            entry = chance.choice(entries)
            status = chance.choice([EndpointStatus.DRAINING, EndpointStatus.GONE])
            if entry.endpoint not in world.stopped and len(world.stopped) < 5:
                gone = EndpointListing(
                    entry.endpoint, entry.destination, entry.kind, entry.zone, status=status
                )
                events.append(EndpointListUpdate(UpdateMode.CHANGES, (gone,)))
        told = any(isinstance(e, EndpointListUpdate) for e in events)
        if not told and chance.random() < 0.03:  # the whole list again, as last held
            held = tuple(e for e in entries if e.endpoint not in world.stopped)
            events.append(EndpointListUpdate(chance.choice([UpdateMode.FULL, UpdateMode.CACHED]), held))
        open_now = [n for n, k in world.messages.items() if not k.over]
        if open_now and chance.random() < 0.02:
            name = chance.choice(open_now)
            if not any(isinstance(e, AttemptEnded) and e.message == name for e in events):
                events.append(MessageWithdrawn(name))
        world.batch(events)
        world.run(world.now + chance.randrange(5, 150) * MS)
    world.run(world.now + max(cls.deadline for cls in classes) + 2 * SECOND)
    return world


@hypothesis_settings(max_examples=25)
@given(st.integers(0, 10_000))
def test_no_rule_breaks_and_all_is_answered(seed: int) -> None:
    world = a_day(seed)
    lost = [n for n, k in world.messages.items() if not k.over]
    assert lost == []
    assert world.brain.messages == {}
    assert world.brain.concurrent_calls == 0


@hypothesis_settings(max_examples=40)
@given(st.integers(0, 100_000))
def test_no_rule_breaks_at_any_deployment(seed: int) -> None:
    """No send before a wait ends, one end each, in time, nothing beyond its class, whatever is set."""
    world = a_day(seed, deployment=True)
    lost = [n for n, k in world.messages.items() if not k.over]
    assert lost == []
    assert world.brain.messages == {}
    assert world.brain.concurrent_calls == 0


def test_same_events_and_seed_give_the_same_actions() -> None:
    assert a_day(5).log == a_day(5).log
