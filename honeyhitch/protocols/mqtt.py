"""The client's side of an MQTT 5 session, without I/O; its packets are those of `mqtt_packets`.

Written from the OASIS specification, version 5.0; numbers in brackets name its statements.
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

DEFAULT_RECEIVE_MAXIMUM = 65535  # where the server states none (3.2.2.3.3)
DEFAULT_KEEP_ALIVE_SECONDS = 20
OUR_RECEIVE_MAXIMUM = 1024  # unacknowledged publishes that the server may send
SUBSCRIPTION_QOS = 1
PACKET_TOO_LARGE = 0x95  # reason codes (2.4)
PACKET_IDENTIFIER_NOT_FOUND = 0x92

# Called at the end of a publish with its acknowledgement, or None if the connection was lost, and with
# whether the publish may have reached the server.
PublishCallback = Callable[[Packet | None, bool], None]


@dataclass(slots=True)
class OutgoingPublish:
    """One PUBLISH that is queued or in flight."""

    packet: Packet
    on_done: PublishCallback
    on_turn: Callable[[], Packet | None] | None = None  # gives the packet to send when its turn comes
    released: bool = False  # QoS 2: its PUBREC has come
    sent: bool = False


class Session:
    """The client's side of one session, over successive connections.

    With a `session_expiry` in seconds the server keeps the session, and what was not acknowledged is sent
    again after a reconnection, as the specification demands. Without, every connection begins a new session,
    and what was in flight when one was lost is reported as such and never sent again.

    `clean_start`: the first connection discards what the server kept. A process that publishes has lost its
    unacknowledged publishes with a restart; one that only receives has nothing of its own to lose.
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
        self.receive_maximum = DEFAULT_RECEIVE_MAXIMUM  # of the server
        self.max_qos = MAX_QOS  # of the server
        self.max_packet_size = 0  # bytes that the server takes, 0 for no limit
        self.connected = False  # CONNACK has come
        self.subscribed = False
        self.paused = False  # the connection is about to be replaced: no further publish goes out on it
        self.output = bytearray()  # bytes to be written by the transport

    def take_output(self) -> bytes:
        """The bytes to be written now."""
        data = bytes(self.output)
        self.output.clear()
        return data

    def open(self) -> None:
        """A connection was made: send CONNECT."""
        self.output.clear()
        properties: Properties = {"receive_maximum": OUR_RECEIVE_MAXIMUM, "maximum_packet": MAX_PACKET_BYTES}
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
        """Process the complete packets in the buffer. Raises MqttError."""
        while (packet := decode(buffer)) is not None:
            if not self.connected and packet.kind is not Kind.CONNACK:
                raise MqttError(f"{packet.kind.name}: before CONNACK")
            self._handle_packet(packet)

    def connection_lost(self) -> None:
        """The connection is gone."""
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
        on_turn: Callable[[], Packet | None] | None = None,
    ) -> OutgoingPublish:
        """Send a PUBLISH with QoS 1 or 2 as soon as the server's receive maximum allows.

        `on_turn` is called then and gives the packet to send instead; if it gives None, nothing is sent and
        `on_done` is not called.
        """
        packet.dup = False  # also for one that was sent before and rejected
        publish = OutgoingPublish(packet, on_done, on_turn)
        self.queue.append(publish)
        self._send_queued()
        return publish

    def withdraw(self, publish: OutgoingPublish, on_done: PublishCallback) -> None:
        """Nobody waits for the end of a publish any more.

        If it is still queued it is not sent; otherwise `on_done` replaces its callback.
        """
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
        """Send DISCONNECT; the server keeps the session if it has an expiry."""
        self._write(Packet(Kind.DISCONNECT, reason=reason))

    def _write(self, packet: Packet) -> None:
        self.output += encode(packet)

    def _send_queued(self) -> None:
        while self._may_send():
            publish = self.queue.popleft()
            if publish.on_turn is not None:
                packet = publish.on_turn()
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
        if not packet.qos:  # the server takes QoS 0 only: nothing would be acknowledged
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
                raise MqttError(f"DISCONNECT: the server left, reason {packet.reason:#x}")
            case Kind.PINGRESP | Kind.UNSUBACK:
                pass
            case _:
                raise MqttError(f"{packet.kind.name}: not for a client")

    def _handle_publish(self, packet: Packet) -> None:
        if packet.qos > SUBSCRIPTION_QOS:
            raise MqttError("PUBLISH: QoS 2, though QoS 1 at most was asked for")
        if packet.properties.get("topic_alias"):
            raise MqttError("PUBLISH: a topic alias, though none is allowed")
        self.on_publish(packet)

    def _handle_suback(self, packet: Packet) -> None:
        if any(reason >= FIRST_ERROR_REASON for reason in packet.reasons):
            raise MqttError(f"SUBACK: the subscription was refused, reasons {packet.reasons}")
        self.subscribed = True

    def _handle_connack(self, packet: Packet) -> None:
        if self.connected:
            raise MqttError("CONNACK: came twice")
        if packet.reason:
            raise MqttError(f"CONNACK: the server refused, reason {packet.reason:#x}")
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
        """The server has kept the session: repeat what it has not acknowledged [MQTT-4.4.0-1]."""
        for publish in unacknowledged:
            self.outgoing[publish.packet.id] = publish
            if publish.released:
                self._write(Packet(Kind.PUBREL, id=publish.packet.id))
            else:
                publish.packet.dup = True
                self._write(publish.packet)

    def _requeue(self, unacknowledged: list[OutgoingPublish]) -> None:
        """The server has no session: what it has not acknowledged is sent anew, first."""
        self.queue.extendleft(reversed(unacknowledged))
        for publish in unacknowledged:
            publish.released = False
            publish.packet.dup = False

    def _handle_pubrec(self, packet: Packet) -> None:
        publish = self.outgoing.get(packet.id)
        if packet.reason >= FIRST_ERROR_REASON:
            self._finish_publish(packet)
        elif publish is None or publish.packet.qos != MAX_QOS:
            self._write(Packet(Kind.PUBREL, id=packet.id, reason=PACKET_IDENTIFIER_NOT_FOUND))
        else:
            publish.released = True
            self._write(Packet(Kind.PUBREL, id=packet.id))

    def _finish_publish(self, packet: Packet) -> None:
        publish = self.outgoing.pop(packet.id, None)
        if publish is not None:
            publish.on_done(packet, True)
        self._send_queued()


def _following_packet_id(packet_id: int) -> int:
    """Packet identifiers are 1 to 65535 [MQTT-2.2.1-3]."""
    return packet_id % MAX_TWO_BYTE_INTEGER + 1


def _integer_property(packet: Packet, name: str, default: int) -> int:
    value = packet.properties.get(name, default)
    return value if isinstance(value, int) else default
