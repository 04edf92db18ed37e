"""Real processes under the limits of their machine, on loopback sockets.

Idle clients fill the descriptors while discovery is down, and many processes restart at once.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from asyncio.subprocess import Process
from pathlib import Path

from .agent import Agent
from .polling import Changes, poll_until
from .processes import (
    PING,
    PONG,
    CountingEndpoint,
    killed_at_end,
    listening_port,
    request_line,
    spawn,
    wait_until_serving,
)
from .program import enqueue, run_async_test, write_config_files
from .rig import endpoint_row

SOCKETS = 72  # descriptors of the process, as configured
CLIENTS = 300  # clients that connect and send nothing
RESTARTED = 10  # processes killed at once
MESSAGES_EACH = 30  # held by each restarted process
READY_WITHIN = 10.0  # seconds, for nine in ten of the restarted processes


async def stay_idle(port: int) -> None:
    """Connect as a client that sends nothing, and reconnect whenever the connection is closed."""
    while True:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            await reader.read()
            writer.close()


def test_discovery_calls_and_notices_get_descriptors_while_idle_clients_use_up_the_rest(
    tmp_path: Path,
) -> None:
    async def work() -> None:
        events, port = Changes(), listening_port()
        partner = await CountingEndpoint(events.notify).start()
        agent = await Agent(
            [{**endpoint_row("s-1", 1), "host_port": f"127.0.0.1:{partner.port}"}, endpoint_row("s-2", 2)]
        ).start()
        agent.on_notice = agent.on_watch = events.notify
        path, _ = write_config_files(tmp_path, port, agent.port, agent.members, limits={"sockets": SOCKETS})
        process = await spawn(path, SOCKETS)
        async with killed_at_end([process]):
            await wait_until_serving(process, port)
            await events.wait_until(lambda: bool(agent.watches))
            agent.go_down()
            watches = len(agent.watches)
            idle_clients = [asyncio.ensure_future(stay_idle(port)) for _ in range(CLIENTS)]
            assert await request_line(port, PING) == PONG, "a client that sends a request gets a slot"
            await agent.start()
            await events.wait_until(lambda: len(agent.watches) > watches)  # discovery has a descriptor
            assert await request_line(port, enqueue("one")) == b"+OK\r\n"
            await events.wait_until(lambda: partner.calls.total() == 1)  # a call has a descriptor
            # Nothing listens at the endpoint of destination 2.
            undeliverable = enqueue("two", left=300).replace(b"dest=1", b"dest=2")
            assert await request_line(port, undeliverable) == b"+OK\r\n"
            await events.wait_until(lambda: "two" in agent.notices)  # a notice has a descriptor
            agent.change({**endpoint_row("s-3", 3), "host_port": f"127.0.0.1:{partner.port}"})
            other = enqueue("three").replace(b"dest=1", b"dest=3")

            async def change_has_arrived() -> bool:
                return await request_line(port, other) == b"+OK\r\n"

            await poll_until(change_has_arrived)
            await events.wait_until(lambda: partner.calls.total() == 2)
            assert process.returncode is None
            for task in idle_clients:
                task.cancel()

    run_async_test(work())


def test_nine_in_ten_processes_restarted_together_are_ready_in_time(tmp_path: Path) -> None:
    async def work() -> None:
        events = Changes()
        partner = await CountingEndpoint(events.notify, replies=False).start()
        agent = await Agent([{**endpoint_row("s-1", 1), "host_port": f"127.0.0.1:{partner.port}"}]).start()
        paths: dict[int, str] = {}
        for number in range(RESTARTED):
            folder, port = tmp_path / str(number), listening_port()
            folder.mkdir()
            paths[port], _ = write_config_files(folder, port, agent.port, agent.members)
        processes = [await spawn(path) for path in paths.values()]
        async with killed_at_end(processes):
            for process, port in zip(processes, paths, strict=True):
                await wait_until_serving(process, port)
                for number in range(MESSAGES_EACH):
                    assert await request_line(port, enqueue(f"{port}-{number}", left=20_000)) == b"+OK\r\n"
            for process in processes:
                process.kill()
            for process in processes:
                await process.wait()
            started_at = time.monotonic()
            start_times: list[float] = []
            processes[:] = [await spawn(path) for path in paths.values()]

            async def timed(process: Process, port: int) -> None:
                await wait_until_serving(process, port)
                start_times.append(time.monotonic() - started_at)

            await asyncio.gather(
                *(timed(process, port) for process, port in zip(processes, paths, strict=True))
            )
            in_time = sum(seconds <= READY_WITHIN for seconds in start_times)
            assert in_time >= 0.9 * RESTARTED, sorted(start_times)
            for port, path in paths.items():
                repeated = await request_line(port, enqueue(f"{port}-0"))
                assert repeated == b"+OK\r\n", "the instance has read its journal and knows the message"
                assert messages_held(path) >= MESSAGES_EACH

    run_async_test(work())


def messages_held(config_path: str) -> int:
    """Return the number of messages found in the journal of a process with this configuration."""
    state = Path(json.loads(Path(config_path).read_text())["state"])
    numbers = set[int]()
    for file in state.iterdir():
        if file.is_file():
            data = file.read_bytes()
            numbers |= {number for number in range(MESSAGES_EACH) if f"-{number}".encode() in data}
    return len(numbers)
