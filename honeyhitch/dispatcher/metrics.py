"""Counters of one process; they start at 0 with it.

The dispatcher reports what happens to messages and calls, whichever frontend or protocol they belong to.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from honeyhitch.journal.transactions import Ending, Transaction


@dataclass(slots=True)
class ClassMetrics:
    """Of one message class: messages by how they ended, and messages in calls written to endpoints."""

    delivered: int = 0
    rejected: int = 0  # submitting them again is harmless
    failed: int = 0
    attempts: int = 0  # one for each message of a call

    def snapshot(self) -> dict[str, int]:
        """The counters by their metric names."""
        return {
            "ok": self.delivered,
            "shed": self.rejected,
            "errors": self.failed,
            "tries": self.attempts,
        }


class Metrics:
    """Counters for each message class, in the order of the settings."""

    def __init__(self, class_names: Iterable[str]) -> None:
        self.names = tuple(class_names)
        self.classes = [ClassMetrics() for _ in self.names]

    def message_rejected(self, transaction: Transaction) -> None:
        """A message was not accepted."""
        self.classes[transaction.class_index].rejected += 1

    def message_invalid(self, class_index: int) -> None:
        """A message failed before it was submitted, for a field that cannot be used."""
        self.classes[class_index].failed += 1

    def message_concluded(self, transaction: Transaction, ending: Ending) -> None:
        """It was decided how a message ends; one that is not waited for is not counted."""
        counters = self.classes[transaction.class_index]
        match ending:
            case Ending.DELIVERED:
                counters.delivered += 1
            case Ending.REJECTED:
                counters.rejected += 1
            case Ending.FAILED:
                counters.failed += 1
            case Ending.UNANSWERED:
                pass

    def call_written(self, messages: Iterable[Transaction]) -> None:
        """A call with these messages was passed completely to its connection."""
        for message in messages:
            self.classes[message.class_index].attempts += 1

    def snapshot(self) -> dict[str, dict[str, Any]]:
        """The counters by the name of the class."""
        return {name: counters.snapshot() for name, counters in zip(self.names, self.classes, strict=True)}
