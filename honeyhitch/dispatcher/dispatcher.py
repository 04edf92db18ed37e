"""The dispatcher: passes events to the delivery policy and carries out the policy's actions through ports.

The dispatcher handles messages, attempts and outcomes and is independent of any protocol. The clock and the
timers are passed in, so that tests can run it in virtual time. Times are Unix times in nanoseconds, durations
are in nanoseconds.
"""

from __future__ import annotations

from typing import Any

from honeyhitch.dispatcher.admission import AdmissionControl
from honeyhitch.dispatcher.calls import CallStarter
from honeyhitch.dispatcher.context import DispatcherContext
from honeyhitch.dispatcher.delivery import Admission, Call, CallResult, DispatcherState, Phase
from honeyhitch.dispatcher.endings import Endings
from honeyhitch.dispatcher.outcomes import CallOutcomes
from honeyhitch.dispatcher.ports import Scheduler
from honeyhitch.dispatcher.recovery import Recovery
from honeyhitch.dispatcher.rounds import RoundRunner
from honeyhitch.endpoints.endpoint import PoolEndpoint
from honeyhitch.endpoints.pool import EndpointPool
from honeyhitch.journal.journal import Journal
from honeyhitch.journal.transactions import Ending, Transaction
from honeyhitch.policy.events import (
    ConnectionCapacity,
    EndpointListUpdate,
    Event,
    OutageKnown,
    RetryAfterReceived,
)
from honeyhitch.policy.health import ejected_endpoints
from honeyhitch.policy.settings import Settings


