"""HTTP/1.1 as a client speaks it: requests as bytes, answers from bytes; httptools does the parsing."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass, field

import httptools

MAX_RESPONSE_BYTES = 1 << 20  # of one answer that is not a stream
MAX_STATUS_LINE_BYTES = 64  # bytes in which a first line's status must stand
STATUS_LINE = re.compile(rb"\s*HTTP/1\.[01] (\d{3})[ \r\n]")


class HttpError(Exception):
    """An answer that cannot be read."""


def encode_request(
    method: str, path: str, host: str, headers: dict[str, str], body: bytes | None = None
) -> bytes:
    """The bytes of one request."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", *(f"{k}: {v}" for k, v in headers.items())]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1", "replace") + (body or b"")


@dataclass(slots=True)
class Response:
    """One whole answer."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)  # names in lower case
    body: bytes = b""
    has_trailing_data: bool = False  # bytes came behind it, though nothing else was asked for


class ResponseParser:
    """Reads the answers of one connection, one after the other; `on_piece` streams bodies instead."""

    def __init__(
        self, on_body_chunk: Callable[[bytes], None] | None = None, max_bytes: int = MAX_RESPONSE_BYTES
    ) -> None:
        self.on_body_chunk, self.max_bytes = on_body_chunk, max_bytes
        self.reset()

    def reset(self) -> None:
        """Get ready for the next answer."""
        self.parser = httptools.HttpResponseParser(self)
        self.response, self.body_chunks = Response(), list[bytes]()
        self.complete = self.keep_alive = self.headers_complete = self.has_body_framing = False
        self.bytes_received, self.first_bytes = 0, b""

    @property
    def reusable(self) -> bool:
        """The answer is whole and nothing came behind it; half a copy would answer the next request."""
        return self.keep_alive and not self.response.has_trailing_data

    @property
    def status(self) -> int:
        """What the first line says, also of an answer that goes on badly; 0 while it is not sure."""
        if not self.response.status and (found := STATUS_LINE.match(self.first_bytes)) is not None:
            return int(found[1])
        return self.response.status

    def feed(self, data: bytes) -> Response | None:
        """Take bytes; the answer once it is whole."""
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
        """The connection ended: an answer whose body runs to the end is whole now."""
        if not self.complete and self.response.status and self.headers_complete and not self.has_body_framing:
            self.on_message_complete()
            self.keep_alive = False
        return self.response if self.complete else None

    # What the parser calls.

    def on_message_begin(self) -> None:
        self.headers_complete = self.headers_complete and self.complete
        self.response.has_trailing_data = self.complete

    def on_status(self, status: bytes) -> None:
        if not self.complete:
            self.response.status = self.parser.get_status_code()

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.complete:
            self.response.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        if not self.complete:
            self.response.status = self.parser.get_status_code()
            self.headers_complete = True
            headers = self.response.headers
            self.has_body_framing = "content-length" in headers or "transfer-encoding" in headers
            if self.on_body_chunk is None and int(headers.get("content-length", "0")) > self.max_bytes:
                raise HttpError("answer: too long")  # it need not be waited out

    def on_body(self, body: bytes) -> None:
        if self.on_body_chunk is not None:
            self.on_body_chunk(body)
        elif not self.complete:
            self.body_chunks.append(body)

    def on_message_complete(self) -> None:
        if self.complete:
            return
        if 100 <= self.response.status < 200:  # an interim answer; the real one follows
            self.response, self.first_bytes = Response(), b""
            return
        self.response.body = b"".join(self.body_chunks)
        self.keep_alive = bool(self.parser.should_keep_alive())
        self.complete = True
