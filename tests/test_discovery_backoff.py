"""Backoff of a fleet that loses all its watches at once, while discovery sends few lines per second."""

from __future__ import annotations

import heapq
from random import Random

import pytest

from honeyhitch.policy.actions import Subscribe
from honeyhitch.policy.events import EndpointListUpdate, UpdateMode
from honeyhitch.protocols import notices
from honeyhitch.protocols.discovery import WatchError, WatchParser
from honeyhitch.protocols.discovery_backoff import (
    DRAIN_GRACE_FRACTION,
    HEARTBEAT_TIMEOUT_SECONDS,
    INITIAL_BACKOFF_SECONDS,
    MAX_BACKOFF_SECONDS,
    MAX_INSTANCES_WITHOUT_SPREAD,
    NOTIFICATION_DEADLINE_SECONDS,
    STABLE_WATCH_SECONDS,
    WatchBackoff,
)
from honeyhitch.protocols.list_parser import RowList

from .world import SECOND, World, settings

LINES_PER_SECOND = 250.0  # rate limit of discovery
REQUEST_COST = 30  # lines that discovery spends on each request
LIST_COST = 14  # additional lines for a complete list
DRAIN_GRACE = 2.0  # seconds after the announcement of a drain


def create_backoff(
    rng: Random, instances: int, has_list: bool = True, address_changed: bool = False
) -> WatchBackoff:
    return WatchBackoff(rng, instances, has_list, address_changed, DRAIN_GRACE)


def simulate_reconnection(seed: int, count: int = 40, broken_at: float = 10.0) -> tuple[list[float], int]:
    """Simulate a fleet after all its watches break.

    Return the times, in seconds after the break, at which instances have a watch again, and the number of
    rejected requests.
    """
    fleet = [create_backoff(Random(seed * 100 + i), count) for i in range(count)]
    requests = [(broken_at + backoff.next_pause(broken_at, False), i) for i, backoff in enumerate(fleet)]
    heapq.heapify(requests)
    available_lines = LINES_PER_SECOND
    updated_at = broken_at
    rejected = 0
    reconnect_times: list[float] = []
    while requests:
        now, i = heapq.heappop(requests)
        available_lines, updated_at = (
            min(LINES_PER_SECOND, available_lines + LINES_PER_SECOND * (now - updated_at)),
            now,
        )
        cost = REQUEST_COST + (REQUEST_COST + LIST_COST) * fleet[i].full_list
        if available_lines >= cost:
            reconnect_times.append(now - broken_at)
        else:  # rejected requests use up lines, too
            rejected += 1
            heapq.heappush(requests, (now + fleet[i].next_pause(0.05, True), i))
        available_lines = max(0.0, available_lines - cost)
    return reconnect_times, rejected


@pytest.mark.parametrize("seed", range(1, 6))
def test_a_fleet_reconnects_its_watches_while_discovery_is_overloaded(seed: int) -> None:
    reconnect_times, rejected = simulate_reconnection(seed)
    assert len(reconnect_times) == 40
    assert max(reconnect_times) <= 40
    assert sorted(reconnect_times)[30] <= 12
    assert rejected <= 150


def test_first_requests_of_a_fleet_that_has_a_list_are_spread() -> None:
    first_pauses = [create_backoff(Random(i), 40).first_pause() for i in range(40)]
    assert max(first_pauses) > 0.8
    assert len({round(pause, 1) for pause in first_pauses}) > 5
    assert create_backoff(Random(1), MAX_INSTANCES_WITHOUT_SPREAD).first_pause() == 0
    assert create_backoff(Random(1), 40, has_list=False).first_pause() == 0
    assert create_backoff(Random(1), 40, address_changed=True).first_pause() == 0


def test_the_complete_list_is_requested_only_where_changes_are_not_enough() -> None:
    backoff = create_backoff(Random(1), 40)
    assert not backoff.full_list
    backoff.request_full_list()
    assert backoff.full_list
    backoff.list_received()
    backoff.next_pause(1.0, False)
    assert not backoff.full_list
    assert create_backoff(Random(1), 2, address_changed=True).full_list
    assert create_backoff(Random(1), 2, has_list=False).full_list


def test_pauses_grow_up_to_a_limit_and_are_reset_after_a_stable_watch() -> None:
    backoff = create_backoff(Random(3), 40)
    bounds = []
    for _ in range(8):
        assert 0 <= backoff.next_pause(0.1, True) <= backoff.backoff_limit
        bounds.append(backoff.backoff_limit)
    assert bounds == sorted(bounds)
    assert bounds[-1] == MAX_BACKOFF_SECONDS
    backoff.next_pause(STABLE_WATCH_SECONDS, True)
    assert backoff.backoff_limit == INITIAL_BACKOFF_SECONDS


@pytest.mark.parametrize("instances", [*range(1, 50), 100, 196, 500, 1000])
def test_pauses_take_only_a_fraction_of_the_drain_grace_in_a_fleet_of_any_size(instances: int) -> None:
    """A change that the agent holds counts as known, so a pause may take only a fraction of the drain grace.

    Only an agent that rejected a request holds no change for this instance.
    """
    for seed in range(20):
        backoff = create_backoff(Random(seed), instances)
        pauses = [backoff.first_pause(), *(backoff.next_pause(0.1 * (seed % 3), False) for _ in range(10))]
        assert max(pauses) <= DRAIN_GRACE_FRACTION * DRAIN_GRACE
        backoff.next_pause(0.1, True)
        assert backoff.next_pause(0.1, False) <= DRAIN_GRACE_FRACTION * DRAIN_GRACE


