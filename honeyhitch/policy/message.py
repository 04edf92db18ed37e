"""Accepted messages without a final answer."""

from __future__ import annotations

from math import exp
from typing import NamedTuple, TypeAlias

from honeyhitch.policy.destination import Destination
from honeyhitch.policy.endpoint_call import EndpointCall
from honeyhitch.policy.events import NewMessage
from honeyhitch.policy.settings import DeduplicationScope, Idempotency, LateDecay, MessageClass
from honeyhitch.time_units import NEVER

LOW_PRIORITY_FACTOR = 1e-6  # applied to the weight, so that all other messages are sent first
# A message that was surely not executed is not given up within this fraction of its time.
MIN_ATTEMPT_PERIOD_FRACTION = 0.7
HALVING_RATE = 0.6931  # ln 2, to four digits


class Execution(NamedTuple):
    """A possible execution of a message: the time (ns) and the zone to which its attempt was sent."""

    sent_at: int
    zone: int


class PendingMessage:
    """One accepted message with the state that the delivery rules use. Times are nanoseconds."""

    __slots__ = (
        "accepted_at",
        "attempts",
        "call",
        "class_index",
        "deadline",
        "destination",
        "ended",
        "failures",
        "has_idempotency_key",
        "id",
        "last_endpoint",
        "low_priority",
        "message_class",
        "non_idempotent",
        "objective_at",
        "objective_duration",
        "ordering_key",
        "possible_executions",
        "priority_weight",
        "queued",
        "zone_bound",
    )

    def __init__(
        self, event: NewMessage, message_class: MessageClass, destination: MessageDestination, now: int
    ) -> None:
        idempotency = message_class.idempotency
        scope = message_class.deduplication_scope
        self.id = event.message
        self.message_class = message_class
        self.class_index = event.class_index
        self.destination = destination
        self.ordering_key = event.ordering_key if message_class.ordered else None
        self.low_priority = event.low_priority
        self.has_idempotency_key = idempotency is Idempotency.IDEMPOTENCY_KEY
        self.non_idempotent = idempotency is Idempotency.NON_IDEMPOTENT
        self.zone_bound = self.has_idempotency_key and scope is DeduplicationScope.ZONE
        self.accepted_at = now  # or found in the journal
        self.deadline = now + event.time_left
        self.priority_weight = message_class.priority_weight * (
            LOW_PRIORITY_FACTOR if event.low_priority else 1
        )
        self._set_objective(event, now)
        self.call: EndpointCall | None = None  # at most one call carries the message at a time
        self.possible_executions: list[Execution] = []  # oldest first
        if event.first_possible_execution is not None:
            self.possible_executions.append(
                Execution(event.first_possible_execution, event.first_execution_zone)
            )
        self.attempts = event.attempts  # above 0 after a restart of the process
        self.failures = event.attempts
        self.ended = False
        self.queued = False
        self.last_endpoint = ""

    def _set_objective(self, event: NewMessage, now: int) -> None:
        """Set the duration and the end of the latency objective.

        The age of a message that was recovered from the journal, or that its client marked as a repeat (`r=1`
        or `again=1`), follows from its time left and shortens its objective. The time left of any other
        message does not depend on its age, so its objective starts now.
        """
        message_class = self.message_class
        work_allowance = int(message_class.objective_work_factor * event.expected_work)
        self.objective_duration = min(
            message_class.latency_objective + work_allowance, message_class.deadline
        )
        objective_start = self.deadline - message_class.deadline if event.recovered_from_journal else now
        self.objective_at = min(objective_start + self.objective_duration, self.deadline)

    def attempts_allowed_until(self) -> int:
        """Return the time from which no attempt is allowed: the deadline or the deduplication window end."""
        if not (self.has_idempotency_key and self.possible_executions):
            return min(self.deadline, NEVER)
        window_end = self.possible_executions[0].sent_at + self.message_class.deduplication_window
        return min(self.deadline, window_end)

    def may_attempt(self, now: int, max_attempts: int) -> bool:
        """Return whether another attempt is allowed now (rules 1 and 2).

        The message must not have ended or be in flight, must have attempts and time left, and must not risk a
        second execution if it is non-idempotent.
        """
        if self.ended or self.call is not None:
            return False
        if self.attempts >= max_attempts or now >= self.attempts_allowed_until():
            return False
        return not (self.possible_executions and self.non_idempotent)

    def too_early_to_give_up(self, now: int) -> bool:
        """Return whether the message surely was not executed and most of its time is left."""
        attempt_period = int(MIN_ATTEMPT_PERIOD_FRACTION * (self.deadline - self.accepted_at))
        return not self.possible_executions and now < self.accepted_at + attempt_period

    def may_reject(self) -> bool:
        """Return whether the message may be rejected, because submitting it again is harmless (rule 2)."""
        return not self.possible_executions or self.message_class.may_reject_executed

    def required_zone(self) -> int | None:
        """Return the only zone where the idempotency key is known (rule 2), or None if any zone will do."""
        if self.zone_bound and self.possible_executions:
            return self.possible_executions[0].zone
        return None

    def value(self, delivered_at: int, decay: LateDecay) -> float:
        """Return the weight of a delivery at this time: the full weight up to the objective, then less."""
        lateness = max(0, delivered_at - self.objective_at)
        min_fraction = self.message_class.late_weight_fraction
        if decay is LateDecay.HALVING:
            remaining_fraction = exp(-HALVING_RATE * lateness / self.objective_duration)
            return self.priority_weight * max(min_fraction, remaining_fraction)
        late_duration = max(1, self.deadline - self.objective_at)
        return self.priority_weight * max(0.0, 1 - (1 - min_fraction) * lateness / late_duration)


MessageDestination: TypeAlias = Destination[PendingMessage]
