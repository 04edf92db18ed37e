"""Decides whether a process may start beside a running process of its dispatcher."""

from __future__ import annotations

import errno

from honeyhitch.config import Address, Config, ConfigError
from honeyhitch.service.start_retry import StartRetry
from honeyhitch.transports import sockets

LISTEN = "listen"


def shared_addresses(config: Config, listen: bool) -> dict[str, Address]:
    """Return the addresses on which both processes of a dispatcher may listen, by their keys."""
    addresses = {
        LISTEN: config.listen if listen else None,
        "beside.agent-check": config.operator.agent_check,
        "beside.health": config.operator.health,
    }
    return {key: address for key, address in addresses.items() if address is not None}


def unshareable_features(config: Config) -> tuple[str, ...]:
    """Return the configured tables of the operator's file that two processes cannot use at once.

    They are the store of dead letters, the control socket, the session at the MQTT broker, and the quota of a
    fleet, which each process would use in full.
    """
    operator = config.operator
    tables = {
        "undelivered": operator.dead_letters,
        "control": operator.control,
        "mqtt": operator.mqtt,
        "fleet": operator.fleet,
    }
    return tuple(key for key, settings in tables.items() if settings is not None)


def check_peer(config: Config, peer_name: str) -> None:
    """Raise ConfigError if the peer belongs to another dispatcher, or if a feature cannot be shared."""
    if peer_name != config.name:
        raise ConfigError(
            f"name: expected {peer_name!r}, which runs on the same state directory, got {config.name!r}"
        )
    for key in unshareable_features(config):
        raise ConfigError(
            f"{key}: cannot be used while another process of this dispatcher runs; stop that one first"
        )


class AddressInUseError(ConfigError):
    """Another process listens on the address."""


def check_address(key: str, address: Address, retry: StartRetry, reuse_port: bool = False) -> None:
    """Raise ConfigError if a listener cannot be bound to the address, and AddressInUseError if one is."""
    try:
        retry.run(lambda: sockets.check_bind((address.host, address.port), reuse_port), key)
    except OSError as error:
        error_type = AddressInUseError if error.errno == errno.EADDRINUSE else ConfigError
        raise error_type(f"{key}: cannot listen on {address}: {error.strerror}") from error
