"""The store of undelivered messages: records under seal in SQLite, written by one process.

Every call does I/O: a running dispatcher makes them in a thread of their own (writer.py). sqlite3.Error comes
through where the disk fails or the file is damaged.
"""

from __future__ import annotations

import os
import time
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import zstandard

from honeyhitch.dead_letters import files
from honeyhitch.dead_letters.files import StoreError
from honeyhitch.dead_letters.filters import Filter
from honeyhitch.dead_letters.records import (
    OPEN,
    Dropped,
    Record,
    RecordStatus,
    StoredRecord,
    canonical,
    pack_tries,
    unpack_tries,
)
from honeyhitch.dead_letters.seal import Keys, SealError
from honeyhitch.dead_letters.settings import Limits, Terms
from honeyhitch.journal.transactions import Attempt

LEVEL = 3  # of compression
LARGEST = 16 << 20  # bytes of a body when unpacked; nothing that was taken on is greater
FIXED = 300  # bytes of a record beside its texts, as counted against the limit
STEP = 200  # records dropped, sealed or read at a time
COLUMNS = (
    "id", "ended_at", "came_at", "deadline", "destination", "cls", "effect", "window", "zoned", "tenant",
    "key", "front", "came_again", "ending", "reason", "come_back", "first_ran", "first_zone", "standing",
    "settled_by", "evidence", "resends", "resend_id", "changed_at", "told_again", "asked", "plain", "size",
)  # fmt: skip
DETAIL = ("tries", "packed", "body", "key_number", "seal")
SELECT = f"SELECT record.seq, {', '.join(f'record.{name}' for name in COLUMNS)}"
WHOLE = f"{SELECT}, {', '.join(f'detail.{name}' for name in DETAIL)} FROM record LEFT JOIN detail USING (seq)"
TABLES = ("plan", "detail", "record")  # with something of each record; the one that the others name last
DELIVERED = "delivered"  # the ending of a client's copy that settles a record
AUDIT = ("at", "seq", "id", "who", "what", "why")
DROP_ORDER = (  # whoever may have been applied, with nobody to say so yet, goes last
    (RecordStatus.REPLACED, 0),
    (RecordStatus.REPLACED, 1),
    (RecordStatus.SETTLED, 0),
    (RecordStatus.SETTLED, 1),
    (RecordStatus.DISCARDED, 0),
    (RecordStatus.DISCARDED, 1),
    (RecordStatus.KEPT, 0),
    (RecordStatus.KEPT, 1),
)


