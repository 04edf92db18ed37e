"""Calls in flight, each carrying one or several messages."""

from __future__ import annotations


class Call:
    """One call in flight; its slot is released when the last of its messages has an outcome."""

    __slots__ = ("any_delivered", "message_count", "pending_messages", "sent_at")

    def __init__(self, sent_at: int) -> None:
        self.sent_at = sent_at  # ns
        self.pending_messages = 1
        self.message_count = 1
        self.any_delivered = False

    def add_message(self) -> None:
        """Add one message to the counts of this call."""
        self.message_count = self.pending_messages + 1
        self.pending_messages = self.message_count
