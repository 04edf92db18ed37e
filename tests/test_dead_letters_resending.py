"""Resends: nothing applied twice and nothing forgotten, whatever fails and whenever the process is killed."""

from __future__ import annotations

import dataclasses
import random
import sqlite3
from pathlib import Path
from typing import Any
from unittest.mock import patch

import pytest

from honeyhitch.dead_letters import operations, resend_store, rules
from honeyhitch.dead_letters.duplicate_index import DuplicateIndex
from honeyhitch.dead_letters.eligibility import ResendDecision, Verdict
from honeyhitch.dead_letters.records import Record, RecordStatus
from honeyhitch.dead_letters.resend_scheduler import ResendScheduler
from honeyhitch.dead_letters.settings import Action, Rule
from honeyhitch.dead_letters.store import Store
from honeyhitch.dispatcher.ports import ArrivalDecision
from honeyhitch.journal.transactions import Ending, Transaction
from honeyhitch.policy.health import DestinationHealth, destination_health

from .resend_world import KEYED, RULE, SAFE, TERMS, UNSAFE, Partner, ResendStand, day, records
from .rig import VirtualTime, endpoint_row
from .world import SECOND


@pytest.mark.parametrize("seed", range(60))
def test_a_day_of_failures_with_kills(tmp_path: Path, seed: int) -> None:
    rng = random.Random(seed)
    kills = tuple(rng.randrange(1, 900) for _ in range(seed % 4))
    told = day(tmp_path, seed, kills)
    assert told.kills == len(kills)
    assert told.doubled() == []
    assert told.unsettled() == []
    assert not told.stand.resending.resends_in_progress
    assert not told.stand.resending.waiting_duplicates
    assert not told.stand.journal.messages.pending_dead_letters
    assert not told.stand.dispatcher.messages.by_id
    assert not told.stand.resending.duplicates.live_counts
    assert list(told.stand.store.verify()) == []
    told.stand.gone()


def always(self: DuplicateIndex, transaction: Transaction, now: int) -> ArrivalDecision:
    return ArrivalDecision.DELIVER


def any_resend(*_: Any) -> ResendDecision:
    return ResendDecision(Verdict.RESEND, "always")


MUTANTS: dict[str, list[tuple[Any, str, Any]]] = {
    "copies go out beside a resend": [(DuplicateIndex, "decide_arrival", always)],
    "a resend begins beside a copy": [
        (DuplicateIndex, "blocked", lambda *_: False),
        (DuplicateIndex, "decide_arrival", always),
    ],
    "a delivered copy settles nothing": [(ResendScheduler, "settles_dead_letter", lambda *_: False)],
    "a copy that failed stands beside the first": [(Store, "unresolved_duplicates", lambda *_: [])],
    "what may have run goes again": [
        (rules, "decide_resend", any_resend),
        (resend_store, "earlier_execution", lambda _: None),
    ],
}


@pytest.mark.parametrize("name", MUTANTS)
def test_the_ledgers_catch_a_faulty_dispatcher(tmp_path: Path, name: str) -> None:
    doubled = 0
    for seed in range(40):
        with patch.object(*MUTANTS[name][0]), patch.object(*MUTANTS[name][-1]):
            told = day(tmp_path / str(seed), seed, (300,))
            doubled += len(told.doubled())
            told.stand.gone()
        if doubled:
            return
    raise AssertionError("nobody noticed")


# One thing at a time.


