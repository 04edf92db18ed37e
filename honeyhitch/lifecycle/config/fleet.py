"""The table `[fleet]` of the operator's file, which turns partitioned destinations on."""

from __future__ import annotations

from honeyhitch.lifecycle.config.values import Table
from honeyhitch.partitioning.settings import SECOND, FleetSettings, Region
from honeyhitch.setup import Address, ConfigError

MOST_SECONDS = 30 * 86400


def setup(told: object, name: str) -> FleetSettings:
    """The table's settings; `name` is the instance's, by which the view lists it."""
    table = Table(told, "fleet")
    view = Address.parse(table.get("view", str), "fleet.view")
    zone = table.get("zone", str)
    regions = _regions(table.get("regions", dict))
    lease = _seconds(table, "lease", 3)
    reserve_lease = _seconds(table, "reserve-lease", 2 * 3600)
    clock_skew = _seconds(table, "clock-skew", 0.25)
    partitions = table.get("partitions", int, 4096)
    candidates = table.get("candidates", int, 2)
    reserve = table.get("reserve", float, 0.75)
    connections = table.get("peer-connections", int, 96)
    table.done()
    try:
        return FleetSettings(
            name=name,
            zone=zone,
            view=str(view),
            regions=regions,
            partitions=partitions,
            candidates=candidates,
            reserve=reserve,
            peer_connections=connections,
            lease=lease,
            reserve_lease=reserve_lease,
            clock_skew=clock_skew,
        )
    except ValueError as error:
        raise ConfigError(f"fleet.{error}") from error


def _regions(told: dict[str, object]) -> tuple[Region, ...]:
    regions = list[Region]()
    for name, zones in told.items():
        if not isinstance(zones, list) or not zones or not all(isinstance(zone, str) for zone in zones):
            raise ConfigError(f"fleet.regions.{name}: expected a list of the names of its zones")
        regions.append(Region(name, tuple(zones)))
    return tuple(regions)


def _seconds(table: Table, key: str, default: float) -> int:
    seconds = table.get(key, float, float(default))
    if not 0 <= seconds <= MOST_SECONDS:
        raise ConfigError(f"fleet.{key}: expected 0 to {MOST_SECONDS} seconds, got {seconds:g}")
    return int(seconds * SECOND)
