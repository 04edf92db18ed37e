"""A real dispatcher with limits on memory and descriptors, ordinary clients beside it, and its usage."""

from __future__ import annotations

import asyncio
import contextlib
import copy
import os
import re
import sys
import time
from asyncio.subprocess import Process
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ..agent import Agent
from ..processes import ROOT, listening_port, spawn, wait_until_serving
from ..program import SETTINGS, write_config_files
from ..rig import endpoint_row
from .hostile import submission

BYTES_PER_MEGABYTE = 1_000_000
REPLY_TIMEOUT_SECONDS = 0.4  # a client waits this long for a reply (protocol page)
LATE_REPLY_SECONDS = 5.0  # the ordinary client goes on waiting for this long, to tell a late reply from none
PAUSE_SECONDS = 0.02  # between two requests of an ordinary client
SAMPLE_SECONDS = 0.02  # between two looks at the process
FAIR_FRACTION = 0.9  # of an ordinary client's messages, to be accepted beside an attack
PEAK_MEMORY = re.compile(r"VmHWM:\s+(\d+) kB")
PRESENT_MEMORY = re.compile(r"VmRSS:\s+(\d+) kB")


def limit_settings() -> dict[str, Any]:
    """Return the settings of a dispatcher that may hold 200 messages."""
    settings = copy.deepcopy(SETTINGS)
    settings["caps"] |= {"max-open": 200}
    return settings


def memory_bytes(pid: int, pattern: re.Pattern[str] = PEAK_MEMORY) -> int:
    """Return the largest resident memory of a process, or with `PRESENT_MEMORY` the present one."""
    match = pattern.search(Path(f"/proc/{pid}/status").read_text())
    return int(match[1]) * 1024 if match is not None else 0


def descriptor_count(pid: int) -> int:
    return len(os.listdir(f"/proc/{pid}/fd"))


@dataclass(slots=True)
class Usage:
    """What the processes of one dispatcher used at most together, in bytes and descriptors."""

    memory: int = 0
    descriptors: int = 0

    async def sample(self, processes: list[Process]) -> None:
        """Look at the processes until cancelled."""
        while True:
            with contextlib.suppress(OSError):
                running = [process.pid for process in processes if process.returncode is None]
                pattern = PEAK_MEMORY if len(running) == 1 else PRESENT_MEMORY
                self.memory = max(self.memory, sum(memory_bytes(pid, pattern) for pid in running))
                self.descriptors = max(self.descriptors, sum(map(descriptor_count, running)))
            await asyncio.sleep(SAMPLE_SECONDS)


