"""Calls to endpoints over HTTP: encodes one message or a batch, and interprets the response as outcomes.

This module maps the header and status names of the platform's protocol to the terms of this program.
"""

from __future__ import annotations

import re
from http import HTTPStatus

from honeyhitch.dispatcher.delivery import CallResult
from honeyhitch.journal.transactions import Transaction
from honeyhitch.policy.events import Outcome
from honeyhitch.protocols import http1
from honeyhitch.time_units import HOUR, MILLISECOND, SECOND

MAX_RETRY_AFTER = HOUR  # ns; a longer Retry-After is reduced to this limit
SERVICE_UNAVAILABLE = HTTPStatus.SERVICE_UNAVAILABLE.value
OUTCOME_BY_STATUS = {
    http1.OK: Outcome.DELIVERED,
    HTTPStatus.TOO_MANY_REQUESTS.value: Outcome.REJECTED,
    SERVICE_UNAVAILABLE: Outcome.REJECTED,
    HTTPStatus.GATEWAY_TIMEOUT.value: Outcome.NOT_SENT,
    HTTPStatus.GONE.value: Outcome.NOT_SENT,
}
OUTCOME_LINE_BYTES = 512  # of one message of a batch; an id has at most a quarter of them
FINAL_STATUSES = (http1.OK, HTTPStatus.GONE.value)  # the message is concluded: no further attempt is made
# The outcome of one message of a batch, and whether it concludes the message (no further attempt is made).
BATCH_RESULT_BY_STATUS = {
    "accepted": (Outcome.DELIVERED, True),
    "fault": (Outcome.ERROR, False),
    "deferred": (Outcome.REJECTED, False),
    "expired": (Outcome.NOT_SENT, True),
    "no_more": (Outcome.NOT_SENT, False),
}
UNKNOWN_BATCH_RESULT = (Outcome.ERROR, False)
# A number with more than 12 digits before the point is not a load figure. The number of decimals is not
# limited, because the text of a float may have 17 or more of them.
LOAD_FIGURE = re.compile(r"\d{1,12}(\.\d*)?|\.\d+", re.ASCII)
# The number of digits is not limited, because a very long pause is valid.
RETRY_AFTER_SECONDS = re.compile(r"\d+(\.\d*)?|\.\d+", re.ASCII)


def encode_call(messages: list[Transaction], timeout: int, host: str) -> bytes:
    """Return the request of one call, which announces `timeout` (in nanoseconds) to the endpoint."""
    headers = {"X-Remaining": f"{max(1, timeout // MILLISECOND)}m"}
    if len(messages) > 1:
        return http1.encode_request("POST", "/v1/messages:batch", host, headers, encode_batch_body(messages))
    message = messages[0]
    headers = {"X-Txn": message.id, **headers}
    if message.key:
        headers["Idempotency-Key"] = message.key
    return http1.encode_request("POST", "/v1/messages", host, headers, message.body)


def encode_batch_body(messages: list[Transaction]) -> bytes:
    """Return a batch body: for each message a line `id key length`, followed by its body."""
    return b"".join(
        f"{message.id} {message.key or '-'} {len(message.body)}\r\n".encode() + message.body + b"\r\n"
        for message in messages
    )


def outcome_bytes(messages: list[Transaction]) -> int:
    """Return the most bytes of a response's body that the outcomes of these messages take.

    The body of the response to a single message has no meaning.
    """
    return OUTCOME_LINE_BYTES * len(messages) if len(messages) > 1 else 0


def parse_retry_after(headers: dict[str, str]) -> int:
    """Return Retry-After in nanoseconds, or 0 if it is missing or malformed.

    The names in `headers` are in lower case.
    """
    text = headers.get("retry-after", "").strip()
    if not RETRY_AFTER_SECONDS.fullmatch(text):
        return 0
    return int(min(MAX_RETRY_AFTER, float(text) * SECOND))


def parse_load_report(text: str) -> dict[str, float]:
    """Return the figures of a load report `name=number,...`; malformed figures are skipped."""
    fields = (field.strip().partition("=") for field in text.split(","))
    return {name: float(value) for name, _, value in fields if LOAD_FIGURE.fullmatch(value)}


def interpret_response(
    response: http1.Response, messages: list[Transaction], first_on_connection: bool = False
) -> CallResult:
    """Return the result of a call from its response, with an outcome for each message.

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
        # A wrong body length also causes trailing data, so an outcome of "not executed" is not reliable.
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
    """Return the outcomes of a batch in the order of `messages`.

    A message that the response omits may have been executed, so it counts as an error.
    """
    lines = (line.split() for line in body.decode("latin-1").splitlines())
    statuses = {fields[0]: fields[1] for fields in lines if len(fields) >= 2}
    return [
        BATCH_RESULT_BY_STATUS.get(statuses.get(message.id, ""), UNKNOWN_BATCH_RESULT) for message in messages
    ]


def _is_connection_limited(response: http1.Response, result: CallResult) -> bool:
    """Return whether the endpoint rejected the connection because of its connection limit.

    Only such a rejection closes the connection without a Retry-After and without a load report.
    """
    closes = response.headers.get("connection", "").strip().lower() == "close"
    reports_no_load = not result.retry_after and not result.reported
    return response.status == SERVICE_UNAVAILABLE and closes and reports_no_load


def interpret_failure(status: int, messages: list[Transaction], outcome: Outcome) -> CallResult:
    """Return the result of a call that may have been executed but has no complete response.

    `status` is the status code of the incomplete response, or 0 if none was received. A 200 for a call with a
    single message counts as delivered; otherwise every message has the given `outcome`.
    """
    if status == http1.OK and len(messages) == 1:
        return CallResult.uniform(Outcome.DELIVERED, 1, True)
    return CallResult.uniform(outcome, len(messages))
