"""The MQTT encoder and decoder, checked against an independent library."""

# ruff: noqa: SLF001  (the library sends each kind of packet by methods that are not public)
# The properties of the library are set by name, and its type stubs do not declare them:
# mypy: disable-error-code="attr-defined, list-item, override"

from __future__ import annotations

from typing import Any

import paho.mqtt.client as paho
import pytest
from paho.mqtt.enums import CallbackAPIVersion
from paho.mqtt.packettypes import PacketTypes
from paho.mqtt.properties import Properties
from paho.mqtt.subscribeoptions import SubscribeOptions

from honeyhitch.protocols.buffer import Buffer
from honeyhitch.protocols.mqtt import Session
from honeyhitch.protocols.mqtt_packets import Kind, Packet, decode, encode


class Writer(paho.Client):
    """The library's client, which collects packets instead of sending them."""

    def __init__(self) -> None:
        super().__init__(CallbackAPIVersion.VERSION2, client_id="c", protocol=paho.MQTTv5)
        self.written: list[bytes] = []
        self._sock = object()  # type: ignore[assignment]

    def _packet_queue(self, _command: int, packet: bytes, *_: Any, **__: Any) -> Any:
        self.written.append(bytes(packet))
        return paho.MQTT_ERR_SUCCESS

    def _sock_close(self) -> None:
        pass


def properties(kind: int, **values: Any) -> Properties:
    made = Properties(kind)
    for name, value in values.items():
        setattr(made, name, value)
    return made


def library() -> list[bytes]:
    """Return packets of every kind that the library's client sends."""
    client = Writer()
    client._clean_start = False
    client.username_pw_set("user", "pass")
    client._connect_properties = properties(PacketTypes.CONNECT, SessionExpiryInterval=60, ReceiveMaximum=10)
    client._send_connect(20)
    rich = properties(
        PacketTypes.PUBLISH,
        MessageExpiryInterval=9,
        ContentType="x",
        ResponseTopic="re",
        CorrelationData=b"\x00\x01",
        UserProperty=[("id", "a"), ("k", "é")],
    )
    client._send_publish(7, b"in", b"body", 1, False, False, None, rich)
    client._send_publish(8, b"in", bytes(200), 2, True, True, None, None)
    client._send_publish(0, b"in", b"", 0, False, False, None, None)
    client._send_subscribe(False, [("a/#", SubscribeOptions(qos=1))], None)
    client._send_unsubscribe(False, ["a/#"], None)
    client._send_puback(7)
    client._send_pubrec(7)
    client._send_pubrel(8)
    client._send_pubcomp(8)
    client._send_pingreq()
    client._send_disconnect(None, None)
    return client.written


@pytest.mark.parametrize("data", library(), ids=lambda data: f"{Kind(data[0] >> 4).name}-{len(data)}")
def test_what_the_library_writes_is_read_and_written_alike(data: bytes) -> None:
    buffer = Buffer()
    for i in range(len(data)):
        assert decode(buffer) is None
        buffer.feed(data[i : i + 1])
    packet = decode(buffer)
    assert packet is not None
    assert not len(buffer)
    again = Buffer()
    again.feed(encode(packet))
    assert len(encode(packet)) == len(data)
    assert decode(again) == packet
    if not packet.properties:
        assert encode(packet) == data


def test_the_fields_are_what_the_library_meant() -> None:
    buffer = Buffer()
    connect, publish = library()[:2]
    buffer.feed(connect + publish)
    first, second = decode(buffer), decode(buffer)
    assert first == Packet(
        Kind.CONNECT,
        properties={"session_expiry": 60, "receive_maximum": 10},
        client_id="c",
        keep_alive=20,
        username="user",
        password=b"pass",
    )
    wanted = {"message_expiry": 9, "content_type": "x", "response_topic": "re", "correlation": b"\x00\x01"}
    assert second is not None
    assert second.properties == wanted
    assert (second.user, second.payload, second.id, second.qos) == ([("id", "a"), ("k", "é")], b"body", 7, 1)


def test_the_library_reads_the_properties_that_the_machine_writes() -> None:
    session = Session("c", session_expiry=60)
    session.open()
    data = session.take_output()
    read = Properties(PacketTypes.CONNECT)
    read.unpack(data[2 + 10 :])
    assert (read.SessionExpiryInterval, read.ReceiveMaximum) == (60, 1024)
    values: dict[str, Any] = {"response_topic": "re", "correlation": b"\xff", "content_type": "x"}
    data = encode(
        Packet(Kind.PUBLISH, topic="t", user=[("a", "b"), ("a", "ü")], properties=values, payload=b"!")
    )
    read = Properties(PacketTypes.PUBLISH)
    _, used = read.unpack(data[2 + 3 :])
    assert (read.ResponseTopic, read.CorrelationData, read.ContentType) == ("re", b"\xff", "x")
    assert read.UserProperty == [("a", "b"), ("a", "ü")]
    assert data[2 + 3 + used :] == b"!"
