"""The policy in a whole fleet, on several seeds: behavior that is harmful only when all instances show it."""

from __future__ import annotations

import pytest

from honeyhitch.policy.events import Outcome
from honeyhitch.policy.settings import DestinationKind
from honeyhitch.protocols import calls, http1

from .fleet import Fleet, SimulatedDestination, constant_limit
from .test_exchanges import messages
from .world import SECOND

SEEDS = (1, 2, 3)


@pytest.mark.parametrize("seed", SEEDS)
def test_idle_connections_do_not_use_up_a_shared_connection_limit(seed: int) -> None:
    fleet = Fleet(SimulatedDestination(connection_limit=9), seed)
    fleet.submit_at_rate(0, 20 * SECOND, 20.0)
    totals = fleet.advance_to(40 * SECOND)
    assert totals.in_time >= 0.65 * totals.submitted  # 0.2 to 0.3 if each instance keeps its connection
    assert totals.connection_limited <= 0.7 * totals.submitted


@pytest.mark.parametrize("seed", SEEDS)
def test_connections_are_pooled_below_the_connection_limit(seed: int) -> None:
    fleet = Fleet(SimulatedDestination(limit=constant_limit(80.0)), seed, listed_rate=80.0)
    fleet.submit_at_rate(0, 20 * SECOND, 20.0)
    totals = fleet.advance_to(40 * SECOND)
    assert totals.in_time >= 0.9 * totals.submitted
    assert totals.handshakes <= 0.9 * totals.submitted


@pytest.mark.parametrize(
    ("head", "fresh", "connection_limited"),
    [
        ("503 Full\r\nConnection: close", True, True),
        ("503 Full\r\nConnection: close", False, False),  # a pooled connection, which was accepted before
        ("503 Full", True, False),
        ("503 Full\r\nConnection: close\r\nX-Pressure: x0=0,x1=9", True, False),
        ("503 Full\r\nConnection: close\r\nRetry-After: 1", True, False),
        ("429 Full\r\nConnection: close", True, False),
        ("500 No\r\nConnection: close", True, False),
    ],
)
def test_a_connection_limit_is_distinguished_from_a_rate_limit(
    head: str, fresh: bool, connection_limited: bool
) -> None:
    response = http1.ResponseParser().feed(f"HTTP/1.1 {head}\r\nContent-Length: 0\r\n\r\n".encode())
    assert response is not None
    result = calls.interpret_response(response, messages(1), fresh)
    assert result.connection_limited is connection_limited
    assert not connection_limited or result.outcomes[0][0] is Outcome.REJECTED


@pytest.mark.parametrize("seed", SEEDS)
def test_rejected_calls_that_count_do_not_keep_the_fleet_above_the_limit(seed: int) -> None:
    """Bursts go to a destination that takes several messages per call; its limit counts rejected calls."""
    fleet = Fleet(
        SimulatedDestination(limit=constant_limit(53.0)),
        seed,
        listed_rate=53.0,
        kinds=(DestinationKind(max_messages_per_call=20),),
    )
    fleet.submit_at_rate(0, 21 * SECOND, 82.0)
    for start in (2, 8, 14):
        fleet.submit_at_rate(start * SECOND, start * SECOND + SECOND // 2, 440.0)
    totals = fleet.advance_to(40 * SECOND)
    assert sum(totals.rejected.values()) <= 0.07 * totals.submitted
    assert totals.in_time >= 0.95 * totals.submitted


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(
    ("load", "delivered", "rejected"),  # multiple of the limit, and two fractions of the messages submitted
    [(0.5, 0.97, 0.02), (1.0, 0.75, 0.06), (1.5, 0.4, 0.18)],
)
def test_two_hundred_instances_with_uneven_traffic_share_a_single_limit(
    seed: int, load: float, delivered: float, rejected: float
) -> None:
    """Each instance gets few responses from the destination; some get several times the mean load."""
    fleet = Fleet(
        SimulatedDestination(limit=constant_limit(40.0), connection_limit=24),
        seed,
        count=200,
        listed_rate=40.0,
        uneven=True,
    )
    fleet.submit_at_rate(0, 20 * SECOND, 40.0 * load)
    totals = fleet.advance_to(45 * SECOND)
    assert sum(totals.delivered.values()) >= delivered * totals.submitted
    assert sum(totals.rejected.values()) <= rejected * totals.submitted
    assert totals.handshakes <= 1.2 * totals.submitted


@pytest.mark.parametrize("seed", SEEDS)
def test_two_hundred_instances_detect_a_recovery_soon_and_do_not_overload_the_destination(seed: int) -> None:
    destination = SimulatedDestination(limit=constant_limit(40.0), outage=(5 * SECOND, 10 * SECOND))
    slow_start = {"overload_factor": 1.5, "slow_start_fraction": 0.31, "slow_start_duration": 14 * SECOND}
    fleet = Fleet(destination, seed, count=200, listed_rate=40.0, uneven=True, **slow_start)
    fleet.submit_at_rate(0, 24 * SECOND, 30.0)
    totals = fleet.advance_to(24 * SECOND)
    assert len(destination.aware_instances) >= 60
    assert destination.peak_load(fleet.settings, 3 * SECOND, 40.0) <= 1.0
    detection_delay = destination.calls_after_outage[0][0] - destination.outage[1]
    assert detection_delay <= 1 * SECOND
    assert sum(totals.delivered[second] for second in (11, 12, 13)) >= 40


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("uneven", [False, True])
@pytest.mark.parametrize("down_for", [10, 30])
@pytest.mark.parametrize(("limit", "load"), [(3.0, 3.0), (10.0, 9.0), (26.0, 20.0)])
@pytest.mark.parametrize("count", [20, 30])
def test_twenty_or_thirty_instances_send_no_more_than_a_recovering_destination_sustains(
    count: int, limit: float, load: float, down_for: int, uneven: bool, seed: int
) -> None:
    """Beyond the N calls that the destination sustains, 2 * sqrt(N) + 2 calls are attributed to chance.

    The calls of all instances count, whether or not they detected the outage.
    """
    recovers_at = 5 + down_for
    destination = SimulatedDestination(limit=constant_limit(limit), outage=(5 * SECOND, recovers_at * SECOND))
    slow_start = {"overload_factor": 1.5, "slow_start_fraction": 0.31, "slow_start_duration": 14 * SECOND}
    fleet = Fleet(destination, seed, count=count, listed_rate=limit, uneven=uneven, **slow_start)
    fleet.submit_at_rate(0, (recovers_at + 16) * SECOND, load)
    fleet.advance_to((recovers_at + 16) * SECOND)
    assert destination.calls_after_outage, "calls were made after the outage"
    assert destination.peak_excess(fleet.settings, 3 * SECOND, limit) <= 0
