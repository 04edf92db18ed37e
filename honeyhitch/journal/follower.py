"""Reads the journal of the process beside this one, as it grows: what it holds, and the waits it was told."""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path

from honeyhitch.journal.state import Account, unpack
from honeyhitch.journal.transactions import Transaction


class Follower(Account):
    """The account of a file that another process writes, or wrote; nothing here changes the file."""

    def __init__(self, path: Path, most: int, remember: Callable[[Transaction], int]) -> None:
        super().__init__(most, remember)
        self.path, self.most = path, most
        self.fd, self.at = -1, 0  # the latter: bytes of whole records that were read

    def read(self) -> bool:
        """Take in what came since; true if the file is there. If nothing did, it is two system calls.

        A file in the old one's place, or one that became shorter, is read from its start: it holds all.
        """
        try:
            there = os.stat(self.path)
        except FileNotFoundError:
            return False
        mine = os.fstat(self.fd) if self.fd >= 0 else None
        if mine is None or mine.st_ino != there.st_ino or there.st_size < self.at:
            self.close()
            super().__init__(self.most, self.remember)
            self.fd, self.at = os.open(self.path, os.O_RDONLY), 0
        if there.st_size > self.at:  # half a record is read again: its writer may cut it back
            done = 0
            for fields, body, end in unpack(os.pread(self.fd, there.st_size - self.at, self.at)):
                self._apply(fields, body)
                done = end
            self.at += done
        return True

    def room(self) -> int:
        """Bytes of the disk that its writer uses, also to compact it, which one that passes on does not."""
        return 0 if self.fd < 0 else self.at + self.live if self.out is None else self.at

    def close(self) -> None:
        """Let go of the file."""
        if self.fd >= 0:
            os.close(self.fd)
            self.fd = -1
