"""A stand-in for the platform's agent: it lists members, keeps a watch open, and takes notices."""

from __future__ import annotations

import asyncio
import json
import re
from collections.abc import Callable
from typing import Any


class Agent:
    """It answers at once; `notices` are kept by the message's id, and a second one for an id is an error."""

    def __init__(self, members: list[dict[str, Any]]) -> None:
        self.members, self.notices, self.port, self.revision = members, dict[str, dict[str, Any]](), 0, 1
        self.server: asyncio.Server
        self.open: set[asyncio.StreamWriter] = set()
        self.watches: list[asyncio.StreamWriter] = []
        self.watched: Callable[[], None] = lambda: None  # called when a watch is opened
        self.doubled: list[str] = []
        self.told: Callable[[], None] = lambda: None  # called after each notice
        self.stamp: Callable[[], dict[str, Any]] = dict  # what every list, change and heartbeat says besides
        self.beat = 2.0  # seconds between heartbeats

    async def start(self) -> Agent:
        """Listen, at the same address again after `go_down`."""
        self.server = await asyncio.start_server(self._client, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def go_down(self) -> None:
        """Refuse connections, and end those that are open."""
        self.server.close()
        for writer in self.open:
            writer.transport.abort()

    def list(self) -> bytes:
        told = {"revision": self.revision, "complete": True, "members": self.members, **self.stamp()}
        return json.dumps(told).encode() + b"\n"

    def change(self, *members: dict[str, Any]) -> None:
        """Tell every watch of a change."""
        self.revision += 1
        chunk = self._chunk(members)
        for writer in self.watches:
            if not writer.is_closing():
                writer.write(chunk)

    def _chunk(self, members: tuple[dict[str, Any], ...]) -> bytes:
        told = {"revision": self.revision, "complete": False, "members": members, **self.stamp()}
        line = json.dumps(told).encode() + b"\n"
        return b"%x\r\n%s\r\n" % (len(line), line)

    async def _client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = re.search(rb"Content-Length: (\d+)", head)
                body = await reader.readexactly(int(length[1])) if length else b""
                if head.startswith(b"POST"):
                    for line in body.splitlines():
                        told = json.loads(line)
                        if told["id"] in self.notices:
                            self.doubled.append(told["id"])
                        self.notices[told["id"]] = told
                        self.told()
                    writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                elif b"stream=1" in head:
                    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                    self.watches.append(writer)
                    self.watched()
                    while not writer.is_closing():
                        writer.write(self._chunk(()) if self.stamp() else b"1\r\n\n\r\n")
                        await writer.drain()
                        await asyncio.sleep(self.beat)
                else:
                    told = self.list()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(told), told))
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):  # the last: the loop ends
            writer.close()
        finally:
            self.open.discard(writer)
