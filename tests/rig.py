"""Virtual time and stand-in ports for tests of the dispatcher; nothing here opens a socket."""

from __future__ import annotations

import dataclasses
import heapq
from collections.abc import Callable
from pathlib import Path
from typing import Any

from honeyhitch.dispatcher.delivery import Call, CallResult
from honeyhitch.dispatcher.dispatcher import Dispatcher
from honeyhitch.endpoints.endpoint import PoolEndpoint
from honeyhitch.endpoints.pool import EndpointPool
from honeyhitch.journal.journal import Journal
from honeyhitch.journal.transactions import Transaction
from honeyhitch.policy.events import Outcome
from honeyhitch.policy.settings import DestinationKind

from .world import SECOND, settings

START = 1_700_000_000 * SECOND
# An endpoint drops a repeat with the same key inside the deduplication window.
STANDARD_CLASS = dataclasses.replace(
    settings().classes[1], name="standard", deadline=20 * SECOND, deduplication_window=5 * SECOND
)
SETTINGS: dict[str, Any] = {
    "classes": (STANDARD_CLASS,),
    "kinds": (DestinationKind(max_messages_per_call=3, name="large"), DestinationKind(name="small")),
    "tenant_names": ("studio",),
    "zone_names": ("hq",),
    "report_fields": ("x0", "x1"),
    "max_messages": 8,
    "connection_idle_timeout": 15 * SECOND,
}


def retention(_: Transaction) -> int:
    """Return how many nanoseconds the ids and keys of ended messages are remembered."""
    return 20 * SECOND


class VirtualTime:
    """The dispatcher's scheduler in virtual time."""

    def __init__(self, now: int = START) -> None:
        self.time = now
        self.sequence = 0
        self.heap: list[tuple[int, int, Callable[[], None]]] = []

    def now(self) -> int:
        return self.time

    def call_at(self, when: int, callback: Callable[[], None]) -> None:
        self.sequence += 1
        heapq.heappush(self.heap, (when, self.sequence, callback))

    def advance(self, seconds: float) -> None:
        """Advance the time, calling each callback when it is due."""
        end_time = self.time + int(seconds * SECOND)
        while self.heap and self.heap[0][0] <= end_time:
            when, _, callback = heapq.heappop(self.heap)
            self.time = max(self.time, when)
            callback()
        self.time = end_time


class DispatcherRig:
    """One dispatcher with a stand-in transport and a stand-in frontend."""

    def __init__(
        self,
        folder: Path,
        time: VirtualTime | None = None,
        max_journal_bytes: int = 3_000_000,
        endpoint_list: dict[str, Any] | None = None,
        **setting_overrides: Any,
    ) -> None:
        self.settings = settings(**{**SETTINGS, **setting_overrides})
        self.time = time or VirtualTime()
        self.journal = self.make_journal(folder, max_journal_bytes)
        self.calls: list[Call] = []
        self.closed_endpoints: list[str] = []  # endpoints whose idle connections were closed
        self.answers: list[Transaction] = []
        self.confirms_answers = True
        self.dispatcher = Dispatcher(self.settings, 7, EndpointPool(self.settings), self.journal, self.time)
        for name in ("http", "mqtt"):
            self.dispatcher.transports[name] = self
        for name in ("resp", "mqtt"):
            self.dispatcher.frontends[name] = self
        self.before_recovery()
        self.dispatcher.apply_list_update(
            self.dispatcher.pool.update(
                ENDPOINT_LIST if endpoint_list is None else endpoint_list, cached=True
            )
        )
        self.resume()

    def resume(self) -> None:
        self.dispatcher.recover()

    def make_journal(self, folder: Path, max_journal_bytes: int) -> Journal:
        return Journal(folder, max_journal_bytes, self.time.now, retention)

    def before_recovery(self) -> None:
        """Hook for subclasses, called before the messages of the journal are resumed."""

    def start(self, call: Call) -> None:
        """Start the call immediately, as if its connection were open."""
        if self.dispatcher.start_call(call):
            self.calls.append(call)
        else:
            self.dispatcher.call_ended(call, CallResult([]))

    def cancel(self, call: Call) -> None:
        self.end(call, Outcome.CANCELLED)

    def close_idle(self, endpoint: PoolEndpoint) -> None:
        self.closed_endpoints.append(endpoint.id)

    def answer(self, transaction: Transaction) -> None:
        self.answers.append(transaction)
        if self.confirms_answers:
            self.dispatcher.answer_sent(transaction)

    def submit(self, name: str, dest: int = 1, left: int = 20 * SECOND, **fields: Any) -> bool:
        fields.setdefault("key", f"k-{name}")
        transaction = Transaction(name, 0, dest, self.time.time + left, b"body", **fields)
        return self.dispatcher.submit(transaction).accepted

    def end(self, call: Call, outcome: Outcome, **result_fields: Any) -> None:
        result = CallResult.uniform(outcome, len(call.messages), outcome is Outcome.DELIVERED)
        for name, value in result_fields.items():
            setattr(result, name, value)
        self.dispatcher.call_ended(call, result)

    def advance(self, seconds: float) -> list[Call]:
        """Advance the time and return the calls started meanwhile."""
        previous_count = len(self.calls)
        self.time.advance(seconds)
        return self.calls[previous_count:]


def endpoint_row(name: str, cell: int, flavor: str = "small", phase: str = "Ready") -> dict[str, Any]:
    address = {"host_port": "127.0.0.1:9", "locality": "hq", "size": 10.0, "up_since_ms": 0}
    return {"id": name, "flavor": flavor, "cell": cell, "phase": phase, **address}


ENDPOINT_LIST: dict[str, Any] = {
    "revision": 1,
    "complete": True,
    "members": [endpoint_row("s-1", 1), endpoint_row("s-2", 2, "large")],
}
