"""A test endpoint over unencrypted HTTP, which reads complete requests and answers each as configured."""

from __future__ import annotations

import asyncio
from typing import Self


class Partner:
    """An endpoint that answers every call with `status` once the event `released` is set.

    With `holds_replies` the event is initially not set, so that calls stay without an answer.
    """

    def __init__(self, status: int, holds_replies: bool = False) -> None:
        self.status = status
        self.calls = 0
        self.port = 0
        self.bodies: list[bytes] = []
        self.released = asyncio.Event()
        if not holds_replies:
            self.released.set()

    async def start(self) -> Self:
        server = await asyncio.start_server(self._client, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        return self

    def on_call(self, body: bytes) -> None:
        """Record the body of a call that was received completely."""
        self.bodies.append(body)

    async def _client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).lower()
                length = int(head.partition(b"content-length: ")[2].partition(b"\r\n")[0])
                body = await reader.readexactly(length)
                self.calls += 1
                self.on_call(body)
                await self.released.wait()
                writer.write(b"HTTP/1.1 %d Whatever\r\nContent-Length: 0\r\n\r\n" % self.status)
        except (OSError, asyncio.IncompleteReadError):
            writer.close()
