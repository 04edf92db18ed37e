"""Builds a service from its configuration: the parts of every service, then each configured feature."""

from __future__ import annotations

from typing import TYPE_CHECKING

from honeyhitch.config import Config
from honeyhitch.config.deployment import OperatorSettings
from honeyhitch.service import status
from honeyhitch.service.service import Service

if TYPE_CHECKING:  # a process without MQTT does not import it
    from honeyhitch.transports.mqtt_link import BrokerConnector


def assemble(config: Config, listen: bool = True) -> Service:
    """Return a service for the running event loop, ready to be started.

    Without `listen`, only callers in this process submit messages to it. Raise ConfigError if the
    configuration cannot be used on this machine.
    """
    service = Service(config, listen)
    operator = config.operator
    connector = _add_tls(service, operator)
    if operator.mqtt is not None:
        from honeyhitch.service.features.mqtt import add_mqtt

        add_mqtt(service, operator.mqtt, connector)
    service.commands.add("GET", "/state", lambda _: status.state_report(service))
    if operator.fleet is not None:
        from honeyhitch.service.features.fleet import add_fleet

        add_fleet(service, operator.fleet, listen)
    if operator.dead_letters is not None:
        from honeyhitch.service.features.dead_letters import add_dead_letters

        add_dead_letters(service, operator.dead_letters)
    return service


def _add_tls(service: Service, operator: OperatorSettings) -> BrokerConnector | None:
    """Set up TLS if endpoints or the MQTT broker are reached over it.

    Return the connector to the broker, or None if the broker is not reached over TLS.
    """
    endpoints_use_tls = operator.tls is not None and bool(operator.tls.partners)
    broker_uses_tls = operator.mqtt is not None and operator.mqtt.tls is not None
    if not endpoints_use_tls and not broker_uses_tls:
        return None
    from honeyhitch.service.features.tls import add_tls

    return add_tls(service, operator, service.idle_limits.tls)
