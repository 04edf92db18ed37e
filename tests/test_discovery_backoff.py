"""A fleet that loses all its watches at once, against a discovery that sends only so many lines a second."""

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

from .world import SECOND, World, settings

LINES, ASK_COST, LIST_COST = (
    250.0,
    30,
    14,
)  # lines a second, lines that any ask costs, and a whole list besides


GRACE = 2.0  # seconds; granted after a drain


def asking(rng: Random, instances: int, known: bool = True, moved: bool = False) -> WatchBackoff:
    return WatchBackoff(rng, instances, known, moved, GRACE)


def back(seed: int, count: int = 40, broken_at: float = 10.0) -> tuple[list[float], int]:
    """When each of them watches again, in seconds after the break, and how many asks were turned away."""
    fleet = [asking(Random(seed * 100 + i), count) for i in range(count)]
    asks = [(broken_at + one.next_pause(broken_at, False), i) for i, one in enumerate(fleet)]
    heapq.heapify(asks)
    left, at, refused, done = LINES, broken_at, 0, []
    while asks:
        now, i = heapq.heappop(asks)
        left, at = min(LINES, left + LINES * (now - at)), now
        cost = ASK_COST + (ASK_COST + LIST_COST) * fleet[i].full_list
        if left >= cost:
            done.append(now - broken_at)
        else:  # asks in excess cost it, too
            refused += 1
            heapq.heappush(asks, (now + fleet[i].next_pause(0.05, True), i))
        left = max(0.0, left - cost)
    return done, refused


@pytest.mark.parametrize("seed", range(1, 6))
def test_a_fleet_gets_its_watches_back_where_discovery_is_short(seed: int) -> None:
    done, refused = back(seed)
    assert len(done) == 40
    assert max(done) <= 40
    assert sorted(done)[30] <= 12
    assert refused <= 150


def test_starts_are_spread_where_a_list_is_at_hand() -> None:
    firsts = [asking(Random(i), 40).first_pause() for i in range(40)]
    assert max(firsts) > 0.8
    assert len({round(first, 1) for first in firsts}) > 5
    assert asking(Random(1), MAX_INSTANCES_WITHOUT_SPREAD).first_pause() == 0
    assert asking(Random(1), 40, known=False).first_pause() == 0
    assert asking(Random(1), 40, moved=True).first_pause() == 0


def test_the_whole_list_is_asked_for_only_where_changes_will_not_do() -> None:
    one = asking(Random(1), 40)
    assert not one.full_list
    one.request_full_list()
    assert one.full_list
    one.list_received()
    one.next_pause(1.0, False)
    assert not one.full_list
    assert asking(Random(1), 2, moved=True).full_list
    assert asking(Random(1), 2, known=False).full_list


def test_pauses_grow_up_to_a_bound_and_begin_anew_after_a_watch_that_lasted() -> None:
    one = asking(Random(3), 40)
    bounds = []
    for _ in range(8):
        assert 0 <= one.next_pause(0.1, True) <= one.backoff_limit
        bounds.append(one.backoff_limit)
    assert bounds == sorted(bounds)
    assert bounds[-1] == MAX_BACKOFF_SECONDS
    one.next_pause(STABLE_WATCH_SECONDS, True)
    assert one.backoff_limit == INITIAL_BACKOFF_SECONDS


@pytest.mark.parametrize("instances", [*range(1, 50), 100, 196, 500, 1000])
def test_no_drain_is_missed_by_waiting_to_ask_whatever_the_size_of_the_fleet(instances: int) -> None:
    """What the agent has counts as told. Only where it turned us away has it nothing for us."""
    for seed in range(20):
        one = asking(Random(seed), instances)
        pauses = [one.first_pause(), *(one.next_pause(0.1 * (seed % 3), False) for _ in range(10))]
        assert max(pauses) <= DRAIN_GRACE_FRACTION * GRACE
        one.next_pause(0.1, True)
        assert one.next_pause(0.1, False) <= DRAIN_GRACE_FRACTION * GRACE


def test_a_list_that_cannot_be_used_is_not_asked_for_in_a_flood() -> None:
    fleet = [asking(Random(i), 200) for i in range(200)]
    late = [[one.next_pause(0.05, True) for _ in range(12)][-1] for one in fleet]
    assert sum(late) / len(late) >= MAX_BACKOFF_SECONDS / 3


