"""Sends calls to endpoints over HTTP, each on a connection that carries no other call.

A response does not name its request. If the network delivers a response twice on a connection that already
carries the next call, the copy cannot be told from the response to that call.
"""

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

log = logs.get_logger()
IDLE_TIMEOUT_FRACTION = 0.8  # maximum idle time, as a fraction of the endpoint's own idle timeout
SWEEP_INTERVAL_SECONDS = 1.0  # between checks of the idle connections
# Maximum wait for more bytes of a partial response. A valid response is sent without such pauses.
RESPONSE_STALL_SECONDS = 0.5
KNOWN_OUTCOME_STALL_SECONDS = 0.1  # the same limit if the status line has already decided the outcome
MAX_RESPONSE_BYTES = 1 << 17  # a body has at most half of these bytes
DEFAULT_CONNECT_TIMEOUT = SECOND  # ns


@dataclass(slots=True, eq=False)
class Connection:
    """One connection to an endpoint, with its receive buffer."""

    channel: Channel
    address: str
    buffer: Buffer
    parser: http1.ResponseParser
    idle_since: int = 0  # ns
    used: bool = False  # at least one call was started on the connection

    @property
    def reused_without_response(self) -> bool:
        """Whether the connection was taken from the pool and has received no byte of the current response."""
        return self.idle_since > 0 and not self.parser.bytes_received


class NoConnectionError(OSError):
    """A call needs an open connection, but none of the endpoint's connections is alive any more."""


class CallProgress:
    """The progress of a call, which decides what a failure or a timeout means."""

    def __init__(self) -> None:
        self.written = False  # the last byte of the call was passed to the connection
        self.not_started = False  # no byte of the call was sent, so the connection is unchanged
        self.first_on_connection = False
        self.connection: Connection | None = None


