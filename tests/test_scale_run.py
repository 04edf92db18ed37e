"""A small scale run in virtual time: a partitioned fleet through the failures of a day."""

from __future__ import annotations

import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from benchmarks.hollow_fleet import HollowPlay
from benchmarks.hollow_model import Fault, FaultKind, Totals

DAY_OF_FAULTS = (
    Fault(FaultKind.RESTARTS, 12, 50, 6),
    Fault(FaultKind.MACHINES, 20, count=1),
    Fault(FaultKind.RACK, 24, 34, 3),
)
REGIONS_APART_FAULTS = (Fault(FaultKind.REGIONS_APART, 15, 35),)
ZONE_FAULTS = (Fault(FaultKind.ZONE, 15, 35),)
CONTROL_FAULTS = (Fault(FaultKind.CONTROL, 15, 35),)


def play(faults: tuple[Fault, ...], partitioned: bool = True, dispatchers: int = 40) -> Totals:
    """Run 55 s of virtual time with the same events each time, and return the totals."""
    return HollowPlay(
        dispatchers, 4, partitioned, seed=3, seconds=55, zones=2, down=1, faults=faults, partitions=64
    ).run()


@pytest.mark.parametrize(
    "faults",
    [DAY_OF_FAULTS, REGIONS_APART_FAULTS, ZONE_FAULTS, CONTROL_FAULTS],
    ids=["a day of failures", "regions apart", "a zone down", "control down"],
)
def test_a_partitioned_fleet_keeps_its_guarantees_through_failures(faults: tuple[Fault, ...]) -> None:
    total = play(faults)
    assert total.handed_in > 1900
    assert total.most_share <= 1 + 1e-9, "no quota was used twice"
    assert total.two_out == 0, "no message had two attempts in flight"
    assert total.returning == 1
    assert total.fallen == 0, "no recovering destination was sent more than it sustains"
    ended = total.delivered + total.turned_away + total.returned + total.lost_with_machine
    assert ended == total.handed_in, "every message ended exactly once"
    assert total.turned_away <= 0.01 * total.handed_in
    assert total.delivered >= 0.75 * total.handed_in


def test_a_change_is_in_force_at_every_dispatcher_in_time() -> None:
    total = play(DAY_OF_FAULTS)
    assert total.in_force
    assert max(total.in_force) <= 4.0


def test_the_same_events_without_partitions_cost_more_handshakes_and_rejections() -> None:
    before = play(DAY_OF_FAULTS, partitioned=False, dispatchers=160)
    after = play(DAY_OF_FAULTS, dispatchers=160)
    assert after.handshakes < 0.6 * before.handshakes
    assert after.delivered >= before.delivered


moments = st.floats(min_value=2, max_value=25)
faults = st.builds(
    lambda kind, at, duration, count: Fault(kind, at, at + duration, count),
    st.sampled_from(FaultKind),
    moments,
    st.floats(min_value=0.5, max_value=15),
    st.integers(min_value=1, max_value=5),
)


@settings(
    max_examples=20,
    deadline=None,
    derandomize=True,
    phases=(Phase.explicit, Phase.generate),
    suppress_health_check=list(HealthCheck),
)
@given(st.lists(faults, max_size=5), st.integers(min_value=0, max_value=1 << 16))
def test_no_combination_of_failures_sends_a_message_twice_at_once_or_forgets_it(
    planned: list[Fault], seed: int
) -> None:
    """Machines, restarts, racks, zones, the link between regions and the control machines, in any order."""
    total = HollowPlay(
        16, 2, True, seed=seed, seconds=30, zones=2, down=1, faults=tuple(planned), partitions=16
    ).run()
    assert total.two_out == 0
    assert total.most_share <= 1 + 1e-9
    ended = total.delivered + total.turned_away + total.returned + total.lost_with_machine
    assert ended == total.handed_in
