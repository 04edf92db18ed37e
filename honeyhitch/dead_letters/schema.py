"""The store's schema, by version, and how an older one becomes the present one.

The version stands in SQLite's `user_version`, and `application_id` says whose file it is. A newer version, or
a file of someone else's, is refused and left as it was.
"""

from __future__ import annotations

import sqlite3

APPLICATION = 0x686F6E79  # "hony"

FIRST = """
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

SECOND = """
ALTER TABLE record ADD COLUMN told_again INTEGER;
ALTER TABLE record ADD COLUMN asked TEXT NOT NULL DEFAULT '';
CREATE TABLE plan (
    seq INTEGER PRIMARY KEY REFERENCES record (seq) ON DELETE CASCADE,
    destination INTEGER NOT NULL,
    next_at INTEGER NOT NULL
);
CREATE INDEX plan_by_destination ON plan (destination, next_at);
INSERT INTO plan SELECT seq, destination, 0 FROM record WHERE standing = 'kept';
"""  # what a record of the first version has in a new column is left out of its seal (records.LATER)

STEPS = (FIRST, SECOND)  # each makes the next version of the one before it
VERSION = len(STEPS)


class SchemaError(Exception):
    """The file is not one that this version may touch."""


def check(db: sqlite3.Connection) -> int:
    """The file's version, 0 if it is empty; SchemaError if it must not be touched. Nothing is changed."""
    (application,) = db.execute("PRAGMA application_id").fetchone()
    (version,) = db.execute("PRAGMA user_version").fetchone()
    (tables,) = db.execute("SELECT count(*) FROM sqlite_schema").fetchone()
    if application != APPLICATION and (tables or version or application):
        raise SchemaError("is not a store of undelivered messages; it was left as it is")
    if version > VERSION:
        raise SchemaError(
            f"has schema {version} of a newer honeyhitch, this one knows {VERSION}; it was left as it is"
        )
    return int(version)


def migrate(db: sqlite3.Connection) -> int:
    """Bring the file to the present version, at one stroke; the version that it had."""
    before = check(db)
    if before < VERSION:
        steps = "".join(STEPS[before:])
        marks = f"PRAGMA application_id={APPLICATION}; PRAGMA user_version={VERSION};"
        db.executescript(f"BEGIN IMMEDIATE;{steps}{marks}COMMIT;")
    return before
