"""The state that a journal's records describe: the held messages, and ids and keys of ended messages.

The process that writes a journal keeps this state, and so does a process that reads the journal of the other
process of a hand-over.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, ClassVar

from honeyhitch.journal.records import (
    AttemptNotExecuted,
    AttemptOutcome,
    AttemptStarted,
    CallsInFlight,
    DeadLetterStored,
    EndedMessages,
    EndingDecided,
    HandoverReclaimed,
    JournalOwner,
    MessageEnded,
    MessageRecord,
    MessagesHandedOver,
    NamesRecorded,
    OutageNoted,
    Record,
    RetryAfterNoted,
)
from honeyhitch.journal.settings_names import IndexTranslation, SettingsNames
from honeyhitch.journal.transactions import Ending, MessageTable, RememberedKey, Transaction

MAX_OUTAGES = 1024  # destinations and endpoints whose outages are kept; the oldest is dropped first
ESTIMATED_OVERHEAD_BYTES = 512  # size of a message's records, excluding its body


def estimated_bytes(message: Transaction) -> int:
    """Return the estimated bytes of a message's record and of later records about the message."""
    return len(message.body) + ESTIMATED_OVERHEAD_BYTES


class JournalState:
    """The state after applying records in order.

    `retention` returns the nanoseconds for which the id and key of an ended message are remembered.
    `max_remembered` is the maximum number of ids, and also that of keys. The indices of classes, tenants
    and zones in the state belong to `current_names`, whatever lists the records refer to.
    """

    def __init__(
        self,
        max_remembered: int,
        retention: Callable[[Transaction], int],
        current_names: SettingsNames | None = None,
    ) -> None:
        self.retention = retention
        self.current_names = current_names
        self.max_remembered = max_remembered
        self._reset()

    def _reset(self) -> None:
        self.messages = MessageTable(self.max_remembered)
        self.live_bytes = 0  # estimated bytes of the records that compaction would keep
        self.dead_letter_bytes = 0  # the part of `live_bytes` of messages that only wait for the store
        self.message_bytes: dict[str, int] = {}  # estimated bytes by message id
        # End of the Retry-After that ends last, by destination and endpoint.
        self.retry_after_until: dict[tuple[int, str], int] = {}
        self.outages: dict[tuple[int, str], OutageNoted] = {}  # by destination and endpoint
        # Messages in this journal that the other process of a hand-over resumes.
        self.handed_over: dict[str, Transaction] = {}
        self.calls_in_flight: int | None = None  # None if the writer does not hand over
        self.name = ""  # the dispatcher's name
        self.version = 0  # version of the journal's format; 0 if no record states it
        self.stored_names: SettingsNames | None = None  # to which the indices of the next record belong
        self.translation = IndexTranslation(None, self.current_names)

    @property
    def is_empty(self) -> bool:
        """Whether no message is held and no id or key is remembered."""
        messages = self.messages
        remembered = messages.concluded or messages.delivered_keys or messages.attempted_keys
        return not (messages.by_id or messages.pending_dead_letters or remembered)

    def has_accepted(self, message_id: str) -> bool:
        """Return whether this message is held, or was held and is still remembered."""
        return message_id in self.messages.by_id or message_id in self.messages.concluded

    def apply(self, record: Record | None) -> None:
        """Apply one record; a record of an unknown kind (None), or about no held message, changes nothing."""
        if record is not None:
            self._HANDLERS[type(record)](self, record)

    # One handler for each kind of record.

    def _apply_names(self, record: NamesRecorded) -> None:
        self.stored_names = record.names
        self.translation = IndexTranslation(record.names, self.current_names)

    def _apply_message(self, record: MessageRecord) -> None:
        message = record.message
        message.class_index = self.translation.class_index(message.class_index)
        message.tenant = self.translation.tenant(message.tenant)
        if self.translation.changed:
            message.possible_executions = [
                possible._replace(zone=self.translation.zone(possible.zone))
                for possible in message.possible_executions
            ]
        if record.answered:
            self._add_pending_dead_letter(record.message)
        else:
            self._add_message(record.message)

    def _apply_attempt_started(self, record: AttemptStarted) -> None:
        message = self.messages.by_id.get(record.message)
        if message is not None:
            zone = self.translation.zone(record.zone)
            message.add_attempt(record.number, record.started_at, zone, record.endpoint)

    def _apply_outcome(self, record: AttemptOutcome) -> None:
        message = self.messages.by_id.get(record.message)
        if message is None:
            return
        outcome = record.attempt
        for attempt in message.attempt_history:
            if attempt.number == outcome.number:
                attempt.outcome = outcome.outcome
                attempt.elapsed = outcome.elapsed
                attempt.retry_after = outcome.retry_after
                attempt.failure_reason = outcome.failure_reason
                return
        message.attempt_history.append(outcome)  # the attempt was never started

    def _apply_not_executed(self, record: AttemptNotExecuted) -> None:
        message = self.messages.by_id.get(record.message)
        if message is not None:
            message.mark_not_executed(record.number)

    def _apply_decided(self, record: EndingDecided) -> None:
        message = self.messages.by_id.get(record.message)
        if message is not None:
            message.ending = record.ending
            message.retry_after = record.retry_after
            message.ended_at = record.ended_at
            message.is_dead_letter = record.is_dead_letter

    def _apply_ended(self, record: MessageEnded) -> None:
        message = self.messages.by_id.get(record.message)
        if message is not None:
            self._end(message, record.ending, record.ended_at)

    def _apply_dead_letter_stored(self, record: DeadLetterStored) -> None:
        self._remove_dead_letter(record.message, record.ended_at)

    def _apply_retry_after(self, record: RetryAfterNoted) -> None:
        self._extend_retry_after(record.destination, record.endpoint, record.until)

    def _apply_outage(self, record: OutageNoted) -> None:
        self._keep_outage(record)

    def _apply_owner(self, record: JournalOwner) -> None:
        self.name = record.name
        self.version = record.version

    def _apply_handed_over(self, record: MessagesHandedOver) -> None:
        held_messages = self.messages.by_id
        self.handed_over.update(
            {
                message_id: held_messages[message_id]
                for message_id in record.messages
                if message_id in held_messages
            }
        )

    def _apply_calls_in_flight(self, record: CallsInFlight) -> None:
        self.calls_in_flight = record.count

    def _apply_reclaimed(self, _: HandoverReclaimed) -> None:
        self.handed_over = {}
        self.calls_in_flight = None

    def _apply_ended_messages(self, record: EndedMessages) -> None:
        self.messages.concluded.update(record.concluded)
        self.messages.delivered_keys |= self._translated(record.delivered_keys)
        self.messages.attempted_keys |= self._translated(record.attempted_keys)

    def _translated(self, keys: dict[str, RememberedKey]) -> dict[str, RememberedKey]:
        """Return keys with the zones of the current settings."""
        return {key: value._replace(zone=self.translation.zone(value.zone)) for key, value in keys.items()}

    _HANDLERS: ClassVar[dict[type, Callable[[Any, Any], None]]] = {
        MessageRecord: _apply_message,
        AttemptStarted: _apply_attempt_started,
        AttemptOutcome: _apply_outcome,
        AttemptNotExecuted: _apply_not_executed,
        EndingDecided: _apply_decided,
        MessageEnded: _apply_ended,
        DeadLetterStored: _apply_dead_letter_stored,
        RetryAfterNoted: _apply_retry_after,
        OutageNoted: _apply_outage,
        JournalOwner: _apply_owner,
        MessagesHandedOver: _apply_handed_over,
        CallsInFlight: _apply_calls_in_flight,
        HandoverReclaimed: _apply_reclaimed,
        EndedMessages: _apply_ended_messages,
        NamesRecorded: _apply_names,
    }

    # Methods shared with the writer of a journal.

    def _extend_retry_after(self, destination: int, endpoint: str, until: int) -> bool:
        """Keep the end of a Retry-After unless a later one is known; return whether it is kept.

        A Retry-After that is received later does not shorten one that is in force.
        """
        if self.retry_after_until.get((destination, endpoint), 0) >= until:
            return False
        self.retry_after_until[destination, endpoint] = until
        return True

    def _keep_outage(self, record: OutageNoted) -> None:
        """Replace what is known of an outage; forget an outage that has no consequence any more."""
        self.outages.pop((record.destination, record.endpoint), None)
        if record.history.latest_at:
            self.outages[record.destination, record.endpoint] = record
        if len(self.outages) > MAX_OUTAGES:
            del self.outages[next(iter(self.outages))]

    def _add_message(self, message: Transaction) -> None:
        self.live_bytes -= self.message_bytes.get(message.id, 0)  # a message that was handed over may return
        self.handed_over.pop(message.id, None)
        self.messages.by_id[message.id] = message
        size = estimated_bytes(message)
        self.message_bytes[message.id] = size
        self.live_bytes += size

    def _add_pending_dead_letter(self, message: Transaction) -> None:
        """Add a message whose final answer was sent and that only waits for the dead-letter store."""
        self.messages.pending_dead_letters[message.id, message.ended_at] = message
        size = estimated_bytes(message)
        self.live_bytes += size
        self.dead_letter_bytes += size

    def _remove_dead_letter(self, message_id: str, ended_at: int) -> None:
        message = self.messages.by_id.get(message_id)
        if message is not None and message.ended_at == ended_at and message.is_dead_letter:
            message.dead_letter_stored = True  # the final answer has not been sent yet
            return
        dead_letter = self.messages.pending_dead_letters.pop((message_id, ended_at), None)
        if dead_letter is not None:
            dead_letter.dead_letter_stored = True
            size = estimated_bytes(dead_letter)
            self.live_bytes -= size
            self.dead_letter_bytes -= size

    def _end(self, message: Transaction, ending: Ending, ended_at: int) -> None:
        message.ending = ending
        self.messages.by_id.pop(message.id, None)
        self.handed_over.pop(message.id, None)
        size = self.message_bytes.pop(message.id, 0)
        if message.is_dead_letter and not message.dead_letter_stored:
            self.messages.pending_dead_letters[message.id, message.ended_at] = message
            self.dead_letter_bytes += size
        else:
            self.live_bytes -= size
        self._remember(message, ending, ended_at)

    def _remember(self, message: Transaction, ending: Ending, ended_at: int) -> None:
        remembered_until = ended_at + self.retention(message)
        self.messages.concluded[message.id] = remembered_until
        self.messages.remember_key(message, ending, ended_at, remembered_until)
