"""Opens the listeners of a service, for clients and for monitoring and management."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from honeyhitch import logs
from honeyhitch.config import Address, ConfigError
from honeyhitch.dispatcher.delivery import DispatcherState, Phase
from honeyhitch.journal.transactions import Transaction
from honeyhitch.memory.budget import MemoryBudget
from honeyhitch.protocols import resp
from honeyhitch.protocols.agent_check import AgentSession, HealthSession
from honeyhitch.protocols.management import ManagementSession
from honeyhitch.protocols.server_session import ServerSession
from honeyhitch.protocols.transaction_parser import TransactionParser
from honeyhitch.service.descriptors import MONITORING_CONNECTIONS
from honeyhitch.service.limit_report import limit_report
from honeyhitch.service.service import Service
from honeyhitch.service.status import dispatcher_state, service_state
from honeyhitch.transports import sockets
from honeyhitch.transports.client_server import ClientServer

log = logs.get_logger()
# Between attempts to bind an address that the running process does not share.
LISTEN_RETRY_SECONDS = 0.005
LISTEN_RETRY_AT_END_SECONDS = 0.001  # once that process hands its messages over, and is about to end


@dataclass(frozen=True, slots=True)
class Listener:
    """What to listen for; `setting` is the key of the address in the configuration."""

    setting: str
    address: Address
    create_session: Callable[[], ServerSession]
    max_connections: int = MONITORING_CONNECTIONS
    single_request: bool = False
    shared: bool = False  # both processes of an upgrade listen there
    budget: MemoryBudget | None = None  # for incomplete requests
    forward: Callable[[Transaction], Awaitable[bytes]] | None = None


def listen_for_clients(service: Service) -> None:
    """Accept messages over RESP2. Raise ConfigError if the address cannot be bound."""
    dispatcher = service.dispatcher
    fleet = service.fleet
    has_destination = dispatcher.pool.has_destination if fleet is None else fleet.has_destination
    parser = TransactionParser(service.config.settings, has_destination, dispatcher.metrics.message_invalid)

    def ready() -> bool:
        return dispatcher_state(service).phase is Phase.READY

    def create_session() -> resp.Session:
        return resp.Session(
            parser, dispatcher.submit, ready, service.scheduler.now, fleet, service.config.name
        )

    listener = Listener(
        "listen",
        service.config.listen,
        create_session,
        service.max_clients,
        shared=True,
        budget=service.memory.requests,
        forward=None if fleet is None else fleet.forwarder.forward,
    )
    service.clients = _listen(service, listener)
    service.limit_clients(service.clients)


def listen_for_management(service: Service) -> None:
    """Answer management calls, each for this process alone.

    Raise ConfigError if the address cannot be bound.
    """
    address = service.config.management
    dispatcher = service.dispatcher

    def state() -> DispatcherState:
        return service_state(service)

    def create_session() -> ManagementSession:
        return ManagementSession(
            state, dispatcher.metrics_snapshot, service.fleet, lambda: limit_report(service)
        )

    if address is not None:
        _listen(service, Listener("management", address, create_session, single_request=True))


def listen_for_balancers(service: Service) -> None:
    """Answer agent-checks and health checks, which ask for the state of the whole dispatcher.

    An address that a running process of an earlier version holds for itself is bound once it is free. Raise
    ConfigError if an address cannot be bound for another reason.
    """
    operator = service.config.operator

    def state() -> DispatcherState:
        return dispatcher_state(service)

    listeners = list[Listener]()
    if operator.agent_check is not None:
        listeners.append(
            Listener("beside.agent-check", operator.agent_check, lambda: AgentSession(state), shared=True)
        )
    if operator.health is not None:
        listeners.append(
            Listener("beside.health", operator.health, lambda: HealthSession(state), shared=True)
        )
    for listener in listeners:
        _listen_once_free(service, listener)


def _listen(service: Service, listener: Listener) -> ClientServer:
    """Listen at an address and serve its connections. Raise ConfigError if the address cannot be bound."""
    try:
        server = service.start_retry.run(lambda: _create_server(service, listener), listener.setting)
    except OSError as error:
        raise _config_error(listener, error) from error
    _serve(service, listener, server)
    return server


def _listen_once_free(service: Service, listener: Listener) -> None:
    """Listen at an address, or leave that to a task as long as a running process holds the address."""
    try:
        server = service.start_retry.run(lambda: _create_server(service, listener), listener.setting)
    except OSError as error:
        if error.errno != errno.EADDRINUSE or not service.handover.peer_running:
            raise _config_error(listener, error) from error
        service.tasks.start(_retry_listening(service, listener))
        return
    _serve(service, listener, server)


async def _retry_listening(service: Service, listener: Listener) -> None:
    """Listen at an address as soon as it can be bound."""
    handover = service.handover
    log.info("listen.delayed", setting=listener.setting, address=str(listener.address))
    while True:
        handing_over = handover.peer_running and not handover.peer_accepts_messages
        await asyncio.sleep(LISTEN_RETRY_AT_END_SECONDS if handing_over else LISTEN_RETRY_SECONDS)
        try:
            server = _create_server(service, listener)
            break
        except OSError as error:
            if not handover.peer_running:
                _log_failure(listener, error)
    _serve(service, listener, server)
    service.describe_listeners()
    log.info("listen.opened", setting=listener.setting, address=str(listener.address))


def _log_failure(listener: Listener, error: OSError) -> None:
    log.error(
        "listen.failed",
        setting=listener.setting,
        address=str(listener.address),
        error=str(error),
        key=listener.setting,
    )


def _create_server(service: Service, listener: Listener) -> ClientServer:
    return ClientServer(
        (listener.address.host, listener.address.port),
        listener.create_session,
        listener.max_connections,
        service.tasks,
        listener.single_request,
        listener.shared,
        listener.forward,
        listener.budget,
    )


def _serve(service: Service, listener: Listener, server: ClientServer) -> None:
    service.servers.append(server)
    if listener.shared:
        service.shared_servers.append(server)
        _take_new_connections(service, listener, server)
    service.tasks.run_forever(server.accept)
    service.tasks.run_forever(server.sweep)


def _take_new_connections(service: Service, listener: Listener, server: ClientServer) -> None:
    """Have new connections reach this process rather than the running one, which is to end."""
    if not service.handover.peer_running:
        return
    server.listens_second = True
    log.info(
        "listen.address-shared",
        setting=listener.setting,
        prefers_second_listener=sockets.prefer_listener(server.listener, sockets.SECOND_LISTENER),
    )


def leave_new_connections_to_peer(service: Service) -> None:
    """Have new connections reach the running process, as this one is to end before it.

    If this one listened first, the peer has directed new connections to itself.
    """
    for server in service.shared_servers:
        if server.listens_second:
            sockets.prefer_listener(server.listener, sockets.FIRST_LISTENER)


def _config_error(listener: Listener, error: OSError) -> ConfigError:
    return ConfigError(f"{listener.setting}: cannot listen on {listener.address}: {error.strerror}")
