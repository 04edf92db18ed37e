"""Every decision of honeyhitch. Its settings, events and actions are in `interface.py` beside it."""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import replace
from heapq import heappop, heappush
from math import exp, inf
from random import Random

from honeyhitch.policy import interface as api
from honeyhitch.policy.decaying_counter import DecayingTally
from honeyhitch.policy.interface import Effect, Outcome
from honeyhitch.policy.message_queue import MessageQueue

MS, SECOND, NEVER = 10**6, 10**9, 1 << 62  # ns
LADDER = (250 * MS, SECOND, 4 * SECOND, 16 * SECOND)  # ns; the design's pauses between tries
JITTER, ATTEMPTS = 0.2, 5  # share, tries; the design's spread of a pause and bound on tries
HEALTHY_SHARE, SICK_SHARE = 0.75, 0.25  # of the slots; the design's cap, and half of its cap for the sick
START_LATENCY, LATENCY_WEIGHT = 200 * MS, 0.1  # ns, share; until a first answer, and of a new sample
TIMEOUT_FACTOR, UNSAFE_ROOM = 10, 2  # x mean latency: the far tail; x that where a time-out is the end
OVERDUE_FACTOR, LEAST_OVERDUE = 5, 700 * MS  # x mean latency, ns; longer with no later answer is a hang
FADE, LONG_FADE = 8 * SECOND, 30 * SECOND  # ns; how long a tally keeps an outcome
RISKY_SHARE, LOOK = 0.35, SECOND  # failing share from which unsafe messages wait; ns, and look again
BAD_SHARE, BAD_RUN, THIN = 0.7, 3, 0.5  # that mean out: share, failures in a row, one if less good is known
QUIET, QUIET_CALLS = 2 * SECOND, 10  # ns, calls of this instance's part; refusals alone so long mean shut
LONG_WAIT = 3 * SECOND  # ns; a told wait that means it, too
TRIAL_GAP, TRIAL_SLACK, TRIAL_MOST, SPREAD = 200 * MS, 700 * MS, 16 * SECOND, 0.5  # ns, ns x instances, ns
ROUGH_ERROR, LEAST_PART, SAFETY = 1.5, 0.001, 0.8  # x too high; calls a second; share of the budget used
CUT, CUT_START, REGROWTH = 0.5, 0.6, 0.15  # x a refusal, x the flow before a first one, share a second
PACE_FLOOR, PACE_END = 0.5, 2.0  # x this instance's part: least pace, and where pacing ends
FLOW_SPAN, LOW_ALLOWANCE = 2 * SECOND, 0.15  # ns flow is averaged over; share left that starts pacing

TABLE, TIGHT, CLUMP = 6, 0.1, 3 * SECOND  # instances with a connection each; share; traffic told at once
PROOF, YIELD = 8, 0.1  # answers before one is kept idle; share closed since: who keeps one learns nothing
MOST_TOGETHER, TOGETHER = 1024, 0.5  # messages in a call where none break; growth with a call that passes
BEHIND = 1e-6  # x worth of what may wait: it goes last
REACH = 0.5  # x mean latency; with less time left a message is given up
ASK_GAP, ASK_MOST, AVOID_STEPS = 500 * MS, 5 * SECOND, 4  # ns, asks; steps an endpoint is ranked by
RESTING = (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)  # after these it may still run: a key rests