def test_a_fleet_pauses_between_requests_for_an_unusable_list() -> None:
    fleet = [create_backoff(Random(i), 200) for i in range(200)]
    last_pauses = [[backoff.next_pause(0.05, True) for _ in range(12)][-1] for backoff in fleet]
    assert sum(last_pauses) / len(last_pauses) >= MAX_BACKOFF_SECONDS / 3


def test_an_unreachable_agent_is_never_contacted_in_a_tight_loop() -> None:
    backoff = WatchBackoff(Random(1), 200, True, False, 0.0)
    assert sum(backoff.next_pause(0.0, False) for _ in range(100)) >= 100 * INITIAL_BACKOFF_SECONDS / 4


def test_a_watch_error_contains_the_http_status() -> None:
    """The status decides whether the complete list is requested next.

    The revision remains usable only after a busy agent and after the end of a successful watch.
    """
    parser = WatchParser(RowList)
    with pytest.raises(WatchError) as caught:
        parser.feed(b"HTTP/1.1 410 Gone\r\nContent-Length: 1\r\n\r\n")
    assert caught.value.status == 410


class UpperBoundRandom(Random):
    """A random generator that always draws the upper bound."""

    def uniform(self, _a: float, b: float) -> float:
        return b


@pytest.mark.parametrize("instances", [1, 6, 200, 770])
def test_after_rejected_requests_the_next_response_comes_before_the_notification_deadline(
    instances: int,
) -> None:
    """Discovery may get a change right after it rejected a request. The change counts as known 6 s later, so
    the pause and the response have to fit into that time, however many requests were rejected before.
    """
    backoff = WatchBackoff(UpperBoundRandom(), instances, True, False, 0.0)
    for _ in range(20):
        pause = backoff.next_pause(0.05, True)
        backoff.watch_opened()
        assert pause + backoff.read_timeout < NOTIFICATION_DEADLINE_SECONDS


def test_the_policy_subscribes_again_before_the_notification_deadline() -> None:
    """The same deadline applies if the policy subscribes: after each failure, however many preceded it."""
    world = World(settings(must_subscribe=True), ())
    for _ in range(12):
        world.batch([EndpointListUpdate(UpdateMode.FAILED)])
        failed_at, log_length = world.now, len(world.action_log)
        world.advance_to(world.now + int(NOTIFICATION_DEADLINE_SECONDS * SECOND))
        subscribed = [time for time, action in world.action_log[log_length:] if isinstance(action, Subscribe)]
        assert subscribed
        assert subscribed[0] - failed_at < NOTIFICATION_DEADLINE_SECONDS * SECOND


@pytest.mark.parametrize("instances", [1, 6, 200])
@pytest.mark.parametrize("grace", [0.0, 0.1, 0.5, 1.0, 2.0, 3.0, 10.0])
def test_a_silent_watch_after_a_silent_one_is_over_before_the_drain_grace(
    grace: float, instances: int
) -> None:
    """A change that the first watch misses counts as known 6 s after its silence begins.

    The second watch is silent, too; the third watch responds.
    """
    backoff = WatchBackoff(UpperBoundRandom(), instances, True, False, grace)
    backoff.watch_opened()
    backoff.data_received()
    backoff.timed_out()
    # The first watch received data just before the agent fell silent.
    elapsed = HEARTBEAT_TIMEOUT_SECONDS + backoff.next_pause(HEARTBEAT_TIMEOUT_SECONDS, False)
    backoff.watch_opened()
    elapsed += backoff.read_timeout
    backoff.timed_out()
    elapsed += backoff.next_pause(backoff.read_timeout, False)
    assert elapsed < NOTIFICATION_DEADLINE_SECONDS + grace - 0.1, "time is left for the answer"


def test_timeouts_for_a_silent_agent_grow_and_finally_the_complete_list_is_requested() -> None:
    backoff = create_backoff(Random(1), 200)
    timeouts: list[float] = []
    for _ in range(6):
        backoff.watch_opened()
        timeouts.append(backoff.read_timeout)
        backoff.timed_out()
        assert backoff.full_list is (timeouts[-1] == HEARTBEAT_TIMEOUT_SECONDS)
    assert timeouts == sorted(timeouts)
    assert timeouts[0] < 1.1
    assert timeouts[-1] == HEARTBEAT_TIMEOUT_SECONDS
    backoff.watch_opened()
    backoff.data_received()
    assert backoff.read_timeout == HEARTBEAT_TIMEOUT_SECONDS, "heartbeats are expected after the first bytes"
    backoff.watch_opened()
    assert backoff.read_timeout == timeouts[0]


def test_a_notice_is_in_time_after_two_dead_connections() -> None:
    timeout = notices.response_timeout()
    elapsed = 0.0
    for _ in range(2):
        elapsed += timeout.current
        timeout.record_failure()
        elapsed += timeout.retry_pause
    assert elapsed <= 0.8 * notices.MAX_NOTICE_DELAY_SECONDS
    pauses = []
    for _ in range(40):
        timeout.record_failure()
        pauses.append(timeout.retry_pause)
    assert pauses == sorted(pauses)
    assert pauses[-1] == timeout.current == notices.MAX_RESPONSE_SECONDS
    timeout.record_response()
    assert timeout.current < notices.MAX_NOTICE_DELAY_SECONDS
    assert timeout.retry_pause == 0
