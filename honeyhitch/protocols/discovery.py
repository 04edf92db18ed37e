"""Discovery's list and its watch: requests, and JSON from an answer, or from one that stays open."""

from __future__ import annotations

import json
import re
from collections.abc import Callable
from typing import Any

from honeyhitch.protocols import http1
from honeyhitch.protocols.list_parser import ListError, ListParser

MAX_LIST_BYTES = 4 << 20  # bytes of one list
JSON_TOKEN = re.compile(
    rb'"(?:[^"\\]|\\.)*"|[{}\[\]]'
)  # what tells where an object ends: strings and brackets


class WatchError(Exception):
    """The watch gave what cannot be read, or ended; `status` is what was answered, if that is why."""

    def __init__(self, message: str, status: int = 0) -> None:
        super().__init__(message)
        self.status = status


def encode_list_request(host: str) -> bytes:
    """Ask for the whole list."""
    return http1.encode_request("GET", "/api/targets", host, {"Accept": "application/json"})


def parse_complete_list(response: http1.Response) -> dict[str, Any]:
    """The list that an answer holds, in discovery's form."""
    if response.status != 200:
        raise WatchError(f"list: answered {response.status}", response.status)
    return _object(response.body, "list")


def _object(text: bytes, name: str) -> dict[str, Any]:
    try:
        value = json.loads(text)
    except ValueError as error:
        raise WatchError(f"{name}: not JSON: {text[:80]!r}") from error
    if not isinstance(value, dict):
        raise WatchError(f"{name}: expected an object, got {text[:80]!r}")
    return value


def encode_watch_request(host: str, revision: int) -> bytes:
    """Ask for all changes after a revision."""
    return http1.encode_request(
        "GET", f"/api/targets?stream=1&index={revision}", host, {"Accept": "application/json"}
    )


class WatchParser:
    """One watch: fed bytes, it gives the lists and changes that they hold. Empty lines are heartbeats; an
    object may come on one line or indented over several, none of them empty.

    With `wanted`, lists may be of any length, and of their members only those for which it is true are kept.
    """

    def __init__(self, keep_member: Callable[[dict[str, Any]], bool] | None = None) -> None:
        self.list_parser = ListParser(keep_member) if keep_member is not None else None
        self.partial_line = bytearray()
        self.partial_object, self.bracket_depth = bytearray(), 0  # one that has begun, and its brackets open
        self.updates: list[dict[str, Any]] = []
        self.complete = False  # the answer is whole, and its last object was given
        self.response_parser = http1.ResponseParser(self._on_body_chunk)

    def _on_body_chunk(self, data: bytes) -> None:
        if self.list_parser is not None:
            try:
                self.updates += self.list_parser.feed(data)
            except ListError as error:
                raise WatchError(f"watch: {error}") from error
            return
        self.partial_line += data
        if len(self.partial_line) + len(self.partial_object) > MAX_LIST_BYTES:
            raise WatchError("watch: a line is too long")
        *lines, rest = bytes(self.partial_line).split(b"\n")
        self.partial_line = bytearray(rest)
        for line in lines:
            if line.strip():
                self._add_line(line)
            elif self.partial_object:
                raise WatchError(f"watch: an object that does not end: {bytes(self.partial_object[:80])!r}")

    def _add_line(self, line: bytes) -> None:
        marks = [found[0] for found in JSON_TOKEN.finditer(line)]
        self.bracket_depth += sum((mark in b"{[") - (mark in b"}]") for mark in marks if len(mark) == 1)
        self.partial_object += line + b"\n"
        if self.bracket_depth <= 0:
            whole, self.partial_object, self.bracket_depth = bytes(self.partial_object), bytearray(), 0
            self.updates.append(_object(whole.strip(), "watch"))

    def feed(self, data: bytes) -> list[dict[str, Any]]:
        """Take bytes; the lists and changes read so far, each given once."""
        self.updates = []
        try:
            answer = self.response_parser.feed(data)
        except http1.HttpError as error:
            cause = error.__cause__.__context__ if error.__cause__ else None
            raise (cause if isinstance(cause, WatchError) else WatchError(str(error))) from error
        status = self.response_parser.response.status
        if self.response_parser.headers_complete and status != 200:
            raise WatchError(f"watch: answered {status}", status)
        self.complete = answer is not None
        if self.complete and not self.updates:
            raise WatchError("watch: ended", status)
        return self.updates
