"""Every decision of honeyhitch. See `settings`, `events` and `actions` for its interface."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import replace
from heapq import heappop, heappush
from math import inf
from random import Random

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
from honeyhitch.policy.decaying_counter import DecayingCounter
from honeyhitch.policy.events import (
    AttemptEnded,
    ConnectionCapacity,
    EndpointListUpdate,
    EndpointStatus,
    Event,
    MessageWithdrawn,
    NewMessage,
    Outcome,
    RetryAfterReceived,
    ShutdownStarted,
    TimerFired,
    UpdateMode,
)
from honeyhitch.policy.message_queue import MessageQueue
from honeyhitch.policy.settings import Settings
from honeyhitch.policy.state import (
    ANSWERS_BEFORE_POOLING,
    ASK_GAP,
    ASK_MOST,
    ATTEMPTS,
    AVOID_STEPS,
    BACKOFF_STEPS,
    EJECTION_FAILURE_FRACTION,
    HEALTHY_SHARE,
    JITTER,
    LONG_FADE,
    LOW_ALLOWANCE,
    NEVER,
    REACH,
    RESTING,
    SECOND,
    SICK_SHARE,
    TABLE,
    TIGHT,
    TIMEOUT_FACTOR,
    TRIAL_SLACK,
    UNSAFE_ROOM,
    YIELD,
    Call,
    Destination,
    DestinationState,
    EndpointState,
    PendingMessage,
)

Offer = tuple[float, int, PendingMessage, EndpointState]


class DeliveryPolicy:
    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.rng, self.now = settings, Random(seed), 0
        self.max_attempts, self.deadline_margin = (
            min(ATTEMPTS, settings.max_attempts),
            2 * settings.resolution,
        )
        self.messages: dict[str, PendingMessage] = {}
        self.destinations: dict[int, Destination] = {}
        self.kinds = [(kind, DecayingCounter(LONG_FADE)) for kind in settings.kinds]
        self.ordered_queues: dict[
            int | None, tuple[deque[PendingMessage], list[int]]
        ] = {}  # a key's messages, its rest's end
        self.dispatchable: dict[Destination, None] = {}  # those with messages ready to go
        self.idle_candidates: dict[
            EndpointState, None
        ] = {}  # those that may hold a connection that nothing uses now
        self.scheduled: list[tuple[int, int, Callable[..., object], object]] = []
        self.sequence, self.concurrent_calls, self.timer_at, self.subscribe_pause = 0, 0, NEVER, ASK_GAP
        self.tenant_allowances = [(0.0, 0)] * len(settings.tenant_rates)
        self.actions: list[Action] = []
        self.handlers: dict[type, Callable[..., object]] = {
            NewMessage: self._on_new_message,
            EndpointListUpdate: self._apply_list_update,
        }
        self.handlers |= {
            AttemptEnded: self._on_attempt_ended,
            MessageWithdrawn: self._on_withdrawn,
            TimerFired: self._on_timer,
        }
        self.handlers |= {
            ConnectionCapacity: self._on_connection_capacity,
            RetryAfterReceived: self._on_retry_after,
        }
        self.handlers[ShutdownStarted] = lambda event: self._give_up_before(self.now + event.pause)
        if settings.must_subscribe:
            self._schedule(0, self._act, Subscribe())

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        self.now, self.actions = now, []
        for event in events:
            self.handlers[type(event)](event)
        while self.scheduled and self.scheduled[0][0] <= now:
            _, _, what, subject = heappop(self.scheduled)
            what(subject)
        self._send_all()
        for endpoint in self.idle_candidates:  # an idle connection takes a place that all instances share
            lane, scarce = (
                endpoint.state,
                self.settings.instance_count > TABLE and not endpoint.concurrent_calls,
            )
            full = (
                lane.connection_failures.failure_fraction(now) > TIGHT
                or lane.answered_calls < ANSWERS_BEFORE_POOLING
                or self.rng.random() < YIELD
            )
            if scarce and full:
                self.actions.append(CloseIdleConnections(endpoint.name))
        self.idle_candidates.clear()
        if self.scheduled and self.scheduled[0][0] < self.timer_at:
            self.timer_at = self.scheduled[0][0]
            self.actions.append(SetTimer(self.timer_at))
        return self.actions

    def may_start(self, now: int, name: str) -> bool:
        """The last look, at a call's first byte: what was told since it was decided counts (rules 1 to 5)."""
        message = self.messages[name]
        if (call := message.call) is None or message.ended or not call.endpoint.listed:
            return False
        lane = call.endpoint.state
        return lane.retry_after_until <= now < self._last_attempt_at(message) and not (
            lane.ejected and lane.reejected_at > call.sent_at
        )

    def limit_concurrent_calls(
        self, max_concurrent_calls: int
    ) -> None:  # so many are this process's from now on
        self.settings = replace(self.settings, max_concurrent_calls=max_concurrent_calls)

    def _on_timer(self, _: object) -> None:  # also a timer that rang a moment early: it is set again
        self.timer_at = NEVER

    def _act(self, action: Action) -> None:
        self.actions.append(action)

    def _schedule(self, at: int, what: Callable[..., object], subject: object) -> None:
        self.sequence += 1
        heappush(self.scheduled, (at, self.sequence, what, subject))

    def _apply_list_update(self, event: EndpointListUpdate) -> None:
        """A stale or missing list never stops delivery; what drains or is gone gets nothing new (rule 3)."""
        failed, whole = event.mode is UpdateMode.FAILED, (UpdateMode.FULL, UpdateMode.CACHED)
        if failed:
            pause = int(self.subscribe_pause * self.rng.uniform(1 - JITTER, 1))
            self._schedule(self.now + pause, self._act, Subscribe())
        self.subscribe_pause = min(2 * self.subscribe_pause, ASK_MOST) if failed else ASK_GAP
        named = {entry.endpoint for entry in event.listings}
        for dest in self.destinations.values() if event.mode in whole else ():
            dest.endpoints = {name: old for name, old in dest.endpoints.items() if name in named}
        for entry in event.listings:
            dest = self.destinations.setdefault(entry.destination, Destination())
            kind, tight = self.kinds[min(entry.kind, len(self.kinds) - 1)]
            if entry.endpoint not in dest.endpoints:
                if dest.state is None or kind.limits_per_endpoint:
                    dest.state = DestinationState(self.settings, self.rng, tight)
                dest.endpoints[entry.endpoint] = EndpointState(entry, dest.state)
            endpoint, dest.max_messages_per_call = dest.endpoints[entry.endpoint], kind.max_messages_per_call
            endpoint.listed, endpoint.state.listed_rate = (
                entry.status is EndpointStatus.READY,
                entry.listed_rate,
            )
            self.dispatchable[dest] = None
            if entry.status is EndpointStatus.GONE:  # forgotten; its calls out still know it
                del dest.endpoints[entry.endpoint]

    def _on_connection_capacity(self, event: ConnectionCapacity) -> None:
        """Handshakes are no attempts: one that fails tells of the lane."""
        dest = self.destinations.get(event.destination, Destination())
        if (endpoint := dest.endpoints.get(event.endpoint)) is None:
            return
        endpoint.capacity, endpoint.connect_blocked_until, self.dispatchable[dest] = (
            event.capacity,
            self.now + event.connect_blocked_for,
            None,
        )
        if event.connect_failed:
            classes = [endpoint.failures_by_class[number] for number in range(len(self.settings.classes))]
            for tally in (endpoint.state.connection_failures, endpoint.state.call_failures, *classes):
                tally.record(self.now, True)
            endpoint.state.record_failure(self.now, Call(endpoint, self.now - event.elapsed), False, 0)

    def _sends_blocked_until(
        self, dest: Destination, guess: bool = False
    ) -> int:  # nothing goes there before; or may not
        ones = [(e, e.state, guess or not e.capacity) for e in dest.endpoints.values() if e.listed]
        return min(
            (
                max(at.retry_after_until, guess * at.next_probe_at, bars * e.connect_blocked_until)
                for e, at, bars in ones
            ),
            default=0,
        )

    def _give_up_before(self, until: int, dest: Destination | None = None) -> None:
        """What cannot outlive a time without sends, there or anywhere, is given up at once."""
        for message in [
            m for m in self.messages.values() if m.call is None and dest in (None, m.destination)
        ]:
            if not message.ended and until >= self._last_attempt_at(message):
                self._finish(message)

    def _on_new_message(self, event: NewMessage) -> None:
        dest = self.destinations.setdefault(event.destination, Destination())
        message = PendingMessage(event, self.settings.classes[event.class_index], dest, self.now)
        message.priority_weight *= (
            self._tenant_weight(event.tenant)
            if self.settings.tenant_rates and not event.low_priority
            else 1.0
        )
        self.messages[message.id] = message
        if (message.attempts or message.possible_executions) and not message.may_attempt(
            self.now, self.max_attempts
        ):
            self._finish(message)  # a restart came between: its tries, its window or its time are used up
        elif message.ordering_key is not None:
            self._schedule(self._last_attempt_at(message), self._expire, message)
            self.ordered_queues.setdefault(message.ordering_key, (deque(), [0]))[0].append(message)
            self._advance(message.ordering_key)
        else:
            self._queue(message)

    def _tenant_weight(self, tenant: int) -> float:  # little worth beyond a tenant's share
        (left, at), rate = (
            self.tenant_allowances[tenant],
            self.settings.tenant_rates[tenant] / self.settings.instance_count,
        )
        left = min(max(1.0, rate), left + rate * (self.now - at + 1) / SECOND)
        self.tenant_allowances[tenant] = (left - (left >= 1), self.now)
        return 1.0 if left >= 1 else self.settings.over_quota_weight

    def _advance(self, key: int | None) -> None:  # rule 5: a key's head alone may go, after its rest
        line, rest = self.ordered_queues.get(key, (deque(), [0]))
        while line and line[0].ended and line[0].call is None:
            line.popleft()
        if rest[0] > self.now:
            self._schedule(rest[0], self._advance, key)
        elif not line:
            self.ordered_queues.pop(key, None)
        elif not line[0].attempts and not line[0].queued:
            self._queue(line[0])

    def _queue(self, message: PendingMessage) -> None:
        message.destination.backing_off.pop(message, None)
        if self._sends_blocked_until(message.destination) >= self._last_attempt_at(message):
            return self._finish(message)
        self._schedule(self._last_attempt_at(message), self._expire, message)
        key = message.class_index, message.required_zone(), message.low_priority
        queue = message.destination.queues.setdefault(key, MessageQueue())
        self.sequence += 1
        queue.push(message.objective_at, self.sequence, message)
        message.queued, self.dispatchable[message.destination] = True, None

    def _end_backoff(self, message: PendingMessage) -> None:
        if message in message.destination.backing_off:
            self._queue(message)

    def _last_attempt_at(
        self, message: PendingMessage
    ) -> int:  # no try from then on could hope for an answer
        reach = int(REACH * message.destination.state.latency) if message.destination.state else 0
        return message.attempts_allowed_until() - self.deadline_margin - reach

    def _expire(self, message: PendingMessage) -> None:
        if not message.ended and message.call is None:
            last = self._last_attempt_at(message)
            self._finish(message) if self.now >= last else self._schedule(last, self._expire, message)

    def _finish(self, message: PendingMessage) -> None:  # at once: a refusal where that is true
        wait = max(BACKOFF_STEPS[0], self._sends_blocked_until(message.destination, guess=True) - self.now)
        wait = min(wait, self.settings.max_retry_after) if self.settings.sends_retry_after else 0
        self.actions.append(Reject(message.id, wait) if message.may_reject() else Fail(message.id))
        self._end(message)

    def _end(self, message: PendingMessage) -> None:
        message.destination.backing_off.pop(message, None)
        message.ended, message.queued = True, False
        if message.call is None:
            del self.messages[message.id]
            self._advance(message.ordering_key)

    def _on_retry_after(self, event: RetryAfterReceived) -> None:
        dest = self.destinations.get(event.destination, Destination())
        told = dest.endpoints.get(event.endpoint)  # one that has gone told it for all that are left
        for endpoint in [told] if told else dest.endpoints.values():
            endpoint.state.retry_after_until = max(endpoint.state.retry_after_until, event.until)
        self.dispatchable[dest] = None

    def _on_withdrawn(self, event: MessageWithdrawn) -> None:
        message = self.messages.get(event.message)
        if message is not None and not message.ended:
            if message.call is not None and self.settings.can_cancel:
                self.actions.append(Cancel(message.id, message.attempts - 1))
            self._end(message)

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        message = self.messages.get(event.message)
        if message is None or message.call is None or event.attempt != message.attempts - 1:
            return
        call, message.call = message.call, None
        lane, call.pending_messages = call.endpoint.state, call.pending_messages - 1
        if not call.pending_messages:
            self.concurrent_calls, message.destination.concurrent_calls = (
                self.concurrent_calls - 1,
                message.destination.concurrent_calls - 1,
            )
            call.endpoint.concurrent_calls -= 1
            del lane.calls_in_flight[call]
        if event.outcome.proves_not_executed:
            message.possible_executions.pop()
        message.attempts -= event.not_started
        if event.outcome in RESTING and message.ordering_key in self.ordered_queues:
            self.ordered_queues[message.ordering_key][1][0] = self.now + self.settings.ordering_pause
        call.any_delivered = call.any_delivered or event.outcome is Outcome.DELIVERED
        if (
            call.message_count > 1
            and not call.pending_messages
            and not call.any_delivered
            and not event.outcome.proves_not_executed
        ):
            lane.max_messages_per_call = (
                call.message_count / 2
            )  # each message may break the call and all that ride along
        hasty = (
            event.outcome is Outcome.TIMEOUT and event.elapsed < lane.overdue_after()
        )  # cut to its own deadline
        if (
            event.outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT)
            and not event.connection_stale
            and not hasty
        ):
            self._learn(event, call, message)
        self.dispatchable[message.destination] = self.idle_candidates[call.endpoint] = None
        self._end(message) if message.ended or event.message_concluded else self._retry(message, event, lane)

    def _learn(self, event: AttemptEnded, call: Call, message: PendingMessage) -> None:
        endpoint, lane = call.endpoint, call.endpoint.state
        if event.connection_limited or event.outcome is Outcome.CONNECT_FAILED:
            lane.connection_failures.record(self.now, True)
            every = (other for dest in self.destinations.values() for other in dest.endpoints.values())
            self.idle_candidates |= {
                other: None for other in every if other.state.connection_failures is lane.connection_failures
            }
        if event.connection_limited:  # that tells nothing of the limit or of health
            endpoint.connection_limit_failures = min(
                endpoint.connection_limit_failures + 1, len(BACKOFF_STEPS)
            )
            pause = min(
                BACKOFF_STEPS[endpoint.connection_limit_failures - 1],
                TRIAL_SLACK * self.settings.instance_count,
            )
            endpoint.connect_blocked_until = self.now + int(
                pause * self.rng.uniform(1 - lane.probe_jitter, 1)
            )
            return
        endpoint.connection_limit_failures, lane.answered_calls = 0, lane.answered_calls + 1
        lane.reported_limit = event.rate_limit or lane.reported_limit
        lane.retry_after_until = max(
            lane.retry_after_until, self.now + event.retry_after
        )  # a batch may pass and still tell one
        if lane.reported_limit and event.limit_remaining < LOW_ALLOWANCE and lane.rate_limit == inf:
            lane.reduce_rate(self.now)
        if event.outcome is not Outcome.REJECTED:
            for tally in (endpoint.failures_by_class[message.class_index], lane.call_failures):
                bad = event.outcome is not Outcome.DELIVERED
                tally.record(
                    self.now, bad, 1 / (call.message_count if call.any_delivered else call.message_count**2)
                )
        if event.outcome is not Outcome.DELIVERED:
            lane.record_failure(self.now, call, event.outcome is Outcome.REJECTED, event.retry_after)
        elif lane.record_success(self.now, call, event.elapsed):
            for other in list(message.destination.backing_off):  # back: the ladder need not run out
                self._queue(other)

    def _retry(self, message: PendingMessage, event: AttemptEnded, lane: DestinationState) -> None:
        """The ladder: a told wait is used, an untold refusal doubles the step, the time left cuts it."""
        if event.not_started:  # it is where it was before
            return self._queue(message)
        rung, message.failures = min(message.failures, len(BACKOFF_STEPS) - 1), message.failures + 1
        step = BACKOFF_STEPS[rung] * (
            2 if event.outcome is Outcome.REJECTED and not event.connection_limited else 1
        )
        pause = int(step * self.rng.uniform(1 - JITTER, 1 + JITTER))
        left = message.attempts_allowed_until() - int(2 * lane.latency) - self.now
        if event.retry_after:
            pause = max(event.retry_after, lane.retry_after_until - self.now)
        elif pause > left > (BACKOFF_STEPS[rung - 1] if rung else 0):
            pause = left
        if pause > left or not message.may_attempt(self.now, self.max_attempts):
            self._finish(message)
        else:
            message.destination.backing_off[message] = None
            self._schedule(self.now + pause, self._end_backoff, message)

    def _send_all(self) -> None:  # scarce slots: most worth for slot time first, shared out
        offers: list[Offer] = []
        for dest in (
            list(self.dispatchable) if self.concurrent_calls < self.settings.max_concurrent_calls else ()
        ):
            self._offer(dest, offers)
        while offers and self.concurrent_calls < self.settings.max_concurrent_calls:
            _, _, message, endpoint = heappop(offers)
            self._send(message, endpoint)
            self._offer(message.destination, offers)

    def _offer(self, dest: Destination, offers: list[Offer]) -> None:
        found, wake = list[Offer](), NEVER
        for message in filter(None, (queue.head(self.now) for queue in dest.queues.values())):
            endpoint, at = self._endpoint(message)
            wake = min(wake, at)
            if endpoint is not None:
                latency, self.sequence = endpoint.state.latency, self.sequence + 1
                value = (
                    message.value(self.now + int(latency), self.settings.late_decay)
                    / latency
                    / (1 + dest.concurrent_calls)
                )
                found.append((-value, self.sequence, message, endpoint))
        if found:
            heappush(offers, min(found))
            return
        del self.dispatchable[
            dest
        ]  # looked at again on news of it or when it may be ready, not at every event
        if self.now < (opens := self._sends_blocked_until(dest)) != dest.blocked_until:
            dest.blocked_until = opens
            self._give_up_before(opens, dest)
        if wake < NEVER and not self.now < dest.next_check_at <= wake:
            dest.next_check_at = wake
            self._schedule(wake, self.dispatchable.setdefault, dest)

    def _endpoint(self, message: PendingMessage) -> tuple[EndpointState | None, int]:
        dest, zone, soonest = message.destination, message.required_zone(), NEVER
        ready: list[EndpointState] = []
        bare: list[EndpointState] = []  # these would take it, but no connection is open
        for endpoint in dest.endpoints.values():
            lane = endpoint.state
            if endpoint.listed and zone in (None, endpoint.zone):
                at = lane.ready_at(self.now, message.non_idempotent)
                at = max(at, endpoint.connect_blocked_until) if endpoint.connection_limit_failures else at
                share = (
                    SICK_SHARE
                    if lane.ejected
                    or lane.call_failures.failure_fraction(self.now) >= EJECTION_FAILURE_FRACTION
                    else HEALTHY_SHARE
                )
                if dest.concurrent_calls >= max(1, int(self.settings.max_concurrent_calls * share)):
                    at = NEVER
                elif at <= self.now and endpoint.concurrent_calls < endpoint.capacity:
                    ready.append(endpoint)
                elif at <= self.now:
                    at = (
                        endpoint.connect_blocked_until if endpoint.connect_blocked_until > self.now else NEVER
                    )
                    bare += [endpoint] if at == NEVER else []
                soonest = min(soonest, at)
        if bare and not ready:
            wanted = min(bare, key=lambda e: self._rank(e, message))
            paced = wanted.state.ejected or wanted.state.send_rate(self.now) < inf
            queued = sum(map(len, dest.queues.values()))
            self.actions.append(
                OpenConnections(wanted.name, 1 if paced else min(queued, self.settings.max_concurrent_calls))
            )
        return (min(ready, key=lambda e: self._rank(e, message)) if ready else None), soonest

    def _rank(self, endpoint: EndpointState, message: PendingMessage) -> tuple[int, int, int]:
        crossing = endpoint.zone != self.settings.zone and self.settings.cross_zone_cost > 0
        busy = endpoint.concurrent_calls + crossing + (endpoint.name == message.last_endpoint)
        bad = int(AVOID_STEPS * endpoint.failures_by_class[message.class_index].failure_fraction(self.now))
        return bad, busy, -endpoint.used_at  # the latest used is open still

    def _send(self, message: PendingMessage, endpoint: EndpointState) -> None:
        lane, dest, call = endpoint.state, message.destination, Call(endpoint, self.now)
        self.concurrent_calls, dest.concurrent_calls, endpoint.concurrent_calls = (
            self.concurrent_calls + 1,
            dest.concurrent_calls + 1,
            endpoint.concurrent_calls + 1,
        )
        endpoint.used_at = lane.last_sent_at = self.now
        lane.calls_in_flight[call] = None
        self._put(message, call)
        most = 1 if lane.ejected else min(dest.max_messages_per_call, lane.max_messages_per_call)
        for queue in dest.queues.values():  # further messages ride along where a call takes several
            while call.pending_messages < most and (rider := queue.head(self.now)) is not None:
                alike = (
                    rider.message_class is message.message_class
                    and rider.low_priority is message.low_priority
                )
                alike &= (
                    not message.non_idempotent
                    or min(rider.deadline, message.deadline) - self.now > message.objective_duration
                )
                if not alike or rider.required_zone() not in (None, endpoint.zone):
                    break
                call.pending_messages = call.message_count = call.pending_messages + 1
                self._put(rider, call)

    def _put(self, message: PendingMessage, call: Call) -> None:
        latency = call.endpoint.state.latency
        timeout = int(max(TIMEOUT_FACTOR * latency, self.settings.connect_timeout + 2 * latency))
        if message.non_idempotent:  # a time-out ends it; yet a hang must not eat the slots
            timeout = max(UNSAFE_ROOM * timeout, message.objective_duration)
        timeout = max(1, min(timeout, message.deadline - self.deadline_margin - self.now))
        self.actions.append(Send(message.id, call.endpoint.name, timeout))
        message.possible_executions.append((self.now, call.endpoint.zone))
        message.call, message.queued, message.last_endpoint = call, False, call.endpoint.name
        message.attempts += 1
