"""A fleet that loses all its watches at once, against a discovery that sends only so many lines a second."""

from __future__ import annotations

import heapq
from random import Random

import pytest

from honeyhitch.wire.asking import CALM, FEW, FIRST, MOST, Asking
from honeyhitch.wire.discovery import Watch, WatchError

LINES, ASK_COST, LIST_COST = (
    250.0,
    30,
    14,
)  # lines a second, lines that any ask costs, and a whole list besides


def back(seed: int, count: int = 40, broken_at: float = 10.0) -> tuple[list[float], int]:
    """When each of them watches again, in seconds after the break, and how many asks were turned away."""
    fleet = [Asking(Random(seed * 100 + i), count, known=True, moved=False) for i in range(count)]
    asks = [(broken_at + one.again(broken_at), i) for i, one in enumerate(fleet)]
    heapq.heapify(asks)
    left, at, refused, done = LINES, broken_at, 0, []
    while asks:
        now, i = heapq.heappop(asks)
        left, at = min(LINES, left + LINES * (now - at)), now
        cost = ASK_COST + (ASK_COST + LIST_COST) * fleet[i].whole
        if left >= cost:
            done.append(now - broken_at)
        else:  # asks in excess cost it, too
            refused += 1
            heapq.heappush(asks, (now + fleet[i].again(0.05), i))
        left = max(0.0, left - cost)
    return done, refused


@pytest.mark.parametrize("seed", range(1, 6))
def test_a_fleet_gets_its_watches_back_where_discovery_is_short(seed: int) -> None:
    done, refused = back(seed)
    assert len(done) == 40 and max(done) <= 40 and sorted(done)[30] <= 12
    assert refused <= 150


def test_starts_are_spread_where_a_list_is_at_hand() -> None:
    firsts = [Asking(Random(i), 40, known=True, moved=False).first() for i in range(40)]
    assert max(firsts) > 1.0 and len({round(first, 1) for first in firsts}) > 10
    assert Asking(Random(1), FEW, known=True, moved=False).first() == 0
    assert Asking(Random(1), 40, known=False, moved=False).first() == 0
    assert Asking(Random(1), 40, known=True, moved=True).first() == 0


def test_the_whole_list_is_asked_for_only_where_changes_will_not_do() -> None:
    asking = Asking(Random(1), 40, known=True, moved=False)
    assert not asking.whole
    asking.unheard()
    assert asking.whole
    asking.listed()
    asking.again(1.0)
    assert not asking.whole
    assert Asking(Random(1), 2, known=True, moved=True).whole and Asking(Random(1), 2, False, False).whole


def test_pauses_grow_up_to_a_bound_and_begin_anew_after_a_watch_that_lasted() -> None:
    asking = Asking(Random(3), 40, known=True, moved=False)
    bounds = []
    for _ in range(8):
        assert 0 <= asking.again(0.1) <= asking.bound
        bounds.append(asking.bound)
    assert bounds == sorted(bounds) and bounds[-1] == MOST
    asking.again(CALM)
    assert asking.bound == FIRST


def test_an_error_says_what_was_answered() -> None:
    """Only a busy agent, or one that ends a good watch, leaves the revision worth asking by."""
    machine = Watch()
    with pytest.raises(WatchError) as told:
        machine.feed(b"HTTP/1.1 410 Gone\r\nContent-Length: 1\r\n\r\n")
    assert told.value.status == 410
