"""A stand-in of an MQTT 5 broker on the same network: it keeps sessions, and forwards QoS 2 at the PUBREL."""

from __future__ import annotations

import asyncio
from collections import defaultdict

from honeyhitch.protocols.mqtt_packets import Kind, Packet, encode
from review.second.rig import Record
from tests.broker import Broker, ClientSession

DELAY_SECONDS = 0.045  # of each packet to a client; the site's page has up to 45 ms one way


class DistantBroker(Broker):
    """A broker at which the answers' topic is read by the case itself, as by a subscriber with QoS 2."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.record = record
        self.answers: dict[str, list[str]] = defaultdict(list)  # statuses by message id
        self.stored: dict[int, dict[int, Packet]] = defaultdict(dict)  # by session, until the PUBREL
        self.intake = ClientSession()

    def write(self, session: ClientSession, packet: Packet | None) -> None:
        """Write a packet after the network's delay, in order."""
        writer = session.writer
        if packet is None or writer is None:
            return
        data = encode(packet)
        asyncio.get_running_loop().call_later(DELAY_SECONDS, writer.write, data)

    def submit(self, packet: Packet) -> None:
        """Take a message that a client publishes to the intake topic."""
        self._handle_publish(self.intake, packet)

    def _handle_packet(self, session: ClientSession, packet: Packet) -> None:
        if packet.kind is Kind.PUBLISH and packet.qos == 2:
            if packet.id not in session.unreleased:
                session.unreleased.add(packet.id)
                self.stored[id(session)][packet.id] = packet
            self.write(session, Packet(Kind.PUBREC, id=packet.id))
            return
        if packet.kind is Kind.PUBREL and packet.id in session.unreleased:
            self._forward(self.stored[id(session)].pop(packet.id))
        super()._handle_packet(session, packet)

    def _forward(self, packet: Packet) -> None:
        user = dict(packet.user)
        self.answers[user["id"]].append(user["status"])
        self.record.add("subscriber gets the answer", user["id"], user["status"])
