"""What a journal's records add up to: the transactions held, and what is remembered of those that ended.

The process that writes a journal keeps this account, and so does one that reads the journal of the process
beside it.
"""

from __future__ import annotations

import json
import struct
import zlib
from collections.abc import Callable, Iterator

from honeyhitch.journal.transactions import Attempt, Ending, MessageTable, Transaction

RECORD_HEADER = struct.Struct("<II")  # length and checksum of what follows
FIELDS_LENGTH = struct.Struct("<I")  # length of the JSON in a record; the body follows it
# How fields of a transaction are called in a stored record, in the order in which they are written.
STORED_FIELDS = {
    "id": "id",
    "cls": "class_index",
    "destination": "destination",
    "deadline": "deadline",
    "key": "key",
    "tenant": "tenant",
    "came_again": "recovered_from_journal",
    "front": "frontend",
}
STORED_STATE = {"reply": "reply_context", "attempts": "attempt_count"}
STORED_DETAIL = {
    "came_at": "accepted_at",
    "ended_at": "ended_at",
    "keep": "is_dead_letter",
    "moved": "dead_letter_stored",
}
FIELD_OF_STORED = STORED_FIELDS | STORED_STATE | STORED_DETAIL
MAX_RECORD_BYTES = 1 << 20  # bytes in one record; a greater length is a torn one


def encode_record(fields: dict[str, object], body: bytes = b"") -> bytes:
    """One record as it lies in the file."""
    text = json.dumps(fields, separators=(",", ":")).encode()
    payload = FIELDS_LENGTH.pack(len(text)) + text + body
    return RECORD_HEADER.pack(len(payload), zlib.crc32(payload)) + payload


def decode_records(data: bytes) -> Iterator[tuple[dict[str, object], bytes, int]]:
    """The whole records at the front of `data`: fields, body and where each ends."""
    at = 0
    while at + RECORD_HEADER.size <= len(data):
        length, checksum = RECORD_HEADER.unpack_from(data, at)
        payload = data[at + RECORD_HEADER.size : at + RECORD_HEADER.size + length]
        if (
            not FIELDS_LENGTH.size <= length <= MAX_RECORD_BYTES
            or len(payload) < length
            or zlib.crc32(payload) != checksum
        ):
            return
        (split,) = FIELDS_LENGTH.unpack_from(payload)
        try:
            fields = json.loads(payload[FIELDS_LENGTH.size : FIELDS_LENGTH.size + split])
        except ValueError:
            return
        at += RECORD_HEADER.size + length
        yield fields, payload[FIELDS_LENGTH.size + split :], at


