"""Tests over loopback of forwarding on reused connections, one of which ends while a request is written."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import pytest

from honeyhitch.dispatcher.delivery import Admission
from honeyhitch.journal.transactions import Transaction
from honeyhitch.protocols import forwarding, resp
from honeyhitch.protocols.buffer import Buffer
from honeyhitch.protocols.forwarding import UNANSWERED_REPLY
from honeyhitch.protocols.transaction_parser import TransactionParser
from honeyhitch.transports.peers import Forwarder, PeerConnections

from .program import run_async_test
from .rig import SETTINGS
from .world import SECOND, settings

BUSY = b"-BUSY 500\r\n"
Stream = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Owner:
    """A test double for the instance that owns a destination; `on_request` handles each received request."""

    def __init__(self, on_request: Callable[[int, asyncio.StreamWriter], Awaitable[None]]) -> None:
        self.on_request = on_request
        self.requests: list[bytes] = []
        self.connections = 0
        self.port = 0

    async def start(self) -> Owner:
        self.server = await asyncio.start_server(self._client, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        reused = False
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                self.requests.append(await reader.readuntil(b"\r\nbody\r\n"))
                confirmation = await self._read_confirmation_request(reader) if reused else b""
                await self.on_request(len(self.requests), writer)
                if not writer.is_closing():
                    writer.write(confirmation)
                reused = True

    async def _read_confirmation_request(self, reader: asyncio.StreamReader) -> bytes:
        """Read a PING with an argument and return its reply, which is the argument."""
        assert await reader.readuntil(b"PING\r\n") == b"*2\r\n$4\r\nPING\r\n"
        return await reader.readline() + await reader.readline()


def create_forwarder(*owners: Owner) -> Forwarder:
    loop = asyncio.get_running_loop()
    addresses = [f"127.0.0.1:{owner.port}" for owner in owners]
    connections = PeerConnections(loop, 4)
    return Forwarder(settings(**SETTINGS), "x", lambda _: addresses, connections, lambda: 0, BUSY)


def create_message(name: str) -> Transaction:
    return Transaction(name, 0, 1, 5 * SECOND, b"body", key=name)


def run_test(work: Callable[[], Coroutine[Any, Any, None]]) -> None:
    run_async_test(work())


async def accept(_number: int, writer: asyncio.StreamWriter) -> None:
    writer.write(b"+OK\r\n")


async def accept_once_then_close(number: int, writer: asyncio.StreamWriter) -> None:
    """Act as a dispatcher that closes an idle connection while the next request is in transit."""
    if number == 2:
        writer.close()
    else:
        writer.write(b"+OK\r\n")


def test_a_request_that_crosses_the_end_of_a_reused_connection_is_sent_again_to_the_same_owner() -> None:
    async def work() -> None:
        owner, other = await Owner(accept_once_then_close).start(), await Owner(accept).start()
        forwarder = create_forwarder(owner, other)
        assert await forwarder.forward(create_message("a")) == b"+OK\r\n"
        assert await forwarder.forward(create_message("b")) == b"+OK\r\n"
        assert owner.requests[1] == owner.requests[2], "the repeated request has the same id and content"
        assert owner.connections == 2
        assert not other.requests

    run_test(work)


def test_a_request_that_one_owner_may_have_accepted_is_not_sent_to_another_owner() -> None:
    async def work() -> None:
        async def close_owner(number: int, writer: asyncio.StreamWriter) -> None:
            if number == 2:
                owner.server.close()
                writer.transport.abort()
            else:
                writer.write(b"+OK\r\n")

        owner, other = await Owner(close_owner).start(), await Owner(accept).start()
        forwarder = create_forwarder(owner, other)
        assert await forwarder.forward(create_message("a")) == b"+OK\r\n"
        assert await forwarder.forward(create_message("b")) == UNANSWERED_REPLY
        assert not other.requests, "the first owner may have accepted the message"

    run_test(work)


def test_a_new_connection_that_ends_without_a_reply_is_not_retried() -> None:
    async def work() -> None:
        async def close_connection(_number: int, writer: asyncio.StreamWriter) -> None:
            writer.close()

        owner, other = await Owner(close_connection).start(), await Owner(accept).start()
        assert await create_forwarder(owner, other).forward(create_message("a")) == UNANSWERED_REPLY
        assert len(owner.requests) == 1
        assert not other.requests

    run_test(work)


def test_a_partial_reply_on_a_reused_connection_is_not_retried() -> None:
    async def work() -> None:
        async def reply_partly(number: int, writer: asyncio.StreamWriter) -> None:
            writer.write(b"+OK\r\n" if number == 1 else b"+O")
            if number == 2:
                writer.close()

        owner = await Owner(reply_partly).start()
        forwarder = create_forwarder(owner)
        assert await forwarder.forward(create_message("a")) == b"+OK\r\n"
        assert await forwarder.forward(create_message("b")) == UNANSWERED_REPLY
        assert len(owner.requests) == 2

    run_test(work)


def test_connections_are_limited_and_reused() -> None:
    async def work() -> None:
        owners = [await Owner(accept).start() for _ in range(6)]
        forwarder = create_forwarder(owners[0])
        for _ in range(5):
            assert await forwarder.forward(create_message("a")) == b"+OK\r\n"
        assert owners[0].connections == 1
        for number, owner in enumerate(owners):
            forwarder.owners = lambda _, port=owner.port: [f"127.0.0.1:{port}"]  # type: ignore[misc]
            assert await forwarder.forward(create_message(f"m{number}")) == b"+OK\r\n"
            assert forwarder.connections.open <= forwarder.connections.max_connections == 4
        forwarder.connections.close()
        assert forwarder.connections.open == 0

    run_test(work)


# Guards against a copied reply that is relayed for the next message, which the owner has rejected.
def test_a_reply_that_arrives_twice_is_not_relayed_for_the_next_message() -> None:
    async def work() -> None:
        async def reply_twice_then_reject(number: int, writer: asyncio.StreamWriter) -> None:
            if number == 1:
                writer.write(b"+OK\r\n")
            elif number == 2:  # the copy arrives under the second request, before its own reply
                writer.write(b"+OK\r\n")
                await asyncio.sleep(0.02)
                writer.write(b"-BUSY 70\r\n")
            else:  # the same request, on a new connection
                writer.write(b"-BUSY 70\r\n")

        owner = await Owner(reply_twice_then_reject).start()
        forwarder = create_forwarder(owner)
        assert await forwarder.forward(create_message("a")) == b"+OK\r\n"
        assert await forwarder.forward(create_message("b")) == b"-BUSY 70\r\n"
        assert owner.connections == 2

    run_test(work)


async def act_as_another_instance(_number: int, writer: asyncio.StreamWriter) -> None:
    writer.write(resp.MISDIRECTED_REPLY)


# Guards against a message that is accepted by a process that came up at the address of its owner.
def test_a_request_names_its_owner_and_goes_on_if_another_instance_has_the_address() -> None:
    async def work() -> None:
        replaced, other = await Owner(act_as_another_instance).start(), await Owner(accept).start()
        forwarder = create_forwarder(replaced, other)
        forwarder.owner_name = lambda address: f"owner-{address.rpartition(':')[2]}"
        assert await forwarder.forward(create_message("a")) == b"+OK\r\n"
        assert b",to=owner-%d" % replaced.port in replaced.requests[0]
        assert b",to=owner-%d" % other.port in other.requests[0]

    run_test(work)


# Guards against a message that runs twice: at its owner, which had accepted it when it ended, and elsewhere.
def test_a_request_that_a_replaced_owner_may_have_accepted_is_answered_with_an_error() -> None:
    async def work() -> None:
        async def be_replaced(number: int, writer: asyncio.StreamWriter) -> None:
            if number == 2:
                owner.on_request = act_as_another_instance
                writer.transport.abort()
            else:
                writer.write(b"+OK\r\n")

        owner, other = await Owner(be_replaced).start(), await Owner(accept).start()
        forwarder = create_forwarder(owner, other)
        assert await forwarder.forward(create_message("a")) == b"+OK\r\n"
        assert await forwarder.forward(create_message("b")) == UNANSWERED_REPLY
        assert len(owner.requests) == 3
        assert not other.requests

    run_test(work)


@pytest.mark.parametrize(("owner", "accepted"), [("x", True), ("y", False), ("", True)])
def test_an_instance_accepts_no_message_that_was_forwarded_to_another_one(owner: str, accepted: bool) -> None:
    submitted: list[Transaction] = []

    def submit(transaction: Transaction) -> Admission:
        submitted.append(transaction)
        return Admission(True)

    parser = TransactionParser(settings(**SETTINGS), lambda _: True)
    session = resp.Session(parser, submit, lambda: True, lambda: 0, instance="x")
    request = forwarding.encode_request(settings(**SETTINGS), create_message("a"), "z", 0, owner)
    assert request is not None
    buffer = Buffer()
    buffer.feed(request)
    assert session.receive(buffer) == (b"+OK\r\n" if accepted else resp.MISDIRECTED_REPLY)
    assert bool(submitted) is accepted
