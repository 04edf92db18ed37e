"""Real `serve` processes for tests, on loopback; each is killed by its id."""

from __future__ import annotations

import asyncio
import contextlib
import random
import re
import shlex
import socket
import sys
from asyncio.subprocess import Process
from collections import Counter
from collections.abc import AsyncIterator, Callable
from pathlib import Path

from .polling import poll_until

ROOT = Path(__file__).parent.parent
EPHEMERAL_PORT_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")
LISTENING_PORT_COUNT = 12_000
USED_PORTS = set[int]()  # returned by `listening_port` in this process
PING, PONG = b"PING\r\n", b"+PONG\r\n"


def listening_port() -> int:
    """Return a free port that was not returned before, below the range of ephemeral ports.

    An ephemeral port could be taken by an outgoing connection of another test process before it is used.
    """
    lowest = int(EPHEMERAL_PORT_RANGE.read_text().split()[0])
    while True:
        port = random.SystemRandom().randrange(lowest - LISTENING_PORT_COUNT, lowest)
        if port in USED_PORTS:
            continue
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            USED_PORTS.add(port)
            return port


async def spawn(
    path: str,
    descriptors: int | None = None,
    operator: str | None = None,
    environment: dict[str, str] | None = None,
) -> Process:
    """Start `serve` with the configuration at `path`, and with a limit on descriptors if one is given."""
    limit = f"ulimit -n {descriptors}; " if descriptors is not None else ""
    arguments = [sys.executable, "-m", "honeyhitch", "serve", "--config", path]
    arguments += ["--operator", operator] if operator is not None else []
    program = shlex.join(arguments)
    with Path(path).with_suffix(".log").open("ab") as log:  # read to analyse a failed test
        return await asyncio.create_subprocess_shell(
            f"trap '' HUP; {limit}exec {program}", cwd=ROOT, stderr=log, env=environment
        )


async def request_line(port: int, request: bytes) -> bytes:
    """Send a request and return the first line of the reply.

    The protocol allows a connection to be closed before its request is read; then a new one is opened.
    """
    while True:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(request)
        with contextlib.suppress(ConnectionResetError):
            if line := await reader.readline():
                writer.close()
                return line


async def wait_until_serving(process: Process, port: int) -> None:
    """Wait until the process answers PING with PONG. Raise AssertionError if the process ends first."""

    async def ready() -> bool:
        assert process.returncode is None, f"the process ended with {process.returncode}"
        try:
            return await request_line(port, PING) == PONG
        except OSError:
            return False

    await poll_until(ready, interval=0.02)


@contextlib.asynccontextmanager
async def killed_at_end(processes: list[Process]) -> AsyncIterator[None]:
    """Kill each process that still runs at the end, by its id."""
    try:
        yield
    finally:
        for process in processes:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()


class CountingEndpoint:
    """An endpoint of every destination that counts calls by message id, and replies to all or none."""

    def __init__(self, on_call: Callable[[], None], replies: bool = True) -> None:
        """`on_call` is called after each call received."""
        self.on_call, self.replies, self.port = on_call, replies, 0
        self.calls = Counter[str]()

    async def start(self) -> CountingEndpoint:
        server = await asyncio.start_server(self._client, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        return self

    async def _client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\nbody")).decode()
                match = re.search(r"x-txn: (\S+)", head, re.I)
                assert match is not None
                self.calls[match[1]] += 1
                self.on_call()
                if self.replies:
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        writer.close()
