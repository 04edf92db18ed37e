"""Measures TLS towards partners on loopback and prints a table; `--write` puts it into docs/tls-measured.md.

    python benchmarks/tls.py [--quick] [--write]

Needs requirements-dev.txt. Partners are the tests' stand-ins. CPU is the dispatcher's own: for handshakes the
calls into its machine alone are timed, for messages the program runs as a process of its own. It takes some
three minutes on 8 cores.
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
from tests.program import SETTINGS, free_port, started, write
from tests.rig import endpoint_row
from tests.tls_partner import OK, Session, TlsPartner, asking, server_context
from tests.world import settings

ROOT = Path(__file__).parent.parent
BIG = {
    **SETTINGS,
    "weights": "rough",
    "family-info": {**SETTINGS["family-info"], "call-slots": 64, "per-call": [1, 1]},
    "caps": {**SETTINGS["caps"], "max-open": 3000},
}
PARTNER = '[[tls.partner]]\ndest = 1\nca = "{ca}"\nserver-name = "localhost"\n'
CLIENT = ExtendedKeyUsageOID.CLIENT_AUTH
SET_HANDSHAKES, SET_RATE = 4, 12.0


# Handshakes: CPU of our side alone.


def one_handshake(partners: Partners, context: ssl.SSLContext) -> tuple[float, bool]:
    """CPU seconds of our side, and whether it was resumed; its session is kept."""
    known = partners.find("m", 1, "")
    assert known is not None
    incoming, outgoing = ssl.MemoryBIO(), ssl.MemoryBIO()
    server, up = context.wrap_bio(incoming, outgoing, server_side=True), False
    began = time.thread_time()
    key = partners.session_key(known, "127.0.0.1:1")
    machine = partners.create_machine(known, key)
    out = machine.take_output()
    spent = time.thread_time() - began
    while out or not up:
        incoming.write(out)
        with contextlib.suppress(ssl.SSLWantReadError):
            if not up:
                server.do_handshake()
                up = True
        said = outgoing.read()
        began = time.thread_time()
        machine.feed(said)
        out = machine.take_output()
        spent += time.thread_time() - began
        if machine.failure is not None:
            raise machine.failure
    began = time.thread_time()
    peer = partners.verify(known, machine)
    partners.keep_session(known, key, machine, peer)
    return spent + time.thread_time() - began, machine.resumed


def handshakes(folder: Path, count: int) -> list[str]:
    """Rows: median and 90th percentile in microseconds. The cases take turns, so that all meet the same
    noise.
    """
    pki = Authority(folder)
    cases: dict[tuple[str, str, str], tuple[Partners, ssl.SSLContext, list[float]]] = {}
    for kind, name in (("rsa", "RSA-2048"), ("ecdsa", "ECDSA P-256")):
        issued = pki.issue(kind=kind)
        for version in ("1.2", "1.3"):
            context = server_context(issued, version, version)
            for resume in (False, True):
                terms = Terms(ca=pki.file, server_name="localhost", resume=resume)
                setup = TlsSettings((Partner(Scope.DEST, "1", terms),))
                told = Partners(setup, settings(), {}, time.time_ns, random.Random(1))
                one_handshake(told, context)
                cases[name, version, "resumed" if resume else "full"] = told, context, []
    for _ in range(count):
        for (_, _, what), (told, context, times) in cases.items():
            spent, resumed = one_handshake(told, context)
            assert resumed == (what == "resumed")
            times.append(spent * 1e6)
    rows = []
    for case, (_, _, times) in cases.items():
        p90 = statistics.quantiles(times, n=10)[-1]
        rows.append(f"| {' | '.join(case)} | {statistics.median(times):.0f} | {p90:.0f} |")
    return rows


# Messages: the program as a process of its own.


def cpu(pid: int) -> float:
    """CPU seconds that a process has used, over all its threads."""
    threads = Path(f"/proc/{pid}/task").glob("*/schedstat")
    told = sum(int(thread.read_text().split()[0]) for thread in threads) / 1e9
    if told:
        return told
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()  # in ticks only
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class PlainPartner(asyncio.Protocol):
    """Answers 200 to every request that ends with the body `body`."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the connection to answer on it."""
        self.transport, self.kept = transport, b""

    def data_received(self, data: bytes) -> None:
        """Answer each complete request."""
        self.kept += data
        while b"\r\n\r\nbody" in self.kept:
            self.kept = self.kept.partition(b"\r\n\r\nbody")[2]
            self.transport.write(OK)  # type: ignore[attr-defined]


