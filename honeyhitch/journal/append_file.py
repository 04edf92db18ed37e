"""A file that is only appended to, or replaced as a whole; a failed write leaves no part of itself behind."""

from __future__ import annotations

import contextlib
import os
from pathlib import Path

OWNER_ONLY = 0o600  # file mode


class AppendFile:
    """An open file. `size` is the number of bytes that were written as a whole.

    The constructor raises OSError if the file cannot be opened.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self.fd = os.open(path, os.O_RDWR | os.O_CREAT | os.O_APPEND, OWNER_ONLY)
        self.size = 0
        self.has_incomplete_end = False  # bytes of a failed write may follow the first `size` bytes

    def append(self, data: bytes) -> None:
        """Write all of `data` at the end. Raise OSError if that failed; the file then ends as before.

        If the incomplete end cannot be removed at once, it is removed before the next write.
        """
        if self.has_incomplete_end:
            self.truncate(self.size)
        try:
            written = os.write(self.fd, data)
        except OSError:
            self.discard_incomplete_end()
            raise
        if written < len(data):  # the disk became full
            self.discard_incomplete_end()
            raise OSError(f"only {written} of {len(data)} bytes were written to {self.path}")
        self.size += written

    def truncate(self, size: int) -> None:
        """Cut the file to its first `size` bytes. Raise OSError if that failed."""
        os.ftruncate(self.fd, size)
        self.size = size
        self.has_incomplete_end = False

    def discard_incomplete_end(self) -> None:
        """Cut the file to the bytes that were written as a whole, now or else before the next write."""
        self.has_incomplete_end = True
        with contextlib.suppress(OSError):
            self.truncate(self.size)

    def replace(self, data: bytes, path: Path, new_path: Path) -> None:
        """Atomically replace the file at `path` by one with these bytes, and continue with that one.

        The bytes are written to `new_path` first. Raise OSError and continue with the old file if that
        failed.
        """
        fd = os.open(new_path, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND, OWNER_ONLY)
        try:
            written = os.write(fd, data)
            if written < len(data):
                raise OSError(f"only {written} of {len(data)} bytes were written to {new_path}")
            os.rename(new_path, path)
        except OSError:
            with contextlib.suppress(OSError):
                os.close(fd)
            with contextlib.suppress(OSError):
                new_path.unlink(missing_ok=True)
            raise
        old_fd = self.fd
        self.path = path
        self.fd = fd
        self.size = len(data)
        self.has_incomplete_end = False
        with contextlib.suppress(OSError):
            os.close(old_fd)

    def close(self) -> None:
        """Close the file."""
        os.close(self.fd)
