"""Reads the whole configuration: the JSON file, the environment variables and the operator's file."""

from __future__ import annotations

import itertools
import json
import os
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from honeyhitch.config.deployment import Address, ConfigError, OperatorSettings, ResourceLimits
from honeyhitch.config.instance import SettingsReader
from honeyhitch.config.operator import read as read_operator
from honeyhitch.endpoints.list_rows import KnownList
from honeyhitch.policy.settings import Settings

# Each key also has an environment variable.
INSTANCE_KEYS = ("name", "listen", "discovery", "management", "state")
ADDRESS_KEYS = ("listen", "discovery", "management")
OPTIONAL_KEYS = ("management",)
# For standard streams, event loop, journal, listeners, discovery, broker and a connection just accepted.
RESERVED_DESCRIPTORS = 32
MIN_CALL_DESCRIPTORS = 16  # shared by calls, clients and idle connections
MAX_SOCKET_PATH_BYTES = 107  # limit of a Unix domain socket's path (unix(7))
DEFAULT_SOCKETS = 1024
BYTES_PER_MEGABYTE = 1_000_000
DEFAULT_DISK_MEGABYTES = 3
DEFAULT_MEMORY_MEGABYTES = 1000


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration with which a dispatcher starts. `settings` holds the policy's part of it."""

    name: str
    listen: Address
    discovery: Address
    management: Address | None  # address that operators' commands call
    state: Path  # the state directory
    seed: int
    limits: ResourceLimits
    known: KnownList  # endpoints to use until discovery answers
    settings: Settings
    operator: OperatorSettings
    file_values: dict[str, Any]  # values of INSTANCE_KEYS in the file when the process started


def read(
    environ: Mapping[str, str],
    path: str | None = None,
    operator: str | None = None,
    previous: Config | None = None,
) -> Config:
    """Return the configuration. Raise ConfigError if a part of it cannot be read or is invalid.

    It consists of the JSON file at `path` or in ROUTER_CONFIG, of the environment variables, which take
    precedence over the file's values, and of the operator's file if `operator` or ROUTER_OPERATOR names one.

    With `previous`, a running process reads its configuration again. Its variables date from its start and
    cannot follow a new file, so a value that has changed in the file since then takes precedence over them.
    """
    document = _read_json(path or environ.get("ROUTER_CONFIG", ""))
    file_values = {key: document.get(key) for key in INSTANCE_KEYS}
    start_values = previous.file_values if previous is not None else file_values
    values = _instance_values(file_values, start_values, environ)
    instance_settings = _read_settings(document)
    limits = _read_limits(document.get("limits"))
    settings = _limit_calls(instance_settings, limits)
    known = _read_known(document)
    name = str(values["name"])
    operator_settings = read_operator(operator or environ.get("ROUTER_OPERATOR", ""), name, settings, environ)
    if operator_settings.fleet is not None:  # each zone has one owner of a destination, with its own quota
        settings = replace(settings, instance_count=len(operator_settings.fleet.zones))
    state = Path(str(values["state"]))
    _check_control_path(operator_settings, state)
    addresses = _parse_addresses(values)
    _check_listeners(addresses, operator_settings)
    return Config(
        name=name,
        listen=addresses["listen"],
        discovery=addresses["discovery"],
        management=addresses.get("management"),
        state=state,
        seed=_read_seed(document.get("seed", 0)),
        limits=limits,
        known=known,
        settings=settings,
        operator=operator_settings,
        file_values=start_values,
    )


def _read_json(path: str) -> dict[str, Any]:
    if not path:
        raise ConfigError("ROUTER_CONFIG: missing; this variable must name the configuration's JSON file")
    try:
        value = json.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError(f"ROUTER_CONFIG: cannot read {path}: {error.strerror}") from error
    except ValueError as error:
        raise ConfigError(f"ROUTER_CONFIG: {path} is not JSON: {error}") from error
    if not isinstance(value, dict):
        raise ConfigError(f"ROUTER_CONFIG: expected a JSON object in {path}, got {type(value).__name__}")
    return value


