"""Stand-ins for measurements, each in its own thread: an agent of discovery, and an endpoint."""

from __future__ import annotations

import asyncio
import json
import threading
from collections.abc import Callable, Coroutine
from typing import Any

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
HEARTBEAT = b"1\r\n\n\r\n"
HEARTBEAT_SECONDS = 2.0
RESULT_TIMEOUT_SECONDS = 60
HEAD_END = b"\r\n\r\n"


def content_length(head: bytes) -> int:
    """The Content-Length of a request."""
    return int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])


class LoopThread:
    """An event loop in a daemon thread."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def run(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine in the thread, and wait for its result. Raises TimeoutError."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(RESULT_TIMEOUT_SECONDS)


class Agent:
    """Discovery's agent: a list, watches that stay open, and notices that are confirmed."""

    def __init__(self, thread: LoopThread, members: list[dict[str, Any]], revision: int = 1) -> None:
        self.thread = thread
        self.members = members
        self.revision = revision
        self.watches: list[asyncio.StreamWriter] = []
        self.notices = 0
        self.watched = threading.Event()
        self.port: int = thread.run(self._start())

    async def _start(self) -> int:
        server = await asyncio.start_server(self._client, "127.0.0.1", 0)
        return int(server.sockets[0].getsockname()[1])

    def complete_list(self) -> bytes:
        """The complete list as it is sent."""
        content = {"revision": self.revision, "complete": True, "members": self.members}
        return json.dumps(content, separators=(",", ":")).encode()

    def change(self, *members: dict[str, Any]) -> int:
        """Send a change on every watch; returns the number of bytes that each was sent."""
        return int(self.thread.run(self._change(members)))

    async def _change(self, members: tuple[dict[str, Any], ...]) -> int:
        self.revision += 1
        content = {"revision": self.revision, "complete": False, "members": members}
        line = json.dumps(content, separators=(",", ":")).encode() + b"\n"
        chunk = b"%x\r\n%s\r\n" % (len(line), line)
        for writer in self.watches:
            writer.write(chunk)
        return len(chunk)

    async def _client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                await self._answer(await reader.readuntil(HEAD_END), reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            writer.close()

    async def _answer(self, head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if head.startswith(b"POST"):
            length = content_length(head)
            self.notices += (await reader.readexactly(length)).count(b"\n")
            writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
        elif b"stream=1" in head:
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.watches.append(writer)
            self.watched.set()
            while True:
                writer.write(HEARTBEAT)
                await writer.drain()
                await asyncio.sleep(HEARTBEAT_SECONDS)
        else:
            body = self.complete_list()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))


class Endpoint:
    """Sends `answer` to every call, calls `called` for each, and counts them in `messages`."""

    def __init__(
        self, thread: LoopThread, answer: bytes = OK, called: Callable[[], None] = lambda: None
    ) -> None:
        self.thread = thread
        self.answer = answer
        self.called = called
        self.messages = 0
        self.port: int = thread.run(self._start())

    async def _start(self) -> int:
        server = await asyncio.start_server(self._client, "127.0.0.1", 0)
        return int(server.sockets[0].getsockname()[1])

    async def _client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(HEAD_END)
                await reader.readexactly(content_length(head))
                self.messages += 1
                self.called()
                writer.write(self.answer)
        except (OSError, asyncio.IncompleteReadError):
            writer.close()
