"""Whether an undelivered message may be sent again without being applied twice. No I/O; the clock is passed
in.

It follows the rules that the module keeps for live messages (brain.py, `Message.may_try` and `may_refuse`)
and adds what a resend needs: a person's release, and the time till which a client may still bring its copy.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from honeyhitch.policy.settings import Idempotency


class Verdict(Enum):
    """What may become of a record."""

    RESEND = "resend"
    WAIT = "wait"  # a client was told to bring it again and may still do so
    HOLD = "hold"  # no rule may send it; a person may release it with the partner's evidence


@dataclass(frozen=True, slots=True)
class ExecutionHistory:
    """What is known of an undelivered message. Times are Unix times in nanoseconds."""

    effect: Idempotency
    window: int = 0  # in which a keyed repeat is dropped, from the first attempt
    first_ran: int | None = None  # when an attempt may first have run, None if none may have
    same_group: bool = True  # the resend would reach those who remember the key
    told_again: int | None = None  # when a client was told to come back, None if it was not
    came_at: int = 0  # when the message was first taken on
    copy_unseen: bool = False  # a client may have handed a copy in where it cannot be seen
    released: bool = False  # a person named the partner's evidence that it was not applied


@dataclass(frozen=True, slots=True)
class Decision:
    """The verdict, the reason in a word for the record, and for how long it holds."""

    verdict: Verdict
    reason: str
    until: int | None = None  # a resend must have ended by then; a wait ends then


def decide(past: ExecutionHistory, now: int, grace: int, longest: int) -> Decision:
    """Whether it may be resent now.

    `grace` is how long after the told time a client's copy is still looked for; `longest` is what a resend
    may take at most: one that could run past a keyed message's window must not begin. Both in nanoseconds.
    """
    if past.told_again is not None and now < past.told_again + grace:
        return Decision(Verdict.WAIT, "told-to-come-again", past.told_again + grace)
    if past.released:
        return Decision(Verdict.RESEND, "released")
    first = past.first_ran
    if past.copy_unseen:  # it can have run as soon as the message was there
        first = past.came_at if first is None else min(first, past.came_at)
    if first is None:
        return Decision(Verdict.RESEND, "never-ran")
    if past.effect is Idempotency.IDEMPOTENT:
        return Decision(Verdict.RESEND, "safe")
    if past.effect is Idempotency.NON_IDEMPOTENT:
        return Decision(Verdict.HOLD, "unsafe-may-have-run" if past.first_ran is not None else "copy-unseen")
    if now < first:  # the clock has stepped back: how old the window is cannot be told
        return Decision(Verdict.HOLD, "clock-stepped")
    end = first + past.window
    if not past.same_group:
        return Decision(Verdict.HOLD, "key-not-known-there")
    if now + longest > end:
        return Decision(Verdict.HOLD, "window-over")
    return Decision(Verdict.RESEND, "inside-window", end)
