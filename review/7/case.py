"""After a move of discovery a dispatcher refuses every list, and calls another partner's endpoint."""

from __future__ import annotations

import asyncio
import json
import os
import signal
from pathlib import Path
from typing import Any

from review.second.endpoint import Answer, Call, Endpoint
from review.second.platform import Agent, member
from review.second.rig import HOST, Client, Dispatcher, Record, run_case, trouble
from review.second.settings import settings

ENDPOINTS = int(os.environ.get("ENDPOINTS", "3200"))
MEMORY_MB = int(os.environ.get("MEMORY_MB", "96"))
PER_SECOND = 8
DEADLINE_MS = 20_000
QUIET_SECONDS = 4.0
TOLD_SECONDS = 4.0  # after SIGHUP, what discovery has counts as told
GRACE_SECONDS = 2.05  # with the 50 ms by which every limit is longer
TAKEN_OVER_SECONDS = 7.0  # from the SIGHUP until another partner's endpoint starts at the address
PLAY_SECONDS = 14.0  # from the SIGHUP on
REPLACED = 1  # the index of the endpoint of destination 1 that goes
UNUSED_PORT = 9


async def _respond(_call: Call) -> Answer:
    await asyncio.sleep(0.1)
    return Answer()


def _rows(ports: list[int]) -> list[dict[str, Any]]:
    """Return the list: the endpoints of destination 1, and many of other destinations that get no message."""
    rows = [member(index, 1, port, 6.0) for index, port in enumerate(ports)]
    for index in range(len(ports), ENDPOINTS):
        row = member(index, 2 + index // 2, UNUSED_PORT, 6.0)
        row["host_port"] = f"127.{1 + (index >> 14)}.{(index >> 7) & 127}.{1 + (index & 127)}:{UNUSED_PORT}"
        rows.append(row)
    return rows


async def _send_traffic(client: Client, seconds: float) -> None:
    for number in range(int(seconds * PER_SECOND)):
        await client.submit(f"m{number}", f"c=standard,t=studio,d={DEADLINE_MS},k=key{number},dest=1")
        await asyncio.sleep(1 / PER_SECOND)


def _move(dispatcher: Dispatcher, agent: Agent) -> None:
    """Replace the configuration file by one that names another agent."""
    path = dispatcher.folder / "config-0.json"
    configuration = json.loads(path.read_text())
    configuration["discovery"] = f"{HOST}:{agent.port}"
    new_path = path.with_suffix(".new")
    new_path.write_text(json.dumps(configuration))
    new_path.replace(path)


async def _replace_endpoint(agent: Agent, row: dict[str, Any], record: Record, started_at: float) -> float:
    """Have an endpoint drain and go, and one of destination 2 start at its address; return when it starts."""
    agent.change(row | {"phase": "Terminating"})
    await asyncio.sleep(started_at + TAKEN_OVER_SECONDS - 1.0 - record.now())
    agent.change(row | {"phase": "Gone"})
    await asyncio.sleep(started_at + TAKEN_OVER_SECONDS - record.now())
    new_row = row | {"id": "s-0000ffff", "cell": 2, "up_since_ms": agent.unix_ms()}
    agent.change(new_row)
    return record.now()


async def play(folder: Path, record: Record) -> list[str]:
    """Move discovery to another address, where an endpoint is replaced, and look where calls go."""
    endpoints = [await Endpoint(record, _respond, f"endpoint-{number}").start() for number in range(2)]
    rows = _rows([endpoint.port for endpoint in endpoints])
    first = await Agent(record, rows).start()
    second = await Agent(record, rows).start()
    first.indent = second.indent = 4  # lists may come indented
    record.add(len(rows), "endpoints, a list has", len(json.dumps(first.listed(), indent=4)), "bytes")
    configuration = {
        "discovery": f"{HOST}:{first.port}",
        "known": first.listed(),
        "settings": settings(),
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024, "disk_mb": 3},
    }
    dispatcher = Dispatcher(folder, record, configuration)
    client = Client(record, dispatcher.port)
    try:
        process = await dispatcher.start()
        traffic = asyncio.create_task(_send_traffic(client, QUIET_SECONDS + PLAY_SECONDS))
        await asyncio.sleep(QUIET_SECONDS)
        started_at = record.now()
        if trouble():
            _move(dispatcher, second)
            dispatcher.signal(process, signal.SIGHUP)
            first.move_away()
        agent = second if trouble() else first
        taken_over_at = await _replace_endpoint(agent, rows[REPLACED], record, started_at)
        await traffic
        record.add("memory in use:", _peak_memory(process.pid))
    finally:
        client.close()
        await dispatcher.end()
    told_at = started_at + (TOLD_SECONDS if trouble() else 0.0)
    return _faults(record, endpoints[REPLACED].calls, told_at, taken_over_at)


def _peak_memory(pid: int) -> str:
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next((line for line in lines if line.startswith("VmHWM")), "unknown")


def _faults(record: Record, calls: list[Call], told_at: float, taken_over_at: float) -> list[str]:
    late = [call for call in calls if told_at + GRACE_SECONDS < call.at < taken_over_at]
    foreign = [call for call in calls if call.at > taken_over_at]
    record.add(f"the drain was told at {told_at:.3f}, the address was taken over at {taken_over_at:.3f}")
    faults = []
    if late:
        faults.append(f"{len(late)} calls to a draining endpoint over {GRACE_SECONDS} s after it was told")
    if foreign:
        messages = " ".join(call.message for call in foreign[:5])
        faults.append(f"{len(foreign)} messages for destination 1 sent to destination 2: {messages} ...")
    return faults


if __name__ == "__main__":
    run_case(__file__, play)
