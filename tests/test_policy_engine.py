"""Tests of the delivery policy, with a small case for each of its rules."""

from __future__ import annotations

import itertools
from collections import Counter
from math import inf

import pytest

from honeyhitch.policy.actions import Fail, HealthChange, Reject, ReportHealth, Send, SetTimer, Subscribe
from honeyhitch.policy.events import (
    EndpointListing,
    EndpointListUpdate,
    EndpointStatus,
    Event,
    MessageWithdrawn,
    Outcome,
    RetryAfterReceived,
    TimerFired,
    UpdateMode,
)
from honeyhitch.policy.settings import DestinationKind
from honeyhitch.time_units import MILLISECOND, SECOND
from tests.world import World, settings

OVERLOAD_WINDOW = 2 * SECOND
ONE_ENDPOINT = (EndpointListing("a", 0, listed_rate=20.0),)
TWO_ENDPOINTS = (EndpointListing("a", 0, listed_rate=20.0), EndpointListing("b", 0, listed_rate=20.0))


def fail_every_attempt(name: str, outcome: Outcome, world: World, class_index: int = 0) -> list[int]:
    """Fail every attempt immediately; return the pauses (ns) between each outcome and the next attempt."""
    world.batch([world.new_message(name, class_index)])
    pauses = []
    while not world.messages[name].concluded:
        ended = world.now
        attempts_before = len(world.messages[name].attempts)
        world.batch([world.attempt_ended(name, outcome)])
        while len(world.messages[name].attempts) == attempts_before and not world.messages[name].concluded:
            world.advance_to(world.now + 5 * MILLISECOND)
        if not world.messages[name].concluded:
            pauses.append(world.now - ended)
    return pauses


def test_the_first_attempt_is_sent_immediately() -> None:
    world = World(settings(), ONE_ENDPOINT)
    assert any(isinstance(a, Send) for a in world.batch([world.new_message("m")]))


def test_backoff_grows_with_jitter_and_ends_after_five_attempts() -> None:
    first_pauses: set[int] = set()
    second_pauses: set[int] = set()
    for seed in range(8):
        world = World(settings(), TWO_ENDPOINTS, seed)
        pauses = fail_every_attempt("m", Outcome.RESET, world)
        assert len(world.messages["m"].attempts) <= 5
        assert 200 * MILLISECOND <= pauses[0] <= 310 * MILLISECOND
        assert 800 * MILLISECOND <= pauses[1] <= 1210 * MILLISECOND
        first_pauses.add(pauses[0])
        second_pauses.add(pauses[1])
    assert len(first_pauses) > 2
    assert len(second_pauses) > 2


def test_the_settings_may_allow_fewer_attempts() -> None:
    world = World(settings(max_attempts=2), TWO_ENDPOINTS)
    fail_every_attempt("m", Outcome.RESET, world)
    assert len(world.messages["m"].attempts) == 2


@pytest.mark.parametrize(
    ("instances", "longest_pause"), [(1, 700 * MILLISECOND), (2, 1400 * MILLISECOND), (200, 16 * SECOND)]
)
def test_connects_at_a_connection_limit_back_off_by_the_number_of_instances(
    instances: int, longest_pause: int
) -> None:
    """The longest pause grows with the number of instances and stays short for a few instances."""
    world, attempted_at = World(settings(instance_count=instances), ONE_ENDPOINT), list[int]()
    for number in range(60):
        world.batch([world.new_message(f"m{number}", class_index=0)])
    while world.now < 15 * SECOND:
        for name, message in list(world.messages.items()):
            if not message.concluded and message.attempts and message.attempts[-1].outcome is None:
                attempted_at.append(world.now)
                world.batch([world.attempt_ended(name, Outcome.REJECTED, connection_limited=True)])
        world.advance_to(world.now + 50 * MILLISECOND)
    gaps = [after - before for before, after in itertools.pairwise(sorted(set(attempted_at)))]
    assert max(gaps) <= longest_pause + 100 * MILLISECOND
    assert instances > 2 or max(gaps) > 0.4 * longest_pause, "connects are not repeated at short pauses"


def answer_calls_in_flight(world: World, outcome: Outcome, connection_limited: bool = False) -> int:
    """End each attempt in flight with this outcome, and return their number."""
    waiting = [
        name
        for name, message in world.messages.items()
        if not message.concluded and message.attempts and message.attempts[-1].outcome is None
    ]
    for name in waiting:
        world.batch([world.attempt_ended(name, outcome, connection_limited=connection_limited)])
    return len(waiting)


