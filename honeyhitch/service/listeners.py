"""Opens the listeners of a service, for clients and for monitoring and management."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from honeyhitch import logs
from honeyhitch.config import Address, ConfigError
from honeyhitch.dispatcher.delivery import DispatcherState, Phase
from honeyhitch.journal.transactions import Transaction
from honeyhitch.protocols import resp
from honeyhitch.protocols.agent_check import AgentSession, HealthSession
from honeyhitch.protocols.management import ManagementSession
from honeyhitch.protocols.transaction_parser import TransactionParser
from honeyhitch.service.descriptors import MONITORING_CONNECTIONS
from honeyhitch.service.service import Service
from honeyhitch.service.status import service_state
from honeyhitch.transports import sockets
from honeyhitch.transports.client_server import ClientServer, ServerSession

log = logs.get_logger()


def listen_for_clients(service: Service) -> None:
    """Accept messages over RESP2. Raise ConfigError if the address cannot be bound."""
    dispatcher = service.dispatcher
    fleet = service.fleet
    has_destination = dispatcher.pool.has_destination if fleet is None else fleet.has_destination
    parser = TransactionParser(service.config.settings, has_destination, dispatcher.metrics.message_invalid)

    def ready() -> bool:
        return service_state(service).phase is Phase.READY

    def create_session() -> resp.Session:
        return resp.Session(parser, dispatcher.submit, ready, service.scheduler.now, fleet)

    service.clients = _listen(
        service,
        "listen",
        service.config.listen,
        create_session,
        service.max_clients,
        reuse_port=True,
        forward=None if fleet is None else fleet.forwarder.forward,
    )
    if service.handover.peer_running:
        log.info(
            "listen.address-shared",
            prefers_second_listener=sockets.prefer_second_listener(service.clients.listener),
        )


def listen_for_monitoring(service: Service) -> None:
    """Answer agent-checks, health checks and management calls at their configured addresses.

    Raise ConfigError if one of the addresses cannot be bound.
    """
    config = service.config
    dispatcher = service.dispatcher

    def state() -> DispatcherState:
        return service_state(service)

    def create_management_session() -> ManagementSession:
        return ManagementSession(state, dispatcher.metrics_snapshot, service.fleet)

    if config.operator.agent_check is not None:
        address = config.operator.agent_check
        _listen(service, "beside.agent-check", address, lambda: AgentSession(state), MONITORING_CONNECTIONS)
    if config.operator.health is not None:
        address = config.operator.health
        _listen(service, "beside.health", address, lambda: HealthSession(state), MONITORING_CONNECTIONS)
    if config.management is not None:
        _listen(
            service,
            "management",
            config.management,
            create_management_session,
            MONITORING_CONNECTIONS,
            single_request=True,
        )


def _listen(
    service: Service,
    setting: str,
    address: Address,
    create_session: Callable[[], ServerSession],
    max_connections: int,
    *,
    single_request: bool = False,
    reuse_port: bool = False,
    forward: Callable[[Transaction], Awaitable[bytes]] | None = None,
) -> ClientServer:
    """Listen at an address and serve its connections.

    `setting` is the key of the address in the configuration. Raise ConfigError with this key if the address
    cannot be bound.
    """

    def create_server() -> ClientServer:
        return ClientServer(
            (address.host, address.port),
            create_session,
            max_connections,
            service.tasks,
            single_request,
            reuse_port,
            forward,
        )

    try:
        server = service.start_retry.run(create_server, setting)
    except OSError as error:
        raise ConfigError(f"{setting}: cannot listen on {address}: {error.strerror}") from error
    service.servers.append(server)
    service.tasks.run_forever(server.accept)
    service.tasks.run_forever(server.sweep)
    return server
