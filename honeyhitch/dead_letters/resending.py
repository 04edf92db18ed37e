"""Resends what the rules allow: from the store through the journal and the one Brain, and back to the store.

No I/O of its own: the store's work is submitted to its thread, the clock is the dispatcher's. Every step is
written down before the next one, and may be repeated after a kill:

1. the resend is written to the journal, under an id that follows from the record;
2. the store claims the record for it (`sending`), or says that it must not go out;
3. the module gets it, behind live traffic;
4. its end is written to the journal, then to the record, and then it leaves the journal.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from honeyhitch import logs
from honeyhitch.dead_letters import resends
from honeyhitch.dead_letters.duplicate_index import DuplicateIndex, Key
from honeyhitch.dead_letters.pacing import Pacing, Rates
from honeyhitch.dead_letters.records import Record
from honeyhitch.dead_letters.resends import Candidate, Known
from honeyhitch.dead_letters.settings import DeadLetterSettings, Rule
from honeyhitch.dead_letters.store import Store
from honeyhitch.dead_letters.worker import Done, Job
from honeyhitch.dispatcher.admission import BUSY_RETRY_AFTER
from honeyhitch.dispatcher.dispatcher import Dispatcher
from honeyhitch.dispatcher.ports import ArrivalDecision, Scheduler
from honeyhitch.journal.transactions import RESEND_FRONTEND, Ending, Transaction
from honeyhitch.policy.events import Outcome
from honeyhitch.policy.health import destination_health
from honeyhitch.policy.settings import DeduplicationScope, Idempotency

log = logs.get()
SECOND = 10**9  # ns
TICK = SECOND // 5  # ns between looks at what may be sent
REFRESH = 5 * SECOND  # ns after which the store is asked for what is due, also where nothing is known to be
AGAIN, MOST_AGAIN = SECOND, 60 * SECOND  # ns between tries to write an end while the store fails
AT_ONCE = 64  # destinations looked at in one tick
ENDLESS = 1 << 62  # ns of health, for a single try of a sick partner
SOON = 50_000_000  # ns before its deadline at which a copy that waits is answered


def known_of(record: Record) -> Known:
    """What copies need to know of a record."""
    told = {name: getattr(record, name) for name in Known.__dataclass_fields__}
    return Known(**{**told, "standing": record.standing.value})


class ResendScheduler:
    """The front that hands resends in, and the guard between them and the clients' copies."""

    def __init__(
        self,
        setup: DeadLetterSettings,
        dispatcher: Dispatcher,
        scheduler: Scheduler,
        submit: Callable[[Job, Done], bool],
    ) -> None:
        self.dispatcher, self.scheduler, self.submit = dispatcher, scheduler, submit
        self.rules, self.terms = setup.rules, setup.terms
        self.most_records = setup.limits.count
        settings = dispatcher.settings
        self.longest = {
            name: cls.latency_objective
            for name, cls in zip(settings.class_names, settings.classes, strict=True)
        }
        self.copies, self.rates = DuplicateIndex(self.terms.memory), Rates()
        self.pacing = Pacing(self.terms.share, settings.max_concurrent_calls)
        self.under_way: dict[str, Transaction] = {}  # resends from the journal's record to the store's
        self.parked: dict[Key, list[Transaction]] = {}  # clients' copies that wait for one
        self.waiting: dict[int, int] = {}  # destinations with records, and when the first is due
        self.turn: list[int] = []  # destinations in the order in which they are looked at
        self.loaded = self.asking = False
        self.refresh_at, self.again = 0, AGAIN
        dispatcher.frontends[RESEND_FRONTEND] = self
        dispatcher.resend_coordinator = self

    # The start, and new rules.

    def begin(self, ready: Callable[[], None]) -> None:
        """Learn what is kept; `ready` is called once that is known, or cannot be."""
        held = self.dispatcher.messages
        for one in (*held.by_id.values(), *held.pending_dead_letters.values()):
            if one.frontend != RESEND_FRONTEND and (
                one.ending is None or (one.is_dead_letter and not one.dead_letter_stored)
            ):
                self.copies.count(one)
        there, now = frozenset(held.by_id), self.scheduler.now()

        def job(store: Store) -> tuple[DuplicateIndex, dict[int, int], int]:
            count = resends.lost(store, there, now)
            resends.replan_all(store)
            known = DuplicateIndex.of(resends.known(store, now), store.terms.memory)
            return known, resends.waiting(store), count

        def done(result: Any) -> None:
            if isinstance(result, Exception):
                log.error("dead-letter.index-not-loaded", error=str(result), key=str(result))
                self.scheduler.call_at(self.scheduler.now() + MOST_AGAIN, lambda: self.begin(lambda: None))
            else:
                known, self.waiting, count = result
                self.copies.load(known)
                self.loaded = True
                if count:
                    log.warning("dead-letter.resends-lost", count=count)
                self._tick()
            ready()

        if not self.submit(job, done):
            done(RuntimeError("the queue to the store is full"))

    def replace_rules(self, rules: tuple[Rule, ...]) -> None:
        """New rules: they hold for what begins from now on; what is on its way comes to its end."""
        self.rules = rules
        self.submit(resends.replan_all, lambda _: self.look_soon())

    def look_soon(self) -> None:
        """Something is new in the store."""
        self.refresh_at = 0

    # What may be sent.

    def _tick(self) -> None:
        now = self.scheduler.now()
        self.scheduler.call_at(now + TICK, self._tick)
        self.copies.forget(now, 2 * self.most_records)
        self._look()

    def _look(self) -> None:
        now = self.scheduler.now()
        if not self.loaded or self.asking or self.dispatcher.draining or not self.dispatcher.accepting:
            return
        wanted = self._wanted(now)
        if not wanted and now < self.refresh_at:
            return
        self.asking, self.refresh_at = True, now + REFRESH
        rules, longest = self.rules, self.longest

        def job(store: Store) -> tuple[list[Candidate], dict[int, int]]:
            found = resends.due(store, wanted, rules, longest, now)
            return found, resends.waiting(store)

        if not self.submit(job, self._found):
            self.asking = False

    def _wanted(self, now: int) -> dict[int, tuple[int, int]]:
        """For which destinations resends may begin, how many, and for how long each has been healthy."""
        if len(self.turn) < AT_ONCE or not self.turn:
            self.turn += sorted(self.waiting.keys() - set(self.turn))
        looked_at, self.turn = self.turn[:AT_ONCE], self.turn[AT_ONCE:]
        wanted: dict[int, tuple[int, int]] = {}
        left = self.pacing.most - self.pacing.out
        for destination in looked_at:
            stands = destination_health(self.dispatcher.policy, destination, now)
            room = min(left, self.pacing.room(destination, stands, now))
            if room > 0 and self.waiting.get(destination, ENDLESS) <= now:
                healthy = ENDLESS if stands.unhealthy else self.pacing.healthy(destination, now)
                wanted[destination] = (room, healthy)
                left -= room
        return wanted

    def _found(self, result: Any) -> None:
        self.asking = False
        if isinstance(result, Exception):
            log.error("dead-letter.store-failed", error=str(result), key=str(result))
            return
        found, self.waiting = result
        now = self.scheduler.now()
        for candidate in found:
            self._start(candidate, now)

    def _start(self, candidate: Candidate, now: int) -> None:
        record, rule = candidate.record, candidate.rule
        if record.key and self.copies.blocked((record.destination, record.key)):
            return self._later(record, now + SECOND)
        stands = destination_health(self.dispatcher.policy, record.destination, now)
        if not self.pacing.room(record.destination, stands, now):
            return  # it has changed meanwhile; the record is still due
        if not self.rates.take(rule.name, rule.rate, now):
            return self._later(record, now + int(SECOND / rule.rate))
        made = resends.transaction(candidate, self.dispatcher.settings, now)
        if not self.dispatcher.submit_resend(made):
            return self._later(record, now + SECOND)
        log.info("dead-letter.resent", message=record.id, resend=made.id, rule=rule.name, key=rule.name)
        self._under_way(made, now)
        self._claim(made)

    def _later(self, record: Record, at: int) -> None:
        self.submit(lambda store: resends.later(store, record.seq, at), lambda _: None)

    def _under_way(self, made: Transaction, now: int) -> None:
        self.under_way[made.id] = made
        self.copies.sending(made, now)
        self.pacing.began(made.destination, now)

    def _claim(self, made: Transaction) -> None:
        rules, longest, now = self.rules, self.longest, self.scheduler.now()

        def done(result: Any) -> None:
            if made.ending is not None:  # called off meanwhile
                return
            if isinstance(result, Record):
                made.earlier_execution = resends.past_of(result)
                self.dispatcher.release(made)
                return
            if isinstance(result, Exception):  # it may have been claimed all the same: its end is written
                log.error("dead-letter.claim-failed", resend=made.id, error=str(result), key=str(result))
            self.dispatcher.conclude(made, Ending.REJECTED)

        def job(store: Store) -> Record | None:
            return resends.claim(store, int(made.reply_context), made.id, rules, longest, now)

        if not self.submit(job, done):
            self.dispatcher.conclude(made, Ending.REJECTED)

    # As a front: the end of a resend.

    def answer(self, transaction: Transaction) -> None:
        """Write the end into the record; only then it leaves the journal."""
        if transaction.id not in self.under_way:  # from before a start
            self._under_way(transaction, self.scheduler.now())

        def done(result: Any) -> None:
            if isinstance(result, Exception):
                log.error("dead-letter.store-failed", error=str(result), key=str(result))
                self.scheduler.call_at(self.scheduler.now() + self.again, lambda: self.answer(transaction))
                self.again = min(2 * self.again, MOST_AGAIN)
                return
            self.again = AGAIN
            self._finished(transaction, result)

        if not self.submit(lambda store: resends.finish(store, transaction), done):
            done(RuntimeError("the queue to the store is full"))

    def _finished(self, transaction: Transaction, record: Record | None) -> None:
        del self.under_way[transaction.id]
        self.pacing.ended(transaction.destination)
        self.copies.sent(transaction, known_of(record) if record is not None else None)
        self.dispatcher.answer_sent(transaction)
        if not self.under_way:  # the next ones need not wait for the tick
            self.scheduler.call_at(self.scheduler.now(), self._look)
        key = self.copies.key(transaction)
        for copy in self.parked.pop(key, []) if key is not None else ():
            if transaction.ending is Ending.DELIVERED:
                self.dispatcher.conclude(copy, Ending.DELIVERED)
            else:
                case = self.copies.case(copy, self.scheduler.now())
                copy.earlier_execution = case.first if case is not None and case.resent else None
                self.dispatcher.release(copy)

    # As the guard.

    def decide_arrival(self, transaction: Transaction) -> ArrivalDecision:
        """A client handed it in; one that must wait for a resend is parked."""
        now = self.scheduler.now()
        came = self.copies.came(transaction, now)
        key = self.copies.key(transaction)
        if came is ArrivalDecision.WAIT and key is not None:
            self.parked.setdefault(key, []).append(transaction)
            at = max(now, transaction.deadline - SOON - 2 * self.dispatcher.settings.resolution)
            self.scheduler.call_at(at, lambda: self._late(transaction))
            for made in list(self.under_way.values()):
                if self.copies.key(made) == key:
                    self._call_off(made)
        return came

    def recover_resend(self, transaction: Transaction) -> None:
        """A resend that the journal still holds after a start: claimed or not, the store says."""
        self._under_way(transaction, self.scheduler.now())
        self._claim(transaction)

    def _call_off(self, made: Transaction) -> None:
        """A client brings it itself: that goes first, unless an attempt is out."""
        if made.id not in self.dispatcher.calls_in_flight:
            never = made.first_possible_execution() is None
            self.dispatcher.conclude(made, Ending.REJECTED if never else Ending.FAILED)

    def _late(self, transaction: Transaction) -> None:
        """A copy is out of time while the resend is still out: it takes what can be said of that."""
        key = self.copies.key(transaction)
        if key is None or transaction not in self.parked.get(key, ()):
            return
        self.parked[key].remove(transaction)
        cls = self.dispatcher.settings.classes[transaction.class_index]
        keyed = (
            cls.idempotency is Idempotency.IDEMPOTENCY_KEY
            and cls.deduplication_scope is DeduplicationScope.ALL
        )
        if cls.idempotency is Idempotency.IDEMPOTENT or keyed:
            self.dispatcher.conclude(transaction, Ending.REJECTED, BUSY_RETRY_AFTER)
        else:
            self.dispatcher.conclude(transaction, Ending.FAILED)

    def attempt_ended(self, transaction: Transaction, outcome: Outcome) -> None:
        """One attempt of whatever message is over."""
        if outcome is Outcome.DELIVERED:
            self.pacing.passed(transaction.destination)
        key = self.copies.key(transaction)
        if transaction.frontend == RESEND_FRONTEND and transaction.ending is None and key in self.parked:
            self._call_off(transaction)

    def message_concluded(self, transaction: Transaction) -> None:
        """How it ends is decided; what the store gets counts until it is there."""
        if transaction.frontend != RESEND_FRONTEND and not (
            transaction.is_dead_letter and not transaction.dead_letter_stored
        ):
            self.copies.gone(transaction)
            key = self.copies.key(transaction)
            if key is not None and transaction in self.parked.get(key, ()):  # withdrawn
                self.parked[key].remove(transaction)

    def dead_letter_stored(self, transaction: Transaction) -> None:
        """The store has it, or it was let go."""
        self.copies.gone(transaction)
        self.look_soon()

    def settles_dead_letter(self, transaction: Transaction) -> bool:
        """Whether the delivery of a client's message settles what is kept."""
        key = self.copies.key(transaction)
        others = key is not None and self.copies.live.get(key, 0) > 1  # one may wait for the store
        return others or self.copies.case(transaction, self.scheduler.now()) is not None

    def figures(self) -> dict[str, Any]:
        """How it stands, for people."""
        return {
            "loaded": self.loaded,
            "resends_out": len(self.under_way),
            "copies_waiting": sum(map(len, self.parked.values())),
            "destinations_due": len(self.waiting),
        }

    def kept(self, records: list[Record]) -> None:
        """The store has these now."""
        for record in records:
            if record.seq:
                self.copies.note(known_of(record))
