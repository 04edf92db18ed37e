"""A minimal MQTT 5 broker on loopback, written from the specification for these tests only.

It keeps its sessions when it is killed, as a broker with persistent storage does, and grants subscribers the
QoS that they request.
"""

from __future__ import annotations

import asyncio
import contextlib
import ssl
from collections.abc import Callable
from dataclasses import dataclass, field

from honeyhitch.protocols.buffer import Buffer
from honeyhitch.protocols.mqtt_packets import Kind, Packet, decode, encode


@dataclass
class ClientSession:
    """The session of one client."""

    filters: dict[str, int] = field(default_factory=dict)
    # PUBLISH and PUBREL packets that were sent and not acknowledged, by packet identifier.
    unacknowledged: dict[int, Packet] = field(default_factory=dict)
    # QoS 2: identifiers of accepted PUBLISH packets whose PUBREL has not arrived.
    unreleased: set[int] = field(default_factory=set)
    writer: asyncio.StreamWriter | None = None
    last_packet_id: int = 0


class Broker:
    """The broker.

    `acknowledge_partner_publish` returns the PUBACK of a publish to partner/..., or None to send none.
    """

    def __init__(self) -> None:
        self.sessions: dict[str, ClientSession] = {}
        # Without this callback, PUBLISH packets to partner/... are routed as usual.
        self.acknowledge_partner_publish: Callable[[Packet], Packet | None] | None = None
        self.published: list[Packet] = []
        self.answers_lost = False  # publishes to re/... are neither routed nor acknowledged
        self.ssl_context: ssl.SSLContext | None = None  # None for TCP without TLS
        self.server: asyncio.Server | None = None
        self.port = 0

    def subscribed(self, *client_ids: str) -> bool:
        """Return whether all these clients have a subscription, so that publishes can reach them."""
        return all(name in self.sessions and self.sessions[name].filters for name in client_ids)

    async def start(self) -> None:
        self.server = await asyncio.start_server(
            self._serve_client, "127.0.0.1", self.port, ssl=self.ssl_context
        )
        self.port = self.server.sockets[0].getsockname()[1]

    async def kill(self) -> None:
        """Abort all connections, as if the process were killed; the sessions are kept."""
        assert self.server is not None
        self.server.close()
        for session in self.sessions.values():
            if session.writer is not None:
                session.writer.transport.abort()
                session.writer = None

    async def _serve_client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        buffer, session = Buffer(), ClientSession()
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                buffer.feed(data)
                while (packet := decode(buffer)) is not None:
                    if packet.kind is Kind.CONNECT:
                        session = self._handle_connect(packet, writer)
                    elif session.writer is writer:
                        self._handle_packet(session, packet)
        if session.writer is writer:
            session.writer = None
        writer.close()

    def _handle_connect(self, packet: Packet, writer: asyncio.StreamWriter) -> ClientSession:
        previous = None if packet.flag else self.sessions.get(packet.client_id)
        session = self.sessions[packet.client_id] = previous or ClientSession()
        session.writer = writer
        self.write(session, Packet(Kind.CONNACK, flag=previous is not None))
        for packet_to_resend in session.unacknowledged.values():
            packet_to_resend.dup = packet_to_resend.kind is Kind.PUBLISH
            self.write(session, packet_to_resend)
        return session

    def write(self, session: ClientSession, packet: Packet | None) -> None:
        if packet is not None and session.writer is not None:
            session.writer.write(encode(packet))

    def _handle_packet(self, session: ClientSession, packet: Packet) -> None:
        match packet.kind:
            case Kind.SUBSCRIBE:
                session.filters |= {topic: options & 3 for topic, options in packet.filters}
                self.write(session, Packet(Kind.SUBACK, id=packet.id, reasons=[1] * len(packet.filters)))
            case Kind.PUBACK | Kind.PUBCOMP:
                session.unacknowledged.pop(packet.id, None)
            case Kind.PUBREC:
                session.unacknowledged[packet.id] = Packet(Kind.PUBREL, id=packet.id)
                self.write(session, session.unacknowledged[packet.id])
            case Kind.PUBREL:
                session.unreleased.discard(packet.id)
                self.write(session, Packet(Kind.PUBCOMP, id=packet.id))
            case Kind.PINGREQ:
                self.write(session, Packet(Kind.PINGRESP))
            case Kind.PUBLISH:
                self._handle_publish(session, packet)

    def _handle_publish(self, session: ClientSession, packet: Packet) -> None:
        self.published.append(packet)
        if packet.topic.startswith("re/") and self.answers_lost:
            return
        if packet.topic.startswith("partner/") and self.acknowledge_partner_publish is not None:
            self.write(session, self.acknowledge_partner_publish(packet))
            return
        if packet.qos == 2 and packet.id in session.unreleased:  # a repetition of a publish that was accepted
            self.write(session, Packet(Kind.PUBREC, id=packet.id))
            return
        for subscriber in self.sessions.values():
            if packet.topic in subscriber.filters:
                subscriber.last_packet_id += 1
                forwarded = Packet(
                    Kind.PUBLISH, id=subscriber.last_packet_id, topic=packet.topic, payload=packet.payload
                )
                forwarded.qos = min(packet.qos, subscriber.filters[packet.topic])
                forwarded.properties, forwarded.user = dict(packet.properties), list(packet.user)
                subscriber.unacknowledged[forwarded.id] = forwarded
                self.write(subscriber, forwarded)
        if packet.qos == 2:
            session.unreleased.add(packet.id)
        if packet.qos:
            self.write(session, Packet(Kind.PUBREC if packet.qos == 2 else Kind.PUBACK, id=packet.id))
