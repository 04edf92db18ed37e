"""Parser and formatter of the simulator's lines: the only module that maps their words to the policy's terms.

Each `parse_` function takes the values of a line, without the line's name, and raises ConfigError or its
subclass WireError for a value that the wire does not allow.
"""

from __future__ import annotations

from honeyhitch.config.deployment import ConfigError
from honeyhitch.config.values import parse_choice, parse_integer, parse_number
from honeyhitch.policy.actions import (
    Action,
    Cancel,
    CloseIdleConnections,
    Fail,
    OpenConnections,
    RecordOutage,
    Reject,
    ReportHealth,
    Send,
    SetTimer,
    Subscribe,
)
from honeyhitch.policy.events import (
    AttemptEnded,
    EndpointListing,
    EndpointStatus,
    NewMessage,
    Outcome,
    UpdateMode,
)
from honeyhitch.time_units import MILLISECOND

OUTCOMES = {
    "pass": Outcome.DELIVERED,
    "fault": Outcome.ERROR,
    "no_room": Outcome.REJECTED,
    "too_slow": Outcome.TIMEOUT,
    "no_route": Outcome.CONNECT_FAILED,
    "cut": Outcome.RESET,
    "undone": Outcome.CANCELLED,
    "stale_send": Outcome.NOT_SENT,
}
UPDATE_MODES = {
    "delta": UpdateMode.CHANGES,
    "full": UpdateMode.FULL,
    "cached": UpdateMode.CACHED,
    "failed": UpdateMode.FAILED,
}
ENDPOINT_STATUSES = {status.value: status for status in EndpointStatus}
FLAGS = {"1": True, "0": False}
ABSENT = "-"
EXPECTED_WORK_VALID = 1  # bit of the marks of an `arrival` line
RECOVERED_FROM_JOURNAL = 2 | 16  # bits of the same marks; either is enough
LIMIT_REMAINING_FIELD = "x0"  # names of figures in the report of an attempt
RATE_LIMIT_FIELD = "x1"


class WireError(ConfigError):
    """Raised for a line that the wire does not allow, or an action that the wire cannot express."""


def _optional_integer(text: str, name: str) -> int:
    return 0 if text == ABSENT else parse_integer(text, name)


def parse_listing(values: list[str]) -> EndpointListing:
    """Return the list entry that the values of an `endpoint` line describe."""
    return EndpointListing(
        endpoint=values[0],
        listed_rate=parse_number(values[1], "scale"),
        zone=_optional_integer(values[2], "az"),
        status=parse_choice(ENDPOINT_STATUSES, values[3], "status"),
        destination=_optional_integer(values[5], "belongs-to"),
        kind=_optional_integer(values[6], "machine"),
    )


def parse_update_mode(text: str) -> UpdateMode:
    """Return the update mode that a `membership` line names."""
    return parse_choice(UPDATE_MODES, text, "mode")


def parse_arrival(values: list[str]) -> NewMessage:
    """Return the message that the values of an `arrival` line describe."""
    marks = _optional_integer(values[8], "marks")
    return NewMessage(
        message=values[1],
        tenant=_optional_integer(values[2], "team"),
        ordering_key=None if values[3] == ABSENT else parse_integer(values[3], "target-key"),
        time_left=parse_integer(values[4], "time-budget"),
        class_index=parse_integer(values[5], "class"),
        expected_work=_optional_integer(values[6], "work") if marks & EXPECTED_WORK_VALID else 0,
        destination=parse_integer(values[7], "terminates-at"),
        recovered_from_journal=bool(marks & RECOVERED_FROM_JOURNAL),
    )


def parse_attempt_ended(values: list[str], report_fields: tuple[str, ...]) -> AttemptEnded:
    """Return the end of an attempt that the values of a `returned` line describe.

    `report_fields` names the figures of the report in the line, in their order.
    """
    outcome = parse_choice(OUTCOMES, values[4], "outcome")
    wait = _optional_integer(values[7], "wait-ms") if outcome is Outcome.REJECTED else 0
    report = dict(zip(report_fields, _parse_report(values[8]), strict=False))
    return AttemptEnded(
        message=values[1],
        attempt=parse_integer(values[2], "shot"),
        endpoint=values[3],
        outcome=outcome,
        elapsed=parse_integer(values[5], "rtt"),
        message_concluded=parse_choice(FLAGS, values[6], "settled"),
        retry_after=wait * MILLISECOND,
        limit_remaining=report.get(LIMIT_REMAINING_FIELD, 1.0),
        rate_limit=report.get(RATE_LIMIT_FIELD, 0.0),
    )


def _parse_report(text: str) -> tuple[float, ...]:
    if text == ABSENT:
        return ()
    return tuple(parse_number(figure, "pressure") for figure in text.split(","))


def check_health_result(values: list[str]) -> None:
    """Check the values of a `health_result` line. The policy does not use them."""
    parse_choice(OUTCOMES, values[2], "outcome")
    parse_integer(values[3], "rtt")


def format_action(instance: str, action: Action) -> str:
    """Return the line of an action. Raise WireError for an action that the wire cannot express."""
    match action:
        case Send(message, endpoint, timeout):
            return f"route {instance} {message} {timeout} {endpoint}"
        case Cancel(message, attempt):
            return f"undo_send {instance} {message} {attempt}"
        case Reject(message, retry_after):
            return f"push_back {instance} {message} {retry_after}"
        case Fail(message):
            return f"respond_error {instance} {message}"
        case SetTimer(at):
            return f"timer {instance} {at} wake"
        case Subscribe():
            return f"keep_informed {instance} 1"
        case CloseIdleConnections(endpoint):
            return f"drop_conns {instance} {endpoint}"
        case OpenConnections(endpoint):
            raise WireError(f"no endpoint of the wire is gated, yet {endpoint} is")
        case ReportHealth() | RecordOutage():
            raise WireError("what a real dispatcher logs and keeps has no line on the wire")


def format_policy_error(instance: str, error: Exception) -> str:
    """Return the line that reports an exception of an instance's policy."""
    reason = f"{type(error).__name__}: {error}".replace("\n", " ")
    return f"bug {instance} {reason}"


def format_ready(batch_number: str) -> str:
    """Return the line that ends the reply to a batch, with its line break."""
    return f"ready {batch_number}\n"
