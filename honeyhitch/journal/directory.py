"""The state directory and its slots: during a hand-over two processes share it, each with its own journal.

A process holds a slot by a file lock, which the kernel releases when the process ends in any way (flock(2)).
An earlier version reads the journal of the first slot; the journal of the second slot exists only while two
processes run.
"""

from __future__ import annotations

import fcntl
import os
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

from honeyhitch import logs
from honeyhitch.journal.process_record import (
    ProcessDescription,
    ProcessRecord,
    is_locked,
    read_description,
)

log = logs.get_logger()
FIRST_SLOT = 1
SECOND_SLOT = 2
JOURNAL_NAMES = {FIRST_SLOT: "journal", SECOND_SLOT: "journal-2"}
DIRECTORY_LOCK_NAME = "places"
SLOT_LOCK_NAME = "place-{slot}"
PROCESS_RECORD_NAME = "process-{slot}"
OWNER_ONLY = 0o600  # file mode


class StateDirectoryInUseError(Exception):
    """Two other processes already hold the state directory."""


@dataclass(frozen=True, slots=True)
class RunningProcess:
    """A process that holds a slot of a state directory; versions before 0.3 have no description."""

    journal_path: Path
    description: ProcessDescription | None


def find_running_process(path: Path) -> RunningProcess | None:
    """Return the process that holds a slot of the state directory at `path`, or None if none does.

    Nothing that a running process can see is changed. Raise StateDirectoryInUseError if two processes run,
    and OSError if the directory cannot be read.
    """
    if not (path / DIRECTORY_LOCK_NAME).exists():
        return None
    with _exclusive(path):
        held_slots = [
            slot for slot in JOURNAL_NAMES if _is_slot_held(path / SLOT_LOCK_NAME.format(slot=slot))
        ]
        if len(held_slots) > 1:
            raise StateDirectoryInUseError(f"two processes hold {path} already")
        for slot in held_slots:
            description = read_description(path / PROCESS_RECORD_NAME.format(slot=slot))
            return RunningProcess(path / JOURNAL_NAMES[slot], description)
    return None


@contextmanager
def _exclusive(path: Path) -> Iterator[None]:
    fd = os.open(path / DIRECTORY_LOCK_NAME, os.O_RDWR | os.O_CREAT, OWNER_ONLY)
    try:
        fcntl.flock(fd, fcntl.LOCK_EX)
        yield
    finally:
        os.close(fd)


def _is_slot_held(path: Path) -> bool:
    try:
        fd = os.open(path, os.O_RDONLY)
    except FileNotFoundError:
        return False
    try:
        return is_locked(fd)
    finally:
        os.close(fd)


class StateDirectory:
    """One process's lock on the state directory, in the first `slot` that was free.

    `peer_running` is whether another process held the other slot when this one was locked.

    The constructor raises OSError if the directory cannot be written, and StateDirectoryInUseError if no slot
    is free.
    """

    def __init__(self, path: Path) -> None:
        path.mkdir(parents=True, exist_ok=True)
        self.path = path
        self.locks: dict[int, int] = {}  # file descriptor by slot
        self.record: ProcessRecord | None = None  # None if it could not be created
        self.description = ProcessDescription()
        with self.exclusive():
            for slot in JOURNAL_NAMES:
                if self.lock_slot(slot):
                    self.slot = slot
                    self.peer_running = self._is_other_slot_held()
                    self._open_record()
                    return
        raise StateDirectoryInUseError(f"two processes hold {path} already")

    @contextmanager
    def exclusive(self) -> Iterator[None]:
        """Prevent other processes from locking or releasing slots while this context is open.

        A process that takes over holds both slots for some milliseconds. A starting process must not mistake
        that for two running processes.
        """
        with _exclusive(self.path):
            yield

    def lock_slot(self, slot: int) -> bool:
        """Lock this slot; return false if another running process holds it."""
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

    def move_to_first_slot(self) -> None:
        """Leave the second slot for the first one, whose journal this process has taken over.

        It is called with both slots locked, in the context of `exclusive`.
        """
        self.unlock_slot(SECOND_SLOT)
        if self.slot == FIRST_SLOT:
            return
        self.slot = FIRST_SLOT
        self._close_record()
        self._open_record()

    def describe(self, description: ProcessDescription) -> None:
        """Tell the other process of this dispatcher about this process, if the directory can be written."""
        self.description = description
        if self.record is None:
            return
        try:
            with self.exclusive():
                self.record.write(description)
        except OSError as error:
            log.warning("process.not-described", error=str(error), key=str(self.record.path))

    def read_peer_description(self) -> ProcessDescription | None:
        """Return the description of the process in the other slot, or None if there is none."""
        try:
            with self.exclusive():
                return read_description(self.path / PROCESS_RECORD_NAME.format(slot=self.other_slot))
        except OSError:
            return None

    def _is_other_slot_held(self) -> bool:
        return _is_slot_held(self.path / SLOT_LOCK_NAME.format(slot=self.other_slot))

    def _open_record(self) -> None:
        path = self.path / PROCESS_RECORD_NAME.format(slot=self.slot)
        try:
            self.record = ProcessRecord(path)
        except OSError as error:
            log.warning("process.not-described", error=str(error), key=str(path))
            return
        self.record.write(self.description)

    def _close_record(self) -> None:
        if self.record is not None:
            self.record.close()
            self.record = None

    def journal_path(self, slot: int) -> Path:
        """Return the path of a slot's journal."""
        return self.path / JOURNAL_NAMES[slot]

    @property
    def other_slot(self) -> int:
        """The slot that this process does not use."""
        return FIRST_SLOT + SECOND_SLOT - self.slot

    def close(self) -> None:
        """Release all slots that this process holds."""
        self._close_record()
        for slot in list(self.locks):
            self.unlock_slot(slot)
