"""A partner that goes out, returns with a part of its capacity, and counts the calls that it gets then.

The rule on returning destinations gives the count: every call and probe that arrives, also one that is turned
away, from whichever dispatcher. Times are seconds of the wall clock, as in the logs of the programs.
"""

from __future__ import annotations

import asyncio
import contextlib
import re
import socket
import time
from bisect import bisect_left
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import Enum
from math import inf, sqrt
from random import Random

CONTENT_LENGTH = re.compile(r"content-length: (\d+)", re.I)
MESSAGE_ID = re.compile(r"x-txn: (\S+)", re.I)
FALL_MULTIPLE = 1.5  # of the present capacity
FALL_SECONDS = 3.0
COLD_SHARE = 0.31  # of the capacity, at the return
COLD_SECONDS = 14.0  # from the return to the full capacity
SMALL_BUDGET = 30  # calls; a smaller budget has more slack for chance
AWARE_SHARE = 2 / 3  # of the calls of a fall; above it the rule is broken
FURTHER_MESSAGE_WEIGHT = 0.2  # of each further message in a call
SERVICE_SECONDS = 0.06
BURST_SECONDS = 0.35  # time of calls at the limit that may arrive together
MOST_FAIL = 0.85  # probability that a call fails while most calls fail
WAIT_TOLD = 0.7  # probability that a refusal tells how long to wait
LIMIT_WAIT_SECONDS = 0.5
QUEUED_CONNECTIONS = 4  # more than a listener with the shortest queue takes


class OutageKind(Enum):
    """How a partner that is out treats connections and calls."""

    REFUSES_CONNECTIONS = "refuses-connections"
    SHUT = "shut"  # 503
    SHUT_TELLS_WAIT = "shut-tells-wait"  # 429 with the time until its return, or without a wait
    SHUT_CLOSES = "shut-closes"  # 503 with Connection: close
    HANGS = "hangs"  # reads calls and does not answer
    SILENT = "silent"  # as a machine that is cut off: open connections are silent, new ones never come up
    RESETS = "resets"  # ends the connection after the call
    FAILS = "fails"  # 500
    FAILS_MOSTLY = "fails-mostly"


@dataclass(frozen=True, slots=True)
class Arrival:
    """A call that a partner received after its return."""

    at: float
    dispatcher: str
    weight: float


