"""Calls to pool members over HTTP: connections kept, capped and reused, one call at a time on each."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from honeyhitch import logs
from honeyhitch.dispatcher.delivery import Call, CallResult
from honeyhitch.dispatcher.dispatcher import Dispatcher
from honeyhitch.endpoints.pool import PoolEndpoint
from honeyhitch.policy.events import Outcome
from honeyhitch.protocols import calls, http1
from honeyhitch.protocols.buffer import Buffer
from honeyhitch.tls.failures import Failure, TlsError
from honeyhitch.transports import sockets
from honeyhitch.transports.channel import Channel, PlainChannel
from honeyhitch.transports.tasks import LoopScheduler, Tasks

log = logs.get()
NS = 1_000_000_000
IDLE_SHARE = 0.8  # of the time after which a member closes an idle connection
SWEEP = 1.0  # seconds between looks at idle connections
STALL = 0.5  # seconds for more of an answer that has begun; it is written at once or spoilt
KNOWN = 0.1  # seconds where its first line has told already all that matters
MOST_ANSWER = 1 << 17  # bytes of one; a body holds half of it at most


@dataclass(slots=True, eq=False)
class Connection:
    """One connection to a member, with its one buffer."""

    channel: Channel
    address: str
    buffer: Buffer
    machine: http1.ResponseParser
    idle_since: int = 0
    used: bool = False  # a call has begun on it

    @property
    def untold(self) -> bool:
        """It was kept from an earlier call, and nothing has come on it since."""
        return self.idle_since > 0 and not self.machine.seen


class NoConnectionError(OSError):
    """A call to a gated member found none of its open connections alive any more."""


class Progress:
    """How far a call has come, which says what a break or a time-out means."""

    def __init__(self) -> None:
        self.written = False  # its last byte was handed to the connection
        self.unused = False  # nothing of it goes any more, and its connection is as it was
        self.fresh = False  # it is the first on its connection
        self.connection: Connection | None = None


class HttpTransport:
    """The carrier for members that discovery lists."""

    def __init__(
        self, dispatcher: Dispatcher, scheduler: LoopScheduler, tasks: Tasks, most_idle: int
    ) -> None:
        self.dispatcher, self.scheduler, self.tasks = dispatcher, scheduler, tasks
        self.loop, self.settings = scheduler.loop, dispatcher.settings
        self.most_idle = most_idle
        self.most_rest = self.settings.connection_idle_timeout * IDLE_SHARE
        self.idle: dict[str, list[Connection]] = {}  # by member, the latest used last
        self.running: dict[Call, asyncio.Task[None]] = {}

    def start(self, call: Call) -> None:
        """Make the call; its end is reported in any case."""
        self.running[call] = self.tasks.start(self._run(call))

    def cancel(self, call: Call) -> None:
        """Close the call's connection."""
        if call in self.running:
            self.running[call].cancel()

    def close_idle(self, member: PoolEndpoint) -> None:
        """Close the idle connections to a member."""
        for connection in self.idle.pop(member.id, []):
            connection.channel.close()

    async def sweep(self) -> None:
        """Close what has been idle for long, is dead, or is no longer in the pool."""
        while True:
            await asyncio.sleep(SWEEP)
            for name in list(self.idle):
                member = self.dispatcher.pool.endpoints.get(name)
                kept = [one for one in self.idle.pop(name) if self._usable(one, member)]
                if kept:
                    self.idle[name] = kept

    def _fresh(self, connection: Connection, member: PoolEndpoint | None) -> bool:
        """Still the member's, and not idle for so long that it may be about to close it."""
        stale = self.most_rest and self.scheduler.now() - connection.idle_since > self.most_rest
        return member is not None and connection.address == member.address and not stale

    def _usable(self, connection: Connection, member: PoolEndpoint | None) -> bool:
        if self._fresh(connection, member) and connection.channel.quiet():
            return True
        connection.channel.close()
        return False

    async def _run(self, call: Call) -> None:
        progress, result = Progress(), None
        try:
            async with asyncio.timeout(call.timeout / NS):
                result = await self._exchange(call, progress)
        except TimeoutError:
            result = self._last_word(call, progress) or self._cut(call, progress, Outcome.TIMEOUT)
        except asyncio.CancelledError:
            if call not in self.running:  # the process ends; what is owed stays in the journal
                raise
            result = self._last_word(call, progress) or self._cut(call, progress, Outcome.CANCELLED)
        except (OSError, http1.HttpError) as error:
            result = self._cut(call, progress, Outcome.RESET, error)
        except Exception:  # a fault of ours must not keep the slot for ever
            log.exception("call.failed", member=call.endpoint.id, key=call.endpoint.id)
            result = self._cut(call, progress, Outcome.RESET)
        finally:
            # Only once the connection is closed or free is the slot free, whatever happened.
            connection = progress.connection
            if result is not None and connection and (progress.unused or connection.machine.reusable):
                self._keep(call.endpoint, connection)
            else:
                self._close(call.endpoint, progress)
            self.running.pop(call, None)
        self.dispatcher.call_ended(call, result)

    @staticmethod
    def _last_word(call: Call, progress: Progress) -> CallResult | None:
        """The answer that came as we stopped waiting for it: what it tells, it told."""
        connection = progress.connection
        if connection is None or not progress.written:
            return None
        try:
            data = connection.channel.arrived(connection.buffer)
            answer = connection.machine.feed(data) if data else None
        except (OSError, http1.HttpError):
            return None
        return None if answer is None else calls.read(answer, call.messages, fresh=progress.fresh)

    @staticmethod
    def _cut(call: Call, progress: Progress, outcome: Outcome, error: Exception | None = None) -> CallResult:
        """No whole answer came. Before the last byte was written the call cannot have run, nor can it where
        the partner refused our certificate (see `tls.failures`)."""
        connection = progress.connection
        refused = isinstance(error, TlsError) and error.failure is Failure.OUR_CERTIFICATE_REFUSED
        if not progress.written or refused:
            outcome = Outcome.CONNECT_FAILED
            result = CallResult.uniform(outcome, len(call.messages))
        else:
            machine = connection.machine if connection else http1.ResponseParser()
            result = calls.broken(machine.status, call.messages, outcome)
            result.retry_after = calls.wait(machine.answer.headers)  # asked for, whatever became of the rest
        # Members drop kept connections, some without a word. That says nothing of their health: a new
        # connection will tell, and one that is down refuses it.
        broke = outcome in (Outcome.RESET, Outcome.CONNECT_FAILED)
        result.connection_stale = broke and connection is not None and connection.untold
        if isinstance(error, TlsError):
            result.failure_reason = error.failure.label
        if refused or isinstance(error, NoConnectionError):  # nor does this
            result.connection_stale = True
        return result

    async def _exchange(self, call: Call, progress: Progress) -> CallResult:
        connection = progress.connection = await self._connection(call.endpoint)
        if not self.dispatcher.start_call(call):
            progress.unused = True
            return CallResult([])
        progress.fresh, connection.used = not connection.used, True
        connection.machine.fresh()
        left = call.timeout - (self.scheduler.now() - call.sent_at)
        await connection.channel.send(calls.encode(call.messages, left, connection.address))
        progress.written = True
        self.dispatcher.call_written(call)
        while True:
            data = await self._read(call, connection)
            answer = connection.machine.feed(data) if data else connection.machine.ended()
            if answer is not None:
                return calls.read(answer, call.messages, fresh=progress.fresh)
            if not data:
                raise ConnectionResetError("the connection ended before the answer")

    async def _read(self, call: Call, connection: Connection) -> bytes:
        read, machine = connection.channel.receive(connection.buffer), connection.machine
        if not machine.seen:
            return await read
        try:
            async with asyncio.timeout(KNOWN if machine.status == 200 and len(call.messages) == 1 else STALL):
                return await read
        except TimeoutError:
            raise http1.HttpError("answer: its rest does not come") from None

    async def _connection(self, member: PoolEndpoint) -> Connection:
        kept = self.idle.get(member.id, [])
        while kept:
            connection = kept.pop()
            if self._usable(connection, member):
                return connection
        wait = self.settings.connect_timeout or NS
        try:
            async with asyncio.timeout(wait / NS):
                sock = await sockets.connect(self.loop, member.address)
        except TimeoutError:
            raise ConnectionRefusedError("the connection never came up") from None
        channel = PlainChannel(self.loop, sock)
        return Connection(channel, member.address, Buffer(), http1.ResponseParser(most=MOST_ANSWER))

    def _keep(self, member: PoolEndpoint, connection: Connection) -> None:
        connection.idle_since = self.scheduler.now()
        self.idle.setdefault(member.id, []).append(connection)
        self._shed()

    def limit(self, most: int) -> None:
        """So many connections may be idle from now on."""
        self.most_idle = most
        self._shed()

    def _shed(self) -> None:
        while sum(map(len, self.idle.values())) > self.most_idle:  # those idle for longest make room
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        _, name = min((ones[0].idle_since, name) for name, ones in self.idle.items() if ones)
        self.idle[name].pop(0).channel.close()

    def _close(self, member: PoolEndpoint, progress: Progress) -> None:
        if progress.connection is not None:
            progress.connection.channel.close()