class One:
    """A dispatcher with a partner that does what it is told."""

    def __init__(self, folder: Path, **more: Any) -> None:
        self.partner = Partner()
        self.stand = ResendStand(folder, VirtualTime(), self.partner, random.Random(1), **more)
        self.stand.modes = ("refuse",)
        self.stand.run(1)

    def hand_in(self, name: str, cls: int = KEYED, key: str = "k", front: str = "mqtt") -> None:
        now = self.stand.time.now()
        told = Transaction(name, cls, 1, now + 6 * SECOND, b"body", key=key, frontend=front)
        assert self.stand.dispatcher.submit(told).accepted

    def run(self, seconds: float) -> None:
        for _ in range(int(seconds * 5)):
            self.stand.run(0.2)
            self.partner.run(self.stand.time.now())

    def fail(self, name: str, mode: str = "refuse", **more: Any) -> Record:
        """A message that ends undelivered, kept."""
        self.stand.modes = (mode,)
        self.hand_in(name, **more)
        self.run(10)
        self.stand.modes = ("deliver",)
        return next(one for one in records(self.stand) if one.id == name)

    def record(self, name: str) -> Record:
        return next(one for one in records(self.stand) if one.id == name)

    def audit(self, name: str) -> list[str]:
        return [stored.entry.action for stored in self.stand.store.audit_page(self.record(name).sequence)]

    def until_sending(self, name: str) -> Record:
        for _ in range(2000):
            self.run(0.2)
            if (one := self.record(name)).status is RecordStatus.RESENDING:
                return one
        raise AssertionError("no resend began")

    def until_out(self) -> None:
        """Till another attempt is out."""
        sent = len(self.stand.sent)
        while len(self.stand.sent) == sent:
            self.stand.run(0.005)

    def answers(self) -> dict[str, Ending | None]:
        return {one.id: one.ending for one in self.stand.answers}


def test_a_resend_is_a_fresh_request_with_the_same_key(tmp_path: Path) -> None:
    one = One(tmp_path)
    record = one.fail("m", cls=UNSAFE)
    assert not record.may_have_executed
    assert record.client_retry_at is not None
    one.run(100)
    settled = one.record("m")
    assert settled.status is RecordStatus.SETTLED
    assert settled.settled_by == f"resend:{settled.resend_id}"
    (sent,) = [part for part in one.stand.sent if part.id == settled.resend_id]
    assert (sent.key, sent.body, sent.class_index, sent.frontend) == ("k", b"body", UNSAFE, "resend")
    assert sent.deadline > record.deadline
    assert sent.id != "m"
    assert one.audit("m") == ["resend", "settled"]
    assert len(settled.attempts) == len(record.attempts) + 1
    assert one.partner.ledger["k"]
    assert len(one.partner.ledger["k"]) == 1


@pytest.mark.parametrize(
    ("cls", "mode", "resent"),
    [
        (SAFE, "refuse", True), (SAFE, "late-lost", True), (SAFE, "500-after", True),
        (KEYED, "refuse", True), (KEYED, "500-after", True), (KEYED, "reset-before", True),
        (UNSAFE, "refuse", True), (UNSAFE, "reset-before", False), (UNSAFE, "reset-after", False),
        (UNSAFE, "late", False), (UNSAFE, "500-before", False), (UNSAFE, "spoilt", False),
    ],
)  # fmt: skip
def test_what_may_go_again_by_rule(tmp_path: Path, cls: int, mode: str, resent: bool) -> None:
    one = One(tmp_path)
    one.fail("m", mode, cls=cls)
    one.run(80)
    assert (one.record("m").status is RecordStatus.SETTLED) == resent
    assert len(one.partner.ledger.get("k", [])) <= 1 or cls == SAFE


def test_a_keyed_one_is_not_resent_after_its_window(tmp_path: Path) -> None:
    one = One(tmp_path, terms=dataclasses.replace(TERMS, client_retry_grace=100 * SECOND))
    one.fail("m", "500-after")
    one.run(300)
    assert one.record("m").status is RecordStatus.PENDING
    assert one.record("m").resend_count == 0
    assert len(one.partner.ledger["k"]) == 1


