"""Measure the cost of a start: CPU time from exec to the first +PONG, for single and concurrent starts.

    python benchmarks/start.py [--rounds 20] [--together 32] [--uncompiled]

`--uncompiled` starts from a copy of the sources without compiled files, and does not write any, as in a
read-only directory for which `build` was not run. All connections use loopback; each process is killed by
its ID.
"""

from __future__ import annotations

import argparse
import json
import os
import shutil
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))
from tests.program import write_config_files  # noqa: E402

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
START_TIMEOUT_SECONDS = 60.0
PORT = 7379  # each process has its own address; the port is below the range of ephemeral ports


def cpu_seconds(pid: int) -> float:
    """Return the user and system CPU seconds that a process has used."""
    stat_fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(stat_fields[11]) + int(stat_fields[12])) / TICKS_PER_SECOND


def start(
    root: Path, folder: Path, number: int, discovery: int, compiled: bool
) -> tuple[subprocess.Popen[bytes], str]:
    """Start one process at a separate loopback address. Return the process and its address.

    At a shared address another process could take a free port before the dispatcher listens on it.
    """
    folder.mkdir()
    host = f"127.0.1.{number + 1}"
    path, _ = write_config_files(folder, PORT, discovery, [], listen=f"{host}:{PORT}")
    environ = {**os.environ, "PYTHONDONTWRITEBYTECODE": "" if compiled else "1"}
    program = [sys.executable, "-m", "honeyhitch", "serve", "--config", path]
    return subprocess.Popen(program, cwd=root, env=environ, stderr=subprocess.DEVNULL), host


def wait_until_ready(program: subprocess.Popen[bytes], host: str) -> float:
    """Wait for +PONG. Return the CPU seconds that the process used until then.

    Raise SystemExit if the process ends or `START_TIMEOUT_SECONDS` pass.
    """
    deadline = time.monotonic() + START_TIMEOUT_SECONDS
    while time.monotonic() < deadline and program.poll() is None:
        try:
            with socket.create_connection((host, PORT), timeout=5) as client:
                client.sendall(b"PING\r\n")
                if client.recv(16) == b"+PONG\r\n":
                    return cpu_seconds(program.pid)
        except OSError:
            time.sleep(0.005)
    raise SystemExit(f"the process at {host}:{PORT} did not reply to PING with +PONG")


def measure(root: Path, count: int, compiled: bool) -> tuple[list[float], float]:
    """Start `count` processes at once. Return the CPU seconds of each and the seconds until all are ready."""
    with tempfile.TemporaryDirectory() as folder, socket.create_server(("127.0.0.1", 0)) as discovery:
        began, port = time.monotonic(), discovery.getsockname()[1]
        started = [start(root, Path(folder, f"n{i}"), i, port, compiled) for i in range(count)]
        try:
            cpu = [wait_until_ready(*process) for process in started]
            return cpu, time.monotonic() - began
        finally:
            for program, _ in started:
                program.kill()
                program.wait()


def main() -> None:
    """Measure single and concurrent starts, and print the results as one line of JSON."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--rounds", type=int, default=20)
    parser.add_argument("--together", type=int, default=32)
    parser.add_argument("--uncompiled", action="store_true")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as copy:
        root = ROOT
        if options.uncompiled:
            root = Path(copy)
            ignored = shutil.ignore_patterns("__pycache__")
            shutil.copytree(ROOT / "honeyhitch", root / "honeyhitch", ignore=ignored)
        else:
            measure(root, 1, True)  # writes the compiled files that do not exist yet
        single = [
            seconds for _ in range(options.rounds) for seconds in measure(root, 1, not options.uncompiled)[0]
        ]
        many, last = measure(root, options.together, not options.uncompiled)
    print(
        json.dumps(
            {
                "compiled": not options.uncompiled,
                "cpu_s_alone_median": round(statistics.median(single), 3),
                "cpu_s_alone_most": round(max(single), 3),
                "together": options.together,
                "cpu_s_together_median": round(statistics.median(many), 3),
                "last_ready_s": round(last, 2),
            }
        )
    )


if __name__ == "__main__":
    main()
