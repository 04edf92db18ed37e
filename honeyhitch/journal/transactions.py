"""The transactions held: each was taken on and is owed exactly one final answer."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

RESEND = "resend"  # the front of what the store of undelivered messages hands in


class Ending(Enum):
    """How a transaction ended."""

    DELIVERED = "delivered"
    REJECTED = "rejected"  # handing it in again is harmless
    FAILED = "failed"
    OVER = "over"  # nobody waits for an answer


@dataclass(slots=True)
class Try:
    """One attempt, as it is remembered where undelivered messages are kept. Times in nanoseconds."""

    number: int
    member: str
    at: int  # Unix time
    outcome: str = ""  # none as long as it is out, or if the process died meanwhile
    took: int = 0
    wait: int = 0  # told with it
    why: str = ""  # the name of a failure that outcomes do not tell apart


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
    ended_at: int = 0  # when that was decided
    came_at: int = 0  # when it was taken on; this and what follows is known where undelivered ones are kept
    tries: list[Try] = field(default_factory=list)
    keep: bool = False  # ended undelivered: it stays till the store has it
    moved: bool = False  # the store has it
    past: tuple[int, int] | None = None  # when and where a resend, or what is resent, may have run

    def first_ran(self) -> tuple[int, int] | None:
        """When and in which zone it may have run first."""
        return min(((at, zone) for _, at, zone in self.ran), default=None)


class Held:
    """All transactions held, and for a while the ids and keys of those that ended."""

    def __init__(self, most: int = 10_000) -> None:
        self.by_id: dict[str, Transaction] = {}
        self.unmoved: dict[tuple[str, int], Transaction] = {}  # by id and end: answered, not in the store
        self.ended: dict[str, int] = {}  # id: remembered until
        self.keys: dict[str, tuple[int, int, int]] = {}  # delivered: first ran at, its zone, until
        self.most = most  # ids, and as many keys

    def __len__(self) -> int:
        return len(self.by_id)

    @staticmethod
    def key(transaction: Transaction) -> str:
        """An idempotency key counts at one destination."""
        return f"{transaction.destination} {transaction.key}"

    def delivered(self, transaction: Transaction, now: int) -> tuple[int, int] | None:
        """When and in which zone a message with this one's key first ran, if it was delivered lately."""
        first, zone, until = self.keys.get(self.key(transaction), (0, 0, 0))
        return (first, zone) if until > now else None

    def forget(self, now: int) -> None:
        """Drop what need not be remembered any longer, and beyond `most` what would be dropped next."""
        late = sorted(self.ended.values(), reverse=True)[: self.most][-1:] or [0]
        self.ended = {name: until for name, until in self.ended.items() if until > now and until >= late[0]}
        kept = [(key, row) for key, row in self.keys.items() if row[2] > now]
        self.keys = dict(kept[-self.most :])
