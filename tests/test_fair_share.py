"""One submitter leaves room for others, in messages and in bytes."""

from __future__ import annotations

from dataclasses import replace

import pytest

from honeyhitch.dispatcher.fair_share import ALONE_AFTER, FREE_ROOM_FACTOR, Room, Submitters, may_take_room
from honeyhitch.journal.transactions import NO_SUBMITTER, Transaction
from honeyhitch.time_units import SECOND


def message(submitter: int, body: bytes = b"") -> Transaction:
    return Transaction("m", 0, 1, 0, body, submitter=submitter)


def fill(submitters: list[int], total: int, size: int = 1) -> list[Transaction]:
    """Return the messages that are held once none of the submitters may add another one."""
    held: list[Transaction] = []
    in_bytes = size > 1
    while True:
        taken = sum(len(other.body) for other in held) if in_bytes else len(held)
        room = Room(total - taken, total, size, in_bytes)
        accepted = [
            replace(message(submitter, bytes(size)))
            for submitter in submitters
            if room.free >= size and may_take_room(room, message(submitter, bytes(size)), held)
        ]
        if not accepted:
            return held
        held.append(accepted[0])
        submitters = submitters[1:] + submitters[:1]


# Guards against a submitter that fills the whole room, so that the messages of all others are rejected.
@pytest.mark.parametrize("size", [1, 10])
def test_one_submitter_leaves_a_part_of_the_room_free(size: int) -> None:
    total = 200 * size
    held = fill([1], total, size)
    free = total - size * len(held)
    assert free >= total // (FREE_ROOM_FACTOR + 1) - size
    assert may_take_room(Room(free, total, size, size > 1), message(2, bytes(size)), held)


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
