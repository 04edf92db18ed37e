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


class CollectingClient(paho.Client):
    """The library's client, which collects packets instead of sending them."""

    def __init__(self) -> None:
        super().__init__(CallbackAPIVersion.VERSION2, client_id="c", protocol=paho.MQTTv5)
        self.sent_packets: list[bytes] = []
        self._sock = object()  # type: ignore[assignment]

    def _packet_queue(self, _command: int, packet: bytes, *_: Any, **__: Any) -> Any:
        self.sent_packets.append(bytes(packet))
        return paho.MQTT_ERR_SUCCESS

    def _sock_close(self) -> None:
        pass


def create_properties(kind: int, **values: Any) -> Properties:
    created = Properties(kind)
    for name, value in values.items():
        setattr(created, name, value)
    return created


def library_packets() -> list[bytes]:
    """Return packets of every kind that the library's client sends."""
    client = CollectingClient()
    client._clean_start = False
    client.username_pw_set("user", "pass")
    client._connect_properties = create_properties(
        PacketTypes.CONNECT, SessionExpiryInterval=60, ReceiveMaximum=10
    )
    client._send_connect(20)
    publish_properties = create_properties(
        PacketTypes.PUBLISH,
        MessageExpiryInterval=9,
        ContentType="x",
        ResponseTopic="re",
        CorrelationData=b"\x00\x01",
        UserProperty=[("id", "a"), ("k", "é")],
    )
    client._send_publish(7, b"in", b"body", 1, False, False, None, publish_properties)
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
    return client.sent_packets


@pytest.mark.parametrize("data", library_packets(), ids=lambda data: f"{Kind(data[0] >> 4).name}-{len(data)}")
def test_packets_of_the_library_are_decoded_and_encoded_again(data: bytes) -> None:
    buffer = Buffer()
    for i in range(len(data)):
        assert decode(buffer) is None
        buffer.feed(data[i : i + 1])
    packet = decode(buffer)
    assert packet is not None
    assert not len(buffer)
    reencoded = Buffer()
    reencoded.feed(encode(packet))
    assert len(encode(packet)) == len(data)
    assert decode(reencoded) == packet
    if not packet.properties:
        assert encode(packet) == data


def test_decoded_fields_are_those_that_the_library_encoded() -> None:
    buffer = Buffer()
    connect, publish = library_packets()[:2]
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
    expected = {"message_expiry": 9, "content_type": "x", "response_topic": "re", "correlation": b"\x00\x01"}
    assert second is not None
    assert second.properties == expected
    assert (second.user, second.payload, second.id, second.qos) == ([("id", "a"), ("k", "é")], b"body", 7, 1)


def test_the_library_decodes_the_properties_that_are_encoded_here() -> None:
    session = Session("c", session_expiry=60)
    session.open()
    data = session.take_output()
    decoded = Properties(PacketTypes.CONNECT)
    decoded.unpack(data[2 + 10 :])
    assert (decoded.SessionExpiryInterval, decoded.ReceiveMaximum) == (60, 1024)
    values: dict[str, Any] = {"response_topic": "re", "correlation": b"\xff", "content_type": "x"}
    data = encode(
        Packet(Kind.PUBLISH, topic="t", user=[("a", "b"), ("a", "ü")], properties=values, payload=b"!")
    )
    decoded = Properties(PacketTypes.PUBLISH)
    _, length = decoded.unpack(data[2 + 3 :])
    assert (decoded.ResponseTopic, decoded.CorrelationData, decoded.ContentType) == ("re", b"\xff", "x")
    assert decoded.UserProperty == [("a", "b"), ("a", "ü")]
    assert data[2 + 3 + length :] == b"!"


# Guards against an acknowledgement that the broker sends twice and that is taken for the next publish's.
def test_a_copied_acknowledgement_ends_no_other_publish() -> None:
    session = Session("c", session_expiry=60)
    buffer = Buffer()
    reasons: dict[str, int] = {}

    def receive(packet: Packet) -> None:
        buffer.feed(encode(packet))
        session.receive(buffer)

    def publish(name: str) -> int:
        published = session.publish(
            Packet(Kind.PUBLISH, topic="t", payload=name.encode(), qos=1),
            lambda packet, _: reasons.update({name: packet.reason if packet else -1}),
        )
        return published.packet.id

    session.open()
    receive(Packet(Kind.CONNACK))
    first = publish("first")
    receive(Packet(Kind.PUBACK, id=first))
    second = publish("second")
    receive(Packet(Kind.PUBACK, id=first))
    assert reasons == {"first": 0}
    receive(Packet(Kind.PUBACK, id=second, reason=0x97))
    assert reasons == {"first": 0, "second": 0x97}
