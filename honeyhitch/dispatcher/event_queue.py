"""The queue of events for the next round, and the time of that round.

Events that arrive within one resolution are handled together, as in the simulator.
"""

from __future__ import annotations

from collections.abc import Callable

from honeyhitch.dispatcher.ports import Scheduler
from honeyhitch.journal.transactions import Transaction
from honeyhitch.policy.events import Event
from honeyhitch.time_units import NEVER

QueuedEvent = Event | Transaction  # a message becomes a NewMessage when its round starts


class EventQueue:
    """Collects events and calls `run_round` with them, at most once in `resolution` nanoseconds."""

    def __init__(self, scheduler: Scheduler, resolution: int) -> None:
        self.scheduler = scheduler
        self.resolution = resolution
        self.run_round: Callable[[list[QueuedEvent]], None] = lambda _: None
        self.events: list[QueuedEvent] = []
        self.has_normal_priority_event = False
        self.next_round_at = NEVER
        self.last_round_at = 0
        self.last_normal_priority_round_at = 0

    def enqueue(self, event: QueuedEvent, low_priority: bool = False) -> None:
        """Queue an event for the next round.

        A round with only low-priority events does not delay the next round with other events.
        """
        self.events.append(event)
        if not low_priority:
            self.has_normal_priority_event = True
        previous_round_at = self.last_round_at if low_priority else self.last_normal_priority_round_at
        due_at = max(self.scheduler.now(), previous_round_at + self.resolution)
        if due_at < self.next_round_at:
            self.next_round_at = due_at
            self.scheduler.call_at(due_at, lambda: self._on_round_due(due_at))

    def run_now(self) -> None:
        """Run a round with the queued events immediately, without waiting for the resolution."""
        self.next_round_at = self.scheduler.now()
        self._on_round_due(self.next_round_at)

    def _on_round_due(self, due_at: int) -> None:
        if due_at != self.next_round_at:  # an earlier round has handled the events of this one
            return
        now = self.scheduler.now()
        self.next_round_at = NEVER
        self.last_round_at = now
        if self.has_normal_priority_event:
            self.last_normal_priority_round_at = now
        self.has_normal_priority_event = False
        events = self.events
        self.events = []
        self.run_round(events)
