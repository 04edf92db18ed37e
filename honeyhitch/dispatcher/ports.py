"""What the dispatcher needs from outside, as protocols: clock, transports, frontends and features."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Protocol

from honeyhitch.dispatcher.delivery import Call
from honeyhitch.endpoints.endpoint import PoolEndpoint
from honeyhitch.journal.transactions import Transaction
from honeyhitch.policy.events import Event, Outcome


class Scheduler(Protocol):
    """Clock and timers."""

    def now(self) -> int:
        """The Unix time in nanoseconds."""

    def call_at(self, when: int, what: Callable[[], None]) -> None:
        """Call `what` at this time, or soon if it is past."""


class Transport(Protocol):
    """Carries calls to endpoints; each call started is reported once to `Dispatcher.call_ended`."""

    def start(self, call: Call) -> None:
        """Make the call; `Dispatcher.start_call` is asked right before its first byte."""

    def cancel(self, call: Call) -> None:
        """Stop waiting for it; that is reported as its end, too."""

    def close_idle(self, endpoint: PoolEndpoint) -> None:
        """Close pooled connections to an endpoint."""


class ConnectionOpener(Protocol):
    """Opens connections to endpoints that take calls on open connections alone, ahead of the calls.

    Each change is reported to `Dispatcher.apply_connection_capacity`.
    """

    def open(self, endpoint: PoolEndpoint, calls: int) -> None:
        """Connections for so many more calls are wanted; as many are opened as may be."""


class Frontend(Protocol):
    """Sends final answers to the clients that submitted messages."""

    def answer(self, transaction: Transaction) -> None:
        """Send it; `Dispatcher.answer_sent` is called once it has been sent."""


class DeadLetterSink(Protocol):
    """Stores messages that ended undelivered; `Dispatcher.dead_letter_stored` follows once one is stored."""

    def store(self, transaction: Transaction) -> None:
        """Store it when there is time; the journal holds it until then."""


class PeerProcess(Protocol):
    """The other process of the same dispatcher, while a hand-over lasts."""

    def retry_after_events(self) -> list[Event]:
        """What the policy must know of the Retry-After times that the other process received."""

    def has_accepted(self, name: str) -> bool:
        """Whether the other process accepted this message, and has to answer it."""


class ArrivalDecision(Enum):
    """What becomes of a message that arrives, in view of what was resent."""

    DELIVER = "go"
    WAIT = "wait"  # a resend of it is in flight; `Dispatcher.release` or `Dispatcher.conclude` follows
    ALREADY_DELIVERED = "done"  # a resend of it was delivered


class ResendCoordinator(Protocol):
    """Keeps a client's copy and a resend of the same message from being sent both."""

    def decide_arrival(self, transaction: Transaction) -> ArrivalDecision:
        """A client's message was accepted, or recovered after a start."""

    def recover_resend(self, transaction: Transaction) -> None:
        """A resend is in the journal after a start."""

    def attempt_ended(self, transaction: Transaction, outcome: Outcome) -> None:
        """One attempt of a message ended."""

    def message_concluded(self, transaction: Transaction) -> None:
        """It was decided how a message ends, or it was withdrawn."""

    def dead_letter_stored(self, transaction: Transaction) -> None:
        """The store has a dead letter, or has discarded it."""

    def settles_dead_letter(self, transaction: Transaction) -> bool:
        """Whether its delivery settles a dead letter."""


class QuotaSource(Protocol):
    """Which part of a destination's limit this instance may use, where a fleet shares the destinations."""

    def quota_fraction(self, destination: int, now: int) -> float:
        """0 to 1 of what one instance has of it; at 0 nothing may be sent there. `now` is in nanoseconds."""