@dataclass(slots=True)
class RecoveringPartner:
    """One partner; `capacity` is in calls per second, `dispatcher_of` returns the sender of a message."""

    name: str
    kind: OutageKind
    capacity: float
    rng: Random
    dispatcher_of: Callable[[str], str]
    out_from: float = inf
    out_until: float = inf
    port: int = 0
    aware: set[str] = field(default_factory=set)  # dispatchers with a failed call in the outage
    arrivals: list[Arrival] = field(default_factory=list)
    delivered_at: dict[str, float] = field(default_factory=dict)
    calls_in_outage: int = 0
    connections: int = 0
    tokens: float = 0.0
    tokens_at: float = 0.0
    server: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self) -> RecoveringPartner:
        """Listen; after a pause at the same address as before."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def is_out(self, at: float) -> bool:
        return self.out_from <= at < self.out_until

    async def run_outage(self) -> None:
        """Stop accepting connections for the outage if its kind says so."""
        if self.kind not in (OutageKind.REFUSES_CONNECTIONS, OutageKind.SILENT):
            return
        await asyncio.sleep(max(0.0, self.out_from - time.time()))
        assert self.server is not None
        self.server.close()
        with contextlib.ExitStack() as stack:
            if self.kind is OutageKind.SILENT:
                stack.enter_context(unanswered_port(self.port))
            else:
                for writer in self.writers:
                    writer.transport.abort()
            await asyncio.sleep(max(0.0, self.out_until - time.time()))
        await self.start()

    def share(self, at: float) -> float:
        """Return the share of its capacity that the partner has at `at`."""
        if at < self.out_from or self.out_until == inf:
            return 1.0
        return min(1.0, COLD_SHARE + (1 - COLD_SHARE) * (at - self.out_until) / COLD_SECONDS)

    def budget(self, at: float) -> float:
        """Return the calls that the partner bears in the window up to `at`, with the slack for chance."""
        calls = FALL_MULTIPLE * self.capacity * self.share(at) * FALL_SECONDS
        factor = 3 if calls < SMALL_BUDGET else 2
        return calls + factor * sqrt(calls) + factor

    def worst_load(self) -> float:
        """Return the greatest load of any window after the return, as a fraction of its budget."""
        return max((self._load(index) / self.budget(a.at) for index, a in self._cold_arrivals()), default=0.0)

    def fall(self, aware: set[str]) -> tuple[float, float] | None:
        """Return when the partner fell, and the share of the calls that came from `aware` dispatchers."""
        for index, arrival in self._cold_arrivals():
            load = self._load(index)
            if load > self.budget(arrival.at):
                known = sum(a.weight for a in self._window(index) if a.dispatcher in aware)
                return arrival.at - self.out_until, known / load
        return None

    def _cold_arrivals(self) -> list[tuple[int, Arrival]]:
        return [(i, a) for i, a in enumerate(self.arrivals) if a.at < self.out_until + COLD_SECONDS]

    def _window(self, index: int) -> list[Arrival]:
        begin = self.arrivals[index].at - FALL_SECONDS
        first = bisect_left(self.arrivals, begin, key=lambda arrival: arrival.at)
        return self.arrivals[first : index + 1]

    def _load(self, index: int) -> float:
        return sum(arrival.weight for arrival in self._window(index))

    # Calls.

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.writers.add(writer)
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while True:
                    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                    length = CONTENT_LENGTH.search(head)
                    body = await reader.readexactly(int(length[1]) if length else 0)
                    if not await self._answer(writer, head, body) or writer.is_closing():
                        return
        finally:
            self.writers.discard(writer)
            if not writer.is_closing():
                writer.close()

    async def _answer(self, writer: asyncio.StreamWriter, head: str, body: bytes) -> bool:
        """Answer one call and return whether the connection stays open."""
        at = time.time()
        messages = messages_of(head, body)
        dispatcher = self.dispatcher_of(messages[0]) if messages else "unknown"
        if self.is_out(at):
            self.calls_in_outage += 1
            return await self._fail(writer, messages, dispatcher, at)
        if at >= self.out_until:
            self.arrivals.append(Arrival(at, dispatcher, 1 + FURTHER_MESSAGE_WEIGHT * (len(messages) - 1)))
        if not self._admit(at):
            wait = f"Retry-After: {LIMIT_WAIT_SECONDS}\r\n" if self.rng.random() < WAIT_TOLD else ""
            writer.write(response(429 if wait else 503, wait))
            return True
        await asyncio.sleep(SERVICE_SECONDS)
        if writer.is_closing():  # the outage has begun
            return False
        for message in messages:
            self.delivered_at.setdefault(message, time.time())
        is_batch = ":batch" in head.partition("\r\n")[0]
        lines = "".join(f"{message} accepted\r\n" for message in messages) if is_batch else ""
        writer.write(response(200, "", lines))
        return True

    async def _fail(
        self, writer: asyncio.StreamWriter, messages: list[str], dispatcher: str, at: float
    ) -> bool:
        """Treat a call in the outage; return whether the connection stays open."""
        match self.kind:
            case OutageKind.HANGS | OutageKind.SILENT:
                await asyncio.sleep(
                    self.out_until - at
                )  # the dispatcher's log tells when it gave the call up
                return False
            case OutageKind.RESETS:
                self.aware.add(dispatcher)
                writer.transport.abort()
                return False
            case OutageKind.FAILS_MOSTLY if self.rng.random() > MOST_FAIL:
                for message in messages:
                    self.delivered_at.setdefault(message, time.time())
                writer.write(response(200, ""))
                return True
        self.aware.add(dispatcher)
        closes = self.kind is OutageKind.SHUT_CLOSES
        status = 500 if self.kind in (OutageKind.FAILS, OutageKind.FAILS_MOSTLY) else 503
        headers = "Connection: close\r\n" if closes else ""
        if self.kind is OutageKind.SHUT_TELLS_WAIT and self.rng.random() < WAIT_TOLD:
            status, headers = 429, f"Retry-After: {self.out_until - at:.3f}\r\n"
        writer.write(response(status, headers))
        return not closes

    def _admit(self, at: float) -> bool:
        """Count a call against the limit and return whether it is within the limit; a refused call counts."""
        limit = self.capacity * self.share(at)
        burst = max(1.0, limit * BURST_SECONDS)
        self.tokens = min(burst, self.tokens + limit * (at - self.tokens_at))
        self.tokens_at = at
        admitted = self.tokens >= 1
        self.tokens = max(-burst, self.tokens - 1)
        return admitted


@contextlib.contextmanager
def unanswered_port(port: int) -> Iterator[None]:
    """Listen on a port with a full queue, so that further connections do not come up."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", port))
        listener.listen(0)
        for _ in range(QUEUED_CONNECTIONS):
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", port))
        yield


def messages_of(head: str, body: bytes) -> list[str]:
    """Return the ids of the messages in a call; none for a probe."""
    if match := MESSAGE_ID.search(head):
        return [match[1]]
    messages = []
    while ":batch" in head.partition("\r\n")[0] and body:
        line, _, rest = body.partition(b"\r\n")
        message, _, length = line.decode().split(" ")
        messages.append(message)
        body = rest[int(length) + 2 :]
    return messages


def response(status: int, headers: str, body: str = "") -> bytes:
    """Return an HTTP response."""
    return f"HTTP/1.1 {status} X\r\n{headers}Content-Length: {len(body)}\r\n\r\n{body}".encode()
