"""What operators call: one line a connection, answered at once, as a machine that knows no socket."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any, Protocol

from honeyhitch.dispatcher.delivery import DispatcherState, Phase
from honeyhitch.protocols.buffer import Buffer

MAX_DESTINATION_DIGITS = 15  # of a destination's number
MAX_LINE_BYTES = 256  # bytes of a call, its line end included
COMMANDS = ("status", "stats")
FLEET_COMMANDS = ("fleet", "owner NUMBER")  # where a fleet is set up


class FleetDescription(Protocol):
    """What is told of a fleet, where one is set up."""

    def describe(self) -> dict[str, Any]:
        """The view in force."""

    def describe_owners(self, destination: int) -> dict[str, Any]:
        """Who owns a destination."""


class ManagementSession:
    """One connection: the first line is the call, and its answer is the end of the connection.

    `+OK` or `-ERR` opens each answer but those with figures: a line of JSON, and a line `.`.
    """

    greeting = b""
    forward = None

    def __init__(
        self,
        state: Callable[[], DispatcherState],
        statistics: Callable[[], dict[str, Any]],
        fleet: FleetDescription | None = None,
    ) -> None:
        self.state, self.statistics, self.fleet = state, statistics, fleet
        self.closing = self.has_more_requests = self.has_partial_request = False

    def receive(self, buffer: Buffer) -> bytes:
        """The answer once the line is whole, nothing before."""
        end = buffer.find(b"\n", 0, MAX_LINE_BYTES)
        self.has_partial_request = end < 0 and 0 < len(buffer) < MAX_LINE_BYTES
        if self.has_partial_request or not len(buffer):
            return b""
        self.closing = True
        line = buffer.consume_all()[: max(0, end)]
        return (
            self._answer(line.strip().decode("latin-1"))
            if end >= 0
            else _error(f"call: longer than {MAX_LINE_BYTES} bytes")
        )

    def _answer(self, call: str) -> bytes:
        if call == "status":
            state = self.state()
            if state.phase is Phase.READY:
                return b"+OK ready\r\n"
            return _error(f"status: {state.phase.value}")
        if call == "stats":
            return _figures(self.statistics())
        name, _, number = call.partition(" ")
        if name in ("fleet", "owner") and self.fleet is None:
            return _error(f"{name}: no fleet is set up here")
        if call == "fleet" and self.fleet is not None:
            return _figures(self.fleet.describe())
        if name == "owner" and self.fleet is not None:
            if not number.isascii() or not number.isdigit() or len(number) > MAX_DESTINATION_DIGITS:
                return _error(f"owner: expected the number of a destination, got {number[:40]!r}")
            return _figures(self.fleet.describe_owners(int(number)))
        known = COMMANDS + (FLEET_COMMANDS if self.fleet is not None else ())
        return _error(f"call: unknown, expected {' or '.join(known)}, got {call[:40]!r}")


def _figures(figures: dict[str, Any]) -> bytes:
    text = json.dumps(figures, separators=(",", ":"))
    return f"{text}\r\n.\r\n".encode()


def _error(why: str) -> bytes:
    return f"-ERR {why}\r\n".encode("ascii", "backslashreplace")


class ManagementReply:
    """One answer read from its bytes, for those who call."""

    def __init__(self) -> None:
        self.data = b""

    def feed(self, data: bytes) -> bool:
        """Take bytes; true once the answer is whole."""
        self.data += data
        lines = self.data.split(b"\r\n")
        return len(lines) > 1 and (not lines[0].startswith(b"{") or b"." in lines[1:-1])

    def result(self) -> tuple[bool, str, dict[str, Any]]:
        """Whether it says yes, its first line's words, and the figures if it brought some."""
        line = self.data.decode("ascii", "replace").partition("\r\n")[0]
        if line.startswith("{"):
            return True, "", json.loads(line)
        mark, _, words = line.partition(" ")
        return mark == "+OK", words, {}