def _instance_values(
    file_values: dict[str, Any], start_values: dict[str, Any], environ: Mapping[str, str]
) -> dict[str, Any]:
    """Return the values of INSTANCE_KEYS.

    A value that has changed in the file since the start comes from the file; otherwise the variable takes
    precedence over the file. Raise ConfigError for a required key without a value.
    """
    values = dict[str, Any]()
    for key, file_value in file_values.items():
        changed = file_value and file_value != start_values[key]
        values[key] = file_value if changed else environ.get(f"ROUTER_{key.upper()}") or file_value
    for key, value in values.items():
        if not value and key not in OPTIONAL_KEYS:
            raise ConfigError(f"{key}: missing; give it in the file or as ROUTER_{key.upper()}")
    return values


def _read_settings(document: dict[str, Any]) -> Settings:
    if not isinstance(document.get("settings"), dict):
        raise ConfigError("settings: expected an object")
    try:
        return SettingsReader.from_nested(document["settings"]).settings()
    except (ConfigError, ValueError) as error:
        raise ConfigError(f"settings.{error}") from error


def _read_limits(value: object) -> ResourceLimits:
    limits = value if isinstance(value, dict) else {}
    sockets = _read_limit(limits, "sockets", DEFAULT_SOCKETS)
    disk_megabytes = _read_limit(limits, "disk_mb", DEFAULT_DISK_MEGABYTES)
    memory_megabytes = _read_limit(limits, "memory_mb", DEFAULT_MEMORY_MEGABYTES)
    return ResourceLimits(
        sockets=int(sockets),
        disk_bytes=int(disk_megabytes * BYTES_PER_MEGABYTE),
        memory_bytes=int(memory_megabytes * BYTES_PER_MEGABYTE),
    )


def _read_limit(limits: dict[str, Any], name: str, default: int) -> float:
    value = limits.get(name, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not value > 0:
        raise ConfigError(f"limits.{name}: expected a number above 0, got {value!r}")
    return value


def _limit_calls(settings: Settings, limits: ResourceLimits) -> Settings:
    """Return the settings with the number of concurrent calls limited to half the available descriptors.

    Each call takes one descriptor. Raise ConfigError if the limit leaves too few descriptors.
    """
    available = limits.sockets - RESERVED_DESCRIPTORS
    if available < MIN_CALL_DESCRIPTORS:
        minimum = RESERVED_DESCRIPTORS + MIN_CALL_DESCRIPTORS
        raise ConfigError(f"limits.sockets: expected at least {minimum}, got {limits.sockets}")
    return replace(settings, max_concurrent_calls=min(settings.max_concurrent_calls, available // 2))


def _read_known(document: dict[str, Any]) -> KnownList:
    known = document.get("known") or {"revision": 0, "members": []}
    if not isinstance(known, dict):
        raise ConfigError(
            f"known: expected an object that lists endpoints in discovery's form, got {type(known).__name__}"
        )
    return KnownList.parse(known)


def _parse_addresses(values: dict[str, Any]) -> dict[str, Address]:
    return {
        key: Address.parse(values[key], key)
        for key in ADDRESS_KEYS
        if values[key] or key not in OPTIONAL_KEYS
    }


def _check_control_path(operator: OperatorSettings, state_directory: Path) -> None:
    if operator.control is None:
        return
    path = operator.control.socket_path(state_directory)
    if len(os.fsencode(path)) > MAX_SOCKET_PATH_BYTES:
        raise ConfigError(f"control.path: over {MAX_SOCKET_PATH_BYTES} bytes: {path}; give a shorter one")


def _check_listeners(addresses: dict[str, Address], operator: OperatorSettings) -> None:
    """Raise ConfigError if two listeners have one address, which the system would allow for shared ones."""
    listeners = {
        "management": addresses.get("management"),
        "beside.health": operator.health,
        "beside.agent-check": operator.agent_check,
        "listen": addresses["listen"],
    }
    configured = [(key, address) for key, address in listeners.items() if address is not None]
    for (key, address), (other_key, other_address) in itertools.combinations(configured, 2):
        if address.overlaps(other_address):
            raise ConfigError(f"{key}: {address} is the address of {other_key} already")


def _read_seed(value: object) -> int:
    try:
        return int(value, 16) if isinstance(value, str) else int(value)  # type: ignore[call-overload]
    except (TypeError, ValueError):
        raise ConfigError(f"seed: expected a number or hexadecimal digits, got {value!r}") from None
