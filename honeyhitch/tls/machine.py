"""The client's side of one TLS connection without I/O: received bytes in, bytes to send out.

It uses OpenSSL through `ssl.MemoryBIO` and `ssl.SSLObject`. Whatever the peer sends is a result and never an
exception: plaintext, a clean end, or a `failure`. Plaintext that came before a failure is given first, so
that the result does not depend on how the bytes are split.

There is no early data (it could be replayed, RFC 8446, 8), no renegotiation and no post-handshake
authentication: the context that `material` builds forbids the last two, and OpenSSL sends early data only
when asked.
"""

from __future__ import annotations

import contextlib
import ssl
from enum import Enum

from honeyhitch.tls import failures
from honeyhitch.tls.failures import TLS_1_3, Failure, TlsError

MAX_CHUNK_BYTES = 1 << 16  # received bytes given to OpenSSL, or plaintext taken from it, at once
MAX_UNSENT_BYTES = 1 << 16  # that a peer makes us send (KeyUpdate) and does not read
RECORD_HEADER_BYTES = 5  # type, version and length (RFC 8446, 5.1)


class Phase(Enum):
    """The state of a connection."""

    HANDSHAKE = "handshake"
    OPEN = "open"
    ENDED = "ended"  # by the peer's close_notify
    FAILED = "failed"


class RecordTracker:
    """Follows the framing of records, to tell whether the received bytes end between two of them."""

    def __init__(self) -> None:
        self.partial_header = b""
        self.remaining = 0  # bytes of the current record

    def feed(self, data: bytes) -> None:
        """Count received bytes."""
        position = 0
        end = len(data)
        if self.at_boundary and _is_one_record(data):
            return  # the most frequent case
        while position < end:
            if self.remaining:
                step = min(self.remaining, end - position)
                self.remaining -= step
            else:
                step = min(RECORD_HEADER_BYTES - len(self.partial_header), end - position)
                self.partial_header += data[position : position + step]
                if len(self.partial_header) == RECORD_HEADER_BYTES:
                    self.remaining = int.from_bytes(self.partial_header[3:])
                    self.partial_header = b""
            position += step

    @property
    def at_boundary(self) -> bool:
        """No record is incomplete."""
        return not self.remaining and not self.partial_header


def _is_one_record(data: bytes) -> bool:
    size = len(data)
    return size > RECORD_HEADER_BYTES and size == RECORD_HEADER_BYTES + (data[3] << 8 | data[4])


