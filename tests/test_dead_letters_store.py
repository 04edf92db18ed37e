"""The store: what is kept comes back whole, limits hold, and what was altered or is not ours is told."""

from __future__ import annotations

import itertools
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
from honeyhitch.dead_letters.records import Record, RecordStatus
from honeyhitch.dead_letters.seal import SealError, SealKeys
from honeyhitch.dead_letters.settings import StoreLimits
from honeyhitch.dead_letters.store import Store
from honeyhitch.journal.transactions import Attempt
from honeyhitch.time_units import DAY

from .rig import START
from .world import SECOND

names = itertools.count()


def record(ran: bool = False, **more: Any) -> Record:
    name = f"m{next(names)}"
    told: dict[str, Any] = {
        "id": name, "ended_at": START, "accepted_at": START - SECOND, "deadline": START + SECOND,
        "destination": 1, "class_name": "standard", "idempotency": "keyed",
        "deduplication_window": 5 * SECOND, "zone_scoped": False, "tenant": "studio", "key": f"k-{name}",
        "frontend": "resp", "recovered_from_journal": False, "ending": "failed", "reason": "timeout",
        "retry_after": 0, "first_possible_execution": START if ran else None, "first_execution_zone": 0,
        "attempts": (Attempt(0, "s-1", START, "timeout", SECOND, 0, ""),), "body": b"body",
    }  # fmt: skip
    return Record(**{**told, **more})


def opened(folder: Path, **more: Any) -> Store:
    return Store(folder, clock=lambda: START, **more)


def test_a_record_comes_back_whole(tmp_path: Path) -> None:
    store = opened(tmp_path)
    made = [
        record(body=bytes(range(256))),
        record(ran=True, body=b"x" * 20_000),
        record(body=b"", key=""),
    ]
    assert store.add(made) == []
    store.close()
    again = opened(tmp_path, writes=False)
    for one in made:
        kept = again.get(one.sequence)
        assert kept is not None
        assert not kept.fault
        assert kept.record == one
    assert again.get(99) is None
    (size,) = again.database.execute("SELECT length(body) FROM detail WHERE seq = 2").fetchone()
    assert size < 200, "a body beyond the threshold is compressed"
    assert again.record_count == 3
    assert again.stored_bytes == store.stored_bytes


def test_files_are_for_their_owner_alone(tmp_path: Path) -> None:
    store = opened(tmp_path / "inner")
    store.add([record()])
    assert stat.S_IMODE(os.stat(tmp_path / "inner").st_mode) == 0o700
    for path in (tmp_path / "inner").iterdir():
        assert stat.S_IMODE(path.stat().st_mode) & 0o077 == 0, path.name


def test_kept_twice_is_kept_once(tmp_path: Path) -> None:
    store, one = opened(tmp_path), record()
    store.add([one])
    store.add([one, record(id=one.id, ended_at=START + 1)])
    assert store.record_count == 2 == store.count_by(RecordFilter(), ())[0].count


def test_a_transaction_that_breaks_leaves_all_as_it_was(tmp_path: Path) -> None:
    store = opened(tmp_path)
    store.add([record()])
    before = store.record_count, store.stored_bytes
    with pytest.raises(ZeroDivisionError), store.transaction():
        store.add([record(), record()])
        1 / 0
    assert (store.record_count, store.stored_bytes) == before
    assert len(store.page(RecordFilter())) == 1


# Limits.


def test_room_is_made_with_settled_ones_first_and_what_may_have_run_last(tmp_path: Path) -> None:
    store = opened(tmp_path, limits=StoreLimits(max_records=4))
    ran, never, settled = record(ran=True), record(), record(ran=True, status=RecordStatus.SETTLED)
    sending = record(status=RecordStatus.RESENDING)
    store.add([ran, never, settled, sending])
    assert [(one.reason, one.may_have_executed, one.ids) for one in store.add([record(ran=True)])] == [
        ("room", True, (settled.id,))
    ]
    assert [one.ids for one in store.add([record(ran=True)])] == [(never.id,)]
    newest = record()
    assert [one.ids for one in store.add([newest])] == [(newest.id,)], (
        "rather the new one than an open question"
    )
    assert [one.ids for one in store.add([record(ran=True)])] == [(ran.id,)]
    assert {one.record.id for one in store.page(RecordFilter())} >= {sending.id}
    assert store.record_count == 4
    told = {(one.reason, one.may_have_executed): one.count for one in store.dropped_totals()}
    assert told == {("room", False): 2, ("room", True): 2}


