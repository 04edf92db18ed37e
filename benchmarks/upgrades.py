"""What an upgrade costs, and what the figures are worth, with real processes under load on loopback.

    python benchmarks/upgrades.py [--upgrades 100] [--seconds 10]

First so many upgrades in a row: who was turned back unheard, how long a yes took. Then one process under full
load, floods of PING besides, called at its management address all the while beside 16 callers that hold
connections without a whole call: how long replies took, and how far each figure was from a ledger of what
clients and a partner saw. Last, what counting costs. The stand-ins are the tests'; all stays on loopback, and
processes are ended by their ids.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
import statistics
import sys
import tempfile
import time
import timeit
from pathlib import Path

import uvloop

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))
from benchmarks.start import cpu  # noqa: E402
from honeyhitch.dispatcher.metrics import Metrics  # noqa: E402
from honeyhitch.journal.transactions import Ending, Transaction  # noqa: E402
from tests.test_upgrade import UpgradeRig, upgrade_under_load  # noqa: E402

STALLED = 16  # callers that never end their line
EVERY = 0.01  # seconds between calls
FLOODS, PINGS = 4, 2000  # connections that only keep the process busy, and what they write at once


async def upgrades(count: int) -> None:
    """So many in a row."""
    yes, gone = list[float](), list[float]()
    with tempfile.TemporaryDirectory(dir="/dev/shm") as folder:
        async with upgrade_under_load(Path(folder), 1) as rig:
            for _ in range(count):
                (old,), began = rig.running, time.monotonic()
                await rig.start()
                yes.append(time.monotonic() - began)
                began = time.monotonic()
                assert await rig.stop(old, signal.SIGTERM) == 0
                gone.append(time.monotonic() - began)
        told = rig.clients.replies
    unheard = sum(not answer for answer in told.values())
    twice = sum(calls > 1 for calls in rig.ledger.delivered.values())
    print(f"upgrades            {count}, {len(told)} messages handed in, {len(rig.clients.accepted())} taken")
    print(f"turned back unheard {unheard}, delivered twice {twice}, lost 0 (the ledger is closed)")
    print(f"start to yes        p50 {statistics.median(yes):.2f} s, most {max(yes):.2f} s")
    print(f"SIGTERM to end      p50 {statistics.median(gone):.2f} s, most {max(gone):.2f} s")


def ledger(rig: UpgradeRig) -> dict[str, int]:
    """What the clients and the partner saw."""
    deferred = sum(one["status"] == "deferred" for one in rig.agent.notices.values())
    busy = sum(answer.startswith(b"-BUSY") for answer in rig.clients.replies.values())
    return {"ok": rig.ledger.delivered.total(), "shed": busy + deferred, "tries": rig.ledger.calls}


async def called(port: int, line: bytes) -> tuple[float, bytes]:
    """One call and how long its reply took."""
    began = time.monotonic()
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(line)
    answer = await reader.read()
    writer.close()
    return time.monotonic() - began, answer


async def flood(port: int) -> None:
    """Keep the process busy at little cost here."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    while True:
        writer.write(b"PING\r\n" * PINGS)
        await reader.readexactly(len(b"+PONG\r\n") * PINGS)


async def figures(seconds: float) -> None:
    """One process under full load."""
    took, off = list[float](), {"ok": list[float](), "shed": list[float](), "tries": list[float]()}
    with tempfile.TemporaryDirectory(dir="/dev/shm") as folder:
        async with upgrade_under_load(Path(folder), 2) as rig:
            (process,) = rig.running
            rig.clients.waits_for_room = False  # whoever is turned away comes again at once
            at = json.loads((Path(folder) / "1" / "config.json").read_text())["management"]
            port = int(at.rpartition(":")[2])
            stalled = [await asyncio.open_connection("127.0.0.1", port) for _ in range(STALLED)]
            for _, writer in stalled:
                writer.write(b"sta")
            floods = [asyncio.ensure_future(flood(rig.port)) for _ in range(FLOODS)]
            used, began = cpu(process.pid), time.monotonic()
            while time.monotonic() - began < seconds:
                before = ledger(rig)
                one, answer = await called(port, b"stats\n")
                after = ledger(rig)
                took.append(one)
                told = json.loads(answer.split(b"\r\n")[0])["responses"]["standard"]
                for name, seen in off.items():
                    far = max(before[name] - told[name], told[name] - after[name], 0)
                    seen.append(far / max(1, after[name]) if far > 3 else 0.0)
                await asyncio.sleep(EVERY)
            used, handed_in = cpu(process.pid) - used, len(rig.clients.replies)
            for _, writer in stalled:
                writer.close()
            for work in floods:
                work.cancel()
            rig.clients.running = False
            rig.room_made.notify()
            await rig.progress.wait_until(rig.settled)
            _, answer = await called(port, b"stats\n")
            last, seen_last = json.loads(answer.split(b"\r\n")[0])["responses"]["standard"], ledger(rig)
    took.sort()
    print(f"replies             {len(took)}: p50 {1000 * statistics.median(took):.1f} ms, ", end="")
    print(f"p99 {1000 * took[int(0.99 * len(took))]:.1f} ms, most {1000 * took[-1]:.1f} ms")
    for name, far in off.items():
        end = f"{last[name]} told, {seen_last[name]} seen at the end"
        print(f"{name:19} most {100 * max(far):.2f}% off under load; {end}")
    print(f"under load          {handed_in} messages handed in, {100 * used / seconds:.0f}% of a core")
    transaction, counters = Transaction("id", 0, 1, 0, b""), Metrics(("standard",))

    def count() -> None:
        counters.call_written((transaction,))
        counters.message_concluded(transaction, Ending.DELIVERED)

    rounds = 100_000
    print(f"counting            {1e6 * timeit.timeit(count, number=rounds) / rounds:.2f} us a message")


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--upgrades", type=int, default=100)
    parser.add_argument("--seconds", type=float, default=10.0)
    told = parser.parse_args()
    for work in (upgrades(told.upgrades), figures(told.seconds)):
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(work)


if __name__ == "__main__":
    main()
