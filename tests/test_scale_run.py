"""The scale run in small, in virtual time: what a partitioned fleet must hold through a day's failures."""

from __future__ import annotations

import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from benchmarks.hollow_fleet import Fault, FaultKind, HollowPlay, Totals

DAY = (
    Fault(FaultKind.RESTARTS, 12, 50, 6),
    Fault(FaultKind.MACHINES, 20, count=1),
    Fault(FaultKind.RACK, 24, 34, 3),
)
APART = (Fault(FaultKind.REGIONS_APART, 15, 35),)
ZONE = (Fault(FaultKind.ZONE, 15, 35),)
CONTROL = (Fault(FaultKind.CONTROL, 15, 35),)


def play(faults: tuple[Fault, ...], partitioned: bool = True, dispatchers: int = 40) -> Totals:
    """One play of 55 s, the same events in each."""
    return HollowPlay(
        dispatchers, 4, partitioned, seed=3, seconds=55, zones=2, down=1, faults=faults, partitions=64
    ).run()


@pytest.mark.parametrize("faults", [DAY, APART, ZONE, CONTROL], ids=["day", "apart", "zone", "control"])
def test_a_partitioned_fleet_holds_through_failures(faults: tuple[Fault, ...]) -> None:
    total = play(faults)
    assert total.handed_in > 1900
    assert total.most_share <= 1 + 1e-9, "no share was held twice"
    assert total.two_out == 0, "no message had two attempts out"
    assert total.returning == 1 and total.fallen == 0, "no returning destination was sent more than it bears"
    ended = total.delivered + total.turned_away + total.returned + total.lost_with_machine
    assert ended == total.handed_in, "every message has one end"
    assert total.turned_away <= 0.01 * total.handed_in
    assert total.delivered >= 0.75 * total.handed_in


def test_a_change_is_in_force_everywhere_in_time() -> None:
    total = play(DAY)
    assert total.in_force
    assert max(total.in_force) <= 4.0


def test_the_same_events_without_partitions_cost_more_handshakes_and_refusals() -> None:
    before, after = play(DAY, partitioned=False, dispatchers=160), play(DAY, dispatchers=160)
    assert after.handshakes < 0.6 * before.handshakes
    assert after.delivered >= before.delivered


moments = st.floats(min_value=2, max_value=25)
faults = st.builds(
    lambda kind, at, lasts, count: Fault(kind, at, at + lasts, count),
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
def test_whatever_fails_together_no_message_is_out_twice_and_none_is_forgotten(
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
