"""The journal: an append-only file with a length and a checksum before each record.

A record is written before the act that it covers. What a write leaves in the file survives the process,
so nothing is synced. A torn tail is cut when the journal is opened.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path

from honeyhitch import logs
from honeyhitch.journal.record_codec import MAX_RECORD_BYTES, decode_records, encode_record
from honeyhitch.journal.records import (
    AttemptNotExecuted,
    AttemptOutcome,
    AttemptStarted,
    CallsInFlight,
    DeadLetterStored,
    EndedMessages,
    EndingDecided,
    HandoverReclaimed,
    JournalOwner,
    MessageEnded,
    MessageRecord,
    MessagesHandedOver,
    Record,
    RetryAfterNoted,
)
from honeyhitch.journal.state import JournalState
from honeyhitch.journal.transactions import Attempt, DeliveredKey, Ending, Transaction

log = logs.get()
JOURNAL_VERSION = 1  # of the records' form
DISK_BYTES_PER_REMEMBERED_ID = 600  # of the journal's disk; a remembered id or key takes some 45 of them
MAX_IDS_PER_RECORD = 1000  # ids or keys, so that no record outgrows what a replay accepts
DISK_BLOCK_BYTES = 512  # the disk counts files in whole blocks
SPARE_BLOCKS = 4  # for the rounding of both files and their directory
ACCEPT_FRACTION = 0.75  # of the disk: beyond it no message is accepted
WRITE_FRACTION = 0.95  # of the disk: beyond it nothing is written
COMPACT_FRACTION = 0.3  # of the disk: from here on the file is compacted
MIN_COMPACTION_GAIN = 0.125  # of the file; a smaller gain is not worth the milliseconds that it takes
OWNER_ONLY = 0o600  # file mode


class JournalVersionError(Exception):
    """The journal was written in a later form than this program knows."""


class JournalFullError(Exception):
    """There is no room for the record, even after compaction, or the disk failed."""


@dataclass(frozen=True, slots=True)
class _SavedState:
    """What a take-over changes before it is sure of its room on the disk."""

    by_id: dict[str, Transaction]
    concluded: dict[str, int]
    delivered_keys: dict[str, DeliveredKey]
    pending_dead_letters: dict[tuple[str, int], Transaction]
    handed_over: dict[str, Transaction]
    calls_in_flight: int | None
    live_bytes: int
    dead_letter_bytes: int
    sizes: dict[str, int]


class Journal(JournalState):
    """The file, and the state that a replay of it would give.

    `max_bytes` is the disk that the file and its replacement may use together. In a `detailed` journal the
    endpoints, outcomes and times of attempts are kept for dead letters. JournalVersionError if the file is of
    a later form, OSError if it cannot be opened.
    """

    def __init__(
        self,
        directory: Path,
        max_bytes: int,
        clock: Callable[[], int],
        retention: Callable[[Transaction], int],
        detailed: bool = False,
        file_name: str = "journal",
    ) -> None:
        super().__init__(max_bytes // DISK_BYTES_PER_REMEMBERED_ID, retention)
        self.path = directory / file_name
        self.new_path = directory / f"{file_name}.new"
        self.max_bytes = max_bytes
        self.peer_bytes = 0  # bytes that another process uses of the same disk
        self.compaction_overhead = 0  # bytes of the last compaction's file beyond `live_bytes`
        self.clock = clock
        self.detailed = detailed
        self.new_path.unlink(
            missing_ok=True
        )  # a compaction that was cut short; the old file holds everything
        self.fd = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_APPEND, OWNER_ONLY)
        self.size = 0
        self._replay()
        if self.version > JOURNAL_VERSION:
            self.close()
            raise JournalVersionError(
                f"{self.path} has form {self.version}, this program knows {JOURNAL_VERSION} at most"
            )

    def close(self) -> None:
        """Close the file."""
        os.close(self.fd)

    # What is written, each before the act that it covers.

    def record_accepted(self, transaction: Transaction) -> None:
        """Before a client hears that its message was accepted; JournalFullError if there is no room."""
        self.append(MessageRecord(transaction, self.detailed), ACCEPT_FRACTION)
        self._add_message(transaction)

    def record_attempt(self, transaction: Transaction, at: int, zone: int, endpoint: str = "") -> None:
        """Right before the first byte of a call; JournalFullError if there is no room."""
        number = transaction.attempt_count
        known_endpoint = endpoint if self.detailed else None
        self.append(AttemptStarted(transaction.id, number, at, zone, known_endpoint))
        transaction.add_attempt(number, at, zone, known_endpoint)

    def record_outcome(self, transaction: Transaction, attempt: Attempt) -> None:
        """How an attempt ended, for those who read it later; nothing that is decided rests on it."""
        if not self.detailed:
            return
        self._append_if_possible(AttemptOutcome(transaction.id, attempt))
        earlier = [entry for entry in transaction.attempt_history if entry.number != attempt.number]
        transaction.attempt_history = [*earlier, attempt]

    def record_not_executed(self, transaction: Transaction, number: int) -> None:
        """The outcome of an attempt proves that it was never executed; other outcomes change nothing."""
        self._append_if_possible(AttemptNotExecuted(transaction.id, number))
        transaction.mark_not_executed(number)

    def record_decision(
        self, transaction: Transaction, ending: Ending, retry_after: int, is_dead_letter: bool = False
    ) -> None:
        """Before a final answer is sent: from now on it is this one and no other.

        A dead letter stays here, also after its answer was sent, until the store has it.
        """
        if is_dead_letter:
            transaction.ended_at = self.clock()
            transaction.is_dead_letter = True
        self._append_if_possible(
            EndingDecided(transaction.id, ending, retry_after, transaction.ended_at, is_dead_letter)
        )
        transaction.ending = ending
        transaction.retry_after = retry_after

    def record_dead_letter_stored(self, transaction: Transaction) -> None:
        """The store has it, or has discarded it: it need not stay here for that any longer."""
        self._append_if_possible(DeadLetterStored(transaction.id, transaction.ended_at))
        self._remove_dead_letter(transaction.id, transaction.ended_at)

    def record_end(self, transaction: Transaction, ending: Ending) -> None:
        """After the final answer was sent: the message is concluded."""
        self._append_if_possible(MessageEnded(transaction.id, ending, self.clock()))
        self._end(transaction, ending, self.clock())

    def record_owner(self, name: str) -> None:
        """Write down whose journal it is and in which form, for the next process of a hand-over."""
        if (self.name, self.version) != (name, JOURNAL_VERSION):
            self.name = name
            self.version = JOURNAL_VERSION
            self._append_if_possible(JournalOwner(self.version, self.name))

    def record_retry_after(self, destination: int, endpoint: str, until: int) -> None:
        """An endpoint sent Retry-After: the other process of a hand-over heeds it, too."""
        self.retry_after_until[destination, endpoint] = until
        self._append_if_possible(RetryAfterNoted(destination, endpoint, until))

    def hand_over(self, transactions: list[Transaction], calls_in_flight: int) -> None:
        """The other process resumes these from the moment of the record, while these calls are in flight
        here.

        JournalFullError, and the messages stay, if there is no room. The file is compacted once, before; from
        then on it only grows, so that the other process need not leave room for a compaction here.
        """
        if self.calls_in_flight is None:
            self.compact()
        for start in range(0, len(transactions), MAX_IDS_PER_RECORD):
            batch = {message.id: message for message in transactions[start : start + MAX_IDS_PER_RECORD]}
            self.append(MessagesHandedOver(list(batch)))
            self.handed_over |= batch
        self.record_calls_in_flight(calls_in_flight)

    def record_calls_in_flight(self, count: int | None) -> None:
        """How many calls are in flight in a process that hands over; None as long as it does not."""
        if count != self.calls_in_flight:
            self.calls_in_flight = count
            self._append_if_possible(CallsInFlight(count))

    def reclaim(self) -> None:
        """There is no other process any more: what was handed over is this one's own again."""
        if self.handed_over or self.calls_in_flight is not None:
            self.handed_over = {}
            self.calls_in_flight = None
            self._append_if_possible(HandoverReclaimed())

    # What another process left, once its lock is free.

    def take_over(
        self, other: JournalState, path: Path, left: Path
    ) -> tuple[list[Transaction], list[Transaction]]:
        """Hold and remember what another journal does as well.

        Returned are the messages new here, and the dead letters new here that only wait for the store. What
        was handed over counts as the other one has it; what that does not know comes back, and is new.
        One file with both replaces `path` atomically, and only then is `left` removed: after a kill in
        between, the one at `path` counts. JournalFullError, with everything as it was, if there is no room.
        """
        saved = self._save()
        returned = self._settle_handed_over(other)
        known = self.messages
        known_ids = known.by_id.keys() | known.concluded.keys()
        new = [message for name, message in other.messages.by_id.items() if name not in known_ids]
        pending = [
            message
            for key, message in other.messages.pending_dead_letters.items()
            if key not in known.pending_dead_letters
        ]
        for transaction in new:
            self._add_message(transaction)
        for transaction in pending:
            self._add_pending_dead_letter(transaction)
        self.retry_after_until = other.retry_after_until | self.retry_after_until
        known.concluded = other.messages.concluded | known.concluded
        known.delivered_keys = other.messages.delivered_keys | known.delivered_keys
        new_path = path.with_name(f"{path.name}.new")
        if not self.replace_file(self.snapshot(), path, new_path):
            self._restore(saved)
            raise JournalFullError("no room for what another process left")
        self.path = path
        self.new_path = new_path
        left.unlink(missing_ok=True)
        return new + returned, pending

    def _settle_handed_over(self, other: JournalState) -> list[Transaction]:
        """Forget what the other process accepted of what it was handed; the rest is returned."""
        accepted = {name for name in self.handed_over if other.has_accepted(name)}
        for name in accepted:
            del self.messages.by_id[name]
            self.live_bytes -= self.sizes.pop(name)
        returned = [message for name, message in self.handed_over.items() if name not in accepted]
        self.handed_over = {}
        self.calls_in_flight = None
        return returned

    def _save(self) -> _SavedState:
        return _SavedState(
            by_id=dict(self.messages.by_id),
            concluded=dict(self.messages.concluded),
            delivered_keys=dict(self.messages.delivered_keys),
            pending_dead_letters=dict(self.messages.pending_dead_letters),
            handed_over=self.handed_over,
            calls_in_flight=self.calls_in_flight,
            live_bytes=self.live_bytes,
            dead_letter_bytes=self.dead_letter_bytes,
            sizes=dict(self.sizes),
        )

    def _restore(self, saved: _SavedState) -> None:
        self.messages.by_id = saved.by_id
        self.messages.concluded = saved.concluded
        self.messages.delivered_keys = saved.delivered_keys
        self.messages.pending_dead_letters = saved.pending_dead_letters
        self.handed_over = saved.handed_over
        self.calls_in_flight = saved.calls_in_flight
        self.live_bytes = saved.live_bytes
        self.dead_letter_bytes = saved.dead_letter_bytes
        self.sizes = saved.sizes

    def _replay(self) -> None:
        data = self.path.read_bytes()
        for record, end in decode_records(data):
            self.apply(record)
            self.size = end
        if self.size < len(data):  # the torn tail of a process that was killed in a write
            os.ftruncate(self.fd, self.size)
        self.retry_after_until.clear()  # a restart ends them (protocol page)
        self.messages.drop_expired(self.clock())

    # The file.

    def _append_if_possible(self, record: Record) -> None:
        """A record that only lessens what is pending: without it, for lack of room, a replay is harmless."""
        try:
            self.append(record)
        except JournalFullError as error:
            log.error("journal.failed", error=str(error))

    def append(self, record: Record, disk_fraction: float = WRITE_FRACTION) -> None:
        """Write a record; JournalFullError if the file would use more than this fraction of the disk."""
        data = encode_record(record)
        if len(data) > MAX_RECORD_BYTES:
            raise JournalFullError("the record is too long")
        self._make_room(len(data), disk_fraction)
        try:
            written = os.write(self.fd, data)
        except OSError as error:
            raise JournalFullError(str(error)) from error
        if written < len(data):  # a disk that filled up midway: leave no torn record in the middle
            os.ftruncate(self.fd, self.size)
            raise JournalFullError("a write was cut short")
        self.size += written

    def _make_room(self, record_bytes: int, disk_fraction: float) -> None:
        if self.size > max(COMPACT_FRACTION * self.max_bytes, 2 * self.live_bytes):
            self._compact_if_worthwhile(0)
        # Old and new file lie side by side while one is compacted, so both must always fit.
        reserved = self.live_bytes + self.peer_bytes + 2 * record_bytes + SPARE_BLOCKS * DISK_BLOCK_BYTES
        excess = reserved - disk_fraction * self.max_bytes
        if self.size + excess > 0:
            self._compact_if_worthwhile(self.size + excess)
            if self.size + excess > 0:
                raise JournalFullError("the disk's share is used up")

    def _compact_if_worthwhile(self, required_bytes: float) -> None:
        """Compact if that frees as much, and enough to be worth it.

        Without the second condition a full journal would be rewritten for every message that it rejects.
        """
        gain = self.size - self.live_bytes - self.compaction_overhead
        if self.calls_in_flight is None and gain >= max(required_bytes, MIN_COMPACTION_GAIN * self.size):
            self.compact()

    def compact(self) -> None:
        """Write what is still of use to a new file and replace the old one with it atomically."""
        data = self.snapshot()
        self.compaction_overhead = len(data) - self.live_bytes
        if len(data) < self.size:
            self.replace_file(data, self.path, self.new_path)

    def snapshot(self) -> bytes:
        """The records of a compacted journal with the present state."""
        now = self.clock()
        self.messages.drop_expired(now)
        self.retry_after_until = {key: until for key, until in self.retry_after_until.items() if until > now}
        return b"".join(encode_record(record) for record in self._live_records())

    def _live_records(self) -> Iterator[Record]:
        if self.version:
            yield JournalOwner(self.version, self.name)
        ended = list(self.messages.concluded.items())
        keys = list(self.messages.delivered_keys.items())
        for start in range(0, max(len(ended), len(keys)), MAX_IDS_PER_RECORD):
            end = start + MAX_IDS_PER_RECORD
            yield EndedMessages(dict(ended[start:end]), dict(keys[start:end]))
        for message in self.messages.by_id.values():
            yield MessageRecord(message, self.detailed)
        for message in self.messages.pending_dead_letters.values():
            yield MessageRecord(message, self.detailed, answered=True)
        names = list(self.handed_over)
        for start in range(0, len(names), MAX_IDS_PER_RECORD):
            yield MessagesHandedOver(names[start : start + MAX_IDS_PER_RECORD])
        if self.calls_in_flight is not None:
            yield CallsInFlight(self.calls_in_flight)
        for (destination, endpoint), until in self.retry_after_until.items():
            yield RetryAfterNoted(destination, endpoint, until)

    def replace_file(self, data: bytes, path: Path, new_path: Path) -> bool:
        """Put a file with these bytes at `path` atomically and go on writing there; false if that failed."""
        if self.size + self.peer_bytes + len(data) + SPARE_BLOCKS * DISK_BLOCK_BYTES > self.max_bytes:
            return False
        try:
            fd = os.open(new_path, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND, OWNER_ONLY)
            try:
                written = os.write(fd, data)
            except OSError:
                written = -1
            if written < len(data):
                os.close(fd)
                new_path.unlink(missing_ok=True)
                return False
            os.rename(new_path, path)
        except OSError:
            return False
        os.close(self.fd)
        self.fd = fd
        self.size = len(data)
        return True
