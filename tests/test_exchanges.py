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

FOLDER = Path(__file__).parent / "exchanges"
SET = settings(**SETTINGS)
Out = Iterator[bytes]


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
        parser = TransactionParser(SET, lambda destination: destination != 404)
        self.session = resp.Session(parser, submit, lambda: True, lambda: START)

    def feed(self, data: bytes) -> Out:
        self.buffer.feed(data)
        yield self.session.receive(self.buffer)
        while self.session.has_more_requests and not self.session.closing:
            yield self.session.receive(self.buffer)

    def end(self) -> Out:
        for transaction in self.submitted:
            words = [
                transaction.id,
                transaction.key,
                transaction.destination,
                (transaction.deadline - START) // 10**6,
                transaction.recovered_from_journal,
                transaction.body,
            ]
            yield f"took {' '.join(map(str, words))}\n".encode()
        yield b"closes\n" if self.session.closing else b"half\n" if self.session.has_partial_request else b""


class HttpCall:
    """The response to a call; the argument is the number of messages in the call."""

    def __init__(self, count: str) -> None:
        self.messages, self.parser, self.malformed = (
            messages(int(count)),
            http1.ResponseParser(max_bytes=4096),
            False,
        )
        self.answer: http1.Response | None = None

    def feed(self, data: bytes) -> Out:
        try:
            self.answer = None if self.malformed else self.parser.feed(data)
        except http1.HttpError:
            self.malformed = True
        yield b""

    def show(self, answer: http1.Response) -> bytes:
        result = calls.interpret_response(answer, self.messages)
        told = f" wait {result.retry_after // 10**6}" if result.retry_after else ""
        told += f" {result.reported}" if result.reported else ""
        ends = " ".join(outcome.value + "+" * over for outcome, over in result.outcomes)
        return f"{ends}{told}\n".encode()

    def end(self) -> Out:
        ended = self.answer is None
        answer = None if self.malformed else self.answer or self.parser.connection_closed()
        if answer is None:
            result = calls.interpret_failure(self.parser.status, self.messages, Outcome.RESET)
            yield f"broken: {' '.join(outcome.value for outcome, _ in result.outcomes)}\n".encode()
        else:
            yield self.show(answer)
            yield b"" if ended else b"reusable\n" if self.parser.reusable else b"to be closed\n"


class Encode:
    """The encoders of requests; the input is the name of a request and a number."""

    def __init__(self, _: str) -> None:
        pass

    def feed(self, data: bytes) -> Out:
        name, _, number = data.decode().partition(" ")
        if name == "call":
            yield calls.encode_call(messages(int(number)), 1_500_000_000, "127.0.0.1:80")
        elif name == "watch":
            yield discovery.encode_watch_request("127.0.0.1:85", int(number))
        else:
            failed, back = messages(2)
            failed.ending, back.ending, back.retry_after = Ending.FAILED, Ending.REJECTED, int(number)
            yield notices.encode_request([failed, back], "127.0.0.1:85")

    def end(self) -> Out:
        yield b""


class Watch:
    """A watch of discovery and the endpoint pool that it updates."""

    def __init__(self, _: str) -> None:
        self.watch, self.pool = discovery.WatchParser(), EndpointPool(SET)

    def feed(self, data: bytes) -> Out:
        for told in self.watch.feed(data):
            news = self.pool.update(told)
            rows = [f"{e.endpoint}:{e.destination}:{e.kind}:{e.status.value}" for e in news.listings]
            yield f"{news.mode.value} {' '.join(rows)}\n".encode()

    def end(self) -> Out:
        yield f"revision {self.pool.revision} knows {' '.join(self.pool.endpoints)}\n".encode()


class Mqtt:
    """A client session. The argument may contain `keep` for a session that the server keeps between
    connections, `takes` for a subscription, and `sends` for two publishes at the start.
    """

    def __init__(self, words: str) -> None:
        self.session, self.buffer, self.said = (
            mqtt.Session("c", 60 * ("keep" in words)),
            Buffer(),
            list[str](),
        )
        if "takes" in words:
            self.session.subscriptions = ["in"]
        self.session.on_publish = self.taken
        self.session.open()
        self.session.take_output()  # CONNECT, which test_mqtt.py has an independent library decode
        for qos in (1, 2) if "sends" in words else ():
            packet = Packet(Kind.PUBLISH, topic="t", payload=b"x", qos=qos)
            self.session.publish(packet, lambda ack, left: self.said.append(f"{ack and ack.reason} {left}\n"))

    def taken(self, packet: Packet) -> None:
        self.said.append(f"{packet.topic} {packet.payload!r} {packet.user} dup={packet.dup}\n")
        self.session.acknowledge(packet)

    def feed(self, data: bytes) -> Out:
        if data == b"break":
            self.session.connection_lost()
        elif data == b"again":
            self.session.open()
            self.session.take_output()
        else:
            self.buffer.feed(data)
            self.session.receive(self.buffer)
        yield self.session.take_output().hex().encode()

    def end(self) -> Out:
        yield "".join(self.said).encode()