class Store:
    """One store. With `writes` it has the lock until `close`; without, it only reads. Raises StoreError."""

    def __init__(
        self,
        folder: Path,
        limits: Limits | None = None,
        compress_from: int = 512,
        clock: Callable[[], int] = time.time_ns,
        writes: bool = True,
        terms: Terms | None = None,
    ) -> None:
        self.terms = terms or Terms()
        self.folder, self.limits, self.clock = folder, limits or Limits(), clock
        self.compress_from, self.count, self.size, self.keys_at = compress_from, 0, 0, (0, 0)
        self.packer, self.unpacker = zstandard.ZstdCompressor(LEVEL), zstandard.ZstdDecompressor()
        self.lock = files.lock(folder) if writes else -1
        try:
            self.db = files.write(folder, self.limits.size) if writes else files.read(folder)
            try:
                self._open(writes)
            except BaseException:
                self.db.close()
                raise
        except BaseException:
            self._unlock()
            raise

    def _open(self, writes: bool) -> None:
        try:
            self.count, self.size = self.db.execute("SELECT count(*), total(size) FROM record").fetchone()
            (last,) = self.db.execute("SELECT max(key_number) FROM detail").fetchone()
            # A lost key file is made anew under a number of its own: what the lost key sealed stays unproved.
            least = last + 1 if isinstance(last, int) else 1
            told = os.stat(self.folder / files.DATABASE)
            self.file = told.st_dev, told.st_ino
            self.keys = Keys.load(self.folder / files.KEYS, writes, least)
        except files.DAMAGE as error:
            raise StoreError(f"{self.folder / files.DATABASE}: {error}") from error
        except SealError as error:
            raise StoreError(str(error)) from error

    def there(self) -> bool:
        """Whether the file that is open still lies in its place: what is written to one that was moved away
        would be lost.
        """
        try:
            now = os.stat(self.folder / files.DATABASE)
        except OSError:
            return False
        return (now.st_dev, now.st_ino) == self.file

    def close(self) -> None:
        """Let go of the files."""
        self.db.close()
        self._unlock()

    def _unlock(self) -> None:
        if self.lock >= 0:
            os.close(self.lock)
            self.lock = -1

    @contextmanager
    def at_once(self) -> Iterator[None]:
        """What is done inside is there whole or not at all; one inside another is part of it."""
        if self.db.in_transaction:
            yield
            return
        self.db.execute("BEGIN IMMEDIATE")
        before = self.count, self.size
        try:
            yield
            self.db.execute("COMMIT")
        except BaseException:
            self.count, self.size = before
            if self.db.in_transaction:
                self.db.execute("ROLLBACK")
            raise

    # What is written.

    def add(self, records: Iterable[Record]) -> list[Dropped]:
        """Keep them; one that is there already is left as it is. What had to go for room, or for its age."""
        with self.at_once():
            for record in records:
                if record.ending == DELIVERED:
                    self._settle_by(record)
                elif self._known(record) is None:
                    open_ones = self._same_key(record)
                    under_way = [one for one in open_ones if one.standing is RecordStatus.SENDING]
                    if under_way:  # it waited for a resend, and ended before that did
                        record.standing = RecordStatus.REPLACED
                        record.settled_by = f"record:{under_way[0].seq}"
                    self._insert(record)
                    for one in open_ones:
                        self._replace(one, record)
            return self.make_room()

    def _known(self, record: Record) -> int | None:
        text = "SELECT seq FROM record WHERE id = ? AND ended_at = ?"
        row = self.db.execute(text, (record.id, record.ended_at)).fetchone()
        return int(row[0]) if row is not None else None

    def _same_key(self, record: Record) -> list[Record]:
        """Records that are still open and of which this one is a copy."""
        if not record.key:
            return []
        text = f"{WHOLE} WHERE record.destination = ? AND record.key = ? AND record.ended_at > ?"
        values = (record.destination, record.key, record.ended_at - self.terms.memory)
        found = [self._kept(row) for row in self.db.execute(text, values)]
        open_ones = [one.record for one in found if not one.fault and one.record.standing in OPEN]
        return [one for one in open_ones if one.id != record.id]

    def _replace(self, old: Record, new: Record) -> None:
        """A copy of a kept message ended undelivered: one record stands for both, with what either may have
        done.
        """
        if new.standing is RecordStatus.REPLACED:
            old.told_again = max(old.told_again or 0, new.told_again or 0) or None
            self.change(old, "honeyhitch", "copy-ended", f"message {new.id} waited for it")
            return
        old.standing, old.settled_by = RecordStatus.REPLACED, f"record:{new.seq}"
        self.change(old, "honeyhitch", "replaced", f"message {new.id} has its key")
        if old.first_ran is not None and (new.first_ran is None or old.first_ran < new.first_ran):
            new.first_ran, new.first_zone = old.first_ran, old.first_zone
        new.resends, new.came_at = max(new.resends, old.resends), min(new.came_at, old.came_at)
        new.came_again = new.came_again or old.came_again
        self.change(new, "honeyhitch", "replaces", f"message {old.id}")

    def _settle_by(self, copy: Record) -> None:
        """A client's copy was delivered: nothing is owed for the records with its key. One with another body
        may be a message of its own; all that is sure then is that the key has been used.
        """
        for one in self._same_key(copy):
            if one.body == copy.body:
                one.standing, one.settled_by = RecordStatus.SETTLED, f"copy:{copy.id}"
                self.change(one, "honeyhitch", "settled", f"message {copy.id} was delivered with its key")
            else:
                one.first_ran = min(one.first_ran or copy.ended_at, copy.first_ran or copy.ended_at)
                one.evidence = ""
                why = f"message {copy.id} was delivered with its key and another body"
                self.change(one, "honeyhitch", "key-used", why)

    def _insert(self, record: Record) -> None:
        columns, tries, packed, body = self._stored(record)
        names, marks = ", ".join(COLUMNS), ", ".join("?" * len(COLUMNS))
        cursor = self.db.execute(f"INSERT INTO record ({names}) VALUES ({marks})", list(columns.values()))
        record.seq = int(cursor.lastrowid or 0)
        self._detail(record.seq, columns, tries, packed, body)
        self.replan(record, 0)
        self.count, self.size = self.count + 1, self.size + columns["size"]

    def replan(self, record: Record, at: int | None) -> None:
        """When the record is to be looked at next for a resend; never by itself if that is None. The plan is
        under no seal: whatever it says, the record and the rules decide.
        """
        if at is None or record.standing is not RecordStatus.KEPT:
            self.db.execute("DELETE FROM plan WHERE seq = ?", (record.seq,))
        else:
            row = (record.seq, record.destination, at)
            self.db.execute("INSERT OR REPLACE INTO plan (seq, destination, next_at) VALUES (?, ?, ?)", row)

    def _stored(self, record: Record) -> tuple[dict[str, Any], str, int, bytes]:
        tries, body, packed = pack_tries(record.tries), record.body, 0
        if len(body) >= self.compress_from and len(small := self.packer.compress(body)) < len(body):
            body, packed = small, 1
        columns = {name: getattr(record, name, None) for name in COLUMNS}
        columns |= {"standing": record.standing.value, "plain": len(record.body)}
        columns |= {"zoned": int(record.zoned), "came_again": int(record.came_again)}
        texts = sum(len(value) for value in columns.values() if isinstance(value, str))
        columns["size"] = FIXED + texts + len(tries) + len(body)
        return columns, tries, packed, body

    def _detail(self, seq: int, columns: dict[str, Any], tries: str, packed: int, body: bytes) -> None:
        number, seal = self.keys.seal(
            canonical({**columns, "seq": seq, "tries": tries, "packed": packed}, body)
        )
        self.db.execute(
            "INSERT OR REPLACE INTO detail (seq, tries, packed, body, key_number, seal)"
            " VALUES (?, ?, ?, ?, ?, ?)",
            (seq, tries, packed, body, number, seal),
        )

    def change(self, record: Record, who: str, what: str, why: str) -> None:
        """Put a record's present state in the place of its old one, with an audit record."""
        with self.at_once():
            record.changed_at = self.clock()
            columns, tries, packed, body = self._stored(record)
            old = self.db.execute("SELECT size FROM record WHERE seq = ?", (record.seq,)).fetchone()
            if old is None:
                raise KeyError(record.seq)
            names = ", ".join(f"{name} = ?" for name in COLUMNS)
            self.db.execute(f"UPDATE record SET {names} WHERE seq = ?", [*columns.values(), record.seq])
            self._detail(record.seq, columns, tries, packed, body)
            self.replan(record, 0)
            self.size += columns["size"] - old[0]
            self.note(record.seq, record.id, who, what, why)

    def note(self, seq: int, name: str, who: str, what: str, why: str) -> None:
        """An audit record."""
        row: dict[str, Any] = dict(zip(AUDIT, (self.clock(), seq, name, who, what, why), strict=True))
        number, seal = self.keys.seal(canonical(row, b""))
        self.db.execute(
            "INSERT INTO audit (at, seq, id, who, what, why, key_number, seal)"
            " VALUES (?, ?, ?, ?, ?, ?, ?, ?)",
            (*row.values(), number, seal),
        )

    def make_room(self) -> list[Dropped]:
        """Drop what is over age and, till the rest fits, what is missed least; resends under way stay."""
        dropped: list[Dropped] = []
        with self.at_once():
            oldest = self.clock() - self.limits.age
            old = "ended_at < ? AND standing <> 'sending'"
            for ran in (0, 1):
                dropped += self._drop("age", ran, f"{old} AND (first_ran IS NOT NULL) = ?", (oldest, ran))
            self.db.execute("DELETE FROM audit WHERE at < ?", (oldest,))
            for standing, ran in DROP_ORDER:
                over = max(self.count - self.limits.count, 0)
                while over or self.size > self.limits.size:
                    where = "standing = ? AND (first_ran IS NOT NULL) = ? ORDER BY seq"
                    some = self._drop("room", ran, where, (standing.value, ran), over or 1)
                    if not some:
                        break
                    dropped += some
                    over = max(self.count - self.limits.count, 0)
        return dropped

    def _drop(
        self, why: str, ran: int, where: str, values: tuple[object, ...], most: int = -1
    ) -> list[Dropped]:
        rows = self.db.execute(f"SELECT seq, id, size FROM record WHERE {where} LIMIT ?", (*values, most))
        gone = rows.fetchall()
        if not gone:
            return []
        size = sum(row[2] for row in gone)
        for table in TABLES:
            self.db.executemany(f"DELETE FROM {table} WHERE seq = ?", [(row[0],) for row in gone])
        self.count, self.size = self.count - len(gone), self.size - size
        self.db.execute(
            "INSERT INTO dropped VALUES (?, ?, ?, ?) ON CONFLICT (why, may_have_run)"
            " DO UPDATE SET count = count + excluded.count, size = size + excluded.size",
            (why, ran, len(gone), size),
        )
        return [Dropped(why, bool(ran), len(gone), size, tuple(str(row[1]) for row in gone[:5]))]

    def purge(self, chosen: Filter, who: str, why: str, most: int = STEP) -> int:
        """Delete some of the chosen records that are settled or discarded; how many. 0 means all are gone."""
        with self.at_once():
            where, values = chosen.where("record.standing IN ('settled', 'discarded', 'replaced')")
            rows = self.db.execute(f"SELECT seq, id, size FROM record WHERE {where} LIMIT ?", (*values, most))
            gone = rows.fetchall()
            for seq, name, size in gone:
                self._remove(seq, name, size, who, why)
        return len(gone)

    def remove(self, record: Record, who: str, why: str) -> int:
        """Delete one record, whatever stands in it; how many that were."""
        with self.at_once():
            row = self.db.execute("SELECT size FROM record WHERE seq = ?", (record.seq,)).fetchone()
            if row is None:
                return 0
            size = row[0] if isinstance(row[0], int) else 0
            self._remove(record.seq, str(record.id), size, who, why)
        return 1

    def _remove(self, seq: int, name: str, size: int, who: str, why: str) -> None:
        self.note(seq, name, who, "purge", why)
        for table in TABLES:
            self.db.execute(f"DELETE FROM {table} WHERE seq = ?", (seq,))
        self.count, self.size = self.count - 1, self.size - size

    def tidy(self) -> None:
        """Give some of the room that was freed back to the disk."""
        self.db.execute("PRAGMA incremental_vacuum(256)").fetchall()

    # What is read.

    def _kept(self, row: tuple[Any, ...]) -> StoredRecord:
        """The record in a row of WHOLE, its seal looked at; whatever stands there, this does not fail."""
        seq, *middle = row[: 1 + len(COLUMNS)]
        columns = dict(zip(COLUMNS, middle, strict=True))
        tries, packed, body, number, seal = row[1 + len(COLUMNS) :]
        fault, told = "", dict(columns)
        plain, history = b"", tuple[Attempt, ...]()
        try:
            standing = RecordStatus(told.pop("standing"))
            sealed = canonical({**columns, "seq": seq, "tries": tries, "packed": packed}, body)
            if number not in self.keys.keys:
                fault = f"sealed with key {number}, which is not there"
            elif not self.keys.proves(number, seal, sealed):
                fault = "altered since it was sealed"
            else:
                history = unpack_tries(tries)
                plain = self.unpacker.decompress(body, max_output_size=LARGEST) if packed else body
        except (TypeError, ValueError, KeyError, zstandard.ZstdError) as error:
            standing, fault = RecordStatus.KEPT, f"altered: {error}"
        told.pop("standing", None), told.pop("plain"), told.pop("size")
        told["zoned"], told["came_again"] = bool(told["zoned"]), bool(told["came_again"])
        return StoredRecord(Record(seq=seq, standing=standing, tries=history, body=plain, **told), fault)

    def get(self, seq: int) -> StoredRecord | None:
        """One record."""
        self._fresh_keys()
        row = self.db.execute(f"{WHOLE} WHERE record.seq = ?", (seq,)).fetchone()
        return self._kept(row) if row is not None else None

    def page(
        self, chosen: Filter, after: int = 0, most: int = 50, newest_first: bool = False
    ) -> list[StoredRecord]:
        """The next records after this place, in the order in which they came or the reverse."""
        self._fresh_keys()
        beyond, order = "<" if newest_first and after else ">", "DESC" if newest_first else "ASC"
        where, values = chosen.where()
        text = f"{WHOLE} WHERE record.seq {beyond} ? AND {where} ORDER BY record.seq {order} LIMIT ?"
        return [self._kept(row) for row in self.db.execute(text, (after, *values, most))]

    def all(self, chosen: Filter) -> Iterator[StoredRecord]:
        """Each of them, read a page at a time; the store may change meanwhile."""
        after = 0
        while some := self.page(chosen, after, STEP):
            yield from some
            after = some[-1].record.seq

    def counted(self, chosen: Filter, by: tuple[str, ...]) -> list[dict[str, Any]]:
        """How many records, and bytes of bodies, for each combination of these columns."""
        names = {"may_have_run": "record.first_ran IS NOT NULL", "day": "record.ended_at / 86400000000000"}
        groups = [names.get(name, f"record.{name}") for name in by]
        where, values = chosen.where()
        text = f"SELECT {', '.join([*groups, 'count(*)', 'total(plain)'])} FROM record WHERE {where}"
        text += f" GROUP BY {', '.join(groups)} ORDER BY {', '.join(groups)}" if groups else ""
        rows = self.db.execute(text, values)
        return [dict(zip((*by, "count", "bytes"), row, strict=True)) for row in rows]

    def dropped(self) -> list[dict[str, Any]]:
        """What had to go so far."""
        rows = self.db.execute(
            "SELECT why, may_have_run, count, size FROM dropped ORDER BY why, may_have_run"
        )
        names = ("why", "may_have_run", "count", "bytes")
        return [dict(zip(names, row, strict=True)) | {"may_have_run": bool(row[1])} for row in rows]

    def audit(self, seq: int | None = None, after: int = 0, most: int = STEP) -> list[dict[str, Any]]:
        """Audit records of one record, or of all, oldest first; `intact` tells of each one's seal."""
        self._fresh_keys()
        where, values = ("seq = ? AND ", (seq,)) if seq is not None else ("", ())
        text = f"SELECT number, {', '.join(AUDIT)}, key_number, seal FROM audit WHERE {where}number > ?"
        found = []
        for number, *rest in self.db.execute(f"{text} ORDER BY number LIMIT ?", (*values, after, most)):
            row = dict(zip(AUDIT, rest[:-2], strict=True))
            try:
                intact = self.keys.proves(rest[-2], rest[-1], canonical(row, b""))
            except TypeError:
                intact = False
            found.append({"number": number, **row, "intact": intact})
        return found

    # Care.

    def verify(self) -> Iterator[str]:
        """Every fault that is found in the file, its records and its audit records, one line each."""
        for (line,) in self.db.execute("PRAGMA integrity_check(100)"):
            if line != "ok":
                yield f"file: {line}"
        for kept in self.all(Filter()):
            if kept.fault:
                yield f"record {kept.record.seq} ({kept.record.id}): {kept.fault}"
        after = 0
        while some := self.audit(after=after):
            yield from (
                f"audit {row['number']}: altered since it was sealed" for row in some if not row["intact"]
            )
            after = some[-1]["number"]

    def rekey(self) -> int:
        """A new key seals from now on; one that has not taken over everything yet goes on doing so. Its
        number. `reseal` does the rest, `settle_keys` ends it; till then the old keys prove, too, so that it
        may be broken off at any moment.
        """
        if len(self.keys.keys) == 1:
            self.keys.add()
            self.keys.save(self.folder / files.KEYS)
        return self.keys.current

    def reseal(self, after: int = 0) -> int | None:
        """Seal the next records after this one with the newest key; the last one seen, None at the end."""
        with self.at_once():
            some = self.page(Filter(), after, STEP)
            for kept in some:
                if not kept.fault:
                    self._detail(kept.record.seq, *self._stored(kept.record))
        return some[-1].record.seq if some else None

    def reseal_audit(self, after: int = 0) -> int | None:
        """The same for audit records."""
        with self.at_once():
            rows = self.audit(after=after)
            for row in rows:
                if row["intact"]:
                    told = canonical({name: row[name] for name in AUDIT}, b"")
                    self.db.execute(
                        "UPDATE audit SET key_number = ?, seal = ? WHERE number = ?",
                        (*self.keys.seal(told), row["number"]),
                    )
        return rows[-1]["number"] if rows else None

    def settle_keys(self) -> int:
        """Drop the old keys, unless something is left that only they could prove: how much."""
        left = 0
        for table in ("detail", "audit"):
            text = f"SELECT count(*) FROM {table} WHERE key_number IS NOT ?"
            left += self.db.execute(text, (self.keys.current,)).fetchone()[0]
        if not left:
            self.keys.drop_old()
            self.keys.save(self.folder / files.KEYS)
        return int(left)

    def _fresh_keys(self) -> None:  # for a reader: the writer may have a new key
        try:
            told = os.stat(self.folder / files.KEYS)
            now = told.st_mtime_ns, told.st_ino
            if self.lock < 0 and now != self.keys_at:
                self.keys, self.keys_at = Keys.load(self.folder / files.KEYS), now
        except (OSError, SealError):
            pass  # those that were read will do, or show what they cannot prove
