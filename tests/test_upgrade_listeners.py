"""Upgrades of real processes whose balancer asks throughout, and starts that are refused beside a process."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
import sys
from asyncio.subprocess import Process
from collections.abc import AsyncIterator, Callable
from pathlib import Path

import pytest

from honeyhitch.journal.directory import StateDirectory
from honeyhitch.journal.process_record import ProcessDescription

from .agent import Agent
from .polling import poll_until
from .processes import CountingEndpoint, killed_at_end, listening_port, request_line
from .program import enqueue, run_async_test, write_config_files
from .rig import endpoint_row

ROOT = Path(__file__).parent.parent
THIS_RELEASE = "honeyhitch"
PREVIOUS_RELEASE = "tests.previous_release"
ACCEPTING = "up ready"
STOPPED_FOR_SECONDS = 0.3  # how long a process is stopped by SIGSTOP; longer than its peer's poll interval
BALANCER_INTERVAL_SECONDS = 0.002  # less than the gap between two listeners that do not overlap


class Balancer:
    """Asks for the agent-check and for health in turn, without a pause, and keeps each answer."""

    def __init__(self, agent_check: int, health: int) -> None:
        self.agent_check, self.health = agent_check, health
        self.answers = list[str]()

    async def run(self) -> None:
        while True:
            self.answers.append(await ask(self.agent_check, b""))
            health = await ask(self.health, b"GET /health HTTP/1.0\r\n\r\n")
            self.answers.append(ACCEPTING if "200 OK" in health else health)
            await asyncio.sleep(BALANCER_INTERVAL_SECONDS)

    def untrue_answers(self) -> list[str]:
        """Return the answers that do not say that the dispatcher accepts messages."""
        return [answer for answer in self.answers if not answer.startswith(ACCEPTING)]

    async def answered(self, count: int = 20) -> None:
        """Wait for some further answers."""
        target = len(self.answers) + count

        async def reached() -> bool:
            return len(self.answers) >= target

        await poll_until(reached)


async def ask(port: int, request: bytes) -> str:
    """Return the first line of the answer, or the name of the error if there is none."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError as error:
        return type(error).__name__
    try:
        writer.write(request)
        return (await reader.readline()).decode().strip() or "closed without an answer"
    except OSError as error:
        return type(error).__name__
    finally:
        writer.close()


class Deployment:
    """The addresses and the state directory of one dispatcher, and the processes that use them."""

    def __init__(self, folder: Path, agent: Agent) -> None:
        self.folder, self.agent, self.port = folder, agent, listening_port()
        self.agent_check, self.health = listening_port(), listening_port()
        self.processes = list[Process]()
        self.managements = list[int]()

    @property
    def state(self) -> Path:
        return self.folder / "state"

    @property
    def beside(self) -> str:
        return f'[beside]\nagent-check = "127.0.0.1:{self.agent_check}"\nhealth = "127.0.0.1:{self.health}"\n'

    def log(self, number: int) -> str:
        return (self.folder / str(number) / "log").read_text()

    async def launch(
        self, release: str = THIS_RELEASE, operator: str | None = None, **overrides: str
    ) -> Process:
        """Start a process, whose second address is its own unless `management` gives another one."""
        directory = self.folder / str(len(self.processes))
        directory.mkdir()
        self.managements.append(listening_port())
        fields = {"state": str(self.state), "management": f"127.0.0.1:{self.managements[-1]}", **overrides}
        operator = self.beside if operator is None else operator
        paths = write_config_files(
            directory, self.port, self.agent.port, self.agent.members, operator, **fields
        )
        arguments = ["-m", release, "serve", "--config", str(paths[0]), "--operator", str(paths[1])]
        with (directory / "log").open("wb") as log:
            process = await asyncio.create_subprocess_exec(sys.executable, *arguments, cwd=ROOT, stderr=log)
        self.processes.append(process)
        return process

    async def start(self, release: str = THIS_RELEASE, operator: str | None = None) -> Process:
        """Start a process and wait for its yes."""
        process = await self.launch(release, operator)
        number = len(self.processes) - 1

        async def says_yes() -> bool:
            assert process.returncode is None, self.log(number)
            return (await ask(self.managements[number], b"status\n")).startswith("+OK")

        await poll_until(says_yes, interval=0.01)
        return process

    def files(self) -> dict[str, bytes]:
        """Return the content of each file in the state directory."""
        return {path.name: path.read_bytes() for path in self.state.iterdir() if path.is_file()}


