"""Rounds: in each round the policy handles the queued events, and its actions are carried out."""

from __future__ import annotations

from honeyhitch import logs
from honeyhitch.dispatcher.calls import CallStarter
from honeyhitch.dispatcher.context import DispatcherContext
from honeyhitch.dispatcher.endings import Endings
from honeyhitch.dispatcher.event_queue import QueuedEvent
from honeyhitch.journal.records import OutageNoted
from honeyhitch.journal.transactions import RESEND_FRONTEND, Ending, Execution, Transaction
from honeyhitch.policy.actions import (
    Action,
    Cancel,
    CloseIdleConnections,
    Fail,
    OpenConnections,
    RecordOutage,
    Reject,
    ReportHealth,
    Send,
    SetTimer,
)
from honeyhitch.policy.events import NewMessage, TimerFired
from honeyhitch.time_units import MILLISECOND

log = logs.get_logger()


class RoundRunner:
    """Passes events to the policy and carries out its actions in order; sends come last, grouped in calls."""

    def __init__(self, context: DispatcherContext, endings: Endings, calls: CallStarter) -> None:
        self.context = context
        self.endings = endings
        self.calls = calls

    def run(self, queued: list[QueuedEvent]) -> None:
        """Handle these events at the time of the round, unless the process is about to end.

        In that case pending messages stay in the journal for the next process.
        """
        context = self.context
        if not context.sending:
            return
        now = context.event_queue.last_round_at
        events = [
            self._new_message(event, now) if isinstance(event, Transaction) else event for event in queued
        ]
        if context.peer_process is not None:
            # These follow the endpoint list: each of them counts only if its endpoint is known.
            events += context.peer_process.partner_events()
        sends: list[Send] = []
        for action in context.policy.handle(now, events):
            if isinstance(action, Send):
                sends.append(action)
            else:
                self._carry_out(action)
        self.calls.send_all(sends)

    def _carry_out(self, action: Action) -> None:
        match action:
            case Reject(message_id, retry_after):
                self.endings.apply_final_answer(message_id, Ending.REJECTED, retry_after)
            case Fail(message_id):
                self.endings.apply_final_answer(message_id, Ending.FAILED, 0)
            case SetTimer(due_at):
                queue = self.context.event_queue
                self.context.scheduler.call_at(due_at, lambda: queue.enqueue(TimerFired()))
            case Cancel(message_id, _):
                self._cancel_call(message_id)
            case CloseIdleConnections(endpoint_id):
                self._close_idle_connections(endpoint_id)
            case OpenConnections(endpoint_id, calls):
                self._open_connections(endpoint_id, calls)
            case ReportHealth():
                self._log_health(action)
            case RecordOutage(destination, endpoint, history):
                self.context.journal.record_outage(OutageNoted(destination, endpoint, history))
            case _:  # Subscribe: the watch of discovery is always active
                pass

    def _log_health(self, report: ReportHealth) -> None:
        log.info(
            "destination.health-changed",
            destination=report.destination,
            member=report.endpoint,
            change=report.change.value,
            reason=report.reason,
            failing_ms=report.failing_for // MILLISECOND,
            next_probe_ms=report.next_probe_in // MILLISECOND,
            slow_start=report.slow_start,
            key=f"{report.destination} {report.change.value}",
        )

    def _cancel_call(self, message_id: str) -> None:
        call = self.context.calls_in_flight.get(message_id)
        if call is not None:
            self.context.transports[call.endpoint.transport].cancel(call)

    def _close_idle_connections(self, endpoint_id: str) -> None:
        endpoint = self.context.pool.endpoints.get(endpoint_id)
        if endpoint is not None:
            self.context.transports[endpoint.transport].close_idle(endpoint)

    def _open_connections(self, endpoint_id: str, calls: int) -> None:
        endpoint = self.context.pool.endpoints.get(endpoint_id)
        if endpoint is not None:
            self.context.connection_openers[endpoint.transport].open(endpoint, calls)

    def _new_message(self, message: Transaction, now: int) -> NewMessage:
        first_execution = self._first_execution(message, now)
        return NewMessage(
            message=message.id,
            class_index=message.class_index,
            destination=message.destination,
            time_left=message.deadline - now,  # the policy adds the time of the round
            tenant=message.tenant,
            recovered_from_journal=message.recovered_from_journal,
            attempts=message.attempt_count,
            first_possible_execution=first_execution.started_at if first_execution else None,
            first_execution_zone=first_execution.zone if first_execution else 0,
            low_priority=message.frontend == RESEND_FRONTEND,
        )

    def _first_execution(self, message: Transaction, now: int) -> Execution | None:
        """Return the earliest execution that this message may repeat, or None.

        It may be an execution of this message, of an ended message with its key, or of a resend.
        """
        first_execution = message.first_possible_execution()
        if first_execution is None and self.context.has_idempotency_key(message):
            # A copy must stay within the deduplication window of the first message with its key.
            first_execution = self.context.messages.first_execution_of_key(message, now)
        if message.earlier_execution is not None:
            earlier_execution = Execution(*message.earlier_execution)
            first_execution = min(first_execution or earlier_execution, earlier_execution)
        return first_execution
