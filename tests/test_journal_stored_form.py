"""Tests that journals of an earlier version can be read, and that this version writes the same bytes.

The files in fixtures/journal-1 were written by the tree of commit a5e6918. The script had the same steps as
the functions below, with the names of that tree (taken, attempt, outcome, never_ran, decided, kept, end,
begin, wait, pass_on, calls_out, take_back, take_over, compact), a clock fixed at 1000 ns and a retention of
ids of 500 ns. `torn` is `plain` without its last 7 bytes. The files are never regenerated: an earlier version
has to read the journals that this version writes, so a difference is a fault of the program.
"""

from __future__ import annotations

import dataclasses
import shutil
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from honeyhitch.journal.follower import JournalFollower
from honeyhitch.journal.journal import Journal
from honeyhitch.journal.record_codec import encode_frame
from honeyhitch.journal.records import OutageNoted
from honeyhitch.journal.state import MAX_OUTAGES, JournalState
from honeyhitch.journal.transactions import Attempt, Ending, PossibleExecution, Transaction
from honeyhitch.policy.outage_evidence import OutageHistory

FIXTURES = Path(__file__).parent / "fixtures" / "journal-1"
NOW = 1_000  # ns
RETENTION = 500  # ns
MAX_BYTES = 1_000_000
MAX_REMEMBERED = MAX_BYTES // 600


def retention(_: Transaction) -> int:
    return RETENTION


def open_journal(directory: Path, detailed: bool = False, file_name: str = "journal") -> Journal:
    return Journal(directory, MAX_BYTES, lambda: NOW, retention, detailed, file_name)


def follow_journal(path: Path) -> JournalFollower:
    """Read a journal as another process does, which, unlike a restart, keeps Retry-After and hand-overs."""
    follower = JournalFollower(path, MAX_REMEMBERED, retention)
    assert follower.read()
    return follower


def message(name: str, **fields: Any) -> Transaction:
    defaults: dict[str, Any] = {
        "class_index": 1,
        "destination": 3,
        "deadline": 9_999,
        "body": b"\r\n\x00\xff " + name.encode(),
        "key": f"k-{name}",
        "tenant": 2,
        "accepted_at": 800,
    }
    return Transaction(name, **(defaults | fields))


def accept(journal: Journal, names: str) -> list[Transaction]:
    messages = [message(name) for name in names]
    for new_message in messages:
        journal.record_accepted(new_message)
    return messages


def plain(directory: Path) -> Journal:
    journal = open_journal(directory)
    journal.record_owner("n0")
    a = message("a")
    b = message("b", frontend="mqtt", reply_context='{"to":"\u00fc"}', recovered_from_journal=True)
    c = message("c", frontend="resend", key="")
    d = message("d")
    for new_message in (a, b, c, d):
        journal.record_accepted(new_message)
    journal.record_attempt(a, 905, 1, "s-1")
    journal.record_not_executed(a, 0)
    journal.record_attempt(a, 906, 1, "s-1")
    journal.record_attempt(b, 907, 0, "s-2")
    journal.record_outcome(b, Attempt(0, "s-2", 907, "reset", 4, 0, "gone"))
    journal.record_retry_after(3, "s-1", 900_000)
    journal.record_decision(b, Ending.REJECTED, 250)
    journal.record_end(a, Ending.DELIVERED)
    journal.record_decision(d, Ending.FAILED, 0)
    journal.record_end(d, Ending.FAILED)
    journal.record_attempt(c, 908, 2, "s-3")
    return journal


def detailed(directory: Path) -> Journal:
    journal = open_journal(directory, detailed=True)
    a, b, c, d = accept(journal, "abcd")
    journal.record_attempt(a, 905, 1, "s-1")
    journal.record_outcome(a, Attempt(0, "s-1", 905, "reset", 40, 0, "broken-pipe"))
    journal.record_not_executed(a, 1)
    journal.record_outcome(a, Attempt(1, "s-2", 950, "not-sent", 3, 0, ""))
    journal.record_attempt(b, 906, 0, "s-2")
    journal.record_decision(a, Ending.FAILED, 0, True)
    journal.record_end(a, Ending.FAILED)
    journal.record_decision(b, Ending.REJECTED, 250, True)
    journal.record_dead_letter_stored(b)
    journal.record_decision(c, Ending.REJECTED, 300, True)
    journal.record_end(c, Ending.REJECTED)
    journal.record_dead_letter_stored(c)
    journal.record_attempt(d, 960, 1, "s-1")
    journal.record_outcome(d, Attempt(0, "s-1", 960, "refused", 7, 2_000, ""))
    return journal


