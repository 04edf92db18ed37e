"""What an instance concludes from failures and rejections without a success in between."""

from __future__ import annotations

from math import inf

import pytest

from honeyhitch.policy.actions import RecordOutage
from honeyhitch.policy.destination_state import DestinationState
from honeyhitch.policy.events import EndpointListing, OutageKnown, Outcome
from honeyhitch.policy.outage_evidence import MIN_OUTAGE, OutageHistory
from honeyhitch.time_units import MILLISECOND, SECOND

from .world import World, settings

ONE_ENDPOINT = (EndpointListing("a", 0, listed_rate=20.0),)
ROUND_TRIP = 50 * MILLISECOND
FAILURES = (Outcome.CONNECT_FAILED, Outcome.REJECTED, Outcome.ERROR, Outcome.RESET)


def state_of(world: World) -> DestinationState:
    state = world.policy.destinations[0].state
    assert state is not None
    return state


def call(
    world: World, name: str, outcome: Outcome, retry_after: int = 0, connection_limited: bool = False
) -> None:
    """Submit a message, and end its attempt once it was sent."""
    world.batch([world.new_message(name)])
    for _ in range(20 * SECOND // ROUND_TRIP):
        if world.messages[name].attempts:
            break
        world.advance_to(world.now + ROUND_TRIP)
    world.advance_to(world.now + ROUND_TRIP)
    world.batch([world.attempt_ended(name, outcome, retry_after, connection_limited=connection_limited)])


# Guards against an instance that takes one failure in a long outage for no outage, and sends at full rate.
@pytest.mark.parametrize("outcome", FAILURES)
def test_a_success_long_after_a_single_failure_begins_a_slow_start(outcome: Outcome) -> None:
    world = World(settings(max_attempts=1), ONE_ENDPOINT)
    call(world, "before", Outcome.DELIVERED)
    call(world, "failed", outcome)
    world.advance_to(world.now + 4 * SECOND)
    call(world, "after", Outcome.DELIVERED)
    assert state_of(world).rate.in_slow_start(world.now)


@pytest.mark.parametrize("outcome", FAILURES)
def test_a_success_soon_after_a_failure_begins_no_slow_start(outcome: Outcome) -> None:
    world = World(settings(max_attempts=1), ONE_ENDPOINT)
    call(world, "before", Outcome.DELIVERED)
    call(world, "failed", outcome)
    call(world, "after", Outcome.DELIVERED)
    assert not state_of(world).rate.in_slow_start(world.now)
    assert not state_of(world).circuit.ejected


# Guards against a partner that is shut, closes each connection, and falls since fewer than six calls saw it.
def test_few_rejected_connections_over_some_seconds_begin_a_slow_start() -> None:
    world = World(settings(max_attempts=1, instance_count=32), ONE_ENDPOINT)
    call(world, "before", Outcome.DELIVERED)
    for number in range(2):
        call(world, f"rejected-{number}", Outcome.REJECTED, connection_limited=True)
        world.advance_to(world.now + 2 * SECOND)
    call(world, "after", Outcome.DELIVERED)
    assert state_of(world).rate.in_slow_start(world.now)


# Guards against a failure in the slow start that ends it, so that the next success lifts the limit.
def test_a_short_ejection_does_not_end_a_slow_start() -> None:
    world = World(settings(max_attempts=1), ONE_ENDPOINT)
    state = state_of(world)
    call(world, "before", Outcome.DELIVERED)
    state.rate.start_slow_start(world.now, 8 * SECOND)
    state.circuit.call_failures.failures = 5.0  # so that one more failure ejects
    call(world, "failed", Outcome.CONNECT_FAILED)
    assert state.circuit.ejected
    call(world, "after", Outcome.DELIVERED)
    assert not state.circuit.ejected
    assert state.rate.send_rate(world.now) < inf


# Guards against a partner that tells everybody when it returns, and falls under all their calls then.
def test_instances_spread_their_first_calls_after_a_long_retry_after() -> None:
    retry_after = 6 * SECOND
    delays = []
    for seed in range(16):
        world = World(settings(max_attempts=1, instance_count=32), ONE_ENDPOINT, seed)
        call(world, "rejected", Outcome.REJECTED, retry_after)
        ends_at = world.now + retry_after
        world.batch([world.new_message("waiting")])
        while not world.messages["waiting"].attempts:
            world.advance_to(world.now + ROUND_TRIP)
        delays.append(world.sends("waiting")[0][0] - ends_at)
    assert min(delays) >= 0
    assert max(delays) <= 16 * SECOND
    assert sum(delay < SECOND for delay in delays) <= len(delays) // 3


def test_a_short_retry_after_is_followed_by_a_call_at_once() -> None:
    world = World(settings(max_attempts=1), ONE_ENDPOINT)
    call(world, "before", Outcome.DELIVERED)
    call(world, "rejected", Outcome.REJECTED, SECOND)
    ends_at = world.now + SECOND
    world.batch([world.new_message("waiting")])
    world.advance_to(ends_at + 2 * ROUND_TRIP)
    assert world.sends("waiting")


FAILING_SINCE = 3 * SECOND
STARTED_AT = 9 * SECOND  # the time of a process that starts again in the outage
FAILING = OutageHistory(failing_since=FAILING_SINCE, only_rejections=False)


def restarted_world(history: OutageHistory, seed: int = 7, now: int = STARTED_AT) -> World:
    """Return an instance that starts with what its earlier process recorded."""
    world = World(settings(max_attempts=1, instance_count=32), ONE_ENDPOINT, seed)
    world.batch([OutageKnown(0, "", history)], now=now)
    return world


# Guards against processes that are killed in an outage, forget it, and send all that they hold at its end.
@pytest.mark.parametrize("failing_since", [FAILING_SINCE, STARTED_AT - SECOND])
def test_processes_that_start_in_an_outage_spread_their_probes_and_begin_a_slow_start(
    failing_since: int,
) -> None:
    delays = []
    for seed in range(16):
        world = restarted_world(OutageHistory(failing_since, only_rejections=False), seed)
        world.batch([world.new_message("held")])
        while not world.messages["held"].attempts:
            world.advance_to(world.now + ROUND_TRIP)
        delays.append(world.now - STARTED_AT)
        world.batch([world.attempt_ended("held", Outcome.DELIVERED)])
        failing_for = world.now - failing_since
        if failing_for > MIN_OUTAGE:
            assert state_of(world).rate.in_slow_start(world.now)
            assert state_of(world).rate.outage_duration == failing_for
    assert sum(delay < SECOND for delay in delays) <= len(delays) // 3


# Guards against processes that are killed after a partner's return, and send at full rate after their start.
def test_a_process_that_starts_in_a_slow_start_continues_it() -> None:
    history = OutageHistory(recovered_at=8 * SECOND, outage_duration=5 * SECOND)
    state = state_of(restarted_world(history))
    assert state.rate.recovered_at == 8 * SECOND
    assert state.rate.send_rate(STARTED_AT) < inf


@pytest.mark.parametrize("again", [FAILING, OutageHistory(failing_since=FAILING_SINCE + SECOND)])
def test_a_success_is_not_forgotten_for_an_older_history(again: OutageHistory) -> None:
    world = restarted_world(FAILING)
    call(world, "probe", Outcome.DELIVERED)
    world.batch([OutageKnown(0, "", again)])
    assert state_of(world).outage.failing_since is None
    assert not state_of(world).circuit.ejected


def test_the_history_is_recorded_when_failures_begin_and_when_they_end() -> None:
    world = World(settings(max_attempts=1), ONE_ENDPOINT)
    call(world, "failed", Outcome.CONNECT_FAILED)
    failed_at = world.now
    world.advance_to(world.now + 3 * SECOND)
    call(world, "after", Outcome.DELIVERED)
    records = [action for _, action in world.action_log if isinstance(action, RecordOutage)]
    assert [record.history.failing_since for record in records] == [failed_at, 0]
    assert records[1].history.recovered_at == world.now
    assert records[1].history.slow_start_ends_at == world.now + world.settings.slow_start_duration


# Guards against a slow start after a call that failed late, while later calls were delivered.
def test_a_late_failure_of_a_call_sent_before_a_success_is_no_evidence() -> None:
    world = World(settings(max_attempts=1), ONE_ENDPOINT)
    call(world, "before", Outcome.DELIVERED)
    world.batch([world.new_message("lost")])
    world.advance_to(world.now + ROUND_TRIP)
    call(world, "other", Outcome.DELIVERED)
    world.batch([world.attempt_ended("lost", Outcome.CONNECT_FAILED)])
    assert state_of(world).outage.failing_since is None


# Guards against messages that are given up without a call after a restart, as a short Retry-After counted as
# an outage for as long as no endpoint was listed.
def test_a_short_retry_after_bounds_the_outage_that_it_may_come_from() -> None:
    world = World(settings(max_attempts=1), ONE_ENDPOINT)
    call(world, "before", Outcome.DELIVERED)
    call(world, "rejected", Outcome.REJECTED, SECOND)
    world.advance_to(world.now + 8 * SECOND)
    call(world, "after", Outcome.DELIVERED)
    assert not state_of(world).rate.in_slow_start(world.now)
