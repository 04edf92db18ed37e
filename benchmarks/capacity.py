"""What grows with the size of the deployment, and how fast: the slopes behind docs/CAPACITY.md.

    python benchmarks/capacity.py [--plays 3] [--quick] [--json benchmarks/results/capacity.json]

Each slope has four sizes or more and several plays of each, with a fit and its spread. Start, memory, changes
and idle seconds are those of real `serve` processes on loopback; lists and what a fleet sends are run in this
process. Times are wall or CPU seconds of this machine.
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
from honeyhitch.protocols import discovery, http1  # noqa: E402
from honeyhitch.time_units import SECOND  # noqa: E402
from tests.fleet import Fleet, Partner, constant_limit  # noqa: E402
from tests.program import SETTINGS  # noqa: E402
from tests.world import settings  # noqa: E402

DESTINATIONS = (10, 5_000, 10_000, 20_000, 50_000, 190_000)
EVENTS = (250, 500, 1_000, 2_000)
WAITING = (500, 1_000, 2_000, 4_000)
INSTANCES = (5, 10, 30, 100, 300, 770)
QUICK_DESTINATIONS = (10, 1_000, 2_000, 5_000)
QUICK_INSTANCES = (5, 10, 30, 100)
IDLE_SECONDS = 10.0
CHANGES = 20  # in one play, one after the other
DELIVERY_LIMIT_SECONDS = 120
SPACIOUS_LIMITS = {"sockets": 1024, "disk_mb": 200}
BENCH_NAMESPACE = "/dev/shm" if Path("/dev/shm").is_dir() else None
Points = dict[str, list[tuple[float, list[float]]]]


class Capacity:
    """Collects points by the name of their slope."""

    def __init__(self, plays: int, quick: bool) -> None:
        self.plays = plays
        self.thread = LoopThread()
        self.destinations = QUICK_DESTINATIONS if quick else DESTINATIONS
        self.instances = QUICK_INSTANCES if quick else INSTANCES
        self.points: Points = {}
        self.units: dict[str, tuple[str, str]] = {}

    def note(self, name: str, unit: str, per: str, size: float, value: float) -> None:
        """One play of one point."""
        rows = self.points.setdefault(name, [])
        self.units[name] = (unit, per)
        if not rows or rows[-1][0] != size:
            rows.append((size, []))
        rows[-1][1].append(value)

    def slopes(self) -> list[Slope]:
        """A fit through the points of each name."""
        return [fit(name, *self.units[name], rows) for name, rows in self.points.items()]

    def by_destinations(self) -> None:
        """Start, memory, an idle second, a change and a SIGHUP, by destinations listed."""
        for count in self.destinations:
            for _ in range(self.plays):
                with tempfile.TemporaryDirectory(dir=BENCH_NAMESPACE) as folder:
                    self._measure_process(Path(folder), count)
            print(f"destinations listed: {count} done", file=sys.stderr, flush=True)

    def _measure_process(self, folder: Path, count: int) -> None:
        listed = endpoint_rows(count)
        agent = Agent(self.thread, listed)
        with running_service(folder, agent.port, listed) as service:
            per = "destination listed"
            self.note("start: exec to PONG", "s", per, count, service.seconds_to_ready)
            self.note("start: CPU", "s", per, count, service.cpu_seconds())
            self.note("memory after the start", "bytes", per, count, service.resident())
            assert agent.watched.wait(60)
            before = service.cpu_seconds()
            time.sleep(IDLE_SECONDS)
            idle = (service.cpu_seconds() - before) / IDLE_SECONDS
            self.note("idle: CPU of a second", "s", per, count, idle)
            self._changes(service, agent, count)
            self._reload(service, count)

    def _changes(self, service: ServiceProcess, agent: Agent, count: int) -> None:
        """A new destination is listed; it is in force once a message for it is accepted."""
        before = service.cpu_seconds()
        waited = 0.0
        sent = 0
        for number in range(CHANGES):
            new = count + 1 + number
            began = time.monotonic()
            sent += agent.change(*endpoint_rows(1, first=new))
            while service.request_line(enqueue(f"c{count}-{number}", new, time_left_ms=100)) != b"+OK\r\n":
                time.sleep(0.001)
            waited += time.monotonic() - began
        per = "destination listed"
        self.note("change of one endpoint: CPU", "s", per, count, (service.cpu_seconds() - before) / CHANGES)
        self.note("change of one endpoint: until in force", "s", per, count, waited / CHANGES)
        self.note("change of one endpoint: bytes", "bytes", per, count, sent / CHANGES)

    def _reload(self, service: ServiceProcess, count: int) -> None:
        """SIGHUP names another agent; it is in force once that one is watched."""
        other = Agent(self.thread, endpoint_rows(count), revision=1 << 20)
        config = json.loads(service.config.read_text())
        service.config.write_text(json.dumps({**config, "discovery": f"127.0.0.1:{other.port}"}))
        before = service.cpu_seconds()
        began = time.monotonic()
        service.process.send_signal(signal.SIGHUP)
        in_force = other.watched.wait(120)
        assert in_force or count * 130 > discovery.MAX_LIST_BYTES, "only a list over the limit is never taken"
        took = time.monotonic() - began
        per = "destination listed"
        if in_force:
            self.note("SIGHUP: until the new agent is watched", "s", per, count, took)
            self.note("SIGHUP: CPU", "s", per, count, service.cpu_seconds() - before)
        else:
            print(
                f"SIGHUP at {count}: the whole list is over {discovery.MAX_LIST_BYTES} bytes", file=sys.stderr
            )

    def lists(self) -> None:
        """Bytes and CPU of a whole list as it is read, in this process."""
        for count in self.destinations:
            complete_list = {"revision": 2, "complete": True, "members": endpoint_rows(count)}
            body = json.dumps(complete_list, separators=(",", ":")).encode()
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
            for _ in range(self.plays):
                began = time.process_time()
                machine = http1.ResponseParser(max_bytes=2 * len(body) + 4096)
                answer = machine.feed(head + body)
                assert answer is not None
                pool = EndpointPool(settings(kinds=settings().kinds))
                update = pool.update(discovery.parse_complete_list(answer))
                DeliveryPolicy(settings(), 1).handle(1, [update])
                per = "destination listed"
                self.note("whole list: CPU to take it over", "s", per, count, time.process_time() - began)
                self.note("whole list: bytes", "bytes", per, count, len(body))

    def events(self) -> None:
        """CPU and journal bytes of events that are delivered, by their number."""
        endpoint = Endpoint(self.thread)
        listed = endpoint_rows(8, endpoint.port)
        agent = Agent(self.thread, listed)
        for count in EVENTS:
            for _ in range(self.plays):
                with _spacious_service(agent, listed, slots=64) as service:
                    empty, before = service.journal_bytes(), service.cpu_seconds()
                    done = endpoint.messages + count
                    self._submit(service, count, 8)
                    _wait_until(lambda done=done: endpoint.messages >= done)  # type: ignore[misc]
                    per = "event"
                    self.note("events delivered: CPU", "s", per, count, service.cpu_seconds() - before)
                    written = service.journal_bytes() - empty
                    self.note("events delivered: journal", "bytes", per, count, written)

    def waiting(self) -> None:
        """Memory and journal bytes of events that wait for an endpoint that does not answer."""
        endpoint = Endpoint(self.thread, answer=b"")
        listed = endpoint_rows(8, endpoint.port)
        agent = Agent(self.thread, listed)
        for count in WAITING:
            for _ in range(self.plays):
                with _spacious_service(agent, listed, slots=4) as service:
                    memory, journal = service.resident(), service.journal_bytes()
                    self._submit(service, count, 8)
                    per = "waiting event of 200 bytes"
                    self.note("waiting: memory", "bytes", per, count, service.resident() - memory)
                    self.note("waiting: journal", "bytes", per, count, service.journal_bytes() - journal)

    def _submit(self, service: ServiceProcess, count: int, destinations: int) -> None:
        with socket.create_connection(("127.0.0.1", service.port), timeout=60) as sock:
            replies = sock.makefile("rb")
            for number in range(count):
                sock.sendall(enqueue(f"e{time.monotonic_ns()}", 1 + number % destinations))
                assert replies.readline() == b"+OK\r\n"

    def returns(self) -> None:
        """What instances send to a destination that was down for 30 s, by their number; virtual time."""
        slow_start: dict[str, Any] = {
            "overload_factor": 1.5,
            "slow_start_fraction": 0.31,
            "slow_start_duration": 14 * SECOND,
        }
        for count in self.instances:
            for seed in range(1, self.plays + 1):
                partner = Partner(limit=constant_limit(14.0), outage=(5 * SECOND, 35 * SECOND))
                fleet = Fleet(partner, seed, count=count, listed_rate=14.0, **slow_start)
                fleet.submit_at_rate(0, 50 * SECOND, 9.5)
                total = fleet.run(50 * SECOND)
                per = "instance that sends"
                submitted = total.submitted
                pushed = partner.peak_load(fleet.settings, 3 * SECOND, 14.0)
                rejected = sum(total.rejected.values()) / submitted
                delivered = sum(total.delivered.values()) / submitted
                self.note("return: most calls, share of what it bears", "1", per, count, pushed)
                self.note("return: refused calls a message", "1", per, count, rejected)
                self.note("return: delivered", "1", per, count, delivered)
                self.note("return: handshakes a message", "1", per, count, total.handshakes / submitted)
                calls = sum(number + 1 for number in fleet.attempts.values())
                each = calls / count / 50  # a second of the play
                self.note("one instance: calls a second", "1/s", "1 / instances", 1 / count, each)
            print(f"instances that send: {count} done", file=sys.stderr, flush=True)


@contextlib.contextmanager
def _spacious_service(agent: Agent, listed: list[dict[str, Any]], slots: int) -> Iterator[ServiceProcess]:
    """A process with a new state directory that has room for all messages of a measurement."""
    with (
        tempfile.TemporaryDirectory(dir=BENCH_NAMESPACE) as folder,
        running_service(
            Path(folder), agent.port, listed, settings=_spacious_settings(slots), limits=SPACIOUS_LIMITS
        ) as service,
    ):
        yield service


def _spacious_settings(slots: int) -> dict[str, Any]:
    """Settings that hold many messages."""
    caps = {**SETTINGS["caps"], "max-open": 1_000_000}
    family = {**SETTINGS["family-info"], "call-slots": slots, "per-call": [1, 1]}
    return {**SETTINGS, "caps": caps, "family-info": family}


def _wait_until(condition: Callable[[], bool]) -> None:
    deadline = time.monotonic() + DELIVERY_LIMIT_SECONDS
    while not condition():
        if time.monotonic() > deadline:
            raise RuntimeError("not all events were delivered")
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
    capacity.lists()
    capacity.events()
    capacity.waiting()
    capacity.returns()
    capacity.by_destinations()
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
