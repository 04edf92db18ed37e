"""The TLS machine against OpenSSL's server side, both in memory: outcomes, failures, and split input."""

from __future__ import annotations

import socket
import ssl
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from random import Random

import pytest
from cryptography.x509.oid import ExtendedKeyUsageOID
from hypothesis import given
from hypothesis import strategies as st

from honeyhitch.policy.events import EndpointListing
from honeyhitch.tls.failures import Failure, TlsError
from honeyhitch.tls.machine import Phase, RecordTracker, TlsMachine
from honeyhitch.tls.material import load
from honeyhitch.tls.partners import Partners
from honeyhitch.tls.settings import Partner, Scope, Terms, TlsSettings

from .authority import Authority, Issued
from .tls_partner import require_client_certificate, server_context
from .world import settings

HELLO, ANSWER = b"POST / HTTP/1.1\r\n\r\n", b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


class Server:
    """The server side of a connection, without a socket."""

    def __init__(self, context: ssl.SSLContext) -> None:
        self.incoming, self.outgoing = ssl.MemoryBIO(), ssl.MemoryBIO()
        self.tls = context.wrap_bio(self.incoming, self.outgoing, server_side=True)
        self.handshake_complete, self.got, self.error = False, b"", ""

    def take(self, data: bytes) -> bytes:
        """Process received bytes and return the bytes to send."""
        if data:
            self.incoming.write(data)
        try:
            if not self.handshake_complete:
                self.tls.do_handshake()
                self.handshake_complete = True
            while plaintext := self.tls.read(65536):
                self.got += plaintext
        except ssl.SSLWantReadError:
            pass
        except ssl.SSLError as error:
            self.error = str(error.reason)
        return self.outgoing.read()


def connect(machine: TlsMachine, server: Server, split: Callable[[bytes], list[bytes]] | None = None) -> None:
    """Exchange bytes between both sides until neither has any to send."""
    while True:
        client_output = machine.take_output()
        server_output = server.take(client_output)
        for chunk in split(server_output) if split is not None else [server_output] if server_output else []:
            machine.feed(chunk)
        if not client_output and not server_output:
            return


@pytest.fixture(scope="module")
def pki(tmp_path_factory: pytest.TempPathFactory) -> Authority:
    return Authority(tmp_path_factory.mktemp("pki"))


@pytest.fixture(scope="module")
def server_cert(pki: Authority) -> Issued:
    return pki.issue()


def client(terms: Terms, server_name: str = "localhost", session: ssl.SSLSession | None = None) -> TlsMachine:
    material = load(terms, {}, time.time_ns())
    return TlsMachine(material.context, server_name, session, material.own_certificate is not None)


@pytest.mark.parametrize("version", ["1.2", "1.3"])
@pytest.mark.parametrize("kind", ["ecdsa", "rsa"])
def test_both_versions_and_kinds_of_key(pki: Authority, version: str, kind: str) -> None:
    server = Server(server_context(pki.issue(kind=kind), version, version))
    machine = client(Terms(ca=pki.file))
    connect(machine, server)
    assert machine.phase is Phase.OPEN
    assert machine.version == f"TLSv{version}"
    assert machine.cipher
    machine.send(HELLO)
    connect(machine, server)
    assert server.got == HELLO
    server.tls.write(ANSWER)
    machine.feed(server.outgoing.read())
    assert machine.take_plaintext() == ANSWER
    assert machine.quiescent
    server.tls.write(b"x")
    with pytest.raises(ssl.SSLWantReadError):
        server.tls.unwrap()
    machine.feed(server.outgoing.read())
    assert machine.take_plaintext() == b"x"
    assert machine.phase is Phase.ENDED  # type: ignore[comparison-overlap]  # the phase changes as bytes are fed
    assert machine.failure is None
    with pytest.raises(TlsError):
        machine.send(HELLO)


