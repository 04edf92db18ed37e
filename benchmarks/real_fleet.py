"""Real `serve` processes as instances of a fleet's view, with traffic for the destinations that they own."""

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
LIST_TIMEOUT_SECONDS = 120.0
DELIVERY_SETTLE_SECONDS = 1.0


@dataclass(slots=True)
class Traffic:
    """The replies to a sequence of messages, and the cost of the messages."""

    accepted: int = 0
    rejected: int = 0
    cpu_seconds: float = 0.0  # sum over all processes
    reply_seconds: list[float] = field(default_factory=list)  # time until each reply


class RealFleet:
    """Real instances of one zone, each of which can forward messages to the owner of their destination."""

    def __init__(self, folder: Path, real: int, count: int, agent: Agent, settle_seconds: float) -> None:
        """Prepare a view of `count` instances, of which the first `real` instances of one zone are to run.

        After the start the processes are left alone for `settle_seconds`.
        """
        self.folder, self.agent, self.settle_seconds = folder, agent, settle_seconds
        self.view = view_entries(count)
        self.zone = self.view[0]["locality"]
        self.entries = [entry for entry in self.view if entry["locality"] == self.zone][:real]
        for entry in self.entries:
            entry["host_port"] = f"127.0.0.1:{free_port()}"
        self.processes: list[ServiceProcess] = []
        self.stack = contextlib.ExitStack()

    def __enter__(self) -> RealFleet:
        """Start the stand-in for the control machines and all processes; wait until each has its list."""
        self.control = FleetControl(self.view)
        self.stack.callback(self.control.close)
        for entry in self.entries:
            self.processes.append(self.stack.enter_context(self._start(entry)))
        fleet = self._fleet(self.entries[0]["id"])
        self.owned = list[tuple[int, int]]()  # destination and index of the process that owns it
        names = [entry["id"] for entry in self.entries]
        for number in range(1, len(self.agent.endpoints) + 1):
            owner = fleet.candidates(self.zone, fleet.partition(number))[0].name
            if owner in names:
                self.owned.append((number, names.index(owner)))
        self._wait_for_lists()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End the stand-in and all processes."""
        self.stack.close()

    def _fleet(self, name: str) -> Fleet:
        fleet = Fleet(FleetSettings(name, self.zone, "127.0.0.1:1", fleet_regions()))
        fleet.apply_update({"revision": 1, "complete": True, "members": self.view}, 0)
        return fleet

    @contextlib.contextmanager
    def _start(self, entry: dict[str, Any]) -> Iterator[ServiceProcess]:
        folder = self.folder / entry["id"]
        folder.mkdir()
        operator = f'[fleet]\nview = "127.0.0.1:{self.control.port}"\nzone = "{self.zone}"\n[fleet.regions]\n'
        operator += "".join(
            f"{region.name} = {json.dumps(list(region.zones))}\n" for region in fleet_regions()
        )
        caps = {**SETTINGS["caps"], "max-open": 10_000}
        family = {**SETTINGS["family-info"], "call-slots": 64, "per-call": [1, 1]}
        config = {"settings": {**SETTINGS, "caps": caps, "family-info": family}, "limits": LIMITS}
        port = int(entry["host_port"].rpartition(":")[2])
        with running_service(
            folder, self.agent.port, [], operator, port=port, name=entry["id"], **config
        ) as service:
            yield service

    def _wait_for_lists(self) -> None:
        """Wait until each process accepts a message for a destination that it owns, and so has its list."""
        deadline = time.monotonic() + LIST_TIMEOUT_SECONDS
        for index, service in enumerate(self.processes):
            number = next(number for number, owner in self.owned if owner == index)
            while service.request_line(enqueue(f"l{time.monotonic_ns()}", number)) != b"+OK\r\n":
                if time.monotonic() > deadline:
                    raise RuntimeError(
                        f"{self.entries[index]['id']} accepted no message for its destination {number}"
                        f" within {LIST_TIMEOUT_SECONDS:g} s: it has not applied its list"
                    )
                time.sleep(0.05)
        time.sleep(self.settle_seconds)

    def measure_list_change(self, agent: Agent, destinations: int) -> float:
        """Return the seconds until a new endpoint is in force at the process that owns its destination."""
        fleet, names = self._fleet(self.entries[0]["id"]), [entry["id"] for entry in self.entries]
        for number in range(destinations + 1, destinations + 100_000):
            owner = fleet.candidates(self.zone, fleet.partition(number))[0].name
            if owner in names:
                began = time.monotonic()
                agent.change(*endpoint_rows(1, first=number))
                service = self.processes[names.index(owner)]
                while service.request_line(enqueue(f"n{time.monotonic_ns()}", number)) != b"+OK\r\n":
                    time.sleep(0.001)
                return time.monotonic() - began
        raise RuntimeError(f"{names} own none of the destinations {destinations + 1} to {number}")

    def send_messages(self, events: int, forwarded: bool) -> Traffic:
        """Submit `events` messages one after the other.

        Each goes to the owner of its destination or, if `forwarded`, to another instance, which forwards it.
        """
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
                receiver = (owner + forwarded) % len(sockets)
                began = time.monotonic()
                sockets[receiver].sendall(enqueue(f"t{forwarded:d}-{event}", number))
                accepted = replies[receiver].readline() == b"+OK\r\n"
                traffic.reply_seconds.append(time.monotonic() - began)
                traffic.accepted += accepted
                traffic.rejected += not accepted
        time.sleep(DELIVERY_SETTLE_SECONDS)  # until the last message is delivered
        traffic.cpu_seconds = self.cpu_seconds() - cpu_before
        return traffic

    def cpu_seconds(self) -> float:
        """Return the CPU seconds of all processes together."""
        return sum(service.cpu_seconds() for service in self.processes)
