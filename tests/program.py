"""Runs the real program in this process, on loopback sockets, for tests of the drivers."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
from collections.abc import AsyncIterator, Coroutine
from pathlib import Path
from typing import Any

import uvloop

from honeyhitch import config
from honeyhitch.service.run import run

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


def play(work: Coroutine[Any, Any, None]) -> None:
    """Run a test on uvloop; it fails rather than hangs."""

    async def bounded() -> None:
        async with asyncio.timeout(float(os.environ.get("PLAY_TIMEOUT", "60"))):
            await work

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(bounded())


def enqueue(name: str, left: int = 8000) -> bytes:
    """One message for destination 1 as a client hands it in; `left` in milliseconds."""
    parts = [b"ENQUEUE", b"0", name.encode(), b"c=standard,t=studio,d=%d,k=k,dest=1" % left, b"body"]
    return b"*5\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(part), part) for part in parts)


class Peer:
    """A scripted party: it listens, and hands out its connections in the order in which they came."""

    def __init__(self) -> None:
        self.came: asyncio.Queue[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = asyncio.Queue()
        self.port = 0
        self.now: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def start(self) -> Peer:
        server = await asyncio.start_server(lambda r, w: self.came.put((r, w)), "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        return self

    async def accepted(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if self.now is None:
            self.now = await self.came.get()
        return self.now

    async def dial(self, port: int) -> None:
        self.now = await asyncio.open_connection("127.0.0.1", port)


def free_port() -> int:
    import socket

    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


@contextlib.asynccontextmanager
async def started(
    folder: Path,
    discovery: int,
    members: list[dict[str, Any]],
    operator: str | None = None,
    port: int = 0,
    stopped: bool = False,
    **told: Any,
) -> AsyncIterator[int]:
    """The program, ready to serve, on this port; it is cancelled at the end, as abruptly as a kill."""
    port = port or free_port()
    path = write(folder, port, discovery, members, operator, **told)
    task = asyncio.ensure_future(run(config.read({}, *path), lambda now: config.read({}, *path, now)))
    try:
        while True:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
            except OSError:
                assert not task.done(), task.exception()
            else:
                writer.write(b"PING\r\n")
                answer = await reader.readline()
                writer.close()
                if answer == b"+PONG\r\n":
                    break
                assert answer.startswith(b"-LOADING"), answer
            await asyncio.sleep(0.01)
        yield port
        if stopped:  # it was told to stop, and must do so by itself
            await task
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


def write(
    folder: Path,
    port: int,
    discovery: int,
    members: list[dict[str, Any]],
    operator: str | None = None,
    **more: Any,
) -> tuple[str, str | None]:
    """The configuration's files; their paths."""
    told = {
        "name": "n0",
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{discovery}",
        "state": str(folder / "state"),
        "seed": "8c1f30d27a5be964",
        "known": {"revision": 1, "complete": True, "members": members},
        "settings": SETTINGS,
        **more,
    }
    (folder / "config.json").write_text(json.dumps(told))
    if operator is not None:
        (folder / "operator.toml").write_text(operator)
    return str(folder / "config.json"), str(folder / "operator.toml") if operator is not None else None
