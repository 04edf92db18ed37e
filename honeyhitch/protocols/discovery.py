"""Discovery's lists and watches: encodes the requests, and parses the responses.

A list is the body of one response. A watch is a response that stays open and carries a stream of JSON
objects.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, TypeVar

from honeyhitch.protocols import http1
from honeyhitch.protocols.list_parser import ListError, ListParser, ParsedList, RowCollector

ACCEPT_JSON = {"Accept": "application/json"}

C = TypeVar("C", bound=RowCollector)


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


class WatchParser(Generic[C]):
    """Parses the response of one watch, or of a request for the complete list, into lists and changes.

    An object may span several lines, none of which is empty; an empty line is a heartbeat. `new_collector`
    returns the collector of the rows of the next object.
    """

    def __init__(self, new_collector: Callable[[], C]) -> None:
        self.list_parser = ListParser(new_collector)
        self.updates: list[ParsedList[C]] = []
        self.complete = False  # the response has ended, and its last object has been returned
        self.response_parser = http1.ResponseParser(self._on_body_chunk)

    def feed(self, data: bytes) -> list[ParsedList[C]]:
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
        if self.complete:
            self._check_end(status)
        return self.updates

    def connection_closed(self) -> bool:
        """Record that the agent closed the connection; return whether that completes the response."""
        self.complete = self.response_parser.connection_closed() is not None
        return self.complete

    def _check_end(self, status: int) -> None:
        if self.list_parser.in_list:
            raise WatchError("watch: the response ended within a list or change")
        if not self.updates:
            raise WatchError("watch: the response ended without another list or change", status)

    def _on_body_chunk(self, data: bytes) -> None:
        try:
            self.updates += self.list_parser.feed(data)
        except ListError as error:
            raise WatchError(f"watch: {error}") from error
