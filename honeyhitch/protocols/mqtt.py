"""The client side of an MQTT 5 session, without I/O; `mqtt_packets` encodes and decodes the packets.

The code follows the OASIS specification, version 5.0. Numbers in comments refer to its sections, and names in
brackets to its conformance statements.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from honeyhitch.protocols.buffer import Buffer
from honeyhitch.protocols.mqtt_packets import (
    FIRST_ERROR_REASON,
    MAX_PACKET_BYTES,
    MAX_QOS,
    MAX_TWO_BYTE_INTEGER,
    Kind,
    MqttError,
    Packet,
    Properties,
    decode,
    encode,
)

DEFAULT_RECEIVE_MAXIMUM = 65535  # used if CONNACK does not contain one (3.2.2.3.3)
DEFAULT_KEEP_ALIVE_SECONDS = 20
CLIENT_RECEIVE_MAXIMUM = 1024  # unacknowledged publishes that the server may have in flight
SUBSCRIPTION_QOS = 1
# Reason codes (2.4).
PACKET_TOO_LARGE = 0x95
PACKET_IDENTIFIER_NOT_FOUND = 0x92

# Called when a publish has ended. The arguments are the acknowledgement, or None without one, and whether the
# publish may have reached the server.
PublishCallback = Callable[[Packet | None, bool], None]


@dataclass(slots=True)
class OutgoingPublish:
    """A PUBLISH that is queued or in flight."""

    packet: Packet
    on_done: PublishCallback
    packet_factory: Callable[[], Packet | None] | None = None  # creates the packet just before it is sent
    pubrec_received: bool = False  # QoS 2: its PUBREC was received
    sent: bool = False


class Session:
    """The client side of one session, over successive connections.

    `session_expiry` is in seconds. If it is not 0, the server keeps the session, and unacknowledged publishes
    are sent again after a reconnection, as the specification requires. If it is 0, every connection begins a
    new session. After the loss of a connection `on_done` is then called for each publish that was queued or
    unacknowledged, and none of them is sent again.

    `clean_start`: the first connection discards the session that the server kept. A process that publishes
    sets it, because its unacknowledged publishes are lost with a restart. A process that only receives has no
    publishes to lose, so it may continue the old session.
    """

    def __init__(
        self,
        client_id: str,
        session_expiry: int = 0,
        keep_alive: int = DEFAULT_KEEP_ALIVE_SECONDS,
        clean_start: bool = True,
    ) -> None:
        self.client_id = client_id
        self.session_expiry = session_expiry
        self.keep_alive = keep_alive  # seconds
        self.clean_start = clean_start
        self.username: str | None = None
        self.password: bytes | None = None
        self.subscriptions: list[str] = []
        self.on_publish: Callable[[Packet], None] = lambda _: None
        self.outgoing: dict[int, OutgoingPublish] = {}  # in flight, by packet identifier
        self.queue: deque[OutgoingPublish] = deque()
        self.next_packet_id = 1
        self.receive_maximum = DEFAULT_RECEIVE_MAXIMUM  # unacknowledged publishes that the server accepts
        self.max_qos = MAX_QOS  # highest QoS that the server accepts
        self.max_packet_size = 0  # bytes of a packet that the server accepts, 0 for no limit
        self.connected = False  # CONNACK was received
        self.subscribed = False
        self.paused = False  # the connection is about to be replaced: no further publish is sent on it
        self.output = bytearray()  # bytes that the transport has to write

    def take_output(self) -> bytes:
        """Return the bytes that have to be written, and clear the output."""
        data = bytes(self.output)
        self.output.clear()
        return data

    def open(self) -> None:
        """Send CONNECT on a new connection."""
        self.output.clear()
        properties: Properties = {
            "receive_maximum": CLIENT_RECEIVE_MAXIMUM,
            "maximum_packet": MAX_PACKET_BYTES,
        }
        if self.session_expiry:
            properties["session_expiry"] = self.session_expiry
        packet = Packet(
            Kind.CONNECT,
            properties=properties,
            client_id=self.client_id,
            flag=self.clean_start or not self.session_expiry,
            keep_alive=self.keep_alive,
            username=self.username,
            password=self.password,
        )
        self._write(packet)

    def receive(self, buffer: Buffer) -> None:
        """Process the complete packets in the buffer. Raise MqttError if the connection has to be closed."""
        while (packet := decode(buffer)) is not None:
            if not self.connected and packet.kind is not Kind.CONNACK:
                raise MqttError(f"{packet.kind.name}: received before CONNACK")
            self._handle_packet(packet)

    def connection_lost(self) -> None:
        """Reset the state of the connection after its loss.

        Without a session expiry, end all publishes that are queued or in flight.
        """
        self.connected = False
        self.subscribed = False
        self.paused = False
        self.output.clear()
        if self.session_expiry:
            return
        lost = [*self.outgoing.values(), *self.queue]
        self.outgoing = {}
        self.queue = deque()
        for publish in lost:
            publish.on_done(None, publish.sent)

    def publish(
        self,
        packet: Packet,
        on_done: PublishCallback,
        packet_factory: Callable[[], Packet | None] | None = None,
    ) -> OutgoingPublish:
        """Send a PUBLISH with QoS 1 or 2 as soon as the server's receive maximum allows, and return it.

        `packet_factory` is called just before the PUBLISH is sent, and returns the packet to send instead. If
        it returns None, nothing is sent and `on_done` is not called.
        """
        packet.dup = False  # a packet that was sent before and rejected may be published again
        publish = OutgoingPublish(packet, on_done, packet_factory)
        self.queue.append(publish)
        self._send_queued()
        return publish

    def withdraw(self, publish: OutgoingPublish, on_done: PublishCallback) -> None:
        """Cancel a publish if it is still queued; otherwise replace its callback by `on_done`."""
        publish.on_done = on_done
        if publish in self.queue:
            self.queue.remove(publish)

    def acknowledge(self, packet: Packet, reason: int = 0) -> None:
        """Send PUBACK for a received PUBLISH with QoS 1."""
        if self.connected and packet.qos == 1:
            self._write(Packet(Kind.PUBACK, id=packet.id, reason=reason))

    def ping(self) -> None:
        """Send PINGREQ to keep the connection alive."""
        self._write(Packet(Kind.PINGREQ))

    def disconnect(self, reason: int = 0) -> None:
        """Send DISCONNECT; the server keeps a session that has an expiry."""
        self._write(Packet(Kind.DISCONNECT, reason=reason))

    def _write(self, packet: Packet) -> None:
        self.output += encode(packet)

    def _send_queued(self) -> None:
        while self._may_send():
            publish = self.queue.popleft()
            if publish.packet_factory is not None:
                packet = publish.packet_factory()
                if packet is None:
                    continue
                publish.packet = packet
            self._send(publish)

    def _may_send(self) -> bool:
        has_room = len(self.outgoing) < self.receive_maximum
        return self.connected and not self.paused and bool(self.queue) and has_room

    def _send(self, publish: OutgoingPublish) -> None:
        packet = publish.packet
        packet.id = self._allocate_packet_id()
        packet.qos = min(packet.qos, self.max_qos)
        if not packet.qos:  # the server accepts QoS 0 only, which has no acknowledgement
            publish.on_done(None, False)
            return
        data = encode(packet)
        if self.max_packet_size and len(data) > self.max_packet_size:  # [MQTT-3.2.2-15]
            publish.on_done(Packet(Kind.PUBACK, reason=PACKET_TOO_LARGE), False)
            return
        self.outgoing[packet.id] = publish
        publish.sent = True
        self.output += data

    def _allocate_packet_id(self) -> int:
        while self.next_packet_id in self.outgoing:
            self.next_packet_id = _following_packet_id(self.next_packet_id)
        packet_id = self.next_packet_id
        self.next_packet_id = _following_packet_id(packet_id)
        return packet_id

    def _handle_packet(self, packet: Packet) -> None:
        match packet.kind:
            case Kind.CONNACK:
                self._handle_connack(packet)
            case Kind.PUBLISH:
                self._handle_publish(packet)
            case Kind.PUBACK | Kind.PUBCOMP:
                self._finish_publish(packet)
            case Kind.PUBREC:
                self._handle_pubrec(packet)
            case Kind.SUBACK:
                self._handle_suback(packet)
            case Kind.DISCONNECT:
                raise MqttError(f"DISCONNECT: the server ended the connection, reason {packet.reason:#x}")
            case Kind.PINGRESP | Kind.UNSUBACK:
                pass
            case _:
                raise MqttError(f"{packet.kind.name}: unexpected from a server")

    def _handle_publish(self, packet: Packet) -> None:
        if packet.qos > SUBSCRIPTION_QOS:
            raise MqttError(f"PUBLISH: expected a QoS of at most {SUBSCRIPTION_QOS}, got {packet.qos}")
        if packet.properties.get("topic_alias"):
            raise MqttError("PUBLISH: contains a topic alias, although the topic alias maximum is 0")
        self.on_publish(packet)

    def _handle_suback(self, packet: Packet) -> None:
        if any(reason >= FIRST_ERROR_REASON for reason in packet.reasons):
            raise MqttError(f"SUBACK: the subscription was refused, reasons {packet.reasons}")
        self.subscribed = True

    def _handle_connack(self, packet: Packet) -> None:
        if self.connected:
            raise MqttError("CONNACK: received twice on one connection")
        if packet.reason:
            raise MqttError(f"CONNACK: the server refused the connection, reason {packet.reason:#x}")
        self.connected = True
        self.subscribed = not self.subscriptions
        self.clean_start = False
        self.receive_maximum = _integer_property(packet, "receive_maximum", DEFAULT_RECEIVE_MAXIMUM)
        self.max_qos = _integer_property(packet, "maximum_qos", MAX_QOS)
        self.max_packet_size = _integer_property(packet, "maximum_packet", 0)
        self.keep_alive = _integer_property(packet, "server_keep_alive", self.keep_alive)
        if self.subscriptions:
            filters = [(topic, SUBSCRIPTION_QOS) for topic in self.subscriptions]
            self._write(Packet(Kind.SUBSCRIBE, id=self._allocate_packet_id(), filters=filters))
        unacknowledged = list(self.outgoing.values())
        self.outgoing = {}
        if packet.flag:
            self._resend(unacknowledged)
        else:
            self._requeue(unacknowledged)
        self._send_queued()

    def _resend(self, unacknowledged: Iterable[OutgoingPublish]) -> None:
        """Send unacknowledged packets again, because the server has kept the session [MQTT-4.4.0-1]."""
        for publish in unacknowledged:
            self.outgoing[publish.packet.id] = publish
            if publish.pubrec_received:
                self._write(Packet(Kind.PUBREL, id=publish.packet.id))
            else:
                publish.packet.dup = True
                self._write(publish.packet)

    def _requeue(self, unacknowledged: list[OutgoingPublish]) -> None:
        """Queue unacknowledged publishes first, as new ones, because the server has no session."""
        self.queue.extendleft(reversed(unacknowledged))
        for publish in unacknowledged:
            publish.pubrec_received = False
            publish.packet.dup = False

    def _handle_pubrec(self, packet: Packet) -> None:
        publish = self.outgoing.get(packet.id)
        if packet.reason >= FIRST_ERROR_REASON:
            self._finish_publish(packet)
        elif publish is None or publish.packet.qos != MAX_QOS:
            self._write(Packet(Kind.PUBREL, id=packet.id, reason=PACKET_IDENTIFIER_NOT_FOUND))
        else:
            publish.pubrec_received = True
            self._write(Packet(Kind.PUBREL, id=packet.id))

    def _finish_publish(self, packet: Packet) -> None:
        publish = self.outgoing.pop(packet.id, None)
        if publish is not None:
            publish.on_done(packet, True)
        self._send_queued()


def _following_packet_id(packet_id: int) -> int:
    """Return the packet identifier after `packet_id`; identifiers are 1 to 65535 [MQTT-2.2.1-3]."""
    return packet_id % MAX_TWO_BYTE_INTEGER + 1


def _integer_property(packet: Packet, name: str, default: int) -> int:
    value = packet.properties.get(name, default)
    return value if isinstance(value, int) else default
