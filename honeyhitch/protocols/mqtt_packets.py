"""MQTT 5 control packets: their types, encoding and decoding (OASIS MQTT Version 5.0, chapters 2 and 3).

Numbers in parentheses refer to sections of the specification, and names in brackets to its conformance
statements.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import IntEnum

from honeyhitch.protocols.buffer import Buffer

PROTOCOL_NAME = "MQTT"
PROTOCOL_VERSION = 5
MAX_PACKET_BYTES = 1 << 18  # bytes of a received packet; announced to the server in CONNECT
MAX_TWO_BYTE_INTEGER = 65535
FIRST_ERROR_REASON = 0x80  # lowest reason code that is an error (2.4)

# Variable byte integer: seven bits per byte, least significant first (1.5.5).
CONTINUATION_BIT = 0x80
VALUE_BITS = 0x7F
BITS_PER_BYTE = 7
MAX_VARIABLE_BYTES = 4

# Flags of PUBLISH (3.3.1).
DUP_FLAG = 8
RETAIN_FLAG = 1
QOS_SHIFT = 1
QOS_BITS = 3
INVALID_QOS = 3
MAX_QOS = 2

# Flags of CONNECT (3.1.2.3).
USERNAME_FLAG = 128
PASSWORD_FLAG = 64
CLEAN_START_FLAG = 2
UNSUPPORTED_CONNECT_FLAGS = 0x3D  # the flags of a will, which this program never sends, and the reserved bit

SESSION_PRESENT_FLAG = 1  # flag of CONNACK (3.2.2.1)


class Kind(IntEnum):
    """Types of control packet (2.1.2)."""

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


# All other packet types require the flags 0 [MQTT-2.1.3-1].
REQUIRED_FLAGS = {Kind.PUBREL: 2, Kind.SUBSCRIBE: 2, Kind.UNSUBSCRIBE: 2}
ACKNOWLEDGEMENTS = (Kind.PUBACK, Kind.PUBREC, Kind.PUBREL, Kind.PUBCOMP)

# Encodings of properties (2.2.2.2).
BYTE = "byte"
TWO_BYTES = "two bytes"
FOUR_BYTES = "four bytes"
VARIABLE = "variable byte integer"
TEXT = "UTF-8 string"
BINARY = "binary data"
TEXT_PAIR = "UTF-8 string pair"
INTEGER_SIZES = {BYTE: 1, TWO_BYTES: 2, FOUR_BYTES: 4}  # bytes

USER_PROPERTY = 38
# Name and encoding of each property, by its identifier.
PROPERTIES = {
    1: ("payload_format", BYTE),
    2: ("message_expiry", FOUR_BYTES),
    3: ("content_type", TEXT),
    8: ("response_topic", TEXT),
    9: ("correlation", BINARY),
    11: ("subscription_id", VARIABLE),
    17: ("session_expiry", FOUR_BYTES),
    18: ("assigned_client_id", TEXT),
    19: ("server_keep_alive", TWO_BYTES),
    21: ("auth_method", TEXT),
    22: ("auth_data", BINARY),
    23: ("request_problem_info", BYTE),
    24: ("will_delay", FOUR_BYTES),
    25: ("request_response_info", BYTE),
    26: ("response_info", TEXT),
    28: ("server_reference", TEXT),
    31: ("reason", TEXT),
    33: ("receive_maximum", TWO_BYTES),
    34: ("topic_alias_maximum", TWO_BYTES),
    35: ("topic_alias", TWO_BYTES),
    36: ("maximum_qos", BYTE),
    37: ("retain_available", BYTE),
    38: ("user", TEXT_PAIR),
    39: ("maximum_packet", FOUR_BYTES),
    40: ("wildcards", BYTE),
    41: ("subscription_ids", BYTE),
    42: ("shared", BYTE),
}
IDENTIFIERS = {name: (identifier, encoding) for identifier, (name, encoding) in PROPERTIES.items()}
REPEATABLE_PROPERTY = "subscription_id"
Properties = dict[str, "int | str | bytes"]


class MqttError(Exception):
    """A malformed packet or a violation of the MQTT 5 protocol; the connection has to be closed."""


@dataclass(slots=True)
class Packet:
    """One control packet; each packet type uses only some of the fields."""

    kind: Kind
    id: int = 0  # packet identifier
    reason: int = 0  # reason code
    properties: Properties = field(default_factory=dict)
    user: list[tuple[str, str]] = field(default_factory=list)  # user properties, in their order
    topic: str = ""  # PUBLISH
    payload: bytes = b""  # PUBLISH
    qos: int = 0  # PUBLISH
    dup: bool = False  # PUBLISH: may have been sent before
    retain: bool = False  # PUBLISH
    flag: bool = False  # CONNECT: clean start; CONNACK: session present
    client_id: str = ""  # CONNECT
    keep_alive: int = 0  # CONNECT, in seconds
    username: str | None = None  # CONNECT
    password: bytes | None = None  # CONNECT
    # Topic filters: in SUBSCRIBE with their options, in UNSUBSCRIBE with 0.
    filters: list[tuple[str, int]] = field(default_factory=list)
    reasons: list[int] = field(default_factory=list)  # SUBACK, UNSUBACK


# Encoding.


def _encode_two_bytes(value: int) -> bytes:
    return value.to_bytes(2, "big")


def _encode_variable(value: int) -> bytes:
    encoded = bytearray()
    while True:
        value, low_bits = divmod(value, CONTINUATION_BIT)
        encoded.append(low_bits | (CONTINUATION_BIT if value else 0))
        if not value:
            return bytes(encoded)


def _encode_binary(value: bytes) -> bytes:
    if len(value) > MAX_TWO_BYTE_INTEGER:
        raise MqttError(f"string: {len(value)} bytes, at most {MAX_TWO_BYTE_INTEGER} allowed")
    return _encode_two_bytes(len(value)) + value


def _encode_text(value: str) -> bytes:
    return _encode_binary(value.encode())


def _encode_property(encoding: str, value: int | str | bytes) -> bytes:
    if isinstance(value, int):
        if encoding == VARIABLE:
            return _encode_variable(value)
        return value.to_bytes(INTEGER_SIZES[encoding], "big")
    return _encode_text(value) if isinstance(value, str) else _encode_binary(value)


def _encode_properties(packet: Packet) -> bytes:
    encoded = bytearray()
    for name, value in packet.properties.items():
        identifier, encoding = IDENTIFIERS[name]
        encoded += _encode_variable(identifier) + _encode_property(encoding, value)
    for name, text in packet.user:
        encoded += _encode_variable(USER_PROPERTY) + _encode_text(name) + _encode_text(text)
    return _encode_variable(len(encoded)) + bytes(encoded)


def _encode_connect(packet: Packet) -> bytes:
    has_username = packet.username is not None
    has_password = packet.password is not None
    flags = USERNAME_FLAG * has_username + PASSWORD_FLAG * has_password + CLEAN_START_FLAG * packet.flag
    body = _encode_text(PROTOCOL_NAME) + bytes([PROTOCOL_VERSION, flags])
    body += _encode_two_bytes(packet.keep_alive) + _encode_properties(packet) + _encode_text(packet.client_id)
    if packet.username is not None:
        body += _encode_text(packet.username)
    if packet.password is not None:
        body += _encode_binary(packet.password)
    return body


def _encode_connack(packet: Packet) -> bytes:
    return bytes([packet.flag, packet.reason]) + _encode_properties(packet)


def _encode_publish(packet: Packet) -> bytes:
    identifier = _encode_two_bytes(packet.id) if packet.qos else b""
    return _encode_text(packet.topic) + identifier + _encode_properties(packet) + packet.payload


def _encode_subscribe(packet: Packet) -> bytes:
    filters = b"".join(_encode_text(topic) + bytes([options]) for topic, options in packet.filters)
    return _encode_two_bytes(packet.id) + _encode_properties(packet) + filters


def _encode_unsubscribe(packet: Packet) -> bytes:
    filters = b"".join(_encode_text(topic) for topic, _ in packet.filters)
    return _encode_two_bytes(packet.id) + _encode_properties(packet) + filters


def _encode_reasons(packet: Packet) -> bytes:
    return _encode_two_bytes(packet.id) + _encode_properties(packet) + bytes(packet.reasons)


def _encode_nothing(_: Packet) -> bytes:
    return b""


def _encode_reason(packet: Packet) -> bytes:
    body = _encode_two_bytes(packet.id) if packet.kind in ACKNOWLEDGEMENTS else b""
    if packet.reason or packet.properties or packet.user:
        body += bytes([packet.reason]) + _encode_properties(packet)
    return body


BODY_ENCODERS: dict[Kind, Callable[[Packet], bytes]] = {
    Kind.CONNECT: _encode_connect,
    Kind.CONNACK: _encode_connack,
    Kind.PUBLISH: _encode_publish,
    Kind.SUBSCRIBE: _encode_subscribe,
    Kind.UNSUBSCRIBE: _encode_unsubscribe,
    Kind.SUBACK: _encode_reasons,
    Kind.UNSUBACK: _encode_reasons,
    Kind.PINGREQ: _encode_nothing,
    Kind.PINGRESP: _encode_nothing,
}


def encode(packet: Packet) -> bytes:
    """Return one packet as bytes. Raise MqttError for a string that is too long."""
    kind = packet.kind
    if kind is Kind.PUBLISH:
        flags = DUP_FLAG * packet.dup + (packet.qos << QOS_SHIFT) + packet.retain
    else:
        flags = REQUIRED_FLAGS.get(kind, 0)
    body = BODY_ENCODERS.get(kind, _encode_reason)(packet)
    return bytes([(kind << 4) + flags]) + _encode_variable(len(body)) + body


# Decoding.


class _BodyReader:
    """Sequential reader of the values in the body of a packet."""

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.position = 0

    def read(self, count: int) -> bytes:
        if self.position + count > len(self.data):
            raise MqttError(f"packet: expected {count} more bytes, got {len(self.data) - self.position}")
        self.position += count
        return self.data[self.position - count : self.position]

    def read_integer(self, size: int) -> int:
        return int.from_bytes(self.read(size), "big")

    def read_binary(self) -> bytes:
        return self.read(self.read_integer(2))

    def read_text(self) -> str:
        try:
            value = self.read_binary().decode()
        except UnicodeDecodeError as error:
            raise MqttError("string: not UTF-8") from error
        if "\0" in value:
            raise MqttError("string: contains U+0000, which is not allowed")
        return value

    def read_variable(self) -> int:
        value = 0
        for index in range(MAX_VARIABLE_BYTES):
            byte = self.read_integer(1)
            value |= (byte & VALUE_BITS) << (BITS_PER_BYTE * index)
            if byte < CONTINUATION_BIT:
                return value
        raise MqttError("variable byte integer: longer than four bytes")

    def has_more(self) -> bool:
        return self.position < len(self.data)

    def read_remaining(self) -> bytes:
        return self.read(len(self.data) - self.position)

    def read_property(self, encoding: str) -> int | str | bytes:
        if encoding == TEXT:
            return self.read_text()
        if encoding == BINARY:
            return self.read_binary()
        return self.read_variable() if encoding == VARIABLE else self.read_integer(INTEGER_SIZES[encoding])

    def read_properties(self, packet: Packet) -> None:
        length = self.read_variable()
        reader = _BodyReader(self.read(length))
        while reader.has_more():
            identifier = reader.read_variable()
            if identifier not in PROPERTIES:
                raise MqttError(f"property {identifier}: unknown")
            name, encoding = PROPERTIES[identifier]
            if encoding == TEXT_PAIR:
                packet.user.append((reader.read_text(), reader.read_text()))
                continue
            if name in packet.properties and name != REPEATABLE_PROPERTY:
                raise MqttError(f"property {name}: given twice, allowed once")
            packet.properties[name] = reader.read_property(encoding)


def _decode_connect(packet: Packet, reader: _BodyReader) -> None:
    if reader.read_text() != PROTOCOL_NAME or reader.read_integer(1) != PROTOCOL_VERSION:
        raise MqttError(f"CONNECT: expected protocol {PROTOCOL_NAME}, version {PROTOCOL_VERSION}")
    flags = reader.read_integer(1)
    if flags & UNSUPPORTED_CONNECT_FLAGS:
        raise MqttError(f"CONNECT: unsupported flags {flags:#x}")
    packet.flag = bool(flags & CLEAN_START_FLAG)
    packet.keep_alive = reader.read_integer(2)
    reader.read_properties(packet)
    packet.client_id = reader.read_text()
    packet.username = reader.read_text() if flags & USERNAME_FLAG else None
    packet.password = reader.read_binary() if flags & PASSWORD_FLAG else None


def _decode_connack(packet: Packet, reader: _BodyReader) -> None:
    packet.flag = bool(reader.read_integer(1) & SESSION_PRESENT_FLAG)
    packet.reason = reader.read_integer(1)
    reader.read_properties(packet)


def _decode_publish(packet: Packet, reader: _BodyReader, flags: int) -> None:
    packet.dup = bool(flags & DUP_FLAG)
    packet.qos = flags >> QOS_SHIFT & QOS_BITS
    packet.retain = bool(flags & RETAIN_FLAG)
    if packet.qos == INVALID_QOS or (packet.dup and not packet.qos):
        raise MqttError(f"PUBLISH: invalid flags {flags:#x}")
    packet.topic = reader.read_text()
    packet.id = reader.read_integer(2) if packet.qos else 0
    if packet.qos and not packet.id:
        raise MqttError(f"PUBLISH: expected a packet identifier from 1 to {MAX_TWO_BYTE_INTEGER}, got 0")
    reader.read_properties(packet)
    packet.payload = reader.read_remaining()


def _decode_subscribe(packet: Packet, reader: _BodyReader) -> None:
    packet.id = reader.read_integer(2)
    reader.read_properties(packet)
    while reader.has_more():
        packet.filters.append((reader.read_text(), reader.read_integer(1)))


def _decode_unsubscribe(packet: Packet, reader: _BodyReader) -> None:
    packet.id = reader.read_integer(2)
    reader.read_properties(packet)
    while reader.has_more():
        packet.filters.append((reader.read_text(), 0))


def _decode_reasons(packet: Packet, reader: _BodyReader) -> None:
    packet.id = reader.read_integer(2)
    reader.read_properties(packet)
    packet.reasons = list(reader.read_remaining())


def _decode_reason(packet: Packet, reader: _BodyReader) -> None:
    packet.id = reader.read_integer(2) if packet.kind in ACKNOWLEDGEMENTS else 0
    packet.reason = reader.read_integer(1) if reader.has_more() else 0
    if reader.has_more():
        reader.read_properties(packet)


BODY_DECODERS: dict[Kind, Callable[[Packet, _BodyReader], None]] = {
    Kind.CONNECT: _decode_connect,
    Kind.CONNACK: _decode_connack,
    Kind.SUBSCRIBE: _decode_subscribe,
    Kind.UNSUBSCRIBE: _decode_unsubscribe,
    Kind.SUBACK: _decode_reasons,
    Kind.UNSUBACK: _decode_reasons,
}


def _decode_body(kind: Kind, flags: int, data: bytes) -> Packet:
    packet = Packet(kind)
    reader = _BodyReader(data)
    if kind is Kind.PUBLISH:
        _decode_publish(packet, reader, flags)
    elif flags != REQUIRED_FLAGS.get(kind, 0):
        raise MqttError(f"{kind.name}: expected flags {REQUIRED_FLAGS.get(kind, 0):#x}, got {flags:#x}")
    else:
        BODY_DECODERS.get(kind, _decode_reason)(packet, reader)
    if reader.has_more():
        raise MqttError(f"{kind.name}: {len(data) - reader.position} bytes after the last field")
    return packet


def _decode_remaining_length(head: bytes) -> tuple[int, int] | None:
    """Return the length of the body and its offset, or None while the length is incomplete (2.1.4)."""
    length = 0
    for index in range(1, MAX_VARIABLE_BYTES + 1):
        if index >= len(head):
            return None
        length |= (head[index] & VALUE_BITS) << (BITS_PER_BYTE * (index - 1))
        if head[index] < CONTINUATION_BIT:
            return length, index + 1
    raise MqttError("remaining length: longer than four bytes")


def decode(buffer: Buffer, max_bytes: int = MAX_PACKET_BYTES) -> Packet | None:
    """Consume and return the next packet, or return None while it is incomplete.

    Raise MqttError for bytes that are not valid MQTT 5, and for a body of more than `max_bytes`.
    """
    head = buffer.peek(0, 1 + MAX_VARIABLE_BYTES)
    length_and_offset = _decode_remaining_length(head)
    if length_and_offset is None:
        return None
    length, offset = length_and_offset
    if length > max_bytes:
        raise MqttError(f"packet: {length} bytes, at most {max_bytes} allowed")
    if len(buffer) < offset + length:
        return None
    try:
        kind = Kind(head[0] >> 4)
    except ValueError:
        raise MqttError("packet: expected a type from 1 to 15, got 0") from None
    data = buffer.peek(offset, length)
    buffer.consume(offset + length)
    return _decode_body(kind, head[0] & 0x0F, data)
