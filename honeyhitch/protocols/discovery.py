"""Discovery's endpoint list and watch: encodes the requests, and parses lists and changes from JSON.

A list is the body of one response. A watch is a response that stays open and carries a
stream of JSON objects.
"""

from __future__ import annotations

import json
import re
from collections.abc import Callable
from typing import Any

from honeyhitch.protocols import http1
from honeyhitch.protocols.list_parser import MAX_KEPT_ROWS, ListError, ListParser

MAX_LIST_BYTES = 4 << 20  # bytes of one list
MAX_QUOTED_LENGTH = 80  # bytes of malformed input that are quoted in an error
# Only strings and brackets are needed to find the end of an object. A string without an end is one token, so
# that the search never returns to a byte that it has passed.
JSON_TOKEN = re.compile(rb'"(?:[^"\\]++|\\.)*+"?|[{}\[\]]', re.DOTALL)
OPENING_BRACKETS = b"{["
CLOSING_BRACKETS = b"}]"
ACCEPT_JSON = {"Accept": "application/json"}


class WatchError(Exception):
    """A list or watch that is malformed or has ended.

    `status` is the HTTP status if the error is about a response with that status, otherwise 0.
    """

    def __init__(self, message: str, status: int = 0) -> None:
        super().__init__(message)
        self.status = status


def encode_list_request(host: str) -> bytes:
    """Return the request for the complete list."""
    return http1.encode_request("GET", "/api/targets", host, ACCEPT_JSON)


def encode_watch_request(host: str, revision: int) -> bytes:
    """Return the request for a watch on all changes after `revision`."""
    return http1.encode_request("GET", f"/api/targets?stream=1&index={revision}", host, ACCEPT_JSON)


def parse_complete_list(response: http1.Response) -> dict[str, Any]:
    """Return the list of a response, as decoded from discovery's JSON.

    Raise WatchError for another status than 200, and for a body that is not a JSON object.
    """
    if response.status != http1.OK:
        raise WatchError(f"list: expected HTTP status {http1.OK}, got {response.status}", response.status)
    return _parse_object(response.body, "list")


def _parse_object(text: bytes, name: str) -> dict[str, Any]:
    try:
        value = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise WatchError(f"{name}: expected JSON, got {text[:MAX_QUOTED_LENGTH]!r}") from error
    if not isinstance(value, dict):
        raise WatchError(f"{name}: expected an object, got {text[:MAX_QUOTED_LENGTH]!r}")
    return value


class WatchParser:
    """Parses the response of one watch into lists and changes.

    An object may span several lines, none of which is empty; an empty line is a heartbeat. With
    `keep_row`, a list may have any length, and only the elements of its `members` array for which
    `keep_row` returns true are kept, at most `max_rows` of them. Without it, an object has at most
    `max_bytes` bytes.
    """

    def __init__(
        self,
        keep_row: Callable[[dict[str, Any]], bool] | None = None,
        max_bytes: int = MAX_LIST_BYTES,
        max_rows: int = MAX_KEPT_ROWS,
    ) -> None:
        self.max_bytes = max_bytes
        self.list_parser = ListParser(keep_row, max_rows) if keep_row is not None else None
        self.partial_line = bytearray()
        self.partial_object = bytearray()
        self.bracket_depth = 0  # number of open brackets in the partial object
        self.updates: list[dict[str, Any]] = []
        self.complete = False  # the response has ended, and its last object has been returned
        self.response_parser = http1.ResponseParser(self._on_body_chunk)

    def feed(self, data: bytes) -> list[dict[str, Any]]:
        """Parse received bytes and return the lists and changes that they complete.

        Raise WatchError for a malformed response, for another status than 200, and if the response ends
        without a further object.
        """
        self.updates = []
        try:
            response = self.response_parser.feed(data)
        except http1.HttpError as error:
            cause = error.__cause__.__context__ if error.__cause__ else None
            raise (cause if isinstance(cause, WatchError) else WatchError(str(error))) from error
        status = self.response_parser.response.status
        if self.response_parser.headers_complete and status != http1.OK:
            raise WatchError(f"watch: expected HTTP status {http1.OK}, got {status}", status)
        self.complete = response is not None
        if self.complete and not self.updates:
            raise WatchError("watch: the response ended without another list or change", status)
        return self.updates

    def _on_body_chunk(self, data: bytes) -> None:
        if self.list_parser is None:
            self._split_lines(data)
            return
        try:
            self.updates += self.list_parser.feed(data)
        except ListError as error:
            raise WatchError(f"watch: {error}") from error

    def _split_lines(self, data: bytes) -> None:
        line_end = data.rfind(b"\n") + 1
        if len(self.partial_line) + len(self.partial_object) + len(data) > self.max_bytes:
            raise WatchError(f"watch: over {self.max_bytes} bytes are not parsed yet")
        if not line_end:  # only complete lines are looked at, so that no byte is looked at twice
            self.partial_line += data
            return
        lines = bytes(self.partial_line + data[: line_end - 1]).split(b"\n")
        self.partial_line = bytearray(data[line_end:])
        for line in lines:
            if line.strip():
                self._add_line(line)
            elif self.partial_object:
                excerpt = bytes(self.partial_object[:MAX_QUOTED_LENGTH])
                raise WatchError(f"watch: expected the rest of an object, got an empty line: {excerpt!r}")

    def _add_line(self, line: bytes) -> None:
        for token in JSON_TOKEN.findall(line):
            if token in OPENING_BRACKETS:
                self.bracket_depth += 1
            elif token in CLOSING_BRACKETS:
                self.bracket_depth -= 1
        self.partial_object += line + b"\n"
        if self.bracket_depth <= 0:
            text = bytes(self.partial_object).strip()
            self.partial_object = bytearray()
            self.bracket_depth = 0
            self.updates.append(_parse_object(text, "watch"))
