"""The control socket's side of HTTP/1.1 with JSON (RFC 9112): requests from bytes, answers as bytes.

A later part of the program adds verbs by registering a method, a path and a handler with `Verbs`.
"""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

import httptools

MAX_HEAD_BYTES = 16_384  # bytes of a request's first line and headers
MAX_BODY_BYTES = 1 << 20  # bytes
RESPONSE_HEADERS = {"Content-Type": "application/json", "Cache-Control": "no-store"}


class ControlError(Exception):
    """A request that is answered with this status and these words."""

    def __init__(self, status: HTTPStatus, reason: str) -> None:
        super().__init__(reason)
        self.status, self.reason = status, reason


@dataclass(frozen=True, slots=True)
class ControlRequest:
    """One request: what is wanted, with which values, and by whom."""

    method: str
    path: str
    arguments: dict[str, Any]
    actor: str = ""


Handler = Callable[[ControlRequest], Awaitable[dict[str, Any]]]


class CommandRegistry:
    """What the control socket can do, by method and path."""

    def __init__(self) -> None:
        self.handlers: dict[str, dict[str, Handler]] = {}

    def add(self, method: str, path: str, handler: Handler) -> None:
        """From now on this path does that. ValueError if another part has taken it."""
        known = self.handlers.setdefault(path, {})
        if method in known:
            raise ValueError(f"{method} {path}: is there already")
        known[method] = handler

    async def execute(self, request: ControlRequest) -> dict[str, Any]:
        """Have it done. Raises ControlError, and whatever the handler raises."""
        known = self.handlers.get(request.path)
        if known is None:
            raise ControlError(HTTPStatus.NOT_FOUND, f"{request.path}: no such path")
        handler = known.get(request.method)
        if handler is None:
            raise ControlError(HTTPStatus.METHOD_NOT_ALLOWED, f"{request.path}: expected {', '.join(known)}")
        return await handler(request)


def encode_response(status: HTTPStatus, content: dict[str, Any], close: bool = False) -> bytes:
    """One answer."""
    body = json.dumps(content, separators=(",", ":")).encode() + b"\n"
    lines = [
        f"HTTP/1.1 {status.value} {status.phrase}",
        *(f"{name}: {text}" for name, text in RESPONSE_HEADERS.items()),
    ]
    lines += [f"Content-Length: {len(body)}", *(["Connection: close"] if close else [])]
    return "\r\n".join([*lines, "", ""]).encode() + body


class ControlRequestParser:
    """Reads one connection's requests; `asked` holds those that are whole, oldest first."""

    def __init__(self, actor: str) -> None:
        self.actor, self.requests, self.closing = actor, list[ControlRequest](), False
        self.parser = httptools.HttpRequestParser(self)
        self._reset()

    def _reset(self) -> None:
        self.url, self.body_chunks, self.bytes_received, self.body_size, self.length = (
            b"",
            list[bytes](),
            0,
            0,
            0,
        )

    def feed(self, data: bytes) -> None:
        """Take bytes. Raises ControlError, after which the connection is answered and closed."""
        self.bytes_received += len(data)
        try:
            self.parser.feed_data(data)
        except (
            httptools.HttpParserUpgrade
        ):  # not offered: the request is answered, and no other (RFC 9110, 7.8)
            self.closing = True
        except httptools.HttpParserCallbackError as error:
            if isinstance(error.__context__, ControlError):
                raise error.__context__ from None
            raise self._close_with(HTTPStatus.BAD_REQUEST, str(error)) from error
        except httptools.HttpParserError as error:
            raise self._close_with(HTTPStatus.BAD_REQUEST, f"request: {error}") from error
        if self.bytes_received - self.body_size > MAX_HEAD_BYTES:
            raise self._close_with(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "request: its head is too long"
            )

    def _close_with(self, status: HTTPStatus, why: str) -> ControlError:
        self.closing = True
        return ControlError(status, why)

    # What the parser calls.

    def on_url(self, url: bytes) -> None:
        self.url += url
        if len(self.url) > MAX_HEAD_BYTES:
            raise self._close_with(HTTPStatus.REQUEST_URI_TOO_LONG, "request: its path is too long")

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"content-length" and value.isdigit() and int(value[:20]) > MAX_BODY_BYTES:
            raise self._close_with(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, f"body: over {MAX_BODY_BYTES} bytes")

    def on_body(self, body: bytes) -> None:
        self.body_size += len(body)
        if self.body_size > MAX_BODY_BYTES:
            raise self._close_with(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, f"body: over {MAX_BODY_BYTES} bytes")
        self.body_chunks.append(body)

    def on_message_complete(self) -> None:
        method = self.parser.get_method().decode("latin-1")
        path = self.url.partition(b"?")[0].decode("latin-1")
        text, self.closing = b"".join(self.body_chunks), not self.parser.should_keep_alive()
        self._reset()
        try:
            told = json.loads(text) if text else {}
        except ValueError as error:
            raise self._close_with(HTTPStatus.BAD_REQUEST, f"body: is not JSON: {error}") from error
        if not isinstance(told, dict):
            raise self._close_with(HTTPStatus.BAD_REQUEST, "body: expected an object")
        self.requests.append(ControlRequest(method, path, told, self.actor))