class Message:
    """One message taken, with all that the rules need to know of it."""

    def __init__(self, event: api.NewMessage, cls: api.MessageClass, dest: Destination, now: int) -> None:
        self.id, self.cls, self.number, self.dest = event.message, cls, event.cls, dest
        self.key = event.key if cls.in_order else None
        self.keyed, self.unsafe = cls.effect is Effect.KEYED, cls.effect is Effect.UNSAFE
        self.zoned = self.keyed and cls.group is api.Group.ZONE
        self.deadline, self.worth = now + event.time_left, cls.worth * (BEHIND if event.behind else 1)
        self.behind = event.behind
        self.span = min(cls.aim + int(cls.aim_stretch * event.work), cls.deadline)
        began = self.deadline - cls.deadline if event.came_again else now  # little time left is no age
        self.aim = min(began + self.span, self.deadline)
        self.call: Call | None = None  # never two at once
        # When and in which zone it may have run, oldest first.
        self.ran: list[tuple[int, int]] = [] if event.ran_at is None else [(event.ran_at, event.ran_zone)]
        self.attempts = self.failures = event.attempts  # more than none after a restart of the process
        self.ended, self.queued, self.last = False, False, ""

    def until(self) -> int:
        return min(self.deadline, self.ran[0][0] + self.cls.window if self.keyed and self.ran else NEVER)

    def may_try(self, now: int, most: int) -> bool:
        """The one place that says whether a further attempt is allowed (rules 1 and 2)."""
        free = not self.ended and self.call is None and self.attempts < most and now < self.until()
        return free and not (self.ran and self.unsafe)

    def may_refuse(self) -> bool:
        """The one place that says whether a refusal is true: handing it in again is harmless (rule 2)."""
        return not self.ran or self.cls.effect is Effect.SAFE or (self.keyed and not self.zoned)

    def zone(self) -> int | None:
        return self.ran[0][1] if self.zoned and self.ran else None

    def value(self, at: int, decay: api.Decay) -> float:
        late, share = max(0, at - self.aim), self.cls.late_share
        if decay is api.Decay.HALVES:
            return self.worth * max(share, exp(-0.6931 * late / self.span))
        return self.worth * max(0.0, 1 - (1 - share) * late / max(1, self.deadline - self.aim))


class Call:
    """One call out: its slot is free when the last of its messages has an outcome."""

    def __init__(self, endpoint: Endpoint, sent: int) -> None:
        self.endpoint, self.sent, self.left, self.size, self.passed = endpoint, sent, 1, 1, False


class Endpoint:
    def __init__(self, entry: api.Entry, lane: Lane) -> None:
        self.name, self.zone, self.lane, self.listed = entry.endpoint, entry.zone, lane, True
        self.calls, self.used_at = 0, -NEVER
        self.room, self.shut = 0 if entry.gated else NEVER, 0  # calls it takes; no connection before then
        self.crowded = 0  # times in a row that its full table turned us away
        # By class: one alone may fail here.
        self.tallies = defaultdict[int, DecayingTally](lambda: DecayingTally(LONG_FADE))


