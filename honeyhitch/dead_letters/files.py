"""The store's files: the lock that one writer has, and the opening of the database."""

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
BUSY_TIMEOUT_SECONDS = 5.0  # that a statement waits for another connection's lock
CACHE_KILOBYTES = 8_000
JOURNAL_SIZE_BYTES = 4_000_000  # of the write-ahead log between transactions
FILE_OVERHEAD_BYTES = (
    16_000_000  # by which the file may outgrow what its records take, and half of that again
)
HOLDER_BYTES = 32  # of the lock file, which names the process that holds it

# UnicodeDecodeError stands where SQLite's own message quotes a damaged name.
DAMAGE_ERRORS = (sqlite3.Error, UnicodeDecodeError)


class StoreError(Exception):
    """The store cannot be used; the message says why, and names the file."""


class StoreInUseError(StoreError):
    """Another process writes this store."""


def decode_text(data: bytes) -> str:
    """The text in a column; a damaged one is decoded too, and its seal tells."""
    return data.decode(errors="replace")


def identity(path: Path) -> tuple[int, int]:
    """The device and inode of a file, which stay while it is open and renamed. Raises OSError."""
    status = os.stat(path)
    return status.st_dev, status.st_ino


def acquire_lock(directory: Path) -> int:
    """Become the store's one writer; the descriptor holds the lock until it is closed.

    Raises StoreError, and StoreInUseError where another process writes.
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
    """The database for its one writer, brought to the present schema; `max_bytes` bounds its records.

    Raises StoreError.
    """
    path = directory / DATABASE_FILE
    if not path.exists():
        os.close(os.open(path, os.O_RDWR | os.O_CREAT, FILE_MODE))
    database = sqlite3.connect(
        path, timeout=BUSY_TIMEOUT_SECONDS, isolation_level=None, check_same_thread=False
    )
    database.text_factory = decode_text
    try:
        schema.read_version(database)  # before anything is changed
        database.execute("PRAGMA auto_vacuum=INCREMENTAL")  # heeded by a file that is still empty
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
    """The database for reading alone; it does not block the writer. Raises StoreError."""
    path = directory / DATABASE_FILE
    if not path.exists():
        raise StoreError(f"{path}: there is no store")
    address = f"file:{quote(str(path))}?mode=ro"
    try:
        database = sqlite3.connect(address, uri=True, timeout=BUSY_TIMEOUT_SECONDS, isolation_level=None)
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
