"""The whole program against test partners that speak TLS on loopback, with faults and rotations."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import subprocess
import sys
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import Any

import pytest
from cryptography.x509.oid import ExtendedKeyUsageOID

from honeyhitch import logs
from honeyhitch.journal.record_codec import decode_frames

from .agent import Agent
from .authority import Authority, Issued
from .broker import Broker
from .polling import poll_condition
from .program import SETTINGS, Peer, free_port, run_async_test, running_program, write_config_files
from .rig import endpoint_row
from .test_program import OPERATOR, Client, receive, set_reasons
from .tls_partner import OK, Session, TlsPartner, require_client_certificate, server_context

CLIENT_AUTH = ExtendedKeyUsageOID.CLIENT_AUTH

# With `rough`, the listed `size` of an endpoint is a rough rate in calls a second.
ROUGH_RATES = {**SETTINGS, "weights": "rough"}
PARTNER = '[[tls.partner]]\ndest = 1\nca = "{ca}"\nserver-name = "localhost"\n'


@pytest.fixture
def authority(tmp_path: Path) -> Authority:
    (tmp_path / "pki").mkdir()
    return Authority(tmp_path / "pki")


class Log:
    """Collects the log events of the running program."""

    def __init__(self) -> None:
        self.lines: list[str] = []

    def write(self, text: str) -> int:
        self.lines += [line for line in text.splitlines() if line]
        return len(text)

    def flush(self) -> None:
        pass

    def isatty(self) -> bool:
        return False

    def events(self, name: str) -> list[dict[str, Any]]:
        events = [json.loads(line) for line in self.lines if line.startswith("{")]
        return [event for event in events if event["event"] == name]


@pytest.fixture
def log() -> Any:
    collector = Log()
    logs.setup("json", "info", collector)  # type: ignore[arg-type]
    yield collector
    logs.setup()


@contextlib.asynccontextmanager
async def running(
    folder: Path, partners: list[TlsPartner], operator: str, port: int = 0, **options: Any
) -> AsyncIterator[tuple[int, Peer]]:
    """Run the program with each partner as an endpoint of destination 1, and connect a client."""
    client = Peer()
    agent = await Agent(endpoint_rows(partners)).start()
    options = {"settings": ROUGH_RATES, **options}
    async with running_program(folder, agent.port, agent.members, operator, port, **options) as port:
        await client.dial(port)
        yield port, client


def endpoint_rows(partners: list[TlsPartner]) -> list[dict[str, Any]]:
    return [
        {**endpoint_row(f"p{i}", 1), "host_port": f"127.0.0.1:{partner.port}"}
        for i, partner in enumerate(partners)
    ]


async def submit(client: Peer, name: str, left: int = 15000) -> None:
    assert client.connection is not None
    fields = f"c=standard,t=studio,d={left},k=k-{name},dest=1"
    parts = [b"ENQUEUE", b"0", name.encode(), fields.encode(), b"body"]
    client.connection[1].write(b"*5\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(part), part) for part in parts))
    await receive(client, b"+OK\r\n")


async def wait_until(condition: Callable[[], object]) -> None:
    """Wait until a condition of this process holds, within the time limit of the whole test."""
    await poll_condition(condition, interval=0.005)


@pytest.mark.parametrize("version", ["1.2", "1.3"])
def test_messages_are_delivered_on_reused_and_resumed_connections(
    tmp_path: Path, authority: Authority, version: str
) -> None:
    async def work() -> None:
        partner = await TlsPartner(server_context(authority.issue(), version, version)).start()
        async with running(tmp_path, [partner], PARTNER.format(ca=authority.file)) as (_, client):
            await submit(client, "one")
            await wait_until(lambda: partner.applied["k-one"])
            await submit(client, "two")
            await wait_until(lambda: partner.applied["k-two"])
            assert (partner.full, partner.resumed) == (1, 0), "the second message reused the first connection"
            for session in list(partner.sessions):
                with contextlib.suppress(Exception):
                    session.tls.unwrap()
                await partner.flush(session)
                session.writer.close()
            await wait_until(lambda: not partner.sessions)
            await submit(client, "three")
            await wait_until(lambda: partner.applied["k-three"])
        assert (partner.full, partner.resumed) == (1, 1)
        assert set(partner.applied.values()) == {1}

    run_async_test(work())


@pytest.mark.parametrize("fault", ["split", "no-resumption", "restart"])
def test_no_message_is_lost_to_split_writes_missing_tickets_or_restarts(
    tmp_path: Path, authority: Authority, fault: str
) -> None:
    async def work() -> None:
        issued = authority.issue()
        partner = await TlsPartner(server_context(issued)).start()
        if fault == "split":
            partner.max_write_bytes = 1
        if fault == "no-resumption":
            partner.context.num_tickets = 0
        async with running(tmp_path, [partner], PARTNER.format(ca=authority.file)) as (_, client):
            for i in range(6):
                await submit(client, f"m{i}")
                if fault == "restart" and i in (2, 4):
                    await wait_until(lambda i=i: partner.applied[f"k-m{i}"])  # type: ignore[misc]
                    await partner.stop()
                    partner.context = server_context(issued)  # new ticket keys: all sessions are lost
                    await partner.start()
            await wait_until(lambda: len(partner.applied) == 6)
        assert set(partner.applied.values()) == {1}
        assert not partner.resumed or fault != "no-resumption"

    run_async_test(work())


FAULTS = {
    "wrong-name": {"names": ("other.example",)},
    "expired": {"start": -9, "end": -1},
    "not-yet-valid": {"start": 2},
}


@pytest.mark.parametrize("fault", [*FAULTS, "untrusted", "not-tls"])
def test_a_lasting_failure_is_logged_and_answered_at_once_with_few_handshakes(
    tmp_path: Path, authority: Authority, log: Log, fault: str
) -> None:
    async def work() -> None:
        (tmp_path / "other").mkdir()
        issuer = Authority(tmp_path / "other", "Other CA") if fault == "untrusted" else authority
        partner = TlsPartner(server_context(issuer.issue(**FAULTS.get(fault, {}))))  # type: ignore[arg-type]
        partner.plaintext_prefix = b"220 hello\r\n" if fault == "not-tls" else b""
        await partner.start()
        agent, client = await Agent(endpoint_rows([partner])).start(), Peer()
        operator = PARTNER.format(ca=authority.file)
        async with running_program(
            tmp_path, agent.port, agent.members, operator, settings=ROUGH_RATES
        ) as port:
            await client.dial(port)
            for i in range(20):
                await submit(client, f"m{i}", left=900)
            await wait_until(lambda: len(agent.notices) == 20)
            notices = list(agent.notices.values())
            assert all(notice["status"] == "deferred" and notice["again_ms"] > 0 for notice in notices)
            assert 1 <= partner.begun <= 4
            assert not partner.applied
        failed_handshakes = log.events("tls.handshake-failed")
        assert failed_handshakes
        assert {event["failure"] for event in failed_handshakes} == {fault}
        assert failed_handshakes[0]["member"] == "p0"
        assert failed_handshakes[0]["partner"] == "dest:1"

    run_async_test(work())


def test_a_late_rejection_of_our_certificate_is_recorded_as_not_executed(
    tmp_path: Path, authority: Authority, log: Log
) -> None:
    async def work() -> None:
        (tmp_path / "other").mkdir()
        untrusted = Authority(tmp_path / "other", "Other CA").issue(("us",), extended_key_usage=CLIENT_AUTH)
        own_files = tmp_path / "ours.crt", tmp_path / "ours.key"
        install_own_files(untrusted, *own_files)
        issued = authority.issue()
        partner = await TlsPartner(
            require_client_certificate(server_context(issued, "1.3", "1.3"), authority.file)
        ).start()
        operator = PARTNER.format(ca=authority.file) + 'certificate = "{}"\nkey = "{}"\n'.format(*own_files)
        async with running(tmp_path, [partner], operator) as (_, client):
            await submit(client, "m")
            await wait_until(lambda: log.events("tls.call-broken") or log.events("tls.connection-rejected"))
            install_own_files(authority.issue(("us",), extended_key_usage=CLIENT_AUTH), *own_files)
            os.kill(os.getpid(), signal.SIGHUP)
            await wait_until(lambda: partner.applied["k-m"])
        assert partner.applied == {"k-m": 1}
        failures = log.events("tls.call-broken") + log.events("tls.connection-rejected")
        assert {event["failure"] for event in failures} == {"our-certificate-refused"}
        records = [fields for fields, _, _ in decode_frames((tmp_path / "state" / "journal").read_bytes())]
        attempts = [fields for fields in records if fields["t"] == "attempt"]
        not_executed = [fields for fields in records if fields["t"] == "never"]
        # An attempt that ended before its first byte has no `attempt` record, only a `never` record.
        assert [fields["n"] for fields in not_executed] == list(range(attempts[-1]["n"])), (
            "no attempt but the last was executed"
        )

    run_async_test(work())


def install_own_files(issued: Issued, certificate: Path, key: Path) -> None:
    """Replace our own certificate and key, each file atomically but not both together."""
    for source, target in ((issued.cert_file, certificate), (issued.key_file, key)):
        temporary_path = target.with_suffix(".new")
        temporary_path.touch(0o600)
        temporary_path.write_bytes(source.read_bytes())
        temporary_path.replace(target)


@pytest.mark.parametrize("step", ["accept", "hello", "flight"])
def test_a_partner_that_stalls_in_the_handshake_holds_no_slot(
    tmp_path: Path, authority: Authority, log: Log, step: str
) -> None:
    async def work() -> None:
        stalling = TlsPartner(server_context(authority.issue()))
        stalling.stall = step
        await stalling.start()
        good = await TlsPartner(server_context(authority.issue())).start()
        operator = PARTNER.format(ca=authority.file) + "handshake-timeout = 0.2\n"
        async with running(tmp_path, [stalling, good], operator) as (_, client):
            for i in range(8):
                await submit(client, f"m{i}")
            await wait_until(lambda: len(good.applied) == 8)
        assert set(good.applied.values()) == {1}
        failures = {event["failure"] for event in log.events("tls.handshake-failed")}
        assert failures <= {"stalled"}
        records = [fields for fields, _, _ in decode_frames((tmp_path / "state" / "journal").read_bytes())]
        assert len([fields for fields in records if fields["t"] == "attempt"]) == 8, "no attempt was used up"

    run_async_test(work())


@pytest.mark.parametrize("case", ["same-ca", "overlap", "new-ca"])
def test_a_partners_certificate_rotates_during_a_burst(
    tmp_path: Path, authority: Authority, log: Log, case: str
) -> None:
    async def work() -> None:
        (tmp_path / "other").mkdir()
        other = Authority(tmp_path / "other", "Other CA")
        trust = tmp_path / "trust.pem"
        both_roots = authority.file.read_bytes() + other.file.read_bytes()
        trust.write_bytes(both_roots if case == "overlap" else authority.file.read_bytes())
        partner = await TlsPartner(server_context(authority.issue())).start()
        async with running(tmp_path, [partner], PARTNER.format(ca=trust)) as (_, client):
            for i in range(30):
                await submit(client, f"m{i}")
                if i == 15:
                    partner.context = server_context((authority if case == "same-ca" else other).issue())
                    for session in list(partner.sessions)[::2]:  # some connections end at the rotation
                        partner.close_session(session)
            if case == "new-ca":  # the new certificate is rejected until both roots are loaded
                for session in list(partner.sessions):
                    partner.close_session(session)
                await submit(client, "late")
                await wait_until(lambda: log.events("tls.handshake-failed") or partner.applied["k-late"])
                new_file = tmp_path / "trust.new"
                new_file.write_bytes(both_roots)
                new_file.replace(trust)
                os.kill(os.getpid(), signal.SIGHUP)
                await wait_until(lambda: partner.applied["k-late"])

            def undelivered() -> set[str]:
                return {f"m{i}" for i in range(30) if not partner.applied[f"k-m{i}"]}

            await wait_until(lambda: undelivered() <= (returned(log) if case == "new-ca" else set()))
        assert set(partner.applied.values()) == {1}

    run_async_test(work())


# Guards against a response that a partner writes twice and that is taken for the next call's response.
def test_a_response_that_a_partner_writes_twice_does_not_conclude_the_next_message(
    tmp_path: Path, authority: Authority
) -> None:
    async def work() -> None:
        partner = await TlsPartner(server_context(authority.issue())).start()
        second_calls: list[float] = []

        async def answer(session: Session, request: bytes) -> bytes:
            if b"k-two" not in request or second_calls:
                second_calls.extend([0.0] * (b"k-two" in request))
                return OK
            second_calls.append(0.0)
            session.tls.write(OK)  # once more the response to the first call
            await partner.flush(session)
            await asyncio.sleep(0.1)
            return b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"

        partner.answer = answer
        async with running(tmp_path, [partner], PARTNER.format(ca=authority.file)) as (_, client):
            await submit(client, "one")
            await wait_until(lambda: partner.applied["k-one"])
            await submit(client, "two")
            async with asyncio.timeout(5):
                await wait_until(lambda: len(second_calls) > 1)

    run_async_test(work())


def returned(log: Log) -> set[str]:
    """Return the messages that ended undelivered after an attempt.

    A request that crosses the end of its connection may have been executed. While the partner's certificate
    is rejected for longer than the deduplication window, its message cannot be sent again.
    """
    return {event["message"] for event in log.events("message.ended") if event["attempts"]}


def test_our_own_certificate_is_rotated_under_load_and_half_written_files_change_nothing(
    tmp_path: Path, authority: Authority, log: Log
) -> None:
    async def work() -> None:
        own_files = tmp_path / "ours.crt", tmp_path / "ours.key"
        first, second = (authority.issue(("us",), extended_key_usage=CLIENT_AUTH) for _ in range(2))
        install_own_files(first, *own_files)
        partner = await TlsPartner(
            require_client_certificate(server_context(authority.issue()), authority.file)
        ).start()
        serials: list[int] = []

        async def answer(session: Session, _request: bytes) -> bytes:
            certificate = session.tls.getpeercert()
            assert certificate is not None
            serials.append(int(str(certificate["serialNumber"]), 16))
            return OK

        partner.answer = answer
        operator = PARTNER.format(ca=authority.file) + 'certificate = "{}"\nkey = "{}"\n'.format(*own_files)
        async with running(tmp_path, [partner], operator + "retire-within = 0.5\n") as (_, client):
            await submit(client, "before")
            await wait_until(lambda: len(serials) == 1)
            # The key file still belongs to the old certificate.
            own_files[0].write_bytes(second.cert_file.read_bytes())
            os.kill(os.getpid(), signal.SIGHUP)
            await wait_until(lambda: log.events("tls.files-rejected"))
            await submit(client, "between")
            await wait_until(lambda: len(serials) == 2)
            assert set(serials) == {first.certificate.serial_number}
            install_own_files(second, *own_files)
            os.kill(os.getpid(), signal.SIGHUP)
            i = 0
            while serials[-1] != second.certificate.serial_number:
                await submit(client, f"m{i}")
                await wait_until(lambda: partner.applied[f"k-m{i}"])  # noqa: B023
                i += 1
            await submit(client, "after")
            await wait_until(lambda: partner.applied["k-after"])
        assert set(partner.applied.values()) == {1}
        assert not log.events("tls.handshake-failed")
        rejection = log.events("tls.files-rejected")[0]
        assert "does not belong to the certificate" in rejection["error"]
        assert rejection["partner"] == "dest:1"

    run_async_test(work())


def test_a_partner_with_a_revoked_certificate_gets_no_further_call(
    tmp_path: Path, authority: Authority, log: Log
) -> None:
    async def work() -> None:
        issued, replacement = authority.issue(), authority.issue()
        crl = authority.crl()
        partner = await TlsPartner(server_context(issued)).start()
        operator = PARTNER.format(ca=authority.file) + f'crl = "{crl}"\n'
        async with running(tmp_path, [partner], operator) as (_, client):
            await submit(client, "before")
            await wait_until(lambda: partner.applied["k-before"])
            authority.crl(issued)
            os.kill(os.getpid(), signal.SIGHUP)
            await wait_until(lambda: log.events("tls.files-reloaded"))
            await submit(client, "after")
            await wait_until(lambda: log.events("tls.handshake-failed"))
            assert not partner.applied["k-after"]
            partner.context = server_context(replacement)
            await wait_until(lambda: partner.applied["k-after"])
        assert {event["failure"] for event in log.events("tls.handshake-failed")} == {"revoked"}
        assert set(partner.applied.values()) == {1}

    run_async_test(work())


def test_a_restarted_partner_gets_a_burst_within_its_handshake_budget(
    tmp_path: Path, authority: Authority
) -> None:
    async def work() -> None:
        settings_with_300_open = {**ROUGH_RATES, "caps": {**SETTINGS["caps"], "max-open": 300}}
        issued = authority.issue()
        partner = await TlsPartner(server_context(issued)).start()
        partner.delay = 0.01
        operator = PARTNER.format(ca=authority.file) + "handshakes = 3\nhandshake-rate = 20\n"
        async with running(tmp_path, [partner], operator, settings=settings_with_300_open) as (_, client):
            await submit(client, "warm")
            await wait_until(lambda: partner.applied["k-warm"])
            await partner.stop()
            for i in range(200):
                await submit(client, f"m{i}")
            partner.context = server_context(issued)
            partner.max_running = 0
            partner.starts.clear()
            await partner.start()
            await wait_until(lambda: len(partner.applied) >= 40)
            assert partner.max_running <= 3
            assert partner.max_weight_within(1.0) <= 20
        assert set(partner.applied.values()) == {1}

    run_async_test(work())


def test_a_kill_during_handshakes_neither_loses_nor_repeats_messages(
    tmp_path: Path, authority: Authority
) -> None:
    async def work() -> None:
        partner = TlsPartner(server_context(authority.issue()))
        partner.stall = "flight"
        await partner.start()
        operator, port = PARTNER.format(ca=authority.file), free_port()
        async with running(tmp_path, [partner], operator, port) as (_, client):
            for i in range(5):
                await submit(client, f"m{i}")
            await wait_until(lambda: partner.begun)
        partner.stall = ""
        async with running(tmp_path, [partner], operator, port):
            await wait_until(lambda: len(partner.applied) == 5)
        assert set(partner.applied.values()) == {1}

    run_async_test(work())


def test_handshakes_stay_within_the_descriptor_limit(tmp_path: Path, authority: Authority) -> None:
    async def work() -> None:
        partners = []
        for _ in range(12):
            partner = TlsPartner(server_context(authority.issue()))
            partner.stall = "accept"
            partners.append(await partner.start())
        operator = PARTNER.format(ca=authority.file).replace("dest = 1", 'kind = "small"')
        limits = {"sockets": 60, "disk_mb": 3}
        agent, client = await Peer().start(), Peer()
        endpoints = [
            {**endpoint_row(f"p{i}", i), "host_port": f"127.0.0.1:{partner.port}"}
            for i, partner in enumerate(partners)
        ]
        async with running_program(tmp_path, agent.port, endpoints, operator, limits=limits) as port:
            await client.dial(port)
            assert client.connection is not None
            for i in range(40):
                fields = f"c=standard,t=studio,d=9000,k=k{i},dest={i % 12}"
                parts = [b"ENQUEUE", b"0", b"m%d" % i, fields.encode(), b"body"]
                client.connection[1].write(
                    b"*5\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(p), p) for p in parts)
                )
                await receive(client, b"+OK\r\n")
            client.connection[1].write(b"PING\r\n")
            await receive(client, b"+PONG\r\n")
            await wait_until(lambda: any(partner.sessions for partner in partners))
            open_now = sum(len(partner.sessions) for partner in partners)
            # Each transport may use 2 of the 60 descriptors for connections that are idle or in a handshake.
            # The others are for calls, for clients, and for descriptors that are always open.
            assert 1 <= open_now <= 3, open_now

    run_async_test(work())


def test_an_end_without_close_notify_breaks_only_a_response_that_the_end_delimits(
    tmp_path: Path, authority: Authority, log: Log
) -> None:
    async def work() -> None:
        partner = TlsPartner(server_context(authority.issue()))
        replies = [
            # The end of the connection delimits this body.
            b"HTTP/1.1 500 No\r\nConnection: close\r\n\r\nhalf of a bo",
            # This body is complete by its Content-Length.
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok",
        ]

        async def answer(session: Session, _request: bytes) -> bytes | None:
            session.tls.write(replies.pop(0))
            await partner.flush(session)
            return None  # the connection is closed without close_notify

        partner.answer = answer
        await partner.start()
        async with running(tmp_path, [partner], PARTNER.format(ca=authority.file)) as (_, client):
            await submit(client, "m")
            await wait_until(lambda: not replies)
            journal = tmp_path / "state" / "journal"
            await poll_condition(lambda: b'"end"' in journal.read_bytes(), interval=0.01)
        (broken,) = log.events("tls.call-broken")
        assert broken["failure"] == "truncated"

    run_async_test(work())


def test_the_broker_is_reached_over_tls_and_reconnected_after_a_reload(
    tmp_path: Path, authority: Authority, log: Log
) -> None:
    async def work() -> None:
        broker, agent = Broker(), await Peer().start()
        broker.ssl_context = server_context(authority.issue())
        await broker.start()
        set_reasons(broker, {})
        client = Client(asyncio.get_running_loop())
        trust = tmp_path / "trust.pem"
        trust.write_bytes(authority.file.read_bytes())
        operator = OPERATOR.format(port=broker.port, dest=1)
        operator += f'[mqtt.tls]\nca = "{trust}"\nserver-name = "localhost"\nretire-within = 0.2\n'
        client.paho.tls_set(str(authority.file))
        async with running_program(tmp_path, agent.port, [], operator):
            await asyncio.to_thread(client.connect, broker.port)
            await wait_until(lambda: broker.subscribed("n0-intake", "client"))
            client.submit("one", 1)
            await client.wait_for_answers(1)
            writer_before = broker.sessions["n0-calls"].writer
            (tmp_path / "other").mkdir()
            other = Authority(tmp_path / "other", "Other CA")
            trust.write_bytes(trust.read_bytes() + other.file.read_bytes())
            os.kill(os.getpid(), signal.SIGHUP)
            await wait_until(lambda: log.events("tls.files-reloaded"))
            await wait_until(lambda: broker.sessions["n0-calls"].writer not in (writer_before, None))
            client.submit("two", 1)
            await client.wait_for_answers(2)
        client.paho.disconnect()
        client.paho.loop_stop()
        assert {
            name: [notice["status"] for notice in notices] for name, notices in client.answers.items()
        } == {
            "one": ["delivered"],
            "two": ["delivered"],
        }

    run_async_test(work())


def test_a_broker_with_the_wrong_name_receives_nothing(
    tmp_path: Path, authority: Authority, log: Log
) -> None:
    async def work() -> None:
        broker, agent = Broker(), await Peer().start()
        broker.ssl_context = server_context(authority.issue(("other.example",)))
        await broker.start()
        operator = OPERATOR.format(port=broker.port, dest=1)
        operator += f'[mqtt.tls]\nca = "{authority.file}"\nserver-name = "localhost"\n'
        async with running_program(tmp_path, agent.port, [], operator):
            await wait_until(lambda: len(log.events("tls.handshake-failed")) >= 3)
        assert {event["failure"] for event in log.events("tls.handshake-failed")} == {"wrong-name"}
        assert not broker.sessions

    run_async_test(work())


def test_sigkill_to_the_process_in_the_middle_of_handshakes(tmp_path: Path, authority: Authority) -> None:
    """Kill the process after it delivered one message, while others wait and handshakes are incomplete."""

    async def work() -> None:
        partner = await TlsPartner(server_context(authority.issue())).start()
        agent, port = await Agent(endpoint_rows([partner])).start(), free_port()
        config, operator = write_config_files(
            tmp_path, port, agent.port, agent.members, PARTNER.format(ca=authority.file), settings=ROUGH_RATES
        )
        command = [sys.executable, "-m", "honeyhitch", "serve", "--config", config]
        command += ["--operator", str(operator)]

        async def start() -> tuple[subprocess.Popen[bytes], Peer]:
            program, client = subprocess.Popen(command), Peer()  # noqa: ASYNC220  # Popen returns at once
            while True:
                with contextlib.suppress(OSError):
                    await client.dial(port)
                    return program, client
                await asyncio.sleep(0.02)

        program, client = await start()
        try:
            await submit(client, "ran")
            await wait_until(lambda: partner.applied["k-ran"])
            partner.stall = "flight"
            for session in list(partner.sessions):
                session.writer.transport.abort()
            begun = partner.begun
            for i in range(6):
                await submit(client, f"m{i}")
            await wait_until(lambda: partner.begun > begun)
            program.send_signal(signal.SIGKILL)
            program.wait()
            partner.stall = ""
            program, _ = await start()
            await wait_until(lambda: len(partner.applied) == 7)
        finally:
            program.kill()
            program.wait()
        assert set(partner.applied.values()) == {1}
        assert not agent.notices

    run_async_test(work())


def test_a_partners_certificate_that_expires_soon_is_logged(
    tmp_path: Path, authority: Authority, log: Log
) -> None:
    async def work() -> None:
        partner = await TlsPartner(server_context(authority.issue(end=3))).start()
        async with running(tmp_path, [partner], PARTNER.format(ca=authority.file)) as (_, client):
            await submit(client, "m")
            await wait_until(lambda: partner.applied["k-m"])
        (warning,) = log.events("tls.certificate-expiring")
        assert (warning["whose"], warning["partner"]) == ("partner", "dest:1")
        assert 2 < warning["days_left"] <= 3

    run_async_test(work())
