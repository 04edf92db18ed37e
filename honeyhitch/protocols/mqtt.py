"""MQTT 5: a client's session as a machine that knows no socket; its packets are those of mqtt_packets.

Written from the OASIS specification, version 5.0; numbers in brackets name its statements.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from honeyhitch.protocols.buffer import Buffer
from honeyhitch.protocols.mqtt_packets import (
    MAX_PACKET_BYTES,
    Kind,
    MqttError,
    Packet,
    Properties,
    decode,
    encode,
)

DEFAULT_RECEIVE_MAXIMUM = 65535  # receive maximum where the server tells none


@dataclass(slots=True)
class OutgoingPublish:
    """One PUBLISH on its way; `done` hears its end: the acknowledgement, or None if the connection broke."""

    packet: Packet
    on_done: Callable[[Packet | None, bool], None]  # and whether it may have left
    on_turn: Callable[[], Packet | None] | None = None  # what goes after all, asked as its turn comes
    released: bool = False  # QoS 2: its PUBREC has come
    sent: bool = False


class Session:
    """A client's side of one session, over one connection after the other.

    With `keep`, the server keeps the session, and what was not acknowledged is repeated after a
    reconnection, as the specification demands. Without, every connection starts a session of its own,
    and what was out when one broke is reported as such and never repeated. A process that starts `anew`
    has forgotten what it had out, so its first connection ends what the server kept; one that only
    takes in has nothing of its own to forget.
    """

    def __init__(
        self, client_id: str, session_expiry: int = 0, keep_alive: int = 20, clean_start: bool = True
    ) -> None:
        self.client_id, self.session_expiry, self.keep_alive, self.clean_start = (
            client_id,
            session_expiry,
            keep_alive,
            clean_start,
        )
        self.username: str | None = None
        self.password: bytes | None = None
        self.subscriptions: list[str] = []
        self.outgoing: dict[int, OutgoingPublish] = {}
        self.queue: deque[OutgoingPublish] = deque()
        self.next_packet_id, self.receive_maximum, self.max_qos, self.max_packet_size = (
            1,
            DEFAULT_RECEIVE_MAXIMUM,
            2,
            0,
        )
        self.connected = self.subscribed = False
        self.paused = False  # the connection is about to be made anew: nothing more is published on it
        self.output = bytearray()  # what the driver has to write
        self.on_publish: Callable[[Packet], None] = lambda packet: None

    def take_output(self) -> bytes:
        """What is to be written now."""
        data = bytes(self.output)
        self.output.clear()
        return data

    def open(self) -> None:
        """A connection is there: say CONNECT."""
        self.output.clear()
        properties: Properties = {"receive_maximum": 1024, "maximum_packet": MAX_PACKET_BYTES}
        if self.session_expiry:
            properties["session_expiry"] = self.session_expiry
        packet = Packet(Kind.CONNECT, properties=properties, client_id=self.client_id)
        packet.flag, packet.keep_alive = self.clean_start or not self.session_expiry, self.keep_alive
        packet.username, packet.password = self.username, self.password
        self._write(packet)

    def receive(self, buffer: Buffer) -> None:
        """Take what the connection brought."""
        while (packet := decode(buffer)) is not None:
            if not self.connected and packet.kind is not Kind.CONNACK:
                raise MqttError(f"{packet.kind.name}: before CONNACK")
            self._handle_packet(packet)

    def connection_lost(self) -> None:
        """The connection is gone."""
        self.connected = self.subscribed = self.paused = False
        self.output.clear()
        if self.session_expiry:
            return
        lost, self.outgoing = list(self.outgoing.values()), {}
        waiting, self.queue = list(self.queue), deque()
        for one in lost + waiting:
            one.on_done(None, one.sent)

    def publish(
        self,
        packet: Packet,
        on_done: Callable[[Packet | None, bool], None],
        on_turn: Callable[[], Packet | None] | None = None,
    ) -> OutgoingPublish:
        """Send a PUBLISH with QoS 1 or 2 as soon as the server's receive maximum allows. `begin` is asked
        then for what goes in its place; with None nothing does, and `done` is not called.
        """
        packet.dup = False  # also one that was out before and was refused
        one = OutgoingPublish(packet, on_done, on_turn)
        self.queue.append(one)
        self._send_queued()
        return one

    def withdraw(self, publish: OutgoingPublish, on_done: Callable[[Packet | None, bool], None]) -> None:
        """Nobody waits for its end any more: it is not sent if it has not been, and `late` is called instead
        of `done` if its end comes all the same.
        """
        publish.on_done = on_done
        if publish in self.queue:
            self.queue.remove(publish)

    def acknowledge(self, packet: Packet, reason: int = 0) -> None:
        """PUBACK for a PUBLISH that came with QoS 1."""
        if self.connected and packet.qos == 1:
            self._write(Packet(Kind.PUBACK, id=packet.id, reason=reason))

    def ping(self) -> None:
        """Keep the connection alive."""
        self._write(Packet(Kind.PINGREQ))

    def disconnect(self, reason: int = 0) -> None:
        """Take leave; the server keeps the session where it was asked to."""
        self._write(Packet(Kind.DISCONNECT, reason=reason))

    def _write(self, packet: Packet) -> None:
        self.output += encode(packet)

    def _send_queued(self) -> None:
        while self.connected and not self.paused and self.queue and len(self.outgoing) < self.receive_maximum:
            one = self.queue.popleft()
            if one.on_turn is not None:
                if (packet := one.on_turn()) is None:
                    continue
                one.packet = packet
            one.packet.id, one.packet.qos = self._allocate_packet_id(), min(one.packet.qos, self.max_qos)
            if not one.packet.qos:  # the server takes no more than QoS 0: nothing would be acknowledged
                one.on_done(None, False)
                continue
            data = encode(one.packet)
            if self.max_packet_size and len(data) > self.max_packet_size:  # [MQTT-3.2.2-15]
                one.on_done(Packet(Kind.PUBACK, reason=0x95), False)
                continue
            self.outgoing[one.packet.id], one.sent = one, True
            self.output += data

    def _allocate_packet_id(self) -> int:
        while self.next_packet_id in self.outgoing:
            self.next_packet_id = self.next_packet_id % 65535 + 1
        found, self.next_packet_id = self.next_packet_id, self.next_packet_id % 65535 + 1
        return found

    def _handle_packet(self, packet: Packet) -> None:
        match packet.kind:
            case Kind.CONNACK:
                self._handle_connack(packet)
            case Kind.PUBLISH:
                if packet.qos == 2:
                    raise MqttError("PUBLISH: QoS 2, though QoS 1 at most was asked for")
                if packet.properties.get("topic_alias"):
                    raise MqttError("PUBLISH: a topic alias, though none is allowed")
                self.on_publish(packet)
            case Kind.PUBACK | Kind.PUBCOMP:
                self._finish_publish(packet)
            case Kind.PUBREC:
                self._handle_pubrec(packet)
            case Kind.SUBACK:
                if any(reason >= 0x80 for reason in packet.reasons):
                    raise MqttError(f"SUBACK: the subscription was refused, reasons {packet.reasons}")
                self.subscribed = True
            case Kind.DISCONNECT:
                raise MqttError(f"DISCONNECT: the server left, reason {packet.reason:#x}")
            case Kind.PINGRESP | Kind.UNSUBACK:
                pass
            case _:
                raise MqttError(f"{packet.kind.name}: not for a client")

    def _handle_connack(self, packet: Packet) -> None:
        if self.connected:
            raise MqttError("CONNACK: came twice")
        if packet.reason:
            raise MqttError(f"CONNACK: the server refused, reason {packet.reason:#x}")

        def told(name: str, default: int) -> int:
            value = packet.properties.get(name, default)
            return value if isinstance(value, int) else default

        self.connected, self.subscribed, self.clean_start = True, not self.subscriptions, False
        self.receive_maximum, self.max_qos = (
            told("receive_maximum", DEFAULT_RECEIVE_MAXIMUM),
            told("maximum_qos", 2),
        )
        self.max_packet_size, self.keep_alive = (
            told("maximum_packet", 0),
            told("server_keep_alive", self.keep_alive),
        )
        if self.subscriptions:
            filters = [(topic, 1) for topic in self.subscriptions]
            self._write(Packet(Kind.SUBSCRIBE, id=self._allocate_packet_id(), filters=filters))
        old, self.outgoing = list(self.outgoing.values()), {}
        if not packet.flag:  # the server has no session: what was not acknowledged starts anew
            self.queue.extendleft(reversed(old))
            for one in old:
                one.released = one.packet.dup = False
        for one in old if packet.flag else ():  # [MQTT-4.4.0-1]
            self.outgoing[one.packet.id] = one
            if one.released:
                self._write(Packet(Kind.PUBREL, id=one.packet.id))
            else:
                one.packet.dup = True
                self._write(one.packet)
        self._send_queued()

    def _handle_pubrec(self, packet: Packet) -> None:
        one = self.outgoing.get(packet.id)
        if packet.reason >= 0x80:
            self._finish_publish(packet)
        elif one is None or one.packet.qos != 2:
            self._write(Packet(Kind.PUBREL, id=packet.id, reason=0x92))
        else:
            one.released = True
            self._write(Packet(Kind.PUBREL, id=packet.id))

    def _finish_publish(self, packet: Packet) -> None:
        one = self.outgoing.pop(packet.id, None)
        if one is not None:
            one.on_done(packet, True)
        self._send_queued()