def test_names_are_matched_by_the_san_alone_dns_and_ip(pki: Authority) -> None:
    for names, server_name, matches in (
        (("partner.example",), "partner.example", True),
        (("*.partner.example",), "a.partner.example", True),
        (("*.partner.example",), "a.b.partner.example", False),
        (("127.0.0.1",), "127.0.0.1", True),
        (("127.0.0.1",), "127.0.0.2", False),
        (("partner.example",), "127.0.0.1", False),
        ((), "nobody", False),
    ):
        machine = client(Terms(ca=pki.file), server_name)
        connect(machine, Server(server_context(pki.issue(names))))
        if matches:
            assert machine.phase is Phase.OPEN, (names, server_name)
        else:
            assert machine.failure is not None, server_name
            assert machine.failure.failure is Failure.WRONG_NAME, server_name


def cases(pki: Authority, folder: Path) -> Iterator[tuple[Failure, Terms, ssl.SSLContext]]:
    terms = Terms(ca=pki.file)
    other_authority = Authority(folder, "Other CA")
    yield Failure.UNTRUSTED, Terms(ca=other_authority.file), server_context(pki.issue())
    yield Failure.EXPIRED, terms, server_context(pki.issue(start=-9, end=-1))
    yield Failure.NOT_YET_VALID, terms, server_context(pki.issue(start=1))
    client_certificate = pki.issue(extended_key_usage=ExtendedKeyUsageOID.CLIENT_AUTH)
    yield Failure.WRONG_USE, terms, server_context(client_certificate)
    revoked = pki.issue()
    crl = pki.crl(revoked, file="revoked.pem")
    yield Failure.REVOKED, Terms(ca=pki.file, crl=crl), server_context(revoked)
    expired_crl = pki.crl(end=-1, file="stale.pem")
    yield Failure.CRL_UNUSABLE, Terms(ca=pki.file, crl=expired_crl), server_context(pki.issue())
    other_crl = other_authority.crl(file="foreign.pem")
    yield Failure.CRL_UNUSABLE, Terms(ca=pki.file, crl=other_crl), server_context(pki.issue())
    only_tls_1_3 = Terms(ca=pki.file, least_version="1.3")
    yield Failure.NO_COMMON_VERSION, only_tls_1_3, server_context(pki.issue(), "1.2", "1.2")
    without_common_cipher = server_context(pki.issue(), "1.2", "1.2")
    without_common_cipher.set_ciphers("AES128-SHA")
    yield Failure.HANDSHAKE_REJECTED, terms, without_common_cipher
    requires_certificate = require_client_certificate(server_context(pki.issue(), "1.2", "1.2"), pki.file)
    yield Failure.HANDSHAKE_REJECTED, terms, requires_certificate
    own = other_authority.issue(("us",), extended_key_usage=ExtendedKeyUsageOID.CLIENT_AUTH)
    terms_with_own = Terms(ca=pki.file, certificate=own.cert_file, key=own.key_file)
    yield Failure.OUR_CERTIFICATE_REJECTED, terms_with_own, requires_certificate


def test_each_failure_has_its_name_and_nothing_falls_back(pki: Authority, tmp_path: Path) -> None:
    for failure, terms, context in cases(pki, tmp_path):
        machine, server = client(terms), Server(context)
        connect(machine, server)
        assert machine.phase is Phase.FAILED, failure
        assert machine.failure is not None, failure
        assert machine.failure.failure is failure, (failure, machine.failure)
        assert failure.lasting, "a lasting failure is not an outage and must not be probed"
        with pytest.raises(TlsError):
            machine.send(HELLO)
        assert server.got == b""


@pytest.mark.parametrize(
    ("garbage", "failure"),
    [
        (b"HTTP/1.1 400 Bad Request\r\n\r\n", Failure.NOT_TLS),
        (b"220 smtp ready\r\n", Failure.NOT_TLS),
        (b"\x16\x03\x03\xff\xff" + bytes(70000), Failure.NOT_TLS),
        (b"\x15\x03\x03\x00\x02\x02\x50", Failure.OVERLOADED),
        (b"\x15\x03\x03\x00\x02\x02\x70", Failure.NAME_UNKNOWN_TO_SERVER),
        (b"\x17\x03\x03\x00\x02\x02\x50", Failure.MALFORMED_RECORD),
    ],
)
def test_garbage_instead_of_a_handshake(pki: Authority, garbage: bytes, failure: Failure) -> None:
    machine = client(Terms(ca=pki.file))
    machine.feed(garbage)
    assert machine.failure is not None
    assert machine.failure.failure is failure, machine.failure
    machine.feed(garbage)  # bytes after the failure are ignored
    assert not machine.plaintext


