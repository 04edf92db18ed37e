"""The state directory and who holds it: in a hand-over two processes do, each with its journal.

A slot is held by a lock that the kernel releases when its process ends, however it ends (flock(2)). The first
slot's journal is the one that an earlier version reads; the second one's exists only while two processes
live.
"""

from __future__ import annotations

import fcntl
import os
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

FIRST_SLOT = 1
SECOND_SLOT = 2
JOURNAL_NAMES = {FIRST_SLOT: "journal", SECOND_SLOT: "journal-2"}
DIRECTORY_LOCK_NAME = "places"
SLOT_LOCK_NAME = "place-{slot}"
OWNER_ONLY = 0o600  # file mode


class StateDirectoryInUseError(Exception):
    """Two processes hold the state directory already."""


class StateDirectory:
    """One process's hold on the directory, in the first `slot` that was free.

    OSError if the directory cannot be written, StateDirectoryInUseError if no slot is free.
    """

    def __init__(self, path: Path) -> None:
        path.mkdir(parents=True, exist_ok=True)
        self.path = path
        self.locks: dict[int, int] = {}  # file descriptor by slot
        with self.exclusive():
            for slot in JOURNAL_NAMES:
                if self.lock_slot(slot):
                    self.slot = slot
                    return
        raise StateDirectoryInUseError(f"two processes hold {path} already")

    @contextmanager
    def exclusive(self) -> Iterator[None]:
        """Keep other processes from taking a slot or changing theirs meanwhile.

        Who takes over holds both slots for some milliseconds, and a start must not take that for two
        processes.
        """
        fd = os.open(self.path / DIRECTORY_LOCK_NAME, os.O_RDWR | os.O_CREAT, OWNER_ONLY)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX)
            yield
        finally:
            os.close(fd)

    def lock_slot(self, slot: int) -> bool:
        """Take this slot too; false if a living process has it."""
        if slot in self.locks:
            return True
        path = self.path / SLOT_LOCK_NAME.format(slot=slot)
        fd = os.open(path, os.O_RDWR | os.O_CREAT, OWNER_ONLY)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(fd)
            return False
        self.locks[slot] = fd
        return True

    def unlock_slot(self, slot: int) -> None:
        """Release a slot that this process holds."""
        os.close(self.locks.pop(slot))

    def journal_path(self, slot: int) -> Path:
        """The journal of a slot."""
        return self.path / JOURNAL_NAMES[slot]

    @property
    def other_slot(self) -> int:
        """The slot that is not this process's."""
        return FIRST_SLOT + SECOND_SLOT - self.slot

    def close(self) -> None:
        """Release all slots held."""
        for slot in list(self.locks):
            self.unlock_slot(slot)
