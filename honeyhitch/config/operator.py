"""The operator's file, in TOML: what is off unless it asks for it."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from honeyhitch import logs
from honeyhitch.config import fleet, mqtt, tls, undelivered
from honeyhitch.config.deployment import Address, ConfigError, ControlSettings, OperatorSettings
from honeyhitch.config.values import ConfigTable
from honeyhitch.policy.settings import Settings
from honeyhitch.tls.settings import Partner


def read_tls(path: str, environ: Mapping[str, str]) -> list[Partner]:
    """The partners of the file at this path alone, and the broker, for a look without an instance's
    settings.
    """
    told = _toml(path)
    found = list(tls.parse_tls(told["tls"], None, environ).partners) if "tls" in told else []
    broker = told.get("mqtt", {}).get("tls") if isinstance(told.get("mqtt"), dict) else None
    return [*found, *([tls.parse_broker_tls(broker, environ)] if broker is not None else [])]


def _toml(path: str) -> dict[str, Any]:
    try:
        return tomllib.loads(Path(path).read_text())
    except OSError as error:
        raise ConfigError(f"ROUTER_OPERATOR: cannot read {path}: {error.strerror}") from error
    except ValueError as error:
        raise ConfigError(f"ROUTER_OPERATOR: {path} is not TOML: {error}") from error


def read(path: str, name: str, settings: Settings, environ: Mapping[str, str]) -> OperatorSettings:
    """The file at this path, or nothing where there is none."""
    if not path:
        return OperatorSettings()
    table = ConfigTable(_toml(path), path)
    beside = ConfigTable(table.get("beside", dict, {}), "beside")
    addresses = {key: beside.optional(key, str) for key in ("agent-check", "health")}
    beside.reject_unknown_keys()
    log = ConfigTable(table.get("log", dict, {}), "log")
    form, level = log.choice("format", logs.FORMATS, "console"), log.choice("level", logs.LEVELS, "info")
    log.reject_unknown_keys()
    told_tls = table.optional("tls", dict)
    told_mqtt = table.optional("mqtt", dict)
    control = _control(table.optional("control", dict))
    told_undelivered = table.optional("undelivered", dict)
    told_fleet = table.optional("fleet", dict)
    table.reject_unknown_keys()
    for key, other in (("mqtt", told_mqtt), ("undelivered", told_undelivered)):
        if told_fleet is not None and other is not None:
            raise ConfigError(f"{key}: cannot be had beside [fleet] yet")
    parsed = {key: Address.parse(text, f"beside.{key}") if text else None for key, text in addresses.items()}
    setup = mqtt.parse_mqtt(told_mqtt, name, settings, environ) if told_mqtt is not None else None
    partners = tls.parse_tls(told_tls, settings, environ) if told_tls is not None else None
    kept = (
        undelivered.parse_dead_letters(told_undelivered, settings) if told_undelivered is not None else None
    )
    if kept is not None:  # it is looked at and cared for through the control socket
        control = control or ControlSettings()
    shared = fleet.parse_fleet(told_fleet, name) if told_fleet is not None else None
    return OperatorSettings(
        setup, parsed["agent-check"], parsed["health"], form, level, partners, kept, control, shared
    )


def _control(told: object) -> ControlSettings | None:
    if told is None:
        return None
    table = ConfigTable(told, "control")
    path = table.optional("path", str)
    table.reject_unknown_keys()
    if path is not None and not Path(path).is_absolute():
        raise ConfigError(f"control.path: expected an absolute path, got {path!r}")
    return ControlSettings(Path(path) if path is not None else None)