def enqueue(name: str, dest: int, left: int = 15000) -> bytes:
    """The command that submits one message; `left` is its time in milliseconds."""
    fields = f"c=standard,t=studio,d={left},k=k-{name},dest={dest}"
    parts = [b"ENQUEUE", b"0", name.encode(), fields.encode(), b"body"]
    return b"*5\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(part), part) for part in parts)


async def per_message(folder: Path, blocks: int, count: int) -> tuple[list[float], list[float]]:
    """CPU microseconds a message in blocks over plain and over TLS in turn."""
    pki, loop = Authority(folder), asyncio.get_running_loop()
    context = server_context(pki.issue())
    plain = await loop.create_server(PlainPartner, "127.0.0.1", 0)
    secure = await loop.create_server(PlainPartner, "127.0.0.1", 0, ssl=context)
    members = []
    for dest, server in ((1, secure), (2, plain)):
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        members.append({**endpoint_row(f"p{dest}", dest), "host_port": address, "size": 100000.0})
    agent = await Agent(members).start()
    port = free_port()
    # A budget that lets as many connections up as plain ones: it is the kept ones that are compared.
    text = PARTNER.format(ca=pki.file) + "handshakes = 64\nhandshake-rate = 1000\n"
    config, operator = write(folder, port, agent.port, members, text, settings=BIG, limits={"disk_mb": 50})
    program = subprocess.Popen(  # noqa: ASYNC220  # it returns at once
        [sys.executable, "-m", "honeyhitch", "serve", "--config", config, "--operator", str(operator)],
        cwd=ROOT,
    )
    told: dict[int, list[float]] = {1: [], 2: []}
    try:
        while True:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                break
            await asyncio.sleep(0.05)
        number = 0
        for block in range(2 * blocks + 2):  # the first of each kind warms up
            dest = 1 + block % 2
            before, done = cpu(program.pid), 0
            while done < count:
                some = [f"m{number + i}" for i in range(20)]
                number += 20
                writer.write(b"".join(enqueue(name, dest) for name in some))
                for _ in some:
                    assert await reader.readline() == b"+OK\r\n"
                done += 20
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.2)
            if block >= 2:
                told[dest].append((cpu(program.pid) - before) / count * 1e6)
        assert not agent.notices, "each was delivered"
    finally:
        program.terminate()
        program.wait(10)
    return told[2], told[1]


# The program in this process, against stand-in partners.


