"""Measure dead letters on loopback and print tables; `--write` writes them to docs/undelivered-measured.md.

    python benchmarks/dead_letters.py [--quick] [--write]

The benchmark needs the packages of requirements-dev.txt. The endpoints and clients are the stand-ins of the
tests. A full run takes about five minutes on 8 cores.
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
import sqlite3
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, fields
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parent.parent))

import uvloop

from honeyhitch import config as configuration
from honeyhitch import logs
from honeyhitch.dead_letters import operations
from honeyhitch.dead_letters.files import StoreError
from honeyhitch.dead_letters.filters import RecordFilter
from honeyhitch.dead_letters.records import Record, RecordStatus
from honeyhitch.dead_letters.rules import Step, plan_record
from honeyhitch.dead_letters.settings import Action, ResendSettings, Rule
from honeyhitch.dead_letters.store import Store
from honeyhitch.journal.transactions import Attempt
from honeyhitch.service.run import run
from honeyhitch.time_units import SECOND
from tests.agent import Agent
from tests.dead_letter_records import make_record
from tests.partner import Partner
from tests.program import SETTINGS, free_port, write_config_files
from tests.resend_world import run_day
from tests.rig import endpoint_row

ROOT = Path(__file__).parent.parent
SHARED_MEMORY = Path("/dev/shm")  # the days in virtual time need no disk
FIRST_DAY_SEED = 100_000
FAILING_RATE = 50  # messages a second
MILLISECONDS = 1e3  # in a second
MICROSECONDS = 1e6
PROBE_INTERVAL_SECONDS = 0.001
MAX_REPORTED_DELAYS = 200
STORED_FOR_SIZES = 2000  # records
ORDER_CLASS = {
    "name": "order", "semantics": "side_effect", "aim": 2 * SECOND, "deadline": 6 * SECOND, "window": 0,
    "group": "all",
}  # fmt: skip
LARGE_SETTINGS = {
    **SETTINGS,
    "weights": "rough",
    "classes": [*SETTINGS["classes"], ORDER_CLASS],
    "family-info": {**SETTINGS["family-info"], "call-slots": 64, "per-call": [1, 1]},
    "caps": {**SETTINGS["caps"], "max-open": 3000},
}
RESEND_RULE = """
[undelivered]
copies = "here"

[[undelivered.rule]]
action = "resend"
healthy = 1
rate = 20
"""
KILL_RULE = """
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


@dataclass(frozen=True, slots=True)
class KillCounts:
    """The counts of a run in which the program is killed."""

    messages: int
    kills: int
    resends: int
    applied_twice: int
    unsettled: int  # records that the rules may still resend


def kill_table(results: Iterable[KillCounts], kills_label: str) -> list[str]:
    """Return the table rows with the sums over all runs."""
    labels = ("messages", kills_label, "resends", "applied twice", "resendable and not settled")
    runs = list(results)
    return [
        f"| {label} | {sum(getattr(result, field.name) for result in runs)} |"
        for label, field in zip(labels, fields(KillCounts), strict=True)
    ]


# Seeded days with kills, in virtual time.


def measure_day(seed: int) -> KillCounts:
    """Simulate a day in which the program is killed up to four times, at points that the seed draws."""
    logs.setup("json", "error")
    rng = random.Random(seed * 7919)
    with tempfile.TemporaryDirectory(dir=SHARED_MEMORY if SHARED_MEMORY.is_dir() else None) as folder:
        kills = tuple(rng.randrange(1, 800) for _ in range(rng.randrange(5)))
        day = run_day(Path(folder) / "day", seed, kills)
        stored_records = day.rig.store.page(RecordFilter(), limit=1000)
        counts = KillCounts(
            messages=len(day.clients),
            kills=day.kills,
            resends=sum(stored.record.resend_count for stored in stored_records),
            applied_twice=len(day.applied_twice()),
            unsettled=len(day.unresolved()),
        )
        day.rig.close_as_killed()
        return counts


