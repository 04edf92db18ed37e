"""Recovery and hand-over: resuming what the journal holds, and leaving it to the next process."""

from __future__ import annotations

from honeyhitch import logs
from honeyhitch.dispatcher.admission import AdmissionControl
from honeyhitch.dispatcher.context import DispatcherContext
from honeyhitch.dispatcher.endings import Endings
from honeyhitch.journal.journal import JournalFullError
from honeyhitch.journal.transactions import RESEND_FRONTEND, Ending, Transaction
from honeyhitch.policy.events import ShutdownStarted

log = logs.get()


class Recovery:
    """The start and the end of a process's work on the messages of a journal."""

    def __init__(self, context: DispatcherContext, admission: AdmissionControl, endings: Endings) -> None:
        self.context = context
        self.admission = admission
        self.endings = endings

    def recover(self) -> None:
        """After a start: resume the messages of the journal, and give the store its dead letters."""
        messages = self.context.messages
        handed_over = self.context.journal.handed_over
        pending = [message for name, message in messages.by_id.items() if name not in handed_over]
        self.take_over(pending, list(messages.pending_dead_letters.values()))

    def take_over(self, pending: list[Transaction], dead_letters: list[Transaction]) -> None:
        """Resume what a process left: it is in the journal, and no other process resumes it."""
        sink = self.context.dead_letter_sink
        if sink is not None:
            for message in dead_letters:
                sink.store(message)
        elif dead_letters:  # they stay for a start with a store
            log.warning("dead-letter.store-missing", waiting=len(dead_letters))
        # Resends first: what came later may be a copy of one.
        for message in sorted(pending, key=lambda message: message.frontend != RESEND_FRONTEND):
            if message.ending is not None:
                self._resume_decided(message)
            elif message.frontend == RESEND_FRONTEND:
                self._resume_resend(message)
            else:
                message.recovered_from_journal = True  # its age is not that of this process
                self.admission.admit(message)

    def _resume_decided(self, message: Transaction) -> None:
        """Only its answer may not have been sent, and the store may not have it."""
        self.endings.answer(message)
        sink = self.context.dead_letter_sink
        if message.is_dead_letter and not message.dead_letter_stored and sink is not None:
            sink.store(message)

    def _resume_resend(self, message: Transaction) -> None:
        coordinator = self.context.resend_coordinator
        if coordinator is not None:
            coordinator.recover_resend(message)
        else:  # the store, where it is missed, will take it for one that may have been executed
            log.warning("dead-letter.store-missing", resend=message.id)
            self.context.journal.record_end(message, Ending.UNANSWERED)

    def stop_deciding(self, pause: int) -> None:
        """Run the last round: what cannot outlive so many nanoseconds without decisions is rejected or
        failed.

        Everything else that is pending is left to the next process, by the journal.
        """
        if self.context.sending:
            self.context.event_queue.enqueue(ShutdownStarted(pause))
            self.context.event_queue.run_now()
            self._stop_sending()

    def hand_over(self) -> None:
        """Start nothing more: calls in flight end here, as do notices, and the other process resumes the
        rest.

        Endpoints have few places for connections: none is kept here. To be called again until the end.
        """
        context = self.context
        if context.sending:
            self._stop_sending()
            for endpoint in context.pool.endpoints.values():
                context.transports[endpoint.transport].close_idle(endpoint)
        calls = {id(call) for call in context.calls_in_flight.values()}
        waiting = [
            message
            for name, message in context.messages.by_id.items()
            if message.ending is None
            and message.frontend != RESEND_FRONTEND
            and name not in context.journal.handed_over
            and name not in context.calls_in_flight
        ]
        try:
            context.journal.hand_over(waiting, len(calls))
        except JournalFullError as error:  # the other process finds them once this one has ended
            log.warning("journal.full", what="passed", error=str(error))

    def _stop_sending(self) -> None:
        """Cancel calls whose connection is not up yet: they were not attempted."""
        self.context.sending = False
        calls = {id(call): call for call in self.context.calls_in_flight.values() if not call.started}
        for call in calls.values():
            self.context.transports[call.endpoint.transport].cancel(call)
