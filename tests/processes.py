"""Real `serve` processes for tests, on loopback; each is ended by its id."""

from __future__ import annotations

import asyncio
import contextlib
import shlex
import sys
from asyncio.subprocess import Process
from collections.abc import AsyncIterator
from pathlib import Path

ROOT = Path(__file__).parent.parent
PING, PONG = b"PING\r\n", b"+PONG\r\n"


async def spawn(path: str, descriptors: int | None = None, operator: str | None = None) -> Process:
    """A real process with this configuration, and with so few descriptors if that is said."""

    limit = f"ulimit -n {descriptors}; " if descriptors is not None else ""
    arguments = [sys.executable, "-m", "honeyhitch", "serve", "--config", path]
    arguments += ["--operator", operator] if operator is not None else []
    program = shlex.join(arguments)
    return await asyncio.create_subprocess_shell(
        f"{limit}exec {program}", cwd=ROOT, stderr=asyncio.subprocess.DEVNULL
    )


async def ask(port: int, request: bytes) -> bytes:
    """The first line of the answer. A connection that is shut before the request on it was read, as the
    protocol allows, is followed by another one.
    """
    while True:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(request)
        with contextlib.suppress(ConnectionResetError):
            if line := await reader.readline():
                writer.close()
                return line


async def until_ready(process: Process, port: int) -> None:
    """Wait until it answers PING with PONG."""
    while process.returncode is None:
        with contextlib.suppress(OSError):
            if await ask(port, PING) == PONG:
                return
        await asyncio.sleep(0.02)
    raise AssertionError(f"it ended with {process.returncode}")


@contextlib.asynccontextmanager
async def killed(processes: list[Process]) -> AsyncIterator[None]:
    """Whatever still runs at the end is killed, by its id."""
    try:
        yield
    finally:
        for process in processes:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()
