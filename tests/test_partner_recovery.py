"""Fleets of real processes do not overload a partner that returns, whatever the outage and the signals."""

from __future__ import annotations

from pathlib import Path

import pytest

from .faults.recovery_fleet import PlaySettings, play_seed

SECONDS_AFTER_THE_RETURN = 8.0


# Guards against a partner that returns and falls under the calls of dispatchers which had failed calls there.
@pytest.mark.parametrize(
    "disruption", ["none", "kill-in-outage", "kill-at-return", "kill-in-outage-and-after", "upgrade"]
)
def test_a_fleet_that_saw_an_outage_does_not_overload_the_returned_partner(
    tmp_path: Path, disruption: str
) -> None:
    play = play_seed(disruption, 1, tmp_path, PlaySettings(after=SECONDS_AFTER_THE_RETURN))
    assert play.problems() == []
