"""Measure how resource use grows with the size of the deployment: the slopes for docs/CAPACITY.md.

    python benchmarks/capacity.py [--plays 3] [--quick] [--json benchmarks/results/capacity.json]

Each slope is a line fitted through four or more sizes, with several plays (repeated runs) of each size, and
has a spread. Start, memory, changes, events and idle CPU are measured with real `serve` processes on
loopback. The parsing of lists and the calls of a fleet are measured in this process. Times are wall or CPU
seconds of this machine.
"""

from __future__ import annotations

import argparse
import contextlib
import json
import os
import platform
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from dataclasses import asdict
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))
from benchmarks.service_process import ServiceProcess, endpoint_rows, enqueue, running_service  # noqa: E402
from benchmarks.slopes import Slope, fit, table  # noqa: E402
from benchmarks.standins import Agent, Endpoint, LoopThread  # noqa: E402
from honeyhitch.endpoints.pool import EndpointPool  # noqa: E402
from honeyhitch.policy.engine import DeliveryPolicy  # noqa: E402
from honeyhitch.protocols import discovery  # noqa: E402
from honeyhitch.time_units import SECOND  # noqa: E402
from tests.fleet import Fleet, SimulatedDestination, constant_limit  # noqa: E402
from tests.program import SETTINGS  # noqa: E402
from tests.world import settings  # noqa: E402

DESTINATIONS = (10, 5_000, 10_000, 20_000, 50_000, 190_000)
EVENTS = (250, 500, 1_000, 2_000)
WAITING_EVENTS = (500, 1_000, 2_000, 4_000)
INSTANCES = (5, 10, 30, 100, 300, 770)
QUICK_DESTINATIONS = (10, 1_000, 2_000, 5_000)
QUICK_INSTANCES = (5, 10, 30, 100)
IDLE_SECONDS = 10.0
CHANGES = 20  # changes of the list in a play, one after the other
DELIVERY_LIMIT_SECONDS = 120
SPACIOUS_LIMITS = {"sockets": 1024, "disk_mb": 200}
TEMPORARY_ROOT = "/dev/shm" if Path("/dev/shm").is_dir() else None
Points = dict[str, list[tuple[float, list[float]]]]


