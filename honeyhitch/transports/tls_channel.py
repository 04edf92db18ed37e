"""An encrypted channel, which connects a socket to a TLS machine."""

from __future__ import annotations

import asyncio
import contextlib
import socket

from honeyhitch.protocols.buffer import Buffer
from honeyhitch.tls.failures import Failure, TlsError
from honeyhitch.tls.machine import Phase, TlsMachine
from honeyhitch.transports import sockets

IDLE_READ_BYTES = 4096  # maximum size of one read from an idle connection; a ticket is smaller


class TlsChannel:
    """A socket with a TLS machine. One task may read while another task writes."""

    def __init__(self, loop: asyncio.AbstractEventLoop, sock: socket.socket, machine: TlsMachine) -> None:
        self.loop = loop
        self.sock = sock
        self.machine = machine
        self.ciphertext = Buffer()
        # One task at a time sends, because records must be sent in the order in which they were encrypted.
        self.sending = False

    async def handshake(self) -> None:
        """Complete the handshake. Raise TlsError if it fails."""
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
        """Encrypt and write all of `data`. Raise OSError, possibly TlsError, if the connection breaks."""
        self.machine.send(data)
        try:
            await self._flush()
        except OSError:
            # An alert that the peer sent before it closed the connection is more specific than EPIPE.
            self._read_remaining()
            if self.machine.failure is not None:
                raise self.machine.failure from None
            raise

    async def read(self, buffer: Buffer) -> int:
        """Wait for plaintext, add it to the buffer and return its length, 0 after the peer's close_notify.

        Raise TlsError if the connection ends in another way, and OSError if the socket fails.
        """
        data = await self.receive(buffer)
        buffer.feed(data)
        return len(data)

    async def receive(self, _buffer: Buffer) -> bytes:
        """Wait for plaintext and return it; return no bytes after the peer's close_notify.

        Raise TlsError if the connection ends in another way, and OSError if the socket fails.
        """
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
        """Return the plaintext that was received and not read yet, without waiting for more."""
        self._read_remaining()
        return self.machine.take_plaintext()

    def is_reusable(self) -> bool:
        """Process received tickets and KeyUpdates; return whether the connection is alive and quiescent."""
        return self.alive() and self.machine.quiescent

    def alive(self) -> bool:
        """Return whether the connection is open without unexpected plaintext; a record may be incomplete."""
        return self._process_received() and self._send_pending()

    def _process_received(self) -> bool:
        """Process the bytes received on an idle connection; return false if it ends or carries plaintext."""
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
        """Send the pending output of the machine; return false if the socket does not accept all of it."""
        if not self.machine.outgoing.pending or self.sending:
            return True
        data = self.machine.take_output()
        try:
            return self.sock.send(data) == len(data)
        except OSError:
            return False

    def close(self) -> None:
        """Close the connection, after a close_notify if the socket accepts it without waiting."""
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
            return  # the task that is sending also sends this output
        self.sending = True
        try:
            while data := self.machine.take_output():
                await sockets.send_all(self.loop, self.sock, data)
        finally:
            self.sending = False


async def open_tls(loop: asyncio.AbstractEventLoop, address: str, machine: TlsMachine) -> TlsChannel:
    """Connect to HOST:PORT and complete the handshake. Raise TlsError, with the socket closed, on failure."""
    try:
        sock = await sockets.connect(loop, address)
    except OSError as error:
        raise TlsError(Failure.UNREACHABLE, str(error)) from error
    channel = TlsChannel(loop, sock, machine)
    try:
        await channel.handshake()
    except BaseException:
        channel.close()  # also sends the alert with our reason to reject the peer
        raise
    return channel
