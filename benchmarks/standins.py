"""Stand-ins for measurements, each in a thread of its own: an agent of discovery, and an endpoint."""

from __future__ import annotations

import asyncio
import json
import threading
from collections.abc import Callable, Coroutine
from typing import Any

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
HEARTBEAT = b"1\r\n\n\r\n"
HEARTBEAT_SECONDS = 2.0


class LoopThread:
    """An event loop in a thread; what is started in it ends with the program."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def run(self, work: Coroutine[Any, Any, Any]) -> Any:
        """Run something there, and wait for its result."""
        return asyncio.run_coroutine_threadsafe(work, self.loop).result(60)


class Agent:
    """Discovery's agent: a list, watches that stay open, and notices that are confirmed."""

    def __init__(self, thread: LoopThread, members: list[dict[str, Any]], revision: int = 1) -> None:
        self.thread, self.members, self.revision = thread, members, revision
        self.watches: list[asyncio.StreamWriter] = []
        self.notices = 0
        self.watched = threading.Event()
        self.port: int = thread.run(self._start())

    async def _start(self) -> int:
        server = await asyncio.start_server(self._client, "127.0.0.1", 0)
        return int(server.sockets[0].getsockname()[1])

    def whole_list(self) -> bytes:
        """The list as it is sent."""
        told = {"revision": self.revision, "complete": True, "members": self.members}
        return json.dumps(told, separators=(",", ":")).encode()

    def change(self, *members: dict[str, Any]) -> int:
        """Tell every watch of a change; the bytes that each was sent."""
        return int(self.thread.run(self._change(members)))

    async def _change(self, members: tuple[dict[str, Any], ...]) -> int:
        self.revision += 1
        told = {"revision": self.revision, "complete": False, "members": members}
        line = json.dumps(told, separators=(",", ":")).encode() + b"\n"
        chunk = b"%x\r\n%s\r\n" % (len(line), line)
        for writer in self.watches:
            writer.write(chunk)
        return len(chunk)

    async def _client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                await self._answer(await reader.readuntil(b"\r\n\r\n"), reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            writer.close()

    async def _answer(self, head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if head.startswith(b"POST"):
            length = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
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
            told = self.whole_list()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(told), told))


class Endpoint:
    """It delivers every call, or answers it with a wait; it counts messages, batches by their lines."""

    def __init__(self, thread: LoopThread, answer: bytes = OK, called: Callable[[], None] = lambda: None):
        self.thread, self.answer, self.called, self.messages = thread, answer, called, 0
        self.port: int = thread.run(self._start())

    async def _start(self) -> int:
        server = await asyncio.start_server(self._client, "127.0.0.1", 0)
        return int(server.sockets[0].getsockname()[1])

    async def _client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
                await reader.readexactly(length)
                self.messages += 1
                self.called()
                writer.write(self.answer)
        except (OSError, asyncio.IncompleteReadError):
            writer.close()
