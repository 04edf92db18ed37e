"""Tests the transfer of undelivered messages from the journal to the store.

Each message is stored exactly once despite failures and kills, and live traffic is not delayed.
"""

from __future__ import annotations

import random
import sqlite3
from pathlib import Path

import pytest

from honeyhitch.dead_letters.filters import RecordFilter
from honeyhitch.dead_letters.record_export import export_record
from honeyhitch.dead_letters.records import Record
from honeyhitch.journal.transactions import Ending
from honeyhitch.policy.events import Outcome

from .dead_letters_rig import DeadLetterRig, Killed, KillPoints
from .rig import VirtualTime
from .world import SECOND

OUTCOMES = (Outcome.REJECTED, Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET)


def stored_records(rig: DeadLetterRig) -> list[Record]:
    """Return all records of the store, after asserting that none of them is altered."""
    records = rig.store.page(RecordFilter(), limit=1000)
    assert not [stored.fault for stored in records if stored.fault]
    return [stored.record for stored in records]


def fail_message(
    rig: DeadLetterRig, name: str, outcome: Outcome = Outcome.ERROR, **arguments: object
) -> None:
    """Submit a message, and end all its attempts with this outcome."""
    assert rig.submit(name, **arguments)  # type: ignore[arg-type]
    for _ in range(60):
        for call in rig.advance(0.5):
            rig.end(call, outcome)


def test_a_failed_message_is_stored_completely_with_its_attempts(tmp_path: Path) -> None:
    rig = DeadLetterRig(tmp_path)
    submitted_at = rig.time.now()
    fail_message(rig, "a", Outcome.TIMEOUT, tenant=0, key="invoice-7")
    (record,) = stored_records(rig)
    assert (record.id, record.key, record.class_name, record.tenant) == (
        "a",
        "invoice-7",
        "standard",
        "studio",
    )
    assert (record.destination, record.frontend, record.body) == (1, "resp", b"body")
    ending = rig.answers[0].ending
    assert ending is not None
    assert (record.ending, record.reason, record.idempotency) == (ending.value, "timeout", "keyed")
    assert record.accepted_at == submitted_at
    assert record.first_possible_execution is not None
    assert record.first_possible_execution >= submitted_at
    assert record.ended_at > record.accepted_at
    assert record.deadline == submitted_at + 20 * SECOND
    assert [attempt.number for attempt in record.attempts] == list(range(len(rig.calls)))
    assert {(attempt.endpoint, attempt.outcome) for attempt in record.attempts} == {("s-1", "timeout")}
    assert all(attempt.elapsed > 0 for attempt in record.attempts)
    assert not rig.journal.messages.pending_dead_letters
    assert not rig.journal.messages.by_id
    assert not rig.journal.dead_letter_bytes


def test_delivered_and_withdrawn_messages_are_not_stored(tmp_path: Path) -> None:
    rig = DeadLetterRig(tmp_path)
    rig.submit("a")
    rig.submit("b")
    for call in rig.advance(1):
        rig.end(call, Outcome.DELIVERED)
    rig.submit("c", dest=2)
    rig.dispatcher.withdraw("c")
    rig.advance(30)
    assert stored_records(rig) == []
    assert not rig.journal.messages.pending_dead_letters


def test_outcomes_that_prove_no_execution_are_in_the_record(tmp_path: Path) -> None:
    rig = DeadLetterRig(tmp_path)
    rig.submit("a")
    (call,) = rig.advance(0.1)
    rig.end(call, Outcome.REJECTED, retry_after=2 * SECOND, failure_reason="")
    while not rig.answers:
        for call in rig.advance(0.5):
            rig.end(call, Outcome.REJECTED)
    rig.advance(0.1)
    (record,) = stored_records(rig)
    assert not record.may_have_executed
    assert record.attempts[0].retry_after == 2 * SECOND
    assert not [
        attempt["may_have_run"] for attempt in export_record(record)["attempts"] if attempt["may_have_run"]
    ]


def test_the_final_answer_does_not_wait_for_the_store(tmp_path: Path) -> None:
    rig = DeadLetterRig(tmp_path)
    rig.worker.failure = sqlite3.OperationalError("disk I/O error")
    fail_message(rig, "a")
    assert [answer.id for answer in rig.answers] == ["a"]
    assert len(rig.journal.messages.pending_dead_letters) == 1
    assert rig.dispatcher.state().message_count == 0
    rig.worker.failure = None
    rig.advance(70)
    assert [record.id for record in stored_records(rig)] == ["a"]
    assert not rig.journal.messages.pending_dead_letters


