"""Starts dispatchers with the deploy file's command, submits messages, and keeps the record of a case."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from asyncio.subprocess import Process
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import SystemRandom
from typing import Any

ROOT = Path(__file__).parent.parent.parent
HOST = "127.0.0.1"
SECOND = 1_000_000_000
HELD, NOT_RUN, BROKEN = 0, 2, 10  # run.sh ends with 1 for BROKEN, and with 2 for any other end
ANSWER_SECONDS = 0.4  # a client waits this long for its answer (protocol page)
CASE_SECONDS = 110.0


def trouble() -> bool:
    """Return whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port() -> int:
    """Return a free port on loopback that no outgoing connection takes."""
    lowest = int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    while True:
        port = SystemRandom().randrange(lowest - 12_000, lowest)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((HOST, port))
            return port


class Record:
    """The file that holds what was sent, answered and run, with seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        self.started_at = time.monotonic()
        self.file = path.open("w")

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.started_at

    def add(self, *words: object) -> None:
        """Write one line."""
        self.file.write(f"{self.now():8.3f} {' '.join(map(str, words))}\n")
        self.file.flush()


class CannotRunError(Exception):
    """The case could not be played."""


class Dispatcher:
    """One dispatcher: its files, and the processes that run it."""

    def __init__(self, folder: Path, record: Record, configuration: dict[str, Any], name: str = "n0") -> None:
        self.folder = folder / name
        self.folder.mkdir()
        (self.folder / "tmp").mkdir()
        self.record = record
        self.port = free_port()
        self.processes: list[Process] = []
        self.configuration = {
            "name": name,
            "listen": f"{HOST}:{self.port}",
            "state": str(self.folder / "state"),
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
            **configuration,
        }

    async def start(self, operator: Path | None = None) -> Process:
        """Start a process and wait until it says that it takes clients."""
        management = free_port()
        path = self.folder / f"config-{len(self.processes)}.json"
        path.write_text(json.dumps(self.configuration))
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            command = tomllib.load(file)["run"]
        environment = {
            "PATH": os.environ["PATH"],
            "TMPDIR": str(self.folder / "tmp"),
            "ROUTER_CONFIG": str(path),
            "ROUTER_NAME": self.configuration["name"],
            "ROUTER_LISTEN": self.configuration["listen"],
            "ROUTER_DISCOVERY": self.configuration["discovery"],
            "ROUTER_STATE": self.configuration["state"],
            "ROUTER_MANAGEMENT": f"{HOST}:{management}",
        }
        if operator is not None:
            environment["ROUTER_OPERATOR"] = str(operator)
        with (self.folder / "log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.processes.append(process)
        await self._wait_until_ready(process, management)
        self.record.add("dispatcher", self.configuration["name"], "ready, process", len(self.processes))
        return process

    async def _wait_until_ready(self, process: Process, management: int) -> None:
        for _ in range(1500):
            if process.returncode is not None:
                raise CannotRunError((self.folder / "log").read_text()[-2000:])
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(HOST, management)
                writer.write(b"status\n")
                line = await reader.readline()
                writer.close()
                if line.startswith(b"+OK"):
                    return
            await asyncio.sleep(0.02)
        raise CannotRunError("the dispatcher did not become ready within 30 s")

    def signal(self, process: Process, number: signal.Signals) -> None:
        """Send a signal to a process of this dispatcher."""
        self.record.add("signal", number.name, "to process", self.processes.index(process) + 1)
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(number)

    async def end(self) -> None:
        """End all processes of this dispatcher."""
        for process in self.processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
            await process.wait()


def encode_command(*arguments: str) -> bytes:
    """Return a RESP2 command."""
    encoded = [argument.encode() for argument in arguments]
    return b"*%d\r\n" % len(encoded) + b"".join(b"$%d\r\n%s\r\n" % (len(data), data) for data in encoded)


class Client:
    """Submits messages, each on a connection that carries no other open request."""

    def __init__(self, record: Record, port: int) -> None:
        self.record = record
        self.port = port
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def submit(self, message: str, fields: str, body: str = "body") -> str:
        """Submit a message and return the answer, or an empty text if there is none in time."""
        request = encode_command("ENQUEUE", "0" * 16, message, fields, body)
        for first in (
            True,
            False,
        ):  # once more, where the dispatcher has closed the connection before it read
            reuse = first and self.idle
            reader, writer = self.idle.pop() if reuse else await self._connect()
            if writer is None:
                break
            writer.write(request)
            try:
                async with asyncio.timeout(ANSWER_SECONDS):
                    line = (await reader.readline()).decode().strip()
            except TimeoutError:
                writer.close()
                break
            except OSError:
                line = ""
            if line:
                self.idle.append((reader, writer))
                self.record.add("client", message, fields, "answered", line)
                return line
            writer.close()
        self.record.add("client", message, fields, "not answered")
        return ""

    async def _connect(self) -> tuple[Any, Any]:
        try:
            return await asyncio.open_connection(HOST, self.port)
        except OSError:
            return None, None

    def close(self) -> None:
        """Close all connections."""
        for _, writer in self.idle:
            writer.close()


Play = Callable[[Path, Record], Awaitable[list[str]]]


def run_case(case_file: str, play: Play) -> None:
    """Play a case; exit with BROKEN if it returns faults, HELD if not, NOT_RUN if it could not run."""
    record = Record(Path(case_file).parent / "record.txt")
    record.add("trouble" if trouble() else "no trouble")

    async def bounded(folder: Path) -> list[str]:
        task = asyncio.current_task()
        assert task is not None
        # Ends the processes of the case also if the case itself is told to end.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(CASE_SECONDS):
            return await play(folder, record)

    try:
        with tempfile.TemporaryDirectory() as folder:
            faults = asyncio.run(bounded(Path(folder)))
    except (Exception, asyncio.CancelledError) as error:  # whatever it is, the case has shown nothing
        record.add("could not run:", repr(error))
        print("could not run:", repr(error))
        sys.exit(NOT_RUN)
    for fault in faults:
        record.add("BROKEN", fault)
        print("BROKEN", fault)
    if not faults:
        record.add("HELD")
        print("HELD")
    sys.exit(BROKEN if faults else HELD)
