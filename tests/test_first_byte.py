"""The last look: between a call's decision and its first byte a connection has to come up, and what is told
meanwhile counts. The connections here wait till a test lets them come up, so that each crossing is forced.
"""

from __future__ import annotations

import asyncio
import os
import re
import socket
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import pytest
import uvloop

from honeyhitch.config.deployment import MqttSettings
from honeyhitch.dispatcher.dispatcher import Dispatcher
from honeyhitch.endpoints.endpoint import PoolEndpoint
from honeyhitch.endpoints.pool import EndpointPool
from honeyhitch.journal.journal import Journal
from honeyhitch.journal.record_codec import decode_frames
from honeyhitch.journal.transactions import Ending, Transaction
from honeyhitch.protocols.buffer import Buffer
from honeyhitch.protocols.mqtt_packets import Kind, Packet, decode, encode
from honeyhitch.transports import sockets
from honeyhitch.transports.http_transport import HttpTransport
from honeyhitch.transports.mqtt_link import MqttContext
from honeyhitch.transports.mqtt_transport import MqttTransport
from honeyhitch.transports.tasks import LoopScheduler, Tasks

from .polling import poll_condition
from .rig import SETTINGS, endpoint_row, retention
from .world import SECOND, settings

LIMIT_SECONDS = 30


class Line:
    """Connections of the carrier: each waits at its door until the test opens it."""

    def __init__(self) -> None:
        self.doors: list[asyncio.Event] = []
        self.held = False

    async def connect(self, loop: asyncio.AbstractEventLoop, address: str) -> socket.socket:
        if self.held:
            door = asyncio.Event()
            self.doors.append(door)
            await door.wait()
        return await connect(loop, address)


connect = sockets.connect


class Member:
    """It reads calls whole and answers each with what the test gives it."""

    def __init__(self) -> None:
        self.calls: list[bytes] = []
        self.answers: asyncio.Queue[bytes] = asyncio.Queue()
        self.accepted = self.port = 0

    async def start(self) -> Member:
        server = await asyncio.start_server(self._client, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        return self

    async def _client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = re.search(rb"Content-Length: (\d+)", head)
                assert length is not None
                self.calls.append(head + await reader.readexactly(int(length[1])))
                writer.write(await self.answers.get())
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):  # the last: the loop ends
            writer.close()


class Rig:
    """A dispatcher with the real carrier, on the loop's clock."""

    def __init__(self, folder: Path, members: list[Member], kind: str = "small", **more: Any) -> None:
        self.loop = asyncio.get_running_loop()
        self.tasks, scheduler = Tasks(self.loop), LoopScheduler(self.loop)
        self.s = settings(**{**SETTINGS, "max_concurrent_calls": 12, "connect_timeout": 20 * SECOND, **more})
        folder.mkdir(exist_ok=True)
        self.journal = Journal(folder, 3_000_000, scheduler.now, retention)
        self.core = Dispatcher(self.s, 7, EndpointPool(self.s), self.journal, scheduler)
        self.carrier = HttpTransport(self.core, scheduler, self.tasks, 8)
        self.core.transports["http"], self.core.frontends["resp"] = self.carrier, self
        self.answers: dict[str, Ending | None] = {}
        at = [f"127.0.0.1:{one.port}" for one in members]
        self.rows = [{**endpoint_row(f"s-{i}", 1, kind), "host_port": where} for i, where in enumerate(at)]
        told = {"revision": 1, "complete": True, "members": self.rows}
        self.core.apply_list_update(self.core.pool.update(told, cached=True))
        self.core.recover()

    def answer(self, transaction: Transaction) -> None:
        self.answers[transaction.id] = transaction.ending
        self.core.answer_sent(transaction)

    def hand_in(self, name: str, left: int = 20 * SECOND) -> Transaction:
        now = self.core.scheduler.now()
        transaction = Transaction(name, 0, 1, now + left, b"body", key=f"k-{name}")
        assert self.core.submit(transaction).accepted
        return transaction

    def list(self, told: dict[str, str]) -> None:
        """Discovery tells this of a member, of the first unless another is named."""
        change = {"revision": self.core.pool.revision + 1, "members": [{**self.rows[0], **told}]}
        self.core.apply_list_update(self.core.pool.update(change))

    def waits(self) -> int:
        """When the told wait of the one destination ends."""
        return max(one.state.retry_after_until for one in self.core.policy.destinations[1].endpoints.values())

    async def close(self) -> None:
        self.core.accepting = self.core.sending = False
        await self.tasks.stop()
        self.journal.close()

    def records(self, kind: str) -> list[dict[str, object]]:
        told = [fields for fields, _, _ in decode_frames(self.journal.path.read_bytes())]
        return [fields for fields in told if fields["t"] == kind]