class Lane:
    """One limit and its health: a destination, or one endpoint where endpoints are routes apart."""

    def __init__(self, settings: api.Settings, rng: Random, tight: DecayingTally) -> None:
        self.s, self.rng, self.latency = settings, rng, float(START_LATENCY)
        self.tight = tight  # failed connects of all its kind
        self.tally = DecayingTally(FADE)  # failed calls here
        self.calls: dict[Call, None] = {}  # oldest first
        self.scale, self.limit, self.flow, self.rate, self.risk = 0.0, 0.0, 0.0, inf, RISKY_SHARE
        self.wait_until = self.trial_at = self.last_send = self.cut_at = self.down_at = 0
        self.answered = 0  # calls that reached it
        self.run, self.most = 0.0, float(MOST_TOGETHER)  # the latter falls where whole calls break
        self.ok_sent = self.bad_sent = self.bad_at = self.back_at = self.closed_at = -NEVER
        self.out, self.flow_at, self.spread = False, 0, SPREAD if settings.instances > TABLE else JITTER

    def part(self) -> float:  # its part of the capacity in calls a second; a rough figure is distrusted
        rough = ROUGH_ERROR if self.s.scale is api.Scale.ROUGH else 1
        unlisted = 0.0 if self.s.scale is not api.Scale.OFF else max(0.5, self.flow * SECOND / FLOW_SPAN)
        return unlisted or max(LEAST_PART, (self.limit or self.scale / rough) / self.s.instances)

    def budget(self, cold_for: int, down_for: int) -> float:
        """Calls a second a cold destination bears, shared by all, or by those its traffic told (rule 4)."""
        share = self.s.cold_share + (1 - self.s.cold_share) * min(1.0, cold_for / self.s.cold)
        return SAFETY * self.s.fall_multiple * share * max(self.part(), SECOND / max(CLUMP, down_for))

    def pace(self, now: int) -> float:
        """Calls a second allowed now. One pace serves refusals and the ramp after a return (rule 4)."""
        grown = REGROWTH * min(1.0, self.rate) * (now - self.cut_at) / SECOND if self.rate < inf else 0.0
        rate = max(self.rate * (1 + grown), PACE_FLOOR * self.part())  # a limit may have been raised since
        if rate > PACE_END * max(self.part(), self.rate / CUT_START):
            rate = self.rate = inf
        ramp = now - self.back_at < self.s.cold
        return min(rate, self.budget(now - self.back_at, self.back_at - self.down_at)) if ramp else rate

    def cut(self, now: int) -> None:
        flow = self.flow * exp((self.flow_at - now) / FLOW_SPAN) * SECOND / FLOW_SPAN
        rate = CUT * self.pace(now) if self.rate < inf else max(CUT_START * flow, self.part())
        self.rate, self.cut_at = max(rate, PACE_FLOOR * self.part()), now

    def overdue(self) -> float:  # an answer that takes longer is late
        return max(LEAST_OVERDUE, OVERDUE_FACTOR * self.latency)

    def ready_at(self, now: int, unsafe: bool) -> int:
        """When this lane may take a message; NEVER means that an outcome will tell."""
        sent = next(iter(self.calls)).sent if self.calls else now
        silent = now - sent > self.overdue() and self.ok_sent < sent
        if silent and not self.out:  # a hang: nothing sent since the oldest call was answered
            self.close(now)
        trial_out = self.out and self.calls and next(reversed(self.calls)).sent >= self.closed_at
        paced = self.trial_at if self.out else self.last_send + int(SECOND / self.pace(now))
        risky = unsafe and self.tally.share(now) > self.risk  # unsafe messages are the last to be a trial
        return NEVER if trial_out else max(self.wait_until, paced, now + LOOK * risky)

    def close(self, now: int) -> None:  # out: single trials at growing, jittered gaps from now on
        self.down_at = self.down_at if self.out else now
        self.out, self.closed_at, self.back_at = True, now, -NEVER
        self.risk = RISKY_SHARE * self.rng.uniform(1 - self.spread, 1 + JITTER)  # all were told at once
        gap = SECOND / self.budget(0, now - self.down_at) if now - self.down_at > TRIAL_GAP / 2 else 0
        gap = max(TRIAL_GAP, min(gap, TRIAL_SLACK * self.s.instances, TRIAL_MOST))
        self.trial_at = now + int(gap * self.rng.uniform(1 - self.spread, 1 + self.spread))

    def passed(self, now: int, call: Call, took: int) -> bool:  # true if it brings the lane back
        self.latency += LATENCY_WEIGHT / call.size * (took - self.latency)
        self.flow *= exp((self.flow_at - now) / FLOW_SPAN)
        self.flow += 1 / call.size  # in calls, as limits are
        self.most = min(MOST_TOGETHER, self.most * (1 + TOGETHER / call.size))
        self.flow_at, self.ok_sent = now, max(self.ok_sent, call.sent)
        if call.sent < self.bad_sent:  # older than a failure: it proves nothing
            return False
        back, self.run = self.out, 0.0
        if back:  # no ramp where no trial failed: one failure is no outage
            self.out, self.back_at = False, now if self.closed_at > self.down_at else -NEVER
        return back

    def failed(self, now: int, call: Call, refused: bool, wait: int) -> None:
        fresh = call.sent >= self.bad_at  # one burst counts once, a broken batch hardly
        self.run += fresh / (1 if refused else call.size)
        self.bad_sent, self.bad_at = max(self.bad_sent, call.sent), now
        if refused and fresh:
            self.cut(now)
        quiet = max(QUIET, QUIET_CALLS * SECOND / self.part())  # none passes for a while where few are made
        shut = wait >= LONG_WAIT or (self.run >= BAD_RUN and now - self.ok_sent > quiet)
        bad = self.run >= BAD_RUN or self.tally.good < THIN or self.tally.share(now) >= BAD_SHARE
        if self.out or (shut if refused else bad):
            self.close(now)


