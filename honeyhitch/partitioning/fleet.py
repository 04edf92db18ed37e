"""One instance's state of the fleet: the view in force, the last heartbeat, and what follows from both.

The clock is passed in with each call, as a Unix time in nanoseconds that never moves back.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from honeyhitch.partitioning.ownership import ZoneCandidates, partition_of
from honeyhitch.partitioning.quotas import NO_QUOTA, HeldQuota, expected_holder, first_ready, held_quota
from honeyhitch.partitioning.settings import FleetSettings
from honeyhitch.partitioning.view import MS, FleetView, FleetViewError, Instance

SAVED_VIEW_VERSION = 1  # of `Fleet.saved`


class ClockError(FleetViewError):
    """The control machines' clock and this machine's are further apart than the settings allow."""


@dataclass(frozen=True, slots=True)
class ViewStatus:
    """The view in force, for people."""

    revision: int
    instance_count: int
    ready_count: int
    heartbeat_age: int | None  # ns since the last heartbeat was issued; None before the first
    held_partitions: int  # that this instance holds a part of
    candidate_partitions: int  # partitions whose lists it keeps
    problem: str = ""  # why the last news was refused, if it was


class Fleet:
    """Who owns a destination, and what part of its limit this instance may use now."""

    def __init__(self, settings: FleetSettings) -> None:
        self.settings = settings
        self.view = FleetView()
        self.last_heartbeat: int | None = (
            None  # when the last heartbeat was issued, by the control machines' clock
        )
        self.problem = ""
        self.candidate_partitions: frozenset[int] = frozenset()  # partitions whose lists this instance keeps
        self._zones_by_distance = _zones_by_distance(settings)
        self._zone_candidates = {
            zone: ZoneCandidates(settings.partitions, settings.candidates) for zone in settings.zones
        }

    # What comes in.

    def apply_update(self, update: Mapping[str, Any], now: int) -> None:
        """Take over a list, a change or a bare heartbeat. Raises FleetViewError, and then all stays as it is;
        with ClockError the view is taken over, and the heartbeat is not.
        """
        try:
            self._apply_update(update, now)
        except FleetViewError as error:
            self.problem = str(error)
            raise
        self.problem = ""

    def _apply_update(self, update: Mapping[str, Any], now: int) -> None:
        if (lease := update.get("lease_ms")) is not None and lease != self.settings.lease // MS:
            raise FleetViewError(f"lease_ms: {lease!r}, but {self.settings.lease // MS} is set up here")
        view = self.view.updated(update, self.settings)
        own = view.instances.get(self.settings.name)
        if own is not None and own.zone != self.settings.zone:
            raise FleetViewError(
                f"{own.name}: locality: {own.zone!r}, but {self.settings.zone!r} is set up here"
            )
        issued = update.get("issued_ms")
        if issued is not None and (isinstance(issued, bool) or not isinstance(issued, int)):
            raise FleetViewError(f"issued_ms: expected a whole number, got {issued!r}")
        self._replace_view(view)
        if issued is None:
            return
        if issued * MS > now + self.settings.clock_skew:
            raise ClockError(f"issued_ms: {issued} is later than this machine's clock, {now // MS}")
        self.last_heartbeat = max(self.last_heartbeat or 0, issued * MS)

    def _replace_view(self, view: FleetView) -> None:
        if view == self.view:
            return
        before, self.view = self.view, view
        if before.instances.keys() == view.instances.keys():  # phases alone change no candidates
            return
        for zone, candidates in self._zone_candidates.items():
            candidates.update(one.name for one in view.in_zone(zone))
        self.candidate_partitions = self._zone_candidates[self.settings.zone].partitions_of(
            self.settings.name
        )

    # What follows.

    def partition(self, destination: int) -> int:
        """The partition of a destination."""
        return partition_of(destination, self.settings.partitions)

    def candidates(self, zone: str, partition: int) -> list[Instance]:
        """The instances of a zone that may own a partition, best first."""
        return [self.view.instances[name] for name in self._zone_candidates[zone].for_partition(partition)]

    def is_candidate(self, destination: int) -> bool:
        """Whether this instance keeps the destination's entries of lists."""
        return self.partition(destination) in self.candidate_partitions

    def held_quota(self, partition: int, now: int) -> HeldQuota:
        """What this instance holds of its zone's share."""
        if partition not in self.candidate_partitions:
            return NO_QUOTA
        return held_quota(
            self.settings, self.candidates(self.settings.zone, partition), now, self.last_heartbeat
        )

    def quota_fraction(self, destination: int, now: int) -> float:
        """The part of its zone's share of the destination's limit that this instance may use, 0 to 1."""
        return self.held_quota(self.partition(destination), now).quota_fraction(self.settings.reserve)

    def awaits_lease(self, destination: int, now: int) -> bool:
        """Whether this instance is to own a destination, and only waits out the lease of another one."""
        partition = self.partition(destination)
        if partition not in self.candidate_partitions:
            return False
        owner = first_ready(self.candidates(self.settings.zone, partition))
        return owner is not None and owner.name == self.settings.name and self.lease_valid(now)

    def lease_valid(self, now: int) -> bool:
        """Whether the last heartbeat is recent enough for leased parts."""
        return (
            self.last_heartbeat is not None
            and now < self.last_heartbeat + self.settings.lease - self.settings.clock_skew
        )

    def next_quota_change(self, now: int) -> int | None:
        """The next instant at which a part may change hands though nothing new is heard, None if there is
        none. A heartbeat heard meanwhile may put it off.
        """
        settings, moments = self.settings, list[int]()
        if self.last_heartbeat is not None:
            moments += [self.last_heartbeat + settings.lease, self.last_heartbeat + settings.reserve_lease]
        for one in self.view.in_zone(settings.zone):
            moments += [at + settings.lease for at in (one.phase_since, one.joined_at) if at]
            moments += [one.joined_at + settings.reserve_lease] if one.joined_at else []
        skew = settings.clock_skew
        return min(
            (at for moment in moments for at in (moment - skew, moment + skew) if at > now), default=None
        )

    def owners(self, destination: int, now: int) -> list[Instance]:
        """Other instances that may take a message for a destination, in the order in which to ask them: those
        of the own zone first, then of the own region, then of the others. One that still waits for a lease to
        run out would refuse it, and comes last.
        """
        partition, lasts = self.partition(destination), self.lease_valid(now)
        holding, waiting = list[Instance](), list[Instance]()
        for zone in self._zones_by_distance:
            owner, holds = expected_holder(self.settings, self.candidates(zone, partition), now, lasts)
            if owner is not None and owner.name != self.settings.name:
                (holding if holds else waiting).append(owner)
        return holding + waiting

    def status(self, now: int) -> ViewStatus:
        """The view in force, for people."""
        ready = sum(one.ready for one in self.view.instances.values())
        held = sum(self.held_quota(partition, now) != NO_QUOTA for partition in self.candidate_partitions)
        age = now - self.last_heartbeat if self.last_heartbeat is not None else None
        counts = len(self.view.instances), ready
        return ViewStatus(
            self.view.revision, *counts, age, held, len(self.candidate_partitions), self.problem
        )

    # What outlasts the process: a restart while control is silent still knows what it is home to.

    def snapshot(self) -> dict[str, Any]:
        """The view and the last heartbeat, in discovery's form."""
        members = [
            {
                "id": one.name,
                "host_port": one.address,
                "locality": one.zone,
                "flavor": one.region,
                "phase": one.phase.value,
                "up_since_ms": one.phase_since // MS,
                "joined_ms": one.joined_at // MS,
            }
            for one in self.view.instances.values()
        ]
        told = {
            "form": SAVED_VIEW_VERSION,
            "revision": self.view.revision,
            "complete": True,
            "members": members,
        }
        return told | ({"issued_ms": self.last_heartbeat // MS} if self.last_heartbeat is not None else {})

    def restore(self, saved: Mapping[str, Any], now: int) -> None:
        """Take over what an earlier process saved. Raises FleetViewError where it cannot be read."""
        form = saved.get("form") if isinstance(saved, Mapping) else None
        if form != SAVED_VIEW_VERSION:
            raise FleetViewError(f"form: expected {SAVED_VIEW_VERSION}, got {form!r}")
        self.apply_update(saved, now)


def _zones_by_distance(settings: FleetSettings) -> list[str]:
    """All zones, the own one first, then those of the own region; neighbours differ from zone to zone."""
    start = settings.zones.index(settings.zone)
    zones = [*settings.zones[start:], *settings.zones[:start]]
    zones.sort(key=lambda zone: (zone != settings.zone, settings.region_of(zone) != settings.region))
    return zones
