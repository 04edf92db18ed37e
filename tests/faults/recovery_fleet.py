"""Plays outages of partners against a fleet of real dispatcher processes, which get signals meanwhile.

Each partner has its own kind of outage; all are out at the same time. `python -m tests.faults.recovery_fleet
PLAY SEED ...` plays seeds by hand, and prints the load of each partner and what became of the messages.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import copy
import re
import signal
import sys
import tempfile
import time
from asyncio.subprocess import Process
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from datetime import UTC, datetime
from pathlib import Path
from random import Random
from typing import Any

from ..agent import Agent
from ..processes import listening_port, spawn, wait_until_serving
from ..program import SETTINGS, run_async_test, write_config_files
from ..rig import endpoint_row
from .recovering_partner import (
    AWARE_SHARE,
    COLD_SECONDS,
    COLD_SHARE,
    FALL_MULTIPLE,
    FALL_SECONDS,
    OutageKind,
    RecoveringPartner,
)

SECOND = 1_000_000_000  # ns
DEADLINE_MS = 20_000
OBJECTIVE_SECONDS = 2.5
QUIET_SECONDS = 2.0
RESTART_PAUSE_SECONDS = 0.6
KILL_DELAY_SECONDS = 3.7  # from SIGTERM to SIGKILL
KILLED_SHARE = 0.7
ROLL_GROUPS = 4
REPLY_SECONDS = 0.4  # a client waits so long for the reply
NOTICE_SECONDS = 1.0  # after the last deadline
ATTEMPT_FAILED = re.compile(r"^(\S+)Z .*attempt\.failed .*elapsed_ms=(\d+) .*member=(\S+)")
CAPACITIES = (4.0, 20.0)  # calls per second


@dataclass(frozen=True)
class PlaySettings:
    """The size and the times of a play. Durations are seconds."""

    dispatchers: int = 32
    outage: float = 8.0
    after: float = 12.0  # time with traffic after the return
    load: float = 0.75  # traffic as a fraction of the capacity
    capacities: tuple[float, ...] = CAPACITIES
    kinds: tuple[OutageKind, ...] = tuple(OutageKind)
    calm: bool = False  # the partners are not out
    flavor: str = "small"  # `large` partners take 20 messages in a call
    own_limits: bool = False  # whether each endpoint has its own limit and outages


@dataclass(slots=True)
class FleetMember:
    """One dispatcher: its name, address, configuration file and process."""

    name: str
    port: int
    path: str
    process: Process | None = None
    accepting: bool = False
    connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)


@dataclass(slots=True)
class Totals:
    """What became of the messages that the dispatchers accepted."""

    accepted: int = 0
    delivered: int = 0
    in_time: int = 0  # delivered within the latency objective
    returned: int = 0  # ended by a notice
    unfinished: int = 0


Disruption = Callable[["RecoveryPlay"], Coroutine[Any, Any, None]]


class RecoveryPlay:
    """One play of a seed. `disrupt` sends signals to the fleet; it is called when the outage begins."""

    def __init__(
        self,
        seed: int,
        directory: Path,
        disrupt: Disruption,
        settings: PlaySettings | None = None,
    ) -> None:
        self.rng = Random(seed)
        self.directory = directory
        self.disrupt = disrupt
        self.settings = settings or PlaySettings()
        self.agent = Agent([])
        self.partners: list[RecoveringPartner] = []
        self.members: list[FleetMember] = []
        self.submitted_at: dict[str, float] = {}
        self.accepted_by: dict[str, str] = {}
        self.out_from = 0.0
        self.out_until = 0.0
        self.ended = False

    async def play(self) -> list[str]:
        """Play the seed and return the partners that the fleet overloaded."""
        await self._start_partners()
        await self._start_fleet()
        tasks: list[asyncio.Task[Any]] = []
        try:
            self.out_from = time.time() + QUIET_SECONDS
            self.out_until = self.out_from + self.settings.outage
            for partner in self.partners:
                if not self.settings.calm:
                    partner.out_from, partner.out_until = self.out_from, self.out_until
                    tasks.append(asyncio.create_task(partner.run_outage()))
                tasks.append(asyncio.create_task(self._send_traffic(partner)))
            await asyncio.sleep(max(0.0, self.out_from - time.time()))
            tasks.append(asyncio.create_task(self.disrupt(self)))
            await asyncio.sleep(self.out_until + self.settings.after - time.time())
            self.ended = True
            await asyncio.gather(*tasks)
        finally:
            self.ended = True
            for task in tasks:
                task.cancel()
            for member in self.members:
                await self.end_process(member)
        return self.problems()

    async def _start_partners(self) -> None:
        number = 0
        for kind in self.settings.kinds:
            for capacity in self.settings.capacities:
                number += 1
                name = f"p{number}"
                partner = RecoveringPartner(
                    name, kind, capacity, self.rng, lambda message: self.accepted_by.get(message, "unknown")
                )
                await partner.start()
                self.partners.append(partner)
                row = endpoint_row(name, number, self.settings.flavor) | {
                    "host_port": f"127.0.0.1:{partner.port}",
                    "size": capacity,
                }
                self.agent.members.append(row)
        await self.agent.start()

    async def _start_fleet(self) -> None:
        values = copy.deepcopy(SETTINGS) | {"replicas-of-me": self.settings.dispatchers, "weights": "rough"}
        values["invariants"] = {
            "fall-multiple": FALL_MULTIPLE,
            "fall": int(FALL_SECONDS * SECOND),
            "cold-share": COLD_SHARE,
            "cold": int(COLD_SECONDS * SECOND),
        }
        values["family-info"] |= {"call-slots": 13, "own-limits": [self.settings.own_limits] * 2}
        values["caps"]["max-open"] = 200
        for number in range(self.settings.dispatchers):
            folder = self.directory / f"n{number}"
            folder.mkdir(parents=True)
            port = listening_port()
            path, _ = write_config_files(
                folder, port, self.agent.port, self.agent.members, settings=values, name=f"n{number}"
            )
            self.members.append(FleetMember(f"n{number}", port, path))
        await asyncio.gather(*(self.start_process(member) for member in self.members))

    # Processes and signals.

    async def start_process(self, member: FleetMember) -> None:
        """Start a dispatcher and wait until it serves."""
        member.process = await spawn(member.path)
        await wait_until_serving(member.process, member.port)
        member.accepting = True

    async def end_process(self, member: FleetMember) -> None:
        """Kill a dispatcher's process by its id."""
        member.accepting = False
        if member.process is not None and member.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                member.process.kill()
            await member.process.wait()

    async def restart(self, member: FleetMember, graceful: bool = False) -> None:
        """Kill a dispatcher, after SIGTERM and its delay if `graceful`, and start it again."""
        if graceful and member.process is not None:
            member.process.send_signal(signal.SIGTERM)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(member.process.wait(), KILL_DELAY_SECONDS)
        await self.end_process(member)
        await asyncio.sleep(RESTART_PAUSE_SECONDS)
        if not self.ended:
            await self.start_process(member)

    async def upgrade(self, member: FleetMember) -> None:
        """Start a second process beside the running one, which then ends after SIGTERM."""
        old = member.process
        assert old is not None
        member.process = await spawn(member.path)
        await wait_until_serving(member.process, member.port)
        old.send_signal(signal.SIGTERM)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(old.wait(), KILL_DELAY_SECONDS)
        if old.returncode is None:
            old.kill()
            await old.wait()

    def sample(self, share: float) -> list[FleetMember]:
        """Return a random share of the dispatchers."""
        return self.rng.sample(self.members, round(share * len(self.members)))

    # Traffic.

    async def _send_traffic(self, partner: RecoveringPartner) -> None:
        destination = self.partners.index(partner) + 1
        submissions: set[asyncio.Task[None]] = set()
        number = 0
        next_at = time.time()
        while not self.ended:
            next_at += self.rng.expovariate(partner.capacity * self.settings.load)
            await asyncio.sleep(max(0.0, next_at - time.time()))
            number += 1
            task = asyncio.create_task(self._submit(f"m-{destination}-{number}", destination))
            submissions.add(task)
            task.add_done_callback(submissions.discard)
        await asyncio.gather(*submissions)

    async def _submit(self, message: str, destination: int) -> None:
        """Submit a message to a dispatcher that serves; drop it if none answers in time."""
        accepting = [member for member in self.members if member.accepting]
        if not accepting:
            return
        member = self.rng.choice(accepting)
        self.accepted_by[message] = member.name
        self.submitted_at[message] = time.time()
        arguments = [
            "ENQUEUE",
            "0",
            message,
            f"c=standard,t=studio,d={DEADLINE_MS},k={message},dest={destination}",
        ]
        parts = [*(argument.encode() for argument in arguments), b"body"]
        request = b"*5\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(part), part) for part in parts)
        reply = await self._request(member, request)
        if not reply.startswith(b"+"):
            self.submitted_at.pop(message)

    async def _request(self, member: FleetMember, request: bytes) -> bytes:
        async with member.lock:
            try:
                if member.connection is None:
                    member.connection = await asyncio.open_connection("127.0.0.1", member.port)
                reader, writer = member.connection
                writer.write(request)
                if reply := await asyncio.wait_for(reader.readline(), REPLY_SECONDS):
                    return reply
            except (OSError, TimeoutError):
                pass
            if member.connection is not None:
                member.connection[1].close()
            member.connection = None
            return b""

    # Results.

    def aware_dispatchers(self, partner: RecoveringPartner) -> set[str]:
        """Return the dispatchers that had a failed call to the partner in its outage."""
        aware = set(partner.aware)
        for member in self.members:
            for line in Path(member.path).with_suffix(".log").read_text(errors="replace").splitlines():
                if (match := ATTEMPT_FAILED.match(line)) and match[3] == partner.name:
                    ended_at = datetime.fromisoformat(match[1]).replace(tzinfo=UTC).timestamp()
                    sent_at = ended_at - int(match[2]) / 1000
                    if sent_at < self.out_until and ended_at >= self.out_from:
                        aware.add(member.name)
        return aware

    def problems(self) -> list[str]:
        """Return a line for each partner that fell under calls of dispatchers that knew of its outage."""
        problems = []
        for partner in self.partners:
            fall = partner.fall(self.aware_dispatchers(partner))
            if fall is not None and fall[1] > AWARE_SHARE:
                problems.append(f"overloaded: {self.describe(partner)}, {fall[0]:.2f} s after its return")
        return problems

    def describe(self, partner: RecoveringPartner) -> str:
        """Return the partner's kind, capacity, greatest load and number of aware dispatchers."""
        aware = len(self.aware_dispatchers(partner))
        return (
            f"{partner.kind.value} at {partner.capacity:g} calls/s: {partner.worst_load():.2f} of its budget,"
            f" {aware} dispatchers aware, {partner.calls_in_outage} calls in the outage"
        )

    def totals(self) -> Totals:
        """Return what became of the accepted messages so far."""
        totals = Totals(accepted=len(self.submitted_at))
        delivered = {m: at for partner in self.partners for m, at in partner.delivered_at.items()}
        for message, submitted_at in self.submitted_at.items():
            if message in delivered:
                totals.delivered += 1
                totals.in_time += delivered[message] - submitted_at <= OBJECTIVE_SECONDS
            elif message in self.agent.notices:
                totals.returned += 1
            else:
                totals.unfinished += 1
        return totals


