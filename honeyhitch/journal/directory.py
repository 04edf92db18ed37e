"""The lasting folder: who holds it. In an upgrade two processes do, each with a journal of its own.

A place is held by a lock that the kernel lets go of when its process ends, however it ends (flock(2)). The
first place's journal is the one that an earlier version reads; the second one's lasts only while two live.
"""

from __future__ import annotations

import fcntl
import os
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

FIRST_SLOT, SECOND_SLOT = 1, 2
JOURNAL_NAMES = {FIRST_SLOT: "journal", SECOND_SLOT: "journal-2"}


class StateDirectoryInUseError(Exception):
    """Two processes hold the folder already."""


class StateDirectory:
    """One process's hold on the folder; `place` is the one that it has. OSError if it cannot be written."""

    def __init__(self, path: Path) -> None:
        path.mkdir(parents=True, exist_ok=True)
        self.path, self.locks = path, dict[int, int]()
        with self.exclusive():
            for place in JOURNAL_NAMES:
                if self.lock_slot(place):
                    self.slot = place
                    return
        raise StateDirectoryInUseError(f"two processes hold {path} already")

    @contextmanager
    def exclusive(self) -> Iterator[None]:
        """Meanwhile nobody else takes a place or goes from one to the other: who takes over holds both for
        some milliseconds, and a start must not take that for two processes.
        """
        fd = os.open(self.path / "places", os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX)
            yield
        finally:
            os.close(fd)

    def lock_slot(self, slot: int) -> bool:
        """Take this place too, unless a living process has it."""
        if slot in self.locks:
            return True
        fd = os.open(self.path / f"place-{slot}", os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(fd)
            return False
        self.locks[slot] = fd
        return True

    def unlock_slot(self, slot: int) -> None:
        """Let go of it."""
        os.close(self.locks.pop(slot))

    def journal_path(self, slot: int) -> Path:
        """The journal of a place."""
        return self.path / JOURNAL_NAMES[slot]

    @property
    def other_slot(self) -> int:
        """The place that is not this process's."""
        return FIRST_SLOT + SECOND_SLOT - self.slot

    def close(self) -> None:
        """Let go of all."""
        for place in list(self.locks):
            self.unlock_slot(place)