@contextlib.asynccontextmanager
async def deployment(folder: Path) -> AsyncIterator[Deployment]:
    endpoint = await CountingEndpoint(lambda: None, replies=False).start()
    agent = Agent([{**endpoint_row("s-1", 1), "host_port": f"127.0.0.1:{endpoint.port}"}])
    await agent.start()
    created = Deployment(folder, agent)
    async with killed_at_end(created.processes):
        yield created


@contextlib.asynccontextmanager
async def asked_by_balancer(created: Deployment) -> AsyncIterator[Balancer]:
    balancer = Balancer(created.agent_check, created.health)
    task = asyncio.ensure_future(balancer.run())
    try:
        yield balancer
    finally:
        task.cancel()


# Guards against an upgrade that ends the new process, or in which a balancer is told `drain` or is refused
# (review/3): the listeners of [beside] were not shared, and each process answered for itself alone.
def test_a_balancer_that_asks_throughout_an_upgrade_is_always_told_the_truth(tmp_path: Path) -> None:
    async def work() -> None:
        async with deployment(tmp_path) as created:
            old = await created.start()
            async with asked_by_balancer(created) as balancer:
                for _ in range(3):
                    await balancer.answered()
                    new = await created.start()
                    # The old process ends later, as its call is never answered.
                    await request_line(created.port, enqueue(f"m{len(created.processes)}", left=1500))
                    await balancer.answered()
                    old.send_signal(signal.SIGTERM)
                    assert await old.wait() == 0
                    old = new
                await balancer.answered()
            assert not balancer.untrue_answers()

    run_async_test(work())


# Guards against a new process that ends because the previous release holds the addresses for itself.
@pytest.mark.parametrize("end", [signal.SIGTERM, signal.SIGKILL])
def test_an_upgrade_from_the_previous_release_takes_its_addresses_when_it_ends(
    tmp_path: Path, end: signal.Signals
) -> None:
    async def work() -> None:
        async with deployment(tmp_path) as created:
            old = await created.start(PREVIOUS_RELEASE)
            async with asked_by_balancer(created) as balancer:
                new = await created.start()
                await balancer.answered()
                new.send_signal(signal.SIGHUP)
                await balancer.answered()
                assert not balancer.untrue_answers()  # the previous release answers
                old.send_signal(end)
                await old.wait()
                await balancer.answered()
            async with asked_by_balancer(created) as balancer:
                await balancer.answered()
                newest = await created.start()  # the addresses are shared from now on
                new.send_signal(signal.SIGTERM)
                assert await new.wait() == 0
                await balancer.answered()
                assert not balancer.untrue_answers()
            assert newest.returncode is None

    run_async_test(work())


# Guards against `drain` from the new process while the old one accepts messages, and after its end.
@pytest.mark.parametrize("end", [signal.SIGTERM, signal.SIGKILL])
def test_a_new_process_that_ends_early_leaves_true_answers(tmp_path: Path, end: signal.Signals) -> None:
    async def work() -> None:
        async with deployment(tmp_path) as created:
            old = await created.start()
            new = await created.start()
            async with asked_by_balancer(created) as balancer:
                await balancer.answered()
                new.send_signal(end)
                await new.wait()
                if end == signal.SIGKILL:  # a connection that it had not answered was reset
                    await balancer.answered(4)
                    balancer.answers.clear()
                await balancer.answered()
                assert not balancer.untrue_answers()
            old.send_signal(signal.SIGTERM)
            assert await old.wait() == 0

    run_async_test(work())


