"""Clients of a dispatcher that record what became of each message that they submitted."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field

REPLY_TIMEOUT_SECONDS = 0.4  # a client waits this long for a reply
RECONNECT_SECONDS = 0.05


@dataclass(slots=True)
class Submission:
    """A message that a client submitted. Times are seconds of the monotonic clock."""

    message: str
    class_name: str
    destination: int
    deadline: float
    accepted_at: float = 0.0
    reply: bytes = b""
    closed_unanswered: float = 0.0  # the connection ended after the request was written, and before a reply

    @property
    def accepted(self) -> bool:
        return self.accepted_at > 0


def encode_submission(submission: Submission, time_left_ms: int) -> bytes:
    key = f",k=k-{submission.message}" if submission.class_name == "token" else ""
    fields = f"c={submission.class_name},t=studio,d={time_left_ms}{key},dest={submission.destination}"
    arguments = [b"ENQUEUE", b"0", submission.message.encode(), fields.encode(), b"body"]
    return b"*5\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(value), value) for value in arguments)


@dataclass(slots=True)
class Client:
    """A client that keeps its connection, and submits the next message after the reply to the last one."""

    port: int
    next_submission: Callable[[], Submission]
    pause: Callable[[], float]
    submissions: list[Submission] = field(default_factory=list)
    stopped: bool = False

    async def run(self) -> None:
        """Submit messages until `stopped`."""
        while not self.stopped:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            except OSError:
                await asyncio.sleep(RECONNECT_SECONDS)
                continue
            try:
                await self._use(reader, writer)
            finally:
                writer.close()
            await asyncio.sleep(RECONNECT_SECONDS)

    async def _use(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        answered = False
        while not self.stopped:
            submission = self.next_submission()
            self.submissions.append(submission)
            time_left_ms = int((submission.deadline - time.monotonic()) * 1000)
            request = encode_submission(submission, time_left_ms)
            reply = await self._request(reader, writer, request)
            if reply == b"" and answered:  # the request crossed the end of an idle connection
                reply = await self._request_again(request)
            if reply is None:
                return  # no reply in time: whatever the dispatcher does under this id counts for nothing
            if not reply:
                submission.closed_unanswered = time.monotonic()
                return
            submission.reply = reply
            submission.accepted_at = time.monotonic() if reply[:1] == b"+" else 0.0
            answered = True
            await asyncio.sleep(self.pause())

    async def _request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, request: bytes
    ) -> bytes | None:
        """Return the reply, no bytes if the connection ended, or None if the reply is late."""
        try:
            writer.write(request)
            async with asyncio.timeout(REPLY_TIMEOUT_SECONDS):
                line = await reader.readline()
        except TimeoutError:
            return None
        except (OSError, RuntimeError):  # uvloop raises RuntimeError for a write to a closed connection
            return b""
        return line if line.endswith(b"\r\n") else b""

    async def _request_again(self, request: bytes) -> bytes | None:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            return None  # the dispatcher does not listen any more
        try:
            return await self._request(reader, writer, request)
        finally:
            writer.close()
