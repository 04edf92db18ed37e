"""The MQTT frontend, and the endpoints behind its broker."""

from __future__ import annotations

from honeyhitch.config.deployment import MqttEndpoint, MqttSettings
from honeyhitch.endpoints.endpoint import PoolEndpoint
from honeyhitch.endpoints.pool import EndpointPool
from honeyhitch.service.service import Service
from honeyhitch.transports.mqtt_frontend import MqttFrontend
from honeyhitch.transports.mqtt_link import BrokerConnector, MqttContext
from honeyhitch.transports.mqtt_transport import MqttTransport

MQTT = "mqtt"  # the name of the frontend and of the transport


def add_mqtt(service: Service, settings: MqttSettings, connector: BrokerConnector | None) -> None:
    """Accept messages from the broker, and send calls to endpoints behind it.

    `connector` opens the connections to the broker; without a connector they are plain TCP.
    """
    dispatcher = service.dispatcher
    context = MqttContext(settings, dispatcher, service.scheduler, service.tasks, connector)
    frontend = MqttFrontend(context)
    transport = MqttTransport(context)
    dispatcher.frontends[MQTT] = frontend
    dispatcher.transports[MQTT] = transport
    for endpoint in settings.endpoints:
        dispatcher.pool.pin(_pool_endpoint(endpoint, dispatcher.pool))
    service.background_tasks += [link.run for link in (*frontend.links, transport.link)]


def _pool_endpoint(endpoint: MqttEndpoint, pool: EndpointPool) -> PoolEndpoint:
    return PoolEndpoint(
        endpoint.id,
        endpoint.topic,
        endpoint.destination,
        kind=pool.kinds.index(endpoint.kind),
        zone=pool.zones.index(endpoint.zone) if endpoint.zone in pool.zones else 0,
        listed_rate=endpoint.rate,
        transport=MQTT,
    )
