"""What this process has done, in numbers; they begin at 0 with it and are counted here alone.

The core reports what happens to transactions and calls, whichever front or wire they belong to.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import asdict, dataclass
from typing import Any

from honeyhitch.journal.transactions import Ending, Transaction


@dataclass(slots=True)
class ClassMetrics:
    """Of one class: messages by how they ended, and messages written whole to members."""

    ok: int = 0  # delivered
    shed: int = 0  # turned away, or handed back: coming again is harmless
    errors: int = 0  # failed
    tries: int = 0  # one for each message and attempt, a batch's messages each


COUNTED = {Ending.DELIVERED: "ok", Ending.REJECTED: "shed", Ending.FAILED: "errors"}


class Metrics:
    """Counters for each class, in the settings' order."""

    def __init__(self, classes: Iterable[str]) -> None:
        self.names = tuple(classes)
        self.classes = [ClassMetrics() for _ in self.names]

    def message_rejected(self, transaction: Transaction) -> None:
        """It was not taken on."""
        self.classes[transaction.class_index].shed += 1

    def message_invalid(self, cls: int) -> None:
        """It failed at the door, for a field that cannot be used."""
        self.classes[cls].errors += 1

    def message_concluded(self, transaction: Transaction, ending: Ending) -> None:
        """It was decided how it ends; one that nobody waits for any more counts under nothing."""
        if ending in COUNTED:
            figures, name = self.classes[transaction.class_index], COUNTED[ending]
            setattr(figures, name, getattr(figures, name) + 1)

    def call_written(self, parts: Iterable[Transaction]) -> None:
        """A call with these was handed to its connection whole."""
        for transaction in parts:
            self.classes[transaction.class_index].tries += 1

    def snapshot(self) -> dict[str, dict[str, Any]]:
        """The counters by the class's name."""
        return {name: asdict(figures) for name, figures in zip(self.names, self.classes, strict=True)}
