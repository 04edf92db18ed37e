"""Health checks of load balancers: HAProxy's agent-check, and health over HTTP."""

from __future__ import annotations

import json
from collections.abc import Callable
from http import HTTPStatus

import httptools

from honeyhitch.dispatcher.delivery import DispatcherState, Phase
from honeyhitch.protocols.buffer import Buffer
from honeyhitch.protocols.server_session import ServerSession

MAX_REQUEST_BYTES = 8192
PERCENT = 100


def weight_percent(state: DispatcherState) -> int:
    """Return the unused percentage of the message limit, at least 1 because HAProxy treats 0 as a drain."""
    used = PERCENT * state.message_count // max(1, state.max_messages)
    return max(1, PERCENT - used)


def encode_agent_state(state: DispatcherState) -> bytes:
    """Return the agent-check reply line.

    For HAProxy `ready` ends an earlier drain, and the percentage sets the weight of the server.
    """
    if state.phase is Phase.READY:
        return b"up ready %d%%\n" % weight_percent(state)
    return b"down #not serving\n" if state.phase is Phase.DOWN else b"drain\n"


class AgentSession(ServerSession):
    """One agent-check connection: it sends the state immediately, ignores all input, and is closed."""

    def __init__(self, state: Callable[[], DispatcherState]) -> None:
        super().__init__()
        self.greeting = encode_agent_state(state())
        self.closing = True

    def receive(self, buffer: Buffer, _max_requests: int | None = None, _client_left: bool = False) -> bytes:
        """Discard the input and return no reply."""
        buffer.consume_all()
        return b""


class HealthSession(ServerSession):
    """One connection for health checks over HTTP.

    `/health` returns 200 if this instance accepts messages and 503 if not; `/live` always returns 200.
    """

    overload_reply = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

    def __init__(self, state: Callable[[], DispatcherState]) -> None:
        super().__init__()
        self.state = state
        self.request_bytes = 0  # bytes received since the last complete request
        self.parser = httptools.HttpRequestParser(self)
        self.path = b""
        self.replies: list[bytes] = []

    def receive(self, buffer: Buffer, _max_requests: int | None = None, _client_left: bool = False) -> bytes:
        """Return the responses to the requests that are complete."""
        data = buffer.consume_all()
        self.request_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._respond(HTTPStatus.BAD_REQUEST, {})
            self.closing = True
        if self.request_bytes > MAX_REQUEST_BYTES:
            self._respond(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, {})
            self.closing = True
        replies = b"".join(self.replies)
        self.replies = []
        return replies

    def _respond(self, status: HTTPStatus, content: dict[str, object], with_body: bool = True) -> None:
        body = json.dumps(content).encode() if content else b""
        lines = [
            f"HTTP/1.1 {status.value} {status.phrase}",
            "Content-Type: application/json",
            "Cache-Control: no-store",
            f"Content-Length: {len(body)}",
        ]
        if self.closing:
            lines.append("Connection: close")
        head = "\r\n".join([*lines, "", ""]).encode()
        self.replies.append(head + (body if with_body else b""))

    # Callbacks that httptools calls by name.

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self.path += url

    def on_message_complete(self) -> None:
        """Respond to a request that is complete."""
        path = self.path.partition(b"?")[0]
        self.path = b""
        self.request_bytes = 0
        method = self.parser.get_method()
        self.closing = not self.parser.should_keep_alive()
        if method not in (b"GET", b"HEAD"):
            self._respond(HTTPStatus.METHOD_NOT_ALLOWED, {})
            return
        state = self.state()
        status = _health_status(path, state)
        content: dict[str, object] = {}
        if status is not HTTPStatus.NOT_FOUND:
            content = {
                "state": state.phase.value,
                "held": state.message_count,
                "most": state.max_messages,
            }
        self._respond(status, content, with_body=method == b"GET")


def _health_status(path: bytes, state: DispatcherState) -> HTTPStatus:
    if path == b"/live":
        return HTTPStatus.OK
    if path != b"/health":
        return HTTPStatus.NOT_FOUND
    return HTTPStatus.OK if state.phase is Phase.READY else HTTPStatus.SERVICE_UNAVAILABLE
