"""Views and ownership of partitions.

A faulty view raises one error and changes nothing. Partitions are spread evenly, and only the partitions of
an instance that joins or leaves move.
"""

from __future__ import annotations

from collections import Counter
from typing import Any

import pytest

from honeyhitch.partitioning.fleet import ClockError, Fleet
from honeyhitch.partitioning.ownership import ZoneCandidates, partition_of, rank
from honeyhitch.partitioning.settings import FleetSettings, Region
from honeyhitch.partitioning.view import FleetViewError
from honeyhitch.time_units import SECOND

from .fleet_control import MS, REGIONS, START, entry, fleet_settings

ROWS = [entry(f"{zone}-{number}", zone) for zone in ("a1", "a2", "b1", "b2") for number in range(2)]


def view_update(**changes: Any) -> dict[str, Any]:
    """Return a complete list as the control machines send it, with some fields replaced."""
    return {"revision": 5, "complete": True, "members": ROWS, "issued_ms": START // MS, **changes}


def fleet_of(name: str = "a1-0") -> Fleet:
    fleet = Fleet(fleet_settings(name, name.split("-")[0]))
    fleet.apply_update(view_update(), START)
    return fleet


@pytest.mark.parametrize(
    ("update", "expected"),
    [
        (view_update(members=[{**ROWS[0], "locality": "a9"}]), "locality: unknown zone 'a9'"),
        (view_update(members=[{**ROWS[0], "flavor": "north"}]), "flavor: 'north' is not the region"),
        (view_update(members=[{**ROWS[0], "flavor": "west"}]), "flavor: 'west' is not the region"),
        (view_update(members=[{**ROWS[0], "locality": "a2"}]), "but it was in 'a1'"),
        (view_update(members=[*ROWS, ROWS[3]]), "'a2-1' is named twice"),
        (view_update(members=[]), "a fleet has one instance at least"),
        (view_update(members=None), "members: expected a list"),
        (view_update(members=["a1-0"]), "members.0.id"),
        (view_update(members=[{**ROWS[0], "id": ""}]), "members.0.id"),
        (view_update(members=[{**ROWS[0], "id": "x" * 129}]), "members.0.id"),
        (view_update(members=[{**ROWS[0], "phase": "Asleep"}]), "phase: unknown phase 'Asleep'"),
        (view_update(members=[{**ROWS[0], "host_port": "10.0.0.1"}]), "host_port: expected HOST:PORT"),
        (view_update(members=[{**ROWS[0], "host_port": "10.0.0.1:0"}]), "host_port: expected HOST:PORT"),
        (view_update(members=[{**ROWS[0], "up_since_ms": -1}]), "up_since_ms"),
        (view_update(members=[{**ROWS[0], "joined_ms": "now"}]), "joined_ms"),
        (view_update(members=[{**ROWS[0], "up_since_ms": 1e300}]), "up_since_ms"),
        (view_update(revision=4), "revision: 4 is older than 5"),
        (view_update(revision=4, complete=False, members=[]), "revision: 4 is older than 5"),
        (view_update(revision=True), "revision: expected a whole number"),
        (view_update(lease_ms=10_000), "lease_ms: 10000, but 3000 is set up here"),
        (view_update(issued_ms="late"), "issued_ms: expected a whole number"),
        (view_update(revision=6, members=ROWS[:3], issued_ms=1.5), "issued_ms: expected a whole number"),
        (
            view_update(complete=False, members=[{**row, "phase": "Gone"} for row in ROWS]),
            "a fleet has one instance at least",
        ),
    ],
)
def test_a_view_that_cannot_be_used_is_named_and_changes_nothing(
    update: dict[str, Any], expected: str
) -> None:
    fleet = fleet_of()
    before = fleet.view, fleet.last_heartbeat, fleet.candidate_partitions
    with pytest.raises(FleetViewError) as error:
        fleet.apply_update(update, START)
    assert expected in str(error.value)
    assert fleet.problem == str(error.value)
    assert (fleet.view, fleet.last_heartbeat, fleet.candidate_partitions) == before


def test_an_instance_listed_in_another_zone_than_its_settings_say_is_refused() -> None:
    fleet = Fleet(fleet_settings("a2-0", "a1"))
    with pytest.raises(FleetViewError, match="a2-0: locality: 'a2', but 'a1' is set up here"):
        fleet.apply_update(view_update(), START)


def test_a_heartbeat_from_a_clock_too_far_ahead_renews_nothing_but_its_view_is_applied() -> None:
    fleet, ahead = fleet_of(), START + SECOND
    with pytest.raises(ClockError, match="later than this machine's clock"):
        fleet.apply_update(view_update(revision=6, issued_ms=ahead // MS), START)
    assert fleet.view.revision == 6
    assert fleet.last_heartbeat == START
    # A heartbeat within the clock skew is applied.
    fleet.apply_update(view_update(revision=6, issued_ms=(START + SECOND // 8) // MS), START)
    assert fleet.last_heartbeat == START + SECOND // 8
    # A heartbeat that was overtaken by a later one does not shorten the lease.
    fleet.apply_update(view_update(revision=6, issued_ms=START // MS), START)
    assert fleet.last_heartbeat == START + SECOND // 8
    assert not fleet.problem


def test_an_instance_that_is_not_listed_owns_nothing_and_knows_who_does() -> None:
    fleet = fleet_of("a1-9")
    assert not fleet.candidate_partitions
    assert not any(fleet.quota_fraction(number, START) for number in range(100))
    assert len(fleet.owners(7, START)) == 4
    assert fleet.owners(7, START)[0].zone == "a1"


def test_owners_of_the_own_zone_come_first_then_those_of_the_own_region() -> None:
    regions = {"a1": 0, "a2": 1, "b1": 2, "b2": 2}
    fleet = fleet_of("a1-0")
    for destination in range(50):
        order = [regions[owner.zone] for owner in fleet.owners(destination, START)]
        assert order == sorted(order)
        assert len(order) >= 3
        assert all(owner.name != "a1-0" for owner in fleet.owners(destination, START))


def test_an_owner_that_waits_for_a_lease_to_expire_is_asked_last() -> None:
    fleet = fleet_of("a2-0")
    for destination in range(50):
        (expected, *others) = [owner for owner in fleet.owners(destination, START) if owner.zone == "a1"]
        away = entry(expected.name, "a1", "Terminating", since=START)
        other = fleet_of("a2-0")
        other.apply_update(view_update(revision=6, complete=False, members=[away]), START)
        assert other.owners(destination, START)[-1].zone == "a1"
        assert not others
        later = START + other.settings.lease + other.settings.clock_skew
        assert other.owners(destination, later)[-1].zone == "a1", "control silent: no quota at the new owner"
        other.apply_update(view_update(revision=6, complete=False, members=[], issued_ms=later // MS), later)
        assert other.owners(destination, later)[-1].zone != "a1"


def test_a_saved_view_is_restored_and_an_unknown_form_is_refused() -> None:
    fleet, other = fleet_of(), Fleet(fleet_settings("a1-0", "a1"))
    other.restore(fleet.snapshot(), START)
    assert (other.view, other.last_heartbeat, other.candidate_partitions) == (
        fleet.view,
        fleet.last_heartbeat,
        fleet.candidate_partitions,
    )
    with pytest.raises(FleetViewError, match="form"):
        other.restore({**fleet.snapshot(), "form": 99}, START)


@pytest.mark.parametrize(
    ("changes", "problem"),
    [
        ({"zone": "a9"}, "zone: not a zone"),
        ({"regions": ()}, "regions: at least one zone"),
        ({"regions": (Region("e", ("a1", "a1")),)}, "regions: a zone is named twice"),
        ({"partitions": 0}, "partitions"),
        ({"reserve": 1.5}, "reserve"),
        ({"candidates": 0}, "candidates"),
        ({"lease": SECOND, "clock_skew": SECOND}, "lease: must be more than four times"),
        ({"reserve_lease": SECOND}, "reserve-lease"),
        ({"peer_connections": 0}, "peer-connections"),
    ],
)
def test_invalid_settings_are_refused(changes: dict[str, Any], problem: str) -> None:
    valid_settings: dict[str, Any] = {"name": "a1-0", "zone": "a1", "view": "127.0.0.1:1", "regions": REGIONS}
    with pytest.raises(ValueError, match=problem):
        FleetSettings(**{**valid_settings, **changes})


NAMES = [f"d{number}" for number in range(77)]  # the dispatchers of one zone, if 770 run in ten zones
PARTITIONS = 4096


@pytest.fixture(scope="module")
def zone() -> ZoneCandidates:
    candidates = ZoneCandidates(PARTITIONS, 2)
    candidates.update(NAMES)
    return candidates


def first_candidates(zone: ZoneCandidates) -> list[str]:
    return [zone.for_partition(partition)[0] for partition in range(PARTITIONS)]


def test_partitions_and_destinations_are_spread_evenly(zone: ZoneCandidates) -> None:
    owned = Counter(first_candidates(zone))
    mean = PARTITIONS / len(NAMES)
    assert len(owned) == len(NAMES)
    assert sum(owned.values()) == PARTITIONS
    assert max(owned.values()) <= 1.6 * mean
    assert min(owned.values()) >= 0.5 * mean
    destinations = Counter(partition_of(number, PARTITIONS) for number in range(190_000))
    assert len(destinations) == PARTITIONS
    assert max(destinations.values()) <= 2 * 190_000 / PARTITIONS


def test_the_candidates_are_the_highest_ranks_whatever_the_order_of_changes(zone: ZoneCandidates) -> None:
    other = ZoneCandidates(PARTITIONS, 2)
    other.update(NAMES[:50])
    other.partitions_of("d0")
    other.update([*NAMES, "more"])
    other.update(NAMES)
    for partition in range(0, PARTITIONS, 16):
        best = sorted((rank(partition, name) for name in NAMES), reverse=True)[:2]
        assert (
            zone.for_partition(partition) == other.for_partition(partition) == tuple(name for _, name in best)
        )


def test_only_the_partitions_of_an_instance_that_leaves_move_to_the_next_in_rank() -> None:
    candidates = ZoneCandidates(PARTITIONS, 2)
    candidates.update(NAMES)
    before = {partition: candidates.for_partition(partition) for partition in range(PARTITIONS)}
    candidates.update(name for name in NAMES if name != "d7")
    for partition, (owner, second) in before.items():
        assert candidates.for_partition(partition)[0] == (second if owner == "d7" else owner)


def test_an_instance_that_joins_takes_its_partitions_and_none_move_between_others() -> None:
    candidates = ZoneCandidates(PARTITIONS, 2)
    candidates.update(NAMES)
    before = first_candidates(candidates)
    candidates.update([*NAMES, "new"])
    after = first_candidates(candidates)
    moved = [new_owner for old_owner, new_owner in zip(before, after, strict=True) if old_owner != new_owner]
    assert set(moved) == {"new"}
    assert 0.5 * PARTITIONS / 78 <= len(moved) <= 1.6 * PARTITIONS / 78