def test_live_traffic_keeps_its_journal_space_while_the_store_fails(tmp_path: Path) -> None:
    """Messages that only wait for the store may take only a fraction of the journal's space.

    Messages that were certainly not executed are discarded first.
    """
    rig = DeadLetterRig(tmp_path, max_journal_bytes=100_000)
    rig.worker.failure = sqlite3.OperationalError("database or disk is full")
    fail_message(rig, "ran", Outcome.ERROR)
    for i in range(60):
        assert rig.submit(f"m{i}", left=SECOND // 2), "a live message was rejected"
        for call in rig.advance(1):
            rig.end(call, Outcome.REJECTED)
    assert rig.journal.dead_letter_bytes <= 0.25 * 100_000
    assert rig.journal_transfer.counts.discarded[False] > 0
    assert rig.journal_transfer.counts.discarded[True] == 0
    assert "ran" in {transaction.id for transaction in rig.journal.messages.pending_dead_letters.values()}
    rig.worker.failure = None
    rig.advance(120)
    stored_ids = {record.id for record in stored_records(rig)}
    assert "ran" in stored_ids
    assert len(stored_ids) + rig.journal_transfer.counts.discarded[False] == 61


def test_an_id_submitted_again_later_is_another_record(tmp_path: Path) -> None:
    rig = DeadLetterRig(tmp_path)
    rig.worker.failure = sqlite3.OperationalError("locked")
    fail_message(rig, "a")
    rig.advance(60)
    rig.journal.messages.drop_expired(rig.time.now())
    fail_message(rig, "a")
    rig.close_as_killed()
    restarted = DeadLetterRig(tmp_path, rig.time)
    restarted.advance(1)
    assert [record.id for record in stored_records(restarted)] == ["a", "a"]


def test_compaction_keeps_messages_that_wait_for_the_store(tmp_path: Path) -> None:
    rig = DeadLetterRig(tmp_path)
    rig.worker.failure = sqlite3.OperationalError("locked")
    fail_message(rig, "a", Outcome.TIMEOUT)
    transaction_before = next(iter(rig.journal.messages.pending_dead_letters.values()))
    rig.journal.compact()
    rig.close_as_killed()
    restarted = DeadLetterRig(tmp_path, rig.time)
    transaction_after = next(iter(restarted.journal.messages.pending_dead_letters.values()))
    assert transaction_after.attempt_history == transaction_before.attempt_history
    assert transaction_after.ended_at == transaction_before.ended_at
    assert transaction_after.body == transaction_before.body
    assert restarted.journal.dead_letter_bytes == rig.journal.dead_letter_bytes > 0
    restarted.advance(1)
    assert len(stored_records(restarted)) == 1
    assert restarted.journal.dead_letter_bytes == 0
    assert restarted.journal.live_bytes == 0


def run_with_kill(
    folder: Path, kill_at: int, seed: int
) -> tuple[int, dict[str, Ending | None], DeadLetterRig]:
    """Run a dispatcher with failing calls, kill it at step `kill_at`, and start it again.

    Return the number of steps, the final answers by message id, and the last rig.
    """
    rng, kill_points, clock = random.Random(seed), KillPoints(kill_at), VirtualTime()
    answers: dict[str, Ending | None] = {}
    submitted: set[str] = set()
    folder.mkdir()
    while True:
        rig = DeadLetterRig(folder, clock, kill_points)
        try:
            for _ in range(50):
                for name in sorted({f"m{i}" for i in range(4)} - submitted):
                    submitted.add(name)
                    rig.submit(name, left=6 * SECOND)
                for call in rig.advance(0.5):
                    rig.end(call, rng.choice(OUTCOMES))
            was_killed = False
        except Killed:
            was_killed = True
            kill_points = KillPoints()
        for answer in rig.answers:
            assert answers.setdefault(answer.id, answer.ending) is answer.ending, (
                "the message got two different answers"
            )
        if not was_killed:
            return kill_points.count, answers, rig
        rig.close_as_killed()


@pytest.mark.parametrize("seed", [1, 2])
def test_each_message_is_stored_exactly_once_after_a_kill_at_any_step(tmp_path: Path, seed: int) -> None:
    step_count, _, rig = run_with_kill(tmp_path / "0", -1, seed)
    rig.close_as_killed()
    assert step_count > 60
    for kill_at in range(1, step_count + 1):
        _, answers, rig = run_with_kill(tmp_path / str(kill_at), kill_at, seed)
        records = stored_records(rig)
        assert len({record.id for record in records}) == len(records), (
            f"stored twice after a kill at step {kill_at}"
        )
        assert {record.id for record in records} == set(answers), f"lost after a kill at step {kill_at}"
        assert not rig.journal.messages.pending_dead_letters
        assert not rig.journal.messages.by_id
        rig.close_as_killed()
