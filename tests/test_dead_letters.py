"""Tests which messages may be resent: each class and history, and both sides of each time limit.

A property test checks the decision against a receiver that drops repeats only inside its window.
"""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from honeyhitch.dead_letters.eligibility import ExecutionHistory, Verdict, decide_resend
from honeyhitch.policy.settings import Idempotency

from .world import SECOND

NOW = 1000 * SECOND
GRACE = 2 * SECOND
RESEND_DURATION = SECOND
WINDOW = 5 * SECOND
SAFE = Idempotency.IDEMPOTENT
KEYED = Idempotency.IDEMPOTENCY_KEY
UNSAFE = Idempotency.NON_IDEMPOTENT


@pytest.mark.parametrize(
    ("history", "verdict", "reason"),
    [
        (ExecutionHistory(SAFE), Verdict.RESEND, "never-ran"),
        (ExecutionHistory(UNSAFE), Verdict.RESEND, "never-ran"),
        (ExecutionHistory(SAFE, first_possible_execution=NOW - 900 * SECOND), Verdict.RESEND, "safe"),
        (
            ExecutionHistory(UNSAFE, first_possible_execution=NOW - SECOND),
            Verdict.HOLD,
            "unsafe-may-have-run",
        ),
        (
            ExecutionHistory(UNSAFE, first_possible_execution=NOW - SECOND, released=True),
            Verdict.RESEND,
            "released",
        ),
        (ExecutionHistory(KEYED, WINDOW, NOW - 4 * SECOND), Verdict.RESEND, "inside-window"),
        (ExecutionHistory(KEYED, WINDOW, NOW - 4 * SECOND - 1), Verdict.HOLD, "window-over"),
        (ExecutionHistory(KEYED, WINDOW, NOW + 1), Verdict.HOLD, "clock-stepped"),
        (
            ExecutionHistory(KEYED, WINDOW, NOW - SECOND, deduplication_reachable=False),
            Verdict.HOLD,
            "key-not-known-there",
        ),
        (ExecutionHistory(KEYED, WINDOW, NOW - 90 * SECOND, released=True), Verdict.RESEND, "released"),
        (ExecutionHistory(SAFE, client_retry_at=NOW - GRACE + 1), Verdict.WAIT, "told-to-come-again"),
        (ExecutionHistory(SAFE, client_retry_at=NOW - GRACE), Verdict.RESEND, "never-ran"),
        (
            ExecutionHistory(UNSAFE, first_possible_execution=1, released=True, client_retry_at=NOW),
            Verdict.WAIT,
            "told-to-come-again",
        ),
    ],
    ids=[
        "a safe message that was never executed is resent",
        "an unsafe message that was never executed is resent",
        "a safe message that was executed is resent",
        "an unsafe message that may have been executed is held",
        "an unsafe message that was released is resent",
        "a keyed message is resent while the resend fits into its window",
        "a keyed message is held a nanosecond later",
        "a keyed message is held when the clock has stepped back",
        "a keyed message is held when the receivers with its key are not reached",
        "a keyed message that was released is resent after its window",
        "a rejected message waits until its client's grace is over",
        "a rejected message is resent when its client's grace is over",
        "a released message waits for its client, too",
    ],
)
def test_resend_decision(history: ExecutionHistory, verdict: Verdict, reason: str) -> None:
    decision = decide_resend(history, NOW, GRACE, RESEND_DURATION)
    assert (decision.verdict, decision.reason) == (verdict, reason)


@given(
    idempotency=st.sampled_from(list(Idempotency)),
    executed_ago=st.none() | st.integers(0, 20 * SECOND),
    duration=st.integers(0, RESEND_DURATION),
)
def test_no_resend_that_is_allowed_is_applied_twice(
    idempotency: Idempotency, executed_ago: int | None, duration: int
) -> None:
    """The receiver applied the first attempt, if any, and drops a repeat inside the window only."""
    first = None if executed_ago is None else NOW - executed_ago
    decision = decide_resend(
        ExecutionHistory(idempotency, WINDOW if idempotency is KEYED else 0, first),
        NOW,
        GRACE,
        RESEND_DURATION,
    )
    if decision.verdict is Verdict.RESEND and first is not None and idempotency is not SAFE:
        assert idempotency is KEYED
        assert NOW + duration <= first + WINDOW
