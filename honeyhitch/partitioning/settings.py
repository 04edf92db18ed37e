"""The settings of a fleet, the same at each of its dispatchers except for name and zone."""

from __future__ import annotations

from dataclasses import dataclass

from honeyhitch.time_units import HOUR, SECOND

MAX_PARTITIONS = 1 << 16
MAX_CANDIDATES = 8
MAX_PEER_CONNECTIONS = 1024
MIN_LEASE_SKEWS = 4  # a lease must be longer than this number of clock skews


@dataclass(frozen=True, slots=True)
class Region:
    """A region and the names of its zones."""

    name: str
    zones: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """The table `[fleet]` of the operator's file. Times are nanoseconds."""

    name: str  # this instance's name in the view
    zone: str  # this instance's zone
    view: str  # HOST:PORT of the agent that lists the fleet
    regions: tuple[Region, ...]
    partitions: int = 4096
    candidates: int = 2  # instances of a zone that may own a partition; the first ready one does
    reserve: float = 0.75  # fraction of a zone's quota that stays with the home instance
    lease: int = 3 * SECOND  # how long a heartbeat of the control machines renews the leased part
    reserve_lease: int = 2 * HOUR  # how long a heartbeat renews the reserved part
    clock_skew: int = SECOND // 4  # the maximum difference between any two clocks of the fleet
    peer_connections: int = 96  # maximum number open to other instances at once

    def __post_init__(self) -> None:
        """Raise ValueError if a setting is invalid; the message names the setting at fault."""
        zones = [zone for region in self.regions for zone in region.zones]
        for condition, problem in (
            (bool(zones), "regions: at least one zone is needed"),
            (len(set(zones)) == len(zones), "regions: a zone is named twice"),
            (self.zone in zones, f"zone: not a zone of any region: {self.zone!r}"),
            (bool(self.name), "name: must not be empty"),
            (
                1 <= self.partitions <= MAX_PARTITIONS,
                f"partitions: expected 1 to {MAX_PARTITIONS}, got {self.partitions}",
            ),
            (
                1 <= self.candidates <= MAX_CANDIDATES,
                f"candidates: expected 1 to {MAX_CANDIDATES}, got {self.candidates}",
            ),
            (0 <= self.reserve <= 1, f"reserve: expected 0 to 1, got {self.reserve:g}"),
            (self.clock_skew >= 0, "clock-skew: must not be negative"),
            (
                self.lease > MIN_LEASE_SKEWS * self.clock_skew,
                "lease: must be more than four times the clock skew",
            ),
            (self.reserve_lease >= self.lease, "reserve-lease: must not be shorter than the lease"),
            (
                1 <= self.peer_connections <= MAX_PEER_CONNECTIONS,
                f"peer-connections: expected 1 to {MAX_PEER_CONNECTIONS}",
            ),
        ):
            if not condition:
                raise ValueError(problem)

    @property
    def zones(self) -> tuple[str, ...]:
        """All zones, in the order of their regions. Each has an equal quota of every limit."""
        return tuple(zone for region in self.regions for zone in region.zones)

    @property
    def region(self) -> str:
        """The region of this instance."""
        return self.region_of(self.zone)

    def region_of(self, zone: str) -> str:
        """Return the region of a zone. Raise KeyError if the zone belongs to no region."""
        for region in self.regions:
            if zone in region.zones:
                return region.name
        raise KeyError(zone)
