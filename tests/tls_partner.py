"""A test partner that speaks TLS on loopback, with configurable faults and counters.

It uses OpenSSL through memory BIOs, so that it can stall, cut and split its output at any step. It answers
each request with 200 unless `answer` is set: then it sends the response that `answer` returns, or closes the
connection if `answer` returns None. It counts the requests applied for each idempotency key.
"""

from __future__ import annotations

import asyncio
import contextlib
import re
import ssl
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from .authority import Issued

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
RESUMED_WEIGHT = 0.25  # fraction of a full handshake's cost, as in the dispatcher's handshake budget


def server_context(issued: Issued, min_version: str = "1.2", max_version: str = "1.3") -> ssl.SSLContext:
    versions = {"1.2": ssl.TLSVersion.TLSv1_2, "1.3": ssl.TLSVersion.TLSv1_3}
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version, context.maximum_version = versions[min_version], versions[max_version]
    context.load_cert_chain(issued.cert_file, issued.key_file)
    return context


def require_client_certificate(context: ssl.SSLContext, ca: object) -> ssl.SSLContext:
    """Make a server context require a client certificate that `ca` issued, and return the context."""
    context.verify_mode = ssl.CERT_REQUIRED
    context.load_verify_locations(str(ca))
    return context


@dataclass(eq=False)
class Session:
    """One connection to the partner."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    tls: ssl.SSLObject
    incoming: ssl.MemoryBIO
    outgoing: ssl.MemoryBIO
    resumed: bool = False
    requests: int = 0
    ended_by_partner: bool = False  # the partner handles no further request on the connection
    plaintext: bytearray = field(default_factory=bytearray)


class TlsPartner:
    """A TLS server that listens from `start` on; `context` may be replaced at any time, as in a rotation."""

    def __init__(self, context: ssl.SSLContext) -> None:
        self.context = context
        self.stall: str = ""  # "accept", "hello" or "flight": the handshake step at which it stops sending
        self.max_write_bytes = 0  # maximum bytes in a write; 0 writes all at once
        self.plaintext_prefix = b""  # bytes sent unencrypted before the handshake
        self.answer: Callable[[Session, bytes], Awaitable[bytes | None]] | None = None
        self.delay = 0.0  # seconds to wait before each received part of a handshake is processed
        self.sessions: set[Session] = set()
        self.applied: Counter[str] = Counter()  # requests by idempotency key
        self.begun = self.full = self.resumed = self.failed = 0  # counts of handshakes
        self.running = self.max_running = 0  # handshakes that run at once, and the most that did
        self.starts: list[list[float]] = []  # start time in seconds and weight of each handshake
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> TlsPartner:
        self.server = await asyncio.start_server(self._handle_connection, "127.0.0.1", self.port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def stop(self) -> None:
        """Abort all connections without close_notify, as a killed process does."""
        assert self.server is not None
        self.server.close()
        for session in list(self.sessions):
            session.writer.transport.abort()
        self.sessions.clear()

    def close_session(self, session: Session) -> None:
        """Close a connection without close_notify once its responses are sent."""
        session.ended_by_partner = True
        session.writer.close()

    def max_weight_within(self, window: float) -> float:
        """Return the greatest total weight of the handshakes that began within any `window` seconds."""
        greatest = 0.0
        for window_start, _ in self.starts:
            greatest = max(
                greatest,
                sum(weight for began, weight in self.starts if window_start <= began < window_start + window),
            )
        return greatest

    async def _handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        incoming, outgoing = ssl.MemoryBIO(), ssl.MemoryBIO()
        tls = self.context.wrap_bio(incoming, outgoing, server_side=True)
        session = Session(reader, writer, tls, incoming, outgoing)
        self.sessions.add(session)
        try:
            if await self._handshake(session):
                await self._serve(session)
        except (OSError, ssl.SSLError, asyncio.IncompleteReadError):
            with contextlib.suppress(OSError):
                await self.flush(session)
        finally:
            self.sessions.discard(session)
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()

    async def _handshake(self, session: Session) -> bool:
        if self.plaintext_prefix:
            session.writer.write(self.plaintext_prefix)
        if self.stall == "accept":
            await asyncio.Event().wait()
        start = [asyncio.get_running_loop().time(), 1.0]
        self.begun, self.running = self.begun + 1, self.running + 1
        self.max_running = max(self.max_running, self.running)
        self.starts.append(start)
        try:
            while not await self._continue_handshake(session):
                if not await self._receive_handshake(session):
                    return False
        except BaseException:
            self.failed += 1
            raise
        finally:
            self.running -= 1
        session.resumed = bool(session.tls.session_reused)
        if session.resumed:
            self.resumed, start[1] = self.resumed + 1, RESUMED_WEIGHT
        else:
            self.full += 1
        await self.flush(session)
        return True

    async def _continue_handshake(self, session: Session) -> bool:
        """Continue the handshake; return whether it is complete."""
        try:
            session.tls.do_handshake()
        except ssl.SSLWantReadError:
            if self.stall == "flight" and session.outgoing.pending:
                session.writer.write(session.outgoing.read()[:40])
                await asyncio.Event().wait()
            await self.flush(session)
            return False
        return True

    async def _receive_handshake(self, session: Session) -> bool:
        """Read handshake bytes once; return False at the end of the connection."""
        data = await session.reader.read(65536)
        if not data:
            return False
        if self.stall == "hello":
            await asyncio.Event().wait()
        if self.delay:
            await asyncio.sleep(self.delay)
        session.incoming.write(data)
        return True

    async def flush(self, session: Session) -> None:
        data = session.outgoing.read()
        chunk_size = self.max_write_bytes or len(data)
        for offset in range(0, len(data), max(1, chunk_size)):
            session.writer.write(data[offset : offset + chunk_size])
            await session.writer.drain()
            if self.max_write_bytes:
                await asyncio.sleep(0)

    async def _serve(self, session: Session) -> None:
        while True:
            request = await self._read_request(session)
            if request is None or session.ended_by_partner:
                return
            session.requests += 1
            key = re.search(rb"Idempotency-Key: (\S+)", request)
            response: bytes | None = OK
            if self.answer is not None:
                response = await self.answer(session, request)
            if response is None:
                return
            if key is not None and response.startswith(b"HTTP/1.1 200"):
                self.applied[key[1].decode()] += 1
            session.tls.write(response)
            await self.flush(session)

    async def _read_request(self, session: Session) -> bytes | None:
        while True:
            head, separator, rest = bytes(session.plaintext).partition(b"\r\n\r\n")
            if separator:
                length = re.search(rb"Content-Length: (\d+)", head)
                body_length = int(length[1]) if length else 0
                if len(rest) >= body_length:
                    session.plaintext[:] = rest[body_length:]
                    return head + separator + rest[:body_length]
            try:
                data = session.tls.read(65536)
                if not data:
                    return None
                session.plaintext += data
                continue
            except ssl.SSLWantReadError:
                pass
            except ssl.SSLZeroReturnError:
                return None
            received = await session.reader.read(65536)
            if not received:
                return None
            session.incoming.write(received)
