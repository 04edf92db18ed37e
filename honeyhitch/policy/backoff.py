"""Pauses between the attempts of a message, and between failed subscriptions to discovery."""

from __future__ import annotations

from random import Random

from honeyhitch.time_units import MILLISECOND, SECOND

BACKOFF_STEPS = (250 * MILLISECOND, SECOND, 4 * SECOND, 16 * SECOND)
JITTER = 0.2  # fraction by which a pause is lengthened or shortened
MAX_ATTEMPTS = 5  # per message; the settings may allow fewer
REJECTION_PAUSE_FACTOR = 2  # factor of the pause after a rejection without Retry-After
INITIAL_SUBSCRIBE_PAUSE = 500 * MILLISECOND
MAX_SUBSCRIBE_PAUSE = 5 * SECOND


def backoff_pause(failures: int, rejected: bool, rng: Random) -> int:
    """Return the jittered pause (ns) after `failures` earlier failures (claims `backoff`, `jitter`)."""
    step = BACKOFF_STEPS[min(failures, len(BACKOFF_STEPS) - 1)]
    factor = REJECTION_PAUSE_FACTOR if rejected else 1
    return int(step * factor * rng.uniform(1 - JITTER, 1 + JITTER))


def shortest_useful_pause(failures: int) -> int:
    """Return the pause (ns) of the preceding backoff step, 0 at the first step.

    A backoff may be shortened to the time left of a message, but not below this pause.
    """
    step = min(failures, len(BACKOFF_STEPS) - 1)
    return BACKOFF_STEPS[step - 1] if step else 0


class SubscribeBackoff:
    """The pause before the next subscription to discovery; it doubles with each failure."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._pause = INITIAL_SUBSCRIBE_PAUSE

    def next_pause(self) -> int:
        """Return the jittered pause (ns) after a failure, and double the next pause up to the maximum."""
        pause = int(self._pause * self._rng.uniform(1 - JITTER, 1))
        self._pause = min(2 * self._pause, MAX_SUBSCRIBE_PAUSE)
        return pause

    def reset(self) -> None:
        """Return to the initial pause after an endpoint list was received."""
        self._pause = INITIAL_SUBSCRIBE_PAUSE
