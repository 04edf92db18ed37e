"""A receiver that fails in mixed ways, with a ledger of what it applied, and clients that send duplicates.

One run is a day in virtual time with a real dispatcher, journal and store, killed at random steps. Afterwards
the ledgers tell whether anything was applied twice, and the store whether anything was not resent.
"""

from __future__ import annotations

import dataclasses
import heapq
import random
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from honeyhitch.dead_letters.filters import RecordFilter
from honeyhitch.dead_letters.records import Record, RecordStatus
from honeyhitch.dead_letters.resend_scheduler import ResendScheduler
from honeyhitch.dead_letters.rules import Plan, Step, plan_record
from honeyhitch.dead_letters.settings import Action, DeadLetterSettings, ResendSettings, Rule
from honeyhitch.dispatcher.delivery import Call, CallResult
from honeyhitch.journal.transactions import Ending, Transaction
from honeyhitch.policy.events import Outcome
from honeyhitch.policy.settings import Idempotency

from .dead_letters_rig import NEVER_KILLED, DeadLetterRig, Killed, KillPoints
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
RESEND_SETTINGS = ResendSettings(client_retry_grace=8 * SECOND, duplicates_elsewhere=False)
FAILURE_MODES = (
    "deliver", "refuse", "reset-before", "reset-after", "late", "late-lost", "500-after", "500-before",
    "spoilt", "part",
)  # fmt: skip
APPLYING_MODES = ("deliver", "reset-after", "500-after", "spoilt")  # the receiver applies all messages
OUTCOME_OF_MODE = {
    "deliver": Outcome.DELIVERED,
    "refuse": Outcome.REJECTED,
    "late": Outcome.TIMEOUT,
    "late-lost": Outcome.TIMEOUT,
    "reset-before": Outcome.RESET,
    "reset-after": Outcome.RESET,
}  # all others are errors
MAX_SUBMISSIONS = 4  # of a client's message, its duplicates included
DEADLINE = 6 * SECOND
STEP_SECONDS = 0.2


@dataclass
class Partner:
    """The receiver's ledger: when it applied each key.

    A keyed repeat inside the deduplication window is dropped; any other is noted again.
    """

    ledger: dict[str, list[int]] = field(default_factory=dict)
    due: list[tuple[int, int, str, int]] = field(default_factory=list)  # when, order, key, window
    sequence: int = 0

    def schedule_apply(self, when: int, message: Transaction) -> None:
        """Apply the message at this time."""
        self.sequence += 1
        window = CLASSES[message.class_index].deduplication_window
        heapq.heappush(self.due, (when, self.sequence, message.key, window))

    def apply_due(self, now: int) -> None:
        """Apply what is due."""
        while self.due and self.due[0][0] <= now:
            when, _, key, window = heapq.heappop(self.due)
            applied = self.ledger.setdefault(key, [])
            is_dropped = applied and window and when < applied[0] + window
            if not is_dropped:
                applied.append(when)


