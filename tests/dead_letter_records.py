"""Makes dead-letter records for tests, and stores whose clock does not advance."""

from __future__ import annotations

import itertools
from pathlib import Path
from typing import Any

from honeyhitch.dead_letters.records import Record
from honeyhitch.dead_letters.store import Store
from honeyhitch.journal.transactions import Attempt

from .rig import START
from .world import SECOND

_record_numbers = itertools.count()


def make_record(may_have_executed: bool = False, **fields: Any) -> Record:
    """Return a record with a new message id; with `may_have_executed`, the message may have been executed."""
    message_id = f"m{next(_record_numbers)}"
    defaults: dict[str, Any] = {
        "id": message_id,
        "ended_at": START,
        "accepted_at": START - SECOND,
        "deadline": START + SECOND,
        "destination": 1,
        "class_name": "standard",
        "idempotency": "keyed",
        "deduplication_window": 5 * SECOND,
        "zone_scoped": False,
        "tenant": "studio",
        "key": f"k-{message_id}",
        "frontend": "resp",
        "recovered_from_journal": False,
        "ending": "failed",
        "reason": "timeout",
        "retry_after": 0,
        "first_possible_execution": START if may_have_executed else None,
        "first_execution_zone": 0,
        "attempts": (Attempt(0, "s-1", START, "timeout", SECOND, 0, ""),),
        "body": b"body",
    }
    return Record(**{**defaults, **fields})


def open_store(folder: Path, **arguments: Any) -> Store:
    """Open a store whose clock always returns START."""
    return Store(folder, clock=lambda: START, **arguments)
