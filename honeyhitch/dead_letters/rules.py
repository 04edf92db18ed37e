"""What the operator's rules say of a record. No I/O; the clock is passed in."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from honeyhitch.dead_letters.eligibility import Decision, ExecutionHistory, Verdict, decide
from honeyhitch.dead_letters.records import Record, RecordStatus
from honeyhitch.dead_letters.settings import SETS, Action, Rule, Terms
from honeyhitch.policy.settings import Idempotency

ASKED = Rule(name="asked", action=Action.RESEND, healthy=0, rate=10.0)  # a person's word stands for a rule
COLUMN = {
    "destinations": "destination", "classes": "cls", "tenants": "tenant", "fronts": "front",
    "endings": "ending", "reasons": "reason",
}  # fmt: skip


class Step(Enum):
    """What is to be done with a record now."""

    RESEND = "resend"
    DISCARD = "discard"
    LATER = "later"
    NOTHING = "nothing"  # till it changes, or the rules do


@dataclass(frozen=True, slots=True)
class Plan:
    """The step, why, by which rule, and when to look again."""

    step: Step
    reason: str
    rule: Rule | None = None
    at: int = 0  # look again; with RESEND, it must have ended by then, 0 if there is no such time


def matches(rule: Rule, record: Record) -> bool:
    """Whether the record is one that the rule speaks of, its age aside."""
    if rule.may_have_run is not None and rule.may_have_run != record.may_have_run:
        return False
    return all(
        not getattr(rule, name) or getattr(record, COLUMN[name]) in getattr(rule, name) for name in SETS
    )


def past(record: Record, terms: Terms) -> ExecutionHistory:
    """What is known of it, for the question whether a resend could apply it twice.

    A copy is not seen where it may go to another dispatcher, or has no key to be known by.
    """
    possible = record.told_again is not None or record.came_again
    return ExecutionHistory(
        effect=Idempotency(record.effect),
        window=record.window,
        first_ran=record.first_ran,
        same_group=not record.zoned,
        told_again=record.told_again,
        came_at=record.came_at,
        copy_unseen=possible and (terms.elsewhere or not record.key),
        released=bool(record.evidence),
    )


def verdict(record: Record, terms: Terms, now: int, longest: int) -> Decision:
    """Whether the record may be resent now, whoever wants it."""
    return decide(past(record, terms), now, terms.grace, longest)


def plan(record: Record, rules: tuple[Rule, ...], terms: Terms, now: int, longest: int) -> Plan:
    """What is to be done with a record; `longest` is how much time a resend needs at least."""
    if record.standing is not RecordStatus.KEPT:
        return Plan(Step.NOTHING, record.standing.value)
    later = 0  # a rule that speaks of older records will match then
    rule: Rule | None = ASKED if record.asked else None
    for one in rules if rule is None else ():
        if not matches(one, record):
            continue
        ripe = record.ended_at + one.older_than
        if now >= ripe:
            rule = one
            break
        later = min(later or ripe, ripe)
    nothing = Step.LATER if later else Step.NOTHING
    if rule is None:
        return Plan(nothing, "no-rule", None, later)
    if rule.action is Action.DISCARD:
        return Plan(Step.DISCARD, "discarded-by-rule", rule)
    if rule.action is Action.HOLD:
        return Plan(nothing, "held-by-rule", rule, later)
    if rule is not ASKED:
        if record.resends >= rule.most_times:
            return Plan(nothing, "resent-often-enough", rule, later)
        if now - record.came_at > rule.most_age:
            return Plan(nothing, "too-old", rule, later)
        again = record.changed_at + rule.pause * (1 << min(record.resends - 1, 20)) if record.resends else 0
        if now < again:
            return Plan(Step.LATER, "paused", rule, again)
    told = verdict(record, terms, now, longest)
    if told.verdict is Verdict.WAIT:
        return Plan(Step.LATER, told.reason, rule, told.until or now)
    if told.verdict is Verdict.HOLD:
        return Plan(nothing, told.reason, rule, later)
    return Plan(Step.RESEND, told.reason, rule, told.until or 0)
