"""Resends under failures and kills: no message is applied twice, and none that may be resent is left out."""

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

from .resend_world import (
    KEYED,
    RESEND_SETTINGS,
    RULE,
    SAFE,
    UNSAFE,
    Receiver,
    ResendRig,
    run_day,
    stored_records,
)
from .rig import VirtualTime, endpoint_row
from .world import SECOND


@pytest.mark.parametrize("seed", range(60))
def test_a_day_of_failures_with_kills(tmp_path: Path, seed: int) -> None:
    rng = random.Random(seed)
    kills = tuple(rng.randrange(1, 900) for _ in range(seed % 4))
    result = run_day(tmp_path, seed, kills)
    assert result.kills == len(kills)
    assert result.applied_twice() == []
    assert result.unresolved() == []
    assert not result.rig.resend_scheduler.resends_in_progress
    assert not result.rig.resend_scheduler.waiting_duplicates
    assert not result.rig.journal.messages.pending_dead_letters
    assert not result.rig.dispatcher.messages.by_id
    assert not result.rig.resend_scheduler.duplicates.live_counts
    assert list(result.rig.store.verify()) == []
    result.rig.close_as_killed()


def always_deliver(*_: Any) -> ArrivalDecision:
    return ArrivalDecision.DELIVER


def always_resend(*_: Any) -> ResendDecision:
    return ResendDecision(Verdict.RESEND, "always")


MUTANTS: dict[str, list[tuple[Any, str, Any]]] = {
    "copies go out beside a resend": [(DuplicateIndex, "decide_arrival", always_deliver)],
    "a resend begins beside a copy": [
        (DuplicateIndex, "blocks_resend", lambda *_: False),
        (DuplicateIndex, "decide_arrival", always_deliver),
    ],
    "a delivered copy settles nothing": [(ResendScheduler, "settles_dead_letter", lambda *_: False)],
    "a copy that failed stands beside the first": [(Store, "unresolved_duplicates", lambda *_: [])],
    "what may have run goes again": [
        (rules, "decide_resend", always_resend),
        (resend_store, "earlier_execution", lambda _: None),
    ],
}


@pytest.mark.parametrize("name", MUTANTS)
def test_the_ledger_shows_the_error_of_a_faulty_dispatcher(tmp_path: Path, name: str) -> None:
    for seed in range(40):
        with patch.object(*MUTANTS[name][0]), patch.object(*MUTANTS[name][-1]):
            result = run_day(tmp_path / str(seed), seed, (300,))
            applied_twice = result.applied_twice()
            result.rig.close_as_killed()
        if applied_twice:
            return
    raise AssertionError("no run with the faulty dispatcher applied a message twice")


# Single cases, without random failures.


class ResendScenario:
    """A dispatcher and a receiver that answers in the response mode that the test has set."""

    def __init__(self, folder: Path, **rig_options: Any) -> None:
        self.receiver = Receiver()
        self.rig = ResendRig(folder, VirtualTime(), self.receiver, random.Random(1), **rig_options)
        self.rig.modes = ("refuse",)
        self.rig.advance(1)

    def submit(self, name: str, class_index: int = KEYED, key: str = "k", frontend: str = "mqtt") -> None:
        """Submit a message, and fail the test if it is not accepted."""
        deadline = self.rig.time.now() + 6 * SECOND
        message = Transaction(name, class_index, 1, deadline, b"body", key=key, frontend=frontend)
        assert self.rig.dispatcher.submit(message).accepted

    def run(self, seconds: float) -> None:
        """Let this much time pass at the dispatcher and the receiver."""
        for _ in range(int(seconds * 5)):
            self.rig.advance(0.2)
            self.receiver.apply_due(self.rig.time.now())

    def fail(self, name: str, mode: str = "refuse", **message_options: Any) -> Record:
        """Submit a message that ends undelivered, and return its record. Later calls are delivered."""
        self.rig.modes = (mode,)
        self.submit(name, **message_options)
        self.run(10)
        self.rig.modes = ("deliver",)
        return self.record(name)

    def record(self, name: str) -> Record:
        """Return the record of a message."""
        return next(record for record in stored_records(self.rig) if record.id == name)

    def audit(self, name: str) -> list[str]:
        """Return the actions in the audit entries of a message's record, oldest first."""
        return [stored.entry.action for stored in self.rig.store.audit_page(self.record(name).sequence)]

    def run_until_resending(self, name: str) -> Record:
        """Run until the message's record is claimed for a resend, and return the record."""
        for _ in range(2000):
            self.run(0.2)
            if (record := self.record(name)).status is RecordStatus.RESENDING:
                return record
        raise AssertionError(f"no resend of {name} was claimed")

    def run_until_attempt(self) -> None:
        """Run until another attempt has been sent."""
        sent_count = len(self.rig.sent)
        while len(self.rig.sent) == sent_count:
            self.rig.advance(0.005)

    def answers(self) -> dict[str, Ending | None]:
        """Return the ending of each answered message, by message id."""
        return {answer.id: answer.ending for answer in self.rig.answers}