class TlsMachine:
    """One connection. `session` is one that an earlier connection of the same context has left.

    After `feed`, look at `plaintext`, `phase` and `failure`, and send `take_output()`.
    """

    def __init__(
        self,
        context: ssl.SSLContext,
        server_name: str,
        session: ssl.SSLSession | None = None,
        own_certificate: bool = False,
    ) -> None:
        self.incoming = ssl.MemoryBIO()
        self.outgoing = ssl.MemoryBIO()
        self.tls = context.wrap_bio(
            self.incoming, self.outgoing, server_hostname=server_name, session=session
        )
        self.own_certificate = own_certificate
        self.phase = Phase.HANDSHAKE
        self.failure: TlsError | None = None
        self.plaintext = bytearray()
        self.record_tracker = RecordTracker()
        self.version = ""  # such as TLSv1.3; empty until the handshake is complete
        self.cipher = ""  # the name of the suite; empty until the handshake is complete
        self.has_received = False  # plaintext has come
        self.may_have_ticket = True  # one may have come since this was last set to False
        self._continue_handshake()

    def feed(self, data: bytes) -> None:
        """Process bytes from the peer."""
        if len(data) <= MAX_CHUNK_BYTES:
            self._feed_chunk(data)
            return
        for start in range(0, len(data), MAX_CHUNK_BYTES):
            self._feed_chunk(data[start : start + MAX_CHUNK_BYTES])

    def _feed_chunk(self, chunk: bytes) -> None:
        if self.phase is Phase.ENDED or self.phase is Phase.FAILED:
            return  # nothing counts after the end (RFC 8446, 6.1)
        self.record_tracker.feed(chunk)
        self.incoming.write(chunk)
        if self.phase is Phase.HANDSHAKE:
            self._continue_handshake()
        if self.phase is Phase.OPEN:
            length_before = len(self.plaintext)
            self._read()
            self.may_have_ticket = self.may_have_ticket or len(self.plaintext) == length_before

    def connection_closed(self) -> None:
        """The peer closed the TCP connection."""
        if self.phase is Phase.HANDSHAKE:
            self._fail(TlsError(Failure.HANDSHAKE_CUT))
        elif self.phase is Phase.OPEN:
            self._fail(TlsError(Failure.TRUNCATED, "no close_notify"))

    def send(self, data: bytes) -> None:
        """Encrypt bytes for the peer. Raises TlsError if the connection is not open."""
        if self.phase is not Phase.OPEN:
            raise self.failure or TlsError(Failure.ALERT, "the peer has ended the connection")
        try:
            self.tls.write(data)
        except ssl.SSLError as error:
            raise self._fail_with(error) from error

    def close(self) -> None:
        """Produce a close_notify, so that the peer can tell our end from a truncation."""
        if self.phase in (Phase.OPEN, Phase.ENDED):
            with contextlib.suppress(ssl.SSLError):  # the peer's own close_notify is not waited for
                self.tls.unwrap()

    def take_output(self) -> bytes:
        """The bytes to send to the peer now."""
        return self.outgoing.read()

    def take_plaintext(self) -> bytes:
        """The decrypted bytes so far."""
        data = bytes(self.plaintext)
        self.plaintext.clear()
        return data

    @property
    def quiescent(self) -> bool:
        """Open, with nothing received or incomplete: the next plaintext would answer the next request."""
        output_is_small = self.outgoing.pending <= MAX_UNSENT_BYTES
        has_input = bool(self.plaintext) or not self.record_tracker.at_boundary
        return self.phase is Phase.OPEN and not has_input and output_is_small

    # The result of the handshake.

    @property
    def resumed(self) -> bool:
        """Whether the handshake resumed an earlier session."""
        return bool(self.tls.session_reused)

    @property
    def peer_certificate(self) -> bytes:
        """The partner's certificate in DER; that of the first handshake if the session was resumed."""
        return self.tls.getpeercert(binary_form=True) or b""

    def chain(self) -> list[bytes]:
        """The verified chain in DER, the partner's own certificate first; only that where Python lacks it."""
        ssl_object = getattr(self.tls, "_sslobj", None)  # has no public counterpart before Python 3.13
        verified_chain = getattr(ssl_object, "get_verified_chain", lambda: None)() or []
        chain = [ssl.PEM_cert_to_DER_cert(certificate.public_bytes()) for certificate in verified_chain]
        return chain or [self.peer_certificate]

    def session(self) -> ssl.SSLSession | None:
        """A session to resume later, if there is one by now: in TLS 1.3 it comes with a ticket."""
        session = self.tls.session
        if session is None or self.phase not in (Phase.OPEN, Phase.ENDED):
            return None
        is_resumable = session.has_ticket or (self.version != TLS_1_3 and session.id)
        return session if is_resumable else None

    def _continue_handshake(self) -> None:
        try:
            self.tls.do_handshake()
        except ssl.SSLWantReadError:
            return
        except ssl.SSLError as error:
            self._fail(failures.classify_handshake_error(error))
        except ssl.CertificateError as error:
            self._fail(TlsError(Failure.WRONG_NAME, str(error)))
        else:
            self.phase = Phase.OPEN
            cipher = self.tls.cipher()  # kept, as OpenSSL forgets both after a failure
            self.version = self.tls.version() or ""
            self.cipher = cipher[0] if cipher else ""

    def _read(self) -> None:
        try:
            while data := self.tls.read(MAX_CHUNK_BYTES):
                self.plaintext += data
                self.has_received = True
                if not self.incoming.pending and not self.tls.pending():
                    return  # almost always: another read would only raise SSLWantReadError
            self.phase = Phase.ENDED
        except ssl.SSLWantReadError:
            return
        except ssl.SSLZeroReturnError:
            self.phase = Phase.ENDED
        except ssl.SSLError as error:
            self._fail_with(error)

    def _fail_with(self, error: ssl.SSLError) -> TlsError:
        failure = failures.classify_connection_error(
            error, self.has_received, self.version, self.own_certificate
        )
        self._fail(failure)
        return failure

    def _fail(self, error: TlsError) -> None:
        self.phase = Phase.FAILED
        self.failure = error