@pytest.mark.parametrize("version", ["1.2", "1.3"])
def test_ends_and_garbage_on_an_open_connection(pki: Authority, server_cert: Issued, version: str) -> None:
    def open_connection() -> tuple[TlsMachine, Server]:
        machine, server = client(Terms(ca=pki.file)), Server(server_context(server_cert, version, version))
        connect(machine, server)
        return machine, server

    machine, server = open_connection()
    machine.connection_closed()
    assert machine.failure is not None
    assert machine.failure.failure is Failure.TRUNCATED
    machine, server = open_connection()
    server.tls.write(b"part of an answer")
    machine.feed(server.outgoing.read() + b"\x17\x03\x03\x00\x10" + bytes(16))
    assert machine.take_plaintext() == b"part of an answer", "data before the corrupt record is returned"
    assert machine.failure is not None
    assert machine.failure.failure is Failure.MALFORMED_RECORD
    machine, server = open_connection()
    server.tls.write(b"x" * 20000)
    data = server.outgoing.read()
    machine.feed(data[:-1])
    assert not machine.quiescent
    assert not machine.record_tracker.at_boundary
    machine.take_plaintext()
    machine.feed(data[-1:])
    machine.take_plaintext()
    assert machine.quiescent


@pytest.mark.parametrize("own", [True, False])
def test_a_late_rejection_of_our_certificate_proves_that_no_request_was_executed(
    pki: Authority, tmp_path: Path, own: bool
) -> None:
    other_authority = Authority(tmp_path, "Other CA")
    ours = other_authority.issue(("us",), extended_key_usage=ExtendedKeyUsageOID.CLIENT_AUTH)
    terms = Terms(ca=pki.file, certificate=ours.cert_file, key=ours.key_file) if own else Terms(ca=pki.file)
    server = Server(require_client_certificate(server_context(pki.issue(), "1.3", "1.3"), pki.file))
    machine = client(terms)
    server_output = server.take(machine.take_output())
    machine.feed(server_output)
    assert machine.phase is Phase.OPEN, "the client's handshake ends before the server verifies it"
    machine.send(HELLO)
    machine.feed(server.take(machine.take_output()))
    assert machine.failure is not None
    assert machine.failure.failure is Failure.OUR_CERTIFICATE_REJECTED
    assert server.got == b""


def test_a_certificate_alert_after_a_response_proves_nothing() -> None:
    from honeyhitch.tls import failures

    error = ssl.SSLError(1, "")
    error.reason = "TLSV1_ALERT_UNKNOWN_CA"
    for answered, version, own, failure in (
        (False, "TLSv1.3", True, Failure.OUR_CERTIFICATE_REJECTED),
        (False, "TLSv1.3", False, Failure.ALERT),
        (True, "TLSv1.3", True, Failure.ALERT),
        (False, "TLSv1.2", True, Failure.ALERT),
    ):
        assert failures.classify_connection_error(error, answered, version, own).failure is failure


@pytest.mark.parametrize("version", ["1.2", "1.3"])
def test_sessions_are_resumed_and_a_rejected_one_leads_to_a_full_handshake(
    pki: Authority, server_cert: Issued, version: str
) -> None:
    context = server_context(server_cert, version, version)
    material = load(Terms(ca=pki.file), {}, time.time_ns())
    first = TlsMachine(material.context, "localhost")
    connect(first, Server(context))
    assert not first.resumed
    assert first.quiescent, "received session tickets are not a response"
    session = first.session()
    assert session is not None
    second = TlsMachine(material.context, "localhost", session)
    connect(second, Server(context))
    assert second.resumed
    assert second.peer_certificate == first.peer_certificate
    third = TlsMachine(material.context, "localhost", session)
    # The new context has other ticket keys, as after a restart.
    connect(third, Server(server_context(server_cert, version, version)))
    assert third.phase is Phase.OPEN
    assert not third.resumed


