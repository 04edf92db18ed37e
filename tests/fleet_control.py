"""A test double of the control machines, and instances with late updates and clocks that differ.

It runs in virtual time. The control machines publish each phase with its time, and stamp each heartbeat with
the time at which it was issued. Each instance reads an ordered stream from them, which may be delayed, cut or
reopened.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from typing import Any

from honeyhitch.partitioning.fleet import Fleet
from honeyhitch.partitioning.settings import FleetSettings, Region
from honeyhitch.partitioning.view import FleetViewError
from honeyhitch.time_units import MILLISECOND, SECOND

MS = MILLISECOND
START = 1_700_000_000 * SECOND
REGIONS = (Region("east", ("a1", "a2")), Region("west", ("b1", "b2")))
LEASE, RESERVE_LEASE, SKEW = 3 * SECOND, 20 * SECOND, SECOND // 4


def fleet_settings(name: str, zone: str, **overrides: Any) -> FleetSettings:
    """Return the settings of one instance of a small fleet."""
    defaults: dict[str, Any] = {
        "partitions": 16,
        "lease": LEASE,
        "reserve_lease": RESERVE_LEASE,
        "clock_skew": SKEW,
    }
    return FleetSettings(name, zone, "127.0.0.1:1", REGIONS, **{**defaults, **overrides})


def entry(name: str, zone: str, phase: str = "Ready", since: int = 0, joined: int = 0) -> dict[str, Any]:
    """Return one instance in discovery's form; `since` and `joined` are Unix times in nanoseconds."""
    region = next(region.name for region in REGIONS if zone in region.zones)
    times = {"up_since_ms": since // MS, "joined_ms": joined // MS}
    return {
        "id": name,
        "host_port": "10.0.0.1:6379",
        "locality": zone,
        "flavor": region,
        "phase": phase,
        **times,
    }


@dataclass
class InstanceProcess:
    """A process of one instance: its state, and the updates that it has not read yet."""

    fleet: Fleet
    clock_offset: int  # ns, from the control machines' clock
    stream: list[dict[str, Any]] = field(default_factory=list)
    disconnected: bool = False
    watching: bool = False  # whether it has an open watch on which no update was lost


class ControlPlane:
    """The control machines and all processes of the fleet, with the saved views of those that ended."""

    def __init__(self, seed: int = 1, per_zone: int = 3) -> None:
        self.now = START
        self.revision = 1
        self.up = True
        self.rng = Random(seed)
        self.entries: dict[str, dict[str, Any]] = {}
        self.history: list[list[dict[str, Any]]] = [[]]  # entries changed by each revision
        self.processes: dict[str, InstanceProcess] = {}
        self.saved: dict[str, dict[str, Any]] = {}
        self.serial = 0
        for region in REGIONS:
            for zone in region.zones:
                for number in range(per_zone):
                    name = f"{zone}-{number}"
                    self.entries[name] = entry(name, zone)
        for name in list(self.entries):
            self.start(name)

    # Processes.

    def start(self, name: str) -> None:
        """Start a process from the view that the last process of its name saved, and open a watch."""
        fleet = Fleet(fleet_settings(name, self.entries[name]["locality"]))
        process = self.processes[name] = InstanceProcess(fleet, self.rng.randint(-SKEW // 2, SKEW // 2))
        if name in self.saved:
            self.apply_line(process, self.saved[name])
        self.open_watch(name)

    def kill(self, name: str) -> None:
        """End a process; its last saved view stays."""
        process = self.processes.pop(name)
        if process.fleet.view.instances:
            self.saved[name] = process.fleet.snapshot()

    def open_watch(self, name: str) -> None:
        """Open a new watch, which sends the complete list. Unread updates of the old watch are lost."""
        process = self.processes[name]
        process.stream.clear()
        process.watching = self.up and not process.disconnected
        if process.watching:
            members = list(self.entries.values())
            process.stream.append(self.stamp({"complete": True, "members": members}))

    def apply_line(self, process: InstanceProcess, line: dict[str, Any]) -> None:
        """Apply one update to a process. Only an old revision may be rejected, which changes nothing."""
        try:
            process.fleet.apply_update(line, self.now + process.clock_offset)
        except FleetViewError as error:
            if "revision" not in str(error):
                raise

    def read_lines(self, name: str, count: int) -> None:
        """Apply the next `count` updates of a process's stream to it."""
        process = self.processes[name]
        for _ in range(min(count, len(process.stream))):
            self.apply_line(process, process.stream.pop(0))

    # The control machines.

    def stamp(self, update: dict[str, Any]) -> dict[str, Any]:
        """Return the update with the revision and the time, as if issued now."""
        return {"revision": self.revision, "issued_ms": self.now // MS, "lease_ms": LEASE // MS, **update}

    def publish(self, row: dict[str, Any]) -> None:
        """Send a change on every open watch. A watch that was cut has to be reopened."""
        self.revision += 1
        for process in self.processes.values():
            if process.watching:
                process.stream.append(self.stamp({"complete": False, "members": [row]}))

    def disconnect(self, name: str) -> None:
        """Cut off a process: nothing more is sent to it, but updates already sent may still be read."""
        self.processes[name].disconnected = True
        self.processes[name].watching = False

    def reconnect(self, name: str) -> None:
        """Make a process reachable again, with a new watch."""
        self.processes[name].disconnected = False
        self.open_watch(name)

    def stop(self) -> None:
        """Stop all control machines: watches end, but updates already sent may still be read."""
        self.up = False
        for process in self.processes.values():
            process.watching = False

    def resume(self) -> None:
        """Start the control machines again; every process that can reach them opens a new watch."""
        self.up = True
        for name in self.processes:
            self.open_watch(name)

    def set_phase(self, name: str, phase: str) -> None:
        """Publish a phase of an instance: it drains, is considered dead, or is ready again."""
        self.entries[name] = {**self.entries[name], "phase": phase, "up_since_ms": self.now // MS}
        self.publish(self.entries[name])

    def join(self, zone: str) -> str:
        """List and start a new instance, and return its name."""
        self.serial += 1
        name = f"{zone}-n{self.serial}"
        self.entries[name] = entry(name, zone, since=self.now, joined=self.now)
        self.publish(self.entries[name])
        self.start(name)
        return name

    def remove(self, name: str) -> None:
        """Remove an instance from the list, as its process is known to have ended."""
        if name in self.processes:
            self.kill(name)
        self.saved.pop(name, None)
        removed = {**self.entries.pop(name), "phase": "Gone"}
        self.publish(removed)

    def send_heartbeat(self) -> None:
        """Send a heartbeat on every open watch."""
        for process in self.processes.values():
            if process.watching:
                process.stream.append(self.stamp({"complete": False, "members": []}))

    # The invariant.

    def quota_totals(self, partition: int) -> dict[str, float]:
        """Return, by zone, the sum of what all live processes hold of the zone's quota of a partition."""
        total: dict[str, float] = {}
        for process in self.processes.values():
            zone = process.fleet.settings.zone
            held = process.fleet.held_quota(partition, self.now + process.clock_offset)
            total[zone] = total.get(zone, 0.0) + held.quota_fraction(process.fleet.settings.reserve)
        return total
