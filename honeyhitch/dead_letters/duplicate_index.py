"""Which messages are copies of one that is kept, and what follows. No I/O; the clock is passed in.

Copies have the same idempotency key at the same destination, and come while the kept one is remembered.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from itertools import islice

from honeyhitch.dead_letters.records import RecordStatus
from honeyhitch.dead_letters.resends import Known
from honeyhitch.dispatcher.ports import ArrivalDecision
from honeyhitch.journal.transactions import Transaction
from honeyhitch.policy.settings import Idempotency

FEW = 50  # looked at in one go, so that the loop is not stalled
Key = tuple[int, str]  # destination and idempotency key


class State(Enum):
    """How a kept message stands towards its copies."""

    OPEN = "open"  # kept; a copy goes out as any message, and no resend does meanwhile
    SENDING = "sending"  # a resend is on its way; a copy waits for its end
    DONE = "done"  # a resend was delivered; a copy takes that as its own end
    OVER = "over"  # nothing more will be done for it


@dataclass(slots=True)
class DuplicateCase:
    """One kept message. Times are Unix times in nanoseconds."""

    state: State
    at: int  # its end; copies are known for a while from then on
    keyed: bool
    window: int
    first: tuple[int, int] | None = None  # when and in which zone it may first have run
    resent: bool = False  # and a resend was among what ran


class DuplicateIndex:
    """All kept messages by key, and how many of the clients' messages with each key are held."""

    def __init__(self, memory: int) -> None:
        self.memory, self.cases, self.live = memory, dict[Key, DuplicateCase](), dict[Key, int]()
        self.counted: set[str] = set()  # ids of the clients' messages that are counted in `live`

    @staticmethod
    def key(transaction: Transaction) -> Key | None:
        """By which its copies are known, None if by nothing."""
        return (transaction.destination, transaction.key) if transaction.key else None

    @classmethod
    def of(cls, records: list[Known], memory: int) -> DuplicateIndex:
        """What the store knows; for many records this takes a while, and is done beside the event loop."""
        copies = cls(memory)
        for record in records:  # in the order in which they came: the latest counts
            copies.note(record)
        return copies

    def load(self, told: DuplicateIndex) -> None:
        """Take over what the store knows; what has come here since is known better here."""
        since, self.cases = self.cases, told.cases
        self.cases.update(since)

    def forget(self, now: int, most: int) -> None:
        """Forget a few that no copy comes for any longer, and the oldest beyond `most`."""
        for key in list(islice(self.cases, FEW)):
            case = self.cases[key]
            if case.state is State.SENDING or (now - case.at <= self.memory and len(self.cases) <= most):
                return
            del self.cases[key]

    def note(self, record: Known) -> None:
        """A record is so now."""
        key = record.destination, record.key
        known = self.cases.get(key)
        sending = known is not None and known.state is State.SENDING
        if not record.key or (sending and record.standing != RecordStatus.SENDING.value):
            return  # a resend's end is told by `sent`
        if record.standing == RecordStatus.KEPT.value:
            state = State.OPEN
        elif record.standing == RecordStatus.SENDING.value:
            state = State.SENDING
        else:
            state = State.DONE if record.settled_by.startswith("resend:") else State.OVER
        first = (record.first_ran, record.first_zone) if record.first_ran is not None else None
        keyed = record.effect == Idempotency.IDEMPOTENCY_KEY.value
        self.cases[key] = DuplicateCase(
            state, record.ended_at, keyed, record.window, first, record.resends > 0
        )

    def case(self, transaction: Transaction, now: int) -> DuplicateCase | None:
        """The kept message that this one is a copy of, if there is one."""
        key = self.key(transaction)
        case = self.cases.get(key) if key is not None else None
        if case is None or now - case.at > self.memory:
            return None
        return case

    def came(self, transaction: Transaction, now: int) -> ArrivalDecision:
        """A client handed it in; what becomes of it. Where a resend may have run, `past` is set."""
        self.count(transaction)
        case = self.case(transaction, now)
        if case is None:
            return ArrivalDecision.DELIVER
        if case.resent and case.first is not None:
            transaction.earlier_execution = case.first
        if transaction.attempt_count:  # it was on its way before a restart; no resend began meanwhile
            return ArrivalDecision.DELIVER
        if case.state is State.SENDING:
            return ArrivalDecision.WAIT
        if case.state is State.DONE:
            first = case.first[0] if case.first is not None else case.at
            if case.keyed and now >= first + case.window:  # the receiver has forgotten the key: a new message
                transaction.earlier_execution = None
                return ArrivalDecision.DELIVER
            return ArrivalDecision.ALREADY_DELIVERED
        return ArrivalDecision.DELIVER

    def count(self, transaction: Transaction) -> None:
        """A client's message is held, or waits for the store."""
        key = self.key(transaction)
        if key is not None and transaction.id not in self.counted:
            self.counted.add(transaction.id)
            self.live[key] = self.live.get(key, 0) + 1

    def gone(self, transaction: Transaction) -> None:
        """It is not held any longer, and whatever it leaves is kept."""
        key = self.key(transaction)
        if key is not None and transaction.id in self.counted:
            self.counted.discard(transaction.id)
            left = self.live.get(key, 0) - 1
            if left > 0:
                self.live[key] = left
            else:
                self.live.pop(key, None)

    def blocked(self, key: Key) -> bool:
        """Whether no resend of this key may begin: a client's message with it is held, or a resend is out."""
        case = self.cases.get(key)
        return bool(self.live.get(key)) or (case is not None and case.state is State.SENDING)

    def sending(self, transaction: Transaction, now: int) -> None:
        """A resend of it begins."""
        key = self.key(transaction)
        if key is not None:
            case = self.cases.get(key) or DuplicateCase(State.OPEN, now, False, 0)
            case.state, case.at = State.SENDING, max(case.at, now)
            self.cases[key] = case

    def sent(self, transaction: Transaction, record: Known | None) -> None:
        """The resend has ended, and its record is so now; None if there is no such record any more."""
        key = self.key(transaction)
        if key is None:
            return
        case = self.cases.pop(key, None)
        if record is not None:
            self.note(record)
        elif case is not None:
            case.state = State.OVER
            self.cases[key] = case
