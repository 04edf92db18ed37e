"""A fleet that loses all its watches at once, against a discovery that sends only so many lines a second."""

from __future__ import annotations

import heapq
from random import Random

import pytest

from honeyhitch.policy.actions import Subscribe
from honeyhitch.policy.events import EndpointListUpdate, UpdateMode
from honeyhitch.protocols import notices
from honeyhitch.protocols.discovery import Watch, WatchError
from honeyhitch.protocols.discovery_backoff import (
    CALM,
    FEW,
    FIRST,
    MOST,
    SILENCE,
    TOLD,
    UNASKED,
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
    firsts = [asking(Random(i), 40).first() for i in range(40)]
    assert max(firsts) > 0.8
    assert len({round(first, 1) for first in firsts}) > 5
    assert asking(Random(1), FEW).first() == 0
    assert asking(Random(1), 40, known=False).first() == 0
    assert asking(Random(1), 40, moved=True).first() == 0


def test_the_whole_list_is_asked_for_only_where_changes_will_not_do() -> None:
    one = asking(Random(1), 40)
    assert not one.full_list
    one.unheard()
    assert one.full_list
    one.listed()
    one.next_pause(1.0, False)
    assert not one.full_list
    assert asking(Random(1), 2, moved=True).full_list
    assert asking(Random(1), 2, known=False).full_list


def test_pauses_grow_up_to_a_bound_and_begin_anew_after_a_watch_that_lasted() -> None:
    one = asking(Random(3), 40)
    bounds = []
    for _ in range(8):
        assert 0 <= one.next_pause(0.1, True) <= one.bound
        bounds.append(one.bound)
    assert bounds == sorted(bounds)
    assert bounds[-1] == MOST
    one.next_pause(CALM, True)
    assert one.bound == FIRST


@pytest.mark.parametrize("instances", [*range(1, 50), 100, 196, 500, 1000])
def test_no_drain_is_missed_by_waiting_to_ask_whatever_the_size_of_the_fleet(instances: int) -> None:
    """What the agent has counts as told. Only where it turned us away has it nothing for us."""
    for seed in range(20):
        one = asking(Random(seed), instances)
        pauses = [one.first(), *(one.next_pause(0.1 * (seed % 3), False) for _ in range(10))]
        assert max(pauses) <= UNASKED * GRACE
        one.next_pause(0.1, True)
        assert one.next_pause(0.1, False) <= UNASKED * GRACE


def test_a_list_that_cannot_be_used_is_not_asked_for_in_a_flood() -> None:
    fleet = [asking(Random(i), 200) for i in range(200)]
    late = [[one.next_pause(0.05, True) for _ in range(12)][-1] for one in fleet]
    assert sum(late) / len(late) >= MOST / 3


def test_an_agent_that_cannot_be_reached_is_never_asked_in_a_loop() -> None:
    one = WatchBackoff(Random(1), 200, True, False, 0.0)
    assert sum(one.next_pause(0.0, False) for _ in range(100)) >= 100 * FIRST / 4


def test_an_error_says_what_was_answered() -> None:
    """Only a busy agent, or one that ends a good watch, leaves the revision worth asking by."""
    machine = Watch()
    with pytest.raises(WatchError) as told:
        machine.feed(b"HTTP/1.1 410 Gone\r\nContent-Length: 1\r\n\r\n")
    assert told.value.status == 410


class Longest(Random):
    """Each draw is the longest that may be drawn."""

    def uniform(self, a: float, b: float) -> float:
        return b


@pytest.mark.parametrize("instances", [1, 6, 200, 770])
def test_after_refused_asks_the_next_answer_comes_before_a_change_counts_as_told(instances: int) -> None:
    """Discovery may have a change, and be reached, right after it turned an ask away: that counts as told 6 s
    later, whatever else is allowed then, and however many asks were turned away before.
    """
    one = WatchBackoff(Longest(), instances, True, False, 0.0)
    for _ in range(20):
        pause = one.next_pause(0.05, True)
        one.opens()
        assert pause + one.within < TOLD


def test_the_module_asks_again_before_a_change_counts_as_told() -> None:
    """The same term where the module itself asks: after each failed ask, however many there were."""
    world = World(settings(must_subscribe=True), ())
    for _ in range(12):
        world.batch([EndpointListUpdate(UpdateMode.FAILED)])
        failed, before = world.now, len(world.log)
        world.run(world.now + int(TOLD * SECOND))
        asked = [at for at, action in world.log[before:] if isinstance(action, Subscribe)]
        assert asked
        assert asked[0] - failed < TOLD * SECOND


@pytest.mark.parametrize("instances", [1, 6, 200])
@pytest.mark.parametrize("grace", [0.0, 0.1, 0.5, 1.0, 2.0, 3.0, 10.0])
def test_a_silent_watch_after_a_silent_one_is_over_before_a_drain_is(grace: float, instances: int) -> None:
    """What the first one misses counts as told 6 s after it fell silent; the third one answers."""
    one = WatchBackoff(Longest(), instances, True, False, grace)
    one.opens()
    one.heard()
    one.silent()
    gone = SILENCE + one.next_pause(SILENCE, False)  # it had heard its list a moment before
    one.opens()
    gone += one.within
    one.silent()
    gone += one.next_pause(one.within, False)
    assert gone < TOLD + grace - 0.1, "and there is time for the answer"


def test_an_agent_that_stays_silent_is_asked_less_and_less_and_in_the_end_for_its_whole_list() -> None:
    one, waited = asking(Random(1), 200), list[float]()
    for _ in range(6):
        one.opens()
        waited.append(one.within)
        one.silent()
        assert one.full_list is (waited[-1] == SILENCE)
    assert waited == sorted(waited)
    assert waited[0] < 1.1
    assert waited[-1] == SILENCE
    one.opens()
    one.heard()
    assert one.within == SILENCE, "from its first bytes on heartbeats come"
    one.opens()
    assert one.within == waited[0]


def test_two_dead_connections_leave_a_notice_in_time() -> None:
    one, gone = notices.patience(), 0.0
    for _ in range(2):
        gone += one.within
        one.failed()
        gone += one.pause
    assert gone <= 0.8 * notices.LATE
    pauses = []
    for _ in range(40):
        one.failed()
        pauses.append(one.pause)
    assert pauses == sorted(pauses)
    assert pauses[-1] == one.within == notices.ANSWER
    one.heard()
    assert one.within < notices.LATE
    assert one.pause == 0
