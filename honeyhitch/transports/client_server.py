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
BACKLOG = 1024
PAUSE = 0.05  # seconds before accepting again when no descriptor was left
PATIENCE = 2.0  # seconds for a first request, for the rest of a half one, and for replies to be read
MUTE = 0.1  # seconds without a first byte after which one may make room: a request would have come with it
FRESH = 0.3  # seconds that a new connection is given to begin, where another process takes the next ones
SWEEP = 0.25  # seconds between looks at connections that are out of time
LOOK = 0.01  # seconds between looks for a place when all are taken
SLOW = b"-ERR request: not whole in time\r\n"


class ServerSession(Protocol):
    """What answers on one connection."""

    opening: bytes  # sent before anything is read
    closing: bool
    more: bool  # whole requests are left in the buffer
    half: bool  # a request has come in part

    @property
    def forward(self) -> Transaction | None:
        """A transaction whose reply another instance of the fleet gives, and which is waited for."""

    def receive(self, buffer: Buffer) -> bytes:
        """Replies to what the buffer holds whole, or to a part of it if that is `more`."""


@dataclass(slots=True, eq=False)
class Client:
    """One client's connection, and since when it has stood as it stands."""

    sock: socket.socket
    since: float
    answered: bool = False
    half: bool = False
    sending: bool = False
    over: bool = False  # it was ended: nothing more is read

    @property
    def resting(self) -> bool:
        """Nothing is open on it: it may be closed, and the client's next request goes elsewhere."""
        return self.answered and not self.half and not self.sending and sockets.quiet(self.sock)

    @property
    def mute(self) -> bool:
        """It has not said anything yet."""
        return not self.answered and not self.half and not self.sending and sockets.quiet(self.sock)


class ClientServer:
    """One listener and its clients' connections."""

    def __init__(
        self,
        address: tuple[str, int],
        session: Callable[[], ServerSession],
        most: int,
        tasks: Tasks,
        once: bool = False,
        shared: bool = False,
        forward: Callable[[Transaction], Awaitable[bytes | None]] | None = None,
    ) -> None:
        """`forward` brings the reply of the instance that owns a transaction's destination, or None where it
        got none: then the connection is closed without one, as by a dispatcher that did not answer.
        """
        self.forward = forward
        self.session, self.most, self.tasks, self.loop = session, most, tasks, tasks.loop
        self.clients: dict[Client, None] = {}  # those that have stood as they stand for longest come first
        self.draining, self.once = False, once
        self.placing = False  # one was accepted and waits for a place
        self.listener = sockets.fresh()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self.listener.bind(address)
        self.listener.listen(BACKLOG)

    @property
    def port(self) -> int:
        """Where it listens."""
        return int(self.listener.getsockname()[1])

    async def accept(self) -> None:
        """Accept clients for ever."""
        while True:
            await sockets.readable(self.loop, self.listener)
            try:
                sock, _ = self.listener.accept()
            except (BlockingIOError, InterruptedError):  # it went away meanwhile
                continue
            except OSError as error:  # no descriptor left: those in use will come free
                log.warning("accept.failed", error=str(error))
                await asyncio.sleep(PAUSE)
                continue
            # Closing it now would fail a request that may be on its way: it waits for a place instead, and
            # those behind it wait in the backlog.
            self.placing = True
            while len(self.clients) >= self.most and not self._make_room():
                await asyncio.sleep(LOOK)
            self.placing = False
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            client = Client(sock, self.loop.time())
            self.clients[client] = None
            self.tasks.start(self._serve(client))

    def _make_room(self) -> bool:
        """Close the connection that has stood unused for longest, if any may be closed.

        One that was answered may be closed at any time, since its client asks again on a new one; waiting for
        it to have rested would leave a crowd of new clients out. Where a connection brings `once` a line, one
        that has not brought it whole makes room as a mute one does.
        """
        mute_since = self.loop.time() - MUTE
        for one in self.clients:
            if one.resting or (one.since < mute_since and (one.mute or (self.once and not one.sending))):
                self._end(one)
                return True
        return False

    def limit(self, most: int) -> None:
        """So many places there are from now on; those too many are taken from who does not use them."""
        self.most = most
        while len(self.clients) > most and self._make_room():
            pass

    async def sweep(self) -> None:
        """Close what is out of time: its place is needed, and whoever is behind it waits for a word."""
        while True:
            await asyncio.sleep(SWEEP)
            late = self.loop.time() - PATIENCE
            for one in list(self.clients):
                if one.since < late and (one.sending or one.half or not one.answered):
                    if not one.sending:
                        with contextlib.suppress(OSError):
                            one.sock.send(SLOW)
                    self._end(one)

    def _touch(self, client: Client) -> None:
        client.since = self.loop.time()
        if client in self.clients:
            del self.clients[client]
            self.clients[client] = None

    def _end(self, client: Client) -> None:
        """What comes from now on is not read: the client hands it in again, and hears of that."""
        self.clients.pop(client, None)
        client.over = True
        with contextlib.suppress(OSError):
            client.sock.shutdown(socket.SHUT_RDWR)  # its task reads the end, and closes it

    async def _serve(self, client: Client) -> None:
        session, buffer, sock = self.session(), Buffer(), client.sock
        try:
            if session.opening:
                await self.loop.sock_sendall(sock, session.opening)
            while not session.closing:
                if session.more:  # the other connections have their turn first
                    await asyncio.sleep(0)
                elif not await sockets.read(self.loop, sock, buffer) or client.over:
                    break
                replies = session.receive(buffer)
                if replies:
                    await self._send(client, replies)
                if session.forward is not None:
                    client.half = True  # it is in use: neither a drain nor a newcomer ends it
                    self._touch(client)
                    reply = await self.forward(session.forward) if self.forward is not None else None
                    if reply is None:
                        break
                    await self._send(client, reply)
                elif not replies and session.half and not client.half and client.answered:
                    self._touch(client)
                client.half = session.half or session.more
                if self.draining and client.resting:
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
    def settled(self) -> bool:
        """No request is on its way here, as far as can be told: none in part or unread, nobody new, and
        nobody whose connection still waits to be accepted or to get a place.
        """
        if self.placing or sockets.waited_at(self.listener):
            return False
        fresh = self.loop.time() - FRESH
        return all(one.resting or (one.mute and one.since <= fresh) for one in self.clients)

    def drain(self) -> None:
        """Close each connection once nothing is open on it: the client's next request goes elsewhere."""
        self.draining = True
        for client in list(self.clients):
            if client.resting:
                self._end(client)

    def close(self) -> None:
        """Stop listening."""
        self.listener.close()
