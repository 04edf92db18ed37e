"""The table `[undelivered]` of the operator's file."""

from __future__ import annotations

from pathlib import Path

from honeyhitch.lifecycle.config.values import Table
from honeyhitch.setup import ConfigError
from honeyhitch.undelivered.settings import DAY, Limits, Undelivered

MB = 1_000_000
MOST_DAYS = 3650


def setup(told: object) -> Undelivered:
    """`[undelivered]`; there being such a table turns it on."""
    table, standard = Table(told, "undelivered"), Undelivered()
    limits = standard.limits
    folder = table.maybe("folder", str)
    size = table.get("max-mb", float, limits.size / MB)
    count = table.get("max-count", int, limits.count)
    days = table.get("max-days", float, limits.age / DAY)
    compress_from = table.get("compress-from", int, standard.compress_from)
    table.done()
    if folder == "":
        raise ConfigError("undelivered.folder: must not be empty")
    if not 1 <= size <= 1_000_000:
        raise ConfigError(f"undelivered.max-mb: expected 1 to 1000000, got {size:g}")
    if not 1 <= count <= 100_000_000:
        raise ConfigError(f"undelivered.max-count: expected 1 to 100000000, got {count}")
    if not 0 < days <= MOST_DAYS:
        raise ConfigError(f"undelivered.max-days: expected above 0 and at most {MOST_DAYS}, got {days:g}")
    if compress_from < 0:
        raise ConfigError("undelivered.compress-from: must not be negative")
    _libraries()
    path = Path(folder) if folder is not None else None
    return Undelivered(path, Limits(int(size * MB), count, int(days * DAY)), compress_from)


def _libraries() -> None:
    try:
        from honeyhitch.undelivered import store

        store.Store
    except ImportError as error:
        raise ConfigError(f"undelivered: needs the extra honeyhitch[undelivered] ({error})") from error
