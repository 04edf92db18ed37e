"""Tests the store of dead letters: its records, limits, files, seals, and the operations on it."""

from __future__ import annotations

import json
import os
import sqlite3
import stat
from pathlib import Path
from typing import Any

import pytest

from honeyhitch.dead_letters import files, operations, schema
from honeyhitch.dead_letters.files import StoreError
from honeyhitch.dead_letters.filters import FilterError, RecordFilter
from honeyhitch.dead_letters.records import RecordStatus
from honeyhitch.dead_letters.seal import SealError, SealKeys
from honeyhitch.dead_letters.settings import StoreLimits
from honeyhitch.dead_letters.store import Store
from honeyhitch.time_units import DAY

from .dead_letter_records import make_record, open_store
from .rig import START


def test_a_stored_record_is_read_unchanged(tmp_path: Path) -> None:
    store = open_store(tmp_path)
    records = [
        make_record(body=bytes(range(256))),
        make_record(may_have_executed=True, body=b"x" * 20_000),
        make_record(body=b"", key=""),
    ]
    assert store.add(records) == []
    store.close()
    reopened = open_store(tmp_path, writes=False)
    for record in records:
        stored = reopened.get(record.sequence)
        assert stored is not None
        assert not stored.fault
        assert stored.record == record
    assert reopened.get(99) is None
    (size,) = reopened.database.execute("SELECT length(body) FROM detail WHERE seq = 2").fetchone()
    assert size < 200, "a body beyond the threshold is compressed"
    assert reopened.record_count == 3
    assert reopened.stored_bytes == store.stored_bytes


def test_only_the_owner_can_access_the_files(tmp_path: Path) -> None:
    store = open_store(tmp_path / "inner")
    store.add([make_record()])
    assert stat.S_IMODE(os.stat(tmp_path / "inner").st_mode) == 0o700
    for path in (tmp_path / "inner").iterdir():
        assert stat.S_IMODE(path.stat().st_mode) & 0o077 == 0, path.name


def test_a_record_added_twice_is_stored_once(tmp_path: Path) -> None:
    store, record = open_store(tmp_path), make_record()
    store.add([record])
    store.add([record, make_record(id=record.id, ended_at=START + 1)])
    assert store.record_count == 2 == store.count_by(RecordFilter(), ())[0].count


def test_a_failed_transaction_is_rolled_back(tmp_path: Path) -> None:
    store = open_store(tmp_path)
    store.add([make_record()])
    before = store.record_count, store.stored_bytes

    def add_and_fail() -> None:
        with store.transaction():
            store.add([make_record(), make_record()])
            raise ZeroDivisionError

    with pytest.raises(ZeroDivisionError):
        add_and_fail()
    assert (store.record_count, store.stored_bytes) == before
    assert len(store.page(RecordFilter())) == 1


# Limits.


def test_settled_records_are_dropped_first_and_possibly_executed_ones_last(tmp_path: Path) -> None:
    store = open_store(tmp_path, limits=StoreLimits(max_records=4))
    possibly_executed, never_executed, settled = (
        make_record(may_have_executed=True),
        make_record(),
        make_record(may_have_executed=True, status=RecordStatus.SETTLED),
    )
    resending = make_record(status=RecordStatus.RESENDING)
    store.add([possibly_executed, never_executed, settled, resending])
    assert [
        (dropped.reason, dropped.may_have_executed, dropped.ids)
        for dropped in store.add([make_record(may_have_executed=True)])
    ] == [("room", True, (settled.id,))]
    assert [dropped.ids for dropped in store.add([make_record(may_have_executed=True)])] == [
        (never_executed.id,)
    ]
    newest = make_record()
    assert [dropped.ids for dropped in store.add([newest])] == [(newest.id,)], (
        "the new record is dropped rather than one that may have been executed"
    )
    assert [dropped.ids for dropped in store.add([make_record(may_have_executed=True)])] == [
        (possibly_executed.id,)
    ]
    assert {stored.record.id for stored in store.page(RecordFilter())} >= {resending.id}
    assert store.record_count == 4
    totals = {
        (dropped.reason, dropped.may_have_executed): dropped.count for dropped in store.dropped_totals()
    }
    assert totals == {("room", False): 2, ("room", True): 2}