def handed_over(directory: Path) -> Journal:
    journal = open_journal(directory)
    journal.record_owner("n0")
    a, b, c, d = accept(journal, "abcd")
    journal.record_attempt(a, 905, 1, "s-1")
    journal.record_attempt(d, 906, 1, "s-1")
    journal.record_end(d, Ending.DELIVERED)
    journal.record_retry_after(3, "s-1", 5_000)
    journal.hand_over([b, c], 1)
    return journal


def reclaimed(directory: Path) -> Journal:
    journal = handed_over(directory)
    journal.record_calls_in_flight(0)
    journal.reclaim()
    journal.record_calls_in_flight(None)
    return journal


def compacted(directory: Path) -> Journal:
    journal = open_journal(directory, detailed=True)
    journal.record_owner("n0")
    for number in range(3):
        ended_message = message(f"ended-{number}", body=bytes(2_000))
        journal.record_accepted(ended_message)
        journal.record_attempt(ended_message, 900 + number, number, "s-1")
        journal.record_end(ended_message, Ending.DELIVERED if number else Ending.REJECTED)
    a, b, c = accept(journal, "abc")
    journal.record_attempt(a, 905, 1, "s-1")
    journal.record_outcome(a, Attempt(0, "s-1", 905, "timeout", 40, 60, ""))
    journal.record_attempt(b, 906, 1, "s-2")
    journal.record_decision(b, Ending.FAILED, 0, True)
    journal.record_end(b, Ending.FAILED)
    journal.record_decision(c, Ending.REJECTED, 250, True)
    journal.record_retry_after(3, "s-1", 5_000)
    journal.hand_over([a], 2)
    journal.compact()
    return journal


def taken_over(directory: Path) -> Journal:
    """Write the journal of a process in the second slot that takes over the journal of the first slot."""
    first = handed_over(directory)
    second = open_journal(directory, file_name="journal-2")
    second.record_owner("n0")
    b, _ = accept(second, "be")
    second.record_attempt(b, 910, 1, "s-1")
    first.close()
    follower = follow_journal(directory / "journal")
    new_messages, dead_letters = second.take_over(follower, directory / "journal", directory / "journal-2")
    assert [new_message.id for new_message in new_messages] == ["a", "c"]
    assert not dead_letters
    follower.close()
    return second


WRITERS: list[tuple[str, Callable[[Path], Journal]]] = [
    ("plain", plain),
    ("detailed", detailed),
    ("handed-over", handed_over),
    ("reclaimed", reclaimed),
    ("attempted-keys", compacted),  # "compacted" is what versions wrote that did not keep such keys
    ("taken-over", taken_over),
]


@pytest.mark.parametrize(("name", "write"), WRITERS, ids=[name for name, _ in WRITERS])
def test_the_same_operations_write_the_same_bytes(
    tmp_path: Path, name: str, write: Callable[[Path], Journal]
) -> None:
    write(tmp_path).close()
    assert (tmp_path / "journal").read_bytes() == (FIXTURES / name).read_bytes()


@pytest.mark.parametrize(("name", "write"), WRITERS, ids=[name for name, _ in WRITERS])
def test_a_replay_of_a_stored_journal_gives_the_state_of_its_writer(
    tmp_path: Path, name: str, write: Callable[[Path], Journal]
) -> None:
    journal = write(tmp_path)
    assert contents(follow_journal(FIXTURES / name)) == contents(journal)
    journal.close()


def contents(state: JournalState) -> dict[str, object]:
    """Return the state that a journal's records describe, without what a writer keeps only in memory."""
    table = state.messages
    return {
        "held": {name: recorded_fields(held_message) for name, held_message in table.by_id.items()},
        "pending dead letters": {
            key: recorded_fields(held_message) for key, held_message in table.pending_dead_letters.items()
        },
        "concluded": table.concluded,
        "delivered keys": table.delivered_keys,
        "attempted keys": table.attempted_keys,
        "handed over": list(state.handed_over),
        "calls in flight": state.calls_in_flight,
        "retry after": state.retry_after_until,
        "outages": state.outages,
        "owner": (state.name, state.version),
    }