class Capacity:
    """Measurements with their results by the name of their slope."""

    def __init__(self, plays: int, quick: bool) -> None:
        self.plays = plays
        self.thread = LoopThread()
        self.destinations = QUICK_DESTINATIONS if quick else DESTINATIONS
        self.instances = QUICK_INSTANCES if quick else INSTANCES
        self.points: Points = {}
        self.units: dict[str, tuple[str, str]] = {}

    def record(self, name: str, unit: str, per: str, size: float, value: float) -> None:
        """Add the value of one play at one size. All values of a size must be added in succession."""
        points = self.points.setdefault(name, [])
        self.units[name] = (unit, per)
        if not points or points[-1][0] != size:
            points.append((size, []))
        points[-1][1].append(value)

    def slopes(self) -> list[Slope]:
        """Return a line fitted through the points of each name."""
        return [fit(name, *self.units[name], points) for name, points in self.points.items()]

    def measure_destinations(self) -> None:
        """Measure a start, memory, idle CPU, a change and a SIGHUP by the number of destinations listed."""
        for count in self.destinations:
            for _ in range(self.plays):
                with tempfile.TemporaryDirectory(dir=TEMPORARY_ROOT) as folder:
                    self._measure_process(Path(folder), count)
            print(f"destinations listed: {count} done", file=sys.stderr, flush=True)

    def _measure_process(self, folder: Path, count: int) -> None:
        listed = endpoint_rows(count)
        agent = Agent(self.thread, listed)
        with running_service(folder, agent.port, listed) as service:
            per = "destination listed"
            self.record("start: exec to PONG", "s", per, count, service.seconds_to_ready)
            self.record("start: CPU", "s", per, count, service.cpu_seconds())
            self.record("memory after the start", "bytes", per, count, service.resident())
            assert agent.watch_opened.wait(60)
            cpu_before = service.cpu_seconds()
            time.sleep(IDLE_SECONDS)
            idle_cpu = (service.cpu_seconds() - cpu_before) / IDLE_SECONDS
            self.record("idle: CPU of a second", "s", per, count, idle_cpu)
            self._measure_changes(service, agent, count)
            self._measure_reload(service, count)

    def _measure_changes(self, service: ServiceProcess, agent: Agent, count: int) -> None:
        """Measure changes that list a new destination, until a message for the destination is accepted."""
        cpu_before = service.cpu_seconds()
        waited = 0.0
        bytes_sent = 0
        for number in range(CHANGES):
            destination = count + 1 + number
            began = time.monotonic()
            bytes_sent += agent.change(*endpoint_rows(1, first=destination))
            while (
                service.request_line(enqueue(f"c{count}-{number}", destination, time_left_ms=100))
                != b"+OK\r\n"
            ):
                time.sleep(0.001)
            waited += time.monotonic() - began
        per = "destination listed"
        self.record(
            "change of one endpoint: CPU", "s", per, count, (service.cpu_seconds() - cpu_before) / CHANGES
        )
        self.record("change of one endpoint: until in force", "s", per, count, waited / CHANGES)
        self.record("change of one endpoint: bytes", "bytes", per, count, bytes_sent / CHANGES)

    def _measure_reload(self, service: ServiceProcess, count: int) -> None:
        """Measure a reload by SIGHUP that names another agent, until the process watches the new agent."""
        new_agent = Agent(self.thread, endpoint_rows(count), revision=1 << 20)
        config = json.loads(service.config.read_text())
        service.config.write_text(json.dumps({**config, "discovery": f"127.0.0.1:{new_agent.port}"}))
        cpu_before = service.cpu_seconds()
        began = time.monotonic()
        service.process.send_signal(signal.SIGHUP)
        in_force = new_agent.watch_opened.wait(120)
        assert in_force
        elapsed = time.monotonic() - began
        per = "destination listed"
        self.record("SIGHUP: until the new agent is watched", "s", per, count, elapsed)
        self.record("SIGHUP: CPU", "s", per, count, service.cpu_seconds() - cpu_before)

    def measure_lists(self) -> None:
        """Measure the bytes of a complete list and the CPU time to parse and apply it, in this process."""
        for count in self.destinations:
            complete_list = {"revision": 2, "complete": True, "members": endpoint_rows(count)}
            body = json.dumps(complete_list, separators=(",", ":")).encode()
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
            for _ in range(self.plays):
                began = time.process_time()
                pool = EndpointPool(settings(kinds=settings().kinds))
                parser = discovery.WatchParser(pool.new_rows)
                [received] = parser.feed(head + body)
                update = pool.apply(received.fields, received.collector)
                DeliveryPolicy(settings(), 1).handle(1, [update])
                per = "destination listed"
                self.record("whole list: CPU to take it over", "s", per, count, time.process_time() - began)
                self.record("whole list: bytes", "bytes", per, count, len(body))

    def measure_events(self) -> None:
        """Measure CPU time and journal bytes by the number of events delivered."""
        endpoint = Endpoint(self.thread)
        listed = endpoint_rows(8, endpoint.port)
        agent = Agent(self.thread, listed)
        for count in EVENTS:
            for _ in range(self.plays):
                with _spacious_service(agent, listed, slots=64) as service:
                    journal_before, cpu_before = service.journal_bytes(), service.cpu_seconds()
                    expected = endpoint.messages + count
                    self._submit(service, count, 8)
                    _wait_until(lambda expected=expected: endpoint.messages >= expected)  # type: ignore[misc]
                    per = "event"
                    self.record("events delivered: CPU", "s", per, count, service.cpu_seconds() - cpu_before)
                    written = service.journal_bytes() - journal_before
                    self.record("events delivered: journal", "bytes", per, count, written)

    def measure_waiting(self) -> None:
        """Measure memory and journal bytes by the number of events that wait for an unresponsive endpoint."""
        endpoint = Endpoint(self.thread, response=b"")
        listed = endpoint_rows(8, endpoint.port)
        agent = Agent(self.thread, listed)
        for count in WAITING_EVENTS:
            for _ in range(self.plays):
                with _spacious_service(agent, listed, slots=4) as service:
                    memory_before, journal_before = service.resident(), service.journal_bytes()
                    self._submit(service, count, 8)
                    per = "waiting event of 200 bytes"
                    self.record("waiting: memory", "bytes", per, count, service.resident() - memory_before)
                    self.record(
                        "waiting: journal", "bytes", per, count, service.journal_bytes() - journal_before
                    )

    def _submit(self, service: ServiceProcess, count: int, destinations: int) -> None:
        with socket.create_connection(("127.0.0.1", service.port), timeout=60) as sock:
            replies = sock.makefile("rb")
            for number in range(count):
                sock.sendall(enqueue(f"e{time.monotonic_ns()}", 1 + number % destinations))
                assert replies.readline() == b"+OK\r\n"

    def measure_recovery(self) -> None:
        """Measure the calls to a destination after an outage of 30 s, by the number of instances that send.

        The instances run in virtual time.
        """
        slow_start: dict[str, Any] = {
            "overload_factor": 1.5,
            "slow_start_fraction": 0.31,
            "slow_start_duration": 14 * SECOND,
        }
        for count in self.instances:
            for seed in range(1, self.plays + 1):
                destination = SimulatedDestination(
                    limit=constant_limit(14.0), outage=(5 * SECOND, 35 * SECOND)
                )
                fleet = Fleet(destination, seed, count=count, listed_rate=14.0, **slow_start)
                fleet.submit_at_rate(0, 50 * SECOND, 9.5)
                total = fleet.advance_to(50 * SECOND)
                per = "instance that sends"
                submitted = total.submitted
                peak_load = destination.peak_load(fleet.settings, 3 * SECOND, 14.0)
                rejected = sum(total.rejected.values()) / submitted
                delivered = sum(total.delivered.values()) / submitted
                self.record("return: most calls, share of what it bears", "1", per, count, peak_load)
                self.record("return: refused calls a message", "1", per, count, rejected)
                self.record("return: delivered", "1", per, count, delivered)
                self.record("return: handshakes a message", "1", per, count, total.handshakes / submitted)
                calls = sum(number + 1 for number in fleet.attempts.values())
                call_rate = calls / count / 50  # calls a second of one instance; the play lasts 50 s
                self.record("one instance: calls a second", "1/s", "1 / instances", 1 / count, call_rate)
            print(f"instances that send: {count} done", file=sys.stderr, flush=True)


