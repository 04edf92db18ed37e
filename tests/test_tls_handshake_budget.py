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

from honeyhitch import config
from honeyhitch.dispatcher.delivery import Call
from honeyhitch.endpoints.endpoint import TLS_TRANSPORT, PoolEndpoint
from honeyhitch.policy.events import ConnectionCapacity, Outcome
from honeyhitch.service.assembly import assemble
from honeyhitch.service.shutdown import close
from honeyhitch.tls import retirement
from honeyhitch.tls.connection_gate import EndpointConnections
from honeyhitch.tls.failures import Failure, TlsError
from honeyhitch.tls.handshake_budget import RESUMED_WEIGHT, HandshakeBudget, HandshakeStart
from honeyhitch.transports.tls_transport import TlsTransport

from .processes import listening_port
from .program import run_async_test, write_config_files
from .rig import ENDPOINT_LIST, START, DispatcherRig, VirtualTime, endpoint_row
from .world import MS, SECOND

SLOW_START_DURATION, SLOW_START_FRACTION = 14 * SECOND, 0.3


def most_within(starts: list[tuple[int, float]], window: int) -> float:
    """Return the greatest total weight that began within any `window` nanoseconds."""
    return max(
        (sum(weight for began, weight in starts if begin <= began < begin + window) for begin, _ in starts),
        default=0.0,
    )


class SharedPartner:
    """Several dispatchers that start as many handshakes with one partner as their budgets allow."""

    def __init__(
        self, seed: int, instance_count: int, handshakes: int, rate: float, resumed_share: float
    ) -> None:
        self.rng, self.resumed_share, self.handshakes, self.rate = (
            Random(seed),
            resumed_share,
            handshakes,
            rate,
        )
        self.budgets = [
            HandshakeBudget(handshakes, rate, instance_count, SLOW_START_FRACTION, SLOW_START_DURATION)
            for _ in range(instance_count)
        ]
        self.running = self.max_running = 0
        self.starts: list[tuple[int, float]] = []

    def run(self, begin: int, seconds: float, partner_up: bool = True) -> int:
        """Start handshakes whenever a budget allows it, and return the number that succeeded."""
        end, sequence, succeeded = begin + int(seconds * SECOND), 0, 0
        heap: list[tuple[int, int, int, tuple[HandshakeStart, int] | None]] = []
        for instance in range(len(self.budgets)):
            heap.append((begin + self.rng.randrange(100 * MS), instance, instance, None))
        heapq.heapify(heap)
        sequence = len(heap)
        while heap and heap[0][0] < end:
            now, _, instance, finished = heapq.heappop(heap)
            budget = self.budgets[instance]
            if finished is not None:
                start, start_index = finished
                self.running -= 1
                resumed = partner_up and self.rng.random() < self.resumed_share
                if partner_up:
                    budget.succeeded(start, now, resumed)
                    self.starts[start_index] = self.starts[start_index][0], RESUMED_WEIGHT if resumed else 1.0
                    succeeded += 1
                else:
                    budget.failed(start, outage=True)
            while budget.ready_at(now) <= now:
                start = budget.start(now)
                self.running += 1
                self.max_running = max(self.max_running, self.running)
                self.starts.append((now, 1.0))
                sequence += 1
                duration = int(self.rng.uniform(5, 400) * MS)
                heapq.heappush(heap, (now + duration, sequence, instance, (start, len(self.starts) - 1)))
            if finished is None:
                sequence += 1
                heapq.heappush(heap, (max(now + MS, budget.ready_at(now)), sequence, instance, None))
        for _, _, instance, finished in heap:
            if finished is not None:
                self.running -= 1
                self.budgets[instance].failed(finished[0], outage=False)
        return succeeded


@pytest.mark.parametrize(("instances", "handshakes", "rate"), [(1, 4, 8.0), (3, 6, 12.0), (2, 2, 2.0)])
def test_a_partner_never_gets_more_handshakes_than_configured_in_100_restarts(
    instances: int, handshakes: int, rate: float
) -> None:
    for seed in range(100):
        shared = SharedPartner(seed, instances, handshakes, rate, resumed_share=seed % 3 / 2)
        shared.run(0, 3)
        shared.run(3 * SECOND, 2, partner_up=False)
        starts_before = len(shared.starts)
        assert shared.run(5 * SECOND, 10) > 0
        assert shared.max_running <= handshakes, seed
        assert most_within(shared.starts, SECOND) <= rate, seed
        after_outage = shared.starts[starts_before:]
        early_weight = sum(
            weight for started_at, weight in after_outage if started_at < after_outage[0][0] + SECOND
        )
        assert early_weight <= max(instances, rate * (SLOW_START_FRACTION + 0.1)), "slow start caps the rate"


