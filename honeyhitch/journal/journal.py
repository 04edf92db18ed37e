"""The journal: append-only, with a length and a checksum before each record.

A record is written before the act that it covers. What a write leaves in the file survives the process,
so nothing is synced. A torn tail is cut when the journal is opened.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import astuple
from pathlib import Path

from honeyhitch import logs
from honeyhitch.journal.state import (
    MAX_RECORD_BYTES,
    STORED_DETAIL,
    STORED_FIELDS,
    STORED_STATE,
    JournalState,
    decode_records,
    encode_record,
)
from honeyhitch.journal.transactions import Attempt, Ending, Transaction

log = logs.get()
DISK_BYTES_PER_REMEMBERED_ID = (
    600  # bytes of the disk for each id or key that is remembered; it takes some 45 of them
)
MAX_IDS_PER_RECORD = 1000  # ids or keys in one record
DISK_BLOCK_BYTES = 512  # the disk counts files in whole blocks
ACCEPT_FRACTION, WRITE_FRACTION, COMPACT_FRACTION = (
    0.75,
    0.95,
    0.3,
)  # of the disk: take, write at all, tidy up
MIN_COMPACTION_GAIN = 0.125  # of the file; for less it is not written anew, which costs milliseconds

JOURNAL_VERSION = 1  # of the records' form


def _stored(transaction: Transaction, names: dict[str, str]) -> dict[str, object]:
    return {stored: getattr(transaction, field) for stored, field in names.items()}


class JournalVersionError(Exception):
    """The journal is not this program's to go on with."""


class JournalFullError(Exception):
    """There is no room for the record, even after compaction."""