@contextlib.contextmanager
def _spacious_service(agent: Agent, listed: list[dict[str, Any]], slots: int) -> Iterator[ServiceProcess]:
    """Start a process with a new state directory and limits that admit all messages of a measurement."""
    with (
        tempfile.TemporaryDirectory(dir=TEMPORARY_ROOT) as folder,
        running_service(
            Path(folder), agent.port, listed, settings=_spacious_settings(slots), limits=SPACIOUS_LIMITS
        ) as service,
    ):
        yield service


def _spacious_settings(slots: int) -> dict[str, Any]:
    """Return settings that admit 1,000,000 open messages and `slots` concurrent calls."""
    caps = {**SETTINGS["caps"], "max-open": 1_000_000}
    family = {**SETTINGS["family-info"], "call-slots": slots, "per-call": [1, 1]}
    return {**SETTINGS, "caps": caps, "family-info": family}


def _wait_until(condition: Callable[[], bool]) -> None:
    deadline = time.monotonic() + DELIVERY_LIMIT_SECONDS
    while not condition():
        if time.monotonic() > deadline:
            raise RuntimeError(f"not all events were delivered within {DELIVERY_LIMIT_SECONDS} s")
        time.sleep(0.002)


def main() -> None:
    """Measure all slopes, print them, and write the raw points."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--plays", type=int, default=3)
    parser.add_argument("--quick", action="store_true", help="smaller sizes, for a look")
    parser.add_argument("--json", type=Path, help="where the raw results go")
    options = parser.parse_args()
    capacity = Capacity(options.plays, options.quick)
    began = time.monotonic()
    capacity.measure_lists()
    capacity.measure_events()
    capacity.measure_waiting()
    capacity.measure_recovery()
    capacity.measure_destinations()
    slopes = capacity.slopes()
    print(table(slopes))
    print(f"took {time.monotonic() - began:.0f} s, load {os.getloadavg()[0]:.1f} on {os.cpu_count()} cores")
    if options.json is not None:
        options.json.parent.mkdir(parents=True, exist_ok=True)
        results: dict[str, Any] = {
            "python": platform.python_version(),
            "cores": os.cpu_count(),
            "plays": options.plays,
        }
        results["slopes"] = [asdict(slope) for slope in slopes]
        options.json.write_text(json.dumps(results, indent=1) + "\n")


if __name__ == "__main__":
    main()
