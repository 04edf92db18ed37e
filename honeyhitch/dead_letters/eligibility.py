"""Whether an undelivered message may be sent again without being applied twice.

No I/O; the clock is passed in. See docs/design/undelivered.md, "What may be resent".

It follows the rules that the policy keeps for live messages (policy/engine.py) and adds what a resend needs:
a person's release, and the time until which a client may still submit its duplicate.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from honeyhitch.policy.settings import Idempotency


class Verdict(Enum):
    """What may become of a record."""

    RESEND = "resend"
    WAIT = "wait"  # a client received Retry-After, and may still submit the message again
    HOLD = "hold"  # no rule may resend it; a person may release it with the receiver's evidence


@dataclass(frozen=True, slots=True)
class ExecutionHistory:
    """What is known of an undelivered message. Times are Unix times in nanoseconds."""

    idempotency: Idempotency
    deduplication_window: int = 0  # nanoseconds from the first attempt in which a repeat is dropped
    first_possible_execution: int | None = None  # None if no attempt can have been executed
    deduplication_reachable: bool = True  # the resend reaches receivers that remember the key
    client_retry_at: int | None = None  # when a client was asked to submit it again, None if it was not
    accepted_at: int = 0
    duplicate_may_be_unseen: bool = False  # a client may have submitted a duplicate elsewhere
    released: bool = False  # a person named the receiver's evidence that it was not applied


@dataclass(frozen=True, slots=True)
class ResendDecision:
    """The verdict, the reason in a word for the record, and for how long it holds."""

    verdict: Verdict
    reason: str
    until: int | None = None  # Unix time, ns: a resend must have ended by then; a wait ends then


def decide_resend(history: ExecutionHistory, now: int, grace: int, resend_duration: int) -> ResendDecision:
    """Whether the message may be resent at `now` (Unix time, nanoseconds).

    `grace` is how long after the client's retry time its duplicate is still expected; `resend_duration` is
    what a resend may take at most. Both are nanoseconds: a resend that could run past a keyed message's
    deduplication window must not begin.
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
    """When the message may first have been executed; an unseen duplicate, from its acceptance on."""
    first_execution = history.first_possible_execution
    if not history.duplicate_may_be_unseen:
        return first_execution
    return history.accepted_at if first_execution is None else min(first_execution, history.accepted_at)


def _decide_keyed(
    history: ExecutionHistory, first_execution: int, now: int, resend_duration: int
) -> ResendDecision:
    """The decision for a message whose receiver drops repeats of its key for a while."""
    if now < first_execution:  # the clock has stepped back: the window's age is unknown
        return ResendDecision(Verdict.HOLD, "clock-stepped")
    if not history.deduplication_reachable:
        return ResendDecision(Verdict.HOLD, "key-not-known-there")
    window_end = first_execution + history.deduplication_window
    if now + resend_duration > window_end:
        return ResendDecision(Verdict.HOLD, "window-over")
    return ResendDecision(Verdict.RESEND, "inside-window", window_end)
