"""The connection to a store: its lock, its database, its keys and its transactions."""

from __future__ import annotations

import os
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

from honeyhitch.dead_letters import files
from honeyhitch.dead_letters.files import StoreError
from honeyhitch.dead_letters.record_codec import RecordCodec
from honeyhitch.dead_letters.seal import SealError, SealKeys
from honeyhitch.dead_letters.settings import ResendSettings, StoreLimits

NOT_LOCKED = -1  # value of the lock file's descriptor while the lock is not held
DEFAULT_COMPRESS_MIN_BYTES = 512  # size from which a body is compressed


class StoreConnection:
    """A connection to one store. With `writes` it holds the lock until `close`; without, it only reads.

    The constructor raises StoreError if the files cannot be used, and StoreInUseError if another process
    writes the store.
    """

    def __init__(
        self,
        directory: Path,
        limits: StoreLimits | None = None,
        compress_min_bytes: int = DEFAULT_COMPRESS_MIN_BYTES,
        clock: Callable[[], int] = time.time_ns,
        writes: bool = True,
        resend_settings: ResendSettings | None = None,
    ) -> None:
        self.directory = directory
        self.limits = limits or StoreLimits()
        self.clock = clock
        self.resend_settings = resend_settings or ResendSettings()
        self.codec = RecordCodec(compress_min_bytes)
        self.record_count = 0
        self.stored_bytes = 0
        self._keys_version = (0, 0)  # modification time (ns) and inode of the key file at its last refresh
        self._lock_descriptor = files.acquire_lock(directory) if writes else NOT_LOCKED
        try:
            self._open(writes)
        except BaseException:
            self._unlock()
            raise

    @property
    def writable(self) -> bool:
        """Whether this process holds the lock and may write."""
        return self._lock_descriptor != NOT_LOCKED

    def _open(self, writes: bool) -> None:
        if writes:
            self.database = files.open_for_writing(self.directory, self.limits.max_bytes)
        else:
            self.database = files.open_for_reading(self.directory)
        try:
            self._load(writes)
        except BaseException:
            self.database.close()
            raise

    def _load(self, writes: bool) -> None:
        try:
            totals = self.database.execute("SELECT count(*), total(size) FROM record").fetchone()
            self.record_count, self.stored_bytes = totals
            (last_key,) = self.database.execute("SELECT max(key_number) FROM detail").fetchone()
            # If the key file was lost, its replacement starts with a key number that no record has, so that
            # records sealed with a lost key are reported as unverifiable.
            first_number = last_key + 1 if isinstance(last_key, int) else 1
            self._file_identity = files.identity(self.directory / files.DATABASE_FILE)
            self.keys = SealKeys.load(self.directory / files.KEY_FILE, writes, first_number)
        except files.DAMAGE_ERRORS as error:
            raise StoreError(f"{self.directory / files.DATABASE_FILE}: {error}") from error
        except SealError as error:
            raise StoreError(str(error)) from error

    def path_names_open_file(self) -> bool:
        """Return whether the path still names the open file; writes to a moved file would be lost."""
        try:
            return files.identity(self.directory / files.DATABASE_FILE) == self._file_identity
        except OSError:
            return False

    def close(self) -> None:
        """Close the database and release the lock."""
        self.database.close()
        self._unlock()

    def _unlock(self) -> None:
        if self.writable:
            os.close(self._lock_descriptor)
            self._lock_descriptor = NOT_LOCKED

    @contextmanager
    def transaction(self) -> Iterator[None]:
        """Commit all writes in this context together, or none after an exception.

        A nested transaction joins the outer one.
        """
        if self.database.in_transaction:
            yield
            return
        self.database.execute("BEGIN IMMEDIATE")
        totals_before = self.record_count, self.stored_bytes
        try:
            yield
            self.database.execute("COMMIT")
        except BaseException:
            self.record_count, self.stored_bytes = totals_before
            if self.database.in_transaction:
                self.database.execute("ROLLBACK")
            raise

    def refresh_keys(self) -> None:
        """Read the key file again if this connection only reads and the writer has replaced the file."""
        if self.writable:
            return
        path = self.directory / files.KEY_FILE
        try:
            file_status = os.stat(path)
            version = file_status.st_mtime_ns, file_status.st_ino
            if version != self._keys_version:
                self.keys = SealKeys.load(path)
                self._keys_version = version
        except (OSError, SealError):
            pass  # keep the known keys; a record that they cannot verify is reported with a fault

    def save_keys(self) -> None:
        """Write the key file. Raise SealError if that fails."""
        self.keys.save(self.directory / files.KEY_FILE)
