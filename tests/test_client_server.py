"""Tests over loopback of which clients keep their slot, which lose it, and which are closed at a timeout."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import json
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, ClassVar

import pytest

from honeyhitch import config
from honeyhitch.dispatcher.delivery import Admission
from honeyhitch.journal.transactions import Transaction
from honeyhitch.protocols import resp
from honeyhitch.protocols.buffer import Buffer
from honeyhitch.protocols.transaction_parser import TransactionParser
from honeyhitch.service.descriptors import descriptor_budget
from honeyhitch.transports import client_server, sockets
from honeyhitch.transports.client_server import ClientServer
from honeyhitch.transports.tasks import Tasks

from .polling import poll_condition
from .program import run_async_test, write_config_files
from .test_exchanges import EXCHANGE_SETTINGS, START, decode_escapes
from .test_program import ENQUEUE

PING, PONG = b"PING\r\n", b"+PONG\r\n"
Stream = tuple[asyncio.StreamReader, asyncio.StreamWriter]


def create_session() -> resp.Session:
    parser = TransactionParser(EXCHANGE_SETTINGS, lambda _: True)
    return resp.Session(parser, lambda _: Admission(True), lambda: True, lambda: START)


@asynccontextmanager
async def running_server(max_clients: int) -> AsyncIterator[ClientServer]:
    tasks = Tasks(asyncio.get_running_loop())
    server = ClientServer(("127.0.0.1", 0), create_session, max_clients, tasks)
    tasks.run_forever(server.accept)
    tasks.run_forever(server.sweep)
    yield server
    server.close()
    await tasks.stop()


async def connect(server: ClientServer) -> Stream:
    return await asyncio.open_connection("127.0.0.1", server.port)


async def ping(stream: Stream) -> None:
    stream[1].write(PING)
    assert await stream[0].readline() == PONG


def test_the_longest_unused_client_loses_its_slot_and_those_in_use_do_not() -> None:
    async def work() -> None:
        async with running_server(2) as server:
            idle, partial = await connect(server), await connect(server)
            partial[1].write(b"*1\r\n$4\r\nPI")
            new = await connect(server)
            await ping(new)  # the new connection waited for a slot and was not closed
            assert await idle[0].read() == b""
            partial[1].write(b"NG\r\n")
            assert await partial[0].readline() == PONG
            await ping(new)
            newer = await connect(server)
            await ping(newer)
            assert await partial[0].read() == b"", "the connection that was unused for longest is closed"
            for _ in range(20):  # each of many clients that send one request and stay connected gets a slot
                await ping(await connect(server))

    run_async_test(work())


def test_a_server_is_not_quiescent_while_connections_wait_for_a_slot() -> None:
    """The old process of an upgrade must not close its listener then: the connections would be reset."""

    async def work() -> None:
        async with running_server(1) as server:
            assert server.quiescent
            partial = await connect(server)
            partial[1].write(b"*1\r\n$4\r\nPI")
            await asyncio.sleep(0.05)
            queued = [await connect(server) for _ in range(3)]
            partial[1].write(b"NG\r\n")
            assert await partial[0].readline() == PONG
            assert not server.quiescent, "one connection waits for a slot, two wait to be accepted"
            for stream in queued:
                await ping(stream)
            assert server.quiescent

    run_async_test(work())


def test_a_connection_that_never_completes_a_request_gets_an_error_and_is_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(client_server, "REQUEST_TIMEOUT_SECONDS", 0.1)
    monkeypatch.setattr(client_server, "SWEEP_INTERVAL_SECONDS", 0.02)

    async def work() -> None:
        async with running_server(10) as server:
            used = await connect(server)
            await ping(used)
            for request, expected in ((b"", b""), (b"*1\r\n$4\r\nPI", b""), (PING + b"*", PONG)):
                reader, writer = await connect(server)
                writer.write(request)
                assert await reader.read() == expected + client_server.REQUEST_TIMEOUT_REPLY
            await ping(used)  # the timeout does not apply to a client that was answered and sends nothing

    run_async_test(work())


def test_other_connections_are_served_during_a_flood_on_one() -> None:
    session = create_session()
    buffer = Buffer()
    buffer.feed(PING * 1000)
    assert session.receive(buffer).count(PONG) == resp.MAX_REPLIES_PER_TURN
    assert session.has_more_requests

    async def work() -> None:
        async with running_server(10) as server:
            flood, other = await connect(server), await connect(server)
            flood[1].write(PING * 100_000)
            await flood[0].readline()
            await ping(other)
            assert len(await flood[0].read(1 << 20)) < 100_000 * len(PONG)
            flood[1].close()

    run_async_test(work())


@pytest.mark.parametrize("sockets", [64, 256, 1024])
def test_all_descriptors_together_stay_under_the_limit(tmp_path: Path, sockets: int) -> None:
    path = Path(write_config_files(tmp_path, 6379, 8500, [])[0])
    content = json.loads(path.read_text())
    content["settings"]["family-info"]["call-slots"] = 200
    path.write_text(json.dumps({**content, "limits": {"sockets": sockets}}))
    configuration = config.read({}, str(path))
    for processes in (1, 2):
        clients, idle = descriptor_budget(configuration, processes)
        assert clients > 0
        assert idle > 0
        per_process = clients + idle + config.RESERVED_DESCRIPTORS
        assert processes * per_process + configuration.settings.max_concurrent_calls <= sockets or (
            clients,
            idle,
        ) == (1, 1)


def test_unused_connections_are_closed_at_once_if_the_number_of_slots_is_reduced() -> None:
    async def work() -> None:
        async with running_server(4) as server:
            streams = [await connect(server) for _ in range(4)]
            for stream in streams[:3]:
                await ping(stream)
            streams[3][1].write(b"*1\r\n$4\r\nPI")  # an incomplete command, so this client uses its slot
            await poll_condition(
                lambda: any(client.has_partial_request for client in server.clients), interval=0
            )
            server.set_max_clients(2)
            assert len(server.clients) == 2
            assert await streams[0][0].read() == await streams[1][0].read() == b""
            await ping(streams[2])
            streams[3][1].write(b"NG\r\n")
            assert await streams[3][0].readline() == PONG

    run_async_test(work())


class SameIterationCallback:
    """A callback that runs in the same iteration of the event loop as a read, right after it."""

    def __init__(self, callback: Callable[[], None]) -> None:
        self.loop = asyncio.get_running_loop()
        self.receiver, self.sender = socket.socketpair()
        self.receiver.setblocking(False)
        self.done = asyncio.Event()
        self.loop.add_reader(self.receiver, self._run, callback)

    def _run(self, callback: Callable[[], None]) -> None:
        self.loop.remove_reader(self.receiver)
        callback()
        self.done.set()

    async def run_after(self, action: Callable[[], object]) -> None:
        """Call `action`, which makes a socket readable, and run the callback in the same loop iteration."""
        action()
        self.sender.send(b"x")
        await self.done.wait()


async def connect_answered_socket(server: ClientServer) -> socket.socket:
    """Return a client's socket that has been answered once.

    It is not wrapped in a stream, so that the test controls when bytes are sent.
    """
    sock = socket.create_connection(("127.0.0.1", server.port))
    sock.send(PING)
    await poll_condition(lambda: any(client.answered for client in server.clients), interval=0)
    sock.setblocking(False)
    assert sock.recv(100) == PONG
    return sock


def test_a_request_that_is_read_while_the_server_drains_is_answered() -> None:
    """The event loop reads in one iteration, and the task resumes in the next; SIGTERM comes in between."""

    async def work() -> None:
        async with running_server(10) as server:
            sock = await connect_answered_socket(server)
            callback = SameIterationCallback(server.drain)
            await callback.run_after(lambda: sock.send(PING))
            reader, _ = await asyncio.open_connection(sock=sock)
            assert await reader.read() == PONG, "the complete reply precedes the end of the connection"

    run_async_test(work())


def test_a_server_is_not_quiescent_while_it_accepts_a_connection() -> None:
    async def work() -> None:
        async with running_server(10) as server:
            (await connect_answered_socket(server)).close()
            await poll_condition(lambda: server.quiescent, interval=0)
            quiescent_states: list[bool] = []
            callback = SameIterationCallback(lambda: quiescent_states.append(server.quiescent))
            sock = socket.socket()
            sock.setblocking(False)
            await callback.run_after(lambda: sock.connect_ex(("127.0.0.1", server.port)))
            assert quiescent_states == [False]
            sock.close()

    run_async_test(work())


@pytest.mark.parametrize("moment", ["drain", "room", "limit"])
def test_a_request_that_crosses_the_close_of_its_connection_is_not_read(
    monkeypatch: pytest.MonkeyPatch, moment: str
) -> None:
    """The client submits the request again on a new connection.

    If the server also accepted it on the closed connection, no client would receive the answer.
    """
    accepted: list[object] = []

    def create_recording_session() -> resp.Session:
        session = create_session()

        def submit(transaction: Transaction) -> Admission:
            accepted.append(transaction)
            return Admission(True)

        session.submit = submit
        return session

    async def work() -> None:
        async with running_server(1) as server:
            server.create_session = create_recording_session
            sock = await connect_answered_socket(server)
            is_reusable = sockets.is_reusable

            def send_after_check(checked_sock: socket.socket) -> bool:
                reusable = is_reusable(checked_sock)
                if reusable and checked_sock.getpeername() == sock.getsockname():
                    # Send after the server's check and before its shutdown of the socket.
                    sock.send(decode_escapes(ENQUEUE))
                return reusable

            with monkeypatch.context() as patch:
                patch.setattr(sockets, "is_reusable", send_after_check)
                if moment == "drain":
                    server.drain()
                elif moment == "room":
                    assert server.free_slot()
                else:
                    server.set_max_clients(0)
            reader, _ = await asyncio.open_connection(sock=sock)
            with contextlib.suppress(ConnectionResetError):  # closing with unread bytes resets the connection
                assert await reader.read() == b""
            await poll_condition(lambda: not server.clients, interval=0)
            assert not accepted

    run_async_test(work())


class StallingLoop:
    """An event loop whose writes pause after 3 bytes until the test sets an event."""

    def __init__(self) -> None:
        self.loop, self.resume = asyncio.get_running_loop(), asyncio.Event()

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)

    async def sock_sendall(self, sock: socket.socket, data: bytes) -> None:
        await self.loop.sock_sendall(sock, data[:3])
        await self.resume.wait()
        await self.loop.sock_sendall(sock, data[3:])


def test_a_partly_written_reply_is_not_cut_by_a_drain_or_for_a_slot() -> None:
    async def work() -> None:
        async with running_server(1) as server:
            sock, stalling_loop = await connect_answered_socket(server), StallingLoop()
            (client,) = server.clients
            server.loop = stalling_loop  # type: ignore[assignment]
            sock.send(PING)
            await poll_condition(lambda: client.sending, interval=0)
            server.drain()
            server.set_max_clients(0)
            assert len(server.clients) == 1
            assert not server.quiescent
            stalling_loop.resume.set()
            reader, _ = await asyncio.open_connection(sock=sock)
            assert await reader.read() == PONG, "the complete reply precedes the end of the connection"

    run_async_test(work())


class AbortingListener(socket.socket):
    """A listener whose first calls of accept() fail, as they do for connections that have ended."""

    failures: ClassVar[list[int]] = []

    def accept(self) -> tuple[socket.socket, Any]:
        if self.failures:
            raise OSError(self.failures.pop(), "failed by the test")
        return super().accept()


# Guards against a pause before the next connection after one that ended before it was accepted.
@pytest.mark.parametrize("error", [errno.ECONNABORTED, errno.EPROTO, errno.ENETUNREACH])
def test_a_connection_that_ended_before_it_was_accepted_delays_no_other(
    monkeypatch: pytest.MonkeyPatch, error: int
) -> None:
    monkeypatch.setattr(client_server, "ACCEPT_RETRY_SECONDS", 3600.0)

    async def work() -> None:
        async with running_server(2) as server:
            AbortingListener.failures = [error] * 3
            server.listener = AbortingListener(fileno=server.listener.detach())
            await ping(await connect(server))
        assert not AbortingListener.failures

    run_async_test(work())
