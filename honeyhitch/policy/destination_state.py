"""The rate limit and health of a destination, or of one endpoint where limits are per endpoint."""

from __future__ import annotations

from math import inf
from random import Random
from typing import NamedTuple

from honeyhitch.policy.actions import Action, HealthChange, RecordOutage, ReportHealth
from honeyhitch.policy.call import Call
from honeyhitch.policy.circuit_breaking import CircuitBreaker
from honeyhitch.policy.decaying_counter import DecayingCounter
from honeyhitch.policy.latency import LatencyEstimate
from honeyhitch.policy.outage_evidence import MAX_LIMITED, OutageEvidence, OutageHistory
from honeyhitch.policy.rate_limiting import RateLimiter
from honeyhitch.policy.settings import Settings
from honeyhitch.time_units import NEVER, SECOND

NON_IDEMPOTENT_RECHECK_PAUSE = SECOND  # until a held non-idempotent message is considered again
MAX_MESSAGES_PER_CALL = 1024  # while no call fails as a whole
# Consecutive rejections of connections that eject. At a connection limit some connections are accepted.
EJECTION_CONNECTION_REJECTIONS = 6
MESSAGES_PER_CALL_GROWTH = 0.5  # fraction by which the limit grows with each successful call


class StateOwner(NamedTuple):
    """The destination that a state belongs to, or one endpoint of it where limits are per endpoint."""

    destination: int
    endpoint: str = ""  # empty if all endpoints of the destination share the state


