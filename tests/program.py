"""Runs the real program in this process, on loopback sockets, for tests of the transports."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
from asyncio.subprocess import Process
from collections.abc import AsyncIterator, Coroutine
from pathlib import Path
from typing import Any

import uvloop

from honeyhitch import config
from honeyhitch.service.run import run

from .polling import poll_until
from .processes import killed_at_end, listening_port, spawn, wait_until_serving

SETTINGS: dict[str, Any] = {
    "classes": [
        {
            "name": "standard",
            "semantics": "token",
            "aim": 2_500_000_000,
            "deadline": 20_000_000_000,
            "window": 5_000_000_000,
            "group": "all",
        }
    ],
    "shapes": ["large", "small"],
    "zones": ["hq"],
    "tenants": [{"name": "studio", "quota-rps": 50.0, "fraction": 1.0}],
    "family-info": {"call-slots": 8, "per-call": [20, 1], "own-limits": [False, False]},
    "caps": {
        "max-open": 50,
        "most-tries": 12,
        "max-retry-after": 2_000_000_000,
        "connect-timeout": 1_500_000_000,
    },
    "invariants": {"fall-multiple": 1.5, "cold-share": 0.3, "cold": 14_000_000_000},
    "report": {"how": "inline", "fields": ["x0", "x1"]},
    "resolution": 5_000_000,
}


def run_async_test(work: Coroutine[Any, Any, None]) -> None:
    """Run a test on uvloop; fail it if it takes longer than PLAY_TIMEOUT seconds, which is 60 by default."""

    async def bounded() -> None:
        async with asyncio.timeout(float(os.environ.get("PLAY_TIMEOUT", "60"))):
            await work

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(bounded())


def enqueue(name: str, left: int = 8000) -> bytes:
    """Return a client's command that submits a message for destination 1; `left` is its time left in ms."""
    arguments = [b"ENQUEUE", b"0", name.encode(), b"c=standard,t=studio,d=%d,k=k,dest=1" % left, b"body"]
    return b"*5\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(value), value) for value in arguments)


class Peer:
    """A scripted peer that listens and returns its connections in the order of their arrival."""

    def __init__(self) -> None:
        self.connections: asyncio.Queue[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = asyncio.Queue()
        self.port = 0
        self.connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def start(self) -> Peer:
        server = await asyncio.start_server(lambda r, w: self.connections.put((r, w)), "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        return self

    async def accept_connection(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if self.connection is None:
            self.connection = await self.connections.get()
        return self.connection

    async def dial(self, port: int) -> None:
        self.connection = await asyncio.open_connection("127.0.0.1", port)


def free_port() -> int:
    """Return a port that was free when it was checked and was not returned before."""
    return listening_port()


async def is_ready(port: int, task: asyncio.Future[None]) -> bool:
    """Return whether the program on this port accepts messages; its task must not have ended."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        assert not task.done(), task.exception()
        return False
    writer.write(b"PING\r\n")
    reply = await reader.readline()
    writer.close()
    if reply == b"+PONG\r\n":
        return True
    assert reply.startswith(b"-LOADING"), reply
    return False


@contextlib.asynccontextmanager
async def running_program(
    folder: Path,
    discovery: int,
    members: list[dict[str, Any]],
    operator: str | None = None,
    port: int = 0,
    stopped: bool = False,
    **file_fields: Any,
) -> AsyncIterator[int]:
    """Run the program and yield its port once it is ready. At the end cancel it, as abruptly as a kill."""
    port = port or free_port()
    paths = write_config_files(folder, port, discovery, members, operator, **file_fields)
    task = asyncio.ensure_future(
        run(config.read({}, *paths), lambda previous: config.read({}, *paths, previous))
    )
    try:
        await poll_until(lambda: is_ready(port, task), interval=0.01)
        yield port
        if stopped:  # the test sent a signal to stop, and the program must end by itself
            await task
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


@contextlib.asynccontextmanager
async def running_process(
    folder: Path,
    discovery: int,
    members: list[dict[str, Any]],
    environment: dict[str, str] | None = None,
) -> AsyncIterator[tuple[Process, int]]:
    """Run the program in a process of its own, and yield the process and its port once it serves."""
    port = listening_port()
    path, _ = write_config_files(folder, port, discovery, members)
    process = await spawn(path, environment=environment)
    async with killed_at_end([process]):
        await wait_until_serving(process, port)
        yield process, port


def write_config_files(
    folder: Path,
    port: int,
    discovery: int,
    members: list[dict[str, Any]],
    operator: str | None = None,
    **overrides: Any,
) -> tuple[str, str | None]:
    """Write the configuration files and return their paths."""
    fields = {
        "name": "n0",
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{discovery}",
        "state": str(folder / "state"),
        "seed": "8c1f30d27a5be964",
        "known": {"revision": 1, "complete": True, "members": members},
        "settings": SETTINGS,
        **overrides,
    }
    (folder / "config.json").write_text(json.dumps(fields))
    if operator is not None:
        (folder / "operator.toml").write_text(operator)
    return str(folder / "config.json"), str(folder / "operator.toml") if operator is not None else None
