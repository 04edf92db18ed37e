"""The scale run: 770 dispatchers and 190,000 destinations on one machine, before and after partitioning.

    python benchmarks/scale.py [--dispatchers 770] [--destinations 190000] [--real 12] [--json FILE]

Three parts, each bounded in time. *Control*: hollow dispatchers, which share processes and run the real
watch, view and ownership code, hear of changes over loopback from one stand-in for the control machines.
*Service*: real processes have the whole list and take traffic for what they own, half of it by way of another
one. *Play*: hollow dispatchers in virtual time through a day's failures, with and without partitioned
destinations. At most `MOST_PROCESSES` processes run, under half of the machine's memory.
"""

from __future__ import annotations

import argparse
import contextlib
import json
import os
import statistics
import sys
import tempfile
import time
from dataclasses import asdict
from multiprocessing import get_context
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))
from benchmarks.fleet_control import FleetControl, view_entries  # noqa: E402
from benchmarks.fleet_watchers import watch_in_process  # noqa: E402
from benchmarks.hollow_fleet import HollowPlay  # noqa: E402
from benchmarks.hollow_model import Fault, FaultKind, Totals  # noqa: E402
from benchmarks.real_fleet import DELIVERY_SETTLE_SECONDS, RealFleet  # noqa: E402
from benchmarks.service_process import endpoint_rows, running_service  # noqa: E402
from benchmarks.standins import Agent, Endpoint, LoopThread  # noqa: E402

MEMORY_BUDGET, CPU_BUDGET, BYTES_BUDGET, FORCE_BUDGET = 64e6, 0.014, 11_000, 4.0  # of a dispatcher
WATCHING_PROCESSES = 6
MOST_PROCESSES = 200
SETTLE_SECONDS = 10.0
PHASE_CHANGES = 20
Row = tuple[str, str, str]


def say(text: str) -> None:
    """Progress, on standard error."""
    print(f"{time.strftime('%H:%M:%S')} {text}", file=sys.stderr, flush=True)


def control(count: int, seconds: float) -> dict[str, Any]:
    """Heartbeats and changes of the view, from one stand-in to so many hollow dispatchers."""
    names = view_entries(count)
    server = FleetControl(names)
    context = get_context("spawn")
    links, workers = list[Connection](), []
    for number in range(WATCHING_PROCESSES):
        mine, theirs = context.Pipe()
        some = [one["id"] for one in names][number::WATCHING_PROCESSES]
        worker = context.Process(
            target=watch_in_process, args=(server.port, names, some, theirs), daemon=True
        )
        worker.start()
        links.append(mine)
        workers.append(worker)
    for link in links:
        link.recv()  # all have the first view
    say(f"control: {count} hollow dispatchers watch")
    before_cpu, before_bytes = server.cpu_seconds(), server.bytes_sent
    time.sleep(seconds)
    idle_cpu = (server.cpu_seconds() - before_cpu) / seconds
    idle_bytes = (server.bytes_sent - before_bytes) / seconds / count
    before_cpu = server.cpu_seconds()
    for number in range(PHASE_CHANGES):
        server.set_phase(names[number]["id"], "Terminating" if number % 2 == 0 else "Ready")
        time.sleep(0.5)
    time.sleep(2)
    changing_cpu = (server.cpu_seconds() - before_cpu) / (PHASE_CHANGES * 0.5 + 2)
    reports = []
    for link in links:
        link.send("stop")
        reports.append(link.recv())
    for worker in workers:
        worker.join(10)
    server.close()
    waits = sorted(one for report in reports for one in report["in_force"])
    return {
        "dispatchers": count,
        "changes": PHASE_CHANGES,
        "heard": len(waits),
        "in_force_median_s": statistics.median(waits),
        "in_force_p99_s": waits[int(0.99 * len(waits))],
        "in_force_last_s": waits[-1],
        "bytes_a_dispatcher_s": idle_bytes,
        "control_cpu_idle": idle_cpu,
        "control_cpu_changing": changing_cpu,
        "watcher_cpu_a_dispatcher": sum(one["cpu"] for one in reports) / count / sum_seconds(reports),
        "first_view_cpu_s": statistics.median(one["first_view_cpu"] for one in reports),
        "hollow_bytes": statistics.median(one["bytes_each"] for one in reports),
    }


def sum_seconds(reports: list[dict[str, Any]]) -> float:
    """How long the watchers watched."""
    return statistics.mean(float(report["seconds"]) for report in reports)