def test_bytes_are_bounded_and_counted_the_same_after_a_start(tmp_path: Path) -> None:
    store = opened(tmp_path, limits=StoreLimits(max_bytes=20_000), compress_min_bytes=1 << 30)
    for _ in range(100):
        store.add([record(body=os.urandom(500))])
        assert store.stored_bytes <= 20_000
    assert 10 < store.record_count < 30
    count, size = store.record_count, store.stored_bytes
    store.close()
    again = opened(tmp_path, limits=StoreLimits(max_bytes=20_000))
    assert (again.record_count, again.stored_bytes) == (count, size)


def test_what_is_over_age_goes_but_not_a_resend_on_its_way(tmp_path: Path) -> None:
    now = START
    store = Store(tmp_path, StoreLimits(max_age=10 * DAY), clock=lambda: now)
    store.add(
        [
            record(ran=True),
            record(),
            record(status=RecordStatus.RESENDING),
            record(ended_at=START + 5 * DAY),
        ]
    )
    now = START + 11 * DAY
    dropped = store.enforce_limits()
    assert sorted((one.reason, one.may_have_executed, one.count) for one in dropped) == [
        ("age", False, 1),
        ("age", True, 1),
    ]
    assert [one.record.status.value for one in store.page(RecordFilter())] == ["sending", "kept"]


def test_the_file_itself_is_bounded_too(tmp_path: Path) -> None:
    """Where a page limit stands in for a full disk: the add fails whole, and works again with room."""
    store = opened(tmp_path)
    (pages,) = store.database.execute("PRAGMA page_count").fetchone()
    store.database.execute(f"PRAGMA max_page_count={pages + 4}")
    with pytest.raises(sqlite3.OperationalError, match="full"):
        store.add([record(body=os.urandom(5000)) for _ in range(50)])
    assert store.record_count == 0
    assert store.page(RecordFilter()) == []
    store.database.execute("PRAGMA max_page_count=100000")
    store.add([record()])
    assert store.record_count == 1


# What is not ours, not whole, or in use.


def test_a_second_writer_is_refused_and_a_reader_is_not(tmp_path: Path) -> None:
    store = opened(tmp_path)
    store.add([record()])
    with pytest.raises(files.StoreInUseError, match=f"process {os.getpid()} writes this store already"):
        opened(tmp_path)
    assert len(opened(tmp_path, writes=False).page(RecordFilter())) == 1
    store.close()
    opened(tmp_path).close()


def contents(folder: Path) -> dict[str, bytes]:
    """Of what lasts; SQLite puts its shared memory beside a file that is only looked at, too."""
    beside = (files.LOCK_FILE, f"{files.DATABASE_FILE}-shm", f"{files.DATABASE_FILE}-wal")
    return {path.name: path.read_bytes() for path in folder.iterdir() if path.name not in beside}


def test_a_newer_schema_is_refused_and_left_as_it_is(tmp_path: Path) -> None:
    store = opened(tmp_path)
    store.add([record()])
    store.close()
    db = sqlite3.connect(tmp_path / files.DATABASE_FILE)
    db.execute(f"PRAGMA user_version={schema.VERSION + 1}")
    db.execute("ALTER TABLE record ADD COLUMN more TEXT")
    db.commit()
    db.close()
    before = contents(tmp_path)
    for writes in (True, False):
        with pytest.raises(StoreError, match="newer honeyhitch"):
            opened(tmp_path, writes=writes)
    assert contents(tmp_path) == before


def test_a_file_of_someone_elses_is_refused_and_left_as_it_is(tmp_path: Path) -> None:
    db = sqlite3.connect(tmp_path / files.DATABASE_FILE)
    db.execute("CREATE TABLE mine (x)")
    db.commit()
    db.close()
    before = contents(tmp_path)
    with pytest.raises(StoreError, match="not a store"):
        opened(tmp_path)
    assert contents(tmp_path) == before