class Dispatcher(DispatcherContext):
    """One policy, the held messages and the ports, shared by all frontends.

    This class is the interface for other packages; the other modules of this package implement it.
    """

    def __init__(
        self, settings: Settings, seed: int, pool: EndpointPool, journal: Journal, scheduler: Scheduler
    ) -> None:
        super().__init__(settings, seed, pool, journal, scheduler)
        self.endings = Endings(self)
        self.outcomes = CallOutcomes(self, self.endings)
        self.calls = CallStarter(self, self.outcomes)
        self.admission = AdmissionControl(self, self.endings)
        self.recovery = Recovery(self, self.admission, self.endings)
        self.event_queue.run_round = RoundRunner(self, self.endings, self.calls).run

    # Messages.

    def submit(self, transaction: Transaction) -> Admission:
        """Accept or reject a message immediately and return the decision.

        A message that is already held, or concluded and still remembered, is reported as accepted but not
        accepted a second time.
        """
        return self.admission.submit(transaction)

    def record_rejection(self, transaction: Transaction, retry_after: int) -> bool:
        """Write a rejection to the journal, and have its answer sent, by the next process if need be.

        `retry_after` is in nanoseconds. Return false and send nothing if the journal cannot take the record.
        """
        return self.admission.record_rejection(transaction, retry_after)

    def submit_resend(self, transaction: Transaction) -> bool:
        """Write a resend to the journal and return whether it was accepted.

        `release` passes the resend to the policy once the dead-letter store has claimed it.
        """
        return self.admission.submit_resend(transaction)

    def release(self, transaction: Transaction) -> None:
        """Pass a message that waited for the dead-letter store to the policy."""
        self.admission.release(transaction)

    def conclude(self, transaction: Transaction, ending: Ending, retry_after: int = 0) -> None:
        """Conclude an undecided message with this ending; the policy drops its further plans for it."""
        self.endings.conclude(transaction, ending, retry_after)

    def withdraw(self, message_id: str) -> None:
        """Withdraw a message for its client: no further attempt is made and no answer is sent."""
        self.endings.withdraw(message_id)

    def return_unattempted(self, destination: int, retry_after: int) -> None:
        """Reject messages that were certainly never executed at a destination that another instance now owns.

        A client that submits such a message again after `retry_after` nanoseconds reaches that instance.
        """
        self.admission.return_unattempted(destination, retry_after)

    def write_postponed_records(self) -> bool:
        """Write what a failing disk could not take before, and send the answers that waited for it.

        Return whether nothing is left to write.
        """
        if not self.journal.write_postponed():
            return False
        self.endings.answer_recorded()
        return True

    def answer_sent(self, transaction: Transaction) -> None:
        """Record that a frontend sent the final answer."""
        self.endings.answer_sent(transaction)

    def dead_letter_stored(self, transaction: Transaction) -> None:
        """Record that the dead-letter store has stored or discarded a dead letter."""
        self.endings.dead_letter_stored(transaction)

    # Calls.

    def start_call(self, call: Call) -> bool:
        """Check a call right before its first byte and return whether any of its messages may start."""
        return self.calls.start_call(call)

    def call_written(self, call: Call) -> None:
        """Count the messages of a call whose last byte was passed to its connection."""
        self.metrics.call_written(call.messages)

    def call_ended(self, call: Call, result: CallResult) -> None:
        """Process the result of a call; each call passed to a transport ends exactly once."""
        self.outcomes.call_ended(call, result)

    def retry_after_received(self, endpoint: PoolEndpoint, duration: int) -> None:
        """Apply a Retry-After of `duration` nanoseconds that an endpoint sent; 0 means that it sent none."""
        self.outcomes.retry_after_received(endpoint, duration)

    # Endpoint changes that the policy needs.

    def apply_list_update(self, update: EndpointListUpdate) -> None:
        """Pass a change of the pool to the policy.

        A Retry-After stays in force when its endpoint leaves the list and returns: it is passed to the policy
        again, and so is what an earlier process, or this one, knows of an outage.
        """
        self.event_queue.enqueue(update)
        now = self.scheduler.now()
        retry_after_until = self.journal.retry_after_until
        for (destination, endpoint_id), until in list(retry_after_until.items()):
            if until <= now:
                del retry_after_until[destination, endpoint_id]
            elif endpoint_id in self.pool.endpoints:
                self.event_queue.enqueue(RetryAfterReceived(destination, endpoint_id, until))

        for outage in self.journal.outages.values():
            if not outage.history.expired(now):
                self.event_queue.enqueue(OutageKnown(outage.destination, outage.endpoint, outage.history))

    def apply_partner_events(self, events: list[Event]) -> None:
        """Pass what another process of this dispatcher knew of endpoints before it ended."""
        for event in events:
            self.event_queue.enqueue(event)

    def apply_connection_capacity(self, capacity: ConnectionCapacity) -> None:
        """Pass on a change of the connections to an endpoint that takes calls only on open connections."""
        self.event_queue.enqueue(capacity)

    @property
    def rejections(self) -> dict[str, int]:
        """How many messages were rejected at once, by the limit that did not allow them."""
        return self.admission.rejections

    def limit_messages(self, max_bytes: int) -> None:
        """Accept no message while the held messages would take more than `max_bytes` of memory."""
        self.admission.max_message_bytes = max_bytes

    # Start, shutdown and hand-over.

    def recover(self) -> None:
        """Resume the messages of the journal after a start, and pass dead letters to their store."""
        self.recovery.recover()

    def take_over(self, pending: list[Transaction], dead_letters: list[Transaction]) -> None:
        """Resume messages that a process left; they are in the journal, and no other process resumes them."""
        self.recovery.take_over(pending, dead_letters)

    def conclude_without_room(self, message: Transaction) -> bool:
        """End a message of another process that the journal has no room for and whose time is up.

        Return false and send nothing if the journal cannot even record the ending.
        """
        return self.endings.conclude_without_room(message)

    def stop_deciding(self, pause: int) -> None:
        """Run the last round, which ends messages that cannot wait `pause` nanoseconds for a decision."""
        self.recovery.stop_deciding(pause)

    def hand_over(self) -> None:
        """Start no further call and hand messages over to the other process.

        This method is to be called repeatedly until the process ends.
        """
        self.recovery.hand_over()

    # State and metrics for operators.

    def state(self) -> DispatcherState:
        """Return the phase, the number of held messages and its maximum."""
        if not self.sending:
            phase = Phase.DOWN
        elif self.draining:
            phase = Phase.DRAINING
        else:
            phase = Phase.READY if self.accepting else Phase.STARTING
        return DispatcherState(phase, len(self.messages), self.settings.max_messages)

    def metrics_snapshot(self) -> dict[str, Any]:
        """Return the metrics for operators; counters of messages and calls start at 0 with the process."""
        return {
            "responses": self.metrics.snapshot(),
            "tries": sum(counters.attempts for counters in self.metrics.classes),
            "active": len(self.messages) - len(self.journal.handed_over),
            "pool_size": len(self.pool.endpoints),
            "pool_ejected": ejected_endpoints(self.policy, self.scheduler.now()),
        }