class Journal(JournalState):
    """The file, and the account of what it holds: `held` is what a replay would give."""

    def __init__(
        self,
        directory: Path,
        max_bytes: int,
        clock: Callable[[], int],
        retention: Callable[[Transaction], int],
        detailed: bool = False,
        file_name: str = "journal",
    ) -> None:
        self.path, self.new_path, self.max_bytes = (
            directory / file_name,
            directory / f"{file_name}.new",
            max_bytes,
        )
        self.peer_bytes = 0  # bytes that another process uses of the same disk
        self.compaction_overhead = 0  # bytes of the last compaction's file beyond `live`
        super().__init__(max_bytes // DISK_BYTES_PER_REMEMBERED_ID, retention)
        self.clock, self.detailed = clock, detailed  # members, outcomes and times are there for later readers
        self.new_path.unlink(missing_ok=True)  # a compaction that was cut short; the old file still holds all
        self.fd = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)
        self.size = 0
        self._replay()
        if self.version > JOURNAL_VERSION:
            self.close()
            raise JournalVersionError(
                f"{self.path} has form {self.version}, this program knows {JOURNAL_VERSION} at most"
            )

    def close(self) -> None:
        """Let go of the file."""
        os.close(self.fd)

    # What is written, each before the act that it covers.

    def record_accepted(self, transaction: Transaction) -> None:
        """Before a client hears that it was taken on; refused for lack of room with JournalFull."""
        self.append(self._accepted_record(transaction), transaction.body, ACCEPT_FRACTION)
        self._add_message(transaction)

    def record_attempt(self, transaction: Transaction, at: int, zone: int, member: str = "") -> None:
        """Right before the first byte of a call."""
        number = transaction.attempt_count
        fields: dict[str, object] = {"t": "attempt", "id": transaction.id, "n": number}
        fields |= {"at": at, "zone": zone}
        self.append(fields | ({"to": member} if self.detailed else {}))
        transaction.attempt_count += 1
        transaction.possible_executions.append((number, at, zone))
        if self.detailed:
            transaction.attempt_history.append(Attempt(number, member, at))

    def record_outcome(self, transaction: Transaction, told: Attempt) -> None:
        """How an attempt ended, for those who read it later; nothing that is decided rests on it."""
        if self.detailed:
            fields: dict[str, object] = {"t": "outcome", "id": transaction.id, "n": told.number}
            fields |= {
                "to": told.endpoint,
                "at": told.started_at,
            }  # of one that never began this is all there is
            self._write_if_possible(
                fields
                | {
                    "as": told.outcome,
                    "took": told.elapsed,
                    "wait": told.retry_after,
                    "why": told.failure_reason,
                }
            )
            transaction.attempt_history = [
                *(one for one in transaction.attempt_history if one.number != told.number),
                told,
            ]

    def record_not_executed(self, transaction: Transaction, number: int) -> None:
        """The outcome of an attempt proves that it never ran; other outcomes change nothing. It counts as an
        attempt, also where it never began.
        """
        self._write_if_possible({"t": "never", "id": transaction.id, "n": number})
        transaction.attempt_count = max(transaction.attempt_count, number + 1)
        transaction.possible_executions = [ran for ran in transaction.possible_executions if ran[0] != number]

    def record_decision(
        self, transaction: Transaction, ending: Ending, come_back: int, keep: bool = False
    ) -> None:
        """Before a final answer is sent: from now on it is this one and no other.

        With `keep` the message stays here, also after its answer was sent, until `kept`.
        """
        fields: dict[str, object] = {"t": "decided", "id": transaction.id, "as": ending.value}
        fields["back"] = come_back
        if keep:
            transaction.ended_at, transaction.is_dead_letter = self.clock(), True
            fields |= {"at": transaction.ended_at, "keep": True}
        self._write_if_possible(fields)
        transaction.ending, transaction.retry_after = ending, come_back

    def record_dead_letter_stored(self, transaction: Transaction) -> None:
        """The store has it, or has let it go: it need not stay here for that any longer."""
        self._write_if_possible({"t": "kept", "id": transaction.id, "at": transaction.ended_at})
        self._remove_dead_letter(transaction.id, transaction.ended_at)

    def record_end(self, transaction: Transaction, ending: Ending) -> None:
        """After the final answer was sent: nothing more is owed."""
        self._write_if_possible({"t": "end", "id": transaction.id, "as": ending.value, "at": self.clock()})
        self._end(transaction, ending, self.clock())

    def record_owner(self, name: str) -> None:
        """Write down whose it is and in which form, for a process that comes beside this one."""
        if (self.name, self.version) != (name, JOURNAL_VERSION):
            self.name, self.version = name, JOURNAL_VERSION
            self._write_if_possible(self._owner_record())

    def record_retry_after(self, destination: int, member: str, until: int) -> None:
        """A member told to wait: the process beside this one heeds it, too."""
        self.retry_after_until[destination, member] = until
        self._write_if_possible({"t": "wait", "dest": destination, "of": member, "until": until})

    def hand_over(self, transactions: list[Transaction], out: int) -> None:
        """The process beside this one goes on with these, from the moment of the record; so many calls are
        out here. JournalFull, and they stay, if there is no room.

        The file is compacted once, before; from then on it only grows, so that the other one need not leave
        room for a compaction here.
        """
        if self.calls_in_flight is None:
            self.compact()
        for at in range(0, len(transactions), MAX_IDS_PER_RECORD):
            part = {one.id: one for one in transactions[at : at + MAX_IDS_PER_RECORD]}
            self.append({"t": "passed", "ids": list(part)})
            self.handed_over |= part
        self.record_calls_in_flight(out)

    def record_calls_in_flight(self, out: int | None) -> None:
        """So many calls are out of a process that passes on; None as long as it does not."""
        if out != self.calls_in_flight:
            self.calls_in_flight = out
            self._write_if_possible({"t": "out", "n": out})

    def reclaim(self) -> None:
        """Nobody is beside this process: what was passed on is its own."""
        if self.handed_over or self.calls_in_flight is not None:
            self.handed_over, self.calls_in_flight = {}, None
            self._write_if_possible({"t": "back"})

    def _owner_record(self) -> dict[str, object]:
        return {"t": "born", "v": self.version, "name": self.name}

    # What another process left, once its lock is free.

    def take_over(
        self, other: JournalState, path: Path, left: Path
    ) -> tuple[list[Transaction], list[Transaction]]:
        """Hold what another journal holds as well, and what it remembers. Returned are those new here, and
        those that only wait for the store.

        What was passed on counts as the other one has it; what that does not know comes back, and is new.
        One file with both takes the place of `path` at one stroke, and only then is `left` removed: after a
        kill in between, the one at `path` counts. JournalFull, with all as it was, if there is no room.
        """
        known = self.messages
        before = (
            dict(known.by_id),
            dict(known.concluded),
            dict(known.delivered_keys),
            dict(known.pending_dead_letters),
        )
        sums = (
            self.handed_over,
            self.calls_in_flight,
            self.live_bytes,
            self.dead_letter_bytes,
            dict(self.sizes),
        )
        theirs = {name for name in self.handed_over if other.has_accepted(name)}
        for name in theirs:
            del known.by_id[name]
            self.live_bytes -= self.sizes.pop(name)
        back = [one for name, one in self.handed_over.items() if name not in theirs]
        self.handed_over, self.calls_in_flight = {}, None
        ids = known.by_id.keys() | known.concluded.keys()
        new = [one for one in other.messages.by_id.values() if one.id not in ids]
        late = [
            one
            for key, one in other.messages.pending_dead_letters.items()
            if key not in known.pending_dead_letters
        ]
        for transaction in new:
            self._add_message(transaction)
        for transaction in late:
            self._add_pending_dead_letter(transaction)
        self.retry_after_until = other.retry_after_until | self.retry_after_until
        known.concluded = other.messages.concluded | known.concluded
        known.delivered_keys = other.messages.delivered_keys | known.delivered_keys
        spare = path.with_name(f"{path.name}.new")
        if not self.replace_file(self.snapshot(), path, spare):
            known.by_id, known.concluded, known.delivered_keys, known.pending_dead_letters = before
            self.handed_over, self.calls_in_flight, self.live_bytes, self.dead_letter_bytes, self.sizes = sums
            raise JournalFullError("no room for what another process left")
        self.path, self.new_path = path, spare
        left.unlink(missing_ok=True)
        return new + back, late

    def _accepted_record(self, transaction: Transaction) -> dict[str, object]:
        fields: dict[str, object] = _stored(transaction, STORED_FIELDS)
        fields |= {"t": "taken"} | _stored(transaction, STORED_STATE)
        fields |= {"ran": transaction.possible_executions, "back": transaction.retry_after}
        if transaction.is_dead_letter or self.detailed:
            fields |= _stored(transaction, STORED_DETAIL)
            fields["tries"] = [astuple(one) for one in transaction.attempt_history]
        return fields | {"as": transaction.ending.value if transaction.ending else None}

    def _replay(self) -> None:
        data = self.path.read_bytes()
        for fields, body, end in decode_records(data):
            self._apply(fields, body)
            self.size = end
        if self.size < len(data):  # the torn tail of a process that was killed in a write
            os.ftruncate(self.fd, self.size)
        self.retry_after_until.clear()  # a restart ends them (protocol page)
        self.messages.drop_expired(self.clock())

    # The file.

    def _write_if_possible(self, fields: dict[str, object]) -> None:
        """A record that only lessens what is owed: left out for lack of room, a replay repeats harmlessly."""
        try:
            self.append(fields)
        except JournalFullError as error:
            log.error("journal.failed", error=str(error))

    def append(self, fields: dict[str, object], body: bytes = b"", share: float = WRITE_FRACTION) -> None:
        record = encode_record(fields, body)
        if len(record) > MAX_RECORD_BYTES:
            raise JournalFullError("the record is too long")
        if self.size > max(COMPACT_FRACTION * self.max_bytes, 2 * self.live_bytes):
            self._compact_if_worthwhile(0)
        # Old and new file lie side by side while one is compacted, so both must always fit.
        least = (
            self.live_bytes
            + self.peer_bytes
            + 2 * len(record)
            + 4 * DISK_BLOCK_BYTES
            - share * self.max_bytes
        )
        if self.size + least > 0:
            self._compact_if_worthwhile(self.size + least)
            if self.size + least > 0:
                raise JournalFullError("the disk's share is used up")
        try:
            written = os.write(self.fd, record)
        except OSError as error:
            raise JournalFullError(str(error)) from error
        if written < len(record):  # a disk that filled up midway: leave no torn record in the middle
            os.ftruncate(self.fd, self.size)
            raise JournalFullError("a write was cut short")
        self.size += written

    def _compact_if_worthwhile(self, wanted: float) -> None:
        """Compact if that makes so much room, in bytes, and enough to be worth it: a full journal would be
        written anew for every message that it refuses otherwise.
        """
        gain = self.size - self.live_bytes - self.compaction_overhead
        if self.calls_in_flight is None and gain >= max(wanted, MIN_COMPACTION_GAIN * self.size):
            self.compact()

    def compact(self) -> None:
        """Write what is still of use to a new file and put it in the old one's place at one stroke."""
        data = self.snapshot()
        self.compaction_overhead = len(data) - self.live_bytes
        if len(data) < self.size:
            self.replace_file(data, self.path, self.new_path)

    def snapshot(self) -> bytes:
        self.messages.drop_expired(self.clock())
        self.retry_after_until = {
            key: until for key, until in self.retry_after_until.items() if until > self.clock()
        }
        ended, keys = list(self.messages.concluded.items()), list(self.messages.delivered_keys.items())
        parts = [encode_record(self._owner_record())] if self.version else []
        parts += [  # in pieces, so that no record outgrows what a replay accepts
            encode_record(
                {
                    "t": "past",
                    "ended": dict(ended[at : at + MAX_IDS_PER_RECORD]),
                    "keys": dict(keys[at : at + MAX_IDS_PER_RECORD]),
                }
            )
            for at in range(0, max(len(ended), len(keys)), MAX_IDS_PER_RECORD)
        ]
        parts += [
            encode_record(self._accepted_record(known), known.body) for known in self.messages.by_id.values()
        ]
        late = self.messages.pending_dead_letters.values()
        parts += [encode_record(self._accepted_record(known) | {"over": True}, known.body) for known in late]
        names = list(self.handed_over)
        parts += [
            encode_record({"t": "passed", "ids": names[at : at + MAX_IDS_PER_RECORD]})
            for at in range(0, len(names), MAX_IDS_PER_RECORD)
        ]
        parts += (
            [encode_record({"t": "out", "n": self.calls_in_flight})]
            if self.calls_in_flight is not None
            else []
        )
        for (destination, member), until in self.retry_after_until.items():
            parts.append(encode_record({"t": "wait", "dest": destination, "of": member, "until": until}))
        return b"".join(parts)

    def replace_file(self, data: bytes, path: Path, spare: Path) -> bool:
        if self.size + self.peer_bytes + len(data) + 4 * DISK_BLOCK_BYTES > self.max_bytes:
            return False
        try:
            fd = os.open(spare, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)
            try:
                done = os.write(fd, data)
            except OSError:
                done = -1
            if done < len(data):
                os.close(fd)
                spare.unlink(missing_ok=True)
                return False
            os.rename(spare, path)
        except OSError:
            return False
        os.close(self.fd)
        self.fd, self.size = fd, len(data)
        return True
