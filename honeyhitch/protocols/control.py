"""The server side of the control socket's protocol, without I/O: HTTP/1.1 (RFC 9112) with JSON bodies.

Features add commands by registering a method, a path and a handler in a `CommandRegistry`.
"""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

import httptools

from honeyhitch.memory.budget import MemoryAccount, MemoryLimitError

MAX_HEAD_BYTES = 16_384  # bytes of the request line and the headers
MAX_BODY_BYTES = 1 << 20
MAX_VALUES = 20_000  # commas and brackets of a body, which bound the values that it is decoded to
MAX_LENGTH_DIGITS = 20  # digits of a Content-Length that are parsed; any further ones are ignored
VALUE_DELIMITERS = (b",", b"[", b"{")
RESPONSE_HEADERS = {"Content-Type": "application/json", "Cache-Control": "no-store"}


class ControlError(Exception):
    """An error that is sent to the client of the control socket as an HTTP status and a reason."""

    def __init__(self, status: HTTPStatus, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


@dataclass(frozen=True, slots=True)
class ControlRequest:
    """One request; `actor` is the name of the user who connected to the socket."""

    method: str
    path: str
    arguments: dict[str, Any]
    actor: str = ""


Handler = Callable[[ControlRequest], Awaitable[dict[str, Any]]]


class CommandRegistry:
    """The commands of the control socket, by path and method."""

    def __init__(self) -> None:
        self.handlers: dict[str, dict[str, Handler]] = {}

    def add(self, method: str, path: str, handler: Handler) -> None:
        """Register a handler. Raise ValueError if the method and path already have a handler."""
        by_method = self.handlers.setdefault(path, {})
        if method in by_method:
            raise ValueError(f"{method} {path}: a handler is already registered")
        by_method[method] = handler

    async def execute(self, request: ControlRequest) -> dict[str, Any]:
        """Run the handler of a request and return its result.

        Raise ControlError if no handler matches; exceptions of the handler are passed to the caller.
        """
        by_method = self.handlers.get(request.path)
        if by_method is None:
            raise ControlError(HTTPStatus.NOT_FOUND, f"{request.path}: no such path")
        handler = by_method.get(request.method)
        if handler is None:
            expected = ", ".join(by_method)
            raise ControlError(HTTPStatus.METHOD_NOT_ALLOWED, f"{request.path}: expected {expected}")
        return await handler(request)


def encode_response(status: HTTPStatus, content: dict[str, Any], close: bool = False) -> bytes:
    """Return one encoded response; `close` announces that the connection is closed afterwards."""
    body = json.dumps(content, separators=(",", ":")).encode() + b"\n"
    lines = [f"HTTP/1.1 {status.value} {status.phrase}"]
    lines += [f"{name}: {value}" for name, value in RESPONSE_HEADERS.items()]
    lines.append(f"Content-Length: {len(body)}")
    if close:
        lines.append("Connection: close")
    return "\r\n".join([*lines, "", ""]).encode() + body


class ControlRequestParser:
    """Parses the requests of one connection; `requests` holds the complete requests, oldest first."""

    def __init__(self, actor: str, account: MemoryAccount | None = None) -> None:
        """Create a parser whose bodies are counted in `account` if there is one."""
        self.actor = actor
        self.account = account
        self.requests: list[ControlRequest] = []
        self.closing = False  # no further request is parsed, and the connection has to be closed
        self.parser = httptools.HttpRequestParser(self)
        self._reset()

    def _reset(self) -> None:
        self.url = b""
        self.body_chunks: list[bytes] = []
        self.bytes_received = 0
        self.body_size = 0

    def feed(self, data: bytes) -> None:
        """Parse received bytes and append the complete requests to `requests`.

        Raise ControlError for an invalid request; the caller sends the error as the response, and closes the
        connection.
        """
        self.bytes_received += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The upgrade is ignored: this request is answered, and no further one is read (RFC 9110, 7.8).
            self.closing = True
        except httptools.HttpParserCallbackError as error:
            if isinstance(error.__context__, ControlError):
                raise error.__context__ from None
            raise self._close_with(HTTPStatus.BAD_REQUEST, str(error)) from error
        except httptools.HttpParserError as error:
            raise self._close_with(HTTPStatus.BAD_REQUEST, f"request: {error}") from error
        if self.bytes_received - self.body_size > MAX_HEAD_BYTES:
            reason = "request: its head is too long"
            raise self._close_with(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, reason)

    def _close_with(self, status: HTTPStatus, reason: str) -> ControlError:
        self.closing = True
        return ControlError(status, reason)

    def _check_body_size(self, size: int) -> None:
        if size > MAX_BODY_BYTES:
            reason = f"body: over {MAX_BODY_BYTES} bytes"
            raise self._close_with(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, reason)

    # Callbacks that httptools calls by name.

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target. Raise ControlError if the target is too long."""
        self.url += url
        if len(self.url) > MAX_HEAD_BYTES:
            raise self._close_with(HTTPStatus.REQUEST_URI_TOO_LONG, "request: its path is too long")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Raise ControlError if Content-Length exceeds MAX_BODY_BYTES, without waiting for the body."""
        if name.lower() == b"content-length" and value.isdigit():
            self._check_body_size(int(value[:MAX_LENGTH_DIGITS]))

    def on_body(self, body: bytes) -> None:
        """Append a part of the body. Raise ControlError if the body is too long."""
        self.body_size += len(body)
        self._check_body_size(self.body_size)
        if self.account is not None:
            try:
                self.account.grow(len(body))
            except MemoryLimitError as error:
                raise self._close_with(HTTPStatus.SERVICE_UNAVAILABLE, str(error)) from error
        self.body_chunks.append(body)

    def on_message_complete(self) -> None:
        """Append the complete request to `requests`. Raise ControlError if its body is not a JSON object."""
        method = self.parser.get_method().decode("latin-1")
        path = self.url.partition(b"?")[0].decode("latin-1")
        text = b"".join(self.body_chunks)
        if sum(map(text.count, VALUE_DELIMITERS)) > MAX_VALUES:
            raise self._close_with(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, f"body: over {MAX_VALUES} values")
        self.closing = not self.parser.should_keep_alive()
        self._reset()
        if self.account is not None:
            self.account.close()
        try:
            arguments = json.loads(text) if text else {}
        except ValueError as error:
            raise self._close_with(HTTPStatus.BAD_REQUEST, f"body: is not JSON: {error}") from error
        if not isinstance(arguments, dict):
            raise self._close_with(HTTPStatus.BAD_REQUEST, "body: expected an object")
        self.requests.append(ControlRequest(method, path, arguments, self.actor))
