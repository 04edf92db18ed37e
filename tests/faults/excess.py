"""Peers for tests of limits that send a dispatcher more than it can use."""

from __future__ import annotations

import asyncio
import contextlib

SHORT_FIELDS = b"".join(b"%x:\r\n" % number for number in range(4096))


class ExcessivePeer:
    """A peer that answers each request with a head and then the same bytes again and again, up to a limit."""

    def __init__(self, head: bytes, repeated: bytes, limit: int) -> None:
        self.head = head
        self.repeated = repeated
        self.limit = limit
        self.requests = 0
        self.port = 0

    async def start(self) -> ExcessivePeer:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            self.requests += 1
            writer.write(self.head)
            for _ in range(self.limit // len(self.repeated)):
                writer.write(self.repeated)
                await writer.drain()
            await reader.read()
        writer.close()