class MqttCall:
    """The acknowledgement of a call.

    The inputs `none` and `left` stand for a lost connection, before and after the publish may have been sent.
    """

    def __init__(self, count: str) -> None:
        member = PoolEndpoint("m", "partner/1", 1, transport="mqtt")
        self.call = Call(member, messages(int(count)), [], [], START, [])

    def feed(self, data: bytes) -> Out:
        buffer = Buffer()
        buffer.feed(data)
        ack = None if data in (b"none", b"left") else decode(buffer)
        result = mqtt_messages.interpret_acknowledgement(self.call, ack, data == b"left")
        words = [outcome.value + "+" * over for outcome, over in result.outcomes]
        yield f"{' '.join(words)} wait {result.retry_after // 10**6} {result.reported}\n".encode()

    def end(self) -> Out:
        yield b""


class HealthCheck:
    """A connection for agent-checks or health checks; the argument is the phase of the dispatcher."""

    def __init__(self, phase: str, kind: Callable[[Callable[[], DispatcherState]], Any]) -> None:
        state = DispatcherState(Phase(phase or "ready"), 2, 50)
        self.session, self.buffer = kind(lambda: state), Buffer()

    def feed(self, data: bytes) -> Out:
        self.buffer.feed(data)
        yield b"" if self.session.closing else self.session.receive(self.buffer)

    def end(self) -> Out:
        yield self.session.greeting + b"closes\n" * self.session.closing


class Management(HealthCheck):
    """A management connection; the argument is the phase of the dispatcher."""

    def __init__(self, phase: str) -> None:
        super().__init__(phase, lambda state: management.ManagementSession(state, lambda: {"active": 2}))

    def end(self) -> Out:
        yield from super().end()
        yield b"half\n" * self.session.has_partial_request


class Control:
    """The server side of a connection to the control socket."""

    def __init__(self, _: str) -> None:
        self.machine = control.ControlRequestParser("me")

    def feed(self, data: bytes) -> Out:
        if self.machine.closing:
            return
        wrong = ""
        try:
            self.machine.feed(data)
        except control.ControlError as error:
            wrong = f"{error.status.value} {error.reason}\n"
        requests = self.machine.requests
        self.machine.requests = []
        for request in requests:
            assert request.actor == "me"
            yield f"{request.method} {request.path} {json.dumps(request.arguments)}\n".encode()
        yield wrong.encode()

    def end(self) -> Out:
        yield b"closing\n" * self.machine.closing


class MqttTake:
    """A publish on the intake topic, and the final answer to its message."""

    def __init__(self, _: str) -> None:
        self.buffer = Buffer()

    def feed(self, data: bytes) -> Out:
        packet = Packet(Kind.PUBLISH, **json.loads(data)) if data[:1] == b"{" else None
        assert packet is not None
        packet.payload = b"body"
        packet.user = [(name, value) for name, value in packet.user]
        taken = mqtt_messages.parse_transaction(TransactionParser(SET, lambda _: True), packet, START)
        taken.ending, taken.retry_after = Ending.REJECTED, 250_000_000
        answer = mqtt_messages.encode_final_answer(taken)
        left = (taken.deadline - START) // 10**6
        yield f"{taken.id} {taken.key} {left} -> {answer.topic} {answer.payload.decode()}\n".encode()

    def end(self) -> Out:
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
    "mqtt-take": MqttTake,
    "control": Control,
    "management": Management,
}
STREAMS = (
    "resp",
    "call",
    "watch",
    "health",
    "control",
    "management",
)  # byte streams, whose input may be split at any position
FAULTS = (http1.HttpError, discovery.WatchError, MqttError, PoolError, FieldError)


def raw(text: str) -> bytes:
    if text.startswith("hex:"):
        return bytes.fromhex(text[4:])
    return text.encode().decode("unicode_escape").encode("latin-1")


def cases() -> Iterator[Any]:
    for file in sorted(FOLDER.glob("*.txt")):
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
    player, given = MACHINES[machine](argument), b""
    wrong = ""
    try:
        for line in lines:
            if line[0] == ">":
                data = raw(line[2:])
                for piece in [data[i : i + 1] for i in range(len(data))] if split else [data]:
                    given += b"".join(player.feed(piece))
        given += b"".join(player.end())
    except FAULTS as error:
        wrong = str(error)
    assert given == b"".join(raw(line[2:]) for line in lines if line[0] == "<")
    assert wrong == "".join(line[2:] for line in lines if line[0] == "!")
