"""Choice of the endpoint for a message."""

from __future__ import annotations

from typing import NamedTuple

from honeyhitch.policy.circuit_breaking import EJECTION_FAILURE_FRACTION
from honeyhitch.policy.endpoint_state import EndpointState
from honeyhitch.policy.message import MessageDestination, PendingMessage
from honeyhitch.policy.settings import Settings
from honeyhitch.time_units import NEVER

# Calls in flight to one destination stay at or under three quarters of the slots of an instance
# (claim `dest_cap`).
HEALTHY_SLOT_FRACTION = 0.75
# An unhealthy destination holds at most half of an instance's slots (claim `isolates`); this fraction is half
# of what the claim allows.
UNHEALTHY_SLOT_FRACTION = 0.25
FAILURE_RANKS = 4  # steps into which failure fractions are rounded down to compare endpoints


class EndpointChoice(NamedTuple):
    """The endpoint to which a message may be sent now, or else when to consider the message again."""

    endpoint: EndpointState | None
    ready_at: int  # ns; NEVER if the next event for the destination decides
    connect_to: EndpointState | None  # the endpoint that would take the message on an open connection


def choose_endpoint(message: PendingMessage, now: int, settings: Settings) -> EndpointChoice:
    """Choose the best-ranked endpoint among those that may take a call with the message now.

    An endpoint must be in the message's required zone if there is one, so that no effect is duplicated; be
    listed, because one that is draining or gone gets no new calls; and be ready for a call, so that a
    destination in slow start is not overloaded (rules 2, 3 and 4).
    """
    destination = message.destination
    zone = message.required_zone()
    earliest_ready_at = NEVER
    ready: list[EndpointState] = []
    unconnected: list[EndpointState] = []
    for endpoint in destination.endpoints.values():
        if not endpoint.listed or (zone is not None and zone != endpoint.zone):
            continue
        ready_at = endpoint.state.ready_at(now, message.non_idempotent)
        if endpoint.connection_limit_failures:
            ready_at = max(ready_at, endpoint.connect_blocked_until)
        if _slots_used_up(endpoint, destination, now, settings):
            ready_at = NEVER
        elif ready_at <= now:
            if endpoint.concurrent_calls < endpoint.capacity:
                ready.append(endpoint)
            elif endpoint.connect_blocked_until > now:
                ready_at = endpoint.connect_blocked_until
            else:
                ready_at = NEVER
                unconnected.append(endpoint)
        earliest_ready_at = min(earliest_ready_at, ready_at)
    if ready:
        return EndpointChoice(_best_endpoint(ready, message, now, settings), earliest_ready_at, None)
    if unconnected:
        return EndpointChoice(None, earliest_ready_at, _best_endpoint(unconnected, message, now, settings))
    return EndpointChoice(None, earliest_ready_at, None)


def _slots_used_up(
    endpoint: EndpointState, destination: MessageDestination, now: int, settings: Settings
) -> bool:
    """Return whether the destination uses its whole share of the slots (claims `dest_cap` and `isolates`)."""
    circuit = endpoint.state.circuit
    unhealthy = circuit.ejected or circuit.call_failures.failure_fraction(now) >= EJECTION_FAILURE_FRACTION
    fraction = UNHEALTHY_SLOT_FRACTION if unhealthy else HEALTHY_SLOT_FRACTION
    return destination.concurrent_calls >= max(1, int(settings.max_concurrent_calls * fraction))


def _best_endpoint(
    endpoints: list[EndpointState], message: PendingMessage, now: int, settings: Settings
) -> EndpointState:
    return min(endpoints, key=lambda endpoint: _rank(endpoint, message, now, settings))


def _rank(
    endpoint: EndpointState, message: PendingMessage, now: int, settings: Settings
) -> tuple[int, int, int]:
    """Return the sort key of an endpoint: failure rank, load, and time since its last use."""
    crosses_zones = settings.cross_zone_cost > 0 and endpoint.zone != settings.zone
    used_last = endpoint.name == message.last_endpoint
    failure_fraction = endpoint.class_failure_fraction(now, message.class_index)
    load = endpoint.concurrent_calls + crosses_zones + used_last
    # The endpoint used last is the most likely to have an open connection.
    return int(FAILURE_RANKS * failure_fraction), load, -endpoint.last_used_at


def calls_needing_connections(
    destination: MessageDestination, endpoint: EndpointState, now: int, settings: Settings
) -> int:
    """Return for how many calls to open connections to this endpoint: 1 if it is ejected or rate-limited."""
    if endpoint.state.is_limited(now):
        return 1
    return min(destination.queue_length(), settings.max_concurrent_calls)
