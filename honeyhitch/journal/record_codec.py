"""The stored form of the journal's records: the only module that knows the stored field names.

A record in the file is a header (length and checksum of the data after it), the length of the fields, the
fields as JSON, and the body of the message if the record has one. Field names and their order never change,
because an earlier version may have to read the records that this version wrote.
"""

from __future__ import annotations

import json
import struct
import zlib
from collections.abc import Callable, Iterator
from dataclasses import astuple
from typing import Any

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
    NamesRecorded,
    OutageNoted,
    Record,
    RetryAfterNoted,
)
from honeyhitch.journal.settings_names import SettingsNames
from honeyhitch.journal.transactions import Attempt, Ending, PossibleExecution, RememberedKey, Transaction
from honeyhitch.policy.outage_evidence import OutageHistory

RECORD_HEADER = struct.Struct("<II")  # length and checksum of the data after it
FIELDS_LENGTH = struct.Struct("<I")  # length of the JSON in a record; the body follows the JSON
MAX_RECORD_BYTES = 1 << 20  # without the header; a greater length is read as an incomplete record

Fields = dict[str, Any]
_encode_json = json.JSONEncoder(separators=(",", ":")).encode


# Frames: fields and body of one record.


def encode_frame(fields: Fields, body: bytes = b"") -> bytes:
    """Return one stored record with these stored fields and this body."""
    encoded_fields = _encode_json(fields).encode()
    payload = FIELDS_LENGTH.pack(len(encoded_fields)) + encoded_fields + body
    return RECORD_HEADER.pack(len(payload), zlib.crc32(payload)) + payload


def decode_frames(data: bytes) -> Iterator[tuple[Fields, bytes, int]]:
    """Yield the complete records at the start of `data`: stored fields, body, and the end offset of each.

    Decoding stops without an error at the first record that is incomplete or damaged.
    """
    start = 0
    while start + RECORD_HEADER.size <= len(data):
        length, checksum = RECORD_HEADER.unpack_from(data, start)
        payload = data[start + RECORD_HEADER.size : start + RECORD_HEADER.size + length]
        if not FIELDS_LENGTH.size <= length <= MAX_RECORD_BYTES or len(payload) < length:
            return
        if zlib.crc32(payload) != checksum:
            return
        (fields_length,) = FIELDS_LENGTH.unpack_from(payload)
        body_start = FIELDS_LENGTH.size + fields_length
        try:
            fields = json.loads(payload[FIELDS_LENGTH.size : body_start])
        except ValueError:
            return
        start += RECORD_HEADER.size + length
        yield fields, payload[body_start:], start


def encode_record(record: Record) -> bytes:
    """Return a record in its stored form."""
    body = record.message.body if isinstance(record, MessageRecord) else b""
    return encode_frame(_ENCODERS[type(record)](record), body)


def decode_records(data: bytes) -> Iterator[tuple[Record | None, int]]:
    """Yield the complete records at the start of `data` with the end offset of each.

    A record of a kind that this version does not know is yielded as None.
    """
    for fields, body, end in decode_frames(data):
        decode = _DECODERS.get(fields.get("t", ""))
        yield decode(fields, body) if decode is not None else None, end


# Conversion of each kind of record to its stored fields, and back.


# Fields of a message by their names in the stored record, in the order in which they are written.
_ACCEPTED_FIELDS = {
    "id": "id",
    "cls": "class_index",
    "destination": "destination",
    "deadline": "deadline",
    "key": "key",
    "tenant": "tenant",
    "came_again": "recovered_from_journal",
    "front": "frontend",
}
_STATE_FIELDS = {"reply": "reply_context", "attempts": "attempt_count"}
_DETAIL_FIELDS = {
    "came_at": "accepted_at",
    "ended_at": "ended_at",
    "keep": "is_dead_letter",
    "moved": "dead_letter_stored",
}
_MESSAGE_FIELDS = _ACCEPTED_FIELDS | _STATE_FIELDS | _DETAIL_FIELDS
_CONVERTED_FIELDS = frozenset({"t", "ran", "back", "tries", "as", "over"})  # the codec converts their values


def _stored_fields(message: Transaction, names: dict[str, str]) -> Fields:
    return {stored: getattr(message, field) for stored, field in names.items()}