def test_a_resend_is_a_new_message_with_the_same_key(tmp_path: Path) -> None:
    scenario = ResendScenario(tmp_path)
    record = scenario.fail("m", class_index=UNSAFE)
    assert not record.may_have_executed
    assert record.client_retry_at is not None
    scenario.run(100)
    settled = scenario.record("m")
    assert settled.status is RecordStatus.SETTLED
    assert settled.settled_by == f"resend:{settled.resend_id}"
    (sent,) = [message for message in scenario.rig.sent if message.id == settled.resend_id]
    assert (sent.key, sent.body, sent.class_index, sent.frontend) == ("k", b"body", UNSAFE, "resend")
    assert sent.deadline > record.deadline
    assert sent.id != "m"
    assert scenario.audit("m") == ["resend", "settled"]
    assert len(settled.attempts) == len(record.attempts) + 1
    assert scenario.receiver.ledger["k"]
    assert len(scenario.receiver.ledger["k"]) == 1


@pytest.mark.parametrize(
    ("class_index", "mode", "resent"),
    [
        (SAFE, "refuse", True), (SAFE, "late-lost", True), (SAFE, "500-after", True),
        (KEYED, "refuse", True), (KEYED, "500-after", True), (KEYED, "reset-before", True),
        (UNSAFE, "refuse", True), (UNSAFE, "reset-before", False), (UNSAFE, "reset-after", False),
        (UNSAFE, "late", False), (UNSAFE, "500-before", False), (UNSAFE, "spoilt", False),
    ],
)  # fmt: skip
def test_which_messages_a_rule_resends(tmp_path: Path, class_index: int, mode: str, resent: bool) -> None:
    scenario = ResendScenario(tmp_path)
    scenario.fail("m", mode, class_index=class_index)
    scenario.run(80)
    assert (scenario.record("m").status is RecordStatus.SETTLED) == resent
    assert len(scenario.receiver.ledger.get("k", [])) <= 1 or class_index == SAFE


def test_a_keyed_message_is_not_resent_after_its_window(tmp_path: Path) -> None:
    scenario = ResendScenario(
        tmp_path, resend_settings=dataclasses.replace(RESEND_SETTINGS, client_retry_grace=100 * SECOND)
    )
    scenario.fail("m", "500-after")
    scenario.run(300)
    assert scenario.record("m").status is RecordStatus.PENDING
    assert scenario.record("m").resend_count == 0
    assert len(scenario.receiver.ledger["k"]) == 1


def test_evidence_allows_a_resend_but_does_not_cover_the_attempts_of_that_resend(tmp_path: Path) -> None:
    scenario = ResendScenario(tmp_path)
    scenario.fail("m", "reset-before", class_index=UNSAFE)
    scenario.run(60)
    arguments = {"verb": "release", "why": "letter 7: not applied", "filter": {"id": "m"}}
    with scenario.rig.store.transaction():
        operations.execute(scenario.rig.store, "change", arguments, "anna")
    scenario.rig.modes = ("reset-before",)
    scenario.run(60)
    record = scenario.record("m")
    assert record.resend_count == 1
    assert record.status is RecordStatus.PENDING
    assert record.evidence == ""
    assert record.first_possible_execution is not None
    assert record.first_possible_execution > record.ended_at
    scenario.rig.modes = ("deliver",)
    scenario.run(200)
    assert scenario.record("m").resend_count == 1, "the evidence covers only attempts before the resend"
    assert scenario.audit("m") == ["release", "resend", "resend-ended"]


