"""When connections that were made under terms that hold no more are closed: spread out, never all at once.

No I/O; clock and randomness are arguments.
"""

from __future__ import annotations

from random import Random

READY = 0.8  # of the time allowed: what is left is for a call that is out and for a replacement's handshake


def plan(count: int, now: int, within: int, rng: Random) -> list[int]:
    """Times at which so many connections are to go, in Unix nanoseconds, each in a slice of its own."""
    span = int(within * READY)
    return [now + int(span * (i + rng.random()) / count) for i in range(count)]
