"""The sum of all quotas of a limit never exceeds it, for any views, leases, clocks and disconnections."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from honeyhitch.time_units import SECOND

from .fleet_control import LEASE, MS, REGIONS, RESERVE_LEASE, SKEW, ControlPlane

ZONES = [zone for region in REGIONS for zone in region.zones]
PARTITIONS = 16
picks = st.integers(min_value=0, max_value=1 << 16)
steps = st.one_of(
    st.integers(min_value=1, max_value=SECOND),
    st.sampled_from(
        [LEASE - SKEW, LEASE, LEASE + SKEW, LEASE + 2 * SKEW, RESERVE_LEASE, RESERVE_LEASE + SKEW]
    ),
)


class FleetUnderFaults(RuleBasedStateMachine):
    """Any order of changes, late and lost views, cuts, kills, restarts and control outages."""

    def __init__(self) -> None:
        super().__init__()
        self.control = ControlPlane()

    def one_of(self, names: Any, pick: int) -> str | None:
        found = sorted(names)
        return found[pick % len(found)] if found else None

    @rule(by=steps)
    def time_passes(self, by: int) -> None:
        self.control.now += by

    @rule()
    def heartbeat(self) -> None:
        self.control.send_heartbeat()

    @rule(count=st.integers(min_value=1, max_value=3))
    def all_read(self, count: int) -> None:
        for name in self.control.processes:
            self.control.read_lines(name, count)

    @rule()
    def a_second_goes_well(self) -> None:
        self.control.send_heartbeat()
        for name in self.control.processes:
            self.control.read_lines(name, 1 << 10)
        self.control.now += SECOND

    @rule(pick=picks, count=st.integers(min_value=1, max_value=3))
    def one_reads(self, pick: int, count: int) -> None:
        if name := self.one_of(self.control.processes, pick):
            self.control.read_lines(name, count)

    @rule(pick=picks)
    def one_is_cut(self, pick: int) -> None:
        if name := self.one_of(self.control.processes, pick):
            self.control.disconnect(name)

    @rule(pick=picks)
    def one_is_connected_again(self, pick: int) -> None:
        cut = [name for name, one in self.control.processes.items() if one.disconnected]
        if name := self.one_of(cut, pick):
            self.control.reconnect(name)

    @rule(region=st.sampled_from(REGIONS), apart=st.booleans())
    def regions_part_and_meet(self, region: Any, apart: bool) -> None:
        for name, process in self.control.processes.items():
            if process.fleet.settings.zone in region.zones and process.disconnected is not apart:
                self.control.disconnect(name) if apart else self.control.reconnect(name)

    @rule(up=st.booleans())
    def control_fails_or_returns(self, up: bool) -> None:
        if up is not self.control.up:
            self.control.resume() if up else self.control.stop()

    @rule(pick=picks, phase=st.sampled_from(["Ready", "Terminating"]))
    def a_phase_changes(self, pick: int, phase: str) -> None:
        name = self.one_of(self.control.entries, pick)
        if self.control.up and name and self.control.entries[name]["phase"] != phase:
            self.control.set_phase(name, phase)

    @rule(zone=st.sampled_from(ZONES))
    def one_joins(self, zone: str) -> None:
        if self.control.up and len(self.control.entries) < 20:
            self.control.join(zone)

    @rule(pick=picks)
    def one_is_removed(self, pick: int) -> None:
        name = self.one_of(self.control.entries, pick)
        if self.control.up and name and len(self.control.entries) > 1:
            self.control.remove(name)

    @rule(pick=picks)
    def one_is_killed(self, pick: int) -> None:
        if name := self.one_of(self.control.processes, pick):
            self.control.kill(name)

    @rule(pick=picks)
    def one_is_started(self, pick: int) -> None:
        down = self.control.entries.keys() - self.control.processes.keys()
        if name := self.one_of(down, pick):
            self.control.start(name)

    @rule()
    def what_is_held_changes_only_when_it_was_said_to(self) -> None:
        control = self.control
        for one in control.processes.values():
            fleet, now = one.fleet, control.now + one.clock_offset
            until = fleet.next_quota_change(now)
            before = [fleet.held_quota(partition, now) for partition in range(PARTITIONS)]
            last = until - 1 if until is not None else now + 10 * RESERVE_LEASE
            assert before == [fleet.held_quota(partition, last) for partition in range(PARTITIONS)]

    @invariant()
    def no_share_is_held_twice(self) -> None:
        for partition in range(PARTITIONS):
            for zone, total in self.control.quota_totals(partition).items():
                assert total <= 1 + 1e-9, f"{total} of zone {zone}'s share of partition {partition}"


TestFleetUnderFaults = FleetUnderFaults.TestCase
TestFleetUnderFaults.settings = settings(
    max_examples=150,
    stateful_step_count=60,
    deadline=None,
    derandomize=True,
    # Without shrinking, which takes minutes, a failing run is printed as it was found.
    phases=(Phase.explicit, Phase.generate),
    suppress_health_check=list(HealthCheck),
)


def run_without_faults(control: ControlPlane, seconds: int = 8) -> None:
    """Let time pass without a fault, with one heartbeat per second that every process reads."""
    for _ in range(seconds):
        control.send_heartbeat()
        for name in control.processes:
            control.read_lines(name, 1 << 10)
        control.now += SECOND


def quota_fractions(control: ControlPlane, partition: int) -> dict[str, float]:
    """Return the quota fraction of each live process that holds any quota of a partition."""
    fractions = {}
    for name, process in control.processes.items():
        held = process.fleet.held_quota(partition, control.now + process.clock_offset)
        if fraction := held.quota_fraction(process.fleet.settings.reserve):
            fractions[name] = fraction
    return fractions


def test_without_faults_one_instance_of_each_zone_holds_the_full_quota() -> None:
    control = ControlPlane()
    run_without_faults(control)
    for partition in range(PARTITIONS):
        fractions = quota_fractions(control, partition)
        assert list(fractions.values()) == [1.0] * len(ZONES)
        assert sorted(name.split("-")[0] for name in fractions) == ZONES


def test_a_new_owner_waits_out_the_lease_of_the_old_one() -> None:
    control = ControlPlane()
    run_without_faults(control)
    (name,) = [name for name in quota_fractions(control, 3) if name.startswith("a1")]
    control.disconnect(name)  # it keeps running, and does not learn that it is listed as Terminating
    control.set_phase(name, "Terminating")
    published_at, first_held_after = control.now, dict[str, int]()
    while control.now < published_at + 3 * LEASE:
        control.send_heartbeat()
        for other in control.processes:
            control.read_lines(other, 1 << 10)
        control.now += 50 * MS
        for holder in quota_fractions(control, 3):
            first_held_after.setdefault(holder, control.now - published_at)
    (new_owner,) = [holder for holder in first_held_after if holder.startswith("a1") and holder != name]
    assert LEASE <= first_held_after[new_owner] <= LEASE + 2 * SKEW + 50 * MS
    assert quota_fractions(control, 3)[name] == 0.75, "an owner that is cut off keeps its reserved quota"
    assert quota_fractions(control, 3)[new_owner] == 0.25


@pytest.mark.parametrize("seconds", [10, 15])
def test_while_control_is_down_every_home_keeps_its_reserved_part(seconds: int) -> None:
    control = ControlPlane()
    run_without_faults(control)
    control.stop()
    control.now += seconds * SECOND
    for name in list(control.processes):  # all processes also restart
        control.kill(name)
        control.start(name)
    for partition in range(PARTITIONS):
        assert list(quota_fractions(control, partition).values()) == [0.75] * len(ZONES)


def test_partitioned_regions_keep_their_own_quotas_and_join_again() -> None:
    control = ControlPlane()
    run_without_faults(control)
    before = [quota_fractions(control, partition) for partition in range(PARTITIONS)]
    west = [name for name, process in control.processes.items() if process.fleet.settings.region == "west"]
    for name in west:
        control.disconnect(name)
    for _ in range(12):
        run_without_faults(control, 1)
    for partition in range(PARTITIONS):
        fractions = quota_fractions(control, partition)
        assert fractions.keys() == before[partition].keys()
        expected = [1.0 if name.startswith("a") else 0.75 for name in fractions]
        assert list(fractions.values()) == expected
    for name in west:
        control.reconnect(name)
    run_without_faults(control)
    assert [quota_fractions(control, partition) for partition in range(PARTITIONS)] == before


def test_an_instance_that_joins_takes_its_quotas_over_in_two_steps() -> None:
    control = ControlPlane()
    run_without_faults(control)
    before = {partition: quota_fractions(control, partition) for partition in range(PARTITIONS)}
    name = control.join("a1")
    run_without_faults(control)
    moved = [p for p in range(PARTITIONS) if name in quota_fractions(control, p)]
    assert moved, "the new instance received quotas"
    for partition in moved:
        (old_owner,) = [holder for holder in before[partition] if holder.startswith("a1")]
        fractions = quota_fractions(control, partition)
        assert (fractions[name], fractions[old_owner]) == (0.25, 0.75)
    control.now += RESERVE_LEASE
    run_without_faults(control)
    assert all(quota_fractions(control, partition)[name] == 1.0 for partition in moved)
    assert all(quota_fractions(control, p) == before[p] for p in before if p not in moved), (
        "the quotas of the other partitions did not move"
    )