def test_a_resend_requested_by_an_operator_needs_no_rule(tmp_path: Path) -> None:
    scenario = ResendScenario(tmp_path, rules=())
    scenario.fail("m")
    scenario.run(60)
    assert scenario.record("m").status is RecordStatus.PENDING
    arguments = {"verb": "resend", "why": "the customer called", "filter": {"id": "m"}}
    with scenario.rig.store.transaction():
        operations.execute(scenario.rig.store, "change", arguments, "anna")
    scenario.run(30)
    assert scenario.record("m").status is RecordStatus.SETTLED
    assert scenario.audit("m") == ["resend", "resend", "settled"]


def test_a_resend_waits_for_the_duplicate_that_the_client_was_asked_for(tmp_path: Path) -> None:
    scenario = ResendScenario(tmp_path)
    record = scenario.fail("m")
    assert record.client_retry_at is not None
    while scenario.record("m").status is RecordStatus.PENDING:
        scenario.run(0.2)
    assert scenario.rig.time.now() >= record.client_retry_at + RESEND_SETTINGS.client_retry_grace


@pytest.mark.parametrize("class_index", [SAFE, KEYED, UNSAFE])
@pytest.mark.parametrize("mode", ["deliver", "refuse", "late", "reset-after"])
@pytest.mark.parametrize("frontend", ["resp", "mqtt", "app"])
def test_a_duplicate_during_a_resend_waits_for_its_ending(
    tmp_path: Path, class_index: int, mode: str, frontend: str
) -> None:
    scenario = ResendScenario(tmp_path)
    scenario.rig.dispatcher.frontends["app"] = scenario.rig
    scenario.fail("m", class_index=class_index)
    scenario.rig.modes = (mode,)
    sent_count = len(scenario.rig.sent)
    scenario.run_until_attempt()
    scenario.submit("copy", class_index=class_index, frontend=frontend)
    assert scenario.rig.sent[-1].frontend == "resend"
    assert len(scenario.rig.sent) == sent_count + 1
    scenario.rig.modes = ("deliver",)
    ids_in_flight: list[str] = []
    while scenario.rig.dispatcher.messages.by_id.get("copy") is not None:
        ids_in_flight = [
            message_id
            for message_id in scenario.rig.dispatcher.calls_in_flight
            if scenario.rig.dispatcher.calls_in_flight[message_id].messages[0].key == "k"
        ]
        assert len(ids_in_flight) <= 1, "the duplicate and the resend are both in flight"
        scenario.run(0.2)
    if class_index != SAFE:
        assert len(scenario.receiver.ledger.get("k", [])) <= 1
    if mode == "deliver":
        assert scenario.answers().get("copy", Ending.DELIVERED) is Ending.DELIVERED
        assert [message.id for message in scenario.rig.sent].count("copy") == 0
    elif mode == "refuse" or class_index != UNSAFE:
        assert scenario.receiver.ledger["k"], "the duplicate is sent after the resend has ended"
    else:
        assert scenario.answers()["copy"] is Ending.FAILED, "the resend may have been executed"
    scenario.run(100)
    assert len(scenario.receiver.ledger.get("k", [])) <= 1 or class_index == SAFE


@pytest.mark.parametrize("duplicate_mode", ["deliver", "refuse", "late"])
def test_no_resend_starts_while_a_duplicate_is_live(tmp_path: Path, duplicate_mode: str) -> None:
    scenario = ResendScenario(tmp_path)
    scenario.fail("m", class_index=UNSAFE)
    scenario.run(6)
    scenario.rig.modes = ("refuse",)
    scenario.submit("copy", class_index=UNSAFE)
    scenario.run(3)
    scenario.rig.modes = (duplicate_mode,)
    while scenario.rig.dispatcher.messages.by_id.get("copy") is not None:
        assert scenario.record("m").status is RecordStatus.PENDING
        scenario.run(0.2)
    scenario.rig.modes = ("deliver",)
    scenario.run(120)
    assert len(scenario.receiver.ledger.get("k", [])) == 1 or duplicate_mode == "late"
    assert len(scenario.receiver.ledger.get("k", [])) <= 1
    if duplicate_mode == "deliver":
        assert scenario.record("m").settled_by == "copy:copy"
    else:
        assert scenario.record("m").status is RecordStatus.REPLACED
        assert scenario.record("copy").status is (
            RecordStatus.PENDING if duplicate_mode == "late" else RecordStatus.SETTLED
        )


