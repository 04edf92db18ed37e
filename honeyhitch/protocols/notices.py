"""Notices to the platform: how a transaction ended that was taken on and not delivered."""

from __future__ import annotations

import json

from honeyhitch.journal.transactions import Ending, Transaction
from honeyhitch.protocols import http1
from honeyhitch.protocols.discovery_backoff import ResponseTimeout
from honeyhitch.time_units import MILLISECOND

MAX_NOTICE_DELAY_SECONDS = 0.3  # seconds that an end may be late by (protocol page)
MAX_RESPONSE_SECONDS = 1.0  # seconds to connect and for the answer at most
MAX_NOTICES_PER_REQUEST = 200  # in one request


def response_timeout() -> ResponseTimeout:
    """Two connections in a row may be dead, and the end is in time on the third."""
    return ResponseTimeout(MAX_NOTICE_DELAY_SECONDS / 4, MAX_RESPONSE_SECONDS)


def encode_notice(transaction: Transaction) -> str:
    """One notice."""
    if transaction.ending is Ending.REJECTED:
        fields: dict[str, object] = {"id": transaction.id, "status": "deferred"}
        if transaction.retry_after:
            fields["again_ms"] = max(1, transaction.retry_after // MILLISECOND)
    else:
        fields = {"id": transaction.id, "status": "undeliverable"}
    return json.dumps(fields, separators=(",", ":"))


def encode_request(transactions: list[Transaction], host: str) -> bytes:
    """One request that carries several notices."""
    body = "".join(encode_notice(transaction) + "\n" for transaction in transactions).encode()
    return http1.encode_request("POST", "/reports", host, {"Content-Type": "application/json"}, body)
