"""Measure TLS to partners on loopback and print tables; `--write` also writes them to docs/tls-measured.md.

    python benchmarks/tls.py [--quick] [--write]

The benchmark needs the packages of requirements-dev.txt. The partners are the stand-ins of the tests. CPU
time is that of the dispatcher alone: for handshakes only the calls of its TLS code are timed, and for
messages the program runs in a separate process. A full run takes about three minutes on 8 cores.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import gc
import multiprocessing
import os
import platform
import random
import ssl
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parent.parent))

import uvloop
from cryptography.x509.oid import ExtendedKeyUsageOID

from honeyhitch import logs
from honeyhitch.tls.machine import Phase, TlsMachine
from honeyhitch.tls.material import load
from honeyhitch.tls.partners import Partners
from honeyhitch.tls.settings import Partner, Scope, Terms, TlsSettings
from tests.agent import Agent
from tests.authority import Authority
from tests.program import SETTINGS, free_port, running_program, write_config_files
from tests.rig import endpoint_row
from tests.tls_partner import OK, Session, TlsPartner, require_client_certificate, server_context
from tests.world import settings

ROOT = Path(__file__).parent.parent
LARGE_SETTINGS = {
    **SETTINGS,
    "weights": "rough",
    "family-info": {**SETTINGS["family-info"], "call-slots": 64, "per-call": [1, 1]},
    "caps": {**SETTINGS["caps"], "max-open": 3000},
}
PARTNER_TABLE = '[[tls.partner]]\ndest = 1\nca = "{ca}"\nserver-name = "localhost"\n'
CLIENT_AUTH = ExtendedKeyUsageOID.CLIENT_AUTH
MAX_HANDSHAKES, MAX_HANDSHAKE_RATE = 4, 12.0  # at once, and full handshakes a second


# Handshakes: CPU time of the dispatcher's side alone.


def time_handshake(partners: Partners, context: ssl.SSLContext) -> tuple[float, bool]:
    """Perform one handshake and cache its session.

    Return the CPU seconds of the dispatcher's side, and whether the handshake resumed a session.
    """
    partner = partners.find("m", 1, "")
    assert partner is not None
    incoming, outgoing = ssl.MemoryBIO(), ssl.MemoryBIO()
    server, server_done = context.wrap_bio(incoming, outgoing, server_side=True), False
    began = time.thread_time()
    key = partners.session_key(partner, "127.0.0.1:1")
    machine = partners.create_machine(partner, key)
    output = machine.take_output()
    cpu = time.thread_time() - began
    while output or not server_done:
        incoming.write(output)
        with contextlib.suppress(ssl.SSLWantReadError):
            if not server_done:
                server.do_handshake()
                server_done = True
        server_output = outgoing.read()
        began = time.thread_time()
        machine.feed(server_output)
        output = machine.take_output()
        cpu += time.thread_time() - began
        if machine.failure is not None:
            raise machine.failure
    began = time.thread_time()
    certificate = partners.verify(partner, machine)
    partners.keep_session(partner, key, machine, certificate)
    return cpu + time.thread_time() - began, machine.resumed


def measure_handshakes(folder: Path, count: int) -> list[str]:
    """Return a table row for each case, with the median and 90th percentile in microseconds.

    The cases take turns, so that noise of the machine affects all of them alike.
    """
    pki = Authority(folder)
    cases: dict[tuple[str, str, str], tuple[Partners, ssl.SSLContext, list[float]]] = {}
    for kind, name in (("rsa", "RSA-2048"), ("ecdsa", "ECDSA P-256")):
        issued = pki.issue(kind=kind)
        for version in ("1.2", "1.3"):
            context = server_context(issued, version, version)
            for resume in (False, True):
                terms = Terms(ca=pki.file, server_name="localhost", resume=resume)
                tls_settings = TlsSettings((Partner(Scope.DEST, "1", terms),))
                partners = Partners(tls_settings, settings(), {}, time.time_ns, random.Random(1))
                time_handshake(partners, context)
                cases[name, version, "resumed" if resume else "full"] = partners, context, []
    for _ in range(count):
        for (_, _, handshake), (partners, context, times) in cases.items():
            cpu, resumed = time_handshake(partners, context)
            assert resumed == (handshake == "resumed")
            times.append(cpu * 1e6)
    rows = []
    for case, (_, _, times) in cases.items():
        p90 = statistics.quantiles(times, n=10)[-1]
        rows.append(f"| {' | '.join(case)} | {statistics.median(times):.0f} | {p90:.0f} |")
    return rows


# Messages: the program runs in a separate process.


def cpu_seconds(pid: int) -> float:
    """Return the CPU seconds that all threads of a process have used."""
    threads = Path(f"/proc/{pid}/task").glob("*/schedstat")
    seconds = sum(int(thread.read_text().split()[0]) for thread in threads) / 1e9
    if seconds:
        return seconds
    # Without schedstat, the CPU time is known only in clock ticks.
    stat_fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(stat_fields[11]) + int(stat_fields[12])) / os.sysconf("SC_CLK_TCK")


class PlainPartner(asyncio.Protocol):
    """An endpoint that replies with 200 to each request with the body `body`."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport for the replies."""
        self.transport, self.buffer = transport, b""

    def data_received(self, data: bytes) -> None:
        """Reply to each complete request."""
        self.buffer += data
        while b"\r\n\r\nbody" in self.buffer:
            self.buffer = self.buffer.partition(b"\r\n\r\nbody")[2]
            self.transport.write(OK)  # type: ignore[attr-defined]