def recorded_fields(transaction: Transaction) -> dict[str, Any]:
    fields = dataclasses.asdict(transaction)
    if not transaction.attempt_history and not transaction.is_dead_letter:
        fields["accepted_at"] = 0
    return fields


def test_plain_messages_attempts_and_endings_are_read() -> None:
    state = follow_journal(FIXTURES / "plain")
    b, c = state.messages.by_id.values()
    assert dataclasses.asdict(b) == dataclasses.asdict(
        message(
            "b",
            frontend="mqtt",
            reply_context='{"to":"\u00fc"}',
            recovered_from_journal=True,
            accepted_at=0,
            attempt_count=1,
            possible_executions=[(0, 907, 0)],
            ending=Ending.REJECTED,
            retry_after=250,
        )
    )
    assert dataclasses.asdict(c) == dataclasses.asdict(
        message(
            "c",
            frontend="resend",
            key="",
            accepted_at=0,
            attempt_count=1,
            possible_executions=[(0, 908, 2)],
        )
    )
    assert state.messages.concluded == {"a": 1_500, "d": 1_500}
    assert state.messages.delivered_keys == {"3 k-a": (906, 1, 1_500)}
    assert state.retry_after_until == {(3, "s-1"): 900_000}
    assert (state.name, state.version) == ("n0", 1)


def test_detailed_outcomes_and_dead_letters_are_read() -> None:
    state = follow_journal(FIXTURES / "detailed")
    b, d = state.messages.by_id.values()
    assert dataclasses.asdict(b) == dataclasses.asdict(
        message(
            "b",
            attempt_count=1,
            possible_executions=[(0, 906, 0)],
            ending=Ending.REJECTED,
            retry_after=250,
            ended_at=NOW,
            attempt_history=[Attempt(0, "s-2", 906)],
            is_dead_letter=True,
            dead_letter_stored=True,
        )
    )
    assert d.attempt_history == [Attempt(0, "s-1", 960, "refused", 7, 2_000, "")]
    (a,) = state.messages.pending_dead_letters.values()
    assert dataclasses.asdict(a) == dataclasses.asdict(
        message(
            "a",
            attempt_count=2,
            possible_executions=[(0, 905, 1)],
            ending=Ending.FAILED,
            ended_at=NOW,
            attempt_history=[
                Attempt(0, "s-1", 905, "reset", 40, 0, "broken-pipe"),
                Attempt(1, "s-2", 950, "not-sent", 3, 0, ""),
            ],
            is_dead_letter=True,
        )
    )
    assert list(state.messages.pending_dead_letters) == [("a", NOW)]
    assert state.messages.concluded == {"a": 1_500, "c": 1_500}


def test_messages_handed_over_and_calls_in_flight_are_read() -> None:
    state = follow_journal(FIXTURES / "handed-over")
    assert list(state.messages.by_id) == ["a", "b", "c"]
    assert list(state.handed_over) == ["b", "c"]
    assert state.calls_in_flight == 1
    assert state.retry_after_until == {(3, "s-1"): 5_000}


def test_reclaimed_messages_belong_to_their_writer_again() -> None:
    state = follow_journal(FIXTURES / "reclaimed")
    assert list(state.messages.by_id) == ["a", "b", "c"]
    assert not state.handed_over
    assert state.calls_in_flight is None


def test_a_compacted_journal_keeps_its_state() -> None:
    state = follow_journal(FIXTURES / "compacted")
    assert list(state.messages.by_id) == ["a", "c"]
    assert list(state.messages.pending_dead_letters) == [("b", NOW)]
    assert state.messages.pending_dead_letters["b", NOW].ending is Ending.FAILED
    assert state.messages.by_id["a"].attempt_history == [Attempt(0, "s-1", 905, "timeout", 40, 60, "")]
    assert state.messages.concluded == {"ended-0": 1_500, "ended-1": 1_500, "ended-2": 1_500, "b": 1_500}
    assert state.messages.delivered_keys == {
        "3 k-ended-1": (901, 1, 1_500),
        "3 k-ended-2": (902, 2, 1_500),
    }
    assert list(state.handed_over) == ["a"]
    assert state.calls_in_flight == 2


