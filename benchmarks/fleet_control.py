"""A stand-in for the control machines over loopback: it lists a fleet and stamps heartbeats on its watches.

It runs in a process of its own, so that its CPU time can be told from all else.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from multiprocessing import get_context
from multiprocessing.connection import Connection
from multiprocessing.sharedctypes import Synchronized
from pathlib import Path
from typing import Any, cast

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))
from benchmarks.start import cpu  # noqa: E402
from honeyhitch.partitioning.settings import Region  # noqa: E402

ZONES_A_REGION = 5
LEASE_MS = 3000
BEAT_SECONDS = 1.0
LOOK_SECONDS = 0.005  # between looks for orders


def fleet_regions() -> tuple[Region, ...]:
    """Two regions of five zones."""
    return tuple(
        Region(name, tuple(f"{name}-{number}" for number in range(ZONES_A_REGION)))
        for name in ("east", "west")
    )


def entry(name: str, zone: str, address: str = "127.0.0.1:9", since: int = 0) -> dict[str, Any]:
    """One instance, as the view lists it."""
    region = next(region.name for region in fleet_regions() if zone in region.zones)
    told = {"id": name, "host_port": address, "locality": zone, "flavor": region, "phase": "Ready"}
    return {**told, "up_since_ms": since, "joined_ms": 0}


def entries(count: int) -> list[dict[str, Any]]:
    """So many instances, spread over all zones; nobody listens at their addresses."""
    zones = [zone for region in fleet_regions() for zone in region.zones]
    return [entry(f"d{number}", zones[number % len(zones)]) for number in range(count)]


class FleetControl:
    """The process, as those see it who give it orders."""

    def __init__(self, members: list[dict[str, Any]]) -> None:
        context = get_context("spawn")
        self._orders, theirs = context.Pipe()
        self._bytes = cast("Synchronized[float]", context.Value("d", 0.0))
        self._process = context.Process(target=_serve, args=(members, theirs, self._bytes), daemon=True)
        self._process.start()
        self.port: int = self._orders.recv()

    @property
    def bytes_sent(self) -> float:
        """To all watches together."""
        return self._bytes.value

    def cpu(self) -> float:
        """CPU seconds used so far."""
        assert self._process.pid is not None
        return cpu(self._process.pid)

    def set_phase(self, name: str, phase: str) -> None:
        """Publish that an instance has this phase now."""
        self._orders.send((name, phase))

    def close(self) -> None:
        """End it."""
        self._process.terminate()
        self._process.join(10)


class _Server:
    def __init__(self, members: list[dict[str, Any]], orders: Connection, sent: Synchronized[float]) -> None:
        self.members = {one["id"]: one for one in members}
        self.orders, self.sent, self.revision = orders, sent, 1
        self.watches = set[asyncio.StreamWriter]()

    async def run(self) -> None:
        server = await asyncio.start_server(self._client, "127.0.0.1", 0, backlog=2048)
        self.orders.send(server.sockets[0].getsockname()[1])
        beat_at = time.monotonic()
        while True:
            while self.orders.poll():
                self._change(*self.orders.recv())
            if time.monotonic() >= beat_at:
                beat_at += BEAT_SECONDS
                self._all(self._line(False, []))
            await asyncio.sleep(LOOK_SECONDS)

    def _line(self, complete: bool, members: list[dict[str, Any]]) -> bytes:
        told = {"revision": self.revision, "complete": complete, "members": members, "lease_ms": LEASE_MS}
        told["issued_ms"] = time.time_ns() // 1_000_000
        return json.dumps(told, separators=(",", ":")).encode() + b"\n"

    def _change(self, name: str, phase: str) -> None:
        self.revision += 1
        since = time.time_ns() // 1_000_000
        self.members[name] = {**self.members[name], "phase": phase, "up_since_ms": since}
        self._all(self._line(False, [self.members[name]]))

    def _all(self, line: bytes) -> None:
        chunk = b"%x\r\n%s\r\n" % (len(line), line)
        for writer in self.watches:
            writer.write(chunk)
        self.sent.value += len(chunk) * len(self.watches)

    async def _client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                line = self._line(True, list(self.members.values()))
                if b"stream=1" in head:
                    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                    if b"index=%d " % self.revision not in head:
                        writer.write(b"%x\r\n%s\r\n" % (len(line), line))
                    self.watches.add(writer)
                else:
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(line), line))
        except (OSError, asyncio.IncompleteReadError):
            self.watches.discard(writer)
            writer.close()


def _serve(members: list[dict[str, Any]], orders: Connection, sent: Synchronized[float]) -> None:
    asyncio.run(_Server(members, orders, sent).run())
