"""The program on loopback sockets: recorded exchanges between its peers, and MQTT with a test broker.

In tests/programs a line `PEER> BYTES` is sent by that peer, and `PEER< BYTES` is what the peer must receive,
where `%` stands for a number. `PEER close` closes its connection, `PEER ended` checks that the connection is
closed, `dial` opens a new connection of the client, `stop` sends SIGTERM, after which the program must end by
itself, `restart` kills the program and starts it again, and `reload PEER` configures that peer as discovery
and sends SIGHUP.
"""

from __future__ import annotations

import asyncio
import collections
import json
import os
import re
import signal
from pathlib import Path
from typing import Any

import paho.mqtt.client as paho
import pytest
from paho.mqtt.enums import CallbackAPIVersion
from paho.mqtt.packettypes import PacketTypes
from paho.mqtt.properties import Properties

from honeyhitch.journal.record_codec import decode_frames
from honeyhitch.protocols import calls
from honeyhitch.protocols.mqtt_packets import Kind, Packet

from .broker import Broker
from .polling import Changes, poll_condition
from .program import Peer, free_port, run_async_test, running_program, write_config_files
from .rig import endpoint_row
from .test_exchanges import decode_escapes
from .world import MS

PROGRAMS = sorted((Path(__file__).parent / "programs").glob("*.txt"))


async def receive(peer: Peer, pattern: bytes) -> None:
    """Read exactly the bytes of `pattern`, in which `%` stands for digits."""
    reader, _ = await peer.accept_connection()
    expected = re.compile(re.escape(pattern).replace(b"%", rb"\d+"), re.DOTALL)
    received = b""
    while not expected.fullmatch(received):
        byte = await reader.read(1)
        assert byte, f"the connection ended after {received!r}"
        received += byte
        assert len(received) < len(pattern) + 64, received


