"""A small MQTT 5 broker, from the specification: sessions that last, QoS 0 to 2, and a receive maximum.

It keeps each session until a CONNECT with Clean Start discards it. A PUBLISH with QoS 2 is stored when it
comes and passed on when its PUBREL comes (4.3.3). Every packet takes `latency` seconds in each direction.
"""

from __future__ import annotations

import asyncio
import contextlib
import struct
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

CONNECT, CONNACK, PUBLISH, PUBACK, PUBREC, PUBREL, PUBCOMP, SUBSCRIBE, SUBACK = range(1, 10)
PINGREQ, PINGRESP, DISCONNECT = 12, 13, 14
# Sizes of the properties of a PUBLISH (2.2.2.2): 0 for a string or binary data, -1 for a string pair.
PROPERTY_SIZES = {1: 1, 2: 4, 3: 0, 8: 0, 9: 0, 35: 2, 38: -1}


@dataclass
class Message:
    topic: str
    payload: bytes
    properties: bytes = b""
    qos: int = 1


@dataclass
class Session:
    filters: list[str] = field(default_factory=list)
    outbox: dict[int, Message] = field(
        default_factory=dict
    )  # sent and not acknowledged, by packet identifier
    waiting: deque[Message] = field(default_factory=deque)
    stored: dict[int, Message] = field(default_factory=dict)  # QoS 2: received, its PUBREL has not come
    receive_maximum: int = 65535  # of the client
    last_id: int = 0
    output: asyncio.Queue[bytes] | None = None


def variable(value: int) -> bytes:
    data = b""
    while True:
        value, digit = value >> 7, value & 127
        data += bytes([digit | (128 if value else 0)])
        if not value:
            return data


def packet(kind: int, body: bytes, flags: int = 0) -> bytes:
    return bytes([kind << 4 | flags]) + variable(len(body)) + body


def text(value: str | bytes) -> bytes:
    data = value.encode() if isinstance(value, str) else value
    return struct.pack("!H", len(data)) + data


def user_properties(pairs: dict[str, str]) -> bytes:
    return b"".join(b"\x26" + text(name) + text(value) for name, value in pairs.items())


class Reader:
    def __init__(self, data: bytes) -> None:
        self.data, self.at = data, 0

    def take(self, count: int) -> bytes:
        self.at += count
        return self.data[self.at - count : self.at]

    def number(self, size: int = 2) -> int:
        return int.from_bytes(self.take(size))

    def text(self) -> bytes:
        return self.take(self.number())

    def variable(self) -> int:
        value = shift = 0
        while True:
            byte = self.number(1)
            value |= (byte & 127) << shift
            shift += 7
            if byte < 128:
                return value

    def properties(self) -> bytes:
        return self.take(self.variable())

    @property
    def left(self) -> int:
        return len(self.data) - self.at


def read_user_properties(data: bytes) -> dict[str, str]:
    reader, pairs = Reader(data), {}
    while reader.left:
        size = PROPERTY_SIZES[reader.number(1)]
        if size > 0:
            reader.take(size)
        elif size == 0:
            reader.text()
        else:
            name = reader.text().decode()
            pairs[name] = reader.text().decode()
    return pairs