def _encode_message(record: MessageRecord) -> Fields:
    message = record.message
    fields = _stored_fields(message, _ACCEPTED_FIELDS)
    fields["t"] = "taken"
    fields |= _stored_fields(message, _STATE_FIELDS)
    fields["ran"] = message.possible_executions
    fields["back"] = message.retry_after
    if message.is_dead_letter or record.detailed:
        fields |= _stored_fields(message, _DETAIL_FIELDS)
        fields["tries"] = [astuple(attempt) for attempt in message.attempt_history]
    fields["as"] = message.ending.value if message.ending else None
    if record.answered:
        fields["over"] = True
    return fields


def _decode_message(fields: Fields, body: bytes) -> MessageRecord:
    """Decode a message; a field that an earlier version did not write gets its default.

    Raise KeyError for an unknown field.
    """
    values = {_MESSAGE_FIELDS[name]: value for name, value in fields.items() if name not in _CONVERTED_FIELDS}
    message = Transaction(
        body=body,
        possible_executions=[PossibleExecution(*map(int, row)) for row in fields["ran"]],
        attempt_history=[Attempt(*row) for row in fields.get("tries", ())],
        ending=Ending(fields["as"]) if fields["as"] else None,
        retry_after=int(fields["back"]),
        **values,
    )
    return MessageRecord(message, detailed="tries" in fields, answered=fields.get("over", False))


def _encode_attempt_started(record: AttemptStarted) -> Fields:
    fields: Fields = {"t": "attempt", "id": record.message, "n": record.number}
    fields["at"] = record.started_at
    fields["zone"] = record.zone
    if record.endpoint is not None:
        fields["to"] = record.endpoint
    return fields


def _decode_attempt_started(fields: Fields, _: bytes) -> AttemptStarted:
    endpoint = str(fields["to"]) if "to" in fields else None
    return AttemptStarted(
        str(fields["id"]), int(fields["n"]), int(fields["at"]), int(fields["zone"]), endpoint
    )


def _encode_outcome(record: AttemptOutcome) -> Fields:
    attempt = record.attempt
    return {
        "t": "outcome",
        "id": record.message,
        "n": attempt.number,
        "to": attempt.endpoint,
        "at": attempt.started_at,
        "as": attempt.outcome,
        "took": attempt.elapsed,
        "wait": attempt.retry_after,
        "why": attempt.failure_reason,
    }


def _decode_outcome(fields: Fields, _: bytes) -> AttemptOutcome:
    attempt = Attempt(
        number=int(fields["n"]),
        endpoint=str(fields.get("to", "")),
        started_at=int(fields.get("at", 0)),
        outcome=str(fields["as"]),
        elapsed=int(fields["took"]),
        retry_after=int(fields["wait"]),
        failure_reason=str(fields["why"]),
    )
    return AttemptOutcome(str(fields["id"]), attempt)


def _encode_not_executed(record: AttemptNotExecuted) -> Fields:
    return {"t": "never", "id": record.message, "n": record.number}


def _decode_not_executed(fields: Fields, _: bytes) -> AttemptNotExecuted:
    return AttemptNotExecuted(str(fields["id"]), int(fields["n"]))


def _encode_decided(record: EndingDecided) -> Fields:
    fields: Fields = {"t": "decided", "id": record.message, "as": record.ending.value}
    fields["back"] = record.retry_after
    if record.is_dead_letter:
        fields["at"] = record.ended_at
        fields["keep"] = True
    return fields


def _decode_decided(fields: Fields, _: bytes) -> EndingDecided:
    return EndingDecided(
        message=str(fields["id"]),
        ending=Ending(fields["as"]),
        retry_after=int(fields["back"]),
        ended_at=int(fields.get("at", 0)),
        is_dead_letter=bool(fields.get("keep", False)),
    )


def _encode_ended(record: MessageEnded) -> Fields:
    return {"t": "end", "id": record.message, "as": record.ending.value, "at": record.ended_at}


def _decode_ended(fields: Fields, _: bytes) -> MessageEnded:
    return MessageEnded(str(fields["id"]), Ending(fields["as"]), int(fields["at"]))


def _encode_dead_letter_stored(record: DeadLetterStored) -> Fields:
    return {"t": "kept", "id": record.message, "at": record.ended_at}


def _decode_dead_letter_stored(fields: Fields, _: bytes) -> DeadLetterStored:
    return DeadLetterStored(str(fields["id"]), int(fields["at"]))


def _encode_retry_after(record: RetryAfterNoted) -> Fields:
    return {"t": "wait", "dest": record.destination, "of": record.endpoint, "until": record.until}


def _decode_retry_after(fields: Fields, _: bytes) -> RetryAfterNoted:
    return RetryAfterNoted(int(fields["dest"]), str(fields["of"]), int(fields["until"]))