def test_a_server_that_wants_to_renegotiate_gets_no_second_handshake(
    pki: Authority, server_cert: Issued
) -> None:
    material = load(Terms(ca=pki.file), {}, time.time_ns())
    assert material.context.options & ssl.OP_NO_RENEGOTIATION
    assert not material.context.post_handshake_auth
    server = Server(server_context(server_cert, "1.3", "1.3"))
    machine = TlsMachine(material.context, "localhost")
    connect(machine, server)
    # The client did not offer post-handshake authentication.
    with pytest.raises(ssl.SSLError, match="EXTENSION_NOT_RECEIVED"):
        server.tls.verify_client_post_handshake()


@pytest.fixture(scope="module")
def tape(pki: Authority, server_cert: Issued) -> tuple[Authority, Issued]:
    return pki, server_cert


SPLITS = st.lists(st.integers(1, 700), min_size=1, max_size=40)


@given(sizes=SPLITS, version=st.sampled_from(["1.2", "1.3"]), end=st.sampled_from(["clean", "cut", "spoilt"]))
def test_any_split_of_the_bytes_has_the_same_outcome(
    tape: tuple[Authority, Issued], sizes: list[int], version: str, end: str
) -> None:
    pki, cert = tape

    def split(data: bytes) -> list[bytes]:
        pieces, at, i = [], 0, 0
        while at < len(data):
            pieces.append(data[at : at + sizes[i % len(sizes)]])
            at, i = at + sizes[i % len(sizes)], i + 1
        return pieces

    server, machine = Server(server_context(cert, version, version)), client(Terms(ca=pki.file))
    connect(machine, server, split)
    assert machine.phase is Phase.OPEN
    assert machine.quiescent
    machine.send(HELLO)
    connect(machine, server, split)
    server.tls.write(ANSWER * 30)
    data = server.outgoing.read()
    if end == "clean":
        with pytest.raises(ssl.SSLWantReadError):
            server.tls.unwrap()
        data += server.outgoing.read()
    elif end == "spoilt":
        data += b"\x17\x03\x03\x00\x20" + bytes(32)
    for piece in split(data):
        machine.feed(piece)
    if end == "cut":
        machine.connection_closed()
    assert machine.take_plaintext() == ANSWER * 30
    assert server.got == HELLO
    told = machine.failure.failure if machine.failure is not None else None
    assert told is {"clean": None, "cut": Failure.TRUNCATED, "spoilt": Failure.MALFORMED_RECORD}[end]


@given(data=st.binary(max_size=3000), at=st.integers(0, 2000), opened=st.booleans())
def test_no_bytes_make_the_machine_raise(
    tape: tuple[Authority, Issued], data: bytes, at: int, opened: bool
) -> None:
    pki, cert = tape
    server, machine = Server(server_context(cert)), client(Terms(ca=pki.file))
    if opened:
        connect(machine, server)
    else:
        machine.feed(server.take(machine.take_output())[:at])
    machine.feed(data)
    machine.connection_closed()
    assert machine.phase in (Phase.FAILED, Phase.ENDED) or not data
    assert not machine.has_received, "nothing that was not encrypted for us is ever taken for an answer"


@given(lengths=st.lists(st.integers(0, 300), max_size=8), cut=st.integers(0, 2600), step=st.integers(1, 50))
def test_the_frames_are_followed_through_any_split(lengths: list[int], cut: int, step: int) -> None:
    data = b"".join(b"\x17\x03\x03" + length.to_bytes(2) + bytes(length) for length in lengths)[:cut]
    ends, at = {0}, 0
    for length in lengths:
        at += 5 + length
        ends.add(at)
    records = RecordTracker()
    for i in range(0, len(data), step):
        records.feed(data[i : i + step])
    assert records.at_boundary == (len(data) in ends)


