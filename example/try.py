"""Starts the toy and a dispatcher on free ports, hands one message in, and shows that the toy received it.

It needs the environment only; `make try` makes that first. Exit code 0 once the message was delivered.
"""

from __future__ import annotations

import json
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import IO

HERE = Path(__file__).parent
HELLO = "hello from make try"
PATIENCE = 30.0  # seconds for each of the three steps


def free_ports(count: int) -> list[int]:
    """Ports on which nothing listens now."""
    socks = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def serves(port: int, program: subprocess.Popen[str]) -> bool:
    """Wait till the dispatcher answers a PING."""
    until = time.monotonic() + PATIENCE
    while time.monotonic() < until and program.poll() is None:
        try:
            with socket.create_connection(("127.0.0.1", port), timeout=1) as client:
                client.sendall(b"PING\r\n")
                return client.recv(16) == b"+PONG\r\n"
        except OSError:
            time.sleep(0.05)
    return False


def shown(lines: IO[str], wanted: str) -> bool:
    """Print what the toy prints until a line tells of this message."""
    for line in lines:
        print(f"toy         {line}", end="", flush=True)
        if re.search(wanted, line):
            return True
    return False


def main() -> int:
    """Try it; the exit code."""
    listen, discovery, partner = free_ports(3)
    told = json.loads((HERE / "config.json").read_text())
    with tempfile.TemporaryDirectory() as folder:
        told |= {
            "listen": f"127.0.0.1:{listen}",
            "discovery": f"127.0.0.1:{discovery}",
            "state": f"{folder}/state",
        }
        path = Path(folder, "config.json")
        path.write_text(json.dumps(told))
        toy = subprocess.Popen(
            [sys.executable, str(HERE / "toy.py"), str(discovery), str(partner)],
            stdout=subprocess.PIPE,
            text=True,
        )
        command = [sys.executable, "-m", "honeyhitch"]
        dispatcher = subprocess.Popen([*command, "serve", "--config", str(path)], cwd=HERE.parent, text=True)
        try:
            assert toy.stdout is not None
            if not serves(listen, dispatcher):
                print("the dispatcher does not answer")
                return 1
            print(f"dispatcher  serves clients on 127.0.0.1:{listen}", flush=True)
            handed_in = subprocess.run(
                [*command, "send", f"127.0.0.1:{listen}", HELLO, "--dest", "1", "--tenant", "studio"],
                cwd=HERE.parent,
                capture_output=True,
                text=True,
                timeout=PATIENCE,
            )
            print(f"hand-in     {handed_in.stdout.strip() or handed_in.stderr.strip()}", flush=True)
            if handed_in.returncode or not shown(toy.stdout, HELLO):
                return 1
            print("delivered")
            return 0
        finally:
            for program in (dispatcher, toy):
                program.send_signal(signal.SIGTERM)
                program.wait(PATIENCE)


if __name__ == "__main__":
    sys.exit(main())
