"""When outdated connections are closed: spread over a time, never all at once.

No I/O; the clock and the random generator are arguments.
"""

from __future__ import annotations

from random import Random

# Of the time allowed: the rest is for a call in flight and for a replacement's handshake.
REPLACEMENT_FRACTION = 0.8


def plan_retirement(count: int, now: int, duration: int, rng: Random) -> list[int]:
    """Unix times at which `count` connections are to be closed, each at random within its own slice.

    All times are in nanoseconds.
    """
    usable = int(duration * REPLACEMENT_FRACTION)
    return [now + int(usable * (index + rng.random()) / count) for index in range(count)]
