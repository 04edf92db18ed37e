"""Steps of a start that fail share one limit of time, and errors that do not pass end the start at once."""

from __future__ import annotations

import errno
import time

import pytest

from honeyhitch.service import start_retry
from honeyhitch.service.start_retry import StartRetry


class FailingStep:
    def __init__(self, error: int) -> None:
        self.error = error
        self.calls = 0

    def __call__(self) -> None:
        self.calls += 1
        raise OSError(self.error, "failed by the test")


# Guards against a start whose steps each use the whole limit and that takes longer than it may.
def test_all_steps_of_a_start_share_one_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(start_retry, "LIMIT_SECONDS", 0.3)
    retry = StartRetry()
    started_at = time.monotonic()
    for name in ("state", "journal", "listen"):
        with pytest.raises(OSError, match="failed by the test"):
            retry.run(FailingStep(errno.ENOSPC), name)
    assert time.monotonic() - started_at < 2 * 0.3


def test_an_error_that_does_not_pass_ends_a_step_at_once() -> None:
    step = FailingStep(errno.EACCES)
    with pytest.raises(OSError, match="failed by the test"):
        StartRetry().run(step, "state")
    assert step.calls == 1
