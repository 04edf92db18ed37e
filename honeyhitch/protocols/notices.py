"""Notices to the platform: how a transaction ended that was taken on and not delivered."""

from __future__ import annotations

import json

from honeyhitch.journal.transactions import Ending, Transaction
from honeyhitch.protocols import http1
from honeyhitch.protocols.discovery_backoff import ResponseTimeout

MS = 1_000_000  # ns
LATE = 0.3  # seconds that an end may be late by (protocol page)
ANSWER = 1.0  # seconds to connect and for the answer at most
MOST = 200  # in one request


def patience() -> ResponseTimeout:
    """Two connections in a row may be dead, and the end is in time on the third."""
    return ResponseTimeout(LATE / 4, ANSWER)


def line(transaction: Transaction) -> str:
    """One notice."""
    if transaction.ending is Ending.REJECTED:
        fields: dict[str, object] = {"id": transaction.id, "status": "deferred"}
        if transaction.retry_after:
            fields["again_ms"] = max(1, transaction.retry_after // MS)
    else:
        fields = {"id": transaction.id, "status": "undeliverable"}
    return json.dumps(fields, separators=(",", ":"))


def encode(transactions: list[Transaction], host: str) -> bytes:
    """One request that carries several notices."""
    body = "".join(line(transaction) + "\n" for transaction in transactions).encode()
    return http1.request("POST", "/reports", host, {"Content-Type": "application/json"}, body)