class ResendRig(DeadLetterRig):
    """A dispatcher with resend rules, and the receiver of its calls."""

    def __init__(
        self,
        folder: Path,
        time: VirtualTime,
        partner: Partner,
        rng: random.Random,
        kill_points: KillPoints | None = None,
        rules: tuple[Rule, ...] = (RULE,),
        resend_settings: ResendSettings = RESEND_SETTINGS,
        **more: Any,
    ) -> None:
        self.partner = partner
        self.rng = rng
        self.rules = rules
        self.resend_settings = resend_settings
        self.modes: tuple[str, ...] = FAILURE_MODES
        self.sent: list[Transaction] = []
        more.setdefault("classes", CLASSES)
        more.setdefault("max_messages", 50)
        super().__init__(folder, time, kill_points, **more)

    def prepare(self) -> None:
        super().prepare()
        settings = DeadLetterSettings(rules=self.rules, resend_settings=self.resend_settings)
        self.resend_scheduler = ResendScheduler(settings, self.dispatcher, self.time, self.worker.submit)
        self.journal_transfer.stored_listeners.append(self.resend_scheduler.records_stored)
        self.dispatcher.accepting = False

    def resume(self) -> None:
        def on_ready() -> None:
            self.dispatcher.accepting = True
            self.dispatcher.recover()

        self.resend_scheduler.load(on_ready)

    def start(self, call: Call) -> None:
        """Answer the call in one of the modes, drawn at random."""
        super().start(call)
        self.sent += call.messages
        mode = self.rng.choice(self.modes)
        elapsed = int(self.rng.uniform(0.01, 0.4) * SECOND)
        outcome = OUTCOME_OF_MODE.get(mode, Outcome.ERROR)
        now = self.time.time
        if mode == "late":
            for message in call.messages:
                self.partner.schedule_apply(now + int(self.rng.uniform(0, 9) * SECOND), message)
        if outcome is Outcome.TIMEOUT:
            elapsed = call.timeout
        results = [outcome] * len(call.messages)
        for index, message in enumerate(call.messages):
            is_delivered_alone = mode == "part" and index % 2 == 0
            if mode in APPLYING_MODES or is_delivered_alone:
                self.partner.schedule_apply(now + elapsed // 2, message)
            if is_delivered_alone:
                results[index] = Outcome.DELIVERED
        self.time.call_at(now + elapsed, lambda: self.end_call(call, results))

    def end_call(self, call: Call, outcomes: list[Outcome]) -> None:
        """End the call with an outcome for each of its messages."""
        results = [(outcome, outcome is Outcome.DELIVERED) for outcome in outcomes]
        self.dispatcher.call_ended(call, CallResult(results))


@dataclass
class Client:
    """What one client knows of its message, and when it submits a duplicate."""

    key: str
    class_index: int
    destination: int
    ids: list[str]  # of the message and its duplicates
    answered: dict[str, Ending | None] = field(default_factory=dict)
    duplicate_at: int | None = None

    def receive(self, answer: Transaction) -> bool:
        """Take a final answer; whether it is the first. After a kill it may come again, and is the same."""
        assert self.answered.get(answer.id, answer.ending) is answer.ending, f"{answer.id}: two answers"
        is_first = answer.id not in self.answered
        self.answered[answer.id] = answer.ending
        return is_first


def plans_of(rig: ResendRig, records: list[Record]) -> dict[str, Plan]:
    """What the rules say of each record now."""
    now = rig.time.now()
    durations = {message_class.name: message_class.latency_objective for message_class in CLASSES}
    return {
        record.id: plan_record(record, rig.rules, rig.resend_settings, now, durations[record.class_name])
        for record in records
    }


def stored_records(rig: ResendRig) -> list[Record]:
    """All records of the store, none of which may be altered."""
    found = rig.store.page(RecordFilter(), limit=1000)
    assert not [stored.fault for stored in found if stored.fault]
    return [stored.record for stored in found]


def run_step(rig: ResendRig, clients: list[Client], rng: random.Random, new_messages: bool) -> None:
    """A fifth of a second of the clients' day: new messages, and duplicates of rejected ones."""
    now = rig.time.now()
    if new_messages and rng.random() < 0.25 and rig.dispatcher.accepting:
        name = f"m{len(clients)}"
        client = Client(f"key-{name}", rng.randrange(3), rng.choice((1, 2)), [name])
        clients.append(client)
        submit(rig, client, name)
    for client in clients:
        if client.duplicate_at is not None and client.duplicate_at <= now and rig.dispatcher.accepting:
            client.duplicate_at = None
            name = f"{client.ids[0]}-{len(client.ids)}"
            client.ids.append(name)
            submit(rig, client, name)
    answers_before = len(rig.answers)
    try:
        rig.run(STEP_SECONDS)
    finally:  # clients receive what was sent before a kill
        for answer in rig.answers[answers_before:]:
            client = next(client for client in clients if answer.id in client.ids)
            receive_answer(client, answer, rig.time.now(), rng)
    rig.partner.apply_due(rig.time.now())


def receive_answer(client: Client, answer: Transaction, now: int, rng: random.Random) -> None:
    """A client whose message was rejected mostly submits it again: late, early, or not at all."""
    is_first = client.receive(answer)
    may_repeat = is_first and answer.ending is Ending.REJECTED and len(client.ids) < MAX_SUBMISSIONS
    if may_repeat and rng.random() < 0.6:
        client.duplicate_at = now + answer.retry_after + int(rng.uniform(0, 12) * SECOND)


def reconsider_after_kill(clients: list[Client], now: int, rng: random.Random) -> None:
    """After a kill, a client without an answer may submit a duplicate if a repeat does no harm."""
    for client in clients:
        waits = client.ids[-1] not in client.answered and len(client.ids) < MAX_SUBMISSIONS
        may_repeat = client.class_index != UNSAFE and client.duplicate_at is None
        if waits and may_repeat and rng.random() < 0.3:
            client.duplicate_at = now + int(rng.uniform(1, 8) * SECOND)


def submit(rig: ResendRig, client: Client, name: str) -> None:
    """Submit the client's message under this id; if it is not accepted, again a second later."""
    message = Transaction(
        name,
        client.class_index,
        client.destination,
        rig.time.time + DEADLINE,
        b"body",
        key=client.key,
        frontend="mqtt",
    )
    if not rig.dispatcher.submit(message).accepted:
        client.ids.remove(name)
        client.duplicate_at = rig.time.time + SECOND


@dataclass
class DayResult:
    """What one run showed."""

    clients: list[Client]
    rig: ResendRig
    partner: Partner
    kills: int
    steps: int  # points at which a kill could strike

    def applied_twice(self) -> list[str]:
        """The keys that were applied twice although a repeat does harm."""
        classes = {client.key: client.class_index for client in self.clients}
        return [key for key, times in self.partner.ledger.items() if len(times) > 1 and classes[key] != SAFE]

    def unresolved(self) -> list[str]:
        """What the rules would still have resent, or whose resend does not end."""
        records = stored_records(self.rig)
        plans = plans_of(self.rig, records)
        return [
            f"{record.id} {record.status.value} {plans[record.id].reason}"
            for record in records
            if record.status is RecordStatus.RESENDING
            or plans[record.id].step in (Step.RESEND, Step.POSTPONE)
        ]


def run_day(
    folder: Path, seed: int, kill_at: tuple[int, ...] = (), failing_steps: int = 200, healthy_steps: int = 700
) -> DayResult:
    """Steps in which the receiver fails in mixed ways, and then steps in which it is healthy.

    The process is killed at the points `kill_at`, each counted from the start before it.
    """
    rng = random.Random(seed)
    clock = VirtualTime()
    partner = Partner()
    clients: list[Client] = []
    folder.mkdir(parents=True, exist_ok=True)
    kills = list(kill_at)
    points_passed = 0
    step = 0
    while True:
        kill_points = KillPoints(kills.pop(0) if kills else NEVER_KILLED)
        rig: ResendRig | None = None
        try:
            rig = ResendRig(folder, clock, partner, rng, kill_points)
            while step < failing_steps + healthy_steps:
                if step >= failing_steps:
                    rig.modes = ("deliver",)
                step += 1
                run_step(rig, clients, rng, new_messages=step < failing_steps)
            points_passed += kill_points.count
            return DayResult(clients, rig, partner, len(kill_at) - len(kills), points_passed)
        except Killed:
            points_passed += kill_points.count
            assert rig is not None
            rig.close_as_killed()
            reconsider_after_kill(clients, clock.time, rng)
            clock.time += SECOND