def test_a_duplicate_after_a_delivered_resend_is_answered_as_delivered_even_after_a_restart(
    tmp_path: Path,
) -> None:
    scenario = ResendScenario(tmp_path)
    scenario.fail("m", class_index=UNSAFE)
    scenario.run(100)
    scenario.submit("copy-1", class_index=UNSAFE)
    scenario.run(1)
    assert scenario.answers()["copy-1"] is Ending.DELIVERED
    scenario.rig.close_as_killed()
    restarted_rig = ResendRig(tmp_path, scenario.rig.time, scenario.receiver, random.Random(2))
    scenario.rig = restarted_rig
    scenario.run(1)
    scenario.submit("copy-2", class_index=UNSAFE)
    scenario.run(1)
    assert scenario.answers()["copy-2"] is Ending.DELIVERED
    assert len(scenario.receiver.ledger["k"]) == 1


def test_a_keyed_message_long_after_the_resend_is_a_new_message(tmp_path: Path) -> None:
    scenario = ResendScenario(tmp_path)
    scenario.fail("m")
    scenario.run(200)
    scenario.submit("new")
    scenario.run(5)
    assert len(scenario.receiver.ledger["k"]) == 2
    assert scenario.answers()["new"] is Ending.DELIVERED


def test_a_duplicate_with_another_body_settles_no_record_and_prevents_an_unsafe_resend(
    tmp_path: Path,
) -> None:
    scenario = ResendScenario(tmp_path)
    scenario.fail("m", class_index=UNSAFE)
    now = scenario.rig.time.now()
    other = Transaction("copy", UNSAFE, 1, now + 6 * SECOND, b"other", key="k", frontend="mqtt")
    assert scenario.rig.dispatcher.submit(other).accepted
    scenario.run(100)
    record = scenario.record("m")
    assert record.status is RecordStatus.PENDING
    assert record.may_have_executed
    assert record.resend_count == 0
    assert scenario.audit("m") == ["key-used"]


def test_a_waiting_duplicate_is_answered_before_its_deadline(tmp_path: Path) -> None:
    scenario = ResendScenario(tmp_path)
    scenario.fail("m", class_index=UNSAFE)
    scenario.rig.modes = ("late-lost",)
    scenario.run_until_attempt()
    now = scenario.rig.time.now()
    assert scenario.rig.dispatcher.submit(
        Transaction("copy", UNSAFE, 1, now + SECOND, b"body", key="k", frontend="mqtt")
    ).accepted
    scenario.run(1)
    assert scenario.answers()["copy"] is Ending.FAILED, "the resend may still be executed"
    scenario.rig.modes = ("deliver",)
    scenario.run(100)
    assert scenario.record("copy").status is RecordStatus.REPLACED
    assert scenario.record("m").status is RecordStatus.PENDING


def test_a_duplicate_that_is_withdrawn_while_it_waits(tmp_path: Path) -> None:
    scenario = ResendScenario(tmp_path)
    scenario.fail("m", class_index=UNSAFE)
    scenario.rig.modes = ("late-lost",)
    scenario.run_until_attempt()
    scenario.submit("copy", class_index=UNSAFE)
    scenario.rig.dispatcher.withdraw("copy")
    scenario.run(30)
    assert "copy" not in scenario.answers()
    assert not scenario.rig.resend_scheduler.duplicates.live_counts
    assert not any(scenario.rig.resend_scheduler.waiting_duplicates.values())


def test_a_duplicate_settles_the_record_if_the_resend_is_cancelled_before_it_is_sent(tmp_path: Path) -> None:
    """The client submits a duplicate after the record is claimed and before the resend is sent."""
    scenario = ResendScenario(tmp_path)
    scenario.fail("m", class_index=UNSAFE)
    with patch.object(type(scenario.rig.dispatcher), "release", lambda *_: None):
        scenario.run_until_resending("m")
    scenario.submit("copy", class_index=UNSAFE)
    scenario.run(5)
    assert scenario.answers()["copy"] is Ending.DELIVERED
    assert scenario.record("m").settled_by == "copy:copy"
    assert len(scenario.receiver.ledger["k"]) == 1
    assert scenario.rig.resend_scheduler.pacing.resends_in_flight == 0


