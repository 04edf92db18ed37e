"""Notices to the platform about accepted messages that were not delivered."""

from __future__ import annotations

import json

from honeyhitch.journal.transactions import Ending, Transaction
from honeyhitch.protocols import http1
from honeyhitch.protocols.discovery_backoff import ResponseTimeout
from honeyhitch.time_units import MILLISECOND

MAX_NOTICE_DELAY_SECONDS = 0.3  # from the end of a message to its notice (protocol page)
MAX_RESPONSE_SECONDS = 1.0  # longest timeout for connecting and for the response
MAX_NOTICES_PER_REQUEST = 200
# The first two connections may be dead: their timeouts take 1/4 and 2/4 of the maximum delay, so a notice on
# the third connection is still in time.
INITIAL_TIMEOUT_FRACTION = 1 / 4


def response_timeout() -> ResponseTimeout:
    """Return timeouts that keep the maximum notice delay even if two consecutive connections are dead."""
    return ResponseTimeout(MAX_NOTICE_DELAY_SECONDS * INITIAL_TIMEOUT_FRACTION, MAX_RESPONSE_SECONDS)


def encode_notice(transaction: Transaction) -> str:
    """Return one notice as a JSON object."""
    if transaction.ending is Ending.REJECTED:
        fields: dict[str, object] = {"id": transaction.id, "status": "deferred"}
        if transaction.retry_after:
            fields["again_ms"] = max(1, transaction.retry_after // MILLISECOND)
    else:
        fields = {"id": transaction.id, "status": "undeliverable"}
    return json.dumps(fields, separators=(",", ":"))


def encode_request(transactions: list[Transaction], host: str) -> bytes:
    """Return one request with several notices, one per line."""
    body = "".join(encode_notice(transaction) + "\n" for transaction in transactions).encode()
    return http1.encode_request("POST", "/reports", host, {"Content-Type": "application/json"}, body)
