"""Undelivered messages move from the journal to the store: once, whatever strikes, and never in the way."""

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

from .dead_letters_rig import KeepingStand, Killed, Points
from .rig import VirtualTime
from .world import SECOND

OUTCOMES = (Outcome.REJECTED, Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET)


def kept(stand: KeepingStand) -> list[Record]:
    found = stand.store.page(RecordFilter(), limit=1000)
    assert not [one.fault for one in found if one.fault]
    return [one.record for one in found]


def failed(stand: KeepingStand, name: str, outcome: Outcome = Outcome.ERROR, **more: object) -> None:
    """A message that fails with this outcome till it is given up."""
    assert stand.submit(name, **more)  # type: ignore[arg-type]
    for _ in range(60):
        for call in stand.run(0.5):
            stand.end(call, outcome)


def test_a_message_that_failed_is_kept_whole_with_its_history(tmp_path: Path) -> None:
    stand = KeepingStand(tmp_path)
    began = stand.time.now()
    failed(stand, "a", Outcome.TIMEOUT, tenant=0, key="invoice-7")
    (record,) = kept(stand)
    assert (record.id, record.key, record.class_name, record.tenant) == (
        "a",
        "invoice-7",
        "standard",
        "studio",
    )
    assert (record.destination, record.frontend, record.body) == (1, "resp", b"body")
    assert (record.ending, record.reason, record.idempotency) == (
        stand.answers[0].ending.value,
        "timeout",
        "keyed",
    )  # type: ignore[union-attr]
    assert record.accepted_at == began
    assert record.first_possible_execution is not None
    assert record.first_possible_execution >= began
    assert record.ended_at > record.accepted_at
    assert record.deadline == began + 20 * SECOND
    assert [one.number for one in record.attempts] == list(range(len(stand.calls)))
    assert {(one.endpoint, one.outcome) for one in record.attempts} == {("s-1", "timeout")}
    assert all(one.elapsed > 0 for one in record.attempts)
    assert not stand.journal.messages.pending_dead_letters
    assert not stand.journal.messages.by_id
    assert not stand.journal.dead_letter_bytes


def test_what_was_delivered_or_withdrawn_is_not_kept(tmp_path: Path) -> None:
    stand = KeepingStand(tmp_path)
    stand.submit("a")
    stand.submit("b")
    for call in stand.run(1):
        stand.end(call, Outcome.DELIVERED)
    stand.submit("c", dest=2)
    stand.dispatcher.withdraw("c")
    stand.run(30)
    assert kept(stand) == []
    assert not stand.journal.messages.pending_dead_letters


def test_what_proves_that_it_never_ran_is_in_the_record(tmp_path: Path) -> None:
    stand = KeepingStand(tmp_path)
    stand.submit("a")
    (call,) = stand.run(0.1)
    stand.end(call, Outcome.REJECTED, retry_after=2 * SECOND, failure_reason="")
    while not stand.answers:
        for call in stand.run(0.5):
            stand.end(call, Outcome.REJECTED)
    stand.run(0.1)
    (record,) = kept(stand)
    assert not record.may_have_executed
    assert record.attempts[0].retry_after == 2 * SECOND
    assert not [one["may_have_run"] for one in export_record(record)["attempts"] if one["may_have_run"]]


def test_the_answer_is_not_held_back_for_the_store(tmp_path: Path) -> None:
    stand = KeepingStand(tmp_path)
    stand.worker.broken = sqlite3.OperationalError("disk I/O error")
    failed(stand, "a")
    assert [one.id for one in stand.answers] == ["a"]
    assert len(stand.journal.messages.pending_dead_letters) == 1
    assert stand.dispatcher.state().message_count == 0
    stand.worker.broken = None
    stand.run(70)
    assert [one.id for one in kept(stand)] == ["a"]
    assert not stand.journal.messages.pending_dead_letters


