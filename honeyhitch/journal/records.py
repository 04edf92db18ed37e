"""The records of the journal in memory; `record_codec` converts them to and from their stored form.

Times are Unix times in nanoseconds, durations are in nanoseconds. Records are not changed after construction.
They are not frozen dataclasses because those take longer to construct, and a start constructs one for each
record of the journal.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from honeyhitch.journal.settings_names import SettingsNames
from honeyhitch.journal.transactions import Attempt, Ending, RememberedKey, Transaction
from honeyhitch.policy.outage_evidence import OutageHistory


@dataclass(slots=True)
class MessageRecord:
    """A message was accepted; after compaction the record includes the changes by later records."""

    message: Transaction
    detailed: bool = False  # includes the time of arrival and the attempts, which dead letters need
    answered: bool = False  # its final answer was sent; the message only waits for the dead-letter store


@dataclass(slots=True)
class AttemptStarted:
    """The first byte of an attempt is about to be written."""

    message: str
    number: int
    started_at: int
    zone: int
    endpoint: str | None = None  # only known in a detailed journal


@dataclass(slots=True)
class AttemptOutcome:
    """An attempt ended; only written in a detailed journal."""

    message: str
    attempt: Attempt


@dataclass(slots=True)
class AttemptNotExecuted:
    """An attempt was certainly not executed by its endpoint."""

    message: str
    number: int


@dataclass(slots=True)
class EndingDecided:
    """The ending of a message was decided; its final answer may not have been sent."""

    message: str
    ending: Ending
    retry_after: int
    ended_at: int = 0  # only set for a dead letter
    is_dead_letter: bool = False


@dataclass(slots=True)
class MessageEnded:
    """The final answer to a message was sent, or no client waits for it."""

    message: str
    ending: Ending
    ended_at: int


@dataclass(slots=True)
class DeadLetterStored:
    """The dead-letter store has stored or discarded a message."""

    message: str
    ended_at: int


@dataclass(slots=True)
class RetryAfterNoted:
    """An endpoint sent a Retry-After that ends at `until`."""

    destination: int
    endpoint: str
    until: int


@dataclass(slots=True)
class OutageNoted:
    """What is known of the latest outage of a destination or an endpoint; replaces earlier records."""

    destination: int
    endpoint: str  # empty if all endpoints of the destination share their health
    history: OutageHistory


@dataclass(slots=True)
class JournalOwner:
    """The name of the dispatcher that writes the journal, and the version of the journal's format."""

    version: int
    name: str


@dataclass(slots=True)
class NamesRecorded:
    """The names to which the indices of classes, tenants and zones in later records belong."""

    names: SettingsNames


@dataclass(slots=True)
class MessagesHandedOver:
    """The other process of a hand-over resumes these messages."""

    messages: list[str]


@dataclass(slots=True)
class CallsInFlight:
    """The number of calls in flight in a process that hands over; None if it does not hand over."""

    count: int | None


@dataclass(slots=True)
class HandoverReclaimed:
    """The writer owns the messages again that it had handed over."""


@dataclass(slots=True)
class EndedMessages:
    """Ids and keys of ended messages, remembered to detect duplicates."""

    concluded: dict[str, int]  # end of the retention by message id
    delivered_keys: dict[str, RememberedKey]
    attempted_keys: dict[str, RememberedKey] = field(default_factory=dict)  # of undelivered messages


Record = (
    MessageRecord
    | AttemptStarted
    | AttemptOutcome
    | AttemptNotExecuted
    | EndingDecided
    | MessageEnded
    | DeadLetterStored
    | RetryAfterNoted
    | OutageNoted
    | JournalOwner
    | NamesRecorded
    | MessagesHandedOver
    | CallsInFlight
    | HandoverReclaimed
    | EndedMessages
)
