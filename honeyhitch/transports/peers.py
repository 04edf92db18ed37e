"""Connections to the other instances of a fleet, over which transactions are passed on to their owners."""

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

log = logs.get()
CONNECT_TIMEOUT_SECONDS = 0.1  # seconds; owners are on the same network
FORWARD_TIMEOUT_SECONDS = 0.35  # seconds for all of it: a client waits 0.4 s for its reply (protocol page)


@dataclass(frozen=True, slots=True)
class PeerConnection:
    """A connection in use; one that was kept from an earlier request may be closed at the other end."""

    sock: socket.socket
    address: str
    reused: bool


class PeerConnections:
    """A bounded number of connections, one request at a time on each; those that rest are used again."""

    def __init__(self, loop: asyncio.AbstractEventLoop, max_connections: int) -> None:
        self.loop, self.max_connections, self.in_use = loop, max_connections, 0
        self.idle: dict[str, deque[socket.socket]] = {}

    @property
    def open(self) -> int:
        """Connections in use and at rest."""
        return self.in_use + sum(map(len, self.idle.values()))

    async def acquire(self, address: str, deadline: float, fresh: bool = False) -> PeerConnection | None:
        """A connection on which nothing is open, a new one if it has to be `fresh`; None where none can be
        had until then.
        """
        resting = self.idle.get(address, deque())
        while resting and not fresh:
            sock = resting.pop()
            if sockets.is_reusable(sock):
                self.in_use += 1
                return PeerConnection(sock, address, reused=True)
            sock.close()
        if self.open >= self.max_connections and not self._close_idle():
            return None
        self.in_use += 1
        try:
            async with asyncio.timeout_at(deadline):
                return PeerConnection(await sockets.connect(self.loop, address), address, reused=False)
        except OSError:  # a TimeoutError is one
            self.in_use -= 1
            return None
        except BaseException:
            self.in_use -= 1
            raise

    def release(self, connection: PeerConnection, reusable: bool) -> None:
        """Done with it; one that is not reusable is closed."""
        self.in_use -= 1
        if reusable:
            self.idle.setdefault(connection.address, deque()).append(connection.sock)
        else:
            connection.sock.close()

    def _close_idle(self) -> bool:
        """Close the connection at rest that has been there for longest at the address with most of them."""
        fullest = max(self.idle.values(), key=len, default=None)
        if not fullest:
            return False
        fullest.popleft().close()
        return True

    def close(self) -> None:
        """Close all that rest."""
        for resting in self.idle.values():
            while resting:
                resting.pop().close()


class Forwarder:
    """Passes transactions on to owners, one after the other until one was reached."""

    def __init__(
        self,
        settings: Settings,
        instance: str,
        owners: Callable[[int], Sequence[str]],
        connections: PeerConnections,
        clock: Callable[[], int],
        rejection: bytes,
    ) -> None:
        """`owners` gives the addresses of a destination's owners in the order in which to ask them, and
        `refusal` is the reply where none of them can be reached.
        """
        self.settings, self.instance, self.owners = settings, instance, owners
        self.connections, self.clock, self.rejection = connections, clock, rejection
        self.loop = connections.loop

    async def forward(self, transaction: Transaction) -> bytes | None:
        """The reply for the client; None where an owner got bytes of the request and gave no reply."""
        by = self.loop.time() + FORWARD_TIMEOUT_SECONDS
        for address in self.owners(transaction.destination):
            if self.loop.time() >= by:
                break
            outcome = await self._forward_to(address, transaction, by)
            if isinstance(outcome, ConnectionEnded):
                outcome = await self._forward_to(address, transaction, by, fresh=True)
                if isinstance(outcome, NothingWritten):
                    outcome = Unanswered()  # the first bytes were: nobody else may have it
            match outcome:
                case Relayed(reply):
                    return reply
                case Unanswered() | ConnectionEnded():
                    log.warning("forward.unanswered", message=transaction.id, key=address)
                    return None
        log.warning("forward.unreachable", message=transaction.id, key=str(transaction.destination))
        return self.rejection

    async def _forward_to(
        self, address: str, transaction: Transaction, by: float, fresh: bool = False
    ) -> ForwardOutcome:
        connect_by = min(by, self.loop.time() + CONNECT_TIMEOUT_SECONDS)
        connection = await self.connections.acquire(address, connect_by, fresh)
        if connection is None:
            return NothingWritten()
        outcome: ForwardOutcome = NothingWritten()
        try:
            request = forwarding.encode_request(self.settings, transaction, self.instance, self.clock())
            if request is None:
                return outcome
            outcome = Unanswered()  # from here on bytes may be on their way
            async with asyncio.timeout_at(by):
                outcome = await self._exchange(connection, request)
        except (OSError, ValueError) as error:
            log.warning("forward.failed", error=f"{type(error).__name__}: {error}", key=address)
        finally:
            self.connections.release(connection, isinstance(outcome, Relayed))
        return outcome

    async def _exchange(self, connection: PeerConnection, request: bytes) -> ForwardOutcome:
        reader, buffer, sock = forwarding.ReplyReader(), Buffer(), connection.sock
        began = False
        try:
            await self.loop.sock_sendall(sock, request)
            while await sockets.read(self.loop, sock, buffer):
                began = True
                if (reply := reader.feed(buffer.consume_all())) is not None:
                    return Relayed(reply)
        except ConnectionError as error:
            log.warning("forward.failed", error=str(error), key=connection.address)
        return ConnectionEnded() if connection.reused and not began else Unanswered()
