"""Admission control: accepts or rejects submitted messages and passes accepted messages to the policy."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from honeyhitch import logs
from honeyhitch.dispatcher.context import DispatcherContext
from honeyhitch.dispatcher.delivery import Admission
from honeyhitch.dispatcher.endings import Endings
from honeyhitch.dispatcher.fair_share import Room, Submitters, stays_within_share
from honeyhitch.dispatcher.ports import ArrivalDecision
from honeyhitch.journal.journal_file import JournalFullError
from honeyhitch.journal.state import estimated_bytes
from honeyhitch.journal.transactions import RESEND_FRONTEND, RESP_FRONTEND, Ending, Transaction
from honeyhitch.memory.plan import message_memory
from honeyhitch.time_units import MILLISECOND

log = logs.get_logger()
UNLIMITED_BYTES = 1 << 60
MAX_REMEMBERED_REJECTIONS = 10_000  # ids of rejected messages that are still rejected if they come again
BUSY_RETRY_AFTER = 500 * MILLISECOND  # for messages that are rejected before the policy receives them


def _memory_size(message: Transaction) -> int:
    """Return the bytes of memory that a message takes while it is held."""
    return message_memory(estimated_bytes(message), 1)


class AdmissionControl:
    """Accepts or rejects messages that frontends and the dead-letter store submit."""

    def __init__(self, context: DispatcherContext, endings: Endings) -> None:
        self.context = context
        self.endings = endings
        self.rejected_until: dict[str, int] = {}  # by message id, in the order of the rejections
        self.recorded_rejections: set[str] = set()  # ids; some of them may have been answered
        self.max_message_bytes = UNLIMITED_BYTES  # memory of all held messages together
        self.submitters = Submitters()
        self.rejections = Counter[str]()  # messages that were rejected at once, by reason

    def submit(self, message: Transaction) -> Admission:
        """Accept or reject a message immediately and return the decision.

        A message that is already held, or concluded and still remembered, is reported as accepted but not
        accepted a second time. A message that was rejected is rejected again until its retry-after has
        passed: its client was told that the message has no effect, and the network may deliver a request
        twice.
        """
        context = self.context
        if (time_left := self._rejected_for(message)) > 0:
            return Admission(False, time_left)
        if context.journal.has_accepted(message.id):
            return Admission(True)
        if context.peer_process is not None and context.peer_process.has_accepted(message.id):
            return Admission(True)
        if not context.accepting:
            return self._reject(message, "not-accepting")
        if context.pool.lacks_endpoints(message.destination):
            return self._reject(message, "endpoints-left-out")
        if reason := self._lacks_room(message):
            return self._reject(message, reason)
        message.accepted_at = context.scheduler.now()
        try:
            context.journal.record_accepted(message)
        except JournalFullError as error:
            log.warning("journal.full", record="message", error=str(error))
            return self._reject(message, "journal")
        if self._repeats_delivered_key(message):
            # The message's endpoint would also report a repeat as delivered.
            self.endings.conclude_as_delivered(message)
        else:
            self.admit(message)
        return Admission(True)

    def record_rejection(self, message: Transaction, retry_after: int) -> bool:
        """Write a rejection to the journal, and have its answer sent, by the next process if need be.

        Return false and send nothing if the journal cannot take the record.
        """
        rejected = replace(message, body=b"", ending=Ending.REJECTED, retry_after=retry_after)
        try:
            self.context.journal.record_rejected(rejected)
        except JournalFullError as error:
            log.warning("journal.full", record="rejection", error=str(error))
            return False
        self.recorded_rejections.add(rejected.id)
        self.endings.answer(rejected)
        return True

    def _is_full(self) -> bool:
        """Return whether the limit on messages is reached."""
        return self._free_message_count() <= 0

    def _free_message_count(self) -> int:
        """Return how many messages may be held besides; rejections that wait for their answers take none."""
        held = self.context.messages.by_id
        max_messages = self.context.settings.max_messages
        if len(held) >= max_messages:
            self.recorded_rejections &= held.keys()
        return max_messages - len(held) + len(self.recorded_rejections)

    def _lacks_room(self, message: Transaction) -> str:
        """Return the limit that does not allow a message to be held, or an empty text if all of them do."""
        context = self.context
        held = context.messages.by_id
        now = context.scheduler.now()
        self.submitters.record(message.submitter, now)
        several_submitters = self.submitters.several(now)
        memory_in_use = message_memory(context.journal.live_bytes, len(held))
        rooms = {
            "full": Room(self._free_message_count(), context.settings.max_messages, lambda _: 1),
            "memory": Room(self.max_message_bytes - memory_in_use, self.max_message_bytes, _memory_size),
            "journal": Room(context.journal.free_message_bytes, context.journal.max_bytes, estimated_bytes),
        }
        for reason, room in rooms.items():
            if room.free < room.size(message):
                return reason
            if several_submitters and not stays_within_share(room, message, held.values()):
                return "fair-share"
        return ""

    def _reject(self, message: Transaction, reason: str) -> Admission:
        log.info("message.rejected", message=message.id, reason=reason, key=reason)
        self.rejections[reason] += 1
        self.context.metrics.message_rejected(message)
        if message.frontend == RESP_FRONTEND:
            self.rejected_until[message.id] = self.context.scheduler.now() + BUSY_RETRY_AFTER
            if len(self.rejected_until) > MAX_REMEMBERED_REJECTIONS:
                del self.rejected_until[next(iter(self.rejected_until))]
        return Admission(False, BUSY_RETRY_AFTER)

    def _rejected_for(self, message: Transaction) -> int:
        """Return for how many nanoseconds the message is still rejected, 0 or less if it is not."""
        now = self.context.scheduler.now()
        while self.rejected_until:
            oldest_id, until = next(iter(self.rejected_until.items()))
            if until > now:
                break
            del self.rejected_until[oldest_id]
        return self.rejected_until.get(message.id, now) - now

    def _repeats_delivered_key(self, message: Transaction) -> bool:
        if message.frontend == RESP_FRONTEND or not self.context.has_idempotency_key(message):
            return False
        now = self.context.scheduler.now()
        return self.context.messages.is_key_delivered(message, now)

    def submit_resend(self, message: Transaction) -> bool:
        """Write a resend to the journal and return whether it was accepted.

        `release` passes the resend to the policy once the dead-letter store has claimed it.
        """
        context = self.context
        if self._is_full() or not context.accepting or context.journal.has_accepted(message.id):
            return False
        message.accepted_at = context.scheduler.now()
        try:
            context.journal.record_accepted(message)
        except JournalFullError:
            return False
        return True

    def admit(self, message: Transaction) -> None:
        """Pass an accepted message to the policy, unless a resend of it is in flight or was delivered."""
        coordinator = self.context.resend_coordinator
        decision = ArrivalDecision.DELIVER
        if coordinator is not None:
            decision = coordinator.decide_arrival(message)
        if decision is ArrivalDecision.DELIVER:
            self.context.event_queue.enqueue(message)
        elif decision is ArrivalDecision.ALREADY_DELIVERED:
            self.endings.conclude_as_delivered(message)

    def release(self, message: Transaction) -> None:
        """Pass a message that waited for the dead-letter store to the policy."""
        if self.context.find_undecided(message.id):
            self.context.event_queue.enqueue(message, low_priority=message.frontend == RESEND_FRONTEND)

    def return_unattempted(self, destination: int, retry_after: int) -> None:
        """Reject messages that were certainly never executed at a destination that another instance now owns.

        A client that submits such a message again after `retry_after` nanoseconds reaches that instance.
        Messages that may have been executed, and those of calls in flight, stay with the policy.
        """
        for message in list(self.context.messages.by_id.values()):
            attempted = (
                message.first_possible_execution() is not None or message.id in self.context.calls_in_flight
            )
            is_resend = message.frontend == RESEND_FRONTEND
            if message.destination == destination and not attempted and not is_resend:
                self.endings.conclude(message, Ending.REJECTED, retry_after)
