"""The journal: append-only, with a length and a checksum before each record.

A record is written before the act that it covers. What a write leaves in the file survives the process,
so nothing is synced. A torn tail is cut when the journal is opened.
"""

from __future__ import annotations

import json
import os
import struct
import zlib
from collections.abc import Callable, Iterator
from pathlib import Path

from honeyhitch import logs
from honeyhitch.memory.transactions import Ending, Held, Transaction

log = logs.get()
HEAD = struct.Struct("<II")  # length and checksum of what follows
SPLIT = struct.Struct("<I")  # length of the JSON in a record; the body follows it
LARGEST = 1 << 20  # bytes in one record; a greater length is a torn one
DISK_A_NAME = 600  # bytes of the disk for each id or key that is remembered; it takes some 45 of them
PIECE = 1000  # ids or keys in one record
BLOCK = 512  # the disk counts files in whole blocks
TAKE_SHARE, WRITE_SHARE, COMPACT_SHARE = 0.75, 0.95, 0.3  # of the disk: take, write at all, tidy up


class JournalFull(Exception):
    """There is no room for the record, even after compaction."""


def pack(fields: dict[str, object], body: bytes = b"") -> bytes:
    """One record as it lies in the file."""
    text = json.dumps(fields, separators=(",", ":")).encode()
    payload = SPLIT.pack(len(text)) + text + body
    return HEAD.pack(len(payload), zlib.crc32(payload)) + payload


def unpack(data: bytes) -> Iterator[tuple[dict[str, object], bytes, int]]:
    """The whole records at the front of `data`: fields, body and where each ends."""
    at = 0
    while at + HEAD.size <= len(data):
        length, checksum = HEAD.unpack_from(data, at)
        payload = data[at + HEAD.size : at + HEAD.size + length]
        if not SPLIT.size <= length <= LARGEST or len(payload) < length or zlib.crc32(payload) != checksum:
            return
        (split,) = SPLIT.unpack_from(payload)
        try:
            fields = json.loads(payload[SPLIT.size : SPLIT.size + split])
        except ValueError:
            return
        at += HEAD.size + length
        yield fields, payload[SPLIT.size + split :], at


