"""An undelivered message as it is kept, and the form under which it is sealed. No I/O."""

from __future__ import annotations

import json
from dataclasses import dataclass
from enum import Enum
from typing import Any

from honeyhitch.journal.transactions import Attempt, Ending, Transaction
from honeyhitch.policy.events import Outcome
from honeyhitch.policy.settings import DeduplicationScope, Settings

NEVER_RAN = frozenset(one.value for one in Outcome if one.proves_not_executed)
NOT_TRIED, LOST = "not-tried", "lost"  # reasons that are no outcomes: nothing was sent, or nobody saw the end


class RecordStatus(Enum):
    """What has become of a record."""

    KEPT = "kept"
    SENDING = "sending"  # a resend is on its way
    SETTLED = "settled"  # delivered since, or settled by a person
    REPLACED = "replaced"  # a copy of it ended undelivered, too, and stands for both
    DISCARDED = "discarded"


OPEN = (RecordStatus.KEPT, RecordStatus.SENDING)  # those that still ask for something


@dataclass(slots=True)
class Record:
    """One undelivered message, whole. Times are Unix times in nanoseconds, spans nanoseconds."""

    id: str
    ended_at: int
    came_at: int
    deadline: int
    destination: int
    cls: str
    effect: str
    window: int  # in which a repeat with the key is dropped
    zoned: bool  # and only within the zone of the first attempt
    tenant: str
    key: str
    front: str
    came_again: bool  # it was held over a restart
    ending: str
    reason: str  # the last outcome, or why there was none
    come_back: int  # told to the client, 0 if nothing was
    first_ran: int | None  # when it may first have run; None if it never ran
    first_zone: int
    tries: tuple[Attempt, ...]
    body: bytes
    seq: int = 0  # its place in the store
    standing: RecordStatus = RecordStatus.KEPT
    settled_by: str = ""
    evidence: str = ""  # the partner's word that it was not applied, by which a person released it
    resends: int = 0
    resend_id: str = ""  # the latest one's
    changed_at: int = 0
    told_again: int | None = None  # when a client was told to bring it again, if it was
    asked: str = ""  # who wants it resent whatever the rules say, and why

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt may have been applied."""
        return self.first_ran is not None

    def public(self, body: bool = False) -> dict[str, Any]:
        """As a program reads it; the body only where it is asked for."""
        told: dict[str, Any] = {name: getattr(self, name) for name in PUBLIC}
        told |= {"standing": self.standing.value, "may_have_run": self.may_have_run}
        told["attempts"] = [
            {
                "number": one.number,
                "member": one.endpoint,
                "at": one.started_at,
                "outcome": one.outcome or LOST,
                "took": one.elapsed,
                "wait": one.retry_after,
                "why": one.failure_reason,
                "may_have_run": one.outcome not in NEVER_RAN,
            }
            for one in self.tries
        ]
        if body:
            try:
                told["body"] = self.body.decode()
            except UnicodeDecodeError:
                told["body_hex"] = self.body.hex()
        return told


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """A record as it was read; `fault` says how it was altered on disk, if it was."""

    record: Record
    fault: str = ""


@dataclass(frozen=True, slots=True)
class Dropped:
    """Records that had to go."""

    why: str  # "age" or "room"
    may_have_run: bool
    count: int
    size: int
    ids: tuple[str, ...]  # of the first few


PUBLIC = (
    "seq", "id", "key", "cls", "tenant", "destination", "front", "came_at", "deadline", "ended_at", "ending",
    "reason", "come_back", "came_again", "effect", "window", "first_ran", "evidence", "settled_by", "resends",
    "resend_id", "changed_at", "told_again", "asked",
)  # fmt: skip


def of(transaction: Transaction, settings: Settings) -> Record:
    """The record of a transaction that ended undelivered."""
    cls = settings.classes[transaction.class_index]
    tenants = settings.tenant_names
    first = transaction.first_possible_execution()
    rejected = transaction.ending is Ending.REJECTED
    return Record(
        id=transaction.id,
        ended_at=transaction.ended_at,
        came_at=transaction.accepted_at,
        deadline=transaction.deadline,
        destination=transaction.destination,
        cls=settings.class_names[transaction.class_index],
        effect=cls.idempotency.value,
        window=cls.deduplication_window,
        zoned=cls.deduplication_scope is DeduplicationScope.ZONE,
        tenant=tenants[transaction.tenant] if transaction.tenant < len(tenants) else str(transaction.tenant),
        key=transaction.key,
        front=transaction.frontend,
        came_again=transaction.recovered_from_journal,
        ending=transaction.ending.value if transaction.ending else "",
        reason=reason(transaction),
        come_back=transaction.retry_after,
        first_ran=first[0] if first else None,
        first_zone=first[1] if first else 0,
        tries=tuple(transaction.attempt_history),
        body=transaction.body,
        changed_at=transaction.ended_at,
        told_again=transaction.ended_at + transaction.retry_after if rejected else None,
    )


def reason(transaction: Transaction) -> str:
    """Why it was not delivered, in a word."""
    if not transaction.attempt_count:
        return NOT_TRIED
    return (transaction.attempt_history[-1].outcome if transaction.attempt_history else "") or LOST


def pack_tries(tries: tuple[Attempt, ...]) -> str:
    """The history as it is stored."""
    rows = [
        [
            one.number,
            one.endpoint,
            one.started_at,
            one.outcome,
            one.elapsed,
            one.retry_after,
            one.failure_reason,
        ]
        for one in tries
    ]
    return json.dumps(rows, separators=(",", ":"))


def unpack_tries(text: str) -> tuple[Attempt, ...]:
    """The history from the store; ValueError or TypeError if it is none."""
    return tuple(Attempt(*row) for row in json.loads(text))


LATER = {"told_again": None, "asked": ""}  # columns of later versions, and what they hold in older records


def canonical(columns: dict[str, Any], body: bytes) -> bytes:
    """What is sealed: every column that a record has, by name, and the stored body behind its length.

    A later version's column is left out where it holds nothing, so that seals of older records stay good.
    """
    columns = {name: value for name, value in columns.items() if name not in LATER or value != LATER[name]}
    text = json.dumps(columns, separators=(",", ":"), sort_keys=True).encode()
    return len(text).to_bytes(4, "big") + text + body
