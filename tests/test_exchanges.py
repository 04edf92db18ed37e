"""Replays the recorded exchanges in tests/exchanges against the protocol state machines.

The input of a byte stream is fed both line by line of the recording and byte by byte. A case starts with
`== NAME` or `== NAME | ARGUMENT`. A line with `>` is input, one with `<` is expected output, and one with `!`
is the expected error text. Text is written with Python's escapes, and `hex:` starts bytes in hexadecimal
digits.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from honeyhitch.dispatcher.delivery import Admission, Call, DispatcherState, Phase
from honeyhitch.endpoints.endpoint import PoolEndpoint
from honeyhitch.endpoints.list_rows import PoolError
from honeyhitch.endpoints.pool import EndpointPool
from honeyhitch.journal.transactions import Ending, Transaction
from honeyhitch.policy.events import Outcome
from honeyhitch.protocols import (
    agent_check,
    calls,
    control,
    discovery,
    http1,
    management,
    mqtt,
    mqtt_messages,
    notices,
    resp,
)
from honeyhitch.protocols.buffer import Buffer
from honeyhitch.protocols.mqtt_packets import Kind, MqttError, Packet, decode
from honeyhitch.protocols.transaction_parser import FieldError, TransactionParser

from .rig import SETTINGS, START
from .world import settings

EXCHANGES_DIRECTORY = Path(__file__).parent / "exchanges"
EXCHANGE_SETTINGS = settings(**SETTINGS)
Output = Iterator[bytes]


def messages(count: int) -> list[Transaction]:
    return [Transaction(f"id{i}", 0, 1, START, b"hello", key=f"key{i}") for i in range(count)]


class Resp:
    """A client connection over RESP; messages with the body `busy` are rejected."""

    def __init__(self, _: str) -> None:
        def submit(transaction: Transaction) -> Admission:
            self.submitted.append(transaction)
            return Admission(transaction.body != b"busy", 250_000_000)

        self.submitted: list[Transaction] = []
        self.buffer = Buffer()
        parser = TransactionParser(EXCHANGE_SETTINGS, lambda destination: destination != 404)
        self.session = resp.Session(parser, submit, lambda: True, lambda: START)

    def feed(self, data: bytes) -> Output:
        self.buffer.feed(data)
        yield self.session.receive(self.buffer)
        while self.session.has_more_requests and not self.session.closing:
            yield self.session.receive(self.buffer)

    def end(self) -> Output:
        for transaction in self.submitted:
            values = [
                transaction.id,
                transaction.key,
                transaction.destination,
                (transaction.deadline - START) // 10**6,
                transaction.recovered_from_journal,
                transaction.body,
            ]
            yield f"took {' '.join(map(str, values))}\n".encode()
        yield b"closes\n" if self.session.closing else b"half\n" if self.session.has_partial_request else b""


class HttpCall:
    """The response to a call; the argument is the number of messages in the call."""

    def __init__(self, count: str) -> None:
        self.messages, self.parser, self.malformed = (
            messages(int(count)),
            http1.ResponseParser(max_bytes=4096),
            False,
        )
        self.response: http1.Response | None = None

    def feed(self, data: bytes) -> Output:
        try:
            self.response = None if self.malformed else self.parser.feed(data)
        except http1.HttpError:
            self.malformed = True
        yield b""

    def format_result(self, response: http1.Response) -> bytes:
        result = calls.interpret_response(response, self.messages)
        load = f" wait {result.retry_after // 10**6}" if result.retry_after else ""
        load += f" {result.reported}" if result.reported else ""
        outcomes = " ".join(outcome.value + "+" * concluded for outcome, concluded in result.outcomes)
        return f"{outcomes}{load}\n".encode()

    def end(self) -> Output:
        ended_by_close = self.response is None
        response = None if self.malformed else self.response or self.parser.connection_closed()
        if response is None:
            result = calls.interpret_failure(self.parser.status, self.messages, Outcome.RESET)
            yield f"broken: {' '.join(outcome.value for outcome, _ in result.outcomes)}\n".encode()
        else:
            yield self.format_result(response)
            yield b"" if ended_by_close else b"reusable\n" if self.parser.reusable else b"to be closed\n"


class Encode:
    """The encoders of requests; the input is the name of a request and a number."""

    def __init__(self, _: str) -> None:
        pass

    def feed(self, data: bytes) -> Output:
        name, _, number = data.decode().partition(" ")
        if name == "call":
            yield calls.encode_call(messages(int(number)), 1_500_000_000, "127.0.0.1:80")
        elif name == "watch":
            yield discovery.encode_watch_request("127.0.0.1:85", int(number))
        else:
            failed, rejected = messages(2)
            failed.ending, rejected.ending, rejected.retry_after = Ending.FAILED, Ending.REJECTED, int(number)
            yield notices.encode_request([failed, rejected], "127.0.0.1:85")

    def end(self) -> Output:
        yield b""


class Watch:
    """A watch of discovery and the endpoint pool that it updates."""

    def __init__(self, _: str) -> None:
        self.pool = EndpointPool(EXCHANGE_SETTINGS)
        self.watch = discovery.WatchParser(self.pool.new_rows)

    def feed(self, data: bytes) -> Output:
        for update in self.watch.feed(data):
            list_update = self.pool.apply(update.fields, update.collector)
            listings = [
                f"{listing.endpoint}:{listing.destination}:{listing.kind}:{listing.status.value}"
                for listing in list_update.listings
            ]
            yield f"{list_update.mode.value} {' '.join(listings)}\n".encode()

    def end(self) -> Output:
        yield f"revision {self.pool.revision} knows {' '.join(self.pool.endpoints)}\n".encode()


class Mqtt:
    """A client session. The argument may contain `keep` for a session that the server keeps between
    connections, `takes` for a subscription, and `sends` for two publishes at the start.
    """

    def __init__(self, options: str) -> None:
        self.session, self.buffer, self.events = (
            mqtt.Session("c", 60 * ("keep" in options)),
            Buffer(),
            list[str](),
        )
        if "takes" in options:
            self.session.subscriptions = ["in"]
        self.session.on_publish = self.on_publish
        self.session.open()
        self.session.take_output()  # CONNECT, which test_mqtt.py has an independent library decode
        for qos in (1, 2) if "sends" in options else ():
            packet = Packet(Kind.PUBLISH, topic="t", payload=b"x", qos=qos)
            self.session.publish(
                packet,
                lambda ack, may_have_been_sent: self.events.append(
                    f"{ack and ack.reason} {may_have_been_sent}\n"
                ),
            )

    def on_publish(self, packet: Packet) -> None:
        self.events.append(f"{packet.topic} {packet.payload!r} {packet.user} dup={packet.dup}\n")
        self.session.acknowledge(packet)

    def feed(self, data: bytes) -> Output:
        if data == b"break":
            self.session.connection_lost()
        elif data == b"again":
            self.session.open()
            self.session.take_output()
        else:
            self.buffer.feed(data)
            self.session.receive(self.buffer)
        yield self.session.take_output().hex().encode()

    def end(self) -> Output:
        yield "".join(self.events).encode()


class MqttCall:
    """The acknowledgement of a call.

    The inputs `none` and `left` stand for a lost connection, before and after the publish may have been sent.
    """

    def __init__(self, count: str) -> None:
        endpoint = PoolEndpoint("m", "partner/1", 1, transport="mqtt")
        self.call = Call(endpoint, messages(int(count)), [], [], START, [])

    def feed(self, data: bytes) -> Output:
        buffer = Buffer()
        buffer.feed(data)
        ack = None if data in (b"none", b"left") else decode(buffer)
        result = mqtt_messages.interpret_acknowledgement(self.call, ack, data == b"left")
        values = [outcome.value + "+" * concluded for outcome, concluded in result.outcomes]
        yield f"{' '.join(values)} wait {result.retry_after // 10**6} {result.reported}\n".encode()

    def end(self) -> Output:
        yield b""


class HealthCheck:
    """A connection for agent-checks or health checks; the argument is the phase of the dispatcher."""

    def __init__(self, phase: str, create_session: Callable[[Callable[[], DispatcherState]], Any]) -> None:
        state = DispatcherState(Phase(phase or "ready"), 2, 50)
        self.session, self.buffer = create_session(lambda: state), Buffer()

    def feed(self, data: bytes) -> Output:
        self.buffer.feed(data)
        yield b"" if self.session.closing else self.session.receive(self.buffer)

    def end(self) -> Output:
        yield self.session.greeting + b"closes\n" * self.session.closing


class Management(HealthCheck):
    """A management connection; the argument is the phase of the dispatcher."""

    def __init__(self, phase: str) -> None:
        super().__init__(phase, lambda state: management.ManagementSession(state, lambda: {"active": 2}))

    def end(self) -> Output:
        yield from super().end()
        yield b"half\n" * self.session.has_partial_request


class Control:
    """The server side of a connection to the control socket."""

    def __init__(self, _: str) -> None:
        self.parser = control.ControlRequestParser("me")

    def feed(self, data: bytes) -> Output:
        if self.parser.closing:
            return
        problem = ""
        try:
            self.parser.feed(data)
        except control.ControlError as error:
            problem = f"{error.status.value} {error.reason}\n"
        requests = self.parser.requests
        self.parser.requests = []
        for request in requests:
            assert request.actor == "me"
            yield f"{request.method} {request.path} {json.dumps(request.arguments)}\n".encode()
        yield problem.encode()

    def end(self) -> Output:
        yield b"closing\n" * self.parser.closing


class MqttIntake:
    """A publish on the intake topic, and the final answer to its message."""

    def __init__(self, _: str) -> None:
        self.buffer = Buffer()

    def feed(self, data: bytes) -> Output:
        packet = Packet(Kind.PUBLISH, **json.loads(data)) if data[:1] == b"{" else None
        assert packet is not None
        packet.payload = b"body"
        packet.user = [(name, value) for name, value in packet.user]
        message = mqtt_messages.parse_transaction(
            TransactionParser(EXCHANGE_SETTINGS, lambda _: True), packet, START
        )
        message.ending, message.retry_after = Ending.REJECTED, 250_000_000
        answer = mqtt_messages.encode_final_answer(message)
        time_left = (message.deadline - START) // 10**6
        yield f"{message.id} {message.key} {time_left} -> {answer.topic} {answer.payload.decode()}\n".encode()

    def end(self) -> Output:
        yield b""


MACHINES: dict[str, Callable[[str], Any]] = {
    "resp": Resp,
    "call": HttpCall,
    "encode": Encode,
    "watch": Watch,
    "agent": lambda phase: HealthCheck(phase, agent_check.AgentSession),
    "health": lambda phase: HealthCheck(phase, agent_check.HealthSession),
    "mqtt": Mqtt,
    "mqtt-call": MqttCall,
    "mqtt-take": MqttIntake,
    "control": Control,
    "management": Management,
}
# Byte streams, whose input may be split at any position.
STREAMS = ("resp", "call", "watch", "health", "control", "management")
FAULTS = (http1.HttpError, discovery.WatchError, MqttError, PoolError, FieldError)


def decode_escapes(text: str) -> bytes:
    if text.startswith("hex:"):
        return bytes.fromhex(text[4:])
    return text.encode().decode("unicode_escape").encode("latin-1")


def cases() -> Iterator[Any]:
    for file in sorted(EXCHANGES_DIRECTORY.glob("*.txt")):
        name, argument, lines = "", "", list[str]()
        for line in [*file.read_text().splitlines(), "== "]:
            if line.startswith("== "):
                for split in (False, True) if file.stem in STREAMS and name else (False,) if name else ():
                    yield pytest.param(
                        file.stem, argument, lines, split, id=f"{file.stem}-{name}{'-split' * split}"
                    )
                name, _, argument = line[3:].partition(" | ")
                lines = []
            elif line[:2] in ("> ", "< ", "! "):
                lines.append(line)


@pytest.mark.parametrize(("machine", "argument", "lines", "split"), list(cases()))
def test_exchange(machine: str, argument: str, lines: list[str], split: bool) -> None:
    adapter, output = MACHINES[machine](argument), b""
    problem = ""
    try:
        for line in lines:
            if line[0] == ">":
                data = decode_escapes(line[2:])
                for chunk in [data[i : i + 1] for i in range(len(data))] if split else [data]:
                    output += b"".join(adapter.feed(chunk))
        output += b"".join(adapter.end())
    except FAULTS as error:
        problem = str(error)
    assert output == b"".join(decode_escapes(line[2:]) for line in lines if line[0] == "<")
    assert problem == "".join(line[2:] for line in lines if line[0] == "!")