class JournalState:
    """`held` is what a replay of the records gives."""

    def __init__(self, max_remembered: int, retention: Callable[[Transaction], int]) -> None:
        self.retention, self.messages = retention, MessageTable(max_remembered)
        self.live_bytes = 0  # bytes of the records that compaction would keep, roughly
        self.dead_letter_bytes = 0  # and of these, what belongs to messages that only wait for the store
        self.sizes: dict[str, int] = {}
        self.retry_after_until: dict[
            tuple[int, str], int
        ] = {}  # told by a member of a destination: until when
        self.handed_over: dict[
            str, Transaction
        ] = {}  # held here, but the process beside this one goes on with it
        self.calls_in_flight: int | None = None  # calls out of one that passes on; none that has not begun to
        # Of the dispatcher, and of the journal's form; 0 before there was one.
        self.name, self.version = "", 0

    def _add_message(self, transaction: Transaction) -> None:
        self.live_bytes -= self.sizes.get(transaction.id, 0)  # one that was passed on may come back
        self.handed_over.pop(transaction.id, None)
        self.messages.by_id[transaction.id] = transaction
        self.sizes[transaction.id] = size = self._estimated_bytes(transaction)
        self.live_bytes += size

    def has_accepted(self, name: str) -> bool:
        """It is held, or was and is remembered."""
        return name in self.messages.by_id or name in self.messages.concluded

    def _add_pending_dead_letter(self, transaction: Transaction) -> None:
        """It was answered, and only waits for the store."""
        self.messages.pending_dead_letters[transaction.id, transaction.ended_at] = transaction
        size = self._estimated_bytes(transaction)
        self.live_bytes, self.dead_letter_bytes = self.live_bytes + size, self.dead_letter_bytes + size

    def _end(self, transaction: Transaction, ending: Ending, at: int) -> None:
        transaction.ending = ending
        self.messages.by_id.pop(transaction.id, None)
        self.handed_over.pop(transaction.id, None)
        size = self.sizes.pop(transaction.id, 0)
        if transaction.is_dead_letter and not transaction.dead_letter_stored:
            self.messages.pending_dead_letters[transaction.id, transaction.ended_at] = transaction
            self.dead_letter_bytes += size
        else:
            self.live_bytes -= size
        until = at + self.retention(transaction)
        self.messages.concluded[transaction.id] = until
        first = transaction.first_possible_execution()
        if ending is Ending.DELIVERED and transaction.key and first is not None:
            # A copy's own first attempt is later: the window counts from the earliest one.
            first = min(first, self.messages.first_execution_of_key(transaction, at) or first)
            self.messages.delivered_keys[self.messages.scoped_key(transaction)] = (*first, until)

    @staticmethod
    def _estimated_bytes(transaction: Transaction) -> int:  # bytes, with its later records
        return len(transaction.body) + 512

    def _remove_dead_letter(self, name: str, at: int) -> None:
        if (
            (known := self.messages.by_id.get(name)) is not None
            and known.ended_at == at
            and known.is_dead_letter
        ):
            known.dead_letter_stored = True  # its answer is still to be sent
        elif (left := self.messages.pending_dead_letters.pop((name, at), None)) is not None:
            left.dead_letter_stored = True
            self.live_bytes, self.dead_letter_bytes = (
                self.live_bytes - self._estimated_bytes(left),
                self.dead_letter_bytes - self._estimated_bytes(left),
            )

    def _apply(self, fields: dict[str, object], body: bytes) -> None:
        kind = fields.pop("t", None)
        if kind == "taken":
            ending, back = fields.pop("as"), fields.pop("back")
            ran = [(int(n), int(at), int(zone)) for n, at, zone in fields.pop("ran")]  # type: ignore[attr-defined]
            tries, over = fields.pop("tries", ()), fields.pop("over", False)
            values = {FIELD_OF_STORED[name]: value for name, value in fields.items()}
            transaction = Transaction(body=body, possible_executions=ran, **values)  # type: ignore[arg-type]
            transaction.attempt_history = [Attempt(*told) for told in tries]  # type: ignore[attr-defined]
            transaction.ending, transaction.retry_after = Ending(ending) if ending else None, int(str(back))
            if over:  # answered: it only waits for the store
                self._add_pending_dead_letter(transaction)
            else:
                self._add_message(transaction)
        elif kind == "wait":
            self.retry_after_until[int(str(fields["dest"])), str(fields["of"])] = int(str(fields["until"]))
        elif kind == "born":
            self.name, self.version = str(fields["name"]), int(str(fields["v"]))
        elif kind == "kept":
            self._remove_dead_letter(str(fields["id"]), int(str(fields["at"])))
        elif kind == "passed":
            names = (str(name) for name in fields["ids"])  # type: ignore[attr-defined]
            self.handed_over.update(
                {name: self.messages.by_id[name] for name in names if name in self.messages.by_id}
            )
        elif kind == "out":
            self.calls_in_flight = None if fields["n"] is None else int(str(fields["n"]))
        elif kind == "back":
            self.handed_over, self.calls_in_flight = {}, None
        elif kind == "past":
            self.messages.concluded.update(fields["ended"])  # type: ignore[call-overload]
            self.messages.delivered_keys.update({key: tuple(row) for key, row in fields["keys"].items()})  # type: ignore[attr-defined]
        elif (known := self.messages.by_id.get(str(fields.get("id")))) is not None:
            number = int(str(fields.get("n", 0)))
            if kind == "attempt":
                known.attempt_count = number + 1
                known.possible_executions.append((number, int(str(fields["at"])), int(str(fields["zone"]))))
                if "to" in fields:
                    known.attempt_history.append(Attempt(number, str(fields["to"]), int(str(fields["at"]))))
            elif kind == "outcome":
                told = next((one for one in known.attempt_history if one.number == number), None)
                if told is None:  # it never began
                    told = Attempt(number, str(fields.get("to", "")), int(str(fields.get("at", 0))))
                    known.attempt_history.append(told)
                told.outcome, told.failure_reason = str(fields["as"]), str(fields["why"])
                told.elapsed, told.retry_after = int(str(fields["took"])), int(str(fields["wait"]))
            elif kind == "never":
                known.attempt_count = max(known.attempt_count, number + 1)
                known.possible_executions = [ran for ran in known.possible_executions if ran[0] != number]
            elif kind == "decided":
                known.ending, known.retry_after = Ending(fields["as"]), int(str(fields["back"]))
                known.ended_at, known.is_dead_letter = (
                    int(str(fields.get("at", 0))),
                    bool(fields.get("keep", False)),
                )
            elif kind == "end":
                self._end(known, Ending(fields["as"]), int(str(fields["at"])))
