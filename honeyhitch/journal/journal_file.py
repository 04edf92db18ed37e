"""The file of a journal: appending, postponed records, disk space, compaction and replacement.

A record is written before the action that it covers. Data that a write has put into the file survives the
process, so the file is not synced. An incomplete record at the end is truncated when the file is opened.
"""

from __future__ import annotations

import contextlib
from collections import deque
from collections.abc import Callable, Iterator
from pathlib import Path

from honeyhitch import logs
from honeyhitch.journal.append_file import AppendFile
from honeyhitch.journal.merge import MergeableState
from honeyhitch.journal.record_codec import MAX_RECORD_BYTES, decode_records, encode_record
from honeyhitch.journal.records import (
    CallsInFlight,
    EndedMessages,
    JournalOwner,
    MessageRecord,
    MessagesHandedOver,
    NamesRecorded,
    Record,
    RetryAfterNoted,
)
from honeyhitch.journal.settings_names import SettingsNames
from honeyhitch.journal.transactions import Transaction

log = logs.get_logger()
JOURNAL_VERSION = 1  # version of the record format
DISK_BYTES_PER_REMEMBERED_ID = 600  # bytes of `max_bytes` per id or key; one takes about 45 of them
MAX_IDS_PER_RECORD = 1000  # ids or keys; keeps each record below the size limit of a replay
DISK_BLOCK_BYTES = 512  # disk space is counted in whole blocks per file
# Reserved for rounding up both files and their directory, for the clock and its replacement, and for the
# records of two processes.
SPARE_BLOCKS = 8
ACCEPT_FRACTION = 0.75  # fraction of `max_bytes` beyond which no message is accepted
WRITE_FRACTION = 0.95  # fraction of `max_bytes` beyond which no record is written
COMPACT_FRACTION = 0.3  # fraction of `max_bytes` beyond which the file may be compacted
# Fraction of the file size; a smaller gain does not justify the milliseconds of a compaction.
MIN_COMPACTION_GAIN = 0.125


class JournalVersionError(Exception):
    """The journal was written in a later format version than this program supports."""


class JournalFullError(Exception):
    """There is no space for a record, even after compaction, or writing it failed."""


