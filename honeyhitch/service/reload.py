"""Applies a new configuration to a running service."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from honeyhitch import logs
from honeyhitch.config import Config, ConfigError
from honeyhitch.service.service import Service

log = logs.get_logger()
RESTART_REQUIRED = (
    "name",
    "listen",
    "management",
    "state",
    "seed",
    "limits",
    "settings",
    "operator",
)

ConfigReader = Callable[[Config], Config]  # reads the configuration again, given the current configuration


def reload(service: Service, read_config: ConfigReader) -> None:
    """Apply a new configuration without losing a message. A faulty configuration changes nothing.

    The files of TLS partners are read again in any case. If a file cannot be used, the contents that were
    read before stay in use.
    """
    if service.reload_certificates is not None:
        service.tasks.start(service.reload_certificates(True))
    try:
        config = read_config(service.config)
    except Exception as error:  # noqa: BLE001  # a faulty file must not end a running process
        reason = str(error) if isinstance(error, ConfigError) else repr(error)
        log.error("reload.rejected", error=reason, in_force="the previous configuration")
        return
    _apply_discovery_address(service, config)
    _apply_resend_rules(service, config)
    _warn_of_restart(service.config, config)
    in_force = {setting: getattr(service.config, setting) for setting in RESTART_REQUIRED}
    in_force["known"] = service.config.known  # was used at the start
    service.config = replace(config, **in_force)


def _apply_discovery_address(service: Service, config: Config) -> None:
    if config.discovery == service.config.discovery:
        return
    log.info("reload.discovery-moved", before=str(service.config.discovery), now=str(config.discovery))
    service.discovery.move(str(config.discovery))


def _apply_resend_rules(service: Service, config: Config) -> None:
    """Apply changed resend rules at once. Other changes in the table of dead letters need a restart."""
    old = service.config.operator.dead_letters
    new = config.operator.dead_letters
    if service.dead_letters is None or old is None or new is None:
        return
    if new.rules != old.rules:
        service.dead_letters.resend_scheduler.replace_rules(new.rules)
        log.info("reload.rules-replaced", rules=len(new.rules))
    operator = replace(service.config.operator, dead_letters=replace(old, rules=new.rules))
    service.config = replace(service.config, operator=operator)


def _warn_of_restart(old: Config, new: Config) -> None:
    for setting in RESTART_REQUIRED:
        if getattr(new, setting) != getattr(old, setting):
            log.warning("reload.restart-required", setting=setting, key=setting)
