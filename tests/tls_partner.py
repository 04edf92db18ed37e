"""A test partner that speaks TLS on loopback, with configurable faults and counters.

It uses OpenSSL through memory BIOs, so that it can stall, cut and split its output at any step. It answers
each request with 200 unless `answer` returns another response, and counts the requests applied for each
idempotency key.
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
RESUMED = 0.25  # of a full handshake's cost, as in the dispatcher's handshake budget


def server_context(issued: Issued, least: str = "1.2", most: str = "1.3") -> ssl.SSLContext:
    versions = {"1.2": ssl.TLSVersion.TLSv1_2, "1.3": ssl.TLSVersion.TLSv1_3}
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version, context.maximum_version = versions[least], versions[most]
    context.load_cert_chain(issued.cert_file, issued.key_file)
    return context


def asking(context: ssl.SSLContext, ca: object) -> ssl.SSLContext:
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
    over: bool = False  # ended by the partner, which handles no further request on it
    plain: bytearray = field(default_factory=bytearray)


class TlsPartner:
    """A TLS server that listens from `start` on; `context` may be replaced at any time, as in a rotation."""

    def __init__(self, context: ssl.SSLContext) -> None:
        self.context = context
        self.stall: str = ""  # "accept", "hello" or "flight": the handshake step at which it stops sending
        self.split = 0  # maximum bytes in a write; 0 writes all at once
        self.before = b""  # bytes sent unencrypted before the handshake
        self.answer: Callable[[Session, bytes], Awaitable[bytes | None]] | None = None
        self.delay = 0.0  # seconds to wait before each received part of a handshake is processed
        self.sessions: set[Session] = set()
        self.applied: Counter[str] = Counter()  # requests by idempotency key
        self.begun = self.full = self.resumed = self.failed = 0
        self.now = self.most = 0  # handshakes that run at once, and the most that did
        self.starts: list[list[float]] = []  # start time in seconds and weight of each handshake
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> TlsPartner:
        self.server = await asyncio.start_server(self._client, "127.0.0.1", self.port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def stop(self) -> None:
        """Abort all connections without close_notify, as a killed process does."""
        assert self.server is not None
        self.server.close()
        for session in list(self.sessions):
            session.writer.transport.abort()
        self.sessions.clear()

    def end(self, session: Session) -> None:
        """Close a connection without close_notify once its responses are sent."""
        session.over = True
        session.writer.close()

    def most_in(self, window: float) -> float:
        """Return the greatest total weight of the handshakes that began within any `window` seconds."""
        most = 0.0
        for at, _ in self.starts:
            most = max(most, sum(weight for began, weight in self.starts if at <= began < at + window))
        return most

    async def _client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
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
        if self.before:
            session.writer.write(self.before)
        if self.stall == "accept":
            await asyncio.Event().wait()
        start = [asyncio.get_running_loop().time(), 1.0]
        self.begun, self.now = self.begun + 1, self.now + 1
        self.most = max(self.most, self.now)
        self.starts.append(start)
        try:
            while not await self._continue_handshake(session):
                if not await self._receive_handshake(session):
                    return False
        except BaseException:
            self.failed += 1
            raise
        finally:
            self.now -= 1
        session.resumed = bool(session.tls.session_reused)
        if session.resumed:
            self.resumed, start[1] = self.resumed + 1, RESUMED
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
        step = self.split or len(data)
        for at in range(0, len(data), max(1, step)):
            session.writer.write(data[at : at + step])
            await session.writer.drain()
            if self.split:
                await asyncio.sleep(0)

    async def _serve(self, session: Session) -> None:
        while True:
            request = await self._request(session)
            if request is None or session.over:
                return
            session.requests += 1
            key = re.search(rb"Idempotency-Key: (\S+)", request)
            reply: bytes | None = OK
            if self.answer is not None:
                reply = await self.answer(session, request)
            if reply is None:
                return
            if key is not None and reply.startswith(b"HTTP/1.1 200"):
                self.applied[key[1].decode()] += 1
            session.tls.write(reply)
            await self.flush(session)

    async def _request(self, session: Session) -> bytes | None:
        while True:
            head, found, rest = bytes(session.plain).partition(b"\r\n\r\n")
            if found:
                length = re.search(rb"Content-Length: (\d+)", head)
                want = int(length[1]) if length else 0
                if len(rest) >= want:
                    session.plain[:] = rest[want:]
                    return head + found + rest[:want]
            try:
                data = session.tls.read(65536)
                if not data:
                    return None
                session.plain += data
                continue
            except ssl.SSLWantReadError:
                pass
            except ssl.SSLZeroReturnError:
                return None
            came = await session.reader.read(65536)
            if not came:
                return None
            session.incoming.write(came)
