"""The scale run: 770 dispatchers and 190,000 destinations on one machine, without and with partitioning.

    python benchmarks/scale.py [--dispatchers 770] [--destinations 190000] [--real 12] [--json FILE]

The run has three parts, each bounded in time. *Control*: hollow dispatchers, which share processes and run
only the real watch, view and ownership code, receive changes over loopback from one stand-in for the control
machines. *Service*: real processes have the complete list and accept messages for destinations that they own;
half of the messages are forwarded by another process. *Play*: a simulation of hollow dispatchers in virtual
time with the failures of a day, with and without partitioned destinations. At most `MAX_PROCESSES` processes
run, and they use less than half of the machine's memory.
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

# The budgets of one dispatcher: bytes of memory, fraction of a core, bytes a second of the watch, and seconds
# until a change is in force.
MEMORY_BUDGET, CPU_BUDGET, BYTES_BUDGET, IN_FORCE_BUDGET = 64e6, 0.014, 11_000, 4.0
WATCHER_PROCESSES = 6
MAX_PROCESSES = 200
SETTLE_SECONDS = 10.0
PHASE_CHANGES = 20
Row = tuple[str, str, str]


def print_progress(text: str) -> None:
    """Print a line with the time of day on standard error."""
    print(f"{time.strftime('%H:%M:%S')} {text}", file=sys.stderr, flush=True)


def measure_control(count: int, seconds: float) -> dict[str, Any]:
    """Measure heartbeats and changes of the view, sent by one stand-in to `count` hollow dispatchers.

    `seconds` is how long heartbeats alone are measured.
    """
    entries = view_entries(count)
    server = FleetControl(entries)
    context = get_context("spawn")
    links, workers = list[Connection](), []
    for number in range(WATCHER_PROCESSES):
        parent_end, child_end = context.Pipe()
        names = [entry["id"] for entry in entries][number::WATCHER_PROCESSES]
        worker = context.Process(
            target=watch_in_process, args=(server.port, entries, names, child_end), daemon=True
        )
        worker.start()
        links.append(parent_end)
        workers.append(worker)
    for link in links:
        link.recv()  # each dispatcher of the worker has its first view
    print_progress(f"control: {count} hollow dispatchers watch")
    cpu_before, bytes_before = server.cpu_seconds(), server.bytes_sent
    time.sleep(seconds)
    idle_cpu = (server.cpu_seconds() - cpu_before) / seconds
    idle_bytes = (server.bytes_sent - bytes_before) / seconds / count
    cpu_before = server.cpu_seconds()
    for number in range(PHASE_CHANGES):
        server.set_phase(entries[number]["id"], "Terminating" if number % 2 == 0 else "Ready")
        time.sleep(0.5)
    time.sleep(2)
    changing_cpu = (server.cpu_seconds() - cpu_before) / (PHASE_CHANGES * 0.5 + 2)
    reports = []
    for link in links:
        link.send("stop")
        reports.append(link.recv())
    for worker in workers:
        worker.join(10)
    server.close()
    delays = sorted(delay for report in reports for delay in report["in_force"])
    return {
        "dispatchers": count,
        "changes": PHASE_CHANGES,
        "heard": len(delays),
        "in_force_median_s": statistics.median(delays),
        "in_force_p99_s": delays[int(0.99 * len(delays))],
        "in_force_last_s": delays[-1],
        "bytes_a_dispatcher_s": idle_bytes,
        "control_cpu_idle": idle_cpu,
        "control_cpu_changing": changing_cpu,
        "watcher_cpu_a_dispatcher": sum(report["cpu"] for report in reports) / count / mean_seconds(reports),
        "first_view_cpu_s": statistics.median(report["first_view_cpu"] for report in reports),
        "hollow_bytes": statistics.median(report["bytes_each"] for report in reports),
    }


def mean_seconds(reports: list[dict[str, Any]]) -> float:
    """Return the mean duration of the measurement in the worker processes."""
    return statistics.mean(float(report["seconds"]) for report in reports)


def measure_service(real: int, count: int, destinations: int, events: int) -> dict[str, Any]:
    """Measure `real` processes with the complete list and under traffic, in a view of `count` dispatchers."""
    thread = LoopThread()
    endpoint = Endpoint(thread)
    listed = endpoint_rows(destinations, endpoint.port)
    agent = Agent(thread, listed)
    print_progress(
        f"service: a list of {destinations} destinations, {len(agent.complete_list()) / 1e6:.1f} MB"
    )
    with contextlib.ExitStack() as stack:
        temporary_root = "/dev/shm" if Path("/dev/shm").is_dir() else None
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory(dir=temporary_root)))
        single = measure_without_fleet(folder / "plain", agent, listed)
        print_progress("service: one process without a fleet was measured")
        fleet = stack.enter_context(RealFleet(folder, real, count, agent, SETTLE_SECONDS))
        print_progress(f"service: {real} real processes are ready")
        resident = [process.resident() for process in fleet.processes]
        ready = [process.seconds_to_ready for process in fleet.processes]
        start_cpu = [process.cpu_seconds() for process in fleet.processes]
        time.sleep(SETTLE_SECONDS)
        idle = [
            (process.cpu_seconds() - cpu_before) / SETTLE_SECONDS
            for process, cpu_before in zip(fleet.processes, start_cpu, strict=True)
        ]
        change_seconds = fleet.measure_list_change(agent, destinations)
        print_progress("service: traffic")
        time.sleep(1)  # until the messages of the measurement above are delivered
        delivered_before, idle_cpu = endpoint.messages, sum(idle) * DELIVERY_SETTLE_SECONDS
        direct, forwarded = fleet.send_messages(events, False), fleet.send_messages(events, True)
        return {
            "real": real,
            "destinations": destinations,
            "list_bytes": len(agent.complete_list()),
            "before": single,
            "resident_median": statistics.median(resident),
            "resident_most": max(resident),
            "ready_median_s": statistics.median(ready),
            "ready_most_s": max(ready),
            "start_cpu_median_s": statistics.median(start_cpu),
            "idle_cpu_median": statistics.median(idle),
            "change_in_force_s": change_seconds,
            "handed_in": 2 * events,
            "accepted_direct": direct.accepted,
            "accepted_forwarded": forwarded.accepted,
            "refused": direct.rejected + forwarded.rejected,
            "cpu_direct_event_s": (direct.cpu_seconds - idle_cpu) / events,
            "cpu_forwarded_event_s": (forwarded.cpu_seconds - idle_cpu) / events,
            "reply_direct_median_s": statistics.median(direct.reply_seconds),
            "reply_forwarded_median_s": statistics.median(forwarded.reply_seconds),
            "reply_forwarded_p99_s": sorted(forwarded.reply_seconds)[int(0.99 * events)],
            "delivered": endpoint.messages - delivered_before,
        }


def measure_without_fleet(folder: Path, agent: Agent, listed: list[dict[str, Any]]) -> dict[str, float]:
    """Measure one real process without `[fleet]`, which has the complete list."""
    folder.mkdir()
    with running_service(folder, agent.port, listed) as process:
        results = {
            "ready_s": process.seconds_to_ready,
            "resident": process.resident(),
            "start_cpu_s": process.cpu_seconds(),
        }
        cpu_before = process.cpu_seconds()
        time.sleep(SETTLE_SECONDS)
        return results | {"idle_cpu": (process.cpu_seconds() - cpu_before) / SETTLE_SECONDS}


def ordinary_day(count: int) -> tuple[Fault, ...]:
    """Return the faults of an ordinary day and rarer ones, in one short play.

    Of 770 dispatchers 43 are restarted. Two machines are lost and a rack fails, which happens every month or
    year.
    """
    return (
        Fault(FaultKind.RESTARTS, 12, 70, max(1, round(count * 43 / 770))),
        Fault(FaultKind.MACHINES, 20, count=2),
        Fault(FaultKind.RACK, 30, 50, max(1, count // 40)),
    )


PLAY_FAULTS: dict[str, tuple[Fault, ...] | None] = {
    "an ordinary day and a rack": None,
    "a zone for 30 s": (Fault(FaultKind.ZONE, 15, 45),),
    "regions apart for 40 s": (Fault(FaultKind.REGIONS_APART, 15, 55),),
}


def measure_plays(count: int, destinations: int, seconds: int) -> dict[str, dict[str, Any]]:
    """Run each play without and with partitioned destinations, with the same seed."""
    results = dict[str, dict[str, Any]]()
    for name, faults in PLAY_FAULTS.items():
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
            totals = play.run()
            label = f"{name}, {'after' if partitioned else 'before'}"
            results[label] = _summarize_totals(totals)
            print_progress(f"play: {label} took {time.monotonic() - began:.0f} s")
    return results


def _summarize_totals(totals: Totals) -> dict[str, Any]:
    figures = asdict(totals)
    delays = sorted(figures.pop("in_force"))
    if delays:
        figures["in_force_p99_s"], figures["in_force_last_s"] = delays[int(0.99 * len(delays))], delays[-1]
    return figures


def table(results: dict[str, Any]) -> str:
    """Return the figures and their budgets as a table."""
    rows = list[Row]()
    if control := results.get("control"):
        delays = ", ".join(f"{control[f'in_force_{key}_s']:.3f}" for key in ("median", "p99", "last"))
        rows.append(("a change in force: median, p99, last", f"{delays} s", f"{IN_FORCE_BUDGET:g} s"))
        rows.append(
            ("bytes a dispatcher and second", f"{control['bytes_a_dispatcher_s']:.0f}", f"{BYTES_BUDGET}")
        )
        watcher_cpu = control["watcher_cpu_a_dispatcher"]
        rows.append(("control CPU of a dispatcher", f"{watcher_cpu:.3%} of a core", f"{CPU_BUDGET:.1%}"))
        rows.append(("first view, CPU", f"{control['first_view_cpu_s']:.2f} s", ""))
        rows.append(("view and ownership, memory", f"{control['hollow_bytes'] / 1e6:.2f} MB", "64 MB"))
        rows.append(
            ("control machine: CPU idle", f"{control['control_cpu_idle']:.1%} of a core", "5 machines")
        )
        rows.append(
            ("control machine: CPU, 2 changes a second", f"{control['control_cpu_changing']:.1%}", "")
        )
    if service := results.get("service"):
        single = service["before"]
        baseline = f"{single['resident'] / 1e6:.0f} MB, {single['ready_s']:.1f} s, {single['idle_cpu']:.2%}"
        rows.append(("one process without [fleet]: memory, start, idle", baseline, "64 MB, 10 s, 1.4%"))
        memory = f"{service['resident_median'] / 1e6:.0f}, {service['resident_most'] / 1e6:.0f} MB"
        rows.append(("memory of a real process: median, most", memory, f"{MEMORY_BUDGET / 1e6:.0f} MB"))
        ready = f"{service['ready_median_s']:.1f}, {service['ready_most_s']:.1f} s"
        rows.append(("start of a real process: median, most", ready, "10 s"))
        rows.append(
            ("idle CPU of a real process", f"{service['idle_cpu_median']:.2%} of a core", f"{CPU_BUDGET:.1%}")
        )
        rows.append(
            ("a new endpoint in force", f"{service['change_in_force_s']:.3f} s", f"{IN_FORCE_BUDGET:g} s")
        )
        accepted = service["accepted_direct"] + service["accepted_forwarded"]
        events = (
            f"{service['handed_in']}, {accepted} ({service['accepted_forwarded']}), {service['delivered']}"
        )
        rows.append(("events: in, accepted (forwarded), delivered", events, ""))
        cpu = f"{service['cpu_direct_event_s'] * 1e3:.2f}, {service['cpu_forwarded_event_s'] * 1e3:.2f} ms"
        rows.append(("CPU of an event: at its owner, passed on", cpu, ""))
        reply_time = (
            f"{service['reply_direct_median_s'] * 1e3:.1f}, "
            f"{service['reply_forwarded_median_s'] * 1e3:.1f} ms"
        )
        rows.append(("reply, median: at its owner, passed on", reply_time, ""))
    for name, play in results.get("plays", {}).items():
        rates = f"{play['delivered'] / play['handed_in']:.3f} delivered, "
        rates += (
            f"{play['turned_away'] / play['handed_in']:.4f} turned away, {play['lost_with_machine']} lost, "
        )
        rates += f"{play['refused_calls'] / max(1, play['calls']):.3f} refused a call, "
        rates += f"{play['handshakes'] / play['handed_in']:.2f} handshakes"
        rows.append((name, rates, ""))
        load = f"{play['most_pushed']:.2f} at most; {play['over_budget']} over, {play['fallen']} fell"
        rows.append(("  returning destinations", f"{load}, of {play['returning']}", "1, none"))
    return "\n".join(f"{label:46} {value:>60}  {budget}" for label, value, budget in rows)


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
    options = parser.parse_args()
    if options.real + WATCHER_PROCESSES + 1 > MAX_PROCESSES:
        parser.error(f"at most {MAX_PROCESSES} processes")
    results: dict[str, Any] = {"cores": os.cpu_count(), "load": os.getloadavg()[0]}
    if options.only in (None, "control"):
        results["control"] = measure_control(options.dispatchers, SETTLE_SECONDS)
    if options.only in (None, "service"):
        results["service"] = measure_service(
            options.real, options.dispatchers, options.destinations, options.events
        )
    if options.only in (None, "plays"):
        results["plays"] = measure_plays(options.dispatchers, options.played, options.seconds)
    print(table(results))
    if options.json is not None:
        options.json.parent.mkdir(parents=True, exist_ok=True)
        options.json.write_text(json.dumps(results, indent=1) + "\n")


if __name__ == "__main__":
    main()