async def report_days(_folder: Path, quick: bool) -> list[str]:
    """Report simulated days of mixed failures, one for each seed."""
    count = 200 if quick else 2000
    seeds = range(FIRST_DAY_SEED, FIRST_DAY_SEED + count)
    with ProcessPoolExecutor() as workers:
        results = list(workers.map(measure_day, seeds, chunksize=8))
    head = [f"## {count} seeded days of mixed failures, with kills", "", "| | |", "| --- | --- |"]
    return [*head, *kill_table(results, "kills")]


# The program in a separate process, with a probe of its event loop.


async def probe_loop(delays: list[float]) -> None:
    """Record how late the event loop runs a timer of 1 ms, in seconds."""
    while True:
        due_at = time.perf_counter() + PROBE_INTERVAL_SECONDS
        await asyncio.sleep(PROBE_INTERVAL_SECONDS)
        delays.append(time.perf_counter() - due_at)


def serve(path: str, operator: str | None) -> None:
    """Run the program until SIGTERM.

    SIGUSR1 begins a measurement. SIGUSR2 prints the CPU seconds, the longest delays of the event loop and the
    number of probes since the last SIGUSR1.
    """
    logs.setup("json", "error")
    delays: list[float] = []
    cpu_at_start = time.process_time()

    def begin_measurement() -> None:
        nonlocal cpu_at_start
        delays.clear()
        cpu_at_start = time.process_time()

    def print_measurement() -> None:
        cpu_seconds = time.process_time() - cpu_at_start
        longest = sorted(delays)[-MAX_REPORTED_DELAYS:]
        print(json.dumps([cpu_seconds, longest, len(delays)]), flush=True)

    async def work() -> None:
        probe = asyncio.ensure_future(probe_loop(delays))
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGUSR1, begin_measurement)
        loop.add_signal_handler(signal.SIGUSR2, print_measurement)
        config = configuration.read({}, path, operator)
        await run(config, lambda _previous: config)
        probe.cancel()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(work())


class ClockedPartner(Partner):
    """An endpoint that records the time at which it received each body."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.received_at: dict[bytes, float] = {}

    def on_call(self, body: bytes) -> None:
        """Record the time at which a body was received, by its key."""
        self.received_at[body_key(body)] = time.perf_counter()


def body_key(body: bytes) -> bytes:
    """Return the name at the start of a body, which identifies the message."""
    return body[:16].strip()


def encode_command(arguments: list[bytes]) -> bytes:
    """Return a command of the RESP2 protocol."""
    head = b"*%d\r\n" % len(arguments)
    return head + b"".join(b"$%d\r\n%s\r\n" % (len(argument), argument) for argument in arguments)


def encode_enqueue(name: str, fields_text: str, body: bytes) -> bytes:
    """Return the command that submits a message."""
    return encode_command([b"ENQUEUE", b"0" * 16, name.encode(), fields_text.encode(), body])


def serve_command(path: str, operator: str | None) -> list[str]:
    """Return the command line that runs the program in a separate process."""
    return [sys.executable, __file__, "--serve", path, *([operator] if operator else [])]


async def wait_until_ready(process: asyncio.subprocess.Process, port: int) -> None:
    """Wait until the program replies to a PING. Raise RuntimeError if it exits before."""
    while process.returncode is None:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"PING\r\n")
            if await reader.readline():
                writer.close()
                return
        await asyncio.sleep(0.05)
    raise RuntimeError(
        f"the program exited with {process.returncode} before it replied to PING at port {port}"
    )


@contextlib.asynccontextmanager
async def running_program(
    folder: Path, operator: str | None, partner: Partner
) -> AsyncIterator[tuple[int, asyncio.subprocess.Process]]:
    """Run the program with one endpoint. Yield its port and its process."""
    endpoint = {**endpoint_row("s-1", 1), "host_port": f"127.0.0.1:{partner.port}", "size": 2000.0}
    agent = await Agent([endpoint]).start()
    port = free_port()
    paths = write_config_files(folder, port, agent.port, [endpoint], operator, settings=LARGE_SETTINGS)
    process = await asyncio.create_subprocess_exec(*serve_command(*paths), stdout=subprocess.PIPE)
    try:
        await wait_until_ready(process, port)
        yield port, process
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.terminate()
        await process.wait()


async def send_live(
    port: int, class_name: str, rate: float, seconds: float, prefix: str
) -> dict[bytes, float]:
    """Submit messages at `rate` a second. Return the time at which each was submitted, by its body key."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    sent_at: dict[bytes, float] = {}
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    for number in range(int(rate * seconds)):
        await asyncio.sleep(max(0.0, started_at + number / rate - loop.time()))
        name = f"{prefix}-{number}"
        body = name.encode().ljust(200)
        request = encode_enqueue(name, f"c={class_name},t=studio,d=5000,dest=1,k=key-{name}", body)
        sent_at[body_key(body)] = time.perf_counter()
        writer.write(request)
        while (await reader.readline()).startswith(b"-BUSY"):
            await asyncio.sleep(0.05)
            writer.write(request)
    writer.close()
    return sent_at


