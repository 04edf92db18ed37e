"""An endpoint over HTTP: records each call at its last byte and answers as `respond` says."""

from __future__ import annotations

import asyncio
import contextlib
import re
from collections.abc import Callable
from dataclasses import dataclass

from .record import RecordFile


@dataclass
class Call:
    at: float  # of the call's last byte
    message: str
    key: str
    endpoint: str
    body: bytes


@dataclass
class Answer:
    status: int = 200
    headers: str = ""
    delay: float = 0.0
    reset: bool = False  # end the connection with a reset and no answer


class Endpoint:
    def __init__(self, name: str, record: RecordFile, respond: Callable[[Call], Answer]) -> None:
        self.name, self.record, self.respond = name, record, respond
        self.calls: list[Call] = []
        self.port = 0

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                fields = {
                    name.lower(): value for name, value in re.findall(r"(?m)^([\w-]+): *(.*?)\r$", head)
                }
                body = await reader.readexactly(int(fields.get("content-length", "0")))
                call = Call(
                    self.record.now(),
                    fields.get("x-txn", "?"),
                    fields.get("idempotency-key", ""),
                    self.name,
                    body,
                )
                self.calls.append(call)
                answer = self.respond(call)
                self.record.write(
                    f"endpoint {self.name}: call id={call.message} key={call.key} -> "
                    + ("reset" if answer.reset else f"{answer.status} {answer.headers.strip()}")
                )
                await asyncio.sleep(answer.delay)
                if answer.reset:
                    writer.transport.abort()
                    return
                writer.write(
                    f"HTTP/1.1 {answer.status} X\r\n{answer.headers}Content-Length: 0\r\n\r\n".encode()
                )
                await writer.drain()
        writer.close()
