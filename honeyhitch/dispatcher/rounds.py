"""Rounds: in each round the policy handles the queued events, and its actions are carried out."""

from __future__ import annotations

from honeyhitch.dispatcher.calls import CallStarter
from honeyhitch.dispatcher.context import DispatcherContext
from honeyhitch.dispatcher.endings import Endings
from honeyhitch.dispatcher.event_queue import QueuedEvent
from honeyhitch.journal.transactions import RESEND_FRONTEND, Ending, Execution, Transaction
from honeyhitch.policy.actions import (
    Action,
    Cancel,
    CloseIdleConnections,
    Fail,
    OpenConnections,
    Reject,
    Send,
    SetTimer,
)
from honeyhitch.policy.events import NewMessage, TimerFired


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
            # These follow the endpoint list: a Retry-After counts only if its endpoint is known.
            events += context.peer_process.retry_after_events()
        sends: list[Send] = []
        for action in context.policy.handle(now, events):
            if isinstance(action, Send):
                sends.append(action)
            else:
                self._carry_out(action)
        self.calls.send_all(sends)

    def _carry_out(self, action: Action) -> None:
        match action:
            case Reject(name, retry_after):
                self.endings.apply_final_answer(name, Ending.REJECTED, retry_after)
            case Fail(name):
                self.endings.apply_final_answer(name, Ending.FAILED, 0)
            case SetTimer(at):
                queue = self.context.event_queue
                self.context.scheduler.call_at(at, lambda: queue.enqueue(TimerFired()))
            case Cancel(name, _):
                self._cancel_call(name)
            case CloseIdleConnections(name):
                self._close_idle_connections(name)
            case OpenConnections(name, count):
                self._open_connections(name, count)
            case _:  # Subscribe: the watch of discovery is always active
                pass

    def _cancel_call(self, message: str) -> None:
        call = self.context.calls_in_flight.get(message)
        if call is not None:
            self.context.transports[call.endpoint.transport].cancel(call)

    def _close_idle_connections(self, name: str) -> None:
        endpoint = self.context.pool.endpoints.get(name)
        if endpoint is not None:
            self.context.transports[endpoint.transport].close_idle(endpoint)

    def _open_connections(self, name: str, calls: int) -> None:
        endpoint = self.context.pool.endpoints.get(name)
        if endpoint is not None:
            self.context.connection_openers[endpoint.transport].open(endpoint, calls)

    def _new_message(self, message: Transaction, now: int) -> NewMessage:
        first = self._first_execution(message, now)
        return NewMessage(
            message=message.id,
            class_index=message.class_index,
            destination=message.destination,
            time_left=message.deadline - now,  # the policy adds the time of the round
            tenant=message.tenant,
            recovered_from_journal=message.recovered_from_journal,
            attempts=message.attempt_count,
            first_possible_execution=first.started_at if first else None,
            first_execution_zone=first.zone if first else 0,
            low_priority=message.frontend == RESEND_FRONTEND,
        )

    def _first_execution(self, message: Transaction, now: int) -> Execution | None:
        """Return the earliest execution that this message may repeat, or None.

        It may be an execution of this message, of a delivered message with its key, or of a resend.
        """
        first = message.first_possible_execution()
        if first is None and self.context.has_idempotency_key(message):
            # A copy must stay within the deduplication window of the first message with its key.
            first = self.context.messages.first_execution_of_key(message, now)
        if message.earlier_execution is not None:
            earlier = Execution(*message.earlier_execution)
            first = min(first or earlier, earlier)
        return first
