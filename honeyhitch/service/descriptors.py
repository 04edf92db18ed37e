"""How the descriptors that the machine grants are shared out."""

from __future__ import annotations

from typing import NamedTuple

from honeyhitch.config import RESERVED_DESCRIPTORS, Config

BESIDE_SOCKETS = 16  # connections at once to the agent-check, and as many to health and to management
CONTROL_FILES, STORE_FILES = 10, 10  # descriptors: a listener and its connections; database, log, lock
FLEET_FILES = 2  # the view's watch, and its file as it is written


class DescriptorBudget(NamedTuple):
    """How many connections there may be beside those that are always open and the calls out."""

    clients: int
    idle: int  # at rest, to members


def budget(config: Config, processes: int = 1) -> DescriptorBudget:
    """How many clients and how many idle connections to members there may be; with the calls out and what
    is always open they stay under the limit of descriptors. Connections in a TLS handshake count as idle
    ones. While an upgrade lasts two processes have one limit.
    """
    beside = config.operator
    listeners = (beside.agent_check, beside.health, config.management)
    others = BESIDE_SOCKETS * sum(address is not None for address in listeners)
    others += CONTROL_FILES if beside.control is not None else 0
    others += STORE_FILES if beside.dead_letters is not None else 0
    others += beside.fleet.peer_connections + FLEET_FILES if beside.fleet is not None else 0
    left = (
        config.limits.sockets
        - config.settings.max_concurrent_calls
        - processes * (RESERVED_DESCRIPTORS + others)
    )
    left //= processes
    most_idle = max(1, left // 4)
    return DescriptorBudget(max(1, left - most_idle), most_idle)