# Disruptions. Each is called when the outage begins.


async def no_disruption(_: RecoveryPlay) -> None:
    """Send no signal."""


async def kill_in_outage(play: RecoveryPlay) -> None:
    """Kill most dispatchers at once in the middle of the outage."""
    await asyncio.sleep(play.settings.outage / 2)
    await asyncio.gather(*(play.restart(member) for member in play.sample(KILLED_SHARE)))


async def kill_after_return(play: RecoveryPlay) -> None:
    """Kill most dispatchers at once a second after the partners have returned."""
    await asyncio.sleep(play.settings.outage + 1.0)
    await asyncio.gather(*(play.restart(member) for member in play.sample(KILLED_SHARE)))


async def kill_at_return(play: RecoveryPlay) -> None:
    """Kill most dispatchers so that they start again when the partners return."""
    await asyncio.sleep(play.settings.outage - RESTART_PAUSE_SECONDS - 0.5)
    await asyncio.gather(*(play.restart(member) for member in play.sample(KILLED_SHARE)))


async def roll(play: RecoveryPlay) -> None:
    """Restart all dispatchers in groups; every second one is killed, the others get SIGTERM first."""
    members = play.sample(1.0)
    restarts = []
    for group in range(ROLL_GROUPS):
        for index, member in enumerate(members[group::ROLL_GROUPS]):
            restarts.append(asyncio.create_task(play.restart(member, graceful=index % 2 == 0)))
        await asyncio.sleep(play.settings.outage / ROLL_GROUPS)
    await asyncio.gather(*restarts)


