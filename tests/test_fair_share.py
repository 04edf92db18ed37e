"""One submitter leaves room for others, in messages and in bytes."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from honeyhitch.dispatcher.fair_share import (
    ALONE_AFTER,
    FREE_ROOM_FACTOR,
    Room,
    Submitters,
    stays_within_share,
)
from honeyhitch.journal.transactions import NO_SUBMITTER, Transaction
from honeyhitch.time_units import SECOND

BODY = bytes(10)


def message(submitter: int, body: bytes = b"") -> Transaction:
    return Transaction("m", 0, 1, 0, body, submitter=submitter)


def count_one(_: Transaction) -> int:
    return 1


def count_bytes(held: Transaction) -> int:
    return len(held.body)


def fill(
    submitters: list[int], total: int, size: Callable[[Transaction], int] = count_one
) -> list[Transaction]:
    """Return the messages that are held once none of the submitters may add another one."""
    held: list[Transaction] = []
    while True:
        room = Room(total - sum(map(size, held)), total, size)
        candidates = [message(submitter, BODY) for submitter in submitters]
        accepted = [
            other
            for other in candidates
            if room.free >= size(other) and stays_within_share(room, other, held)
        ]
        if not accepted:
            return held
        held.append(accepted[0])
        submitters = submitters[1:] + submitters[:1]


# Guards against a submitter that fills the whole room, so that the messages of all others are rejected.
@pytest.mark.parametrize("size", [count_one, count_bytes])
def test_one_submitter_leaves_a_part_of_the_room_free(size: Callable[[Transaction], int]) -> None:
    one = size(message(1, BODY))
    total = 200 * one
    held = fill([1], total, size)
    free = total - one * len(held)
    assert free >= total // (FREE_ROOM_FACTOR + 1) - one
    assert stays_within_share(Room(free, total, size), message(2, BODY), held)


def test_several_submitters_share_the_room_evenly_and_leave_little_free() -> None:
    held = fill([1, 2, 3, 4], 200)
    counts = [sum(other.submitter == number for other in held) for number in (1, 2, 3, 4)]
    assert max(counts) - min(counts) <= 1
    assert len(held) > 190


def test_a_submitter_is_alone_until_another_one_submits_and_some_time_after_that() -> None:
    submitters = Submitters()
    for second in range(3):
        submitters.record(1, second * SECOND)
        assert not submitters.several(second * SECOND)
    submitters.record(2, 3 * SECOND)
    submitters.record(2, 4 * SECOND)
    assert submitters.several(4 * SECOND)
    submitters.record(2, 3 * SECOND + ALONE_AFTER)
    assert not submitters.several(3 * SECOND + ALONE_AFTER)


def test_messages_without_a_known_submitter_may_take_the_whole_room() -> None:
    assert len(fill([NO_SUBMITTER], 50)) == 50