def test_stored_bytes_are_limited_and_counted_the_same_after_reopening(tmp_path: Path) -> None:
    store = open_store(tmp_path, limits=StoreLimits(max_bytes=20_000), compress_min_bytes=1 << 30)
    for _ in range(100):
        store.add([make_record(body=os.urandom(500))])
        assert store.stored_bytes <= 20_000
    assert 10 < store.record_count < 30
    count, stored_bytes = store.record_count, store.stored_bytes
    store.close()
    reopened = open_store(tmp_path, limits=StoreLimits(max_bytes=20_000))
    assert (reopened.record_count, reopened.stored_bytes) == (count, stored_bytes)


def test_records_over_the_age_limit_are_dropped_but_not_a_resend_in_flight(tmp_path: Path) -> None:
    now = START
    store = Store(tmp_path, StoreLimits(max_age=10 * DAY), clock=lambda: now)
    store.add(
        [
            make_record(may_have_executed=True),
            make_record(),
            make_record(status=RecordStatus.RESENDING),
            make_record(ended_at=START + 5 * DAY),
        ]
    )
    now = START + 11 * DAY
    dropped_records = store.enforce_limits()
    assert sorted(
        (dropped.reason, dropped.may_have_executed, dropped.count) for dropped in dropped_records
    ) == [
        ("age", False, 1),
        ("age", True, 1),
    ]
    assert [stored.record.status.value for stored in store.page(RecordFilter())] == ["sending", "kept"]


def test_an_add_to_a_full_file_fails_without_effect(tmp_path: Path) -> None:
    """A page limit simulates a full disk: an add fails without effect, and succeeds once there is space."""
    store = open_store(tmp_path)
    (page_count,) = store.database.execute("PRAGMA page_count").fetchone()
    store.database.execute(f"PRAGMA max_page_count={page_count + 4}")
    with pytest.raises(sqlite3.OperationalError, match="full"):
        store.add([make_record(body=os.urandom(5000)) for _ in range(50)])
    assert store.record_count == 0
    assert store.page(RecordFilter()) == []
    store.database.execute("PRAGMA max_page_count=100000")
    store.add([make_record()])
    assert store.record_count == 1


# Files of other programs, damaged files, and files in use.


def test_a_second_writer_is_refused_and_a_reader_is_not(tmp_path: Path) -> None:
    store = open_store(tmp_path)
    store.add([make_record()])
    with pytest.raises(files.StoreInUseError, match=f"process {os.getpid()} writes this store already"):
        open_store(tmp_path)
    assert len(open_store(tmp_path, writes=False).page(RecordFilter())) == 1
    store.close()
    open_store(tmp_path).close()


def file_contents(folder: Path) -> dict[str, bytes]:
    """Return the contents of the permanent files; SQLite adds a shared-memory file even for a reader."""
    transient = (files.LOCK_FILE, f"{files.DATABASE_FILE}-shm", f"{files.DATABASE_FILE}-wal")
    return {path.name: path.read_bytes() for path in folder.iterdir() if path.name not in transient}


def test_a_newer_schema_is_refused_and_left_as_it_is(tmp_path: Path) -> None:
    store = open_store(tmp_path)
    store.add([make_record()])
    store.close()
    database = sqlite3.connect(tmp_path / files.DATABASE_FILE)
    database.execute(f"PRAGMA user_version={schema.VERSION + 1}")
    database.execute("ALTER TABLE record ADD COLUMN more TEXT")
    database.commit()
    database.close()
    before = file_contents(tmp_path)
    for writes in (True, False):
        with pytest.raises(StoreError, match="newer honeyhitch"):
            open_store(tmp_path, writes=writes)
    assert file_contents(tmp_path) == before


def test_a_file_of_another_program_is_refused_and_left_as_it_is(tmp_path: Path) -> None:
    database = sqlite3.connect(tmp_path / files.DATABASE_FILE)
    database.execute("CREATE TABLE mine (x)")
    database.commit()
    database.close()
    before = file_contents(tmp_path)
    with pytest.raises(StoreError, match="not a store"):
        open_store(tmp_path)
    assert file_contents(tmp_path) == before