# Guards against a partner that was shut, closed each connection, and gets all messages at once on its return.
def test_a_destination_that_rejects_every_connection_is_ejected_and_returns_slowly() -> None:
    world = World(settings(instance_count=2), ONE_ENDPOINT)
    calls_by_second = Counter[int]()
    outage = range(3 * SECOND, 15 * SECOND)
    for step in range(17 * 20):
        world.advance_to(step * SECOND // 20)
        if step % 4 == 0:
            world.batch([world.new_message(f"m{step}", class_index=0)])
        down = world.now in outage
        outcome = Outcome.REJECTED if down else Outcome.DELIVERED
        calls_by_second[world.now // SECOND] += answer_calls_in_flight(world, outcome, down)
        if world.now == 14 * SECOND:
            assert world.policy.destinations[0].state.circuit.ejected  # type: ignore[union-attr]
    assert sum(calls_by_second[second] for second in range(10, 15)) <= 10, "only probes"
    state = world.policy.destinations[0].state
    assert state is not None
    assert not state.circuit.ejected
    assert state.rate.send_rate(world.now) < inf, "slow start"


# Guards against an ejection or a recovery that no log shows.
def test_each_change_of_a_destinations_health_is_reported_with_its_reason() -> None:
    world = World(settings(), ONE_ENDPOINT)
    world.batch([world.new_message("m")])
    while world.now < 6 * SECOND and not world.messages["m"].concluded:
        for name in world.attempts_in_flight():
            outcome = Outcome.DELIVERED if world.now >= 2 * SECOND else Outcome.CONNECT_FAILED
            world.batch([world.attempt_ended(name, outcome)])
        world.advance_to(world.now + 5 * MILLISECOND)
    reports = [action for _, action in world.action_log if isinstance(action, ReportHealth)]
    changes = [report.change for report in reports]
    assert changes[0] is HealthChange.EJECTED
    assert changes[-1] is HealthChange.RECOVERED
    assert set(changes[1:-1]) <= {HealthChange.PROBE_FAILED}
    assert [report.reason for report in reports[:-1]] == ["failed"] * (len(reports) - 1)
    assert all(report.next_probe_in > 0 for report in reports[:-1])


def test_a_rejected_connection_beside_successes_neither_ejects_nor_lowers_the_rate() -> None:
    world = World(settings(instance_count=2), ONE_ENDPOINT)
    for step in range(10 * 20):
        world.advance_to(step * SECOND // 20)
        world.batch([world.new_message(f"m{step}", class_index=0)])
        limited = step % 3 != 0
        outcome = Outcome.REJECTED if limited else Outcome.DELIVERED
        answer_calls_in_flight(world, outcome, limited)
        state = world.policy.destinations[0].state
        assert state is not None
        assert not state.circuit.ejected
        assert state.rate.send_rate(world.now) == inf


def test_a_rejection_without_retry_after_doubles_the_backoff_step() -> None:
    world = World(settings(), TWO_ENDPOINTS)
    assert 400 * MILLISECOND <= fail_every_attempt("m", Outcome.REJECTED, world)[0] <= 610 * MILLISECOND


def test_retry_after_is_honored_by_the_destination() -> None:
    world = World(settings(), TWO_ENDPOINTS)
    world.batch([world.new_message("m")])
    world.batch(
        [world.attempt_ended("m", Outcome.REJECTED, retry_after=1500 * MILLISECOND)], now=50 * MILLISECOND
    )
    world.batch([world.new_message("n")], now=100 * MILLISECOND)
    world.advance_to(1540 * MILLISECOND)
    assert not world.sends("n")
    assert len(world.sends("m")) == 1
    world.advance_to(3 * SECOND)
    assert world.sends("n")
    assert len(world.sends("m")) == 2


@pytest.mark.parametrize("by_other_process", [False, True], ids=["by this process", "by the other process"])
def test_messages_that_cannot_outlive_a_retry_after_are_rejected_immediately(by_other_process: bool) -> None:
    """The messages are submitted before and after Retry-After was received by this or the other process.

    There are two processes during an upgrade.
    """
    world = World(settings(max_concurrent_calls=1), ONE_ENDPOINT)
    world.batch([world.new_message("out"), world.new_message("queued", time_left=4 * SECOND)])
    world.batch([world.new_message("long")], now=20 * MILLISECOND)
    if by_other_process:
        world.batch([RetryAfterReceived(0, "a", 9 * SECOND)], now=40 * MILLISECOND)
        world.retry_after_until[world.retry_after_scope("a")] = 9 * SECOND
        world.batch([world.attempt_ended("out", Outcome.ERROR)], now=50 * MILLISECOND)
    else:
        world.batch(
            [world.attempt_ended("out", Outcome.REJECTED, retry_after=9 * SECOND)], now=50 * MILLISECOND
        )
    world.batch([world.new_message("late", time_left=5 * SECOND)], now=60 * MILLISECOND)
    rejected = {
        action.message: (at, action.retry_after)
        for at, action in world.action_log
        if isinstance(action, Reject)
    }
    assert rejected == {"queued": (50 * MILLISECOND, 3 * SECOND), "late": (60 * MILLISECOND, 3 * SECOND)}
    world.advance_to(10 * SECOND)
    assert world.sends("long") or world.messages["out"].attempts[1:], (
        "a message that can outlive the Retry-After waits and is sent"
    )


def test_retry_after_applies_to_one_endpoint_where_limits_are_per_endpoint() -> None:
    world = World(settings(kinds=(DestinationKind(limits_per_endpoint=True),)), TWO_ENDPOINTS)
    world.batch([world.new_message("m")])
    world.batch(
        [world.attempt_ended("m", Outcome.REJECTED, retry_after=2 * SECOND), world.new_message("n")],
        now=50 * MILLISECOND,
    )
    assert world.sends("n")[0][1].endpoint != world.sends("m")[0][1].endpoint


def test_a_healthy_destination_uses_three_quarters_of_the_slots() -> None:
    world = World(settings(max_concurrent_calls=11), ONE_ENDPOINT)
    world.batch([world.new_message(f"m{i}") for i in range(30)])
    assert len(world.sends()) == 8


def test_a_hanging_destination_gets_single_probes_and_slots_stay_free() -> None:
    world = World(
        settings(max_concurrent_calls=12), (*ONE_ENDPOINT, EndpointListing("z", 1, listed_rate=20.0))
    )
    for i in range(60):
        world.batch([world.new_message(f"m{i}")])
        world.advance_to(world.now + 100 * MILLISECOND)
    late_sends = [at for at, _ in world.sends() if at > 2 * SECOND]
    assert 0 < len(late_sends) <= 6
    world.batch([world.new_message("other", destination=1)])
    assert world.sends("other")


def test_a_recovered_destination_gets_a_slow_start_below_its_overload() -> None:
    instance_settings = settings()
    world = World(instance_settings, (EndpointListing("a", 0, listed_rate=10.0),))
    recovers_at = 8 * SECOND
    count = 0
    while world.now < 16 * SECOND:
        events: list[Event] = []
        for name, message in world.messages.items():
            if message.attempts and message.attempts[-1].outcome is None:
                recovered = world.now >= recovers_at
                events.append(
                    world.attempt_ended(name, Outcome.DELIVERED if recovered else Outcome.CONNECT_FAILED)
                )
        for _ in range(2):
            count += 1
            events.append(world.new_message(f"m{count}"))
        world.batch(events)
        world.advance_to(world.now + 100 * MILLISECOND)
    sent_at = [at for at, _ in world.sends() if at >= recovers_at]
    assert sent_at
    for start in sent_at:
        capacity_fraction = min(
            1.0,
            instance_settings.slow_start_fraction
            + (1 - instance_settings.slow_start_fraction)
            * (start + OVERLOAD_WINDOW - recovers_at)
            / instance_settings.slow_start_duration,
        )
        sends_in_window = sum(start <= at < start + OVERLOAD_WINDOW for at in sent_at)
        assert (
            sends_in_window
            <= instance_settings.overload_factor * capacity_fraction * 10.0 * OVERLOAD_WINDOW / SECOND + 2
        )


def test_non_idempotent_messages_fail_after_an_error_and_are_retried_after_a_failed_connect() -> None:
    world = World(settings(), TWO_ENDPOINTS)
    world.batch([world.new_message("m", 3), world.new_message("n", 3)])
    actions = world.batch(
        [world.attempt_ended("m", Outcome.ERROR), world.attempt_ended("n", Outcome.CONNECT_FAILED)],
        now=MILLISECOND,
    )
    assert Fail("m") in actions
    world.advance_to(23 * SECOND)  # the non-idempotent message waits until the recorded failures have decayed
    assert len(world.sends("n")) == 2


def test_a_message_with_an_idempotency_key_ends_with_its_deduplication_window() -> None:
    world = World(settings(), ONE_ENDPOINT)
    world.batch([world.new_message("m", 1), world.new_message("n")])
    world.batch([world.attempt_ended("m", Outcome.RESET)], now=100 * MILLISECOND)
    world.batch([world.attempt_ended("n", Outcome.REJECTED, retry_after=9 * SECOND)], now=200 * MILLISECOND)
    world.advance_to(7 * SECOND)
    answers = world.messages["m"].answers
    assert len(answers) == 1
    assert answers[0][1] == "Reject"
    assert answers[0][0] <= 6 * SECOND


def test_an_idempotency_key_known_in_one_zone_stays_in_that_zone() -> None:
    world = World(settings(), (EndpointListing("a", 0, zone=0), EndpointListing("b", 0, zone=1)))
    world.batch([world.new_message("m", 2)])
    first_endpoint = world.sends("m")[0][1].endpoint
    world.batch([world.attempt_ended("m", Outcome.ERROR)], now=10 * MILLISECOND)
    world.advance_to(3 * SECOND)
    assert [a.endpoint for _, a in world.sends("m")][:2] == [first_endpoint, first_endpoint]


def test_a_timer_that_fires_early_is_set_a_second_time() -> None:
    world = World(settings(), ())
    world.batch([world.new_message("m")])
    timer_at = world.timer_at
    assert timer_at is not None
    world.policy.handle(timer_at - 500, [TimerFired()])
    world.now = timer_at - 500
    actions = world.policy.handle(timer_at - 400, [TimerFired()])
    assert SetTimer(timer_at) in actions


def test_an_ordering_key_waits_for_its_head_and_then_pauses() -> None:
    world = World(settings(), TWO_ENDPOINTS)
    world.batch(
        [
            world.new_message("m", 4, ordering_key=9),
            world.new_message("n", 4, ordering_key=9),
            world.new_message("f", 4),
        ]
    )
    assert not world.sends("n")
    assert world.sends("f")
    world.batch(
        [world.attempt_ended("m", Outcome.TIMEOUT), world.attempt_ended("f", Outcome.DELIVERED)], now=SECOND
    )
    assert not world.sends("n")
    world.advance_to(16 * SECOND)  # the recorded failures must decay before a non-idempotent message is sent
    assert world.sends("n")[0][0] >= SECOND + 100 * MILLISECOND


def test_an_ordering_key_advances_when_its_head_is_withdrawn_in_flight() -> None:
    world = World(settings(), TWO_ENDPOINTS)
    world.batch([world.new_message("m", 4, ordering_key=9), world.new_message("n", 4, ordering_key=9)])
    world.batch([MessageWithdrawn("m")], now=50 * MILLISECOND)
    assert not world.sends("n")
    world.batch([world.attempt_ended("m", Outcome.CANCELLED)], now=80 * MILLISECOND)
    world.advance_to(SECOND)
    assert world.sends("n")


def test_a_draining_endpoint_gets_nothing_new() -> None:
    world = World(settings(), ONE_ENDPOINT)
    drain = EndpointListUpdate(UpdateMode.CHANGES, (EndpointListing("a", 0, status=EndpointStatus.DRAINING),))
    world.batch([drain, world.new_message("m")])
    world.advance_to(17 * SECOND)
    assert not world.sends("m")
    assert world.messages["m"].answers[0][1] == "Reject"


def test_a_complete_list_drops_unlisted_endpoints() -> None:
    world = World(settings(), TWO_ENDPOINTS)
    world.batch([EndpointListUpdate(UpdateMode.FULL, (TWO_ENDPOINTS[1],))])
    world.batch([world.new_message(f"m{i}") for i in range(4)])
    assert {a.endpoint for _, a in world.sends()} == {"b"}


def test_messages_wait_until_their_destination_is_listed() -> None:
    world = World(settings(), ONE_ENDPOINT)
    world.batch([world.new_message("m", destination=5)])
    assert not world.messages["m"].concluded
    world.batch([EndpointListUpdate(UpdateMode.CHANGES, (EndpointListing("x", 5),))], now=SECOND)
    assert world.sends("m")


def test_a_message_without_time_left_is_answered_immediately() -> None:
    world = World(settings(), ())
    world.batch([world.new_message("m", time_left=0)])
    assert world.messages["m"].concluded


def test_failed_subscriptions_are_repeated_with_growing_pauses() -> None:
    world = World(settings(must_subscribe=True), ONE_ENDPOINT)
    subscribed_at = [at for at, a in world.action_log if isinstance(a, Subscribe)]
    assert subscribed_at == [0]
    for _ in range(5):
        count_before = len(subscribed_at)
        world.batch([EndpointListUpdate(UpdateMode.FAILED)])
        while len(subscribed_at) == count_before:
            world.advance_to(world.now + 5 * MILLISECOND)
            subscribed_at = [at for at, a in world.action_log if isinstance(a, Subscribe)]
    gaps = [b - a for a, b in itertools.pairwise(subscribed_at)]
    assert gaps == sorted(gaps)
    assert gaps[-1] <= 10 * SECOND


def test_a_nearly_exhausted_limit_reduces_the_rate_before_a_rejection() -> None:
    world = World(settings(), ONE_ENDPOINT)
    world.batch([world.new_message("m")])
    world.batch(
        [world.attempt_ended("m", Outcome.DELIVERED, limit_remaining=0.01, rate_limit=4.0)],
        now=100 * MILLISECOND,
    )
    world.batch([world.new_message(f"n{i}") for i in range(6)], now=200 * MILLISECOND)
    assert len(world.sends()) < 4


def test_messages_beyond_a_tenants_quota_have_little_weight() -> None:
    instance_settings = settings(tenant_rates=(100.0, 1.0), over_quota_weight=0.1, max_concurrent_calls=1)
    world = World(instance_settings, TWO_ENDPOINTS)
    world.batch([world.new_message("first")], now=SECOND)
    world.batch(
        [world.new_message("t1", tenant=1), world.new_message("t2", tenant=1, destination=1)], now=2 * SECOND
    )
    assert world.policy.messages["t1"].priority_weight == 1.0
    assert world.policy.messages["t2"].priority_weight == 0.1


def test_a_burst_after_silence_is_limited_to_the_quota_not_to_the_measured_rate() -> None:
    world = World(settings(), (EndpointListing("a", 0, listed_rate=4.0),))
    world.batch([world.new_message(f"m{i}") for i in range(6)], now=20 * SECOND)
    outcomes: list[Event] = [world.attempt_ended(f"m{i}", Outcome.REJECTED) for i in range(6)]
    world.batch(outcomes, now=20 * SECOND + 50 * MILLISECOND)
    while world.now < 22_100 * MILLISECOND:
        world.advance_to(world.now + 50 * MILLISECOND)
        in_flight = [name for name, message in world.messages.items() if message.attempts[-1].outcome is None]
        world.batch([world.attempt_ended(name, Outcome.DELIVERED) for name in in_flight])
    assert sum(message.concluded for message in world.messages.values()) >= 5


def test_late_and_repeated_events_are_ignored() -> None:
    world = World(settings(), ONE_ENDPOINT)
    world.batch([world.new_message("m")])
    delivered = world.attempt_ended("m", Outcome.DELIVERED)
    world.batch([delivered])
    assert world.policy.handle(MILLISECOND, [delivered, MessageWithdrawn("m"), MessageWithdrawn("x")]) == []


def test_an_event_outside_the_interface_raises() -> None:
    with pytest.raises(KeyError):
        World(settings(), ONE_ENDPOINT).policy.handle(1, ["noise"])  # type: ignore[list-item]


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("max_concurrent_calls", 0),
        ("slow_start_fraction", 0.0),
        ("slow_start_duration", 0),
        ("classes", ()),
        ("max_attempts", 0),
        ("zone", -1),
    ],
)
def test_bad_settings_name_the_field(field: str, value: object) -> None:
    with pytest.raises(ValueError, match=field):
        settings(**{field: value})


def test_line_limits_of_the_policy_modules() -> None:
    from pathlib import Path

    for module in Path(__file__).parent.parent.joinpath("honeyhitch", "policy").glob("*.py"):
        lines = module.read_text().splitlines()
        assert sum(bool(line.strip()) for line in lines) <= 500
        assert max(len(line) for line in lines) <= 110
        assert lines[0].startswith('"""')


def test_only_a_message_recovered_from_the_journal_has_an_age_by_its_time_left() -> None:
    world = World(settings(max_concurrent_calls=4, can_cancel=False), ONE_ENDPOINT)
    world.batch([world.new_message(f"out{i}") for i in range(3)])  # three quarters of the slots are in use
    world.batch(
        [world.new_message("long"), world.new_message("old", time_left=SECOND, recovered_from_journal=True)]
    )
    world.batch([world.new_message("hasty", time_left=SECOND)], now=10 * MILLISECOND)
    for name in ("out0", "out1", "out2"):
        world.batch([world.attempt_ended(name, Outcome.DELIVERED)], now=world.now + 60 * MILLISECOND)
        world.advance_to(world.now + 60 * MILLISECOND)
    assert [a.message for _, a in world.sends()[3:]] == ["hasty", "long", "old"]


@pytest.mark.parametrize(
    ("stale", "sent"), [(True, 3), (False, 0)], ids=["stale connections", "other resets"]
)
def test_stale_pooled_connections_do_not_eject_a_destination(stale: bool, sent: int) -> None:
    world = World(settings(), ONE_ENDPOINT)
    names = [f"m{i}" for i in range(4)]
    world.batch([world.new_message(name) for name in names])
    world.batch(
        [world.attempt_ended(name, Outcome.RESET, connection_stale=stale) for name in names],
        now=60 * MILLISECOND,
    )
    world.batch([world.new_message(f"n{i}") for i in range(3)], now=70 * MILLISECOND)
    assert sum(at == 70 * MILLISECOND for at, _ in world.sends()) == sent


def test_the_send_rate_follows_a_reported_limit_that_recovers() -> None:
    world = World(settings(max_concurrent_calls=40), ONE_ENDPOINT)
    counts: list[int] = []
    for limit in (2.0, 20.0):  # the limit falls for ten seconds and then recovers
        sends_before = len(world.sends())
        for i in range(100):
            name = f"{limit}-{i}"
            events: list[Event] = [
                world.attempt_ended(
                    pending, Outcome.DELIVERED if limit > 2 else Outcome.REJECTED, rate_limit=limit
                )
                for pending, message in world.messages.items()
                if message.attempts and message.attempts[-1].outcome is None
            ]
            world.batch([*events, world.new_message(name)])
            world.advance_to(world.now + 100 * MILLISECOND)
        counts.append(len(world.sends()) - sends_before)
    assert counts[1] > 85, "100 messages were submitted at half the limit"


def test_a_message_without_time_for_a_response_is_rejected_immediately() -> None:
    world = World(settings(max_concurrent_calls=4), ONE_ENDPOINT)
    world.batch([world.new_message(f"out{i}") for i in range(3)])
    world.batch([world.new_message("hasty", time_left=300 * MILLISECOND)], now=10 * MILLISECOND)
    world.advance_to(280 * MILLISECOND)  # half of the initial latency estimate of 200 ms must be left
    assert [(type(a), at) for at, a in world.action_log if getattr(a, "message", "") == "hasty"] == [
        (Reject, 200 * MILLISECOND)
    ]


def test_timeouts_shortened_by_deadlines_do_not_eject_a_destination() -> None:
    world = World(settings(), ONE_ENDPOINT)
    world.batch([world.new_message(f"m{i}", time_left=150 * MILLISECOND) for i in range(5)])
    world.advance_to(SECOND)
    world.batch([world.new_message(f"n{i}") for i in range(4)])
    assert sum(at == world.now for at, _ in world.sends()) == 4


def test_a_message_with_a_near_deadline_is_retried_inside_it() -> None:
    world = World(settings(), TWO_ENDPOINTS)
    world.batch([world.new_message("m", time_left=600 * MILLISECOND)])
    world.batch([world.attempt_ended("m", Outcome.RESET)], now=50 * MILLISECOND)
    world.advance_to(600 * MILLISECOND)
    assert len(world.sends("m")) == 2


# Guards against a message that surely was not executed and is given up with most of its time left.
@pytest.mark.parametrize("seconds", [2, 3, 5])
def test_a_message_that_was_never_executed_is_not_given_up_before_seven_tenths_of_its_time(
    seconds: int,
) -> None:
    world = World(settings(), ONE_ENDPOINT)
    time_left = seconds * SECOND
    world.batch([world.new_message("m", time_left=time_left)])
    begin = world.now
    while not world.messages["m"].concluded:
        if world.messages["m"].attempts[-1].outcome is None:
            world.batch([world.attempt_ended("m", Outcome.CONNECT_FAILED)])
        world.advance_to(world.now + 5 * MILLISECOND)
    assert len(world.messages["m"].attempts) <= 5
    exhausted = len(world.messages["m"].attempts) == 5
    assert exhausted or world.now - begin >= 7 * time_left // 10