class Journal:
    """The file, and the account of what it holds: `held` is what a replay would give."""

    def __init__(
        self, folder: Path, disk: int, clock: Callable[[], int], remember: Callable[[Transaction], int]
    ) -> None:
        self.path, self.spare, self.disk = folder / "journal", folder / "journal.new", disk
        self.clock, self.remember, self.held = clock, remember, Held(disk // DISK_A_NAME)
        self.live = 0  # bytes of the records that compaction would keep, roughly
        self.sizes: dict[str, int] = {}
        self.spare.unlink(missing_ok=True)  # a compaction that was cut short; the old file still holds all
        self.fd = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)
        self.size = 0
        self._replay()

    def close(self) -> None:
        """Let go of the file."""
        os.close(self.fd)

    # What is written, each before the act that it covers.

    def taken(self, transaction: Transaction) -> None:
        """Before a client hears that it was taken on; refused for lack of room with JournalFull."""
        self._write(self._whole(transaction), transaction.body, TAKE_SHARE)
        self._hold(transaction)

    def attempt(self, transaction: Transaction, at: int, zone: int) -> None:
        """Before the first byte of a call."""
        number = transaction.attempts
        self._write({"t": "attempt", "id": transaction.id, "n": number, "at": at, "zone": zone})
        transaction.attempts += 1
        transaction.ran.append((number, at, zone))

    def never_ran(self, transaction: Transaction, number: int) -> None:
        """The outcome of an attempt proves that it never ran; other outcomes change nothing."""
        self._note({"t": "never", "id": transaction.id, "n": number})
        transaction.ran = [ran for ran in transaction.ran if ran[0] != number]

    def decided(self, transaction: Transaction, ending: Ending, come_back: int) -> None:
        """Before a final answer is sent: from now on it is this one and no other."""
        self._note({"t": "decided", "id": transaction.id, "as": ending.value, "back": come_back})
        transaction.ending, transaction.come_back = ending, come_back

    def end(self, transaction: Transaction, ending: Ending) -> None:
        """After the final answer was sent: nothing more is owed."""
        self._note({"t": "end", "id": transaction.id, "as": ending.value, "at": self.clock()})
        self._end(transaction, ending, self.clock())

    # The account.

    def _hold(self, transaction: Transaction) -> None:
        self.held.by_id[transaction.id] = transaction
        self.sizes[transaction.id] = size = len(transaction.body) + 512  # with its later records
        self.live += size

    def _end(self, transaction: Transaction, ending: Ending, at: int) -> None:
        transaction.ending = ending
        self.held.by_id.pop(transaction.id, None)
        self.live -= self.sizes.pop(transaction.id, 0)
        until = at + self.remember(transaction)
        self.held.ended[transaction.id] = until
        first = transaction.first_ran()
        if ending is Ending.DELIVERED and transaction.key and first is not None:
            # A copy's own first attempt is later: the window counts from the earliest one.
            first = min(first, self.held.delivered(transaction, at) or first)
            self.held.keys[self.held.key(transaction)] = (*first, until)

    @staticmethod
    def _whole(transaction: Transaction) -> dict[str, object]:
        fields: dict[str, object] = {
            name: getattr(transaction, name)
            for name in ("id", "cls", "destination", "deadline", "key", "tenant", "came_again", "front")
        }
        fields |= {"t": "taken", "reply": transaction.reply, "attempts": transaction.attempts}
        fields |= {"ran": transaction.ran, "back": transaction.come_back}
        return fields | {"as": transaction.ending.value if transaction.ending else None}

    def _replay(self) -> None:
        data = self.path.read_bytes()
        for fields, body, end in unpack(data):
            self._apply(fields, body)
            self.size = end
        if self.size < len(data):  # the torn tail of a process that was killed in a write
            os.ftruncate(self.fd, self.size)
        self.held.forget(self.clock())

    def _apply(self, fields: dict[str, object], body: bytes) -> None:
        kind = fields.pop("t", None)
        if kind == "taken":
            ending, back = fields.pop("as"), fields.pop("back")
            ran = [(int(n), int(at), int(zone)) for n, at, zone in fields.pop("ran")]  # type: ignore[attr-defined]
            transaction = Transaction(body=body, ran=ran, **fields)  # type: ignore[arg-type]
            transaction.ending, transaction.come_back = Ending(ending) if ending else None, int(str(back))
            self._hold(transaction)
        elif kind == "past":
            self.held.ended.update(fields["ended"])  # type: ignore[call-overload]
            self.held.keys.update({key: tuple(row) for key, row in fields["keys"].items()})  # type: ignore[attr-defined]
        elif (known := self.held.by_id.get(str(fields.get("id")))) is not None:
            number = int(str(fields.get("n", 0)))
            if kind == "attempt":
                known.attempts = number + 1
                known.ran.append((number, int(str(fields["at"])), int(str(fields["zone"]))))
            elif kind == "never":
                known.ran = [ran for ran in known.ran if ran[0] != number]
            elif kind == "decided":
                known.ending, known.come_back = Ending(fields["as"]), int(str(fields["back"]))
            elif kind == "end":
                self._end(known, Ending(fields["as"]), int(str(fields["at"])))

    # The file.

    def _note(self, fields: dict[str, object]) -> None:
        """A record that only lessens what is owed: left out for lack of room, a replay repeats harmlessly."""
        try:
            self._write(fields)
        except JournalFull as error:
            log.error("journal.failed", error=str(error))

    def _write(self, fields: dict[str, object], body: bytes = b"", share: float = WRITE_SHARE) -> None:
        record = pack(fields, body)
        if len(record) > LARGEST:
            raise JournalFull("the record is too long")
        if self.size > COMPACT_SHARE * self.disk and self.size > 2 * self.live:
            self.compact()
        # Old and new file lie side by side while one is compacted, so both must always fit.
        if self.size + self.live + 2 * len(record) + 4 * BLOCK > share * self.disk:
            self.compact()
            if self.size + self.live + 2 * len(record) + 4 * BLOCK > share * self.disk:
                raise JournalFull("the disk's share is used up")
        try:
            written = os.write(self.fd, record)
        except OSError as error:
            raise JournalFull(str(error)) from error
        if written < len(record):  # a disk that filled up midway: leave no torn record in the middle
            os.ftruncate(self.fd, self.size)
            raise JournalFull("a write was cut short")
        self.size += written

    def compact(self) -> None:
        """Write what is still of use to a new file and put it in the old one's place at one stroke."""
        self.held.forget(self.clock())
        ended, keys = list(self.held.ended.items()), list(self.held.keys.items())
        parts = [  # in pieces, so that no record outgrows what a replay accepts
            pack({"t": "past", "ended": dict(ended[at : at + PIECE]), "keys": dict(keys[at : at + PIECE])})
            for at in range(0, max(len(ended), len(keys)), PIECE)
        ]
        parts += [pack(self._whole(known), known.body) for known in self.held.by_id.values()]
        data = b"".join(parts)
        if len(data) >= self.size or self.size + len(data) + 4 * BLOCK > self.disk:
            return
        try:
            fd = os.open(self.spare, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)
            try:
                done = os.write(fd, data)
            except OSError:
                done = -1
            if done < len(data):
                os.close(fd)
                self.spare.unlink(missing_ok=True)
                return
            os.rename(self.spare, self.path)
        except OSError:
            return
        os.close(self.fd)
        self.fd, self.size = fd, len(data)
