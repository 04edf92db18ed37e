"""Calls to endpoints over HTTP: connections are pooled, limited and reused, one call at a time on each."""

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
IDLE_TIMEOUT_FRACTION = 0.8  # of the time after which an endpoint closes an idle connection
SWEEP_INTERVAL_SECONDS = 1.0  # between checks of the idle connections
RESPONSE_STALL_SECONDS = 0.5  # for more of a begun response, which is sent at once or is malformed
KNOWN_OUTCOME_STALL_SECONDS = 0.1  # the same where the status line has decided the outcome
MAX_RESPONSE_BYTES = 1 << 17  # a body is at most half of it
DEFAULT_CONNECT_TIMEOUT = SECOND  # ns


@dataclass(slots=True, eq=False)
class Connection:
    """One connection to an endpoint, with its receive buffer."""

    channel: Channel
    address: str
    buffer: Buffer
    parser: http1.ResponseParser
    idle_since: int = 0  # ns
    used: bool = False  # a call was started on it

    @property
    def reused_without_response(self) -> bool:
        """It was pooled after an earlier call, and nothing has come on it since."""
        return self.idle_since > 0 and not self.parser.bytes_received


class NoConnectionError(OSError):
    """None of the open connections that a call was assigned to is alive any more."""


class CallProgress:
    """How far a call has come, which decides what a failure or a timeout means."""

    def __init__(self) -> None:
        self.written = False  # its last byte was handed to the connection
        self.not_started = False  # nothing of it was sent, and its connection is unchanged
        self.first_on_connection = False
        self.connection: Connection | None = None


class HttpTransport:
    """The transport for endpoints that discovery lists.

    `max_idle` is the number of connections that may be idle, over all endpoints.
    """

    def __init__(self, dispatcher: Dispatcher, scheduler: LoopScheduler, tasks: Tasks, max_idle: int) -> None:
        self.dispatcher = dispatcher
        self.scheduler = scheduler
        self.tasks = tasks
        self.loop = scheduler.loop
        self.settings = dispatcher.settings
        self.max_idle = max_idle
        self.max_idle_time = self.settings.connection_idle_timeout * IDLE_TIMEOUT_FRACTION  # ns, 0 for any
        self.idle: dict[str, list[Connection]] = {}  # by endpoint, the last used one last
        self.running: dict[Call, asyncio.Task[None]] = {}

    def start(self, call: Call) -> None:
        """Make the call; its end is reported to the dispatcher in any case."""
        self.running[call] = self.tasks.start(self._run(call))

    def cancel(self, call: Call) -> None:
        """Stop the call and close its connection."""
        if call in self.running:
            self.running[call].cancel()

    def close_idle(self, member: PoolEndpoint) -> None:
        """Close the idle connections to an endpoint."""
        for connection in self.idle.pop(member.id, []):
            connection.channel.close()

    def set_max_idle(self, max_idle: int) -> None:
        """Change the number of connections that may be idle."""
        self.max_idle = max_idle
        self._enforce_idle_limit()

    async def sweep(self) -> None:
        """Close idle connections that are too old, dead, or whose endpoint is not listed. Never returns."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_SECONDS)
            for endpoint_id in list(self.idle):
                endpoint = self.dispatcher.pool.endpoints.get(endpoint_id)
                connections = self.idle.pop(endpoint_id)
                usable = [connection for connection in connections if self._usable(connection, endpoint)]
                if usable:
                    self.idle[endpoint_id] = usable

    def _may_reuse(self, connection: Connection, endpoint: PoolEndpoint | None) -> bool:
        """It leads to the endpoint's address, and was not idle for so long that the peer may close it."""
        idle_time = self.scheduler.now() - connection.idle_since
        too_old = self.max_idle_time and idle_time > self.max_idle_time
        return endpoint is not None and connection.address == endpoint.address and not too_old

    def _usable(self, connection: Connection, endpoint: PoolEndpoint | None) -> bool:
        """Whether an idle connection may carry another call; closes it if not."""
        if self._may_reuse(connection, endpoint) and connection.channel.is_reusable():
            return True
        connection.channel.close()
        return False

    async def _run(self, call: Call) -> None:
        progress = CallProgress()
        result = None
        try:
            async with asyncio.timeout(call.timeout / SECOND):
                result = await self._exchange(call, progress)
        except TimeoutError:
            result = self._interrupted_result(call, progress, Outcome.TIMEOUT)
        except asyncio.CancelledError:
            if call not in self.running:  # the process ends; the message stays in the journal
                raise
            result = self._interrupted_result(call, progress, Outcome.CANCELLED)
        except (OSError, http1.HttpError) as error:
            result = failed_result(call, progress, Outcome.RESET, error)
        except Exception:  # a fault of our own must not occupy the slot for ever
            log.exception("call.failed", member=call.endpoint.id, key=call.endpoint.id)
            result = failed_result(call, progress, Outcome.RESET)
        finally:
            # The slot becomes free only after the connection is closed or pooled, whatever happened.
            self._finish(call, progress, result)
        self.dispatcher.call_ended(call, result)

    def _finish(self, call: Call, progress: CallProgress, result: CallResult | None) -> None:
        connection = progress.connection
        if result is not None and connection and (progress.not_started or connection.parser.reusable):
            self._release(call.endpoint, connection)
        else:
            self._close(call.endpoint, progress)
        self.running.pop(call, None)

    def _interrupted_result(self, call: Call, progress: CallProgress, outcome: Outcome) -> CallResult:
        return late_result(call, progress) or failed_result(call, progress, outcome)

    async def _exchange(self, call: Call, progress: CallProgress) -> CallResult:
        connection = await self._connection(call.endpoint)
        progress.connection = connection
        if not self.dispatcher.start_call(call):
            progress.not_started = True
            return CallResult([])
        progress.first_on_connection = not connection.used
        connection.used = True
        connection.parser.reset()
        time_left = call.timeout - (self.scheduler.now() - call.sent_at)
        await connection.channel.send(calls.encode_call(call.messages, time_left, connection.address))
        progress.written = True
        self.dispatcher.call_written(call)
        response = await self._receive_response(call, connection)
        return calls.interpret_response(response, call.messages, progress.first_on_connection)

    async def _receive_response(self, call: Call, connection: Connection) -> http1.Response:
        parser = connection.parser
        while True:
            data = await self._read(call, connection)
            response = parser.feed(data) if data else parser.connection_closed()
            if response is not None:
                return response
            if not data:
                raise ConnectionResetError("the connection ended before the answer")

    async def _read(self, call: Call, connection: Connection) -> bytes:
        read = connection.channel.receive(connection.buffer)
        parser = connection.parser
        if not parser.bytes_received:
            return await read
        outcome_known = parser.status == http1.OK and len(call.messages) == 1
        stall_timeout = KNOWN_OUTCOME_STALL_SECONDS if outcome_known else RESPONSE_STALL_SECONDS
        try:
            async with asyncio.timeout(stall_timeout):
                return await read
        except TimeoutError:
            raise http1.HttpError("answer: its rest does not come") from None

    async def _connection(self, member: PoolEndpoint) -> Connection:
        """A pooled connection to an endpoint, or a new one. Raises OSError if none can be made."""
        pooled = self.idle.get(member.id, [])
        while pooled:
            connection = pooled.pop()
            if self._usable(connection, member):
                return connection
        timeout = self.settings.connect_timeout or DEFAULT_CONNECT_TIMEOUT
        try:
            async with asyncio.timeout(timeout / SECOND):
                sock = await sockets.connect(self.loop, member.address)
        except TimeoutError:
            raise ConnectionRefusedError("the connection never came up") from None
        channel = PlainChannel(self.loop, sock)
        parser = http1.ResponseParser(max_bytes=MAX_RESPONSE_BYTES)
        return Connection(channel, member.address, Buffer(), parser)

    def _release(self, member: PoolEndpoint, connection: Connection) -> None:
        """Return a connection to the pool after a call."""
        connection.idle_since = self.scheduler.now()
        self.idle.setdefault(member.id, []).append(connection)
        self._enforce_idle_limit()

    def _enforce_idle_limit(self) -> None:
        while sum(map(len, self.idle.values())) > self.max_idle:
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        """Close the connection that has been idle for longest."""
        oldest = [(connections[0].idle_since, name) for name, connections in self.idle.items() if connections]
        _, endpoint_id = min(oldest)
        self.idle[endpoint_id].pop(0).channel.close()

    def _close(self, _endpoint: PoolEndpoint, progress: CallProgress) -> None:
        """Close the connection of a call that did not end cleanly."""
        if progress.connection is not None:
            progress.connection.channel.close()