# Guards against connections that still go to a new process which ends first, and are reset at its end.
def test_a_new_process_that_ends_early_leaves_new_connections_to_the_old_one(tmp_path: Path) -> None:
    async def work() -> None:
        async with deployment(tmp_path) as created:
            await created.start()
            new = await created.start()
            await request_line(created.port, enqueue("m", left=1500))  # the call is never answered
            new.send_signal(signal.SIGTERM)

            async def drains() -> bool:
                return "service.draining" in created.log(1)

            await poll_until(drains)
            new.send_signal(signal.SIGSTOP)
            async with asyncio.timeout(1.0):
                for _ in range(20):
                    assert await request_line(created.port, b"PING\r\n") == b"+PONG\r\n"
                    assert (await ask(created.agent_check, b"")).startswith(ACCEPTING)
            new.send_signal(signal.SIGCONT)
            assert await new.wait() == 0

    run_async_test(work())


# Guards against `up` for a dispatcher whose last process drains.
def test_a_balancer_is_told_drain_once_no_process_goes_on(tmp_path: Path) -> None:
    async def work() -> None:
        async with deployment(tmp_path) as created:
            old = await created.start()
            new = await created.start()
            await request_line(created.port, enqueue("m", left=3000))
            old.send_signal(signal.SIGTERM)
            assert await old.wait() == 0
            new.send_signal(signal.SIGTERM)

            async def says_drain() -> bool:
                return await ask(created.agent_check, b"") == "drain"

            await poll_until(says_drain)
            assert await new.wait() == 0

    run_async_test(work())


# Guards against `drain` from a process that hands over to a running one, and `up` once that one has ended.
def test_a_process_that_drains_answers_for_the_dispatcher(tmp_path: Path) -> None:
    async def work() -> None:
        async with deployment(tmp_path) as created:
            old = await created.start()
            peer = StateDirectory(created.state)  # as a process without listeners
            (created.state / "journal-2").touch()
            await request_line(created.port, enqueue("m", left=3000))  # the call is never answered
            await asyncio.sleep(STOPPED_FOR_SECONDS)
            old.send_signal(signal.SIGTERM)
            await asyncio.sleep(STOPPED_FOR_SECONDS)
            assert "service.draining" in created.log(0)
            assert (await ask(created.agent_check, b"")).startswith(ACCEPTING)
            assert "200 OK" in await ask(created.health, b"GET /health HTTP/1.0\r\n\r\n")
            assert await request_line(created.port, b"PING\r\n") == b"+PONG\r\n"
            peer.close()

            async def says_down() -> bool:
                return await ask(created.agent_check, b"") in ("drain", "down #not serving")

            await poll_until(says_down, limit=1.0)
            assert await old.wait() == 0

    run_async_test(work())


# Guards against a gap without a listener, if SIGTERM comes before the new process listens.
def test_the_old_process_serves_until_the_new_one_listens(tmp_path: Path) -> None:
    async def work() -> None:
        async with deployment(tmp_path) as created:
            old = await created.start()
            starting = StateDirectory(created.state)  # as a process that has not opened its listeners
            (created.state / "journal-2").touch()
            starting.describe(ProcessDescription())
            await asyncio.sleep(STOPPED_FOR_SECONDS)
            old.send_signal(signal.SIGTERM)
            await asyncio.sleep(STOPPED_FOR_SECONDS)
            assert await request_line(created.port, b"PING\r\n") == b"+PONG\r\n"
            assert (await ask(created.agent_check, b"")).startswith(ACCEPTING)
            started_at = asyncio.get_running_loop().time()
            starting.describe(ProcessDescription(serving=True))
            assert await old.wait() == 0
            assert asyncio.get_running_loop().time() - started_at < 1.0
            starting.close()

    run_async_test(work())


