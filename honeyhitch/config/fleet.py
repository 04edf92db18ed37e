"""Parser of the table `[fleet]` of the operator's file, which enables partitioned destinations."""

from __future__ import annotations

from typing import Any

from honeyhitch.config.deployment import Address, ConfigError
from honeyhitch.config.values import ConfigTable
from honeyhitch.partitioning.settings import FleetSettings, Region
from honeyhitch.time_units import DAY, SECOND

MAX_SECONDS = 30 * DAY // SECOND
NUMBER_TYPES = {"partitions": int, "candidates": int, "reserve": float, "peer-connections": int}
DURATION_KEYS = ("lease", "reserve-lease", "clock-skew")  # seconds


def parse_fleet(value: object, name: str) -> FleetSettings:
    """Return the table's settings, or raise ConfigError. `name` is the instance's name in the view."""
    table = ConfigTable(value, "fleet")
    view = Address.parse(table.get("view", str), "fleet.view")
    zone = table.get("zone", str)
    regions = _parse_regions(table.get("regions", dict))
    fields: dict[str, Any] = {"name": name, "zone": zone, "view": str(view), "regions": regions}
    for key, number_type in NUMBER_TYPES.items():
        if (number := table.optional(key, number_type)) is not None:
            fields[key.replace("-", "_")] = number
    for key in DURATION_KEYS:
        if (seconds := table.optional(key, float)) is not None:
            fields[key.replace("-", "_")] = _nanoseconds(key, seconds)
    table.reject_unknown_keys()
    try:
        return FleetSettings(**fields)
    except ValueError as error:
        raise ConfigError(f"fleet.{error}") from error


def _parse_regions(tables: dict[str, object]) -> tuple[Region, ...]:
    regions = list[Region]()
    for name, zones in tables.items():
        if not isinstance(zones, list) or not zones or not all(isinstance(zone, str) for zone in zones):
            raise ConfigError(f"fleet.regions.{name}: expected a list of zone names, got {zones!r}")
        regions.append(Region(name, tuple(zones)))
    return tuple(regions)


def _nanoseconds(key: str, seconds: float) -> int:
    if not 0 <= seconds <= MAX_SECONDS:
        raise ConfigError(f"fleet.{key}: expected 0 to {MAX_SECONDS} seconds, got {seconds:g}")
    return int(seconds * SECOND)
