"""What the policy knows of messages, calls, endpoints and destinations."""

from __future__ import annotations

from collections import defaultdict
from math import exp, inf
from random import Random

from honeyhitch.policy.decaying_counter import DecayingTally
from honeyhitch.policy.events import EndpointListing, NewMessage, Outcome
from honeyhitch.policy.message_queue import MessageQueue
from honeyhitch.policy.settings import (
    DeduplicationScope,
    Idempotency,
    LateDecay,
    ListedRateMeaning,
    MessageClass,
    Settings,
)

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

    def __init__(self, event: NewMessage, cls: MessageClass, dest: Destination, now: int) -> None:
        self.id, self.cls, self.number, self.dest = event.message, cls, event.class_index, dest
        self.key = event.ordering_key if cls.ordered else None
        self.keyed, self.unsafe = (
            cls.idempotency is Idempotency.IDEMPOTENCY_KEY,
            cls.idempotency is Idempotency.NON_IDEMPOTENT,
        )
        self.zoned = self.keyed and cls.deduplication_scope is DeduplicationScope.ZONE
        self.deadline, self.worth = (
            now + event.time_left,
            cls.priority_weight * (BEHIND if event.low_priority else 1),
        )
        self.behind = event.low_priority
        self.span = min(
            cls.latency_objective + int(cls.objective_work_factor * event.expected_work), cls.deadline
        )
        began = (
            self.deadline - cls.deadline if event.recovered_from_journal else now
        )  # little time left is no age
        self.aim = min(began + self.span, self.deadline)
        self.call: Call | None = None  # never two at once
        # When and in which zone it may have run, oldest first.
        self.ran: list[tuple[int, int]] = (
            []
            if event.first_possible_execution is None
            else [(event.first_possible_execution, event.first_execution_zone)]
        )
        self.attempts = self.failures = event.attempts  # more than none after a restart of the process
        self.ended, self.queued, self.last = False, False, ""

    def until(self) -> int:
        return min(
            self.deadline,
            self.ran[0][0] + self.cls.deduplication_window if self.keyed and self.ran else NEVER,
        )

    def may_try(self, now: int, most: int) -> bool:
        """The one place that says whether a further attempt is allowed (rules 1 and 2)."""
        free = not self.ended and self.call is None and self.attempts < most and now < self.until()
        return free and not (self.ran and self.unsafe)

    def may_refuse(self) -> bool:
        """The one place that says whether a refusal is true: handing it in again is harmless (rule 2)."""
        return (
            not self.ran or self.cls.idempotency is Idempotency.IDEMPOTENT or (self.keyed and not self.zoned)
        )

    def zone(self) -> int | None:
        return self.ran[0][1] if self.zoned and self.ran else None

    def value(self, at: int, decay: LateDecay) -> float:
        late, share = max(0, at - self.aim), self.cls.late_weight_fraction
        if decay is LateDecay.HALVING:
            return self.worth * max(share, exp(-0.6931 * late / self.span))
        return self.worth * max(0.0, 1 - (1 - share) * late / max(1, self.deadline - self.aim))


class Call:
    """One call out: its slot is free when the last of its messages has an outcome."""

    def __init__(self, endpoint: Endpoint, sent: int) -> None:
        self.endpoint, self.sent, self.left, self.size, self.passed = endpoint, sent, 1, 1, False


class Endpoint:
    def __init__(self, entry: EndpointListing, lane: Lane) -> None:
        self.name, self.zone, self.lane, self.listed = entry.endpoint, entry.zone, lane, True
        self.calls, self.used_at = 0, -NEVER
        self.room, self.shut = (
            0 if entry.requires_open_connection else NEVER,
            0,
        )  # calls it takes; no connection before then
        self.crowded = 0  # times in a row that its full table turned us away
        # By class: one alone may fail here.
        self.tallies = defaultdict[int, DecayingTally](lambda: DecayingTally(LONG_FADE))


class Lane:
    """One limit and its health: a destination, or one endpoint where endpoints are routes apart."""

    def __init__(self, settings: Settings, rng: Random, tight: DecayingTally) -> None:
        self.s, self.rng, self.latency = settings, rng, float(START_LATENCY)
        self.tight = tight  # failed connects of all its kind
        self.tally = DecayingTally(FADE)  # failed calls here
        self.calls: dict[Call, None] = {}  # oldest first
        self.scale, self.limit, self.flow, self.rate, self.risk = 0.0, 0.0, 0.0, inf, RISKY_SHARE
        self.wait_until = self.trial_at = self.last_send = self.cut_at = self.down_at = 0
        self.answered = 0  # calls that reached it
        self.run, self.most = 0.0, float(MOST_TOGETHER)  # the latter falls where whole calls break
        self.ok_sent = self.bad_sent = self.bad_at = self.back_at = self.closed_at = -NEVER
        self.out, self.flow_at, self.spread = False, 0, SPREAD if settings.instance_count > TABLE else JITTER

    def part(self) -> float:  # its part of the capacity in calls a second; a rough figure is distrusted
        rough = ROUGH_ERROR if self.s.listed_rate_meaning is ListedRateMeaning.ROUGH else 1
        unlisted = (
            0.0
            if self.s.listed_rate_meaning is not ListedRateMeaning.OFF
            else max(0.5, self.flow * SECOND / FLOW_SPAN)
        )
        return unlisted or max(LEAST_PART, (self.limit or self.scale / rough) / self.s.instance_count)

    def budget(self, cold_for: int, down_for: int) -> float:
        """Calls a second a cold destination bears, shared by all, or by those its traffic told (rule 4)."""
        share = self.s.slow_start_fraction + (1 - self.s.slow_start_fraction) * min(
            1.0, cold_for / self.s.slow_start_duration
        )
        return SAFETY * self.s.overload_factor * share * max(self.part(), SECOND / max(CLUMP, down_for))

    def pace(self, now: int) -> float:
        """Calls a second allowed now. One pace serves refusals and the ramp after a return (rule 4)."""
        grown = REGROWTH * min(1.0, self.rate) * (now - self.cut_at) / SECOND if self.rate < inf else 0.0
        rate = max(self.rate * (1 + grown), PACE_FLOOR * self.part())  # a limit may have been raised since
        if rate > PACE_END * max(self.part(), self.rate / CUT_START):
            rate = self.rate = inf
        ramp = now - self.back_at < self.s.slow_start_duration
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
        gap = max(TRIAL_GAP, min(gap, TRIAL_SLACK * self.s.instance_count, TRIAL_MOST))
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


class Destination:
    def __init__(self) -> None:
        self.queues: dict[tuple[int, int | None, bool], MessageQueue[Message]] = {}
        self.endpoints: dict[str, Endpoint] = {}
        self.lane: Lane | None = None  # of the endpoint named last; all share it where limits are shared
        self.waiting: dict[Message, None] = {}  # on the ladder
        self.used, self.wake_at, self.per_call, self.opens = 0, 0, 1, 0  # `opens` as of the last look
