"""Decides how much of a limited room one submitter may take, so that others find room as well.

A submitter may hold at most FREE_ROOM_FACTOR times the room that is still free (a dynamic threshold). One
that takes all it can thus leaves a part of the room free, and several of them share the rest evenly. A
submitter that is alone may take the whole room. Times are nanoseconds.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from itertools import count
from typing import NamedTuple

from honeyhitch.journal.transactions import NO_SUBMITTER, Transaction
from honeyhitch.time_units import NEVER, SECOND

FREE_ROOM_FACTOR = 8
ALONE_AFTER = 10 * SECOND  # since another one submitted a message, a submitter is taken to be alone
_submitters = count(NO_SUBMITTER + 1)


def new_submitter() -> int:
    """Return a number that identifies a submitter in this process, such as one client's connection."""
    return next(_submitters)


class Room(NamedTuple):
    """A limited room, in messages or in bytes."""

    free: int
    total: int
    size: Callable[[Transaction], int]  # what a message takes of it

    def is_scarce(self, message: Transaction) -> bool:
        """Return whether the submitter of a message can have reached its threshold."""
        return self.free - self.size(message) <= self.total // (FREE_ROOM_FACTOR + 1)


class Submitters:
    """Whether several submitters have submitted messages lately."""

    def __init__(self) -> None:
        self.last = NO_SUBMITTER
        self.changed_at = -NEVER

    def record(self, submitter: int, now: int) -> None:
        """Note that a submitter submits a message."""
        if submitter != self.last != NO_SUBMITTER:
            self.changed_at = now
        self.last = submitter

    def several(self, now: int) -> bool:
        """Return whether more than one has submitted lately."""
        return now - self.changed_at < ALONE_AFTER


def stays_within_share(room: Room, message: Transaction, held: Iterable[Transaction]) -> bool:
    """Return whether the submitter of a message stays within its part of a room if the message is held."""
    if message.submitter == NO_SUBMITTER or not room.is_scarce(message):
        return True
    occupied = sum(room.size(other) for other in held if other.submitter == message.submitter)
    return occupied + room.size(message) <= FREE_ROOM_FACTOR * room.free
