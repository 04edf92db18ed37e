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
from honeyhitch.policy.decaying_counter import DecayingTally
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
    ASK_GAP,
    ASK_MOST,
    ATTEMPTS,
    AVOID_STEPS,
    BAD_SHARE,
    HEALTHY_SHARE,
    JITTER,
    LADDER,
    LONG_FADE,
    LOW_ALLOWANCE,
    NEVER,
    PROOF,
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
    Endpoint,
    Lane,
    Message,
)

Offer = tuple[float, int, Message, Endpoint]


class DeliveryPolicy:
    def __init__(self, settings: Settings, seed: int) -> None:
        self.s, self.rng, self.now = settings, Random(seed), 0
        self.most, self.margin = min(ATTEMPTS, settings.max_attempts), 2 * settings.resolution
        self.messages: dict[str, Message] = {}
        self.dests: dict[int, Destination] = {}
        self.kinds = [(kind, DecayingTally(LONG_FADE)) for kind in settings.kinds]
        self.lines: dict[
            int | None, tuple[deque[Message], list[int]]
        ] = {}  # a key's messages, its rest's end
        self.hot: dict[Destination, None] = {}  # those with messages ready to go
        self.rested: dict[Endpoint, None] = {}  # those that may hold a connection that nothing uses now
        self.wakes: list[tuple[int, int, Callable[..., object], object]] = []
        self.seq, self.used, self.timer_at, self.ask_gap = 0, 0, NEVER, ASK_GAP
        self.tenants = [(0.0, 0)] * len(settings.tenant_rates)
        self.actions: list[Action] = []
        self.on: dict[type, Callable[..., object]] = {
            NewMessage: self._taken,
            EndpointListUpdate: self._news,
        }
        self.on |= {
            AttemptEnded: self._outcome,
            MessageWithdrawn: self._drop,
            TimerFired: self._rang,
        }
        self.on |= {ConnectionCapacity: self._room, RetryAfterReceived: self._told}
        self.on[ShutdownStarted] = lambda event: self._bar(self.now + event.pause)
        if settings.must_subscribe:
            self._wake(0, self._act, Subscribe())

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        self.now, self.actions = now, []
        for event in events:
            self.on[type(event)](event)
        while self.wakes and self.wakes[0][0] <= now:
            _, _, what, subject = heappop(self.wakes)
            what(subject)
        self._send_all()
        for endpoint in self.rested:  # an idle connection takes a place that all instances share
            lane, scarce = endpoint.lane, self.s.instance_count > TABLE and not endpoint.calls
            full = lane.tight.share(now) > TIGHT or lane.answered < PROOF or self.rng.random() < YIELD
            if scarce and full:
                self.actions.append(CloseIdleConnections(endpoint.name))
        self.rested.clear()
        if self.wakes and self.wakes[0][0] < self.timer_at:
            self.timer_at = self.wakes[0][0]
            self.actions.append(SetTimer(self.timer_at))
        return self.actions

    def may_start(self, now: int, name: str) -> bool:
        """The last look, at a call's first byte: what was told since it was decided counts (rules 1 to 5)."""
        message = self.messages[name]
        if (call := message.call) is None or message.ended or not call.endpoint.listed:
            return False
        lane = call.endpoint.lane
        return lane.wait_until <= now < self._last(message) and not (lane.out and lane.closed_at > call.sent)

    def limit_concurrent_calls(
        self, max_concurrent_calls: int
    ) -> None:  # so many are this process's from now on
        self.s = replace(self.s, max_concurrent_calls=max_concurrent_calls)

    def _rang(self, _: object) -> None:  # also a timer that rang a moment early: it is set again
        self.timer_at = NEVER

    def _act(self, action: Action) -> None:
        self.actions.append(action)

    def _wake(self, at: int, what: Callable[..., object], subject: object) -> None:
        self.seq += 1
        heappush(self.wakes, (at, self.seq, what, subject))

    def _news(self, event: EndpointListUpdate) -> None:
        """A stale or missing list never stops delivery; what drains or is gone gets nothing new (rule 3)."""
        failed, whole = event.mode is UpdateMode.FAILED, (UpdateMode.FULL, UpdateMode.CACHED)
        if failed:
            pause = int(self.ask_gap * self.rng.uniform(1 - JITTER, 1))
            self._wake(self.now + pause, self._act, Subscribe())
        self.ask_gap = min(2 * self.ask_gap, ASK_MOST) if failed else ASK_GAP
        named = {entry.endpoint for entry in event.listings}
        for dest in self.dests.values() if event.mode in whole else ():
            dest.endpoints = {name: old for name, old in dest.endpoints.items() if name in named}
        for entry in event.listings:
            dest = self.dests.setdefault(entry.destination, Destination())
            kind, tight = self.kinds[min(entry.kind, len(self.kinds) - 1)]
            if entry.endpoint not in dest.endpoints:
                if dest.lane is None or kind.limits_per_endpoint:
                    dest.lane = Lane(self.s, self.rng, tight)
                dest.endpoints[entry.endpoint] = Endpoint(entry, dest.lane)
            endpoint, dest.per_call = dest.endpoints[entry.endpoint], kind.max_messages_per_call
            endpoint.listed, endpoint.lane.scale = entry.status is EndpointStatus.READY, entry.listed_rate
            self.hot[dest] = None
            if entry.status is EndpointStatus.GONE:  # forgotten; its calls out still know it
                del dest.endpoints[entry.endpoint]

    def _room(self, event: ConnectionCapacity) -> None:
        """Handshakes are no attempts: one that fails tells of the lane."""
        dest = self.dests.get(event.destination, Destination())
        if (endpoint := dest.endpoints.get(event.endpoint)) is None:
            return
        endpoint.room, endpoint.shut, self.hot[dest] = (
            event.capacity,
            self.now + event.connect_blocked_for,
            None,
        )
        if event.connect_failed:
            classes = [endpoint.tallies[number] for number in range(len(self.s.classes))]
            for tally in (endpoint.lane.tight, endpoint.lane.tally, *classes):
                tally.note(self.now, True)
            endpoint.lane.failed(self.now, Call(endpoint, self.now - event.elapsed), False, 0)

    def _opens(self, dest: Destination, guess: bool = False) -> int:  # nothing goes there before; or may not
        ones = [(e, e.lane, guess or not e.room) for e in dest.endpoints.values() if e.listed]
        return min(
            (max(at.wait_until, guess * at.trial_at, bars * e.shut) for e, at, bars in ones), default=0
        )

    def _bar(self, until: int, dest: Destination | None = None) -> None:
        """What cannot outlive a time without sends, there or anywhere, is given up at once."""
        for message in [m for m in self.messages.values() if m.call is None and dest in (None, m.dest)]:
            if not message.ended and until >= self._last(message):
                self._finish(message)

    def _taken(self, event: NewMessage) -> None:
        dest = self.dests.setdefault(event.destination, Destination())
        message = Message(event, self.s.classes[event.class_index], dest, self.now)
        message.worth *= self._share(event.tenant) if self.s.tenant_rates and not event.low_priority else 1.0
        self.messages[message.id] = message
        if (message.attempts or message.ran) and not message.may_try(self.now, self.most):
            self._finish(message)  # a restart came between: its tries, its window or its time are used up
        elif message.key is not None:
            self._wake(self._last(message), self._expire, message)
            self.lines.setdefault(message.key, (deque(), [0]))[0].append(message)
            self._advance(message.key)
        else:
            self._queue(message)

    def _share(self, tenant: int) -> float:  # little worth beyond a tenant's share
        (left, at), rate = self.tenants[tenant], self.s.tenant_rates[tenant] / self.s.instance_count
        left = min(max(1.0, rate), left + rate * (self.now - at + 1) / SECOND)
        self.tenants[tenant] = (left - (left >= 1), self.now)
        return 1.0 if left >= 1 else self.s.over_quota_weight

    def _advance(self, key: int | None) -> None:  # rule 5: a key's head alone may go, after its rest
        line, rest = self.lines.get(key, (deque(), [0]))
        while line and line[0].ended and line[0].call is None:
            line.popleft()
        if rest[0] > self.now:
            self._wake(rest[0], self._advance, key)
        elif not line:
            self.lines.pop(key, None)
        elif not line[0].attempts and not line[0].queued:
            self._queue(line[0])

    def _queue(self, message: Message) -> None:
        message.dest.waiting.pop(message, None)
        if self._opens(message.dest) >= self._last(message):
            return self._finish(message)
        self._wake(self._last(message), self._expire, message)
        key = message.number, message.zone(), message.behind
        queue = message.dest.queues.setdefault(key, MessageQueue())
        self.seq += 1
        queue.push(message.aim, self.seq, message)
        message.queued, self.hot[message.dest] = True, None

    def _woken(self, message: Message) -> None:
        if message in message.dest.waiting:
            self._queue(message)

    def _last(self, message: Message) -> int:  # no try from then on could hope for an answer
        reach = int(REACH * message.dest.lane.latency) if message.dest.lane else 0
        return message.until() - self.margin - reach

    def _expire(self, message: Message) -> None:
        if not message.ended and message.call is None:
            last = self._last(message)
            self._finish(message) if self.now >= last else self._wake(last, self._expire, message)

    def _finish(self, message: Message) -> None:  # at once: a refusal where that is true
        wait = max(LADDER[0], self._opens(message.dest, guess=True) - self.now)
        wait = min(wait, self.s.max_retry_after) if self.s.sends_retry_after else 0
        self.actions.append(Reject(message.id, wait) if message.may_refuse() else Fail(message.id))
        self._end(message)

    def _end(self, message: Message) -> None:
        message.dest.waiting.pop(message, None)
        message.ended, message.queued = True, False
        if message.call is None:
            del self.messages[message.id]
            self._advance(message.key)

    def _told(self, event: RetryAfterReceived) -> None:
        dest = self.dests.get(event.destination, Destination())
        told = dest.endpoints.get(event.endpoint)  # one that has gone told it for all that are left
        for endpoint in [told] if told else dest.endpoints.values():
            endpoint.lane.wait_until = max(endpoint.lane.wait_until, event.until)
        self.hot[dest] = None

    def _drop(self, event: MessageWithdrawn) -> None:
        message = self.messages.get(event.message)
        if message is not None and not message.ended:
            if message.call is not None and self.s.can_cancel:
                self.actions.append(Cancel(message.id, message.attempts - 1))
            self._end(message)

    def _outcome(self, event: AttemptEnded) -> None:
        message = self.messages.get(event.message)
        if message is None or message.call is None or event.attempt != message.attempts - 1:
            return
        call, message.call = message.call, None
        lane, call.left = call.endpoint.lane, call.left - 1
        if not call.left:
            self.used, message.dest.used = self.used - 1, message.dest.used - 1
            call.endpoint.calls -= 1
            del lane.calls[call]
        if event.outcome.proves_not_executed:
            message.ran.pop()
        message.attempts -= event.not_started
        if event.outcome in RESTING and message.key in self.lines:
            self.lines[message.key][1][0] = self.now + self.s.ordering_pause
        call.passed = call.passed or event.outcome is Outcome.DELIVERED
        if call.size > 1 and not call.left and not call.passed and not event.outcome.proves_not_executed:
            lane.most = call.size / 2  # each message may break the call and all that ride along
        hasty = event.outcome is Outcome.TIMEOUT and event.elapsed < lane.overdue()  # cut to its own deadline
        if (
            event.outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT)
            and not event.connection_stale
            and not hasty
        ):
            self._learn(event, call, message)
        self.hot[message.dest] = self.rested[call.endpoint] = None
        self._end(message) if message.ended or event.message_concluded else self._retry(message, event, lane)

    def _learn(self, event: AttemptEnded, call: Call, message: Message) -> None:
        endpoint, lane = call.endpoint, call.endpoint.lane
        if event.connection_limited or event.outcome is Outcome.CONNECT_FAILED:
            lane.tight.note(self.now, True)
            every = (other for dest in self.dests.values() for other in dest.endpoints.values())
            self.rested |= {other: None for other in every if other.lane.tight is lane.tight}
        if event.connection_limited:  # that tells nothing of the limit or of health
            endpoint.crowded = min(endpoint.crowded + 1, len(LADDER))
            pause = min(LADDER[endpoint.crowded - 1], TRIAL_SLACK * self.s.instance_count)
            endpoint.shut = self.now + int(pause * self.rng.uniform(1 - lane.spread, 1))
            return
        endpoint.crowded, lane.answered = 0, lane.answered + 1
        lane.limit = event.rate_limit or lane.limit
        lane.wait_until = max(
            lane.wait_until, self.now + event.retry_after
        )  # a batch may pass and still tell one
        if lane.limit and event.limit_remaining < LOW_ALLOWANCE and lane.rate == inf:
            lane.cut(self.now)
        if event.outcome is not Outcome.REJECTED:
            for tally in (endpoint.tallies[message.number], lane.tally):
                bad = event.outcome is not Outcome.DELIVERED
                tally.note(self.now, bad, 1 / (call.size if call.passed else call.size**2))
        if event.outcome is not Outcome.DELIVERED:
            lane.failed(self.now, call, event.outcome is Outcome.REJECTED, event.retry_after)
        elif lane.passed(self.now, call, event.elapsed):
            for other in list(message.dest.waiting):  # back: the ladder need not run out
                self._queue(other)

    def _retry(self, message: Message, event: AttemptEnded, lane: Lane) -> None:
        """The ladder: a told wait is used, an untold refusal doubles the step, the time left cuts it."""
        if event.not_started:  # it is where it was before
            return self._queue(message)
        rung, message.failures = min(message.failures, len(LADDER) - 1), message.failures + 1
        step = LADDER[rung] * (2 if event.outcome is Outcome.REJECTED and not event.connection_limited else 1)
        pause = int(step * self.rng.uniform(1 - JITTER, 1 + JITTER))
        left = message.until() - int(2 * lane.latency) - self.now
        if event.retry_after:
            pause = max(event.retry_after, lane.wait_until - self.now)
        elif pause > left > (LADDER[rung - 1] if rung else 0):
            pause = left
        if pause > left or not message.may_try(self.now, self.most):
            self._finish(message)
        else:
            message.dest.waiting[message] = None
            self._wake(self.now + pause, self._woken, message)

    def _send_all(self) -> None:  # scarce slots: most worth for slot time first, shared out
        offers: list[Offer] = []
        for dest in list(self.hot) if self.used < self.s.max_concurrent_calls else ():
            self._offer(dest, offers)
        while offers and self.used < self.s.max_concurrent_calls:
            _, _, message, endpoint = heappop(offers)
            self._send(message, endpoint)
            self._offer(message.dest, offers)

    def _offer(self, dest: Destination, offers: list[Offer]) -> None:
        found, wake = list[Offer](), NEVER
        for message in filter(None, (queue.head(self.now) for queue in dest.queues.values())):
            endpoint, at = self._endpoint(message)
            wake = min(wake, at)
            if endpoint is not None:
                latency, self.seq = endpoint.lane.latency, self.seq + 1
                value = message.value(self.now + int(latency), self.s.late_decay) / latency / (1 + dest.used)
                found.append((-value, self.seq, message, endpoint))
        if found:
            heappush(offers, min(found))
            return
        del self.hot[dest]  # looked at again on news of it or when it may be ready, not at every event
        if self.now < (opens := self._opens(dest)) != dest.opens:
            dest.opens = opens
            self._bar(opens, dest)
        if wake < NEVER and not self.now < dest.wake_at <= wake:
            dest.wake_at = wake
            self._wake(wake, self.hot.setdefault, dest)

    def _endpoint(self, message: Message) -> tuple[Endpoint | None, int]:
        dest, zone, soonest = message.dest, message.zone(), NEVER
        ready: list[Endpoint] = []
        bare: list[Endpoint] = []  # these would take it, but no connection is open
        for endpoint in dest.endpoints.values():
            lane = endpoint.lane
            if endpoint.listed and zone in (None, endpoint.zone):
                at = lane.ready_at(self.now, message.unsafe)
                at = max(at, endpoint.shut) if endpoint.crowded else at
                share = SICK_SHARE if lane.out or lane.tally.share(self.now) >= BAD_SHARE else HEALTHY_SHARE
                if dest.used >= max(1, int(self.s.max_concurrent_calls * share)):
                    at = NEVER
                elif at <= self.now and endpoint.calls < endpoint.room:
                    ready.append(endpoint)
                elif at <= self.now:
                    at = endpoint.shut if endpoint.shut > self.now else NEVER
                    bare += [endpoint] if at == NEVER else []
                soonest = min(soonest, at)
        if bare and not ready:
            wanted = min(bare, key=lambda e: self._rank(e, message))
            paced = wanted.lane.out or wanted.lane.pace(self.now) < inf
            queued = sum(map(len, dest.queues.values()))
            self.actions.append(
                OpenConnections(wanted.name, 1 if paced else min(queued, self.s.max_concurrent_calls))
            )
        return (min(ready, key=lambda e: self._rank(e, message)) if ready else None), soonest

    def _rank(self, endpoint: Endpoint, message: Message) -> tuple[int, int, int]:
        crossing = endpoint.zone != self.s.zone and self.s.cross_zone_cost > 0
        busy = endpoint.calls + crossing + (endpoint.name == message.last)
        bad = int(AVOID_STEPS * endpoint.tallies[message.number].share(self.now))
        return bad, busy, -endpoint.used_at  # the latest used is open still

    def _send(self, message: Message, endpoint: Endpoint) -> None:
        lane, dest, call = endpoint.lane, message.dest, Call(endpoint, self.now)
        self.used, dest.used, endpoint.calls = self.used + 1, dest.used + 1, endpoint.calls + 1
        endpoint.used_at = lane.last_send = self.now
        lane.calls[call] = None
        self._put(message, call)
        most = 1 if lane.out else min(dest.per_call, lane.most)
        for queue in dest.queues.values():  # further messages ride along where a call takes several
            while call.left < most and (rider := queue.head(self.now)) is not None:
                alike = rider.cls is message.cls and rider.behind is message.behind
                alike &= not message.unsafe or min(rider.deadline, message.deadline) - self.now > message.span
                if not alike or rider.zone() not in (None, endpoint.zone):
                    break
                call.left = call.size = call.left + 1
                self._put(rider, call)

    def _put(self, message: Message, call: Call) -> None:
        latency = call.endpoint.lane.latency
        timeout = int(max(TIMEOUT_FACTOR * latency, self.s.connect_timeout + 2 * latency))
        if message.unsafe:  # a time-out ends it; yet a hang must not eat the slots
            timeout = max(UNSAFE_ROOM * timeout, message.span)
        timeout = max(1, min(timeout, message.deadline - self.margin - self.now))
        self.actions.append(Send(message.id, call.endpoint.name, timeout))
        message.ran.append((self.now, call.endpoint.zone))
        message.call, message.queued, message.last = call, False, call.endpoint.name
        message.attempts += 1
