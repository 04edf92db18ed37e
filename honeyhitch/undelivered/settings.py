"""What an operator sets up for undelivered messages, as typed values; lifecycle/config reads the file."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path

DAY = 24 * 3600 * 10**9  # ns


@dataclass(frozen=True, slots=True)
class Limits:
    """How much the store may hold; what is over is dropped, settled records first."""

    size: int = 256_000_000  # bytes of records as stored
    count: int = 100_000
    age: int = 90 * DAY  # ns since a message's end


@dataclass(frozen=True, slots=True)
class Undelivered:
    """The table `[undelivered]`."""

    folder: Path | None = None  # `undelivered` in the state folder where it is not set
    limits: Limits = field(default_factory=Limits)
    compress_from: int = 512  # bytes of a body

    def at(self, state: Path) -> Path:
        """Where the store is."""
        return self.folder if self.folder is not None else state / "undelivered"
