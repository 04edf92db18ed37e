"""What may be sent again: each class, each past, each side of each edge, against a partner's own memory."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from honeyhitch.dead_letters.eligibility import ExecutionHistory, Verdict, decide_resend
from honeyhitch.policy.settings import Idempotency

from .world import SECOND

NOW, GRACE, LONGEST, WINDOW = 1000 * SECOND, 2 * SECOND, SECOND, 5 * SECOND
SAFE, KEYED, UNSAFE = (
    Idempotency.IDEMPOTENT,
    Idempotency.IDEMPOTENCY_KEY,
    Idempotency.NON_IDEMPOTENT,
)


@pytest.mark.parametrize(
    ("past", "verdict", "reason"),
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
)
def test_each_case(past: ExecutionHistory, verdict: Verdict, reason: str) -> None:
    told = decide_resend(past, NOW, GRACE, LONGEST)
    assert (told.verdict, told.reason) == (verdict, reason)


@given(
    effect=st.sampled_from(list(Idempotency)),
    ran_ago=st.none() | st.integers(0, 20 * SECOND),
    takes=st.integers(0, LONGEST),
)
def test_no_resend_that_is_allowed_is_applied_twice(
    effect: Idempotency, ran_ago: int | None, takes: int
) -> None:
    """The partner applied the first attempt, if it ran, and drops a repeat inside the window only."""
    first = None if ran_ago is None else NOW - ran_ago
    told = decide_resend(
        ExecutionHistory(effect, WINDOW if effect is KEYED else 0, first), NOW, GRACE, LONGEST
    )
    if told.verdict is Verdict.RESEND and first is not None and effect is not SAFE:
        assert effect is KEYED
        assert NOW + takes <= first + WINDOW
