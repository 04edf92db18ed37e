"""Adapter: hosts instances of the decision module on the wire of standard input and output.

It parses, translates and flushes; every decision is in brain.py.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import TextIO

from honeyhitch import logs
from honeyhitch.config.deployment import ConfigError
from honeyhitch.config.instance import SettingsReader
from honeyhitch.config.values import parse_choice, parse_integer, parse_number
from honeyhitch.policy.actions import (
    Action,
    Cancel,
    CloseIdleConnections,
    Fail,
    OpenConnections,
    Reject,
    Send,
    SetTimer,
    Subscribe,
)
from honeyhitch.policy.engine import DeliveryPolicy
from honeyhitch.policy.events import (
    AttemptEnded,
    EndpointListing,
    EndpointListUpdate,
    EndpointStatus,
    Event,
    MessageWithdrawn,
    NewMessage,
    Outcome,
    TimerFired,
    UpdateMode,
)

log = logs.get()
OUTCOMES = {
    "pass": Outcome.DELIVERED,
    "fault": Outcome.ERROR,
    "no_room": Outcome.REJECTED,
    "too_slow": Outcome.TIMEOUT,
    "no_route": Outcome.CONNECT_FAILED,
    "cut": Outcome.RESET,
    "undone": Outcome.CANCELLED,
    "stale_send": Outcome.NOT_SENT,
}
MODES = {
    "delta": UpdateMode.CHANGES,
    "full": UpdateMode.FULL,
    "cached": UpdateMode.CACHED,
    "failed": UpdateMode.FAILED,
}
STATUSES = {s.value: s for s in EndpointStatus}
CAME_AGAIN = 2 | 16  # bits of `marks`
WORK_VALID = 1
PAGES = 16
NS_PER_MS = 1_000_000


class WireError(ConfigError):
    """A line that the wire does not allow."""


def _opt(text: str, name: str) -> int:
    return 0 if text == "-" else parse_integer(text, name)


class Instance:
    """One hosted decision module and what the adapter must remember for it."""

    def __init__(self, policy: DeliveryPolicy, report_fields: tuple[str, ...]) -> None:
        self.policy = policy
        self.report_fields = report_fields
        self.events: list[Event] = []


class Host:
    """All instances of this process; reads batches and writes replies."""

    def __init__(self, out: TextIO) -> None:
        self.out = out
        self.instances: dict[str, Instance] = {}
        self.pages: dict[int, tuple[EndpointListing, ...]] = {}
        self.filling: tuple[int, int, list[EndpointListing]] | None = None
        self.tick: tuple[int, str] | None = None
        self.clock = 0
        self.touched: dict[str, None] = {}
        self.bugs: list[str] = []
        self.readers: dict[str, tuple[int, Callable[[list[str]], object]]] = {
            "ledger": (2, self._ledger),
            "endpoint": (7, self._endpoint),
            "down": (1, self._down),
            "membership": (4, self._membership),
            "arrival": (9, self._arrival),
            "returned": (9, self._returned),
            "abandoned": (2, lambda p: self._add(p[0], MessageWithdrawn(p[1]))),
            "fired": (2, lambda p: self._add(p[0], TimerFired())),
            "accepted": (5, lambda p: self._known(p[0])),
            "health_result": (5, self._health_result),
            "note_from": (3, lambda p: self._known(p[0])),
        }

    def line(self, line: str) -> None:
        """Take one line of input."""
        head, *parts = line.split(" ")
        if self.tick is None:
            if not line:
                return
            if head != "tick" or len(parts) != 2:
                raise WireError(f"expected 'tick CLOCK NUMBER', got {line[:80]!r}")
            now = parse_integer(parts[0], "clock")
            parse_integer(parts[1], "batch number")
            if now < self.clock:
                raise WireError("clock: expected a time not before the last batch's")
            self.clock, self.tick = now, (now, parts[1])
            return
        if self.filling is not None and head != "endpoint":
            raise WireError(f"expected {self.filling[1]} more 'endpoint' lines, got {line[:80]!r}")
        if head == "commit":
            if parts:
                raise WireError("expected 'commit' alone")
            self._commit()
        elif head == "power_on":
            self._power_on(parts)
        elif head in self.readers:
            count, reader = self.readers[head]
            if len(parts) != count:
                raise WireError(f"{head}: expected {count} values, got {len(parts)}")
            reader(parts)
        else:
            raise WireError(f"expected an event or 'commit', got {line[:80]!r}")

    def _known(self, name: str) -> Instance:
        instance = self.instances.get(name)
        if instance is None:
            raise WireError(f"expected the name of a running instance, got {name!r}")
        self.touched[name] = None
        return instance

    def _add(self, name: str, event: Event) -> None:
        self._known(name).events.append(event)

    def _power_on(self, parts: list[str]) -> None:
        if len(parts) < 2:
            raise WireError("power_on: expected an instance, a seed and settings")
        try:
            settings = SettingsReader.from_pairs(parts[2:]).settings()
        except (ConfigError, ValueError) as error:
            raise WireError(f"power_on: {error}") from error
        brain = DeliveryPolicy(settings, parse_integer(parts[1], "seed"))
        self.instances[parts[0]] = Instance(brain, settings.report_fields)
        self.touched[parts[0]] = None

    def _down(self, parts: list[str]) -> None:
        self._known(parts[0])
        del self.instances[parts[0]]
        self.touched.pop(parts[0], None)

    def _ledger(self, parts: list[str]) -> None:
        page, count = parse_integer(parts[0], "page"), parse_integer(parts[1], "hosts")
        if not 0 <= page < PAGES or count < 0:
            raise WireError(f"ledger: expected a page from 0 to {PAGES - 1} and a count, got {page} {count}")
        self.pages[page] = ()
        self.filling = (page, count, []) if count else None

    def _endpoint(self, parts: list[str]) -> None:
        if self.filling is None:
            raise WireError("endpoint: expected only inside a ledger")
        page, left, entries = self.filling
        entries.append(
            EndpointListing(
                endpoint=parts[0],
                listed_rate=parse_number(parts[1], "scale"),
                zone=_opt(parts[2], "az"),
                status=parse_choice(STATUSES, parts[3], "status"),
                destination=_opt(parts[5], "belongs-to"),
                kind=_opt(parts[6], "machine"),
            )
        )
        self.filling = (page, left - 1, entries) if left > 1 else None
        if left == 1:
            self.pages[page] = tuple(entries)

    def _membership(self, parts: list[str]) -> None:
        mode = parse_choice(MODES, parts[1], "mode")
        if mode is UpdateMode.FAILED:
            self._add(parts[0], EndpointListUpdate(mode))
            return
        page = parse_integer(parts[2], "page")
        if page not in self.pages:
            raise WireError(f"membership: expected the page of an earlier ledger, got {page}")
        self._add(parts[0], EndpointListUpdate(mode, self.pages[page]))

    def _arrival(self, parts: list[str]) -> None:
        marks = _opt(parts[8], "marks")
        event = NewMessage(
            message=parts[1],
            tenant=_opt(parts[2], "team"),
            ordering_key=None if parts[3] == "-" else parse_integer(parts[3], "target-key"),
            time_left=parse_integer(parts[4], "time-budget"),
            class_index=parse_integer(parts[5], "class"),
            expected_work=_opt(parts[6], "work") if marks & WORK_VALID else 0,
            destination=parse_integer(parts[7], "terminates-at"),
            recovered_from_journal=bool(marks & CAME_AGAIN),
        )
        self._add(parts[0], event)

    def _returned(self, parts: list[str]) -> None:
        outcome = parse_choice(OUTCOMES, parts[4], "outcome")
        wait = _opt(parts[7], "wait-ms") * NS_PER_MS if outcome is Outcome.REJECTED else 0
        told = dict(zip(self._known(parts[0]).report_fields, self._row(parts[8]), strict=False))
        event = AttemptEnded(
            message=parts[1],
            attempt=parse_integer(parts[2], "shot"),
            endpoint=parts[3],
            outcome=outcome,
            elapsed=parse_integer(parts[5], "rtt"),
            message_concluded=parse_choice({"1": True, "0": False}, parts[6], "settled"),
            retry_after=wait,
            limit_remaining=told.get("x0", 1.0),
            rate_limit=told.get("x1", 0.0),
        )
        self._add(parts[0], event)

    @staticmethod
    def _row(text: str) -> tuple[float, ...]:
        return () if text == "-" else tuple(parse_number(word, "pressure") for word in text.split(","))

    def _health_result(self, parts: list[str]) -> None:
        self._known(parts[0])
        parse_choice(OUTCOMES, parts[2], "outcome")
        parse_integer(parts[3], "rtt")

    def _commit(self) -> None:
        assert self.tick is not None
        now, number = self.tick
        lines: list[str] = []
        for name in self.touched:
            instance = self.instances[name]
            events, instance.events = instance.events, []
            try:
                for action in instance.policy.handle(now, events):
                    lines.append(self._action(name, action))
            except Exception as error:
                log.exception("policy.failed", instance=name)
                reason = f"{type(error).__name__}: {error}".replace("\n", " ")
                lines.append(f"bug {name} {reason}")
        lines.append(f"ready {number}\n")
        self.out.write("\n".join(lines))
        self.out.flush()
        self.tick, self.touched = None, {}

    @staticmethod
    def _action(name: str, action: Action) -> str:
        match action:
            case Send(message, endpoint, timeout):
                return f"route {name} {message} {timeout} {endpoint}"
            case Cancel(message, attempt):
                return f"undo_send {name} {message} {attempt}"
            case Reject(message, come_back):
                return f"push_back {name} {message} {come_back}"
            case Fail(message):
                return f"respond_error {name} {message}"
            case SetTimer(at):
                return f"timer {name} {at} wake"
            case Subscribe():
                return f"keep_informed {name} 1"
            case OpenConnections(endpoint, _):
                raise WireError(f"no endpoint of the wire is gated, yet {endpoint} is")
            case CloseIdleConnections(endpoint):
                return f"drop_conns {name} {endpoint}"


def main() -> int:
    """Run until the input ends; 0 at a batch's end, 1 on a line that is wrong."""
    sys.stdin.reconfigure(encoding="utf-8")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    host, number = Host(sys.stdout), 0
    try:
        for number, line in enumerate(sys.stdin, 1):
            host.line(line.rstrip("\n"))
        if host.tick is not None:
            raise WireError("the input ended inside a batch, expected 'commit'")
    except (ConfigError, UnicodeDecodeError) as error:
        log.error("input.line-rejected", line=number, error=str(error))
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
