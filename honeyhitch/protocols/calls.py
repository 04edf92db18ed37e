"""Calls to endpoints over HTTP: encodes one message or a batch, and interprets the response as outcomes.

The header and status names of the platform's protocol are mapped to the program's terms here.
"""

from __future__ import annotations

import re
from http import HTTPStatus

from honeyhitch.dispatcher.delivery import CallResult
from honeyhitch.journal.transactions import Transaction
from honeyhitch.policy.events import Outcome
from honeyhitch.protocols import http1
from honeyhitch.time_units import HOUR, MILLISECOND, SECOND

MAX_RETRY_AFTER = HOUR  # ns; a longer Retry-After is reduced to this
SERVICE_UNAVAILABLE = HTTPStatus.SERVICE_UNAVAILABLE.value
OUTCOME_BY_STATUS = {
    http1.OK: Outcome.DELIVERED,
    HTTPStatus.TOO_MANY_REQUESTS.value: Outcome.REJECTED,
    SERVICE_UNAVAILABLE: Outcome.REJECTED,
    HTTPStatus.GATEWAY_TIMEOUT.value: Outcome.NOT_SENT,
    HTTPStatus.GONE.value: Outcome.NOT_SENT,
}
FINAL_STATUSES = (http1.OK, HTTPStatus.GONE.value)  # no further attempt is due
# The outcome of one message of a batch, and whether no further attempt is due.
BATCH_RESULT_BY_STATUS = {
    "accepted": (Outcome.DELIVERED, True),
    "fault": (Outcome.ERROR, False),
    "deferred": (Outcome.REJECTED, False),
    "expired": (Outcome.NOT_SENT, True),
    "no_more": (Outcome.NOT_SENT, False),
}
UNKNOWN_BATCH_RESULT = (Outcome.ERROR, False)
# Decimals are not limited: a float that is written out may have 17 of them, and more.
LOAD_FIGURE = re.compile(r"\d{1,12}(\.\d*)?|\.\d+", re.ASCII)  # a larger number is not a load figure
RETRY_AFTER_SECONDS = re.compile(r"\d+(\.\d*)?|\.\d+", re.ASCII)  # any length: a huge pause is still one


def encode_call(messages: list[Transaction], timeout: int, host: str) -> bytes:
    """The request of one call; `timeout` in nanoseconds is announced to the endpoint."""
    headers = {"X-Remaining": f"{max(1, timeout // MILLISECOND)}m"}
    if len(messages) > 1:
        return http1.encode_request("POST", "/v1/messages:batch", host, headers, encode_batch_body(messages))
    message = messages[0]
    headers = {"X-Txn": message.id, **headers}
    if message.key:
        headers["Idempotency-Key"] = message.key
    return http1.encode_request("POST", "/v1/messages", host, headers, message.body)


def encode_batch_body(messages: list[Transaction]) -> bytes:
    """Several messages, each as a line `id key length` and its body."""
    return b"".join(
        f"{message.id} {message.key or '-'} {len(message.body)}\r\n".encode() + message.body + b"\r\n"
        for message in messages
    )


def parse_retry_after(headers: dict[str, str]) -> int:
    """Retry-After in nanoseconds, 0 if it is missing or malformed. Header names are in lower case."""
    text = headers.get("retry-after", "").strip()
    if not RETRY_AFTER_SECONDS.fullmatch(text):
        return 0
    return int(min(MAX_RETRY_AFTER, float(text) * SECOND))


def parse_load_report(text: str) -> dict[str, float]:
    """The figures of a load report `name=number,...`; malformed ones are skipped."""
    fields = (field.strip().partition("=") for field in text.split(","))
    return {name: float(value) for name, _, value in fields if LOAD_FIGURE.fullmatch(value)}


def interpret_response(
    response: http1.Response, messages: list[Transaction], first_on_connection: bool = False
) -> CallResult:
    """What a response says of each message of the call.

    `first_on_connection`: the call was the first on its connection. Only then can a rejection mean that the
    endpoint's connection limit is reached.
    """
    status = response.status
    outcome = OUTCOME_BY_STATUS.get(status, Outcome.ERROR)
    if status == SERVICE_UNAVAILABLE and response.headers.get("x-no-slot", "").strip() == "1":
        outcome = Outcome.NOT_SENT
    result = CallResult.uniform(outcome, len(messages), status in FINAL_STATUSES)
    if status == http1.OK and len(messages) > 1:
        result.outcomes = _batch_outcomes(response.body, messages)
    if response.has_trailing_data:
        # A malformed length looks the same, so a statement that nothing was executed proves nothing.
        result.outcomes = [
            (Outcome.RESET, False) if outcome.proves_not_executed else (outcome, final)
            for outcome, final in result.outcomes
        ]
    result.retry_after = parse_retry_after(response.headers)
    result.reported = parse_load_report(response.headers.get("x-pressure", ""))
    if first_on_connection and outcome is Outcome.REJECTED and not response.has_trailing_data:
        result.connection_limited = _is_connection_limited(response, result)
    return result


def _batch_outcomes(body: bytes, messages: list[Transaction]) -> list[tuple[Outcome, bool]]:
    """The outcomes in the order of `messages`; one that the response omits may have been executed."""
    lines = (line.split() for line in body.decode("latin-1").splitlines())
    statuses = {fields[0]: fields[1] for fields in lines if len(fields) >= 2}
    return [
        BATCH_RESULT_BY_STATUS.get(statuses.get(message.id, ""), UNKNOWN_BATCH_RESULT) for message in messages
    ]


def _is_connection_limited(response: http1.Response, result: CallResult) -> bool:
    """Only an endpoint without room for the connection itself closes it and has no load to report."""
    closes = response.headers.get("connection", "").strip().lower() == "close"
    says_nothing_else = not result.retry_after and not result.reported
    return response.status == SERVICE_UNAVAILABLE and closes and says_nothing_else


def interpret_failure(status: int, messages: list[Transaction], outcome: Outcome) -> CallResult:
    """The result of a call without a complete response, which may have been executed.

    `status` is that of an incomplete response, or 0. Only a 200 for a single message counts.
    """
    if status == http1.OK and len(messages) == 1:
        return CallResult.uniform(Outcome.DELIVERED, 1, True)
    return CallResult.uniform(outcome, len(messages))