# Guards against a start that is refused because the process in the second slot has not taken over yet.
def test_a_start_right_after_the_end_of_the_old_process_is_not_refused(tmp_path: Path) -> None:
    async def work() -> None:
        async with deployment(tmp_path) as created:
            old = await created.start()
            second = await created.start()
            second.send_signal(signal.SIGSTOP)
            old.kill()
            await old.wait()
            third = await created.start()
            second.send_signal(signal.SIGCONT)
            second.send_signal(signal.SIGTERM)
            assert await second.wait() == 0
            async with asked_by_balancer(created) as balancer:
                await balancer.answered()
                assert not balancer.untrue_answers()
            assert third.returncode is None

    run_async_test(work())


def _foreign_listener() -> tuple[socket.socket, int]:
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    return listener, listener.getsockname()[1]


MQTT = '[mqtt]\nbroker = "127.0.0.1:1"\nintake = "in"\n'
FLEET = '[fleet]\nview = "127.0.0.1:1"\nzone = "a"\n[fleet.regions]\nr = ["a"]\n'
Change = Callable[[Deployment], dict[str, str]]
REFUSALS: dict[str, tuple[str, Change]] = {
    "mqtt": ("mqtt: ", lambda created: {"operator": created.beside + MQTT}),
    "control": ("control: ", lambda created: {"operator": created.beside + "[control]\n"}),
    "undelivered": ("undelivered: ", lambda created: {"operator": created.beside + "[undelivered]\n"}),
    "fleet": ("fleet: ", lambda created: {"operator": created.beside + FLEET}),
    "management": (
        "management: cannot listen on",
        lambda created: {"management": f"127.0.0.1:{created.managements[0]}"},
    ),
    "name": ("name: expected 'n0'", lambda _: {"name": "n1"}),
}


# Guards against a start that is refused after the running process has halved its limits for it, or after
# clients and balancers were directed to its listeners.
@pytest.mark.parametrize("reason", REFUSALS)
def test_a_refused_start_touches_nothing_of_the_running_process(tmp_path: Path, reason: str) -> None:
    async def work() -> None:
        expected, change = REFUSALS[reason]
        async with deployment(tmp_path) as created:
            await created.start()
            before = created.files()
            async with asked_by_balancer(created) as balancer:
                await balancer.answered()
                refused = await created.launch(**change(created))
                assert await refused.wait() == 2
                await asyncio.sleep(
                    STOPPED_FOR_SECONDS
                )  # the running process looks for another one meanwhile
                assert not balancer.untrue_answers()
            assert expected in created.log(1)
            assert created.files() == before
            assert "handover" not in created.log(0)

    run_async_test(work())


# Guards against a second process that shares the address of another program.
@pytest.mark.parametrize("running", [True, False])
def test_an_address_of_another_program_is_not_shared(tmp_path: Path, running: bool) -> None:
    async def work() -> None:
        listener, port = _foreign_listener()
        operator = f'[beside]\nagent-check = "127.0.0.1:{port}"\n'
        async with deployment(tmp_path) as created:
            if running:
                await created.start()
            refused = await created.launch(operator=operator)
            assert await refused.wait() == 2
            assert f"beside.agent-check: cannot listen on 127.0.0.1:{port}" in created.log(int(running))
        listener.close()

    run_async_test(work())


# Guards against an upgrade away from a feature that the running process cannot hand over.
def test_a_start_is_refused_beside_a_process_with_a_feature_that_cannot_be_shared(tmp_path: Path) -> None:
    async def work() -> None:
        async with deployment(tmp_path) as created:
            await created.start(operator=created.beside + "[control]\n")
            before = created.files()
            refused = await created.launch()
            assert await refused.wait() == 2
            assert "control: is used by the running process" in created.log(1)
            assert created.files() == before

    run_async_test(work())
