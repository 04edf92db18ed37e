"""An upgrade beside a process that answers a balancer's agent-check: the new process may not end."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.agent import Agent
from standins.endpoint import Answer, Endpoint
from standins.play import run
from standins.process import Dispatcher, deployment_settings, enqueue, free_port
from standins.record import RecordFile

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
YES_SECONDS, KILL_SECONDS = 6.0, 3.7  # until the new process says yes; from SIGTERM to SIGKILL of the old one
AFTERWARDS = 3.0  # seconds for which the new process is watched after that


async def call(port: int, line: bytes) -> bytes:
    """Send one line and return the line that comes back, or nothing if there is none."""
    with contextlib.suppress(OSError, TimeoutError):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            writer.write(line)
            async with asyncio.timeout(1):
                return (await reader.readline()).strip()
        finally:
            writer.close()
    return b""


async def hand_in(dispatcher: Dispatcher, record: RecordFile, replies: list[bytes]) -> None:
    """Hand in ten messages a second, each on a connection of its own, until cancelled."""
    number = 0
    while True:
        number += 1
        fields = {"c": "standard", "t": "studio", "d": 8000, "dest": 1 + number % 3, "k": f"{number:08x}"}
        command = enqueue(f"{number:016x}", fields, b"order confirmed")
        replies.append(await call(dispatcher.port, command) or b"(no answer)")
        record.write(f"client: ENQUEUE id={number:016x} -> {replies[-1].decode()}")
        await asyncio.sleep(0.1)


async def check(port: int, record: RecordFile) -> None:
    """Be the balancer: ask for the agent-check every second, until cancelled."""
    while True:
        record.write(f"balancer: agent-check -> {(await call(port, b'')).decode() or '(no answer)'}")
        await asyncio.sleep(1)


async def upgrade(folder: Path, old: Dispatcher, record: RecordFile) -> int:
    """Start a second `run`, and end the first once the second says yes. Return 1 if the second one ended."""
    management = free_port()
    second = old.beside(management)
    old_process = old.process
    try:
        await second.launch()
        record.write("operator: second `run`, with the same addresses and folders and another second address")
        assert second.process is not None
        began = record.now()
        while second.process.returncode is None and record.now() < began + YES_SECONDS:
            if (await call(management, b"status\n")).startswith(b"+OK"):
                break
            await asyncio.sleep(0.05)
        else:
            if second.process.returncode is None:
                raise RuntimeError(f"no yes within {YES_SECONDS} s")
        if second.process.returncode is None:
            record.write("operator: the new process said yes; SIGTERM to the old one")
            assert old_process is not None
            old.signal(signal.SIGTERM)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(KILL_SECONDS):
                    await old_process.wait()
            await old.kill()
            await asyncio.sleep(AFTERWARDS)
        ended = second.process.returncode
        last_line = (folder / "dispatcher.log").read_text(errors="replace").strip().splitlines()[-1]
        record.write(
            f"operator: the new process {'runs' if ended is None else f'ended with {ended}: {last_line}'}"
        )
        return 0 if ended is None else 1
    finally:
        await second.kill()


async def play(folder: Path, record: RecordFile) -> int:
    agent = Agent(record)
    await agent.start()
    for destination in (1, 2, 3):
        endpoint = Endpoint(f"s-{destination}", record, lambda call: Answer(delay=0.1))
        await endpoint.start()
        agent.add(endpoint.name, endpoint.port, destination)
    agent_check, health = free_port(), free_port()
    operator = f'[beside]\nagent-check = "127.0.0.1:{agent_check}"\nhealth = "127.0.0.1:{health}"\n'
    dispatcher = Dispatcher(folder, agent.port, agent.members, deployment_settings(), operator)
    dispatcher.environment["ROUTER_MANAGEMENT"] = f"127.0.0.1:{free_port()}"
    replies: list[bytes] = []
    jobs: list[asyncio.Task[None]] = []
    try:
        await dispatcher.start()
        jobs.append(asyncio.create_task(hand_in(dispatcher, record, replies)))
        jobs.append(asyncio.create_task(check(agent_check, record)))
        await asyncio.sleep(2)
        broken = await upgrade(folder, dispatcher, record) if TROUBLE else 0
        await asyncio.sleep(2)
    finally:
        for job in jobs:
            job.cancel()
        await dispatcher.kill()
    record.write(f"result: {len(replies)} messages handed in; new processes that ended: {broken}")
    return broken


if __name__ == "__main__":
    run(Path(__file__).resolve().parent, play)
