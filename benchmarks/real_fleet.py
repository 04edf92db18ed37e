"""Some real `serve` processes as the first instances of a fleet's view, under traffic for what they own."""

from __future__ import annotations

import contextlib
import json
import socket
import sys
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType
from typing import Any

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))
from benchmarks.fleet_control import FleetControl, fleet_regions, view_entries  # noqa: E402
from benchmarks.service_process import ServiceProcess, endpoint_rows, enqueue, running_service  # noqa: E402
from benchmarks.standins import Agent  # noqa: E402
from honeyhitch.partitioning.fleet import Fleet  # noqa: E402
from honeyhitch.partitioning.settings import FleetSettings  # noqa: E402
from tests.program import SETTINGS, free_port  # noqa: E402

LIMITS = {"sockets": 1024, "disk_mb": 50}
LIST_TIMEOUT_SECONDS = 120.0  # seconds
DELIVERY_SETTLE_SECONDS = 1.0


@dataclass(slots=True)
class Traffic:
    """The replies to some messages, and what these cost."""

    accepted: int = 0
    rejected: int = 0
    cpu_seconds: float = 0.0  # seconds, of all processes
    reply_seconds: list[float] = field(default_factory=list)  # seconds until each reply


class RealFleet:
    """Instances of one zone, so that a message for what one of them owns may be forwarded by another."""

    def __init__(self, folder: Path, real: int, count: int, agent: Agent, settle: float) -> None:
        """`count` instances are in the view; of these the first `real` ones of one zone run."""
        self.folder, self.agent, self.settle = folder, agent, settle
        self.view = view_entries(count)
        self.zone = self.view[0]["locality"]
        self.rows = [row for row in self.view if row["locality"] == self.zone][:real]
        for row in self.rows:
            row["host_port"] = f"127.0.0.1:{free_port()}"
        self.processes: list[ServiceProcess] = []
        self.stack = contextlib.ExitStack()

    def __enter__(self) -> RealFleet:
        """Start the control machines' stand-in, and then all processes; each has its complete list."""
        self.control = FleetControl(self.view)
        self.stack.callback(self.control.close)
        for row in self.rows:
            self.processes.append(self.stack.enter_context(self._start(row)))
        fleet = self._fleet(self.rows[0]["id"])
        self.owned = list[tuple[int, int]]()  # destinations, and the index of the process that owns each
        names = [row["id"] for row in self.rows]
        for number in range(1, len(self.agent.members) + 1):
            first = fleet.candidates(self.zone, fleet.partition(number))[0].name
            if first in names:
                self.owned.append((number, names.index(first)))
        self._wait_for_lists()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End them all."""
        self.stack.close()

    def _fleet(self, name: str) -> Fleet:
        fleet = Fleet(FleetSettings(name, self.zone, "127.0.0.1:1", fleet_regions()))
        fleet.apply_update({"revision": 1, "complete": True, "members": self.view}, 0)
        return fleet

    @contextlib.contextmanager
    def _start(self, row: dict[str, Any]) -> Iterator[ServiceProcess]:
        folder = self.folder / row["id"]
        folder.mkdir()
        operator = f'[fleet]\nview = "127.0.0.1:{self.control.port}"\nzone = "{self.zone}"\n[fleet.regions]\n'
        operator += "".join(
            f"{region.name} = {json.dumps(list(region.zones))}\n" for region in fleet_regions()
        )
        caps = {**SETTINGS["caps"], "max-open": 10_000}
        family = {**SETTINGS["family-info"], "call-slots": 64, "per-call": [1, 1]}
        config = {"settings": {**SETTINGS, "caps": caps, "family-info": family}, "limits": LIMITS}
        port = int(row["host_port"].rpartition(":")[2])
        with running_service(
            folder, self.agent.port, [], operator, port=port, name=row["id"], **config
        ) as service:
            yield service

    def _wait_for_lists(self) -> None:
        """Until each of them accepts a message for something of its own: it has read its list."""
        end = time.monotonic() + LIST_TIMEOUT_SECONDS
        for index, service in enumerate(self.processes):
            number = next(number for number, owner in self.owned if owner == index)
            while service.request_line(enqueue(f"l{time.monotonic_ns()}", number)) != b"+OK\r\n":
                if time.monotonic() > end:
                    raise RuntimeError(f"{self.rows[index]['id']} did not take its list")
                time.sleep(0.05)
        time.sleep(self.settle)

    def measure_list_change(self, agent: Agent, destinations: int) -> float:
        """Seconds until a new endpoint is in force at the real one that owns its destination."""
        fleet, names = self._fleet(self.rows[0]["id"]), [row["id"] for row in self.rows]
        for number in range(destinations + 1, destinations + 100_000):
            first = fleet.candidates(self.zone, fleet.partition(number))[0].name
            if first in names:
                began = time.monotonic()
                agent.change(*endpoint_rows(1, first=number))
                service = self.processes[names.index(first)]
                while service.request_line(enqueue(f"n{time.monotonic_ns()}", number)) != b"+OK\r\n":
                    time.sleep(0.001)
                return time.monotonic() - began
        raise RuntimeError("the processes own too few destinations")

    def send_messages(self, events: int, forwarded: bool) -> Traffic:
        """Submit messages one after the other, to their owner or to another instance that forwards them."""
        traffic = Traffic()
        cpu_before = self.cpu_seconds()
        with contextlib.ExitStack() as stack:
            sockets = [
                stack.enter_context(socket.create_connection(("127.0.0.1", service.port), timeout=60))
                for service in self.processes
            ]
            replies = [stack.enter_context(sock.makefile("rb")) for sock in sockets]
            for event in range(events):
                number, owner = self.owned[event * 7919 % len(self.owned)]
                at = (owner + forwarded) % len(sockets)
                began = time.monotonic()
                sockets[at].sendall(enqueue(f"t{forwarded:d}-{event}", number))
                accepted = replies[at].readline() == b"+OK\r\n"
                traffic.reply_seconds.append(time.monotonic() - began)
                traffic.accepted += accepted
                traffic.rejected += not accepted
        time.sleep(DELIVERY_SETTLE_SECONDS)  # until the last is delivered
        traffic.cpu_seconds = self.cpu_seconds() - cpu_before
        return traffic

    def cpu_seconds(self) -> float:
        """CPU seconds of all processes together."""
        return sum(service.cpu_seconds() for service in self.processes)
