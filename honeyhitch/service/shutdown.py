"""Drains and closes a service between the signal to stop and the end of the process."""

from __future__ import annotations

import asyncio

from honeyhitch import logs
from honeyhitch.service.listeners import leave_new_connections_to_peer
from honeyhitch.service.service import Service
from honeyhitch.time_units import SECOND

log = logs.get_logger()
# Seconds after SIGTERM. SIGKILL follows after 3.7 s at the earliest; the next process starts 0.6 s later.
STOP_ACCEPTING_SECONDS = 0.6
STOP_SENDING_SECONDS = 2.8
EXIT_SECONDS = 3.3
SUCCESSOR_SECONDS = 4.3
POLL_SECONDS = 0.02  # between checks for unfinished work


async def drain_and_stop(service: Service) -> None:
    """Let messages finish for a bounded time. The next process takes over the rest, or the journal keeps it.

    New connections are still accepted for a short time. Their messages are accepted as long as there is time
    to deliver them, and rejected after that.
    """
    started_at = service.loop.time()
    service.dispatcher.draining = True
    for server in service.servers:
        server.drain()
    service.handover.check_peer()
    if service.handover.peer_running:
        leave_new_connections_to_peer(service)
    log.info("service.draining", held=len(service.dispatcher.messages))
    if await _hand_over(service, started_at):
        return
    await _drain(service, started_at)


async def _hand_over(service: Service, started_at: float) -> bool:
    """Hand messages over while a next process runs. Return whether the work left here has finished.

    Until the next process listens, this one keeps its listeners, so that no client or balancer is refused.
    """
    while service.handover.peer_running and service.loop.time() - started_at < EXIT_SECONDS:
        service.dispatcher.hand_over()
        finished = _calls_and_notices_finished(service) and service.shared_requests_finished()
        if finished and service.handover.peer_listens():
            return True
        await asyncio.sleep(POLL_SECONDS)
    return False


async def _drain(service: Service, started_at: float) -> None:
    """Deliver messages, stop accepting, then stop starting calls; return once all is done or time is up."""
    dispatcher = service.dispatcher
    while (elapsed := service.loop.time() - started_at) < EXIT_SECONDS:
        dispatcher.accepting = elapsed <= STOP_ACCEPTING_SECONDS
        finished = not dispatcher.messages.by_id
        if elapsed > STOP_SENDING_SECONDS:
            dispatcher.stop_deciding(int((SUCCESSOR_SECONDS - elapsed) * SECOND))
            finished = _calls_and_notices_finished(service)
        if elapsed > STOP_ACCEPTING_SECONDS and finished and service.client_requests_finished():
            return
        await asyncio.sleep(POLL_SECONDS)


def _calls_and_notices_finished(service: Service) -> bool:
    return not service.dispatcher.calls_in_flight and not service.discovery.notices.pending


async def close(service: Service) -> None:
    """Release all resources at once, as the end of the process by SIGKILL would."""
    service.dispatcher.accepting = False
    service.dispatcher.sending = False
    for server in service.servers:
        server.close()
    if service.control is not None:
        service.control.close()
    await service.tasks.stop()
    if service.dead_letters is not None:
        await service.dead_letters.stop()
    if service.fleet is not None:
        service.fleet.close()
    service.handover.close()
    service.state_writer.stop()
    service.journal.close()
    service.state_directory.close()
    logs.flush(include_unfinished=True)
