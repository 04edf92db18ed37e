"""Calls to pool members over HTTP: one message or a batch as bytes, and answers as outcomes."""

from __future__ import annotations

import re

from honeyhitch.dispatcher.delivery import CallResult
from honeyhitch.journal.transactions import Transaction
from honeyhitch.policy.events import Outcome
from honeyhitch.protocols import http1
from honeyhitch.time_units import MILLISECOND, SECOND

MAX_RETRY_AFTER = 3600 * SECOND  # a longer told wait is cut to this
OUTCOME_BY_STATUS = {
    200: Outcome.DELIVERED,
    429: Outcome.REJECTED,
    503: Outcome.REJECTED,
    504: Outcome.NOT_SENT,
    410: Outcome.NOT_SENT,
}
BATCH_RESULT_BY_STATUS = {
    "accepted": (Outcome.DELIVERED, True),
    "fault": (Outcome.ERROR, False),
    "deferred": (Outcome.REJECTED, False),
    "expired": (Outcome.NOT_SENT, True),
    "no_more": (Outcome.NOT_SENT, False),
}
# Decimals without a bound: a float written out may have 17 of them, and more.
LOAD_FIGURE = re.compile(r"\d{1,12}(\.\d*)?|\.\d+", re.ASCII)  # of a report: a figure beyond is no figure
RETRY_AFTER_SECONDS = re.compile(r"\d+(\.\d*)?|\.\d+", re.ASCII)  # a wait beyond all bounds is one still


def encode_call(messages: list[Transaction], timeout: int, host: str) -> bytes:
    """The request for one call."""
    headers = {"X-Remaining": f"{max(1, timeout // MILLISECOND)}m"}
    if len(messages) == 1:
        headers = {"X-Txn": messages[0].id, **headers}
        if messages[0].key:
            headers["Idempotency-Key"] = messages[0].key
        return http1.encode_request("POST", "/v1/messages", host, headers, messages[0].body)
    return http1.encode_request("POST", "/v1/messages:batch", host, headers, encode_batch_body(messages))


def encode_batch_body(messages: list[Transaction]) -> bytes:
    """Several messages as the lines of a batch."""
    return b"".join(
        f"{part.id} {part.key or '-'} {len(part.body)}\r\n".encode() + part.body + b"\r\n"
        for part in messages
    )


def parse_retry_after(headers: dict[str, str]) -> int:
    """The told wait in nanoseconds, 0 if there is none; names are in lower case."""
    text = headers.get("retry-after", "").strip()
    return int(min(MAX_RETRY_AFTER, float(text) * SECOND)) if RETRY_AFTER_SECONDS.fullmatch(text) else 0


def parse_load_report(text: str) -> dict[str, float]:
    """The fields of a load report; what cannot be read is skipped."""
    pairs = (part.strip().partition("=") for part in text.split(","))
    return {name: float(value) for name, _, value in pairs if LOAD_FIGURE.fullmatch(value)}


def interpret_response(
    response: http1.Response, messages: list[Transaction], first_on_connection: bool = False
) -> CallResult:
    """What an answer says of each of the call's transactions; `fresh` if it is its connection's first."""
    status, count = response.status, len(messages)
    outcome = OUTCOME_BY_STATUS.get(status, Outcome.ERROR)
    over = status in (200, 410)
    if status == 503 and response.headers.get("x-no-slot", "").strip() == "1":
        outcome = Outcome.NOT_SENT
    result = CallResult.uniform(outcome, count, over)
    if status == 200 and count > 1:
        told = dict(line.split()[:2] for line in _lines(response.body) if len(line.split()) >= 2)
        # A message that the answer passes over may have run: nobody said that it did not.
        result.outcomes = [
            BATCH_RESULT_BY_STATUS.get(told.get(part.id, ""), (Outcome.ERROR, False)) for part in messages
        ]
    if (
        response.has_trailing_data
    ):  # a spoilt length looks like this, too: what says that nothing ran proves nothing
        result.outcomes = [
            (Outcome.RESET, False) if outcome.proves_not_executed else (outcome, over)
            for outcome, over in result.outcomes
        ]
    result.retry_after = parse_retry_after(response.headers)
    result.reported = parse_load_report(response.headers.get("x-pressure", ""))
    if first_on_connection and outcome is Outcome.REJECTED and not response.has_trailing_data:
        # Only a member that has no room for the connection itself closes it and has no load to tell.
        closes = response.headers.get("connection", "").strip().lower() == "close"
        result.connection_limited = (
            status == 503 and closes and not result.retry_after and not result.reported
        )
    return result


def _lines(body: bytes) -> list[str]:
    return body.decode("latin-1").splitlines()


def interpret_failure(status: int, messages: list[Transaction], outcome: Outcome) -> CallResult:
    """No whole answer came, whatever its first line says: the call may have run. Only a lone 200 is true."""
    if status == 200 and len(messages) == 1:
        return CallResult.uniform(Outcome.DELIVERED, 1, True)
    return CallResult.uniform(outcome, len(messages))