class JournalFile(MergeableState):
    """A journal file, and the state that a replay of it would give.

    `max_bytes` is the disk space that the file and its replacement may use together. A `detailed` journal
    keeps the endpoints, outcomes and times of attempts for dead letters. The constructor raises
    JournalVersionError if the file has a later format version, and OSError if it cannot be opened.
    """

    def __init__(
        self,
        directory: Path,
        max_bytes: int,
        clock: Callable[[], int],
        retention: Callable[[Transaction], int],
        detailed: bool = False,
        file_name: str = "journal",
        current_names: SettingsNames | None = None,
    ) -> None:
        super().__init__(max_bytes // DISK_BYTES_PER_REMEMBERED_ID, retention, current_names)
        self.new_path = directory / f"{file_name}.new"
        self.max_bytes = max_bytes
        self.peer_bytes = 0  # bytes of `max_bytes` that another process uses
        self.compaction_overhead = 0  # bytes by which the last compacted file exceeded `live_bytes`
        self.postponed: deque[Record] = deque()  # records that could not be written yet, oldest first
        self.on_postponed: Callable[[], None] = lambda: None  # called when a record could not be written
        self._hands_over = False  # from the first hand-over on the file is not compacted
        self.clock = clock
        self.detailed = detailed
        with contextlib.suppress(OSError):  # left by an interrupted compaction; the old file is complete
            self.new_path.unlink(missing_ok=True)
        self.file = AppendFile(directory / file_name)
        try:
            self._replay()
        except OSError:
            self.close()
            raise
        if self.version > JOURNAL_VERSION:
            self.close()
            raise JournalVersionError(
                f"{self.path}: format version is {self.version}, highest supported is {JOURNAL_VERSION}"
            )

    @property
    def path(self) -> Path:
        """The path of the file."""
        return self.file.path

    @property
    def size(self) -> int:
        """The number of bytes in the file."""
        return self.file.size

    @property
    def free_message_bytes(self) -> int:
        """The bytes of further messages that the file can take, in addition to the present ones.

        A compaction writes all of them again, so each takes its space twice.
        """
        reserved = self.peer_bytes + SPARE_BLOCKS * DISK_BLOCK_BYTES
        return int(ACCEPT_FRACTION * self.max_bytes - reserved) // 2 - self.live_bytes

    def close(self) -> None:
        """Close the file."""
        self.file.close()

    def _replay(self) -> None:
        data = self.path.read_bytes()
        for record, end in decode_records(data):
            self.apply(record)
            self.file.size = end
        if self.size < len(data):  # an incomplete record of a process that was killed during a write
            self.file.discard_incomplete_end()
        self.retry_after_until.clear()  # a restart ends each Retry-After (protocol page)
        self.messages.drop_expired(self.clock())

    # The file.

    def _append_or_postpone(self, record: Record) -> None:
        """Write a record now or, if that fails, before any later record.

        Used for records of what has happened already.
        """
        try:
            self.append(record)
        except JournalFullError as error:
            log.error("journal.failed", postponed=len(self.postponed) + 1, error=str(error))
            self.postponed.append(record)
            self.on_postponed()

    def write_postponed(self) -> bool:
        """Write the records that could not be written before; return whether none is left."""
        while self.postponed:
            try:
                self.append_encoded(encode_record(self.postponed[0]), WRITE_FRACTION)
            except JournalFullError:
                return False
            if self.postponed:  # a compaction has written the state, which includes all of them
                self.postponed.popleft()
        return True

    def append(self, record: Record, disk_fraction: float = WRITE_FRACTION) -> None:
        """Write a record; raise JournalFullError if that needs more than this fraction of `max_bytes`.

        The error is also raised while an earlier record cannot be written.
        """
        if not self.write_postponed():
            raise JournalFullError("an earlier record could not be written")
        self.append_encoded(encode_record(record), disk_fraction)

    def append_encoded(self, data: bytes, disk_fraction: float) -> None:
        """Write an encoded record; raise JournalFullError as `append` does."""
        if len(data) > MAX_RECORD_BYTES:
            raise JournalFullError(f"record has {len(data)} bytes, limit is {MAX_RECORD_BYTES}")
        self._make_room(len(data), disk_fraction)
        try:
            self.file.append(data)
        except OSError as error:
            raise JournalFullError(str(error)) from error

    def _make_room(self, record_bytes: int, disk_fraction: float) -> None:
        if self.size > max(COMPACT_FRACTION * self.max_bytes, 2 * self.live_bytes):
            self._compact_if_worthwhile(0)
        # The old and the new file exist at the same time during a compaction, so both must always fit.
        compacted_bytes = 0 if self._hands_over else self.live_bytes
        reserved = compacted_bytes + self.peer_bytes + 2 * record_bytes + SPARE_BLOCKS * DISK_BLOCK_BYTES
        excess = reserved - disk_fraction * self.max_bytes
        if self.size + excess > 0:
            self._compact_if_worthwhile(self.size + excess)
            if self.size + excess > 0:
                raise JournalFullError(
                    f"no space for {record_bytes} bytes in {disk_fraction:.0%} of {self.max_bytes} bytes"
                )

    def _compact_if_worthwhile(self, required_bytes: float) -> None:
        """Compact the file if that frees `required_bytes` and at least `MIN_COMPACTION_GAIN` of its size.

        Without the second condition, a full journal would be compacted for each message that it rejects.
        """
        gain = self.size - self.live_bytes - self.compaction_overhead
        if not self._hands_over and gain >= max(required_bytes, MIN_COMPACTION_GAIN * self.size):
            self.compact()

    def compact(self) -> None:
        """Write the live records to a new file and atomically replace the old file with it."""
        data = self.snapshot()
        self.compaction_overhead = len(data) - self.live_bytes
        if len(data) < self.size:
            self.replace_file(data, self.path, self.new_path)

    def snapshot(self) -> bytes:
        """Return the encoded records of a compacted journal with the present state."""
        now = self.clock()
        self.messages.drop_expired(now)
        self.retry_after_until = {key: until for key, until in self.retry_after_until.items() if until > now}
        self.outages = {
            key: outage for key, outage in self.outages.items() if not outage.history.expired(now)
        }
        return b"".join(encode_record(record) for record in self._live_records())

    def _live_records(self) -> Iterator[Record]:
        if self.version:
            yield JournalOwner(self.version, self.name)
        if self.current_names is not None:
            yield NamesRecorded(self.current_names)
        concluded = list(self.messages.concluded.items())
        delivered_keys = list(self.messages.delivered_keys.items())
        attempted_keys = list(self.messages.attempted_keys.items())
        longest = max(len(concluded), len(delivered_keys), len(attempted_keys))
        for start in range(0, longest, MAX_IDS_PER_RECORD):
            part = slice(start, start + MAX_IDS_PER_RECORD)
            yield EndedMessages(dict(concluded[part]), dict(delivered_keys[part]), dict(attempted_keys[part]))
        for message in self.messages.by_id.values():
            yield MessageRecord(message, self.detailed)
        for message in self.messages.pending_dead_letters.values():
            yield MessageRecord(message, self.detailed, answered=True)
        handed_over_ids = list(self.handed_over)
        for start in range(0, len(handed_over_ids), MAX_IDS_PER_RECORD):
            yield MessagesHandedOver(handed_over_ids[start : start + MAX_IDS_PER_RECORD])
        if self.calls_in_flight is not None:
            yield CallsInFlight(self.calls_in_flight)
        for (destination, endpoint), until in self.retry_after_until.items():
            yield RetryAfterNoted(destination, endpoint, until)
        yield from self.outages.values()

    def replace_file(self, data: bytes, path: Path, new_path: Path) -> bool:
        """Atomically replace `path` with a file of these bytes and continue writing there.

        Return false if that failed, or if there is no space for the file.
        """
        if self.size + self.peer_bytes + len(data) + SPARE_BLOCKS * DISK_BLOCK_BYTES > self.max_bytes:
            return False
        try:
            self.file.replace(data, path, new_path)
        except OSError as error:
            log.warning("journal.not-replaced", error=str(error), key=str(path))
            return False
        self.postponed.clear()
        return True
