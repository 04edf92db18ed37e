"""The dispatcher: it feeds events to the delivery policy and carries out its actions through ports.

It deals in messages, attempts and outcomes and knows no protocol. Clock and timers are passed in, so that
tests run it in virtual time. Times are Unix times in nanoseconds, durations nanoseconds.
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
from honeyhitch.policy.events import ConnectionCapacity, EndpointListUpdate, Event, RetryAfterReceived
from honeyhitch.policy.health import ejected_endpoints
from honeyhitch.policy.settings import Settings


class Dispatcher(DispatcherContext):
    """One policy, the messages held, and the ports; all frontends share it.

    What other packages call; the work is done by the other modules of this package.
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
        """Accept a message or reject it at once; one that is held already is not accepted twice."""
        return self.admission.submit(transaction)

    def submit_resend(self, transaction: Transaction) -> bool:
        """Write a resend down; the policy hears of it by `release`, once the store has claimed it."""
        return self.admission.submit_resend(transaction)

    def release(self, transaction: Transaction) -> None:
        """Give a message that waited for the store of dead letters to the policy."""
        self.admission.release(transaction)

    def conclude(self, transaction: Transaction, ending: Ending, retry_after: int = 0) -> None:
        """End a message that is undecided so; whatever the policy still planned for it is dropped."""
        self.endings.conclude(transaction, ending, retry_after)

    def withdraw(self, name: str) -> None:
        """The client wants the message no longer: no further attempt is made, and no answer is sent."""
        self.endings.withdraw(name)

    def return_unattempted(self, destination: int, retry_after: int) -> None:
        """Reject what was certainly never executed at a destination that another instance owns now."""
        self.admission.return_unattempted(destination, retry_after)

    def answer_sent(self, transaction: Transaction) -> None:
        """A frontend sent the final answer."""
        self.endings.answer_sent(transaction)

    def dead_letter_stored(self, transaction: Transaction) -> None:
        """The store has a dead letter, or has discarded it."""
        self.endings.dead_letter_stored(transaction)

    # Calls.

    def start_call(self, call: Call) -> bool:
        """The last check, right before the first byte of a call: whether any message of it may start."""
        return self.calls.start_call(call)

    def call_written(self, call: Call) -> None:
        """The last byte of a call was passed to its connection."""
        self.metrics.call_written(call.messages)

    def call_ended(self, call: Call, result: CallResult) -> None:
        """A call ended; each one started ends once."""
        self.outcomes.call_ended(call, result)

    def retry_after_received(self, endpoint: PoolEndpoint, duration: int) -> None:
        """An endpoint asked to be left alone for so many nanoseconds, or not, at 0."""
        self.outcomes.retry_after_received(endpoint, duration)

    # What the policy must know of endpoints.

    def apply_list_update(self, update: EndpointListUpdate) -> None:
        """The pool changed; a Retry-After also outlasts the time for which its endpoint was not listed."""
        self.event_queue.enqueue(update)
        now = self.scheduler.now()
        retry_after_until = self.journal.retry_after_until
        for (destination, name), until in list(retry_after_until.items()):
            if until <= now:
                del retry_after_until[destination, name]
            elif name in self.pool.endpoints:
                self.event_queue.enqueue(RetryAfterReceived(destination, name, until))

    def apply_retry_after(self, events: list[Event]) -> None:
        """What another process of this dispatcher received before it ended."""
        for event in events:
            self.event_queue.enqueue(event)

    def apply_connection_capacity(self, capacity: ConnectionCapacity) -> None:
        """The connections to an endpoint that takes calls on open connections alone changed."""
        self.event_queue.enqueue(capacity)

    # Start, shutdown and hand-over.

    def recover(self) -> None:
        """After a start: resume the messages of the journal, and give the store its dead letters."""
        self.recovery.recover()

    def take_over(self, pending: list[Transaction], dead_letters: list[Transaction]) -> None:
        """Resume what a process left: it is in the journal, and no other process resumes it."""
        self.recovery.take_over(pending, dead_letters)

    def stop_deciding(self, pause: int) -> None:
        """Run the last round: what cannot outlive so many nanoseconds without decisions ends in it."""
        self.recovery.stop_deciding(pause)

    def hand_over(self) -> None:
        """Start nothing more and leave the rest to the other process; to be called again until the end."""
        self.recovery.hand_over()

    # What operators see.

    def state(self) -> DispatcherState:
        """Whether new messages are accepted, and how many are held."""
        if not self.sending:
            phase = Phase.DOWN
        elif self.draining:
            phase = Phase.DRAINING
        else:
            phase = Phase.READY if self.accepting else Phase.STARTING
        return DispatcherState(phase, len(self.messages), self.settings.max_messages)

    def metrics_snapshot(self) -> dict[str, Any]:
        """The metrics as operators read them; those of messages and calls start at 0 with the process."""
        return {
            "responses": self.metrics.snapshot(),
            "tries": sum(counters.attempts for counters in self.metrics.classes),
            "active": len(self.messages) - len(self.journal.handed_over),
            "pool_size": len(self.pool.endpoints),
            "pool_ejected": ejected_endpoints(self.policy, self.scheduler.now()),
        }