def test_a_folder_that_cannot_be_written_is_told(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("")
    with pytest.raises(StoreError, match="file/inner"):
        opened(tmp_path / "file" / "inner")
    with pytest.raises(StoreError, match="there is no store"):
        opened(tmp_path, writes=False)


def test_a_moved_file_is_noticed(tmp_path: Path) -> None:
    store = opened(tmp_path)
    assert store.file_unmoved()
    os.rename(tmp_path / files.DATABASE_FILE, tmp_path / "away")
    assert not store.file_unmoved()


def test_cut_anywhere_it_is_refused_or_told_and_never_taken_for_whole(tmp_path: Path) -> None:
    store = opened(tmp_path / "whole")
    store.add([record(body=os.urandom(3000)) for _ in range(20)])
    store.close()
    data = (tmp_path / "whole" / files.DATABASE_FILE).read_bytes()
    for at in range(0, len(data), 1024 + 512):
        folder = tmp_path / f"cut{at}"
        folder.mkdir()
        (folder / files.KEY_FILE).write_bytes((tmp_path / "whole" / files.KEY_FILE).read_bytes())
        (folder / files.KEY_FILE).chmod(0o600)
        (folder / files.DATABASE_FILE).write_bytes(data[:at])
        assert at == 0 or found_fault(folder), f"cut at {at} of {len(data)}"


def found_fault(folder: Path) -> bool:
    try:
        store = opened(folder)
    except StoreError:
        return True
    try:
        return bool(list(store.verify()))
    except files.DAMAGE_ERRORS:
        return True
    finally:
        store.close()


def test_a_bit_flipped_in_any_record_is_shown_and_the_others_stay_good(tmp_path: Path) -> None:
    """In each column of each table that is under seal."""
    store = opened(tmp_path)
    store.add([record(ran=True, body=b"x" * 600), record(), record()])
    tables = {"record": "seq", "detail": "seq"}
    for table, number in tables.items():
        for _, column, *_ in store.database.execute(f"PRAGMA table_info({table})").fetchall():
            if column == number:
                continue
            (old,) = store.database.execute(f"SELECT {column} FROM {table} WHERE seq = 1").fetchone()
            for new in (flipped(old), None, "text", 1 << 40, b"\xff"):
                if new == old:
                    continue
                try:
                    store.database.execute(f"UPDATE {table} SET {column} = ? WHERE seq = 1", (new,))
                except sqlite3.IntegrityError:
                    continue
                kept = store.get(1)
                assert kept is not None and kept.fault, f"{table}.{column}: {old!r} became {new!r}"
                assert "altered" in kept.fault or "key" in kept.fault
                assert len([line for line in store.verify() if line.startswith("record 1 ")]) == 1
                told = {"verb": "release", "filter": {"seq": "1"}, "why": "x"}
                assert operations.execute(store, "change", told, "me")["left"][0]["why"] == kept.fault
                assert operations.execute(store, "show", {"seq": 1}, "me")["record"]["intact"] is False
            store.database.execute(f"UPDATE {table} SET {column} = ? WHERE seq = 1", (old,))
            assert list(store.verify()) == []


def flipped(value: Any) -> Any:
    if isinstance(value, int):
        return value ^ 1
    if isinstance(value, str):
        return chr(ord(value[0]) ^ 1) + value[1:] if value else "x"
    return bytes([value[0] ^ 1]) + value[1:] if value else 1


def test_a_bit_flipped_in_any_page_is_told_or_harmless(tmp_path: Path) -> None:
    """No flipped bit makes a record read as something that was never kept."""
    store = opened(tmp_path / "whole")
    made = [record(ran=bool(i % 2), body=os.urandom(700), key=f"key-{i}") for i in range(12)]
    store.add(made)
    store.update(made[0], "me", "release", "the partner's letter of today")
    store.close()
    data = bytearray((tmp_path / "whole" / files.DATABASE_FILE).read_bytes())
    good = {one.sequence: one for one in made}
    folder = tmp_path / "flipped"
    folder.mkdir()
    SealKeys.load(tmp_path / "whole" / files.KEY_FILE).save(folder / files.KEY_FILE)
    told = 0
    for at in range(0, len(data), 97):
        data[at] ^= 1 << at % 8
        for path in folder.glob(f"{files.DATABASE_FILE}*"):
            path.unlink()
        (folder / files.DATABASE_FILE).write_bytes(data)
        told += found_fault(folder)
        try:
            reader = opened(folder, writes=False)
            for kept in reader.iterate(RecordFilter()):
                assert kept.fault or kept.record == good[kept.record.sequence], f"a flip at {at} went unseen"
            reader.close()
        except (StoreError, *files.DAMAGE_ERRORS):
            pass
        data[at] ^= 1 << at % 8
    assert told > 50


# Keys.


def test_a_key_file_that_others_may_read_or_that_is_none_is_refused(tmp_path: Path) -> None:
    opened(tmp_path).close()
    path = tmp_path / files.KEY_FILE
    path.chmod(0o640)
    with pytest.raises(StoreError, match="mode must be 0600"):
        opened(tmp_path)
    path.chmod(0o600)
    for text in ("", "{}", '{"keys": {}}', '{"keys": {"1": "00"}}', '{"keys": {"x": "00"}}', "[1]"):
        path.write_text(text)
        with pytest.raises(SealError, match=r"keys\.json"):
            SealKeys.load(path)


def test_with_its_key_lost_a_record_is_shown_as_unproved(tmp_path: Path) -> None:
    store = opened(tmp_path)
    store.add([record()])
    store.close()
    (tmp_path / files.KEY_FILE).unlink()
    again = opened(tmp_path)
    again.add([record()])
    assert [one.fault for one in again.page(RecordFilter())] == ["sealed with key 1, which is not there", ""]


def rekey(store: Store) -> int:
    """All steps; how much could not be sealed anew."""
    told: dict[str, Any] = {"step": "start"}
    while told["step"]:
        answer = operations.execute(store, "rekey", told, "me")
        told = {"step": answer["next"], "after": answer.get("after", 0)}
    return int(answer["left"])


def test_a_reader_follows_the_writers_new_key(tmp_path: Path) -> None:
    store = opened(tmp_path)
    store.add([record()])
    reader = opened(tmp_path, writes=False)
    assert rekey(store) == 0
    assert [one.fault for one in reader.page(RecordFilter())] == [""]
    assert reader.audit_page()[0].intact


@pytest.mark.parametrize("broken_off", [None, 0, 1, 2, 3])
def test_a_new_key_takes_over_whatever_moment_it_is_broken_off_at(
    tmp_path: Path, broken_off: int | None
) -> None:
    store = opened(tmp_path)
    store.add([record() for _ in range(500)])
    store.update(store.page(RecordFilter())[0].record, "me", "discard", "because")
    if broken_off is not None:
        steps = iter(range(100))
        begin = store.transaction

        def breaking() -> Any:
            if next(steps) == broken_off:
                raise KeyboardInterrupt
            return begin()

        store.transaction = breaking  # type: ignore[method-assign]
        with pytest.raises(KeyboardInterrupt):
            rekey(store)
    else:
        assert rekey(store) == 0
    store.close()
    again = opened(tmp_path)
    assert list(again.verify()) == []
    assert rekey(again) == 0
    assert list(again.verify()) == []
    assert list(json.loads((tmp_path / files.KEY_FILE).read_text())["keys"]) == [str(again.keys.current)]


def test_the_old_key_stays_while_a_record_is_not_proved(tmp_path: Path) -> None:
    store = opened(tmp_path)
    store.add([record(), record()])
    store.database.execute("UPDATE record SET tenant = 'other' WHERE seq = 1")
    assert rekey(store) == 1
    assert sorted(store.keys.keys) == [1, 2]
    assert [bool(one.fault) for one in store.page(RecordFilter())] == [True, False]


# What people ask.


def test_filters_pages_and_counts(tmp_path: Path) -> None:
    store = opened(tmp_path)
    for i in range(250):
        store.add(
            [record(ran=i % 2 == 0, destination=i % 5, tenant=f"t{i % 3}", ended_at=START + i, id=f"n{i}")]
        )
    chosen = {"destination": "3", "may_have_run": "yes"}
    seen: list[int] = []
    told: dict[str, Any] = {"filter": chosen, "most": 10}
    while True:
        page = operations.execute(store, "list", told, "me")
        seen += [one["seq"] for one in page["records"]]
        told["after"] = page["after"]
        if not page["more"]:
            break
    assert len(seen) == 25 == len(set(seen))
    assert seen == sorted(seen)
    newest = operations.execute(store, "list", {"newest_first": True, "most": 2}, "me")
    assert [one["id"] for one in newest["records"]] == ["n249", "n248"]
    older = operations.execute(
        store, "list", {"newest_first": True, "most": 2, "after": newest["after"]}, "me"
    )
    assert [one["id"] for one in older["records"]] == ["n247", "n246"]
    between = {"since": str(START + 10), "until": str(START + 20)}
    assert len(operations.execute(store, "list", {"filter": between}, "me")["records"]) == 10
    groups = operations.execute(store, "stats", {"by": ["tenant"], "filter": chosen}, "me")["groups"]
    assert sum(one["count"] for one in groups) == 25
    assert {one["tenant"] for one in groups} == {
        "t0",
        "t1",
        "t2",
    }


@pytest.mark.parametrize(
    ("name", "told", "error"),
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
    tmp_path: Path, name: str, told: dict[str, Any], error: str
) -> None:
    with pytest.raises(operations.OperationError) as refused:
        operations.execute(opened(tmp_path), name, told, "me")
    assert str(refused.value).startswith(error)


def test_a_filter_goes_to_words_and_back() -> None:
    chosen = RecordFilter(sequence=3, class_name="standard", may_have_executed=False, since=5)
    assert RecordFilter.parse(chosen.to_texts()) == chosen
    with pytest.raises(FilterError, match="seq"):
        RecordFilter.parse({"seq": "³"})


def test_each_change_is_audited_and_a_dry_run_changes_nothing(tmp_path: Path) -> None:
    store = opened(tmp_path)
    store.add([record(ran=True), record(), record(status=RecordStatus.RESENDING)])
    before = [one.record for one in store.page(RecordFilter())]
    told = {"verb": "release", "why": "letter 17 of the partner", "dry_run": True}
    tried = operations.execute(store, "change", told, "anna")
    assert [one["seq"] for one in tried["done"]] == [1]
    assert {one["seq"]: one["why"] for one in tried["left"]} == {
        2: "it never ran: nothing has to be proved before it is sent",
        3: "it is sending",
    }
    assert [one.record for one in store.page(RecordFilter())] == before
    assert store.audit_page() == []
    assert operations.execute(store, "change", told | {"dry_run": False}, "anna")["done"] == tried["done"]
    assert operations.execute(store, "change", told | {"dry_run": False}, "anna")["done"] == []
    (row,) = operations.execute(store, "show", {"seq": 1}, "x")["audit"]
    assert (row["who"], row["what"], row["why"], row["intact"]) == ("anna", "release", told["why"], True)
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


def test_purge_takes_only_what_is_settled_or_discarded_or_one_altered(tmp_path: Path) -> None:
    store = opened(tmp_path)
    store.add([record() for _ in range(450)])
    told = {"verb": "discard", "why": "a test", "filter": {}}
    more = True
    while more:
        page = operations.execute(store, "change", told, "me")
        told["after"], more = page["after"], page["more"]
    store.add([record()])
    assert operations.execute(store, "purge", {"why": "room", "dry_run": True}, "me")["count"] == 450
    count, more = 0, True
    while more:
        page = operations.execute(store, "purge", {"why": "room"}, "me")
        count, more = count + page["count"], page["more"]
    assert count == 450
    assert store.record_count == 1
    store.database.execute("UPDATE record SET key = 'other'")
    told = {"why": "it was altered", "altered": True, "filter": {"seq": "451"}}
    assert operations.execute(store, "purge", told, "me")["count"] == 1
    assert store.record_count == 0
    assert store.stored_bytes == 0
    assert store.audit_page(451)[0].entry.action == "purge"


def test_an_older_schema_is_brought_up_to_date_with_its_seals_good(tmp_path: Path) -> None:
    """The fixture was made by the program when its schema was of the first version."""
    folder = tmp_path / "old"
    folder.mkdir()
    for path in (Path(__file__).parent / "fixtures" / "undelivered-1").iterdir():
        (folder / path.name).write_bytes(path.read_bytes())
        (folder / path.name).chmod(0o600)
    with pytest.raises(StoreError, match="older schema"):
        opened(folder, writes=False)
    store = opened(folder)
    assert list(store.verify()) == []
    found = {one.record.id: one.record for one in store.page(RecordFilter())}
    assert [one.status.value for one in found.values()] == ["kept"] * 3
    assert [stored.entry.action for stored in store.audit_page()] == ["discard"]
    assert found["old-1"].body == b"x" * 2000
    assert found["old-1"].client_retry_at is None
    assert store.database.execute("SELECT seq FROM plan ORDER BY seq").fetchall() == [(1,), (2,), (3,)]
    operations.execute(store, "change", {"verb": "resend", "why": "x", "filter": {"id": "old-3"}}, "me")
    assert list(store.verify()) == []
    assert store.database.execute("PRAGMA user_version").fetchone()[0] == schema.VERSION
