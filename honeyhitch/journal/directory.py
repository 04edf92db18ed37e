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

FIRST, SECOND = 1, 2
NAMES = {FIRST: "journal", SECOND: "journal-2"}


class FolderHeld(Exception):
    """Two processes hold the folder already."""


class StateFolder:
    """One process's hold on the folder; `place` is the one that it has. OSError if it cannot be written."""

    def __init__(self, path: Path) -> None:
        path.mkdir(parents=True, exist_ok=True)
        self.path, self.locks = path, dict[int, int]()
        with self.alone():
            for place in NAMES:
                if self.lock(place):
                    self.place = place
                    return
        raise FolderHeld(f"two processes hold {path} already")

    @contextmanager
    def alone(self) -> Iterator[None]:
        """Meanwhile nobody else takes a place or goes from one to the other: who takes over holds both for
        some milliseconds, and a start must not take that for two processes.
        """
        fd = os.open(self.path / "places", os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX)
            yield
        finally:
            os.close(fd)

    def lock(self, place: int) -> bool:
        """Take this place too, unless a living process has it."""
        if place in self.locks:
            return True
        fd = os.open(self.path / f"place-{place}", os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(fd)
            return False
        self.locks[place] = fd
        return True

    def unlock(self, place: int) -> None:
        """Let go of it."""
        os.close(self.locks.pop(place))

    def journal(self, place: int) -> Path:
        """The journal of a place."""
        return self.path / NAMES[place]

    @property
    def other(self) -> int:
        """The place that is not this process's."""
        return FIRST + SECOND - self.place

    def close(self) -> None:
        """Let go of all."""
        for place in list(self.locks):
            self.unlock(place)
