"""Endpoint lists from discovery: the only module that knows the field names of their rows (wire page)."""

from __future__ import annotations

import sys
from dataclasses import dataclass, replace
from math import inf
from typing import Any

from honeyhitch.endpoints.endpoint import PoolEndpoint
from honeyhitch.policy.events import EndpointStatus

MAX_PORT = (1 << 16) - 1
MAX_PORT_DIGITS = 5
MAX_FIELD_LENGTH = 256  # characters of a field
MAX_FIELD_NUMBER = 1 << 63
DEFAULT_LISTED_RATE = 1.0  # calls per second
NO_DESTINATION = -1
MISSING = object()  # the value of a required field that a row lacks
READY_PHASE = "Ready"
STATUS_BY_PHASE = {
    READY_PHASE: EndpointStatus.READY,
    "Terminating": EndpointStatus.DRAINING,
    "Gone": EndpointStatus.GONE,
}

Row = dict[str, Any]


class PoolError(ValueError):
    """An endpoint list from discovery is invalid or outdated."""


@dataclass(frozen=True, slots=True)
class ListedRow:
    """The fields of one row that the pool uses, as decoded from JSON and not checked yet."""

    id: object
    address: object
    zone: object
    kind: object
    destination: object
    phase: str
    listed_rate: object
    started_at_ms: object

    @classmethod
    def from_json(cls, row: Row) -> ListedRow:
        """Return the fields of a row; values that many rows share are kept once.

        Raise PoolError for a field that is too large to be kept.
        """
        return cls(
            id=_bounded(row, "id", MISSING),
            address=_bounded(row, "host_port"),
            zone=_shared(_bounded(row, "locality")),
            kind=_shared(_bounded(row, "flavor")),
            destination=_bounded(row, "cell"),
            phase=sys.intern(str(_bounded(row, "phase", READY_PHASE))),
            listed_rate=_bounded(row, "size", DEFAULT_LISTED_RATE),
            started_at_ms=_bounded(row, "up_since_ms"),
        )


INVALID_ROW = ListedRow(MISSING, None, None, None, None, READY_PHASE, None, None)


@dataclass(frozen=True, slots=True)
class KnownList:
    """The complete list with which a process starts, whose rows are not checked yet."""

    revision: object
    rows: tuple[ListedRow, ...]

    @classmethod
    def parse(cls, received: dict[str, Any]) -> KnownList:
        """Return a list in discovery's form. A row that is no object becomes one that the pool rejects."""
        members = received.get("members")
        rows = members if isinstance(members, list) else [None]
        return cls(received.get("revision"), tuple(map(_known_row, rows)))


def _known_row(row: object) -> ListedRow:
    try:
        return ListedRow.from_json(row) if isinstance(row, dict) else INVALID_ROW
    except PoolError:
        return INVALID_ROW


def _bounded(row: Row, name: str, default: object = None) -> object:
    """Return a field of a row. Raise PoolError if it has parts of its own, or is too long or too large."""
    value = row.get(name, default)
    if isinstance(value, (list, dict)):
        raise PoolError(f"{name}: expected a text or a number, got {type(value).__name__}")
    if isinstance(value, str) and len(value) > MAX_FIELD_LENGTH:
        raise PoolError(f"{name}: {len(value)} characters, limit is {MAX_FIELD_LENGTH}")
    if isinstance(value, int) and abs(value) > MAX_FIELD_NUMBER:
        raise PoolError(f"{name}: expected at most {MAX_FIELD_NUMBER}, got a larger number")
    return value


def _shared(value: object) -> object:
    return sys.intern(value) if type(value) is str else value


def row_destination(row: Row) -> int | None:
    """Return the destination that a row names, or None if it names none."""
    destination = row.get("cell")
    return destination if isinstance(destination, int) else None


class RowParser:
    """Parses rows with the operator's names of kinds and zones.

    An unknown name counts as the first kind or zone.
    """

    def __init__(self, kinds: tuple[str, ...], zones: tuple[str, ...]) -> None:
        self.kinds = kinds
        self.zones = zones

    def parse(self, row: ListedRow, known_endpoint: PoolEndpoint | None) -> PoolEndpoint:
        """Return the endpoint of a row; a missing destination or address is taken from `known_endpoint`.

        `known_endpoint` is the present endpoint with the same id, if there is one. Raise a PoolError that
        names an invalid or missing field, and TypeError, ValueError or OverflowError for another value.
        """
        if row.id is MISSING:
            raise PoolError("id: missing")
        status = STATUS_BY_PHASE.get(row.phase, EndpointStatus.READY)
        if status is EndpointStatus.GONE and known_endpoint is not None:
            return replace(known_endpoint, status=status)
        return PoolEndpoint(
            id=str(row.id),
            destination=_parse_destination(row, known_endpoint),
            address=_parse_address(row, known_endpoint, status),
            listed_rate=_parse_listed_rate(row),
            kind=_index_of(self.kinds, row.kind),
            zone=_index_of(self.zones, row.zone),
            status=status,
            started_at_ms=_parse_start(row),
        )


def _parse_start(row: ListedRow) -> int:
    """Return when the process of an endpoint started; 0, long ago, for a missing or unusable time."""
    started_at_ms = row.started_at_ms
    return max(0, started_at_ms) if isinstance(started_at_ms, int) else 0


def _parse_destination(row: ListedRow, known_endpoint: PoolEndpoint | None) -> int:
    if row.destination is not None:
        return int(row.destination)  # type: ignore[call-overload, no-any-return]
    return known_endpoint.destination if known_endpoint is not None else NO_DESTINATION


def _parse_address(row: ListedRow, known_endpoint: PoolEndpoint | None, status: EndpointStatus) -> str:
    address = str(row.address or (known_endpoint.address if known_endpoint is not None else ""))
    host, _, port = address.rpartition(":")
    if status is not EndpointStatus.GONE and not (host and _is_port(port)):
        raise PoolError(f"host_port: expected HOST:PORT, got {address!r}")
    return address


def _parse_listed_rate(row: ListedRow) -> float:
    listed_rate = float(row.listed_rate)  # type: ignore[arg-type]
    if not 0 <= listed_rate < inf:  # also false for NaN, which would make every rate computed from it NaN
        raise PoolError(f"size: expected a number of 0 or more, got {listed_rate}")
    return listed_rate


def _is_port(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= MAX_PORT_DIGITS and int(text) <= MAX_PORT


def _index_of(names: tuple[str, ...], value: object) -> int:
    return names.index(value) if isinstance(value, str) and value in names else 0
