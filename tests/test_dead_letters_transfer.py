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


def kept(rig: DeadLetterRig) -> list[Record]:
    """Return all records of the store, after asserting that none of them is altered."""
    found = rig.store.page(RecordFilter(), limit=1000)
    assert not [stored.fault for stored in found if stored.fault]
    return [stored.record for stored in found]


def failed(rig: DeadLetterRig, name: str, outcome: Outcome = Outcome.ERROR, **more: object) -> None:
    """Submit a message, and end all its attempts with this outcome."""
    assert rig.submit(name, **more)  # type: ignore[arg-type]
    for _ in range(60):
        for call in rig.run(0.5):
            rig.end(call, outcome)


def test_a_message_that_failed_is_kept_whole_with_its_history(tmp_path: Path) -> None:
    rig = DeadLetterRig(tmp_path)
    began = rig.time.now()
    failed(rig, "a", Outcome.TIMEOUT, tenant=0, key="invoice-7")
    (record,) = kept(rig)
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
    assert record.accepted_at == began
    assert record.first_possible_execution is not None
    assert record.first_possible_execution >= began
    assert record.ended_at > record.accepted_at
    assert record.deadline == began + 20 * SECOND
    assert [one.number for one in record.attempts] == list(range(len(rig.calls)))
    assert {(one.endpoint, one.outcome) for one in record.attempts} == {("s-1", "timeout")}
    assert all(one.elapsed > 0 for one in record.attempts)
    assert not rig.journal.messages.pending_dead_letters
    assert not rig.journal.messages.by_id
    assert not rig.journal.dead_letter_bytes


def test_what_was_delivered_or_withdrawn_is_not_kept(tmp_path: Path) -> None:
    rig = DeadLetterRig(tmp_path)
    rig.submit("a")
    rig.submit("b")
    for call in rig.run(1):
        rig.end(call, Outcome.DELIVERED)
    rig.submit("c", dest=2)
    rig.dispatcher.withdraw("c")
    rig.run(30)
    assert kept(rig) == []
    assert not rig.journal.messages.pending_dead_letters


def test_what_proves_that_it_never_ran_is_in_the_record(tmp_path: Path) -> None:
    rig = DeadLetterRig(tmp_path)
    rig.submit("a")
    (call,) = rig.run(0.1)
    rig.end(call, Outcome.REJECTED, retry_after=2 * SECOND, failure_reason="")
    while not rig.answers:
        for call in rig.run(0.5):
            rig.end(call, Outcome.REJECTED)
    rig.run(0.1)
    (record,) = kept(rig)
    assert not record.may_have_executed
    assert record.attempts[0].retry_after == 2 * SECOND
    assert not [one["may_have_run"] for one in export_record(record)["attempts"] if one["may_have_run"]]


def test_the_answer_is_not_held_back_for_the_store(tmp_path: Path) -> None:
    rig = DeadLetterRig(tmp_path)
    rig.worker.failure = sqlite3.OperationalError("disk I/O error")
    failed(rig, "a")
    assert [answer.id for answer in rig.answers] == ["a"]
    assert len(rig.journal.messages.pending_dead_letters) == 1
    assert rig.dispatcher.state().message_count == 0
    rig.worker.failure = None
    rig.run(70)
    assert [record.id for record in kept(rig)] == ["a"]
    assert not rig.journal.messages.pending_dead_letters


def test_while_the_store_fails_live_traffic_keeps_its_room(tmp_path: Path) -> None:
    """Messages that only wait for the store have a limited fraction of the journal.

    Messages that were certainly not executed are discarded first.
    """
    rig = DeadLetterRig(tmp_path, disk=100_000)
    rig.worker.failure = sqlite3.OperationalError("database or disk is full")
    failed(rig, "ran", Outcome.ERROR)
    for i in range(60):
        assert rig.submit(f"m{i}", left=SECOND // 2), "a live message was rejected"
        for call in rig.run(1):
            rig.end(call, Outcome.REJECTED)
    assert rig.journal.dead_letter_bytes <= 0.25 * 100_000
    assert rig.journal_transfer.counts.discarded[False] > 0
    assert rig.journal_transfer.counts.discarded[True] == 0
    assert "ran" in {one.id for one in rig.journal.messages.pending_dead_letters.values()}
    rig.worker.failure = None
    rig.run(120)
    left = {record.id for record in kept(rig)}
    assert "ran" in left
    assert len(left) + rig.journal_transfer.counts.discarded[False] == 61


def test_the_same_id_handed_in_again_later_is_another_record(tmp_path: Path) -> None:
    rig = DeadLetterRig(tmp_path)
    rig.worker.failure = sqlite3.OperationalError("locked")
    failed(rig, "a")
    rig.run(60)
    rig.journal.messages.drop_expired(rig.time.now())
    failed(rig, "a")
    rig.close_as_killed()
    again = DeadLetterRig(tmp_path, rig.time)
    again.run(1)
    assert [record.id for record in kept(again)] == ["a", "a"]


def test_compaction_keeps_what_waits_for_the_store(tmp_path: Path) -> None:
    rig = DeadLetterRig(tmp_path)
    rig.worker.failure = sqlite3.OperationalError("locked")
    failed(rig, "a", Outcome.TIMEOUT)
    before = next(iter(rig.journal.messages.pending_dead_letters.values()))
    rig.journal.compact()
    rig.close_as_killed()
    again = DeadLetterRig(tmp_path, rig.time)
    after = next(iter(again.journal.messages.pending_dead_letters.values()))
    assert after.attempt_history == before.attempt_history
    assert after.ended_at == before.ended_at
    assert after.body == before.body
    assert again.journal.dead_letter_bytes == rig.journal.dead_letter_bytes > 0
    again.run(1)
    assert len(kept(again)) == 1
    assert again.journal.dead_letter_bytes == 0
    assert again.journal.live_bytes == 0


def play(folder: Path, at: int, seed: int) -> tuple[int, dict[str, Ending | None], DeadLetterRig]:
    """Run a dispatcher with failing calls, kill it at step `at`, and start it again.

    Return the number of steps, the final answers by message id, and the last rig.
    """
    rng, kill_points, clock = random.Random(seed), KillPoints(at), VirtualTime()
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
                for call in rig.run(0.5):
                    rig.end(call, rng.choice(OUTCOMES))
            was_killed = False
        except Killed:
            was_killed = True
            kill_points = KillPoints()
        for one in rig.answers:
            assert answers.setdefault(one.id, one.ending) is one.ending, (
                "the message got two different answers"
            )
        if not was_killed:
            return kill_points.count, answers, rig
        rig.close_as_killed()


@pytest.mark.parametrize("seed", [1, 2])
def test_killed_at_every_step_each_message_is_kept_exactly_once(tmp_path: Path, seed: int) -> None:
    steps, _, rig = play(tmp_path / "0", -1, seed)
    rig.close_as_killed()
    assert steps > 60
    for at in range(1, steps + 1):
        _, answers, rig = play(tmp_path / str(at), at, seed)
        found = kept(rig)
        assert len({record.id for record in found}) == len(found), f"stored twice after a kill at step {at}"
        assert {record.id for record in found} == set(answers), f"lost after a kill at step {at}"
        assert not rig.journal.messages.pending_dead_letters
        assert not rig.journal.messages.by_id
        rig.close_as_killed()