def _encode_outage(record: OutageNoted) -> Fields:
    history = record.history
    return {
        "t": "outage",
        "dest": record.destination,
        "of": record.endpoint,
        "since": history.failing_since,
        "rejected": history.only_rejections,
        "back_at": history.recovered_at,
        "took": history.outage_duration,
        "until": history.slow_start_ends_at,
        "ends_by": history.ends_by,
    }


def _decode_outage(fields: Fields, _: bytes) -> OutageNoted:
    history = OutageHistory(
        failing_since=int(fields["since"]),
        only_rejections=bool(fields["rejected"]),
        recovered_at=int(fields["back_at"]),
        outage_duration=int(fields["took"]),
        slow_start_ends_at=int(fields["until"]),
        ends_by=int(fields["ends_by"]),
    )
    return OutageNoted(int(fields["dest"]), str(fields["of"]), history)


def _encode_owner(record: JournalOwner) -> Fields:
    return {"t": "born", "v": record.version, "name": record.name}


def _decode_owner(fields: Fields, _: bytes) -> JournalOwner:
    return JournalOwner(int(fields["v"]), str(fields["name"]))


def _encode_names(record: NamesRecorded) -> Fields:
    names = record.names
    return {"t": "names", "cls": names.classes, "tenants": names.tenants, "zones": names.zones}


def _decode_names(fields: Fields, _: bytes) -> NamesRecorded:
    lists = (tuple(map(str, fields[key])) for key in ("cls", "tenants", "zones"))
    return NamesRecorded(SettingsNames(*lists))


def _encode_handed_over(record: MessagesHandedOver) -> Fields:
    return {"t": "passed", "ids": record.messages}


def _decode_handed_over(fields: Fields, _: bytes) -> MessagesHandedOver:
    return MessagesHandedOver([str(name) for name in fields["ids"]])


def _encode_calls_in_flight(record: CallsInFlight) -> Fields:
    return {"t": "out", "n": record.count}


def _decode_calls_in_flight(fields: Fields, _: bytes) -> CallsInFlight:
    return CallsInFlight(None if fields["n"] is None else int(fields["n"]))


def _encode_reclaimed(_: HandoverReclaimed) -> Fields:
    return {"t": "back"}


def _decode_reclaimed(_fields: Fields, _: bytes) -> HandoverReclaimed:
    return HandoverReclaimed()


def _encode_ended_messages(record: EndedMessages) -> Fields:
    fields: Fields = {"t": "past", "ended": record.concluded, "keys": record.delivered_keys}
    if record.attempted_keys:  # earlier versions ignore them
        fields["tried"] = record.attempted_keys
    return fields


def _decode_ended_messages(fields: Fields, _: bytes) -> EndedMessages:
    return EndedMessages(fields["ended"], _decode_keys(fields["keys"]), _decode_keys(fields.get("tried", {})))


def _decode_keys(rows: dict[str, list[int]]) -> dict[str, RememberedKey]:
    return {key: RememberedKey(*row) for key, row in rows.items()}


_ENCODERS: dict[type, Callable[[Any], Fields]] = {
    MessageRecord: _encode_message,
    AttemptStarted: _encode_attempt_started,
    AttemptOutcome: _encode_outcome,
    AttemptNotExecuted: _encode_not_executed,
    EndingDecided: _encode_decided,
    MessageEnded: _encode_ended,
    DeadLetterStored: _encode_dead_letter_stored,
    RetryAfterNoted: _encode_retry_after,
    OutageNoted: _encode_outage,
    JournalOwner: _encode_owner,
    NamesRecorded: _encode_names,
    MessagesHandedOver: _encode_handed_over,
    CallsInFlight: _encode_calls_in_flight,
    HandoverReclaimed: _encode_reclaimed,
    EndedMessages: _encode_ended_messages,
}
_DECODERS: dict[str, Callable[[Fields, bytes], Record]] = {
    "taken": _decode_message,
    "attempt": _decode_attempt_started,
    "outcome": _decode_outcome,
    "never": _decode_not_executed,
    "decided": _decode_decided,
    "end": _decode_ended,
    "kept": _decode_dead_letter_stored,
    "wait": _decode_retry_after,
    "outage": _decode_outage,
    "born": _decode_owner,
    "names": _decode_names,
    "passed": _decode_handed_over,
    "out": _decode_calls_in_flight,
    "back": _decode_reclaimed,
    "past": _decode_ended_messages,
}