def test_released_with_evidence_it_goes_and_a_second_doubt_needs_new_evidence(tmp_path: Path) -> None:
    one = One(tmp_path)
    one.fail("m", "reset-before", cls=UNSAFE)
    one.run(60)
    told = {"verb": "release", "why": "letter 7: not applied", "filter": {"id": "m"}}
    with one.stand.store.transaction():
        operations.execute(one.stand.store, "change", told, "anna")
    one.stand.modes = ("reset-before",)
    one.run(60)
    record = one.record("m")
    assert record.resend_count == 1
    assert record.status is RecordStatus.PENDING
    assert record.evidence == ""
    assert record.first_possible_execution is not None
    assert record.first_possible_execution > record.ended_at
    one.stand.modes = ("deliver",)
    one.run(200)
    assert one.record("m").resend_count == 1, "the evidence was of the attempts before it"
    assert one.audit("m") == ["release", "resend", "resend-ended"]


def test_asked_for_by_a_person_it_goes_without_a_rule(tmp_path: Path) -> None:
    one = One(tmp_path, rule=())
    one.fail("m")
    one.run(60)
    assert one.record("m").status is RecordStatus.PENDING
    told = {"verb": "resend", "why": "the customer called", "filter": {"id": "m"}}
    with one.stand.store.transaction():
        operations.execute(one.stand.store, "change", told, "anna")
    one.run(30)
    assert one.record("m").status is RecordStatus.SETTLED
    assert one.audit("m") == ["resend", "resend", "settled"]


def test_what_a_client_was_told_to_bring_again_waits_for_it(tmp_path: Path) -> None:
    one = One(tmp_path)
    record = one.fail("m")
    assert record.client_retry_at is not None
    while one.record("m").status is RecordStatus.PENDING:
        one.run(0.2)
    assert one.stand.time.now() >= record.client_retry_at + TERMS.client_retry_grace


@pytest.mark.parametrize("cls", [SAFE, KEYED, UNSAFE])
@pytest.mark.parametrize("mode", ["deliver", "refuse", "late", "reset-after"])
@pytest.mark.parametrize("front", ["resp", "mqtt", "app"])
def test_a_copy_that_comes_while_the_resend_is_out_takes_its_end(
    tmp_path: Path, cls: int, mode: str, front: str
) -> None:
    one = One(tmp_path)
    one.stand.dispatcher.frontends["app"] = one.stand
    one.fail("m", cls=cls)
    one.stand.modes = (mode,)
    sent = len(one.stand.sent)
    one.until_out()
    one.hand_in("copy", cls=cls, front=front)
    assert one.stand.sent[-1].frontend == "resend"
    assert len(one.stand.sent) == sent + 1
    one.stand.modes = ("deliver",)
    out: list[str] = []
    while one.stand.dispatcher.messages.by_id.get("copy") is not None:
        out = [
            name
            for name in one.stand.dispatcher.calls_in_flight
            if one.stand.dispatcher.calls_in_flight[name].messages[0].key == "k"
        ]
        assert len(out) <= 1, "the copy and the resend are out together"
        one.run(0.2)
    if cls != SAFE:
        assert len(one.partner.ledger.get("k", [])) <= 1
    if mode == "deliver":
        assert one.answers().get("copy", Ending.DELIVERED) is Ending.DELIVERED
        assert [part.id for part in one.stand.sent].count("copy") == 0
    elif mode == "refuse" or cls != UNSAFE:
        assert one.partner.ledger["k"], "the copy goes once the resend is over"
    else:
        assert one.answers()["copy"] is Ending.FAILED, "nobody knows whether the resend ran"
    one.run(100)
    assert len(one.partner.ledger.get("k", [])) <= 1 or cls == SAFE


@pytest.mark.parametrize("ends", ["deliver", "refuse", "late"])
def test_no_resend_begins_while_a_copy_is_held(tmp_path: Path, ends: str) -> None:
    one = One(tmp_path)
    one.fail("m", cls=UNSAFE)
    one.run(6)
    one.stand.modes = ("refuse",)
    one.hand_in("copy", cls=UNSAFE)
    one.run(3)
    one.stand.modes = (ends,)
    while one.stand.dispatcher.messages.by_id.get("copy") is not None:
        assert one.record("m").status is RecordStatus.PENDING
        one.run(0.2)
    one.stand.modes = ("deliver",)
    one.run(120)
    assert len(one.partner.ledger.get("k", [])) == 1 or ends == "late"
    assert len(one.partner.ledger.get("k", [])) <= 1
    if ends == "deliver":
        assert one.record("m").settled_by == "copy:copy"
    else:
        assert one.record("m").status is RecordStatus.REPLACED
        assert one.record("copy").status is (RecordStatus.PENDING if ends == "late" else RecordStatus.SETTLED)


