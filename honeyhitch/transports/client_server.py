"""The virtual server: it accepts clients and lets a session answer what they send.

A connection has its place for as long as it is used. One that says nothing or never ends what it began is
closed after a while, and when all places are taken the longest unused one makes room for the next client.
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
LISTEN_BACKLOG = 1024
ACCEPT_RETRY_SECONDS = 0.05  # seconds before accepting again when no descriptor was left
REQUEST_TIMEOUT_SECONDS = (
    2.0  # seconds for a first request, for the rest of a half one, and for replies to be read
)
IDLE_CLIENT_SECONDS = (
    0.1  # seconds without a first byte after which one may make room: a request would have come with it
)
NEW_CLIENT_SECONDS = (
    0.3  # seconds that a new connection is given to begin, where another process takes the next ones
)
SWEEP_INTERVAL_SECONDS = 0.25  # seconds between looks at connections that are out of time
SLOT_POLL_SECONDS = 0.01  # seconds between looks for a place when all are taken
REQUEST_TIMEOUT_REPLY = b"-ERR request: not whole in time\r\n"


class ServerSession(Protocol):
    """What answers on one connection."""

    greeting: bytes  # sent before anything is read
    closing: bool
    has_more_requests: bool  # whole requests are left in the buffer
    has_partial_request: bool  # a request has come in part

    @property
    def forward(self) -> Transaction | None:
        """A transaction whose reply another instance of the fleet gives, and which is waited for."""

    def receive(self, buffer: Buffer) -> bytes:
        """Replies to what the buffer holds whole, or to a part of it if that is `more`."""


@dataclass(slots=True, eq=False)
class Client:
    """One client's connection, and since when it has stood as it stands."""

    sock: socket.socket
    state_since: float
    answered: bool = False
    has_partial_request: bool = False
    sending: bool = False
    closed: bool = False  # it was ended: nothing more is read

    @property
    def between_requests(self) -> bool:
        """Nothing is open on it: it may be closed, and the client's next request goes elsewhere."""
        return (
            self.answered
            and not self.has_partial_request
            and not self.sending
            and sockets.is_reusable(self.sock)
        )

    @property
    def idle(self) -> bool:
        """It has not said anything yet."""
        return (
            not self.answered
            and not self.has_partial_request
            and not self.sending
            and sockets.is_reusable(self.sock)
        )


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
        """`forward` brings the reply of the instance that owns a transaction's destination, or None where it
        got none: then the connection is closed without one, as by a dispatcher that did not answer.
        """
        self.forward = forward
        self.create_session, self.max_clients, self.tasks, self.loop = (
            create_session,
            max_clients,
            tasks,
            tasks.loop,
        )
        self.clients: dict[Client, None] = {}  # those that have stood as they stand for longest come first
        self.draining, self.single_request = False, single_request
        self.awaiting_slot = False  # one was accepted and waits for a place
        self.listener = sockets.new_tcp_socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if reuse_port:
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self.listener.bind(address)
        self.listener.listen(LISTEN_BACKLOG)

    @property
    def port(self) -> int:
        """Where it listens."""
        return int(self.listener.getsockname()[1])

    async def accept(self) -> None:
        """Accept clients for ever."""
        while True:
            await sockets.wait_readable(self.loop, self.listener)
            try:
                sock, _ = self.listener.accept()
            except (BlockingIOError, InterruptedError):  # it went away meanwhile
                continue
            except OSError as error:  # no descriptor left: those in use will come free
                log.warning("accept.failed", error=str(error))
                await asyncio.sleep(ACCEPT_RETRY_SECONDS)
                continue
            # Closing it now would fail a request that may be on its way: it waits for a place instead, and
            # those behind it wait in the backlog.
            self.awaiting_slot = True
            while len(self.clients) >= self.max_clients and not self._free_slot():
                await asyncio.sleep(SLOT_POLL_SECONDS)
            self.awaiting_slot = False
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            client = Client(sock, self.loop.time())
            self.clients[client] = None
            self.tasks.start(self._serve(client))

    def _free_slot(self) -> bool:
        """Close the connection that has stood unused for longest, if any may be closed.

        One that was answered may be closed at any time, since its client asks again on a new one; waiting for
        it to have rested would leave a crowd of new clients out. Where a connection brings `once` a line, one
        that has not brought it whole makes room as a mute one does.
        """
        mute_since = self.loop.time() - IDLE_CLIENT_SECONDS
        for one in self.clients:
            if one.between_requests or (
                one.state_since < mute_since and (one.idle or (self.single_request and not one.sending))
            ):
                self._close_client(one)
                return True
        return False

    def set_max_clients(self, max_clients: int) -> None:
        """So many places there are from now on; those too many are taken from who does not use them."""
        self.max_clients = max_clients
        while len(self.clients) > max_clients and self._free_slot():
            pass

    async def sweep(self) -> None:
        """Close what is out of time: its place is needed, and whoever is behind it waits for a word."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_SECONDS)
            late = self.loop.time() - REQUEST_TIMEOUT_SECONDS
            for one in list(self.clients):
                if one.state_since < late and (one.sending or one.has_partial_request or not one.answered):
                    if not one.sending:
                        with contextlib.suppress(OSError):
                            one.sock.send(REQUEST_TIMEOUT_REPLY)
                    self._close_client(one)

    def _touch(self, client: Client) -> None:
        client.state_since = self.loop.time()
        if client in self.clients:
            del self.clients[client]
            self.clients[client] = None

    def _close_client(self, client: Client) -> None:
        """What comes from now on is not read: the client hands it in again, and hears of that."""
        self.clients.pop(client, None)
        client.closed = True
        with contextlib.suppress(OSError):
            client.sock.shutdown(socket.SHUT_RDWR)  # its task reads the end, and closes it

    async def _serve(self, client: Client) -> None:
        session, buffer, sock = self.create_session(), Buffer(), client.sock
        try:
            if session.greeting:
                await self.loop.sock_sendall(sock, session.greeting)
            while not session.closing:
                if session.has_more_requests:  # the other connections have their turn first
                    await asyncio.sleep(0)
                elif not await sockets.read(self.loop, sock, buffer) or client.closed:
                    break
                replies = session.receive(buffer)
                if replies:
                    await self._send(client, replies)
                if session.forward is not None:
                    client.has_partial_request = True  # it is in use: neither a drain nor a newcomer ends it
                    self._touch(client)
                    reply = await self.forward(session.forward) if self.forward is not None else None
                    if reply is None:
                        break
                    await self._send(client, reply)
                elif (
                    not replies
                    and session.has_partial_request
                    and not client.has_partial_request
                    and client.answered
                ):
                    self._touch(client)
                client.has_partial_request = session.has_partial_request or session.has_more_requests
                if self.draining and client.between_requests:
                    break
        except (OSError, BufferOverflowError):
            pass  # the client went away, or kept sending without end
        finally:
            self.clients.pop(client, None)
            sock.close()

    async def _send(self, client: Client, replies: bytes) -> None:
        client.sending = True
        self._touch(client)
        await self.loop.sock_sendall(client.sock, replies)
        client.sending, client.answered = False, True
        self._touch(client)

    @property
    def quiescent(self) -> bool:
        """No request is on its way here, as far as can be told: none in part or unread, nobody new, and
        nobody whose connection still waits to be accepted or to get a place.
        """
        if self.awaiting_slot or sockets.has_pending_connection(self.listener):
            return False
        fresh = self.loop.time() - NEW_CLIENT_SECONDS
        return all(one.between_requests or (one.idle and one.state_since <= fresh) for one in self.clients)

    def drain(self) -> None:
        """Close each connection once nothing is open on it: the client's next request goes elsewhere."""
        self.draining = True
        for client in list(self.clients):
            if client.between_requests:
                self._close_client(client)

    def close(self) -> None:
        """Stop listening."""
        self.listener.close()
