"""Schedules the closing of outdated connections, spread over a period and never all at once.

No I/O; the clock and the random generator are arguments.
"""

from __future__ import annotations

from random import Random

# Fraction of the allowed time; the rest is for a call in flight and for the handshake of a replacement.
REPLACEMENT_FRACTION = 0.8


def plan_retirement(count: int, now: int, duration: int, rng: Random) -> list[int]:
    """Return the Unix times at which to close `count` connections, each at random in its own equal slice.

    All times are in nanoseconds.
    """
    usable = int(duration * REPLACEMENT_FRACTION)
    return [now + int(usable * (index + rng.random()) / count) for index in range(count)]
