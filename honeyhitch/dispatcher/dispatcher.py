"""The core: it feeds events to the module and carries out its actions through ports.

It deals in transactions, attempts and outcomes and knows no wire. Clock and timers are passed in, so that
tests run it in virtual time. Times are Unix times in nanoseconds.
"""

from __future__ import annotations

from typing import Any

from honeyhitch import logs
from honeyhitch.dispatcher.delivery import Admission, Call, Phase, Result, State
from honeyhitch.dispatcher.metrics import Figures
from honeyhitch.dispatcher.ports import (
    Came,
    Carrier,
    Front,
    Guard,
    Keeper,
    Neighbour,
    Opener,
    Scheduler,
    Shares,
)
from honeyhitch.endpoints.pool import Pool, PoolMember
from honeyhitch.journal.journal import Journal, JournalFull
from honeyhitch.journal.transactions import RESEND, Ending, Transaction, Try
from honeyhitch.policy import interface as api
from honeyhitch.policy.engine import Brain
from honeyhitch.policy.health import avoided

log = logs.get()
MS = 1_000_000  # ns
NEVER = 1 << 62  # ns
SHARE_PAUSE = 250 * MS  # ns between looks whether a share of a limit is held again
BUSY = 500 * MS  # ns; told to clients that are turned away before the module