class Load:
    """Hands in messages on one connection and waits till the partner has applied them."""

    def __init__(self, port: int, partner: TlsPartner) -> None:
        self.port, self.partner, self.sent = port, partner, 0

    async def run(self, count: int, gap: float) -> None:
        """Submit so many messages, `gap` seconds apart."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        for _ in range(count):
            writer.write(enqueue(f"m{self.sent}", 1))
            assert await reader.readline() == b"+OK\r\n"
            self.sent += 1
            await asyncio.sleep(gap)
        writer.close()

    async def applied(self) -> None:
        """Return once the partner has applied all messages submitted so far."""
        while len(self.partner.applied) < self.sent:  # noqa: ASYNC110  # the partner only keeps a list
            await asyncio.sleep(0.02)


@contextlib.asynccontextmanager
async def dispatcher(folder: Path, partner: TlsPartner, more: str = "") -> Any:
    """The program with one partner that speaks TLS; the load and the agent."""
    members = [{**endpoint_row("p0", 1), "host_port": f"127.0.0.1:{partner.port}", "size": 200.0}]
    agent = await Agent(members).start()
    async with started(folder, agent.port, members, more, settings=BIG) as port:
        yield Load(port, partner), agent


async def shares(folder: Path, count: int) -> dict[str, tuple[int, int, int]]:
    """Full, resumed and failed messages in steady load, through a rotation, and through a cold return."""
    pki = Authority(folder)
    ours, fresh = (pki.issue(("us",), use=CLIENT, file=name) for name in ("ours", "fresh"))
    issued = pki.issue()
    partner = TlsPartner(asking(server_context(issued), pki.file))

    async def answer(session: Session, _request: bytes) -> bytes:
        if session.requests >= 10:  # it keeps no connection for long
            return OK.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
        return OK

    partner.answer = answer
    await partner.start()
    text = PARTNER.format(ca=pki.file) + f'certificate = "{ours.cert_file}"\nkey = "{ours.key_file}"\n'
    told = {}
    async with dispatcher(folder, partner, text + "retire-within = 2\n") as (load, agent):

        async def phase(name: str, work: Any) -> None:
            before = partner.full, partner.resumed, len(agent.notices)
            await work
            await load.applied()
            after = partner.full, partner.resumed, len(agent.notices)
            told[name] = tuple(b - a for a, b in zip(before, after, strict=True))

        async def rotate() -> None:
            running = asyncio.ensure_future(load.run(count, 0.01))
            await asyncio.sleep(count * 0.01 / 4)
            partner.context = asking(server_context(pki.issue()), pki.file)  # the partner's
            for source, target in ((fresh.cert_file, ours.cert_file), (fresh.key_file, ours.key_file)):
                new = target.with_suffix(".new")
                new.touch(0o600)
                new.write_bytes(source.read_bytes())
                new.replace(target)  # and ours, which is seen within two seconds
            await running

        async def cold() -> None:
            running = asyncio.ensure_future(load.run(count, 0.01))
            await asyncio.sleep(0.2)
            await partner.stop()
            await asyncio.sleep(1.5)
            partner.context = asking(server_context(issued), pki.file)  # all tickets are void
            await partner.start()
            await running

        await phase("steady", load.run(count, 0.01))
        await phase("rotation", rotate())
        await phase("cold return", cold())
        assert set(partner.applied.values()) == {1}
    return told  # type: ignore[return-value]


def cold_return(seed: int) -> tuple[int, float, int, int]:
    """One cold return: handshakes at once, their weight in a second, delivered, applied twice."""

    async def work() -> tuple[int, float, int, int]:
        rng = random.Random(seed)
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            pki = Authority(folder)
            issued = pki.issue()
            partner = await TlsPartner(server_context(issued)).start()
            text = PARTNER.format(ca=pki.file)
            text += f"handshakes = {SET_HANDSHAKES}\nhandshake-rate = {SET_RATE}\n"
            async with dispatcher(folder, partner, text) as (load, _):
                await load.run(5, 0.01)
                await load.applied()
                await partner.stop()
                await load.run(100, 0.001)
                await asyncio.sleep(rng.uniform(0.1, 1.0))
                await load.run(100, 0.001)
                if rng.random() < 0.7:
                    partner.context = server_context(issued)
                partner.delay = rng.uniform(0.0, 0.1)
                partner.most = 0
                partner.starts.clear()
                await partner.start()
                await asyncio.sleep(5.0)
                doubled = sum(1 for times in partner.applied.values() if times > 1)
                return partner.most, partner.most_in(1.0), len(partner.applied), doubled

    logs.setup("json", "error")
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(work())


# Memory.


def rss() -> int:
    """Bytes of memory that this process has resident."""
    gc.collect()
    return int(Path("/proc/self/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def _serve(port: int, folder: str, ready: Any) -> None:
    async def work() -> None:
        pki_cert = Path(folder)
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.load_cert_chain(pki_cert / "server.crt", pki_cert / "server.key")
        loop = asyncio.get_running_loop()
        await loop.create_server(PlainPartner, "127.0.0.1", port, ssl=context, backlog=1024)
        ready.set()
        await asyncio.Event().wait()

    asyncio.run(work())


def memory(folder: Path, count: int) -> tuple[float, float]:
    """Kilobytes for an open connection with its buffers, and for a cached session."""
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
        kept: list[tuple[TlsChannel, Buffer, ResponseParser]] = []

        async def open_some(some: int) -> None:
            for _ in range(some):
                machine = TlsMachine(material.context, "localhost")
                channel = await open_tls(loop, f"127.0.0.1:{port}", machine)
                await channel.send(b"POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody")
                buffer = Buffer()
                await channel.read(buffer)
                kept.append((channel, buffer, ResponseParser()))

        await open_some(20)
        before = rss()
        await open_some(count)
        each = (rss() - before) / count
        sessions = []
        before = rss()
        cache = SessionCache(10 * count)
        for round_ in range(4):
            for i, (channel, _, _) in enumerate(kept):
                session = channel.machine.session()
                assert session is not None
                sessions.append(session)
                cache.put(
                    SessionKey("dest:1", "localhost", f"{round_}:{i}", 0), session, time.time_ns(), 1 << 62
                )
        cached = (rss() - before) / len(cache)
        assert all(channel.machine.phase is Phase.OPEN for channel, _, _ in kept)
        return each / 1000, cached / 1000

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        told = runner.run(work())
    server.terminate()
    return told


def main() -> None:
    """Run the measurements that the command line asks for."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="fewer of everything")
    parser.add_argument("--write", action="store_true", help="write docs/tls-measured.md")
    asked = parser.parse_args()
    logs.setup("json", "error")
    few = 10 if asked.quick else 1

    def fresh(name: str) -> Path:
        folder = Path(base, name)
        folder.mkdir()
        return folder

    def play(work: Any) -> Any:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return runner.run(work)

    with tempfile.TemporaryDirectory() as base:
        rows = handshakes(fresh("handshakes"), 400 // few)
        each, cached = memory(fresh("memory"), 300 // few)
        plain, secure = play(per_message(fresh("messages"), 30 // few, 400))
        told = play(shares(fresh("shares"), 800 // few))
    with multiprocessing.get_context("spawn").Pool(min(6, os.cpu_count() or 1)) as pool:
        returns = pool.map(cold_return, range(100 // few), chunksize=1)
    ratios = [one / other for one, other in zip(secure, plain, strict=True)]
    quarters = statistics.quantiles(ratios, n=4)
    lines = [
        "# TLS towards partners, measured",
        "",
        f"By `benchmarks/tls.py` on loopback, {os.cpu_count()} cores, Python {platform.python_version()}, "
        f"{ssl.OPENSSL_VERSION}.",
        "",
        f"## CPU of the dispatcher a handshake ({400 // few} each)",
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
            f"| {name} | {statistics.median(found):.0f} | {min(found):.0f} | {max(found):.0f} |"
            for name, found in (("plain", plain), ("TLS", secure))
        ),
        "",
        f"Over pairs of neighbouring blocks TLS takes {quarters[1]:.2f} times what plain does (quartiles "
        f"{quarters[0]:.2f} and {quarters[2]:.2f}); the aim is 1.15 at most.",
        "",
        "## Sessions resumed",
        "",
        f"{800 // few} messages in each phase; the partner closes each connection after its tenth request.",
        "",
        "| phase | full | resumed | share resumed | messages not delivered |",
        "| --- | --- | --- | --- | --- |",
        *(
            f"| {name} | {full} | {resumed} | {resumed / max(1, full + resumed):.0%} | {failed} |"
            for name, (full, resumed, failed) in told.items()
        ),
        "",
        "The rotation is of the partner's certificate and of our own at once; the cold return voids all "
        "tickets.",
        "",
        f"## {len(returns)} seeded cold returns with 200 messages waiting",
        "",
        f"Set: {SET_HANDSHAKES} handshakes at once, {SET_RATE:g} full ones a second (a resumed one counts "
        "a quarter). Seen by the partner in the 5 s after its return:",
        "",
        "| | most | mean | over what was set |",
        "| --- | --- | --- | --- |",
        f"| at once | {max(one[0] for one in returns)} | {statistics.mean(one[0] for one in returns):.1f} | "
        f"{sum(one[0] > SET_HANDSHAKES for one in returns)} |",
        f"| in a second | {max(one[1] for one in returns):.2f} | "
        f"{statistics.mean(one[1] for one in returns):.2f} | {sum(one[1] > SET_RATE for one in returns)} |",
        "",
        "A cold partner gets 0.3 of what was set at first and all of it after 14 s: a budget that did not "
        "ramp would show here as more than 3.6 in a second.",
        "",
        f"Messages applied twice: {sum(one[3] for one in returns)}.",
        "",
        "## Memory",
        "",
        "| | kB |",
        "| --- | --- |",
        f"| an open connection, with its buffers and answer machine | {each:.1f} |",
        f"| a cached session | {cached:.1f} |",
    ]
    text = "\n".join(lines) + "\n"
    print(text)
    if asked.write:
        (ROOT / "docs" / "tls-measured.md").write_text(text)


if __name__ == "__main__":
    main()
