"""The platform's agent: lists, watches with an empty line every 2 s, and notices, answered at once."""

from __future__ import annotations

import asyncio
import contextlib
import json
import re
from typing import Any

from .record import RecordFile


class Agent:
    def __init__(self, record: RecordFile) -> None:
        self.record = record
        self.members: list[dict[str, Any]] = []
        self.notices: list[tuple[float, dict[str, Any]]] = []  # the time of arrival, and the notice
        self.port = 0

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def add(
        self, name: str, port: int, destination: int, flavor: str = "small-partner", size: float = 20.0
    ) -> None:
        self.members.append(
            {
                "id": name,
                "host_port": f"127.0.0.1:{port}",
                "locality": "hq",
                "flavor": flavor,
                "cell": destination,
                "phase": "Ready",
                "size": size,
                "up_since_ms": 0,
            }
        )

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = re.search(rb"(?i)content-length: *(\d+)", head)
                body = await reader.readexactly(int(length[1])) if length else b""
                if head.startswith(b"POST"):
                    for line in body.splitlines():
                        notice = json.loads(line)
                        self.notices.append((self.record.now(), notice))
                        self.record.write(f"agent: notice {line.decode()}")
                    writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                    continue
                line = json.dumps({"revision": 1, "complete": True, "members": self.members}).encode() + b"\n"
                if b"stream=1" not in head:
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(line), line))
                    continue
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                writer.write(b"%x\r\n%s\r\n" % (len(line), line))
                while True:
                    await writer.drain()
                    await asyncio.sleep(2)
                    writer.write(b"1\r\n\n\r\n")
        writer.close()
