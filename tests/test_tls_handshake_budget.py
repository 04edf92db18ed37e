"""The handshake budget, an endpoint's connection gate, and the dispatcher with connections opened ahead.

All tests run in virtual time.
"""

from __future__ import annotations

import heapq
import itertools
from pathlib import Path
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from honeyhitch.dispatcher.delivery import Call
from honeyhitch.endpoints.endpoint import TLS_TRANSPORT, PoolEndpoint
from honeyhitch.policy.events import ConnectionCapacity, Outcome
from honeyhitch.tls import retirement
from honeyhitch.tls.connection_gate import EndpointConnections
from honeyhitch.tls.failures import Failure, TlsError
from honeyhitch.tls.handshake_budget import RESUMED_WEIGHT, HandshakeBudget, HandshakeStart

from .rig import ENDPOINT_LIST, START, DispatcherRig, VirtualTime, endpoint_row
from .world import MS, SECOND

COLD, COLD_SHARE = 14 * SECOND, 0.3


def most_within(starts: list[tuple[int, float]], window: int) -> float:
    """Return the greatest total weight that began within any `window` nanoseconds."""
    return max(
        (sum(w for at, w in starts if begin <= at < begin + window) for begin, _ in starts), default=0.0
    )


class Shared:
    """Several dispatchers that start as many handshakes with one partner as their budgets allow."""

    def __init__(self, seed: int, instances: int, handshakes: int, rate: float, resumes: float) -> None:
        self.rng, self.resumes, self.handshakes, self.rate = Random(seed), resumes, handshakes, rate
        self.budgets = [
            HandshakeBudget(handshakes, rate, instances, COLD_SHARE, COLD) for _ in range(instances)
        ]
        self.now_running = self.most = 0
        self.starts: list[tuple[int, float]] = []

    def run(self, begin: int, seconds: float, up: bool = True) -> int:
        """Start handshakes whenever a budget allows it, and return the number that succeeded."""
        end, seq, done = begin + int(seconds * SECOND), 0, 0
        heap: list[tuple[int, int, int, tuple[HandshakeStart, int] | None]] = []
        for i in range(len(self.budgets)):
            heap.append((begin + self.rng.randrange(100 * MS), i, i, None))
        heapq.heapify(heap)
        seq = len(heap)
        while heap and heap[0][0] < end:
            now, _, i, ending = heapq.heappop(heap)
            budget = self.budgets[i]
            if ending is not None:
                start, at = ending
                self.now_running -= 1
                resumed = up and self.rng.random() < self.resumes
                if up:
                    budget.succeeded(start, now, resumed)
                    self.starts[at] = self.starts[at][0], RESUMED_WEIGHT if resumed else 1.0
                    done += 1
                else:
                    budget.failed(start, outage=True)
            while budget.ready_at(now) <= now:
                start = budget.start(now)
                self.now_running += 1
                self.most = max(self.most, self.now_running)
                self.starts.append((now, 1.0))
                seq += 1
                took = int(self.rng.uniform(5, 400) * MS)
                heapq.heappush(heap, (now + took, seq, i, (start, len(self.starts) - 1)))
            if ending is None:
                seq += 1
                heapq.heappush(heap, (max(now + MS, budget.ready_at(now)), seq, i, None))
        for _, _, i, ending in heap:
            if ending is not None:
                self.now_running -= 1
                self.budgets[i].failed(ending[0], outage=False)
        return done


@pytest.mark.parametrize(("instances", "handshakes", "rate"), [(1, 4, 8.0), (3, 6, 12.0), (2, 2, 2.0)])
def test_a_partner_never_sees_more_than_was_set_in_100_cold_returns(
    instances: int, handshakes: int, rate: float
) -> None:
    for seed in range(100):
        shared = Shared(seed, instances, handshakes, rate, resumes=seed % 3 / 2)
        shared.run(0, 3)
        shared.run(3 * SECOND, 2, up=False)
        began = len(shared.starts)
        assert shared.run(5 * SECOND, 10) > 0
        assert shared.most <= handshakes, seed
        assert most_within(shared.starts, SECOND) <= rate, seed
        back = shared.starts[began:]
        early = sum(weight for at, weight in back if at < back[0][0] + SECOND)
        assert early <= max(instances, rate * (COLD_SHARE + 0.1)), "slower while it is cold"


