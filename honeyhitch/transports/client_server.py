"""Accepts client connections, and lets a protocol session answer what the clients send.

A connection has its slot for as long as it is used. One that sends nothing, or never completes what it
began, is closed after a timeout. When all slots are taken, the connection that has been unused for longest
is closed for the next client.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

from honeyhitch import logs
from honeyhitch.journal.transactions import Transaction
from honeyhitch.protocols.buffer import Buffer, BufferOverflowError
from honeyhitch.transports import sockets
from honeyhitch.transports.tasks import Tasks

log = logs.get()
LISTEN_BACKLOG = 1024  # connections that wait to be accepted
ACCEPT_RETRY_SECONDS = 0.05  # pause when no file descriptor was left
REQUEST_TIMEOUT_SECONDS = 2.0  # for a first request, the rest of a partial one, and for replies to be read
# Without a first byte for this long, a new client may lose its slot: its request would have come by now.
IDLE_CLIENT_SECONDS = 0.1
NEW_CLIENT_SECONDS = 0.3  # a new client may send its first request, where another process accepts later ones
SWEEP_INTERVAL_SECONDS = 0.25  # between checks for timeouts
SLOT_POLL_SECONDS = 0.01  # between checks for a free slot when all are taken
REQUEST_TIMEOUT_REPLY = b"-ERR request: not whole in time\r\n"


class ServerSession(Protocol):
    """The protocol of one connection, without I/O."""

    greeting: bytes  # sent before anything is read
    closing: bool  # the connection is to be closed
    has_more_requests: bool  # complete requests are left in the buffer
    has_partial_request: bool  # the last request is incomplete

    @property
    def forward(self) -> Transaction | None:
        """A transaction that another instance of the fleet answers; its reply has to be sent first."""

    def receive(self, buffer: Buffer) -> bytes:
        """Replies to the complete requests in the buffer, or to some of them if `has_more_requests`."""


@dataclass(slots=True, eq=False)
class Client:
    """One client's connection; `state_since` is when its state last changed, on the loop's clock."""

    sock: socket.socket
    state_since: float  # seconds
    answered: bool = False  # it has had a reply
    has_partial_request: bool = False
    sending: bool = False  # a reply is being written
    closed: bool = False  # nothing more is read from it

    @property
    def between_requests(self) -> bool:
        """Nothing is pending: it may be closed, and the client connects anew for its next request."""
        return self.answered and self._quiet

    @property
    def idle(self) -> bool:
        """It has not sent anything yet."""
        return not self.answered and self._quiet

    @property
    def _quiet(self) -> bool:
        return not self.has_partial_request and not self.sending and sockets.is_reusable(self.sock)


class ClientServer:
    """One listener and its clients' connections."""

    def __init__(
        self,
        address: tuple[str, int],
        create_session: Callable[[], ServerSession],
        max_clients: int,
        tasks: Tasks,
        single_request: bool = False,
        reuse_port: bool = False,
        forward: Callable[[Transaction], Awaitable[bytes | None]] | None = None,
    ) -> None:
        """Bind and listen. Raises OSError.

        `single_request`: a connection carries one request. `reuse_port`: another process may share the
        address. `forward` obtains the reply of the instance that owns a transaction's destination; if it
        gives None the connection is closed without a reply, as by a dispatcher that did not answer.
        """
        self.create_session = create_session
        self.max_clients = max_clients
        self.tasks = tasks
        self.loop = tasks.loop
        self.single_request = single_request
        self.forward = forward
        self.clients: dict[Client, None] = {}  # in the order of `state_since`, the oldest first
        self.draining = False
        self.awaiting_slot = False  # a connection was accepted and waits for a slot
        self.listener = sockets.new_tcp_socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if reuse_port:
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self.listener.bind(address)
        self.listener.listen(LISTEN_BACKLOG)

    @property
    def port(self) -> int:
        """The port on which it listens."""
        return int(self.listener.getsockname()[1])

    async def accept(self) -> None:
        """Accept clients. Never returns."""
        while True:
            await sockets.wait_readable(self.loop, self.listener)
            try:
                sock, _ = self.listener.accept()
            except (BlockingIOError, InterruptedError):  # the client has gone meanwhile
                continue
            except OSError as error:  # no file descriptor left: those in use will become free
                log.warning("accept.failed", error=str(error))
                await asyncio.sleep(ACCEPT_RETRY_SECONDS)
                continue
            await self._wait_for_slot()
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            client = Client(sock, self.loop.time())
            self.clients[client] = None
            self.tasks.start(self._serve(client))

    async def _wait_for_slot(self) -> None:
        """Closing the new connection would fail a request that may be on its way.

        So it waits for a slot, and those after it wait in the backlog.
        """
        self.awaiting_slot = True
        while True:
            if len(self.clients) < self.max_clients or self.free_slot():
                break
            await asyncio.sleep(SLOT_POLL_SECONDS)
        self.awaiting_slot = False

    def free_slot(self) -> bool:
        """Close the connection that has been unused for longest, if any may be closed.

        One that was answered may be closed at any time, as its client sends the next request on a new
        connection; if it had to be unused for some time first, a crowd of new clients would be locked out.
        With `single_request`, a client whose request is incomplete counts as idle.
        """
        idle_since = self.loop.time() - IDLE_CLIENT_SECONDS
        for client in self.clients:
            if client.between_requests or (client.state_since < idle_since and self._without_request(client)):
                self._close_client(client)
                return True
        return False

    def _without_request(self, client: Client) -> bool:
        return client.idle or (self.single_request and not client.sending)

    def set_max_clients(self, max_clients: int) -> None:
        """Change the number of slots; surplus ones are taken from clients that do not use them."""
        self.max_clients = max_clients
        while len(self.clients) > max_clients and self.free_slot():
            pass

    async def sweep(self) -> None:
        """Close connections that are out of time. Never returns."""
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
        self._close_client(client)

    def _touch(self, client: Client) -> None:
        """The client's state changes: it moves to the end of the order."""
        client.state_since = self.loop.time()
        if client in self.clients:
            del self.clients[client]
            self.clients[client] = None

    def _close_client(self, client: Client) -> None:
        """What comes from now on is not read: the client submits it again on a new connection."""
        self.clients.pop(client, None)
        client.closed = True
        with contextlib.suppress(OSError):
            client.sock.shutdown(socket.SHUT_RDWR)  # its task reads the end, and closes the socket

    async def _serve(self, client: Client) -> None:
        session = self.create_session()
        try:
            if session.greeting:
                await self.loop.sock_sendall(client.sock, session.greeting)
            await self._answer_requests(client, session)
        except (OSError, BufferOverflowError):
            pass  # the client has gone, or sent without end
        finally:
            self.clients.pop(client, None)
            client.sock.close()

    async def _answer_requests(self, client: Client, session: ServerSession) -> None:
        buffer = Buffer()
        while not session.closing:
            if session.has_more_requests:  # the other connections have their turn first
                await asyncio.sleep(0)
            elif not await sockets.read(self.loop, client.sock, buffer) or client.closed:
                return
            replies = session.receive(buffer)
            if replies:
                await self._send(client, replies)
            if session.forward is not None:
                if not await self._forward(client, session.forward):
                    return
            elif not replies and session.has_partial_request:
                self._request_began(client)
            client.has_partial_request = session.has_partial_request or session.has_more_requests
            if self.draining and client.between_requests:
                return

    def _request_began(self, client: Client) -> None:
        """The time of a partial request counts from its first bytes; a new client's from its connection."""
        if client.answered and not client.has_partial_request:
            self._touch(client)

    async def _forward(self, client: Client, transaction: Transaction) -> bool:
        """Relay the reply of another instance; false if there is none."""
        client.has_partial_request = True  # in use: neither a drain nor a new client closes it
        self._touch(client)
        reply = await self.forward(transaction) if self.forward is not None else None
        if reply is None:
            return False
        await self._send(client, reply)
        return True

    async def _send(self, client: Client, replies: bytes) -> None:
        client.sending = True
        self._touch(client)
        await self.loop.sock_sendall(client.sock, replies)
        client.sending = False
        client.answered = True
        self._touch(client)

    @property
    def quiescent(self) -> bool:
        """No request is on its way here, as far as can be told.

        None is incomplete or unread, no client is new, and no connection waits to be accepted or for a slot.
        """
        if self.awaiting_slot or sockets.has_pending_connection(self.listener):
            return False
        newest_allowed = self.loop.time() - NEW_CLIENT_SECONDS
        return all(
            client.between_requests or (client.idle and client.state_since <= newest_allowed)
            for client in self.clients
        )

    def drain(self) -> None:
        """Close each connection once nothing is pending on it: clients connect elsewhere."""
        self.draining = True
        for client in list(self.clients):
            if client.between_requests:
                self._close_client(client)

    def close(self) -> None:
        """Stop listening."""
        self.listener.close()
