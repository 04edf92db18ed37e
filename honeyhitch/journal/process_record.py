"""What a process tells the other process of its dispatcher: the addresses it shares and its features.

Each process keeps one file, which it locks until it ends (flock(2)). A file that nobody locks was left by a
process that has ended. A version that writes no such file holds its slot without one.
"""

from __future__ import annotations

import fcntl
import json
import os
from dataclasses import asdict, dataclass
from pathlib import Path

from honeyhitch import logs

log = logs.get_logger()
OWNER_ONLY = 0o600  # file mode
MAX_FILE_BYTES = 512  # one disk block; the journal leaves room for one such file of each process


@dataclass(frozen=True, slots=True)
class ProcessDescription:
    """The part of a running process that another process of the same dispatcher has to know."""

    serving: bool = False  # whether it has opened its listeners
    shared_addresses: tuple[str, ...] = ()  # HOST:PORT, on which the other process may listen as well
    features: tuple[str, ...] = ()  # tables of the operator's file that two processes cannot use at once


class ProcessRecord:
    """The description of this process, readable by other processes while this process runs."""

    def __init__(self, path: Path) -> None:
        """Lock the file at `path`. Raise OSError if that is impossible."""
        self.path = path
        self.fd = os.open(path, os.O_RDWR | os.O_CREAT, OWNER_ONLY)
        try:
            fcntl.flock(self.fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self.fd)
            raise

    def write(self, description: ProcessDescription) -> None:
        """Replace the description. If it cannot be written, other processes find none."""
        data = json.dumps(asdict(description)).encode()
        try:
            os.ftruncate(self.fd, 0)
            if len(data) <= MAX_FILE_BYTES:
                os.pwrite(self.fd, data, 0)
        except OSError as error:
            log.warning("process.not-described", error=str(error), key=str(self.path))

    def close(self) -> None:
        """Release the file."""
        os.close(self.fd)


def read_description(path: Path) -> ProcessDescription | None:
    """Return the description of the running process that holds the file.

    Return None if no process holds it, or if its process could not write it. Raise OSError if the file cannot
    be read.
    """
    try:
        fd = os.open(path, os.O_RDONLY)
    except FileNotFoundError:
        return None
    try:
        return _parse(os.pread(fd, MAX_FILE_BYTES, 0)) if is_locked(fd) else None
    finally:
        os.close(fd)


def is_locked(fd: int) -> bool:
    """Return whether another process holds a lock on an open file, which this one leaves unlocked."""
    try:
        fcntl.flock(fd, fcntl.LOCK_SH | fcntl.LOCK_NB)
    except BlockingIOError:
        return True
    fcntl.flock(fd, fcntl.LOCK_UN)
    return False


def _parse(data: bytes) -> ProcessDescription | None:
    try:
        fields = json.loads(data)
        return ProcessDescription(
            serving=bool(fields["serving"]),
            shared_addresses=tuple(fields["shared_addresses"]),
            features=tuple(fields["features"]),
        )
    except (ValueError, KeyError, TypeError):
        return None