def test_a_resend_may_have_been_executed_if_the_journal_was_lost(tmp_path: Path) -> None:
    scenario = ResendScenario(tmp_path)
    scenario.fail("m", class_index=UNSAFE)
    scenario.rig.modes = ("late-lost",)
    scenario.run_until_resending("m")
    scenario.rig.close_as_killed()
    (tmp_path / "journal").unlink()
    scenario.rig = ResendRig(tmp_path, scenario.rig.time, scenario.receiver, random.Random(2))
    scenario.run(100)
    assert scenario.record("m").status is RecordStatus.PENDING
    assert scenario.record("m").may_have_executed
    assert scenario.audit("m") == ["resend", "resend-lost"]


def test_the_journal_keeps_a_resends_ending_while_the_store_fails(tmp_path: Path) -> None:
    scenario = ResendScenario(tmp_path)
    scenario.fail("m", class_index=UNSAFE)
    scenario.run_until_resending("m")
    scenario.rig.worker.failure = sqlite3.OperationalError("disk I/O error")
    scenario.run(20)
    (journaled,) = scenario.rig.dispatcher.messages.by_id.values()
    assert journaled.frontend == "resend"
    assert journaled.ending is Ending.DELIVERED
    scenario.rig.worker.failure = None
    scenario.run(70)
    assert scenario.record("m").status is RecordStatus.SETTLED
    assert not scenario.rig.dispatcher.messages.by_id
    assert len(scenario.receiver.ledger["k"]) == 1


def test_new_rules_apply_at_once_and_resends_in_progress_end(tmp_path: Path) -> None:
    scenario = ResendScenario(tmp_path)
    for i in range(6):
        scenario.fail(f"m{i}", key=f"k{i}", class_index=UNSAFE)
    scenario.run_until_resending("m0")
    scenario.rig.resend_scheduler.replace_rules((Rule("none", Action.HOLD),))
    scenario.run(100)
    statuses = [scenario.record(f"m{i}").status.value for i in range(6)]
    assert statuses.count("settled") <= 2
    assert "sending" not in statuses
    scenario.rig.resend_scheduler.replace_rules((Rule("gone", Action.DISCARD, destinations=frozenset({1})),))
    scenario.run(60)
    assert {scenario.record(f"m{i}").status.value for i in range(6)} <= {"settled", "discarded"}
    scenario.rig.resend_scheduler.replace_rules((RULE,))
    scenario.run(60)
    assert all(len(times) == 1 for times in scenario.receiver.ledger.values())


def test_a_receiver_that_fails_again_is_probed_with_single_resends(tmp_path: Path) -> None:
    scenario = ResendScenario(tmp_path)
    for i in range(12):
        scenario.fail(f"m{i}", key=f"k{i}", class_index=UNSAFE)
    while not any(scenario.record(f"m{i}").status is RecordStatus.SETTLED for i in range(12)):
        scenario.run(0.2)
    scenario.rig.modes = ("refuse",)
    scenario.run(40)
    sent_before_outage = len(scenario.rig.sent)
    scenario.run(600)
    assert len(scenario.rig.sent) - sent_before_outage <= 12 * 5, (
        "an unavailable partner is probed at growing intervals"
    )
    scenario.rig.modes = ("deliver",)
    scenario.run(1500)
    assert all(scenario.record(f"m{i}").status is RecordStatus.SETTLED for i in range(12))
    assert all(len(times) == 1 for times in scenario.receiver.ledger.values())


def test_a_draining_endpoint_gets_no_resend(tmp_path: Path) -> None:
    scenario = ResendScenario(tmp_path)
    scenario.fail("m", class_index=UNSAFE)
    endpoint_list = {
        "revision": 2,
        "complete": False,
        "members": [endpoint_row("s-1", 1, phase="Terminating")],
    }
    scenario.rig.dispatcher.apply_list_update(scenario.rig.dispatcher.pool.update(endpoint_list))
    scenario.run(100)
    assert scenario.record("m").resend_count == 0
    assert scenario.record("m").status is RecordStatus.PENDING
    assert destination_health(
        scenario.rig.dispatcher.policy, 1, scenario.rig.time.now()
    ) == DestinationHealth(False, True, False, 0, False, 0, 0, 0)


def test_a_record_whose_class_was_removed_is_held(tmp_path: Path) -> None:
    scenario = ResendScenario(tmp_path)
    scenario.fail("m", class_index=SAFE)
    scenario.rig.resend_scheduler.resend_durations.pop("safe")
    scenario.run(100)
    assert scenario.record("m").status is RecordStatus.PENDING
