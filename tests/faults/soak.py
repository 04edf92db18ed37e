"""Plays one seed of random faults against a real dispatcher process, and checks the rules afterwards.

Responses are copied by proxies, endpoints reject, fail and stay silent, system calls fail, the wall clock is
stepped, and the process is signalled, killed and restarted. `python -m tests.faults.soak SEED ...` plays
seeds by hand.
"""

from __future__ import annotations

import asyncio
import copy
import json
import signal
import sys
import tempfile
import time
from asyncio.subprocess import Process
from dataclasses import dataclass, field
from math import inf
from pathlib import Path
from random import Random
from typing import Any

from ..agent import Agent
from ..processes import listening_port, spawn, wait_until_serving
from ..program import SETTINGS, run_async_test, write_config_files
from ..rig import endpoint_row
from .clients import Client, Submission
from .endpoint import Attempt, RecordingEndpoint, Reply, overlapping_attempts
from .excess import SHORT_FIELDS, ExcessivePeer
from .limited import BYTES_PER_MEGABYTE, Usage, attack
from .proxy import CopyingProxy
from .shim import Fault, Shim

SECOND = 1_000_000_000  # ns
TRAFFIC_SECONDS = 14.0
TOKEN_WINDOW_SECONDS = 3.0
DEADLINE_SECONDS = {"pure": 4.0, "token": 5.0, "unsafe": 6.0}
CLIENT_COUNT = 6
CROWD_SIZE = 90
DESCRIPTORS = 128
KILL_DELAY_SECONDS = 3.7  # from SIGTERM to SIGKILL
RESTART_PAUSE_SECONDS = 0.6
TIME_SLACK_SECONDS = 0.05  # every time limit is this much longer
NOTICE_DELAY_SECONDS = 0.3
NOTICE_DELAY_AFTER_START_SECONDS = 1.5
RETRY_AFTER_TRANSIT_SECONDS = 0.1  # calls that arrive this soon after a Retry-After are let through
FAILING_START_SECONDS = 2.0
READY_SECONDS = 10.0
DRAIN_GRACE_SECONDS = 2.0
CUT_SECONDS = 0.05  # a response that was written this close to a cut may not have arrived
HOSTILE_SEED = 0x4057  # mixed into the seed, so that the other draws do not depend on hostile peers
HOSTILE_PROBABILITY = 0.6  # of a play with hostile clients and peers
HOSTILE_CLASS = "standard"
HOSTILE_DESTINATION = 4  # of the hostile clients' messages; its endpoint sends more than it should
HOSTILE_ATTACKS = (
    "stall",
    "drip",
    "many-fields",
    "many-arguments",
    "unread-replies",
    "silent",
    "pings",
    "unsound",
    "new-names",
    "pipeline-and-close",
)
HOSTILE_CONNECTIONS = (1, 40, 100)
EXCESSIVE_LINE = b'{"members":["' + b"x" * 600_000
MEMORY_MEGABYTES = 96
CLOCK_STEPS = (-3600 * SECOND, -3 * SECOND, 3 * SECOND, 3600 * SECOND)
MEMBERS = (("batch", 1, "large"), ("batch-2", 1, "large"), ("single", 2, "small"), ("single-2", 3, "small"))


def soak_settings() -> dict[str, Any]:
    """Return the settings with one class of each effect."""
    settings = copy.deepcopy(SETTINGS)
    semantics = {"pure": "pure", "token": "token", "unsafe": "side_effect"}
    settings["classes"] = [
        {
            "name": name,
            "semantics": semantics[name],
            "aim": SECOND,
            "deadline": int(seconds * SECOND),
            "window": int(TOKEN_WINDOW_SECONDS * SECOND) if name == "token" else 0,
            "group": "all",
        }
        for name, seconds in DEADLINE_SECONDS.items()
    ]
    settings["classes"].append(
        {"name": HOSTILE_CLASS, "semantics": "pure", "aim": SECOND, "deadline": 8 * SECOND, "group": "all"}
    )
    settings["caps"]["max-open"] = 200
    return settings


class TimedAgent(Agent):
    """An agent that records when each notice arrived, and sends each new watch the complete list."""

    def __init__(self) -> None:
        super().__init__([])
        self.notice_times: dict[str, float] = {}

    async def _serve_watch(self, writer: asyncio.StreamWriter) -> None:
        self.on_watch = lambda: writer.write(self._complete_chunk())
        await super()._serve_watch(writer)

    def _complete_chunk(self) -> bytes:
        line = self.complete_list()
        return b"%x\r\n%s\r\n" % (len(line), line)

    def _receive_notices(self, body: bytes) -> None:
        super()._receive_notices(body)
        for line in body.splitlines():
            self.notice_times.setdefault(json.loads(line)["id"], time.monotonic())


