"""Moves messages that ended undelivered out of the journal and into the store. No I/O of its own.

A message is in the journal until the store's transaction has been committed; a move that is repeated after
a kill in between finds the record there already and changes nothing. Where the store fails, messages wait in
the journal, in a share of it that keeps room for live traffic.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from honeyhitch import logs
from honeyhitch.dead_letters import records
from honeyhitch.dead_letters.worker import Done, Job
from honeyhitch.dispatcher.ports import Scheduler
from honeyhitch.journal.journal import Journal
from honeyhitch.journal.transactions import Transaction
from honeyhitch.policy.settings import Settings

log = logs.get()
TOGETHER = 64  # messages in one transaction
FIRST_PAUSE, MOST_PAUSE = 10**9, 60 * 10**9  # ns between tries while the store fails
JOURNAL_SHARE = 0.25  # of the journal's disk that messages may take which only wait for the store


@dataclass(slots=True)
class Figures:
    """What has been done since the start."""

    moved: int = 0
    let_go: dict[bool, int] = field(default_factory=lambda: {False: 0, True: 0})  # by whether it may have run


class JournalTransfer:
    """The dispatcher's keeper: one transaction of the store at a time, with all that has come meanwhile."""

    def __init__(
        self,
        settings: Settings,
        journal: Journal,
        scheduler: Scheduler,
        submit: Callable[[Job, Done], bool],
        kept: Callable[[Transaction], None],
    ) -> None:
        self.s, self.journal, self.scheduler = settings, journal, scheduler
        self.submit, self.kept = submit, kept
        self.waiting: dict[tuple[str, int], Transaction] = {}  # the oldest first
        self.moving: list[Transaction] = []
        self.paused, self.pause = False, FIRST_PAUSE
        self.figures, self.failing = Figures(), ""
        self.after: list[Callable[[list[records.Record]], None]] = []  # told of what has come to the store

    def store(self, transaction: Transaction) -> None:
        """Move it as soon as may be."""
        self.waiting[transaction.id, transaction.ended_at] = transaction
        self._let_go()
        self._move()

    def _move(self) -> None:
        if self.moving or self.paused or not self.waiting:
            return
        some = list(self.waiting.values())[:TOGETHER]
        found = [records.of(transaction, self.s) for transaction in some]
        self.moving = some

        def done(result: Any) -> None:
            self._done(some, found, result)

        if not self.submit(lambda store: store.add(found), done):
            self._failed("the queue to the store is full")

    def _done(self, some: list[Transaction], found: list[records.Record], result: Any) -> None:
        if isinstance(result, Exception):
            self._failed(str(result))
            return
        if self.failing:
            log.info("dead-letter.store-recovered", waiting=len(self.waiting), let_go=self.figures.let_go)
        self.moving, self.failing, self.pause = [], "", FIRST_PAUSE
        for transaction in some:
            del self.waiting[transaction.id, transaction.ended_at]
            self.kept(transaction)
        self.figures.moved += len(some)
        tell_dropped(result)
        for tell in self.after:
            tell(found)
        self._move()

    def _failed(self, error: str) -> None:
        self.moving, self.paused, self.failing = [], True, error
        log.error("dead-letter.store-failed", error=error, waiting=len(self.waiting), key=error)
        self.scheduler.call_at(self.scheduler.now() + self.pause, self._again)
        self.pause = min(2 * self.pause, MOST_PAUSE)
        self._let_go()

    def _again(self) -> None:
        self.paused = False
        self._move()

    def _let_go(self) -> None:
        """Live traffic needs the journal's room: what has waited for longest goes, and what may have run goes
        last.
        """
        most = JOURNAL_SHARE * self.journal.max_bytes
        if self.journal.dead_letter_bytes <= most:
            return
        answered = [one for one in self.waiting.values() if one.id not in self.journal.messages.by_id]
        for transaction in sorted(
            answered, key=lambda one: one.first_possible_execution() is not None
        ):  # else as they came
            if self.journal.dead_letter_bytes <= most:
                return
            if transaction in self.moving:
                continue
            ran = transaction.first_possible_execution() is not None
            del self.waiting[transaction.id, transaction.ended_at]
            self.figures.let_go[ran] += 1
            log.error("dead-letter.discarded", message=transaction.id, may_have_run=ran, key=str(ran))
            self.kept(transaction)


def tell_dropped(dropped: list[records.Dropped]) -> None:
    """Name in the log what the store had to drop."""
    for one in dropped:
        log.warning(
            "dead-letter.records-dropped",
            why=one.why,
            count=one.count,
            bytes=one.size,
            may_have_run=one.may_have_run,
            messages=",".join(one.ids),
            key=f"{one.why} {one.may_have_run}",
        )
