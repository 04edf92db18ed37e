"""The connections of clients, and the choice of the one that is closed if there are too many."""

from __future__ import annotations

import socket
from dataclasses import dataclass
from itertools import islice

from honeyhitch.memory.budget import MemoryAccount
from honeyhitch.protocols.buffer import Buffer
from honeyhitch.protocols.server_session import ServerSession
from honeyhitch.transports import sockets

# A new client that has sent no byte for this long may lose its slot: a request in transit would have arrived.
IDLE_CLIENT_SECONDS = 0.1
MAX_CANDIDATES = 8  # clients whose requests may have begun too recently to be rejected


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


def _include(clients: dict[Client, None], client: Client, included: bool) -> None:
    """Add a client at the end if it is not among the clients, or remove it."""
    if included:
        clients.setdefault(client)
    else:
        clients.pop(client, None)


class ClientTable:
    """The clients of one server, by what may be done with their connections.

    All but `all` are ordered by the time at which their clients got into that state: those that have sent
    nothing for longest come first.
    """

    def __init__(self, single_request: bool) -> None:
        """With `single_request`, a client whose request is incomplete counts as idle."""
        self.single_request = single_request
        self.all: dict[Client, None] = {}  # ordered by `state_since`, the oldest first
        self.unused: dict[Client, None] = {}  # nothing was received that is not answered
        self.incomplete: dict[Client, None] = {}  # a part of a request was received
        self.incomplete_with_memory: dict[Client, None] = {}  # of these, those whose memory is counted

    def add(self, client: Client) -> None:
        """Add a new client."""
        self.all[client] = None
        self.unused[client] = None

    def remove(self, client: Client) -> None:
        """Remove a client whose connection is closed."""
        self.all.pop(client, None)
        self.unused.pop(client, None)
        self.incomplete.pop(client, None)
        self.incomplete_with_memory.pop(client, None)

    def update(self, client: Client) -> None:
        """Note that the state of a client may have changed."""
        if client not in self.all:
            return
        incomplete = client.request_incomplete
        _include(self.incomplete, client, incomplete)
        _include(self.incomplete_with_memory, client, incomplete and client.account.held > 0)
        _include(self.unused, client, not (client.has_partial_request or client.ready or client.sending))

    def record_state_change(self, client: Client, now: float) -> None:
        """Set the client's `state_since`, and move the client to the end of the order."""
        client.state_since = now
        if client in self.all:
            del self.all[client]
            self.all[client] = None

    def unused_client(self, now: float) -> Client | None:
        """Return the connection that has been unused for longest and may be closed, or None.

        A client that has sent nothing yet must have been connected for
        IDLE_CLIENT_SECONDS. The connection of
        a client that was answered may be closed at any time, because the client sends its next request on a
        new connection. If such a connection had to be unused for a minimum time first, many new clients at
        once would get no slot.
        """
        idle_before = now - IDLE_CLIENT_SECONDS
        for client in self.all if self.single_request else self.unused:
            counts_as_idle = client.state_since < idle_before and (
                client.idle or (self.single_request and not client.sending)
            )
            if counts_as_idle or client.between_requests:
                return client
        return None

    def incomplete_client(self, now: float, min_age: float) -> Client | None:
        """Return the client with an incomplete request that has sent nothing for longest, or None.

        The request must have begun `min_age` seconds ago.
        """
        for client in islice(self.incomplete, MAX_CANDIDATES):
            if client.state_since <= now - min_age:
                return client
        return None

    def memory_holder(self, reading: Client | None) -> Client | None:
        """Return the client whose incomplete request holds memory and that has sent nothing for longest.

        The client that is `reading`, for which memory is needed, is not returned.
        """
        for client in self.incomplete_with_memory:
            if client is not reading:
                return client
        return None
