"""Accepts client connections and has a protocol session answer the requests that the clients send.

A connection keeps its slot while it is in use. A new connection that sends nothing, and a connection with an
incomplete request, are closed after a timeout. When all slots are taken, the connection that has been unused
for longest is closed to free a slot for the next client.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

from honeyhitch import logs
from honeyhitch.journal.transactions import Transaction
from honeyhitch.protocols.buffer import Buffer, BufferOverflowError
from honeyhitch.transports import sockets
from honeyhitch.transports.tasks import Tasks

log = logs.get_logger()
LISTEN_BACKLOG = 1024  # maximum number of connections that wait to be accepted
ACCEPT_RETRY_SECONDS = 0.02  # pause after accept() failed for lack of descriptors or buffers
# The connection ended before it was accepted; the next one can be accepted at once (accept(2)).
ENDED_BEFORE_ACCEPT = frozenset(
    {errno.ECONNABORTED, errno.EPROTO, errno.ENETDOWN, errno.ENETUNREACH, errno.EHOSTDOWN, errno.EHOSTUNREACH}
)
# Time limit for the first request, for the rest of a partial request, and for the client to read replies.
REQUEST_TIMEOUT_SECONDS = 2.0
# A new client that has sent no byte for this long may lose its slot: a request in transit would have arrived.
IDLE_CLIENT_SECONDS = 0.1
# A new client is given this time to send its first request before the server counts as quiescent, where
# another process accepts later connections.
NEW_CLIENT_SECONDS = 0.3
SWEEP_INTERVAL_SECONDS = 0.25  # between checks for timeouts
SLOT_POLL_SECONDS = 0.01  # between checks for a free slot while all slots are taken
REQUEST_TIMEOUT_REPLY = b"-ERR request: not whole in time\r\n"


class ServerSession(Protocol):
    """The server side of a protocol on one connection, without I/O."""

    greeting: bytes  # sent before the first request is read
    closing: bool  # the connection must be closed
    has_more_requests: bool  # the buffer may contain further complete requests
    has_partial_request: bool  # the last request is incomplete

    @property
    def forward(self) -> Transaction | None:
        """The transaction that another instance of the fleet has to answer, or None.

        The reply of that instance must be sent before any further request is handled.
        """

    def receive(self, buffer: Buffer) -> bytes:
        """Return the replies to complete requests in the buffer; some remain if `has_more_requests`."""


@dataclass(slots=True, eq=False)
class Client:
    """One client's connection; `state_since` is the time on the loop's clock when its state last changed."""

    sock: socket.socket
    port: int  # of the client's end
    state_since: float  # seconds
    answered: bool = False  # at least one reply was sent
    has_partial_request: bool = False
    sending: bool = False  # a reply is being written
    closed: bool = False  # nothing more is read from the connection

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
        return not self.has_partial_request and not self.sending and sockets.is_reusable(self.sock)


class ClientServer:
    """One listener and the connections of its clients."""

    def __init__(
        self,
        address: tuple[str, int],
        create_session: Callable[[], ServerSession],
        max_clients: int,
        tasks: Tasks,
        single_request: bool = False,
        reuse_port: bool = False,
        forward: Callable[[Transaction], Awaitable[bytes]] | None = None,
    ) -> None:
        """Bind and listen. Raise OSError if the address cannot be used.

        `single_request`: a connection carries one request only. `reuse_port`: another process may listen on
        the same address. `forward` obtains the reply of the instance that owns a transaction's destination.
        """
        self.create_session = create_session
        self.max_clients = max_clients
        self.tasks = tasks
        self.loop = tasks.loop
        self.single_request = single_request
        self.forward = forward
        self.clients: dict[Client, None] = {}  # ordered by `state_since`, the oldest first
        self.draining = False
        self.listens_second = False  # a process that shares the address has listened there before
        self.awaiting_slot = False  # an accepted connection is waiting for a slot
        self.listener = sockets.new_tcp_socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if reuse_port:
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        try:
            self.listener.bind(address)
            self.listener.listen(LISTEN_BACKLOG)
        except OSError:
            self.listener.close()
            raise

    @property
    def port(self) -> int:
        """The TCP port of the listener."""
        return int(self.listener.getsockname()[1])

    @property
    def address(self) -> str:
        """The HOST:PORT of the listener."""
        host, port = self.listener.getsockname()
        return f"{host}:{port}"

    async def accept(self) -> None:
        """Accept clients until cancelled."""
        while True:
            await sockets.wait_readable(self.loop, self.listener)
            try:
                sock, address = self.listener.accept()
            except (BlockingIOError, InterruptedError):
                continue
            except OSError as error:
                if error.errno not in ENDED_BEFORE_ACCEPT:  # descriptors or buffers will be released later
                    log.warning("accept.failed", error=str(error), key=str(error.errno))
                    await asyncio.sleep(ACCEPT_RETRY_SECONDS)
                continue
            await self._wait_for_slot()
            sock.setblocking(False)
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            client = Client(sock, address[1], self.loop.time())
            self.clients[client] = None
            self.tasks.start(self._serve(client))

    async def _wait_for_slot(self) -> None:
        """Wait for a free slot for the connection that was accepted last.

        The connection is not closed instead, because that would fail a request that may be in transit. Later
        connections wait in the backlog meanwhile.
        """
        self.awaiting_slot = True
        while True:
            if len(self.clients) < self.max_clients or self.free_slot():
                break
            await asyncio.sleep(SLOT_POLL_SECONDS)
        self.awaiting_slot = False

    def free_slot(self) -> bool:
        """Close the connection that has been unused for longest; return false if none may be closed.

        The connection of a client that was answered may be closed at any time, because the client sends its
        next request on a new connection. If such a connection had to be unused for a minimum time first, many
        new clients at once would get no slot. With `single_request`, a client whose request is incomplete
        counts as idle.
        """
        idle_before = self.loop.time() - IDLE_CLIENT_SECONDS
        for client in self.clients:
            if client.between_requests or (client.state_since < idle_before and self._counts_as_idle(client)):
                self._close_client(client, "slot-needed")
                return True
        return False

    def _counts_as_idle(self, client: Client) -> bool:
        return client.idle or (self.single_request and not client.sending)

    def set_max_clients(self, max_clients: int) -> None:
        """Change the number of slots, and close unused connections that exceed it."""
        self.max_clients = max_clients
        while len(self.clients) > max_clients and self.free_slot():
            pass

    async def sweep(self) -> None:
        """Until cancelled, close connections whose request, or whose reading of replies, timed out."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_SECONDS)
            oldest_allowed = self.loop.time() - REQUEST_TIMEOUT_SECONDS
            for client in list(self.clients):
                pending = client.sending or client.has_partial_request or not client.answered
                if client.state_since < oldest_allowed and pending:
                    self._time_out(client)

    def _time_out(self, client: Client) -> None:
        if not client.sending:
            with contextlib.suppress(OSError):
                client.sock.send(REQUEST_TIMEOUT_REPLY)
        self._close_client(client, "reply-not-read" if client.sending else "request-incomplete")

    def _record_state_change(self, client: Client) -> None:
        """Set the client's `state_since` to the current time, and move the client to the end of the order."""
        client.state_since = self.loop.time()
        if client in self.clients:
            del self.clients[client]
            self.clients[client] = None

    def _close_client(self, client: Client, reason: str) -> None:
        """Shut a connection down, and log the reason.

        Bytes that arrive from now on are not read, because the client submits them again on a new connection.
        """
        log.info(
            "client.closed", client_port=client.port, reason=reason, answered=client.answered, key=reason
        )
        self.clients.pop(client, None)
        client.closed = True
        with contextlib.suppress(OSError):
            client.sock.shutdown(socket.SHUT_RDWR)  # the client's task reads the end and closes the socket

    async def _serve(self, client: Client) -> None:
        session = self.create_session()
        try:
            if session.greeting:
                await self.loop.sock_sendall(client.sock, session.greeting)
            await self._answer_requests(client, session)
        except (OSError, BufferOverflowError) as error:
            # The client closed the connection, or a request exceeded the size of the buffer.
            name = type(error).__name__
            log.info(
                "client.failed",
                client_port=client.port,
                answered=client.answered,
                has_partial_request=client.has_partial_request,
                error=f"{name}: {error}",
                key=name,
            )
        finally:
            self.clients.pop(client, None)
            client.sock.close()

    async def _answer_requests(self, client: Client, session: ServerSession) -> None:
        buffer = Buffer()
        while not session.closing:
            if session.has_more_requests:  # lets the tasks of other connections run first
                await asyncio.sleep(0)
            elif not await sockets.read(self.loop, client.sock, buffer) or client.closed:
                return
            replies = session.receive(buffer)
            if replies:
                await self._send(client, replies)
            if session.forward is not None:
                await self._forward(client, session.forward)
            elif not replies and session.has_partial_request:
                self._on_partial_request(client)
            client.has_partial_request = session.has_partial_request or session.has_more_requests
            if self.draining and client.between_requests:
                return

    def _on_partial_request(self, client: Client) -> None:
        """Start the timeout of a request at its first bytes.

        The timeout of a client's first request starts when the connection is accepted.
        """
        if client.answered and not client.has_partial_request:
            self._record_state_change(client)

    async def _forward(self, client: Client, transaction: Transaction) -> None:
        """Send the reply of another instance to the client."""
        client.has_partial_request = True  # keeps a drain or a new client from closing the connection
        self._record_state_change(client)
        assert self.forward is not None  # a session asks for it only if the service forwards messages
        await self._send(client, await self.forward(transaction))

    async def _send(self, client: Client, replies: bytes) -> None:
        client.sending = True
        self._record_state_change(client)
        await self.loop.sock_sendall(client.sock, replies)
        client.sending = False
        client.answered = True
        self._record_state_change(client)

    @property
    def quiescent(self) -> bool:
        """Whether no request is in transit to this server, as far as the server can know.

        No request is incomplete or unread, no client is new, and no connection waits to be accepted or for a
        slot.
        """
        if self.awaiting_slot or sockets.has_pending_connection(self.listener):
            return False
        newest_allowed = self.loop.time() - NEW_CLIENT_SECONDS
        return all(
            client.between_requests or (client.idle and client.state_since <= newest_allowed)
            for client in self.clients
        )

    def drain(self) -> None:
        """Close each connection as soon as nothing is pending on it, so that clients connect elsewhere."""
        self.draining = True
        for client in list(self.clients):
            if client.between_requests:
                self._close_client(client, "draining")

    def close(self) -> None:
        """Stop listening."""
        self.listener.close()
