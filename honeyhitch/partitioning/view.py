"""The view of the fleet: a typed, immutable value read from a list or a change in discovery's form.

An entry's `up_since_ms` is when its phase was published, and its optional `joined_ms` when its name was
first listed; both are Unix times of the control machines' clock, and 0 means long ago. The phase `Gone` is
given only to an instance whose process is known to have ended. If its name is listed again, the entry is an
instance that joins.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from types import MappingProxyType
from typing import Any

from honeyhitch.addresses import split_host_port
from honeyhitch.partitioning.settings import FleetSettings
from honeyhitch.time_units import MILLISECOND

MAX_INSTANCES = 10_000
MAX_NAME_LENGTH = 128
MAX_JSON_INTEGER = 1 << 53  # the largest integer that every JSON parser keeps exact


class FleetViewError(ValueError):
    """A view that cannot be used; the message names the entry and the field at fault."""


class InstancePhase(Enum):
    """Whether an instance may own partitions."""

    READY = "Ready"
    TERMINATING = "Terminating"  # drains, restarts or does not answer; remains an instance of the fleet


GONE_PHASE = "Gone"  # the phase of an instance that a change removes from the list


@dataclass(frozen=True, slots=True)
class Instance:
    """One dispatcher of the fleet. Times are Unix times in nanoseconds, 0 for long ago."""

    name: str
    address: str
    region: str
    zone: str
    phase: InstancePhase = InstancePhase.READY
    phase_since: int = 0  # when its phase was published
    joined_at: int = 0  # when it was first listed

    @property
    def ready(self) -> bool:
        """Whether this instance may own partitions."""
        return self.phase is InstancePhase.READY


@dataclass(frozen=True, slots=True)
class FleetView:
    """All instances as of one revision."""

    revision: int = 0
    instances: Mapping[str, Instance] = field(default_factory=lambda: MappingProxyType({}))

    def updated(self, update: Mapping[str, Any], settings: FleetSettings) -> FleetView:
        """Return the view after a list or a change in discovery's form.

        Raise FleetViewError if the update is faulty or older than this view.
        """
        revision = _parse_integer(update.get("revision"), "revision")
        if revision < self.revision:
            raise FleetViewError(f"revision: {revision} is older than {self.revision}")
        rows = update.get("members")
        if not isinstance(rows, list):
            raise FleetViewError("members: expected a list")
        instances = self._apply_rows(rows, settings, complete=update.get("complete") is True)
        if not instances:
            raise FleetViewError("members: a fleet has one instance at least")
        if len(instances) > MAX_INSTANCES:
            raise FleetViewError(f"members: at most {MAX_INSTANCES} instances, got {len(instances)}")
        return FleetView(revision, MappingProxyType(instances))

    def _apply_rows(self, rows: list[Any], settings: FleetSettings, complete: bool) -> dict[str, Instance]:
        """Return the instances by name after these entries; a complete list replaces all earlier ones."""
        instances = {} if complete else dict(self.instances)
        seen = set[str]()
        for number, row in enumerate(rows):
            name = _parse_name(row, number)
            if name in seen:
                raise FleetViewError(f"members.{number}.id: {name!r} is named twice")
            seen.add(name)
            if row.get("phase") == GONE_PHASE:
                instances.pop(name, None)
            else:
                instances[name] = _parse_instance(row, name, settings, self.instances.get(name))
        return instances

    def member_rows(self) -> list[dict[str, Any]]:
        """Return all instances in discovery's form, as `updated` reads them."""
        return [
            {
                "id": instance.name,
                "host_port": instance.address,
                "locality": instance.zone,
                "flavor": instance.region,
                "phase": instance.phase.value,
                "up_since_ms": instance.phase_since // MILLISECOND,
                "joined_ms": instance.joined_at // MILLISECOND,
            }
            for instance in self.instances.values()
        ]

    def in_zone(self, zone: str) -> Iterable[Instance]:
        """Return the instances of one zone."""
        return (instance for instance in self.instances.values() if instance.zone == zone)


def _parse_integer(value: object, field_name: str) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value <= MAX_JSON_INTEGER:
        raise FleetViewError(f"{field_name}: expected a whole number of 0 or more, got {value!r}")
    return value


def _parse_milliseconds(row: Mapping[str, Any], field_name: str, instance: str) -> int:
    """Return a time of an entry in nanoseconds, 0 if it is missing."""
    return _parse_integer(row.get(field_name, 0), f"{instance}: {field_name}") * MILLISECOND


def _parse_name(row: object, number: int) -> str:
    name = row.get("id") if isinstance(row, dict) else None
    if not isinstance(name, str) or not 0 < len(name) <= MAX_NAME_LENGTH or not name.isprintable():
        raise FleetViewError(f"members.{number}.id: expected 1 to {MAX_NAME_LENGTH} characters, got {name!r}")
    return name


def _parse_instance(
    row: Mapping[str, Any], name: str, settings: FleetSettings, previous: Instance | None
) -> Instance:
    zone = row.get("locality")
    region = row.get("flavor")
    if zone not in settings.zones:
        raise FleetViewError(f"{name}: locality: unknown zone {zone!r}")
    if region != settings.region_of(str(zone)):
        raise FleetViewError(f"{name}: flavor: {region!r} is not the region of zone {zone!r}")
    # An instance that changed its zone would leave its leases in the previous zone without a holder.
    if previous is not None and previous.zone != zone:
        raise FleetViewError(f"{name}: locality: {zone!r}, but it was in {previous.zone!r}; list it anew")
    return Instance(
        name=name,
        phase=_parse_phase(row, name),
        address=_parse_address(row, name),
        region=str(region),
        zone=str(zone),
        phase_since=_parse_milliseconds(row, "up_since_ms", name),
        joined_at=_parse_milliseconds(row, "joined_ms", name),
    )


def _parse_phase(row: Mapping[str, Any], name: str) -> InstancePhase:
    try:
        return InstancePhase(row.get("phase", InstancePhase.READY.value))
    except ValueError:
        raise FleetViewError(f"{name}: phase: unknown phase {row.get('phase')!r}") from None


def _parse_address(row: Mapping[str, Any], name: str) -> str:
    address = row.get("host_port")
    try:
        split_host_port(str(address))
    except ValueError:
        raise FleetViewError(f"{name}: host_port: expected HOST:PORT, got {address!r}") from None
    return str(address)
