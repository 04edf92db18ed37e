"""Outcomes: processes the outcome of each message of a call that ended, expired or never started."""

from __future__ import annotations

from honeyhitch import logs
from honeyhitch.dispatcher.context import DispatcherContext
from honeyhitch.dispatcher.delivery import Call, CallResult
from honeyhitch.dispatcher.endings import Endings
from honeyhitch.endpoints.endpoint import PoolEndpoint
from honeyhitch.journal.transactions import RESEND_FRONTEND, Attempt, Ending, Transaction
from honeyhitch.policy.events import AttemptEnded, Outcome, RetryAfterReceived
from honeyhitch.time_units import MILLISECOND

log = logs.get_logger()
LIMIT_REMAINING_FIELD = "x0"  # report field: the remaining fraction of the limit
RATE_LIMIT_FIELD = "x1"  # report field: the limit in calls per second


class CallOutcomes:
    """Turns the results of calls into journal records, endings and events for the policy."""

    def __init__(self, context: DispatcherContext, endings: Endings) -> None:
        self.context = context
        self.endings = endings

    def call_ended(self, call: Call, result: CallResult) -> None:
        """Process the result of a call.

        If the reply arrives after one of the messages timed out, it is unknown whether the reply counts for
        the others (docs/fleet-questions.md). A message that such a reply reports as delivered is treated as
        one that may have been executed, and the endpoint's health is not changed by the reply.
        """
        self.retry_after_received(call.endpoint, result.retry_after)
        if call.message_expired and any(outcome is Outcome.DELIVERED for outcome, _ in result.outcomes):
            replacements = {(Outcome.DELIVERED, True): (Outcome.RESET, False)}
            result.outcomes = [
                replacements.get(reported_outcome, reported_outcome) for reported_outcome in result.outcomes
            ]
            result.connection_stale = True
        for index, (outcome, concluded) in enumerate(result.outcomes):
            if not call.pending[index]:
                continue
            if call.started or self.context.sending:
                self.attempt_ended(call, index, outcome, concluded, result)
            else:  # the call was cancelled because the process is about to end
                self.message_not_started(call, index)
        if not self.context.sending:
            self.context.transports[call.endpoint.transport].close_idle(call.endpoint)

    def retry_after_received(self, endpoint: PoolEndpoint, duration: int) -> None:
        """Apply a Retry-After of `duration` nanoseconds that an endpoint sent; 0 means that it sent none.

        The Retry-After applies to the destination, however the messages of the call that received it end.
        """
        if duration:
            until = self.context.scheduler.now() + duration
            self.context.journal.record_retry_after(endpoint.destination, endpoint.id, until)
            self.context.event_queue.enqueue(RetryAfterReceived(endpoint.destination, endpoint.id, until))

    def message_expired(self, call: Call, message: Transaction) -> None:
        """Time out one message of a call; a call that has not started continues without the message."""
        for index, candidate in enumerate(call.messages):
            if candidate is message and call.pending[index]:
                if call.started:
                    call.message_expired = True
                    self.attempt_ended(call, index, Outcome.TIMEOUT, False, CallResult([]))
                else:
                    self.message_not_started(call, index)
                if not any(call.pending):  # no message waits for the reply any more
                    self.context.transports[call.endpoint.transport].cancel(call)

    def message_not_started(self, call: Call, index: int) -> None:
        """Remove a message from its call before the first byte; no attempt is used up."""
        self.attempt_ended(call, index, Outcome.NOT_SENT, False, CallResult([]), not_started=True)

    def attempt_ended(
        self,
        call: Call,
        index: int,
        outcome: Outcome,
        concluded: bool,
        result: CallResult,
        not_started: bool = False,
    ) -> None:
        """Process the outcome of one message's attempt.

        `concluded` says that the outcome concludes the message, `not_started` that no attempt was used up.
        """
        context = self.context
        message = call.messages[index]
        call.pending[index] = False
        context.calls_in_flight.pop(message.id, None)
        if not not_started:
            self._record(call, index, outcome, result)
        pending = context.find_undecided(message.id) is not None
        if concluded and pending:
            ending = Ending.DELIVERED if outcome is Outcome.DELIVERED else Ending.UNANSWERED
            self.endings.conclude_now(message, ending, 0)
        event = AttemptEnded(
            message=message.id,
            attempt=call.attempt_numbers[index],
            endpoint=call.endpoint.id,
            outcome=outcome,
            elapsed=context.scheduler.now() - call.sent_at,
            message_concluded=concluded or not pending,
            retry_after=result.retry_after,
            limit_remaining=result.reported.get(LIMIT_REMAINING_FIELD, 1.0),
            rate_limit=self._rate_limit(call, result),
            connection_stale=result.connection_stale,
            connection_limited=result.connection_limited,
            not_started=not_started,
        )
        context.event_queue.enqueue(event, low_priority=message.frontend == RESEND_FRONTEND)
        if context.resend_coordinator is not None:
            context.resend_coordinator.attempt_ended(message, outcome)

    def _record(self, call: Call, index: int, outcome: Outcome, result: CallResult) -> None:
        journal = self.context.journal
        message = call.messages[index]
        number = call.attempt_numbers[index]
        if outcome.proves_not_executed:
            journal.record_not_executed(message, number)
        if outcome is not Outcome.DELIVERED:
            log.info(
                "attempt.failed",
                message=message.id,
                attempt=number,
                member=call.endpoint.id,
                outcome=outcome.value,
                elapsed_ms=(self.context.scheduler.now() - call.sent_at) // MILLISECOND,
                retry_after_ms=result.retry_after // MILLISECOND,
                local_port=result.local_port,
                error=result.error,
                key=message.id,
            )
        if self.context.dead_letter_sink is not None and outcome is not Outcome.DELIVERED:
            attempt = Attempt(
                number=number,
                endpoint=call.endpoint.id,
                started_at=call.sent_at,
                outcome=outcome.value,
                elapsed=self.context.scheduler.now() - call.sent_at,
                retry_after=result.retry_after,
                failure_reason=result.failure_reason,
            )
            journal.record_outcome(message, attempt)

    def _rate_limit(self, call: Call, result: CallResult) -> float:
        """Return this instance's quota of the reported limit, in calls per second.

        The whole limit is returned for a quota of 0: nothing is sent without a quota in any case.
        """
        limit = result.reported.get(RATE_LIMIT_FIELD, 0.0)
        quota_source = self.context.quota_source
        if quota_source is None:
            return limit
        now = self.context.scheduler.now()
        return limit * (quota_source.quota_fraction(call.endpoint.destination, now) or 1.0)