class ScriptRunner:
    """Plays a recorded script: each line names a peer, and what it sends, receives or does."""

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self.port = free_port()
        self.peers: dict[str, Peer] = {"client": Peer()}
        self.members: list[dict[str, Any]] = []

    async def start_peers(self) -> None:
        for name in ("agent", "watch", "next", "one", "two"):
            self.peers[name] = await Peer().start()
        for name, kind, cell in (("one", "small", 1), ("two", "large", 2)):
            address = f"127.0.0.1:{self.peers[name].port}"
            self.members.append({**endpoint_row(name, cell, kind), "host_port": address})
        self.members.append(endpoint_row("leaving", 9, phase="Terminating"))

    async def run(self, lines: list[str]) -> None:
        """Play the lines of one process, from its start to its end."""
        agent = self.peers["agent"]
        stopped = "stop" in lines
        async with running_program(self.directory, agent.port, self.members, port=self.port, stopped=stopped):
            # The first connection to the agent is the watch; notices come on another connection.
            self.peers["watch"].connection = await agent.connections.get()
            await serve_watch(self.peers["watch"], agent.port)
            agent.connection = None
            await self.peers["client"].dial(self.port)
            for line in lines:
                name, _, argument = line.partition(" ")
                if name in ("stop", "dial", "reload"):
                    await self._act(name, argument)
                else:
                    await self._play(name, argument)
        for name in ("agent", "one", "two"):
            self.peers[name].connection = None

    async def _act(self, name: str, argument: str) -> None:
        if name == "stop":
            os.kill(os.getpid(), signal.SIGTERM)
        elif name == "dial":
            await self.peers["client"].dial(self.port)
        else:
            await self._reload(self.peers[argument])

    async def _reload(self, other_agent: Peer) -> None:
        """Reload a faulty configuration, which changes nothing, then one that names another agent."""
        client = self.peers["client"]
        (self.directory / "config.json").write_text("{")
        os.kill(os.getpid(), signal.SIGHUP)
        await client.dial(self.port)
        (await client.accept_connection())[1].write(b"PING\r\n")
        await receive(client, b"+PONG\r\n")
        write_config_files(self.directory, self.port, other_agent.port, [])
        os.kill(os.getpid(), signal.SIGHUP)
        await serve_list_and_watch(other_agent, other_agent.port, self.members)
        other_agent.connection = None  # notices come on another connection

    async def _play(self, name: str, argument: str) -> None:
        if argument == "ended":
            reader, _ = self._connection(name)
            assert await reader.read(1) == b""
        elif argument == "close":
            _, writer = self._connection(name)
            writer.close()
            self.peers[name].connection = None
        elif name[-1] == ">":
            (await self.peers[name[:-1]].accept_connection())[1].write(decode_escapes(argument))
        else:
            peer = self.peers[name[:-1]]
            await receive(peer, decode_escapes(argument.replace("PORT", str(peer.port))))

    def _connection(self, name: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        connection = self.peers[name].connection
        assert connection is not None
        return connection


@pytest.mark.parametrize("file", PROGRAMS, ids=lambda file: file.stem)
def test_program(file: Path, tmp_path: Path) -> None:
    script = [line for line in file.read_text().splitlines() if line and line[0] != "#"]
    processes = "\n".join(script).split("\nrestart\n")

    async def work() -> None:
        runner = ScriptRunner(tmp_path)
        await runner.start_peers()
        for process in processes:
            await runner.run(process.splitlines())

    run_async_test(work())


TARGETS = r"GET /api/targets%s HTTP/1.1\r\nHost: 127.0.0.1:%d\r\nAccept: application/json\r\n\r\n"


async def serve_watch(agent: Peer, port: int, revision: int = 1) -> None:
    """Expect a watch of the changes after this revision, and answer with no change."""
    await receive(agent, decode_escapes(TARGETS % (f"?stream=1&index={revision}", port)))
    (await agent.accept_connection())[1].write(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n"
    )


async def serve_list_and_watch(agent: Peer, port: int, members: list[dict[str, Any]]) -> None:
    """Serve a new agent's first requests: one for its complete list, then one for its changes."""
    await receive(agent, decode_escapes(TARGETS % ("", port)))
    body = json.dumps({"revision": 3, "complete": True, "members": members}).encode()
    (await agent.accept_connection())[1].write(
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
    )
    await serve_watch(agent, port, 3)


ENQUEUE = (
    r"*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$2\r\nid\r\n"
    r"$38\r\nc=standard,t=studio,d=9000,k=kk,dest=1\r\n$4\r\nbody\r\n"
)


def test_an_unexpected_exception_in_a_call_frees_its_slot(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    encode, faults = calls.encode_call, [RuntimeError("a fault")]

    def failing_encode(*arguments: Any) -> bytes:
        if faults:
            raise faults.pop()
        return encode(*arguments)

    async def work() -> None:
        agent, endpoint, client = await Peer().start(), await Peer().start(), Peer()
        members = [{**endpoint_row("one", 1), "host_port": f"127.0.0.1:{endpoint.port}"}]
        async with running_program(tmp_path, agent.port, members) as port:
            await client.dial(port)
            assert client.connection is not None
            client.connection[1].write(decode_escapes(ENQUEUE))
            await receive(client, b"+OK\r\n")
            await poll_condition(lambda: not faults)
            await endpoint.accept_connection()  # the connection of the failed call, on which nothing is sent
            endpoint.connection = None
            reader, _ = await endpoint.accept_connection()
            assert await reader.readuntil(b"body")

    monkeypatch.setattr(calls, "encode_call", failing_encode)
    run_async_test(work())


def test_health_checks_of_load_balancers_are_answered(tmp_path: Path) -> None:
    async def work() -> None:
        agent, ports = await Peer().start(), (free_port(), free_port())
        operator = '[beside]\nagent-check = "127.0.0.1:{}"\nhealth = "127.0.0.1:{}"\n'.format(*ports)
        async with running_program(tmp_path, agent.port, [], operator):
            reader, _ = await asyncio.open_connection("127.0.0.1", ports[0])
            assert await reader.read() == b"up ready 100%\n"
            reader, writer = await asyncio.open_connection("127.0.0.1", ports[1])
            writer.write(b"GET /health HTTP/1.0\r\n\r\n")
            answer = await reader.read()
            assert answer.startswith(b"HTTP/1.1 200 OK\r\n")
            assert answer.endswith(b'"held": 0, "most": 50}')

    run_async_test(work())


OPERATOR = """
[mqtt]
broker = "127.0.0.1:{port}"
intake = "in"
[[mqtt.member]]
id = "topic-1"
topic = "partner/1"
dest = {dest}
kind = "small"
rate = 1000.0
"""


class Client:
    """A client of the paho library, connected to the test broker, that collects final answers."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.answers = collections.defaultdict[str, list[dict[str, Any]]](list)
        self.received = Changes()
        self.paho = paho.Client(CallbackAPIVersion.VERSION2, client_id="client", protocol=paho.MQTTv5)
        self.paho.on_message = self._message
        self.paho.on_connect = lambda client, *_: client.subscribe("re/client", qos=2)
        self.paho.reconnect_delay_set(1, 1)

    def _message(self, _: object, __: object, message: paho.MQTTMessage) -> None:
        assert message.properties is not None
        assert message.properties.CorrelationData == b"\x00corr"  # type: ignore[attr-defined]  # set by name
        self.loop.call_soon_threadsafe(self._answered, json.loads(message.payload))

    def _answered(self, answer: dict[str, Any]) -> None:
        self.answers[answer["id"]].append(answer)
        self.received.notify()

    def connect(self, port: int) -> None:
        properties = Properties(PacketTypes.CONNECT)
        properties.SessionExpiryInterval = 600
        self.paho.connect("127.0.0.1", port, clean_start=False, properties=properties)
        self.paho.loop_start()

    def submit(self, name: str, dest: int, left: int = 20_000) -> None:
        properties = Properties(PacketTypes.PUBLISH)
        properties.ResponseTopic, properties.CorrelationData = "re/client", b"\x00corr"
        fields = {
            "id": name,
            "c": "standard",
            "t": "studio",
            "d": str(left),
            "k": f"k-{name}",
            "dest": str(dest),
        }
        properties.UserProperty = list(fields.items())
        self.paho.publish("in", f"body of {name}", qos=1, properties=properties)

    async def wait_for_answers(self, count: int) -> None:
        """Return once `count` messages have an answer."""
        await self.received.wait_until(lambda: len(self.answers) >= count)


def calls_to_partner(broker: Broker) -> list[Packet]:
    return [packet for packet in broker.published if packet.topic == "partner/1"]


def journal_records(directory: Path, kind: str) -> list[dict[str, Any]]:
    """Return the stored fields of the journal's records of one kind."""
    data = (directory / "state" / "journal").read_bytes()
    return [fields for fields, _, _ in decode_frames(data) if fields["t"] == kind]


def set_reasons(broker: Broker, reasons: dict[str, int]) -> None:
    """Make the partner acknowledge each call once with its message's reason, or never if that is below 0."""

    def acknowledge(packet: Packet) -> Packet | None:
        reason = reasons.get(dict(packet.user)["id"], 0)
        return None if reason < 0 else Packet(Kind.PUBACK, id=packet.id, reason=reason)

    broker.acknowledge_partner_publish = acknowledge


def test_mqtt_serves_deadlines_rejects_errors_and_bad_input(tmp_path: Path) -> None:
    async def work() -> None:
        broker, agent = Broker(), await Peer().start()
        await broker.start()
        set_reasons(broker, {"fails": 0x83, "silent": -1, "full": 0x97})
        client = Client(asyncio.get_running_loop())
        async with running_program(tmp_path, agent.port, [], OPERATOR.format(port=broker.port, dest=1)):
            client.connect(broker.port)
            await poll_condition(lambda: broker.subscribed("n0-intake", "client"))
            client.submit("good", 1)
            await client.wait_for_answers(1)
            client.submit("silent", 1, left=300)
            client.submit("full", 1, left=300)
            client.submit("fails", 1, left=300)
            client.submit("nobody", 9, left=300)
            client.submit("", 1)
            client.submit("", 1)
            await client.wait_for_answers(6)
            # Messages without an id are answered one by one.
            await poll_condition(lambda: len(client.answers[""]) >= 2)
        client.paho.disconnect()
        client.paho.loop_stop()
        assert all(len(answers) == 1 + (name == "") for name, answers in client.answers.items())
        status = {name: answers[0]["status"] for name, answers in client.answers.items()}
        assert status == {
            "good": "delivered",
            "silent": "deferred",  # a repeat is dropped inside the window, so submitting again is harmless
            "full": "deferred",
            "fails": "deferred",
            "nobody": "error",
            "": "error",
        }
        assert client.answers["full"][0]["again_ms"] > 0
        assert client.answers[""][0]["reason"].startswith("id:")
        assert client.answers["nobody"][0]["reason"].startswith("dest:")

    run_async_test(work())


def test_a_broker_killed_in_a_burst_leaves_one_final_answer_each(tmp_path: Path) -> None:
    async def work() -> None:
        broker, agent, count = Broker(), await Peer().start(), 40
        await broker.start()
        set_reasons(broker, {})
        client = Client(asyncio.get_running_loop())
        async with running_program(tmp_path, agent.port, [], OPERATOR.format(port=broker.port, dest=1)):
            client.connect(broker.port)
            await poll_condition(lambda: broker.subscribed("n0-intake", "client"))
            for i in range(count):
                client.submit(f"m{i}", 1)
                if i in (10, 25):
                    # Some messages are answered, some in flight and some not sent yet.
                    await client.wait_for_answers(3)
                    await broker.kill()
                    await broker.start()
            await client.wait_for_answers(count)
            await asyncio.sleep(0.3)  # a second answer would arrive now
        client.paho.disconnect()
        client.paho.loop_stop()
        assert {name: len(answers) for name, answers in client.answers.items()} == {
            f"m{i}": 1 for i in range(count)
        }
        calls = calls_to_partner(broker)
        assert not any(packet.dup for packet in calls), "no call is redelivered with the DUP flag"

    run_async_test(work())


def test_a_broker_lost_with_a_call_in_flight_is_a_reset_and_the_policy_decides(tmp_path: Path) -> None:
    async def work() -> None:
        broker, agent = Broker(), await Peer().start()
        await broker.start()
        set_reasons(broker, {"m": -1})
        client = Client(asyncio.get_running_loop())
        async with running_program(tmp_path, agent.port, [], OPERATOR.format(port=broker.port, dest=1)):
            client.connect(broker.port)
            await poll_condition(lambda: broker.subscribed("n0-intake", "client"))
            client.submit("m", 1)
            await poll_condition(lambda: calls_to_partner(broker))
            await broker.kill()
            set_reasons(broker, {})
            await broker.start()
            await client.wait_for_answers(1)
        client.paho.disconnect()
        client.paho.loop_stop()
        calls = calls_to_partner(broker)
        assert len(calls) == 2
        assert not any(packet.dup for packet in calls)
        assert {dict(packet.user)["key"] for packet in calls} == {"k-m"}, "both calls carry the same key"
        assert [answer["status"] for answer in client.answers["m"]] == ["delivered"]

    run_async_test(work())


def test_a_process_killed_with_a_call_in_flight_still_gives_one_final_answer(tmp_path: Path) -> None:
    async def work() -> None:
        broker, agent = Broker(), await Peer().start()
        await broker.start()
        set_reasons(broker, {"m": -1})
        client = Client(asyncio.get_running_loop())
        operator = OPERATOR.format(port=broker.port, dest=1)
        async with running_program(tmp_path, agent.port, [], operator):
            client.connect(broker.port)
            await poll_condition(lambda: broker.subscribed("n0-intake", "client"))
            client.submit("m", 1)
            await poll_condition(lambda: calls_to_partner(broker))
        set_reasons(broker, {})
        async with running_program(tmp_path, agent.port, [], operator):
            client.submit("m", 1)  # submitted twice: the id is still known after the restart
            await client.wait_for_answers(1)
            client.submit("n", 1)
            await client.wait_for_answers(2)
        client.paho.disconnect()
        client.paho.loop_stop()
        assert [answer["status"] for answer in client.answers["m"]] == ["delivered"]
        calls = calls_to_partner(broker)
        assert [dict(packet.user)["id"] for packet in calls] == ["m", "m", "n"]

    run_async_test(work())


# Guards against an acknowledged rejection whose answer is lost by a kill (review/2).
def test_a_kill_in_a_burst_leaves_each_rejected_message_its_one_answer(tmp_path: Path) -> None:
    async def work() -> None:
        burst = 80  # the dispatcher may hold 50 messages
        broker, agent = Broker(), await Peer().start()
        await broker.start()
        broker.answers_lost = True  # the process is killed before its answers reach the broker
        names = [f"m{number}" for number in range(burst)]
        set_reasons(broker, dict.fromkeys(names, -1))
        client = Client(asyncio.get_running_loop())
        operator = OPERATOR.format(port=broker.port, dest=1)
        async with running_program(tmp_path, agent.port, [], operator):
            client.connect(broker.port)
            await poll_condition(lambda: broker.subscribed("n0-intake", "client"))
            for name in names:
                client.submit(name, 1)
            intake = broker.sessions["n0-intake"]
            await poll_condition(lambda: intake.last_packet_id == burst and not intake.unacknowledged)
        broker.answers_lost = False
        set_reasons(broker, {})
        async with running_program(tmp_path, agent.port, [], operator):
            await client.wait_for_answers(burst)
            client.submit("last", 1)
            await client.wait_for_answers(burst + 1)
        client.paho.disconnect()
        client.paho.loop_stop()
        assert all(len(answers) == 1 for answers in client.answers.values())
        statuses = collections.Counter(answers[0]["status"] for answers in client.answers.values())
        assert statuses == {"delivered": 51, "deferred": 30}
        deferred = [a[0] for a in client.answers.values() if a[0]["status"] == "deferred"]
        assert all(answer["again_ms"] > 0 for answer in deferred)

    run_async_test(work())


def test_one_partner_over_both_protocols_shares_its_retry_after(tmp_path: Path) -> None:
    async def work() -> None:
        broker, agent, endpoint, client = Broker(), await Peer().start(), await Peer().start(), Peer()
        await broker.start()
        set_reasons(broker, {})
        members = [{**endpoint_row("one", 1), "host_port": f"127.0.0.1:{endpoint.port}"}]
        async with running_program(
            tmp_path, agent.port, members, OPERATOR.format(port=broker.port, dest=1)
        ) as port:
            await poll_condition(lambda: "n0-calls" in broker.sessions)
            await client.dial(port)
            assert client.connection is not None
            client.connection[1].write(decode_escapes(ENQUEUE))
            await receive(client, b"+OK\r\n")
            reader, writer = await endpoint.accept_connection()
            await reader.readuntil(b"body")
            writer.write(b"HTTP/1.1 429 No\r\nRetry-After: 0.8\r\nContent-Length: 0\r\n\r\n")
            await poll_condition(lambda: calls_to_partner(broker))
        attempts = [int(fields["at"]) for fields in journal_records(tmp_path, "attempt")]
        assert len(attempts) == 2
        assert attempts[1] - attempts[0] >= 800 * MS

    run_async_test(work())


def test_a_retry_after_received_after_its_call_was_cancelled_is_applied(tmp_path: Path) -> None:
    """A publish cannot be revoked, and its acknowledgement may arrive after its message expired."""

    async def work() -> None:
        broker, agent, loop = Broker(), await Peer().start(), asyncio.get_running_loop()
        await broker.start()
        silent: list[Packet] = []
        second_calls: list[float] = []

        def acknowledge(packet: Packet) -> Packet | None:
            if not silent:
                silent.append(packet)
                return None
            second_calls.append(loop.time())
            return Packet(Kind.PUBACK, id=packet.id)

        broker.acknowledge_partner_publish, client = acknowledge, Client(loop)
        async with running_program(tmp_path, agent.port, [], OPERATOR.format(port=broker.port, dest=1)):
            client.connect(broker.port)
            await poll_condition(lambda: broker.subscribed("n0-intake", "client"))
            client.submit("brief", 1, left=300)
            await client.wait_for_answers(1)
            (first,) = silent
            retry_after_received_at = loop.time()
            late_reply = Packet(Kind.PUBACK, id=first.id, reason=0x97, user=[("Retry-After", "0.5")])
            broker.write(broker.sessions["n0-calls"], late_reply)
            await poll_condition(lambda: journal_records(tmp_path, "wait"))
            client.submit("next", 1)
            await client.wait_for_answers(2)
        client.paho.disconnect()
        client.paho.loop_stop()
        assert len(second_calls) == 1
        assert second_calls[0] >= retry_after_received_at + 0.5, "a call started during the Retry-After"

    run_async_test(work())
