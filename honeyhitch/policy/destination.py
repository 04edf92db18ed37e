"""One destination: its endpoints, and the messages that wait for it."""

from __future__ import annotations

from typing import NamedTuple

from honeyhitch.policy.destination_state import DestinationState
from honeyhitch.policy.endpoint_state import EndpointState
from honeyhitch.policy.message import PendingMessage
from honeyhitch.policy.message_queue import MessageQueue


class QueueKey(NamedTuple):
    """What the messages of one queue have in common; any of them may share a call."""

    class_index: int
    zone: int | None
    low_priority: bool


class Destination:
    """What goes to one destination. Times are nanoseconds."""

    __slots__ = (
        "backing_off",
        "concurrent_calls",
        "endpoints",
        "max_messages_per_call",
        "next_check_at",
        "queues",
        "reported_blocked_until",
        "state",
    )

    def __init__(self) -> None:
        self.queues: dict[QueueKey, MessageQueue[PendingMessage]] = {}
        self.endpoints: dict[str, EndpointState] = {}
        self.state: DestinationState | None = None  # of the latest endpoint; shared where limits are shared
        self.backing_off: dict[PendingMessage, None] = {}  # between two attempts
        self.concurrent_calls = 0
        self.max_messages_per_call = 1
        self.next_check_at = 0
        self.reported_blocked_until = 0  # the latest for which messages ended

    def enqueue(self, message: PendingMessage, sequence: int) -> None:
        """Queue a message that may be sent; `sequence` keeps the order of equals."""
        key = QueueKey(message.class_index, message.required_zone(), message.low_priority)
        queue = self.queues.get(key)
        if queue is None:
            queue = self.queues[key] = MessageQueue()
        queue.push(message.objective_at, sequence, message)
        message.queued = True

    def queue_length(self) -> int:
        """How many messages are queued, with those that have ended and are not dropped yet."""
        return sum(map(len, self.queues.values()))

    def blocked_until(self) -> int:
        """The time before which certainly nothing can be sent; 0 if there is none."""
        listed = (endpoint for endpoint in self.endpoints.values() if endpoint.listed)
        return min((endpoint.blocked_until() for endpoint in listed), default=0)

    def recovery_estimate(self) -> int:
        """When a call may succeed again, as far as is known; 0 if nothing is known."""
        listed = (endpoint for endpoint in self.endpoints.values() if endpoint.listed)
        return min((endpoint.recovery_estimate() for endpoint in listed), default=0)
