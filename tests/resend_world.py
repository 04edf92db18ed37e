"""Partners that fail in mixed ways, each with a ledger of what it applied, and clients that bring copies.

One run is a day in virtual time with a real dispatcher, journal and store, killed at random steps; afterwards
the ledgers say whether anything was applied twice, and the store whether anything that may be resent was not.
"""

from __future__ import annotations

import dataclasses
import heapq
import random
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from honeyhitch.dead_letters import rules
from honeyhitch.dead_letters.filters import RecordFilter
from honeyhitch.dead_letters.records import Record
from honeyhitch.dead_letters.resend_scheduler import ResendScheduler
from honeyhitch.dead_letters.settings import Action, DeadLetterSettings, ResendSettings, Rule
from honeyhitch.dispatcher.delivery import Call
from honeyhitch.journal.transactions import Ending, Transaction
from honeyhitch.policy.events import Outcome
from honeyhitch.policy.settings import Idempotency

from .dead_letters_rig import KeepingStand, Killed, Points
from .rig import STANDARD_CLASS, VirtualTime
from .world import SECOND

CLASSES = (
    dataclasses.replace(
        STANDARD_CLASS,
        name="safe",
        idempotency=Idempotency.IDEMPOTENT,
        deadline=6 * SECOND,
        deduplication_window=0,
    ),
    dataclasses.replace(STANDARD_CLASS, name="keyed", deadline=6 * SECOND, deduplication_window=90 * SECOND),
    dataclasses.replace(
        STANDARD_CLASS,
        name="unsafe",
        idempotency=Idempotency.NON_IDEMPOTENT,
        deadline=6 * SECOND,
        deduplication_window=0,
    ),
)
SAFE, KEYED, UNSAFE = range(3)
RULE = Rule(
    "all",
    Action.RESEND,
    max_resends=50,
    min_healthy_duration=2 * SECOND,
    retry_pause=2 * SECOND,
    rate_per_second=20.0,
)
TERMS = ResendSettings(client_retry_grace=8 * SECOND, duplicates_elsewhere=False)
MODES = (
    "deliver", "refuse", "reset-before", "reset-after", "late", "late-lost", "500-after", "500-before",
    "spoilt", "part",
)  # fmt: skip


@dataclass
class Partner:
    """What was applied, by key, and when: a keyed repeat inside the window is dropped, others are counted."""

    ledger: dict[str, list[int]] = field(default_factory=dict)
    due: list[tuple[int, int, str, int]] = field(default_factory=list)
    seq: int = 0

    def apply_at(self, when: int, part: Transaction) -> None:
        self.seq += 1
        heapq.heappush(self.due, (when, self.seq, part.key, CLASSES[part.class_index].deduplication_window))

    def run(self, now: int) -> None:
        while self.due and self.due[0][0] <= now:
            when, _, key, window = heapq.heappop(self.due)
            seen = self.ledger.setdefault(key, [])
            if not (seen and window and when < seen[0] + window):
                seen.append(when)


