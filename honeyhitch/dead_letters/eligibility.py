"""Decides whether an undelivered message may be resent without the risk that it is applied twice.

Does no I/O; the caller passes the time in. See docs/design/undelivered.md, "What may be resent".

The decision applies the rules that the policy applies to retries of live messages (policy/engine.py), and two
further inputs: a release by an operator, and the time until which a client may still submit a duplicate.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from honeyhitch.policy.settings import Idempotency


class Verdict(Enum):
    """Whether a record may be resent now, later, or not at all."""

    RESEND = "resend"
    WAIT = "wait"  # a client received Retry-After and may still submit the message again
    HOLD = "hold"  # no rule may resend the record; an operator may release it with the receiver's evidence


@dataclass(frozen=True, slots=True)
class ExecutionHistory:
    """What is known about an undelivered message and its possible executions.

    Times are Unix times in nanoseconds.
    """

    idempotency: Idempotency
    deduplication_window: int = 0  # ns after the first attempt during which the receiver drops a repeat
    first_possible_execution: int | None = None  # None if no attempt can have been executed
    deduplication_reachable: bool = True  # the resend reaches receivers that remember the key
    client_retry_at: int | None = None  # when the client was asked to submit the message again, else None
    accepted_at: int = 0
    duplicate_may_be_unseen: bool = False  # a client may have submitted a duplicate that was not recognised
    released: bool = False  # an operator recorded the receiver's evidence that the message was not applied


@dataclass(frozen=True, slots=True)
class ResendDecision:
    """A verdict on a record, the code of its reason, and the time until which the verdict is valid."""

    verdict: Verdict
    reason: str
    # Unix time in nanoseconds. RESEND: when the resend must have ended, or None if there is no limit.
    # WAIT: when the wait ends. HOLD: None.
    until: int | None = None


def decide_resend(history: ExecutionHistory, now: int, grace: int, resend_duration: int) -> ResendDecision:
    """Return whether the message may be resent at `now` (Unix time in nanoseconds).

    `grace` is how long after the client's retry time a duplicate from the client is still expected.
    `resend_duration` is the time that a resend is expected to take: the resend of a keyed message may begin
    only if at least this much of the deduplication window is left. Both are in nanoseconds.
    """
    if history.client_retry_at is not None:
        expected_until = history.client_retry_at + grace
        if now < expected_until:
            return ResendDecision(Verdict.WAIT, "told-to-come-again", expected_until)
    if history.released:
        return ResendDecision(Verdict.RESEND, "released")
    first_execution = _first_possible_execution(history)
    if first_execution is None:
        return ResendDecision(Verdict.RESEND, "never-ran")
    if history.idempotency is Idempotency.IDEMPOTENT:
        return ResendDecision(Verdict.RESEND, "safe")
    if history.idempotency is Idempotency.NON_IDEMPOTENT:
        executed = history.first_possible_execution is not None
        return ResendDecision(Verdict.HOLD, "unsafe-may-have-run" if executed else "copy-unseen")
    return _decide_keyed(history, first_execution, now, resend_duration)


def _first_possible_execution(history: ExecutionHistory) -> int | None:
    """Return when the message may first have been executed, None if it cannot have been.

    A duplicate that was not recognised may have been executed at any time since the message was accepted.
    """
    first_execution = history.first_possible_execution
    if not history.duplicate_may_be_unseen:
        return first_execution
    return history.accepted_at if first_execution is None else min(first_execution, history.accepted_at)


def _decide_keyed(
    history: ExecutionHistory, first_execution: int, now: int, resend_duration: int
) -> ResendDecision:
    """Return the decision for a message whose receiver drops repeats of its key during a window."""
    if now < first_execution:  # the clock was set back, so the age of the window is unknown
        return ResendDecision(Verdict.HOLD, "clock-stepped")
    if not history.deduplication_reachable:
        return ResendDecision(Verdict.HOLD, "key-not-known-there")
    window_end = first_execution + history.deduplication_window
    if now + resend_duration > window_end:
        return ResendDecision(Verdict.HOLD, "window-over")
    return ResendDecision(Verdict.RESEND, "inside-window", window_end)
