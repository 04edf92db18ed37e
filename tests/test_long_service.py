"""Tests of long operation: constant memory, restarts of a fleet at any moment, unusable state directories.

The tests run in virtual time; nothing here opens a socket.
"""

from __future__ import annotations

import contextlib
import gc
import random
import sys
from collections import Counter
from functools import partial
from pathlib import Path
from types import BuiltinFunctionType, FunctionType, ModuleType
from typing import Any

import pytest

from honeyhitch import config
from honeyhitch.dispatcher.delivery import Call
from honeyhitch.endpoints.endpoint import PoolEndpoint
from honeyhitch.endpoints.list_rows import PoolError
from honeyhitch.journal.transactions import Ending, Transaction
from honeyhitch.policy.events import Outcome
from honeyhitch.service.run import run

from .program import free_port, run_async_test, write_config_files
from .rig import ENDPOINT_LIST, DispatcherRig, VirtualTime, endpoint_row
from .world import SECOND

OUTCOMES = (Outcome.DELIVERED, Outcome.ERROR, Outcome.REJECTED, Outcome.CONNECT_FAILED)
OUTCOME_WEIGHTS = (50, 2, 1, 1)
UNHEALTHY_WEIGHTS = (1, 1, 1, 1)
NOT_COUNTED = (type, ModuleType, FunctionType, BuiltinFunctionType, random.Random)


def reachable_memory(root: object) -> tuple[int, int]:
    """Return the number of objects reachable from `root`, and their size in bytes."""
    seen, pending, size = {id(root)}, [root], 0
    while pending:
        item = pending.pop()
        size += sys.getsizeof(item)
        for other in gc.get_referents(item):
            if id(other) not in seen and not isinstance(other, NOT_COUNTED):
                seen.add(id(other))
                pending.append(other)
    return len(seen), size


def replace_endpoints(rig: DispatcherRig, revision: int) -> None:
    """Apply a complete list in which two of three endpoints are new."""
    rows = [
        endpoint_row(f"s-{revision}", 1),
        endpoint_row(f"t-{revision}", 2, "large"),
        endpoint_row("u", 3),
    ]
    endpoint_list = {"revision": revision, "complete": True, "members": rows}
    rig.dispatcher.apply_list_update(rig.dispatcher.pool.update(endpoint_list))


