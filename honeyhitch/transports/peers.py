"""Forwards messages to the instances of a fleet that own their destinations, over pooled connections."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from honeyhitch import logs
from honeyhitch.journal.transactions import Transaction
from honeyhitch.policy.settings import Settings
from honeyhitch.protocols import forwarding
from honeyhitch.protocols.buffer import Buffer
from honeyhitch.protocols.forwarding import (
    ConnectionEnded,
    ForwardOutcome,
    NothingWritten,
    Relayed,
    Unanswered,
)
from honeyhitch.transports import sockets

log = logs.get_logger()
CONNECT_TIMEOUT_SECONDS = 0.1  # owners are on the same network
# Limit for all steps of forwarding a message together: a client waits 0.4 s for its reply (protocol page).
FORWARD_TIMEOUT_SECONDS = 0.35


@dataclass(frozen=True, slots=True)
class PeerConnection:
    """A connection in use; `reused` ones carried an earlier request, and the peer may have closed them."""

    sock: socket.socket
    address: str
    reused: bool


class PeerConnections:
    """A pool with a limit on open connections; each connection carries one request at a time."""

    def __init__(self, loop: asyncio.AbstractEventLoop, max_connections: int) -> None:
        self.loop = loop
        self.max_connections = max_connections
        self.in_use = 0
        self.idle: dict[str, deque[socket.socket]] = {}  # by address, the most recently used one last

    @property
    def open(self) -> int:
        """The number of open connections, in use or idle."""
        return self.in_use + sum(map(len, self.idle.values()))

    async def acquire(self, address: str, deadline: float, fresh: bool = False) -> PeerConnection | None:
        """Return a connection to HOST:PORT without a pending reply; with `fresh`, always a new connection.

        Return None if the limit is reached, or if no connection can be opened by `deadline` on the loop's
        clock.
        """
        if not fresh and (connection := self._take_idle(address)) is not None:
            return connection
        if self.open >= self.max_connections and not self._close_idle():
            return None
        self.in_use += 1
        try:
            async with asyncio.timeout_at(deadline):
                return PeerConnection(await sockets.connect(self.loop, address), address, reused=False)
        except OSError:  # includes TimeoutError
            self.in_use -= 1
            return None
        except BaseException:
            self.in_use -= 1
            raise

    def _take_idle(self, address: str) -> PeerConnection | None:
        idle = self.idle.get(address, deque())
        while idle:
            sock = idle.pop()
            if sockets.is_reusable(sock):
                self.in_use += 1
                return PeerConnection(sock, address, reused=True)
            sock.close()
        return None

    def release(self, connection: PeerConnection, reusable: bool) -> None:
        """Return a connection to the pool if it is reusable, otherwise close it."""
        self.in_use -= 1
        if reusable:
            self.idle.setdefault(connection.address, deque()).append(connection.sock)
        else:
            connection.sock.close()

    def _close_idle(self) -> bool:
        """Close the longest idle connection to the address with the most idle connections.

        Return false if no connection is idle.
        """
        largest = max(self.idle.values(), key=len, default=None)
        if not largest:
            return False
        largest.popleft().close()
        return True

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self.idle.values():
            while idle:
                idle.pop().close()


class Forwarder:
    """Forwards messages to the owners of their destinations."""

    def __init__(
        self,
        settings: Settings,
        instance: str,
        owners: Callable[[int], Sequence[str]],
        connections: PeerConnections,
        clock: Callable[[], int],
        rejection: bytes,
    ) -> None:
        """Create a forwarder for the instance named `instance`.

        `owners` returns the addresses of a destination's owners in the order in which to try them.
        `rejection` is the reply if none of them can be reached. `clock` returns the Unix time in nanoseconds.
        """
        self.settings = settings
        self.instance = instance
        self.owners = owners
        self.connections = connections
        self.clock = clock
        self.rejection = rejection
        self.loop = connections.loop
        self.owner_name: Callable[[str], str] = lambda _: ""  # of an address; empty if it is not known

    async def forward(self, transaction: Transaction) -> bytes:
        """Try the owners in turn until one is reached, and return the reply for the client.

        The reply is an error if an owner may have received part of the request and sent no reply.
        """
        deadline = self.loop.time() + FORWARD_TIMEOUT_SECONDS
        for address in self.owners(transaction.destination):
            if self.loop.time() >= deadline:
                break
            match await self._forward_to_owner(address, transaction, deadline):
                case Relayed(reply) as relayed if not relayed.misdirected:
                    return reply
                case Unanswered() | ConnectionEnded():
                    log.warning("forward.unanswered", message=transaction.id, key=address)
                    return forwarding.UNANSWERED_REPLY
        log.warning("forward.unreachable", message=transaction.id, key=str(transaction.destination))
        return self.rejection

    async def _forward_to_owner(
        self, address: str, transaction: Transaction, deadline: float
    ) -> ForwardOutcome:
        """Send the request to one owner, and once more on a new connection if a reused connection ended.

        Another instance may have the address of the owner by then.
        """
        outcome = await self._attempt(address, transaction, deadline)
        if not isinstance(outcome, ConnectionEnded):
            return outcome
        outcome = await self._attempt(address, transaction, deadline, fresh=True)
        # The first request was written, so the message must not be sent to another owner.
        not_accepted = isinstance(outcome, NothingWritten) or (
            isinstance(outcome, Relayed) and outcome.misdirected
        )
        return Unanswered() if not_accepted else outcome

    async def _attempt(
        self, address: str, transaction: Transaction, deadline: float, fresh: bool = False
    ) -> ForwardOutcome:
        connect_deadline = min(deadline, self.loop.time() + CONNECT_TIMEOUT_SECONDS)
        connection = await self.connections.acquire(address, connect_deadline, fresh)
        if connection is None:
            return NothingWritten()
        outcome: ForwardOutcome = NothingWritten()
        try:
            owner = self.owner_name(address)
            request = forwarding.encode_request(
                self.settings, transaction, self.instance, self.clock(), owner
            )
            if request is None:
                return outcome
            outcome = Unanswered()  # holds for any failure from here on, because bytes may have been sent
            async with asyncio.timeout_at(deadline):
                outcome = await self._exchange(connection, request, transaction.id)
        except (OSError, ValueError) as error:
            log.warning("forward.failed", error=f"{type(error).__name__}: {error}", key=address)
            if connection.reused and isinstance(error, ValueError):
                outcome = ConnectionEnded()
        finally:
            self.connections.release(connection, isinstance(outcome, Relayed))
        return outcome

    async def _exchange(self, connection: PeerConnection, request: bytes, message_id: str) -> ForwardOutcome:
        reader = forwarding.ReplyReader(message_id if connection.reused else None)
        if connection.reused:
            request += forwarding.encode_confirmation_request(message_id)
        buffer = Buffer()
        reply_began = False
        try:
            await sockets.send_all(self.loop, connection.sock, request)
            while await sockets.read(self.loop, connection.sock, buffer):
                reply_began = True
                if (reply := reader.feed(buffer.consume_all())) is not None:
                    return Relayed(reply)
        except ConnectionError as error:
            log.warning("forward.failed", error=str(error), key=connection.address)
        without_reply = connection.reused and (not reply_began or reader.awaits_confirmation)
        return ConnectionEnded() if without_reply else Unanswered()