def test_the_full_rate_is_used_after_slow_start_and_resumed_handshakes_cost_less() -> None:
    full, resumed = (SharedPartner(1, 1, 64, 8.0, resumed_share) for resumed_share in (0.0, 1.0))
    for shared in (full, resumed):
        shared.budgets[0].recovered_at = -SLOW_START_DURATION
    full_count, resumed_count = full.run(0, 20), resumed.run(0, 20)
    assert 0.7 * 8 * 20 / 1.25 <= full_count <= 8 * 20
    assert resumed_count > 2 * full_count


def test_a_rate_below_one_a_second_for_each_is_spaced_out_and_reported() -> None:
    shared = SharedPartner(1, 4, 4, 2.0, 0.0)
    assert 10 <= shared.run(0, 20) <= 2 * 20 + 4
    assert HandshakeBudget.warnings(4, 2.0, 4)
    assert not HandshakeBudget.warnings(4, 4.0, 4)
    assert len(HandshakeBudget.warnings(2, 2.0, 4)) == 2


def test_losing_most_connections_at_once_counts_as_a_restart() -> None:
    budget = HandshakeBudget(4, 8.0, 1, SLOW_START_FRACTION, SLOW_START_DURATION)
    now = 100 * SECOND
    budget.connection_lost(now, remaining=9)
    assert budget.slow_start_share(now) == 1.0, "losing one of ten connections is not a restart"
    for i in range(5):
        budget.connection_lost(now + i, remaining=4 - i)
    assert budget.slow_start_share(now + 10) == pytest.approx(SLOW_START_FRACTION, abs=0.01)
    assert budget.slow_start_share(now + 10 + SLOW_START_DURATION) == 1.0


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
    assert sum(1 for at in times if at < START + SECOND) <= 4, "connections are not all retired at once"


def test_an_endpoint_is_blocked_longer_after_each_lasting_failure() -> None:
    gate = EndpointConnections("m", 1, HandshakeBudget(2, 100.0), lambda failures: SECOND << failures)
    now = START
    for expected in (1, 2, 4):
        start = gate.start(now)
        assert start is not None
        capacity = gate.failed(start, now + MS, TlsError(Failure.EXPIRED))
        assert not capacity.connect_failed
        assert capacity.connect_blocked_for == expected * SECOND
        assert gate.start(now + 2 * MS) is None
        assert capacity.failure_reason == "expired", "the outcome carries the name of the failure"
        now += MS + capacity.connect_blocked_for
    start = gate.start(now)
    assert start is not None
    outage = gate.failed(start, now + 5 * MS, TlsError(Failure.STALLED))
    assert outage.failure_reason == "stalled"
    assert outage.connect_failed, "a stalled handshake is reported as an outage"
    assert outage.elapsed == 5 * MS
    gate.block(now)
    gate.unblock()
    start = gate.start(now + 3 * SECOND)
    assert start is not None
    success = gate.opened(start, now + 4 * SECOND, False)
    assert (success.capacity, success.connect_failed, gate.failures) == (1, False, 0)


class Gated(DispatcherRig):
    """A dispatcher whose destination 1 is reached over connections that are opened before calls."""

    def __init__(self, folder: Path, time: VirtualTime | None = None, **options: object) -> None:
        self.requested_connections: list[int] = []
        super().__init__(folder, time, **options)  # type: ignore[arg-type]
        self.dispatcher.transports[TLS_TRANSPORT] = self
        self.dispatcher.connection_openers[TLS_TRANSPORT] = self
        self.dispatcher.pool.transport_of = lambda endpoint: (
            TLS_TRANSPORT if endpoint.destination == 1 else "http"
        )

    def open(self, _endpoint: PoolEndpoint, calls: int) -> None:
        self.requested_connections.append(calls)

    def report_capacity(self, connections: int, **fields: int) -> list[Call]:
        self.dispatcher.apply_connection_capacity(ConnectionCapacity("s-1", 1, connections, **fields))  # type: ignore[arg-type]
        return self.advance(0.05)


@pytest.fixture
def gated(tmp_path: Path) -> Gated:
    rig = Gated(tmp_path)
    # The initial list was applied before `transport_of` was replaced, so the endpoints are listed again.
    rig.dispatcher.apply_list_update(
        rig.dispatcher.pool.update({"revision": 3, "complete": True, "members": [endpoint_row("s-2", 2)]})
    )
    rig.dispatcher.apply_list_update(
        rig.dispatcher.pool.update(
            {"revision": 4, **{k: v for k, v in ENDPOINT_LIST.items() if k != "revision"}}
        )
    )
    rig.advance(0.1)
    return rig