def end_calls(rig: DispatcherRig, open_calls: list[Call], rng: random.Random) -> list[Call]:
    """End the calls that have timed out and three in four at random; return the calls still in flight."""
    rng.shuffle(open_calls)
    timed_out = [call for call in open_calls if call.sent_at + call.timeout <= rig.time.time]
    for call in [*timed_out, *open_calls[: len(open_calls) * 3 // 4]]:
        if any(call.pending):
            unhealthy = call.endpoint.destination == 3  # so that messages always wait for this destination
            outcome = rng.choices(OUTCOMES, UNHEALTHY_WEIGHTS if unhealthy else OUTCOME_WEIGHTS)[0]
            rig.end(call, Outcome.TIMEOUT if call in timed_out else outcome)
    return [call for call in open_calls if any(call.pending)]


def test_memory_stays_over_100_000_messages_ids_keys_and_replaced_endpoints(tmp_path: Path) -> None:
    rig = DispatcherRig(tmp_path, max_messages=60)
    rng = random.Random(3)
    sizes: list[tuple[int, int]] = []
    number = 0
    open_calls: list[Call] = []
    for revision in range(2, 402):
        replace_endpoints(rig, revision)
        for _ in range(25):
            for _ in range(10):
                number += 1
                name = f"{number:016x}"
                rig.submit(name, 1 + number % 3, left=rng.randrange(1, 20) * SECOND, key=f"k{number}")
            open_calls += rig.advance(0.05)
            open_calls = end_calls(rig, open_calls, rng)
        rig.calls.clear()
        rig.answers.clear()
        rig.closed_endpoints.clear()
        if revision in (101, 201, 301, 401):
            rig.journal.compact()  # ids and keys of ended messages accumulate until then
            sizes.append(reachable_memory(rig.dispatcher))
    assert number == 100_000
    assert rig.dispatcher.metrics_snapshot()["responses"]["standard"]["ok"] > 5_000
    (_, first_size), (_, last_size) = sizes[0], sizes[-1]
    assert last_size <= 1.1 * first_size, sizes
    assert len(rig.dispatcher.pool.endpoints) == 3
    assert sum(file.stat().st_size for file in tmp_path.iterdir()) <= 3_000_000


class Node(DispatcherRig):
    """One dispatcher of a fleet; its calls end at random times, or when its process is killed."""

    def __init__(self, directory: Path, time: VirtualTime, message_log: MessageLog) -> None:
        self.message_log, self.killed = message_log, False
        super().__init__(directory, time, max_messages=200)

    def start(self, call: Call) -> None:
        super().start(call)
        for message in call.messages:
            self.message_log.attempt_started(message.id)
        duration = self.message_log.rng.randrange(5, 400) * SECOND // 1000
        self.time.call_at(
            self.time.time + min(duration, call.timeout),
            lambda: self.end_call(call, duration >= call.timeout),
        )

    def end_call(self, call: Call, timed_out: bool) -> None:
        if self.killed:
            return
        for message in call.messages:
            self.message_log.attempt_ended(message.id)
        outcome = Outcome.TIMEOUT if timed_out else self.message_log.rng.choices(OUTCOMES, OUTCOME_WEIGHTS)[0]
        self.end(call, outcome)
        for message in call.messages if outcome is Outcome.DELIVERED else ():
            self.message_log.message_ended(message.id, self.time.time)

    def cancel(self, call: Call) -> None:
        pass  # the end of the call is already scheduled

    def answer(self, transaction: Transaction) -> None:
        if self.message_log.rng.random() < 0.9:
            self.message_log.message_ended(transaction.id, self.time.time)
            super().answer(transaction)
        else:  # the confirmation is late, or the process ends before it
            self.time.call_at(self.time.time + SECOND // 10, partial(self._answer_later, transaction))

    def _answer_later(self, transaction: Transaction) -> None:
        if not self.killed:
            self.answer(transaction)

    def kill(self) -> None:
        self.killed = True
        for call in self.calls:
            for message, is_pending in zip(call.messages, call.pending, strict=True):
                if is_pending:
                    self.message_log.attempt_ended(message.id)
        self.dispatcher.sending = self.dispatcher.accepting = False
        self.journal.close()


class MessageLog:
    """The attempts and endings of all messages, as observed outside the dispatchers."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.attempts_in_flight = Counter[str]()
        self.ended_at: dict[str, int] = {}

    def attempt_started(self, name: str) -> None:
        self.attempts_in_flight[name] += 1
        assert self.attempts_in_flight[name] == 1, "two attempts of one message in flight"

    def attempt_ended(self, name: str) -> None:
        self.attempts_in_flight[name] -= 1

    def message_ended(self, name: str, ended_at: int) -> None:
        self.ended_at.setdefault(name, ended_at)


@pytest.mark.parametrize("seed", range(4))
def test_a_fleet_restarted_at_every_moment_ends_each_message_in_time(tmp_path: Path, seed: int) -> None:
    """Six dispatchers, one of which is killed every quarter second and starts again 0.6 s later."""
    time, message_log, deadlines = VirtualTime(), MessageLog(seed), dict[str, int]()
    nodes = list[Node | None]()
    for i in range(6):
        (tmp_path / str(i)).mkdir()
        nodes.append(Node(tmp_path / str(i), time, message_log))
    stopped: list[tuple[int, int]] = []  # restart time and index of each killed dispatcher
    for step in range(1200):  # 30 s in steps of 25 ms
        for i, node in enumerate(nodes):
            if node is not None and step < 800 and message_log.rng.random() < 0.3:
                name, time_left = f"m{step}-{i}", message_log.rng.randrange(3, 20) * SECOND
                if node.submit(name, message_log.rng.choice((1, 2)), left=time_left):
                    deadlines[name] = time.time + time_left
        if step % 10 == 0 and step < 1000:
            i = message_log.rng.randrange(6)
            if (killed_node := nodes[i]) is not None:
                killed_node.kill()
                nodes[i] = None
                stopped.append((time.time + 6 * SECOND // 10, i))
        for restart_at, i in [entry for entry in stopped if entry[0] <= time.time]:
            stopped.remove((restart_at, i))
            nodes[i] = Node(tmp_path / str(i), time, message_log)
        time.advance(0.025)
    assert len(deadlines) > 900
    unfinished = [name for name in deadlines if name not in message_log.ended_at]
    assert not unfinished, f"messages that did not end: {unfinished[:5]}"
    # A message that expires while its process is down ends after the restart: after 0.6 s and one round.
    late = {
        name: message_log.ended_at[name] - deadline
        for name, deadline in deadlines.items()
        if message_log.ended_at[name] > deadline + SECOND
    }
    assert not late, late


def test_lists_repeated_late_and_out_of_order_leave_a_fleet_with_the_newest(tmp_path: Path) -> None:
    rng, time = random.Random(5), VirtualTime()
    complete_list = {
        "revision": 20,
        "complete": True,
        "members": [endpoint_row("s-9", 1), endpoint_row("s-2", 2, "large")],
    }
    removal = {"revision": 12, "complete": False, "members": [endpoint_row("s-1", 1, phase="Gone")]}
    drain = {"revision": 11, "complete": False, "members": [endpoint_row("s-1", 1, phase="Terminating")]}
    # The endpoint was removed since this change.
    outdated_change = {"revision": 10, "complete": False, "members": [endpoint_row("s-1", 1)]}
    for i in range(12):
        directory = tmp_path / str(i)
        directory.mkdir()
        rig = DispatcherRig(directory, time)
        shuffled_changes = [removal, drain, outdated_change, outdated_change, removal]
        rng.shuffle(shuffled_changes)
        rig.dispatcher.apply_list_update(rig.dispatcher.pool.update(removal))
        for change in shuffled_changes:
            with contextlib.suppress(PoolError):  # a change older than the last one is rejected
                rig.dispatcher.apply_list_update(rig.dispatcher.pool.update(change))
            rig.submit(f"m{i}-{len(rig.dispatcher.messages)}")
            assert not rig.advance(0.5), "nothing is sent to a removed endpoint"
        rig.dispatcher.apply_list_update(rig.dispatcher.pool.update(complete_list))
        rig.dispatcher.apply_list_update(rig.dispatcher.pool.update(complete_list))
        assert {call.endpoint.id for call in rig.advance(2)} == {"s-9"}
        endpoints: dict[str, PoolEndpoint] = rig.dispatcher.pool.endpoints
        assert set(endpoints) == {"s-9", "s-2"}
    assert ENDPOINT_LIST["revision"] == 1


@pytest.mark.parametrize("fault", ["under a file", "a directory in place of the journal", "no such device"])
def test_an_unusable_state_directory_ends_the_start_with_its_key(tmp_path: Path, fault: str) -> None:
    state_directory: Any = tmp_path / "state"
    if fault == "under a file":
        state_directory.write_text("")
        state_directory = state_directory / "directory"
    elif fault == "no such device":
        state_directory = Path("/proc/self/attr/state")  # no directory can be made there, not even by root
    else:
        (state_directory / "journal").mkdir(parents=True)
    path, _ = write_config_files(tmp_path, free_port(), 9, [], state=str(state_directory))
    loaded = config.read({}, path)
    with pytest.raises(config.ConfigError, match=r"^state: "):
        run_async_test(run(loaded, lambda before: before))


def test_stored_values_of_endings_are_unchanged() -> None:
    """The values are stored, so a changed value would make an older journal unreadable."""
    assert {ending.value for ending in Ending} == {"delivered", "rejected", "failed", "over"}
