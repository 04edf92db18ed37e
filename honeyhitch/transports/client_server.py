"""Accepts client connections and has a protocol session answer the requests that the clients send.

A new connection that sends nothing, and a connection with an incomplete request, are closed after a timeout.
When all slots are taken, the connection that has been unused for longest is closed to free a slot for the
next client; if all are in use, an incomplete request is rejected. When incomplete requests take more memory
than allowed, the one of the client that has sent nothing for longest is rejected, with a reply that says so.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
from collections import Counter
from collections.abc import Awaitable, Callable

from honeyhitch import logs
from honeyhitch.journal.transactions import Transaction
from honeyhitch.memory.budget import MemoryAccount, MemoryBudget, MemoryLimitError
from honeyhitch.protocols.buffer import Buffer, BufferOverflowError
from honeyhitch.protocols.server_session import ServerSession
from honeyhitch.transports import sockets
from honeyhitch.transports.clients import Client, ClientTable
from honeyhitch.transports.lingering_close import LingeringClose, shut_down
from honeyhitch.transports.request_scheduler import RequestScheduler
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
# A new client is given this time to send its first request before the server counts as quiescent, where
# another process accepts later connections.
NEW_CLIENT_SECONDS = 0.3
SWEEP_INTERVAL_SECONDS = 0.25  # between checks for timeouts
SLOT_POLL_SECONDS = 0.01  # between checks for a free slot while all slots are taken
MIN_SLOT_POLL_SECONDS = 0.001  # the same while many connections wait
ACCEPTS_PER_ITERATION = 32  # connections accepted before other connections are served
# A request that is incomplete for less time is not rejected for another client's slot.
MIN_REQUEST_SECONDS = 0.25
# In which a connection should be accepted. A client waits for 0.4 s for its reply (protocol page).
ACCEPT_TARGET_SECONDS = 0.1
# Larger than any command of a client, so that one request at a time fits.
RECEIVE_BUFFER_BYTES = 81_920
DEFAULT_REQUEST_BYTES = 1 << 26  # of incomplete requests together, where no limit on memory is given
FORWARDED_COPIES = 2  # of the body of a message while another instance is asked
REQUEST_TIMEOUT_REPLY = b"-ERR request: not whole in time\r\n"


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
        budget: MemoryBudget | None = None,
    ) -> None:
        """Bind and listen. Raise OSError if the address cannot be used.

        `single_request`: a connection carries one request only. `reuse_port`: another process may listen on
        the same address. `forward` obtains the reply of the instance that owns a transaction's destination.
        `budget` counts the memory of incomplete requests.
        """
        self.create_session = create_session
        self.max_clients = max_clients
        self.tasks = tasks
        self.loop = tasks.loop
        self.single_request = single_request
        self.forward = forward
        self.budget = budget or MemoryBudget(DEFAULT_REQUEST_BYTES)
        self.budget.reclaim = self._reject_incomplete_requests
        self.scheduler = RequestScheduler(tasks.loop)
        self.table = ClientTable(single_request)
        self.clients = self.table.all
        self.lingering = LingeringClose(tasks.loop)
        self.open_sockets = 0  # of clients, closing ones included
        self.reading: Client | None = None  # whose bytes are being received
        self.closed_for = Counter[str]()  # connections by the reason for which this server closed them
        self.rejected_requests = Counter[str]()  # before they were handled, by reason
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
            for _ in range(ACCEPTS_PER_ITERATION):
                if not await self._accept_next():
                    break

    async def _accept_next(self) -> bool:
        """Accept the next connection and serve it; return false if none waits any more."""
        try:
            sock, address = self.listener.accept()
        except (BlockingIOError, InterruptedError):
            return False
        except OSError as error:
            if error.errno in ENDED_BEFORE_ACCEPT:
                return True
            log.warning("accept.failed", error=str(error), key=str(error.errno))
            await asyncio.sleep(ACCEPT_RETRY_SECONDS)  # descriptors or buffers will be released later
            return False
        await self._wait_for_slot()
        sock.setblocking(False)
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._add_client(sock, address[1])
        return True

    def _add_client(self, sock: socket.socket, port: int) -> None:
        account = MemoryAccount(self.budget)
        now = self.loop.time()
        buffer = Buffer(RECEIVE_BUFFER_BYTES, account)
        client = Client(sock, port, now, self.create_session(), buffer, account, received_at=now)
        self.table.add(client)
        self.open_sockets += 1
        self.tasks.start(self._serve(client))

    async def _wait_for_slot(self) -> None:
        """Wait for a free slot for the connection that was accepted last.

        The connection is not closed instead, because that would fail a request that may be in transit. Later
        connections wait in the backlog meanwhile.
        """
        self.awaiting_slot = True
        while True:
            max_slot_time = self._max_slot_time()
            if (
                len(self.clients) < self.max_clients
                or self.free_slot()
                or self._reject_for_slot(min(MIN_REQUEST_SECONDS, max_slot_time))
            ):
                break
            await asyncio.sleep(max(MIN_SLOT_POLL_SECONDS, min(SLOT_POLL_SECONDS, max_slot_time)))
        while self._has_excess_sockets():
            self.lingering.close_oldest()
            await asyncio.sleep(0)  # lets the tasks of closed connections close their sockets
        self.awaiting_slot = False

    def _has_excess_sockets(self) -> bool:
        """Return whether closing connections take descriptors that clients need."""
        max_sockets = self.max_clients + self.lingering.max_connections
        return self.open_sockets >= max_sockets and bool(self.lingering.clients)

    def _max_slot_time(self) -> float:
        """Return for how many seconds a client may hold its slot with an incomplete request.

        The more connections wait for each slot, the shorter it is, so that each of them gets one in time.
        """
        waiting = 1 + sockets.waiting_connections(self.listener)
        return ACCEPT_TARGET_SECONDS * self.max_clients / waiting

    def free_slot(self) -> bool:
        """Close the connection that has been unused for longest; return false if none may be closed."""
        client = self.table.unused_client(self.loop.time())
        if client is None:
            return False
        self._close_client(client, "slot-needed")
        return True

    def _reject_for_slot(self, min_age: float) -> bool:
        """Reject an incomplete request for its client's slot; return false if none may be rejected yet.

        The request must have begun `min_age` seconds ago.
        """
        client = self.table.incomplete_client(self.loop.time(), min_age)
        if client is None:
            return False
        self._close_client(client, "slot-needed", client.session.overload_reply)
        return True

    def _reject_incomplete_requests(self, count: int) -> None:
        """Reject incomplete requests that hold at least `count` bytes, if there are as many."""
        target = self.budget.used - count
        while self.budget.used > target and (client := self.table.memory_holder(self.reading)) is not None:
            self._close_client(client, "memory-needed", client.session.overload_reply)

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
            self.lingering.close_expired()

    def _time_out(self, client: Client) -> None:
        if client.sending:
            self._close_client(client, "reply-not-read")
        else:
            self._close_client(client, "request-incomplete", REQUEST_TIMEOUT_REPLY)

    def _close_client(self, client: Client, reason: str, reply: bytes = b"") -> None:
        """Shut a connection down after an optional reply to an incomplete request, and log the reason.

        Bytes that arrive from now on are not taken for requests, because the client submits them again on a
        new connection.
        """
        log.info(
            "client.closed",
            client_port=client.port,
            reason=reason,
            answered=client.answered,
            held_bytes=client.account.held,
            key=reason,
        )
        self.closed_for[reason] += 1
        self.table.remove(client)
        client.closed = True
        if not client.sending:
            client.release()
        if reply and self.lingering.max_connections:
            self.lingering.close(client, reply)
        else:
            shut_down(client)

    async def _serve(self, client: Client) -> None:
        session = client.session
        try:
            if session.greeting:
                await self.loop.sock_sendall(client.sock, session.greeting)
            await self._answer_requests(client, session)
        except MemoryLimitError as error:
            self._reject(client, "memory-needed", error)
            await self.lingering.discard_input(client)
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
            self.table.remove(client)
            self.lingering.clients.pop(client, None)
            client.release()
            client.sock.close()
            self.open_sockets -= 1

    def _reject(self, client: Client, reason: str, error: MemoryLimitError) -> None:
        """Reject the request that a client is sending."""
        log.info("request.rejected", client_port=client.port, reason=reason, error=str(error), key=reason)
        self.rejected_requests[reason] += 1
        self._close_client(client, reason, client.session.overload_reply)

    async def _answer_requests(self, client: Client, session: ServerSession) -> None:
        while not session.closing:
            if not session.has_more_requests and not await self._read(client):
                return
            if client.closed:
                await self.lingering.discard_input(client)
                return
            await self._wait_until_scheduled(client)
            if client.closed:
                return
            replies = self._receive(client, session)
            if replies:
                await self._send(client, replies)
            if session.forward is not None:
                await self._forward(client, session.forward)
            elif not replies and session.has_partial_request:
                self._on_partial_request(client)
            client.has_partial_request = session.has_partial_request or session.has_more_requests
            self.table.update(client)
            if self.draining and client.between_requests:
                return

    async def _wait_until_scheduled(self, client: Client) -> None:
        """Wait until the requests of a client may be handled; its connection is not closed meanwhile."""
        client.ready = True
        self.table.update(client)
        await self.scheduler.wait()
        client.ready = False

    async def _read(self, client: Client) -> int:
        """Read once and return the number of bytes, 0 at the end of the connection."""
        while True:
            await sockets.wait_readable(self.loop, client.sock)
            if client.closed:
                return 1  # what has arrived is not taken for a request
            self.reading = client
            try:
                count = sockets.read_available(client.sock, client.buffer)
            finally:
                self.reading = None
            if count != sockets.NOTHING_AVAILABLE:
                client.received_at = self.loop.time()
                return count

    def _receive(self, client: Client, session: ServerSession) -> bytes:
        """Have complete requests answered, and return the replies."""
        rejected_before = session.rejected_requests
        client_left = sockets.has_peer_left(client.sock)
        replies = session.receive(client.buffer, self.scheduler.requests_per_slice, client_left)
        client.count_session_bytes()
        if excess := self.budget.excess:
            self.reading = client
            self.budget.reclaim(excess)
            self.reading = None
        if rejected := session.rejected_requests - rejected_before:
            log.info("client.left", client_port=client.port, rejected=rejected, key="client.left")
            self.rejected_requests["client-left"] += rejected
        return replies

    def _on_partial_request(self, client: Client) -> None:
        """Start the timeout of a request at its first bytes.

        The timeout of a client's first request starts when the connection is accepted.
        """
        if client.answered and not client.has_partial_request:
            self.table.record_state_change(client, self.loop.time())

    async def _forward(self, client: Client, transaction: Transaction) -> None:
        """Send the reply of another instance to the client."""
        client.ready = True  # keeps a drain or a new client from closing the connection
        self.table.record_state_change(client, self.loop.time())
        client.account.add(FORWARDED_COPIES * len(transaction.body))
        try:
            assert self.forward is not None  # a session asks for it only if the service forwards messages
            await self._send(client, await self.forward(transaction))
        finally:
            client.account.shrink(FORWARDED_COPIES * len(transaction.body))
            client.ready = False

    async def _send(self, client: Client, replies: bytes) -> None:
        client.sending = True
        self.table.update(client)
        self.table.record_state_change(client, self.loop.time())
        await self.loop.sock_sendall(client.sock, replies)
        client.sending = False
        client.answered = True
        self.table.record_state_change(client, self.loop.time())

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
