"""What the operator's rules say of a record. No I/O; the clock is passed in."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from honeyhitch.dead_letters.eligibility import (
    ExecutionHistory,
    ResendDecision,
    Verdict,
    decide_resend,
)
from honeyhitch.dead_letters.records import Record, RecordStatus
from honeyhitch.dead_letters.settings import MATCHED_SETS, Action, ResendSettings, Rule
from honeyhitch.policy.settings import Idempotency

# Stands for a rule where a person has asked for the resend.
OPERATOR_REQUEST = Rule(name="asked", action=Action.RESEND, min_healthy_duration=0, rate_per_second=10.0)
MAX_PAUSE_DOUBLINGS = 20

# The field of a record that each set of a rule is matched with.
RECORD_FIELD = {
    "destinations": "destination",
    "classes": "class_name",
    "tenants": "tenant",
    "frontends": "frontend",
    "endings": "ending",
    "reasons": "reason",
}


class Step(Enum):
    """What is to be done with a record now."""

    RESEND = "resend"
    DISCARD = "discard"
    POSTPONE = "later"
    NONE = "nothing"  # until the record changes, or the rules do


@dataclass(frozen=True, slots=True)
class Plan:
    """The step, why, and by which rule. Times are Unix times in nanoseconds."""

    step: Step
    reason: str
    rule: Rule | None = None
    retry_at: int = 0  # with POSTPONE: when to plan the record again
    must_end_by: int = 0  # with RESEND: when the resend must have ended, 0 if at any time


def matches(rule: Rule, record: Record) -> bool:
    """Whether the rule applies to the record, its age aside."""
    if rule.may_have_executed is not None and rule.may_have_executed != record.may_have_executed:
        return False
    return all(
        not getattr(rule, name) or getattr(record, RECORD_FIELD[name]) in getattr(rule, name)
        for name in MATCHED_SETS
    )


def execution_history(record: Record, resend_settings: ResendSettings) -> ExecutionHistory:
    """What is known of the record, for the question whether a resend could apply it twice.

    A duplicate is not seen where it may go to another dispatcher, or has no key to be recognised by.
    """
    duplicate_possible = record.client_retry_at is not None or record.recovered_from_journal
    unseen = resend_settings.duplicates_elsewhere or not record.key
    return ExecutionHistory(
        idempotency=Idempotency(record.idempotency),
        deduplication_window=record.deduplication_window,
        first_possible_execution=record.first_possible_execution,
        deduplication_reachable=not record.zone_scoped,
        client_retry_at=record.client_retry_at,
        accepted_at=record.accepted_at,
        duplicate_may_be_unseen=duplicate_possible and unseen,
        released=bool(record.evidence),
    )


def resend_decision(
    record: Record, resend_settings: ResendSettings, now: int, resend_duration: int
) -> ResendDecision:
    """Whether the record may be resent at `now` (ns), whoever wants it; a resend takes so long (ns)."""
    history = execution_history(record, resend_settings)
    return decide_resend(history, now, resend_settings.client_retry_grace, resend_duration)


def plan_record(
    record: Record, rules: tuple[Rule, ...], resend_settings: ResendSettings, now: int, resend_duration: int
) -> Plan:
    """What is to be done with a record at `now`; `resend_duration` is what a resend needs at least (ns)."""
    if record.status is not RecordStatus.PENDING:
        return Plan(Step.NONE, record.status.value)
    rule, next_rule_at = _applicable_rule(record, rules, now)
    if rule is None:
        return _wait_for_rule("no-rule", None, next_rule_at)
    if rule.action is Action.DISCARD:
        return Plan(Step.DISCARD, "discarded-by-rule", rule)
    if rule.action is Action.HOLD:
        return _wait_for_rule("held-by-rule", rule, next_rule_at)
    refusal = _resend_limit(record, rule, now, next_rule_at)
    if refusal is not None:
        return refusal
    decision = resend_decision(record, resend_settings, now, resend_duration)
    if decision.verdict is Verdict.WAIT:
        return Plan(Step.POSTPONE, decision.reason, rule, retry_at=decision.until or now)
    if decision.verdict is Verdict.HOLD:
        return _wait_for_rule(decision.reason, rule, next_rule_at)
    return Plan(Step.RESEND, decision.reason, rule, must_end_by=decision.until or 0)


def _applicable_rule(record: Record, rules: tuple[Rule, ...], now: int) -> tuple[Rule | None, int]:
    """The first rule that applies now, and when one for older records will apply, 0 if none will."""
    if record.resend_request:
        return OPERATOR_REQUEST, 0
    next_rule_at = 0
    for rule in rules:
        if not matches(rule, record):
            continue
        applies_from = record.ended_at + rule.min_age
        if now >= applies_from:
            return rule, next_rule_at
        next_rule_at = min(next_rule_at or applies_from, applies_from)
    return None, next_rule_at


def _wait_for_rule(reason: str, rule: Rule | None, next_rule_at: int) -> Plan:
    step = Step.POSTPONE if next_rule_at else Step.NONE
    return Plan(step, reason, rule, retry_at=next_rule_at)


def _resend_limit(record: Record, rule: Rule, now: int, next_rule_at: int) -> Plan | None:
    """The plan where the rule's own limits forbid a resend now, None where they allow it."""
    if rule is OPERATOR_REQUEST:
        return None
    if record.resend_count >= rule.max_resends:
        return _wait_for_rule("resent-often-enough", rule, next_rule_at)
    if now - record.accepted_at > rule.max_age:
        return _wait_for_rule("too-old", rule, next_rule_at)
    if not record.resend_count:
        return None
    doublings = min(record.resend_count - 1, MAX_PAUSE_DOUBLINGS)
    retry_at = record.changed_at + rule.retry_pause * (1 << doublings)
    return Plan(Step.POSTPONE, "paused", rule, retry_at=retry_at) if now < retry_at else None