def service(real: int, count: int, destinations: int, events: int) -> dict[str, Any]:
    """Real processes with the whole list, in a view of so many dispatchers, under traffic."""
    thread = LoopThread()
    endpoint = Endpoint(thread)
    listed = endpoint_rows(destinations, endpoint.port)
    agent = Agent(thread, listed)
    say(f"service: a list of {destinations} destinations, {len(agent.complete_list()) / 1e6:.1f} MB")
    with contextlib.ExitStack() as stack:
        place = "/dev/shm" if Path("/dev/shm").is_dir() else None
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory(dir=place)))
        plain = without_fleet(folder / "plain", agent, listed)
        say("service: one process without a fleet was measured")
        fleet = stack.enter_context(RealFleet(folder, real, count, agent, SETTLE_SECONDS))
        say(f"service: {real} real processes are ready")
        resident = [one.resident() for one in fleet.processes]
        ready = [one.seconds_to_ready for one in fleet.processes]
        started_cpu = [one.cpu_seconds() for one in fleet.processes]
        time.sleep(SETTLE_SECONDS)
        idle = [
            (one.cpu_seconds() - before) / SETTLE_SECONDS
            for one, before in zip(fleet.processes, started_cpu, strict=True)
        ]
        change = fleet.measure_list_change(agent, destinations)
        say("service: traffic")
        time.sleep(1)  # what was handed in to look is delivered
        delivered_before, idle_cpu = endpoint.messages, sum(idle) * DELIVERY_SETTLE_SECONDS
        direct, by_way = fleet.send_messages(events, False), fleet.send_messages(events, True)
        return {
            "real": real,
            "destinations": destinations,
            "list_bytes": len(agent.complete_list()),
            "before": plain,
            "resident_median": statistics.median(resident),
            "resident_most": max(resident),
            "ready_median_s": statistics.median(ready),
            "ready_most_s": max(ready),
            "start_cpu_median_s": statistics.median(started_cpu),
            "idle_cpu_median": statistics.median(idle),
            "change_in_force_s": change,
            "handed_in": 2 * events,
            "accepted_direct": direct.accepted,
            "accepted_forwarded": by_way.accepted,
            "refused": direct.rejected + by_way.rejected,
            "cpu_direct_event_s": (direct.cpu_seconds - idle_cpu) / events,
            "cpu_forwarded_event_s": (by_way.cpu_seconds - idle_cpu) / events,
            "reply_direct_median_s": statistics.median(direct.reply_seconds),
            "reply_forwarded_median_s": statistics.median(by_way.reply_seconds),
            "reply_forwarded_p99_s": sorted(by_way.reply_seconds)[int(0.99 * events)],
            "delivered": endpoint.messages - delivered_before,
        }


def without_fleet(folder: Path, agent: Agent, listed: list[dict[str, Any]]) -> dict[str, float]:
    """One real process as it is without `[fleet]`: it knows the whole list."""
    folder.mkdir()
    with running_service(folder, agent.port, listed) as one:
        found = {
            "ready_s": one.seconds_to_ready,
            "resident": one.resident(),
            "start_cpu_s": one.cpu_seconds(),
        }
        before = one.cpu_seconds()
        time.sleep(SETTLE_SECONDS)
        return found | {"idle_cpu": (one.cpu_seconds() - before) / SETTLE_SECONDS}


