"""The management line protocol for operators, without I/O: one command a connection, answered at once."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

from honeyhitch.dispatcher.delivery import DispatcherState, Phase
from honeyhitch.protocols.buffer import Buffer

MAX_DESTINATION_DIGITS = 15
MAX_LINE_BYTES = 256  # bytes of a command, its line end included
MAX_QUOTED_LENGTH = 40  # characters of an invalid command that are quoted in the reply
COMMANDS = ("status", "stats")
FLEET_COMMANDS = ("fleet", "owner NUMBER")  # where a fleet is configured


class FleetDescription(Protocol):
    """What operators may ask of a fleet, where one is configured."""

    def describe(self) -> dict[str, Any]:
        """The fleet view in force."""

    def describe_owners(self, destination: int) -> dict[str, Any]:
        """The instances that own a destination."""


class ManagementSession:
    """One connection: the first line is the command, and its reply ends the connection.

    A reply is a line that begins with `+OK` or `-ERR`, or statistics: a line of JSON and a line `.`.
    """

    greeting = b""
    forward = None

    def __init__(
        self,
        state: Callable[[], DispatcherState],
        statistics: Callable[[], dict[str, Any]],
        fleet: FleetDescription | None = None,
    ) -> None:
        self.state = state
        self.statistics = statistics
        self.fleet = fleet
        self.closing = False
        self.has_more_requests = False
        self.has_partial_request = False

    def receive(self, buffer: Buffer) -> bytes:
        """The reply once the line is complete, nothing before."""
        end = buffer.find(b"\n", 0, MAX_LINE_BYTES)
        self.has_partial_request = end < 0 and 0 < len(buffer) < MAX_LINE_BYTES
        if self.has_partial_request or not len(buffer):
            return b""
        self.closing = True
        data = buffer.consume_all()
        if end < 0:
            return _encode_error(f"call: longer than {MAX_LINE_BYTES} bytes")
        return self._execute(data[:end].strip().decode("latin-1"))

    def _execute(self, command: str) -> bytes:
        if command == "status":
            return self._status()
        if command == "stats":
            return _encode_statistics(self.statistics())
        name, _, argument = command.partition(" ")
        if name in ("fleet", "owner"):
            if self.fleet is None:
                return _encode_error(f"{name}: no fleet is set up here")
            if command == "fleet":
                return _encode_statistics(self.fleet.describe())
            if name == "owner":
                return _owners(self.fleet, argument)
        expected = COMMANDS if self.fleet is None else COMMANDS + FLEET_COMMANDS
        quoted = command[:MAX_QUOTED_LENGTH]
        return _encode_error(f"call: unknown, expected {' or '.join(expected)}, got {quoted!r}")

    def _status(self) -> bytes:
        phase = self.state().phase
        return b"+OK ready\r\n" if phase is Phase.READY else _encode_error(f"status: {phase.value}")


def _owners(fleet: FleetDescription, destination: str) -> bytes:
    is_number = destination.isascii() and destination.isdigit()
    if not is_number or len(destination) > MAX_DESTINATION_DIGITS:
        quoted = destination[:MAX_QUOTED_LENGTH]
        return _encode_error(f"owner: expected the number of a destination, got {quoted!r}")
    return _encode_statistics(fleet.describe_owners(int(destination)))


def _encode_statistics(statistics: dict[str, Any]) -> bytes:
    text = json.dumps(statistics, separators=(",", ":"))
    return f"{text}\r\n.\r\n".encode()


def _encode_error(reason: str) -> bytes:
    return f"-ERR {reason}\r\n".encode("ascii", "backslashreplace")


class ManagementResult(NamedTuple):
    """What a reply says: success, the text of its first line, and the statistics if it has some."""

    succeeded: bool
    message: str
    statistics: dict[str, Any]


class ManagementReply:
    """Parses one reply, for those who send commands."""

    def __init__(self) -> None:
        self.data = b""

    def feed(self, data: bytes) -> bool:
        """Add received bytes; true once the reply is complete."""
        self.data += data
        lines = self.data.split(b"\r\n")
        has_statistics = lines[0].startswith(b"{")
        return len(lines) > 1 and (not has_statistics or b"." in lines[1:-1])

    def result(self) -> ManagementResult:
        """The content of a complete reply."""
        line = self.data.decode("ascii", "replace").partition("\r\n")[0]
        if line.startswith("{"):
            return ManagementResult(succeeded=True, message="", statistics=json.loads(line))
        marker, _, message = line.partition(" ")
        return ManagementResult(succeeded=marker == "+OK", message=message, statistics={})
