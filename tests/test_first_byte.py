"""Tests of the last check before a call's first byte.

While a connection for the call is opened, events may arrive that change the policy's decision to start it.
The connections in these tests wait until a test releases them, so that each such race is forced.
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


class HeldConnections:
    """Replaces `sockets.connect`: while `held` is true, each connect waits for its event in `releases`."""

    def __init__(self) -> None:
        self.releases: list[asyncio.Event] = []
        self.held = False

    async def connect(self, loop: asyncio.AbstractEventLoop, address: str) -> socket.socket:
        if self.held:
            release = asyncio.Event()
            self.releases.append(release)
            await release.wait()
        return await original_connect(loop, address)


original_connect = sockets.connect


class Endpoint:
    """An HTTP endpoint that reads complete calls and answers each with the next response from its queue."""

    def __init__(self) -> None:
        self.calls: list[bytes] = []
        self.responses: asyncio.Queue[bytes] = asyncio.Queue()
        self.connection_count = 0
        self.port = 0

    async def start(self) -> Endpoint:
        server = await asyncio.start_server(self._client, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        return self

    async def _client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connection_count += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = re.search(rb"Content-Length: (\d+)", head)
                assert length is not None
                self.calls.append(head + await reader.readexactly(int(length[1])))
                writer.write(await self.responses.get())
        # CancelledError is raised when the event loop ends.
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            writer.close()


class Rig:
    """A dispatcher with the real HTTP transport, on the event loop's clock."""

    def __init__(
        self, directory: Path, endpoints: list[Endpoint], kind: str = "small", **overrides: Any
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.tasks, scheduler = Tasks(self.loop), LoopScheduler(self.loop)
        self.settings = settings(
            **{**SETTINGS, "max_concurrent_calls": 12, "connect_timeout": 20 * SECOND, **overrides}
        )
        directory.mkdir(exist_ok=True)
        self.journal = Journal(directory, 3_000_000, scheduler.now, retention)
        self.dispatcher = Dispatcher(self.settings, 7, EndpointPool(self.settings), self.journal, scheduler)
        self.transport = HttpTransport(self.dispatcher, scheduler, self.tasks, 8)
        self.dispatcher.transports["http"], self.dispatcher.frontends["resp"] = self.transport, self
        self.answers: dict[str, Ending | None] = {}
        addresses = [f"127.0.0.1:{endpoint.port}" for endpoint in endpoints]
        self.rows = [
            {**endpoint_row(f"s-{i}", 1, kind), "host_port": address} for i, address in enumerate(addresses)
        ]
        endpoint_list = {"revision": 1, "complete": True, "members": self.rows}
        self.dispatcher.apply_list_update(self.dispatcher.pool.update(endpoint_list, cached=True))
        self.dispatcher.recover()

    def answer(self, transaction: Transaction) -> None:
        self.answers[transaction.id] = transaction.ending
        self.dispatcher.answer_sent(transaction)

    def submit(self, name: str, time_left: int = 20 * SECOND) -> Transaction:
        now = self.dispatcher.scheduler.now()
        transaction = Transaction(name, 0, 1, now + time_left, b"body", key=f"k-{name}")
        assert self.dispatcher.submit(transaction).accepted
        return transaction

    def change_listing(self, changed_fields: dict[str, Any]) -> None:
        """Apply a change of these fields from discovery, to the first endpoint unless they include an id."""
        change = {
            "revision": self.dispatcher.pool.revision + 1,
            "members": [{**self.rows[0], **changed_fields}],
        }
        self.dispatcher.apply_list_update(self.dispatcher.pool.update(change))

    def retry_after_until(self) -> int:
        """Return when the Retry-After of the only destination ends, as a Unix time in nanoseconds."""
        return max(
            endpoint.state.retry_after_until
            for endpoint in self.dispatcher.policy.destinations[1].endpoints.values()
        )

    async def close(self) -> None:
        self.dispatcher.accepting = self.dispatcher.sending = False
        await self.tasks.stop()
        self.journal.close()

    def records(self, kind: str) -> list[dict[str, object]]:
        records = [fields for fields, _, _ in decode_frames(self.journal.path.read_bytes())]
        return [fields for fields in records if fields["t"] == kind]


RETRY_AFTER_RESPONSE = b"HTTP/1.1 429 Later\r\nRetry-After: 0.3\r\nContent-Length: 0\r\n\r\n"
OK_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


def batch(count: int, names: list[str]) -> bytes:
    body = "".join(f"{name} accepted\r\n" for name in names[:count]).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


async def wait_until(condition: Callable[[], object]) -> None:
    """Check the condition in every iteration of the loop, and return once it holds."""
    await poll_condition(condition, interval=0, limit=LIMIT_SECONDS)


def run_async_test(work: Coroutine[Any, Any, None]) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(LIMIT_SECONDS):
            await work

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(bounded())


@pytest.fixture
def held_connections(monkeypatch: pytest.MonkeyPatch) -> HeldConnections:
    connections = HeldConnections()
    monkeypatch.setattr(sockets, "connect", connections.connect)
    return connections


def test_a_retry_after_received_while_a_connection_opens_delays_the_call(
    tmp_path: Path, held_connections: HeldConnections
) -> None:
    async def work() -> None:
        endpoint = await Endpoint().start()
        rig = Rig(tmp_path, [endpoint])
        rig.submit("a")
        await wait_until(lambda: endpoint.calls)
        held_connections.held = True
        rig.submit("b")  # the connection for this message is now being opened
        await wait_until(lambda: held_connections.releases)
        endpoint.responses.put_nowait(RETRY_AFTER_RESPONSE)
        await wait_until(lambda: rig.retry_after_until() > 0)
        retry_after_end = rig.retry_after_until()
        held_connections.held = False
        held_connections.releases[0].set()
        for _ in range(2):
            endpoint.responses.put_nowait(OK_RESPONSE)
        await wait_until(lambda: len(endpoint.calls) == 2)
        assert rig.dispatcher.scheduler.now() >= retry_after_end, "a call started during the Retry-After"
        await wait_until(lambda: len(rig.dispatcher.messages) == 0)
        assert {fields["n"] for fields in rig.records("attempt") if fields["id"] == "b"} == {0}
        # Three calls, each on a connection of its own.
        assert endpoint.connection_count == 3, "the connection that was opened is pooled and used"
        await rig.close()

    run_async_test(work())


def test_a_message_that_ends_while_a_connection_opens_is_removed_from_its_call(
    tmp_path: Path, held_connections: HeldConnections
) -> None:
    async def work() -> None:
        endpoint = await Endpoint().start()
        rig, held_connections.held = Rig(tmp_path, [endpoint], "large"), True
        rig.submit("brief", time_left=SECOND // 4)
        rig.submit("long")
        await wait_until(lambda: held_connections.releases)
        assert len(rig.dispatcher.calls_in_flight) == 2
        assert len({id(call) for call in rig.dispatcher.calls_in_flight.values()}) == 1
        await wait_until(lambda: "brief" in rig.answers)
        assert rig.answers["brief"] is Ending.REJECTED, "a message that was never executed is rejected"
        held_connections.releases[0].set()
        endpoint.responses.put_nowait(OK_RESPONSE)
        await wait_until(lambda: len(rig.dispatcher.messages) == 0)
        assert len(endpoint.calls) == 1
        assert b"X-Txn: long" in endpoint.calls[0]
        assert [fields["id"] for fields in rig.records("attempt")] == ["long"]
        await rig.close()

    run_async_test(work())


@pytest.mark.parametrize("change", ["Terminating", "Gone", "other address", "other destination"])
def test_an_endpoint_that_drains_or_moves_while_a_connection_opens_gets_nothing(
    tmp_path: Path, held_connections: HeldConnections, change: str
) -> None:
    async def work() -> None:
        endpoint, second = await Endpoint().start(), await Endpoint().start()
        rig, held_connections.held = Rig(tmp_path, [endpoint]), True
        rig.submit("a")
        await wait_until(lambda: held_connections.releases)
        held_connections.held = False
        rig.change_listing(
            {"host_port": f"127.0.0.1:{second.port}", "id": "s-0" if change == "other address" else "s-1"}
        )
        if change != "other address":
            rig.change_listing({"cell": 2} if change == "other destination" else {"phase": change})
        await wait_until(lambda: not rig.dispatcher.event_queue.events)
        held_connections.releases[0].set()
        second.responses.put_nowait(OK_RESPONSE)
        await wait_until(lambda: len(rig.dispatcher.messages) == 0)
        assert (len(endpoint.calls), len(second.calls)) == (0, 1)
        assert [fields["n"] for fields in rig.records("attempt")] == [0], "no attempt was used up"
        await rig.close()

    run_async_test(work())


@pytest.mark.parametrize("how", ["shutdown", "hand-over"])
def test_a_process_that_stops_does_not_attempt_messages_without_a_connection(
    tmp_path: Path, held_connections: HeldConnections, how: str
) -> None:
    async def work() -> None:
        endpoint = await Endpoint().start()
        rig, held_connections.held = Rig(tmp_path, [endpoint]), True
        rig.submit("a")
        await wait_until(lambda: held_connections.releases)
        rig.dispatcher.stop_deciding(SECOND) if how == "shutdown" else rig.dispatcher.hand_over()
        held_connections.releases[0].set()
        await wait_until(lambda: not rig.dispatcher.calls_in_flight and not rig.tasks.running)
        rig.dispatcher.hand_over()
        assert list(rig.dispatcher.messages.by_id) == ["a"]
        assert not endpoint.calls
        assert not rig.records("attempt")
        assert not rig.records("never")
        assert bool(rig.records("passed")), "a message without a call in flight is handed over"
        await rig.close()

    run_async_test(work())


@pytest.mark.usefixtures("held_connections")
def test_a_failed_connection_counts_as_an_attempt_after_a_restart(tmp_path: Path) -> None:
    async def work() -> None:
        endpoint = Endpoint()
        endpoint.port = 9  # a port on which no process listens
        rig = Rig(tmp_path, [endpoint])
        rig.submit("a")
        await wait_until(
            lambda: (
                rig.dispatcher.messages.by_id["a"].attempt_count == 1 and not rig.dispatcher.calls_in_flight
            )
        )
        await rig.close()
        restarted = Rig(tmp_path, [endpoint])
        transaction = restarted.dispatcher.messages.by_id["a"]
        assert (transaction.attempt_count, transaction.possible_executions) == (1, [])
        await restarted.close()

    run_async_test(work())


def test_a_late_reply_to_a_call_is_not_counted_as_a_delivery(tmp_path: Path) -> None:
    async def work() -> None:
        endpoint = await Endpoint().start()
        rig = Rig(tmp_path, [endpoint], "large")
        rig.submit("brief", time_left=SECOND // 4)
        rig.submit("long")
        await wait_until(lambda: "brief" in rig.answers)  # the call with both messages is still in flight
        body = b"brief accepted\r\nlong accepted\r\n"
        endpoint.responses.put_nowait(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        endpoint.responses.put_nowait(OK_RESPONSE)
        await wait_until(lambda: len(rig.dispatcher.messages) == 0)
        assert [b"messages:batch" in call for call in endpoint.calls] == [True, False]
        assert b"X-Txn: long" in endpoint.calls[1]
        attempts = [(fields["id"], fields["n"]) for fields in rig.records("attempt")]
        assert attempts == [("brief", 0), ("long", 0), ("long", 1)]
        await rig.close()

    run_async_test(work())


@pytest.mark.parametrize("end", ["timeout", "cancelled"])
@pytest.mark.parametrize("reply", ["in the socket", "just read"])
def test_a_retry_after_that_arrives_as_its_call_ends_is_applied(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, end: str, reply: str
) -> None:
    """The Retry-After of a response counts even if its call times out or is cancelled at the same moment.

    At that moment the response is in the socket, or was just read for a task that has not resumed yet.
    """

    async def work() -> None:
        endpoint = await Endpoint().start()
        rig = Rig(tmp_path, [endpoint])
        receiver, sender = socket.socketpair()
        receiver.setblocking(False)

        def end_call() -> None:
            rig.loop.remove_reader(receiver)
            (call,) = set(rig.dispatcher.calls_in_flight.values())
            if end == "cancelled":
                rig.transport.cancel(call)
            while rig.dispatcher.scheduler.now() < call.sent_at + call.timeout:
                pass  # block the loop, so that its next iteration finds both the response and the timeout

        rig.loop.add_reader(receiver, end_call)

        def write_immediately(self: asyncio.StreamWriter, data: bytes) -> None:
            """Write in the current iteration of the loop instead of at its end."""
            writes = [
                lambda: os.write(self.get_extra_info("socket").fileno(), data),
                lambda: sender.send(b"x"),
            ]
            for write in writes if reply == "just read" else reversed(writes):
                write()  # the socket that is written first is read first

        monkeypatch.setattr(asyncio.StreamWriter, "write", write_immediately)
        rig.submit("a", time_left=SECOND)
        await wait_until(lambda: endpoint.calls)
        endpoint.responses.put_nowait(RETRY_AFTER_RESPONSE)
        await wait_until(lambda: len(rig.dispatcher.calls_in_flight) == 0)
        assert rig.dispatcher.journal.retry_after_until, "the Retry-After was received"
        await rig.close()

    run_async_test(work())


@pytest.mark.parametrize("remainder", [b"abc", b"garbage without end" * 9000], ids=["short", "long"])
@pytest.mark.parametrize("status", [b"429 Later", b"500 Oops"])
def test_a_retry_after_in_a_reply_with_a_malformed_body_is_applied(
    tmp_path: Path, remainder: bytes, status: bytes
) -> None:
    """The call may have been executed, because its response is incomplete; the Retry-After in it counts."""

    async def work() -> None:
        endpoint = await Endpoint().start()
        rig = Rig(tmp_path, [endpoint])
        rig.submit("a")
        length = len(remainder) + (len(remainder) < 100)  # the short remainder ends before Content-Length
        head = b"HTTP/1.1 %s\r\nRetry-After: 0.6\r\nContent-Length: %d\r\n\r\n" % (status, length)
        endpoint.responses.put_nowait(head + remainder)
        await wait_until(lambda: endpoint.calls)
        await wait_until(lambda: not rig.dispatcher.calls_in_flight)
        # 0.55 s is longer than the first backoff step.
        retry_after_end = rig.dispatcher.scheduler.now() + int(0.55 * SECOND)
        endpoint.responses.put_nowait(OK_RESPONSE)
        await wait_until(lambda: len(endpoint.calls) == 2)
        assert rig.dispatcher.scheduler.now() >= retry_after_end, "a call started during the Retry-After"
        await wait_until(lambda: len(rig.dispatcher.messages) == 0)
        assert [fields["n"] for fields in rig.records("attempt")] == [0, 1]
        assert not rig.records("never")
        await rig.close()

    run_async_test(work())


class SessionBroker:
    """Acts as the broker for the session of a transport, packet by packet."""

    def __init__(self, transport: MqttTransport) -> None:
        self.session = transport.session
        self.buffer = Buffer()

    def receive(self, packet: Packet) -> None:
        """Pass a packet from the broker to the session."""
        self.buffer.feed(encode(packet))
        self.session.receive(self.buffer)

    def published(self) -> list[Packet]:
        """Return the packets that the session has published since the last call of this method."""
        sent = Buffer()
        sent.feed(self.session.take_output())
        packets = list(iter(lambda: decode(sent), None))
        return [packet for packet in packets if packet.kind is Kind.PUBLISH]


def test_a_retry_after_delays_a_publish_that_waits_for_the_receive_maximum(tmp_path: Path) -> None:
    """With a receive maximum of 1, the second publish may be sent once the first one is acknowledged."""

    async def work() -> None:
        mqtt_settings = MqttSettings("127.0.0.1:1", "in", "n0")
        rig = Rig(tmp_path, [])
        context = MqttContext(mqtt_settings, rig.dispatcher, rig.dispatcher.scheduler, rig.tasks)  # type: ignore[arg-type]
        transport = MqttTransport(context)
        rig.dispatcher.transports["mqtt"] = transport
        endpoint = PoolEndpoint("m", "partner/1", 1, kind=1, listed_rate=100.0, transport="mqtt")
        rig.dispatcher.pool.pin(endpoint)
        endpoint_list = {"revision": 2, "complete": True, "members": []}
        rig.dispatcher.apply_list_update(rig.dispatcher.pool.update(endpoint_list))
        broker = SessionBroker(transport)
        broker.session.open()
        broker.session.take_output()
        broker.receive(Packet(Kind.CONNACK, properties={"receive_maximum": 1}))
        rig.submit("a")
        rig.submit("b")
        await wait_until(lambda: len(rig.dispatcher.calls_in_flight) == 2)
        (first_publish,) = broker.published()
        rig.dispatcher.retry_after_received(endpoint, SECOND // 2)
        retry_after_end = rig.dispatcher.scheduler.now() + SECOND // 2
        await wait_until(lambda: rig.retry_after_until() >= retry_after_end - SECOND // 10)
        broker.receive(Packet(Kind.PUBACK, id=first_publish.id))
        assert not broker.published()
        assert not rig.dispatcher.calls_in_flight
        publishes: list[Packet] = []
        await wait_until(lambda: publishes.extend(broker.published()) or publishes)  # type: ignore[func-returns-value]
        assert rig.dispatcher.scheduler.now() >= retry_after_end - 10**7, (
            "a call started during the Retry-After"
        )
        broker.receive(Packet(Kind.PUBACK, id=publishes[0].id))
        await wait_until(lambda: len(rig.dispatcher.messages) == 0)
        assert [fields["n"] for fields in rig.records("attempt")] == [0, 0], "no attempt was used up"
        await rig.close()

    run_async_test(work())
