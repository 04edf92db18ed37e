"""Recovery and hand-over: resumes the messages of the journal, and leaves them to the next process."""

from __future__ import annotations

from honeyhitch import logs
from honeyhitch.dispatcher.admission import AdmissionControl
from honeyhitch.dispatcher.context import DispatcherContext
from honeyhitch.dispatcher.endings import Endings
from honeyhitch.journal.journal_file import JournalFullError
from honeyhitch.journal.settings_names import UNKNOWN
from honeyhitch.journal.transactions import RESEND_FRONTEND, Ending, Transaction
from honeyhitch.policy.events import ShutdownStarted

log = logs.get_logger()


class Recovery:
    """Resumes the messages of a journal at a start, and hands them over or stops at the end of a process."""

    def __init__(self, context: DispatcherContext, admission: AdmissionControl, endings: Endings) -> None:
        self.context = context
        self.admission = admission
        self.endings = endings

    def recover(self) -> None:
        """Resume the messages of the journal after a start, and pass dead letters to their store."""
        messages = self.context.messages
        handed_over = self.context.journal.handed_over
        pending = [message for message_id, message in messages.by_id.items() if message_id not in handed_over]
        self.take_over(pending, list(messages.pending_dead_letters.values()))

    def take_over(self, pending: list[Transaction], dead_letters: list[Transaction]) -> None:
        """Resume messages that a process left; they are in the journal, and no other process resumes them."""
        sink = self.context.dead_letter_sink
        if sink is not None:
            for message in dead_letters:
                if message.class_index != UNKNOWN:  # the store keeps it by the rules of its class
                    sink.store(message)
        elif dead_letters:  # they stay in the journal until a start with a dead-letter store
            log.warning("dead-letter.store-missing", waiting=len(dead_letters))
        # Resends come first, because a message that arrived later may be a copy of a resend.
        for message in sorted(pending, key=lambda message: message.frontend != RESEND_FRONTEND):
            if message.ending is not None:
                self._resume_decided(message)
            elif message.class_index == UNKNOWN:
                self._end_unknown_class(message)
            elif message.frontend == RESEND_FRONTEND:
                self._resume_resend(message)
            else:
                message.recovered_from_journal = True  # it may be older than this process
                self.admission.admit(message)

    def _resume_decided(self, message: Transaction) -> None:
        """Have a decided answer sent, and pass the message to the store if it is an unstored dead letter."""
        self.endings.answer(message)
        sink = self.context.dead_letter_sink
        storable = message.is_dead_letter and not message.dead_letter_stored
        if storable and message.class_index != UNKNOWN and sink is not None:
            sink.store(message)

    def _end_unknown_class(self, message: Transaction) -> None:
        """End a message whose class the settings no longer contain: no rule says how it may be sent.

        It fails if it may have been executed, and may be submitted again if not.
        """
        log.warning("message.class-missing", message=message.id, key="class")
        may_have_run = message.first_possible_execution() is not None
        ending = Ending.FAILED if may_have_run else Ending.REJECTED
        if message.frontend == RESEND_FRONTEND:
            ending = Ending.UNANSWERED
        self.endings.conclude_without_class(message, ending)

    def _resume_resend(self, message: Transaction) -> None:
        coordinator = self.context.resend_coordinator
        if coordinator is not None:
            coordinator.recover_resend(message)
        else:  # the dead-letter store will miss the resend and treat it as one that may have been executed
            log.warning("dead-letter.store-missing", resend=message.id)
            self.context.journal.record_end(message, Ending.UNANSWERED)

    def stop_deciding(self, pause: int) -> None:
        """Run the last round, which rejects or fails messages that cannot wait `pause` nanoseconds.

        All other pending messages stay in the journal for the next process.
        """
        if self.context.sending:
            self.context.event_queue.enqueue(ShutdownStarted(pause))
            self.context.event_queue.run_now()
            self._stop_sending()

    def hand_over(self) -> None:
        """Start no further call, and hand the waiting messages over to the other process.

        Calls in flight and notices end in this process. Idle connections are closed, because endpoints accept
        only a few connections. This method is to be called repeatedly until the process ends.
        """
        context = self.context
        if context.sending:
            self._stop_sending()
            for endpoint in context.pool.endpoints.values():
                context.transports[endpoint.transport].close_idle(endpoint)
        calls = {id(call) for call in context.calls_in_flight.values()}
        waiting = [
            message
            for message_id, message in context.messages.by_id.items()
            if message.ending is None
            and message.frontend != RESEND_FRONTEND
            and message_id not in context.journal.handed_over
            and message_id not in context.calls_in_flight
        ]
        try:
            context.journal.hand_over(waiting, len(calls))
        except JournalFullError as error:
            # The other process takes the messages over once this process has ended.
            log.warning("journal.full", record="hand-over", error=str(error))

    def _stop_sending(self) -> None:
        """Stop sending, and cancel calls that have not started; their messages were not attempted."""
        self.context.sending = False
        calls = {id(call): call for call in self.context.calls_in_flight.values() if not call.started}
        for call in calls.values():
            self.context.transports[call.endpoint.transport].cancel(call)
