"""The client's side of HTTP/1.1 (RFC 9112): encodes requests, and parses responses with httptools."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus

import httptools

MAX_RESPONSE_BYTES = 1 << 20  # bytes of one response that is not streamed, headers included
MAX_STATUS_LINE_BYTES = 64  # bytes within which the status code must stand
# As plain numbers: members of an enumeration are slow to look up on a path that each call takes.
OK = HTTPStatus.OK.value
INTERIM_STATUSES = range(HTTPStatus.CONTINUE.value, HTTPStatus.OK.value)
STATUS_LINE = re.compile(rb"\s*HTTP/1\.[01] (\d{3})[ \r\n]")


class HttpError(Exception):
    """A response that cannot be parsed, or that is longer than allowed."""


def encode_request(
    method: str, path: str, host: str, headers: dict[str, str], body: bytes | None = None
) -> bytes:
    """The bytes of one request; Content-Length is added where there is a body."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    head = "\r\n".join([*lines, "", ""]).encode("latin-1", "replace")
    return head + (body or b"")


@dataclass(slots=True)
class Response:
    """One complete response."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)  # names in lower case
    body: bytes = b""
    has_trailing_data: bool = False  # more bytes followed, although no other request was sent


class ResponseParser:
    """Parses the responses of one connection, one at a time. Call `reset` before each request.

    With `on_body_chunk` a body is streamed to it instead of collected, and has no length limit; otherwise
    `max_bytes` is the limit of a whole response.
    """

    def __init__(
        self, on_body_chunk: Callable[[bytes], None] | None = None, max_bytes: int = MAX_RESPONSE_BYTES
    ) -> None:
        self.on_body_chunk = on_body_chunk
        self.max_bytes = max_bytes
        self.reset()

    def reset(self) -> None:
        """Prepare for the next response."""
        self.parser = httptools.HttpResponseParser(self)
        self.response = Response()
        self.body_chunks: list[bytes] = []
        self.complete = False
        self.keep_alive = False
        self.headers_complete = False
        self.has_body_framing = False  # Content-Length or Transfer-Encoding says where the body ends
        self.bytes_received = 0
        self.first_bytes = b""

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent on the connection.

        Not with trailing data: it would be taken for the response to the next request.
        """
        return self.keep_alive and not self.response.has_trailing_data

    @property
    def status(self) -> int:
        """The status code, known also where the rest of the response is malformed; 0 until it is certain."""
        if not self.response.status and (found := STATUS_LINE.match(self.first_bytes)) is not None:
            return int(found[1])
        return self.response.status

    def feed(self, data: bytes) -> Response | None:
        """Parse received bytes; returns the response once it is complete. Raises HttpError."""
        if self.complete:
            self.response.has_trailing_data = self.response.has_trailing_data or bool(data)
            return self.response
        self.bytes_received += len(data)
        self.first_bytes += data[: max(0, MAX_STATUS_LINE_BYTES - len(self.first_bytes))]
        if self.on_body_chunk is None and self.bytes_received > self.max_bytes:
            raise HttpError("answer: too long")
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self.complete:
                raise HttpError(f"answer: {error}") from error
            self.response.has_trailing_data = True
        return self.response if self.complete else None

    def connection_closed(self) -> Response | None:
        """The peer closed the connection: this completes a response whose body has no stated length."""
        has_open_body = self.headers_complete and not self.has_body_framing
        if not self.complete and self.response.status and has_open_body:
            self.on_message_complete()
            self.keep_alive = False
        return self.response if self.complete else None

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """A response begins; a second one is trailing data."""
        self.headers_complete = self.headers_complete and self.complete
        self.response.has_trailing_data = self.complete

    def on_status(self, _reason_phrase: bytes) -> None:
        """The status line is complete."""
        if not self.complete:
            self.response.status = self.parser.get_status_code()

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header field is complete."""
        if not self.complete:
            self.response.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """The header section is complete. Raises HttpError for a body that is announced as too long."""
        if self.complete:
            return
        self.response.status = self.parser.get_status_code()
        self.headers_complete = True
        headers = self.response.headers
        self.has_body_framing = "content-length" in headers or "transfer-encoding" in headers
        if self.on_body_chunk is None and int(headers.get("content-length", "0")) > self.max_bytes:
            raise HttpError("answer: too long")  # without waiting for the body

    def on_body(self, body: bytes) -> None:
        """Some bytes of the body."""
        if self.on_body_chunk is not None:
            self.on_body_chunk(body)
        elif not self.complete:
            self.body_chunks.append(body)

    def on_message_complete(self) -> None:
        """The response is complete; an interim one (1xx) is dropped, as the final one follows."""
        if self.complete:
            return
        if self.response.status in INTERIM_STATUSES:
            self.response = Response()
            self.first_bytes = b""
            return
        self.response.body = b"".join(self.body_chunks)
        self.keep_alive = bool(self.parser.should_keep_alive())
        self.complete = True