class Broker:
    """`on_message` is called with each message whose topic no session subscribes to: the clients' answers."""

    def __init__(self, receive_maximum: int, latency: float, on_message: Callable[[Message], None]) -> None:
        self.receive_maximum, self.latency, self.on_message = receive_maximum, latency, on_message
        self.sessions: dict[str, Session] = {}
        self.port = 0
        self.acknowledged = 0  # publishes to a subscriber that its PUBACK has confirmed
        self.on_acknowledged: Callable[[], None] = lambda: None
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def subscribed(self, topic: str) -> bool:
        return any(topic in session.filters and session.output for session in self.sessions.values())

    def publish(self, message: Message) -> None:
        """Pass a message on: to the sessions that subscribe to its topic, or else to `on_message`."""
        subscribers = [session for session in self.sessions.values() if message.topic in session.filters]
        if not subscribers:
            self.on_message(message)
        for session in subscribers:
            session.waiting.append(message)
            self._send_waiting(session)

    def _send_waiting(self, session: Session) -> None:
        while session.output and session.waiting and len(session.outbox) < session.receive_maximum:
            session.last_id = session.last_id % 65535 + 1
            session.outbox[session.last_id] = message = session.waiting.popleft()
            session.output.put_nowait(self._publish_packet(session.last_id, message))

    @staticmethod
    def _publish_packet(number: int, message: Message, dup: bool = False) -> bytes:
        body = text(message.topic) + struct.pack("!H", number)
        body += variable(len(message.properties)) + message.properties + message.payload
        return packet(PUBLISH, body, (8 if dup else 0) | 1 << 1)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        received: asyncio.Queue[tuple[float, int, bytes] | None] = asyncio.Queue()
        output: asyncio.Queue[bytes] = asyncio.Queue()
        jobs = [
            asyncio.create_task(self._handle(received, output)),
            asyncio.create_task(self._write(output, writer)),
        ]
        self.tasks.update(jobs)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                first = (await reader.readexactly(1))[0]
                length = shift = 0
                while True:
                    byte = (await reader.readexactly(1))[0]
                    length |= (byte & 127) << shift
                    shift += 7
                    if byte < 128:
                        break
                received.put_nowait((loop.time() + self.latency, first, await reader.readexactly(length)))
        received.put_nowait(None)
        with contextlib.suppress(asyncio.CancelledError):
            await jobs[0]
        jobs[1].cancel()
        self.tasks.difference_update(jobs)
        for session in self.sessions.values():
            if session.output is output:
                session.output = None
        writer.close()

    async def _write(self, output: asyncio.Queue[bytes], writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            while True:
                data = await output.get()
                due = loop.time() + self.latency
                while not output.empty():
                    data += output.get_nowait()
                await asyncio.sleep(due - loop.time())
                writer.write(data)
                await writer.drain()

    async def _handle(self, received: asyncio.Queue, output: asyncio.Queue[bytes]) -> None:
        loop, session = asyncio.get_running_loop(), Session()
        while (item := await received.get()) is not None:
            due, first, body = item
            await asyncio.sleep(max(0.0, due - loop.time()))
            reader, kind = Reader(body), first >> 4
            if kind == CONNECT:
                session = self._connect(reader, output)
            elif kind == SUBSCRIBE:
                self._subscribe(session, reader, output)
            elif kind == PUBLISH:
                self._receive_publish(session, reader, first, output)
            elif kind == PUBACK:
                if session.outbox.pop(reader.number(), None) is not None:
                    self.acknowledged += 1
                    self.on_acknowledged()
                self._send_waiting(session)
            elif kind == PUBREL:
                number = reader.number()
                message = session.stored.pop(number, None)
                if message is not None:
                    self.publish(message)
                output.put_nowait(packet(PUBCOMP, struct.pack("!H", number)))
            elif kind == PINGREQ:
                output.put_nowait(packet(PINGRESP, b""))
            elif kind == DISCONNECT:
                return

    def _connect(self, reader: Reader, output: asyncio.Queue[bytes]) -> Session:
        reader.text()
        reader.number(1)
        flags = reader.number(1)
        reader.number()  # keep-alive
        properties = Reader(reader.properties())
        name = reader.text().decode()
        present = name in self.sessions and not flags & 2
        session = self.sessions[name] if present else Session()
        self.sessions[name] = session
        while properties.left:
            identifier = properties.number(1)
            value = properties.number({17: 4, 39: 4}.get(identifier, 2))
            if identifier == 33:
                session.receive_maximum = value
        session.output = output
        limit = b"\x21" + struct.pack("!H", self.receive_maximum)
        output.put_nowait(packet(CONNACK, bytes([present, 0]) + variable(len(limit)) + limit))
        for number, message in session.outbox.items():
            output.put_nowait(self._publish_packet(number, message, dup=True))
        return session

    def _subscribe(self, session: Session, reader: Reader, output: asyncio.Queue[bytes]) -> None:
        number = reader.number()
        reader.properties()
        granted = b""
        while reader.left:
            topic = reader.text().decode()
            granted += bytes([min(1, reader.number(1) & 3)])
            if topic not in session.filters:
                session.filters.append(topic)
        output.put_nowait(packet(SUBACK, struct.pack("!H", number) + b"\x00" + granted))
        self._send_waiting(session)

    def _receive_publish(
        self, session: Session, reader: Reader, first: int, output: asyncio.Queue[bytes]
    ) -> None:
        qos = first >> 1 & 3
        topic = reader.text().decode()
        number = reader.number() if qos else 0
        properties = reader.properties()
        message = Message(topic, reader.take(reader.left), properties, qos)
        if qos == 2:
            session.stored[number] = message  # a repetition replaces itself
            output.put_nowait(packet(PUBREC, struct.pack("!H", number)))
            return
        self.publish(message)
        if qos:
            output.put_nowait(packet(PUBACK, struct.pack("!H", number)))