def test_an_agent_that_cannot_be_reached_is_never_asked_in_a_loop() -> None:
    one = WatchBackoff(Random(1), 200, True, False, 0.0)
    assert sum(one.next_pause(0.0, False) for _ in range(100)) >= 100 * INITIAL_BACKOFF_SECONDS / 4


def test_an_error_says_what_was_answered() -> None:
    """Only a busy agent, or one that ends a good watch, leaves the revision worth asking by."""
    machine = WatchParser()
    with pytest.raises(WatchError) as told:
        machine.feed(b"HTTP/1.1 410 Gone\r\nContent-Length: 1\r\n\r\n")
    assert told.value.status == 410


class Longest(Random):
    """Each draw is the longest that may be drawn."""

    def uniform(self, _a: float, b: float) -> float:
        return b


@pytest.mark.parametrize("instances", [1, 6, 200, 770])
def test_after_refused_asks_the_next_answer_comes_before_a_change_counts_as_told(instances: int) -> None:
    """Discovery may have a change, and be reached, right after it turned an ask away: that counts as told 6 s
    later, whatever else is allowed then, and however many asks were turned away before.
    """
    one = WatchBackoff(Longest(), instances, True, False, 0.0)
    for _ in range(20):
        pause = one.next_pause(0.05, True)
        one.watch_opened()
        assert pause + one.read_timeout < NOTIFICATION_DEADLINE_SECONDS


def test_the_module_asks_again_before_a_change_counts_as_told() -> None:
    """The same term where the module itself asks: after each failed ask, however many there were."""
    world = World(settings(must_subscribe=True), ())
    for _ in range(12):
        world.batch([EndpointListUpdate(UpdateMode.FAILED)])
        failed, before = world.now, len(world.log)
        world.run(world.now + int(NOTIFICATION_DEADLINE_SECONDS * SECOND))
        asked = [at for at, action in world.log[before:] if isinstance(action, Subscribe)]
        assert asked
        assert asked[0] - failed < NOTIFICATION_DEADLINE_SECONDS * SECOND


@pytest.mark.parametrize("instances", [1, 6, 200])
@pytest.mark.parametrize("grace", [0.0, 0.1, 0.5, 1.0, 2.0, 3.0, 10.0])
def test_a_silent_watch_after_a_silent_one_is_over_before_a_drain_is(grace: float, instances: int) -> None:
    """What the first one misses counts as told 6 s after it fell silent; the third one answers."""
    one = WatchBackoff(Longest(), instances, True, False, grace)
    one.watch_opened()
    one.data_received()
    one.timed_out()
    gone = HEARTBEAT_TIMEOUT_SECONDS + one.next_pause(
        HEARTBEAT_TIMEOUT_SECONDS, False
    )  # it had heard its list a moment before
    one.watch_opened()
    gone += one.read_timeout
    one.timed_out()
    gone += one.next_pause(one.read_timeout, False)
    assert gone < NOTIFICATION_DEADLINE_SECONDS + grace - 0.1, "and there is time for the answer"


def test_an_agent_that_stays_silent_is_asked_less_and_less_and_in_the_end_for_its_whole_list() -> None:
    one, waited = asking(Random(1), 200), list[float]()
    for _ in range(6):
        one.watch_opened()
        waited.append(one.read_timeout)
        one.timed_out()
        assert one.full_list is (waited[-1] == HEARTBEAT_TIMEOUT_SECONDS)
    assert waited == sorted(waited)
    assert waited[0] < 1.1
    assert waited[-1] == HEARTBEAT_TIMEOUT_SECONDS
    one.watch_opened()
    one.data_received()
    assert one.read_timeout == HEARTBEAT_TIMEOUT_SECONDS, "from its first bytes on heartbeats come"
    one.watch_opened()
    assert one.read_timeout == waited[0]


def test_two_dead_connections_leave_a_notice_in_time() -> None:
    one, gone = notices.response_timeout(), 0.0
    for _ in range(2):
        gone += one.current
        one.record_failure()
        gone += one.retry_pause
    assert gone <= 0.8 * notices.MAX_NOTICE_DELAY_SECONDS
    pauses = []
    for _ in range(40):
        one.record_failure()
        pauses.append(one.retry_pause)
    assert pauses == sorted(pauses)
    assert pauses[-1] == one.current == notices.MAX_RESPONSE_SECONDS
    one.record_response()
    assert one.current < notices.MAX_NOTICE_DELAY_SECONDS
    assert one.retry_pause == 0
