"""MQTT 5: a client's session as a machine that knows no socket; its packets are those of mqtt_packets.

Written from the OASIS specification, version 5.0; numbers in brackets name its statements.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from honeyhitch.protocols.buffer import Buffer
from honeyhitch.protocols.mqtt_packets import (
    LARGEST,
    Kind,
    MqttError,
    Packet,
    Properties,
    decode,
    encode,
)

WINDOW = 65535  # receive maximum where the server tells none


@dataclass(slots=True)
class Outgoing:
    """One PUBLISH on its way; `done` hears its end: the acknowledgement, or None if the connection broke."""

    packet: Packet
    done: Callable[[Packet | None, bool], None]  # and whether it may have left
    begin: Callable[[], Packet | None] | None = None  # what goes after all, asked as its turn comes
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

    def __init__(self, client_id: str, keep: int = 0, keep_alive: int = 20, anew: bool = True) -> None:
        self.client_id, self.keep, self.keep_alive, self.anew = client_id, keep, keep_alive, anew
        self.username: str | None = None
        self.password: bytes | None = None
        self.subscriptions: list[str] = []
        self.outgoing: dict[int, Outgoing] = {}
        self.queue: deque[Outgoing] = deque()
        self.next_id, self.window, self.most_qos, self.largest = 1, WINDOW, 2, 0
        self.up = self.ready = False
        self.held = False  # the connection is about to be made anew: nothing more is published on it
        self.out = bytearray()  # what the driver has to write
        self.on_publish: Callable[[Packet], None] = lambda packet: None

    def take_out(self) -> bytes:
        """What is to be written now."""
        data = bytes(self.out)
        self.out.clear()
        return data

    def open(self) -> None:
        """A connection is there: say CONNECT."""
        self.out.clear()
        properties: Properties = {"receive_maximum": 1024, "maximum_packet": LARGEST}
        if self.keep:
            properties["session_expiry"] = self.keep
        packet = Packet(Kind.CONNECT, properties=properties, client_id=self.client_id)
        packet.flag, packet.keep_alive = self.anew or not self.keep, self.keep_alive
        packet.username, packet.password = self.username, self.password
        self._write(packet)

    def receive(self, buffer: Buffer) -> None:
        """Take what the connection brought."""
        while (packet := decode(buffer)) is not None:
            if not self.up and packet.kind is not Kind.CONNACK:
                raise MqttError(f"{packet.kind.name}: before CONNACK")
            self._packet(packet)

    def broke(self) -> None:
        """The connection is gone."""
        self.up = self.ready = self.held = False
        self.out.clear()
        if self.keep:
            return
        lost, self.outgoing = list(self.outgoing.values()), {}
        waiting, self.queue = list(self.queue), deque()
        for one in lost + waiting:
            one.done(None, one.sent)

    def publish(
        self,
        packet: Packet,
        done: Callable[[Packet | None, bool], None],
        begin: Callable[[], Packet | None] | None = None,
    ) -> Outgoing:
        """Send a PUBLISH with QoS 1 or 2 as soon as the server's receive maximum allows. `begin` is asked
        then for what goes in its place; with None nothing does, and `done` is not called.
        """
        packet.dup = False  # also one that was out before and was refused
        one = Outgoing(packet, done, begin)
        self.queue.append(one)
        self._drain()
        return one

    def withdraw(self, one: Outgoing, late: Callable[[Packet | None, bool], None]) -> None:
        """Nobody waits for its end any more: it is not sent if it has not been, and `late` is called instead
        of `done` if its end comes all the same.
        """
        one.done = late
        if one in self.queue:
            self.queue.remove(one)

    def acknowledge(self, packet: Packet, reason: int = 0) -> None:
        """PUBACK for a PUBLISH that came with QoS 1."""
        if self.up and packet.qos == 1:
            self._write(Packet(Kind.PUBACK, id=packet.id, reason=reason))

    def ping(self) -> None:
        """Keep the connection alive."""
        self._write(Packet(Kind.PINGREQ))

    def disconnect(self, reason: int = 0) -> None:
        """Take leave; the server keeps the session where it was asked to."""
        self._write(Packet(Kind.DISCONNECT, reason=reason))

    def _write(self, packet: Packet) -> None:
        self.out += encode(packet)

    def _drain(self) -> None:
        while self.up and not self.held and self.queue and len(self.outgoing) < self.window:
            one = self.queue.popleft()
            if one.begin is not None:
                if (packet := one.begin()) is None:
                    continue
                one.packet = packet
            one.packet.id, one.packet.qos = self._free_id(), min(one.packet.qos, self.most_qos)
            if not one.packet.qos:  # the server takes no more than QoS 0: nothing would be acknowledged
                one.done(None, False)
                continue
            data = encode(one.packet)
            if self.largest and len(data) > self.largest:  # [MQTT-3.2.2-15]
                one.done(Packet(Kind.PUBACK, reason=0x95), False)
                continue
            self.outgoing[one.packet.id], one.sent = one, True
            self.out += data

    def _free_id(self) -> int:
        while self.next_id in self.outgoing:
            self.next_id = self.next_id % 65535 + 1
        found, self.next_id = self.next_id, self.next_id % 65535 + 1
        return found

    def _packet(self, packet: Packet) -> None:
        match packet.kind:
            case Kind.CONNACK:
                self._connected(packet)
            case Kind.PUBLISH:
                if packet.qos == 2:
                    raise MqttError("PUBLISH: QoS 2, though QoS 1 at most was asked for")
                if packet.properties.get("topic_alias"):
                    raise MqttError("PUBLISH: a topic alias, though none is allowed")
                self.on_publish(packet)
            case Kind.PUBACK | Kind.PUBCOMP:
                self._finished(packet)
            case Kind.PUBREC:
                self._received(packet)
            case Kind.SUBACK:
                if any(reason >= 0x80 for reason in packet.reasons):
                    raise MqttError(f"SUBACK: the subscription was refused, reasons {packet.reasons}")
                self.ready = True
            case Kind.DISCONNECT:
                raise MqttError(f"DISCONNECT: the server left, reason {packet.reason:#x}")
            case Kind.PINGRESP | Kind.UNSUBACK:
                pass
            case _:
                raise MqttError(f"{packet.kind.name}: not for a client")

    def _connected(self, packet: Packet) -> None:
        if self.up:
            raise MqttError("CONNACK: came twice")
        if packet.reason:
            raise MqttError(f"CONNACK: the server refused, reason {packet.reason:#x}")

        def told(name: str, default: int) -> int:
            value = packet.properties.get(name, default)
            return value if isinstance(value, int) else default

        self.up, self.ready, self.anew = True, not self.subscriptions, False
        self.window, self.most_qos = told("receive_maximum", WINDOW), told("maximum_qos", 2)
        self.largest, self.keep_alive = told("maximum_packet", 0), told("server_keep_alive", self.keep_alive)
        if self.subscriptions:
            filters = [(topic, 1) for topic in self.subscriptions]
            self._write(Packet(Kind.SUBSCRIBE, id=self._free_id(), filters=filters))
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
        self._drain()

    def _received(self, packet: Packet) -> None:
        one = self.outgoing.get(packet.id)
        if packet.reason >= 0x80:
            self._finished(packet)
        elif one is None or one.packet.qos != 2:
            self._write(Packet(Kind.PUBREL, id=packet.id, reason=0x92))
        else:
            one.released = True
            self._write(Packet(Kind.PUBREL, id=packet.id))

    def _finished(self, packet: Packet) -> None:
        one = self.outgoing.pop(packet.id, None)
        if one is not None:
            one.done(packet, True)
        self._drain()
