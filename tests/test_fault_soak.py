"""A short form of the soak of random faults; `python -m tests.faults.soak SEED ...` plays further seeds."""

from __future__ import annotations

from pathlib import Path

import pytest

from .faults.soak import play_seed


# Guards against every rule that the soak checks: lost, late and repeated messages, two attempts in flight,
# requests without an answer, Retry-After, and crashes. The seeds are ones that showed faults once.
@pytest.mark.parametrize("seed", [5, 78])
def test_a_soak_of_random_faults_breaks_no_rule(tmp_path: Path, seed: int) -> None:
    assert play_seed(seed, tmp_path) == []
