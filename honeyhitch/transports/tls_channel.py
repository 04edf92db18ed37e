"""A channel that encrypts: joins a socket and a TLS machine."""

from __future__ import annotations

import asyncio
import contextlib
import socket

from honeyhitch.protocols.buffer import Buffer
from honeyhitch.tls.failures import Failure, TlsError
from honeyhitch.tls.machine import Phase, TlsMachine
from honeyhitch.transports import sockets

IDLE_READ_BYTES = 4096  # taken from an idle connection at once; tickets are shorter


class TlsChannel:
    """A socket with a TLS machine. Reading and writing may be done by two tasks."""

    def __init__(self, loop: asyncio.AbstractEventLoop, sock: socket.socket, machine: TlsMachine) -> None:
        self.loop = loop
        self.sock = sock
        self.machine = machine
        self.ciphertext = Buffer()
        self.sending = False  # records are sent in the order of their encryption, by one task at a time

    async def handshake(self) -> None:
        """Complete the handshake. Raises TlsError."""
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
        """Encrypt and write all of it. Raises OSError if the connection breaks, TlsError among them."""
        self.machine.send(data)
        try:
            await self._flush()
        except OSError:
            self._read_remaining()  # what the peer sent before it closed says more than a broken pipe
            if self.machine.failure is not None:
                raise self.machine.failure from None
            raise

    async def read(self, buffer: Buffer) -> int:
        """Read until plaintext comes; 0 at the peer's close_notify. Raises TlsError at any other end."""
        data = await self.receive(buffer)
        buffer.feed(data)
        return len(data)

    async def receive(self, _buffer: Buffer) -> bytes:
        """Plaintext of one read; none at the peer's close_notify. Raises TlsError at any other end."""
        machine = self.machine
        while not machine.plaintext:
            if machine.failure is not None:
                raise machine.failure
            if machine.phase is Phase.ENDED:
                return b""
            count = await sockets.read(self.loop, self.sock, self.ciphertext)
            if not count:
                machine.connection_closed()
                continue
            machine.feed(self.ciphertext.consume_all())
            if machine.outgoing.pending:  # the response to a KeyUpdate
                await self._flush()
        return machine.take_plaintext()

    def read_available(self, _buffer: Buffer) -> bytes:
        """Plaintext that has come and was not read, without waiting."""
        self._read_remaining()
        return self.machine.take_plaintext()

    def is_reusable(self) -> bool:
        """Whether the connection is alive and quiescent, after tickets and KeyUpdates were processed."""
        return self.alive() and self.machine.quiescent

    def alive(self) -> bool:
        """Whether the connection is open without unexpected plaintext; a record may be incomplete."""
        return self._process_received() and self._send_pending()

    def _process_received(self) -> bool:
        """Process what has come on an idle connection; false if it ends or carries plaintext."""
        machine = self.machine
        while True:
            try:
                data = self.sock.recv(IDLE_READ_BYTES)
            except BlockingIOError:
                return True
            except OSError:
                return False
            if not data:
                machine.connection_closed()
                return False
            machine.feed(data)
            if machine.phase is not Phase.OPEN or machine.plaintext:
                return False

    def _send_pending(self) -> bool:
        """Send what the machine has produced; false if the peer does not read it."""
        if not self.machine.outgoing.pending or self.sending:
            return True
        data = self.machine.take_output()
        try:
            return self.sock.send(data) == len(data)
        except OSError:
            return False

    def close(self) -> None:
        """Send close_notify, as far as the socket takes it, and close."""
        self.machine.close()
        with contextlib.suppress(OSError):
            if data := self.machine.take_output():
                self.sock.send(data)
        self.sock.close()

    def _read_remaining(self) -> None:
        with contextlib.suppress(OSError):
            while data := self.sock.recv(IDLE_READ_BYTES):
                self.machine.feed(data)

    async def _flush(self) -> None:
        if self.sending:
            return  # the task that is sending takes this along
        self.sending = True
        try:
            while data := self.machine.take_output():
                await self.loop.sock_sendall(self.sock, data)
        finally:
            self.sending = False


async def open_tls(loop: asyncio.AbstractEventLoop, address: str, machine: TlsMachine) -> TlsChannel:
    """Connect to HOST:PORT and complete the handshake. Raises TlsError; nothing is left open then."""
    try:
        sock = await sockets.connect(loop, address)
    except OSError as error:
        raise TlsError(Failure.UNREACHABLE, str(error)) from error
    channel = TlsChannel(loop, sock, machine)
    try:
        await channel.handshake()
    except BaseException:
        channel.close()  # sends the alert that says why we reject
        raise
    return channel
