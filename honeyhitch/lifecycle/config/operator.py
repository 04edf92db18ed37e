"""The operator's file, in TOML: what is off unless it asks for it."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from pathlib import Path

from honeyhitch import interface as api
from honeyhitch import logs
from honeyhitch.lifecycle.config import mqtt, tls
from honeyhitch.lifecycle.config.values import Table, pick
from honeyhitch.setup import Address, ConfigError, Operator


def read(path: str, name: str, settings: api.Settings, environ: Mapping[str, str]) -> Operator:
    """The file at this path, or nothing where there is none."""
    if not path:
        return Operator()
    try:
        told = tomllib.loads(Path(path).read_text())
    except OSError as error:
        raise ConfigError(f"ROUTER_OPERATOR: cannot read {path}: {error.strerror}") from error
    except ValueError as error:
        raise ConfigError(f"ROUTER_OPERATOR: {path} is not TOML: {error}") from error
    table = Table(told, path)
    beside = Table(table.get("beside", dict, {}), "beside")
    addresses = {key: beside.maybe(key, str) for key in ("agent-check", "health")}
    beside.done()
    log = Table(table.get("log", dict, {}), "log")
    form = pick({name: name for name in logs.FORMATS}, log.get("format", str, "console"), "log.format")
    level = pick({name: name for name in logs.LEVELS}, log.get("level", str, "info"), "log.level")
    log.done()
    told_tls = table.maybe("tls", dict)
    told_mqtt = table.maybe("mqtt", dict)
    table.done()
    parsed = {key: Address.parse(text, f"beside.{key}") if text else None for key, text in addresses.items()}
    setup = mqtt.setup(told_mqtt, name, settings, environ) if told_mqtt is not None else None
    partners = tls.setup(told_tls, settings, environ) if told_tls is not None else None
    return Operator(setup, parsed["agent-check"], parsed["health"], form, level, partners)