def ordinary_day(count: int) -> tuple[Fault, ...]:
    """An ordinary day and what comes every month or year, sped up: 43 of 770 restarted, two machines lost."""
    return (
        Fault(FaultKind.RESTARTS, 12, 70, max(1, round(count * 43 / 770))),
        Fault(FaultKind.MACHINES, 20, count=2),
        Fault(FaultKind.RACK, 30, 50, max(1, count // 40)),
    )


PLAYS: dict[str, tuple[Fault, ...] | None] = {
    "an ordinary day and a rack": None,
    "a zone for 30 s": (Fault(FaultKind.ZONE, 15, 45),),
    "regions apart for 40 s": (Fault(FaultKind.REGIONS_APART, 15, 55),),
}


def plays(count: int, destinations: int, seconds: int) -> dict[str, dict[str, Any]]:
    """Each day's failures before and after the mechanism, the same seeds."""
    found = dict[str, dict[str, Any]]()
    for name, faults in PLAYS.items():
        for partitioned in (False, True):
            began = time.monotonic()
            play = HollowPlay(
                count,
                destinations,
                partitioned,
                seed=5,
                seconds=seconds,
                down=max(3, destinations // 10),
                faults=ordinary_day(count) if faults is None else faults,
            )
            total = play.run()
            label = f"{name}, {'after' if partitioned else 'before'}"
            found[label] = _figures(total)
            say(f"play: {label} took {time.monotonic() - began:.0f} s")
    return found


def _figures(total: Totals) -> dict[str, Any]:
    figures = asdict(total)
    waits = sorted(figures.pop("in_force"))
    if waits:
        figures["in_force_p99_s"], figures["in_force_last_s"] = waits[int(0.99 * len(waits))], waits[-1]
    return figures


def table(results: dict[str, Any]) -> str:
    """The figures beside their budgets."""
    rows = list[Row]()
    if one := results.get("control"):
        waits = ", ".join(f"{one[f'in_force_{key}_s']:.3f}" for key in ("median", "p99", "last"))
        rows.append(("a change in force: median, p99, last", f"{waits} s", f"{FORCE_BUDGET:g} s"))
        rows.append(
            ("bytes a dispatcher and second", f"{one['bytes_a_dispatcher_s']:.0f}", f"{BYTES_BUDGET}")
        )
        share = one["watcher_cpu_a_dispatcher"]
        rows.append(("control CPU of a dispatcher", f"{share:.3%} of a core", f"{CPU_BUDGET:.1%}"))
        rows.append(("first view, CPU", f"{one['first_view_cpu_s']:.2f} s", ""))
        rows.append(("view and ownership, memory", f"{one['hollow_bytes'] / 1e6:.2f} MB", "64 MB"))
        rows.append(("control machine: CPU idle", f"{one['control_cpu_idle']:.1%} of a core", "5 machines"))
        rows.append(("control machine: CPU, 2 changes a second", f"{one['control_cpu_changing']:.1%}", ""))
    if one := results.get("service"):
        plain = one["before"]
        was = f"{plain['resident'] / 1e6:.0f} MB, {plain['ready_s']:.1f} s, {plain['idle_cpu']:.2%}"
        rows.append(("one process without [fleet]: memory, start, idle", was, "64 MB, 10 s, 1.4%"))
        memory = f"{one['resident_median'] / 1e6:.0f}, {one['resident_most'] / 1e6:.0f} MB"
        rows.append(("memory of a real process: median, most", memory, f"{MEMORY_BUDGET / 1e6:.0f} MB"))
        ready = f"{one['ready_median_s']:.1f}, {one['ready_most_s']:.1f} s"
        rows.append(("start of a real process: median, most", ready, "10 s"))
        rows.append(
            ("idle CPU of a real process", f"{one['idle_cpu_median']:.2%} of a core", f"{CPU_BUDGET:.1%}")
        )
        rows.append(("a new endpoint in force", f"{one['change_in_force_s']:.3f} s", f"{FORCE_BUDGET:g} s"))
        taken = one["accepted_direct"] + one["accepted_forwarded"]
        events = f"{one['handed_in']}, {taken} ({one['accepted_forwarded']}), {one['delivered']}"
        rows.append(("events: in, accepted (forwarded), delivered", events, ""))
        cpu = f"{one['cpu_direct_event_s'] * 1e3:.2f}, {one['cpu_forwarded_event_s'] * 1e3:.2f} ms"
        rows.append(("CPU of an event: at its owner, passed on", cpu, ""))
        waits = f"{one['reply_direct_median_s'] * 1e3:.1f}, {one['reply_forwarded_median_s'] * 1e3:.1f} ms"
        rows.append(("reply, median: at its owner, passed on", waits, ""))
    for name, one in results.get("plays", {}).items():
        rates = f"{one['delivered'] / one['handed_in']:.3f} delivered, "
        rates += f"{one['turned_away'] / one['handed_in']:.4f} turned away, {one['lost_with_machine']} lost, "
        rates += f"{one['refused_calls'] / max(1, one['calls']):.3f} refused a call, "
        rates += f"{one['handshakes'] / one['handed_in']:.2f} handshakes"
        rows.append((name, rates, ""))
        pushed = f"{one['most_pushed']:.2f} at most; {one['over_budget']} over, {one['fallen']} fell"
        rows.append(("  returning destinations", f"{pushed}, of {one['returning']}", "1, none"))
    return "\n".join(f"{what:46} {value:>60}  {budget}" for what, value, budget in rows)


def main() -> None:
    """Run all parts, print the table, and write the raw results."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--dispatchers", type=int, default=770)
    parser.add_argument("--destinations", type=int, default=190_000)
    parser.add_argument("--real", type=int, default=12)
    parser.add_argument("--events", type=int, default=3_000, help="handed in to the real processes")
    parser.add_argument("--played", type=int, default=30, help="destinations with traffic in the plays")
    parser.add_argument("--seconds", type=int, default=80, help="of each play, virtual")
    parser.add_argument("--only", choices=("control", "service", "plays"))
    parser.add_argument("--json", type=Path)
    asked = parser.parse_args()
    if asked.real + WATCHING_PROCESSES + 1 > MOST_PROCESSES:
        parser.error(f"at most {MOST_PROCESSES} processes")
    results: dict[str, Any] = {"cores": os.cpu_count(), "load": os.getloadavg()[0]}
    if asked.only in (None, "control"):
        results["control"] = control(asked.dispatchers, SETTLE_SECONDS)
    if asked.only in (None, "service"):
        results["service"] = service(asked.real, asked.dispatchers, asked.destinations, asked.events)
    if asked.only in (None, "plays"):
        results["plays"] = plays(asked.dispatchers, asked.played, asked.seconds)
    print(table(results))
    if asked.json is not None:
        asked.json.parent.mkdir(parents=True, exist_ok=True)
        asked.json.write_text(json.dumps(results, indent=1) + "\n")


if __name__ == "__main__":
    main()
