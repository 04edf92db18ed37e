"""The schema of the store's database by version, and the migration from older versions.

SQLite's `user_version` holds the schema version, and `application_id` marks the file as a store. A file with
a newer version, or of another program, is rejected and not changed.
"""

from __future__ import annotations

import sqlite3

APPLICATION_ID = 0x686F6E79  # "hony" in ASCII

SCHEMA_1 = """
CREATE TABLE record (
    seq INTEGER PRIMARY KEY AUTOINCREMENT,
    id TEXT NOT NULL,
    ended_at INTEGER NOT NULL,
    came_at INTEGER NOT NULL,
    deadline INTEGER NOT NULL,
    destination INTEGER NOT NULL,
    cls TEXT NOT NULL,
    effect TEXT NOT NULL,
    window INTEGER NOT NULL,
    zoned INTEGER NOT NULL,
    tenant TEXT NOT NULL,
    key TEXT NOT NULL,
    front TEXT NOT NULL,
    came_again INTEGER NOT NULL,
    ending TEXT NOT NULL,
    reason TEXT NOT NULL,
    come_back INTEGER NOT NULL,
    first_ran INTEGER,
    first_zone INTEGER NOT NULL,
    standing TEXT NOT NULL,
    settled_by TEXT NOT NULL,
    evidence TEXT NOT NULL,
    resends INTEGER NOT NULL,
    resend_id TEXT NOT NULL,
    changed_at INTEGER NOT NULL,
    plain INTEGER NOT NULL,
    size INTEGER NOT NULL,
    UNIQUE (id, ended_at)
);
CREATE INDEX record_by_destination ON record (destination, seq);
CREATE INDEX record_by_end ON record (ended_at);
CREATE INDEX record_by_key ON record (destination, key);
CREATE INDEX record_to_drop ON record (standing, first_ran IS NOT NULL, seq);
CREATE TABLE detail (
    seq INTEGER PRIMARY KEY REFERENCES record (seq) ON DELETE CASCADE,
    tries TEXT NOT NULL,
    packed INTEGER NOT NULL,
    body BLOB NOT NULL,
    key_number INTEGER NOT NULL,
    seal BLOB NOT NULL
);
CREATE TABLE audit (
    number INTEGER PRIMARY KEY AUTOINCREMENT,
    at INTEGER NOT NULL,
    seq INTEGER NOT NULL,
    id TEXT NOT NULL,
    who TEXT NOT NULL,
    what TEXT NOT NULL,
    why TEXT NOT NULL,
    key_number INTEGER NOT NULL,
    seal BLOB NOT NULL
);
CREATE INDEX audit_by_record ON audit (seq);
CREATE TABLE dropped (
    why TEXT NOT NULL,
    may_have_run INTEGER NOT NULL,
    count INTEGER NOT NULL,
    size INTEGER NOT NULL,
    PRIMARY KEY (why, may_have_run)
);
"""

# The added columns are left out of a record's sealed bytes while they hold their defaults, so that the seals
# of older records stay valid (record_codec.ADDED_COLUMN_DEFAULTS).
SCHEMA_2 = """
ALTER TABLE record ADD COLUMN told_again INTEGER;
ALTER TABLE record ADD COLUMN asked TEXT NOT NULL DEFAULT '';
CREATE TABLE plan (
    seq INTEGER PRIMARY KEY REFERENCES record (seq) ON DELETE CASCADE,
    destination INTEGER NOT NULL,
    next_at INTEGER NOT NULL
);
CREATE INDEX plan_by_destination ON plan (destination, next_at);
INSERT INTO plan SELECT seq, destination, 0 FROM record WHERE standing = 'kept';
"""

MIGRATIONS = (SCHEMA_1, SCHEMA_2)  # item N migrates a file from version N to version N + 1
VERSION = len(MIGRATIONS)


class SchemaError(Exception):
    """The file is not a store, or its schema version is not supported; the message gives the reason."""


def read_version(database: sqlite3.Connection) -> int:
    """Return the schema version of the file, or 0 if it is empty, without changing the file.

    Raise SchemaError if the version is newer than VERSION or the file is not a store.
    """
    (application_id,) = database.execute("PRAGMA application_id").fetchone()
    (version,) = database.execute("PRAGMA user_version").fetchone()
    (table_count,) = database.execute("SELECT count(*) FROM sqlite_schema").fetchone()
    if application_id != APPLICATION_ID and (table_count or version or application_id):
        raise SchemaError("is not a store of undelivered messages; it was left as it is")
    if version > VERSION:
        raise SchemaError(
            f"has schema {version} of a newer honeyhitch, this one knows {VERSION}; it was left as it is"
        )
    return int(version)


def migrate(database: sqlite3.Connection) -> int:
    """Migrate the file to VERSION in one transaction; return the version that it had before.

    Raise SchemaError if the version is newer than VERSION or the file is not a store.
    """
    version_before = read_version(database)
    if version_before < VERSION:
        statements = "".join(MIGRATIONS[version_before:])
        pragmas = f"PRAGMA application_id={APPLICATION_ID}; PRAGMA user_version={VERSION};"
        database.executescript(f"BEGIN IMMEDIATE;{statements}{pragmas}COMMIT;")
    return version_before