def test_a_copy_that_comes_after_the_resend_takes_its_end_also_after_a_start(tmp_path: Path) -> None:
    one = One(tmp_path)
    one.fail("m", cls=UNSAFE)
    one.run(100)
    one.hand_in("copy-1", cls=UNSAFE)
    one.run(1)
    assert one.answers()["copy-1"] is Ending.DELIVERED
    one.stand.gone()
    stand = ResendStand(tmp_path, one.stand.time, one.partner, random.Random(2))
    one.stand = stand
    one.run(1)
    one.hand_in("copy-2", cls=UNSAFE)
    one.run(1)
    assert one.answers()["copy-2"] is Ending.DELIVERED
    assert len(one.partner.ledger["k"]) == 1


def test_a_keyed_message_long_after_the_resend_is_a_new_one(tmp_path: Path) -> None:
    one = One(tmp_path)
    one.fail("m")
    one.run(200)
    one.hand_in("new")
    one.run(5)
    assert len(one.partner.ledger["k"]) == 2
    assert one.answers()["new"] is Ending.DELIVERED


def test_a_copy_of_other_contents_settles_nothing_and_bars_an_unsafe_resend(tmp_path: Path) -> None:
    one = One(tmp_path)
    one.fail("m", cls=UNSAFE)
    now = one.stand.time.now()
    other = Transaction("copy", UNSAFE, 1, now + 6 * SECOND, b"other", key="k", frontend="mqtt")
    assert one.stand.dispatcher.submit(other).accepted
    one.run(100)
    record = one.record("m")
    assert record.status is RecordStatus.PENDING
    assert record.may_have_executed
    assert record.resend_count == 0
    assert one.audit("m") == ["key-used"]


def test_a_copy_with_little_time_is_answered_before_it_is_up(tmp_path: Path) -> None:
    one = One(tmp_path)
    one.fail("m", cls=UNSAFE)
    one.stand.modes = ("late-lost",)
    one.until_out()
    now = one.stand.time.now()
    assert one.stand.dispatcher.submit(
        Transaction("copy", UNSAFE, 1, now + SECOND, b"body", key="k", frontend="mqtt")
    ).accepted
    one.run(1)
    assert one.answers()["copy"] is Ending.FAILED, "the resend may run yet"
    one.stand.modes = ("deliver",)
    one.run(100)
    assert one.record("copy").status is RecordStatus.REPLACED
    assert one.record("m").status is RecordStatus.PENDING


def test_a_copy_that_is_withdrawn_while_it_waits(tmp_path: Path) -> None:
    one = One(tmp_path)
    one.fail("m", cls=UNSAFE)
    one.stand.modes = ("late-lost",)
    one.until_out()
    one.hand_in("copy", cls=UNSAFE)
    one.stand.dispatcher.withdraw("copy")
    one.run(30)
    assert "copy" not in one.answers()
    assert not one.stand.resending.duplicates.live_counts
    assert not any(one.stand.resending.waiting_duplicates.values())


def test_what_was_called_off_before_it_went_out_is_as_it_was(tmp_path: Path) -> None:
    """The client brings it itself between the claim and the first byte."""
    one = One(tmp_path)
    one.fail("m", cls=UNSAFE)
    with patch.object(type(one.stand.dispatcher), "release", lambda *_: None):
        one.until_sending("m")
    one.hand_in("copy", cls=UNSAFE)
    one.run(5)
    assert one.answers()["copy"] is Ending.DELIVERED
    assert one.record("m").settled_by == "copy:copy"
    assert len(one.partner.ledger["k"]) == 1
    assert one.stand.resending.pacing.resends_in_flight == 0


