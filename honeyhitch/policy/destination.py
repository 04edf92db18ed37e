"""One destination, with its endpoints and its queued messages."""

from __future__ import annotations

from typing import Generic, NamedTuple, Protocol, TypeVar

from honeyhitch.policy.destination_state import DestinationState
from honeyhitch.policy.endpoint_state import EndpointState
from honeyhitch.policy.message_queue import MessageQueue


class QueueKey(NamedTuple):
    """The attributes that all messages of one queue share, so that they may share a call."""

    class_index: int
    zone: int | None
    low_priority: bool


class DestinationMessage(Protocol):
    """The attributes of a message that its destination uses."""

    class_index: int
    low_priority: bool
    objective_at: int  # ns
    deadline: int  # ns
    queued: bool

    def required_zone(self) -> int | None:
        """Return the only zone in which the message may be sent, or None if any zone will do."""


M = TypeVar("M", bound=DestinationMessage)


class Destination(Generic[M]):
    """The endpoints, queues and calls of one destination. Times are nanoseconds."""

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
        self.queues: dict[QueueKey, MessageQueue[M]] = {}
        self.endpoints: dict[str, EndpointState] = {}
        # The state of the endpoint added last; all endpoints share it unless limits are per endpoint.
        self.state: DestinationState | None = None
        self.backing_off: dict[M, None] = {}  # messages that wait for their next attempt
        self.concurrent_calls = 0
        self.max_messages_per_call = 1
        self.next_check_at = 0
        self.reported_blocked_until = 0  # value of `blocked_until` when messages were last given up

    def enqueue(self, message: M, sequence: int) -> None:
        """Queue a message that may be sent; `sequence` orders messages with the same latency objective."""
        key = QueueKey(message.class_index, message.required_zone(), message.low_priority)
        queue = self.queues.get(key)
        if queue is None:
            queue = self.queues[key] = MessageQueue()
        queue.push(message.objective_at, sequence, message)
        message.queued = True

    def forgettable(self, unused_since: int) -> bool:
        """Return whether it has no endpoint and no call, and got no call after `unused_since`."""
        if self.endpoints or self.concurrent_calls:
            return False
        return self.state is None or self.state.last_sent_at < unused_since

    def queue_length(self) -> int:
        """Return the number of queue entries, including those of ended messages that are not dropped yet."""
        return sum(map(len, self.queues.values()))

    def blocked_until(self) -> int:
        """Return the time before which no listed endpoint can get a call; 0 if no endpoint is listed."""
        listed = (endpoint for endpoint in self.endpoints.values() if endpoint.listed)
        return min((endpoint.blocked_until() for endpoint in listed), default=0)

    def recovery_estimate(self) -> int:
        """Return the earliest time at which a call may succeed again; 0 if no endpoint is listed."""
        listed = (endpoint for endpoint in self.endpoints.values() if endpoint.listed)
        return min((endpoint.recovery_estimate() for endpoint in listed), default=0)
