"""HTTP/1.1 as a client speaks it: requests as bytes, answers from bytes; httptools does the parsing."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import httptools

MOST_BYTES = 1 << 20  # of one answer that is not a stream


class HttpError(Exception):
    """An answer that cannot be read."""


def request(method: str, path: str, host: str, headers: dict[str, str], body: bytes | None = None) -> bytes:
    """The bytes of one request."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", *(f"{k}: {v}" for k, v in headers.items())]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1", "replace") + (body or b"")


@dataclass(slots=True)
class Answer:
    """One whole answer."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)  # names in lower case
    body: bytes = b""


class AnswerMachine:
    """Reads the answers of one connection, one after the other; `on_piece` streams bodies instead."""

    def __init__(self, on_piece: Callable[[bytes], None] | None = None) -> None:
        self.on_piece = on_piece
        self.fresh()

    def fresh(self) -> None:
        """Get ready for the next answer."""
        self.parser = httptools.HttpResponseParser(self)
        self.answer, self.pieces = Answer(), list[bytes]()
        self.done = self.reusable = self.in_body = self.framed = False
        self.seen = 0

    def feed(self, data: bytes) -> Answer | None:
        """Take bytes; the answer once it is whole."""
        if self.done and data:
            self.reusable = False  # more than was asked for: nothing on this connection can be trusted
            return self.answer
        self.seen += len(data)
        if self.on_piece is None and self.seen > MOST_BYTES:
            raise HttpError("answer: too long")
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self.done:
                raise HttpError(f"answer: {error}") from error
            self.reusable = False
        return self.answer if self.done else None

    def ended(self) -> Answer | None:
        """The connection ended: an answer whose body runs to the end is whole now."""
        if not self.done and self.answer.status and self.in_body and not self.framed:
            self.on_message_complete()
            self.reusable = False
        return self.answer if self.done else None

    # What the parser calls.

    def on_message_begin(self) -> None:
        self.in_body = self.in_body and self.done

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

    def on_body(self, body: bytes) -> None:
        if self.on_piece is not None:
            self.on_piece(body)
        elif not self.done:
            self.pieces.append(body)

    def on_message_complete(self) -> None:
        if self.done:
            return
        if 100 <= self.answer.status < 200:  # an interim answer; the real one follows
            self.answer = Answer()
            return
        self.answer.body = b"".join(self.pieces)
        self.reusable = bool(self.parser.should_keep_alive())
        self.done = True
