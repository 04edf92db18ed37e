"""Reads the operator's TOML file, which enables features that are off by default."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from honeyhitch import logs
from honeyhitch.config import dead_letters, fleet, mqtt, tls
from honeyhitch.config.deployment import Address, ConfigError, ControlSettings, OperatorSettings
from honeyhitch.config.values import ConfigTable
from honeyhitch.policy.settings import Settings
from honeyhitch.tls.settings import Partner


def read_tls(path: str, environ: Mapping[str, str]) -> list[Partner]:
    """Return the TLS partners in the file at this path, including the MQTT broker.

    The partners are read without an instance's settings. Raise ConfigError if the file is invalid.
    """
    document = _read_toml(path)
    partners = list[Partner]()
    if "tls" in document:
        partners += tls.parse_tls(document["tls"], None, environ).partners
    mqtt_table = document.get("mqtt")
    broker = mqtt_table.get("tls") if isinstance(mqtt_table, dict) else None
    if broker is not None:
        partners.append(tls.parse_broker_tls(broker, environ))
    return partners


def _read_toml(path: str) -> dict[str, Any]:
    try:
        return tomllib.loads(Path(path).read_text())
    except OSError as error:
        raise ConfigError(f"ROUTER_OPERATOR: cannot read {path}: {error.strerror}") from error
    except ValueError as error:
        raise ConfigError(f"ROUTER_OPERATOR: {path} is not TOML: {error}") from error


@dataclass(frozen=True, slots=True)
class _Tables:
    """The tables of features in the file before they are parsed; None for a missing table."""

    tls: object
    mqtt: object
    undelivered: object
    fleet: object


def read(path: str, name: str, settings: Settings, environ: Mapping[str, str]) -> OperatorSettings:
    """Return the settings of the file at this path, or the defaults if the path is empty.

    `name` is the name of the instance. Raise ConfigError if the file cannot be read or is invalid.
    """
    if not path:
        return OperatorSettings()
    document = ConfigTable(_read_toml(path), path)
    addresses = _read_addresses(document)
    log_format, log_level = _parse_log(document)
    tls_table = document.optional("tls", dict)
    mqtt_table = document.optional("mqtt", dict)
    control = _parse_control(document.optional("control", dict))
    tables = _Tables(
        tls_table, mqtt_table, document.optional("undelivered", dict), document.optional("fleet", dict)
    )
    document.reject_unknown_keys()
    _check_combination(tables)
    parsed_addresses = {
        key: Address.parse(text, f"beside.{key}") if text else None for key, text in addresses.items()
    }
    mqtt_settings = mqtt.parse_mqtt(tables.mqtt, name, settings, environ) if tables.mqtt is not None else None
    tls_settings = tls.parse_tls(tables.tls, settings, environ) if tables.tls is not None else None
    dead_letter_settings = None
    if tables.undelivered is not None:
        dead_letter_settings = dead_letters.parse_dead_letters(tables.undelivered, settings)
        control = control or ControlSettings()  # dead letters are managed through the control socket
    fleet_settings = fleet.parse_fleet(tables.fleet, name) if tables.fleet is not None else None
    return OperatorSettings(
        mqtt=mqtt_settings,
        agent_check=parsed_addresses["agent-check"],
        health=parsed_addresses["health"],
        log_format=log_format,
        log_level=log_level,
        tls=tls_settings,
        dead_letters=dead_letter_settings,
        control=control,
        fleet=fleet_settings,
    )


def _read_addresses(document: ConfigTable) -> dict[str, str | None]:
    table = ConfigTable(document.get("beside", dict, {}), "beside")
    addresses = {key: table.optional(key, str) for key in ("agent-check", "health")}
    table.reject_unknown_keys()
    return addresses


def _parse_log(document: ConfigTable) -> tuple[str, str]:
    """Return the format and the level of the log."""
    table = ConfigTable(document.get("log", dict, {}), "log")
    log_format = table.choice("format", logs.FORMATS, "console")
    log_level = table.choice("level", logs.LEVELS, "info")
    table.reject_unknown_keys()
    return log_format, log_level


def _check_combination(tables: _Tables) -> None:
    if tables.fleet is None:
        return
    for key, table in (("mqtt", tables.mqtt), ("undelivered", tables.undelivered)):
        if table is not None:
            raise ConfigError(f"{key}: cannot be combined with [fleet] yet")


def _parse_control(value: object) -> ControlSettings | None:
    if value is None:
        return None
    table = ConfigTable(value, "control")
    path = table.optional("path", str)
    table.reject_unknown_keys()
    if path is None:
        return ControlSettings()
    if not Path(path).is_absolute():
        raise ConfigError(f"control.path: expected an absolute path, got {path!r}")
    return ControlSettings(Path(path))
