"""Stand-ins for discovery's agent and for an endpoint, which run in the thread that they are given."""

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
    """Return the Content-Length of a request head."""
    return int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])


class LoopThread:
    """An event loop that runs in a daemon thread."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def run(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine in the thread and return its result.

        Raise TimeoutError if it takes over `RESULT_TIMEOUT_SECONDS`.
        """
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(RESULT_TIMEOUT_SECONDS)


class Agent:
    """Discovery's agent: it sends the list, keeps watches open, and confirms notices."""

    def __init__(self, thread: LoopThread, endpoints: list[dict[str, Any]], revision: int = 1) -> None:
        self.thread = thread
        self.endpoints = endpoints
        self.revision = revision
        self.watches: list[asyncio.StreamWriter] = []
        self.notices = 0
        self.watch_opened = threading.Event()
        self.port: int = thread.run(self._start())

    async def _start(self) -> int:
        server = await asyncio.start_server(self._client, "127.0.0.1", 0)
        return int(server.sockets[0].getsockname()[1])

    def complete_list(self) -> bytes:
        """Return the body of the complete list."""
        content = {"revision": self.revision, "complete": True, "members": self.endpoints}
        return json.dumps(content, separators=(",", ":")).encode()

    def change(self, *endpoints: dict[str, Any]) -> int:
        """Send a change on every watch. Return the number of bytes sent on each watch."""
        return int(self.thread.run(self._change(endpoints)))

    async def _change(self, endpoints: tuple[dict[str, Any], ...]) -> int:
        self.revision += 1
        content = {"revision": self.revision, "complete": False, "members": endpoints}
        line = json.dumps(content, separators=(",", ":")).encode() + b"\n"
        chunk = b"%x\r\n%s\r\n" % (len(line), line)
        for writer in self.watches:
            writer.write(chunk)
        return len(chunk)

    async def _client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                await self._reply(await reader.readuntil(HEAD_END), reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            writer.close()

    async def _reply(self, head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if head.startswith(b"POST"):
            length = content_length(head)
            self.notices += (await reader.readexactly(length)).count(b"\n")
            writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
        elif b"stream=1" in head:
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.watches.append(writer)
            self.watch_opened.set()
            while True:
                writer.write(HEARTBEAT)
                await writer.drain()
                await asyncio.sleep(HEARTBEAT_SECONDS)
        else:
            body = self.complete_list()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))


class Endpoint:
    """An endpoint that sends `response` to every call, runs `on_call`, and counts the calls in `messages`."""

    def __init__(
        self, thread: LoopThread, response: bytes = OK, on_call: Callable[[], None] = lambda: None
    ) -> None:
        self.thread = thread
        self.response = response
        self.on_call = on_call
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
                self.on_call()
                writer.write(self.response)
        except (OSError, asyncio.IncompleteReadError):
            writer.close()
