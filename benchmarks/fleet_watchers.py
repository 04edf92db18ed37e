"""Hollow dispatchers in one process: the real watch, view and ownership code over loopback.

Those of one zone rank its instances alike. The first of each makes its ranks for itself, which is measured,
and the others share them, as the start of hundreds in few processes would take minutes otherwise.
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
from honeyhitch.transports.list_watch import ListWatch  # noqa: E402

POLL_SECONDS = 0.05


class Watcher:
    """One hollow dispatcher, which notes how late each change of a phase comes."""

    shared: ClassVar[dict[str, ZoneCandidates]] = {}  # the ranks of each zone
    first_views: ClassVar[list[float]] = []  # CPU seconds of those that made them

    def __init__(self, name: str, zone: str, port: int) -> None:
        settings = FleetSettings(name, zone, f"127.0.0.1:{port}", fleet_regions())
        self.fleet, self.in_force, self.has_view = Fleet(settings), list[float](), False
        self.makes_ranks = zone not in self.shared
        # Dispatchers of one process share the ranks of their zone, which are the same for all of them.
        ranks = self.fleet._zone_candidates  # noqa: SLF001
        ranks[zone] = self.shared.setdefault(zone, ranks[zone])

    def take(self, told: dict[str, Any]) -> None:
        """As a dispatcher's service does."""
        began = time.process_time()
        self.fleet.apply_update(told, time.time_ns())
        if self.makes_ranks and not self.has_view:
            self.first_views.append(time.process_time() - began)
        self.has_view = True
        if not told.get("complete"):
            for row in told["members"]:
                self.in_force.append(time.time() - row["up_since_ms"] / 1000)

    async def run(self) -> None:
        """Watch for ever."""
        asking = WatchBackoff(Random(self.fleet.settings.name), 1, False, False, 3.0)
        loop, address = asyncio.get_running_loop(), self.fleet.settings.view
        await ListWatch(address, loop, asking, lambda: self.fleet.view.revision, self.take).run()


def watch_in_process(port: int, members: list[dict[str, Any]], names: list[str], link: Connection) -> None:
    """Run these hollow dispatchers until told to stop, and report."""
    asyncio.run(_watch(port, {one["id"]: one["locality"] for one in members}, names, link))


async def _watch(port: int, zones: dict[str, str], names: list[str], link: Connection) -> None:
    before_memory = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    watchers = [Watcher(name, zones[name], port) for name in names]
    tasks = [asyncio.ensure_future(one.run()) for one in watchers]
    while not all(watcher.has_view for watcher in watchers):  # noqa: ASYNC110  # each sets its own
        await asyncio.sleep(POLL_SECONDS)
    memory = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before_memory
    link.send("watching")
    began, since = time.process_time(), time.monotonic()
    while not link.poll():  # noqa: ASYNC110  # a pipe of another process
        await asyncio.sleep(POLL_SECONDS)
    report = {
        "in_force": [wait for one in watchers for wait in one.in_force],
        "cpu": time.process_time() - began,
        "seconds": time.monotonic() - since,
        "first_view_cpu": max(Watcher.first_views),
        "bytes_each": memory * 1024 / len(names),
    }
    for task in tasks:
        task.cancel()
    link.send(report)
