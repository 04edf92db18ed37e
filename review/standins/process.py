"""Starts one dispatcher with the deploy file's `run`, on loopback, in a temporary folder."""

from __future__ import annotations

import asyncio
import contextlib
import copy
import json
import os
import random
import signal
import socket
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
SECOND = 10**9
LOWEST_PORT = 10_000


def free_port() -> int:
    """Return a free port, below the ephemeral range if there is room: no connection takes it meanwhile."""
    lowest = int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    below = range(LOWEST_PORT, lowest)
    for port in [random.SystemRandom().choice(below) for _ in range(100) if below] + [0]:
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            return int(sock.getsockname()[1])
    raise OSError("no free port")


def deployment_settings(**changes: Any) -> dict[str, Any]:
    """Return the settings of a small deployment, in the wire page's names, with one keyed class."""
    settings: dict[str, Any] = {
        "ordinal": 0,
        "replicas-of-me": 1,
        "classes": [
            {
                "name": "standard",
                "semantics": "token",
                "group": "all",
                "window": 5 * SECOND,
                "aim": 2_500_000_000,
                "deadline": 20 * SECOND,
                "late-share": 0.3,
                "worth": 1.0,
                "stream": False,
            }
        ],
        "tenants": [{"name": "studio", "quota-rps": 50.0, "fraction": 1.0}],
        "shapes": ["large-partner", "small-partner"],
        "zones": ["hq"],
        "zone": 0,
        "weights": "rough",
        "discovery": "automatic",
        "family-info": {
            "call-slots": 12,
            "per-call": [1, 1],
            "own-limits": [False, False],
            "decay": "line",
            "report-x0": "share of the allowance that is left",
            "report-x1": "calls a second that the limit allows",
        },
        "caps": {
            "cancel": True,
            "max-open": 60,
            "most-tries": 12,
            "max-retry-after": 2 * SECOND,
            "max-streams": 1,
            "connect-timeout": 1_500_000_000,
            "conn-idle": 15 * SECOND,
            "probes": True,
            "retry-after": True,
            "second-copies": False,
            "peers": False,
        },
        "invariants": {
            "answer-slack": 20_000_000,
            "drain-grace": 2 * SECOND,
            "cold": 14 * SECOND,
            "cold-share": 0.31,
            "fall": 3 * SECOND,
            "fall-multiple": 1.5,
        },
        "report": {"how": "inline", "fields": ["x0", "x1"]},
        "resolution": 5_000_000,
    }
    for name, value in changes.items():
        settings[name] = {**settings[name], **value} if isinstance(value, dict) else value
    return settings


class Dispatcher:
    """The program's process; it keeps its name, its addresses and its folder over restarts."""

    def __init__(
        self,
        folder: Path,
        agent_port: int,
        members: list[dict[str, Any]],
        settings: dict[str, Any],
        operator: str = "",
    ) -> None:
        self.folder = folder
        self.port = free_port()
        (folder / "state").mkdir()
        (folder / "tmp").mkdir()
        self.config = {
            "name": "n1",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{agent_port}",
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
            "known": {"revision": 1, "complete": True, "members": members},
            "settings": settings,
        }
        (folder / "config.json").write_text(json.dumps(self.config))
        self.environment = {
            **os.environ,
            "ROUTER_NAME": "n1",
            "ROUTER_LISTEN": self.config["listen"],
            "ROUTER_DISCOVERY": self.config["discovery"],
            "ROUTER_STATE": str(folder / "state"),
            "ROUTER_CONFIG": str(folder / "config.json"),
            "TMPDIR": str(folder / "tmp"),
        }
        if operator:
            (folder / "operator.toml").write_text(operator)
            self.environment["ROUTER_OPERATOR"] = str(folder / "operator.toml")
        self.run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        self.process: asyncio.subprocess.Process | None = None

    def beside(self, management: int) -> Dispatcher:
        """Return the second process of an upgrade, not started yet, with another second address."""
        second = copy.copy(self)
        second.environment = {**self.environment, "ROUTER_MANAGEMENT": f"127.0.0.1:{management}"}
        second.process = None
        return second

    async def launch(self) -> None:
        """Start the process."""
        with (self.folder / "dispatcher.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                self.run,
                cwd=ROOT,
                env=self.environment,
                stdout=log,
                stderr=log,
                stdin=asyncio.subprocess.DEVNULL,
            )

    async def start(self) -> None:
        """Start the process and wait until it answers PING with +PONG."""
        await self.launch()
        assert self.process is not None
        async with asyncio.timeout(30):
            while not await self._answers_ping():
                if self.process.returncode is not None:
                    raise RuntimeError(f"the dispatcher ended with {self.process.returncode} at its start")
                await asyncio.sleep(0.02)

    async def _answers_ping(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            return False
        try:
            writer.write(b"*1\r\n$4\r\nPING\r\n")
            return await reader.readline() == b"+PONG\r\n"
        except OSError:
            return False
        finally:
            writer.close()

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def kill(self) -> None:
        """SIGKILL, by the id of the process that `run` has become."""
        if self.process is not None:
            if self.process.returncode is None:
                self.signal(signal.SIGKILL)
            await self.process.wait()


def enqueue(message: str, fields: dict[str, Any], body: bytes) -> bytes:
    """Return one ENQUEUE command."""
    text = ",".join(f"{name}={value}" for name, value in fields.items()).encode()
    arguments = (b"ENQUEUE", b"0" * 16, message.encode(), text, body)
    return b"*5\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(item), item) for item in arguments)
