"""A real `serve` process on loopback for benchmarks: its configuration, start and resource use.

All stand-ins listen on loopback addresses only. Each process is killed by its ID.
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
from benchmarks.start import cpu_seconds  # noqa: E402
from tests.program import free_port, write_config_files  # noqa: E402

START_TIMEOUT_SECONDS = 120.0
READ_SIZE = 1 << 16


def endpoint_rows(count: int, port: int = 9, first: int = 1) -> list[dict[str, Any]]:
    """Return `count` destinations with one endpoint each, from number `first`, as discovery lists them."""
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

    def cpu_seconds(self) -> float:
        """Return the CPU seconds used so far."""
        return cpu_seconds(self.process.pid)

    def resident(self) -> int:
        """Return the resident memory in bytes. Raise RuntimeError if the process has ended."""
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024
        raise RuntimeError(f"process {self.process.pid} has ended: its status has no VmRSS")

    def journal_bytes(self) -> int:
        """Return the size in bytes of all files in the state directory."""
        state = Path(json.loads(self.config.read_text())["state"])
        return sum(file.stat().st_size for file in state.iterdir() if file.is_file())

    def request_line(self, request: bytes) -> bytes:
        """Send a request on a new connection and return the first line of the reply."""
        with socket.create_connection(("127.0.0.1", self.port), timeout=START_TIMEOUT_SECONDS) as sock:
            sock.sendall(request)
            return sock.makefile("rb").readline()


def enqueue(message_id: str, destination: int, time_left_ms: int = 20_000, body: bytes = b"x" * 200) -> bytes:
    """Return the command with which a client submits a message."""
    fields = f"c=standard,t=studio,d={time_left_ms},k={message_id},dest={destination}".encode()
    arguments = [b"ENQUEUE", b"0" * 16, message_id.encode(), fields, body]
    return b"*5\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(argument), argument) for argument in arguments)


@contextlib.contextmanager
def running_service(
    folder: Path,
    discovery: int,
    known: list[dict[str, Any]],
    operator: str | None = None,
    port: int = 0,
    **config: Any,
) -> Iterator[ServiceProcess]:
    """Start a real process and yield it after its first `+PONG`; kill it at the end.

    `port` 0 selects a free port, and `config` overrides fields of the configuration file.
    """
    port = port or free_port()
    path, operator_path = write_config_files(folder, port, discovery, known, operator, **config)
    program = [sys.executable, "-m", "honeyhitch", "serve", "--config", path]
    program += ["--operator", operator_path] if operator_path is not None else []
    began = time.monotonic()
    process = subprocess.Popen(program, cwd=ROOT, env=dict(os.environ), stderr=subprocess.DEVNULL)
    service = ServiceProcess(process, port, Path(path), 0.0)
    try:
        _wait_until_ready(service, began)
        service.seconds_to_ready = time.monotonic() - began
        yield service
    finally:
        process.kill()
        process.wait()


def _wait_until_ready(service: ServiceProcess, began: float) -> None:
    while service.process.poll() is None and time.monotonic() - began < START_TIMEOUT_SECONDS:
        with contextlib.suppress(OSError):
            if service.request_line(b"PING\r\n") == b"+PONG\r\n":
                return
        time.sleep(0.01)
    raise RuntimeError(f"the process at port {service.port} did not reply to PING with +PONG")
