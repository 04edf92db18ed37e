"""HTTP/1.1 as a client speaks it: requests as bytes, answers from bytes; httptools does the parsing."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass, field

import httptools

MOST_BYTES = 1 << 20  # of one answer that is not a stream
MOST_HEAD = 64  # bytes in which a first line's status must stand
FIRST_LINE = re.compile(rb"\s*HTTP/1\.[01] (\d{3})[ \r\n]")


class HttpError(Exception):
    """An answer that cannot be read."""


def request(method: str, path: str, host: str, headers: dict[str, str], body: bytes | None = None) -> bytes:
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
    more: bool = False  # bytes came behind it, though nothing else was asked for


class ResponseParser:
    """Reads the answers of one connection, one after the other; `on_piece` streams bodies instead."""

    def __init__(self, on_piece: Callable[[bytes], None] | None = None, most: int = MOST_BYTES) -> None:
        self.on_piece, self.most = on_piece, most
        self.fresh()

    def fresh(self) -> None:
        """Get ready for the next answer."""
        self.parser = httptools.HttpResponseParser(self)
        self.answer, self.pieces = Response(), list[bytes]()
        self.done = self.kept = self.in_body = self.framed = False
        self.seen, self.head = 0, b""

    @property
    def reusable(self) -> bool:
        """The answer is whole and nothing came behind it; half a copy would answer the next request."""
        return self.kept and not self.answer.more

    @property
    def status(self) -> int:
        """What the first line says, also of an answer that goes on badly; 0 while it is not sure."""
        if not self.answer.status and (found := FIRST_LINE.match(self.head)) is not None:
            return int(found[1])
        return self.answer.status

    def feed(self, data: bytes) -> Response | None:
        """Take bytes; the answer once it is whole."""
        if self.done:
            self.answer.more = self.answer.more or bool(data)
            return self.answer
        self.seen += len(data)
        self.head += data[: max(0, MOST_HEAD - len(self.head))]
        if self.on_piece is None and self.seen > self.most:
            raise HttpError("answer: too long")
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self.done:
                raise HttpError(f"answer: {error}") from error
            self.answer.more = True
        return self.answer if self.done else None

    def ended(self) -> Response | None:
        """The connection ended: an answer whose body runs to the end is whole now."""
        if not self.done and self.answer.status and self.in_body and not self.framed:
            self.on_message_complete()
            self.kept = False
        return self.answer if self.done else None

    # What the parser calls.

    def on_message_begin(self) -> None:
        self.in_body = self.in_body and self.done
        self.answer.more = self.done

    def on_status(self, status: bytes) -> None:
        if not self.done:
            self.answer.status = self.parser.get_status_code()

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.done:
            self.answer.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        if not self.done:
            self.answer.status = self.parser.get_status_code()
            self.in_body = True
            headers = self.answer.headers
            self.framed = "content-length" in headers or "transfer-encoding" in headers
            if self.on_piece is None and int(headers.get("content-length", "0")) > self.most:
                raise HttpError("answer: too long")  # it need not be waited out

    def on_body(self, body: bytes) -> None:
        if self.on_piece is not None:
            self.on_piece(body)
        elif not self.done:
            self.pieces.append(body)

    def on_message_complete(self) -> None:
        if self.done:
            return
        if 100 <= self.answer.status < 200:  # an interim answer; the real one follows
            self.answer, self.head = Response(), b""
            return
        self.answer.body = b"".join(self.pieces)
        self.kept = bool(self.parser.should_keep_alive())
        self.done = True