@dataclass(slots=True)
class Outage:
    """A time in which no process served: from the signal that ended one to the readiness of the next."""

    began: float
    spawned: float = inf  # when the next process was started
    ended: float = 0.0


@dataclass(slots=True)
class Drain:
    """A time in which the agent listed an endpoint as draining; `ended` is 0 if it still does."""

    endpoint: str
    began: float
    ended: float = 0.0


@dataclass(slots=True)
class Soak:
    """One play of a seed."""

    seed: int
    directory: Path
    rng: Random = field(init=False)
    hostile_rng: Random = field(init=False)
    agent: TimedAgent = field(default_factory=TimedAgent)
    endpoints: dict[str, RecordingEndpoint] = field(default_factory=dict)
    proxies: dict[str, CopyingProxy] = field(default_factory=dict)
    clients: list[Client] = field(default_factory=list)
    outages: list[Outage] = field(default_factory=list)
    drains: list[Drain] = field(default_factory=list)
    shim_broke_connections: bool = False
    hostile: bool = False
    usage: Usage = field(default_factory=Usage)
    processes: list[Process] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)
    message_count: int = 0
    copies: int = 0
    port: int = 0
    agent_port: int = 0

    def __post_init__(self) -> None:
        self.rng = Random(self.seed)
        self.hostile_rng = Random(self.seed ^ HOSTILE_SEED)
        self.hostile = self.hostile_rng.random() < HOSTILE_PROBABILITY

    async def play(self) -> list[str]:
        """Play the seed and return the rules that were broken."""
        await self._start_peers()
        self.port = listening_port()
        shim = Shim(self.directory / "faults")
        limits = {"sockets": DESCRIPTORS, "disk_mb": 3, "memory_mb": MEMORY_MEGABYTES}
        path, _ = write_config_files(
            self.directory,
            self.port,
            self.agent_port,
            self.agent.members,
            settings=soak_settings(),
            limits=limits,
        )
        process = await self._spawn(path, shim)
        tasks: list[asyncio.Task[None]] = [asyncio.create_task(self.usage.sample(self.processes))]
        try:
            await self._wait_until_serving(process, shim)
            self.clients = [
                Client(self.port, self._next_submission, self._pause) for _ in range(CLIENT_COUNT)
            ]
            tasks += [asyncio.create_task(client.run()) for client in self.clients]
            if self.hostile:
                tasks += [asyncio.create_task(self._attack()), asyncio.create_task(self._send_excess())]
            if self.rng.random() < 0.3:
                tasks.append(asyncio.create_task(self._crowd()))
            process = await self._cause_trouble(process, shim, path)
            for client in self.clients:
                client.stopped = True
            shim.clear()
            await asyncio.sleep(max(DEADLINE_SECONDS.values()) + 1.0)
            if process.returncode is not None:
                self.problems.append(f"crash: the process ended with {process.returncode}")
        finally:
            for task in tasks:
                task.cancel()
            for result in await asyncio.gather(*tasks, return_exceptions=True):
                if isinstance(result, Exception):
                    self.problems.append(f"the soak itself failed: {result!r}")
            await kill(process)
        self.copies = sum(proxy.copies for proxy in self.proxies.values())
        self._check()
        return self.problems

    # Peers and traffic.

    async def _start_peers(self) -> None:
        copies_responses = self.rng.random() < 0.7
        cut_probability = self.rng.choice((0.0, 0.02, 0.1))

        def copy_delay() -> float | None:
            return self.rng.uniform(0, 0.02) if copies_responses and self.rng.random() < 0.5 else None

        def cuts() -> bool:
            return self.rng.random() < cut_probability

        for name, destination, kind in MEMBERS:
            endpoint = await RecordingEndpoint(self._respond, lambda: None).start()
            self.endpoints[name] = endpoint
            proxy = await CopyingProxy(endpoint.port, copy_delay, cuts=cuts).start()
            self.proxies[name] = proxy
            address = f"127.0.0.1:{proxy.port}"
            self.agent.members.append(
                {**endpoint_row(name, destination, kind), "host_port": address, "size": 40.0}
            )
        if self.hostile:
            peer = await ExcessivePeer(b"HTTP/1.1 200 OK\r\n", SHORT_FIELDS, 1 << 17).start()
            row = {**endpoint_row("hostile", HOSTILE_DESTINATION), "host_port": f"127.0.0.1:{peer.port}"}
            self.agent.members.append(row)
        await self.agent.start()
        agent_proxy = await CopyingProxy(self.agent.port, copy_delay).start()
        self.agent_port = agent_proxy.port

    def _respond(self, _messages: list[str]) -> Reply:
        draw = self.rng.random()
        delay = self.rng.uniform(0.01, 0.15)
        if draw < 0.75:
            return Reply(delay=delay)
        if draw < 0.85:
            return Reply(503, delay)
        if draw < 0.90:
            return Reply(429, delay, retry_after=self.rng.choice((0.3, 0.75)))
        if draw < 0.97:
            return Reply(500, delay)
        return Reply(0, delay)

    def _next_submission(self) -> Submission:
        self.message_count += 1
        class_name = self.rng.choice(tuple(DEADLINE_SECONDS))
        deadline = time.monotonic() + DEADLINE_SECONDS[class_name] * self.rng.uniform(0.5, 1.0)
        destination = self.rng.choice(MEMBERS)[1]
        return Submission(f"m{self.message_count}", class_name, destination, deadline)

    def _pause(self) -> float:
        return self.rng.uniform(0, 0.2)

    async def _crowd(self) -> None:
        """Fill the dispatcher's descriptors with clients that send nothing."""
        writers = []
        try:
            while True:
                for _ in range(CROWD_SIZE):
                    try:
                        _, writer = await asyncio.open_connection("127.0.0.1", self.port)
                    except OSError:
                        break
                    writers.append(writer)
                await asyncio.sleep(1.0)
                while writers:
                    writers.pop().close()
        finally:
            for writer in writers:
                writer.close()

    # Hostile clients and peers.

    async def _attack(self) -> None:
        """Play one attack after the other; some come together."""
        fields = f"c={HOSTILE_CLASS},t=studio,d=8000,dest={HOSTILE_DESTINATION}"
        while True:
            names = self.hostile_rng.sample(HOSTILE_ATTACKS, self.hostile_rng.choice((1, 1, 2)))
            connections = self.hostile_rng.choice(HOSTILE_CONNECTIONS)
            seconds = self.hostile_rng.uniform(0.5, 3.0)
            async with asyncio.TaskGroup() as group:
                for name in names:
                    group.create_task(attack(name, self.port, connections, seconds, fields))
            await asyncio.sleep(self.hostile_rng.uniform(0, 0.5))

    async def _send_excess(self) -> None:
        """Have the agent send lines without an end on its watches."""
        while True:
            await asyncio.sleep(self.hostile_rng.uniform(1.0, 5.0))
            for writer in self.agent.watches:
                if not writer.is_closing():
                    writer.write(b"%x\r\n%s\r\n" % (len(EXCESSIVE_LINE), EXCESSIVE_LINE))

    # Trouble.

    async def _spawn(self, path: str, shim: Shim) -> Process:
        process = await spawn(path, environment=shim.environment)
        self.processes.append(process)
        return process

    async def _cause_trouble(self, process: Process, shim: Shim, path: str) -> Process:
        ends_at = time.monotonic() + TRAFFIC_SECONDS
        while time.monotonic() < ends_at:
            await asyncio.sleep(self.rng.uniform(0.2, 1.0))
            draw = self.rng.random()
            if draw < 0.35:
                await self._fail_system_calls(shim)
            elif draw < 0.5:
                shim.step_wall_clock(self.rng.choice(CLOCK_STEPS))
            elif draw < 0.6:
                await self._pause_process(process)
            elif draw < 0.65:
                process.send_signal(signal.SIGHUP)
            elif draw < 0.75:
                self._toggle_drain()
            else:
                process = await self._restart(process, shim, path)
        return process

    def _toggle_drain(self) -> None:
        """Have the agent list an endpoint as draining, or as ready again."""
        member = self.rng.choice(self.agent.members[: len(MEMBERS)])
        drains = member["phase"] == "Ready"
        member["phase"] = "Terminating" if drains else "Ready"
        self.agent.change(dict(member))
        if drains:
            self.drains.append(Drain(member["id"], time.monotonic()))
        else:
            for drain in self.drains:
                if drain.endpoint == member["id"] and not drain.ended:
                    drain.ended = time.monotonic()

    async def _fail_system_calls(self, shim: Shim) -> None:
        group = self.rng.choice(
            (
                (Fault.ACCEPT, Fault.SOCKET, Fault.CONNECT),
                (Fault.WAIT, Fault.SHORT_READ, Fault.SHORT_WRITE),
                (Fault.BROKEN_CONNECTION,),
                (Fault.FILE_WRITE, Fault.FILE_OTHER),
                (Fault.FILE_SHORT_WRITE, Fault.FILE_OTHER),
            )
        )
        most = 0.03 if Fault.BROKEN_CONNECTION in group else 0.5
        lasting_failure = Fault.FILE_WRITE in group and self.rng.random() < 0.5
        for fault in group:
            shim.set_probability(fault, 1.0 if lasting_failure else self.rng.uniform(0, most))
        self.shim_broke_connections |= Fault.BROKEN_CONNECTION in group
        await asyncio.sleep(self.rng.uniform(0.3, 1.5))
        if self.rng.random() < 0.8:  # otherwise the failures go on beside the next trouble
            shim.clear()

    async def _pause_process(self, process: Process) -> None:
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.02, 0.15))
        process.send_signal(signal.SIGCONT)

    async def _restart(self, process: Process, shim: Shim, path: str) -> Process:
        outage = Outage(time.monotonic())
        self.outages.append(outage)
        draw = self.rng.random()
        if draw < 0.5:
            await self._terminate(process)
        elif draw < 0.7:
            shim.set_probability(Fault.KILL_IN_FILE_WRITE, 0.2)
            await asyncio.sleep(0.3)
            shim.clear()
        await kill(process)
        await asyncio.sleep(RESTART_PAUSE_SECONDS)
        outage.spawned = time.monotonic()
        process = await self._spawn(path, shim)
        await self._wait_until_serving(process, shim)
        outage.ended = time.monotonic()
        return process

    async def _terminate(self, process: Process) -> None:
        """Send a series of signals that ends with SIGKILL at the earliest time."""
        process.send_signal(signal.SIGTERM)
        kills_at = time.monotonic() + KILL_DELAY_SECONDS
        while (left := kills_at - time.monotonic()) > 0:
            await asyncio.sleep(min(left, self.rng.uniform(0.2, 1.5)))
            if process.returncode is None and self.rng.random() < 0.5:
                process.send_signal(self.rng.choice((signal.SIGTERM, signal.SIGHUP, signal.SIGINT)))
        if process.returncode not in (None, 0):
            self.problems.append(f"crash: after SIGTERM the process ended with {process.returncode}")

    async def _wait_until_serving(self, process: Process, shim: Shim) -> None:
        """Wait until the process serves; failures of system calls last for at most a part of its start."""
        serving = asyncio.create_task(wait_until_serving(process, self.port))
        await asyncio.wait({serving}, timeout=FAILING_START_SECONDS)
        shim.clear()
        async with asyncio.timeout(READY_SECONDS):
            await serving

    # Rules.

    def _check(self) -> None:
        submissions = [submission for client in self.clients for submission in client.submissions]
        for submission in submissions:
            attempts = self._attempts(submission.message)
            self._check_reply(submission)
            if submission.accepted:
                self._check_ending(submission, attempts)
            self._check_repeats(submission, attempts)
        if self.usage.memory > MEMORY_MEGABYTES * BYTES_PER_MEGABYTE:
            self.problems.append(f"memory: {self.usage.memory} bytes were used")
        self._check_retry_after()
        self._check_drains()
        for message, attempts in overlapping_attempts(list(self.endpoints.values())).items():
            self.problems.append(f"two attempts in flight: {message} {attempts}")
        for endpoint in self.endpoints.values():
            self.problems += [f"malformed call: {head!r}" for head in endpoint.malformed]

    def _attempts(self, message: str) -> list[Attempt]:
        attempts = [
            attempt for endpoint in self.endpoints.values() for attempt in endpoint.attempts.get(message, [])
        ]
        return sorted(attempts, key=lambda attempt: attempt.started_at)

    def _in_outage(self, moment: float) -> bool:
        return any(outage.began <= moment <= outage.ended + TIME_SLACK_SECONDS for outage in self.outages)

    def _check_reply(self, submission: Submission) -> None:
        closed_at = submission.closed_unanswered
        if closed_at and not self._in_outage(closed_at) and not self.shim_broke_connections:
            self.problems.append(f"lost request: {submission} was closed without an answer")
        if submission.reply[:1] == b"-" and not submission.reply.startswith(b"-BUSY"):
            self.problems.append(f"failed request: {submission}")

    def _check_ending(self, submission: Submission, attempts: list[Attempt]) -> None:
        due = submission.deadline + NOTICE_DELAY_SECONDS + TIME_SLACK_SECONDS
        for outage in self.outages:
            if outage.began <= due:
                due = max(due, outage.ended + NOTICE_DELAY_AFTER_START_SECONDS + TIME_SLACK_SECONDS)
        ends = [attempt.ended_at for attempt in attempts if attempt.confirmed]
        if submission.message in self.agent.notice_times:
            ends.append(self.agent.notice_times[submission.message])
        if not ends:
            self.problems.append(f"lost: {submission} {attempts}")
        elif min(ends) > due:
            self.problems.append(f"late by {min(ends) - due:.3f} s: {submission} {attempts}")

    def _check_repeats(self, submission: Submission, attempts: list[Attempt]) -> None:
        executed = [attempt for attempt in attempts if attempt.executed]
        if executed:
            first = executed[0]
            later = [attempt for attempt in attempts if attempt.started_at > first.started_at]
            allowed = {"pure": 1e9, "token": TOKEN_WINDOW_SECONDS + TIME_SLACK_SECONDS, "unsafe": 0.0}
            latest = first.started_at + allowed[submission.class_name]
            if any(attempt.started_at > latest for attempt in later):
                self.problems.append(f"repeated: {submission} {attempts}")
        notice_at = self.agent.notice_times.get(submission.message)
        if notice_at is not None and any(
            attempt.started_at > notice_at + TIME_SLACK_SECONDS for attempt in attempts
        ):
            self.problems.append(f"sent after its end: {submission} {attempts} notice at {notice_at}")

    def _check_retry_after(self) -> None:
        for name, destination, _ in MEMBERS:
            members = [self.endpoints[other] for other, number, _ in MEMBERS if number == destination]
            started = [
                a.started_at for member in members for group in member.attempts.values() for a in group
            ]
            for group in self.endpoints[name].attempts.values():
                for attempt in group:
                    if attempt.retry_after and self._is_received(name, attempt):
                        begin = attempt.ended_at + RETRY_AFTER_TRANSIT_SECONDS + TIME_SLACK_SECONDS
                        end = attempt.ended_at + attempt.retry_after - TIME_SLACK_SECONDS
                        if any(begin < moment < end for moment in started):
                            self.problems.append(f"Retry-After not kept at {name}: {attempt}")

    def _check_drains(self) -> None:
        for drain in self.drains:
            for group in self.endpoints[drain.endpoint].attempts.values():
                for attempt in group:
                    starts = [
                        outage.spawned for outage in self.outages if outage.spawned <= attempt.started_at
                    ]
                    notified_at = max([drain.began, *starts])
                    latest = notified_at + DRAIN_GRACE_SECONDS + TIME_SLACK_SECONDS
                    if latest < attempt.started_at < (drain.ended or 1e9):
                        self.problems.append(f"sent to a draining endpoint: {drain} {attempt}")

    def _is_received(self, endpoint: str, attempt: Attempt) -> bool:
        """Return whether the response reached a process that served until the end of its Retry-After."""
        restarted = any(
            attempt.ended_at - 1.0 < outage.began < attempt.ended_at + attempt.retry_after
            for outage in self.outages
        )
        cut = any(abs(moment - attempt.ended_at) < CUT_SECONDS for moment in self.proxies[endpoint].cut_times)
        return not (restarted or cut or self.shim_broke_connections)


async def kill(process: Process) -> None:
    """Kill a process by its id, if it still runs."""
    if process.returncode is None:
        process.kill()
    await process.wait()


def play_seed(seed: int, directory: Path) -> list[str]:
    """Play one seed and return the rules that were broken."""
    problems: list[str] = []

    async def work() -> None:
        soak = Soak(seed, directory)
        problems.extend(await soak.play())
        accepted = sum(submission.accepted for client in soak.clients for submission in client.submissions)
        print(
            f"seed {seed}: {soak.message_count} submitted, {accepted} accepted, {soak.copies} copies,"
            f" {len(soak.outages)} restarts, hostile: {soak.hostile}, {soak.usage.memory // 1_000_000} MB,"
            f" {len(problems)} problems",
            flush=True,
        )

    run_async_test(work())
    return problems


def main() -> None:
    """Play the seeds named on the command line."""
    failed = False
    for argument in sys.argv[1:]:
        directory = Path(tempfile.mkdtemp(prefix=f"soak-{argument}-"))
        for problem in play_seed(int(argument), directory):
            failed = True
            print(f"seed {argument}: {problem}", flush=True)
    sys.exit(failed)


if __name__ == "__main__":
    main()