def test_messages_wait_for_connections_without_slots_or_attempts(gated: Gated) -> None:
    for i in range(3):
        assert gated.submit(f"m{i}")
    assert gated.advance(1) == []
    assert gated.requested_connections
    assert max(gated.requested_connections) >= 1
    assert gated.dispatcher.policy.concurrent_calls == 0, "no slot is held by a handshake"
    calls = gated.report_capacity(2)
    assert len(calls) == 2
    assert all(call.attempt_numbers == [0] for call in calls)
    assert gated.advance(1) == [], "no more calls than connections"
    gated.end(calls[0], Outcome.DELIVERED)
    (third,) = gated.advance(0.1)
    assert third.attempt_numbers == [0]
    gated.end(third, Outcome.DELIVERED)
    gated.end(calls[1], Outcome.DELIVERED)
    gated.advance(0.1)
    assert not gated.dispatcher.messages.by_id


def test_failed_handshakes_are_an_outage_with_probes_but_no_attempts(gated: Gated) -> None:
    gated.submit("m")
    gated.advance(0.1)
    request_counts = []
    for _ in range(6):
        request_counts.append(len(gated.requested_connections))
        gated.report_capacity(0, connect_failed=True, elapsed=10 * MS)
        gated.advance(1)
    assert gated.dispatcher.messages.by_id["m"].attempt_count == 0
    gaps = [b - a for a, b in itertools.pairwise(request_counts)]
    assert all(gap <= 2 for gap in gaps), "single probes, no burst of connection requests"
    (call,) = gated.report_capacity(1) or gated.advance(5)
    assert call.attempt_numbers == [0]


def test_no_connection_is_requested_before_the_retry_after_time(gated: Gated) -> None:
    gated.submit("m")
    gated.advance(0.1)
    (call,) = gated.report_capacity(1)
    gated.end(call, Outcome.REJECTED, retry_after=2 * SECOND)
    gated.report_capacity(0)
    requests_before = len(gated.requested_connections)
    gated.submit("n")
    gated.advance(1.8)
    assert len(gated.requested_connections) == requests_before, "no connection request during Retry-After"
    gated.advance(0.5)
    assert len(gated.requested_connections) > requests_before


def test_messages_due_before_the_next_handshake_are_answered_at_once_with_retry_after(
    gated: Gated,
) -> None:
    gated.submit("short", left=5 * SECOND)
    gated.submit("long", left=20 * SECOND)
    gated.advance(0.1)
    gated.report_capacity(0, connect_blocked_for=8 * SECOND)
    assert [answer.id for answer in gated.answers] == ["short"], "the message is answered immediately"
    assert gated.answers[0].retry_after > 0
    gated.submit("new", left=5 * SECOND)
    gated.advance(0.1)
    assert [answer.id for answer in gated.answers] == ["short", "new"]
    gated.advance(8)
    assert gated.requested_connections, "a connection is requested after the block has ended"
    (call,) = gated.report_capacity(1)
    gated.end(call, Outcome.DELIVERED)


def test_a_stale_connection_is_no_failure_of_the_endpoint(gated: Gated) -> None:
    gated.submit("m")
    gated.advance(0.1)
    (call,) = gated.report_capacity(1)
    gated.end(call, Outcome.CONNECT_FAILED, connection_stale=True)
    gated.report_capacity(0)
    endpoint_state = gated.dispatcher.policy.destinations[1].endpoints["s-1"].state
    assert not endpoint_state.circuit.ejected
    assert endpoint_state.circuit.consecutive_failures == 0


# Guards against two processes of an upgrade that each use the whole share of a partner's handshakes.
def test_two_processes_of_a_dispatcher_share_its_handshake_limits(tmp_path: Path) -> None:
    operator = (
        "[tls]\nhandshakes = 6\nhandshake-rate = 12.0\n"
        '[[tls.partner]]\nkind = "large"\nserver-name = "partner.example"\n'
    )
    paths = write_config_files(tmp_path, listening_port(), 9, [], operator)

    async def work() -> None:
        service = assemble(config.read({}, *paths))
        transport = service.dispatcher.transports[TLS_TRANSPORT]
        assert isinstance(transport, TlsTransport)
        (state,) = transport.partners.states.values()
        try:
            service.divide_limits(True, None)
            assert (state.budget.max_concurrent, state.budget.rate) == (3, 6.0)
            service.divide_limits(False, None)
            assert (state.budget.max_concurrent, state.budget.rate) == (6, 12.0)
        finally:
            await close(service)

    run_async_test(work())
