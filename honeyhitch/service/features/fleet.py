"""Destinations partitioned over a fleet of dispatchers (docs/design/partitioning.md)."""

from __future__ import annotations

from random import Random

from honeyhitch.config import ConfigError
from honeyhitch.partitioning.settings import FleetSettings
from honeyhitch.service.fleet import MAX_SAVED_VIEW_BYTES, FleetService
from honeyhitch.service.service import Service

FLEET_SEED = 0xF1EE7  # mixed into the dispatcher's seed to make a separate random stream
RESERVED_BYTES = 2 * MAX_SAVED_VIEW_BYTES  # the saved view, and the file that replaces it
BYTES_PER_MEGABYTE = 1e6


def add_fleet(service: Service, settings: FleetSettings, listen: bool) -> None:
    """Take part in a fleet. Raise ConfigError if `listen` is false or the disk limit is too low.

    Without `listen`, messages come from callers in this process, who cannot be sent to another instance.
    """
    config = service.config
    if not listen:
        raise ConfigError("fleet: expected a dispatcher that listens for clients, got one run as a library")
    if config.limits.disk_bytes < 2 * RESERVED_BYTES:
        min_megabytes = 2 * RESERVED_BYTES / BYTES_PER_MEGABYTE
        raise ConfigError(
            f"limits.disk_mb: expected at least {min_megabytes:g} with [fleet],"
            f" got {config.limits.disk_bytes / BYTES_PER_MEGABYTE:g}"
        )
    service.journal.max_bytes -= RESERVED_BYTES
    service.fleet = FleetService(
        settings,
        service.dispatcher,
        service.scheduler,
        service.loop,
        config.state,
        Random(config.seed ^ FLEET_SEED),
        service.discovery.refetch,
    )
    service.discovery.long_lists = True
    service.background_tasks += [service.fleet.watch, service.fleet.watch_expiry]