class DestinationState:
    """The rate limit, circuit breaker, latency and Retry-After that decide when a destination may get calls.

    Times are nanoseconds.
    """

    __slots__ = (
        "_recorded_history",
        "_reports",
        "_rng",
        "answered_calls",
        "calls_in_flight",
        "circuit",
        "connection_failures",
        "last_sent_at",
        "latency",
        "max_messages_per_call",
        "outage",
        "owner",
        "rate",
        "retry_after_until",
    )

    def __init__(
        self,
        settings: Settings,
        rng: Random,
        connection_failures: DecayingCounter,
        owner: StateOwner,
        reports: list[Action],
    ) -> None:
        """Create the state; each change of its health or outage history is appended to `reports`."""
        self.owner = owner
        self._rng = rng
        self._recorded_history = OutageHistory()
        self._reports = reports
        self.latency = LatencyEstimate()
        self.rate = RateLimiter(settings)
        self.circuit = CircuitBreaker(settings, rng, self.rate)
        self.outage = OutageEvidence()
        self.connection_failures = connection_failures  # shared by all destinations of the kind
        self.calls_in_flight: dict[Call, None] = {}  # oldest first
        self.retry_after_until = 0
        self.last_sent_at = 0
        self.answered_calls = 0
        self.max_messages_per_call = float(MAX_MESSAGES_PER_CALL)  # lowered when a whole call fails

    def ready_at(self, now: int, non_idempotent: bool) -> int:
        """Return the time from which the destination may take a message.

        The time keeps the send rate, so that a destination in slow start is not overloaded, and an ejected
        destination gets only recovery probes (rules 3 and 4). It is not before the end of a Retry-After.
        NEVER means that the outcome of the probe in flight decides.
        """
        circuit = self.circuit
        if not circuit.ejected and self.calls_in_flight:
            oldest_sent_at = next(iter(self.calls_in_flight)).sent_at
            if circuit.hangs(now, oldest_sent_at, self.latency.overdue_after()):
                self._eject(now, "response-overdue")
        if circuit.ejected:
            ready_at = circuit.next_probe_at
        else:
            ready_at = self.last_sent_at + self._pause_between_calls(now)
        ready_at = max(ready_at, self.retry_after_until, now)
        if non_idempotent and circuit.call_failures.failure_fraction(now) > circuit.non_idempotent_threshold:
            ready_at = max(ready_at, now + NON_IDEMPOTENT_RECHECK_PAUSE)
        return NEVER if circuit.ejected and self._probe_in_flight() else ready_at

    def is_limited(self, now: int) -> bool:
        """Return whether calls are limited now: by an ejection, rejections or a possible outage."""
        return self.circuit.ejected or self.outage.suggests_outage(now) or self.rate.send_rate(now) < inf

    def _pause_between_calls(self, now: int) -> int:
        """Return the pause after a call before the next one may start.

        A destination that may be out may return at any time, so its calls are as far apart as in a slow
        start. After rejections alone, which may also come from a limit, one call may be sent earlier.
        """
        pause = int(SECOND / self.rate.send_rate(now))
        if not self.outage.suggests_outage(now) or (
            self.outage.may_be_limited(now) and not self.calls_in_flight
        ):
            return pause
        outage_duration = min(self.outage.duration(now), MAX_LIMITED)  # so that the pause is bounded
        return max(pause, int(SECOND / self.rate.slow_start_rate(0, outage_duration)))

    def _probe_in_flight(self) -> bool:
        """Return whether a call sent since the latest ejection or failed probe is in flight."""
        calls = self.calls_in_flight
        return bool(calls) and next(reversed(calls)).sent_at >= self.circuit.last_ejection_at

    def honor_retry_after(self, until: int) -> None:
        """Send nothing before `until`, the end of a Retry-After; a later end already set stays."""
        self.retry_after_until = max(self.retry_after_until, until)

    def record_success(self, now: int, call: Call, elapsed: int) -> bool:
        """Record a delivered message; return whether it ends an ejection."""
        count = call.message_count
        self.latency.record(elapsed, count)
        self.rate.record_success(now, count)
        raised_limit = self.max_messages_per_call * (1 + MESSAGES_PER_CALL_GROWTH / count)
        self.max_messages_per_call = min(MAX_MESSAGES_PER_CALL, raised_limit)
        if not self.circuit.record_success(call):
            return False
        was_failing = self.circuit.ejected or self.outage.failing_since is not None
        if self.outage.suggests_outage(now) or self.circuit.probe_failed:
            self.rate.start_slow_start(now, self.outage.duration(now))
        self.outage.record_success(now)
        self._record_history()
        if was_failing:
            self._report(now, HealthChange.RECOVERED, "delivered")
        return self.circuit.end_ejection()

    def record_connection_limit(self, now: int, call: Call) -> None:
        """Record that an endpoint rejected a connection, as at its connection limit.

        Such rejections say nothing about the rate limit, and few of them nothing about health. A partner that
        is down rejects in the same way, so it is ejected once nothing but them has come for some time.
        """
        self.circuit.count_failure(now, call, True)
        self._record_outage_evidence(now, call, rejected=True)
        lasting = self.circuit.consecutive_failures >= EJECTION_CONNECTION_REJECTIONS
        rejecting = lasting and self.circuit.should_eject(now, rejected=True, retry_after=0)
        if rejecting or self.circuit.ejected or self.outage.suggests_outage(now):
            self._eject(now, "connections-rejected")

    def record_failure(self, now: int, call: Call, rejected: bool, retry_after: int) -> None:
        """Record a message that failed, or that the destination rejected because of its rate limit."""
        first_of_burst = self.circuit.count_failure(now, call, rejected)
        self._record_outage_evidence(now, call, rejected, retry_after)
        if rejected and first_of_burst:
            self.rate.reduce_rate(now)
        out_at_next_call = self.outage.suggests_outage(max(now, self.retry_after_until))
        if self.circuit.should_eject(now, rejected, retry_after) or out_at_next_call:
            self._eject(now, "rejected" if rejected else "failed")

    def restore(self, now: int, history: OutageHistory) -> None:
        """Apply what another process of this instance knows of an outage.

        All instances may have been restarted at the same time, so the first call is due at a random time
        within the pause between calls.
        """
        if self.rate.restore_slow_start(history.recovered_at, history.outage_duration):
            pause = int(SECOND / self.rate.send_rate(now))
            self.last_sent_at = max(self.last_sent_at, now - int(pause * self._rng.uniform(0, 1)))
            self._recorded_history = history
        if self.outage.restore(history):
            self._recorded_history = history
            # A failure, unlike a rejection, may be the first one of an outage that this process would miss.
            may_be_out = self.outage.suggests_outage(now) or not history.only_rejections
            if may_be_out and not self.circuit.ejected:
                self.circuit.eject(now, self.outage.duration(now), self.retry_after_until)
                self.circuit.spread_first_probe(now, self.outage.duration(now))
                self._report(now, HealthChange.EJECTED, "failed-before-start")

    def _record_outage_evidence(self, now: int, call: Call, rejected: bool, retry_after: int = 0) -> None:
        if not self.circuit.is_outdated(call):
            self.outage.record_failure(now, rejected, retry_after)
            self._record_history()

    def _record_history(self) -> None:
        history = OutageHistory(
            failing_since=self.outage.failing_since or 0,
            only_rejections=self.outage.failing_since is None or self.outage.only_rejections,
            recovered_at=max(0, self.rate.recovered_at),
            outage_duration=self.rate.outage_duration,
            slow_start_ends_at=self.rate.slow_start_ends_at,
            ends_by=self.outage.ends_by if self.outage.failing_since is not None else 0,
        )
        if history != self._recorded_history:
            self._recorded_history = history
            self._reports.append(RecordOutage(*self.owner, history))

    def _eject(self, now: int, reason: str) -> None:
        change = HealthChange.PROBE_FAILED if self.circuit.ejected else HealthChange.EJECTED
        self.circuit.eject(now, self.outage.duration(now), self.retry_after_until)
        self._report(now, change, reason)

    def _report(self, now: int, change: HealthChange, reason: str) -> None:
        circuit = self.circuit
        report = ReportHealth(
            destination=self.owner.destination,
            endpoint=self.owner.endpoint,
            change=change,
            reason=reason,
            failing_for=self.outage.duration(now),
            next_probe_in=circuit.next_probe_at - now if circuit.ejected else 0,
            slow_start=self.rate.in_slow_start(now),
        )
        self._reports.append(report)