def enqueue(name: str, dest: int, time_left_ms: int = 15000) -> bytes:
    """Return the command that submits one message; its deadline is in `time_left_ms` milliseconds."""
    fields = f"c=standard,t=studio,d={time_left_ms},k=k-{name},dest={dest}"
    arguments = [b"ENQUEUE", b"0", name.encode(), fields.encode(), b"body"]
    return b"*5\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(argument), argument) for argument in arguments)


async def measure_messages(folder: Path, blocks: int, count: int) -> tuple[list[float], list[float]]:
    """Return the CPU microseconds per message of each block over plain TCP and of each block over TLS.

    Blocks of `count` messages over plain TCP and over TLS take turns.
    """
    pki, loop = Authority(folder), asyncio.get_running_loop()
    context = server_context(pki.issue())
    plain_server = await loop.create_server(PlainPartner, "127.0.0.1", 0)
    tls_server = await loop.create_server(PlainPartner, "127.0.0.1", 0, ssl=context)
    endpoints = []
    for dest, server in ((1, tls_server), (2, plain_server)):
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        endpoints.append({**endpoint_row(f"p{dest}", dest), "host_port": address, "size": 100000.0})
    agent = await Agent(endpoints).start()
    port = free_port()
    # The budget allows as many TLS connections as plain ones, because open connections are compared.
    operator_text = PARTNER_TABLE.format(ca=pki.file) + "handshakes = 64\nhandshake-rate = 1000\n"
    config, operator = write_config_files(
        folder, port, agent.port, endpoints, operator_text, settings=LARGE_SETTINGS, limits={"disk_mb": 50}
    )
    program = subprocess.Popen(  # noqa: ASYNC220  # Popen returns at once
        [sys.executable, "-m", "honeyhitch", "serve", "--config", config, "--operator", str(operator)],
        cwd=ROOT,
    )
    cpu_by_destination: dict[int, list[float]] = {1: [], 2: []}
    try:
        while True:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                break
            await asyncio.sleep(0.05)
        number = 0
        for block in range(2 * blocks + 2):  # the first block of each kind is a warm-up
            dest = 1 + block % 2
            cpu_before, submitted = cpu_seconds(program.pid), 0
            while submitted < count:
                names = [f"m{number + i}" for i in range(20)]
                number += 20
                writer.write(b"".join(enqueue(name, dest) for name in names))
                for _ in names:
                    assert await reader.readline() == b"+OK\r\n"
                submitted += 20
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.2)
            if block >= 2:
                cpu_by_destination[dest].append((cpu_seconds(program.pid) - cpu_before) / count * 1e6)
        assert not agent.notices, "each was delivered"
    finally:
        program.terminate()
        program.wait(10)
    return cpu_by_destination[2], cpu_by_destination[1]


# The program runs in this process, with stand-in partners.


