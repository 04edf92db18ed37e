"""The table `[fleet]` of the operator's file, which turns partitioned destinations on."""

from __future__ import annotations

from typing import Any

from honeyhitch.config.deployment import Address, ConfigError
from honeyhitch.config.values import ConfigTable
from honeyhitch.partitioning.settings import FleetSettings, Region
from honeyhitch.time_units import SECOND

MAX_SECONDS = 30 * 86400
NUMBERS = {"partitions": int, "candidates": int, "reserve": float, "peer-connections": int}
TIMES = ("lease", "reserve-lease", "clock-skew")  # seconds


def parse_fleet(told: object, name: str) -> FleetSettings:
    """The table's settings; `name` is the instance's, by which the view lists it."""
    table = ConfigTable(told, "fleet")
    view = Address.parse(table.get("view", str), "fleet.view")
    zone = table.get("zone", str)
    regions = _regions(table.get("regions", dict))
    given: dict[str, Any] = {"name": name, "zone": zone, "view": str(view), "regions": regions}
    for key, form in NUMBERS.items():
        if (value := table.optional(key, form)) is not None:
            given[key.replace("-", "_")] = value
    for key in TIMES:
        if (seconds := table.optional(key, float)) is not None:
            given[key.replace("-", "_")] = _nanoseconds(key, seconds)
    table.reject_unknown_keys()
    try:
        return FleetSettings(**given)
    except ValueError as error:
        raise ConfigError(f"fleet.{error}") from error


def _regions(told: dict[str, object]) -> tuple[Region, ...]:
    regions = list[Region]()
    for name, zones in told.items():
        if not isinstance(zones, list) or not zones or not all(isinstance(zone, str) for zone in zones):
            raise ConfigError(f"fleet.regions.{name}: expected a list of the names of its zones")
        regions.append(Region(name, tuple(zones)))
    return tuple(regions)


def _nanoseconds(key: str, seconds: float) -> int:
    if not 0 <= seconds <= MAX_SECONDS:
        raise ConfigError(f"fleet.{key}: expected 0 to {MAX_SECONDS} seconds, got {seconds:g}")
    return int(seconds * SECOND)
