"""The connections of clients, and the choice of the one that is closed if there are too many."""

from __future__ import annotations

import socket
from dataclasses import dataclass

from honeyhitch.memory.budget import MemoryAccount
from honeyhitch.protocols.buffer import Buffer
from honeyhitch.protocols.server_session import ServerSession
from honeyhitch.transports import sockets

# A new client that has sent no byte for this long may lose its slot: a request in transit would have arrived.
IDLE_CLIENT_SECONDS = 0.1
# A client that has sent nothing more of its request for this long may lose its slot before those that go on.
STALLED_REQUEST_SECONDS = 0.25
MAX_CANDIDATES = 8  # clients of which the one with the least claim is chosen


@dataclass(slots=True, eq=False)
class Client:
    """One client's connection. Times are seconds on the loop's clock."""

    sock: socket.socket
    port: int  # of the client's end
    state_since: float  # when its state last changed
    session: ServerSession
    buffer: Buffer
    account: MemoryAccount
    received_at: float  # when bytes were last received
    answered: bool = False  # at least one reply was sent
    has_partial_request: bool = False
    ready: bool = False  # bytes were received, and wait to be handled
    sending: bool = False  # a reply is being written
    closed: bool = False  # nothing more is read from the connection
    session_bytes: int = 0  # counted in `account` for what the session holds

    @property
    def between_requests(self) -> bool:
        """Whether the client was answered and nothing is pending.

        The connection may then be closed, because the client opens another one for its next request.
        """
        return self.answered and self._nothing_pending

    @property
    def idle(self) -> bool:
        """Whether the client has not sent anything yet."""
        return not self.answered and self._nothing_pending

    @property
    def _nothing_pending(self) -> bool:
        in_use = self.has_partial_request or self.ready or self.sending
        return not in_use and sockets.is_reusable(self.sock)

    @property
    def request_incomplete(self) -> bool:
        """Whether the client has sent only a part of its request, which may be refused as a whole."""
        in_use = self.ready or self.sending or self.session.has_more_requests
        return self.has_partial_request and not in_use

    def count_session_bytes(self) -> None:
        """Count what the session holds of an incomplete request."""
        pending = self.session.pending_bytes
        self.account.add(pending - self.session_bytes)
        self.session_bytes = pending

    def release(self) -> None:
        """Release all memory that the connection holds."""
        self.buffer.release()
        self.session.discard()
        self.account.close()
        self.session_bytes = 0


class ClientTable:
    """The clients of one server, by what may be done with their connections.

    `unused` and `incomplete` are ordered by the time at which their clients got into that state.
    """

    def __init__(self, single_request: bool) -> None:
        """With `single_request`, a client whose request is incomplete counts as idle."""
        self.single_request = single_request
        self.all: dict[Client, None] = {}  # ordered by `state_since`, the oldest first
        self.unused: dict[Client, None] = {}  # nothing was received that is not answered
        self.incomplete: dict[Client, None] = {}  # a part of a request was received

    def add(self, client: Client) -> None:
        """Add a new client."""
        self.all[client] = None
        self.unused[client] = None

    def remove(self, client: Client) -> None:
        """Remove a client whose connection is closed."""
        self.all.pop(client, None)
        self.unused.pop(client, None)
        self.incomplete.pop(client, None)

    def update(self, client: Client) -> None:
        """Note that the state of a client may have changed."""
        if client not in self.all:
            return
        if client.has_partial_request:
            self.incomplete[client] = None
        else:
            self.incomplete.pop(client, None)
        if client.has_partial_request or client.ready or client.sending:
            self.unused.pop(client, None)
        elif client not in self.unused:
            self.unused[client] = None

    def record_state_change(self, client: Client, now: float) -> None:
        """Set the client's `state_since`, and move the client to the end of the order."""
        client.state_since = now
        if client in self.all:
            del self.all[client]
            self.all[client] = None

    def unused_client(self, now: float, min_idle: float = IDLE_CLIENT_SECONDS) -> Client | None:
        """Return the connection that has been unused for longest and may be closed, or None.

        A client that has sent nothing yet must have been connected for `min_idle` seconds. The connection of
        a client that was answered may be closed at any time, because the client sends its next request on a
        new connection. If such a connection had to be unused for a minimum time first, many new clients at
        once would get no slot.
        """
        idle_before = now - min_idle
        for client in self.all if self.single_request else self.unused:
            counts_as_idle = client.state_since < idle_before and (
                client.idle or (self.single_request and not client.sending)
            )
            if counts_as_idle or client.between_requests:
                return client
        return None

    def incomplete_client(
        self, now: float, min_age: float = 0.0, only_with_memory: bool = False, reading: Client | None = None
    ) -> Client | None:
        """Return the client with an incomplete request that has the least claim to go on, or None.

        Of the clients whose requests began first, that is the one that has sent nothing for longest, if it is
        stalled, and otherwise the first. Only requests that began `min_age` seconds ago count, and with
        `only_with_memory` only clients whose memory is counted, and the one that is `reading`.
        """
        candidates: list[Client] = []
        for client in self.incomplete:
            if client.state_since > now - min_age or len(candidates) == MAX_CANDIDATES:
                break
            if client is reading or (
                client.request_incomplete and (client.account.held or not only_with_memory)
            ):
                candidates.append(client)
        if not candidates:
            return None
        longest_silent = min(candidates, key=lambda client: client.received_at)
        stalled = longest_silent.received_at < now - STALLED_REQUEST_SECONDS
        return longest_silent if stalled else candidates[0]
