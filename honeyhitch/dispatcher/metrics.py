"""Counters of one process; they start at 0 when the process starts.

The dispatcher counts events of messages and calls, independently of their frontend or protocol.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from honeyhitch.journal.transactions import Ending, Transaction


@dataclass(slots=True)
class ClassMetrics:
    """Counters of one message class: messages by ending, and messages in calls written to endpoints."""

    delivered: int = 0
    rejected: int = 0  # submitting them again is harmless
    failed: int = 0
    attempts: int = 0  # one per message of a call

    def snapshot(self) -> dict[str, int]:
        """Return the counters by metric name."""
        return {
            "ok": self.delivered,
            "shed": self.rejected,
            "errors": self.failed,
            "tries": self.attempts,
        }


class Metrics:
    """Counters for each message class, in the order of the settings."""

    def __init__(self, class_names: Iterable[str]) -> None:
        self.class_names = tuple(class_names)
        self.classes = [ClassMetrics() for _ in self.class_names]

    def message_rejected(self, transaction: Transaction) -> None:
        """Count a message that was not accepted."""
        self.classes[transaction.class_index].rejected += 1

    def message_invalid(self, class_index: int) -> None:
        """Count a message that failed before it was submitted because of an invalid field."""
        self.classes[class_index].failed += 1

    def message_concluded(self, transaction: Transaction, ending: Ending) -> None:
        """Count a message by its ending; a message whose client waits for no answer is not counted."""
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
        """Count the messages of a call that was passed completely to its connection."""
        for message in messages:
            self.classes[message.class_index].attempts += 1

    def snapshot(self) -> dict[str, dict[str, Any]]:
        """Return the counters by class name."""
        return {
            class_name: counters.snapshot()
            for class_name, counters in zip(self.class_names, self.classes, strict=True)
        }
