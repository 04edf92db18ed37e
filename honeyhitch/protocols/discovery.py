"""Discovery's list and its watch: requests, and JSON from an answer, or from one that stays open."""

from __future__ import annotations

import json
import re
from collections.abc import Callable
from typing import Any

from honeyhitch.protocols import http1
from honeyhitch.protocols.list_parser import ListError, ListParser

MOST_LINE = 4 << 20  # bytes of one list
TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[{}\[\]]')  # what tells where an object ends: strings and brackets


class WatchError(Exception):
    """The watch gave what cannot be read, or ended; `status` is what was answered, if that is why."""

    def __init__(self, text: str, status: int = 0) -> None:
        super().__init__(text)
        self.status = status


def list_request(host: str) -> bytes:
    """Ask for the whole list."""
    return http1.request("GET", "/api/targets", host, {"Accept": "application/json"})


def whole_list(answer: http1.Response) -> dict[str, Any]:
    """The list that an answer holds, in discovery's form."""
    if answer.status != 200:
        raise WatchError(f"list: answered {answer.status}", answer.status)
    return _object(answer.body, "list")


def _object(text: bytes, name: str) -> dict[str, Any]:
    try:
        value = json.loads(text)
    except ValueError as error:
        raise WatchError(f"{name}: not JSON: {text[:80]!r}") from error
    if not isinstance(value, dict):
        raise WatchError(f"{name}: expected an object, got {text[:80]!r}")
    return value


def watch_request(host: str, revision: int) -> bytes:
    """Ask for all changes after a revision."""
    return http1.request(
        "GET", f"/api/targets?stream=1&index={revision}", host, {"Accept": "application/json"}
    )


class Watch:
    """One watch: fed bytes, it gives the lists and changes that they hold. Empty lines are heartbeats; an
    object may come on one line or indented over several, none of them empty.

    With `wanted`, lists may be of any length, and of their members only those for which it is true are kept.
    """

    def __init__(self, wanted: Callable[[dict[str, Any]], bool] | None = None) -> None:
        self.reader = ListParser(wanted) if wanted is not None else None
        self.line = bytearray()
        self.object, self.depth = bytearray(), 0  # one that has begun, and its brackets open
        self.news: list[dict[str, Any]] = []
        self.ended = False  # the answer is whole, and its last object was given
        self.machine = http1.ResponseParser(self._piece)

    def _piece(self, data: bytes) -> None:
        if self.reader is not None:
            try:
                self.news += self.reader.feed(data)
            except ListError as error:
                raise WatchError(f"watch: {error}") from error
            return
        self.line += data
        if len(self.line) + len(self.object) > MOST_LINE:
            raise WatchError("watch: a line is too long")
        *lines, rest = bytes(self.line).split(b"\n")
        self.line = bytearray(rest)
        for line in lines:
            if line.strip():
                self._take(line)
            elif self.object:
                raise WatchError(f"watch: an object that does not end: {bytes(self.object[:80])!r}")

    def _take(self, line: bytes) -> None:
        marks = [found[0] for found in TOKEN.finditer(line)]
        self.depth += sum((mark in b"{[") - (mark in b"}]") for mark in marks if len(mark) == 1)
        self.object += line + b"\n"
        if self.depth <= 0:
            whole, self.object, self.depth = bytes(self.object), bytearray(), 0
            self.news.append(_object(whole.strip(), "watch"))

    def feed(self, data: bytes) -> list[dict[str, Any]]:
        """Take bytes; the lists and changes read so far, each given once."""
        self.news = []
        try:
            answer = self.machine.feed(data)
        except http1.HttpError as error:
            cause = error.__cause__.__context__ if error.__cause__ else None
            raise (cause if isinstance(cause, WatchError) else WatchError(str(error))) from error
        status = self.machine.answer.status
        if self.machine.in_body and status != 200:
            raise WatchError(f"watch: answered {status}", status)
        self.ended = answer is not None
        if self.ended and not self.news:
            raise WatchError("watch: ended", status)
        return self.news
