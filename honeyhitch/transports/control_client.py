"""Asks a running dispatcher something over its control socket; for the command line, not for the daemon."""

from __future__ import annotations

import http.client
import json
import socket
from pathlib import Path
from typing import Any

RESPONSE_TIMEOUT_SECONDS = 60.0  # seconds for an answer


class ControlCommandError(Exception):
    """The dispatcher answered that it cannot or will not; the message says why."""


class ControlConnection(http.client.HTTPConnection):
    """HTTP over a Unix-domain socket."""

    def __init__(self, path: Path) -> None:
        super().__init__("localhost", timeout=RESPONSE_TIMEOUT_SECONDS)
        self.path = path

    def connect(self) -> None:
        """Connect to the socket in place of a host."""
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self.sock.settimeout(self.timeout)
        try:
            self.sock.connect(str(self.path))
        except BaseException:
            self.sock.close()
            raise


class ControlClient:
    """One connection, opened with the first request."""

    def __init__(self, path: Path) -> None:
        self.connection = ControlConnection(path)

    def request(self, method: str, path: str, arguments: dict[str, Any] | None = None) -> dict[str, Any]:
        """The answer. Raises ControlRefused, and OSError where nobody answers there."""
        body = json.dumps(arguments).encode() if arguments is not None else None
        try:
            self.connection.request(method, path, body, {"Content-Type": "application/json"})
            response = self.connection.getresponse()
            text = response.read()
        except http.client.HTTPException as error:
            raise ControlCommandError(f"the dispatcher's answer cannot be read: {error!r}") from error
        try:
            answer = json.loads(text)
        except ValueError as error:
            raise ControlCommandError(f"the dispatcher's answer is not JSON: {error}") from error
        if response.status != http.client.OK:
            raise ControlCommandError(str(answer.get("error", response.status)))
        return dict(answer)

    def close(self) -> None:
        """Let go of the connection."""
        self.connection.close()
