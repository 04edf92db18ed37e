"""The parts of a service that are off unless the operator's file asks for them.

Each imports what it needs when it is added: a plain `serve` starts without.
"""

from __future__ import annotations

import os
from random import Random
from typing import TYPE_CHECKING

from honeyhitch.config import ConfigError
from honeyhitch.config.deployment import MqttSettings
from honeyhitch.dead_letters.settings import DeadLetterSettings
from honeyhitch.endpoints.pool import TLS_TRANSPORT, PoolEndpoint
from honeyhitch.partitioning.settings import FleetSettings
from honeyhitch.tls.settings import TlsSettings

if TYPE_CHECKING:
    from honeyhitch.service.service import Service
    from honeyhitch.transports.mqtt_transport import BrokerConnector


def add_tls(service: Service, most: int) -> BrokerConnector | None:
    """What speaks TLS, where the operator's file asks for it; the way to the broker is returned."""
    operator, dispatcher = service.config.operator, service.dispatcher
    broker = operator.mqtt.tls if operator.mqtt is not None else None
    setup = operator.tls or TlsSettings(())
    if broker is None and not setup.partners:
        return None
    from honeyhitch.tls.partners import Partners  # needs the extra honeyhitch[tls]
    from honeyhitch.transports.tls_broker import TlsConnector
    from honeyhitch.transports.tls_transport import TlsTransport

    every = TlsSettings((*setup.partners, *([broker] if broker is not None else [])))
    rng = Random(service.config.seed ^ 0x715)
    partners = Partners(every, service.config.settings, os.environ, service.scheduler.now, rng)
    carrier = TlsTransport(dispatcher, service.scheduler, service.tasks, most, partners)
    dispatcher.transports[TLS_TRANSPORT] = dispatcher.connection_openers[TLS_TRANSPORT] = carrier
    service.idle_pools.append(carrier)

    def carrier_of(member: PoolEndpoint) -> str:
        kind = service.config.settings.kind(member.kind).name
        return (
            TLS_TRANSPORT
            if partners.of(member.id, member.destination, kind) is not None
            else member.transport
        )

    dispatcher.pool.transport_of = carrier_of
    service.background_work += [carrier.sweep, carrier.watch_files, carrier.watch_ends]
    service.reload_certificates = carrier.reload_certificates
    return TlsConnector(service.loop, partners, partners.known[broker]) if broker is not None else None


def add_mqtt(service: Service, setup: MqttSettings, way: BrokerConnector | None) -> None:
    """The MQTT front, and the members behind its broker."""
    from honeyhitch.transports.mqtt_transport import MqttFrontend, MqttTransport

    front = MqttFrontend(setup, service.dispatcher, service.scheduler, service.tasks, way)
    carrier = MqttTransport(setup, service.dispatcher, service.scheduler, service.tasks, way)
    service.dispatcher.frontends["mqtt"], service.dispatcher.transports["mqtt"] = front, carrier
    pool = service.dispatcher.pool
    for told in setup.members:
        kind = pool.kinds.index(told.kind)
        zone = pool.zones.index(told.zone) if told.zone in pool.zones else 0
        member = PoolEndpoint(told.id, told.topic, told.destination, kind, zone, told.rate, transport="mqtt")
        pool.pin(member)
    service.background_work += [link.run for link in (*front.links, carrier.link)]


def add_fleet(service: Service, settings: FleetSettings, listen: bool) -> None:
    """Partitioned destinations. Callers in this process could not be sent to another instance."""
    from honeyhitch.service.fleet import MAX_SAVED_VIEW_BYTES, FleetService

    if not listen:
        raise ConfigError("fleet: cannot be had by a library's dispatcher, which nothing is handed in to")
    set_aside = 2 * MAX_SAVED_VIEW_BYTES  # the view's file, and the one that takes its place
    if service.config.limits.disk < 2 * set_aside:
        raise ConfigError(f"limits.disk_mb: expected {2 * set_aside / 1e6:g} at least with [fleet]")
    service.journal.max_bytes -= set_aside
    rng = Random(service.config.seed ^ 0xF1EE7)
    service.fleet = FleetService(
        settings,
        service.dispatcher,
        service.scheduler,
        service.loop,
        service.config.state,
        rng,
        service.discovery.refetch,
    )
    service.discovery.reads_partial_lists = True
    service.background_work += [service.fleet.watch, service.fleet.watch_expiry]


def add_undelivered(service: Service, setup: DeadLetterSettings) -> None:
    """The store of undelivered messages, with what looks after it."""
    from honeyhitch.dead_letters.commands import register
    from honeyhitch.dead_letters.service import DeadLetterService  # needs the extra honeyhitch[undelivered]

    service.dead_letters = DeadLetterService(
        setup, service.config.state, service.dispatcher, service.scheduler, service.loop
    )
    service.background_work.append(service.dead_letters.maintain)
    register(service.commands, service.dead_letters)
