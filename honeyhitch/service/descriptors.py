"""How the descriptors that the machine grants are shared out."""

from __future__ import annotations

from typing import NamedTuple

from honeyhitch.config import FIXED_SOCKETS, Config

MONITORING_CONNECTIONS = 16  # connections at once to the agent-check, and as many to health and to management
CONTROL_DESCRIPTORS, STORE_DESCRIPTORS = (
    10,
    10,
)  # descriptors: a listener and its connections; database, log, lock
FLEET_DESCRIPTORS = 2  # the view's watch, and its file as it is written


class DescriptorBudget(NamedTuple):
    """How many connections there may be beside those that are always open and the calls out."""

    clients: int
    idle: int  # at rest, to members


def descriptor_budget(config: Config, processes: int = 1) -> DescriptorBudget:
    """How many clients and how many idle connections to members there may be; with the calls out and what
    is always open they stay under the limit of descriptors. Connections in a TLS handshake count as idle
    ones. While an upgrade lasts two processes have one limit.
    """
    beside = config.operator
    listeners = (beside.agent_check, beside.health, config.management)
    others = MONITORING_CONNECTIONS * sum(address is not None for address in listeners)
    others += CONTROL_DESCRIPTORS if beside.control is not None else 0
    others += STORE_DESCRIPTORS if beside.undelivered is not None else 0
    others += beside.fleet.peer_connections + FLEET_DESCRIPTORS if beside.fleet is not None else 0
    left = config.limits.sockets - config.settings.max_concurrent_calls - processes * (FIXED_SOCKETS + others)
    left //= processes
    most_idle = max(1, left // 4)
    return DescriptorBudget(max(1, left - most_idle), most_idle)