def test_a_journal_that_was_lost_makes_a_resend_one_that_may_have_run(tmp_path: Path) -> None:
    one = One(tmp_path)
    one.fail("m", cls=UNSAFE)
    one.stand.modes = ("late-lost",)
    one.until_sending("m")
    one.stand.gone()
    (tmp_path / "journal").unlink()
    one.stand = ResendStand(tmp_path, one.stand.time, one.partner, random.Random(2))
    one.run(100)
    assert one.record("m").status is RecordStatus.PENDING
    assert one.record("m").may_have_executed
    assert one.audit("m") == ["resend", "resend-lost"]


def test_while_the_store_fails_an_end_is_kept_in_the_journal(tmp_path: Path) -> None:
    one = One(tmp_path)
    one.fail("m", cls=UNSAFE)
    one.until_sending("m")
    one.stand.worker.broken = sqlite3.OperationalError("disk I/O error")
    one.run(20)
    (held,) = one.stand.dispatcher.messages.by_id.values()
    assert held.frontend == "resend"
    assert held.ending is Ending.DELIVERED
    one.stand.worker.broken = None
    one.run(70)
    assert one.record("m").status is RecordStatus.SETTLED
    assert not one.stand.dispatcher.messages.by_id
    assert len(one.partner.ledger["k"]) == 1


def test_new_rules_hold_at_once_and_what_is_out_ends(tmp_path: Path) -> None:
    one = One(tmp_path)
    for i in range(6):
        one.fail(f"m{i}", key=f"k{i}", cls=UNSAFE)
    one.until_sending("m0")
    one.stand.resending.replace_rules((Rule("none", Action.HOLD),))
    one.run(100)
    standings = [one.record(f"m{i}").status.value for i in range(6)]
    assert standings.count("settled") <= 2
    assert "sending" not in standings
    one.stand.resending.replace_rules((Rule("gone", Action.DISCARD, destinations=frozenset({1})),))
    one.run(60)
    assert {one.record(f"m{i}").status.value for i in range(6)} <= {"settled", "discarded"}
    one.stand.resending.replace_rules((RULE,))
    one.run(60)
    assert all(len(times) == 1 for times in one.partner.ledger.values())


def test_a_partner_that_goes_down_again_gets_no_more_than_single_tries(tmp_path: Path) -> None:
    one = One(tmp_path)
    for i in range(12):
        one.fail(f"m{i}", key=f"k{i}", cls=UNSAFE)
    while not any(one.record(f"m{i}").status is RecordStatus.SETTLED for i in range(12)):
        one.run(0.2)
    one.stand.modes = ("refuse",)
    one.run(40)
    before = len(one.stand.sent)
    one.run(600)
    assert len(one.stand.sent) - before <= 12 * 5, "a partner that is out is tried at growing gaps"
    one.stand.modes = ("deliver",)
    one.run(1500)
    assert all(one.record(f"m{i}").status is RecordStatus.SETTLED for i in range(12))
    assert all(len(times) == 1 for times in one.partner.ledger.values())


def test_a_drained_member_gets_no_resend(tmp_path: Path) -> None:
    one = One(tmp_path)
    one.fail("m", cls=UNSAFE)
    told = {"revision": 2, "complete": False, "members": [endpoint_row("s-1", 1, phase="Terminating")]}
    one.stand.dispatcher.apply_list_update(one.stand.dispatcher.pool.update(told))
    one.run(100)
    assert one.record("m").resend_count == 0
    assert one.record("m").status is RecordStatus.PENDING
    assert destination_health(one.stand.dispatcher.policy, 1, one.stand.time.now()) == DestinationHealth(
        False, True, False, 0, False, 0, 0, 0
    )


def test_the_class_of_a_record_that_is_no_more_is_held(tmp_path: Path) -> None:
    one = One(tmp_path)
    one.fail("m", cls=SAFE)
    one.stand.resending.resend_durations.pop("safe")
    one.run(100)
    assert one.record("m").status is RecordStatus.PENDING
