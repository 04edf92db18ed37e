"""Measure the cost of upgrades and the accuracy of the metrics, with real processes under load on loopback.

    python benchmarks/upgrades.py [--upgrades 100] [--seconds 10]

The first measurement performs upgrades in a row and reports how many clients got no reply and how long each
start took. The second loads one process fully, with floods of PING, and calls its management address while 16
other callers hold connections with an incomplete call; it reports how long replies took, and how far each
metric was from the counts of the clients and the endpoint. Then it times the counting of
one message. The stand-ins are those of the tests. All connections use loopback, and processes are ended by
their IDs.
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
from benchmarks.start import cpu_seconds  # noqa: E402
from honeyhitch.dispatcher.metrics import Metrics  # noqa: E402
from honeyhitch.journal.transactions import Ending, Transaction  # noqa: E402
from tests.test_upgrade import UpgradeRig, upgrade_under_load  # noqa: E402

STALLED_CONNECTIONS = 16  # connections that send an incomplete line
CALL_INTERVAL_SECONDS = 0.01
# Messages that can be counted between a reply and the counts taken before and after it.
ALLOWED_DIFFERENCE = 3
FLOOD_CONNECTIONS = 4  # connections that only keep the process busy
PINGS_PER_WRITE = 2000


async def measure_upgrades(count: int) -> None:
    """Measure and print `count` upgrades in a row."""
    start_seconds = list[float]()
    stop_seconds = list[float]()
    with tempfile.TemporaryDirectory(dir="/dev/shm") as folder:
        async with upgrade_under_load(Path(folder), 1) as rig:
            for _ in range(count):
                (old_process,) = rig.running
                began = time.monotonic()
                await rig.start()
                start_seconds.append(time.monotonic() - began)
                began = time.monotonic()
                assert await rig.stop(old_process, signal.SIGTERM) == 0
                stop_seconds.append(time.monotonic() - began)
        replies = rig.clients.replies
    unanswered = sum(not reply for reply in replies.values())
    delivered_twice = sum(calls > 1 for calls in rig.ledger.delivered.values())
    print(
        f"upgrades            {count}, {len(replies)} messages handed in, {len(rig.clients.accepted())} taken"
    )
    print(
        f"turned back unheard {unanswered}, delivered twice {delivered_twice}, lost 0 (the ledger is closed)"
    )
    print(
        f"start to yes        p50 {statistics.median(start_seconds):.2f} s, most {max(start_seconds):.2f} s"
    )
    print(f"SIGTERM to end      p50 {statistics.median(stop_seconds):.2f} s, most {max(stop_seconds):.2f} s")


def observed_counts(rig: UpgradeRig) -> dict[str, int]:
    """Return the counts of the clients, the agent and the endpoint, by metric."""
    deferred = sum(notice["status"] == "deferred" for notice in rig.agent.notices.values())
    busy = sum(reply.startswith(b"-BUSY") for reply in rig.clients.replies.values())
    return {"ok": rig.ledger.delivered.total(), "shed": busy + deferred, "tries": rig.ledger.calls}


async def timed_call(port: int, line: bytes) -> tuple[float, bytes]:
    """Return the seconds until the reply to one management call, and the reply."""
    began = time.monotonic()
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(line)
    reply = await reader.read()
    writer.close()
    return time.monotonic() - began, reply


async def flood(port: int) -> None:
    """Keep the dispatcher busy at little cost for this process."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    while True:
        writer.write(b"PING\r\n" * PINGS_PER_WRITE)
        await reader.readexactly(len(b"+PONG\r\n") * PINGS_PER_WRITE)


async def measure_metrics(seconds: float) -> None:
    """Measure and print the replies, the metrics and the CPU time of one process under full load."""
    reply_seconds = list[float]()
    relative_errors = {"ok": list[float](), "shed": list[float](), "tries": list[float]()}
    with tempfile.TemporaryDirectory(dir="/dev/shm") as folder:
        async with upgrade_under_load(Path(folder), 2) as rig:
            (process,) = rig.running
            rig.clients.waits_for_capacity = False  # rejected clients submit again at once
            management = json.loads((Path(folder) / "1" / "config.json").read_text())["management"]
            port = int(management.rpartition(":")[2])
            stalled = [await asyncio.open_connection("127.0.0.1", port) for _ in range(STALLED_CONNECTIONS)]
            for _, writer in stalled:
                writer.write(b"sta")
            floods = [asyncio.ensure_future(flood(rig.port)) for _ in range(FLOOD_CONNECTIONS)]
            cpu_before, began = cpu_seconds(process.pid), time.monotonic()
            while time.monotonic() - began < seconds:
                before = observed_counts(rig)
                seconds_taken, reply = await timed_call(port, b"stats\n")
                after = observed_counts(rig)
                reply_seconds.append(seconds_taken)
                reported = json.loads(reply.split(b"\r\n")[0])["responses"]["standard"]
                for name, errors in relative_errors.items():
                    difference = max(before[name] - reported[name], reported[name] - after[name], 0)
                    errors.append(
                        difference / max(1, after[name]) if difference > ALLOWED_DIFFERENCE else 0.0
                    )
                await asyncio.sleep(CALL_INTERVAL_SECONDS)
            cpu_used, submitted = cpu_seconds(process.pid) - cpu_before, len(rig.clients.replies)
            for _, writer in stalled:
                writer.close()
            for task in floods:
                task.cancel()
            rig.clients.running = False
            rig.capacity_freed.notify()
            await rig.progress.wait_until(rig.all_messages_ended)
            _, reply = await timed_call(port, b"stats\n")
            last_reported, last_observed = (
                json.loads(reply.split(b"\r\n")[0])["responses"]["standard"],
                observed_counts(rig),
            )
    reply_seconds.sort()
    milliseconds = [1000 * seconds for seconds in reply_seconds]
    p50, p99 = statistics.median(milliseconds), milliseconds[int(0.99 * len(milliseconds))]
    print(f"replies             {len(milliseconds)}: p50 {p50:.1f} ms, p99 {p99:.1f} ms, ", end="")
    print(f"most {milliseconds[-1]:.1f} ms")
    for name, errors in relative_errors.items():
        final_counts = f"{last_reported[name]} told, {last_observed[name]} seen at the end"
        print(f"{name:19} most {100 * max(errors):.2f}% off under load; {final_counts}")
    print(f"under load          {submitted} messages handed in, {100 * cpu_used / seconds:.0f}% of a core")
    transaction, metrics = Transaction("id", 0, 1, 0, b""), Metrics(("standard",))

    def count_message() -> None:
        metrics.call_written((transaction,))
        metrics.message_concluded(transaction, Ending.DELIVERED)

    rounds = 100_000
    print(
        f"counting            {1e6 * timeit.timeit(count_message, number=rounds) / rounds:.2f} us a message"
    )


def main() -> None:
    """Run both measurements and print their results."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--upgrades", type=int, default=100)
    parser.add_argument("--seconds", type=float, default=10.0)
    options = parser.parse_args()
    for measurement in (measure_upgrades(options.upgrades), measure_metrics(options.seconds)):
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(measurement)


if __name__ == "__main__":
    main()
