"""The client side of HTTP/1.1 (RFC 9112): encodes requests, and parses responses with httptools."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus

import httptools

MAX_RESPONSE_BYTES = 1 << 20  # bytes of a response that is not streamed, including its headers
MAX_HEAD_BYTES = 16_384  # bytes of the headers of a response, interim responses included
MAX_HEADER_VALUE_BYTES = 1024  # bytes of a header value that is kept
# The headers that a user of this module reads; the others are not kept.
RELEVANT_HEADERS = frozenset(
    {"connection", "content-length", "retry-after", "transfer-encoding", "x-no-slot", "x-pressure"}
)
MAX_STATUS_LINE_BYTES = 64  # leading bytes of a response in which the status code is searched
# Plain numbers, because looking up enum members is slow and every call uses these statuses.
OK = HTTPStatus.OK.value
INTERIM_STATUSES = range(HTTPStatus.CONTINUE.value, HTTPStatus.OK.value)
STATUS_LINE = re.compile(rb"\s*HTTP/1\.[01] (\d{3})[ \r\n]")


class HttpError(Exception):
    """A response that cannot be parsed or is longer than allowed."""


def encode_request(
    method: str, path: str, host: str, headers: dict[str, str], body: bytes | None = None
) -> bytes:
    """Return the bytes of one request; Content-Length is added if there is a body."""
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
    headers: dict[str, str] = field(default_factory=dict)  # those of RELEVANT_HEADERS
    body: bytes = b""
    has_trailing_data: bool = False  # more bytes followed, although no further request was sent


class ResponseParser:
    """Parses the responses of one connection, one at a time. Call `reset` before each request.

    With `on_body_chunk`, a body is passed to that callback in chunks and has no length limit. Without it the
    body is collected, and `max_bytes` is the limit of the response including its headers. Of a longer body
    than `max_body_bytes` only the beginning is kept.
    """

    def __init__(
        self,
        on_body_chunk: Callable[[bytes], None] | None = None,
        max_bytes: int = MAX_RESPONSE_BYTES,
        max_body_bytes: int | None = None,
    ) -> None:
        self.on_body_chunk = on_body_chunk
        self.max_bytes = max_bytes
        self.max_body_bytes = max_bytes if max_body_bytes is None else max_body_bytes
        self.reset()

    def reset(self) -> None:
        """Prepare for the next response."""
        self.parser = httptools.HttpResponseParser(self)
        self.response = Response()
        self.body = bytearray()
        self.complete = False
        self.keep_alive = False
        self.headers_complete = False
        self.has_body_framing = False  # Content-Length or Transfer-Encoding defines the end of the body
        self.bytes_received = 0
        self.first_bytes = b""

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent on the connection.

        It may not after trailing data, which would be parsed as the response to the next request.
        """
        return self.keep_alive and not self.response.has_trailing_data

    @property
    def status(self) -> int:
        """The status code, also if the rest of the response is malformed; 0 before it was received."""
        if not self.response.status and (status_line := STATUS_LINE.match(self.first_bytes)) is not None:
            return int(status_line[1])
        return self.response.status

    def feed(self, data: bytes) -> Response | None:
        """Parse received bytes; return the response, or None while it is incomplete.

        Raise HttpError for a response that is malformed or too long.
        """
        if self.complete:
            self.response.has_trailing_data = self.response.has_trailing_data or bool(data)
            return self.response
        self.bytes_received += len(data)
        self.first_bytes += data[: max(0, MAX_STATUS_LINE_BYTES - len(self.first_bytes))]
        if self.on_body_chunk is None and self.bytes_received > self.max_bytes:
            raise HttpError(f"response: longer than {self.max_bytes} bytes")
        if not self.headers_complete and self.bytes_received - len(data) > MAX_HEAD_BYTES:
            raise HttpError(f"response: its head is longer than {MAX_HEAD_BYTES} bytes")
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self.complete:
                raise HttpError(f"response: malformed: {error.__context__ or error}") from error
            self.response.has_trailing_data = True
        return self.response if self.complete else None

    def connection_closed(self) -> Response | None:
        """Record that the peer closed the connection; return the response if it is complete, otherwise None.

        The close completes a response whose body has neither Content-Length nor Transfer-Encoding.
        """
        has_open_body = self.headers_complete and not self.has_body_framing
        if not self.complete and self.response.status and has_open_body:
            self.on_message_complete()
            self.keep_alive = False
        return self.response if self.complete else None

    # Callbacks that httptools calls by name.

    def on_message_begin(self) -> None:
        """Handle the start of a response; a second response is trailing data."""
        self.headers_complete = self.headers_complete and self.complete
        self.response.has_trailing_data = self.complete

    def on_status(self, _reason_phrase: bytes) -> None:
        """Store the status code once the status line is complete."""
        if not self.complete:
            self.response.status = self.parser.get_status_code()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header field of RELEVANT_HEADERS."""
        lower_name = name.decode("latin-1").lower()
        if not self.complete and lower_name in RELEVANT_HEADERS:
            self.response.headers[lower_name] = value[:MAX_HEADER_VALUE_BYTES].decode("latin-1")

    def on_headers_complete(self) -> None:
        """Store status and body framing after the headers. Raise HttpError if Content-Length is too large."""
        if self.complete:
            return
        self.response.status = self.parser.get_status_code()
        self.headers_complete = True
        headers = self.response.headers
        self.has_body_framing = "content-length" in headers or "transfer-encoding" in headers
        if self.on_body_chunk is None and int(headers.get("content-length", "0")) > self.max_bytes:
            # The error is raised without waiting for the body.
            raise HttpError(f"response: Content-Length is over {self.max_bytes} bytes")

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body or pass it to `on_body_chunk`."""
        if self.on_body_chunk is not None:
            self.on_body_chunk(body)
        elif not self.complete:
            self.body += body[: max(0, self.max_body_bytes - len(self.body))]

    def on_message_complete(self) -> None:
        """Complete the response; drop an interim response (1xx), because the final response follows."""
        if self.complete:
            return
        if self.response.status in INTERIM_STATUSES:
            self.response = Response()
            self.first_bytes = b""
            return
        self.response.body = bytes(self.body)
        self.keep_alive = bool(self.parser.should_keep_alive())
        self.complete = True
