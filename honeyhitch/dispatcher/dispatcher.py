"""The core: it feeds events to the module and carries out its actions through ports.

It deals in transactions, attempts and outcomes and knows no wire. Clock and timers are passed in, so that
tests run it in virtual time. Times are Unix times in nanoseconds.
"""

from __future__ import annotations

from typing import Any

from honeyhitch import logs
from honeyhitch.dispatcher.delivery import Admission, Call, CallResult, DispatcherState, Phase
from honeyhitch.dispatcher.metrics import Metrics
from honeyhitch.dispatcher.ports import (
    ArrivalDecision,
    ConnectionOpener,
    DeadLetterSink,
    Frontend,
    PeerProcess,
    QuotaSource,
    ResendCoordinator,
    Scheduler,
    Transport,
)
from honeyhitch.endpoints.pool import EndpointPool, PoolEndpoint
from honeyhitch.journal.journal import Journal, JournalFullError
from honeyhitch.journal.transactions import RESEND_FRONTEND, Attempt, Ending, Execution, Transaction
from honeyhitch.policy.actions import (
    Cancel,
    CloseIdleConnections,
    Fail,
    OpenConnections,
    Reject,
    Send,
    SetTimer,
    Subscribe,
)
from honeyhitch.policy.engine import DeliveryPolicy
from honeyhitch.policy.events import (
    AttemptEnded,
    ConnectionCapacity,
    EndpointListUpdate,
    Event,
    MessageWithdrawn,
    NewMessage,
    Outcome,
    RetryAfterReceived,
    ShutdownStarted,
    TimerFired,
)
from honeyhitch.policy.health import ejected_endpoints
from honeyhitch.policy.settings import Idempotency, Settings

log = logs.get()
MS = 1_000_000  # ns
NEVER = 1 << 62  # ns
SHARE_PAUSE = 250 * MS  # ns between looks whether a share of a limit is held again
BUSY_RETRY_AFTER = 500 * MS  # ns; told to clients that are turned away before the module


