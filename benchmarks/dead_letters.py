"""Measures undelivered messages on loopback and prints tables; `--write` puts them into
docs/undelivered-measured.md.

    python benchmarks/undelivered.py [--quick] [--write]

Needs requirements-dev.txt. Partners and clients are the tests' stand-ins. It takes some five minutes on 8
cores.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import platform
import random
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parent.parent))

import uvloop

from honeyhitch import config as configuration
from honeyhitch import logs
from honeyhitch.dead_letters import operations
from honeyhitch.dead_letters.filters import RecordFilter
from honeyhitch.dead_letters.records import Record, RecordStatus
from honeyhitch.dead_letters.rules import Step, plan_record
from honeyhitch.dead_letters.settings import Action, ResendSettings, Rule
from honeyhitch.dead_letters.store import Store
from honeyhitch.journal.transactions import Attempt
from honeyhitch.service.run import run
from tests.agent import Agent
from tests.partner import Partner
from tests.program import SETTINGS, free_port, write
from tests.resend_world import run_day
from tests.rig import endpoint_row

ROOT = Path(__file__).parent.parent
SECOND = 10**9  # ns
MEMORY = Path("/dev/shm")  # virtual days need no disk
UNSAFE = {
    "name": "order", "semantics": "side_effect", "aim": 2 * SECOND, "deadline": 6 * SECOND, "window": 0,
    "group": "all",
}  # fmt: skip
BIG = {
    **SETTINGS,
    "weights": "rough",
    "classes": [*SETTINGS["classes"], UNSAFE],
    "family-info": {**SETTINGS["family-info"], "call-slots": 64, "per-call": [1, 1]},
    "caps": {**SETTINGS["caps"], "max-open": 3000},
}
RULE = """
[undelivered]
copies = "here"

[[undelivered.rule]]
action = "resend"
healthy = 1
rate = 20
"""


# Seeded days with kills, in virtual time.


def one_day(seed: int) -> tuple[int, int, int, int, int]:
    """Messages, kills, records resent, applied twice, and not settled though a rule allows."""
    logs.setup("json", "error")
    rng = random.Random(seed * 7919)
    with tempfile.TemporaryDirectory(dir=MEMORY if MEMORY.is_dir() else None) as folder:
        kills = tuple(rng.randrange(1, 800) for _ in range(rng.randrange(5)))
        told = run_day(Path(folder) / "day", seed, kills)
        resent = sum(one.record.resend_count for one in told.rig.store.page(RecordFilter(), limit=1000))
        found = len(told.clients), told.kills, resent, len(told.applied_twice()), len(told.unresolved())
        told.rig.close_as_killed()
        return found


def days(count: int) -> list[str]:
    with ProcessPoolExecutor() as workers:
        told = list(workers.map(one_day, range(100_000, 100_000 + count), chunksize=8))
    sums = [sum(one[i] for one in told) for i in range(5)]
    names = ("messages", "kills", "resends", "applied twice", "resendable and not settled")
    return [f"| {name} | {value} |" for name, value in zip(names, sums, strict=True)]


# The program as a process of its own, with a probe of its loop.


async def probe(found: list[float]) -> None:
    """How late the loop comes to a timer of 1 ms, seconds."""
    while True:
        due = time.perf_counter() + 0.001
        await asyncio.sleep(0.001)
        found.append(time.perf_counter() - due)


def serve(path: str, operator: str | None) -> None:
    """Run the program till SIGTERM, then tell the loop's delays and the CPU used."""
    logs.setup("json", "error")
    found: list[float] = []

    async def work() -> None:
        watch = asyncio.ensure_future(probe(found))

        def fresh() -> None:  # from here on it counts
            found.clear()
            began.append(time.process_time())

        def tell() -> None:
            told = time.process_time() - began[-1], sorted(found)[-200:], len(found)
            print(json.dumps(told), flush=True)

        asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, fresh)
        began.append(time.process_time())
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(
            signal.SIGUSR2,
            lambda: print(
                json.dumps([time.process_time() - began[-1], sorted(found)[-200:], len(found)]), flush=True
            ),
        )
        config = configuration.read({}, path, operator)
        await run(config, lambda before: config)
        watch.cancel()

    began: list[float] = []
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(work())


