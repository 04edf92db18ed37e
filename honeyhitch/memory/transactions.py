"""The transactions held: each was taken on and is owed exactly one final answer."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Ending(Enum):
    """How a transaction ended."""

    DELIVERED = "delivered"
    REJECTED = "rejected"  # handing it in again is harmless
    FAILED = "failed"
    OVER = "over"  # nobody waits for an answer


@dataclass(slots=True, eq=False)
class Transaction:
    """One message, with what the journal must keep of it. Times are Unix times in nanoseconds."""

    id: str
    cls: int
    destination: int
    deadline: int
    body: bytes
    key: str = ""  # its idempotency key
    tenant: int = 0
    came_again: bool = False
    front: str = "resp"  # the front that took it
    reply: str = ""  # what that front needs to answer it later
    attempts: int = 0
    ran: list[tuple[int, int, int]] = field(default_factory=list)  # attempt, when, zone: it may have run
    ending: Ending | None = None  # decided; the answer may still have to be sent
    come_back: int = 0  # with a reject: when to come again, nanoseconds

    def first_ran(self) -> tuple[int, int] | None:
        """When and in which zone it may have run first."""
        return min(((at, zone) for _, at, zone in self.ran), default=None)


class Held:
    """All transactions held, and for a while the ids and keys of those that ended."""

    def __init__(self) -> None:
        self.by_id: dict[str, Transaction] = {}
        self.ended: dict[str, int] = {}  # id: remembered until
        self.keys: dict[str, tuple[int, int, int]] = {}  # delivered key: first ran at, zone, until

    def __len__(self) -> int:
        return len(self.by_id)

    def forget(self, now: int) -> None:
        """Drop what need not be remembered any longer (both dicts are in the order of entry)."""
        for old in [name for name, until in self.ended.items() if until <= now]:
            del self.ended[old]
        for old in [key for key, (_, _, until) in self.keys.items() if until <= now]:
            del self.keys[old]
