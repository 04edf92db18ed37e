"""Tests that the journal can be replayed after a kill at any byte and stays within its disk space."""

from __future__ import annotations

import dataclasses
from pathlib import Path

import pytest

from honeyhitch.journal.journal import Journal
from honeyhitch.journal.journal_file import JournalFullError
from honeyhitch.journal.record_codec import decode_frames
from honeyhitch.journal.transactions import Ending, Transaction

NOW = 1_000  # ns
RETENTION = 500  # ns


def retention(_: Transaction) -> int:
    return RETENTION


def open_journal(folder: Path, disk: int = 1_000_000) -> Journal:
    return Journal(folder, disk, lambda: NOW, retention)


def transaction(name: str, body: bytes = b"\r\n\x00\xff body") -> Transaction:
    return Transaction(
        name, 0, 3, 9_999, body, key=f"k-{name}", recovered_from_journal=True, reply_context='{"to":"x"}'
    )


def state(journal: Journal) -> dict[str, object]:
    rows = {name: dataclasses.asdict(message) for name, message in journal.messages.by_id.items()}
    return {
        "messages": rows,
        "concluded": dict(journal.messages.concluded),
        "keys": dict(journal.messages.delivered_keys),
    }


def write_records(journal: Journal) -> list[tuple[int, dict[str, object]]]:
    """Write some records; return the size of the file and the state after each of them."""
    a, b, c = (transaction(name) for name in "abc")
    states = [(journal.size, state(journal))]
    for step in (
        lambda: journal.record_accepted(a),
        lambda: journal.record_accepted(b),
        lambda: journal.record_attempt(a, 5, 1),
        lambda: journal.record_not_executed(a, 0),
        lambda: journal.record_attempt(a, 6, 1),
        lambda: journal.record_attempt(b, 7, 0),
        lambda: journal.record_end(a, Ending.DELIVERED),
        lambda: journal.record_accepted(c),
        lambda: journal.record_decision(b, Ending.REJECTED, 250),
        lambda: journal.record_end(b, Ending.REJECTED),
    ):
        step()
        states.append((journal.size, state(journal)))
    return states


def test_after_a_cut_at_any_offset_the_last_complete_record_counts(tmp_path: Path) -> None:
    (tmp_path / "full").mkdir()
    journal = open_journal(tmp_path / "full")
    states = write_records(journal)
    data = journal.path.read_bytes()
    assert len(data) == journal.size == states[-1][0]
    cut_directory = tmp_path / "cut"
    cut_directory.mkdir()
    for length in range(len(data) + 1):
        (cut_directory / "journal").write_bytes(data[:length])
        (cut_directory / "journal.new").write_bytes(data[: length // 2])  # a compaction that was interrupted
        replayed = open_journal(cut_directory)
        assert state(replayed) == [expected for size, expected in states if size <= length][-1]
        replayed.record_accepted(transaction("z"))  # new records can follow the cut
        replayed.close()
        reopened = open_journal(cut_directory)
        assert "z" in reopened.messages.by_id
        assert not reopened.new_path.exists()
        reopened.close()


def test_a_flipped_byte_ends_the_replay_there(tmp_path: Path) -> None:
    journal = open_journal(tmp_path)
    states = write_records(journal)
    data = bytearray(journal.path.read_bytes())
    data[states[3][0] + 20] ^= 1
    journal.path.write_bytes(data)
    assert state(open_journal(tmp_path)) == states[3][1]


def test_compaction_preserves_pending_and_remembered_messages(tmp_path: Path) -> None:
    journal = open_journal(tmp_path)
    write_records(journal)
    before = state(journal)
    size = journal.size
    journal.compact()
    assert journal.size < size
    assert state(open_journal(tmp_path)) == before


def test_both_files_of_a_compaction_fit_the_disk(tmp_path: Path) -> None:
    disk, journal = 40_000, open_journal(tmp_path, 40_000)
    rejections = 0
    for i in range(2_000):
        new_message = transaction(f"n{i}", bytes(200 + i % 700))
        try:
            journal.record_accepted(new_message)
        except JournalFullError:
            rejections += 1
            for held_message in list(journal.messages.by_id.values())[:20]:
                journal.record_end(held_message, Ending.UNANSWERED)
            journal.messages.concluded.clear()
        assert journal.size + journal.live_bytes <= disk
    assert rejections
    assert len(journal.messages) > 3


@pytest.mark.parametrize("data", [b"", b"\x00" * 64, b"\xff" * 64, b"\x04\x00\x00\x00" + b"\x00" * 60])
def test_bytes_that_are_no_record_are_not_read(data: bytes) -> None:
    assert not list(decode_frames(data))


def test_a_full_journal_is_not_compacted_for_each_message_that_it_rejects(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    journal, snapshot_sizes = open_journal(tmp_path, 100_000), list[int]()
    take_snapshot = Journal.snapshot

    def counted_snapshot(journal: Journal) -> bytes:
        snapshot_sizes.append(journal.size)
        return take_snapshot(journal)

    monkeypatch.setattr(Journal, "snapshot", counted_snapshot)

    def count_rejected(count: int, prefix: str) -> int:
        rejections = 0
        for number in range(count):
            try:
                journal.record_accepted(transaction(f"{prefix}{number}"))
            except JournalFullError:
                rejections += 1
        return rejections

    assert count_rejected(500, "a") > 300
    assert len(snapshot_sizes) <= 3
    held = list(journal.messages.by_id.values())
    journal.record_end(held.pop(), Ending.REJECTED)
    count_rejected(500, "b")
    assert len(snapshot_sizes) <= 4, "no compaction for the few bytes that one ended message frees"
    for message in held[: len(held) // 2]:
        journal.record_end(message, Ending.REJECTED)
    assert count_rejected(len(held) // 4, "c") == 0, "ended messages free space"
