"""The configuration as a whole: the platform's file and variables, and the operator's file beside them."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from honeyhitch.config.deployment import Address, ConfigError, OperatorSettings, ResourceLimits
from honeyhitch.config.instance import SettingsReader
from honeyhitch.config.operator import read as read_operator
from honeyhitch.policy.settings import Settings

INSTANCE_KEYS = ("name", "listen", "discovery", "management", "state")
OPTIONAL_KEYS = ("management",)
RESERVED_DESCRIPTORS = 32  # standard streams, loop, journal, listeners, discovery, broker, one just accepted
MAX_SOCKET_PATH_BYTES = 107  # bytes of a Unix-domain socket's path (unix(7))
MIN_CALL_DESCRIPTORS = 16  # descriptors for calls, clients and idle connections together


@dataclass(frozen=True, slots=True)
class Config:
    """What one dispatcher is told at its start; what the module needs of it is in `settings`."""

    name: str
    listen: Address
    discovery: Address
    management: Address | None  # where operators call
    state: Path
    seed: int
    limits: ResourceLimits
    known: dict[str, Any]
    settings: Settings
    operator: OperatorSettings
    file_values: dict[str, Any]  # the file's own words at the start, for what a variable can say too


def _seed(value: object) -> int:
    try:
        return int(value, 16) if isinstance(value, str) else int(value)  # type: ignore[call-overload]
    except (TypeError, ValueError):
        raise ConfigError(f"seed: expected a number or hexadecimal digits, got {value!r}") from None


def _json(path: str) -> dict[str, Any]:
    try:
        value = json.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError(f"ROUTER_CONFIG: cannot read {path}: {error.strerror}") from error
    except ValueError as error:
        raise ConfigError(f"ROUTER_CONFIG: {path} is not JSON: {error}") from error
    if not isinstance(value, dict):
        raise ConfigError(f"ROUTER_CONFIG: expected an object in {path}")
    return value


def _limits(told: object) -> ResourceLimits:
    told = told if isinstance(told, dict) else {}
    numbers = {name: told.get(name, default) for name, default in (("sockets", 1024), ("disk_mb", 3))}
    for name, value in numbers.items():
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not value > 0:
            raise ConfigError(f"limits.{name}: expected a number above 0, got {value!r}")
    return ResourceLimits(sockets=int(numbers["sockets"]), disk_bytes=int(numbers["disk_mb"] * 1_000_000))


def read(
    environ: Mapping[str, str],
    path: str | None = None,
    operator: str | None = None,
    previous: Config | None = None,
) -> Config:
    """The configuration: the file named in ROUTER_CONFIG, the other variables before its own words, and
    the operator's file where ROUTER_OPERATOR or the command line names one.

    With `before` it is read again by a process that runs. Its variables are as old as its start and cannot
    follow a new file: where the file no longer says what it said then, the file wins.
    """
    path = path or environ.get("ROUTER_CONFIG", "")
    if not path:
        raise ConfigError("ROUTER_CONFIG: this variable is missing; it names the configuration's JSON file")
    told = _json(path)
    words = {key: told.get(key) for key in INSTANCE_KEYS}
    first = previous.file_values if previous is not None else words
    values = {
        key: word if word and word != first[key] else environ.get(f"ROUTER_{key.upper()}") or word
        for key, word in words.items()
    }
    for key, value in values.items():
        if not value and key not in OPTIONAL_KEYS:
            raise ConfigError(f"{key}: missing; give it in the file or as ROUTER_{key.upper()}")
    if not isinstance(told.get("settings"), dict):
        raise ConfigError("settings: expected an object")
    try:
        settings = SettingsReader.from_nested(told["settings"]).settings()
    except (ConfigError, ValueError) as error:
        raise ConfigError(f"settings.{error}") from error
    limits = _limits(told.get("limits"))
    room = limits.sockets - RESERVED_DESCRIPTORS
    if room < MIN_CALL_DESCRIPTORS:
        raise ConfigError(
            f"limits.sockets: expected at least {RESERVED_DESCRIPTORS + MIN_CALL_DESCRIPTORS},"
            f" got {limits.sockets}"
        )
    settings = replace(
        settings, max_concurrent_calls=min(settings.max_concurrent_calls, room // 2)
    )  # a call is a descriptor
    known = told.get("known") or {"revision": 0, "complete": True, "members": []}
    if not isinstance(known, dict):
        raise ConfigError("known: expected an object in discovery's form")
    beside = read_operator(
        operator or environ.get("ROUTER_OPERATOR", ""), str(values["name"]), settings, environ
    )
    if beside.fleet is not None:  # a destination has one owner a zone, and each has its part of the limit
        settings = replace(settings, instance_count=len(beside.fleet.zones))
    state = Path(str(values["state"]))
    if beside.control is not None and len(os.fsencode(beside.control.path_in(state))) > MAX_SOCKET_PATH_BYTES:
        at = beside.control.path_in(state)
        raise ConfigError(f"control.path: over {MAX_SOCKET_PATH_BYTES} bytes: {at}; give a shorter one")
    addresses = {
        key: Address.parse(values[key], key)
        for key in ("listen", "discovery", "management")
        if values[key] or key not in OPTIONAL_KEYS
    }
    management = addresses.get("management")
    taken = {"listen": addresses["listen"], "beside.agent-check": beside.agent_check}
    for key, other in (taken | {"beside.health": beside.health}).items():
        if management is not None and management == other:
            raise ConfigError(f"management: {management} is the address of {key} already")
    return Config(
        name=str(values["name"]),
        listen=addresses["listen"],
        discovery=addresses["discovery"],
        management=management,
        state=state,
        seed=_seed(told.get("seed", 0)),
        limits=limits,
        known=known,
        settings=settings,
        operator=beside,
        file_values=first,
    )
