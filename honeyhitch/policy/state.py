"""What the policy knows of messages, calls, endpoints and destinations."""

from __future__ import annotations

from collections import defaultdict
from math import exp, inf
from random import Random

from honeyhitch.policy.decaying_counter import DecayingCounter
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
BACKOFF_STEPS = (250 * MS, SECOND, 4 * SECOND, 16 * SECOND)  # ns; the design's pauses between tries
JITTER, ATTEMPTS = 0.2, 5  # share, tries; the design's spread of a pause and bound on tries
HEALTHY_SHARE, SICK_SHARE = 0.75, 0.25  # of the slots; the design's cap, and half of its cap for the sick
START_LATENCY, LATENCY_WEIGHT = 200 * MS, 0.1  # ns, share; until a first answer, and of a new sample
TIMEOUT_FACTOR, UNSAFE_ROOM = 10, 2  # x mean latency: the far tail; x that where a time-out is the end
OVERDUE_FACTOR, LEAST_OVERDUE = 5, 700 * MS  # x mean latency, ns; longer with no later answer is a hang
FADE, LONG_FADE = 8 * SECOND, 30 * SECOND  # ns; how long a tally keeps an outcome
NON_IDEMPOTENT_FAILURE_FRACTION, LOOK = (
    0.35,
    SECOND,
)  # failing share from which unsafe messages wait; ns, and look again
EJECTION_FAILURE_FRACTION, BAD_RUN, THIN = (
    0.7,
    3,
    0.5,
)  # that mean out: share, failures in a row, one if less good is known
QUIET, QUIET_CALLS = 2 * SECOND, 10  # ns, calls of this instance's part; refusals alone so long mean shut
LONG_WAIT = 3 * SECOND  # ns; a told wait that means it, too
TRIAL_GAP, TRIAL_SLACK, TRIAL_MOST, SPREAD = 200 * MS, 700 * MS, 16 * SECOND, 0.5  # ns, ns x instances, ns
ROUGH_ERROR, LEAST_PART, SAFETY = 1.5, 0.001, 0.8  # x too high; calls a second; share of the budget used
CUT, CUT_START, REGROWTH = 0.5, 0.6, 0.15  # x a refusal, x the flow before a first one, share a second
PACE_FLOOR, PACE_END = 0.5, 2.0  # x this instance's part: least pace, and where pacing ends
FLOW_SPAN, LOW_ALLOWANCE = 2 * SECOND, 0.15  # ns flow is averaged over; share left that starts pacing

TABLE, TIGHT, CLUMP = 6, 0.1, 3 * SECOND  # instances with a connection each; share; traffic told at once
ANSWERS_BEFORE_POOLING, YIELD = (
    8,
    0.1,
)  # answers before one is kept idle; share closed since: who keeps one learns nothing
MOST_TOGETHER, TOGETHER = 1024, 0.5  # messages in a call where none break; growth with a call that passes
BEHIND = 1e-6  # x worth of what may wait: it goes last
REACH = 0.5  # x mean latency; with less time left a message is given up
ASK_GAP, ASK_MOST, AVOID_STEPS = 500 * MS, 5 * SECOND, 4  # ns, asks; steps an endpoint is ranked by
RESTING = (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)  # after these it may still run: a key rests


class PendingMessage:
    """One message taken, with all that the rules need to know of it."""

    def __init__(self, event: NewMessage, cls: MessageClass, dest: Destination, now: int) -> None:
        self.id, self.message_class, self.class_index, self.destination = (
            event.message,
            cls,
            event.class_index,
            dest,
        )
        self.ordering_key = event.ordering_key if cls.ordered else None
        self.has_idempotency_key, self.non_idempotent = (
            cls.idempotency is Idempotency.IDEMPOTENCY_KEY,
            cls.idempotency is Idempotency.NON_IDEMPOTENT,
        )
        self.zone_bound = self.has_idempotency_key and cls.deduplication_scope is DeduplicationScope.ZONE
        self.deadline, self.priority_weight = (
            now + event.time_left,
            cls.priority_weight * (BEHIND if event.low_priority else 1),
        )
        self.low_priority = event.low_priority
        self.objective_duration = min(
            cls.latency_objective + int(cls.objective_work_factor * event.expected_work), cls.deadline
        )
        began = (
            self.deadline - cls.deadline if event.recovered_from_journal else now
        )  # little time left is no age
        self.objective_at = min(began + self.objective_duration, self.deadline)
        self.call: Call | None = None  # never two at once
        # When and in which zone it may have run, oldest first.
        self.possible_executions: list[tuple[int, int]] = (
            []
            if event.first_possible_execution is None
            else [(event.first_possible_execution, event.first_execution_zone)]
        )
        self.attempts = self.failures = event.attempts  # more than none after a restart of the process
        self.ended, self.queued, self.last_endpoint = False, False, ""

    def attempts_allowed_until(self) -> int:
        return min(
            self.deadline,
            self.possible_executions[0][0] + self.message_class.deduplication_window
            if self.has_idempotency_key and self.possible_executions
            else NEVER,
        )

    def may_attempt(self, now: int, most: int) -> bool:
        """The one place that says whether a further attempt is allowed (rules 1 and 2)."""
        free = (
            not self.ended
            and self.call is None
            and self.attempts < most
            and now < self.attempts_allowed_until()
        )
        return free and not (self.possible_executions and self.non_idempotent)

    def may_reject(self) -> bool:
        """The one place that says whether a refusal is true: handing it in again is harmless (rule 2)."""
        return (
            not self.possible_executions
            or self.message_class.idempotency is Idempotency.IDEMPOTENT
            or (self.has_idempotency_key and not self.zone_bound)
        )

    def required_zone(self) -> int | None:
        return self.possible_executions[0][1] if self.zone_bound and self.possible_executions else None

    def value(self, at: int, decay: LateDecay) -> float:
        late, share = max(0, at - self.objective_at), self.message_class.late_weight_fraction
        if decay is LateDecay.HALVING:
            return self.priority_weight * max(share, exp(-0.6931 * late / self.objective_duration))
        return self.priority_weight * max(
            0.0, 1 - (1 - share) * late / max(1, self.deadline - self.objective_at)
        )


