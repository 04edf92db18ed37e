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
class Kept:
    """The session of one client."""

    filters: dict[str, int] = field(default_factory=dict)
    owed: dict[int, Packet] = field(
        default_factory=dict
    )  # PUBLISH and PUBREL packets that were sent and not acknowledged
    half: set[int] = field(
        default_factory=set
    )  # QoS 2: identifiers of accepted publishes whose PUBREL is missing
    writer: asyncio.StreamWriter | None = None
    last: int = 0


class Broker:
    """The broker. `partner` returns the PUBACK of a publish to partner/..., or None to send none."""

    def __init__(self) -> None:
        self.kept: dict[str, Kept] = {}
        self.partner: Callable[[Packet], Packet | None] | None = (
            None  # without a callback publishes to partner/... are routed as usual
        )
        self.published: list[Packet] = []
        self.answers_held = False
        self.secure: ssl.SSLContext | None = None  # None for TCP without TLS
        self.server: asyncio.Server | None = None
        self.port = 0

    def subscribed(self, *client_ids: str) -> bool:
        """Return whether all these clients have a subscription, so that publishes can reach them."""
        return all(name in self.kept and self.kept[name].filters for name in client_ids)

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._client, "127.0.0.1", self.port, ssl=self.secure)
        self.port = self.server.sockets[0].getsockname()[1]

    async def kill(self) -> None:
        """Abort all connections, as if the process were killed; the sessions are kept."""
        assert self.server is not None
        self.server.close()
        for kept in self.kept.values():
            if kept.writer is not None:
                kept.writer.transport.abort()
                kept.writer = None

    async def _client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        buffer, kept = Buffer(), Kept()
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                buffer.feed(data)
                while (packet := decode(buffer)) is not None:
                    if packet.kind is Kind.CONNECT:
                        kept = self._connected(packet, writer)
                    elif kept.writer is writer:
                        self._packet(kept, packet)
        if kept.writer is writer:
            kept.writer = None
        writer.close()

    def _connected(self, packet: Packet, writer: asyncio.StreamWriter) -> Kept:
        old = None if packet.flag else self.kept.get(packet.client_id)
        kept = self.kept[packet.client_id] = old or Kept()
        kept.writer = writer
        self.write(kept, Packet(Kind.CONNACK, flag=old is not None))
        for owed in kept.owed.values():
            owed.dup = owed.kind is Kind.PUBLISH
            self.write(kept, owed)
        return kept

    def write(self, kept: Kept, packet: Packet | None) -> None:
        if packet is not None and kept.writer is not None:
            kept.writer.write(encode(packet))

    def _packet(self, kept: Kept, packet: Packet) -> None:
        match packet.kind:
            case Kind.SUBSCRIBE:
                kept.filters |= {topic: options & 3 for topic, options in packet.filters}
                self.write(kept, Packet(Kind.SUBACK, id=packet.id, reasons=[1] * len(packet.filters)))
            case Kind.PUBACK | Kind.PUBCOMP:
                kept.owed.pop(packet.id, None)
            case Kind.PUBREC:
                kept.owed[packet.id] = Packet(Kind.PUBREL, id=packet.id)
                self.write(kept, kept.owed[packet.id])
            case Kind.PUBREL:
                kept.half.discard(packet.id)
                self.write(kept, Packet(Kind.PUBCOMP, id=packet.id))
            case Kind.PINGREQ:
                self.write(kept, Packet(Kind.PINGRESP))
            case Kind.PUBLISH:
                self._publish(kept, packet)

    def _publish(self, kept: Kept, packet: Packet) -> None:
        self.published.append(packet)
        if packet.topic.startswith("partner/") and self.partner is not None:
            self.write(kept, self.partner(packet))
            return
        if packet.qos == 2 and packet.id in kept.half:  # a repetition of a publish that was accepted
            self.write(kept, Packet(Kind.PUBREC, id=packet.id))
            return
        for other in self.kept.values():
            if packet.topic in other.filters:
                other.last += 1
                copy = Packet(Kind.PUBLISH, id=other.last, topic=packet.topic, payload=packet.payload)
                copy.qos = min(packet.qos, other.filters[packet.topic])
                copy.properties, copy.user = dict(packet.properties), list(packet.user)
                other.owed[copy.id] = copy
                self.write(other, copy)
        if packet.qos == 2:
            kept.half.add(packet.id)
        if packet.qos:
            self.write(kept, Packet(Kind.PUBREC if packet.qos == 2 else Kind.PUBACK, id=packet.id))
