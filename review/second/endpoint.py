"""A stand-in of an endpoint: it reads whole calls and answers each as the case decides."""

from __future__ import annotations

import asyncio
import contextlib
import re
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from review.second.rig import HOST, Record


@dataclass
class Call:
    """One call with one message."""

    message: str
    key: str
    at: float


@dataclass
class Answer:
    """What an endpoint writes; no status means that it ends the connection without an answer."""

    status: int = 200
    headers: dict[str, str] = field(default_factory=dict)


Respond = Callable[[Call], Awaitable[Answer]]


class Endpoint:
    """One endpoint of a partner."""

    def __init__(self, record: Record, respond: Respond, name: str = "endpoint") -> None:
        self.record = record
        self.respond = respond
        self.name = name
        self.calls: list[Call] = []
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> Endpoint:
        """Listen; after `go_down`, on the same port as before."""
        self.server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def go_down(self) -> None:
        """Refuse connections, and reset those that are open, as the end of a process does."""
        assert self.server is not None
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                call = await self._read(reader)
                self.calls.append(call)
                self.record.add(self.name, "called with", call.message, "key", call.key)
                answer = await self.respond(call)
                self.record.add(self.name, "answers", call.message, answer.status, answer.headers or "")
                if not answer.status:
                    writer.transport.abort()
                    break
                self._write(writer, answer)
                await writer.drain()
                if answer.headers.get("Connection") == "close":
                    break
        self.writers.discard(writer)
        writer.close()

    async def _read(self, reader: asyncio.StreamReader) -> Call:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        names = ("content-length", "x-txn", "idempotency-key")
        found = [re.search(rf"^{name}: (\S+)", head, re.I | re.M) for name in names]
        length, message, key = (match[1] if match else "" for match in found)
        await reader.readexactly(int(length or 0))
        return Call(message, key, self.record.now())

    def _write(self, writer: asyncio.StreamWriter, answer: Answer) -> None:
        lines = [f"HTTP/1.1 {answer.status} X"]
        lines += [f"{name}: {value}" for name, value in answer.headers.items()]
        lines += ["Content-Length: 0", "", ""]
        writer.write("\r\n".join(lines).encode())
