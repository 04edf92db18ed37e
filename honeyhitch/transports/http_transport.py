"""Calls to pool members over HTTP: connections kept, capped and reused, one call at a time on each."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from honeyhitch import logs
from honeyhitch.dispatcher.delivery import Call, CallResult
from honeyhitch.dispatcher.dispatcher import Dispatcher
from honeyhitch.endpoints.endpoint import PoolEndpoint
from honeyhitch.policy.events import Outcome
from honeyhitch.protocols import calls, http1
from honeyhitch.protocols.buffer import Buffer
from honeyhitch.time_units import SECOND
from honeyhitch.tls.failures import Failure, TlsError
from honeyhitch.transports import sockets
from honeyhitch.transports.channel import Channel, PlainChannel
from honeyhitch.transports.tasks import LoopScheduler, Tasks

log = logs.get()
IDLE_TIMEOUT_FRACTION = 0.8  # of the time after which a member closes an idle connection
SWEEP_INTERVAL_SECONDS = 1.0  # seconds between looks at idle connections
RESPONSE_STALL_SECONDS = 0.5  # seconds for more of an answer that has begun; it is written at once or spoilt
KNOWN_OUTCOME_STALL_SECONDS = 0.1  # seconds where its first line has told already all that matters
MAX_RESPONSE_BYTES = 1 << 17  # bytes of one; a body holds half of it at most


@dataclass(slots=True, eq=False)
class Connection:
    """One connection to a member, with its one buffer."""

    channel: Channel
    address: str
    buffer: Buffer
    parser: http1.ResponseParser
    idle_since: int = 0
    used: bool = False  # a call has begun on it

    @property
    def reused_without_response(self) -> bool:
        """It was kept from an earlier call, and nothing has come on it since."""
        return self.idle_since > 0 and not self.parser.bytes_received


class NoConnectionError(OSError):
    """A call to a gated member found none of its open connections alive any more."""


class CallProgress:
    """How far a call has come, which says what a break or a time-out means."""

    def __init__(self) -> None:
        self.written = False  # its last byte was handed to the connection
        self.not_started = False  # nothing of it goes any more, and its connection is as it was
        self.first_on_connection = False  # it is the first on its connection
        self.connection: Connection | None = None


class HttpTransport:
    """The carrier for members that discovery lists."""

    def __init__(self, dispatcher: Dispatcher, scheduler: LoopScheduler, tasks: Tasks, max_idle: int) -> None:
        self.dispatcher, self.scheduler, self.tasks = dispatcher, scheduler, tasks
        self.loop, self.settings = scheduler.loop, dispatcher.settings
        self.max_idle = max_idle
        self.max_idle_time = self.settings.connection_idle_timeout * IDLE_TIMEOUT_FRACTION
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
            await asyncio.sleep(SWEEP_INTERVAL_SECONDS)
            for name in list(self.idle):
                member = self.dispatcher.pool.endpoints.get(name)
                kept = [one for one in self.idle.pop(name) if self._usable(one, member)]
                if kept:
                    self.idle[name] = kept

    def _may_reuse(self, connection: Connection, member: PoolEndpoint | None) -> bool:
        """Still the member's, and not idle for so long that it may be about to close it."""
        stale = self.max_idle_time and self.scheduler.now() - connection.idle_since > self.max_idle_time
        return member is not None and connection.address == member.address and not stale

    def _usable(self, connection: Connection, member: PoolEndpoint | None) -> bool:
        if self._may_reuse(connection, member) and connection.channel.is_reusable():
            return True
        connection.channel.close()
        return False

    async def _run(self, call: Call) -> None:
        progress, result = CallProgress(), None
        try:
            async with asyncio.timeout(call.timeout / SECOND):
                result = await self._exchange(call, progress)
        except TimeoutError:
            result = self._late_result(call, progress) or self._failed_result(call, progress, Outcome.TIMEOUT)
        except asyncio.CancelledError:
            if call not in self.running:  # the process ends; what is owed stays in the journal
                raise
            result = self._late_result(call, progress) or self._failed_result(
                call, progress, Outcome.CANCELLED
            )
        except (OSError, http1.HttpError) as error:
            result = self._failed_result(call, progress, Outcome.RESET, error)
        except Exception:  # a fault of ours must not keep the slot for ever
            log.exception("call.failed", member=call.endpoint.id, key=call.endpoint.id)
            result = self._failed_result(call, progress, Outcome.RESET)
        finally:
            # Only once the connection is closed or free is the slot free, whatever happened.
            connection = progress.connection
            if result is not None and connection and (progress.not_started or connection.parser.reusable):
                self._release(call.endpoint, connection)
            else:
                self._close(call.endpoint, progress)
            self.running.pop(call, None)
        self.dispatcher.call_ended(call, result)

    @staticmethod
    def _late_result(call: Call, progress: CallProgress) -> CallResult | None:
        """The answer that came as we stopped waiting for it: what it tells, it told."""
        connection = progress.connection
        if connection is None or not progress.written:
            return None
        try:
            data = connection.channel.read_available(connection.buffer)
            answer = connection.parser.feed(data) if data else None
        except (OSError, http1.HttpError):
            return None
        return (
            None
            if answer is None
            else calls.interpret_response(
                answer, call.messages, first_on_connection=progress.first_on_connection
            )
        )

    @staticmethod
    def _failed_result(
        call: Call, progress: CallProgress, outcome: Outcome, error: Exception | None = None
    ) -> CallResult:
        """No whole answer came. Before the last byte was written the call cannot have run, nor can it where
        the partner refused our certificate (see `tls.failures`)."""
        connection = progress.connection
        refused = isinstance(error, TlsError) and error.failure is Failure.OUR_CERTIFICATE_REFUSED
        if not progress.written or refused:
            outcome = Outcome.CONNECT_FAILED
            result = CallResult.uniform(outcome, len(call.messages))
        else:
            machine = connection.parser if connection else http1.ResponseParser()
            result = calls.interpret_failure(machine.status, call.messages, outcome)
            result.retry_after = calls.parse_retry_after(
                machine.response.headers
            )  # asked for, whatever became of the rest
        # Members drop kept connections, some without a word. That says nothing of their health: a new
        # connection will tell, and one that is down refuses it.
        broke = outcome in (Outcome.RESET, Outcome.CONNECT_FAILED)
        result.connection_stale = broke and connection is not None and connection.reused_without_response
        if isinstance(error, TlsError):
            result.failure_reason = error.failure.label
        if refused or isinstance(error, NoConnectionError):  # nor does this
            result.connection_stale = True
        return result

    async def _exchange(self, call: Call, progress: CallProgress) -> CallResult:
        connection = progress.connection = await self._connection(call.endpoint)
        if not self.dispatcher.start_call(call):
            progress.not_started = True
            return CallResult([])
        progress.first_on_connection, connection.used = not connection.used, True
        connection.parser.reset()
        left = call.timeout - (self.scheduler.now() - call.sent_at)
        await connection.channel.send(calls.encode_call(call.messages, left, connection.address))
        progress.written = True
        self.dispatcher.call_written(call)
        while True:
            data = await self._read(call, connection)
            answer = connection.parser.feed(data) if data else connection.parser.connection_closed()
            if answer is not None:
                return calls.interpret_response(
                    answer, call.messages, first_on_connection=progress.first_on_connection
                )
            if not data:
                raise ConnectionResetError("the connection ended before the answer")

    async def _read(self, call: Call, connection: Connection) -> bytes:
        read, machine = connection.channel.receive(connection.buffer), connection.parser
        if not machine.bytes_received:
            return await read
        try:
            async with asyncio.timeout(
                KNOWN_OUTCOME_STALL_SECONDS
                if machine.status == 200 and len(call.messages) == 1
                else RESPONSE_STALL_SECONDS
            ):
                return await read
        except TimeoutError:
            raise http1.HttpError("answer: its rest does not come") from None

    async def _connection(self, member: PoolEndpoint) -> Connection:
        kept = self.idle.get(member.id, [])
        while kept:
            connection = kept.pop()
            if self._usable(connection, member):
                return connection
        wait = self.settings.connect_timeout or SECOND
        try:
            async with asyncio.timeout(wait / SECOND):
                sock = await sockets.connect(self.loop, member.address)
        except TimeoutError:
            raise ConnectionRefusedError("the connection never came up") from None
        channel = PlainChannel(self.loop, sock)
        return Connection(
            channel, member.address, Buffer(), http1.ResponseParser(max_bytes=MAX_RESPONSE_BYTES)
        )

    def _release(self, member: PoolEndpoint, connection: Connection) -> None:
        connection.idle_since = self.scheduler.now()
        self.idle.setdefault(member.id, []).append(connection)
        self._enforce_idle_limit()

    def set_max_idle(self, max_idle: int) -> None:
        """So many connections may be idle from now on."""
        self.max_idle = max_idle
        self._enforce_idle_limit()

    def _enforce_idle_limit(self) -> None:
        while sum(map(len, self.idle.values())) > self.max_idle:  # those idle for longest make room
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        _, name = min((ones[0].idle_since, name) for name, ones in self.idle.items() if ones)
        self.idle[name].pop(0).channel.close()

    def _close(self, member: PoolEndpoint, progress: CallProgress) -> None:
        if progress.connection is not None:
            progress.connection.channel.close()