class Dispatcher:
    """One Brain, the transactions held, and the ports; all fronts share it."""

    def __init__(
        self, settings: api.Settings, seed: int, pool: Pool, journal: Journal, scheduler: Scheduler
    ) -> None:
        self.s, self.pool, self.journal, self.scheduler = settings, pool, journal, scheduler
        self.brain, self.held = Brain(settings, seed), journal.held
        self.figures = Figures(cls.name for cls in settings.classes)
        self.carriers: dict[str, Carrier] = {}
        self.openers: dict[str, Opener] = {}
        self.fronts: dict[str, Front] = {}
        self.keeper: Keeper | None = None
        self.guard: Guard | None = None
        self.beside: Neighbour | None = None
        self.shares: Shares | None = None
        self.events: list[api.Event | Transaction] = []
        self.live = False  # one of them is not behind others
        self.out: dict[str, Call] = {}  # calls out, by the id of each transaction in them
        self.tick_at, self.last_tick, self.last_live = NEVER, 0, 0  # the last: of a round with live events
        self.taking, self.sending, self.leaving = True, True, False

    # What comes in.

    def resume(self) -> None:
        """After a start: give the module each owed transaction with its attempts so far, and the keeper what
        it has not taken over yet.
        """
        owed = [one for one in self.held.by_id.values() if one.id not in self.journal.passed]
        self.take_up(owed, list(self.held.unmoved.values()))

    def take_up(self, owed: list[Transaction], unmoved: list[Transaction]) -> None:
        """Go on with what a process left: it is in the journal, and nobody else goes on with it."""
        if unmoved and self.keeper is None:
            log.warning("undelivered.off", waiting=len(unmoved))  # they stay for a start with a keeper
        if self.keeper is not None:
            for transaction in unmoved:
                self.keeper.keep(transaction)
        # Resends first: what came later may be a copy of one.
        for transaction in sorted(owed, key=lambda one: one.front != RESEND):
            if transaction.ending is not None:  # decided already; only its answer may not have been sent
                self._answer(transaction)
                if transaction.keep and not transaction.moved and self.keeper is not None:
                    self.keeper.keep(transaction)
            elif transaction.front != RESEND:
                transaction.came_again = True  # its age is not that of this process
                self._admit(transaction)
            elif self.guard is not None:
                self.guard.came_back(transaction)
            else:  # the store, where it is missed, will take it for one that may have run
                log.warning("undelivered.off", resend=transaction.id)
                self.journal.end(transaction, Ending.OVER)

    def offer(self, transaction: Transaction) -> Admission:
        """Take a transaction on, or reject it at once; one that is held already is not taken twice."""
        if self.journal.knows(transaction.id):
            return Admission(True)
        if self.beside is not None and self.beside.knows(transaction.id):
            return Admission(True)
        if not self.taking or len(self.held) >= self.s.max_open:
            return self._turned_away(transaction)
        transaction.came_at = self.scheduler.now()
        try:
            self.journal.taken(transaction)
        except JournalFull as error:
            log.warning("journal.full", what="message", error=str(error))
            return self._turned_away(transaction)
        now = self.scheduler.now()
        if transaction.front != "resp" and self._keyed(transaction) and self.held.delivered(transaction, now):
            self._delivered_before(transaction)  # as the receiver would say of a repeat
        else:
            self._admit(transaction)
        return Admission(True)

    def _turned_away(self, transaction: Transaction) -> Admission:
        self.figures.turned_away(transaction)
        return Admission(False, BUSY)

    def offer_resend(self, transaction: Transaction) -> bool:
        """Write a resend down; it goes to the module by `go_on` once the store has claimed it."""
        full = len(self.held) >= self.s.max_open
        if full or not self.taking or self.journal.knows(transaction.id):
            return False
        transaction.came_at = self.scheduler.now()
        try:
            self.journal.taken(transaction)
        except JournalFull:
            return False
        return True

    def _admit(self, transaction: Transaction) -> None:
        match self.guard.came(transaction) if self.guard is not None else Came.GO:
            case Came.GO:
                self._add(transaction)
            case Came.DONE:
                self._delivered_before(transaction)

    def _delivered_before(self, transaction: Transaction) -> None:
        """It has been delivered already; the caller hears first that it was taken."""
        name = transaction.id
        self.scheduler.at(self.scheduler.now(), lambda: self._final(name, Ending.DELIVERED, 0))

    def go_on(self, transaction: Transaction) -> None:
        """It need not wait any longer."""
        if self._owes(transaction.id):
            self._add(transaction, behind=transaction.front == RESEND)

    def conclude(self, transaction: Transaction, ending: Ending, come_back: int = 0) -> None:
        """It ends so; whatever the module still had in mind for it is left out."""
        if self._owes(transaction.id):
            self._conclude(transaction, ending, come_back)
            self._add(api.Withdrawn(transaction.id), behind=transaction.front == RESEND)

    def _owes(self, name: str) -> Transaction | None:
        """The transaction of this name, if its end is still this process's to decide."""
        found = self.held.by_id.get(name)
        return found if found and found.ending is None and name not in self.journal.passed else None

    def _keyed(self, transaction: Transaction) -> bool:
        return bool(transaction.key) and self.s.classes[transaction.cls].effect is api.Effect.KEYED

    def _taken(self, transaction: Transaction) -> api.NewMessage:
        first = transaction.first_ran()
        if first is None and self._keyed(transaction):  # a copy must keep to the window of the first
            first = self.held.delivered(transaction, self.last_tick)
        if transaction.past is not None:
            first = min(first or transaction.past, transaction.past)
        return api.NewMessage(
            message=transaction.id,
            cls=transaction.cls,
            destination=transaction.destination,
            time_left=transaction.deadline - self.last_tick,  # from the round's time, which the module adds
            tenant=transaction.tenant,
            came_again=transaction.came_again,
            attempts=transaction.attempts,
            ran_at=first[0] if first else None,
            ran_zone=first[1] if first else 0,
            behind=transaction.front == RESEND,
        )

    def withdraw(self, name: str) -> None:
        """Nobody wants it any more: nothing further is tried, and no answer is sent."""
        transaction = self._owes(name)
        if transaction is not None:
            self.journal.end(transaction, Ending.OVER)
            self._add(api.Withdrawn(name))
            if self.guard is not None:
                self.guard.ended(transaction)

    def state(self) -> State:
        """How it stands to new work."""
        if self.leaving or not self.sending:
            phase = Phase.DRAINING if self.sending else Phase.DOWN
        else:
            phase = Phase.READY if self.taking else Phase.STARTING
        return State(phase, len(self.held), self.s.max_open)

    def told(self) -> dict[str, Any]:
        """The figures as operators read them; those of messages and calls begin at 0 with the process."""
        return {
            "responses": self.figures.told(),
            "tries": sum(one.tries for one in self.figures.classes),
            "active": len(self.held) - len(self.journal.passed),
            "pool_size": len(self.pool.members),
            "pool_ejected": avoided(self.brain, self.scheduler.now()),
        }

    def news(self, news: api.ListNews) -> None:
        """The pool changed. Waits that its members told last, also over a member's coming back."""
        self._add(news)
        waits, now = self.journal.waits, self.scheduler.now()
        for (destination, name), until in list(waits.items()):
            if until <= now:
                del waits[destination, name]
            elif name in self.pool.members:
                self._add(api.Told(destination, name, until))

    def told_elsewhere(self, events: list[api.Event]) -> None:
        """What another process of this dispatcher was told before it ended."""
        for event in events:
            self._add(event)

    def room(self, room: api.Room) -> None:
        """The connections to a gated member changed."""
        self._add(room)

    def begin(self, call: Call) -> bool:
        """The last look, right before the first byte of a call: whether any of it goes.

        What goes is written down, and what must not go any more leaves the call, with no attempt used up. A
        connection takes time to come up, and meanwhile a wait may have been told, the member may drain or be
        at another address, or the process may have been told to stop.
        """
        now, listed = self.scheduler.now(), self.pool.members.get(call.member.id)
        told = call.member
        there = listed is not None and (listed.address, listed.destination) == (
            told.address,
            told.destination,
        )
        there = there and self._share_held(call.member, now)
        for i, transaction in enumerate(call.parts):
            if call.open[i] and not (self.sending and there and self.brain.goes(now, transaction.id)):
                self._unused(call, i)
            elif call.open[i]:
                try:
                    self.journal.attempt(transaction, now, call.member.zone, call.member.id)
                except JournalFull as error:  # what cannot be written down must not be sent
                    log.warning("journal.full", what="attempt", error=str(error))
                    self._outcome(call, i, api.Outcome.NOT_SENT, False, Result([]))
        goes = [i for i, is_open in enumerate(call.open) if is_open]
        call.parts = [call.parts[i] for i in goes]
        call.numbers = [call.numbers[i] for i in goes]
        call.timeouts = [call.timeouts[i] for i in goes]
        call.open, call.begun = [True] * len(goes), True
        return bool(goes)

    def _share_held(self, member: PoolMember, now: int) -> bool:
        """Whether this instance holds a share of the limit; where not, the module looks again soon."""
        if self.shares is None or self.shares.portion(member.destination, now) > 0:
            return True
        self._add(api.Told(member.destination, member.id, now + SHARE_PAUSE))
        return False

    def hand_back(self, destination: int, retry_after: int) -> None:
        """Another instance owns a destination now: what surely never ran is rejected, as handing it in again
        reaches that one. What may have run, and calls that are out, keep to the module.
        """
        for transaction in list(self.held.by_id.values()):
            untried = transaction.first_ran() is None and transaction.id not in self.out
            if transaction.destination == destination and untried and transaction.front != RESEND:
                self.conclude(transaction, Ending.REJECTED, retry_after)

    def written(self, call: Call) -> None:
        """The last byte of a call was handed to its connection."""
        self.figures.written(call.parts)

    def ended(self, call: Call, result: Result) -> None:
        """A call ended; its slot is free.

        A call has one fate. Where its answer comes after one part's time, nobody can tell whether it counts
        for the others (docs/fleet-questions.md): they may have run, and that says nothing of health.
        """
        self.told_wait(call.member, result.wait)
        if call.late and api.Outcome.DELIVERED in (one for one, _ in result.outcomes):
            doubt = {(api.Outcome.DELIVERED, True): (api.Outcome.RESET, False)}
            result.outcomes, result.stale = [doubt.get(one, one) for one in result.outcomes], True
        for i, (outcome, over) in enumerate(result.outcomes):
            if call.open[i] and not call.begun and not self.sending:
                self._unused(call, i)  # it was called off, as the process is about to end
            elif call.open[i]:
                self._outcome(call, i, outcome, over, result)
        if not self.sending:
            self.carriers[call.member.carrier].close_idle(call.member)

    def told_wait(self, member: PoolMember, wait: int) -> None:
        """A member told to wait so many nanoseconds, or not at 0. That binds its destination, whatever
        becomes of the messages of the call that brought it.
        """
        if wait:
            until = self.scheduler.now() + wait
            self.journal.wait(member.destination, member.id, until)
            self._add(api.Told(member.destination, member.id, until))

    def expired(self, call: Call, transaction: Transaction) -> None:
        """One part of a call that is still out is out of time; one that has not begun is left out of it."""
        for i, part in enumerate(call.parts):
            if part is transaction and call.open[i]:
                if call.begun:
                    call.late = True
                    self._outcome(call, i, api.Outcome.TIMEOUT, False, Result([]))
                else:
                    self._unused(call, i)
                if not any(call.open):  # nobody waits for its answer any more
                    self.carriers[call.member.carrier].give_up(call)

    def _unused(self, call: Call, i: int) -> None:
        self._outcome(call, i, api.Outcome.NOT_SENT, False, Result([]), unused=True)

    def _outcome(
        self, call: Call, i: int, outcome: api.Outcome, over: bool, result: Result, unused: bool = False
    ) -> None:
        transaction, number = call.parts[i], call.numbers[i]
        call.open[i] = False
        self.out.pop(transaction.id, None)
        if outcome.never_ran and not unused:
            self.journal.never_ran(transaction, number)
        if self.keeper is not None and outcome is not api.Outcome.DELIVERED and not unused:
            took, wait = self.scheduler.now() - call.sent, result.wait
            told = Try(number, call.member.id, call.sent, outcome.value, took, wait, result.why)
            self.journal.outcome(transaction, told)
        owed = self._owes(transaction.id) is not None
        if over and owed:
            if outcome is api.Outcome.DELIVERED:
                self._conclude(transaction, Ending.DELIVERED, 0)
            else:
                self._conclude(transaction, Ending.OVER, 0)
        self._add(
            api.AttemptEnded(
                message=transaction.id,
                attempt=number,
                endpoint=call.member.id,
                outcome=outcome,
                took=self.scheduler.now() - call.sent,
                settled=over or not owed,
                wait=result.wait,
                allowance=result.told.get("x0", 1.0),
                limit=result.told.get("x1", 0.0) * self._portion(call.member.destination),
                stale=result.stale,
                crowded=result.crowded,
                unused=unused,
            ),
            behind=transaction.front == RESEND,
        )
        if self.guard is not None:
            self.guard.attempt_ended(transaction, outcome)

    def _portion(self, destination: int) -> float:
        """Of a limit that is told; of a share that has just run out, nothing is sent by it in any case."""
        if self.shares is None:
            return 1.0
        return self.shares.portion(destination, self.scheduler.now()) or 1.0

    def leave(self, gap: int) -> None:
        """The last round: what cannot outlive so many nanoseconds without decisions is given up, and all else
        that is owed is the next process's, by the journal.
        """
        if self.sending:
            self._add(api.Leaving(gap))
            self.tick_at = self.scheduler.now()
            self._tick(self.tick_at)
            self._send_no_more()

    def hand_over(self) -> None:
        """Begin nothing more: calls that are out end here, as do notices, and all else is passed on to the
        other process. Members have few places for connections: none is kept here. To be called till the end.
        """
        if self.sending:
            self._send_no_more()
            for member in self.pool.members.values():
                self.carriers[member.carrier].close_idle(member)
        passed, calls = self.journal.passed, {id(call) for call in self.out.values()}
        waits = [
            one
            for name, one in self.held.by_id.items()
            if one.ending is None and one.front != RESEND and name not in passed and name not in self.out
        ]
        try:
            self.journal.pass_on(waits, len(calls))
        except JournalFull as error:  # the other one finds them once this process is gone
            log.warning("journal.full", what="passed", error=str(error))

    def _send_no_more(self) -> None:
        """Calls whose connection is not up yet are called off: they are untried."""
        self.sending = False
        for call in {id(call): call for call in self.out.values() if not call.begun}.values():
            self.carriers[call.member.carrier].give_up(call)

    # Rounds: events that come within one resolution are handled together, as in the simulator.

    def _add(self, event: api.Event | Transaction, behind: bool = False) -> None:
        """Handle it in the next round. What is behind others does not put off the round after its own."""
        self.events.append(event)
        self.live = self.live or not behind
        last = self.last_tick if behind else self.last_live
        at = max(self.scheduler.now(), last + self.s.resolution)
        if at < self.tick_at:
            self.tick_at = at
            self.scheduler.at(at, lambda: self._tick(at))

    def _tick(self, at: int) -> None:
        now = self.scheduler.now()
        if at != self.tick_at:  # an earlier round took the events that this one was to handle
            return
        self.tick_at, self.last_tick = NEVER, now
        self.last_live, self.live = now if self.live else self.last_live, False
        came, self.events = self.events, []
        if not self.sending:  # the process is about to end: what is owed is the next one's, by the journal
            return
        sends: list[api.Send] = []
        events = [self._taken(event) if isinstance(event, Transaction) else event for event in came]
        if self.beside is not None:
            events += self.beside.news()  # after the list: a wait counts where its member is known
        for action in self.brain.handle(self.last_tick, events):
            match action:
                case api.Send():
                    sends.append(action)
                case api.Refuse(name, come_back):
                    self._final(name, Ending.REJECTED, come_back)
                case api.Fail(name):
                    self._final(name, Ending.FAILED, 0)
                case api.SetTimer(at):
                    self.scheduler.at(at, lambda: self._add(api.TimerFired()))
                case api.Cancel(name, _):
                    if (call := self.out.get(name)) is not None:
                        self.carriers[call.member.carrier].give_up(call)
                case api.Close(name):
                    if (member := self.pool.members.get(name)) is not None:
                        self.carriers[member.carrier].close_idle(member)
                case api.Open(name, calls):
                    if (member := self.pool.members.get(name)) is not None:
                        self.openers[member.carrier].open(member, calls)
                case api.Subscribe():
                    pass  # the watch is always on
        self._send_all(sends)

    def _send_all(self, sends: list[api.Send]) -> None:
        """Sends of one round to one member travel together, as far as its kind allows."""
        groups: dict[str, list[api.Send]] = {}
        for send in sends:
            groups.setdefault(send.endpoint, []).append(send)
        for name, group in groups.items():
            member = self.pool.members[name]
            most = self.s.kind(member.kind).per_call
            for at in range(0, len(group), most):
                self._send(member, group[at : at + most])

    def _send(self, member: PoolMember, sends: list[api.Send]) -> None:
        now = self.scheduler.now()
        call = Call(member, [], [], [], now, [])
        for send in sends:
            transaction = self.held.by_id[send.message]  # the module sends nothing that it ended
            call.parts.append(transaction)
            call.numbers.append(transaction.attempts)
            call.timeouts.append(send.timeout)
            call.open.append(True)
            self.out[transaction.id] = call
        for part, timeout in zip(call.parts, call.timeouts, strict=True):
            if timeout < call.timeout:  # cut to its own deadline: the others may wait longer
                self.scheduler.at(now + timeout, lambda part=part: self.expired(call, part))  # type: ignore[misc]
        self.carriers[member.carrier].start(call)

    # Final answers.

    def _final(self, name: str, ending: Ending, come_back: int) -> None:
        transaction = self._owes(name)
        if transaction is not None:
            self._conclude(transaction, ending, come_back)

    def _conclude(self, transaction: Transaction, ending: Ending, come_back: int) -> None:
        keep = transaction.front != RESEND and self.keeper is not None and ending is not Ending.OVER
        if keep and ending is Ending.DELIVERED:
            keep = self.guard is not None and self.guard.settles(transaction)
        elif keep and transaction.key:  # a copy that was delivered meanwhile leaves nothing to keep
            keep = self.held.delivered(transaction, self.scheduler.now()) is None
        silent = ending is Ending.OVER or (ending is Ending.DELIVERED and transaction.front == "resp")
        self.figures.ended(transaction, ending)
        if keep or not silent:
            self.journal.decided(transaction, ending, come_back, keep)
        if silent:
            self.journal.end(transaction, ending)
        else:
            self._answer(transaction)
        if keep and self.keeper is not None:
            self.keeper.keep(transaction)
        if self.guard is not None:
            self.guard.ended(transaction)

    def kept(self, transaction: Transaction) -> None:
        """The keeper has it, or has let it go."""
        self.journal.kept(transaction)
        if self.guard is not None:
            self.guard.moved(transaction)

    def _answer(self, transaction: Transaction) -> None:
        front = self.fronts.get(transaction.front)
        if front is not None:
            front.answer(transaction)
        else:  # taken by a front that this process was started without: nobody can be told
            log.warning("answer.no-front", message=transaction.id, front=transaction.front)
            self.answered(transaction)

    def answered(self, transaction: Transaction) -> None:
        """The final answer was sent."""
        if transaction.ending is not None:
            self.journal.end(transaction, transaction.ending)
