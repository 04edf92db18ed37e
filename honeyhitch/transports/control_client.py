"""The client of the control socket for the command line. Its calls block, so the service does not use it."""

from __future__ import annotations

import http.client
import json
import socket
from pathlib import Path
from typing import Any

RESPONSE_TIMEOUT_SECONDS = 60.0
REQUEST_HEADERS = {"Content-Type": "application/json"}


class ControlCommandError(Exception):
    """The dispatcher rejected a command, or its response is malformed; the message is the reason."""


class ControlConnection(http.client.HTTPConnection):
    """HTTP over a Unix-domain socket."""

    def __init__(self, path: Path) -> None:
        super().__init__("localhost", timeout=RESPONSE_TIMEOUT_SECONDS)
        self.path = path

    def connect(self) -> None:
        """Connect to the Unix-domain socket instead of a host. Raise OSError if that fails."""
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self.sock.settimeout(self.timeout)
        try:
            self.sock.connect(str(self.path))
        except BaseException:
            self.sock.close()
            raise


class ControlClient:
    """One connection to a running dispatcher, which is opened by the first request."""

    def __init__(self, path: Path) -> None:
        self.connection = ControlConnection(path)

    def request(self, method: str, path: str, arguments: dict[str, Any] | None = None) -> dict[str, Any]:
        """Send a command to the dispatcher and return its result.

        Raise ControlCommandError if the command is rejected or the response is malformed, and OSError if no
        dispatcher listens on the socket or the connection breaks.
        """
        body = json.dumps(arguments).encode() if arguments is not None else None
        try:
            self.connection.request(method, path, body, REQUEST_HEADERS)
            response = self.connection.getresponse()
            text = response.read()
        except http.client.HTTPException as error:
            raise ControlCommandError(
                f"{method} {path}: expected an HTTP response of the dispatcher, got {error!r}"
            ) from error
        try:
            result = json.loads(text)
        except ValueError as error:
            raise ControlCommandError(
                f"{method} {path}: expected JSON in the dispatcher's response: {error}"
            ) from error
        if response.status != http.client.OK:
            raise ControlCommandError(str(result.get("error", response.status)))
        return dict(result)

    def close(self) -> None:
        """Close the connection."""
        self.connection.close()