class Load:
    """A client that submits messages and waits until the partner has applied them."""

    def __init__(self, port: int, partner: TlsPartner) -> None:
        self.port, self.partner, self.submitted = port, partner, 0

    async def submit(self, count: int, interval_seconds: float) -> None:
        """Submit `count` messages on one connection, `interval_seconds` apart."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        for _ in range(count):
            writer.write(enqueue(f"m{self.submitted}", 1))
            assert await reader.readline() == b"+OK\r\n"
            self.submitted += 1
            await asyncio.sleep(interval_seconds)
        writer.close()

    async def wait_until_applied(self) -> None:
        """Wait until the partner has applied all messages submitted so far."""
        while len(self.partner.applied) < self.submitted:  # noqa: ASYNC110  # the partner has no event to wait for
            await asyncio.sleep(0.02)


@contextlib.asynccontextmanager
async def running_dispatcher(folder: Path, partner: TlsPartner, operator_text: str = "") -> Any:
    """Run the program with one partner that uses TLS. Yield the client and the discovery agent."""
    endpoints = [{**endpoint_row("p0", 1), "host_port": f"127.0.0.1:{partner.port}", "size": 200.0}]
    agent = await Agent(endpoints).start()
    async with running_program(folder, agent.port, endpoints, operator_text, settings=LARGE_SETTINGS) as port:
        yield Load(port, partner), agent


async def measure_resumption(folder: Path, count: int) -> dict[str, tuple[int, int, int]]:
    """Return full and resumed handshakes and undelivered messages, by phase.

    The phases are a steady load, a rotation of both certificates, and a return of the partner without its
    sessions (a cold return).
    """
    pki = Authority(folder)
    own, new_own = (
        pki.issue(("us",), extended_key_usage=CLIENT_AUTH, file=name) for name in ("ours", "fresh")
    )
    issued = pki.issue()
    partner = TlsPartner(require_client_certificate(server_context(issued), pki.file))

    async def answer(session: Session, _request: bytes) -> bytes:
        if session.requests >= 10:  # the partner closes each connection after 10 requests
            return OK.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
        return OK

    partner.answer = answer
    await partner.start()
    operator_text = (
        PARTNER_TABLE.format(ca=pki.file) + f'certificate = "{own.cert_file}"\nkey = "{own.key_file}"\n'
    )
    counts_by_phase = {}
    async with running_dispatcher(folder, partner, operator_text + "retire-within = 2\n") as (load, agent):

        async def run_phase(name: str, work: Any) -> None:
            before = partner.full, partner.resumed, len(agent.notices)
            await work
            await load.wait_until_applied()
            after = partner.full, partner.resumed, len(agent.notices)
            counts_by_phase[name] = tuple(new - old for old, new in zip(before, after, strict=True))

        async def rotate() -> None:
            running = asyncio.ensure_future(load.submit(count, 0.01))
            await asyncio.sleep(count * 0.01 / 4)
            # Rotate the partner's certificate.
            partner.context = require_client_certificate(server_context(pki.issue()), pki.file)
            for source, target in ((new_own.cert_file, own.cert_file), (new_own.key_file, own.key_file)):
                temporary = target.with_suffix(".new")
                temporary.touch(0o600)
                temporary.write_bytes(source.read_bytes())
                # The dispatcher detects its new certificate within two seconds.
                temporary.replace(target)
            await running

        async def return_cold() -> None:
            running = asyncio.ensure_future(load.submit(count, 0.01))
            await asyncio.sleep(0.2)
            await partner.stop()
            await asyncio.sleep(1.5)
            # The new context accepts no earlier ticket.
            partner.context = require_client_certificate(server_context(issued), pki.file)
            await partner.start()
            await running

        await run_phase("steady", load.submit(count, 0.01))
        await run_phase("rotation", rotate())
        await run_phase("cold return", return_cold())
        assert set(partner.applied.values()) == {1}
    return counts_by_phase  # type: ignore[return-value]


def measure_cold_return(seed: int) -> tuple[int, float, int, int]:
    """Measure a cold return with the delays that the seed draws.

    Return the maximum of concurrent handshakes, the maximum weight of handshakes in a second, the number of
    messages delivered, and the number of messages applied more than once.
    """

    async def work() -> tuple[int, float, int, int]:
        rng = random.Random(seed)
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            pki = Authority(folder)
            issued = pki.issue()
            partner = await TlsPartner(server_context(issued)).start()
            operator_text = PARTNER_TABLE.format(ca=pki.file)
            operator_text += f"handshakes = {MAX_HANDSHAKES}\nhandshake-rate = {MAX_HANDSHAKE_RATE}\n"
            async with running_dispatcher(folder, partner, operator_text) as (load, _):
                await load.submit(5, 0.01)
                await load.wait_until_applied()
                await partner.stop()
                await load.submit(100, 0.001)
                await asyncio.sleep(rng.uniform(0.1, 1.0))
                await load.submit(100, 0.001)
                if rng.random() < 0.7:
                    partner.context = server_context(issued)
                partner.delay = rng.uniform(0.0, 0.1)
                partner.max_running = 0
                partner.starts.clear()
                await partner.start()
                await asyncio.sleep(5.0)
                applied_twice = sum(1 for times in partner.applied.values() if times > 1)
                return (
                    partner.max_running,
                    partner.max_weight_within(1.0),
                    len(partner.applied),
                    applied_twice,
                )

    logs.setup("json", "error")
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(work())


# Memory.


def resident_bytes() -> int:
    """Return the resident memory of this process in bytes."""
    gc.collect()
    return int(Path("/proc/self/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def _serve(port: int, folder: str, ready: Any) -> None:
    async def work() -> None:
        certificate_folder = Path(folder)
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.load_cert_chain(certificate_folder / "server.crt", certificate_folder / "server.key")
        loop = asyncio.get_running_loop()
        await loop.create_server(PlainPartner, "127.0.0.1", port, ssl=context, backlog=1024)
        ready.set()
        await asyncio.Event().wait()

    asyncio.run(work())


def measure_memory(folder: Path, count: int) -> tuple[float, float]:
    """Return the kilobytes of an open connection with its buffers, and of a cached session."""
    from honeyhitch.protocols.buffer import Buffer
    from honeyhitch.protocols.http1 import ResponseParser
    from honeyhitch.tls.sessions import SessionCache, SessionKey
    from honeyhitch.transports.tls_channel import TlsChannel, open_tls

    pki = Authority(folder)
    pki.issue(file="server")
    port, ready = free_port(), multiprocessing.Event()
    server = multiprocessing.Process(target=_serve, args=(port, str(folder), ready), daemon=True)
    server.start()
    ready.wait(30)
    material = load(Terms(ca=pki.file), {}, time.time_ns())

    async def work() -> tuple[float, float]:
        loop = asyncio.get_running_loop()
        connections: list[tuple[TlsChannel, Buffer, ResponseParser]] = []

        async def open_connections(number: int) -> None:
            for _ in range(number):
                machine = TlsMachine(material.context, "localhost")
                channel = await open_tls(loop, f"127.0.0.1:{port}", machine)
                await channel.send(b"POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody")
                buffer = Buffer()
                await channel.read(buffer)
                connections.append((channel, buffer, ResponseParser()))

        await open_connections(20)
        memory_before = resident_bytes()
        await open_connections(count)
        connection_bytes = (resident_bytes() - memory_before) / count
        sessions = []
        memory_before = resident_bytes()
        cache = SessionCache(10 * count)
        for round_ in range(4):
            for i, (channel, _, _) in enumerate(connections):
                session = channel.machine.session()
                assert session is not None
                sessions.append(session)
                cache.put(
                    SessionKey("dest:1", "localhost", f"{round_}:{i}", 0), session, time.time_ns(), 1 << 62
                )
        session_bytes = (resident_bytes() - memory_before) / len(cache)
        assert all(channel.machine.phase is Phase.OPEN for channel, _, _ in connections)
        return connection_bytes / 1000, session_bytes / 1000

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        kilobytes = runner.run(work())
    server.terminate()
    return kilobytes


def main() -> None:
    """Run all measurements, print the tables, and write them to the page if asked."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="fewer of everything")
    parser.add_argument("--write", action="store_true", help="write docs/tls-measured.md")
    options = parser.parse_args()
    logs.setup("json", "error")
    divisor = 10 if options.quick else 1

    def make_folder(name: str) -> Path:
        folder = Path(base, name)
        folder.mkdir()
        return folder

    def run_in_loop(work: Any) -> Any:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return runner.run(work)

    with tempfile.TemporaryDirectory() as base:
        rows = measure_handshakes(make_folder("handshakes"), 400 // divisor)
        connection_kb, session_kb = measure_memory(make_folder("memory"), 300 // divisor)
        plain, secure = run_in_loop(measure_messages(make_folder("messages"), 30 // divisor, 400))
        counts_by_phase = run_in_loop(measure_resumption(make_folder("shares"), 800 // divisor))
    with multiprocessing.get_context("spawn").Pool(min(6, os.cpu_count() or 1)) as pool:
        returns = pool.map(measure_cold_return, range(100 // divisor), chunksize=1)
    ratios = [tls_cpu / plain_cpu for tls_cpu, plain_cpu in zip(secure, plain, strict=True)]
    quarters = statistics.quantiles(ratios, n=4)
    lines = [
        "# TLS towards partners, measured",
        "",
        f"By `benchmarks/tls.py` on loopback, {os.cpu_count()} cores, Python {platform.python_version()}, "
        f"{ssl.OPENSSL_VERSION}.",
        "",
        f"## CPU of the dispatcher a handshake ({400 // divisor} each)",
        "",
        "| key | TLS | handshake | median, µs | 90th percentile, µs |",
        "| --- | --- | --- | --- | --- |",
        *rows,
        "",
        "## CPU a message on kept connections",
        "",
        f"{len(plain)} blocks of 400 messages over plain and as many over TLS 1.3 in turn, the same process.",
        "",
        "| | median, µs | least, µs | most, µs |",
        "| --- | --- | --- | --- |",
        *(
            f"| {name} | {statistics.median(values):.0f} | {min(values):.0f} | {max(values):.0f} |"
            for name, values in (("plain", plain), ("TLS", secure))
        ),
        "",
        f"Over pairs of neighbouring blocks TLS takes {quarters[1]:.2f} times what plain does (quartiles "
        f"{quarters[0]:.2f} and {quarters[2]:.2f}); the aim is 1.15 at most.",
        "",
        "## Sessions resumed",
        "",
        f"{800 // divisor} messages in each phase; the partner closes each connection after its tenth "
        "request.",
        "",
        "| phase | full | resumed | share resumed | messages not delivered |",
        "| --- | --- | --- | --- | --- |",
        *(
            f"| {name} | {full} | {resumed} | {resumed / max(1, full + resumed):.0%} | {failed} |"
            for name, (full, resumed, failed) in counts_by_phase.items()
        ),
        "",
        "The rotation is of the partner's certificate and of our own at once; the cold return voids all "
        "tickets.",
        "",
        f"## {len(returns)} seeded cold returns with 200 messages waiting",
        "",
        f"Set: {MAX_HANDSHAKES} handshakes at once, {MAX_HANDSHAKE_RATE:g} full ones a second (a resumed "
        "one counts a quarter). Seen by the partner in the 5 s after its return:",
        "",
        "| | most | mean | over what was set |",
        "| --- | --- | --- | --- |",
        f"| at once | {max(result[0] for result in returns)} | "
        f"{statistics.mean(result[0] for result in returns):.1f} | "
        f"{sum(result[0] > MAX_HANDSHAKES for result in returns)} |",
        f"| in a second | {max(result[1] for result in returns):.2f} | "
        f"{statistics.mean(result[1] for result in returns):.2f} | "
        f"{sum(result[1] > MAX_HANDSHAKE_RATE for result in returns)} |",
        "",
        "A cold partner gets 0.3 of what was set at first and all of it after 14 s: a budget that did not "
        "ramp would show here as more than 3.6 in a second.",
        "",
        f"Messages applied twice: {sum(result[3] for result in returns)}.",
        "",
        "## Memory",
        "",
        "| | kB |",
        "| --- | --- |",
        f"| an open connection, with its buffers and answer machine | {connection_kb:.1f} |",
        f"| a cached session | {session_kb:.1f} |",
    ]
    text = "\n".join(lines) + "\n"
    print(text)
    if options.write:
        (ROOT / "docs" / "tls-measured.md").write_text(text)


if __name__ == "__main__":
    main()
