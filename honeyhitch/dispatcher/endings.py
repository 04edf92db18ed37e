"""Endings: decides a message's final answer, has it sent, and concludes the message."""

from __future__ import annotations

from dataclasses import replace

from honeyhitch import logs
from honeyhitch.dispatcher.context import DispatcherContext
from honeyhitch.journal.journal_file import JournalFullError
from honeyhitch.journal.settings_names import UNKNOWN
from honeyhitch.journal.transactions import RESEND_FRONTEND, RESP_FRONTEND, Ending, Transaction
from honeyhitch.policy.events import MessageWithdrawn
from honeyhitch.time_units import MILLISECOND

log = logs.get_logger()


class Endings:
    """Decides each ending once, as recorded in the journal, and has the message's frontend answer."""

    def __init__(self, context: DispatcherContext) -> None:
        self.context = context
        # Messages by id whose ending is decided but not in the journal yet, in the order of the decisions.
        self.unrecorded: dict[str, Transaction] = {}

    def conclude(self, message: Transaction, ending: Ending, retry_after: int) -> None:
        """Conclude an undecided message with this ending; the policy drops its further plans for it."""
        if self.context.find_undecided(message.id):
            self.conclude_now(message, ending, retry_after)
            self.context.event_queue.enqueue(
                MessageWithdrawn(message.id), low_priority=message.frontend == RESEND_FRONTEND
            )

    def conclude_as_delivered(self, message: Transaction) -> None:
        """Conclude a message whose delivery is already known.

        The ending is applied in the next timer callback, so that the client receives the acceptance first.
        """
        message_id = message.id
        self.context.scheduler.call_at(
            self.context.scheduler.now(), lambda: self.apply_final_answer(message_id, Ending.DELIVERED, 0)
        )

    def withdraw(self, message_id: str) -> None:
        """Withdraw a message for its client: no further attempt is made and no answer is sent."""
        message = self.context.find_undecided(message_id)
        if message is not None:
            self.context.journal.record_end(message, Ending.UNANSWERED)
            self.context.event_queue.enqueue(MessageWithdrawn(message_id))
            if self.context.resend_coordinator is not None:
                self.context.resend_coordinator.message_concluded(message)

    def apply_final_answer(self, message_id: str, ending: Ending, retry_after: int) -> None:
        """Apply a final answer that the policy decided; do nothing if the ending was decided before."""
        message = self.context.find_undecided(message_id)
        if message is not None:
            self.conclude_now(message, ending, retry_after)

    def conclude_now(self, message: Transaction, ending: Ending, retry_after: int) -> None:
        """Write the ending to the journal, have the answer sent, and pass a dead letter to the store."""
        context = self.context
        is_dead_letter = self._becomes_dead_letter(message, ending)
        unanswered = ending is Ending.UNANSWERED or (
            ending is Ending.DELIVERED and message.frontend == RESP_FRONTEND
        )
        context.metrics.message_concluded(message, ending)
        if ending is not Ending.DELIVERED:
            self._log_ending(message, ending, retry_after)
        if is_dead_letter or not unanswered:
            context.journal.record_decision(message, ending, retry_after, is_dead_letter)
        if unanswered:
            context.journal.record_end(message, ending)
        else:
            self._answer_once_recorded(message)
        if is_dead_letter and context.dead_letter_sink is not None:
            context.dead_letter_sink.store(message)
        if context.resend_coordinator is not None:
            context.resend_coordinator.message_concluded(message)

    def conclude_without_class(self, message: Transaction, ending: Ending) -> None:
        """Write the ending of a message whose class is not known, and have the answer sent.

        No metric counts it, and the dead-letter store does not get it.
        """
        if ending is Ending.UNANSWERED:
            self.context.journal.record_end(message, ending)
            return
        self.context.journal.record_decision(message, ending, retry_after=0)
        self._answer_once_recorded(message)

    def conclude_without_room(self, message: Transaction) -> bool:
        """End a message of another process that the journal has no room for and whose time is up.

        Only its ending is recorded. Return false and send nothing if the journal cannot take that record.
        """
        ending = Ending.REJECTED if self._may_reject(message) else Ending.FAILED
        ended = replace(message, body=b"", ending=ending)
        try:
            self.context.journal.record_rejected(ended)
        except JournalFullError as error:
            log.warning("journal.full", record="ending", error=str(error))
            return False
        if message.class_index != UNKNOWN:
            self.context.metrics.message_concluded(ended, ending)
        self._log_ending(ended, ending, 0)
        self.answer(ended)
        return True

    def _may_reject(self, message: Transaction) -> bool:
        """Return whether submitting a message again is harmless."""
        if message.first_possible_execution() is None:
            return True
        if message.class_index == UNKNOWN:
            return False
        return self.context.settings.classes[message.class_index].may_reject_executed

    def _log_ending(self, message: Transaction, ending: Ending, retry_after: int) -> None:
        log.info(
            "message.ended",
            message=message.id,
            ending=ending.value,
            destination=message.destination,
            attempts=message.attempt_count,
            left_ms=(message.deadline - self.context.scheduler.now()) // MILLISECOND,
            retry_after_ms=retry_after // MILLISECOND,
            key=message.id,
        )

    def _answer_once_recorded(self, message: Transaction) -> None:
        """Have the answer sent, after a failing disk has taken the decision or at the message's deadline.

        If the process were killed in between, the next process would send a message again whose client was
        told that it had ended. After the deadline no process sends it.
        """
        if not self.context.journal.postponed:
            self.answer(message)
            return
        self.unrecorded[message.id] = message
        self.context.scheduler.call_at(message.deadline, lambda: self._answer_unrecorded(message.id))

    def answer_recorded(self) -> None:
        """Have the answers sent that waited until their decisions were in the journal."""
        for message_id in list(self.unrecorded):
            self._answer_unrecorded(message_id)

    def _answer_unrecorded(self, message_id: str) -> None:
        message = self.unrecorded.pop(message_id, None)
        if message is not None:
            self.answer(message)

    def _becomes_dead_letter(self, message: Transaction, ending: Ending) -> bool:
        """Return whether the dead-letter store must be notified of the ending.

        The store must be notified if the message ended undelivered or if its delivery settles a dead letter.
        """
        context = self.context
        if message.frontend == RESEND_FRONTEND or context.dead_letter_sink is None:
            return False
        if ending is Ending.UNANSWERED:
            return False
        if ending is Ending.DELIVERED:
            coordinator = context.resend_coordinator
            return coordinator is not None and coordinator.settles_dead_letter(message)
        if message.key:  # no dead letter is kept if a message with the same key was delivered meanwhile
            return not context.messages.is_key_delivered(message, context.scheduler.now())
        return True

    def dead_letter_stored(self, message: Transaction) -> None:
        """Record that the dead-letter store has stored or discarded the message."""
        self.context.journal.record_dead_letter_stored(message)
        if self.context.resend_coordinator is not None:
            self.context.resend_coordinator.dead_letter_stored(message)

    def answer(self, message: Transaction) -> None:
        """Have the message's frontend send the final answer."""
        frontend = self.context.frontends.get(message.frontend)
        if frontend is not None:
            frontend.answer(message)
        else:  # its frontend is not enabled in this process, so there is no client to notify
            log.warning("answer.frontend-missing", message=message.id, front=message.frontend)
            self.answer_sent(message)

    def answer_sent(self, message: Transaction) -> None:
        """Conclude a message whose final answer was sent."""
        if message.ending is not None:
            self.context.journal.record_end(message, message.ending)
