"""Endings: what a message's final answer is, who hears of it, and when it is concluded."""

from __future__ import annotations

from honeyhitch import logs
from honeyhitch.dispatcher.context import DispatcherContext
from honeyhitch.journal.transactions import RESEND_FRONTEND, RESP_FRONTEND, Ending, Transaction
from honeyhitch.policy.events import MessageWithdrawn

log = logs.get()


class Endings:
    """Decides each ending once, by the journal, and sends the final answer by the message's frontend."""

    def __init__(self, context: DispatcherContext) -> None:
        self.context = context

    def conclude(self, message: Transaction, ending: Ending, retry_after: int) -> None:
        """End a message that is undecided so; whatever the policy still planned for it is dropped."""
        if self.context.undecided(message.id):
            self.conclude_now(message, ending, retry_after)
            self.context.event_queue.enqueue(
                MessageWithdrawn(message.id), low_priority=message.frontend == RESEND_FRONTEND
            )

    def conclude_as_delivered(self, message: Transaction) -> None:
        """It was delivered already; the client hears first that it was accepted."""
        name = message.id
        self.context.scheduler.call_at(
            self.context.scheduler.now(), lambda: self.apply_final_answer(name, Ending.DELIVERED, 0)
        )

    def withdraw(self, name: str) -> None:
        """The client wants it no longer: no further attempt is made, and no answer is sent."""
        message = self.context.undecided(name)
        if message is not None:
            self.context.journal.record_end(message, Ending.UNANSWERED)
            self.context.event_queue.enqueue(MessageWithdrawn(name))
            if self.context.resend_coordinator is not None:
                self.context.resend_coordinator.message_concluded(message)

    def apply_final_answer(self, name: str, ending: Ending, retry_after: int) -> None:
        """The policy's decision; one that comes too late changes nothing."""
        message = self.context.undecided(name)
        if message is not None:
            self.conclude_now(message, ending, retry_after)

    def conclude_now(self, message: Transaction, ending: Ending, retry_after: int) -> None:
        """Write the ending down, answer, and give a dead letter to the store."""
        context = self.context
        is_dead_letter = self._becomes_dead_letter(message, ending)
        unanswered = ending is Ending.UNANSWERED or (
            ending is Ending.DELIVERED and message.frontend == RESP_FRONTEND
        )
        context.metrics.message_concluded(message, ending)
        if is_dead_letter or not unanswered:
            context.journal.record_decision(message, ending, retry_after, is_dead_letter)
        if unanswered:
            context.journal.record_end(message, ending)
        else:
            self.answer(message)
        if is_dead_letter and context.dead_letter_sink is not None:
            context.dead_letter_sink.store(message)
        if context.resend_coordinator is not None:
            context.resend_coordinator.message_concluded(message)

    def _becomes_dead_letter(self, message: Transaction, ending: Ending) -> bool:
        """Whether the store must hear of it: it ended undelivered, or its delivery settles a dead letter."""
        context = self.context
        if message.frontend == RESEND_FRONTEND or context.dead_letter_sink is None:
            return False
        if ending is Ending.UNANSWERED:
            return False
        if ending is Ending.DELIVERED:
            coordinator = context.resend_coordinator
            return coordinator is not None and coordinator.settles_dead_letter(message)
        if message.key:  # a copy that was delivered meanwhile leaves nothing to keep
            return context.messages.first_execution_of_key(message, context.scheduler.now()) is None
        return True

    def dead_letter_stored(self, message: Transaction) -> None:
        """The store has it, or has discarded it."""
        self.context.journal.record_dead_letter_stored(message)
        if self.context.resend_coordinator is not None:
            self.context.resend_coordinator.dead_letter_stored(message)

    def answer(self, message: Transaction) -> None:
        """Have the message's frontend send the final answer."""
        frontend = self.context.frontends.get(message.frontend)
        if frontend is not None:
            frontend.answer(message)
        else:  # accepted by a frontend that this process was started without: there is no client to notify
            log.warning("answer.frontend-missing", message=message.id, front=message.frontend)
            self.answer_sent(message)

    def answer_sent(self, message: Transaction) -> None:
        """The final answer was sent."""
        if message.ending is not None:
            self.context.journal.record_end(message, message.ending)
