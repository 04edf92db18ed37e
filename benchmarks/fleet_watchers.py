"""Hollow dispatchers in one process: only the real watch, view and ownership code, over loopback.

All dispatchers of a zone compute the same candidates for each partition. The first dispatcher of each zone
computes them, which is measured, and the others share the result; otherwise the start of hundreds of
dispatchers in few processes would take minutes.
"""

from __future__ import annotations

import asyncio
import resource
import sys
import time
from multiprocessing.connection import Connection
from pathlib import Path
from random import Random
from typing import Any, ClassVar

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))
from benchmarks.fleet_control import fleet_regions  # noqa: E402
from honeyhitch.partitioning.fleet import Fleet  # noqa: E402
from honeyhitch.partitioning.ownership import ZoneCandidates  # noqa: E402
from honeyhitch.partitioning.settings import FleetSettings  # noqa: E402
from honeyhitch.protocols.discovery_backoff import WatchBackoff  # noqa: E402
from honeyhitch.protocols.list_parser import ParsedList, RowList  # noqa: E402
from honeyhitch.transports.list_watch import ListWatch  # noqa: E402

POLL_SECONDS = 0.05


class Watcher:
    """A hollow dispatcher that records the delay of each phase change in seconds."""

    shared_candidates: ClassVar[dict[str, ZoneCandidates]] = {}  # candidates by zone
    # CPU seconds of the first view of each dispatcher that computed the candidates of its zone.
    first_view_cpu: ClassVar[list[float]] = []

    def __init__(self, name: str, zone: str, port: int) -> None:
        settings = FleetSettings(name, zone, f"127.0.0.1:{port}", fleet_regions())
        self.fleet, self.change_delays, self.has_view = Fleet(settings), list[float](), False
        self.computes_candidates = zone not in self.shared_candidates
        # The candidates of a zone are the same for all of its dispatchers.
        candidates = self.fleet._zone_candidates  # noqa: SLF001
        candidates[zone] = self.shared_candidates.setdefault(zone, candidates[zone])

    def apply_update(self, update: dict[str, Any]) -> None:
        """Apply an update of the view as the dispatcher's service does, and record its delays."""
        cpu_before = time.process_time()
        self.fleet.apply_update(update, time.time_ns())
        if self.computes_candidates and not self.has_view:
            self.first_view_cpu.append(time.process_time() - cpu_before)
        self.has_view = True
        if not update.get("complete"):
            for entry in update["members"]:
                self.change_delays.append(time.time() - entry["up_since_ms"] / 1000)

    async def run(self) -> None:
        """Watch the fleet's view until cancelled."""
        backoff = WatchBackoff(Random(self.fleet.settings.name), 1, False, False, 3.0)
        loop, address = asyncio.get_running_loop(), self.fleet.settings.view
        await ListWatch(
            address, loop, backoff, lambda: self.fleet.view.revision, RowList, self._apply_received
        ).run()

    def _apply_received(self, update: ParsedList[RowList]) -> None:
        self.apply_update({**update.fields, "members": update.collector.rows})


def watch_in_process(port: int, entries: list[dict[str, Any]], names: list[str], link: Connection) -> None:
    """Run the hollow dispatchers `names` until a message arrives on `link`, then send the results on it."""
    asyncio.run(_watch(port, {entry["id"]: entry["locality"] for entry in entries}, names, link))


async def _watch(port: int, zones: dict[str, str], names: list[str], link: Connection) -> None:
    memory_before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    watchers = [Watcher(name, zones[name], port) for name in names]
    tasks = [asyncio.ensure_future(watcher.run()) for watcher in watchers]
    while not all(watcher.has_view for watcher in watchers):  # noqa: ASYNC110  # each watcher sets its own flag
        await asyncio.sleep(POLL_SECONDS)
    memory = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - memory_before
    link.send("watching")
    cpu_before, started_at = time.process_time(), time.monotonic()
    while not link.poll():  # noqa: ASYNC110  # the pipe of another process
        await asyncio.sleep(POLL_SECONDS)
    report = {
        "in_force": [delay for watcher in watchers for delay in watcher.change_delays],
        "cpu": time.process_time() - cpu_before,
        "seconds": time.monotonic() - started_at,
        "first_view_cpu": max(Watcher.first_view_cpu),
        "bytes_each": memory * 1024 / len(names),
    }
    for task in tasks:
        task.cancel()
    link.send(report)