@dataclass(frozen=True, slots=True)
class FailingRun:
    """The cost and delays of live traffic while messages fail."""

    cpu_microseconds: float  # per message
    delay_p999_ms: float
    delay_max_ms: float
    stored_records: int


async def measure_failing(folder: Path, operator: str | None, seconds: float) -> FailingRun:
    """Measure failing messages for `seconds`, with a store if `operator` is given."""
    partner = await Partner(500).start()
    async with running_program(folder, operator, partner) as (port, process):
        await send_live(port, "order", FAILING_RATE, 2, "warm")
        process.send_signal(signal.SIGUSR1)
        await send_live(port, "order", FAILING_RATE, seconds, "m")
        await asyncio.sleep(1)
        process.send_signal(signal.SIGUSR2)
        assert process.stdout is not None
        cpu_seconds, delays, probe_count = json.loads(await process.stdout.readline())
    stored_records = 0
    if operator is not None:
        store = Store(folder / "state" / "undelivered", writes=False)
        stored_records = store.record_count
        store.close()
    p999_from_end = max(1, int(probe_count * 0.001))
    return FailingRun(
        cpu_microseconds=cpu_seconds / (FAILING_RATE * seconds) * MICROSECONDS,
        delay_p999_ms=delays[-p999_from_end] * MILLISECONDS,
        delay_max_ms=delays[-1] * MILLISECONDS,
        stored_records=stored_records,
    )


async def report_failing(folder: Path, quick: bool) -> list[str]:
    """Report the cost of the store for live traffic, in alternating runs without and with the store."""
    seconds, pairs = (5, 2) if quick else (10, 4)
    runs: dict[str, list[FailingRun]] = {"off": [], "on": []}
    for number in range(pairs):
        for state, operator in (("off", None), ("on", "[undelivered]\n")):
            run_folder = folder / f"{number}{state}"
            run_folder.mkdir()
            runs[state].append(await measure_failing(run_folder, operator, seconds))
    lines = [
        f"## The live path while {FAILING_RATE} messages a second fail"
        f" ({pairs} runs of {seconds} s, in turn)",
        "",
        "| store | CPU a message, µs | loop late, p99.9, ms | loop late, most, ms | records kept |",
        "| --- | --- | --- | --- | --- |",
    ]
    for state, results in runs.items():
        cpu = statistics.median(result.cpu_microseconds for result in results)
        p999 = statistics.median(result.delay_p999_ms for result in results)
        longest = max(result.delay_max_ms for result in results)
        stored = sum(result.stored_records for result in results)
        lines.append(f"| {state} | {cpu:.0f} | {p999:.2f} | {longest:.2f} | {stored} |")
    return [*lines, "", "CPU is of all the process's threads. The aim for the longest stall is 5 ms."]


