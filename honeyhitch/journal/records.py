"""The records of the journal, as the program knows them; `record_codec` maps them to their stored form.

Times are Unix times in nanoseconds, durations nanoseconds. Records are not changed once made; they are not
frozen dataclasses because these take longer to make, and a start makes one for each record of the journal.
"""

from __future__ import annotations

from dataclasses import dataclass

from honeyhitch.journal.transactions import Attempt, DeliveredKey, Ending, Transaction


@dataclass(slots=True)
class MessageRecord:
    """A message was accepted; after compaction also all that later records told of it."""

    message: Transaction
    detailed: bool = False  # with what dead letters are made of: the time of arrival and the attempts
    answered: bool = False  # its final answer was sent: it only waits for the store of dead letters


@dataclass(slots=True)
class AttemptStarted:
    """The first byte of an attempt is about to be written."""

    message: str
    number: int
    started_at: int
    zone: int
    endpoint: str | None = None  # known in a detailed journal alone


@dataclass(slots=True)
class AttemptOutcome:
    """An attempt ended; written in a detailed journal alone."""

    message: str
    attempt: Attempt


@dataclass(slots=True)
class AttemptNotExecuted:
    """An attempt was certainly not executed by its endpoint."""

    message: str
    number: int


@dataclass(slots=True)
class EndingDecided:
    """How a message ends was decided; its final answer may not have been sent."""

    message: str
    ending: Ending
    retry_after: int
    ended_at: int = 0  # of a dead letter alone
    is_dead_letter: bool = False


@dataclass(slots=True)
class MessageEnded:
    """The final answer to a message was sent, or is not waited for."""

    message: str
    ending: Ending
    ended_at: int


@dataclass(slots=True)
class DeadLetterStored:
    """The store of dead letters has a message, or has discarded it."""

    message: str
    ended_at: int


@dataclass(slots=True)
class RetryAfterNoted:
    """An endpoint asked to be left alone until then."""

    destination: int
    endpoint: str
    until: int


@dataclass(slots=True)
class JournalOwner:
    """Which dispatcher writes the journal, and in which version of its form."""

    version: int
    name: str


@dataclass(slots=True)
class MessagesHandedOver:
    """The other process of a hand-over resumes these messages."""

    messages: list[str]


@dataclass(slots=True)
class CallsInFlight:
    """How many calls are in flight in a process that hands over; None if it does not."""

    count: int | None


@dataclass(slots=True)
class HandoverReclaimed:
    """What was handed over is the writer's own again."""


@dataclass(slots=True)
class EndedMessages:
    """What is remembered of messages that ended, for detecting duplicates."""

    concluded: dict[str, int]  # message: remembered until
    delivered_keys: dict[str, DeliveredKey]


Record = (
    MessageRecord
    | AttemptStarted
    | AttemptOutcome
    | AttemptNotExecuted
    | EndingDecided
    | MessageEnded
    | DeadLetterStored
    | RetryAfterNoted
    | JournalOwner
    | MessagesHandedOver
    | CallsInFlight
    | HandoverReclaimed
    | EndedMessages
)
