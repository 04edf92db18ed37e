"""The messages that a dispatcher holds: each was accepted and gets exactly one final answer."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

RESP_FRONTEND = "resp"  # its clients hear of no delivery
RESEND_FRONTEND = "resend"  # the frontend of messages that the store of dead letters resends


class Ending(Enum):
    """How a message ended."""

    DELIVERED = "delivered"
    REJECTED = "rejected"  # submitting it again is harmless
    FAILED = "failed"
    UNANSWERED = "over"  # no answer is waited for


class PossibleExecution(NamedTuple):
    """An attempt that may have been executed by its endpoint."""

    attempt: int
    started_at: int  # Unix time in nanoseconds
    zone: int


class Execution(NamedTuple):
    """When and where a message may have been executed first; the earlier one is the smaller."""

    started_at: int  # Unix time in nanoseconds
    zone: int


class DeliveredKey(NamedTuple):
    """What is remembered of an idempotency key whose message was delivered."""

    first_executed_at: int  # Unix time in nanoseconds
    zone: int
    remembered_until: int  # Unix time in nanoseconds


@dataclass(slots=True)
class Attempt:
    """One attempt, as it is remembered where dead letters are kept. Times in nanoseconds."""

    number: int
    endpoint: str
    started_at: int  # Unix time
    outcome: str = ""  # none while it is in flight, or if the process died meanwhile
    elapsed: int = 0
    retry_after: int = 0  # received with the outcome, 0 if none
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
    frontend: str = RESP_FRONTEND  # the frontend that accepted it
    reply_context: str = ""  # what that frontend needs to answer it later
    attempt_count: int = 0
    possible_executions: list[PossibleExecution] = field(default_factory=list)
    ending: Ending | None = None  # decided; the answer may still have to be sent
    retry_after: int = 0  # nanoseconds from a rejection to the next submission
    ended_at: int = 0  # when the ending was decided; known of dead letters
    accepted_at: int = 0  # known, like what follows, where dead letters are kept
    attempt_history: list[Attempt] = field(default_factory=list)
    is_dead_letter: bool = False  # ended undelivered: it stays until the store has it
    dead_letter_stored: bool = False
    earlier_execution: tuple[int, int] | None = None  # time and zone, of a resend or of what is resent

    def first_possible_execution(self) -> Execution | None:
        """The earliest attempt that may have been executed."""
        return min(
            (Execution(possible.started_at, possible.zone) for possible in self.possible_executions),
            default=None,
        )

    def add_attempt(self, number: int, started_at: int, zone: int, endpoint: str | None) -> None:
        """An attempt starts; `endpoint` is None where no history of attempts is kept."""
        self.attempt_count = number + 1
        self.possible_executions.append(PossibleExecution(number, started_at, zone))
        if endpoint is not None:
            self.attempt_history.append(Attempt(number, endpoint, started_at))

    def mark_not_executed(self, number: int) -> None:
        """An attempt was certainly not executed; it counts as an attempt, even if it was never started."""
        self.attempt_count = max(self.attempt_count, number + 1)
        self.possible_executions = [
            possible for possible in self.possible_executions if possible.attempt != number
        ]


class MessageTable:
    """All messages held, and for a while the ids and keys of those that ended."""

    def __init__(self, max_remembered: int = 10_000) -> None:
        self.by_id: dict[str, Transaction] = {}
        # Answered, but not in the store yet: by id and time of the end.
        self.pending_dead_letters: dict[tuple[str, int], Transaction] = {}
        self.concluded: dict[str, int] = {}  # by id: remembered until
        self.delivered_keys: dict[str, DeliveredKey] = {}
        self.max_remembered = max_remembered  # ids, and as many keys

    def __len__(self) -> int:
        """The number of messages held."""
        return len(self.by_id)

    @staticmethod
    def scoped_key(transaction: Transaction) -> str:
        """The idempotency key with its destination: it counts there alone."""
        return f"{transaction.destination} {transaction.key}"

    def first_execution_of_key(self, transaction: Transaction, now: int) -> Execution | None:
        """The first execution of a message with this one's key, if one was delivered and is remembered."""
        delivered = self.delivered_keys.get(self.scoped_key(transaction))
        if delivered is None or delivered.remembered_until <= now:
            return None
        return Execution(delivered.first_executed_at, delivered.zone)

    def drop_expired(self, now: int) -> None:
        """Drop what need not be remembered any longer, and beyond `max_remembered` what would expire next."""
        latest = sorted(self.concluded.values(), reverse=True)[: self.max_remembered]
        cutoff = latest[-1] if latest else 0
        self.concluded = {
            name: until for name, until in self.concluded.items() if until > now and until >= cutoff
        }
        remembered = [(key, row) for key, row in self.delivered_keys.items() if row.remembered_until > now]
        self.delivered_keys = dict(remembered[-self.max_remembered :])