def resendable_record(number: int, size: int = 200, **overrides: Any) -> Record:
    """Return the record of a message that was never executed and may be resent at once."""
    now = time.time_ns()
    values: dict[str, Any] = {
        "id": f"old-{number}",
        "ended_at": now - 60 * SECOND + number,
        "accepted_at": now - 80 * SECOND,
        "deadline": now,
        "key": f"k{number}",
        "ending": "rejected",
        "reason": "refused",
        "attempts": tuple(
            Attempt(attempt, "s-1", now, "refused", SECOND // 10, 0, "") for attempt in range(3)
        ),
        "body": f"old-{number}".encode().ljust(size),
    }
    return make_record(**{**values, **overrides})


def create_filled_store(folder: Path, count: int, spread: bool = False) -> Store:
    """Return a store with `count` records of one destination or, if `spread`, of fifty."""
    store = Store(folder)
    for first in range(0, count, 1000):
        numbers = range(first, min(count, first + 1000))
        if spread:
            store.add(
                [
                    resendable_record(number, destination=number % 50, tenant=f"t{number % 7}")
                    for number in numbers
                ]
            )
        else:
            store.add([resendable_record(number) for number in numbers])
    return store


@dataclass(frozen=True, slots=True)
class LiveRun:
    """The latencies of live traffic while records are resent."""

    latencies_ms: list[float]
    resends: int
    seconds: float


async def measure_live(folder: Path, record_count: int, seconds: float) -> LiveRun:
    """Send live traffic for `seconds` while `record_count` records are resent."""
    if record_count:
        create_filled_store(folder / "state" / "undelivered", record_count).close()
    partner = await ClockedPartner(200).start()
    async with running_program(folder, RESEND_RULE, partner) as (port, _):
        await send_live(port, "standard", 50, 3, "warm")
        started_at = time.perf_counter()
        received_before = len(partner.received_at)
        sent_at = await send_live(port, "standard", 50, seconds, "m")
        await asyncio.sleep(0.5)
        latencies = [
            (partner.received_at[key] - submitted_at) * MILLISECONDS
            for key, submitted_at in sent_at.items()
            if key in partner.received_at
        ]
        assert len(latencies) == len(sent_at), "live messages were lost"
        resends = len(partner.received_at) - received_before - len(sent_at)
        return LiveRun(latencies, resends, time.perf_counter() - started_at)


def quantile(values: list[float], fraction: float) -> float:
    """Return the value below which this fraction of the values lies."""
    return sorted(values)[min(len(values) - 1, int(fraction * len(values)))]


async def report_live(folder: Path, quick: bool) -> list[str]:
    """Report the effect of resends on live traffic, in alternating runs without and with resends."""
    seconds, pairs, record_count = (10, 1, 1000) if quick else (30, 2, 10_000)
    latencies: dict[int, list[float]] = {0: [], record_count: []}
    resends = 0
    resend_seconds = 0.0
    for number in range(pairs):
        for count, count_latencies in latencies.items():
            run_folder = folder / f"{number}-{count}"
            run_folder.mkdir()
            result = await measure_live(run_folder, count, seconds)
            count_latencies += result.latencies_ms
            resends += result.resends
            if count:
                resend_seconds += result.seconds
    without, with_resends = latencies[0], latencies[record_count]
    ratio = quantile(with_resends, 0.99) / quantile(without, 0.99)
    return [
        f"## Live traffic at 50 messages a second beside a resend ({pairs} runs of {seconds} s, in turn)",
        "",
        "| | p50, ms | p99, ms |", "| --- | --- | --- |",
        f"| nothing to resend | {quantile(without, 0.5):.2f} | {quantile(without, 0.99):.2f} |",
        f"| {record_count} to resend | {quantile(with_resends, 0.5):.2f} |"
        f" {quantile(with_resends, 0.99):.2f} |",
        "",
        f"{resends} were resent meanwhile, {resends / max(resend_seconds, 1e-9):.0f} a second."
        " From handing in to",
        f"the partner; p99 takes {ratio:.2f} times as long (the aim is 1.1).",
    ]  # fmt: skip


# The store alone.


async def report_sizes(folder: Path, _quick: bool) -> list[str]:
    """Report the bytes of a record, as counted against the limit and in the file."""
    lines = ["## Bytes a record (three attempts in its history)", "", "| body | counted | in the file |"]
    lines.append("| --- | --- | --- |")
    rng = random.Random(1)
    vocabulary = [rng.randbytes(4).hex() for _ in range(400)]

    def make_body(kind: str, size: int) -> bytes:
        if kind == "text":
            return " ".join(rng.choices(vocabulary, k=size // 9 + 1)).encode()[:size]
        return rng.randbytes(size)

    for size in (200, 20_000):
        for kind in ("text", "random"):
            store = Store(folder / f"{size}-{kind}")
            for first in range(0, STORED_FOR_SIZES, 500):
                bodies = [make_body(kind, size) for _ in range(500)]
                store.add([resendable_record(first + i, body=body) for i, body in enumerate(bodies)])
            store.database.execute("PRAGMA wal_checkpoint(TRUNCATE)")
            file_bytes = (folder / f"{size}-{kind}" / "undelivered.db").stat().st_size
            counted = store.stored_bytes / STORED_FOR_SIZES
            lines.append(f"| {size} B of {kind} | {counted:.0f} | {file_bytes / STORED_FOR_SIZES:.0f} |")
            store.close()
    return lines


def time_reads(store: Store) -> list[str]:
    """Return a table row for each read, with the median seconds of five runs."""
    cases: dict[str, tuple[str, dict[str, Any]]] = {
        "list, first page": ("list", {}),
        "list, newest first": ("list", {"newest_first": True}),
        "list of one destination and tenant": ("list", {"filter": {"destination": "17", "tenant": "t3"}}),
        "list of one tenant that has none": ("list", {"filter": {"tenant": "nobody"}}),
        "stats by standing": ("stats", {}),
        "stats by destination, tenant and day": ("stats", {"by": ["destination", "tenant", "day"]}),
    }
    rows = []
    for label, (operation, arguments) in cases.items():
        times = []
        for _ in range(5):
            started_at = time.perf_counter()
            operations.execute(store, operation, arguments, "me")
            times.append(time.perf_counter() - started_at)
        rows.append(f"| {label} | {statistics.median(times):.3f} |")
    return rows


def time_commands(folder: Path) -> list[str]:
    """Return a table row for each command, with its seconds including the start of its process."""
    rows = []
    for name in ("list", "stats"):
        command = [sys.executable, "-m", "honeyhitch", "undelivered", "--store", str(folder), name]
        started_at = time.perf_counter()
        subprocess.run(command, check=True, stdout=subprocess.DEVNULL, cwd=ROOT)
        elapsed = time.perf_counter() - started_at
        rows.append(f"| the command `{name}`, with its process's start | {elapsed:.2f} |")
    return rows


async def report_reads(folder: Path, quick: bool) -> list[str]:
    """Report how long reads of a filled store take."""
    count = 10_000 if quick else 100_000
    store_folder = folder / "looks"
    lines = [f"## Looking at {count} records", "", "| | seconds |", "| --- | --- |"]
    started_at = time.perf_counter()
    store = create_filled_store(store_folder, count, spread=True)
    elapsed = time.perf_counter() - started_at
    lines.append(f"| {count} records added, 1000 in a transaction | {elapsed:.2f} |")
    store.close()
    reader = Store(store_folder, writes=False)
    lines += time_reads(reader)
    started_at = time.perf_counter()
    assert not list(reader.verify())
    lines.append(f"| verify, all | {time.perf_counter() - started_at:.2f} |")
    reader.close()
    return [*lines, *time_commands(store_folder), "", "The aim for a first page is 0.5 s."]


# Real processes that are killed by SIGKILL.


class FailingPartner:
    """An endpoint that fails in mixed ways until `healthy` is set.

    `ledger` has the times at which each message was applied, by key.
    """

    MODES = ("200", "503", "reset", "late", "500", "500 after", "reset after")

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.healthy = False
        self.port = 0
        self.ledger: dict[str, list[float]] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> FailingPartner:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve_client, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        return self

    def apply(self, key: str) -> None:
        """Apply a message, unless its key is a repeat inside the deduplication window of 60 s."""
        applied = self.ledger.setdefault(key, [])
        now = time.time()
        if not (key.startswith("keyed") and applied and now < applied[0] + 60):
            applied.append(now)

    async def _apply_late(self, key: str) -> None:
        await asyncio.sleep(self.rng.uniform(0.1, 3))
        self.apply(key)

    async def _serve_client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                mode = await self._receive_call(reader)
                if mode.startswith("reset") or mode == "late":
                    break
                writer.write(f"HTTP/1.1 {mode[:3]} X\r\nContent-Length: 0\r\n\r\n".encode())
        writer.close()

    async def _receive_call(self, reader: asyncio.StreamReader) -> str:
        """Read a call, and apply the message or not, depending on the call's mode. Return the mode."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        headers = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
        await reader.readexactly(int(headers["content-length"]))
        key = headers["idempotency-key"]
        mode = "200" if self.healthy else self.rng.choice(self.MODES)
        if mode in ("200", "500 after", "reset after"):
            self.apply(key)
        if mode == "late":
            self.tasks.add(asyncio.ensure_future(self._apply_late(key)))
            await asyncio.sleep(4)
        return mode


class KilledProgram:
    """A program that is repeatedly killed and started again, and its client."""

    def __init__(self, folder: Path, seed: int) -> None:
        self.folder = folder
        self.seed = seed
        self.rng = random.Random(seed)
        self.port = free_port()
        self.submitted = 0
        self.kills = 0
        self.command: list[str] = []

    async def run(self) -> KillCounts:
        """Run the program five times with a failing endpoint until SIGKILL, and once with a healthy one."""
        partner = await FailingPartner(self.seed).start()
        await self._write_configuration(partner.port)
        for _ in range(5):
            await self._run_until_killed()
        partner.healthy = True
        process = await self._start()
        records, unsettled = await self._settle()
        process.terminate()
        await process.wait()
        return KillCounts(
            messages=self.submitted,
            kills=self.kills,
            resends=sum(record.resend_count for record in records),
            applied_twice=sum(len(times) > 1 for times in partner.ledger.values()),
            unsettled=unsettled,
        )

    async def _write_configuration(self, partner_port: int) -> None:
        endpoint = {**endpoint_row("s-1", 1), "host_port": f"127.0.0.1:{partner_port}", "size": 2000.0}
        agent = await Agent([endpoint]).start()
        keyed_class = {**SETTINGS["classes"][0], "window": 60 * SECOND, "deadline": 3 * SECOND}
        settings = {**LARGE_SETTINGS, "classes": [keyed_class, ORDER_CLASS]}
        paths = write_config_files(
            self.folder, self.port, agent.port, [endpoint], KILL_RULE, settings=settings
        )
        self.command = serve_command(*paths)

    async def _start(self) -> asyncio.subprocess.Process:
        return await asyncio.create_subprocess_exec(*self.command, stdout=subprocess.DEVNULL)

    async def _submit(self, name: str, fields_text: str, body: bytes) -> bool:
        """Submit a message. Return whether it was accepted."""
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(encode_enqueue(name, fields_text, body))
            answer = await reader.readline()
            writer.close()
            return answer.startswith(b"+")
        return False

    async def _run_until_killed(self) -> None:
        process = await self._start()
        kill_at = time.monotonic() + self.rng.uniform(2.0, 4.0)
        while time.monotonic() < kill_at:
            class_name = self.rng.choice(("standard", "order"))
            name = f"{'keyed' if class_name == 'standard' else 'unsafe'}-{self.submitted}"
            fields_text = f"c={class_name},t=studio,d=1500,dest=1,k={name}"
            self.submitted += await self._submit(name, fields_text, b"body")
            await asyncio.sleep(0.05)
        process.kill()
        await process.wait()
        self.kills += 1

    async def _settle(self) -> tuple[list[Record], int]:
        """Wait about 90 s at most until no record is left that the rules may resend.

        Return all records, and the number of records that are left.
        """
        records: list[Record] = []
        unsettled = -1
        for _ in range(90):
            await asyncio.sleep(1)
            name = f"live-{self.submitted}"
            await self._submit(name, f"c=order,t=studio,d=1500,dest=1,k={name}", b"x")
            self.submitted += 1
            with contextlib.suppress(StoreError, sqlite3.Error):
                records = self._read_records()
                unsettled = sum(is_resendable(record) for record in records)
                if not unsettled:
                    break
        return records, unsettled

    def _read_records(self) -> list[Record]:
        store = Store(
            self.folder / "state" / "undelivered",
            writes=False,
            resend_settings=ResendSettings(duplicates_elsewhere=False),
        )
        try:
            return [stored.record for stored in store.page(RecordFilter(), limit=1000)]
        finally:
            store.close()


def is_resendable(record: Record) -> bool:
    """Return whether a resend rule may still resend the record."""
    rules = (Rule("r", Action.RESEND),)
    settings = ResendSettings(duplicates_elsewhere=False)
    step = plan_record(record, rules, settings, time.time_ns(), SECOND).step
    return record.status is RecordStatus.RESENDING or step in (Step.RESEND, Step.POSTPONE)


async def report_kills(folder: Path, quick: bool) -> list[str]:
    """Report runs of real processes, several at a time."""
    count, concurrent_runs = (4, 4) if quick else (24, 6)
    results: list[KillCounts] = []
    for first in range(0, count, concurrent_runs):
        seeds = range(first, first + concurrent_runs)
        for seed in seeds:
            (folder / f"{seed}").mkdir()
        results += await asyncio.gather(*(KilledProgram(folder / f"{seed}", seed).run() for seed in seeds))
    head = [f"## {count} seeded runs of real processes with SIGKILL", "", "| | |", "| --- | --- |"]
    return [*head, *kill_table(results, "processes killed")]


REPORTS: dict[str, Callable[[Path, bool], Awaitable[list[str]]]] = {
    "days": report_days,
    "kills": report_kills,
    "failing": report_failing,
    "sizes": report_sizes,
    "looks": report_reads,
    "beside": report_live,
}


async def measure(quick: bool, only: list[str]) -> list[str]:
    """Return the lines of the reports named in `only`, or of all reports."""
    lines: list[str] = []
    for name in only or REPORTS:
        print(name, file=sys.stderr, flush=True)
        with tempfile.TemporaryDirectory() as folder:
            lines += ["", *await REPORTS[name](Path(folder), quick)]
    return lines


def main() -> None:
    """Measure, print the tables, and write them to the page if asked."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="fewer and shorter runs")
    parser.add_argument("--write", action="store_true", help="put the tables into docs/")
    parser.add_argument("--only", nargs="*", choices=list(REPORTS), help="these parts alone")
    parser.add_argument("--serve", nargs="+", help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.serve:
        serve(options.serve[0], options.serve[1] if len(options.serve) > 1 else None)
        return
    logs.setup("json", "error")
    machine = f"{os.cpu_count()} cores, Python {platform.python_version()}"
    head = [
        "# Undelivered messages, measured",
        "",
        f"By `benchmarks/dead_letters.py` on loopback, {machine}.",
        "",
    ]
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        text = "\n".join(head + runner.run(measure(options.quick, options.only))) + "\n"
    print(text)
    if options.write:
        (ROOT / "docs" / "undelivered-measured.md").write_text(text)


if __name__ == "__main__":
    main()
