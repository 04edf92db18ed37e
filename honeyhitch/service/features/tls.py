"""TLS to endpoints and to the MQTT broker; needs the extra `honeyhitch[tls]`."""

from __future__ import annotations

import os
from random import Random

from honeyhitch.config.deployment import OperatorSettings
from honeyhitch.endpoints.endpoint import TLS_TRANSPORT, PoolEndpoint
from honeyhitch.service.service import Service
from honeyhitch.tls.partners import Partners
from honeyhitch.tls.settings import TlsSettings
from honeyhitch.transports.tls_broker import TlsConnector
from honeyhitch.transports.tls_transport import TlsTransport

TLS_SEED = 0x715  # mixed into the dispatcher's seed to make a separate random stream


def add_tls(service: Service, operator: OperatorSettings, max_idle: int) -> TlsConnector | None:
    """Send calls to the partners that `operator` names over TLS, with at most `max_idle` idle connections.

    Return the connector to the MQTT broker, or None if the broker is not reached over TLS.
    """
    broker = operator.mqtt.tls if operator.mqtt is not None else None
    endpoint_partners = operator.tls.partners if operator.tls is not None else ()
    broker_partners = () if broker is None else (broker,)
    settings = TlsSettings((*endpoint_partners, *broker_partners))
    rng = Random(service.config.seed ^ TLS_SEED)
    partners = Partners(settings, service.config.settings, os.environ, service.scheduler.now, rng)
    partners.sessions.max_sessions = min(partners.sessions.max_sessions, service.memory.plan.max_sessions)
    service.limit_dividers.append(partners.set_process_count)
    _add_transport(service, partners, max_idle)
    if broker is None:
        return None
    return TlsConnector(service.loop, partners, partners.states[broker])


def _add_transport(service: Service, partners: Partners, max_idle: int) -> None:
    dispatcher = service.dispatcher
    transport = TlsTransport(dispatcher, service.scheduler, service.tasks, max_idle, partners)
    dispatcher.transports[TLS_TRANSPORT] = transport
    dispatcher.connection_openers[TLS_TRANSPORT] = transport
    service.idle_pools.append(transport)

    def transport_of(endpoint: PoolEndpoint) -> str:
        kind = service.config.settings.kind(endpoint.kind).name
        if partners.find(endpoint.id, endpoint.destination, kind) is None:
            return endpoint.transport
        return TLS_TRANSPORT

    dispatcher.pool.transport_of = transport_of
    service.background_tasks += [transport.sweep, transport.watch_files, transport.watch_certificate_expiry]
    service.reload_certificates = transport.reload_certificates
