"""The clock of a state directory, which steps of the machine's wall clock do not change.

The journal holds deadlines and the start times of deduplication windows as Unix times, and the next process
compares them with its own clock. Each process counts time by the machine's monotonic clock; the anchor, which
the state directory keeps, ties that clock to the same Unix time for all of them until the machine is booted
again.
"""

from __future__ import annotations

import json
import os
import time
from dataclasses import asdict, dataclass
from pathlib import Path

from honeyhitch import logs

log = logs.get_logger()
FILE_NAME = "clock"
BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")  # random(4)


@dataclass(frozen=True, slots=True)
class ClockAnchor:
    """The Unix time at which the monotonic clock of one boot was 0, in nanoseconds."""

    boot_id: str
    offset: int

    @classmethod
    def now(cls) -> ClockAnchor:
        """Return the anchor that the wall clock gives now."""
        return cls(_boot_id(), time.time_ns() - time.monotonic_ns())


def _boot_id() -> str:
    try:
        return BOOT_ID_FILE.read_text().strip()
    except OSError:
        return ""


def stored_anchor(directory: Path) -> ClockAnchor | None:
    """Return the anchor in the state directory, or None if there is none for this boot of the machine."""
    try:
        anchor = ClockAnchor(**json.loads((directory / FILE_NAME).read_bytes()))
    except (OSError, ValueError, TypeError):
        return None
    usable = isinstance(anchor.offset, int) and anchor.boot_id == _boot_id() != ""
    return anchor if usable else None


class AnchorFile:
    """The anchor of this process, written to the state directory as soon as the directory can be written."""

    def __init__(self, directory: Path, anchor: ClockAnchor) -> None:
        self.path = directory / FILE_NAME
        self.anchor = anchor
        self.written = False

    def write(self) -> bool:
        """Write the file if it was not written yet; return whether it is written."""
        if self.written:
            return True
        new_path = self.path.with_suffix(".new")
        try:
            new_path.write_text(json.dumps(asdict(self.anchor)))
            os.replace(new_path, self.path)
        except OSError as error:
            log.warning("clock.not-stored", error=str(error), key=str(self.path))
            return False
        self.written = True
        return True