def test_pins_and_revocations_are_checked_in_resumed_sessions_too(pki: Authority) -> None:
    now = [time.time_ns()]
    first, backup, stale = pki.issue(), pki.issue(), pki.issue()
    materials = [
        load(Terms(certificate=issued.cert_file, key=issued.key_file), {}, now[0])
        for issued in (stale, backup, first)
    ]
    pins = [material.own_certificate.pin for material in materials if material.own_certificate is not None]
    crl = pki.crl(file="in-service.pem")

    def create_partners(*accepted_pins: bytes) -> Partners:
        terms = Terms(ca=pki.file, crl=crl, pins=accepted_pins, server_name="localhost")
        tls_settings = TlsSettings((Partner(Scope.DEST, "1", terms),))
        return Partners(tls_settings, settings(), {}, lambda: now[0], Random(1))

    def open_connection(partners: Partners, context: ssl.SSLContext) -> TlsMachine:
        state = partners.find("m", 1, "")
        assert state is not None
        key = partners.session_key(state, "127.0.0.1:1")
        machine = partners.create_machine(state, key)
        connect(machine, Server(context))
        assert machine.failure is None, machine.failure
        certificate = partners.verify(state, machine)
        partners.keep_session(state, key, machine, certificate)
        return machine

    context = server_context(first)
    with pytest.raises(TlsError) as error:
        open_connection(create_partners(pins[0], pins[1]), context)
    assert error.value.failure is Failure.PIN_MISMATCH
    partners = create_partners(pins[0], pins[2])  # the first pin is stale, the second one matches
    assert not open_connection(partners, context).resumed
    assert open_connection(partners, context).resumed
    state = partners.find("m", 1, "")
    assert state is not None
    assert partners.find("m", 2, "") is None
    pki.crl(first, file="in-service.pem")
    ((changed, stamps),) = partners.changed_files()
    assert partners.apply_files(changed, stamps, partners.read_files(changed))
    assert state.generation == 1
    assert len(partners.sessions) == 0, "sessions verified with the old revocation list are not resumed"
    key = partners.session_key(state, "127.0.0.1:1")
    machine = partners.create_machine(state, key)
    connect(machine, Server(context))
    assert machine.failure is not None
    assert machine.failure.failure is Failure.REVOKED


def test_an_endpoint_requires_no_open_connection_by_default() -> None:
    assert EndpointListing("e", 1).requires_open_connection is False


def test_key_updates_and_tickets_leave_an_idle_connection_quiescent(pki: Authority) -> None:
    """The server is tlslite-ng, as OpenSSL through Python's ssl module cannot request a KeyUpdate."""
    from tlslite.api import HandshakeSettings, TLSConnection, X509CertChain, parsePEMKey
    from tlslite.constants import KeyUpdateMessageType

    issued = pki.issue()
    chain = X509CertChain()
    chain.parsePemList(issued.cert_file.read_text())
    key = parsePEMKey(issued.key_file.read_text(), private=True)
    client_socket, server_socket = socket.socketpair()
    received: list[bytes] = []

    def serve() -> None:
        handshake_settings = HandshakeSettings()
        handshake_settings.minVersion = handshake_settings.maxVersion = (3, 4)
        handshake_settings.ticketKeys, handshake_settings.ticket_count = [bytes(32)], 2
        server = TLSConnection(server_socket)
        server.handshakeServer(certChain=chain, privateKey=key, settings=handshake_settings)
        for _ in range(2):
            for _ in server.send_keyupdate_request(KeyUpdateMessageType.update_requested):
                pass
        received.append(bytes(server.read(max=len(HELLO), min=len(HELLO))))
        server.write(ANSWER)
        server.close()

    machine = client(Terms(ca=pki.file))
    thread = threading.Thread(target=serve, daemon=True)
    thread.start()
    client_socket.settimeout(10)
    was_open, reply_bytes = False, 0  # bytes sent in reply to the peer's KeyUpdate requests
    while machine.phase is Phase.HANDSHAKE or machine.session() is None or not reply_bytes:
        output = machine.take_output()
        reply_bytes += len(output) if machine.phase is Phase.OPEN and was_open else 0
        was_open = machine.phase is Phase.OPEN
        client_socket.sendall(output)
        if not reply_bytes:
            machine.feed(client_socket.recv(1))
        assert machine.phase in (Phase.HANDSHAKE, Phase.OPEN)
        assert not machine.plaintext
    while not machine.record_tracker.at_boundary:
        machine.feed(client_socket.recv(1))
    assert machine.quiescent
    assert machine.session() is not None
    machine.send(HELLO)
    client_socket.sendall(machine.take_output())
    while machine.phase is Phase.OPEN:
        machine.feed(client_socket.recv(4096))
    thread.join(30)
    assert received == [HELLO]
    assert machine.take_plaintext() == ANSWER
    assert machine.phase is Phase.ENDED
    client_socket.close()
    server_socket.close()