class HttpTransport:
    """The transport for endpoints that discovery lists.

    `max_idle` is the maximum number of idle connections to all endpoints together.
    """

    reuses_connections = False  # whether a connection may carry another call after a call was written to it

    def __init__(self, dispatcher: Dispatcher, scheduler: LoopScheduler, tasks: Tasks, max_idle: int) -> None:
        self.dispatcher = dispatcher
        self.scheduler = scheduler
        self.tasks = tasks
        self.loop = scheduler.loop
        self.settings = dispatcher.settings
        self.max_idle = max_idle
        self.max_idle_time = self.settings.connection_idle_timeout * IDLE_TIMEOUT_FRACTION  # ns, 0: no limit
        self.idle: dict[str, list[Connection]] = {}  # by endpoint id, the most recently used one last
        self.running: dict[Call, asyncio.Task[None]] = {}

    def start(self, call: Call) -> None:
        """Start the call; its end is always reported to the dispatcher."""
        self.running[call] = self.tasks.start(self._run(call))

    def cancel(self, call: Call) -> None:
        """Stop the call and close its connection."""
        if call in self.running:
            self.running[call].cancel()

    def close_idle(self, endpoint: PoolEndpoint) -> None:
        """Close the idle connections to an endpoint."""
        for connection in self.idle.pop(endpoint.id, []):
            connection.channel.close()

    def set_max_idle(self, max_idle: int) -> None:
        """Change the maximum number of idle connections, and close those that exceed it."""
        self.max_idle = max_idle
        self._enforce_idle_limit()

    async def sweep(self) -> None:
        """Until cancelled, close connections that are idle too long, dead, or of an unlisted endpoint."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_SECONDS)
            for endpoint_id in list(self.idle):
                endpoint = self.dispatcher.pool.endpoints.get(endpoint_id)
                connections = self.idle.pop(endpoint_id)
                usable = [
                    connection
                    for connection in connections
                    if self._close_unless_usable(connection, endpoint)
                ]
                if usable:
                    self.idle[endpoint_id] = usable

    def _may_reuse(self, connection: Connection, endpoint: PoolEndpoint | None) -> bool:
        """Return whether a connection leads to the endpoint's current address and has not been idle too long.

        After too long an idle time the peer may close the connection at any moment.
        """
        idle_time = self.scheduler.now() - connection.idle_since
        idle_too_long = self.max_idle_time and idle_time > self.max_idle_time
        return endpoint is not None and connection.address == endpoint.address and not idle_too_long

    def _close_unless_usable(self, connection: Connection, endpoint: PoolEndpoint | None) -> bool:
        """Return whether an idle connection may carry another call; close it if not."""
        reason = "idle-too-long-or-moved"
        if self._may_reuse(connection, endpoint):
            if connection.channel.is_reusable():
                return True
            reason = "ended-or-unexpected-data"
        log.info("connection.closed", address=connection.address, reason=reason, key=connection.address)
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
            if call not in self.running:  # the process ends, and the message stays in the journal
                raise
            result = self._interrupted_result(call, progress, Outcome.CANCELLED)
        except (OSError, http1.HttpError) as error:
            result = failed_result(call, progress, Outcome.RESET, error)
        except Exception:  # a defect of this program must not occupy the slot permanently
            log.exception("call.failed", member=call.endpoint.id, key=call.endpoint.id)
            result = failed_result(call, progress, Outcome.RESET)
        finally:
            if result is not None and progress.connection is not None and not result.all_delivered:
                result.local_port = sockets.local_port(progress.connection.channel.sock)
            # In every case the connection is closed or pooled before the slot becomes free.
            self._finish(call, progress, result)
        self.dispatcher.call_ended(call, result)

    def _finish(self, call: Call, progress: CallProgress, result: CallResult | None) -> None:
        connection = progress.connection
        if result is not None and connection and self._may_carry_another_call(progress, connection):
            self._release(call.endpoint, connection)
        else:
            self._close(call.endpoint, progress)
        self.running.pop(call, None)

    def _may_carry_another_call(self, progress: CallProgress, connection: Connection) -> bool:
        return progress.not_started or (self.reuses_connections and connection.parser.reusable)

    def _interrupted_result(self, call: Call, progress: CallProgress, outcome: Outcome) -> CallResult:
        return late_result(call, progress) or failed_result(call, progress, outcome)

    async def _exchange(self, call: Call, progress: CallProgress) -> CallResult:
        connection = await self._acquire_connection(call.endpoint)
        progress.connection = connection
        if not self.dispatcher.start_call(call):
            progress.not_started = True
            return CallResult([])
        progress.first_on_connection = not connection.used
        connection.used = True
        connection.parser.reset()
        connection.parser.max_body_bytes = calls.outcome_bytes(call.messages)
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
                raise ConnectionResetError(
                    f"{call.endpoint.id}: expected a complete response, but the connection was closed"
                )

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
            raise http1.HttpError(
                f"{call.endpoint.id}: incomplete response, and no further bytes within {stall_timeout} s"
            ) from None

    async def _acquire_connection(self, endpoint: PoolEndpoint) -> Connection:
        """Return a pooled connection to an endpoint, or a new one. Raise OSError if none can be opened."""
        pooled = self.idle.get(endpoint.id, [])
        while pooled:
            connection = pooled.pop()
            if self._close_unless_usable(connection, endpoint):
                return connection
        timeout = self.settings.connect_timeout or DEFAULT_CONNECT_TIMEOUT
        try:
            async with asyncio.timeout(timeout / SECOND):
                sock = await sockets.connect(self.loop, endpoint.address)
        except TimeoutError:
            raise ConnectionRefusedError(
                f"{endpoint.id}: no connection to {endpoint.address} within {timeout / SECOND} s"
            ) from None
        channel = PlainChannel(self.loop, sock)
        parser = http1.ResponseParser(max_bytes=MAX_RESPONSE_BYTES)
        return Connection(channel, endpoint.address, Buffer(), parser)

    def _release(self, endpoint: PoolEndpoint, connection: Connection) -> None:
        """Return a connection to the pool after a call."""
        connection.idle_since = self.scheduler.now()
        self.idle.setdefault(endpoint.id, []).append(connection)
        self._enforce_idle_limit()

    def _enforce_idle_limit(self) -> None:
        while sum(map(len, self.idle.values())) > self.max_idle:
            self._drop_longest_idle()

    def _drop_longest_idle(self) -> None:
        """Close the connection that has been idle for the longest time."""
        oldest = [(connections[0].idle_since, name) for name, connections in self.idle.items() if connections]
        _, endpoint_id = min(oldest)
        self.idle[endpoint_id].pop(0).channel.close()

    def _close(self, _endpoint: PoolEndpoint, progress: CallProgress) -> None:
        """Close the connection of a call that did not end cleanly."""
        if progress.connection is not None:
            progress.connection.channel.close()


def late_result(call: Call, progress: CallProgress) -> CallResult | None:
    """Return the result of a response that arrived just as the wait for it ended, or None without one.

    Such a response counts like any other.
    """
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
    """Return the result of a call without a complete response.

    The call cannot have been executed if its last byte was not written, or if the partner rejected our
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
        # A Retry-After that was received counts even if the rest of the response is missing or malformed.
        result.retry_after = calls.parse_retry_after(parser.response.headers)
    # Endpoints close pooled connections, some without notice. A closed pooled connection does not show that
    # its endpoint is unhealthy. A failure to open the next connection does, because an endpoint that is down
    # refuses connections. A rejected certificate and the lack of an open connection are no evidence either.
    broken = outcome in (Outcome.RESET, Outcome.CONNECT_FAILED)
    closed_while_idle = broken and connection is not None and connection.reused_without_response
    result.connection_stale = closed_while_idle or rejected or isinstance(error, NoConnectionError)
    if isinstance(error, TlsError):
        result.failure_reason = error.failure.label
    if error is not None:
        result.error = f"{type(error).__name__}: {error}"
    return result
