"""For any input, a protocol state machine responds, waits for more, or raises an error with a text."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from honeyhitch.protocols import agent_check, calls, discovery, http1, mqtt, resp
from honeyhitch.protocols.buffer import Buffer
from honeyhitch.protocols.list_parser import RowList
from honeyhitch.protocols.mqtt_packets import Kind, Packet

from .test_exchanges import FAULTS, HealthCheck, Resp, messages

FRAGMENTS = st.sampled_from(
    [
        b"*5\r\n",
        b"$7\r\n",
        b"ENQUEUE\r\n",
        b"$-1\r\n",
        b"\r\n",
        b"HTTP/1.1 200 OK\r\n",
        b"Content-Length: 5\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"5\r\n",
        b"{}\n",
        b'{"members":[{}]}\n',
        b"id0 accepted\r\n",
        b"id1\r\n",
        b"\x20\x03\x00\x00\x00",
        b"\x32\x07\x00\x01t\x00\x01\x00x",
        b"\x30\xff\xff\xff\x7f",
        b"\xe0\x00",
        b"\x00",
        b"GET /health HTTP/1.1\r\n",
        b"Connection: close\r\n",
        b"Retry-After: 1e9\r\n",
        b"X-Pressure: x0=,=,x1\r\n",
        b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
    ]
)
BYTES = st.lists(FRAGMENTS | st.binary(max_size=12), max_size=8).map(b"".join)


def feed_http_response(data: bytes) -> None:
    parser = http1.ResponseParser()
    if (response := parser.feed(data) or parser.connection_closed()) is not None:
        result = calls.interpret_response(response, messages(2))
        assert len(result.outcomes) == 2
        assert result.retry_after >= 0


def feed_mqtt_session(data: bytes) -> None:
    session, buffer = mqtt.Session("c", 60), Buffer()
    session.open()
    session.publish(Packet(Kind.PUBLISH, topic="t", qos=2), lambda *_: None)
    buffer.feed(b"\x20\x03\x00\x00\x00" + data)
    session.receive(buffer)
    session.connection_lost()


def feed_resp(data: bytes) -> None:
    list(Resp("").feed(data))


def feed_health_check(data: bytes) -> None:
    list(HealthCheck("", agent_check.HealthSession).feed(data))


MACHINES: list[Callable[[bytes], Any]] = [
    feed_resp,
    feed_http_response,
    lambda data: discovery.WatchParser(RowList).feed(data),
    feed_mqtt_session,
    feed_health_check,
]


@pytest.mark.parametrize("machine", MACHINES, ids=["resp", "answer", "watch", "mqtt", "health"])
def test_no_bytes_break_a_machine(machine: Callable[[bytes], Any]) -> None:
    @given(BYTES)
    def play(data: bytes) -> None:
        problem = None
        try:
            machine(data)
        except (*FAULTS, resp.FramingError) as error:
            problem = str(error)
        assert problem is None or problem, "an error without a text"

    play()
