"""An endpoint on loopback that records every attempt it receives, and answers as a test decides."""

from __future__ import annotations

import asyncio
import contextlib
import re
import time
from collections.abc import Callable
from dataclasses import dataclass
from itertools import pairwise
from math import inf

# An attempt that begins this long before the end of an earlier one was sent after that end was known: the end
# of a connection and the next request may arrive in either order.
OVERLAP_TOLERANCE_SECONDS = 0.05
CONTENT_LENGTH = re.compile(r"content-length: (\d+)", re.I)
MESSAGE_ID = re.compile(r"x-txn: (\S+)", re.I)


@dataclass(slots=True)
class Attempt:
    """One attempt of one message. Times are seconds of the monotonic clock."""

    message: str
    started_at: float
    ended_at: float = inf  # the response was written, or the connection ended
    executed: bool = False
    confirmed: bool = False  # a response that reports the message as delivered was written
    retry_after: float = 0.0  # seconds that the response asked the dispatcher to wait


@dataclass(frozen=True, slots=True)
class Reply:
    """How an endpoint answers a call: after `delay` seconds with an HTTP status, or never if it is 0.

    With status 200, `batch_statuses` gives the words of a batch by message; the default is `accepted`.
    """

    status: int = 200
    delay: float = 0.0
    retry_after: float = 0.0
    batch_statuses: dict[str, str] | None = None


class RecordingEndpoint:
    """An endpoint that answers each call with the reply that `respond` returns for the call's messages."""

    def __init__(self, respond: Callable[[list[str]], Reply], on_change: Callable[[], None]) -> None:
        """`on_change` is called when an attempt is received and when it has been answered."""
        self.respond = respond
        self.on_change = on_change
        self.attempts: dict[str, list[Attempt]] = {}
        self.port = 0
        self.malformed: list[bytes] = []
        self.server: asyncio.Server

    async def start(self) -> RecordingEndpoint:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def executions(self, message: str) -> int:
        return sum(attempt.executed for attempt in self.attempts.get(message, []))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        requests: asyncio.Queue[tuple[str, bytes] | None] = asyncio.Queue()
        reading = asyncio.create_task(self._read_requests(reader, requests))
        try:
            while (request := await requests.get()) is not None:
                open_attempts = self._record(*request)
                answer = asyncio.create_task(self._answer(writer, request, open_attempts))
                await asyncio.wait({answer, reading}, return_when=asyncio.FIRST_COMPLETED)
                if not answer.done():
                    self._end_unanswered(answer, open_attempts)
                    return
        finally:
            reading.cancel()
            writer.close()

    def _end_unanswered(self, answer: asyncio.Task[None], attempts: list[Attempt]) -> None:
        """Record the end of a call whose connection ended; its messages are executed all the same."""
        answer.cancel()
        for attempt in attempts:
            attempt.ended_at = time.monotonic()
            attempt.executed = True

    async def _read_requests(
        self, reader: asyncio.StreamReader, requests: asyncio.Queue[tuple[str, bytes] | None]
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                length = CONTENT_LENGTH.search(head)
                requests.put_nowait((head, await reader.readexactly(int(length[1]) if length else 0)))
        requests.put_nowait(None)

    def _record(self, head: str, body: bytes) -> list[Attempt]:
        attempts = [Attempt(message, time.monotonic()) for message in self._messages(head, body)]
        for attempt in attempts:
            self.attempts.setdefault(attempt.message, []).append(attempt)
        self.on_change()
        return attempts

    def _messages(self, head: str, body: bytes) -> list[str]:
        if head.startswith("POST /v1/messages HTTP") and (match := MESSAGE_ID.search(head)):
            return [match[1]]
        messages = []
        while head.startswith("POST /v1/messages:batch HTTP") and body:
            line, _, rest = body.partition(b"\r\n")
            message, _, length = line.decode().split(" ")
            messages.append(message)
            body = rest[int(length) + 2 :]
        if not messages:
            self.malformed.append(head.encode())
        return messages

    async def _answer(
        self, writer: asyncio.StreamWriter, request: tuple[str, bytes], attempts: list[Attempt]
    ) -> None:
        messages = [attempt.message for attempt in attempts]
        reply = self.respond(messages)
        await asyncio.sleep(reply.delay)
        words = dict.fromkeys(messages, "accepted") | (reply.batch_statuses or {})
        is_batch = ":batch" in request[0].partition("\r\n")[0]
        for attempt in attempts:
            accepted = reply.status == 200 and words[attempt.message] == "accepted"
            attempt.executed = accepted or reply.status in (0, 500) or words[attempt.message] == "fault"
        if not reply.status:
            await asyncio.Event().wait()
        body = "".join(f"{message} {word}\r\n" for message, word in words.items()) if is_batch else ""
        body = body if reply.status == 200 else ""
        retry_after = f"Retry-After: {reply.retry_after}\r\n" if reply.retry_after else ""
        writer.write(
            f"HTTP/1.1 {reply.status} X\r\n{retry_after}Content-Length: {len(body)}\r\n\r\n{body}".encode()
        )
        for attempt in attempts:
            attempt.ended_at = min(attempt.ended_at, time.monotonic())
            attempt.retry_after = reply.retry_after
            attempt.confirmed = reply.status == 200 and words[attempt.message] == "accepted"
        self.on_change()


def overlapping_attempts(endpoints: list[RecordingEndpoint]) -> dict[str, list[Attempt]]:
    """Return the messages that had two attempts in flight at the same time, with their attempts."""
    overlapping = {}
    for message in {message for endpoint in endpoints for message in endpoint.attempts}:
        attempts = [attempt for endpoint in endpoints for attempt in endpoint.attempts.get(message, [])]
        attempts.sort(key=lambda attempt: attempt.started_at)
        if any(
            first.ended_at > second.started_at + OVERLAP_TOLERANCE_SECONDS
            for first, second in pairwise(attempts)
        ):
            overlapping[message] = attempts
    return overlapping
