"""The record of one play: what was sent, answered and run, with the time since the play began."""

from __future__ import annotations

import time
from pathlib import Path


class RecordFile:
    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the play began."""
        return time.monotonic() - self.began

    def write(self, text: str) -> None:
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()
