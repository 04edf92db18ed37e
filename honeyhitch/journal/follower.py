"""Reads the journal of the process beside this one, as it grows: what it holds, and the waits it was told."""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path

from honeyhitch.journal.state import JournalState, decode_records
from honeyhitch.journal.transactions import Transaction


class JournalFollower(JournalState):
    """The account of a file that another process writes, or wrote; nothing here changes the file."""

    def __init__(self, path: Path, max_remembered: int, retention: Callable[[Transaction], int]) -> None:
        super().__init__(max_remembered, retention)
        self.path, self.max_remembered = path, max_remembered
        self.fd, self.read_bytes = -1, 0  # the latter: bytes of whole records that were read

    def read(self) -> bool:
        """Take in what came since; true if the file is there. If nothing did, it is two system calls.

        A file in the old one's place, or one that became shorter, is read from its start: it holds all.
        """
        try:
            there = os.stat(self.path)
        except FileNotFoundError:
            return False
        mine = os.fstat(self.fd) if self.fd >= 0 else None
        if mine is None or mine.st_ino != there.st_ino or there.st_size < self.read_bytes:
            self.close()
            super().__init__(self.max_remembered, self.retention)
            self.fd, self.read_bytes = os.open(self.path, os.O_RDONLY), 0
        if there.st_size > self.read_bytes:  # half a record is read again: its writer may cut it back
            done = 0
            for fields, body, end in decode_records(
                os.pread(self.fd, there.st_size - self.read_bytes, self.read_bytes)
            ):
                self._apply(fields, body)
                done = end
            self.read_bytes += done
        return True

    def reserved_bytes(self) -> int:
        """Bytes of the disk that its writer uses, also to compact it, which one that passes on does not."""
        return (
            0
            if self.fd < 0
            else self.read_bytes + self.live_bytes
            if self.calls_in_flight is None
            else self.read_bytes
        )

    def close(self) -> None:
        """Let go of the file."""
        if self.fd >= 0:
            os.close(self.fd)
            self.fd = -1