def test_while_the_store_fails_live_traffic_keeps_its_room(tmp_path: Path) -> None:
    """Messages that only wait for the store take a share of the journal; the never-run ones go first."""
    stand = KeepingStand(tmp_path, disk=100_000)
    stand.worker.broken = sqlite3.OperationalError("database or disk is full")
    failed(stand, "ran", Outcome.ERROR)
    for i in range(60):
        assert stand.submit(f"m{i}", left=SECOND // 2), "a live message was turned away"
        for call in stand.run(1):
            stand.end(call, Outcome.REJECTED)
    assert stand.journal.dead_letter_bytes <= 0.25 * 100_000
    assert stand.moving.counts.discarded[False] > 0
    assert stand.moving.counts.discarded[True] == 0
    assert "ran" in {one.id for one in stand.journal.messages.pending_dead_letters.values()}
    stand.worker.broken = None
    stand.run(120)
    left = {one.id for one in kept(stand)}
    assert "ran" in left
    assert len(left) + stand.moving.counts.discarded[False] == 61


def test_the_same_id_handed_in_again_later_is_another_record(tmp_path: Path) -> None:
    stand = KeepingStand(tmp_path)
    stand.worker.broken = sqlite3.OperationalError("locked")
    failed(stand, "a")
    stand.run(60)
    stand.journal.messages.drop_expired(stand.time.now())
    failed(stand, "a")
    stand.gone()
    again = KeepingStand(tmp_path, stand.time)
    again.run(1)
    assert [one.id for one in kept(again)] == ["a", "a"]


def test_compaction_keeps_what_waits_for_the_store(tmp_path: Path) -> None:
    stand = KeepingStand(tmp_path)
    stand.worker.broken = sqlite3.OperationalError("locked")
    failed(stand, "a", Outcome.TIMEOUT)
    before = next(iter(stand.journal.messages.pending_dead_letters.values()))
    stand.journal.compact()
    stand.gone()
    again = KeepingStand(tmp_path, stand.time)
    after = next(iter(again.journal.messages.pending_dead_letters.values()))
    assert after.attempt_history == before.attempt_history
    assert after.ended_at == before.ended_at
    assert after.body == before.body
    assert again.journal.dead_letter_bytes == stand.journal.dead_letter_bytes > 0
    again.run(1)
    assert len(kept(again)) == 1
    assert again.journal.dead_letter_bytes == 0
    assert again.journal.live_bytes == 0


def play(folder: Path, at: int, seed: int) -> tuple[int, dict[str, Ending | None], KeepingStand]:
    """A day of failures, with a kill at that step and a start after it; how many steps there were."""
    rng, points, clock = random.Random(seed), Points(at), VirtualTime()
    answers: dict[str, Ending | None] = {}
    taken: set[str] = set()
    folder.mkdir()
    while True:
        stand = KeepingStand(folder, clock, points)
        try:
            for _ in range(50):
                for name in sorted({f"m{i}" for i in range(4)} - taken):
                    taken.add(name)
                    stand.submit(name, left=6 * SECOND)
                for call in stand.run(0.5):
                    stand.end(call, rng.choice(OUTCOMES))
            struck = False
        except Killed:
            struck, points = True, Points()
        for one in stand.answers:
            assert answers.setdefault(one.id, one.ending) is one.ending, "two different answers"
        if not struck:
            return points.seen, answers, stand
        stand.gone()


@pytest.mark.parametrize("seed", [1, 2])
def test_killed_at_every_step_each_message_is_kept_exactly_once(tmp_path: Path, seed: int) -> None:
    steps, _, stand = play(tmp_path / "0", -1, seed)
    stand.gone()
    assert steps > 60
    for at in range(1, steps + 1):
        _, answers, stand = play(tmp_path / str(at), at, seed)
        found = kept(stand)
        assert len({one.id for one in found}) == len(found), f"kept twice after a kill at step {at}"
        assert {one.id for one in found} == set(answers), f"lost after a kill at step {at}"
        assert not stand.journal.messages.pending_dead_letters
        assert not stand.journal.messages.by_id
        stand.gone()
