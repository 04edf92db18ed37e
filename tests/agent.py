"""A test double of the platform's agent: it lists endpoints, serves watches, and receives notices."""

from __future__ import annotations

import asyncio
import json
import re
from collections.abc import Callable
from typing import Any


class Agent:
    """An agent that answers at once. `notices` holds notices by message id; each must arrive only once."""

    def __init__(self, members: list[dict[str, Any]]) -> None:
        self.members = members
        self.notices: dict[str, dict[str, Any]] = {}
        self.port = 0
        self.revision = 1
        self.server: asyncio.Server
        self.connections: set[asyncio.StreamWriter] = set()
        self.watches: list[asyncio.StreamWriter] = []
        self.on_watch: Callable[[], None] = lambda: None  # called when a watch is opened
        self.duplicate_notices: list[str] = []
        self.on_notice: Callable[[], None] = lambda: None  # called after each notice
        # Return the additional fields of every list, change and heartbeat.
        self.extra_fields: Callable[[], dict[str, Any]] = dict
        self.heartbeat_seconds = 2.0
        self.indent: int | None = None  # of lists and changes; None for one line each
        self.list_requests = 0  # for the complete list

    async def start(self) -> Agent:
        """Listen; after `go_down`, at the same address as before."""
        self.server = await asyncio.start_server(self._client, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def go_down(self) -> None:
        """Reject connections, and abort those that are open."""
        self.server.close()
        for writer in self.connections:
            writer.transport.abort()

    def complete_list(self) -> bytes:
        fields = {"revision": self.revision, "complete": True, "members": self.members}
        return self._encode(fields)

    def _encode(self, fields: dict[str, Any]) -> bytes:
        return json.dumps({**fields, **self.extra_fields()}, indent=self.indent).encode() + b"\n"

    def change(self, *members: dict[str, Any]) -> None:
        """Send a change to every watch."""
        self.revision += 1
        chunk = self._chunk(members)
        for writer in self.watches:
            if not writer.is_closing():
                writer.write(chunk)

    def _chunk(self, members: tuple[dict[str, Any], ...]) -> bytes:
        fields = {"revision": self.revision, "complete": False, "members": members}
        line = self._encode(fields)
        return b"%x\r\n%s\r\n" % (len(line), line)

    async def _client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = re.search(rb"Content-Length: (\d+)", head)
                body = await reader.readexactly(int(length[1])) if length else b""
                if head.startswith(b"POST"):
                    self._receive_notices(body)
                    writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                elif b"stream=1" in head:
                    await self._serve_watch(writer)
                else:
                    self.list_requests += 1
                    listed = self.complete_list()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(listed), listed))
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # CancelledError is raised when the event loop ends.
            writer.close()
        finally:
            self.connections.discard(writer)

    def _receive_notices(self, body: bytes) -> None:
        for line in body.splitlines():
            notice = json.loads(line)
            if notice["id"] in self.notices:
                self.duplicate_notices.append(notice["id"])
            self.notices[notice["id"]] = notice
            self.on_notice()

    async def _serve_watch(self, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.watches.append(writer)
        self.on_watch()
        while not writer.is_closing():
            writer.write(self._chunk(()) if self.extra_fields() else b"1\r\n\n\r\n")
            await writer.drain()
            await asyncio.sleep(self.heartbeat_seconds)