Offer = tuple[float, int, Message, Endpoint]


class Destination:
    def __init__(self) -> None:
        self.queues: dict[tuple[int, int | None, bool], MessageQueue[Message]] = {}
        self.endpoints: dict[str, Endpoint] = {}
        self.lane: Lane | None = None  # of the endpoint named last; all share it where limits are shared
        self.waiting: dict[Message, None] = {}  # on the ladder
        self.used, self.wake_at, self.per_call, self.opens = 0, 0, 1, 0  # `opens` as of the last look


class Brain:
    def __init__(self, settings: api.Settings, seed: int) -> None:
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
        self.actions: list[api.Action] = []
        self.on: dict[type, Callable[..., object]] = {api.NewMessage: self._taken, api.ListNews: self._news}
        self.on |= {api.AttemptEnded: self._outcome, api.Withdrawn: self._drop, api.TimerFired: self._rang}
        self.on |= {api.Room: self._room, api.Told: self._told}
        self.on[api.Leaving] = lambda event: self._bar(self.now + event.gap)
        if settings.must_ask:
            self._wake(0, self._act, api.Subscribe())

    def handle(self, now: int, events: list[api.Event]) -> list[api.Action]:
        self.now, self.actions = now, []
        for event in events:
            self.on[type(event)](event)
        while self.wakes and self.wakes[0][0] <= now:
            _, _, what, subject = heappop(self.wakes)
            what(subject)
        self._send_all()
        for endpoint in self.rested:  # an idle connection takes a place that all instances share
            lane, scarce = endpoint.lane, self.s.instances > TABLE and not endpoint.calls
            full = lane.tight.share(now) > TIGHT or lane.answered < PROOF or self.rng.random() < YIELD
            if scarce and full:
                self.actions.append(api.Close(endpoint.name))
        self.rested.clear()
        if self.wakes and self.wakes[0][0] < self.timer_at:
            self.timer_at = self.wakes[0][0]
            self.actions.append(api.SetTimer(self.timer_at))
        return self.actions

    def goes(self, now: int, name: str) -> bool:
        """The last look, at a call's first byte: what was told since it was decided counts (rules 1 to 5)."""
        message = self.messages[name]
        if (call := message.call) is None or message.ended or not call.endpoint.listed:
            return False
        lane = call.endpoint.lane
        return lane.wait_until <= now < self._last(message) and not (lane.out and lane.closed_at > call.sent)

    def share(self, slots: int) -> None:  # so many are this process's from now on
        self.s = replace(self.s, slots=slots)

    def _rang(self, _: object) -> None:  # also a timer that rang a moment early: it is set again
        self.timer_at = NEVER

    def _act(self, action: api.Action) -> None:
        self.actions.append(action)

    def _wake(self, at: int, what: Callable[..., object], subject: object) -> None:
        self.seq += 1
        heappush(self.wakes, (at, self.seq, what, subject))

    def _news(self, event: api.ListNews) -> None:
        """A stale or missing list never stops delivery; what drains or is gone gets nothing new (rule 3)."""
        failed, whole = event.mode is api.ListMode.FAILED, (api.ListMode.FULL, api.ListMode.CACHED)
        if failed:
            pause = int(self.ask_gap * self.rng.uniform(1 - JITTER, 1))
            self._wake(self.now + pause, self._act, api.Subscribe())
        self.ask_gap = min(2 * self.ask_gap, ASK_MOST) if failed else ASK_GAP
        named = {entry.endpoint for entry in event.entries}
        for dest in self.dests.values() if event.mode in whole else ():
            dest.endpoints = {name: old for name, old in dest.endpoints.items() if name in named}
        for entry in event.entries:
            dest = self.dests.setdefault(entry.destination, Destination())
            kind, tight = self.kinds[min(entry.kind, len(self.kinds) - 1)]
            if entry.endpoint not in dest.endpoints:
                if dest.lane is None or kind.own_limits:
                    dest.lane = Lane(self.s, self.rng, tight)
                dest.endpoints[entry.endpoint] = Endpoint(entry, dest.lane)
            endpoint, dest.per_call = dest.endpoints[entry.endpoint], kind.per_call
            endpoint.listed, endpoint.lane.scale = entry.status is api.Status.READY, entry.scale
            self.hot[dest] = None
            if entry.status is api.Status.GONE:  # forgotten; its calls out still know it
                del dest.endpoints[entry.endpoint]

    def _room(self, event: api.Room) -> None:
        """Handshakes are no attempts: one that fails tells of the lane."""
        dest = self.dests.get(event.destination, Destination())
        if (endpoint := dest.endpoints.get(event.endpoint)) is None:
            return
        endpoint.room, endpoint.shut, self.hot[dest] = event.calls, self.now + event.shut, None
        if event.failed:
            classes = [endpoint.tallies[number] for number in range(len(self.s.classes))]
            for tally in (endpoint.lane.tight, endpoint.lane.tally, *classes):
                tally.note(self.now, True)
            endpoint.lane.failed(self.now, Call(endpoint, self.now - event.took), False, 0)

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

    def _taken(self, event: api.NewMessage) -> None:
        dest = self.dests.setdefault(event.destination, Destination())
        message = Message(event, self.s.classes[event.cls], dest, self.now)
        message.worth *= self._share(event.tenant) if self.s.tenant_rates and not event.behind else 1.0
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
        (left, at), rate = self.tenants[tenant], self.s.tenant_rates[tenant] / self.s.instances
        left = min(max(1.0, rate), left + rate * (self.now - at + 1) / SECOND)
        self.tenants[tenant] = (left - (left >= 1), self.now)
        return 1.0 if left >= 1 else self.s.over_share_worth

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
        wait = min(wait, self.s.max_retry_after) if self.s.retry_after else 0
        self.actions.append(api.Refuse(message.id, wait) if message.may_refuse() else api.Fail(message.id))
        self._end(message)

    def _end(self, message: Message) -> None:
        message.dest.waiting.pop(message, None)
        message.ended, message.queued = True, False
        if message.call is None:
            del self.messages[message.id]
            self._advance(message.key)

    def _told(self, event: api.Told) -> None:
        dest = self.dests.get(event.destination, Destination())
        told = dest.endpoints.get(event.endpoint)  # one that has gone told it for all that are left
        for endpoint in [told] if told else dest.endpoints.values():
            endpoint.lane.wait_until = max(endpoint.lane.wait_until, event.until)
        self.hot[dest] = None

    def _drop(self, event: api.Withdrawn) -> None:
        message = self.messages.get(event.message)
        if message is not None and not message.ended:
            if message.call is not None and self.s.cancel:
                self.actions.append(api.Cancel(message.id, message.attempts - 1))
            self._end(message)

    def _outcome(self, event: api.AttemptEnded) -> None:
        message = self.messages.get(event.message)
        if message is None or message.call is None or event.attempt != message.attempts - 1:
            return
        call, message.call = message.call, None
        lane, call.left = call.endpoint.lane, call.left - 1
        if not call.left:
            self.used, message.dest.used = self.used - 1, message.dest.used - 1
            call.endpoint.calls -= 1
            del lane.calls[call]
        if event.outcome.never_ran:
            message.ran.pop()
        message.attempts -= event.unused
        if event.outcome in RESTING and message.key in self.lines:
            self.lines[message.key][1][0] = self.now + self.s.order_pause
        call.passed = call.passed or event.outcome is Outcome.DELIVERED
        if call.size > 1 and not call.left and not call.passed and not event.outcome.never_ran:
            lane.most = call.size / 2  # each message may break the call and all that ride along
        hasty = event.outcome is Outcome.TIMEOUT and event.took < lane.overdue()  # cut to its own deadline
        if event.outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT) and not event.stale and not hasty:
            self._learn(event, call, message)
        self.hot[message.dest] = self.rested[call.endpoint] = None
        self._end(message) if message.ended or event.settled else self._retry(message, event, lane)

    def _learn(self, event: api.AttemptEnded, call: Call, message: Message) -> None:
        endpoint, lane = call.endpoint, call.endpoint.lane
        if event.crowded or event.outcome is Outcome.CONNECT_FAILED:
            lane.tight.note(self.now, True)
            every = (other for dest in self.dests.values() for other in dest.endpoints.values())
            self.rested |= {other: None for other in every if other.lane.tight is lane.tight}
        if event.crowded:  # that tells nothing of the limit or of health
            endpoint.crowded = min(endpoint.crowded + 1, len(LADDER))
            pause = min(LADDER[endpoint.crowded - 1], TRIAL_SLACK * self.s.instances)
            endpoint.shut = self.now + int(pause * self.rng.uniform(1 - lane.spread, 1))
            return
        endpoint.crowded, lane.answered = 0, lane.answered + 1
        lane.limit = event.limit or lane.limit
        lane.wait_until = max(lane.wait_until, self.now + event.wait)  # a batch may pass and still tell one
        if lane.limit and event.allowance < LOW_ALLOWANCE and lane.rate == inf:
            lane.cut(self.now)
        if event.outcome is not Outcome.REFUSED:
            for tally in (endpoint.tallies[message.number], lane.tally):
                bad = event.outcome is not Outcome.DELIVERED
                tally.note(self.now, bad, 1 / (call.size if call.passed else call.size**2))
        if event.outcome is not Outcome.DELIVERED:
            lane.failed(self.now, call, event.outcome is Outcome.REFUSED, event.wait)
        elif lane.passed(self.now, call, event.took):
            for other in list(message.dest.waiting):  # back: the ladder need not run out
                self._queue(other)

    def _retry(self, message: Message, event: api.AttemptEnded, lane: Lane) -> None:
        """The ladder: a told wait is used, an untold refusal doubles the step, the time left cuts it."""
        if event.unused:  # it is where it was before
            return self._queue(message)
        rung, message.failures = min(message.failures, len(LADDER) - 1), message.failures + 1
        step = LADDER[rung] * (2 if event.outcome is Outcome.REFUSED and not event.crowded else 1)
        pause = int(step * self.rng.uniform(1 - JITTER, 1 + JITTER))
        left = message.until() - int(2 * lane.latency) - self.now
        if event.wait:
            pause = max(event.wait, lane.wait_until - self.now)
        elif pause > left > (LADDER[rung - 1] if rung else 0):
            pause = left
        if pause > left or not message.may_try(self.now, self.most):
            self._finish(message)
        else:
            message.dest.waiting[message] = None
            self._wake(self.now + pause, self._woken, message)

    def _send_all(self) -> None:  # scarce slots: most worth for slot time first, shared out
        offers: list[Offer] = []
        for dest in list(self.hot) if self.used < self.s.slots else ():
            self._offer(dest, offers)
        while offers and self.used < self.s.slots:
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
                value = message.value(self.now + int(latency), self.s.decay) / latency / (1 + dest.used)
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
                if dest.used >= max(1, int(self.s.slots * share)):
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
            self.actions.append(api.Open(wanted.name, 1 if paced else min(queued, self.s.slots)))
        return (min(ready, key=lambda e: self._rank(e, message)) if ready else None), soonest

    def _rank(self, endpoint: Endpoint, message: Message) -> tuple[int, int, int]:
        crossing = endpoint.zone != self.s.zone and self.s.price_cross_zone > 0
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
        self.actions.append(api.Send(message.id, call.endpoint.name, timeout))
        message.ran.append((self.now, call.endpoint.zone))
        message.call, message.queued, message.last = call, False, call.endpoint.name
        message.attempts += 1
