"""The files of a store: the lock of its one writer, and the opening of its database."""

from __future__ import annotations

import fcntl
import os
import sqlite3
from pathlib import Path
from urllib.parse import quote

from honeyhitch.dead_letters import schema

DATABASE_FILE = "undelivered.db"
KEY_FILE = "keys.json"
LOCK_FILE = "lock"
DIRECTORY_MODE = 0o700
FILE_MODE = 0o600
BUSY_TIMEOUT_SECONDS = 5.0  # how long a statement waits for another connection's lock
CACHE_KILOBYTES = 8_000
JOURNAL_SIZE_BYTES = 4_000_000  # limit of the write-ahead log file between transactions
# The file may exceed the limit of its records by half of that limit and by this overhead.
FILE_OVERHEAD_BYTES = 16_000_000
HOLDER_BYTES = 32  # read from the lock file, which holds the id of the process that has the lock

# sqlite3 raises UnicodeDecodeError if the message of an SQLite error quotes a damaged name.
DAMAGE_ERRORS = (sqlite3.Error, UnicodeDecodeError)


class StoreError(Exception):
    """The store cannot be used; the message names the file and gives the reason."""


class StoreInUseError(StoreError):
    """Another process holds the lock of this store."""


def decode_text(data: bytes) -> str:
    """Return the text of a column, with invalid bytes replaced; the seal of the row detects the damage."""
    return data.decode(errors="replace")


def identity(path: Path) -> tuple[int, int]:
    """Return the device and inode of a file, which a rename does not change. Raise OSError if stat fails."""
    file_status = os.stat(path)
    return file_status.st_dev, file_status.st_ino


def acquire_lock(directory: Path) -> int:
    """Acquire the lock of the store's one writer; return a descriptor that holds it until it is closed.

    Raise StoreError if the lock file cannot be opened, and StoreInUseError if another process holds the lock.
    """
    try:
        directory.mkdir(parents=True, exist_ok=True, mode=DIRECTORY_MODE)
        descriptor = os.open(directory / LOCK_FILE, os.O_RDWR | os.O_CREAT, FILE_MODE)
    except OSError as error:
        raise StoreError(f"{directory}: {error.strerror}") from error
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        holder = os.read(descriptor, HOLDER_BYTES).decode(errors="replace").strip()
        os.close(descriptor)
        message = f"{directory}: process {holder or 'unknown'} writes this store already"
        raise StoreInUseError(message) from None
    os.ftruncate(descriptor, 0)
    os.pwrite(descriptor, str(os.getpid()).encode(), 0)
    return descriptor


def open_for_writing(directory: Path, max_bytes: int) -> sqlite3.Connection:
    """Open the database for its one writer, migrated to the latest schema; `max_bytes` limits its records.

    Raise StoreError if the file cannot be used.
    """
    path = directory / DATABASE_FILE
    if not path.exists():
        os.close(os.open(path, os.O_RDWR | os.O_CREAT, FILE_MODE))
    database = sqlite3.connect(
        path, timeout=BUSY_TIMEOUT_SECONDS, isolation_level=None, check_same_thread=False
    )
    database.text_factory = decode_text
    try:
        schema.read_version(database)  # rejects an unsupported file before anything is changed
        database.execute("PRAGMA auto_vacuum=INCREMENTAL")  # takes effect only while the file is empty
        database.execute("PRAGMA journal_mode=WAL")
        database.execute("PRAGMA synchronous=FULL")
        database.execute("PRAGMA foreign_keys=ON")
        database.execute(f"PRAGMA journal_size_limit={JOURNAL_SIZE_BYTES}")
        database.execute(f"PRAGMA cache_size=-{CACHE_KILOBYTES}")
        (page_bytes,) = database.execute("PRAGMA page_size").fetchone()
        schema.migrate(database)
        max_file_bytes = max_bytes + max_bytes // 2 + FILE_OVERHEAD_BYTES
        database.execute(f"PRAGMA max_page_count={max_file_bytes // page_bytes}")
    except (*DAMAGE_ERRORS, schema.SchemaError) as error:
        database.close()
        raise StoreError(f"{path}: {error}") from error
    return database


def open_for_reading(directory: Path) -> sqlite3.Connection:
    """Open the database read-only, without blocking the writer. Raise StoreError if it cannot be used."""
    path = directory / DATABASE_FILE
    if not path.exists():
        raise StoreError(f"{path}: there is no store")
    uri = f"file:{quote(str(path))}?mode=ro"
    try:
        database = sqlite3.connect(uri, uri=True, timeout=BUSY_TIMEOUT_SECONDS, isolation_level=None)
        database.text_factory = decode_text
        try:
            _require_present_schema(database)
        except (*DAMAGE_ERRORS, schema.SchemaError):
            database.close()
            raise
    except (*DAMAGE_ERRORS, schema.SchemaError) as error:
        raise StoreError(f"{path}: {error}") from error
    return database


def _require_present_schema(database: sqlite3.Connection) -> None:
    if schema.read_version(database) < schema.VERSION:
        raise schema.SchemaError("has an older schema; start a dispatcher once to bring it up to date")