class Call:
    """One call out: its slot is free when the last of its messages has an outcome."""

    def __init__(self, endpoint: EndpointState, sent: int) -> None:
        self.endpoint, self.sent_at, self.pending_messages, self.message_count, self.any_delivered = (
            endpoint,
            sent,
            1,
            1,
            False,
        )


class EndpointState:
    def __init__(self, entry: EndpointListing, lane: DestinationState) -> None:
        self.name, self.zone, self.state, self.listed = entry.endpoint, entry.zone, lane, True
        self.concurrent_calls, self.used_at = 0, -NEVER
        self.capacity, self.connect_blocked_until = (
            0 if entry.requires_open_connection else NEVER,
            0,
        )  # calls it takes; no connection before then
        self.connection_limit_failures = 0  # times in a row that its full table turned us away
        # By class: one alone may fail here.
        self.failures_by_class = defaultdict[int, DecayingCounter](lambda: DecayingCounter(LONG_FADE))


class DestinationState:
    """One limit and its health: a destination, or one endpoint where endpoints are routes apart."""

    def __init__(self, settings: Settings, rng: Random, tight: DecayingCounter) -> None:
        self.settings, self.rng, self.latency = settings, rng, float(START_LATENCY)
        self.connection_failures = tight  # failed connects of all its kind
        self.call_failures = DecayingCounter(FADE)  # failed calls here
        self.calls_in_flight: dict[Call, None] = {}  # oldest first
        self.listed_rate, self.reported_limit, self.recent_calls, self.rate_limit, self.risk_threshold = (
            0.0,
            0.0,
            0.0,
            inf,
            NON_IDEMPOTENT_FAILURE_FRACTION,
        )
        self.retry_after_until = self.next_probe_at = self.last_sent_at = self.rate_reduced_at = (
            self.ejected_at
        ) = 0
        self.answered_calls = 0  # calls that reached it
        self.consecutive_failures, self.max_messages_per_call = (
            0.0,
            float(MOST_TOGETHER),
        )  # the latter falls where whole calls break
        self.success_sent_at = self.failure_sent_at = self.failed_at = self.recovered_at = (
            self.reejected_at
        ) = -NEVER
        self.ejected, self.recent_calls_at, self.probe_jitter = (
            False,
            0,
            SPREAD if settings.instance_count > TABLE else JITTER,
        )

    def quota(self) -> float:  # its part of the capacity in calls a second; a rough figure is distrusted
        rough = ROUGH_ERROR if self.settings.listed_rate_meaning is ListedRateMeaning.ROUGH else 1
        unlisted = (
            0.0
            if self.settings.listed_rate_meaning is not ListedRateMeaning.OFF
            else max(0.5, self.recent_calls * SECOND / FLOW_SPAN)
        )
        return unlisted or max(
            LEAST_PART, (self.reported_limit or self.listed_rate / rough) / self.settings.instance_count
        )

    def slow_start_rate(self, cold_for: int, down_for: int) -> float:
        """Calls a second a cold destination bears, shared by all, or by those its traffic told (rule 4)."""
        share = self.settings.slow_start_fraction + (1 - self.settings.slow_start_fraction) * min(
            1.0, cold_for / self.settings.slow_start_duration
        )
        return (
            SAFETY * self.settings.overload_factor * share * max(self.quota(), SECOND / max(CLUMP, down_for))
        )

    def send_rate(self, now: int) -> float:
        """Calls a second allowed now. One pace serves refusals and the ramp after a return (rule 4)."""
        grown = (
            REGROWTH * min(1.0, self.rate_limit) * (now - self.rate_reduced_at) / SECOND
            if self.rate_limit < inf
            else 0.0
        )
        rate = max(
            self.rate_limit * (1 + grown), PACE_FLOOR * self.quota()
        )  # a limit may have been raised since
        if rate > PACE_END * max(self.quota(), self.rate_limit / CUT_START):
            rate = self.rate_limit = inf
        ramp = now - self.recovered_at < self.settings.slow_start_duration
        return (
            min(rate, self.slow_start_rate(now - self.recovered_at, self.recovered_at - self.ejected_at))
            if ramp
            else rate
        )

    def reduce_rate(self, now: int) -> None:
        flow = self.recent_calls * exp((self.recent_calls_at - now) / FLOW_SPAN) * SECOND / FLOW_SPAN
        rate = CUT * self.send_rate(now) if self.rate_limit < inf else max(CUT_START * flow, self.quota())
        self.rate_limit, self.rate_reduced_at = max(rate, PACE_FLOOR * self.quota()), now

    def overdue_after(self) -> float:  # an answer that takes longer is late
        return max(LEAST_OVERDUE, OVERDUE_FACTOR * self.latency)

    def ready_at(self, now: int, unsafe: bool) -> int:
        """When this lane may take a message; NEVER means that an outcome will tell."""
        sent = next(iter(self.calls_in_flight)).sent_at if self.calls_in_flight else now
        silent = now - sent > self.overdue_after() and self.success_sent_at < sent
        if silent and not self.ejected:  # a hang: nothing sent since the oldest call was answered
            self.eject(now)
        trial_out = (
            self.ejected
            and self.calls_in_flight
            and next(reversed(self.calls_in_flight)).sent_at >= self.reejected_at
        )
        paced = self.next_probe_at if self.ejected else self.last_sent_at + int(SECOND / self.send_rate(now))
        risky = (
            unsafe and self.call_failures.failure_fraction(now) > self.risk_threshold
        )  # unsafe messages are the last to be a trial
        return NEVER if trial_out else max(self.retry_after_until, paced, now + LOOK * risky)

    def eject(self, now: int) -> None:  # out: single trials at growing, jittered gaps from now on
        self.ejected_at = self.ejected_at if self.ejected else now
        self.ejected, self.reejected_at, self.recovered_at = True, now, -NEVER
        self.risk_threshold = NON_IDEMPOTENT_FAILURE_FRACTION * self.rng.uniform(
            1 - self.probe_jitter, 1 + JITTER
        )  # all were told at once
        gap = (
            SECOND / self.slow_start_rate(0, now - self.ejected_at)
            if now - self.ejected_at > TRIAL_GAP / 2
            else 0
        )
        gap = max(TRIAL_GAP, min(gap, TRIAL_SLACK * self.settings.instance_count, TRIAL_MOST))
        self.next_probe_at = now + int(gap * self.rng.uniform(1 - self.probe_jitter, 1 + self.probe_jitter))

    def record_success(self, now: int, call: Call, took: int) -> bool:  # true if it brings the lane back
        self.latency += LATENCY_WEIGHT / call.message_count * (took - self.latency)
        self.recent_calls *= exp((self.recent_calls_at - now) / FLOW_SPAN)
        self.recent_calls += 1 / call.message_count  # in calls, as limits are
        self.max_messages_per_call = min(
            MOST_TOGETHER, self.max_messages_per_call * (1 + TOGETHER / call.message_count)
        )
        self.recent_calls_at, self.success_sent_at = now, max(self.success_sent_at, call.sent_at)
        if call.sent_at < self.failure_sent_at:  # older than a failure: it proves nothing
            return False
        back, self.consecutive_failures = self.ejected, 0.0
        if back:  # no ramp where no trial failed: one failure is no outage
            self.ejected, self.recovered_at = False, now if self.reejected_at > self.ejected_at else -NEVER
        return back

    def record_failure(self, now: int, call: Call, refused: bool, wait: int) -> None:
        fresh = call.sent_at >= self.failed_at  # one burst counts once, a broken batch hardly
        self.consecutive_failures += fresh / (1 if refused else call.message_count)
        self.failure_sent_at, self.failed_at = max(self.failure_sent_at, call.sent_at), now
        if refused and fresh:
            self.reduce_rate(now)
        quiet = max(QUIET, QUIET_CALLS * SECOND / self.quota())  # none passes for a while where few are made
        shut = wait >= LONG_WAIT or (
            self.consecutive_failures >= BAD_RUN and now - self.success_sent_at > quiet
        )
        bad = (
            self.consecutive_failures >= BAD_RUN
            or self.call_failures.good < THIN
            or self.call_failures.failure_fraction(now) >= EJECTION_FAILURE_FRACTION
        )
        if self.ejected or (shut if refused else bad):
            self.eject(now)


class Destination:
    def __init__(self) -> None:
        self.queues: dict[tuple[int, int | None, bool], MessageQueue[PendingMessage]] = {}
        self.endpoints: dict[str, EndpointState] = {}
        self.state: DestinationState | None = (
            None  # of the endpoint named last; all share it where limits are shared
        )
        self.backing_off: dict[PendingMessage, None] = {}  # on the ladder
        self.concurrent_calls, self.next_check_at, self.max_messages_per_call, self.blocked_until = (
            0,
            0,
            1,
            0,
        )  # `opens` as of the last look
