"""Endpoint lists from discovery: the only module that knows the field names of their rows (wire page)."""

from __future__ import annotations

from dataclasses import dataclass, replace
from math import inf
from typing import Any

from honeyhitch.endpoints.endpoint import PoolEndpoint
from honeyhitch.policy.events import EndpointStatus

MAX_PORT = (1 << 16) - 1
MAX_PORT_DIGITS = 5
DEFAULT_LISTED_RATE = 1.0  # calls per second
NO_DESTINATION = -1
STATUS_BY_PHASE = {
    "Ready": EndpointStatus.READY,
    "Terminating": EndpointStatus.DRAINING,
    "Gone": EndpointStatus.GONE,
}

Row = dict[str, Any]


class PoolError(ValueError):
    """An endpoint list from discovery is invalid or outdated."""


@dataclass(frozen=True, slots=True)
class EndpointList:
    """One complete list or one change, with unparsed rows."""

    rows: list[Row]
    revision: int
    complete: bool

    @classmethod
    def parse(cls, received: dict[str, Any]) -> EndpointList:
        """Parse the outer fields; raise KeyError, TypeError, ValueError or OverflowError if invalid."""
        return cls(received["members"], int(received["revision"]), bool(received.get("complete", False)))


def row_id(row: Row) -> str:
    """Return the id of a row's endpoint; raise KeyError or TypeError if it is not a row."""
    return str(row["id"])


def row_destination(row: Row) -> int | None:
    """Return the destination that a row names, or None if it names none."""
    destination = row.get("cell")
    return destination if isinstance(destination, int) else None


def row_is_known(row: Row, endpoints: dict[str, PoolEndpoint]) -> bool:
    """Return whether a row is about one of `endpoints`; raise KeyError or TypeError for an invalid row."""
    return row["id"] in endpoints


class RowParser:
    """Parses rows with the operator's names of kinds and zones.

    An unknown name counts as the first kind or zone.
    """

    def __init__(self, kinds: tuple[str, ...], zones: tuple[str, ...]) -> None:
        self.kinds = kinds
        self.zones = zones

    def parse(self, row: Row, known_endpoint: PoolEndpoint | None) -> PoolEndpoint:
        """Return the endpoint of a row; a missing destination or address is taken from `known_endpoint`.

        `known_endpoint` is the present endpoint with the same id, if there is one. Raise a PoolError that
        names an invalid field, and KeyError, TypeError, ValueError or OverflowError if it is not a row.
        """
        status = STATUS_BY_PHASE.get(str(row.get("phase", "Ready")), EndpointStatus.READY)
        if status is EndpointStatus.GONE and known_endpoint is not None:
            return replace(known_endpoint, status=status)
        return PoolEndpoint(
            id=row_id(row),
            destination=_parse_destination(row, known_endpoint),
            address=_parse_address(row, known_endpoint, status),
            listed_rate=_parse_listed_rate(row),
            kind=_index_of(self.kinds, row.get("flavor")),
            zone=_index_of(self.zones, row.get("locality")),
            status=status,
            started_at_ms=_parse_start(row),
        )


def _parse_start(row: Row) -> int:
    """Return when the process of an endpoint started; 0, long ago, for a missing or unusable time."""
    started_at_ms = row.get("up_since_ms")
    return max(0, started_at_ms) if isinstance(started_at_ms, int) else 0


def _parse_destination(row: Row, known_endpoint: PoolEndpoint | None) -> int:
    destination = row.get("cell")
    if destination is not None:
        return int(destination)
    return known_endpoint.destination if known_endpoint is not None else NO_DESTINATION


def _parse_address(row: Row, known_endpoint: PoolEndpoint | None, status: EndpointStatus) -> str:
    address = str(row.get("host_port") or (known_endpoint.address if known_endpoint is not None else ""))
    host, _, port = address.rpartition(":")
    if status is not EndpointStatus.GONE and not (host and _is_port(port)):
        raise PoolError(f"host_port: expected HOST:PORT, got {address!r}")
    return address


def _parse_listed_rate(row: Row) -> float:
    listed_rate = float(row.get("size", DEFAULT_LISTED_RATE))
    if not 0 <= listed_rate < inf:  # also false for NaN, which would make every rate computed from it NaN
        raise PoolError(f"size: expected a number of 0 or more, got {listed_rate}")
    return listed_rate


def _is_port(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= MAX_PORT_DIGITS and int(text) <= MAX_PORT


def _index_of(names: tuple[str, ...], value: object) -> int:
    return names.index(value) if isinstance(value, str) and value in names else 0
