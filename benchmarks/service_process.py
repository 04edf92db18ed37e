"""A real `serve` process on loopback for measurements: its configuration, its start, and what it uses.

The stand-ins listen on loopback addresses alone; each process is ended by its id.
"""

from __future__ import annotations

import contextlib
import json
import os
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))
from benchmarks.start import cpu  # noqa: E402
from tests.program import free_port, write  # noqa: E402

START_WITHIN = 120.0  # seconds
READ_SIZE = 1 << 16


def members(count: int, port: int = 9, first: int = 1) -> list[dict[str, Any]]:
    """So many destinations with one endpoint each, in discovery's form."""
    return [
        {
            "id": f"s-{number:08x}",
            "host_port": f"127.0.0.1:{port}",
            "locality": "hq",
            "flavor": "small",
            "cell": number,
            "phase": "Ready",
            "size": 9.5,
            "up_since_ms": 0,
        }
        for number in range(first, first + count)
    ]


@dataclass(slots=True)
class ServiceProcess:
    """One running dispatcher."""

    process: subprocess.Popen[bytes]
    port: int
    config: Path
    seconds_to_ready: float

    def cpu(self) -> float:
        """CPU seconds used so far."""
        return cpu(self.process.pid)

    def resident(self) -> int:
        """Resident memory in bytes."""
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024
        raise RuntimeError("the process has gone")

    def journal_bytes(self) -> int:
        """Size of the files in the state folder."""
        state = Path(json.loads(self.config.read_text())["state"])
        return sum(file.stat().st_size for file in state.iterdir() if file.is_file())

    def ask(self, request: bytes) -> bytes:
        """The first line of an answer, on a connection of its own."""
        with socket.create_connection(("127.0.0.1", self.port), timeout=START_WITHIN) as sock:
            sock.sendall(request)
            return sock.makefile("rb").readline()


def enqueue(name: str, destination: int, left: int = 20_000, body: bytes = b"x" * 200) -> bytes:
    """A message as a client hands it in; `left` in milliseconds."""
    fields = f"c=standard,t=studio,d={left},k={name},dest={destination}".encode()
    parts = [b"ENQUEUE", b"0" * 16, name.encode(), fields, body]
    return b"*5\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(part), part) for part in parts)


@contextlib.contextmanager
def running(
    folder: Path,
    discovery: int,
    known: list[dict[str, Any]],
    operator: str | None = None,
    port: int = 0,
    **told: Any,
) -> Iterator[ServiceProcess]:
    """A real process, from exec to `+PONG`, at this port or a free one; it is killed at the end."""
    port = port or free_port()
    path, operator_path = write(folder, port, discovery, known, operator, **told)
    program = [sys.executable, "-m", "honeyhitch", "serve", "--config", path]
    program += ["--operator", operator_path] if operator_path is not None else []
    began = time.monotonic()
    process = subprocess.Popen(program, cwd=ROOT, env=dict(os.environ), stderr=subprocess.DEVNULL)
    service = ServiceProcess(process, port, Path(path), 0.0)
    try:
        _await_pong(service, began)
        service.seconds_to_ready = time.monotonic() - began
        yield service
    finally:
        process.kill()
        process.wait()


def _await_pong(service: ServiceProcess, began: float) -> None:
    while service.process.poll() is None and time.monotonic() - began < START_WITHIN:
        with contextlib.suppress(OSError):
            if service.ask(b"PING\r\n") == b"+PONG\r\n":
                return
        time.sleep(0.01)
    raise RuntimeError("the process did not become ready")
