"""What a long service must stand: memory that stays, restarts at any moment over a fleet, folders that cannot
be written. Virtual time; nothing here opens a socket.
"""

from __future__ import annotations

import contextlib
import gc
import random
import sys
from collections import Counter
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

from .program import free_port, play, write
from .rig import ENDPOINT_LIST, DispatcherRig, VirtualTime, endpoint_row
from .world import SECOND

OUTCOMES = (Outcome.DELIVERED, Outcome.ERROR, Outcome.REJECTED, Outcome.CONNECT_FAILED)
SHARES = (50, 2, 1, 1)
LEFT_OUT = (type, ModuleType, FunctionType, BuiltinFunctionType, random.Random)


def weight(root: object) -> tuple[int, int]:
    """How many objects are reached from it, and their bytes."""
    seen, todo, size = {id(root)}, [root], 0
    while todo:
        one = todo.pop()
        size += sys.getsizeof(one)
        for other in gc.get_referents(one):
            if id(other) not in seen and not isinstance(other, LEFT_OUT):
                seen.add(id(other))
                todo.append(other)
    return len(seen), size


def test_memory_stays_over_100_000_messages_ids_keys_and_replaced_endpoints(tmp_path: Path) -> None:
    stand, chance, weights, number = (
        DispatcherRig(tmp_path, max_messages=60),
        random.Random(3),
        list[tuple[int, int]](),
        0,
    )
    open_calls = list[Call]()
    for revision in range(2, 402):
        stand.dispatcher.apply_list_update(
            stand.dispatcher.pool.update(
                {
                    "revision": revision,
                    "complete": True,
                    "members": [
                        endpoint_row(f"s-{revision}", 1),
                        endpoint_row(f"t-{revision}", 2, "large"),
                        endpoint_row("u", 3),
                    ],
                }
            )
        )
        for _ in range(25):
            for _ in range(10):
                number += 1
                name = f"{number:016x}"
                stand.submit(name, 1 + number % 3, left=chance.randrange(1, 20) * SECOND, key=f"k{number}")
            open_calls += stand.run(0.05)
            chance.shuffle(open_calls)
            late = [call for call in open_calls if call.sent_at + call.timeout <= stand.time.time]
            for call in [*late, *open_calls[: len(open_calls) * 3 // 4]]:
                if any(call.pending):
                    sick = call.endpoint.destination == 3  # messages always wait there
                    outcome = chance.choices(OUTCOMES, (1, 1, 1, 1) if sick else SHARES)[0]
                    stand.end(call, Outcome.TIMEOUT if call in late else outcome)
            open_calls = [call for call in open_calls if any(call.pending)]
        stand.calls.clear()
        stand.answers.clear()
        stand.closed_endpoints.clear()
        if revision in (101, 201, 301, 401):
            stand.journal.compact()  # ended ids and keys pile up between two of them
            weights.append(weight(stand.dispatcher))
    assert number == 100_000
    assert stand.dispatcher.metrics_snapshot()["responses"]["standard"]["ok"] > 5_000
    (_, first), (_, last) = weights[0], weights[-1]
    assert last <= 1.1 * first, weights
    assert len(stand.dispatcher.pool.endpoints) == 3
    assert sum(file.stat().st_size for file in tmp_path.iterdir()) <= 3_000_000


class Node(DispatcherRig):
    """One dispatcher of a fleet: its calls end by chance, or with its process."""

    def __init__(self, folder: Path, time: VirtualTime, books: Books) -> None:
        self.books, self.dead = books, False
        super().__init__(folder, time, max_messages=200)

    def start(self, call: Call) -> None:
        super().start(call)
        for part in call.messages:
            self.books.begins(part.id)
        took = self.books.chance.randrange(5, 400) * SECOND // 1000
        self.time.call_at(
            self.time.time + min(took, call.timeout), lambda: self.over(call, took >= call.timeout)
        )

    def over(self, call: Call, late: bool) -> None:
        if self.dead:
            return
        for part in call.messages:
            self.books.ends(part.id)
        outcome = Outcome.TIMEOUT if late else self.books.chance.choices(OUTCOMES, SHARES)[0]
        self.end(call, outcome)
        for part in call.messages if outcome is Outcome.DELIVERED else ():
            self.books.ended(part.id, self.time.time)

    def cancel(self, call: Call) -> None:
        pass  # its end is on the way

    def answer(self, transaction: Transaction) -> None:
        if self.books.chance.random() < 0.9:  # else the process ends before it is confirmed, or it comes late
            self.books.ended(transaction.id, self.time.time)
            super().answer(transaction)
        else:
            self.time.call_at(self.time.time + SECOND // 10, lambda: self.dead or self.answer(transaction))

    def kill(self) -> None:
        self.dead = True
        for call in self.calls:
            for part, is_open in zip(call.messages, call.pending, strict=True):
                if is_open:
                    self.books.ends(part.id)
        self.dispatcher.sending = self.dispatcher.accepting = False
        self.journal.close()


class Books:
    """What the world sees of all messages."""

    def __init__(self, seed: int) -> None:
        self.chance, self.out = random.Random(seed), Counter[str]()
        self.when = dict[str, int]()  # of the first end

    def begins(self, name: str) -> None:
        self.out[name] += 1
        assert self.out[name] == 1, "two attempts of one message out"

    def ends(self, name: str) -> None:
        self.out[name] -= 1

    def ended(self, name: str, at: int) -> None:
        self.when.setdefault(name, at)


@pytest.mark.parametrize("seed", range(4))
def test_a_fleet_restarted_at_every_moment_ends_each_message_in_time(tmp_path: Path, seed: int) -> None:
    """Six dispatchers, one of which is killed every quarter second and starts again 0.6 s later."""
    time, books, due = VirtualTime(), Books(seed), dict[str, int]()
    nodes = list[Node | None]()
    for i in range(6):
        (tmp_path / str(i)).mkdir()
        nodes.append(Node(tmp_path / str(i), time, books))
    away: list[tuple[int, int]] = []  # when one is back, and which
    for step in range(1200):  # 30 s in steps of 25 ms
        for i, node in enumerate(nodes):
            if node is not None and step < 800 and books.chance.random() < 0.3:
                name, left = f"m{step}-{i}", books.chance.randrange(3, 20) * SECOND
                if node.submit(name, books.chance.choice((1, 2)), left=left):
                    due[name] = time.time + left
        if step % 10 == 0 and step < 1000:
            i = books.chance.randrange(6)
            if (killed := nodes[i]) is not None:
                killed.kill()
                nodes[i] = None
                away.append((time.time + 6 * SECOND // 10, i))
        for back, i in [one for one in away if one[0] <= time.time]:
            away.remove((back, i))
            nodes[i] = Node(tmp_path / str(i), time, books)
        time.run(0.025)
    assert len(due) > 900
    lost = [name for name in due if name not in books.when]
    assert not lost, f"without an end: {lost[:5]}"
    # One whose time ends while its process is away hears of it once that is back: 0.6 s, and the round.
    late = {name: books.when[name] - at for name, at in due.items() if books.when[name] > at + SECOND}
    assert not late, late


def test_lists_repeated_late_and_out_of_order_leave_a_fleet_with_the_newest(tmp_path: Path) -> None:
    chance, time = random.Random(5), VirtualTime()
    whole = {
        "revision": 20,
        "complete": True,
        "members": [endpoint_row("s-9", 1), endpoint_row("s-2", 2, "large")],
    }
    gone = {"revision": 12, "complete": False, "members": [endpoint_row("s-1", 1, phase="Gone")]}
    drains = {"revision": 11, "complete": False, "members": [endpoint_row("s-1", 1, phase="Terminating")]}
    again = {
        "revision": 10,
        "complete": False,
        "members": [endpoint_row("s-1", 1)],
    }  # late: it has gone since
    for i in range(12):
        folder = tmp_path / str(i)
        folder.mkdir()
        stand = DispatcherRig(folder, time)
        told = [gone, drains, again, again, gone]
        chance.shuffle(told)
        stand.dispatcher.apply_list_update(stand.dispatcher.pool.update(gone))
        for one in told:
            with contextlib.suppress(PoolError):  # a change from before one that came is refused
                stand.dispatcher.apply_list_update(stand.dispatcher.pool.update(one))
            stand.submit(f"m{i}-{len(stand.dispatcher.messages)}")
            assert not stand.run(0.5), "nothing goes to what has gone"
        stand.dispatcher.apply_list_update(stand.dispatcher.pool.update(whole))
        stand.dispatcher.apply_list_update(stand.dispatcher.pool.update(whole))
        assert {call.endpoint.id for call in stand.run(2)} == {"s-9"}
        members: dict[str, PoolEndpoint] = stand.dispatcher.pool.endpoints
        assert set(members) == {"s-9", "s-2"}
    assert ENDPOINT_LIST["revision"] == 1


@pytest.mark.parametrize("how", ["under a file", "a folder in the journal's place", "no such device"])
def test_a_state_folder_that_cannot_be_used_ends_the_start_with_its_key(tmp_path: Path, how: str) -> None:
    state: Any = tmp_path / "state"
    if how == "under a file":
        state.write_text("")
        state = state / "folder"
    elif how == "no such device":
        state = Path("/proc/self/attr/state")  # no folder can be made there, not even by root
    else:
        (state / "journal").mkdir(parents=True)
    path, _ = write(tmp_path, free_port(), 9, [], state=str(state))
    told = config.read({}, path)
    with pytest.raises(config.ConfigError, match=r"^state: "):
        play(run(told, lambda before: before))


def test_ending_names_stay() -> None:
    """They stand in journals: a name that changes makes an older journal unreadable."""
    assert {one.value for one in Ending} == {"delivered", "rejected", "failed", "over"}