def test_keys_of_messages_that_may_have_been_executed_are_kept() -> None:
    assert not follow_journal(FIXTURES / "compacted").messages.attempted_keys
    assert follow_journal(FIXTURES / "attempted-keys").messages.attempted_keys == {
        "3 k-ended-0": (900, 0, 1_500),
        "3 k-b": (906, 1, 1_500),
    }


# Guards against a process that starts after a kill and has forgotten that a partner is out.
@pytest.mark.parametrize("compacts", [False, True])
def test_outages_outlive_the_process_until_they_have_no_consequence(tmp_path: Path, compacts: bool) -> None:
    journal = open_journal(tmp_path)
    failing = OutageNoted(1, "", OutageHistory(500, True, 0, 0, 0))
    in_slow_start = OutageNoted(2, "s-1", OutageHistory(0, False, 700, 300, 5_000))
    for outage in (failing, in_slow_start, OutageNoted(3, "", OutageHistory(500, False, 0, 0, 0))):
        journal.record_outage(outage)
    journal.record_outage(
        OutageNoted(3, "", OutageHistory(0, True, 0, 0, 0))
    )  # a success soon after the failure
    journal.record_outage(OutageNoted(4, "", OutageHistory(0, True, 10, 10, 20)))  # its slow start is over
    if compacts:
        journal.compact()
    journal.close()
    outages = open_journal(tmp_path).outages
    assert outages[1, ""] == failing
    assert outages[2, "s-1"] == in_slow_start
    assert (3, "") not in outages
    assert ((4, "") in outages) is not compacts


def test_the_number_of_outages_that_are_kept_is_bounded(tmp_path: Path) -> None:
    journal = open_journal(tmp_path)
    for number in range(MAX_OUTAGES + 10):
        journal.record_outage(OutageNoted(number, "", OutageHistory(500, True, 0, 0, 0)))
    assert len(journal.outages) == MAX_OUTAGES
    assert (9, "") not in journal.outages


# Guards against answers that wait for the record of an outage while the disk is full.
def test_an_outage_that_cannot_be_written_delays_nothing(tmp_path: Path) -> None:
    journal = open_journal(tmp_path)
    journal.max_bytes = 0
    journal.record_outage(OutageNoted(1, "", OutageHistory(failing_since=500)))
    assert not journal.postponed
    assert (1, "") in journal.outages


def test_a_torn_tail_is_cut_and_the_journal_is_continued(tmp_path: Path) -> None:
    shutil.copyfile(FIXTURES / "torn", tmp_path / "journal")
    journal = open_journal(tmp_path)
    assert list(journal.messages.by_id) == ["b", "c"]
    assert journal.messages.by_id["c"].attempt_count == 0, "the last record of c was torn"
    assert not journal.retry_after_until, "a restart ends retry-after times"
    journal.record_attempt(journal.messages.by_id["c"], 908, 2, "s-3")
    journal.close()
    assert (tmp_path / "journal").read_bytes() == (FIXTURES / "plain").read_bytes()


def test_fields_that_an_earlier_version_did_not_write_have_their_defaults(tmp_path: Path) -> None:
    stored = {"id": "a", "cls": 1, "destination": 3, "deadline": 9_999, "t": "taken"}
    stored |= {"ran": [[0, 905, 1]], "back": 0, "as": None}
    (tmp_path / "journal").write_bytes(encode_frame(stored, b"body"))
    (decoded,) = follow_journal(tmp_path / "journal").messages.by_id.values()
    expected = Transaction("a", 1, 3, 9_999, b"body", possible_executions=[PossibleExecution(0, 905, 1)])
    assert dataclasses.asdict(decoded) == dataclasses.asdict(expected)


def test_records_of_an_unknown_kind_change_nothing(tmp_path: Path) -> None:
    unknown_record = encode_frame({"t": "later", "id": "b"})
    (tmp_path / "journal").write_bytes((FIXTURES / "plain").read_bytes() + unknown_record)
    assert contents(follow_journal(tmp_path / "journal")) == contents(follow_journal(FIXTURES / "plain"))
