"""A stand-in for the control machines on loopback: it lists a fleet and sends heartbeats on its watches.

The stand-in runs in a separate process, so that its CPU time is measured separately.
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
from benchmarks.start import cpu_seconds  # noqa: E402
from honeyhitch.partitioning.settings import Region  # noqa: E402
from honeyhitch.time_units import MILLISECOND  # noqa: E402

ZONES_PER_REGION = 5
LEASE_MS = 3000
HEARTBEAT_SECONDS = 1.0
POLL_SECONDS = 0.005  # between checks for commands


def fleet_regions() -> tuple[Region, ...]:
    """Return two regions of `ZONES_PER_REGION` zones each."""
    return tuple(
        Region(name, tuple(f"{name}-{number}" for number in range(ZONES_PER_REGION)))
        for name in ("east", "west")
    )


def view_entry(name: str, zone: str, address: str = "127.0.0.1:9", up_since_ms: int = 0) -> dict[str, Any]:
    """Return the entry of one instance in the view."""
    region = next(region.name for region in fleet_regions() if zone in region.zones)
    entry = {"id": name, "host_port": address, "locality": zone, "flavor": region, "phase": "Ready"}
    return {**entry, "up_since_ms": up_since_ms, "joined_ms": 0}


def view_entries(count: int) -> list[dict[str, Any]]:
    """Return the entries of `count` instances spread over all zones; none listens at its address."""
    zones = [zone for region in fleet_regions() for zone in region.zones]
    return [view_entry(f"d{number}", zones[number % len(zones)]) for number in range(count)]


class FleetControl:
    """The process of the stand-in, which a benchmark starts and sends commands to."""

    def __init__(self, entries: list[dict[str, Any]]) -> None:
        context = get_context("spawn")
        self._commands, child_end = context.Pipe()
        self._bytes_sent = cast("Synchronized[float]", context.Value("d", 0.0))
        self._process = context.Process(
            target=_serve, args=(entries, child_end, self._bytes_sent), daemon=True
        )
        self._process.start()
        self.port: int = self._commands.recv()

    @property
    def bytes_sent(self) -> float:
        """The number of bytes sent on all watches together."""
        return self._bytes_sent.value

    def cpu_seconds(self) -> float:
        """Return the CPU seconds that the process has used so far."""
        assert self._process.pid is not None
        return cpu_seconds(self._process.pid)

    def set_phase(self, name: str, phase: str) -> None:
        """Publish a new phase of an instance."""
        self._commands.send((name, phase))

    def close(self) -> None:
        """End the process."""
        self._process.terminate()
        self._process.join(10)


class _Server:
    def __init__(
        self, entries: list[dict[str, Any]], commands: Connection, bytes_sent: Synchronized[float]
    ) -> None:
        self.entries_by_name = {entry["id"]: entry for entry in entries}
        self.commands = commands
        self.bytes_sent = bytes_sent
        self.revision = 1
        self.watches = set[asyncio.StreamWriter]()

    async def run(self) -> None:
        server = await asyncio.start_server(self._client, "127.0.0.1", 0, backlog=2048)
        self.commands.send(server.sockets[0].getsockname()[1])
        heartbeat_at = time.monotonic()
        while True:
            while self.commands.poll():
                self._set_phase(*self.commands.recv())
            if time.monotonic() >= heartbeat_at:
                heartbeat_at += HEARTBEAT_SECONDS
                self._send_to_all(self._encode_line(False, []))
            await asyncio.sleep(POLL_SECONDS)

    def _encode_line(self, complete: bool, entries: list[dict[str, Any]]) -> bytes:
        update = {"revision": self.revision, "complete": complete, "members": entries, "lease_ms": LEASE_MS}
        update["issued_ms"] = time.time_ns() // MILLISECOND
        return json.dumps(update, separators=(",", ":")).encode() + b"\n"

    def _set_phase(self, name: str, phase: str) -> None:
        self.revision += 1
        up_since_ms = time.time_ns() // MILLISECOND
        self.entries_by_name[name] = {
            **self.entries_by_name[name],
            "phase": phase,
            "up_since_ms": up_since_ms,
        }
        self._send_to_all(self._encode_line(False, [self.entries_by_name[name]]))

    def _send_to_all(self, line: bytes) -> None:
        chunk = b"%x\r\n%s\r\n" % (len(line), line)
        for writer in self.watches:
            writer.write(chunk)
        self.bytes_sent.value += len(chunk) * len(self.watches)

    async def _client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                line = self._encode_line(True, list(self.entries_by_name.values()))
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


def _serve(entries: list[dict[str, Any]], commands: Connection, bytes_sent: Synchronized[float]) -> None:
    asyncio.run(_Server(entries, commands, bytes_sent).run())