class Clocked(Partner):
    """Remembers when each body came."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.came: dict[bytes, float] = {}

    def on_call(self, body: bytes) -> None:
        self.came[body[:16].strip()] = time.perf_counter()


@contextlib.asynccontextmanager
async def program(folder: Path, operator: str | None, partner: Partner) -> AsyncIterator[tuple[int, Any]]:
    """The port, and the process."""
    member = {**endpoint_row("s-1", 1), "host_port": f"127.0.0.1:{partner.port}", "size": 2000.0}
    agent, port = await Agent([member]).start(), free_port()
    path, told = write(folder, port, agent.port, [member], operator, settings=BIG)
    words = [sys.executable, __file__, "--serve", path, *([told] if told else [])]
    process = await asyncio.create_subprocess_exec(*words, stdout=subprocess.PIPE)
    try:
        while process.returncode is None:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(b"PING\r\n")
                if await reader.readline():
                    writer.close()
                    break
            await asyncio.sleep(0.05)
        assert process.returncode is None, "the program did not start"
        yield port, process
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.terminate()
        await process.wait()


async def live(port: int, cls: str, rate: float, seconds: float, name: str) -> dict[bytes, float]:
    """Messages at this rate; when each was handed in."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    sent: dict[bytes, float] = {}
    loop = asyncio.get_running_loop()
    began = loop.time()
    for i in range(int(rate * seconds)):
        await asyncio.sleep(max(0.0, began + i / rate - loop.time()))
        body = f"{name}-{i}".encode().ljust(200)
        fields = f"c={cls},t=studio,d=5000,dest=1,k=key-{name}-{i}".encode()
        parts = [b"ENQUEUE", b"0" * 16, f"{name}-{i}".encode(), fields, body]
        sent[body[:16].strip()] = time.perf_counter()
        writer.write(b"*5\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(part), part) for part in parts))
        while (await reader.readline()).startswith(b"-BUSY"):
            await asyncio.sleep(0.05)
            writer.write(b"*5\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(part), part) for part in parts))
    writer.close()
    return sent


async def failing(
    folder: Path, operator: str | None, seconds: float
) -> tuple[float, float, float, float, int]:
    """CPU a message in microseconds, the loop's delay at p50, p99.9 and most in ms; records kept."""
    partner = await Partner(500).start()
    async with program(folder, operator, partner) as (port, process):
        await live(port, "order", 50, 2, "warm")
        process.send_signal(signal.SIGUSR1)
        await live(port, "order", 50, seconds, "m")
        await asyncio.sleep(1)
        process.send_signal(signal.SIGUSR2)
        spent, late, count = json.loads(await process.stdout.readline())
    kept = 0
    if operator is not None:
        store = Store(folder / "state" / "undelivered", writes=False)
        kept = store.record_count
        store.close()
    at = max(1, int(count * 0.001))
    return spent / (50 * seconds) * 1e6, late[0] * 1e3, late[-at] * 1e3, late[-1] * 1e3, kept


def record(number: int, size: int = 200, **more: Any) -> Record:
    """One that never ran and may go again at once."""
    now = time.time_ns()
    told: dict[str, Any] = {
        "id": f"old-{number}", "ended_at": now - 60 * SECOND + number, "came_at": now - 80 * SECOND,
        "deadline": now, "destination": 1, "cls": "standard", "effect": "keyed", "window": 5 * SECOND,
        "zoned": False, "tenant": "studio", "key": f"k{number}", "front": "resp", "came_again": False,
        "ending": "rejected", "reason": "refused", "come_back": 0, "first_ran": None, "first_zone": 0,
        "tries": tuple(Attempt(i, "s-1", now, "refused", SECOND // 10, 0, "") for i in range(3)),
        "body": f"old-{number}".encode().ljust(size),
    }  # fmt: skip
    return Record(**{**told, **more})


def filled(folder: Path, count: int, spread: bool = False) -> Store:
    """A store with so many records, of one destination or of fifty."""
    store = Store(folder)
    for at in range(0, count, 1000):
        numbers = range(at, min(count, at + 1000))
        if spread:
            store.add([record(i, destination=i % 50, tenant=f"t{i % 7}") for i in numbers])
        else:
            store.add([record(i) for i in numbers])
    return store


async def beside(folder: Path, count: int, seconds: float) -> tuple[list[float], int, float]:
    """Live latencies to the partner in ms while so many records are resent; how many were, in what time."""
    if count:
        filled(folder / "state" / "undelivered", count).close()
    partner = await Clocked(200).start()
    async with program(folder, RULE, partner) as (port, _):
        await live(port, "standard", 50, 3, "warm")
        began, before = time.perf_counter(), len(partner.came)
        sent = await live(port, "standard", 50, seconds, "m")
        await asyncio.sleep(0.5)
        late = [(partner.came[name] - at) * 1e3 for name, at in sent.items() if name in partner.came]
        assert len(late) == len(sent), "live messages were lost"
        resent = len(partner.came) - before - len(sent)
        return late, resent, time.perf_counter() - began


# The store by itself.


def sizes(folder: Path) -> list[str]:
    rows = []
    rng = random.Random(1)
    words = [rng.randbytes(4).hex() for _ in range(400)]

    def body_of(kind: str, size: int) -> bytes:
        if kind == "text":
            return " ".join(rng.choices(words, k=size // 9 + 1)).encode()[:size]
        return rng.randbytes(size)

    for size in (200, 20_000):
        for kind in ("text", "random"):
            store = Store(folder / f"{size}-{kind}")
            for at in range(0, 2000, 500):
                bodies = [
                    " ".join(rng.choices(words, k=size // 9 + 1)).encode()[:size]
                    if kind == "text"
                    else rng.randbytes(size)
                    for _ in range(500)
                ]
                store.add([record(at + i, body=body) for i, body in enumerate(bodies)])
            store.database.execute("PRAGMA wal_checkpoint(TRUNCATE)")
            disk = (folder / f"{size}-{kind}" / "undelivered.db").stat().st_size / 2000
            rows.append(f"| {size} B of {kind} | {store.stored_bytes / 2000:.0f} | {disk:.0f} |")
            store.close()
    return rows


def looks(folder: Path, count: int) -> list[str]:
    began = time.perf_counter()
    store = filled(folder, count, spread=True)
    rows = [f"| {count} records added, 1000 in a transaction | {time.perf_counter() - began:.2f} |"]
    store.close()
    reader = Store(folder, writes=False)
    cases = {
        "list, first page": ("list", {}),
        "list, newest first": ("list", {"newest_first": True}),
        "list of one destination and tenant": ("list", {"filter": {"destination": "17", "tenant": "t3"}}),
        "list of one tenant that has none": ("list", {"filter": {"tenant": "nobody"}}),
        "stats by standing": ("stats", {}),
        "stats by destination, tenant and day": ("stats", {"by": ["destination", "tenant", "day"]}),
    }
    for name, (operation, told) in cases.items():
        times = []
        for _ in range(5):
            began = time.perf_counter()
            operations.execute(reader, operation, told, "me")
            times.append(time.perf_counter() - began)
        rows.append(f"| {name} | {statistics.median(times):.3f} |")
    began = time.perf_counter()
    assert not list(reader.verify())
    rows.append(f"| verify, all | {time.perf_counter() - began:.2f} |")
    reader.close()
    for words in (["list"], ["stats"]):
        began = time.perf_counter()
        command = [sys.executable, "-m", "honeyhitch", "undelivered", "--store", str(folder), *words]
        subprocess.run(command, check=True, stdout=subprocess.DEVNULL, cwd=ROOT)
        rows.append(
            f"| the command `{words[0]}`, with its process's start | {time.perf_counter() - began:.2f} |"
        )
    return rows


def quantile(found: list[float], share: float) -> float:
    return sorted(found)[min(len(found) - 1, int(share * len(found)))]


async def measured_days(folder: Path, quick: bool) -> list[str]:
    runs = 200 if quick else 2000
    head = [f"## {runs} seeded days of mixed failures, with kills", "", "| | |", "| --- | --- |"]
    return [*head, *days(runs)]


async def measured_failing(folder: Path, quick: bool) -> list[str]:
    seconds, pairs = (5, 2) if quick else (10, 4)
    told: dict[str, list[tuple[float, float, float, float, int]]] = {"off": [], "on": []}
    for i in range(pairs):
        for what, operator in (("off", None), ("on", "[undelivered]\n")):
            (folder / f"{i}{what}").mkdir()
            told[what].append(await failing(folder / f"{i}{what}", operator, seconds))
    lines = [
        f"## The live path while 50 messages a second fail ({pairs} runs of {seconds} s, in turn)", "",
        "| store | CPU a message, µs | loop late, p99.9, ms | loop late, most, ms | records kept |",
        "| --- | --- | --- | --- | --- |",
    ]  # fmt: skip
    for what, found in told.items():
        cpu = statistics.median(one[0] for one in found)
        p999, most = statistics.median(one[2] for one in found), max(one[3] for one in found)
        lines.append(f"| {what} | {cpu:.0f} | {p999:.2f} | {most:.2f} | {sum(one[4] for one in found)} |")
    return [*lines, "", "CPU is of all the process's threads. The aim for the longest stall is 5 ms."]


async def measured_sizes(folder: Path, quick: bool) -> list[str]:
    head = ["## Bytes a record (three attempts in its history)", "", "| body | counted | in the file |"]
    return [*head, "| --- | --- | --- |", *sizes(folder)]


async def measured_looks(folder: Path, quick: bool) -> list[str]:
    count = 10_000 if quick else 100_000
    head = [f"## Looking at {count} records", "", "| | seconds |", "| --- | --- |"]
    return [*head, *looks(folder / "looks", count), "", "The aim for a first page is 0.5 s."]


async def measured_beside(folder: Path, quick: bool) -> list[str]:
    seconds, pairs, records = (10, 1, 1000) if quick else (30, 2, 10_000)
    without: list[float] = []
    with_them: list[float] = []
    resent, took = 0, 0.0
    for i in range(pairs):
        for count, into in ((0, without), (records, with_them)):
            (folder / f"{i}-{count}").mkdir()
            late, done, spent = await beside(folder / f"{i}-{count}", count, seconds)
            into += late
            resent, took = resent + done, took + (spent if count else 0)
    longer = quantile(with_them, 0.99) / quantile(without, 0.99)
    return [
        f"## Live traffic at 50 messages a second beside a resend ({pairs} runs of {seconds} s, in turn)",
        "",
        "| | p50, ms | p99, ms |", "| --- | --- | --- |",
        f"| nothing to resend | {quantile(without, 0.5):.2f} | {quantile(without, 0.99):.2f} |",
        f"| {records} to resend | {quantile(with_them, 0.5):.2f} | {quantile(with_them, 0.99):.2f} |", "",
        f"{resent} were resent meanwhile, {resent / max(took, 1e-9):.0f} a second. From handing in to",
        f"the partner; p99 takes {longer:.2f} times as long (the aim is 1.1).",
    ]  # fmt: skip


# Real processes, killed by SIGKILL.


class Mixed:
    """A partner that fails in mixed ways until it is well; its ledger says what it applied, by key."""

    def __init__(self, seed: int) -> None:
        self.rng, self.well, self.port = random.Random(seed), False, 0
        self.ledger: dict[str, list[float]] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> Mixed:
        server = await asyncio.start_server(self._client, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        return self

    def apply(self, key: str) -> None:
        seen, now = self.ledger.setdefault(key, []), time.time()
        if not (key.startswith("keyed") and seen and now < seen[0] + 60):  # a repeat in the window is dropped
            seen.append(now)

    async def _late(self, key: str) -> None:
        await asyncio.sleep(self.rng.uniform(0.1, 3))
        self.apply(key)

    async def _client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
                await reader.readexactly(int(fields["content-length"]))
                key, modes = fields["idempotency-key"], ("200", "503", "reset", "late", "500", "500 after")
                mode = "200" if self.well else self.rng.choice((*modes, "reset after"))
                if mode in ("200", "500 after", "reset after"):
                    self.apply(key)
                if mode == "late":
                    task = asyncio.ensure_future(self._late(key))
                    self.tasks.add(task)
                    await asyncio.sleep(4)
                if mode.startswith("reset") or mode == "late":
                    break
                writer.write(f"HTTP/1.1 {mode[:3]} X\r\nContent-Length: 0\r\n\r\n".encode())
        writer.close()


KILLS = """
[undelivered]
share = 0.5
copy-grace = 1

[[undelivered.rule]]
action = "resend"
healthy = 0
pause = 1
rate = 100
most-times = 100
"""


async def killed(folder: Path, seed: int) -> tuple[int, int, int, int, int]:
    """Messages, kills, resends, applied twice, and resendable ones that were not settled."""
    rng, partner = random.Random(seed), await Mixed(seed).start()
    member = {**endpoint_row("s-1", 1), "host_port": f"127.0.0.1:{partner.port}", "size": 2000.0}
    agent, port, sent, kills = await Agent([member]).start(), free_port(), 0, 0
    classes = [{**SETTINGS["classes"][0], "window": 60 * SECOND, "deadline": 3 * SECOND}, UNSAFE]
    path, told = write(folder, port, agent.port, [member], KILLS, settings={**BIG, "classes": classes})
    words = [sys.executable, __file__, "--serve", path, str(told)]

    async def say(parts: list[bytes]) -> bytes:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"*5\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(part), part) for part in parts))
            answer = await reader.readline()
            writer.close()
            return answer
        return b""

    for _ in range(5):
        process = await asyncio.create_subprocess_exec(*words, stdout=subprocess.DEVNULL)
        until = time.monotonic() + rng.uniform(2.0, 4.0)
        while time.monotonic() < until:
            cls = rng.choice(("standard", "order"))
            name = f"{'keyed' if cls == 'standard' else 'unsafe'}-{sent}"
            fields = f"c={cls},t=studio,d=1500,dest=1,k={name}".encode()
            answer = await say([b"ENQUEUE", b"0" * 16, name.encode(), fields, b"body"])
            sent += answer.startswith(b"+")
            await asyncio.sleep(0.05)
        process.kill()
        await process.wait()
        kills += 1
    partner.well = True
    process = await asyncio.create_subprocess_exec(*words, stdout=subprocess.DEVNULL)
    left = -1
    for _ in range(90):
        await asyncio.sleep(1)
        await say(
            [
                b"ENQUEUE",
                b"0" * 16,
                b"live-%d" % sent,
                b"c=order,t=studio,d=1500,dest=1,k=live-%d" % sent,
                b"x",
            ]
        )
        sent += 1
        with contextlib.suppress(Exception):
            store = Store(
                folder / "state" / "undelivered",
                writes=False,
                resend_settings=ResendSettings(duplicates_elsewhere=False),
            )
            found = [one.record for one in store.page(RecordFilter(), limit=1000)]
            store.close()
            left = sum(resendable(one) for one in found)
            if not left:
                break
    process.terminate()
    await process.wait()
    resent = sum(one.resend_count for one in found)
    return sent, kills, resent, sum(len(times) > 1 for times in partner.ledger.values()), left


def resendable(one: Record) -> bool:
    """Whether a rule would still have it resent."""
    step = plan_record(
        one, (Rule("r", Action.RESEND),), ResendSettings(duplicates_elsewhere=False), time.time_ns(), SECOND
    ).step
    return one.status is RecordStatus.RESENDING or step in (Step.RESEND, Step.POSTPONE)


async def measured_kills(folder: Path, quick: bool) -> list[str]:
    count, at_once = (4, 4) if quick else (24, 6)
    told: list[tuple[int, int, int, int, int]] = []
    for at in range(0, count, at_once):
        seeds = range(at, at + at_once)
        for seed in seeds:
            (folder / f"{seed}").mkdir()
        told += await asyncio.gather(*(killed(folder / f"{seed}", seed) for seed in seeds))
    names = ("messages", "processes killed", "resends", "applied twice", "resendable and not settled")
    head = [f"## {count} seeded runs of real processes with SIGKILL", "", "| | |", "| --- | --- |"]
    return [*head, *(f"| {name} | {sum(one[i] for one in told)} |" for i, name in enumerate(names))]


PARTS = {
    "days": measured_days, "kills": measured_kills, "failing": measured_failing, "sizes": measured_sizes,
    "looks": measured_looks, "beside": measured_beside,
}  # fmt: skip


async def measure(quick: bool, only: list[str]) -> list[str]:
    lines: list[str] = []
    for name in only or PARTS:
        print(name, file=sys.stderr, flush=True)
        with tempfile.TemporaryDirectory() as folder:
            lines += ["", *await PARTS[name](Path(folder), quick)]
    return lines


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="fewer and shorter runs")
    parser.add_argument("--write", action="store_true", help="put the tables into docs/")
    parser.add_argument("--only", nargs="*", choices=list(PARTS), help="these parts alone")
    parser.add_argument("--serve", nargs="+", help=argparse.SUPPRESS)
    asked = parser.parse_args()
    if asked.serve:
        serve(asked.serve[0], asked.serve[1] if len(asked.serve) > 1 else None)
        return
    logs.setup("json", "error")
    machine = f"{os.cpu_count()} cores, Python {platform.python_version()}"
    head = [
        "# Undelivered messages, measured",
        "",
        f"By `benchmarks/undelivered.py` on loopback, {machine}.",
        "",
    ]
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        text = "\n".join(head + runner.run(measure(asked.quick, asked.only))) + "\n"
    print(text)
    if asked.write:
        (ROOT / "docs" / "undelivered-measured.md").write_text(text)


if __name__ == "__main__":
    main()
