"""The time between the signal to stop and the end of the process."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from honeyhitch.service.service import Service

STOP_ACCEPTING_SECONDS, STOP_SENDING_SECONDS, EXIT_SECONDS = (
    0.6,
    2.8,
    3.3,
)  # seconds after SIGTERM; SIGKILL comes after 3.7 at the soonest
SUCCESSOR_SECONDS = 4.3  # seconds after SIGTERM; the next process starts 0.6 s after SIGKILL
POLL_SECONDS = 0.02  # seconds between looks at what is still out
NS = 10**9


async def drain_and_stop(service: Service) -> None:
    """Let what is held finish for a bounded time; the journal keeps the rest.

    New connections keep coming for a moment. What they hand in is still taken on, as there is time to do
    it; after that it is turned away.
    """
    began, dispatcher = service.loop.time(), service.dispatcher
    dispatcher.draining = True
    for server in service.servers:
        server.drain()
    service.handover.check_peer()
    while service.handover.peer_running and service.loop.time() - began < EXIT_SECONDS:
        dispatcher.hand_over()
        if (
            not dispatcher.calls_in_flight
            and not service.discovery.pending_notices
            and service.servers_settled()
        ):
            return
        await asyncio.sleep(POLL_SECONDS)
    while (gone := service.loop.time() - began) < EXIT_SECONDS:
        dispatcher.accepting = gone <= STOP_ACCEPTING_SECONDS
        done = not dispatcher.messages.by_id
        if gone > STOP_SENDING_SECONDS:
            dispatcher.stop_deciding(int((SUCCESSOR_SECONDS - gone) * NS))
            done = not dispatcher.calls_in_flight and not service.discovery.pending_notices
        if gone > STOP_ACCEPTING_SECONDS and done and service.servers_settled():
            return
        await asyncio.sleep(POLL_SECONDS)