async def reload(play: RecoveryPlay) -> None:
    """Send SIGHUP to all dispatchers several times, in the outage and after the return."""
    for _ in range(6):
        await asyncio.sleep(play.settings.outage / 4)
        for member in play.members:
            if member.process is not None and member.accepting:
                member.process.send_signal(signal.SIGHUP)


async def upgrade(play: RecoveryPlay) -> None:
    """Replace half of the dispatchers by a process started beside them, shortly before the return."""
    await asyncio.sleep(play.settings.outage * 0.75)
    await asyncio.gather(*(play.upgrade(member) for member in play.sample(0.5)))


async def kill_in_outage_and_after(play: RecoveryPlay) -> None:
    """Kill most dispatchers in the outage, and most again after the return."""
    await kill_in_outage(play)
    await asyncio.sleep(max(0.0, play.out_until + 1.5 - time.time()))
    await asyncio.gather(*(play.restart(member) for member in play.sample(KILLED_SHARE)))


async def kill_without_discovery(play: RecoveryPlay) -> None:
    """Kill most dispatchers in the outage while discovery is down, which returns with the partners."""
    play.agent.go_down()
    await kill_in_outage(play)
    await asyncio.sleep(max(0.0, play.out_until - time.time()))
    await play.agent.start()


async def terminate_repeatedly(play: RecoveryPlay) -> None:
    """Restart most dispatchers by a series of signals, so that they start again after the return."""
    await asyncio.sleep(max(0.0, play.settings.outage - KILL_DELAY_SECONDS))
    members = play.sample(KILLED_SHARE)
    restarts = [asyncio.create_task(play.restart(member, graceful=True)) for member in members]
    for signal_number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP):
        await asyncio.sleep(0.5)
        for member in members:
            if member.process is not None and member.process.returncode is None:
                member.process.send_signal(signal_number)
    await asyncio.gather(*restarts)


