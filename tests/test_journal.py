"""The journal survives a kill at any byte."""

from __future__ import annotations

import dataclasses
from pathlib import Path

import pytest

from honeyhitch.journal.journal import Journal, JournalFullError
from honeyhitch.journal.record_codec import decode_frames
from honeyhitch.journal.transactions import Ending, Transaction

NOW = 1_000  # ns
RETENTION = 500  # ns


def retention(_: Transaction) -> int:
    return RETENTION


def opened(folder: Path, disk: int = 1_000_000) -> Journal:
    return Journal(folder, disk, lambda: NOW, retention)


def transaction(name: str, body: bytes = b"\r\n\x00\xff body") -> Transaction:
    return Transaction(
        name, 0, 3, 9_999, body, key=f"k-{name}", recovered_from_journal=True, reply_context='{"to":"x"}'
    )


def state(journal: Journal) -> dict[str, object]:
    rows = {name: dataclasses.asdict(known) for name, known in journal.messages.by_id.items()}
    return {
        "messages": rows,
        "concluded": dict(journal.messages.concluded),
        "keys": dict(journal.messages.delivered_keys),
    }


def story(journal: Journal) -> list[tuple[int, dict[str, object]]]:
    """Writes some records; the state after each, with the size of the file."""
    a, b, c = (transaction(name) for name in "abc")
    found = [(journal.size, state(journal))]
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
        found.append((journal.size, state(journal)))
    return found


def test_after_a_cut_at_any_offset_the_last_complete_record_counts(tmp_path: Path) -> None:
    (tmp_path / "full").mkdir()
    journal = opened(tmp_path / "full")
    states = story(journal)
    data = journal.path.read_bytes()
    assert len(data) == journal.size == states[-1][0]
    cut = tmp_path / "cut"
    cut.mkdir()
    for length in range(len(data) + 1):
        (cut / "journal").write_bytes(data[:length])
        (cut / "journal.new").write_bytes(data[: length // 2])  # a compaction that was interrupted
        replayed = opened(cut)
        assert state(replayed) == [then for size, then in states if size <= length][-1]
        replayed.record_accepted(transaction("z"))  # and records follow the cut
        replayed.close()
        reopened = opened(cut)
        assert "z" in reopened.messages.by_id
        assert not reopened.new_path.exists()
        reopened.close()


def test_a_flipped_byte_ends_the_replay_there(tmp_path: Path) -> None:
    journal = opened(tmp_path)
    states = story(journal)
    data = bytearray(journal.path.read_bytes())
    data[states[3][0] + 20] ^= 1
    journal.path.write_bytes(data)
    assert state(opened(tmp_path)) == states[3][1]


def test_compaction_preserves_pending_and_remembered_messages(tmp_path: Path) -> None:
    journal = opened(tmp_path)
    story(journal)
    before = state(journal)
    size = journal.size
    journal.compact()
    assert journal.size < size
    assert state(opened(tmp_path)) == before


def test_both_files_of_a_compaction_fit_the_disk(tmp_path: Path) -> None:
    disk, journal = 40_000, opened(tmp_path, 40_000)
    full = 0
    for i in range(2_000):
        fresh = transaction(f"n{i}", bytes(200 + i % 700))
        try:
            journal.record_accepted(fresh)
        except JournalFullError:
            full += 1
            for old in list(journal.messages.by_id.values())[:20]:
                journal.record_end(old, Ending.UNANSWERED)
            journal.messages.concluded.clear()
        assert journal.size + journal.live_bytes <= disk
    assert full
    assert len(journal.messages) > 3


@pytest.mark.parametrize("data", [b"", b"\x00" * 64, b"\xff" * 64, b"\x04\x00\x00\x00" + b"\x00" * 60])
def test_bytes_that_are_no_record_are_not_read(data: bytes) -> None:
    assert not list(decode_frames(data))


def test_a_full_journal_is_not_compacted_for_each_message_that_it_rejects(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    journal, times = opened(tmp_path, 100_000), list[int]()
    take_snapshot = Journal.snapshot

    def counted_snapshot(journal: Journal) -> bytes:
        times.append(journal.size)
        return take_snapshot(journal)

    monkeypatch.setattr(Journal, "snapshot", counted_snapshot)

    def rejected(count: int, after: str) -> int:
        found = 0
        for number in range(count):
            try:
                journal.record_accepted(transaction(f"{after}{number}"))
            except JournalFullError:
                found += 1
        return found

    assert rejected(500, "a") > 300
    assert len(times) <= 3
    held = list(journal.messages.by_id.values())
    journal.record_end(held.pop(), Ending.REJECTED)
    rejected(500, "b")
    assert len(times) <= 4, "nor for the few bytes that one ending frees"
    for message in held[: len(held) // 2]:
        journal.record_end(message, Ending.REJECTED)
    assert rejected(len(held) // 4, "c") == 0, "endings make room"
