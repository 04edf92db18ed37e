"""Discovery's watch: a request, and JSON lines from a chunked answer that stays open."""

from __future__ import annotations

import json
from typing import Any

from honeyhitch.wire import http1

MOST_LINE = 4 << 20  # bytes of one list


class WatchError(Exception):
    """The watch gave something that cannot be read, or ended."""


def watch_request(host: str, revision: int) -> bytes:
    """Ask for all changes after a revision."""
    return http1.request(
        "GET", f"/api/targets?stream=1&index={revision}", host, {"Accept": "application/json"}
    )


class Watch:
    """One watch: fed bytes, it gives the lists and changes that they hold. Empty lines are heartbeats."""

    def __init__(self) -> None:
        self.line = bytearray()
        self.news: list[dict[str, Any]] = []
        self.machine = http1.AnswerMachine(self._piece)

    def _piece(self, data: bytes) -> None:
        self.line += data
        if len(self.line) > MOST_LINE:
            raise WatchError("watch: a line is too long")
        *lines, rest = bytes(self.line).split(b"\n")
        self.line = bytearray(rest)
        for line in lines:
            if not line.strip():
                continue
            try:
                value = json.loads(line)
            except ValueError as error:
                raise WatchError(f"watch: not JSON: {line[:80]!r}") from error
            if not isinstance(value, dict):
                raise WatchError(f"watch: expected an object, got {line[:80]!r}")
            self.news.append(value)

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
            raise WatchError(f"watch: answered {status}")
        if answer is not None and not self.news:
            raise WatchError("watch: ended")
        return self.news
