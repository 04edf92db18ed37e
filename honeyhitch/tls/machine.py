"""One TLS connection as a client, without a socket: bytes of the wire in, bytes of the wire out.

It stands on OpenSSL through `ssl.MemoryBIO` and `ssl.SSLObject`. Whatever the peer sends is an outcome and
never an exception: plain bytes to take, a clean end, or a `failure`. Plain bytes that came before a failure
are given first, so that any split of the same bytes has the same outcome.

There is no early data (it could be replayed, RFC 8446, 8), no renegotiation and no post-handshake
authentication: the context that `material` builds forbids the last two, and OpenSSL sends early data only
when asked.
"""

from __future__ import annotations

import contextlib
import ssl
from enum import Enum

from honeyhitch.tls import failures
from honeyhitch.tls.failures import Failure, TlsError

PIECE = 1 << 16  # bytes of the wire given to OpenSSL, or plain bytes taken from it, at once
MOST_REPLIES = 1 << 16  # bytes of our own that a peer makes us send (KeyUpdate) and does not read
HEADER = 5  # bytes before each record: type, version, length (RFC 8446, 5.1)


class Phase(Enum):
    """How far a connection has come."""

    HANDSHAKE = "handshake"
    OPEN = "open"
    ENDED = "ended"  # by the peer's close_notify
    FAILED = "failed"


class Records:
    """Follows the frames of records, to tell whether the bytes so far end between two of them."""

    def __init__(self) -> None:
        self.head, self.left = b"", 0

    def feed(self, data: bytes) -> None:
        """Bytes as they came."""
        at, end = 0, len(data)
        if not self.left and not self.head and end > HEADER and end == HEADER + (data[3] << 8 | data[4]):
            return  # one whole record, as most come
        while at < end:
            if self.left:
                step = min(self.left, end - at)
                self.left -= step
            else:
                step = min(HEADER - len(self.head), end - at)
                self.head += data[at : at + step]
                if len(self.head) == HEADER:
                    self.left, self.head = int.from_bytes(self.head[3:]), b""
            at += step

    @property
    def whole(self) -> bool:
        """No record is left half read."""
        return not self.left and not self.head


class TlsMachine:
    """One connection. `session` is one that an earlier connection of the same context left."""

    def __init__(
        self,
        context: ssl.SSLContext,
        server_name: str,
        session: ssl.SSLSession | None = None,
        own_certificate: bool = False,
    ) -> None:
        self.incoming, self.outgoing = ssl.MemoryBIO(), ssl.MemoryBIO()
        self.tls = context.wrap_bio(
            self.incoming, self.outgoing, server_hostname=server_name, session=session
        )
        self.own_certificate = own_certificate
        self.phase = Phase.HANDSHAKE
        self.failure: TlsError | None = None
        self.plain, self.records = bytearray(), Records()
        self.version = self.cipher = ""  # such as TLSv1.3, and the suite's name; empty before the end
        self.answered = False  # plain bytes have come
        self.news = True  # a ticket may have come since this was last set to False
        self._shake()

    def feed(self, data: bytes) -> None:
        """Bytes came from the peer. Look at `plain`, `phase` and `failure`, and send `take_out()`."""
        pieces = [data] if len(data) <= PIECE else [data[i : i + PIECE] for i in range(0, len(data), PIECE)]
        for piece in pieces:
            if self.phase is Phase.ENDED or self.phase is Phase.FAILED:
                return  # nothing counts behind an end (RFC 8446, 6.1)
            self.records.feed(piece)
            self.incoming.write(piece)
            if self.phase is Phase.HANDSHAKE:
                self._shake()
            if self.phase is Phase.OPEN:
                before = len(self.plain)
                self._read()
                self.news = self.news or len(self.plain) == before

    def eof(self) -> None:
        """The peer's bytes ended."""
        if self.phase is Phase.HANDSHAKE:
            self._fail(TlsError(Failure.HANDSHAKE_CUT))
        elif self.phase is Phase.OPEN:
            self._fail(TlsError(Failure.TRUNCATED, "no close_notify"))

    def send(self, data: bytes) -> None:
        """Encrypt bytes for the peer; TlsError if the connection is not open."""
        if self.phase is not Phase.OPEN:
            raise self.failure or TlsError(Failure.ALERT, "the peer has ended the connection")
        try:
            self.tls.write(data)
        except ssl.SSLError as error:
            raise self._after(error) from error

    def close(self) -> None:
        """Say close_notify, so that the peer can tell our end from a cut."""
        if self.phase in (Phase.OPEN, Phase.ENDED):
            with contextlib.suppress(ssl.SSLError):  # the peer's own close_notify is not waited for
                self.tls.unwrap()

    def take_out(self) -> bytes:
        """Bytes to send to the peer, which are forgotten here."""
        return self.outgoing.read()

    def take_plain(self) -> bytes:
        """Decrypted bytes, which are forgotten here."""
        data = bytes(self.plain)
        self.plain.clear()
        return data

    @property
    def at_rest(self) -> bool:
        """Open, with nothing come or coming in part: the next plain bytes would answer the next request."""
        small = self.outgoing.pending <= MOST_REPLIES
        return self.phase is Phase.OPEN and not self.plain and self.records.whole and small

    # What the handshake agreed on.

    @property
    def resumed(self) -> bool:
        """Whether the handshake took up an earlier session."""
        return bool(self.tls.session_reused)

    @property
    def peer(self) -> bytes:
        """The partner's own certificate in DER; it is the first handshake's if the session was resumed."""
        return self.tls.getpeercert(binary_form=True) or b""

    def chain(self) -> list[bytes]:
        """The verified chain in DER, the partner's own first; that one alone where Python does not tell."""
        inner = getattr(self.tls, "_sslobj", None)
        told = getattr(inner, "get_verified_chain", lambda: None)() or []
        return [ssl.PEM_cert_to_DER_cert(one.public_bytes()) for one in told] or [self.peer]

    def session(self) -> ssl.SSLSession | None:
        """A session to resume later, if there is one by now: in TLS 1.3 it comes with a ticket of its own."""
        session = self.tls.session
        if session is None or self.phase not in (Phase.OPEN, Phase.ENDED):
            return None
        return session if session.has_ticket or (self.version != "TLSv1.3" and session.id) else None

    # Within.

    def _shake(self) -> None:
        try:
            self.tls.do_handshake()
        except ssl.SSLWantReadError:
            return
        except ssl.SSLError as error:
            self._fail(failures.of_handshake(error))
        except ssl.CertificateError as error:
            self._fail(TlsError(Failure.WRONG_NAME, str(error)))
        else:
            self.phase = Phase.OPEN
            told = self.tls.cipher()  # a failure makes OpenSSL forget both
            self.version, self.cipher = self.tls.version() or "", told[0] if told else ""

    def _read(self) -> None:
        try:
            while data := self.tls.read(PIECE):
                self.plain += data
                self.answered = True
                if not self.incoming.pending and not self.tls.pending():
                    return  # as it is nearly always: asking once more would only raise
            self.phase = Phase.ENDED
        except ssl.SSLWantReadError:
            return
        except ssl.SSLZeroReturnError:
            self.phase = Phase.ENDED
        except ssl.SSLError as error:
            self._after(error)

    def _after(self, error: ssl.SSLError) -> TlsError:
        told = failures.of_connection(error, self.answered, self.version, self.own_certificate)
        self._fail(told)
        return told

    def _fail(self, error: TlsError) -> None:
        self.phase, self.failure = Phase.FAILED, error