class ResendStand(KeepingStand):
    """A dispatcher with rules, between such partners."""

    def __init__(
        self,
        folder: Path,
        time: VirtualTime,
        partner: Partner,
        rng: random.Random,
        points: Points | None = None,
        rule: tuple[Rule, ...] = (RULE,),
        terms: ResendSettings = TERMS,
        **more: Any,
    ) -> None:
        self.partner, self.rng, self.rule, self.terms = partner, rng, rule, terms
        self.modes: tuple[str, ...] = MODES
        self.sent: list[Transaction] = []
        self.dead = False
        more.setdefault("classes", CLASSES)
        more.setdefault("max_messages", 50)
        super().__init__(folder, time, points, **more)

    def prepare(self) -> None:
        super().prepare()
        setup = DeadLetterSettings(rules=self.rule, resend_settings=self.terms)
        self.resending = ResendScheduler(setup, self.dispatcher, self.time, self.worker.submit)
        self.moving.stored_listeners.append(self.resending.records_stored)
        self.dispatcher.accepting = False

    def resume(self) -> None:
        def ready() -> None:
            self.dispatcher.accepting = True
            self.dispatcher.recover()

        self.resending.load(ready)

    def start(self, call: Call) -> None:
        super().start(call)
        self.sent += call.messages
        rng, now = self.rng, self.time.time
        mode = rng.choice(self.modes)
        took = int(rng.uniform(0.01, 0.4) * SECOND)
        applied = mode in ("deliver", "reset-after", "500-after", "spoilt")
        outcome = {
            "deliver": Outcome.DELIVERED, "refuse": Outcome.REJECTED, "late": Outcome.TIMEOUT,
            "late-lost": Outcome.TIMEOUT, "reset-before": Outcome.RESET,
            "reset-after": Outcome.RESET,
        }.get(mode, Outcome.ERROR)  # fmt: skip
        if mode == "late":
            for part in call.messages:
                self.partner.apply_at(now + int(rng.uniform(0, 9) * SECOND), part)
        if outcome is Outcome.TIMEOUT:
            took = call.timeout
        results = [outcome] * len(call.messages)
        for i, part in enumerate(call.messages):
            if applied or (mode == "part" and i % 2 == 0):
                self.partner.apply_at(now + took // 2, part)
            if mode == "part" and i % 2 == 0:
                results[i] = Outcome.DELIVERED
        self.time.call_at(now + took, lambda: self.over(call, results))

    def over(self, call: Call, results: list[Outcome]) -> None:
        from honeyhitch.dispatcher.delivery import CallResult

        told = [(one, one is Outcome.DELIVERED) for one in results]
        self.dispatcher.call_ended(call, CallResult(told))


@dataclass
class Client:
    """What one client knows of its message, and the copies that it has brought."""

    key: str
    cls: int
    dest: int
    ids: list[str]
    answered: dict[str, Ending | None] = field(default_factory=dict)

    def hear(self, answer: Transaction) -> bool:
        """Take a final answer; whether it is news. After a kill it may come again, and is the same then."""
        assert self.answered.get(answer.id, answer.ending) is answer.ending, f"{answer.id}: two answers"
        fresh = answer.id not in self.answered
        self.answered[answer.id] = answer.ending
        return fresh

    copy_at: int | None = None


def plans(stand: ResendStand, found: list[Record]) -> dict[str, rules.Plan]:
    """What the rules say of each record now."""
    now, longest = stand.time.now(), {cls.name: cls.latency_objective for cls in CLASSES}
    return {
        one.id: rules.plan_record(one, stand.rule, stand.terms, now, longest[one.class_name]) for one in found
    }


def records(stand: ResendStand) -> list[Record]:
    found = stand.store.page(RecordFilter(), limit=1000)
    assert not [one.fault for one in found if one.fault]
    return [one.record for one in found]


def step(stand: ResendStand, clients: list[Client], rng: random.Random, fresh: bool) -> None:
    """A fifth of a second of the clients' day: new messages, and copies of what they were told to bring."""
    now = stand.time.now()
    if fresh and rng.random() < 0.25 and stand.dispatcher.accepting:
        name = f"m{len(clients)}"
        client = Client(f"key-{name}", rng.randrange(3), rng.choice((1, 2)), [name])
        clients.append(client)
        hand_in(stand, client, name)
    for client in clients:
        if client.copy_at is not None and client.copy_at <= now and stand.dispatcher.accepting:
            client.copy_at = None
            name = f"{client.ids[0]}-{len(client.ids)}"
            client.ids.append(name)
            hand_in(stand, client, name)
    told = len(stand.answers)
    try:
        stand.run(0.2)
    finally:  # what was sent before a kill was heard
        for answer in stand.answers[told:]:
            hear(next(one for one in clients if answer.id in one.ids), answer, stand.time.now(), rng)
    stand.partner.run(stand.time.now())


def hear(client: Client, answer: Transaction, now: int, rng: random.Random) -> None:
    """A client that is told to bring its message again does so, mostly: late, early, or not at all."""
    told_again = client.hear(answer) and answer.ending is Ending.REJECTED and len(client.ids) < 4
    if told_again and rng.random() < 0.6:
        client.copy_at = now + answer.retry_after + int(rng.uniform(0, 12) * SECOND)


def died(clients: list[Client], now: int, rng: random.Random) -> None:
    """The dispatcher is gone: who has no answer may bring a copy, if a repeat does no harm."""
    for client in clients:
        waits = client.ids[-1] not in client.answered and len(client.ids) < 4
        if waits and client.cls != UNSAFE and client.copy_at is None and rng.random() < 0.3:
            client.copy_at = now + int(rng.uniform(1, 8) * SECOND)


def hand_in(stand: ResendStand, client: Client, name: str) -> None:
    one = Transaction(
        name, client.cls, client.dest, stand.time.time + 6 * SECOND, b"body", key=client.key, frontend="mqtt"
    )
    if not stand.dispatcher.submit(one).accepted:
        client.ids.remove(name)
        client.copy_at = stand.time.time + SECOND


@dataclass
class Day:
    """What one run showed."""

    clients: list[Client]
    stand: ResendStand
    partner: Partner
    kills: int
    steps: int

    def doubled(self) -> list[str]:
        """What was applied twice."""
        classes = {client.key: client.cls for client in self.clients}
        return [key for key, times in self.partner.ledger.items() if len(times) > 1 and classes[key] != SAFE]

    def unsettled(self) -> list[str]:
        """What the rules would still have resent, or what is on its way and does not end."""
        found = records(self.stand)
        told = plans(self.stand, found)
        moving = (rules.Step.RESEND, rules.Step.POSTPONE)
        return [
            f"{one.id} {one.status.value} {told[one.id].reason}"
            for one in found
            if one.status.value == "sending" or told[one.id].step in moving
        ]


def day(folder: Path, seed: int, kill_at: tuple[int, ...] = (), length: int = 200, quiet: int = 700) -> Day:
    """`length` steps in which all fail in mixed ways, and `quiet` in which the partners are well; killed at
    these steps of writing, each counted from the start before it.
    """
    rng, clock, partner = random.Random(seed), VirtualTime(), Partner()
    clients: list[Client] = []
    folder.mkdir(parents=True, exist_ok=True)
    kills, steps, at = list(kill_at), 0, 0
    while True:
        points = Points(kills.pop(0) if kills else -1)
        stand: ResendStand | None = None
        try:
            stand = ResendStand(folder, clock, partner, rng, points)
            while at < length + quiet:
                if at >= length:
                    stand.modes = ("deliver",)
                at += 1
                step(stand, clients, rng, fresh=at < length)
            steps += points.seen
            return Day(clients, stand, partner, len(kill_at) - len(kills), steps)
        except Killed:
            steps += points.seen
            assert stand is not None
            stand.gone()
            died(clients, clock.time, rng)
            clock.time += SECOND
