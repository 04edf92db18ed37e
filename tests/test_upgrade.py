"""Upgrades of real processes under load, on loopback.

They are checked against the replies that clients got, the calls at a partner and the notices at the agent.
Processes are killed after counted events, never after a time.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import re
import signal
import sys
from asyncio.subprocess import Process
from collections import Counter, defaultdict
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from .agent import Agent
from .polling import Changes, poll_until
from .program import free_port, run_async_test, write_config_files
from .rig import endpoint_row

ROOT = Path(__file__).parent.parent
CLIENTS = 6


class EndpointLedger:
    """A partner that records messages with two concurrent attempts and counts deliveries by message id."""

    def __init__(self, seed: int, progress: Changes, capacity_freed: Changes) -> None:
        self.rng, self.progress, self.capacity_freed, self.port, self.calls = (
            random.Random(seed),
            progress,
            capacity_freed,
            0,
            0,
        )
        self.in_flight = defaultdict[str, list[asyncio.StreamReader]](list)
        self.concurrent_attempts, self.delivered = list[str](), Counter[str]()

    async def start(self) -> None:
        server = await asyncio.start_server(self._client, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                length, message_id = (
                    re.search(r"content-length: (\d+)", head, re.I),
                    re.search(r"x-txn: (\S+)", head, re.I),
                )
                assert length is not None
                assert message_id is not None
                await reader.readexactly(int(length[1]))
                await self._answer(message_id[1], reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # CancelledError is raised when the event loop ends.
            writer.close()

    async def _answer(
        self, message_id: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        earlier, self.calls = list(self.in_flight[message_id]), self.calls + 1
        self.in_flight[message_id].append(reader)
        self.progress.notify()
        await asyncio.sleep(self.rng.uniform(0, 0.02))  # the time that an answer takes
        # The connection of a process that was killed is closed by now, and its call does not count.
        if any(not connection.at_eof() and connection.exception() is None for connection in earlier):
            self.concurrent_attempts.append(message_id)
        self.in_flight[message_id].remove(reader)
        random_value = self.rng.random()
        if random_value < 0.04:
            writer.write(b"HTTP/1.1 500 Fault\r\nContent-Length: 0\r\n\r\n")
        else:
            self.delivered[message_id] += 1
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        self.progress.notify()
        self.capacity_freed.notify()


class Clients:
    """Clients that each submit one message after another, on a connection kept as long as possible."""

    def __init__(self, port: int, progress: Changes, capacity_freed: Changes) -> None:
        self.port, self.progress, self.numbers, self.running = port, progress, itertools.count(), True
        self.capacity_freed, self.waits_for_capacity = capacity_freed, True
        self.replies = dict[str, bytes]()

    async def run(self) -> None:
        stream: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        while self.running:
            name = f"m{next(self.numbers)}"
            answer = b""
            if stream is not None:
                answer = await self._submit(name, stream)
            if not answer:  # the connection was closed between two requests: retry on a new one
                with contextlib.suppress(OSError):
                    stream = await asyncio.open_connection("127.0.0.1", self.port)
                    answer = await self._submit(name, stream)
            self.replies[name] = answer
            stream = stream if answer else None
            self.progress.notify()
            # A rejected client waits until a partner's answer frees capacity for a message.
            if answer != b"+OK\r\n" and self.waits_for_capacity:
                await self.capacity_freed.changed.wait()

    async def _submit(self, name: str, stream: tuple[asyncio.StreamReader, asyncio.StreamWriter]) -> bytes:
        fields = f"c=standard,t=studio,d=20000,dest=1,k=key-{name}"
        parts = [b"ENQUEUE", b"0" * 16, name.encode(), fields.encode(), b"body"]
        try:
            stream[1].write(b"*5\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(part), part) for part in parts))
            return await stream[0].readline()
        except OSError:
            return b""

    def accepted(self) -> set[str]:
        return {name for name, answer in self.replies.items() if answer == b"+OK\r\n"}


class UpgradeRig:
    """A partner, an agent, clients, and the processes of one dispatcher."""

    def __init__(self, folder: Path, seed: int) -> None:
        self.folder, self.port, self.progress, self.capacity_freed = folder, free_port(), Changes(), Changes()
        self.ledger = EndpointLedger(seed, self.progress, self.capacity_freed)
        self.clients = Clients(self.port, self.progress, self.capacity_freed)
        self.agent, self.start_count, self.running = Agent([]), 0, list[Process]()

    async def start(self) -> Process:
        """Start one more process, and return it once it reports that it is ready."""
        self.start_count += 1
        directory, management = self.folder / str(self.start_count), free_port()
        directory.mkdir()
        overrides = {"state": str(self.folder / "state"), "management": f"127.0.0.1:{management}"}
        path, _ = write_config_files(directory, self.port, self.agent.port, self.agent.members, **overrides)
        with (directory / "log").open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "honeyhitch", "serve", "--config", path, cwd=ROOT, stderr=log
            )
        self.running.append(process)

        async def accepting() -> bool:
            assert process.returncode is None, (directory / "log").read_text()
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", management)
            except OSError:  # it does not listen yet
                return False
            writer.write(b"status\r\n")
            reply = await reader.readline()
            writer.close()
            return reply.startswith(b"+OK")

        await poll_until(accepting, interval=0.01)
        self.capacity_freed.notify()
        return process

    async def stop(self, process: Process, signal_number: signal.Signals) -> int:
        self.running.remove(process)
        process.send_signal(signal_number)
        return await process.wait()

    def all_messages_ended(self) -> bool:
        """Return whether each accepted message was delivered or ended by a notice."""
        return self.clients.accepted() <= self.ledger.delivered.keys() | self.agent.notices.keys()


@contextlib.asynccontextmanager
async def upgrade_under_load(folder: Path, seed: int, killed: bool = False) -> AsyncIterator[UpgradeRig]:
    """Run a dispatcher under load, and check the ledger at the end.

    With `killed`, a message may get two answers: a process that is killed between an answer and its record
    leaves the answer to the next process.
    """
    rig = UpgradeRig(folder, seed)
    await rig.ledger.start()
    rig.agent.members = [
        {**endpoint_row("s-1", 1), "host_port": f"127.0.0.1:{rig.ledger.port}", "size": 400.0}
    ]
    await rig.agent.start()
    rig.agent.on_notice = rig.progress.notify
    await rig.start()
    tasks = [asyncio.ensure_future(rig.clients.run()) for _ in range(CLIENTS)]
    try:
        yield rig
        rig.clients.running = False
        rig.capacity_freed.notify()
        await asyncio.gather(*tasks)
        await rig.progress.wait_until(rig.all_messages_ended)
        for process in list(rig.running):
            assert await rig.stop(process, signal.SIGTERM) == 0
        assert not rig.ledger.concurrent_attempts, "two attempts of one message in flight"
        assert killed or not rig.agent.duplicate_notices, "two notices for one message"
        ended_twice = rig.ledger.delivered.keys() & rig.agent.notices.keys()
        assert killed or not ended_twice, "a delivered message also has a notice"
    finally:
        for task in tasks:
            task.cancel()
        for process in rig.running:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()


def test_ten_upgrades_in_a_row_lose_no_message_and_refuse_no_connection(tmp_path: Path) -> None:
    async def work() -> None:
        async with upgrade_under_load(tmp_path, 1) as rig:
            for _ in range(10):
                (old,) = rig.running
                await rig.start()
                assert await rig.stop(old, signal.SIGTERM) == 0
                target = len(rig.clients.replies) + 50
                await rig.progress.wait_until(lambda target=target: len(rig.clients.replies) >= target)  # type: ignore[misc]
        unanswered = [name for name, answer in rig.clients.replies.items() if not answer]
        assert not unanswered, "connections were closed, refused or left without a reply"
        assert max(rig.ledger.delivered.values()) == 1

    run_async_test(work())


# Guards against connections that are reset when the new process is stopped again: new ones still went to it.
def test_stopping_the_new_process_again_refuses_no_connection(tmp_path: Path) -> None:
    async def work() -> None:
        async with upgrade_under_load(tmp_path, 2) as rig:
            for _ in range(10):
                new = await rig.start()
                target = len(rig.clients.replies) + 20
                await rig.progress.wait_until(lambda target=target: len(rig.clients.replies) >= target)  # type: ignore[misc]
                assert await rig.stop(new, signal.SIGTERM) == 0
        unanswered = [name for name, answer in rig.clients.replies.items() if not answer]
        assert not unanswered, "connections were closed, refused or left without a reply"
        assert max(rig.ledger.delivered.values()) == 1

    run_async_test(work())


@pytest.mark.parametrize("seed", range(6))
def test_a_kill_of_the_old_or_the_new_process_at_any_moment_loses_no_message(
    tmp_path: Path, seed: int
) -> None:
    """The old process, the new one or both are killed, with or without a SIGTERM, with calls in flight."""

    async def work() -> None:
        rng = random.Random(seed)
        async with upgrade_under_load(tmp_path, seed, killed=True) as rig:
            for _ in range(3):
                (old,) = rig.running
                new = await rig.start()
                calls = rig.ledger.calls + rng.randrange(1, 40)
                await rig.progress.wait_until(lambda calls=calls: rig.ledger.calls >= calls)  # type: ignore[misc]
                killed_process = rng.choice(("old", "new", "both"))
                if rng.random() < 0.5:
                    old.send_signal(signal.SIGTERM)
                    if rng.random() < 0.5:
                        calls = rig.ledger.calls + rng.randrange(1, 8)
                        await rig.progress.wait_until(lambda calls=calls: rig.ledger.calls >= calls)  # type: ignore[misc]
                for process in (old, new):
                    if killed_process in ("both", "old" if process is old else "new"):
                        with contextlib.suppress(ProcessLookupError):
                            await rig.stop(process, signal.SIGKILL)
                if old.returncode is not None and old in rig.running:
                    rig.running.remove(old)
                # The old process may have received SIGTERM already, and then ends by itself.
                if killed_process == "new" and old in rig.running:
                    await rig.stop(old, signal.SIGTERM)
                if not rig.running:
                    await rig.start()

    run_async_test(work())
