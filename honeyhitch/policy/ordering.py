"""Queues of the messages of one ordering key, sent strictly one after the other (rule 5)."""

from __future__ import annotations

from collections import deque

from honeyhitch.policy.events import Outcome
from honeyhitch.policy.message import PendingMessage

# Outcomes after which the attempt may still be executed.
ORDER_BLOCKING_OUTCOMES = (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)


class OrderedQueue:
    """The pending messages of one key; only the head may be sent, and not before `blocked_until` (ns)."""

    def __init__(self) -> None:
        self.messages: deque[PendingMessage] = deque()
        self.blocked_until = 0

    def drop_concluded(self) -> None:
        """Drop the leading messages that have ended and have no attempt in flight."""
        while self.messages and self.messages[0].ended and self.messages[0].call is None:
            self.messages.popleft()

    def startable_head(self) -> PendingMessage | None:
        """Return the head if it is still to be queued for its first attempt, else None."""
        if not self.messages:
            return None
        head = self.messages[0]
        return None if head.attempts or head.queued else head