def test_the_rate_is_used_once_the_partner_is_warm_and_resumed_ones_cost_less() -> None:
    full, resumed = (Shared(1, 1, 64, 8.0, share) for share in (0.0, 1.0))
    for shared in (full, resumed):
        shared.budgets[0].recovered_at = -COLD
    whole, cheap = full.run(0, 20), resumed.run(0, 20)
    assert 0.7 * 8 * 20 / 1.25 <= whole <= 8 * 20
    assert cheap > 2 * whole


def test_a_rate_below_one_a_second_each_is_spaced_out_and_said() -> None:
    shared = Shared(1, 4, 4, 2.0, 0.0)
    assert 10 <= shared.run(0, 20) <= 2 * 20 + 4
    assert HandshakeBudget.warnings(4, 2.0, 4)
    assert not HandshakeBudget.warnings(4, 4.0, 4)
    assert len(HandshakeBudget.warnings(2, 2.0, 4)) == 2


def test_most_connections_lost_at_once_are_a_restart() -> None:
    budget = HandshakeBudget(4, 8.0, 1, COLD_SHARE, COLD)
    now = 100 * SECOND
    budget.connection_lost(now, remaining=9)
    assert budget.slow_start_share(now) == 1.0, "one of ten is no restart"
    for i in range(5):
        budget.connection_lost(now + i, remaining=4 - i)
    assert budget.slow_start_share(now + 10) == pytest.approx(COLD_SHARE, abs=0.01)
    assert budget.slow_start_share(now + 10 + COLD) == 1.0


@given(
    times=st.lists(st.integers(0, 3 * SECOND), min_size=1, max_size=60),
    rate=st.floats(0.2, 30),
    handshakes=st.integers(1, 5),
)
def test_whatever_the_askers_do_the_budget_holds(times: list[int], rate: float, handshakes: int) -> None:
    budget, starts, running = HandshakeBudget(handshakes, rate), list[int](), list[object]()
    for now in sorted(times):
        if len(running) > 1:
            budget.succeeded(running.pop(0), now, False)  # type: ignore[arg-type]
        at = budget.ready_at(now)
        if at <= now:
            running.append(budget.start(now))
            starts.append(now)
        assert len(running) <= handshakes
    assert most_within([(at, 1.0) for at in starts], SECOND) <= max(1.0, rate)


def test_retirement_is_spread_over_the_time_and_ends_before_it() -> None:
    times = retirement.plan_retirement(50, START, 30 * SECOND, Random(3))
    assert times == sorted(times)
    assert times[0] >= START
    assert times[-1] < START + 30 * SECOND
    assert max(b - a for a, b in itertools.pairwise(times)) < 2 * SECOND
    assert sum(1 for at in times if at < START + SECOND) <= 4, "never all at once"


def test_a_door_bars_a_member_longer_with_each_lasting_failure() -> None:
    door = EndpointConnections("m", 1, HandshakeBudget(2, 100.0), lambda failures: SECOND << failures)
    now = START
    for expected in (1, 2, 4):
        start = door.start(now)
        assert start is not None
        room = door.failed(start, now + MS, TlsError(Failure.EXPIRED))
        assert not room.connect_failed
        assert room.connect_blocked_for == expected * SECOND
        assert door.start(now + 2 * MS) is None
        assert room.failure_reason == "expired", "the failure's name stands in the outcome"
        now += MS + room.connect_blocked_for
    start = door.start(now)
    assert start is not None
    down = door.failed(start, now + 5 * MS, TlsError(Failure.STALLED))
    assert down.failure_reason == "stalled"
    assert down.connect_failed, "an outage, as the policy knows it"
    assert down.elapsed == 5 * MS
    door.block(now)
    door.unblock()
    start = door.start(now + 3 * SECOND)
    assert start is not None
    up = door.opened(start, now + 4 * SECOND, False)
    assert (up.capacity, up.connect_failed, door.failures) == (1, False, 0)


class Gated(DispatcherRig):
    """A dispatcher whose destination 1 is reached over connections that are opened before calls."""

    def __init__(self, folder: Path, time: VirtualTime | None = None, **more: object) -> None:
        self.asked: list[int] = []
        super().__init__(folder, time, **more)  # type: ignore[arg-type]
        self.dispatcher.transports[TLS_TRANSPORT] = self
        self.dispatcher.connection_openers[TLS_TRANSPORT] = self
        self.dispatcher.pool.transport_of = lambda member: (
            TLS_TRANSPORT if member.destination == 1 else "http"
        )

    def open(self, _endpoint: PoolEndpoint, calls: int) -> None:
        self.asked.append(calls)

    def tell(self, calls: int, **more: int) -> list[Call]:
        self.dispatcher.apply_connection_capacity(ConnectionCapacity("s-1", 1, calls, **more))  # type: ignore[arg-type]
        return self.run(0.05)


