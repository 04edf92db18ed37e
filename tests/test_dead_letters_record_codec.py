"""Tests that the sealed and exported forms of records and audit entries are those of earlier releases."""

from __future__ import annotations

import json

import pytest

from honeyhitch.dead_letters.audit import AuditEntry
from honeyhitch.dead_letters.record_codec import RecordCodec
from honeyhitch.dead_letters.record_export import export_record
from honeyhitch.dead_letters.records import Record
from honeyhitch.journal.transactions import Attempt

BASE_TIME = 1_700_000_000_000_000_000  # Unix time, nanoseconds
ATTEMPTS = (
    Attempt(0, "s-1", BASE_TIME + 2, "timeout", 3, 4, "read"),
    Attempt(1, "s-2", BASE_TIME + 4),
)
EXECUTED_RECORD = Record(
    id="m-1",
    ended_at=BASE_TIME + 5,
    accepted_at=BASE_TIME + 1,
    deadline=BASE_TIME + 3,
    destination=7,
    class_name="standard",
    idempotency="keyed",
    deduplication_window=5_000_000_000,
    zone_scoped=True,
    tenant="studio",
    key="k-é",
    frontend="resp",
    recovered_from_journal=True,
    ending="rejected",
    reason="timeout",
    retry_after=2_000_000_000,
    first_possible_execution=BASE_TIME + 2,
    first_execution_zone=1,
    attempts=ATTEMPTS,
    body=b"body \xff",
    sequence=1,
    changed_at=BASE_TIME + 5,
)
REQUESTED_RECORD = Record(
    id="m-2",
    ended_at=BASE_TIME + 5,
    accepted_at=BASE_TIME + 1,
    deadline=BASE_TIME + 3,
    destination=7,
    class_name="standard",
    idempotency="keyed",
    deduplication_window=5_000_000_000,
    zone_scoped=False,
    tenant="studio",
    key="",
    frontend="resp",
    recovered_from_journal=True,
    ending="rejected",
    reason="timeout",
    retry_after=2_000_000_000,
    first_possible_execution=None,
    first_execution_zone=1,
    attempts=ATTEMPTS,
    body=b"text",
    sequence=2,
    changed_at=BASE_TIME + 5,
    client_retry_at=1_700_000_002_000_000_005,
    resend_request="anna: please",
)
# Bytes and text as written by the release with schema 2, which has the columns told_again and asked.
SEALED_EXECUTED_RECORD = (
    b'\x00\x00\x02m{"came_again":1,"came_at":1700000000000000001,"changed_at":1700000000000000005,'
    b'"cls":"standard","come_back":2000000000,"deadline":1700000000000000003,"destination":7,'
    b'"effect":"keyed","ended_at":1700000000000000005,"ending":"rejected","evidence":"",'
    b'"first_ran":1700000000000000002,"first_zone":1,"front":"resp","id":"m-1","key":"k-\\u00e9",'
    b'"packed":0,"plain":6,"reason":"timeout","resend_id":"","resends":0,"seq":1,"settled_by":"",'
    b'"size":446,"standing":"kept","tenant":"studio",'
    b'"tries":"[[0,\\"s-1\\",1700000000000000002,\\"timeout\\",3,4,\\"read\\"],'
    b'[1,\\"s-2\\",1700000000000000004,\\"\\",0,0,\\"\\"]]","window":5000000000,"zoned":1}body \xff'
)
SEALED_REQUESTED_RECORD = (
    b'\x00\x00\x02\x8e{"asked":"anna: please","came_again":1,"came_at":1700000000000000001,"changed_at"'
    b':1700000000000000005,"cls":"standard","come_back":2000000000,"deadline":1700000000000'
    b'000003,"destination":7,"effect":"keyed","ended_at":1700000000000000005,"ending":"reje'
    b'cted","evidence":"","first_ran":null,"first_zone":1,"front":"resp","id":"m-2","key":"'
    b'","packed":0,"plain":4,"reason":"timeout","resend_id":"","resends":0,"seq":2,"settled'
    b'_by":"","size":453,"standing":"kept","tenant":"studio","told_again":17000000020000000'
    b'05,"tries":"[[0,\\"s-1\\",1700000000000000002,\\"timeout\\",3,4,\\"read\\"],[1,\\"s-2\\",1700'
    b'000000000000004,\\"\\",0,0,\\"\\"]]","window":5000000000,"zoned":0}text'
)
EXPORTED_EXECUTED_RECORD = (
    '{"seq": 1, "id": "m-1", "key": "k-\\u00e9", "cls": "standard", "tenant": "studio", "destination": 7,'
    ' "front": "resp", "came_at": 1700000000000000001, "deadline": 1700000000000000003,'
    ' "ended_at": 1700000000000000005, "ending": "rejected", "reason": "timeout", "come_back": 2000000000,'
    ' "came_again": true, "effect": "keyed", "window": 5000000000, "first_ran": 1700000000000000002,'
    ' "evidence": "", "settled_by": "", "resends": 0, "resend_id": "", "changed_at": 1700000000000000005,'
    ' "told_again": null, "asked": "", "standing": "kept", "may_have_run": true,'
    ' "attempts": [{"number": 0, "member": "s-1", "at": 1700000000000000002, "outcome": "timeout",'
    ' "took": 3, "wait": 4, "why": "read", "may_have_run": true},'
    ' {"number": 1, "member": "s-2", "at": 1700000000000000004, "outcome": "lost",'
    ' "took": 0, "wait": 0, "why": "", "may_have_run": true}], "body_hex": "626f647920ff"}'
)


@pytest.mark.parametrize(
    ("record", "sealed"),
    [
        pytest.param(EXECUTED_RECORD, SEALED_EXECUTED_RECORD, id="a record without the later columns"),
        pytest.param(REQUESTED_RECORD, SEALED_REQUESTED_RECORD, id="a record with the later columns"),
    ],
)
def test_the_sealed_bytes_of_a_record_are_those_of_earlier_releases(record: Record, sealed: bytes) -> None:
    assert RecordCodec(compress_min_bytes=512).encode(record).sealed_bytes(record.sequence) == sealed


def test_an_exported_record_is_that_of_earlier_releases() -> None:
    assert json.dumps(export_record(EXECUTED_RECORD, include_body=True)) == EXPORTED_EXECUTED_RECORD


def test_the_sealed_bytes_of_an_audit_entry_are_those_of_earlier_releases() -> None:
    entry = AuditEntry(BASE_TIME + 9, 1, "m-1", "anna", "release", "letter 17")
    assert entry.sealed_bytes() == (
        b'\x00\x00\x00]{"at":1700000000000000009,"id":"m-1","seq":1,"what":"release","who":"anna",'
        b'"why":"letter 17"}'
    )
