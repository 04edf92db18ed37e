"""How the descriptors that the machine grants are divided."""

from __future__ import annotations

from typing import NamedTuple

from honeyhitch.config import RESERVED_DESCRIPTORS, Config

MONITORING_CONNECTIONS = 16  # at once to the agent-check, and as many to health and to management
CONTROL_DESCRIPTORS = 10  # the listener and its connections
STORE_DESCRIPTORS = 10  # database, log, lock
FLEET_DESCRIPTORS = 2  # the view's watch, and its file as it is written
IDLE_DIVISOR = 4  # a quarter of the free descriptors is for idle connections


class DescriptorBudget(NamedTuple):
    """How many connections there may be apart from those that are always open and the calls in flight."""

    clients: int
    idle: int  # pooled, to endpoints


class IdleLimits(NamedTuple):
    """How many idle connections each transport may pool."""

    http: int
    tls: int


def descriptor_budget(config: Config, processes: int = 1) -> DescriptorBudget:
    """How many clients and how many idle connections to endpoints there may be.

    With the calls in flight and what is always open they stay under the limit of descriptors. Connections in
    a TLS handshake count as idle ones. During a hand-over two processes share one limit.
    """
    free = config.limits.sockets - config.settings.max_concurrent_calls
    free -= processes * (RESERVED_DESCRIPTORS + _feature_descriptors(config))
    free //= processes
    max_idle = max(1, free // IDLE_DIVISOR)
    return DescriptorBudget(max(1, free - max_idle), max_idle)


def _feature_descriptors(config: Config) -> int:
    """The descriptors of one process for the features that are set up."""
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
    """Divide idle connections between plain and TLS endpoints, where there are both."""
    http = max(1, max_idle // 2) if config.operator.tls is not None else max_idle
    return IdleLimits(http, tls=max(1, max_idle - http))