def test_an_unusable_directory_is_reported(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("")
    with pytest.raises(StoreError, match="file/inner"):
        open_store(tmp_path / "file" / "inner")
    with pytest.raises(StoreError, match="there is no store"):
        open_store(tmp_path, writes=False)


def test_a_moved_file_is_detected(tmp_path: Path) -> None:
    store = open_store(tmp_path)
    assert store.path_names_open_file()
    os.rename(tmp_path / files.DATABASE_FILE, tmp_path / "away")
    assert not store.path_names_open_file()


def test_a_file_truncated_anywhere_is_refused_or_reported(tmp_path: Path) -> None:
    store = open_store(tmp_path / "whole")
    store.add([make_record(body=os.urandom(3000)) for _ in range(20)])
    store.close()
    data = (tmp_path / "whole" / files.DATABASE_FILE).read_bytes()
    for length in range(0, len(data), 1024 + 512):
        folder = tmp_path / f"cut{length}"
        folder.mkdir()
        (folder / files.KEY_FILE).write_bytes((tmp_path / "whole" / files.KEY_FILE).read_bytes())
        (folder / files.KEY_FILE).chmod(0o600)
        (folder / files.DATABASE_FILE).write_bytes(data[:length])
        assert length == 0 or is_reported_as_damaged(folder), f"cut at {length} of {len(data)}"


def is_reported_as_damaged(folder: Path) -> bool:
    try:
        store = open_store(folder)
    except StoreError:
        return True
    try:
        return bool(list(store.verify()))
    except files.DAMAGE_ERRORS:
        return True
    finally:
        store.close()


def test_a_changed_value_in_any_sealed_column_is_reported_for_that_record_alone(tmp_path: Path) -> None:
    """Each column of the sealed tables is altered in turn."""
    store = open_store(tmp_path)
    store.add([make_record(may_have_executed=True, body=b"x" * 600), make_record(), make_record()])
    tables = {"record": "seq", "detail": "seq"}
    for table, key_column in tables.items():
        for _, column, *_ in store.database.execute(f"PRAGMA table_info({table})").fetchall():
            if column == key_column:
                continue
            (original,) = store.database.execute(f"SELECT {column} FROM {table} WHERE seq = 1").fetchone()
            for altered in (with_a_flipped_bit(original), None, "text", 1 << 40, b"\xff"):
                if altered == original:
                    continue
                try:
                    store.database.execute(f"UPDATE {table} SET {column} = ? WHERE seq = 1", (altered,))
                except sqlite3.IntegrityError:
                    continue
                stored = store.get(1)
                assert stored is not None
                assert stored.fault, f"{table}.{column}: {original!r} became {altered!r}"
                assert "altered" in stored.fault or "key" in stored.fault
                assert len([line for line in store.verify() if line.startswith("record 1 ")]) == 1
                arguments = {"verb": "release", "filter": {"seq": "1"}, "why": "x"}
                assert operations.execute(store, "change", arguments, "me")["left"][0]["why"] == stored.fault
                assert operations.execute(store, "show", {"seq": 1}, "me")["record"]["intact"] is False
            store.database.execute(f"UPDATE {table} SET {column} = ? WHERE seq = 1", (original,))
            assert list(store.verify()) == []


def with_a_flipped_bit(value: Any) -> Any:
    if isinstance(value, int):
        return value ^ 1
    if isinstance(value, str):
        return chr(ord(value[0]) ^ 1) + value[1:] if value else "x"
    return bytes([value[0] ^ 1]) + value[1:] if value else 1


def test_a_flipped_bit_in_the_file_is_reported_or_harmless(tmp_path: Path) -> None:
    """No flipped bit makes the store return a record that was never added."""
    store = open_store(tmp_path / "whole")
    records = [
        make_record(may_have_executed=bool(i % 2), body=os.urandom(700), key=f"key-{i}") for i in range(12)
    ]
    store.add(records)
    store.update(records[0], "me", "release", "the partner's letter of today")
    store.close()
    data = bytearray((tmp_path / "whole" / files.DATABASE_FILE).read_bytes())
    original_records = {record.sequence: record for record in records}
    folder = tmp_path / "flipped"
    folder.mkdir()
    SealKeys.load(tmp_path / "whole" / files.KEY_FILE).save(folder / files.KEY_FILE)
    damage_reports = 0
    for offset in range(0, len(data), 97):
        data[offset] ^= 1 << offset % 8
        for path in folder.glob(f"{files.DATABASE_FILE}*"):
            path.unlink()
        (folder / files.DATABASE_FILE).write_bytes(data)
        damage_reports += is_reported_as_damaged(folder)
        try:
            reader = open_store(folder, writes=False)
            for stored in reader.iterate(RecordFilter()):
                assert stored.fault or stored.record == original_records[stored.record.sequence], (
                    f"the flipped bit at {offset} was not reported"
                )
            reader.close()
        except (StoreError, *files.DAMAGE_ERRORS):
            pass
        data[offset] ^= 1 << offset % 8
    assert damage_reports > 50


# Keys.


def test_a_key_file_that_others_may_read_or_that_is_malformed_is_refused(tmp_path: Path) -> None:
    open_store(tmp_path).close()
    path = tmp_path / files.KEY_FILE
    path.chmod(0o640)
    with pytest.raises(StoreError, match="mode must be 0600"):
        open_store(tmp_path)
    path.chmod(0o600)
    for text in ("", "{}", '{"keys": {}}', '{"keys": {"1": "00"}}', '{"keys": {"x": "00"}}', "[1]"):
        path.write_text(text)
        with pytest.raises(SealError, match=r"keys\.json"):
            SealKeys.load(path)


def test_a_record_whose_key_is_lost_is_reported_as_unverifiable(tmp_path: Path) -> None:
    store = open_store(tmp_path)
    store.add([make_record()])
    store.close()
    (tmp_path / files.KEY_FILE).unlink()
    reopened = open_store(tmp_path)
    reopened.add([make_record()])
    assert [stored.fault for stored in reopened.page(RecordFilter())] == [
        "sealed with key 1, which is not there",
        "",
    ]


def rotate_key(store: Store) -> int:
    """Run all steps of a key rotation; return the number of rows that could not be sealed again."""
    arguments: dict[str, Any] = {"step": "start"}
    while arguments["step"]:
        answer = operations.execute(store, "rekey", arguments, "me")
        arguments = {"step": answer["next"], "after": answer.get("after", 0)}
    return int(answer["left"])


def test_a_reader_loads_the_writers_new_key(tmp_path: Path) -> None:
    store = open_store(tmp_path)
    store.add([make_record()])
    reader = open_store(tmp_path, writes=False)
    assert rotate_key(store) == 0
    assert [stored.fault for stored in reader.page(RecordFilter())] == [""]
    assert reader.audit_page()[0].intact


@pytest.mark.parametrize("interrupted_at", [None, 0, 1, 2, 3])
def test_a_key_rotation_interrupted_at_any_step_can_be_completed(
    tmp_path: Path, interrupted_at: int | None
) -> None:
    store = open_store(tmp_path)
    store.add([make_record() for _ in range(500)])
    store.update(store.page(RecordFilter())[0].record, "me", "discard", "because")
    if interrupted_at is not None:
        transaction_numbers = iter(range(100))
        begin_transaction = store.transaction

        def interrupted_transaction() -> Any:
            if next(transaction_numbers) == interrupted_at:
                raise KeyboardInterrupt
            return begin_transaction()

        store.transaction = interrupted_transaction  # type: ignore[method-assign]
        with pytest.raises(KeyboardInterrupt):
            rotate_key(store)
    else:
        assert rotate_key(store) == 0
    store.close()
    reopened = open_store(tmp_path)
    assert list(reopened.verify()) == []
    assert rotate_key(reopened) == 0
    assert list(reopened.verify()) == []
    assert list(json.loads((tmp_path / files.KEY_FILE).read_text())["keys"]) == [
        str(reopened.keys.newest_number)
    ]


def test_the_old_key_stays_while_a_record_cannot_be_verified(tmp_path: Path) -> None:
    store = open_store(tmp_path)
    store.add([make_record(), make_record()])
    store.database.execute("UPDATE record SET tenant = 'other' WHERE seq = 1")
    assert rotate_key(store) == 1
    assert sorted(store.keys.keys) == [1, 2]
    assert [bool(stored.fault) for stored in store.page(RecordFilter())] == [True, False]


# Operations that operators request.


def test_filters_pages_and_counts(tmp_path: Path) -> None:
    store = open_store(tmp_path)
    for i in range(250):
        store.add(
            [
                make_record(
                    may_have_executed=i % 2 == 0,
                    destination=i % 5,
                    tenant=f"t{i % 3}",
                    ended_at=START + i,
                    id=f"n{i}",
                )
            ]
        )
    filter_texts = {"destination": "3", "may_have_run": "yes"}
    sequences: list[int] = []
    arguments: dict[str, Any] = {"filter": filter_texts, "most": 10}
    while True:
        page = operations.execute(store, "list", arguments, "me")
        sequences += [exported["seq"] for exported in page["records"]]
        arguments["after"] = page["after"]
        if not page["more"]:
            break
    assert len(sequences) == 25 == len(set(sequences))
    assert sequences == sorted(sequences)
    newest = operations.execute(store, "list", {"newest_first": True, "most": 2}, "me")
    assert [exported["id"] for exported in newest["records"]] == ["n249", "n248"]
    next_page = operations.execute(
        store, "list", {"newest_first": True, "most": 2, "after": newest["after"]}, "me"
    )
    assert [exported["id"] for exported in next_page["records"]] == ["n247", "n246"]
    time_range = {"since": str(START + 10), "until": str(START + 20)}
    assert len(operations.execute(store, "list", {"filter": time_range}, "me")["records"]) == 10
    groups = operations.execute(store, "stats", {"by": ["tenant"], "filter": filter_texts}, "me")["groups"]
    assert sum(group["count"] for group in groups) == 25
    assert {group["tenant"] for group in groups} == {
        "t0",
        "t1",
        "t2",
    }


@pytest.mark.parametrize(
    ("name", "arguments", "error"),
    [
        ("list", {"most": 5000}, "most: expected a whole number of at most 1000, got 5000"),
        ("list", {"after": -1}, "after: "),
        ("list", {"filter": {"colour": "red"}}, "filter.colour: no such filter"),
        (
            "list",
            {"filter": {"destination": "one"}},
            "filter.destination: expected a whole number, got 'one'",
        ),
        ("list", {"filter": {"may_have_run": "1"}}, "filter.may_have_run: expected yes or no, got '1'"),
        ("list", {"filter": {"standing": "lost"}}, "filter.standing: expected one of kept, sending, "),
        ("list", {"filter": {"since": "9" * 30}}, "filter.since: expected a whole number"),
        ("list", {"filter": ["x"]}, "filter: expected an object of texts"),
        ("list", {"bodies": "yes"}, "bodies: expected true or false, got 'yes'"),
        ("stats", {"by": ["body"]}, "by: expected some of "),
        ("show", {"seq": 5}, "seq: there is no record 5"),
        ("show", {"seq": True}, "seq: expected a whole number"),
        (
            "change",
            {"verb": "eat", "why": "x"},
            "verb: expected one of discard, settle, release, resend, got 'eat'",
        ),
        ("change", {"verb": "discard"}, "why: expected a text of 1 to 1000 characters"),
        ("change", {"verb": "discard", "why": " "}, "why: expected a text"),
        (
            "purge",
            {"why": "x", "altered": True},
            "filter.seq: expected the number of a record that was altered",
        ),
        ("eat", {}, "eat: no such operation"),
    ],
)
def test_a_faulty_request_is_refused_with_its_field(
    tmp_path: Path, name: str, arguments: dict[str, Any], error: str
) -> None:
    with pytest.raises(operations.OperationError) as raised:
        operations.execute(open_store(tmp_path), name, arguments, "me")
    assert str(raised.value).startswith(error)


def test_a_filter_is_converted_to_texts_and_back() -> None:
    record_filter = RecordFilter(sequence=3, class_name="standard", may_have_executed=False, since=5)
    assert RecordFilter.parse(record_filter.to_texts()) == record_filter
    with pytest.raises(FilterError, match="seq"):
        RecordFilter.parse({"seq": "³"})


def test_each_change_is_audited_and_a_dry_run_changes_nothing(tmp_path: Path) -> None:
    store = open_store(tmp_path)
    store.add(
        [make_record(may_have_executed=True), make_record(), make_record(status=RecordStatus.RESENDING)]
    )
    before = [stored.record for stored in store.page(RecordFilter())]
    arguments = {"verb": "release", "why": "letter 17 of the partner", "dry_run": True}
    preview = operations.execute(store, "change", arguments, "anna")
    assert [exported["seq"] for exported in preview["done"]] == [1]
    assert {exported["seq"]: exported["why"] for exported in preview["left"]} == {
        2: "it never ran: nothing has to be proved before it is sent",
        3: "it is sending",
    }
    assert [stored.record for stored in store.page(RecordFilter())] == before
    assert store.audit_page() == []
    assert (
        operations.execute(store, "change", arguments | {"dry_run": False}, "anna")["done"] == preview["done"]
    )
    assert operations.execute(store, "change", arguments | {"dry_run": False}, "anna")["done"] == []
    (audit_entry,) = operations.execute(store, "show", {"seq": 1}, "x")["audit"]
    assert (audit_entry["who"], audit_entry["what"], audit_entry["why"], audit_entry["intact"]) == (
        "anna",
        "release",
        arguments["why"],
        True,
    )
    operations.execute(
        store, "change", {"verb": "settle", "why": "seen in their books", "filter": {"seq": "1"}}, "bo"
    )
    settled = store.get(1)
    assert settled is not None
    assert settled.record.status is RecordStatus.SETTLED
    assert settled.record.settled_by == "person:bo"
    assert settled.record.evidence == "letter 17 of the partner"
    store.database.execute("UPDATE audit SET who = 'nobody' WHERE number = 1")
    assert list(store.verify()) == ["audit 1: altered since it was sealed"]


def test_purge_deletes_only_resolved_records_or_one_altered_record(tmp_path: Path) -> None:
    store = open_store(tmp_path)
    store.add([make_record() for _ in range(450)])
    arguments: dict[str, Any] = {"verb": "discard", "why": "a test", "filter": {}}
    has_more = True
    while has_more:
        page = operations.execute(store, "change", arguments, "me")
        arguments["after"], has_more = page["after"], page["more"]
    store.add([make_record()])
    assert operations.execute(store, "purge", {"why": "room", "dry_run": True}, "me")["count"] == 450
    count, has_more = 0, True
    while has_more:
        page = operations.execute(store, "purge", {"why": "room"}, "me")
        count, has_more = count + page["count"], page["more"]
    assert count == 450
    assert store.record_count == 1
    store.database.execute("UPDATE record SET key = 'other'")
    arguments = {"why": "it was altered", "altered": True, "filter": {"seq": "451"}}
    assert operations.execute(store, "purge", arguments, "me")["count"] == 1
    assert store.record_count == 0
    assert store.stored_bytes == 0
    assert store.audit_page(451)[0].entry.action == "purge"


def test_an_older_schema_is_migrated_and_its_seals_stay_valid(tmp_path: Path) -> None:
    """The fixture was written by a release with schema version 1."""
    folder = tmp_path / "old"
    folder.mkdir()
    for path in (Path(__file__).parent / "fixtures" / "undelivered-1").iterdir():
        (folder / path.name).write_bytes(path.read_bytes())
        (folder / path.name).chmod(0o600)
    with pytest.raises(StoreError, match="older schema"):
        open_store(folder, writes=False)
    store = open_store(folder)
    assert list(store.verify()) == []
    records = {stored.record.id: stored.record for stored in store.page(RecordFilter())}
    assert [record.status.value for record in records.values()] == ["kept"] * 3
    assert [stored.entry.action for stored in store.audit_page()] == ["discard"]
    assert records["old-1"].body == b"x" * 2000
    assert records["old-1"].client_retry_at is None
    assert store.database.execute("SELECT seq FROM plan ORDER BY seq").fetchall() == [(1,), (2,), (3,)]
    operations.execute(store, "change", {"verb": "resend", "why": "x", "filter": {"id": "old-3"}}, "me")
    assert list(store.verify()) == []
    assert store.database.execute("PRAGMA user_version").fetchone()[0] == schema.VERSION
