"""Decides whether a process may start beside a running process of its dispatcher.

The check comes before the start opens, locks or binds anything that the running process could notice.
"""

from __future__ import annotations

import errno
from pathlib import Path

from honeyhitch.config import Address, Config, ConfigError
from honeyhitch.journal.directory import (
    RunningProcess,
    StateDirectoryInUseError,
    find_running_process,
)
from honeyhitch.journal.journal_file import JOURNAL_VERSION
from honeyhitch.journal.process_record import ProcessDescription
from honeyhitch.journal.record_codec import decode_records
from honeyhitch.journal.records import JournalOwner
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


def check_running_process(config: Config, listen: bool, retry: StartRetry) -> None:
    """Raise ConfigError if a process runs on the state directory and this one may not run beside it."""
    try:
        running = retry.run(lambda: find_running_process(config.state), "state")
        if running is None:
            return
        owner = retry.run(lambda: _read_owner(running.journal_path), "state")
    except (StateDirectoryInUseError, OSError) as error:
        raise ConfigError(f"state: {error}") from error
    if owner is not None and owner.version > JOURNAL_VERSION:
        raise ConfigError(
            f"state: {running.journal_path}: format version is {owner.version},"
            f" highest supported is {JOURNAL_VERSION}"
        )
    check_peer(config, owner.name if owner is not None else config.name, running.description)
    for key, address in shared_addresses(config, listen).items():
        _check_shared_address(key, address, running, retry)
    if config.management is not None:
        check_address("management", config.management, retry)


def check_peer(config: Config, peer_name: str, peer_description: ProcessDescription | None) -> None:
    """Raise ConfigError if the peer belongs to another dispatcher, or if one of both uses a feature alone.

    The features of a peer without a description are not known.
    """
    if peer_name != config.name:
        raise ConfigError(
            f"name: expected {peer_name!r}, which runs on the same state directory, got {config.name!r}"
        )
    for key in unshareable_features(config):
        raise ConfigError(
            f"{key}: cannot be used while another process of this dispatcher runs; stop that one first"
        )
    for key in peer_description.features if peer_description is not None else ():
        raise ConfigError(f"{key}: is used by the running process of this dispatcher; stop that one first")


def _read_owner(path: Path) -> JournalOwner | None:
    """Return the first record of its kind in a journal, which each process writes before it serves."""
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return None
    return next((record for record, _ in decode_records(data) if isinstance(record, JournalOwner)), None)


def _check_shared_address(key: str, address: Address, running: RunningProcess, retry: StartRetry) -> None:
    """Raise ConfigError if the address cannot be used, or if a third process listens there.

    An earlier version, which has no description, shares `listen` alone: its other addresses become free when
    it ends.
    """
    try:
        check_address(key, address, retry)
    except AddressInUseError:
        description = running.description
        if description is None:
            if key == LISTEN:
                check_address(key, address, retry, reuse_port=True)
            return
        if not any(_port(shared) == address.port for shared in description.shared_addresses):
            raise


def _port(address: str) -> int:
    return Address.parse(address, "address").port


class AddressInUseError(ConfigError):
    """Another process listens on the address."""


def check_address(key: str, address: Address, retry: StartRetry, reuse_port: bool = False) -> None:
    """Raise ConfigError if a listener cannot be bound to the address, and AddressInUseError if one is."""
    try:
        retry.run(lambda: sockets.check_bind((address.host, address.port), reuse_port), key)
    except OSError as error:
        error_type = AddressInUseError if error.errno == errno.EADDRINUSE else ConfigError
        raise error_type(f"{key}: cannot listen on {address}: {error.strerror}") from error
