"""Protocols of what the dispatcher needs from other packages: clock, transports, frontends and features."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Protocol

from honeyhitch.dispatcher.delivery import Call
from honeyhitch.endpoints.endpoint import PoolEndpoint
from honeyhitch.journal.transactions import Transaction
from honeyhitch.policy.events import Event, Outcome


class Scheduler(Protocol):
    """A clock with timers."""

    def now(self) -> int:
        """Return the Unix time in nanoseconds."""

    def call_at(self, when: int, callback: Callable[[], None]) -> None:
        """Call `callback` at the Unix time `when` in nanoseconds, or as soon as possible if it is past."""


class Transport(Protocol):
    """Sends calls to endpoints; the end of each call is reported once to `Dispatcher.call_ended`."""

    def start(self, call: Call) -> None:
        """Make the call, and call `Dispatcher.start_call` right before its first byte."""

    def cancel(self, call: Call) -> None:
        """Stop waiting for the call; its end is reported as well."""

    def close_idle(self, endpoint: PoolEndpoint) -> None:
        """Close pooled connections to an endpoint."""


class ConnectionOpener(Protocol):
    """Opens connections in advance to endpoints that take calls only on open connections.

    Each change is reported to `Dispatcher.apply_connection_capacity`.
    """

    def open(self, endpoint: PoolEndpoint, calls: int) -> None:
        """Open connections for this number of further calls, as far as limits allow."""


class Frontend(Protocol):
    """Sends final answers to the clients that submitted messages."""

    def answer(self, transaction: Transaction) -> None:
        """Send the message's final answer, and call `Dispatcher.answer_sent` once it has been sent."""


class DeadLetterSink(Protocol):
    """Stores messages that ended undelivered and reports each to `Dispatcher.dead_letter_stored`."""

    def store(self, transaction: Transaction) -> None:
        """Store the message later; the journal holds it until then."""


class PeerProcess(Protocol):
    """The other process of the same dispatcher during a hand-over."""

    def partner_events(self) -> list[Event]:
        """Return events for the Retry-After times and outages that the other process knows."""

    def has_accepted(self, message_id: str) -> bool:
        """Return whether the other process accepted this message and therefore has to answer it."""


class ArrivalDecision(Enum):
    """How an arriving message is handled, depending on resends of it."""

    DELIVER = "go"
    WAIT = "wait"  # a resend of it is in flight; `Dispatcher.release` or `Dispatcher.conclude` follows
    ALREADY_DELIVERED = "done"  # a resend of it was delivered


class ResendCoordinator(Protocol):
    """Prevents a client's copy and a resend of the same message from both being sent."""

    def decide_arrival(self, transaction: Transaction) -> ArrivalDecision:
        """Return how to handle a client's message that was accepted, or recovered after a start."""

    def recover_resend(self, transaction: Transaction) -> None:
        """Handle a resend that was found in the journal after a start."""

    def attempt_ended(self, transaction: Transaction, outcome: Outcome) -> None:
        """Handle the end of one attempt of a message."""

    def message_concluded(self, transaction: Transaction) -> None:
        """Handle the decided ending of a message, or its withdrawal."""

    def dead_letter_stored(self, transaction: Transaction) -> None:
        """Handle that the dead-letter store has stored or discarded a dead letter."""

    def settles_dead_letter(self, transaction: Transaction) -> bool:
        """Return whether the delivery of this message settles a dead letter."""


class QuotaSource(Protocol):
    """The part of a destination's limit that this instance may use where a fleet shares the destinations."""

    def quota_fraction(self, destination: int, now: int) -> float:
        """Return the fraction of a single instance's limit, from 0 to 1; at 0 nothing may be sent there.

        `now` is a Unix time in nanoseconds.
        """
