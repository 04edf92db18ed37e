"""MQTT 5 packets: their types, and encoding and decoding them (OASIS MQTT Version 5.0, chapters 2 and 3)."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum

from honeyhitch.protocols.buffer import Buffer

MAX_PACKET_BYTES = 1 << 18  # bytes of one packet that is read; told to the server in CONNECT


class Kind(IntEnum):
    """Types of control packet."""

    CONNECT = 1
    CONNACK = 2
    PUBLISH = 3
    PUBACK = 4
    PUBREC = 5
    PUBREL = 6
    PUBCOMP = 7
    SUBSCRIBE = 8
    SUBACK = 9
    UNSUBSCRIBE = 10
    UNSUBACK = 11
    PINGREQ = 12
    PINGRESP = 13
    DISCONNECT = 14
    AUTH = 15


FLAGS = {Kind.PUBREL: 2, Kind.SUBSCRIBE: 2, Kind.UNSUBSCRIBE: 2}  # [MQTT-2.1.3-1]
ACKS = (Kind.PUBACK, Kind.PUBREC, Kind.PUBREL, Kind.PUBCOMP)
# The properties by number: name, and how the value lies on the wire.
PROPERTIES = {
    1: ("payload_format", "byte"),
    2: ("message_expiry", "four"),
    3: ("content_type", "text"),
    8: ("response_topic", "text"),
    9: ("correlation", "data"),
    11: ("subscription_id", "var"),
    17: ("session_expiry", "four"),
    18: ("assigned_client_id", "text"),
    19: ("server_keep_alive", "two"),
    21: ("auth_method", "text"),
    22: ("auth_data", "data"),
    23: ("request_problem_info", "byte"),
    24: ("will_delay", "four"),
    25: ("request_response_info", "byte"),
    26: ("response_info", "text"),
    28: ("server_reference", "text"),
    31: ("reason", "text"),
    33: ("receive_maximum", "two"),
    34: ("topic_alias_maximum", "two"),
    35: ("topic_alias", "two"),
    36: ("maximum_qos", "byte"),
    37: ("retain_available", "byte"),
    38: ("user", "pair"),
    39: ("maximum_packet", "four"),
    40: ("wildcards", "byte"),
    41: ("subscription_ids", "byte"),
    42: ("shared", "byte"),
}
NUMBERS = {name: (number, form) for number, (name, form) in PROPERTIES.items()}
SIZES = {"byte": 1, "two": 2, "four": 4}
Properties = dict[str, "int | str | bytes"]


class MqttError(Exception):
    """Bytes that are not MQTT 5, or a server that breaks its rules; the connection has to be closed."""


@dataclass(slots=True)
class Packet:
    """One control packet; each kind uses the fields that it has."""

    kind: Kind
    id: int = 0
    reason: int = 0
    properties: Properties = field(default_factory=dict)
    user: list[tuple[str, str]] = field(default_factory=list)  # user properties, in their order
    topic: str = ""  # PUBLISH
    payload: bytes = b""
    qos: int = 0
    dup: bool = False
    retain: bool = False
    flag: bool = False  # CONNECT: clean start; CONNACK: session present
    client_id: str = ""  # CONNECT
    keep_alive: int = 0
    username: str | None = None
    password: bytes | None = None
    filters: list[tuple[str, int]] = field(default_factory=list)  # SUBSCRIBE: with options; UNSUBSCRIBE
    reasons: list[int] = field(default_factory=list)  # SUBACK, UNSUBACK


# Writing.


def _two(value: int) -> bytes:
    return value.to_bytes(2, "big")


def _var(value: int) -> bytes:
    out = bytearray()
    while True:
        value, low = divmod(value, 128)
        out.append(low | (128 if value else 0))
        if not value:
            return bytes(out)


def _data(value: bytes) -> bytes:
    if len(value) > 65535:
        raise MqttError("string: longer than 65535 bytes")
    return _two(len(value)) + value


def _text(value: str) -> bytes:
    return _data(value.encode())


def _properties(packet: Packet) -> bytes:
    out = bytearray()
    for name, value in packet.properties.items():
        number, form = NUMBERS[name]
        out += _var(number)
        if isinstance(value, int):
            out += _var(value) if form == "var" else value.to_bytes(SIZES[form], "big")
        else:
            out += _text(value) if isinstance(value, str) else _data(value)
    for name, text in packet.user:
        out += _var(38) + _text(name) + _text(text)
    return _var(len(out)) + bytes(out)


def encode(packet: Packet) -> bytes:
    """One packet as bytes."""
    kind, flags = packet.kind, FLAGS.get(packet.kind, 0)
    match kind:
        case Kind.CONNECT:
            given = 128 * (packet.username is not None) + 64 * (packet.password is not None)
            body = _text("MQTT") + bytes([5, given + 2 * packet.flag]) + _two(packet.keep_alive)
            body += _properties(packet) + _text(packet.client_id)
            body += _text(packet.username) if packet.username is not None else b""
            body += _data(packet.password) if packet.password is not None else b""
        case Kind.CONNACK:
            body = bytes([packet.flag, packet.reason]) + _properties(packet)
        case Kind.PUBLISH:
            flags = 8 * packet.dup + 2 * packet.qos + packet.retain
            body = _text(packet.topic) + (_two(packet.id) if packet.qos else b"")
            body += _properties(packet) + packet.payload
        case Kind.SUBSCRIBE:
            body = _two(packet.id) + _properties(packet)
            body += b"".join(_text(topic) + bytes([options]) for topic, options in packet.filters)
        case Kind.UNSUBSCRIBE:
            body = _two(packet.id) + _properties(packet)
            body += b"".join(_text(topic) for topic, _ in packet.filters)
        case Kind.SUBACK | Kind.UNSUBACK:
            body = _two(packet.id) + _properties(packet) + bytes(packet.reasons)
        case Kind.PINGREQ | Kind.PINGRESP:
            body = b""
        case _:
            body = _two(packet.id) if kind in ACKS else b""
            if packet.reason or packet.properties or packet.user:
                body += bytes([packet.reason]) + _properties(packet)
    return bytes([16 * kind + flags]) + _var(len(body)) + body


# Reading.


class _Reader:
    """Reads values off the body of one packet."""

    def __init__(self, data: bytes) -> None:
        self.data, self.at = data, 0

    def take(self, count: int) -> bytes:
        if self.at + count > len(self.data):
            raise MqttError("packet: ends inside a value")
        self.at += count
        return self.data[self.at - count : self.at]

    def number(self, size: int) -> int:
        return int.from_bytes(self.take(size), "big")

    def data_field(self) -> bytes:
        return self.take(self.number(2))

    def text(self) -> str:
        try:
            value = self.data_field().decode()
        except UnicodeDecodeError as error:
            raise MqttError("string: not UTF-8") from error
        if "\0" in value:
            raise MqttError("string: holds U+0000")
        return value

    def var(self) -> int:
        value = shift = 0
        while True:
            byte = self.number(1)
            value |= (byte & 127) << shift
            if byte < 128:
                return value
            shift += 7
            if shift > 21:
                raise MqttError("variable byte integer: longer than four bytes")

    def more(self) -> bool:
        return self.at < len(self.data)

    def rest(self) -> bytes:
        return self.take(len(self.data) - self.at)

    def properties(self, packet: Packet) -> None:
        length = self.var()
        inner = _Reader(self.take(length))
        while inner.more():
            number = inner.var()
            if number not in PROPERTIES:
                raise MqttError(f"property {number}: unknown")
            name, form = PROPERTIES[number]
            if form == "pair":
                packet.user.append((inner.text(), inner.text()))
                continue
            if name in packet.properties and name != "subscription_id":
                raise MqttError(f"property {name}: given twice")
            if form == "text":
                packet.properties[name] = inner.text()
            elif form == "data":
                packet.properties[name] = inner.data_field()
            else:
                packet.properties[name] = inner.var() if form == "var" else inner.number(SIZES[form])


def _body(kind: Kind, flags: int, data: bytes) -> Packet:
    packet, read = Packet(kind), _Reader(data)
    if kind is not Kind.PUBLISH and flags != FLAGS.get(kind, 0):
        raise MqttError(f"{kind.name}: flags {flags}")
    match kind:
        case Kind.CONNECT:
            if read.text() != "MQTT" or read.number(1) != 5:
                raise MqttError("CONNECT: not MQTT 5")
            given = read.number(1)
            if given & 0x3D:  # a will is never sent here, and the reserved bit is 0
                raise MqttError(f"CONNECT: flags {given}")
            packet.flag, packet.keep_alive = bool(given & 2), read.number(2)
            read.properties(packet)
            packet.client_id = read.text()
            packet.username = read.text() if given & 128 else None
            packet.password = read.data_field() if given & 64 else None
        case Kind.CONNACK:
            packet.flag, packet.reason = bool(read.number(1) & 1), read.number(1)
            read.properties(packet)
        case Kind.PUBLISH:
            packet.dup, packet.qos, packet.retain = bool(flags & 8), flags >> 1 & 3, bool(flags & 1)
            if packet.qos == 3 or (packet.dup and not packet.qos):
                raise MqttError(f"PUBLISH: flags {flags}")
            packet.topic = read.text()
            packet.id = read.number(2) if packet.qos else 0
            if packet.qos and not packet.id:
                raise MqttError("PUBLISH: packet identifier 0")
            read.properties(packet)
            packet.payload = read.rest()
        case Kind.SUBSCRIBE:
            packet.id = read.number(2)
            read.properties(packet)
            while read.more():
                packet.filters.append((read.text(), read.number(1)))
        case Kind.UNSUBSCRIBE:
            packet.id = read.number(2)
            read.properties(packet)
            while read.more():
                packet.filters.append((read.text(), 0))
        case Kind.SUBACK | Kind.UNSUBACK:
            packet.id = read.number(2)
            read.properties(packet)
            packet.reasons = list(read.rest())
        case _:
            packet.id = read.number(2) if kind in ACKS else 0
            packet.reason = read.number(1) if read.more() else 0
            if read.more():
                read.properties(packet)
    if read.more():
        raise MqttError(f"{kind.name}: bytes left over")
    return packet


def decode(buffer: Buffer, largest: int = MAX_PACKET_BYTES) -> Packet | None:
    """The next whole packet, which is consumed; None while some of it is still to come."""
    head = buffer.peek(0, 5)
    length = shift = 0
    for at in range(1, 6):
        if at >= len(head) and at < 5:
            return None
        if at == 5:
            raise MqttError("remaining length: longer than four bytes")
        length |= (head[at] & 127) << shift
        shift += 7
        if head[at] < 128:
            break
    if length > largest:
        raise MqttError(f"packet: {length} bytes, at most {largest} allowed")
    if len(buffer) < 1 + at + length:
        return None
    try:
        kind = Kind(head[0] >> 4)
    except ValueError:
        raise MqttError("packet: type 0") from None
    data = buffer.peek(1 + at, length)
    buffer.consume(1 + at + length)
    return _body(kind, head[0] & 15, data)
