"""Notices to the platform: how an accepted message ended that was not delivered."""

from __future__ import annotations

import json

from honeyhitch.journal.transactions import Ending, Transaction
from honeyhitch.protocols import http1
from honeyhitch.protocols.discovery_backoff import ResponseTimeout
from honeyhitch.time_units import MILLISECOND

MAX_NOTICE_DELAY_SECONDS = 0.3  # after the end of a message (protocol page)
MAX_RESPONSE_SECONDS = 1.0  # to connect and for the response
MAX_NOTICES_PER_REQUEST = 200
# Two connections in a row may be dead, with timeouts of 1/4 and 2/4 of the delay: the third is in time.
INITIAL_TIMEOUT_FRACTION = 1 / 4


def response_timeout() -> ResponseTimeout:
    """Timeouts that keep the notice delay although two connections in a row are dead."""
    return ResponseTimeout(MAX_NOTICE_DELAY_SECONDS * INITIAL_TIMEOUT_FRACTION, MAX_RESPONSE_SECONDS)


def encode_notice(transaction: Transaction) -> str:
    """One notice as a JSON object."""
    if transaction.ending is Ending.REJECTED:
        fields: dict[str, object] = {"id": transaction.id, "status": "deferred"}
        if transaction.retry_after:
            fields["again_ms"] = max(1, transaction.retry_after // MILLISECOND)
    else:
        fields = {"id": transaction.id, "status": "undeliverable"}
    return json.dumps(fields, separators=(",", ":"))


def encode_request(transactions: list[Transaction], host: str) -> bytes:
    """One request with several notices, one a line."""
    body = "".join(encode_notice(transaction) + "\n" for transaction in transactions).encode()
    return http1.encode_request("POST", "/reports", host, {"Content-Type": "application/json"}, body)
