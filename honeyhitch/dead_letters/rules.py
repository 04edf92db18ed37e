"""Applies the operator's rules to a record. Does no I/O; the caller passes the time in."""

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

# The rule that applies to a record whose resend an operator has requested.
OPERATOR_REQUEST = Rule(name="asked", action=Action.RESEND, min_healthy_duration=0, rate_per_second=10.0)
MAX_PAUSE_DOUBLINGS = 20

# For each set of a rule, the field of a record that the set is matched against.
RECORD_FIELD = {
    "destinations": "destination",
    "classes": "class_name",
    "tenants": "tenant",
    "frontends": "frontend",
    "endings": "ending",
    "reasons": "reason",
}


class Step(Enum):
    """The action to take on a record now."""

    RESEND = "resend"
    DISCARD = "discard"
    POSTPONE = "later"
    NONE = "nothing"  # until the record or the rules change


@dataclass(frozen=True, slots=True)
class Plan:
    """A step, the code of its reason, and the rule that it follows. Times are Unix times in nanoseconds."""

    step: Step
    reason: str
    rule: Rule | None = None
    retry_at: int = 0  # with POSTPONE: when to plan the record again
    must_end_by: int = 0  # with RESEND: when the resend must have ended, 0 if there is no limit


def matches(rule: Rule, record: Record) -> bool:
    """Return whether the rule applies to the record, without regard to the record's age."""
    if rule.may_have_executed is not None and rule.may_have_executed != record.may_have_executed:
        return False
    return all(
        not getattr(rule, name) or getattr(record, RECORD_FIELD[name]) in getattr(rule, name)
        for name in MATCHED_SETS
    )


def execution_history(record: Record, resend_settings: ResendSettings) -> ExecutionHistory:
    """Return what is known about the record's executions, for the decision whether a resend is safe.

    A duplicate may go unrecognised if it may be sent to another dispatcher, or if it has no key.
    """
    duplicate_possible = record.client_retry_at is not None or record.recovered_from_journal
    unrecognisable = resend_settings.duplicates_elsewhere or not record.key
    return ExecutionHistory(
        idempotency=Idempotency(record.idempotency),
        deduplication_window=record.deduplication_window,
        first_possible_execution=record.first_possible_execution,
        deduplication_reachable=not record.zone_scoped,
        client_retry_at=record.client_retry_at,
        accepted_at=record.accepted_at,
        duplicate_may_be_unseen=duplicate_possible and unrecognisable,
        released=bool(record.evidence),
    )


def resend_decision(
    record: Record, resend_settings: ResendSettings, now: int, resend_duration: int
) -> ResendDecision:
    """Return whether the record may be resent at `now`, by a rule or at an operator's request.

    `now` is a Unix time, and `resend_duration` is the time that a resend is expected to take, both in
    nanoseconds.
    """
    history = execution_history(record, resend_settings)
    return decide_resend(history, now, resend_settings.client_retry_grace, resend_duration)


def plan_record(
    record: Record, rules: tuple[Rule, ...], resend_settings: ResendSettings, now: int, resend_duration: int
) -> Plan:
    """Return the action to take on a record at `now` (Unix time in nanoseconds).

    `resend_duration` is the time in nanoseconds that a resend is expected to take.
    """
    if record.status is not RecordStatus.PENDING:
        return Plan(Step.NONE, record.status.value)
    rule, next_rule_at = _applicable_rule(record, rules, now)
    if rule is None:
        return _wait_for_rule("no-rule", None, next_rule_at)
    if rule.action is Action.DISCARD:
        return Plan(Step.DISCARD, "discarded-by-rule", rule)
    if rule.action is Action.HOLD:
        return _wait_for_rule("held-by-rule", rule, next_rule_at)
    limited_plan = _resend_limit(record, rule, now, next_rule_at)
    if limited_plan is not None:
        return limited_plan
    decision = resend_decision(record, resend_settings, now, resend_duration)
    if decision.verdict is Verdict.WAIT:
        return Plan(Step.POSTPONE, decision.reason, rule, retry_at=decision.until or now)
    if decision.verdict is Verdict.HOLD:
        return _wait_for_rule(decision.reason, rule, next_rule_at)
    return Plan(Step.RESEND, decision.reason, rule, must_end_by=decision.until or 0)


def _applicable_rule(record: Record, rules: tuple[Rule, ...], now: int) -> tuple[Rule | None, int]:
    """Return the first rule that applies now, and when an earlier rule for older records will apply.

    The rule is None if none applies now. The time is a Unix time in nanoseconds, or 0 if no such rule will
    apply.
    """
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
    """Return the plan to postpone the record to `next_rule_at`, or to take no action if that time is 0."""
    step = Step.POSTPONE if next_rule_at else Step.NONE
    return Plan(step, reason, rule, retry_at=next_rule_at)


def _resend_limit(record: Record, rule: Rule, now: int, next_rule_at: int) -> Plan | None:
    """Return the plan if the rule's own limits forbid a resend now, None if they allow one."""
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
