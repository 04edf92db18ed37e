"""One instance's state of the fleet: the current view, the last heartbeat, and ownership and quotas.

The time is passed in with each call, as a Unix time in nanoseconds that never decreases.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from honeyhitch.partitioning.ownership import ZoneCandidates, partition_of
from honeyhitch.partitioning.quotas import NO_QUOTA, HeldQuota, expected_holder, first_ready, held_quota
from honeyhitch.partitioning.settings import FleetSettings
from honeyhitch.partitioning.view import FleetView, FleetViewError, Instance
from honeyhitch.time_units import MILLISECOND

SAVED_VIEW_VERSION = 1  # value of the field `form` of a saved view


class ClockError(FleetViewError):
    """The control machines' clock is further ahead of this machine's than the settings allow."""


@dataclass(frozen=True, slots=True)
class ViewStatus:
    """The current view, as it is reported to operators."""

    revision: int
    instance_count: int
    ready_count: int
    heartbeat_age: int | None  # ns since the last heartbeat was issued; None before the first
    held_partitions: int  # partitions of which this instance holds a quota
    candidate_partitions: int  # partitions whose endpoint lists this instance keeps
    problem: str = ""  # why the last update was rejected; empty if it was not


class Fleet:
    """The fleet as one instance knows it: who owns a destination, and which quota this instance may use.

    Times are Unix times in nanoseconds (docs/design/partitioning.md).
    """

    def __init__(self, settings: FleetSettings) -> None:
        self.settings = settings
        self.view = FleetView()
        # When the last heartbeat was issued, by the control machines' clock.
        self.last_heartbeat: int | None = None
        self.problem = ""
        self.candidate_partitions: frozenset[int] = frozenset()  # whose endpoint lists this instance keeps
        self._zones_by_distance = _zones_by_distance(settings)
        self._zone_candidates = {
            zone: ZoneCandidates(settings.partitions, settings.candidates) for zone in settings.zones
        }

    # Updates.

    def apply_update(self, update: Mapping[str, Any], now: int) -> None:
        """Apply a list, a change or a bare heartbeat in discovery's form.

        Raise FleetViewError and change nothing if the update is faulty. If ClockError is raised, the view
        has been applied, and the heartbeat has not.
        """
        try:
            self._apply_update(update, now)
        except FleetViewError as error:
            self.problem = str(error)
            raise
        self.problem = ""

    def _apply_update(self, update: Mapping[str, Any], now: int) -> None:
        self._check_lease(update)
        view = self.view.updated(update, self.settings)
        self._check_own_zone(view)
        issued_ms = update.get("issued_ms")
        if issued_ms is not None and (isinstance(issued_ms, bool) or not isinstance(issued_ms, int)):
            raise FleetViewError(f"issued_ms: expected a whole number, got {issued_ms!r}")
        self._replace_view(view)
        if issued_ms is not None:
            self._apply_heartbeat(issued_ms, now)

    def _check_lease(self, update: Mapping[str, Any]) -> None:
        lease_ms = update.get("lease_ms")
        expected = self.settings.lease // MILLISECOND
        if lease_ms is not None and lease_ms != expected:
            raise FleetViewError(f"lease_ms: {lease_ms!r}, but {expected} is set up here")

    def _check_own_zone(self, view: FleetView) -> None:
        own = view.instances.get(self.settings.name)
        if own is not None and own.zone != self.settings.zone:
            raise FleetViewError(
                f"{own.name}: locality: {own.zone!r}, but {self.settings.zone!r} is set up here"
            )

    def _apply_heartbeat(self, issued_ms: int, now: int) -> None:
        issued = issued_ms * MILLISECOND
        if issued > now + self.settings.clock_skew:
            raise ClockError(
                f"issued_ms: {issued_ms} is later than this machine's clock, {now // MILLISECOND}"
            )
        self.last_heartbeat = max(self.last_heartbeat or 0, issued)

    def _replace_view(self, view: FleetView) -> None:
        if view == self.view:
            return
        previous = self.view
        self.view = view
        if previous.instances.keys() == view.instances.keys():  # a change of phases changes no candidates
            return
        for zone, candidates in self._zone_candidates.items():
            candidates.update(instance.name for instance in view.in_zone(zone))
        own_zone = self._zone_candidates[self.settings.zone]
        self.candidate_partitions = own_zone.partitions_of(self.settings.name)

    # Ownership and quotas.

    def partition(self, destination: int) -> int:
        """Return the partition of a destination."""
        return partition_of(destination, self.settings.partitions)

    def candidates(self, zone: str, partition: int) -> list[Instance]:
        """Return the instances of a zone that may own a partition, best first."""
        return [self.view.instances[name] for name in self._zone_candidates[zone].for_partition(partition)]

    def is_candidate(self, destination: int) -> bool:
        """Return whether this instance may own a destination, and so keeps its entries of endpoint lists."""
        return self.partition(destination) in self.candidate_partitions

    def held_quota(self, partition: int, now: int) -> HeldQuota:
        """Return the parts that this instance holds of its zone's quota of a partition."""
        if partition not in self.candidate_partitions:
            return NO_QUOTA
        candidates = self.candidates(self.settings.zone, partition)
        return held_quota(self.settings, candidates, now, self.last_heartbeat)

    def quota_fraction(self, destination: int, now: int) -> float:
        """Return the fraction of its zone's quota of a destination that this instance may use, 0 to 1."""
        return self.held_quota(self.partition(destination), now).quota_fraction(self.settings.reserve)

    def awaits_lease(self, destination: int, now: int) -> bool:
        """Return whether this instance will own a destination once the lease of another instance expires."""
        partition = self.partition(destination)
        if partition not in self.candidate_partitions:
            return False
        owner = first_ready(self.candidates(self.settings.zone, partition))
        return owner is not None and owner.name == self.settings.name and self.lease_valid(now)

    def lease_valid(self, now: int) -> bool:
        """Return whether the last heartbeat is recent enough to hold leased parts."""
        if self.last_heartbeat is None:
            return False
        return now < self.last_heartbeat + self.settings.lease - self.settings.clock_skew

    def next_quota_change(self, now: int) -> int | None:
        """Return the next time at which a quota may change without an update, or None if there is none.

        A heartbeat received before that time may postpone the change.
        """
        settings = self.settings
        expiries = list[int]()
        if self.last_heartbeat is not None:
            expiries.append(self.last_heartbeat + settings.lease)
            expiries.append(self.last_heartbeat + settings.reserve_lease)
        for instance in self.view.in_zone(settings.zone):
            if instance.phase_since:
                expiries.append(instance.phase_since + settings.lease)
            if instance.joined_at:
                expiries.append(instance.joined_at + settings.lease)
                expiries.append(instance.joined_at + settings.reserve_lease)
        skew = settings.clock_skew
        changes = (change for expiry in expiries for change in (expiry - skew, expiry + skew))
        return min((change for change in changes if change > now), default=None)

    def owners(self, destination: int, now: int) -> list[Instance]:
        """Return other instances that may accept a message for a destination, in the order to ask them.

        Instances of the own zone come first, then those of the own region, then the others. An instance that
        still waits for a lease to expire would reject the message, and comes last.
        """
        partition = self.partition(destination)
        lease_valid = self.lease_valid(now)
        holders = list[Instance]()
        waiting = list[Instance]()
        for zone in self._zones_by_distance:
            expected = expected_holder(self.settings, self.candidates(zone, partition), now, lease_valid)
            if expected.instance is None or expected.instance.name == self.settings.name:
                continue
            (holders if expected.holds_quota else waiting).append(expected.instance)
        return holders + waiting

    def status(self, now: int) -> ViewStatus:
        """Return the current view, as it is reported to operators."""
        instances = self.view.instances.values()
        partitions = self.candidate_partitions
        return ViewStatus(
            revision=self.view.revision,
            instance_count=len(instances),
            ready_count=sum(instance.ready for instance in instances),
            heartbeat_age=now - self.last_heartbeat if self.last_heartbeat is not None else None,
            held_partitions=sum(self.held_quota(partition, now) != NO_QUOTA for partition in partitions),
            candidate_partitions=len(partitions),
            problem=self.problem,
        )

    # The saved view tells a process that starts while control is silent which partitions it is home to.

    def snapshot(self) -> dict[str, Any]:
        """Return the view and the last heartbeat in discovery's form, as they are saved."""
        saved: dict[str, Any] = {
            "form": SAVED_VIEW_VERSION,
            "revision": self.view.revision,
            "complete": True,
            "members": self.view.member_rows(),
        }
        if self.last_heartbeat is not None:
            saved["issued_ms"] = self.last_heartbeat // MILLISECOND
        return saved

    def restore(self, saved: Mapping[str, Any], now: int) -> None:
        """Apply the view that an earlier process saved. Raise FleetViewError if it cannot be read."""
        form = saved.get("form") if isinstance(saved, Mapping) else None
        if form != SAVED_VIEW_VERSION:
            raise FleetViewError(f"form: expected {SAVED_VIEW_VERSION}, got {form!r}")
        self.apply_update(saved, now)


def _zones_by_distance(settings: FleetSettings) -> list[str]:
    """Return all zones: the own one, then those of its region, then the others.

    Each group is in the configured order, which starts at the own zone and wraps around.
    """
    own_index = settings.zones.index(settings.zone)
    zones = [*settings.zones[own_index:], *settings.zones[:own_index]]
    zones.sort(key=lambda zone: (zone != settings.zone, settings.region_of(zone) != settings.region))
    return zones