DISRUPTIONS: dict[str, Disruption] = {
    "none": no_disruption,
    "kill-in-outage": kill_in_outage,
    "kill-at-return": kill_at_return,
    "kill-after-return": kill_after_return,
    "kill-in-outage-and-after": kill_in_outage_and_after,
    "roll": roll,
    "reload": reload,
    "upgrade": upgrade,
    "kill-without-discovery": kill_without_discovery,
    "terminate-repeatedly": terminate_repeatedly,
}


def play_seed(name: str, seed: int, directory: Path, settings: PlaySettings | None = None) -> RecoveryPlay:
    """Play one seed with one disruption and return the play."""
    play = RecoveryPlay(seed, directory, DISRUPTIONS[name], settings)
    run_async_test(_run(play))
    return play


async def _run(play: RecoveryPlay) -> None:
    await play.play()


def main() -> None:
    """Play the seeds named on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("disruption", choices=DISRUPTIONS)
    parser.add_argument("seeds", type=int, nargs="+")
    parser.add_argument("--dispatchers", type=int, default=PlaySettings.dispatchers)
    parser.add_argument("--outage", type=float, default=PlaySettings.outage)
    parser.add_argument("--load", type=float, default=PlaySettings.load)
    parser.add_argument("--after", type=float, default=PlaySettings.after)
    parser.add_argument("--capacities", type=float, nargs="+", default=CAPACITIES)
    parser.add_argument("--calm", action="store_true")
    parser.add_argument("--flavor", choices=("small", "large"), default=PlaySettings.flavor)
    parser.add_argument("--own-limits", action="store_true")
    arguments = parser.parse_args()
    settings = PlaySettings(
        dispatchers=arguments.dispatchers,
        outage=arguments.outage,
        after=arguments.after,
        load=arguments.load,
        capacities=tuple(arguments.capacities),
        calm=arguments.calm,
        flavor=arguments.flavor,
        own_limits=arguments.own_limits,
    )
    failed = False
    for seed in arguments.seeds:
        directory = Path(tempfile.mkdtemp(prefix=f"recovery-{seed}-"))
        play = play_seed(arguments.disruption, seed, directory, settings)
        for partner in play.partners:
            print(f"seed {seed}: {play.describe(partner)}")
        problems = play.problems()
        failed = failed or bool(problems)
        for problem in problems:
            print(f"seed {seed}: {problem}")
        print(f"seed {seed}: {arguments.disruption}: {len(problems)} problems; {play.totals()}", flush=True)
    sys.exit(failed)


if __name__ == "__main__":
    main()
