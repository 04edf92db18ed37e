"""The client side of one TLS connection without I/O: takes received bytes and produces bytes to send.

It uses OpenSSL through `ssl.MemoryBIO` and `ssl.SSLObject`. No bytes from the peer raise an exception: the
result is plaintext, a clean end, or a `failure`. Plaintext received before a failure can still be taken, so
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

# Maximum size of the received data given to OpenSSL at once, and of the plaintext read from it at once.
MAX_CHUNK_BYTES = 1 << 16
MAX_UNSENT_BYTES = 1 << 16  # limit for output that a peer causes (KeyUpdate) but does not read
RECORD_HEADER_BYTES = 5  # type, version and length (RFC 8446, 5.1)


class Phase(Enum):
    """The state of a connection."""

    HANDSHAKE = "handshake"
    OPEN = "open"
    ENDED = "ended"  # the peer sent close_notify
    FAILED = "failed"


class RecordTracker:
    """Tracks the framing of TLS records, to tell whether the received bytes end at a record boundary."""

    def __init__(self) -> None:
        self.partial_header = b""
        self.remaining = 0  # bytes of the current record that have not been received

    def feed(self, data: bytes) -> None:
        """Process received bytes, of which only the record headers are parsed."""
        position = 0
        end = len(data)
        if self.at_boundary and _is_one_record(data):
            return  # one whole record: the most frequent case
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
        """Whether no record is incomplete."""
        return not self.remaining and not self.partial_header


def _is_one_record(data: bytes) -> bool:
    size = len(data)
    return size > RECORD_HEADER_BYTES and size == RECORD_HEADER_BYTES + (data[3] << 8 | data[4])


class TlsMachine:
    """The TLS state of one connection.

    `session` is a session to resume, from an earlier connection with the same context. `own_certificate` is
    whether the context has a certificate of our own.

    After `feed`, check `plaintext`, `phase` and `failure`, and send `take_output()`.
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
        self.has_received = False  # whether any plaintext was received
        self.may_have_ticket = True  # a ticket may have been received since this was last set to False
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
            return  # bytes after the end are ignored (RFC 8446, 6.1)
        self.record_tracker.feed(chunk)
        self.incoming.write(chunk)
        if self.phase is Phase.HANDSHAKE:
            self._continue_handshake()
        if self.phase is Phase.OPEN:
            length_before = len(self.plaintext)
            self._read()
            self.may_have_ticket = self.may_have_ticket or len(self.plaintext) == length_before

    def connection_closed(self) -> None:
        """Record that the peer closed the TCP connection."""
        if self.phase is Phase.HANDSHAKE:
            self._fail(TlsError(Failure.HANDSHAKE_CUT))
        elif self.phase is Phase.OPEN:
            self._fail(TlsError(Failure.TRUNCATED, "no close_notify"))

    def send(self, data: bytes) -> None:
        """Encrypt bytes for the peer. Raise TlsError if the connection is not open."""
        if self.phase is not Phase.OPEN:
            raise self.failure or TlsError(Failure.ALERT, "the peer has ended the connection")
        try:
            self.tls.write(data)
        except ssl.SSLError as error:
            raise self._fail_with(error) from error

    def close(self) -> None:
        """Produce a close_notify, so that the peer can tell this end from a truncation."""
        if self.phase in (Phase.OPEN, Phase.ENDED):
            # `unwrap` raises an error, as the peer's close_notify is not awaited.
            with contextlib.suppress(ssl.SSLError):
                self.tls.unwrap()

    def take_output(self) -> bytes:
        """Remove and return the bytes to send to the peer."""
        return self.outgoing.read()

    def take_plaintext(self) -> bytes:
        """Remove and return the decrypted bytes."""
        data = bytes(self.plaintext)
        self.plaintext.clear()
        return data

    @property
    def quiescent(self) -> bool:
        """Whether the connection is open, with no plaintext or partial record left and little unsent output.

        Any plaintext received after that belongs to the response to the next request.
        """
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
        """The partner's certificate in DER; from the full handshake if the session was resumed."""
        return self.tls.getpeercert(binary_form=True) or b""

    def chain(self) -> list[bytes]:
        """Return the verified chain in DER, the partner's own certificate first.

        Where Python does not provide the chain, only the partner's own certificate is returned.
        """
        ssl_object = getattr(self.tls, "_sslobj", None)  # no public API before Python 3.13
        verified_chain = getattr(ssl_object, "get_verified_chain", lambda: None)() or []
        chain = [ssl.PEM_cert_to_DER_cert(certificate.public_bytes()) for certificate in verified_chain]
        return chain or [self.peer_certificate]

    def session(self) -> ssl.SSLSession | None:
        """Return a session to resume later, or None if there is none yet: TLS 1.3 sends it in a ticket."""
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
            # The cipher and the version are saved, as OpenSSL no longer returns them after a failure.
            cipher = self.tls.cipher()
            self.version = self.tls.version() or ""
            self.cipher = cipher[0] if cipher else ""

    def _read(self) -> None:
        try:
            while data := self.tls.read(MAX_CHUNK_BYTES):
                self.plaintext += data
                self.has_received = True
                if not self.incoming.pending and not self.tls.pending():
                    return  # the usual case: another read would only raise SSLWantReadError
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
