"""Calls that take several messages: how many share a call, and how a failed call is counted."""

from __future__ import annotations

from collections import Counter

import pytest

from honeyhitch.policy.actions import Send
from honeyhitch.policy.events import EndpointListing, Event, Outcome
from honeyhitch.policy.settings import DestinationKind
from honeyhitch.time_units import MILLISECOND, SECOND
from tests.world import World, settings

ONE_ENDPOINT = (EndpointListing("a", 0, listed_rate=20.0),)


def test_a_call_with_several_messages_uses_a_single_slot() -> None:
    world = World(
        settings(kinds=(DestinationKind(max_messages_per_call=3),), max_concurrent_calls=2), ONE_ENDPOINT
    )
    events: list[Event] = [world.new_message(f"m{i}") for i in range(5)]
    for event in events:
        world.record_event(event)
    sends = [a for a in world.policy.handle(0, events) if isinstance(a, Send)]
    assert len(sends) == 3
    assert world.policy.concurrent_calls == 1


def test_a_batch_that_breaks_is_retried_in_smaller_batches_and_counts_as_a_single_failure() -> None:
    world = World(settings(kinds=(DestinationKind(max_messages_per_call=16),)), ONE_ENDPOINT)
    names = [f"m{i}" for i in range(16)]
    world.batch([world.new_message("first")])
    world.batch([world.attempt_ended("first", Outcome.DELIVERED)], now=50 * MILLISECOND)
    world.batch([world.new_message(name) for name in names], now=60 * MILLISECOND)
    assert sum(at == 60 * MILLISECOND for at, _ in world.sends()) == 16, "one call carries all messages"
    world.batch([world.attempt_ended(name, Outcome.RESET) for name in names], now=100 * MILLISECOND)
    world.batch([world.new_message("other")], now=110 * MILLISECOND)
    assert world.sends("other"), "a broken call counts as one failure, not as one per message"
    world.batch([world.attempt_ended("other", Outcome.DELIVERED)], now=160 * MILLISECOND)
    world.advance_to(600 * MILLISECOND)
    batch_sizes = Counter(at for at, _ in world.sends() if at > 160 * MILLISECOND)
    assert batch_sizes
    assert max(batch_sizes.values()) <= 9


def test_an_error_inside_a_delivered_batch_does_not_shrink_batches() -> None:
    world = World(settings(kinds=(DestinationKind(max_messages_per_call=8),)), ONE_ENDPOINT)
    names = [f"m{i}" for i in range(8)]
    world.batch([world.new_message(name) for name in names])
    attempt_ends: list[Event] = [
        world.attempt_ended(name, Outcome.ERROR if name == "m7" else Outcome.DELIVERED) for name in names
    ]
    world.batch(attempt_ends, now=50 * MILLISECOND)
    world.batch([world.new_message(f"n{i}") for i in range(8)], now=60 * MILLISECOND)
    assert sum(at == 60 * MILLISECOND for at, _ in world.sends()) == 8


@pytest.mark.parametrize(
    ("class_index", "together"),
    [(3, False), (1, True)],
    ids=["non-idempotent messages", "messages with an idempotency key"],
)
def test_near_deadlines_do_not_share_a_call_where_a_timeout_is_final(
    class_index: int, together: bool
) -> None:
    world = World(settings(kinds=(DestinationKind(max_messages_per_call=16),)), ONE_ENDPOINT)
    world.batch(
        [
            world.new_message("brief", class_index=class_index, time_left=SECOND),
            world.new_message("long", class_index=class_index),
        ]
    )
    assert len({at for at, _ in world.sends()}) == 1, "first attempts start at the same time"
    calls = {id(world.policy.messages[name].call) for name in ("brief", "long")}
    assert (len(calls) == 1) is together
