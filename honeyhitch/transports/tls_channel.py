"""A socket with a TLS machine before it, as a channel. Only this module joins the two."""

from __future__ import annotations

import asyncio
import contextlib
import socket

from honeyhitch.protocols.buffer import Buffer
from honeyhitch.tls.failures import Failure, TlsError
from honeyhitch.tls.machine import Phase, TlsMachine
from honeyhitch.transports import sockets

IDLE_READ_BYTES = 4096  # bytes taken from an idle connection at once; tickets are shorter


class TlsChannel:
    """A socket with a machine before it. Reader and writer may be two tasks."""

    def __init__(self, loop: asyncio.AbstractEventLoop, sock: socket.socket, machine: TlsMachine) -> None:
        self.loop, self.sock, self.machine = loop, sock, machine
        self.ciphertext = Buffer()
        self.sending = False  # records leave in the order in which they were made, by one task at a time

    async def handshake(self) -> None:
        """Till it is over; TlsError says why it failed."""
        machine = self.machine
        while True:
            try:
                await self._flush()
                if machine.phase is not Phase.HANDSHAKE:
                    break
                count = await sockets.read(self.loop, self.sock, self.ciphertext)
            except OSError as error:
                raise machine.failure or TlsError(Failure.HANDSHAKE_CUT, str(error)) from error
            if count:
                machine.feed(self.ciphertext.consume_all())
            else:
                machine.connection_closed()
        if machine.failure is not None:
            raise machine.failure

    async def send(self, data: bytes) -> None:
        """Encrypt and write all of it; TlsError or another OSError if the connection broke."""
        self.machine.send(data)
        try:
            await self._flush()
        except OSError:
            self._drain()  # what the peer said before it closed tells more than a broken pipe
            if self.machine.failure is not None:
                raise self.machine.failure from None
            raise

    async def read(self, buffer: Buffer) -> int:
        """Read till plain bytes have come; 0 at the peer's close_notify, TlsError at any other end."""
        data = await self.receive(buffer)
        buffer.feed(data)
        return len(data)

    async def receive(self, buffer: Buffer) -> bytes:
        """The bytes of one read; none at the peer's close_notify, TlsError at any other end."""
        machine = self.machine
        while not machine.plaintext:
            if machine.failure is not None:
                raise machine.failure
            if machine.phase is Phase.ENDED:
                return b""
            count = await sockets.read(self.loop, self.sock, self.ciphertext)
            if count:
                machine.feed(self.ciphertext.consume_all())
                if machine.outgoing.pending:  # what a KeyUpdate asks for
                    await self._flush()
            else:
                machine.connection_closed()
        return machine.take_plaintext()

    def read_available(self, buffer: Buffer) -> bytes:
        """What has come and was not read, without waiting for more."""
        self._drain()
        return self.machine.take_plaintext()

    def is_reusable(self) -> bool:
        """Alive and at rest, once what has come has been read: tickets and KeyUpdates are no answer."""
        return self.alive() and self.machine.quiescent

    def alive(self) -> bool:
        """Open, with no plain bytes come that nobody asked for; a ticket may have come in part."""
        machine = self.machine
        while True:
            try:
                data = self.sock.recv(IDLE_READ_BYTES)
            except BlockingIOError:
                break
            except OSError:
                return False
            if not data:
                machine.connection_closed()
                return False
            machine.feed(data)
            if machine.phase is not Phase.OPEN or machine.plaintext:
                return False
        if machine.outgoing.pending and not self.sending:
            out = machine.take_output()
            try:
                if self.sock.send(out) < len(out):
                    return False  # the peer does not read: not worth keeping
            except OSError:
                return False
        return True

    def close(self) -> None:
        """Say close_notify as far as the socket takes it, and close."""
        self.machine.close()
        with contextlib.suppress(OSError):
            if out := self.machine.take_output():
                self.sock.send(out)
        self.sock.close()

    def _drain(self) -> None:
        with contextlib.suppress(OSError):
            while data := self.sock.recv(IDLE_READ_BYTES):
                self.machine.feed(data)

    async def _flush(self) -> None:
        if self.sending:
            return  # whoever sends takes this along
        self.sending = True
        try:
            while data := self.machine.take_output():
                await self.loop.sock_sendall(self.sock, data)
        finally:
            self.sending = False


async def open_tls(loop: asyncio.AbstractEventLoop, address: str, machine: TlsMachine) -> TlsChannel:
    """Connect to HOST:PORT and shake hands. TlsError names what failed; nothing is left open then."""
    try:
        sock = await sockets.connect(loop, address)
    except OSError as error:
        raise TlsError(Failure.UNREACHABLE, str(error)) from error
    channel = TlsChannel(loop, sock, machine)
    try:
        await channel.handshake()
    except BaseException:
        channel.close()  # with the alert that says why we refuse
        raise
    return channel
