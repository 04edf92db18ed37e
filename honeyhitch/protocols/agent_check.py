"""What balancers ask: HAProxy's agent-check, and health over HTTP."""

from __future__ import annotations

import json
from collections.abc import Callable
from http import HTTPStatus

import httptools

from honeyhitch.dispatcher.delivery import DispatcherState, Phase
from honeyhitch.protocols.buffer import Buffer

MAX_REQUEST_BYTES = 8192  # bytes


def weight_percent(state: DispatcherState) -> int:
    """Per cent of its room that is left; a ready one keeps at least 1, as 0 would mean drain."""
    return max(1, 100 - 100 * state.message_count // max(1, state.max_messages))


def encode_agent_state(state: DispatcherState) -> bytes:
    """HAProxy's words for a state: `ready` ends an earlier drain, and the percentage sets the weight."""
    if state.phase is Phase.READY:
        return b"up ready %d%%\n" % weight_percent(state)
    return b"down #not serving\n" if state.phase is Phase.DOWN else b"drain\n"


class AgentSession:
    """One agent-check: a line at once, whatever was sent, and the end of the connection."""

    forward = None

    def __init__(self, state: Callable[[], DispatcherState]) -> None:
        self.greeting, self.closing, self.has_more_requests, self.has_partial_request = (
            encode_agent_state(state()),
            True,
            False,
            False,
        )

    def receive(self, buffer: Buffer) -> bytes:
        """Nothing is read."""
        buffer.consume_all()
        return b""


class HealthSession:
    """HTTP health: `/health` says whether to send work here, `/live` whether the process answers at all."""

    greeting = b""
    forward = None

    def __init__(self, state: Callable[[], DispatcherState]) -> None:
        self.state, self.closing, self.has_more_requests, self.has_partial_request, self.request_bytes = (
            state,
            False,
            False,
            False,
            0,
        )
        self.parser = httptools.HttpRequestParser(self)
        self.path, self.replies = b"", list[bytes]()

    def receive(self, buffer: Buffer) -> bytes:
        """Replies to the requests that came."""
        data = buffer.consume_all()
        self.request_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._reply(HTTPStatus.BAD_REQUEST, {})
            self.closing = True
        if self.request_bytes > MAX_REQUEST_BYTES:
            self._reply(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, {})
            self.closing = True
        replies, self.replies = b"".join(self.replies), []
        return replies

    def _reply(self, status: HTTPStatus, body: dict[str, object], with_body: bool = True) -> None:
        text = json.dumps(body).encode() if body else b""
        head = f"HTTP/1.1 {status.value} {status.phrase}\r\nContent-Type: application/json\r\n"
        head += f"Cache-Control: no-store\r\nContent-Length: {len(text)}\r\n"
        head += "Connection: close\r\n\r\n" if self.closing else "\r\n"
        self.replies.append(head.encode() + (text if with_body else b""))

    # What the parser calls.

    def on_url(self, url: bytes) -> None:
        self.path += url

    def on_message_complete(self) -> None:
        path, self.path, self.request_bytes = self.path.partition(b"?")[0], b"", 0
        method, self.closing = self.parser.get_method(), not self.parser.should_keep_alive()
        state, wanted = self.state(), method != b"HEAD"
        told: dict[str, object] = {
            "state": state.phase.value,
            "held": state.message_count,
            "most": state.max_messages,
        }
        if method not in (b"GET", b"HEAD"):
            self._reply(HTTPStatus.METHOD_NOT_ALLOWED, {})
        elif path == b"/live":
            self._reply(HTTPStatus.OK, told, wanted)
        elif path == b"/health":
            ready = state.phase is Phase.READY
            self._reply(HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE, told, wanted)
        else:
            self._reply(HTTPStatus.NOT_FOUND, {})
