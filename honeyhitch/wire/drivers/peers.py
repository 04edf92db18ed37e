"""Connections to the other instances of a fleet, over which transactions are passed on to their owners."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable, Sequence

from honeyhitch import interface as api
from honeyhitch import logs
from honeyhitch.memory.buffer import Buffer
from honeyhitch.memory.transactions import Transaction
from honeyhitch.wire import forwarding
from honeyhitch.wire.drivers import sockets
from honeyhitch.wire.forwarding import ForwardOutcome, NothingWritten, Relayed, Unanswered

log = logs.get()
CONNECT_WITHIN = 0.1  # seconds; owners are on the same network
ANSWER_WITHIN = 0.35  # seconds for all of it: a client waits 0.4 s for its reply (protocol page)


class PeerConnections:
    """A bounded number of connections, one request at a time on each; those that rest are used again."""

    def __init__(self, loop: asyncio.AbstractEventLoop, most: int) -> None:
        self.loop, self.most, self.in_use = loop, most, 0
        self.idle: dict[str, deque[socket.socket]] = {}

    @property
    def open(self) -> int:
        """Connections in use and at rest."""
        return self.in_use + sum(map(len, self.idle.values()))

    async def acquire(self, address: str, by: float) -> socket.socket | None:
        """A connection on which nothing is open, or None where none can be had until then."""
        resting = self.idle.get(address, deque())
        while resting:
            sock = resting.pop()
            if sockets.quiet(sock):
                self.in_use += 1
                return sock
            sock.close()
        if self.open >= self.most and not self._close_one():
            return None
        self.in_use += 1
        try:
            async with asyncio.timeout_at(by):
                return await sockets.connect(self.loop, address)
        except (OSError, TimeoutError):
            self.in_use -= 1
            return None
        except BaseException:
            self.in_use -= 1
            raise

    def release(self, address: str, sock: socket.socket, reusable: bool) -> None:
        """Done with it; one that is not reusable is closed."""
        self.in_use -= 1
        if reusable:
            self.idle.setdefault(address, deque()).append(sock)
        else:
            sock.close()

    def _close_one(self) -> bool:
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
        settings: api.Settings,
        instance: str,
        owners: Callable[[int], Sequence[str]],
        connections: PeerConnections,
        clock: Callable[[], int],
        refusal: bytes,
    ) -> None:
        """`owners` gives the addresses of a destination's owners in the order in which to ask them, and
        `refusal` is the reply where none of them can be reached.
        """
        self.settings, self.instance, self.owners = settings, instance, owners
        self.connections, self.clock, self.refusal = connections, clock, refusal
        self.loop = connections.loop

    async def forward(self, transaction: Transaction) -> bytes | None:
        """The reply for the client; None where an owner got bytes of the request and gave no reply."""
        by = self.loop.time() + ANSWER_WITHIN
        for address in self.owners(transaction.destination):
            if self.loop.time() >= by:
                break
            match await self._ask(address, transaction, by):
                case Relayed(reply):
                    return reply
                case Unanswered():
                    log.warning("forward.unanswered", message=transaction.id, key=address)
                    return None
        log.warning("forward.unreachable", message=transaction.id, key=str(transaction.destination))
        return self.refusal

    async def _ask(self, address: str, transaction: Transaction, by: float) -> ForwardOutcome:
        connect_by = min(by, self.loop.time() + CONNECT_WITHIN)
        sock = await self.connections.acquire(address, connect_by)
        if sock is None:
            return NothingWritten()
        outcome: ForwardOutcome = NothingWritten()
        try:
            request = forwarding.request(self.settings, transaction, self.instance, self.clock())
            if request is None:
                return outcome
            outcome = Unanswered()  # from here on bytes may be on their way
            async with asyncio.timeout_at(by):
                await self.loop.sock_sendall(sock, request)
                outcome = Relayed(await self._reply(sock))
        except (OSError, TimeoutError, ValueError) as error:
            log.warning("forward.failed", error=f"{type(error).__name__}: {error}", key=address)
        finally:
            self.connections.release(address, sock, isinstance(outcome, Relayed))
        return outcome

    async def _reply(self, sock: socket.socket) -> bytes:
        reader, buffer = forwarding.ReplyReader(), Buffer()
        while True:
            if not await sockets.read(self.loop, sock, buffer):
                raise ConnectionResetError("the owner ended the connection before its reply")
            if (reply := reader.feed(buffer.take())) is not None:
                return reply
