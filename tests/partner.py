"""A stand-in for a pool member over plain HTTP: it reads requests whole and answers as it is set up."""

from __future__ import annotations

import asyncio
from typing import Self


class Partner:
    """A member that answers every call with `status`, once `go` is set, as it is from the start."""

    def __init__(self, status: int, holds: bool = False) -> None:
        self.status, self.calls, self.port, self.seen = status, 0, 0, list[bytes]()
        self.go = asyncio.Event()
        if not holds:
            self.go.set()

    async def start(self) -> Self:
        server = await asyncio.start_server(self._client, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        return self

    def took(self, body: bytes) -> None:
        """A whole call has come."""
        self.seen.append(body)

    async def _client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).lower()
                length = int(head.partition(b"content-length: ")[2].partition(b"\r\n")[0])
                body = await reader.readexactly(length)
                self.calls += 1
                self.took(body)
                await self.go.wait()
                writer.write(b"HTTP/1.1 %d Whatever\r\nContent-Length: 0\r\n\r\n" % self.status)
        except (OSError, asyncio.IncompleteReadError):
            writer.close()
