"""A receiver that fails in mixed ways and records what it applied, and clients that submit duplicates.

One run is a series of steps in virtual time, called a day, with a real dispatcher, journal and store. The
process is killed at points that the test chooses. Afterwards the receiver's ledger shows whether any message
was applied twice, and the store shows whether any message was not resent.
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
RESPONSE_MODES = (
    "deliver", "refuse", "reset-before", "reset-after", "late", "late-lost", "500-after", "500-before",
    "spoilt", "part",
)  # fmt: skip
# The modes in which the receiver applies all messages.
APPLYING_MODES = ("deliver", "reset-after", "500-after", "spoilt")
OUTCOME_OF_MODE = {
    "deliver": Outcome.DELIVERED,
    "refuse": Outcome.REJECTED,
    "late": Outcome.TIMEOUT,
    "late-lost": Outcome.TIMEOUT,
    "reset-before": Outcome.RESET,
    "reset-after": Outcome.RESET,
}  # the outcome of all other modes is ERROR
MAX_SUBMISSIONS = 4  # submissions of one client's message, including its duplicates
DEADLINE = 6 * SECOND
STEP_SECONDS = 0.2


@dataclass
class Receiver:
    """The receiver of the messages. Its ledger holds the times at which it applied each key.

    A repeat inside the deduplication window of its class is dropped. Any other repeat is applied, too.
    """

    ledger: dict[str, list[int]] = field(default_factory=dict)
    # Each item is a time, an order number, a key and a deduplication window.
    due: list[tuple[int, int, str, int]] = field(default_factory=list)
    sequence: int = 0

    def schedule_apply(self, apply_at: int, message: Transaction) -> None:
        """Schedule the message to be applied at a Unix time in nanoseconds."""
        self.sequence += 1
        window = CLASSES[message.class_index].deduplication_window
        heapq.heappush(self.due, (apply_at, self.sequence, message.key, window))

    def apply_due(self, now: int) -> None:
        """Apply the messages that are due at `now` (Unix time in nanoseconds)."""
        while self.due and self.due[0][0] <= now:
            apply_at, _, key, window = heapq.heappop(self.due)
            applied_at = self.ledger.setdefault(key, [])
            is_dropped = applied_at and window and apply_at < applied_at[0] + window
            if not is_dropped:
                applied_at.append(apply_at)


class ResendRig(DeadLetterRig):
    """A dispatcher with resend rules, and the receiver of its calls."""

    def __init__(
        self,
        folder: Path,
        time: VirtualTime,
        receiver: Receiver,
        rng: random.Random,
        kill_points: KillPoints | None = None,
        rules: tuple[Rule, ...] = (RULE,),
        resend_settings: ResendSettings = RESEND_SETTINGS,
        **rig_options: Any,
    ) -> None:
        self.receiver = receiver
        self.rng = rng
        self.rules = rules
        self.resend_settings = resend_settings
        self.modes: tuple[str, ...] = RESPONSE_MODES
        self.sent: list[Transaction] = []
        rig_options.setdefault("classes", CLASSES)
        rig_options.setdefault("max_messages", 50)
        super().__init__(folder, time, kill_points, **rig_options)

    def before_recovery(self) -> None:
        super().before_recovery()
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
        """Answer the call in a mode that is drawn at random from `modes`."""
        super().start(call)
        self.sent += call.messages
        mode = self.rng.choice(self.modes)
        elapsed = int(self.rng.uniform(0.01, 0.4) * SECOND)
        outcome = OUTCOME_OF_MODE.get(mode, Outcome.ERROR)
        now = self.time.time
        if mode == "late":
            for message in call.messages:
                self.receiver.schedule_apply(now + int(self.rng.uniform(0, 9) * SECOND), message)
        if outcome is Outcome.TIMEOUT:
            elapsed = call.timeout
        results = [outcome] * len(call.messages)
        for index, message in enumerate(call.messages):
            is_delivered_alone = mode == "part" and index % 2 == 0
            if mode in APPLYING_MODES or is_delivered_alone:
                self.receiver.schedule_apply(now + elapsed // 2, message)
            if is_delivered_alone:
                results[index] = Outcome.DELIVERED
        self.time.call_at(now + elapsed, lambda: self.end_call(call, results))

    def end_call(self, call: Call, outcomes: list[Outcome]) -> None:
        """End the call with one outcome for each of its messages."""
        results = [(outcome, outcome is Outcome.DELIVERED) for outcome in outcomes]
        self.dispatcher.call_ended(call, CallResult(results))


@dataclass
class Client:
    """A client with one message: the answers it received, and when it submits a duplicate."""

    key: str
    class_index: int
    destination: int
    ids: list[str]  # ids of the message and its duplicates
    endings: dict[str, Ending | None] = field(default_factory=dict)
    duplicate_at: int | None = None

    def receive(self, answer: Transaction) -> bool:
        """Record a final answer, and return whether it is the first one for its message.

        After a kill an answer may be repeated, and must have the same ending.
        """
        assert self.endings.get(answer.id, answer.ending) is answer.ending, f"{answer.id}: answers differ"
        is_first_answer = answer.id not in self.endings
        self.endings[answer.id] = answer.ending
        return is_first_answer


def plans_of(rig: ResendRig, records: list[Record]) -> dict[str, Plan]:
    """Return the plan that the rules make now for each record, by message id."""
    now = rig.time.now()
    durations = {message_class.name: message_class.latency_objective for message_class in CLASSES}
    return {
        record.id: plan_record(record, rig.rules, rig.resend_settings, now, durations[record.class_name])
        for record in records
    }


def stored_records(rig: ResendRig) -> list[Record]:
    """Return all records of the store; fail if one was altered on disk."""
    stored_page = rig.store.page(RecordFilter(), limit=1000)
    assert not [stored.fault for stored in stored_page if stored.fault]
    return [stored.record for stored in stored_page]


def run_step(rig: ResendRig, clients: list[Client], rng: random.Random, new_messages: bool) -> None:
    """Run STEP_SECONDS in which clients submit new messages, and duplicates of rejected ones."""
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
        rig.advance(STEP_SECONDS)
    finally:  # clients receive the answers that were sent before a kill
        for answer in rig.answers[answers_before:]:
            client = next(client for client in clients if answer.id in client.ids)
            receive_answer(client, answer, rig.time.now(), rng)
    rig.receiver.apply_due(rig.time.now())


def receive_answer(client: Client, answer: Transaction, now: int, rng: random.Random) -> None:
    """Deliver an answer to its client. After a rejection the client usually schedules a duplicate.

    The duplicate follows up to 12 seconds after the Retry-After time, or is never submitted.
    """
    is_first_answer = client.receive(answer)
    may_repeat = is_first_answer and answer.ending is Ending.REJECTED and len(client.ids) < MAX_SUBMISSIONS
    if may_repeat and rng.random() < 0.6:
        client.duplicate_at = now + answer.retry_after + int(rng.uniform(0, 12) * SECOND)


def reconsider_after_kill(clients: list[Client], now: int, rng: random.Random) -> None:
    """Let some clients without an answer schedule a duplicate after a kill, if a repeat is harmless."""
    for client in clients:
        is_unanswered = client.ids[-1] not in client.endings and len(client.ids) < MAX_SUBMISSIONS
        may_repeat = client.class_index != UNSAFE and client.duplicate_at is None
        if is_unanswered and may_repeat and rng.random() < 0.3:
            client.duplicate_at = now + int(rng.uniform(1, 8) * SECOND)


def submit(rig: ResendRig, client: Client, name: str) -> None:
    """Submit the client's message with the id `name`; if it is not accepted, schedule it a second later."""
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
    """The result of one run."""

    clients: list[Client]
    rig: ResendRig
    receiver: Receiver
    kills: int
    kill_point_count: int  # points passed at which the process could be killed

    def applied_twice(self) -> list[str]:
        """Return the keys that were applied twice although a repeat is harmful."""
        classes = {client.key: client.class_index for client in self.clients}
        return [key for key, times in self.receiver.ledger.items() if len(times) > 1 and classes[key] != SAFE]

    def unresolved(self) -> list[str]:
        """Describe the records that the rules would still resend, or whose resend has not ended."""
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
    """Run steps in which the receiver fails in mixed ways, and then steps in which it is healthy.

    The process is killed at the points `kill_at`; each is counted from the preceding start of the process.
    """
    rng = random.Random(seed)
    clock = VirtualTime()
    receiver = Receiver()
    clients: list[Client] = []
    folder.mkdir(parents=True, exist_ok=True)
    kills = list(kill_at)
    kill_point_count = 0
    step = 0
    while True:
        kill_points = KillPoints(kills.pop(0) if kills else NEVER_KILLED)
        rig: ResendRig | None = None
        try:
            rig = ResendRig(folder, clock, receiver, rng, kill_points)
            while step < failing_steps + healthy_steps:
                if step >= failing_steps:
                    rig.modes = ("deliver",)
                step += 1
                run_step(rig, clients, rng, new_messages=step < failing_steps)
            kill_point_count += kill_points.count
            return DayResult(clients, rig, receiver, len(kill_at) - len(kills), kill_point_count)
        except Killed:
            kill_point_count += kill_points.count
            assert rig is not None
            rig.close_as_killed()
            reconsider_after_kill(clients, clock.time, rng)
            clock.time += SECOND
