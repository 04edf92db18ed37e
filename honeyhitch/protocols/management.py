"""The management line protocol for operators, without I/O: one command and one reply per connection."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

from honeyhitch.dispatcher.delivery import DispatcherState, Phase
from honeyhitch.protocols.buffer import Buffer
from honeyhitch.protocols.server_session import ServerSession

MAX_DESTINATION_DIGITS = 15
MAX_LINE_BYTES = 256  # bytes of a command, including its line end
MAX_QUOTED_LENGTH = 40  # characters of an invalid command that are quoted in the reply
COMMANDS = ("status", "stats")
FLEET_COMMANDS = ("fleet", "owner NUMBER")  # available only if a fleet is configured


class FleetDescription(Protocol):
    """Queries about the fleet, if one is configured."""

    def describe(self) -> dict[str, Any]:
        """Return the fleet view that is in force."""

    def describe_owners(self, destination: int) -> dict[str, Any]:
        """Return the instances that own a destination."""


class ManagementSession(ServerSession):
    """One connection: its first line is the command, and it is closed after the reply.

    A reply is either one line that begins with `+OK` or `-ERR`, or statistics: a line of JSON followed by a
    line `.`.
    """

    overload_reply = b"-ERR call: too many connections\r\n"

    def __init__(
        self,
        state: Callable[[], DispatcherState],
        statistics: Callable[[], dict[str, Any]],
        fleet: FleetDescription | None = None,
        limits: Callable[[], dict[str, Any]] = dict,
    ) -> None:
        """Initialize; `limits` returns what the process holds of its limits."""
        super().__init__()
        self.state = state
        self.statistics = statistics
        self.fleet = fleet
        self.limits = limits

    def receive(self, buffer: Buffer, _max_requests: int | None = None, _client_left: bool = False) -> bytes:
        """Return the reply, or no bytes while the command line is incomplete."""
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
        if command == "limits":
            return _encode_statistics(self.limits())
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
    """The content of a reply: success, the text of its first line, and its statistics or an empty dict."""

    succeeded: bool
    message: str
    statistics: dict[str, Any]


class ManagementReply:
    """Parses one reply, on the side that sends commands."""

    def __init__(self) -> None:
        self.data = b""

    def feed(self, data: bytes) -> bool:
        """Add received bytes and return whether the reply is complete."""
        self.data += data
        lines = self.data.split(b"\r\n")
        has_statistics = lines[0].startswith(b"{")
        return len(lines) > 1 and (not has_statistics or b"." in lines[1:-1])

    def result(self) -> ManagementResult:
        """Return the content of the complete reply."""
        line = self.data.decode("ascii", "replace").partition("\r\n")[0]
        if line.startswith("{"):
            return ManagementResult(succeeded=True, message="", statistics=json.loads(line))
        marker, _, message = line.partition(" ")
        return ManagementResult(succeeded=marker == "+OK", message=message, statistics={})
