"""Resends the dead letters that the rules allow, and coordinates the resends with clients' duplicates.

The scheduler does no I/O itself: it submits the store's work to the store's thread and uses the dispatcher's
clock. Each step is made durable before the next one starts, and may be repeated after the process was killed
(docs/design/undelivered.md):

1. the dispatcher writes the resend to the journal, under an id that is derived from the record;
2. the store claims the record for the resend (status `sending`), or refuses the resend;
3. the policy schedules the resend at low priority;
4. the resend's ending is written to the journal and then to the record; after that the resend is removed from
   the journal.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from honeyhitch import logs
from honeyhitch.dead_letters import resend_store
from honeyhitch.dead_letters.duplicate_index import DuplicateIndex, DuplicateKey
from honeyhitch.dead_letters.pacing import ResendPacing, RuleRates
from honeyhitch.dead_letters.records import Record
from honeyhitch.dead_letters.resend_store import (
    DestinationDemand,
    KeyedRecord,
    ResendCandidate,
    ResendRules,
)
from honeyhitch.dead_letters.settings import DeadLetterSettings, Rule
from honeyhitch.dead_letters.store import Store
from honeyhitch.dead_letters.worker import Job, JobCallback
from honeyhitch.dispatcher.admission import BUSY_RETRY_AFTER
from honeyhitch.dispatcher.dispatcher import Dispatcher
from honeyhitch.dispatcher.ports import ArrivalDecision, Scheduler
from honeyhitch.journal.transactions import RESEND_FRONTEND, Ending, Transaction
from honeyhitch.policy.events import Outcome
from honeyhitch.policy.health import destination_health
from honeyhitch.policy.settings import DeduplicationScope, Idempotency
from honeyhitch.time_units import MILLISECOND, NEVER, SECOND

log = logs.get_logger()
POLL_INTERVAL = SECOND // 5  # between checks for resends that may start
# Longest time between queries of the store, even if no record is known to be due.
REFRESH_INTERVAL = 5 * SECOND
MIN_RETRY_PAUSE = SECOND  # between attempts to write a resend's ending while the store fails
MAX_RETRY_PAUSE = 60 * SECOND
DESTINATIONS_PER_POLL = 64
UNLIMITED = NEVER  # healthy duration in ns that satisfies every rule, so that a single resend may probe
ANSWER_LEAD_TIME = 50 * MILLISECOND  # how long before its deadline a waiting duplicate is answered
QUEUE_FULL = "the queue to the store is full"


def _awaits_store(transaction: Transaction) -> bool:
    return transaction.is_dead_letter and not transaction.dead_letter_stored


class ResendScheduler:
    """The frontend that submits resends, and the ResendCoordinator of resends and clients' duplicates."""

    def __init__(
        self,
        settings: DeadLetterSettings,
        dispatcher: Dispatcher,
        scheduler: Scheduler,
        submit: Callable[[Job, JobCallback], bool],
    ) -> None:
        self.dispatcher = dispatcher
        self.scheduler = scheduler
        self.submit = submit
        self.rules = settings.rules
        self.max_records = settings.limits.max_records
        policy_settings = dispatcher.settings
        # By class name: the time in nanoseconds that a resend is expected to take.
        self.resend_durations = {
            name: message_class.latency_objective
            for name, message_class in zip(policy_settings.class_names, policy_settings.classes, strict=True)
        }
        self.duplicates = DuplicateIndex(settings.resend_settings.duplicate_retention)
        self.rule_rates = RuleRates()
        capacity_fraction = settings.resend_settings.capacity_fraction
        self.pacing = ResendPacing(capacity_fraction, policy_settings.max_concurrent_calls)
        # By id: resends that are in the journal and whose ending is not yet in the store.
        self.resends_in_progress: dict[str, Transaction] = {}
        # Each waits for a resend with its key.
        self.waiting_duplicates: dict[DuplicateKey, list[Transaction]] = {}
        self.due_at: dict[int, int] = {}  # by destination: when the first scheduled record is due
        self.rotation: list[int] = []  # destinations in the order in which they are polled
        self.loaded = False
        self.query_pending = False
        self.refresh_at = 0
        self.retry_pause = MIN_RETRY_PAUSE
        dispatcher.frontends[RESEND_FRONTEND] = self
        dispatcher.resend_coordinator = self

    # Start and change of rules.

    def load(self, on_ready: Callable[[], None]) -> None:
        """Load the state of the store. `on_ready` is called when loading has succeeded or failed."""
        messages = self.dispatcher.messages
        for transaction in (*messages.by_id.values(), *messages.pending_dead_letters.values()):
            is_live = transaction.ending is None or _awaits_store(transaction)
            if transaction.frontend != RESEND_FRONTEND and is_live:
                self.duplicates.add_live(transaction)
        journaled_ids = frozenset(messages.by_id)
        now = self.scheduler.now()

        def job(store: Store) -> tuple[DuplicateIndex, dict[int, int], int]:
            lost_count = resend_store.release_lost_resends(store, journaled_ids)
            resend_store.schedule_all(store)
            keyed_records = resend_store.keyed_records(store, now)
            index = DuplicateIndex.from_records(keyed_records, store.resend_settings.duplicate_retention)
            return index, resend_store.due_by_destination(store), lost_count

        def on_done(result: Any) -> None:
            self._on_loaded(result)
            on_ready()

        if not self.submit(job, on_done):
            on_done(RuntimeError(QUEUE_FULL))

    def _on_loaded(self, result: Any) -> None:
        if isinstance(result, Exception):
            log.error("dead-letter.index-not-loaded", error=str(result), key=str(result))
            retry_at = self.scheduler.now() + MAX_RETRY_PAUSE
            self.scheduler.call_at(retry_at, lambda: self.load(lambda: None))
            return
        stored_index, self.due_at, lost_count = result
        self.duplicates.merge(stored_index)
        self.loaded = True
        if lost_count:
            log.warning("dead-letter.resends-lost", count=lost_count)
        self._poll()

    def replace_rules(self, rules: tuple[Rule, ...]) -> None:
        """Apply new rules to the resends that start from now on. Resends in progress run to their end."""
        self.rules = rules
        self.submit(resend_store.schedule_all, lambda _: self.refresh_soon())

    def refresh_soon(self) -> None:
        """Query the store at the next poll, because it holds new or changed records."""
        self.refresh_at = 0

    # Selection and start of resends.

    def _poll(self) -> None:
        now = self.scheduler.now()
        self.scheduler.call_at(now + POLL_INTERVAL, self._poll)
        self.duplicates.expire(now, 2 * self.max_records)
        self._query_due()

    def _query_due(self) -> None:
        """Query the store for due records, unless a query is pending or no resend may start."""
        now = self.scheduler.now()
        accepting = self.dispatcher.accepting and not self.dispatcher.draining
        if not self.loaded or self.query_pending or not accepting:
            return
        demand = self._demand(now)
        if not demand and now < self.refresh_at:
            return
        self.query_pending = True
        self.refresh_at = now + REFRESH_INTERVAL
        rules = self._resend_rules()

        def job(store: Store) -> tuple[list[ResendCandidate], dict[int, int]]:
            candidates = resend_store.due_candidates(store, demand, rules, now)
            return candidates, resend_store.due_by_destination(store)

        if not self.submit(job, self._on_due_candidates):
            self.query_pending = False

    def _resend_rules(self) -> ResendRules:
        return ResendRules(self.rules, self.resend_durations)

    def _demand(self, now: int) -> dict[int, DestinationDemand]:
        """Return, for the next destinations in the rotation, how many resends may start, if any."""
        if len(self.rotation) < DESTINATIONS_PER_POLL or not self.rotation:
            self.rotation += sorted(self.due_at.keys() - set(self.rotation))
        polled = self.rotation[:DESTINATIONS_PER_POLL]
        self.rotation = self.rotation[DESTINATIONS_PER_POLL:]
        demand: dict[int, DestinationDemand] = {}
        remaining = self.pacing.max_concurrent_resends - self.pacing.resends_in_flight
        for destination in polled:
            health = destination_health(self.dispatcher.policy, destination, now)
            available = min(remaining, self.pacing.available_resends(destination, health, now))
            if available > 0 and self.due_at.get(destination, UNLIMITED) <= now:
                healthy_duration = self.pacing.healthy_duration(destination, now)
                if health.unhealthy:
                    healthy_duration = UNLIMITED
                demand[destination] = DestinationDemand(available, healthy_duration)
                remaining -= available
        return demand

    def _on_due_candidates(self, result: Any) -> None:
        self.query_pending = False
        if isinstance(result, Exception):
            log.error("dead-letter.store-failed", error=str(result), key=str(result))
            return
        candidates, self.due_at = result
        now = self.scheduler.now()
        for candidate in candidates:
            self._start_resend(candidate, now)

    def _start_resend(self, candidate: ResendCandidate, now: int) -> None:
        record = candidate.record
        rule = candidate.rule
        if record.key and self.duplicates.blocks_resend((record.destination, record.key)):
            self._postpone(record, now + SECOND)
            return
        health = destination_health(self.dispatcher.policy, record.destination, now)
        if not self.pacing.available_resends(record.destination, health, now):
            return  # the destination's health has changed since the query; the record is still due
        if not self.rule_rates.acquire(rule.name, rule.rate_per_second, now):
            self._postpone(record, now + int(SECOND / rule.rate_per_second))
            return
        resend = resend_store.resend_transaction(candidate, self.dispatcher.settings, now)
        if not self.dispatcher.submit_resend(resend):
            self._postpone(record, now + SECOND)
            return
        log.info("dead-letter.resent", message=record.id, resend=resend.id, rule=rule.name, key=rule.name)
        self._track(resend, now)
        self._claim(resend)

    def _postpone(self, record: Record, due_at: int) -> None:
        self.submit(lambda store: resend_store.postpone(store, record.sequence, due_at), lambda _: None)

    def _track(self, resend: Transaction, now: int) -> None:
        self.resends_in_progress[resend.id] = resend
        self.duplicates.resend_started(resend, now)
        self.pacing.resend_started(resend.destination, now)

    def _claim(self, resend: Transaction) -> None:
        """Claim the resend's record in the store, and send the resend if the claim succeeds."""
        rules = self._resend_rules()
        now = self.scheduler.now()
        sequence = int(resend.reply_context)

        def job(store: Store) -> Record | None:
            return resend_store.claim(store, sequence, resend.id, rules, now)

        def on_done(result: Any) -> None:
            if resend.ending is not None:  # the resend was cancelled while the claim was queued
                return
            if isinstance(result, Record):
                resend.earlier_execution = resend_store.earlier_execution(result)
                self.dispatcher.release(resend)
                return
            # The record may be claimed in spite of the error: concluding the resend updates the record.
            if isinstance(result, Exception):
                log.error("dead-letter.claim-failed", resend=resend.id, error=str(result), key=str(result))
            self.dispatcher.conclude(resend, Ending.REJECTED)

        if not self.submit(job, on_done):
            self.dispatcher.conclude(resend, Ending.REJECTED)

    # Methods of a frontend: the ending of a resend.

    def answer(self, transaction: Transaction) -> None:
        """Write a resend's ending into its record, and then remove the resend from the journal."""
        if transaction.id not in self.resends_in_progress:  # recovered from the journal at a start
            self._track(transaction, self.scheduler.now())

        def on_done(result: Any) -> None:
            if isinstance(result, Exception):
                self._retry_answer(transaction, result)
                return
            self.retry_pause = MIN_RETRY_PAUSE
            self._resend_finished(transaction, result)

        if not self.submit(lambda store: resend_store.finish(store, transaction), on_done):
            on_done(RuntimeError(QUEUE_FULL))

    def _retry_answer(self, transaction: Transaction, error: Exception) -> None:
        log.error("dead-letter.store-failed", error=str(error), key=str(error))
        self.scheduler.call_at(self.scheduler.now() + self.retry_pause, lambda: self.answer(transaction))
        self.retry_pause = min(2 * self.retry_pause, MAX_RETRY_PAUSE)

    def _resend_finished(self, resend: Transaction, record: Record | None) -> None:
        del self.resends_in_progress[resend.id]
        self.pacing.resend_ended(resend.destination)
        self.duplicates.resend_ended(resend, KeyedRecord.of(record) if record is not None else None)
        self.dispatcher.answer_sent(resend)
        if not self.resends_in_progress:  # the next resends need not wait for the next poll
            self.scheduler.call_at(self.scheduler.now(), self._query_due)
        key = self.duplicates.key_of(resend)
        duplicates = self.waiting_duplicates.pop(key, []) if key is not None else []
        for duplicate in duplicates:
            if resend.ending is Ending.DELIVERED:
                self.dispatcher.conclude(duplicate, Ending.DELIVERED)
            else:
                self._release_duplicate(duplicate)

    def _release_duplicate(self, duplicate: Transaction) -> None:
        case = self.duplicates.find(duplicate, self.scheduler.now())
        resend_attempted = case is not None and case.resend_attempted
        duplicate.earlier_execution = case.first_execution if case is not None and resend_attempted else None
        self.dispatcher.release(duplicate)

    # Methods of a ResendCoordinator.

    def decide_arrival(self, transaction: Transaction) -> ArrivalDecision:
        """Return how to handle a client's message, and hold the message if it must wait for a resend."""
        now = self.scheduler.now()
        decision = self.duplicates.decide_arrival(transaction, now)
        key = self.duplicates.key_of(transaction)
        if decision is ArrivalDecision.WAIT and key is not None:
            self._wait_for_resend(transaction, key, now)
        return decision

    def _wait_for_resend(self, duplicate: Transaction, key: DuplicateKey, now: int) -> None:
        self.waiting_duplicates.setdefault(key, []).append(duplicate)
        lead_time = ANSWER_LEAD_TIME + 2 * self.dispatcher.settings.resolution
        answer_at = max(now, duplicate.deadline - lead_time)
        self.scheduler.call_at(answer_at, lambda: self._answer_waiting(duplicate))
        for resend in list(self.resends_in_progress.values()):
            if self.duplicates.key_of(resend) == key:
                self._cancel_resend(resend)

    def recover_resend(self, transaction: Transaction) -> None:
        """Resume a resend that was found in the journal after a start.

        The claim is repeated, as the store may not have made it. The resend is sent if the claim succeeds.
        """
        self._track(transaction, self.scheduler.now())
        self._claim(transaction)

    def _cancel_resend(self, resend: Transaction) -> None:
        """End a resend whose client has submitted a duplicate, unless an attempt is in flight."""
        if resend.id not in self.dispatcher.calls_in_flight:
            not_executed = resend.first_possible_execution() is None
            self.dispatcher.conclude(resend, Ending.REJECTED if not_executed else Ending.FAILED)

    def _answer_waiting(self, duplicate: Transaction) -> None:
        """Answer a duplicate whose deadline is near while the resend is still in progress."""
        key = self.duplicates.key_of(duplicate)
        if key is None or not self._stop_waiting(duplicate, key):
            return
        if self._may_repeat(duplicate):
            self.dispatcher.conclude(duplicate, Ending.REJECTED, BUSY_RETRY_AFTER)
        else:
            self.dispatcher.conclude(duplicate, Ending.FAILED)

    def _stop_waiting(self, duplicate: Transaction, key: DuplicateKey) -> bool:
        """Remove the duplicate from those that wait for a resend, and return whether it was one of them."""
        waiting = self.waiting_duplicates.get(key, [])
        if duplicate not in waiting:
            return False
        waiting.remove(duplicate)
        return True

    def _may_repeat(self, transaction: Transaction) -> bool:
        """Return whether the client may submit the message again, even if the resend was executed."""
        message_class = self.dispatcher.settings.classes[transaction.class_index]
        if message_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        return (
            message_class.idempotency is Idempotency.IDEMPOTENCY_KEY
            and message_class.deduplication_scope is DeduplicationScope.ALL
        )

    def attempt_ended(self, transaction: Transaction, outcome: Outcome) -> None:
        """Handle the end of one attempt of a message."""
        if outcome is Outcome.DELIVERED:
            self.pacing.call_delivered(transaction.destination)
        key = self.duplicates.key_of(transaction)
        resend_in_progress = transaction.frontend == RESEND_FRONTEND and transaction.ending is None
        if resend_in_progress and key in self.waiting_duplicates:
            self._cancel_resend(transaction)

    def message_concluded(self, transaction: Transaction) -> None:
        """Handle the decided ending of a message, or its withdrawal.

        A dead letter stays live until the store has it.
        """
        if transaction.frontend == RESEND_FRONTEND or _awaits_store(transaction):
            return
        self.duplicates.remove_live(transaction)
        key = self.duplicates.key_of(transaction)
        if key is not None:  # the message may have been withdrawn while it waited for a resend
            self._stop_waiting(transaction, key)

    def dead_letter_stored(self, transaction: Transaction) -> None:
        """Stop counting a dead letter as live after it was stored or discarded, and query the store soon."""
        self.duplicates.remove_live(transaction)
        self.refresh_soon()

    def settles_dead_letter(self, transaction: Transaction) -> bool:
        """Return whether the delivery of a client's message settles a dead letter."""
        key = self.duplicates.key_of(transaction)
        if key is not None and self.duplicates.live_counts.get(key, 0) > 1:
            return True  # another live message with this key may be a dead letter that waits for the store
        return self.duplicates.find(transaction, self.scheduler.now()) is not None

    def state_summary(self) -> dict[str, Any]:
        """Return the scheduler's state for the control socket."""
        return {
            "loaded": self.loaded,
            "resends_out": len(self.resends_in_progress),
            "copies_waiting": sum(map(len, self.waiting_duplicates.values())),
            "destinations_due": len(self.due_at),
        }

    def records_stored(self, records: list[Record]) -> None:
        """Update the index of duplicates with records that the store now holds."""
        for record in records:
            if record.sequence:
                self.duplicates.update(KeyedRecord.of(record))
