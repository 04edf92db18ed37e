"""The transactions held: each was taken on and is owed exactly one final answer."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

RESEND_FRONTEND = "resend"  # the front of what the store of undelivered messages hands in


class Ending(Enum):
    """How a transaction ended."""

    DELIVERED = "delivered"
    REJECTED = "rejected"  # handing it in again is harmless
    FAILED = "failed"
    UNANSWERED = "over"  # nobody waits for an answer


@dataclass(slots=True)
class Attempt:
    """One attempt, as it is remembered where undelivered messages are kept. Times in nanoseconds."""

    number: int
    endpoint: str
    started_at: int  # Unix time
    outcome: str = ""  # none as long as it is out, or if the process died meanwhile
    elapsed: int = 0
    retry_after: int = 0  # told with it
    failure_reason: str = ""  # the name of a failure that outcomes do not tell apart


@dataclass(slots=True, eq=False)
class Transaction:
    """One message, with what the journal must keep of it. Times are Unix times in nanoseconds."""

    id: str
    class_index: int
    destination: int
    deadline: int
    body: bytes
    key: str = ""  # its idempotency key
    tenant: int = 0
    recovered_from_journal: bool = False
    frontend: str = "resp"  # the front that took it
    reply_context: str = ""  # what that front needs to answer it later
    attempt_count: int = 0
    possible_executions: list[tuple[int, int, int]] = field(
        default_factory=list
    )  # attempt, when, zone: it may have run
    ending: Ending | None = None  # decided; the answer may still have to be sent
    retry_after: int = 0  # with a reject: when to come again, nanoseconds
    ended_at: int = 0  # when that was decided
    accepted_at: int = (
        0  # when it was taken on; this and what follows is known where undelivered ones are kept
    )
    attempt_history: list[Attempt] = field(default_factory=list)
    is_dead_letter: bool = False  # ended undelivered: it stays till the store has it
    dead_letter_stored: bool = False  # the store has it
    earlier_execution: tuple[int, int] | None = (
        None  # when and where a resend, or what is resent, may have run
    )

    def first_possible_execution(self) -> tuple[int, int] | None:
        """When and in which zone it may have run first."""
        return min(((at, zone) for _, at, zone in self.possible_executions), default=None)


class MessageTable:
    """All transactions held, and for a while the ids and keys of those that ended."""

    def __init__(self, most: int = 10_000) -> None:
        self.by_id: dict[str, Transaction] = {}
        self.pending_dead_letters: dict[
            tuple[str, int], Transaction
        ] = {}  # by id and end: answered, not in the store
        self.concluded: dict[str, int] = {}  # id: remembered until
        self.delivered_keys: dict[str, tuple[int, int, int]] = {}  # delivered: first ran at, its zone, until
        self.max_remembered = most  # ids, and as many keys

    def __len__(self) -> int:
        return len(self.by_id)

    @staticmethod
    def scoped_key(transaction: Transaction) -> str:
        """An idempotency key counts at one destination."""
        return f"{transaction.destination} {transaction.key}"

    def first_execution_of_key(self, transaction: Transaction, now: int) -> tuple[int, int] | None:
        """When and in which zone a message with this one's key first ran, if it was delivered lately."""
        first, zone, until = self.delivered_keys.get(self.scoped_key(transaction), (0, 0, 0))
        return (first, zone) if until > now else None

    def drop_expired(self, now: int) -> None:
        """Drop what need not be remembered any longer, and beyond `most` what would be dropped next."""
        late = sorted(self.concluded.values(), reverse=True)[: self.max_remembered][-1:] or [0]
        self.concluded = {
            name: until for name, until in self.concluded.items() if until > now and until >= late[0]
        }
        kept = [(key, row) for key, row in self.delivered_keys.items() if row[2] > now]
        self.delivered_keys = dict(kept[-self.max_remembered :])