def late_result(call: Call, progress: CallProgress) -> CallResult | None:
    """The result of a response that arrived just as we stopped waiting for it; it counts as any other."""
    connection = progress.connection
    if connection is None or not progress.written:
        return None
    try:
        data = connection.channel.read_available(connection.buffer)
        response = connection.parser.feed(data) if data else None
    except (OSError, http1.HttpError):
        return None
    if response is None:
        return None
    return calls.interpret_response(response, call.messages, progress.first_on_connection)


def failed_result(
    call: Call, progress: CallProgress, outcome: Outcome, error: Exception | None = None
) -> CallResult:
    """The result of a call without a complete response.

    Before its last byte was written the call cannot have been executed, nor if the partner rejected our
    certificate (see `tls.failures`).
    """
    connection = progress.connection
    rejected = isinstance(error, TlsError) and error.failure is Failure.OUR_CERTIFICATE_REJECTED
    if not progress.written or rejected:
        outcome = Outcome.CONNECT_FAILED
        result = CallResult.uniform(outcome, len(call.messages))
    else:
        parser = connection.parser if connection else http1.ResponseParser()
        result = calls.interpret_failure(parser.status, call.messages, outcome)
        # A Retry-After that has come counts, whatever became of the rest.
        result.retry_after = calls.parse_retry_after(parser.response.headers)
    # Endpoints close pooled connections, some without notice. That says nothing of their health: the new
    # connection will tell, and an endpoint that is down refuses it. Nor do the other two cases.
    broken = outcome in (Outcome.RESET, Outcome.CONNECT_FAILED)
    closed_while_idle = broken and connection is not None and connection.reused_without_response
    result.connection_stale = closed_while_idle or rejected or isinstance(error, NoConnectionError)
    if isinstance(error, TlsError):
        result.failure_reason = error.failure.label
    return result
