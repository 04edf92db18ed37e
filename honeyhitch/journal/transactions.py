"""The messages that a dispatcher holds: each was accepted and receives exactly one final answer."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

RESP_FRONTEND = "resp"  # the RESP frontend; its clients get no notice of deliveries
NO_SUBMITTER = 0  # not known: found in the journal, or submitted by this process itself
RESEND_FRONTEND = "resend"  # the frontend of messages that the dead-letter store resends


class Ending(Enum):
    """How a message ended."""

    DELIVERED = "delivered"
    REJECTED = "rejected"  # may safely be submitted again
    FAILED = "failed"
    UNANSWERED = "over"  # no client waits for an answer


class PossibleExecution(NamedTuple):
    """An attempt that may have been executed by its endpoint."""

    attempt: int
    started_at: int  # Unix time in nanoseconds
    zone: int


class Execution(NamedTuple):
    """When and where a message may first have been executed; an earlier execution compares as smaller."""

    started_at: int  # Unix time in nanoseconds
    zone: int


class RememberedKey(NamedTuple):
    """The first possible execution of an ended message's idempotency key, and the end of its retention."""

    first_executed_at: int  # Unix time in nanoseconds
    zone: int
    remembered_until: int  # Unix time in nanoseconds


@dataclass(slots=True)
class Attempt:
    """One attempt, recorded only where dead letters are stored. Times and durations are in nanoseconds."""

    number: int
    endpoint: str
    started_at: int  # Unix time
    outcome: str = ""  # empty while the attempt is in flight, or if the process ended during it
    elapsed: int = 0
    retry_after: int = 0  # received with the outcome, 0 if none
    failure_reason: str = ""  # the name of a failure that the outcomes do not distinguish


@dataclass(slots=True, eq=False)
class Transaction:
    """One message and its state in the journal. Times are Unix times in nanoseconds."""

    id: str
    class_index: int
    destination: int
    deadline: int
    body: bytes
    key: str = ""  # the message's idempotency key
    tenant: int = 0
    recovered_from_journal: bool = False
    frontend: str = RESP_FRONTEND  # the frontend that accepted it
    reply_context: str = ""  # data that this frontend needs to send the answer later
    attempt_count: int = 0
    possible_executions: list[PossibleExecution] = field(default_factory=list)
    ending: Ending | None = None  # the decided ending; the answer may not have been sent yet
    retry_after: int = 0  # nanoseconds that a client waits after a rejection before it submits again
    ended_at: int = 0  # when the ending was decided; only set for dead letters
    accepted_at: int = 0  # this and the following fields are only set where dead letters are stored
    attempt_history: list[Attempt] = field(default_factory=list)
    is_dead_letter: bool = False  # ended undelivered; the journal keeps it until the store has it
    dead_letter_stored: bool = False
    earlier_execution: tuple[int, int] | None = None  # time and zone, of a resend or of the resent message
    submitter: int = NO_SUBMITTER  # the connection that submitted it to this process; not stored

    def first_possible_execution(self) -> Execution | None:
        """Return the earliest attempt that may have been executed, or None."""
        return min(
            (Execution(possible.started_at, possible.zone) for possible in self.possible_executions),
            default=None,
        )

    def add_attempt(self, number: int, started_at: int, zone: int, endpoint: str | None) -> None:
        """Record that an attempt starts; `endpoint` is None where no history of attempts is kept."""
        self.attempt_count = number + 1
        self.possible_executions.append(PossibleExecution(number, started_at, zone))
        if endpoint is not None:
            self.attempt_history.append(Attempt(number, endpoint, started_at))

    def mark_not_executed(self, number: int) -> None:
        """Record that an attempt was certainly not executed.

        It still counts as an attempt, even if it was never started.
        """
        self.attempt_count = max(self.attempt_count, number + 1)
        self.possible_executions = [
            possible for possible in self.possible_executions if possible.attempt != number
        ]


class MessageTable:
    """All held messages, and the ids and keys of ended messages during their retention."""

    def __init__(self, max_remembered: int = 10_000) -> None:
        self.by_id: dict[str, Transaction] = {}
        # Dead letters that were answered but are not in the store yet, by id and time of the ending.
        self.pending_dead_letters: dict[tuple[str, int], Transaction] = {}
        self.concluded: dict[str, int] = {}  # end of the retention by id
        self.delivered_keys: dict[str, RememberedKey] = {}
        # Keys of messages that may have been executed and ended undelivered.
        self.attempted_keys: dict[str, RememberedKey] = {}
        self.max_remembered = max_remembered  # maximum number of ids, and also of keys

    def __len__(self) -> int:
        """Return the number of held messages."""
        return len(self.by_id)

    @staticmethod
    def scoped_key(transaction: Transaction) -> str:
        """Return the idempotency key with its destination, because a key only counts at its destination."""
        return f"{transaction.destination} {transaction.key}"

    def first_execution_of_key(self, transaction: Transaction, now: int) -> Execution | None:
        """Return the first possible execution of this message's key by ended messages, or None."""
        executions = (
            _execution(keys.get(self.scoped_key(transaction)), now)
            for keys in (self.delivered_keys, self.attempted_keys)
        )
        return min((execution for execution in executions if execution is not None), default=None)

    def is_key_delivered(self, transaction: Transaction, now: int) -> bool:
        """Return whether a delivery of this message's key is still remembered."""
        return _execution(self.delivered_keys.get(self.scoped_key(transaction)), now) is not None

    def remember_key(self, transaction: Transaction, ending: Ending, now: int, until: int) -> None:
        """Remember the key of a message that ends, if it may have been executed.

        The first attempt of a copy is later, but the deduplication window starts at the earliest execution of
        any message with this key.
        """
        first_execution = transaction.first_possible_execution()
        if not transaction.key or first_execution is None:
            return
        key = self.scoped_key(transaction)
        earlier = self.first_execution_of_key(transaction, now) or first_execution
        remembered = RememberedKey(*min(first_execution, earlier), until)
        if ending is Ending.DELIVERED:
            self.delivered_keys[key] = remembered
        else:
            self.attempted_keys[key] = remembered

    def drop_expired(self, now: int) -> None:
        """Drop ids and keys whose retention is over, and the excess beyond `max_remembered`.

        Of the excess, the ids that would expire first and the keys remembered first are dropped.
        """
        latest_expiries = sorted(self.concluded.values(), reverse=True)[: self.max_remembered]
        cutoff = latest_expiries[-1] if latest_expiries else 0
        self.concluded = {
            message_id: until
            for message_id, until in self.concluded.items()
            if until > now and until >= cutoff
        }
        self.delivered_keys = self._unexpired(self.delivered_keys, now)
        self.attempted_keys = self._unexpired(self.attempted_keys, now)

    def _unexpired(self, keys: dict[str, RememberedKey], now: int) -> dict[str, RememberedKey]:
        remembered = [(key, value) for key, value in keys.items() if value.remembered_until > now]
        return dict(remembered[-self.max_remembered :])


def _execution(remembered: RememberedKey | None, now: int) -> Execution | None:
    """Return the first execution of a key unless its retention is over."""
    if remembered is None or remembered.remembered_until <= now:
        return None
    return Execution(remembered.first_executed_at, remembered.zone)
