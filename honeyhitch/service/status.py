"""Reports whether a service accepts new work, for its listeners and its control socket."""

from __future__ import annotations

import os
from dataclasses import replace
from typing import Any

from honeyhitch import __version__
from honeyhitch.dispatcher.delivery import DispatcherState, Phase
from honeyhitch.service.service import Service


def service_state(service: Service) -> DispatcherState:
    """Return the state that tells whether this process accepts new work, and is not about to end.

    An instance of a fleet is starting until it knows which destinations it owns.
    """
    state = service.dispatcher.state()
    if service.fleet is not None and not service.fleet.ready and state.phase is Phase.READY:
        return replace(state, phase=Phase.STARTING)
    return state


def dispatcher_state(service: Service) -> DispatcherState:
    """Return the state of the dispatcher, which two processes of an upgrade serve together.

    It is ready as long as one of them is. Balancers and clients ask for this state: their connections may
    reach either process.
    """
    state = service_state(service)
    if state.phase is Phase.READY or not service.handover.peer_accepts_messages:
        return state
    return replace(state, phase=Phase.READY, message_count=service.handover.peer_message_count)


async def state_report(service: Service) -> dict[str, Any]:
    """Return the reply to `GET /state` on the control socket."""
    state = service.dispatcher.state()
    report: dict[str, Any] = {
        "phase": state.phase.value,
        "held": state.message_count,
        "most": state.max_messages,
    }
    if service.dead_letters is not None:
        report["undelivered"] = service.dead_letters.metrics()
    return report | {"pid": os.getpid(), "name": service.config.name, "version": __version__}