@dataclass(slots=True)
class OrdinaryClient:
    """A client that submits one small message after the other, on one connection or each on a new one."""

    name: str
    port: int
    reconnects: bool
    submitted: list[str] = field(default_factory=list)
    accepted: list[str] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)
    slowest: float = 0.0  # seconds

    async def run(self) -> None:
        """Submit messages until cancelled."""
        stream: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        while True:
            message = f"{self.name}-{len(self.submitted)}"
            self.submitted.append(message)
            request = submission(message.encode())
            line = b"" if stream is None else await self._request(stream, request)
            if line == b"":  # a connection may be closed between two requests
                stream = await self._connect()
                line = await self._request(stream, request)
            self._record(message, line)
            if stream is not None and (self.reconnects or not line.endswith(b"\r\n")):
                stream[1].close()
                stream = None
            await asyncio.sleep(PAUSE_SECONDS)

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connect, and try again while no process listens."""
        while True:
            with contextlib.suppress(ConnectionError):
                return await asyncio.open_connection("127.0.0.1", self.port)
            await asyncio.sleep(PAUSE_SECONDS)

    async def _request(
        self, stream: tuple[asyncio.StreamReader, asyncio.StreamWriter], request: bytes
    ) -> bytes:
        """Return the line of the reply; no bytes if the connection ended, and `late` if none came in time."""
        reader, writer = stream
        started_at = time.monotonic()
        try:
            writer.write(request)
            async with asyncio.timeout(LATE_REPLY_SECONDS):
                return await reader.readline()
        except TimeoutError:
            return b"late"
        except (OSError, RuntimeError):  # uvloop raises RuntimeError for a write to a closed connection
            return b""
        finally:
            self.slowest = max(self.slowest, time.monotonic() - started_at)

    def _record(self, message: str, line: bytes) -> None:
        if line.startswith(b"+"):
            self.accepted.append(message)
        elif not line.startswith(b"-BUSY"):
            self.problems.append(f"{message}: {line!r}")

    def check(self) -> list[str]:
        """Return what an ordinary client may complain of."""
        problems = list(self.problems[:3])
        if self.slowest > REPLY_TIMEOUT_SECONDS:
            problems.append(f"{self.name}: a reply took {self.slowest:.2f} s")
        if len(self.accepted) < FAIR_FRACTION * len(self.submitted):
            problems.append(f"{self.name}: {len(self.accepted)} of {len(self.submitted)} messages accepted")
        return problems


@dataclass(slots=True)
class LimitedDispatcher:
    """One running dispatcher, whose limits the tests check."""

    path: str
    operator: str | None
    port: int
    health_port: int
    agent: Agent
    memory_mb: int
    sockets: int
    processes: list[Process] = field(default_factory=list)
    usage: Usage = field(default_factory=Usage)

    @property
    def process(self) -> Process:
        """The process that was started last."""
        return self.processes[-1]

    async def start_process(self, path: str | None = None) -> Process:
        """Start a process and wait until it serves."""
        process = await spawn(path or self.path, descriptors=self.sockets, operator=self.operator)
        self.processes.append(process)
        await wait_until_serving(process, self.port)
        return process

    def check(self, *clients: OrdinaryClient) -> list[str]:
        """Return which limits were exceeded, and what the clients complain of."""
        problems = [problem for client in clients for problem in client.check()]
        if self.usage.memory > self.memory_mb * BYTES_PER_MEGABYTE:
            problems.append(
                f"{self.usage.memory / BYTES_PER_MEGABYTE:.1f} MB of {self.memory_mb} MB were used"
            )
        if self.usage.descriptors > self.sockets:
            problems.append(f"{self.usage.descriptors} of {self.sockets} descriptors were used")
        if self.process.returncode is not None:
            problems.append(f"the process ended with {self.process.returncode}")
        return problems


@asynccontextmanager
async def limited_dispatcher(
    folder: Path,
    agent: Agent,
    memory_mb: int = 96,
    sockets: int = 1024,
    overrides: dict[str, Any] | None = None,
    operator: str = "",
) -> AsyncIterator[LimitedDispatcher]:
    """Run a dispatcher with these limits, and watch its usage; `overrides` are of its settings.

    `operator` is added to the operator's file.
    """
    port, health_port = listening_port(), listening_port()
    path, operator_path = write_config_files(
        folder,
        port,
        agent.port,
        agent.members,
        operator=f'[beside]\nhealth = "127.0.0.1:{health_port}"\n{operator}',
        settings=limit_settings() | (overrides or {}),
        limits={"memory_mb": memory_mb, "sockets": sockets, "disk_mb": 3},
    )
    dispatcher = LimitedDispatcher(path, operator_path, port, health_port, agent, memory_mb, sockets)
    await dispatcher.start_process()
    sampling = asyncio.create_task(dispatcher.usage.sample(dispatcher.processes))
    try:
        yield dispatcher
    finally:
        sampling.cancel()
        for process in dispatcher.processes:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()


@asynccontextmanager
async def ordinary_clients(port: int) -> AsyncIterator[tuple[OrdinaryClient, OrdinaryClient]]:
    """Run an ordinary client that keeps its connection, and one that opens a connection for each message."""
    clients = OrdinaryClient("kept", port, False), OrdinaryClient("fresh", port, True)
    tasks = [asyncio.create_task(client.run()) for client in clients]
    try:
        yield clients
    finally:
        for task in tasks:
            task.cancel()
        for result in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(result, Exception):
                raise result


async def attack(name: str, port: int, connections: int, seconds: float, *fields: str) -> None:
    """Play an attack of `hostile` in a process of its own, which ends by itself.

    `fields` may give the fields of the messages that are submitted.
    """
    arguments = [
        sys.executable,
        "-m",
        "tests.faults.hostile",
        name,
        str(port),
        str(connections),
        str(seconds),
    ]
    arguments += fields
    process = await asyncio.create_subprocess_exec(*arguments, cwd=ROOT)
    try:
        assert await process.wait() == 0
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


async def list_endpoint(port: int, rate: float = 400.0) -> Agent:
    """Return a running agent that lists one endpoint of destination 1."""
    row = {**endpoint_row("e-1", 1), "host_port": f"127.0.0.1:{port}", "size": rate}
    return await Agent([row]).start()