LATER = b"HTTP/1.1 429 Later\r\nRetry-After: 0.3\r\nContent-Length: 0\r\n\r\n"
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


def batch(count: int, names: list[str]) -> bytes:
    body = "".join(f"{name} accepted\r\n" for name in names[:count]).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


async def until(condition: Callable[[], object]) -> None:
    """Let the loop turn until the condition holds."""
    await poll_condition(condition, interval=0, limit=LIMIT_SECONDS)


def play(work: Coroutine[Any, Any, None]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(LIMIT_SECONDS):
            await work

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(bounded())


@pytest.fixture
def line(monkeypatch: pytest.MonkeyPatch) -> Line:
    made = Line()
    monkeypatch.setattr(sockets, "connect", made.connect)
    return made


def test_a_wait_told_while_a_connection_comes_up_holds_the_call_back(tmp_path: Path, line: Line) -> None:
    async def work() -> None:
        one = await Member().start()
        rig = Rig(tmp_path, [one])
        rig.hand_in("a")
        await until(lambda: one.calls)
        line.held = True
        rig.hand_in("b")  # its connection is on its way
        await until(lambda: line.doors)
        one.answers.put_nowait(LATER)
        await until(lambda: rig.waits() > 0)
        ends = rig.waits()
        line.held = False
        line.doors[0].set()
        for _ in range(2):
            one.answers.put_nowait(OK)
        await until(lambda: len(one.calls) == 2)
        assert rig.core.scheduler.now() >= ends, "begun inside the told wait"
        await until(lambda: len(rig.core.messages) == 0)
        assert {fields["n"] for fields in rig.records("attempt") if fields["id"] == "b"} == {0}
        assert one.accepted == 2, "the connection that came up is kept and used"
        await rig.close()

    play(work())


def test_what_ends_while_a_connection_comes_up_does_not_ride_along(tmp_path: Path, line: Line) -> None:
    async def work() -> None:
        one = await Member().start()
        rig, line.held = Rig(tmp_path, [one], "large"), True
        rig.hand_in("brief", left=SECOND // 4)
        rig.hand_in("long")
        await until(lambda: line.doors)
        assert len(rig.core.calls_in_flight) == 2
        assert len({id(call) for call in rig.core.calls_in_flight.values()}) == 1
        await until(lambda: "brief" in rig.answers)
        assert rig.answers["brief"] is Ending.REJECTED, "it never ran"
        line.doors[0].set()
        one.answers.put_nowait(OK)
        await until(lambda: len(rig.core.messages) == 0)
        assert len(one.calls) == 1
        assert b"X-Txn: long" in one.calls[0]
        assert [fields["id"] for fields in rig.records("attempt")] == ["long"]
        await rig.close()

    play(work())


@pytest.mark.parametrize("told", ["Terminating", "Gone", "moved", "another's"])
def test_a_member_that_drains_or_moves_while_a_connection_comes_up_gets_nothing(
    tmp_path: Path, line: Line, told: str
) -> None:
    async def work() -> None:
        one, two = await Member().start(), await Member().start()
        rig, line.held = Rig(tmp_path, [one]), True
        rig.hand_in("a")
        await until(lambda: line.doors)
        line.held = False
        rig.list({"host_port": f"127.0.0.1:{two.port}", "id": "s-0" if told == "moved" else "s-1"})
        if told != "moved":
            rig.list({"cell": 2} if told == "another's" else {"phase": told})
        await until(lambda: not rig.core.event_queue.events)
        line.doors[0].set()
        two.answers.put_nowait(OK)
        await until(lambda: len(rig.core.messages) == 0)
        assert (len(one.calls), len(two.calls)) == (0, 1)
        assert [fields["n"] for fields in rig.records("attempt")] == [0], "no attempt was used up"
        await rig.close()

    play(work())


@pytest.mark.parametrize("how", ["leave", "hand over"])
def test_a_process_told_to_stop_leaves_untried_what_had_no_connection_yet(
    tmp_path: Path, line: Line, how: str
) -> None:
    async def work() -> None:
        one = await Member().start()
        rig, line.held = Rig(tmp_path, [one]), True
        rig.hand_in("a")
        await until(lambda: line.doors)
        rig.core.stop_deciding(SECOND) if how == "leave" else rig.core.hand_over()
        line.doors[0].set()
        await until(lambda: not rig.core.calls_in_flight and not rig.tasks.running)
        rig.core.hand_over()
        assert list(rig.core.messages.by_id) == ["a"]
        assert not one.calls
        assert not rig.records("attempt")
        assert not rig.records("never")
        assert bool(rig.records("passed")), "with its call gone it can be passed on"
        await rig.close()

    play(work())


@pytest.mark.usefixtures("line")
def test_what_could_not_connect_counts_as_an_attempt_over_a_restart(tmp_path: Path) -> None:
    async def work() -> None:
        one = Member()
        one.port = 9  # nobody listens there
        rig = Rig(tmp_path, [one])
        rig.hand_in("a")
        await until(lambda: rig.core.messages.by_id["a"].attempt_count == 1 and not rig.core.calls_in_flight)
        await rig.close()
        again = Rig(tmp_path, [one])
        known = again.core.messages.by_id["a"]
        assert (known.attempt_count, known.possible_executions) == (1, [])
        await again.close()

    play(work())


def test_what_a_late_answer_says_of_a_call_is_not_taken_for_a_delivery(tmp_path: Path) -> None:
    async def work() -> None:
        one = await Member().start()
        rig = Rig(tmp_path, [one], "large")
        rig.hand_in("brief", left=SECOND // 4)
        rig.hand_in("long")
        await until(lambda: "brief" in rig.answers)  # while the call with both is out
        body = b"brief accepted\r\nlong accepted\r\n"
        one.answers.put_nowait(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        one.answers.put_nowait(OK)
        await until(lambda: len(rig.core.messages) == 0)
        assert [b"messages:batch" in call for call in one.calls] == [True, False]
        assert b"X-Txn: long" in one.calls[1]
        ran = [(fields["id"], fields["n"]) for fields in rig.records("attempt")]
        assert ran == [("brief", 0), ("long", 0), ("long", 1)]
        await rig.close()

    play(work())


@pytest.mark.parametrize("end", ["time-out", "given up"])
@pytest.mark.parametrize("turn", ["unread", "read"])
def test_a_wait_that_comes_as_its_call_ends_is_heeded(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, end: str, turn: str
) -> None:
    """The answer lies in the socket, or has just been read for a task whose turn is the next, as the call's
    time-out rings or it is called off: what was told binds."""

    async def work() -> None:
        one = await Member().start()
        rig = Rig(tmp_path, [one])
        here, there = socket.socketpair()
        here.setblocking(False)

        def ends() -> None:
            rig.loop.remove_reader(here)
            (call,) = set(rig.core.calls_in_flight.values())
            if end == "given up":
                rig.carrier.cancel(call)
            while rig.core.scheduler.now() < call.sent_at + call.timeout:
                pass  # the loop is held up till the time-out is due; both are found in its next turn

        rig.loop.add_reader(here, ends)

        def at_once(self: asyncio.StreamWriter, data: bytes) -> None:  # in this turn, not at its end
            sides = [lambda: os.write(self.get_extra_info("socket").fileno(), data), lambda: there.send(b"x")]
            for side in sides if turn == "read" else reversed(sides):
                side()  # what is written first is read first

        monkeypatch.setattr(asyncio.StreamWriter, "write", at_once)
        rig.hand_in("a", left=SECOND)
        await until(lambda: one.calls)
        one.answers.put_nowait(LATER)
        await until(lambda: len(rig.core.calls_in_flight) == 0)
        assert rig.core.journal.retry_after_until, "the wait was told"
        await rig.close()

    play(work())


@pytest.mark.parametrize("rest", [b"abc", b"garbage without end" * 9000])
@pytest.mark.parametrize("status", [b"429 Later", b"500 Oops"])
def test_a_wait_in_an_answer_that_is_spoilt_behind_it_is_heeded(
    tmp_path: Path, rest: bytes, status: bytes
) -> None:
    """It may have run, as no whole answer came; yet the member asked to be left alone."""

    async def work() -> None:
        one = await Member().start()
        rig = Rig(tmp_path, [one])
        rig.hand_in("a")
        length = len(rest) + (len(rest) < 100)  # the short one ends too soon
        head = b"HTTP/1.1 %s\r\nRetry-After: 0.6\r\nContent-Length: %d\r\n\r\n" % (status, length)
        one.answers.put_nowait(head + rest)
        await until(lambda: one.calls)
        await until(lambda: not rig.core.calls_in_flight)
        ends = rig.core.scheduler.now() + int(0.55 * SECOND)  # longer than the first step of the ladder
        one.answers.put_nowait(OK)
        await until(lambda: len(one.calls) == 2)
        assert rig.core.scheduler.now() >= ends, "begun inside the told wait"
        await until(lambda: len(rig.core.messages) == 0)
        assert [one["n"] for one in rig.records("attempt")] == [0, 1]
        assert not rig.records("never")
        await rig.close()

    play(work())


def test_a_publish_that_waits_for_the_receive_maximum_heeds_a_wait_told_meanwhile(tmp_path: Path) -> None:
    """The broker takes one at a time: the second publish is asked for once the first is acknowledged."""

    async def work() -> None:
        setup = MqttSettings("127.0.0.1:1", "in", "n0")
        rig = Rig(tmp_path, [])
        context = MqttContext(setup, rig.core, rig.core.scheduler, rig.tasks)  # type: ignore[arg-type]
        carrier = MqttTransport(context)
        rig.core.transports["mqtt"] = carrier
        one = PoolEndpoint("m", "partner/1", 1, kind=1, listed_rate=100.0, transport="mqtt")
        rig.core.pool.pin(one)
        told = {"revision": 2, "complete": True, "members": []}
        rig.core.apply_list_update(rig.core.pool.update(told))
        session, buffer = carrier.session, Buffer()

        def receive(packet: Packet) -> None:
            buffer.feed(encode(packet))
            session.receive(buffer)

        def published() -> list[Packet]:
            sent = Buffer()
            sent.feed(session.take_output())
            found = list(iter(lambda: decode(sent), None))
            return [packet for packet in found if packet.kind is Kind.PUBLISH]

        session.open()
        session.take_output()
        receive(Packet(Kind.CONNACK, properties={"receive_maximum": 1}))
        rig.hand_in("a")
        rig.hand_in("b")
        await until(lambda: len(rig.core.calls_in_flight) == 2)
        (first,) = published()
        rig.core.retry_after_received(one, SECOND // 2)
        ends = rig.core.scheduler.now() + SECOND // 2
        await until(lambda: rig.waits() >= ends - SECOND // 10)
        receive(Packet(Kind.PUBACK, id=first.id))
        assert not published()
        assert not rig.core.calls_in_flight
        later: list[Packet] = []
        await until(lambda: later.extend(published()) or later)  # type: ignore[func-returns-value]
        assert rig.core.scheduler.now() >= ends - 10**7, "begun inside the told wait"
        receive(Packet(Kind.PUBACK, id=later[0].id))
        await until(lambda: len(rig.core.messages) == 0)
        assert [fields["n"] for fields in rig.records("attempt")] == [0, 0], "no attempt was used up"
        await rig.close()

    play(work())
