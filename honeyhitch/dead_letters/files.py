"""The store's files: the lock that one writer has, and the opening of the database."""

from __future__ import annotations

import fcntl
import os
import sqlite3
from pathlib import Path
from urllib.parse import quote

from honeyhitch.dead_letters import schema

DATABASE, KEYS, LOCK = "undelivered.db", "keys.json", "lock"
DAMAGE = (sqlite3.Error, UnicodeDecodeError)  # the latter where SQLite's own words quote a damaged name
PATIENCE = 5.0  # seconds a statement waits for another connection's lock
CACHE = 8_000  # kB
SLACK = 16_000_000  # bytes by which the file may outgrow what its records take, beside half of that again


class StoreError(Exception):
    """The store cannot be used; the message says why, and names the file."""


class StoreInUse(StoreError):
    """Another process writes this store."""


def as_text(data: bytes) -> str:
    """What stands in a column of text; a damaged one is told by its seal."""
    return data.decode(errors="replace")


def lock(folder: Path) -> int:
    """Become the one writer; the descriptor holds the lock until it is closed. Raises StoreError."""
    try:
        folder.mkdir(parents=True, exist_ok=True, mode=0o700)
        fd = os.open(folder / LOCK, os.O_RDWR | os.O_CREAT, 0o600)
    except OSError as error:
        raise StoreError(f"{folder}: {error.strerror}") from error
    try:
        fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        holder = os.read(fd, 32).decode(errors="replace").strip()
        os.close(fd)
        raise StoreInUse(f"{folder}: process {holder or 'unknown'} writes this store already") from None
    os.ftruncate(fd, 0)
    os.pwrite(fd, str(os.getpid()).encode(), 0)
    return fd


def write(folder: Path, most: int) -> sqlite3.Connection:
    """The database for its one writer, brought to the present schema; `most` bounds the file's bytes.

    Raises StoreError.
    """
    path = folder / DATABASE
    if not path.exists():
        os.close(os.open(path, os.O_RDWR | os.O_CREAT, 0o600))
    db = sqlite3.connect(path, timeout=PATIENCE, isolation_level=None, check_same_thread=False)
    db.text_factory = as_text
    try:
        schema.check(db)  # before anything is changed
        db.execute("PRAGMA auto_vacuum=INCREMENTAL")  # heeded by a file that is still empty
        db.execute("PRAGMA journal_mode=WAL")
        db.execute("PRAGMA synchronous=FULL")
        db.execute("PRAGMA foreign_keys=ON")
        db.execute("PRAGMA journal_size_limit=4000000")
        db.execute(f"PRAGMA cache_size=-{CACHE}")
        (page,) = db.execute("PRAGMA page_size").fetchone()
        schema.migrate(db)
        db.execute(f"PRAGMA max_page_count={(most + most // 2 + SLACK) // page}")
    except (*DAMAGE, schema.SchemaError) as error:
        db.close()
        raise StoreError(f"{path}: {error}") from error
    return db


def read(folder: Path) -> sqlite3.Connection:
    """The database for reading alone; its writer is not in the way. Raises StoreError."""
    path = folder / DATABASE
    if not path.exists():
        raise StoreError(f"{path}: there is no store")
    address = f"file:{quote(str(path))}?mode=ro"
    try:
        db = sqlite3.connect(address, uri=True, timeout=PATIENCE, isolation_level=None)
        db.text_factory = as_text
        try:
            if schema.check(db) < schema.VERSION:
                raise schema.SchemaError(
                    "has an older schema; start a dispatcher once to bring it up to date"
                )
        except (*DAMAGE, schema.SchemaError):
            db.close()
            raise
    except (*DAMAGE, schema.SchemaError) as error:
        raise StoreError(f"{path}: {error}") from error
    return db
