"""A stand-in of the platform's agent: it lists endpoints, serves watches, and takes notices."""

from __future__ import annotations

import asyncio
import contextlib
import json
import re
import time
from collections.abc import Callable
from typing import Any

from review.second.rig import HOST, Record

HEARTBEAT_SECONDS = 2.0
MOVED_SECONDS = 1.5  # until an agent that has moved closes its connections
ZONE = "kumamoto-hq"


def member(
    number: int, destination: int, port: int, size: float, kind: str = "small-partner"
) -> dict[str, Any]:
    """Return one row of the list."""
    return {
        "id": f"s-{number:08x}",
        "host_port": f"{HOST}:{port}",
        "locality": ZONE,
        "flavor": kind,
        "cell": destination,
        "phase": "Ready",
        "size": size,
        "up_since_ms": 0,
    }


class Agent:
    """The agent on the dispatcher's machine."""

    def __init__(self, record: Record, members: list[dict[str, Any]], revision: int = 1) -> None:
        self.record = record
        self.members = members
        self.revision = revision
        self.changes: list[tuple[int, bytes]] = []  # by the revision that each one leads to
        self.watches: list[asyncio.StreamWriter] = []
        self.indent: int | None = None  # lists may come indented
        self.told_at: dict[int, float] = {}  # when a watch or a list with a revision was written
        self.notices: dict[str, tuple[float, dict[str, Any]]] = {}
        self.on_notice: Callable[[dict[str, Any]], None] = lambda _: None
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> Agent:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def move_away(self) -> None:
        """Accept no new connection, and close those that are open after 1.5 s."""
        assert self.server is not None
        self.server.close()
        asyncio.get_running_loop().call_later(MOVED_SECONDS, self._close_connections)

    def _close_connections(self) -> None:
        for writer in list(self.writers):
            writer.close()

    def listed(self) -> dict[str, Any]:
        """Return the complete list."""
        return {"revision": self.revision, "complete": True, "members": self.members}

    @staticmethod
    def unix_ms() -> int:
        """Return the time that every machine reads, in milliseconds."""
        return time.time_ns() // 1_000_000

    def change(self, row: dict[str, Any]) -> None:
        """Replace the row with the same id, or add it, and tell each open watch."""
        others = [other for other in self.members if other["id"] != row["id"]]
        self.members = others if row["phase"] == "Gone" else [*others, row]
        self.revision += 1
        fields = {"revision": self.revision, "complete": False, "members": [row]}
        text = json.dumps(fields, indent=self.indent).encode() + b"\n"
        self.changes.append((self.revision, text))
        self.record.add("discovery has", row["id"], row["phase"], "of destination", row["cell"])
        for writer in self.watches:
            if not writer.is_closing():
                self._write_chunk(writer, text)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = re.search(rb"content-length: (\d+)", head, re.I)
                body = await reader.readexactly(int(length[1])) if length else b""
                if head.startswith(b"POST"):
                    self._take_notices(body)
                    writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                elif b"stream=1" in head:
                    await self._watch(writer, head)
                else:
                    self._told("the list")
                    text = json.dumps(self.listed(), indent=self.indent).encode()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text))
        self.writers.discard(writer)
        writer.close()

    def _take_notices(self, body: bytes) -> None:
        for line in body.splitlines():
            notice = json.loads(line)
            self.record.add("notice", line.decode())
            if notice["id"] not in self.notices:
                self.notices[notice["id"]] = self.record.now(), notice
                self.on_notice(notice)

    def _told(self, what: str) -> None:
        self.told_at.setdefault(self.revision, self.record.now())
        self.record.add("agent", self.port, "writes", what, "of revision", self.revision)

    def _write_chunk(self, writer: asyncio.StreamWriter, text: bytes) -> None:
        writer.write(b"%x\r\n%s\r\n" % (len(text), text))

    async def _watch(self, writer: asyncio.StreamWriter, head: bytes) -> None:
        """Send what changed after the version that the dispatcher has, or the whole list; then changes."""
        match = re.search(rb"index=(\d+)", head)
        index = int(match[1]) if match else 0
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        if index != self.revision:
            later = [text for revision, text in self.changes if revision > index]
            known = len(later) == self.revision - index
            whole = [json.dumps(self.listed(), indent=self.indent).encode() + b"\n"]
            for text in later if known else whole:
                self._write_chunk(writer, text)
        self._told("a watch")
        self.watches.append(writer)
        while not writer.is_closing():
            await writer.drain()
            await asyncio.sleep(HEARTBEAT_SECONDS)
            self._write_chunk(writer, b"\n")
