"""Follows the journal that the other process of a hand-over writes, reading new records as they appear."""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path

from honeyhitch.journal.record_codec import decode_records
from honeyhitch.journal.settings_names import SettingsNames
from honeyhitch.journal.state import JournalState
from honeyhitch.journal.transactions import Transaction

NO_FILE = -1  # value of `fd` while no file is open


class JournalFollower(JournalState):
    """The state of a journal file that another process writes or wrote; the follower only reads the file."""

    def __init__(
        self,
        path: Path,
        max_remembered: int,
        retention: Callable[[Transaction], int],
        current_names: SettingsNames | None = None,
    ) -> None:
        super().__init__(max_remembered, retention, current_names)
        self.path = path
        self.fd = NO_FILE
        self.read_bytes = 0  # size of the complete records read so far

    def read(self) -> bool:
        """Apply the records written since the last call; return false if there is no file.

        A file that was replaced or became shorter is read from its start, because it holds the whole state.
        If nothing was written, the call takes two system calls. Raise OSError if the file cannot be read.
        """
        try:
            file_status = os.stat(self.path)
        except FileNotFoundError:
            return False
        open_file_status = os.fstat(self.fd) if self.fd != NO_FILE else None
        if (
            open_file_status is None
            or open_file_status.st_ino != file_status.st_ino
            or file_status.st_size < self.read_bytes
        ):
            self._reopen()
        if file_status.st_size > self.read_bytes:
            self._read_up_to(file_status.st_size)
        return True

    def reserved_bytes(self) -> int:
        """Return the disk space in bytes that the writer uses, with that of a compaction if it may do one."""
        if self.fd == NO_FILE:
            return 0
        if self.calls_in_flight is None:
            return self.read_bytes + self.live_bytes
        return self.read_bytes

    def close(self) -> None:
        """Close the file and keep the state."""
        if self.fd != NO_FILE:
            os.close(self.fd)
            self.fd = NO_FILE

    def _reopen(self) -> None:
        self.close()
        self._reset()
        self.fd = os.open(self.path, os.O_RDONLY)
        self.read_bytes = 0

    def _read_up_to(self, size: int) -> None:
        """Apply the complete records up to this file size.

        An incomplete record is read again later, because its writer may truncate it.
        """
        complete_bytes = 0
        for record, end in decode_records(os.pread(self.fd, size - self.read_bytes, self.read_bytes)):
            self.apply(record)
            complete_bytes = end
        self.read_bytes += complete_bytes
