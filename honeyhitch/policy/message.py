"""A message that was accepted and has no final answer yet."""

from __future__ import annotations

from math import exp
from typing import TYPE_CHECKING, NamedTuple

from honeyhitch.policy.events import NewMessage
from honeyhitch.policy.settings import DeduplicationScope, Idempotency, LateDecay, MessageClass
from honeyhitch.time_units import NEVER

if TYPE_CHECKING:
    from honeyhitch.policy.call import Call
    from honeyhitch.policy.destination import Destination

LOW_PRIORITY_FACTOR = 1e-6  # of the weight, so that every other message goes first
HALVING_RATE = 0.6931  # ln 2, to four digits


class Execution(NamedTuple):
    """A possible execution of a message: when its attempt was sent (ns), and to which zone."""

    sent_at: int
    zone: int


class PendingMessage:
    """One accepted message, with all that the rules need to know of it. Times are nanoseconds."""

    __slots__ = (
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
        self, event: NewMessage, message_class: MessageClass, destination: Destination, now: int
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
        self.deadline = now + event.time_left
        self.priority_weight = message_class.priority_weight * (
            LOW_PRIORITY_FACTOR if event.low_priority else 1
        )
        self._set_objective(event, now)
        self.call: Call | None = None  # never two at once
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
        """Derive the latency objective; little time left is no age, unless it comes from the journal."""
        message_class = self.message_class
        work_allowance = int(message_class.objective_work_factor * event.expected_work)
        self.objective_duration = min(
            message_class.latency_objective + work_allowance, message_class.deadline
        )
        started_at = self.deadline - message_class.deadline if event.recovered_from_journal else now
        self.objective_at = min(started_at + self.objective_duration, self.deadline)

    def attempts_allowed_until(self) -> int:
        """The time from which no attempt is allowed: the deadline, or the deduplication window's end."""
        if not (self.has_idempotency_key and self.possible_executions):
            return min(self.deadline, NEVER)
        window_end = self.possible_executions[0].sent_at + self.message_class.deduplication_window
        return min(self.deadline, window_end)

    def may_attempt(self, now: int, max_attempts: int) -> bool:
        """Whether a further attempt is allowed (rules 1 and 2); nothing else decides that."""
        if self.ended or self.call is not None:
            return False
        if self.attempts >= max_attempts or now >= self.attempts_allowed_until():
            return False
        return not (self.possible_executions and self.non_idempotent)

    def may_reject(self) -> bool:
        """Whether a rejection is true, as submitting it again is harmless (rule 2)."""
        if not self.possible_executions or self.message_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        return self.has_idempotency_key and not self.zone_bound

    def required_zone(self) -> int | None:
        """The one zone that it may go to, or None: its idempotency key is known only there (rule 2)."""
        if self.zone_bound and self.possible_executions:
            return self.possible_executions[0].zone
        return None

    def value(self, at: int, decay: LateDecay) -> float:
        """Its weight if it is delivered at this time: the full weight up to its objective, then less."""
        late_by = max(0, at - self.objective_at)
        least = self.message_class.late_weight_fraction
        if decay is LateDecay.HALVING:
            halved = exp(-HALVING_RATE * late_by / self.objective_duration)
            return self.priority_weight * max(least, halved)
        late_duration = max(1, self.deadline - self.objective_at)
        return self.priority_weight * max(0.0, 1 - (1 - least) * late_by / late_duration)
