"""A TCP proxy on loopback that copies responses and cuts connections between a dispatcher and its peers."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Callable

READ_BYTES = 1 << 16


class CopyingProxy:
    """Forwards connections to `target`, and writes each response a second time.

    Each chunk that the target writes is one response. The copy follows after the number of seconds that
    `copy_delay` returns, or never if it returns None. With `copy_on_request`, the copy follows right after
    the next request of the connection was forwarded instead. A connection is reset after a request, or in the
    middle of a response, whenever `cuts` returns true.
    """

    def __init__(
        self,
        target: int,
        copy_delay: Callable[[], float | None] = lambda: None,
        copy_on_request: bool = False,
        cuts: Callable[[], bool] = lambda: False,
    ) -> None:
        self.target = target
        self.copy_delay = copy_delay
        self.copy_on_request = copy_on_request
        self.cuts = cuts
        self.cut_times: list[float] = []  # seconds of the monotonic clock
        self.port = 0
        self.copies = 0
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> CopyingProxy:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.transport.abort()
            return
        last_response = [b""]
        to_target = asyncio.create_task(
            self._forward_requests(reader, upstream_writer, writer, last_response)
        )
        to_client = asyncio.create_task(self._forward_responses(upstream_reader, writer, last_response))
        try:
            await asyncio.wait({to_target, to_client}, return_when=asyncio.FIRST_COMPLETED)
        except asyncio.CancelledError:
            pass  # the event loop ends
        finally:
            to_target.cancel()
            to_client.cancel()
            upstream_writer.close()
            writer.close()

    async def _forward_requests(
        self,
        reader: asyncio.StreamReader,
        upstream: asyncio.StreamWriter,
        client: asyncio.StreamWriter,
        last_response: list[bytes],
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                upstream.write(data)
                if self.cuts():
                    self._cut(client)
                    return
                if self.copy_on_request and last_response[0]:
                    self._write_copy(client, last_response[0])
                    last_response[0] = b""

    async def _forward_responses(
        self, reader: asyncio.StreamReader, client: asyncio.StreamWriter, last_response: list[bytes]
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                if self.cuts():
                    client.write(data[: len(data) // 2])
                    self._cut(client)
                    return
                client.write(data)
                last_response[0] = data
                if (delay := self.copy_delay()) is not None:
                    task = asyncio.create_task(self._write_later(client, data, delay))
                    self.tasks.add(task)
                    task.add_done_callback(self.tasks.discard)

    def _cut(self, client: asyncio.StreamWriter) -> None:
        self.cut_times.append(time.monotonic())
        client.transport.abort()

    async def _write_later(self, client: asyncio.StreamWriter, data: bytes, delay: float) -> None:
        await asyncio.sleep(delay)
        self._write_copy(client, data)

    def _write_copy(self, client: asyncio.StreamWriter, data: bytes) -> None:
        if not client.is_closing():
            self.copies += 1
            client.write(data)
