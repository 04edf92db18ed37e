"""Hostile clients for tests of limits: `python -m tests.faults.hostile ATTACK PORT COUNT SECONDS [FIELDS]`.

Each attack opens up to COUNT connections to one loopback port, opens a connection again once it was closed,
and ends by itself after SECONDS.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket
import sys
import time
from collections.abc import Callable, Coroutine

import uvloop

BODY_BYTES = 65_536
FIELD_TEXT = "c=standard,t=studio,d=8000,dest=1"  # of a message, unless the command line gives other fields
DRIP_BYTES = 1024
DRIP_PAUSE_SECONDS = 0.02
RECONNECT_SECONDS = 0.05
PIPELINED_COMMANDS = 400
LISTED_FIELDS = b"a,"


def encode_command(*arguments: bytes) -> bytes:
    """Return a RESP2 command."""
    return b"*%d\r\n" % len(arguments) + b"".join(
        b"$%d\r\n%s\r\n" % (len(value), value) for value in arguments
    )


def submission(name: bytes, body: bytes = b"body", fields: bytes | None = None) -> bytes:
    """Return a client's command that submits a message for destination 1."""
    text = b"%s,k=%s" % (FIELD_TEXT.encode(), name) if fields is None else fields
    return encode_command(b"ENQUEUE", b"0", name, text, body)


class Connection:
    """One connection of an attack; every method raises OSError once the dispatcher has closed it."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.loop = asyncio.get_running_loop()
        self.unique = b"%x" % time.monotonic_ns()

    async def send(self, data: bytes) -> None:
        await self.loop.sock_sendall(self.sock, data)

    async def wait_for_close(self) -> None:
        while await self.loop.sock_recv(self.sock, 65_536):
            pass
        raise ConnectionResetError

    async def drain_replies(self) -> None:
        with contextlib.suppress(OSError):
            await self.wait_for_close()


async def stall(connection: Connection) -> None:
    """Stop in the middle of a large request."""
    request = submission(connection.unique, bytes(BODY_BYTES))
    await connection.send(request[: len(request) - 100])
    await connection.wait_for_close()


async def drip(connection: Connection) -> None:
    """Write a large request slowly."""
    request = submission(connection.unique, bytes(BODY_BYTES))
    for start in range(0, len(request) - DRIP_BYTES, DRIP_BYTES):
        await connection.send(request[start : start + DRIP_BYTES])
        await asyncio.sleep(DRIP_PAUSE_SECONDS)
    await connection.wait_for_close()


async def many_fields(connection: Connection) -> None:
    """Send heads of very many short fields, and stop half way through the last one."""
    fields = LISTED_FIELDS * (BODY_BYTES // len(LISTED_FIELDS))
    request = submission(connection.unique, b"", fields)
    for _ in range(4):
        await connection.send(request)
    await connection.send(request[: len(request) // 2])
    await connection.wait_for_close()


async def many_arguments(connection: Connection) -> None:
    """Send a command of many arguments that is never complete."""
    arguments = [b"x" * 1024] * 63
    await connection.send(
        b"*64\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(value), value) for value in arguments)
    )
    await connection.wait_for_close()


async def http_head(connection: Connection) -> None:
    """Send an HTTP head of very many short fields that does not end."""
    await connection.send(b"GET /health HTTP/1.1\r\n" + b"a: b\r\n" * 1000)
    await connection.wait_for_close()


async def unread_replies(connection: Connection) -> None:
    """Send commands with large replies and read none of them."""
    command = encode_command(b"PING", bytes(BODY_BYTES))
    while True:
        await connection.send(command)


async def silent(connection: Connection) -> None:
    """Send nothing."""
    await connection.wait_for_close()


def flood(requests: Callable[[Connection], bytes]) -> Callable[[Connection], Coroutine[None, None, None]]:
    """Return an attack that sends these requests at full speed and reads the replies."""

    async def attack(connection: Connection) -> None:
        reading = asyncio.ensure_future(connection.drain_replies())
        try:
            while not reading.done():
                await connection.send(requests(connection))
        finally:
            reading.cancel()

    return attack


_numbers = itertools.count()


def new_names(connection: Connection) -> bytes:
    """Return submissions under names that were never used."""
    return b"".join(
        submission(b"%s-%d" % (connection.unique, next(_numbers))) for _ in range(PIPELINED_COMMANDS)
    )


def unsound(_connection: Connection) -> bytes:
    """Return invalid submissions, and in between valid commands, so that the connection stays open."""
    invalid = submission(b"m", fields=b"c=none,d=x,dest=%d" % next(_numbers))
    return (invalid * 30 + b"PING\r\n") * 10


async def pipeline_and_close(connection: Connection) -> None:
    """Send many submissions and close the connection at once."""
    await connection.send(new_names(connection))
    raise ConnectionResetError


ATTACKS: dict[str, Callable[[Connection], Coroutine[None, None, None]]] = {
    "stall": stall,
    "drip": drip,
    "many-fields": many_fields,
    "many-arguments": many_arguments,
    "http-head": http_head,
    "unread-replies": unread_replies,
    "silent": silent,
    "pings": flood(lambda _: b"PING\r\n" * PIPELINED_COMMANDS),
    "unsound": flood(unsound),
    "new-names": flood(new_names),
    "empty-lines": flood(lambda _: b"\r\n" * PIPELINED_COMMANDS),
    "pipeline-and-close": pipeline_and_close,
}


async def attack_repeatedly(name: str, port: int, ends_at: float) -> None:
    """Play one connection of an attack, and open the connection again each time it was closed."""
    loop = asyncio.get_running_loop()
    while loop.time() < ends_at:
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.setblocking(False)
            async with asyncio.timeout_at(ends_at):
                await loop.sock_connect(sock, ("127.0.0.1", port))
                await ATTACKS[name](Connection(sock))
        await asyncio.sleep(RECONNECT_SECONDS)


async def play(name: str, port: int, count: int, seconds: float) -> None:
    """Play one attack."""
    ends_at = asyncio.get_running_loop().time() + seconds
    async with asyncio.TaskGroup() as group:
        for _ in range(count):
            group.create_task(attack_repeatedly(name, port, ends_at))


def main() -> None:
    """Play the attack that the command line names."""
    global FIELD_TEXT
    name, port, count, seconds, *fields = sys.argv[1:]
    FIELD_TEXT = fields[0] if fields else FIELD_TEXT
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(play(name, int(port), int(count), float(seconds)))


if __name__ == "__main__":
    main()
