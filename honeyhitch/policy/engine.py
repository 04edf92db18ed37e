"""The delivery policy: which message is sent where and when, and when delivery is abandoned.

It has no I/O and no clock: the caller passes in events with the time and carries out the returned actions.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any, NamedTuple

from honeyhitch.policy.actions import (
    Action,
    Cancel,
    CloseIdleConnections,
    Fail,
    OpenConnections,
    Reject,
    Send,
    SetTimer,
    Subscribe,
)
from honeyhitch.policy.attempt_learning import (
    learn_from_outcome,
    reduce_messages_per_call,
    reflects_destination_health,
)
from honeyhitch.policy.backoff import (
    BACKOFF_STEPS,
    MAX_ATTEMPTS,
    SubscribeBackoff,
    backoff_pause,
    shortest_useful_pause,
)
from honeyhitch.policy.call_terms import attempt_timeout, may_share_call
from honeyhitch.policy.endpoint_call import EndpointCall
from honeyhitch.policy.endpoint_choice import calls_needing_connections, choose_endpoint
from honeyhitch.policy.endpoint_list import EndpointList
from honeyhitch.policy.endpoint_state import EndpointState
from honeyhitch.policy.events import (
    AttemptEnded,
    ConnectionCapacity,
    EndpointListUpdate,
    Event,
    MessageWithdrawn,
    NewMessage,
    OutageKnown,
    Outcome,
    RetryAfterReceived,
    ShutdownStarted,
    TimerFired,
    UpdateMode,
)
from honeyhitch.policy.idle_connections import IdleConnections
from honeyhitch.policy.message import Execution, MessageDestination, PendingMessage
from honeyhitch.policy.ordering import ORDER_BLOCKING_OUTCOMES, OrderedQueue
from honeyhitch.policy.settings import Settings
from honeyhitch.policy.tenant_quotas import TenantQuotas
from honeyhitch.policy.timers import Scheduler
from honeyhitch.time_units import NEVER


class SendCandidate(NamedTuple):
    """A message that may be sent to an endpoint now; the lowest in tuple order is sent first."""

    negative_value: float  # negated value per slot time, divided by 1 + the destination's calls in flight
    sequence: int
    message: PendingMessage
    endpoint: EndpointState


class DeliveryPolicy:
    """The delivery decisions of one instance. Times and durations are integer nanoseconds."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.rng = Random(seed)
        self.now = 0
        self.max_attempts = min(MAX_ATTEMPTS, settings.max_attempts)
        self.deadline_margin = 2 * settings.resolution
        self.messages: dict[str, PendingMessage] = {}
        self.endpoint_list = EndpointList(settings, self.rng)
        self.destinations = self.endpoint_list.destinations
        self.ordered_queues: dict[int, OrderedQueue] = {}
        self.dispatchable: dict[
            MessageDestination, None
        ] = {}  # destinations that may have messages ready to send
        self.idle_connections = IdleConnections(settings.instance_count, self.rng)
        self.scheduler = Scheduler()
        self.concurrent_calls = 0
        self._timer_at = NEVER
        self._sequence = count()
        self._subscribe_backoff = SubscribeBackoff(self.rng)
        self._tenant_quotas = TenantQuotas(settings)
        self._actions: list[Action] = []
        self._handlers: dict[type, Callable[[Any], None]] = {
            NewMessage: self._on_new_message,
            EndpointListUpdate: self._on_list_update,
            AttemptEnded: self._on_attempt_ended,
            MessageWithdrawn: self._on_withdrawn,
            TimerFired: self._on_timer,
            ConnectionCapacity: self._on_connection_capacity,
            RetryAfterReceived: self._on_retry_after,
            OutageKnown: self._on_outage_known,
            ShutdownStarted: self._on_shutdown,
        }
        if settings.must_subscribe:
            self.scheduler.schedule(0, self._append_action, Subscribe())

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        """Handle the events at time `now`; return the actions, which are to be carried out in their order."""
        self.now = now
        self._actions = []
        if self.endpoint_list.has_grown:
            in_use = {message.destination for message in self.messages.values()}
            self.endpoint_list.drop_unused(in_use, now)
        for event in events:
            self._handlers[type(event)](event)
        self.scheduler.run_due(now)
        self._send_all()
        for name in self.idle_connections.take_endpoints_to_close(now):
            self._actions.append(CloseIdleConnections(name))
        self._actions += self.endpoint_list.take_health_reports()
        next_at = self.scheduler.next_at
        if next_at < self._timer_at:
            self._timer_at = next_at
            self._actions.append(SetTimer(next_at))
        return self._actions

    def may_start(self, now: int, name: str) -> bool:
        """Return whether the call that carries a message may still start, just before its first byte.

        The check covers what happened since the Send (rules 1 to 5). The message must not have ended, and
        must have enough time left before its deadline and the end of its deduplication window. The endpoint
        must still be listed, must not be under Retry-After, and must not have been ejected since the Send.
        """
        message = self.messages[name]
        call = message.call
        if call is None or message.ended or not call.endpoint.listed:
            return False
        state = call.endpoint.state
        if not state.retry_after_until <= now < self._attempt_cutoff(message):
            return False
        return not (state.circuit.ejected and state.circuit.last_ejection_at > call.sent_at)

    def limit_concurrent_calls(self, max_concurrent_calls: int) -> None:
        """Use at most `max_concurrent_calls` slots from now on."""
        self.settings = replace(self.settings, max_concurrent_calls=max_concurrent_calls)

    def _on_timer(self, _: TimerFired) -> None:
        self._timer_at = NEVER  # if the timer fired early, it is requested again

    def _on_list_update(self, event: EndpointListUpdate) -> None:
        if event.mode is UpdateMode.FAILED:
            pause = self._subscribe_backoff.next_pause()
            self.scheduler.schedule(self.now + pause, self._append_action, Subscribe())
        else:
            self._subscribe_backoff.reset()
        for destination in self.endpoint_list.apply(event):
            self.dispatchable[destination] = None

    def _on_connection_capacity(self, event: ConnectionCapacity) -> None:
        """Update an endpoint's capacity; count a failed connect as a failure, although it is no attempt."""
        destination = self.destinations.get(event.destination)
        endpoint = destination.endpoints.get(event.endpoint) if destination is not None else None
        if destination is None or endpoint is None:
            return
        endpoint.capacity = event.capacity
        endpoint.connect_blocked_until = self.now + event.connect_blocked_for
        self.dispatchable[destination] = None
        if event.connect_failed:
            endpoint.state.connection_failures.record(self.now, True)
            endpoint.state.circuit.call_failures.record(self.now, True)
            for class_index in range(len(self.settings.classes)):
                endpoint.record_class_outcome(self.now, class_index, True)
            failed_connect = EndpointCall(endpoint, self.now - event.elapsed)
            endpoint.state.record_failure(self.now, failed_connect, rejected=False, retry_after=0)

    def _on_retry_after(self, event: RetryAfterReceived) -> None:
        destination = self.destinations.get(event.destination)
        if destination is None:
            return
        endpoint = destination.endpoints.get(event.endpoint)
        # A Retry-After from an endpoint that is gone applies to all remaining endpoints of its destination.
        affected_endpoints = [endpoint] if endpoint else destination.endpoints.values()
        for affected_endpoint in affected_endpoints:
            affected_endpoint.state.honor_retry_after(event.until)
        self.dispatchable[destination] = None

    def _on_outage_known(self, event: OutageKnown) -> None:
        destination = self.destinations.get(event.destination)
        if destination is None:
            return
        endpoint = destination.endpoints.get(event.endpoint)
        state = endpoint.state if endpoint is not None else destination.state
        # Health is shared or not by the settings, which may differ from those of the other process.
        if state is not None and state.owner.endpoint == event.endpoint:
            state.restore(self.now, event.history)
            self.dispatchable[destination] = None

    def _on_shutdown(self, event: ShutdownStarted) -> None:
        self._give_up_blocked(self.now + event.pause)

    def _on_new_message(self, event: NewMessage) -> None:
        destination = self.endpoint_list.destination(event.destination)
        message = PendingMessage(event, self.settings.classes[event.class_index], destination, self.now)
        if self.settings.tenant_rates and not event.low_priority:
            message.priority_weight *= self._tenant_quotas.weight(event.tenant, self.now)
        self.messages[message.id] = message
        attempted_before = message.attempts or message.possible_executions
        if attempted_before and not message.may_attempt(self.now, self.max_attempts):
            self._give_up(message)
        elif message.ordering_key is not None:
            self.scheduler.schedule(self._attempt_cutoff(message), self._expire, message)
            self.ordered_queues.setdefault(message.ordering_key, OrderedQueue()).messages.append(message)
            self._advance_ordered(message.ordering_key)
        else:
            self._enqueue(message)

    def _on_withdrawn(self, event: MessageWithdrawn) -> None:
        message = self.messages.get(event.message)
        if message is None or message.ended:
            return
        if message.call is not None and self.settings.can_cancel:
            self._actions.append(Cancel(message.id, message.attempts - 1))
        self._end_message(message)

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        message = self.messages.get(event.message)
        if message is None or message.call is None or event.attempt != message.attempts - 1:
            return  # a late or repeated event
        call = message.call
        message.call = None
        self._release_slot(call, message.destination)
        if event.outcome.proves_not_executed:
            message.possible_executions.pop()
        if event.not_started:
            message.attempts -= 1
        if message.ordering_key in self.ordered_queues and event.outcome in ORDER_BLOCKING_OUTCOMES:
            ordered_queue = self.ordered_queues[message.ordering_key]
            ordered_queue.blocked_until = self.now + self.settings.ordering_pause
        if event.outcome is Outcome.DELIVERED:
            call.any_delivered = True
        reduce_messages_per_call(event, call)
        if reflects_destination_health(event, call):
            self._learn_from_attempt(event, call, message)
        self.dispatchable[message.destination] = None
        self.idle_connections.add(call.endpoint)
        if message.ended or event.message_concluded:
            self._end_message(message)
        else:
            self._retry(message, event, call)

    def _append_action(self, action: Action) -> None:
        self._actions.append(action)

    def _enqueue(self, message: PendingMessage) -> None:
        """Queue a message for sending; give it up if its destination is blocked for too long."""
        destination = message.destination
        destination.backing_off.pop(message, None)
        cutoff = self._attempt_cutoff(message)
        if destination.blocked_until() >= cutoff:
            self._give_up(message)
            return
        self.scheduler.schedule(cutoff, self._expire, message)
        destination.enqueue(message, next(self._sequence))
        self.dispatchable[destination] = None

    def _advance_ordered(self, key: int) -> None:
        """Queue the head of an ordering key once earlier messages ended and the pause is over (rule 5)."""
        ordered_queue = self.ordered_queues.get(key)
        if ordered_queue is None:
            return
        ordered_queue.drop_concluded()
        if ordered_queue.blocked_until > self.now:
            self.scheduler.schedule(ordered_queue.blocked_until, self._advance_ordered, key)
        elif not ordered_queue.messages:
            del self.ordered_queues[key]
        elif (head := ordered_queue.startable_head()) is not None:
            self._enqueue(head)

    def _attempt_cutoff(self, message: PendingMessage) -> int:
        """Return the time from which an attempt is too late to get a response in time."""
        state = message.destination.state
        useful_time = state.latency.min_useful_time() if state else 0
        return message.attempts_allowed_until() - self.deadline_margin - useful_time

    def _expire(self, message: PendingMessage) -> None:
        if message.ended or message.call is not None:
            return
        cutoff = self._attempt_cutoff(message)
        if self.now >= cutoff:
            self._give_up(message)
        else:
            self.scheduler.schedule(cutoff, self._expire, message)

    def _give_up_blocked(self, blocked_until: int, destination: MessageDestination | None = None) -> None:
        """Give up the messages of one destination, or of all, that cannot be sent after `blocked_until`."""
        for message in list(self.messages.values()):
            affected = destination is None or message.destination is destination
            if not affected or message.ended or message.call is not None:
                continue
            if blocked_until >= self._attempt_cutoff(message):
                self._give_up(message)

    def _give_up(self, message: PendingMessage) -> None:
        """End a message with a rejection if submitting it again is harmless, else with a failure (rule 2)."""
        if message.may_reject():
            retry_after = 0
            if self.settings.sends_retry_after:
                estimate = message.destination.recovery_estimate() - self.now
                retry_after = min(max(BACKOFF_STEPS[0], estimate), self.settings.max_retry_after)
            self._actions.append(Reject(message.id, retry_after))
        else:
            self._actions.append(Fail(message.id))
        self._end_message(message)

    def _end_message(self, message: PendingMessage) -> None:
        message.destination.backing_off.pop(message, None)
        message.ended = True
        message.queued = False
        if message.call is None:
            del self.messages[message.id]
            if message.ordering_key is not None:
                self._advance_ordered(message.ordering_key)

    def _retry(self, message: PendingMessage, event: AttemptEnded, call: EndpointCall) -> None:
        """Schedule the next attempt, or give up.

        The pause is the Retry-After if there is one, else a backoff. A backoff is shortened to the time left
        if the time left exceeds the preceding backoff step, or if it is too early to give the message up. An
        attempt that was not started is repeated without a pause.
        """
        if event.not_started:
            self._enqueue(message)
            return
        rejected = event.outcome is Outcome.REJECTED and not event.connection_limited
        shortest_pause = shortest_useful_pause(message.failures)
        pause = backoff_pause(message.failures, rejected, self.rng)
        message.failures += 1
        state = call.endpoint.state
        time_left = message.attempts_allowed_until() - int(2 * state.latency.mean) - self.now
        if event.retry_after:
            pause = max(event.retry_after, state.retry_after_until - self.now)
        elif pause > time_left > (0 if message.too_early_to_give_up(self.now) else shortest_pause):
            pause = time_left
        if pause > time_left or not message.may_attempt(self.now, self.max_attempts):
            self._give_up(message)
        else:
            message.destination.backing_off[message] = None
            self.scheduler.schedule(self.now + pause, self._end_backoff, message)

    def _end_backoff(self, message: PendingMessage) -> None:
        if message in message.destination.backing_off:
            self._enqueue(message)

    def _learn_from_attempt(self, event: AttemptEnded, call: EndpointCall, message: PendingMessage) -> None:
        endpoint = call.endpoint
        if event.connection_limited or event.outcome is Outcome.CONNECT_FAILED:
            endpoint.state.connection_failures.record(self.now, True)
            self.idle_connections.add_kind(self.endpoint_list.endpoints(), endpoint.state.connection_failures)
        if event.connection_limited:
            endpoint.back_off_connecting(self.now, self.settings.instance_count, self.rng)
            endpoint.state.record_connection_limit(self.now, call)
        elif learn_from_outcome(event, call, message, self.now):
            for waiting in list(message.destination.backing_off):  # no backoff is needed after the recovery
                self._enqueue(waiting)

    def _send_all(self) -> None:
        """Fill free slots with the messages of the highest value per slot time, shared among destinations."""
        candidates: list[SendCandidate] = []
        if self.concurrent_calls < self.settings.max_concurrent_calls:
            for destination in list(self.dispatchable):
                self._add_best_candidate(destination, candidates)
        while candidates and self.concurrent_calls < self.settings.max_concurrent_calls:
            candidate = heappop(candidates)
            self._send(candidate.message, candidate.endpoint)
            self._add_best_candidate(candidate.message.destination, candidates)

    def _add_best_candidate(self, destination: MessageDestination, candidates: list[SendCandidate]) -> None:
        """Add the most valuable message that may be sent to a destination now, or schedule a later check."""
        now = self.now
        destination_candidates: list[SendCandidate] = []
        check_at = NEVER
        for queue in destination.queues.values():
            message = queue.head(now)
            if message is None:
                continue
            endpoint, ready_at, connect_to = choose_endpoint(message, now, self.settings)
            check_at = min(check_at, ready_at)
            if connect_to is not None:
                calls = calls_needing_connections(destination, connect_to, now, self.settings)
                self._actions.append(OpenConnections(connect_to.name, calls))
            if endpoint is not None:
                latency = endpoint.state.latency.mean
                value = message.value(now + int(latency), self.settings.late_decay)
                value_per_slot_time = value / latency / (1 + destination.concurrent_calls)
                destination_candidates.append(
                    SendCandidate(-value_per_slot_time, next(self._sequence), message, endpoint)
                )
        if destination_candidates:
            heappush(candidates, min(destination_candidates))
        else:
            self._schedule_check(destination, check_at)

    def _schedule_check(self, destination: MessageDestination, check_at: int) -> None:
        """Skip a destination until `check_at` or an event that concerns it, instead of checking each time."""
        del self.dispatchable[destination]
        blocked_until = destination.blocked_until()
        if self.now < blocked_until != destination.reported_blocked_until:
            destination.reported_blocked_until = blocked_until
            self._give_up_blocked(blocked_until, destination)
        already_scheduled = self.now < destination.next_check_at <= check_at
        if check_at < NEVER and not already_scheduled:
            destination.next_check_at = check_at
            self.scheduler.schedule(check_at, self._mark_dispatchable, destination)

    def _mark_dispatchable(self, destination: MessageDestination) -> None:
        self.dispatchable[destination] = None

    def _send(self, message: PendingMessage, endpoint: EndpointState) -> None:
        """Start a call with this message, and with further messages where a call takes several."""
        destination = message.destination
        state = endpoint.state
        call = EndpointCall(endpoint, self.now)
        self._occupy_slot(call, destination)
        self._start_attempt(message, call)
        if state.circuit.ejected:  # a probe
            return
        max_messages = min(destination.max_messages_per_call, state.max_messages_per_call)
        for queue in destination.queues.values():
            while call.pending_messages < max_messages:
                other = queue.head(self.now)
                if other is None or not may_share_call(message, other, endpoint.zone, self.now):
                    break
                call.add_message()
                self._start_attempt(other, call)

    def _occupy_slot(self, call: EndpointCall, destination: MessageDestination) -> None:
        endpoint = call.endpoint
        self.concurrent_calls += 1
        destination.concurrent_calls += 1
        endpoint.concurrent_calls += 1
        endpoint.last_used_at = self.now
        endpoint.state.last_sent_at = self.now
        endpoint.state.calls_in_flight[call] = None

    def _release_slot(self, call: EndpointCall, destination: MessageDestination) -> None:
        """Count one message of a call as ended; release the slot after the last one."""
        call.pending_messages -= 1
        if call.pending_messages == 0:
            self.concurrent_calls -= 1
            destination.concurrent_calls -= 1
            call.endpoint.concurrent_calls -= 1
            del call.endpoint.state.calls_in_flight[call]

    def _start_attempt(self, message: PendingMessage, call: EndpointCall) -> None:
        endpoint = call.endpoint
        time_left = message.deadline - self.deadline_margin - self.now
        timeout = attempt_timeout(message, endpoint.state.latency, self.settings, time_left)
        self._actions.append(Send(message.id, endpoint.name, timeout))
        message.possible_executions.append(Execution(self.now, endpoint.zone))
        message.call = call
        message.queued = False
        message.last_endpoint = endpoint.name
        message.attempts += 1
