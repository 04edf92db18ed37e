"""Starts an assembled service: restores the state that an earlier process left, then serves."""

from __future__ import annotations

from honeyhitch import logs
from honeyhitch.endpoints.list_rows import PoolError
from honeyhitch.service.listeners import (
    listen_for_balancers,
    listen_for_clients,
    listen_for_management,
)
from honeyhitch.service.peer_check import check_peer
from honeyhitch.service.service import Service

log = logs.get_logger()


def start(service: Service, listen: bool = True) -> None:
    """Recover the journal, then serve. Without `listen` only callers in this process submit messages.

    Raise ConfigError if an address cannot be bound, or if another process uses the state directory and this
    process may not run at the same time.
    """
    if service.fleet is not None:
        service.fleet.restore()
    service.divide_limits(peer_running=False, peer_calls_in_flight=None)
    _apply_known_list(service)
    service.handover.start()
    if service.handover.peer_running:  # the peer may have started after the first check
        peer_name = service.handover.follower.name
        check_peer(service.config, peer_name, service.state_directory.read_peer_description())
    _recover_messages(service)
    listen_for_management(service)
    if listen:
        listen_for_clients(service)
    listen_for_balancers(service)
    service.describe_listeners()
    control = service.config.operator.control
    if control is not None:
        from honeyhitch.service.features.control import open_control_socket

        open_control_socket(service, control)
    for task in service.background_tasks:
        service.tasks.run_forever(task)
    # Without a view an instance of a fleet would keep no entry of a list. Its first view starts the watch.
    service.discovery.start(watch=service.fleet is None or service.fleet.ready)
    service.discovery.confirm_known_list()


def _apply_known_list(service: Service) -> None:
    """List the endpoints of the configuration file; they get calls once discovery has answered."""
    dispatcher = service.dispatcher
    try:
        dispatcher.apply_list_update(dispatcher.pool.apply_known(service.config.known))
    except PoolError as error:
        log.warning("list.known-rejected", error=str(error))


def _recover_messages(service: Service) -> None:
    """Resume the journal's messages once the dead letters are loaded or loading takes too long.

    Until then no message is accepted: a client may submit the message of a dead letter again.
    """
    if service.dead_letters is None:
        _resume(service)
        return
    service.dispatcher.accepting = False
    service.dead_letters.start(lambda: _resume(service))


def _resume(service: Service) -> None:
    dispatcher = service.dispatcher
    dispatcher.accepting = not dispatcher.draining and dispatcher.sending
    dispatcher.recover()
    service.handover.recovered = True