class Dispatcher:
    """One Brain, the transactions held, and the ports; all fronts share it."""

    def __init__(
        self, settings: Settings, seed: int, pool: EndpointPool, journal: Journal, scheduler: Scheduler
    ) -> None:
        self.settings, self.pool, self.journal, self.scheduler = settings, pool, journal, scheduler
        self.policy, self.messages = DeliveryPolicy(settings, seed), journal.messages
        self.metrics = Metrics(cls.name for cls in settings.classes)
        self.transports: dict[str, Transport] = {}
        self.connection_openers: dict[str, ConnectionOpener] = {}
        self.frontends: dict[str, Frontend] = {}
        self.dead_letter_sink: DeadLetterSink | None = None
        self.resend_coordinator: ResendCoordinator | None = None
        self.peer_process: PeerProcess | None = None
        self.quota_source: QuotaSource | None = None
        self.events: list[Event | Transaction] = []
        self.has_normal_priority_event = False  # one of them is not behind others
        self.calls_in_flight: dict[str, Call] = {}  # calls out, by the id of each transaction in them
        self.next_round_at, self.last_round_at, self.last_normal_priority_round_at = (
            NEVER,
            0,
            0,
        )  # the last: of a round with live events
        self.accepting, self.sending, self.draining = True, True, False

    # What comes in.

    def recover(self) -> None:
        """After a start: give the module each owed transaction with its attempts so far, and the keeper what
        it has not taken over yet.
        """
        owed = [one for one in self.messages.by_id.values() if one.id not in self.journal.handed_over]
        self.take_over(owed, list(self.messages.pending_dead_letters.values()))

    def take_over(self, owed: list[Transaction], unmoved: list[Transaction]) -> None:
        """Go on with what a process left: it is in the journal, and nobody else goes on with it."""
        if unmoved and self.dead_letter_sink is None:
            log.warning(
                "dead-letter.store-missing", waiting=len(unmoved)
            )  # they stay for a start with a keeper
        if self.dead_letter_sink is not None:
            for transaction in unmoved:
                self.dead_letter_sink.store(transaction)
        # Resends first: what came later may be a copy of one.
        for transaction in sorted(owed, key=lambda one: one.frontend != RESEND_FRONTEND):
            if transaction.ending is not None:  # decided already; only its answer may not have been sent
                self._answer(transaction)
                if (
                    transaction.is_dead_letter
                    and not transaction.dead_letter_stored
                    and self.dead_letter_sink is not None
                ):
                    self.dead_letter_sink.store(transaction)
            elif transaction.frontend != RESEND_FRONTEND:
                transaction.recovered_from_journal = True  # its age is not that of this process
                self._admit(transaction)
            elif self.resend_coordinator is not None:
                self.resend_coordinator.recover_resend(transaction)
            else:  # the store, where it is missed, will take it for one that may have run
                log.warning("dead-letter.store-missing", resend=transaction.id)
                self.journal.record_end(transaction, Ending.UNANSWERED)

    def submit(self, transaction: Transaction) -> Admission:
        """Take a transaction on, or reject it at once; one that is held already is not taken twice."""
        if self.journal.has_accepted(transaction.id):
            return Admission(True)
        if self.peer_process is not None and self.peer_process.has_accepted(transaction.id):
            return Admission(True)
        if not self.accepting or len(self.messages) >= self.settings.max_messages:
            return self._reject(transaction)
        transaction.accepted_at = self.scheduler.now()
        try:
            self.journal.record_accepted(transaction)
        except JournalFullError as error:
            log.warning("journal.full", what="message", error=str(error))
            return self._reject(transaction)
        now = self.scheduler.now()
        if (
            transaction.frontend != "resp"
            and self._has_idempotency_key(transaction)
            and self.messages.first_execution_of_key(transaction, now)
        ):
            self._conclude_as_delivered(transaction)  # as the receiver would say of a repeat
        else:
            self._admit(transaction)
        return Admission(True)

    def _reject(self, transaction: Transaction) -> Admission:
        self.metrics.message_rejected(transaction)
        return Admission(False, BUSY_RETRY_AFTER)

    def submit_resend(self, transaction: Transaction) -> bool:
        """Write a resend down; it goes to the module by `go_on` once the store has claimed it."""
        full = len(self.messages) >= self.settings.max_messages
        if full or not self.accepting or self.journal.has_accepted(transaction.id):
            return False
        transaction.accepted_at = self.scheduler.now()
        try:
            self.journal.record_accepted(transaction)
        except JournalFullError:
            return False
        return True

    def _admit(self, transaction: Transaction) -> None:
        match (
            self.resend_coordinator.decide_arrival(transaction)
            if self.resend_coordinator is not None
            else ArrivalDecision.DELIVER
        ):
            case ArrivalDecision.DELIVER:
                self._enqueue_event(transaction)
            case ArrivalDecision.ALREADY_DELIVERED:
                self._conclude_as_delivered(transaction)

    def _conclude_as_delivered(self, transaction: Transaction) -> None:
        """It has been delivered already; the caller hears first that it was taken."""
        name = transaction.id
        self.scheduler.call_at(
            self.scheduler.now(), lambda: self._apply_final_answer(name, Ending.DELIVERED, 0)
        )

    def release(self, transaction: Transaction) -> None:
        """It need not wait any longer."""
        if self._undecided(transaction.id):
            self._enqueue_event(transaction, low_priority=transaction.frontend == RESEND_FRONTEND)

    def conclude(self, transaction: Transaction, ending: Ending, retry_after: int = 0) -> None:
        """It ends so; whatever the module still had in mind for it is left out."""
        if self._undecided(transaction.id):
            self._conclude(transaction, ending, retry_after)
            self._enqueue_event(
                MessageWithdrawn(transaction.id), low_priority=transaction.frontend == RESEND_FRONTEND
            )

    def _undecided(self, name: str) -> Transaction | None:
        """The transaction of this name, if its end is still this process's to decide."""
        found = self.messages.by_id.get(name)
        return found if found and found.ending is None and name not in self.journal.handed_over else None

    def _has_idempotency_key(self, transaction: Transaction) -> bool:
        return (
            bool(transaction.key)
            and self.settings.classes[transaction.class_index].idempotency is Idempotency.IDEMPOTENCY_KEY
        )

    def _new_message(self, transaction: Transaction) -> NewMessage:
        first = transaction.first_possible_execution()
        if first is None and self._has_idempotency_key(
            transaction
        ):  # a copy must keep to the window of the first
            first = self.messages.first_execution_of_key(transaction, self.last_round_at)
        if transaction.earlier_execution is not None:
            earlier = Execution(*transaction.earlier_execution)
            first = min(first or earlier, earlier)
        return NewMessage(
            message=transaction.id,
            class_index=transaction.class_index,
            destination=transaction.destination,
            time_left=transaction.deadline
            - self.last_round_at,  # from the round's time, which the module adds
            tenant=transaction.tenant,
            recovered_from_journal=transaction.recovered_from_journal,
            attempts=transaction.attempt_count,
            first_possible_execution=first[0] if first else None,
            first_execution_zone=first[1] if first else 0,
            low_priority=transaction.frontend == RESEND_FRONTEND,
        )

    def withdraw(self, name: str) -> None:
        """Nobody wants it any more: nothing further is tried, and no answer is sent."""
        transaction = self._undecided(name)
        if transaction is not None:
            self.journal.record_end(transaction, Ending.UNANSWERED)
            self._enqueue_event(MessageWithdrawn(name))
            if self.resend_coordinator is not None:
                self.resend_coordinator.message_concluded(transaction)

    def state(self) -> DispatcherState:
        """How it stands to new work."""
        if self.draining or not self.sending:
            phase = Phase.DRAINING if self.sending else Phase.DOWN
        else:
            phase = Phase.READY if self.accepting else Phase.STARTING
        return DispatcherState(phase, len(self.messages), self.settings.max_messages)

    def metrics_snapshot(self) -> dict[str, Any]:
        """The figures as operators read them; those of messages and calls begin at 0 with the process."""
        return {
            "responses": self.metrics.snapshot(),
            "tries": sum(one.tries for one in self.metrics.classes),
            "active": len(self.messages) - len(self.journal.handed_over),
            "pool_size": len(self.pool.endpoints),
            "pool_ejected": ejected_endpoints(self.policy, self.scheduler.now()),
        }

    def apply_list_update(self, update: EndpointListUpdate) -> None:
        """The pool changed. Waits that its members told last, also over a member's coming back."""
        self._enqueue_event(update)
        waits, now = self.journal.retry_after_until, self.scheduler.now()
        for (destination, name), until in list(waits.items()):
            if until <= now:
                del waits[destination, name]
            elif name in self.pool.endpoints:
                self._enqueue_event(RetryAfterReceived(destination, name, until))

    def apply_retry_after(self, events: list[Event]) -> None:
        """What another process of this dispatcher was told before it ended."""
        for event in events:
            self._enqueue_event(event)

    def apply_connection_capacity(self, capacity: ConnectionCapacity) -> None:
        """The connections to a gated member changed."""
        self._enqueue_event(capacity)

    def start_call(self, call: Call) -> bool:
        """The last look, right before the first byte of a call: whether any of it goes.

        What goes is written down, and what must not go any more leaves the call, with no attempt used up. A
        connection takes time to come up, and meanwhile a wait may have been told, the member may drain or be
        at another address, or the process may have been told to stop.
        """
        now, listed = self.scheduler.now(), self.pool.endpoints.get(call.endpoint.id)
        told = call.endpoint
        there = listed is not None and (listed.address, listed.destination) == (
            told.address,
            told.destination,
        )
        there = there and self._has_quota(call.endpoint, now)
        for i, transaction in enumerate(call.messages):
            if call.pending[i] and not (
                self.sending and there and self.policy.may_start(now, transaction.id)
            ):
                self._message_not_started(call, i)
            elif call.pending[i]:
                try:
                    self.journal.record_attempt(transaction, now, call.endpoint.zone, call.endpoint.id)
                except JournalFullError as error:  # what cannot be written down must not be sent
                    log.warning("journal.full", what="attempt", error=str(error))
                    self._attempt_ended(call, i, Outcome.NOT_SENT, False, CallResult([]))
        goes = [i for i, is_open in enumerate(call.pending) if is_open]
        call.messages = [call.messages[i] for i in goes]
        call.attempt_numbers = [call.attempt_numbers[i] for i in goes]
        call.timeouts = [call.timeouts[i] for i in goes]
        call.pending, call.started = [True] * len(goes), True
        return bool(goes)

    def _has_quota(self, member: PoolEndpoint, now: int) -> bool:
        """Whether this instance holds a share of the limit; where not, the module looks again soon."""
        if self.quota_source is None or self.quota_source.quota_fraction(member.destination, now) > 0:
            return True
        self._enqueue_event(RetryAfterReceived(member.destination, member.id, now + SHARE_PAUSE))
        return False

    def return_unattempted(self, destination: int, retry_after: int) -> None:
        """Another instance owns a destination now: what surely never ran is rejected, as handing it in again
        reaches that one. What may have run, and calls that are out, keep to the module.
        """
        for transaction in list(self.messages.by_id.values()):
            untried = (
                transaction.first_possible_execution() is None and transaction.id not in self.calls_in_flight
            )
            if transaction.destination == destination and untried and transaction.frontend != RESEND_FRONTEND:
                self.conclude(transaction, Ending.REJECTED, retry_after)

    def call_written(self, call: Call) -> None:
        """The last byte of a call was handed to its connection."""
        self.metrics.call_written(call.messages)

    def call_ended(self, call: Call, result: CallResult) -> None:
        """A call ended; its slot is free.

        A call has one fate. Where its answer comes after one part's time, nobody can tell whether it counts
        for the others (docs/fleet-questions.md): they may have run, and that says nothing of health.
        """
        self.retry_after_received(call.endpoint, result.retry_after)
        if call.message_expired and Outcome.DELIVERED in (one for one, _ in result.outcomes):
            doubt = {(Outcome.DELIVERED, True): (Outcome.RESET, False)}
            result.outcomes, result.connection_stale = [doubt.get(one, one) for one in result.outcomes], True
        for i, (outcome, over) in enumerate(result.outcomes):
            if call.pending[i] and not call.started and not self.sending:
                self._message_not_started(call, i)  # it was called off, as the process is about to end
            elif call.pending[i]:
                self._attempt_ended(call, i, outcome, over, result)
        if not self.sending:
            self.transports[call.endpoint.transport].close_idle(call.endpoint)

    def retry_after_received(self, member: PoolEndpoint, wait: int) -> None:
        """A member told to wait so many nanoseconds, or not at 0. That binds its destination, whatever
        becomes of the messages of the call that brought it.
        """
        if wait:
            until = self.scheduler.now() + wait
            self.journal.record_retry_after(member.destination, member.id, until)
            self._enqueue_event(RetryAfterReceived(member.destination, member.id, until))

    def message_expired(self, call: Call, transaction: Transaction) -> None:
        """One part of a call that is still out is out of time; one that has not begun is left out of it."""
        for i, part in enumerate(call.messages):
            if part is transaction and call.pending[i]:
                if call.started:
                    call.message_expired = True
                    self._attempt_ended(call, i, Outcome.TIMEOUT, False, CallResult([]))
                else:
                    self._message_not_started(call, i)
                if not any(call.pending):  # nobody waits for its answer any more
                    self.transports[call.endpoint.transport].cancel(call)

    def _message_not_started(self, call: Call, i: int) -> None:
        self._attempt_ended(call, i, Outcome.NOT_SENT, False, CallResult([]), unused=True)

    def _attempt_ended(
        self, call: Call, i: int, outcome: Outcome, over: bool, result: CallResult, unused: bool = False
    ) -> None:
        transaction, number = call.messages[i], call.attempt_numbers[i]
        call.pending[i] = False
        self.calls_in_flight.pop(transaction.id, None)
        if outcome.proves_not_executed and not unused:
            self.journal.record_not_executed(transaction, number)
        if self.dead_letter_sink is not None and outcome is not Outcome.DELIVERED and not unused:
            took, wait = self.scheduler.now() - call.sent_at, result.retry_after
            told = Attempt(
                number, call.endpoint.id, call.sent_at, outcome.value, took, wait, result.failure_reason
            )
            self.journal.record_outcome(transaction, told)
        owed = self._undecided(transaction.id) is not None
        if over and owed:
            if outcome is Outcome.DELIVERED:
                self._conclude(transaction, Ending.DELIVERED, 0)
            else:
                self._conclude(transaction, Ending.UNANSWERED, 0)
        self._enqueue_event(
            AttemptEnded(
                message=transaction.id,
                attempt=number,
                endpoint=call.endpoint.id,
                outcome=outcome,
                elapsed=self.scheduler.now() - call.sent_at,
                message_concluded=over or not owed,
                retry_after=result.retry_after,
                limit_remaining=result.reported.get("x0", 1.0),
                rate_limit=result.reported.get("x1", 0.0) * self._quota_fraction(call.endpoint.destination),
                connection_stale=result.connection_stale,
                connection_limited=result.connection_limited,
                not_started=unused,
            ),
            low_priority=transaction.frontend == RESEND_FRONTEND,
        )
        if self.resend_coordinator is not None:
            self.resend_coordinator.attempt_ended(transaction, outcome)

    def _quota_fraction(self, destination: int) -> float:
        """Of a limit that is told; of a share that has just run out, nothing is sent by it in any case."""
        if self.quota_source is None:
            return 1.0
        return self.quota_source.quota_fraction(destination, self.scheduler.now()) or 1.0

    def stop_deciding(self, pause: int) -> None:
        """The last round: what cannot outlive so many nanoseconds without decisions is given up, and all else
        that is owed is the next process's, by the journal.
        """
        if self.sending:
            self._enqueue_event(ShutdownStarted(pause))
            self.next_round_at = self.scheduler.now()
            self._run_round(self.next_round_at)
            self._stop_sending()

    def hand_over(self) -> None:
        """Begin nothing more: calls that are out end here, as do notices, and all else is passed on to the
        other process. Members have few places for connections: none is kept here. To be called till the end.
        """
        if self.sending:
            self._stop_sending()
            for member in self.pool.endpoints.values():
                self.transports[member.transport].close_idle(member)
        passed, calls = self.journal.handed_over, {id(call) for call in self.calls_in_flight.values()}
        waits = [
            one
            for name, one in self.messages.by_id.items()
            if one.ending is None
            and one.frontend != RESEND_FRONTEND
            and name not in passed
            and name not in self.calls_in_flight
        ]
        try:
            self.journal.hand_over(waits, len(calls))
        except JournalFullError as error:  # the other one finds them once this process is gone
            log.warning("journal.full", what="passed", error=str(error))

    def _stop_sending(self) -> None:
        """Calls whose connection is not up yet are called off: they are untried."""
        self.sending = False
        for call in {id(call): call for call in self.calls_in_flight.values() if not call.started}.values():
            self.transports[call.endpoint.transport].cancel(call)

    # Rounds: events that come within one resolution are handled together, as in the simulator.

    def _enqueue_event(self, event: Event | Transaction, low_priority: bool = False) -> None:
        """Handle it in the next round. What is behind others does not put off the round after its own."""
        self.events.append(event)
        self.has_normal_priority_event = self.has_normal_priority_event or not low_priority
        last = self.last_round_at if low_priority else self.last_normal_priority_round_at
        at = max(self.scheduler.now(), last + self.settings.resolution)
        if at < self.next_round_at:
            self.next_round_at = at
            self.scheduler.call_at(at, lambda: self._run_round(at))

    def _run_round(self, at: int) -> None:
        now = self.scheduler.now()
        if at != self.next_round_at:  # an earlier round took the events that this one was to handle
            return
        self.next_round_at, self.last_round_at = NEVER, now
        self.last_normal_priority_round_at, self.has_normal_priority_event = (
            now if self.has_normal_priority_event else self.last_normal_priority_round_at,
            False,
        )
        came, self.events = self.events, []
        if not self.sending:  # the process is about to end: what is owed is the next one's, by the journal
            return
        sends: list[Send] = []
        events = [self._new_message(event) if isinstance(event, Transaction) else event for event in came]
        if self.peer_process is not None:
            events += (
                self.peer_process.retry_after_events()
            )  # after the list: a wait counts where its member is known
        for action in self.policy.handle(self.last_round_at, events):
            match action:
                case Send():
                    sends.append(action)
                case Reject(name, come_back):
                    self._apply_final_answer(name, Ending.REJECTED, come_back)
                case Fail(name):
                    self._apply_final_answer(name, Ending.FAILED, 0)
                case SetTimer(at):
                    self.scheduler.call_at(at, lambda: self._enqueue_event(TimerFired()))
                case Cancel(name, _):
                    if (call := self.calls_in_flight.get(name)) is not None:
                        self.transports[call.endpoint.transport].cancel(call)
                case CloseIdleConnections(name):
                    if (member := self.pool.endpoints.get(name)) is not None:
                        self.transports[member.transport].close_idle(member)
                case OpenConnections(name, calls):
                    if (member := self.pool.endpoints.get(name)) is not None:
                        self.connection_openers[member.transport].open(member, calls)
                case Subscribe():
                    pass  # the watch is always on
        self._send_all(sends)

    def _send_all(self, sends: list[Send]) -> None:
        """Sends of one round to one member travel together, as far as its kind allows."""
        groups: dict[str, list[Send]] = {}
        for send in sends:
            groups.setdefault(send.endpoint, []).append(send)
        for name, group in groups.items():
            member = self.pool.endpoints[name]
            most = self.settings.kind(member.kind).max_messages_per_call
            for at in range(0, len(group), most):
                self._send(member, group[at : at + most])

    def _send(self, member: PoolEndpoint, sends: list[Send]) -> None:
        now = self.scheduler.now()
        call = Call(member, [], [], [], now, [])
        for send in sends:
            transaction = self.messages.by_id[send.message]  # the module sends nothing that it ended
            call.messages.append(transaction)
            call.attempt_numbers.append(transaction.attempt_count)
            call.timeouts.append(send.timeout)
            call.pending.append(True)
            self.calls_in_flight[transaction.id] = call
        for part, timeout in zip(call.messages, call.timeouts, strict=True):
            if timeout < call.timeout:  # cut to its own deadline: the others may wait longer
                self.scheduler.call_at(now + timeout, lambda part=part: self.message_expired(call, part))  # type: ignore[misc]
        self.transports[member.transport].start(call)

    # Final answers.

    def _apply_final_answer(self, name: str, ending: Ending, come_back: int) -> None:
        transaction = self._undecided(name)
        if transaction is not None:
            self._conclude(transaction, ending, come_back)

    def _conclude(self, transaction: Transaction, ending: Ending, come_back: int) -> None:
        keep = (
            transaction.frontend != RESEND_FRONTEND
            and self.dead_letter_sink is not None
            and ending is not Ending.UNANSWERED
        )
        if keep and ending is Ending.DELIVERED:
            keep = self.resend_coordinator is not None and self.resend_coordinator.settles_dead_letter(
                transaction
            )
        elif keep and transaction.key:  # a copy that was delivered meanwhile leaves nothing to keep
            keep = self.messages.first_execution_of_key(transaction, self.scheduler.now()) is None
        silent = ending is Ending.UNANSWERED or (
            ending is Ending.DELIVERED and transaction.frontend == "resp"
        )
        self.metrics.message_concluded(transaction, ending)
        if keep or not silent:
            self.journal.record_decision(transaction, ending, come_back, keep)
        if silent:
            self.journal.record_end(transaction, ending)
        else:
            self._answer(transaction)
        if keep and self.dead_letter_sink is not None:
            self.dead_letter_sink.store(transaction)
        if self.resend_coordinator is not None:
            self.resend_coordinator.message_concluded(transaction)

    def dead_letter_stored(self, transaction: Transaction) -> None:
        """The keeper has it, or has let it go."""
        self.journal.record_dead_letter_stored(transaction)
        if self.resend_coordinator is not None:
            self.resend_coordinator.dead_letter_stored(transaction)

    def _answer(self, transaction: Transaction) -> None:
        front = self.frontends.get(transaction.frontend)
        if front is not None:
            front.answer(transaction)
        else:  # taken by a front that this process was started without: nobody can be told
            log.warning("answer.frontend-missing", message=transaction.id, front=transaction.frontend)
            self.answer_sent(transaction)

    def answer_sent(self, transaction: Transaction) -> None:
        """The final answer was sent."""
        if transaction.ending is not None:
            self.journal.record_end(transaction, transaction.ending)
