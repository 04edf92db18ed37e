"""What the core needs from outside, as protocols: clock, carriers, fronts and what stands beside it."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Protocol

from honeyhitch.dispatcher.delivery import Call
from honeyhitch.endpoints.pool import PoolEndpoint
from honeyhitch.journal.transactions import Transaction
from honeyhitch.policy.events import Event, Outcome


class Scheduler(Protocol):
    """Clock and timers."""

    def now(self) -> int:
        """The time."""

    def call_at(self, when: int, what: Callable[[], None]) -> None:
        """Do something then."""


class Transport(Protocol):
    """Carries calls to pool members; each call started is reported once to `Dispatcher.ended`."""

    def start(self, call: Call) -> None:
        """Make the call; `Dispatcher.begin` is asked right before its first byte."""

    def cancel(self, call: Call) -> None:
        """Stop waiting for it; that is reported as its end, too."""

    def close_idle(self, member: PoolEndpoint) -> None:
        """Close idle connections to a member."""


class ConnectionOpener(Protocol):
    """Opens connections to gated members ahead of calls; each change is reported to `Dispatcher.room`."""

    def open(self, member: PoolEndpoint, calls: int) -> None:
        """Connections for so many more calls are wanted; as many are opened as may be."""


class Frontend(Protocol):
    """Gives final answers to those who handed in."""

    def answer(self, transaction: Transaction) -> None:
        """Send it; `Dispatcher.answered` is called once it has been sent."""


class DeadLetterSink(Protocol):
    """Keeps messages that ended undelivered; `Dispatcher.kept` is called once one is safe there."""

    def store(self, transaction: Transaction) -> None:
        """Take it over when there is time; the journal holds it until then."""


class PeerProcess(Protocol):
    """Another process of the same dispatcher, while an upgrade lasts."""

    def retry_after_events(self) -> list[Event]:
        """What the module must know of what that process was told."""

    def has_accepted(self, name: str) -> bool:
        """That process has taken this message on: it owes the answer."""


class ArrivalDecision(Enum):
    """What becomes of a transaction that comes, in view of what was resent."""

    DELIVER = "go"
    WAIT = "wait"  # a resend of it is on its way; `Dispatcher.go_on` or `Dispatcher.conclude` follows
    ALREADY_DELIVERED = "done"  # a resend of it was delivered


class ResendCoordinator(Protocol):
    """Keeps a client's copy and a resend from going out both."""

    def decide_arrival(self, transaction: Transaction) -> ArrivalDecision:
        """A client's transaction was taken on, or taken up again after a start."""

    def recover_resend(self, transaction: Transaction) -> None:
        """A resend is in the journal after a start."""

    def attempt_ended(self, transaction: Transaction, outcome: Outcome) -> None:
        """One attempt of a transaction is over."""

    def message_concluded(self, transaction: Transaction) -> None:
        """It was decided how a transaction ends, or it was withdrawn."""

    def dead_letter_stored(self, transaction: Transaction) -> None:
        """The keeper has it, or has let it go."""

    def settles_dead_letter(self, transaction: Transaction) -> bool:
        """Whether its delivery settles what is kept."""


class QuotaSource(Protocol):
    """Which part of a destination's limit this instance may use, where a fleet shares the destinations."""

    def quota_fraction(self, destination: int, now: int) -> float:
        """0 to 1 of what one instance has of it; at 0 nothing may be sent there. `now` is in nanoseconds."""
