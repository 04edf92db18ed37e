"""Divides the file descriptors that the machine grants to a dispatcher."""

from __future__ import annotations

from typing import NamedTuple

from honeyhitch.config import RESERVED_DESCRIPTORS, Config

MONITORING_CONNECTIONS = 16  # concurrent; for each of the agent-check, health and management listeners
CONTROL_DESCRIPTORS = 10  # the control listener and its connections
STORE_DESCRIPTORS = 10  # the database, its log and its lock
FLEET_DESCRIPTORS = 2  # the connection that watches the view, and the file that saves it
IDLE_DIVISOR = 4  # idle connections get a quarter of the free descriptors


class DescriptorBudget(NamedTuple):
    """The maximum numbers of connections, besides calls in flight and connections that are always open."""

    clients: int
    idle: int  # pooled connections to endpoints


class IdleLimits(NamedTuple):
    """The maximum number of idle connections that each transport may pool."""

    http: int
    tls: int


def descriptor_budget(config: Config, processes: int = 1) -> DescriptorBudget:
    """Return the maximum numbers of clients and of idle connections to endpoints for one process.

    Together with the calls in flight and the descriptors that are always open, they stay below the limit on
    descriptors. Connections in a TLS handshake count as idle connections. During a hand-over two processes
    share one limit.
    """
    free = config.limits.sockets - config.settings.max_concurrent_calls
    free -= processes * (RESERVED_DESCRIPTORS + _feature_descriptors(config))
    free //= processes
    max_idle = max(1, free // IDLE_DIVISOR)
    return DescriptorBudget(max(1, free - max_idle), max_idle)


def _feature_descriptors(config: Config) -> int:
    """Return the number of descriptors that one process needs for its configured features."""
    operator = config.operator
    listeners = (operator.agent_check, operator.health, config.management)
    count = MONITORING_CONNECTIONS * sum(address is not None for address in listeners)
    if operator.control is not None:
        count += CONTROL_DESCRIPTORS
    if operator.dead_letters is not None:
        count += STORE_DESCRIPTORS
    if operator.fleet is not None:
        count += operator.fleet.peer_connections + FLEET_DESCRIPTORS
    return count


def idle_limits(config: Config, max_idle: int) -> IdleLimits:
    """Divide the idle connections between plain and TLS endpoints if TLS is configured."""
    http = max(1, max_idle // 2) if config.operator.tls is not None else max_idle
    return IdleLimits(http, tls=max(1, max_idle - http))
