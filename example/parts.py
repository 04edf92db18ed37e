"""Helpers of the examples: choose free ports, wait for a dispatcher, and print the output of the toy."""

from __future__ import annotations

import re
import socket
import subprocess
import time
from typing import IO

STEP_TIMEOUT_SECONDS = 30.0


def free_ports(count: int) -> list[int]:
    """Return `count` loopback ports on which no process listens; another process may take one later."""
    socks = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def wait_until_serving(port: int, program: subprocess.Popen[str]) -> bool:
    """Wait until the dispatcher replies to PING with +PONG, which means that it accepts messages.

    Return False if the program ends or `STEP_TIMEOUT_SECONDS` pass before the reply.
    """
    deadline = time.monotonic() + STEP_TIMEOUT_SECONDS
    while time.monotonic() < deadline and program.poll() is None:
        try:
            with socket.create_connection(("127.0.0.1", port), timeout=1) as client:
                client.sendall(b"PING\r\n")
                if client.recv(16) == b"+PONG\r\n":
                    return True
        except OSError:
            pass
        time.sleep(0.05)
    return False


def print_until(lines: IO[str], pattern: str) -> bool:
    """Print the lines of the toy until a line matches the pattern. Return whether a line matched."""
    for line in lines:
        print(f"toy         {line}", end="", flush=True)
        if re.search(pattern, line):
            return True
    return False