@pytest.fixture
def gated(tmp_path: Path) -> Gated:
    stand = Gated(tmp_path)
    # The initial list was applied before `transport_of` was replaced, so the endpoints are listed again.
    stand.dispatcher.apply_list_update(
        stand.dispatcher.pool.update({"revision": 3, "complete": True, "members": [endpoint_row("s-2", 2)]})
    )
    stand.dispatcher.apply_list_update(
        stand.dispatcher.pool.update(
            {"revision": 4, **{k: v for k, v in ENDPOINT_LIST.items() if k != "revision"}}
        )
    )
    stand.run(0.1)
    return stand


def test_messages_wait_for_connections_without_slots_or_attempts(gated: Gated) -> None:
    for i in range(3):
        assert gated.submit(f"m{i}")
    assert gated.run(1) == []
    assert gated.asked
    assert max(gated.asked) >= 1
    assert gated.dispatcher.policy.concurrent_calls == 0, "no slot is held by a handshake"
    calls = gated.tell(2)
    assert len(calls) == 2
    assert all(call.attempt_numbers == [0] for call in calls)
    assert gated.run(1) == [], "no more calls than connections"
    gated.end(calls[0], Outcome.DELIVERED)
    (third,) = gated.run(0.1)
    assert third.attempt_numbers == [0]
    gated.end(third, Outcome.DELIVERED)
    gated.end(calls[1], Outcome.DELIVERED)
    gated.run(0.1)
    assert not gated.dispatcher.messages.by_id


def test_failed_handshakes_are_an_outage_with_trials_but_no_attempts(gated: Gated) -> None:
    gated.submit("m")
    gated.run(0.1)
    asked = []
    for _ in range(6):
        asked.append(len(gated.asked))
        gated.tell(0, connect_failed=True, elapsed=10 * MS)
        gated.run(1)
    assert gated.dispatcher.messages.by_id["m"].attempt_count == 0
    gaps = [b - a for a, b in itertools.pairwise(asked)]
    assert all(gap <= 2 for gap in gaps), "single trials, no storm"
    (call,) = gated.tell(1) or gated.run(5)
    assert call.attempt_numbers == [0]


def test_a_told_wait_is_not_overtaken_by_a_handshake(gated: Gated) -> None:
    gated.submit("m")
    gated.run(0.1)
    (call,) = gated.tell(1)
    gated.end(call, Outcome.REJECTED, retry_after=2 * SECOND)
    gated.tell(0)
    before = len(gated.asked)
    gated.submit("n")
    gated.run(1.8)
    assert len(gated.asked) == before, "no connection is even asked for"
    gated.run(0.5)
    assert len(gated.asked) > before


def test_what_no_connection_will_be_tried_for_is_given_up_at_once_with_a_time_to_come_back(
    gated: Gated,
) -> None:
    gated.submit("short", left=5 * SECOND)
    gated.submit("long", left=20 * SECOND)
    gated.run(0.1)
    gated.tell(0, connect_blocked_for=8 * SECOND)
    assert [one.id for one in gated.answers] == ["short"], "and not near its deadline"
    assert gated.answers[0].retry_after > 0
    gated.submit("new", left=5 * SECOND)
    gated.run(0.1)
    assert [one.id for one in gated.answers] == ["short", "new"]
    gated.run(8)
    assert gated.asked, "asked again once it may be"
    (call,) = gated.tell(1)
    gated.end(call, Outcome.DELIVERED)


def test_a_connection_that_went_unnoticed_costs_no_lesson(gated: Gated) -> None:
    gated.submit("m")
    gated.run(0.1)
    (call,) = gated.tell(1)
    gated.end(call, Outcome.CONNECT_FAILED, connection_stale=True)
    gated.tell(0)
    lane = gated.dispatcher.policy.destinations[1].endpoints["s-1"].state
    assert not lane.circuit.ejected
    assert lane.circuit.consecutive_failures == 0
