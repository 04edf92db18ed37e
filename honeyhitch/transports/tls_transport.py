"""Sends calls to endpoints over TLS on connections opened in advance, so that no call waits for a handshake.

The transport reports to the policy how many calls an endpoint's open connections take (`ConnectionCapacity`).
The policy requests more connections when messages wait (`OpenConnections`). `tls.connection_gate` and
`tls.handshake_budget` decide whether a handshake may start. A handshake is not an attempt and occupies no
slot.

A connection is closed when it has been idle for too long, when the partner closes it, and when the trust, the
revocation lists or our certificate have changed since it was verified. In the last case the connections are
closed gradually, and never during a call.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field, replace

from honeyhitch import logs
from honeyhitch.dispatcher.dispatcher import Dispatcher
from honeyhitch.endpoints.endpoint import TLS_TRANSPORT, PoolEndpoint
from honeyhitch.protocols import http1
from honeyhitch.protocols.buffer import Buffer
from honeyhitch.time_units import SECOND
from honeyhitch.tls import retirement
from honeyhitch.tls.certificates import CertificateInfo
from honeyhitch.tls.connection_gate import EndpointConnections
from honeyhitch.tls.failures import Failure, TlsError
from honeyhitch.tls.handshake_budget import RETRY_DELAY, HandshakeStart
from honeyhitch.tls.machine import Phase
from honeyhitch.tls.partners import Partners, PartnerState
from honeyhitch.tls.sessions import SessionKey
from honeyhitch.transports.http_transport import (
    MAX_RESPONSE_BYTES,
    CallProgress,
    Connection,
    HttpTransport,
    NoConnectionError,
)
from honeyhitch.transports.tasks import LoopScheduler, Tasks
from honeyhitch.transports.tls_channel import TlsChannel
from honeyhitch.transports.tls_open import VerifiedConnection, open_verified

log = logs.get_logger()
SWEEP_INTERVAL_SECONDS = 0.25  # between checks for connections to be closed
FILE_POLL_SECONDS = 2.0  # between checks of the partners' files
EXPIRY_CHECK_SECONDS = 3600.0  # between checks of our own certificates' expiry
# Time before the event loop watches an idle connection. Under load the connection is reused sooner than this.
WATCH_DELAY_SECONDS = 0.01
PARTIAL_RECORD_TIMEOUT = 2 * SECOND  # ns to receive the rest of a record on an idle connection
# ns; an outdated connection that was used within this time is closed only after its replacement is open.
REPLACE_IF_USED_WITHIN = 10 * SECOND
# Failures that do not show that the offered session is unusable.
SESSION_KEEPING_FAILURES = (
    Failure.UNREACHABLE,
    Failure.STALLED,
    Failure.HANDSHAKE_CUT,
    Failure.OVERLOADED,
)


@dataclass(slots=True, eq=False)
class TlsConnection(Connection):
    """One connection, and the certificate by which the partner was verified. Times are Unix times in ns."""

    endpoint_id: str = field(kw_only=True)
    tls: TlsChannel = field(kw_only=True)  # the same object as `channel`, with its concrete type
    partner: PartnerState = field(kw_only=True)
    key: SessionKey = field(kw_only=True)
    certificate: CertificateInfo = field(kw_only=True)
    # No call is started from this time on. It is the end of the verification, or earlier if the connection
    # is outdated.
    retire_at: int = field(kw_only=True)
    watched: bool = False  # the event loop reports when the socket becomes readable
    # From this time on the connection is closed as soon as a replacement is open; 0 if it is not outdated.
    replace_at: int = 0


@dataclass(frozen=True, slots=True)
class EndpointGate:
    """The connections of one endpoint, and the partner whose terms apply to them."""

    connections: EndpointConnections
    partner: PartnerState


class TlsTransport(HttpTransport):
    """The transport for endpoints that match a partner's table in the operator's configuration file.

    `max_idle` is the maximum number of connections to all endpoints that are idle or in a handshake.
    """

    # TLS detects records that the network delivers twice (RFC 8446, section 5.3).
    reuses_connections = True

    def __init__(
        self,
        dispatcher: Dispatcher,
        scheduler: LoopScheduler,
        tasks: Tasks,
        max_idle: int,
        partners: Partners,
    ) -> None:
        super().__init__(dispatcher, scheduler, tasks, max_idle)
        self.partners = partners
        self.gates: dict[str, EndpointGate] = {}  # by endpoint id
        self.connections: dict[TlsConnection, None] = {}  # all open connections, oldest first
        self.unwatched: dict[TlsConnection, None] = {}  # idle connections that are not watched yet
        self.watch_scheduled = False
        partners.on_change.append(self._on_partner_changed)

    # Opening of connections.

    def open(self, endpoint: PoolEndpoint, calls: int) -> None:
        """Open connections for this number of further calls, as far as budget and descriptors allow."""
        gate = self._find_or_create_gate(endpoint)
        connections = gate.connections
        for _ in range(calls - connections.opening):
            now = self.scheduler.now()
            if not self._free_descriptor():
                self._report_capacity(connections, RETRY_DELAY)
                return
            start = connections.start(now)
            if start is None:
                if not connections.opening:
                    self._report_capacity(connections)
                return
            self.tasks.start(self._open(endpoint, gate, start))

    def _find_or_create_gate(self, endpoint: PoolEndpoint) -> EndpointGate:
        gate = self.gates.get(endpoint.id)
        if gate is None:
            kind = self.settings.kind(endpoint.kind).name
            partner = self.partners.find(endpoint.id, endpoint.destination, kind)
            assert partner is not None  # the pool assigns endpoints without a partner to the HTTP transport
            connections = EndpointConnections(
                endpoint.id, endpoint.destination, partner.budget, self.partners.block_duration
            )
            gate = EndpointGate(connections, partner)
            self.gates[endpoint.id] = gate
        gate.connections.destination = endpoint.destination
        return gate

    def _free_descriptor(self) -> bool:
        """Return whether another connection may be opened; close the longest idle one if necessary."""
        idle = sum(len(connections) for connections in self.idle.values())
        opening = sum(gate.connections.opening for gate in self.gates.values())
        if idle + opening < self.max_idle:
            return True
        if not idle:
            return False
        self._drop_longest_idle()
        return True

    def _drop_longest_idle(self) -> None:
        oldest = [(connections[0].idle_since, name) for name, connections in self.idle.items() if connections]
        _, endpoint_id = min(oldest)
        self._drop(self._idle_connections(endpoint_id)[0])

    def _idle_connections(self, endpoint_id: str) -> list[TlsConnection]:
        """Return a copy of the list of the endpoint's idle connections, the most recently used one last."""
        idle = self.idle.get(endpoint_id, [])
        return [connection for connection in idle if isinstance(connection, TlsConnection)]

    async def _open(self, endpoint: PoolEndpoint, gate: EndpointGate, start: HandshakeStart) -> None:
        partner = gate.partner
        key = self.partners.session_key(partner, endpoint.address)
        try:
            opened = await open_verified(self.loop, self.partners, partner, endpoint.address)
        except TlsError as error:
            if error.failure not in SESSION_KEEPING_FAILURES:
                self.partners.sessions.forget(key)
            self._log(
                "tls.handshake-failed", endpoint.id, partner, error, f"{endpoint.id} {error.failure.label}"
            )
            capacity = gate.connections.failed(start, self.scheduler.now(), error)
            self.dispatcher.apply_connection_capacity(capacity)
        except BaseException:
            gate.connections.abandoned(start)
            raise
        else:
            self._add_opened(endpoint, gate, start, key, opened)

    def _add_opened(
        self,
        endpoint: PoolEndpoint,
        gate: EndpointGate,
        start: HandshakeStart,
        key: SessionKey,
        opened: VerifiedConnection,
    ) -> None:
        now = self.scheduler.now()
        partner = gate.partner
        resumed = opened.channel.machine.resumed
        connection = TlsConnection(
            opened.channel,
            endpoint.address,
            Buffer(),
            http1.ResponseParser(max_bytes=MAX_RESPONSE_BYTES),
            endpoint_id=endpoint.id,
            tls=opened.channel,
            partner=partner,
            key=key,
            certificate=opened.certificate,
            retire_at=partner.material.valid_until(opened.certificate),
            idle_since=now,
            used=True,  # by its handshake: an endpoint at its connection limit would have refused it
        )
        if not resumed:  # the partner did not accept the session that was offered, if any
            self.partners.sessions.forget(key)
        if key.generation != partner.generation:  # the files changed during the handshake
            self._retire([connection], partner)
        self.connections[connection] = None
        gate.connections.opened(start, now, resumed)
        self._add_idle(connection)
        self._report_capacity(gate.connections)

    def _report_capacity(self, connections: EndpointConnections, blocked_for: int = 0) -> None:
        """Report the capacity to the policy; connecting is blocked for at least `blocked_for` nanoseconds."""
        capacity = connections.capacity(self.scheduler.now())
        if blocked_for > capacity.connect_blocked_for:
            capacity = replace(capacity, connect_blocked_for=blocked_for)
        self.dispatcher.apply_connection_capacity(capacity)

    # Idle connections. Each is watched, so that a closed connection is noticed before a call is assigned.

    def _add_idle(self, connection: TlsConnection) -> None:
        self.idle.setdefault(connection.endpoint_id, []).append(connection)
        if not self.watch_scheduled:
            self.watch_scheduled = True
            self.loop.call_later(WATCH_DELAY_SECONDS, self._watch_idle)
        self.unwatched[connection] = None
        self._on_idle_data(connection)  # data may have arrived with the handshake or after the response
        self._enforce_idle_limit()

    def _watch_idle(self) -> None:
        """Watch the connections that are still idle after WATCH_DELAY_SECONDS."""
        unwatched = self.unwatched
        self.unwatched = {}
        self.watch_scheduled = False
        for connection in unwatched:
            connection.watched = True
            self.loop.add_reader(connection.channel.sock, self._on_idle_data, connection)
            self._on_idle_data(connection)

    def _unwatch(self, connection: TlsConnection) -> None:
        if connection.watched:
            connection.watched = False
            self.loop.remove_reader(connection.channel.sock)
        self.unwatched.pop(connection, None)

    def _on_idle_data(self, connection: TlsConnection) -> None:
        if not connection.tls.alive():
            self._on_idle_connection_ended(connection)
        elif connection.tls.machine.may_have_ticket:
            self.partners.keep_session(
                connection.partner, connection.key, connection.tls.machine, connection.certificate
            )

    def _on_idle_connection_ended(self, connection: TlsConnection) -> None:
        """Drop an idle connection that the partner closed, or on which it sent unexpected data."""
        endpoint_id = connection.endpoint_id
        failure = connection.tls.machine.failure
        if failure is not None and failure.failure is Failure.OUR_CERTIFICATE_REJECTED:
            self._log("tls.connection-rejected", endpoint_id, connection.partner, failure, endpoint_id)
        self._record_loss(endpoint_id, failure)
        self._drop(connection)

    def _record_loss(self, endpoint_id: str, failure: TlsError | None) -> None:
        """Record that an open connection ended.

        The endpoint is blocked if it rejected our certificate. Any other loss counts towards the detection of
        a restart.
        """
        gate = self.gates.get(endpoint_id)
        if gate is None:
            return
        if failure is not None and failure.failure is Failure.OUR_CERTIFICATE_REJECTED:
            gate.connections.block(self.scheduler.now())
            return
        open_to_partner = sum(1 for connection in self.connections if connection.partner is gate.partner)
        gate.partner.budget.connection_lost(self.scheduler.now(), open_to_partner - 1)

    @staticmethod
    def _log(event: str, endpoint_id: str, partner: PartnerState, error: TlsError, key: str) -> None:
        log.warning(
            event,
            partner=partner.name,
            member=endpoint_id,
            failure=error.failure.label,
            reason=error.reason,
            key=key,
        )

    def _drop(self, connection: TlsConnection) -> None:
        """Close an idle connection."""
        self._unwatch(connection)
        idle = self.idle.get(connection.endpoint_id, [])
        if connection in idle:
            idle.remove(connection)
            if not idle:
                del self.idle[connection.endpoint_id]
        connection.channel.close()
        self._remove(connection, busy=False)

    def _remove(self, connection: TlsConnection, busy: bool) -> None:
        """Remove a connection that was closed; `busy` means that it carried a call."""
        if connection not in self.connections:
            return
        del self.connections[connection]
        gate = self.gates.get(connection.endpoint_id)
        if gate is None:
            return
        if busy:
            gate.connections.busy -= 1
        else:
            gate.connections.idle -= 1
        self._report_capacity(gate.connections)

    def close_idle(self, endpoint: PoolEndpoint) -> None:
        """Close the idle connections to an endpoint."""
        for connection in self._idle_connections(endpoint.id):
            self._drop(connection)

    # Calls.

    async def _acquire_connection(self, endpoint: PoolEndpoint) -> Connection:
        """Return the most recently used idle connection. Raise NoConnectionError if none is alive."""
        now = self.scheduler.now()
        idle = self.idle.get(endpoint.id, [])
        for connection in reversed(idle[:]):
            assert isinstance(connection, TlsConnection)
            if connection.retire_at <= now or not self._may_reuse(connection, endpoint):
                self._drop(connection)
            elif not connection.tls.alive():
                self._on_idle_connection_ended(connection)
            elif connection.tls.machine.quiescent:
                self._unwatch(connection)
                idle.remove(connection)
                connections = self.gates[endpoint.id].connections
                connections.idle -= 1
                connections.busy += 1
                return connection
        raise NoConnectionError(f"{endpoint.id}: none of the open connections is alive")

    def _release(self, endpoint: PoolEndpoint, connection: Connection) -> None:
        """Return a connection to the pool after a call.

        Close it instead if it is outdated, has ended or has unread plaintext, or if its endpoint is not
        listed any more.
        """
        assert isinstance(connection, TlsConnection)
        now = self.scheduler.now()
        connection.idle_since = now
        machine = connection.tls.machine
        if connection.retire_at <= now or machine.phase is not Phase.OPEN or machine.plaintext:
            connection.channel.close()
            self._remove(connection, busy=True)
            return
        if endpoint.id not in self.gates or endpoint.id not in self.dispatcher.pool.endpoints:
            self.connections.pop(connection, None)
            connection.channel.close()
            return
        connections = self.gates[endpoint.id].connections
        connections.idle += 1
        connections.busy -= 1
        self._add_idle(connection)

    def _close(self, endpoint: PoolEndpoint, progress: CallProgress) -> None:
        connection = progress.connection
        if not isinstance(connection, TlsConnection):
            return
        failure = connection.tls.machine.failure
        if failure is not None:
            key = f"{endpoint.id} {failure.failure.label}"
            self._log("tls.call-broken", endpoint.id, connection.partner, failure, key)
            self._record_loss(endpoint.id, failure)
        connection.channel.close()
        self._remove(connection, busy=True)

    # Outdated connections.

    def _on_partner_changed(self, partner: PartnerState) -> None:
        """Replace the partner's connections gradually, and unblock its endpoints.

        This is called after its trust, its revocation lists or our certificate have changed.
        """
        self._retire(
            [connection for connection in self.connections if connection.partner is partner], partner
        )
        for gate in self.gates.values():
            if gate.partner is partner:
                gate.connections.unblock()
                self._report_capacity(gate.connections)

    def _retire(self, connections: list[TlsConnection], partner: PartnerState) -> None:
        if not connections:
            return
        now = self.scheduler.now()
        duration = partner.partner.terms.retire_within
        times = retirement.plan_retirement(len(connections), now, duration, self.partners.rng)
        for connection, replace_at in zip(connections, times, strict=True):
            if partner.material.find_objection(connection.certificate, now) is not None:
                connection.retire_at = now  # no further call is started, and a call in flight is completed
            else:
                connection.replace_at = min(connection.replace_at or replace_at, replace_at)
                connection.retire_at = min(connection.retire_at, now + duration)

    async def sweep(self) -> None:
        """Until cancelled, close connections that are idle too long, outdated, or of an unlisted endpoint."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_SECONDS)
            now = self.scheduler.now()
            for endpoint_id in list(self.idle):
                for connection in self._idle_connections(endpoint_id):
                    self._check_idle(connection, now)
            for endpoint_id, gate in list(self.gates.items()):
                in_use = gate.connections.open or gate.connections.opening
                if endpoint_id not in self.dispatcher.pool.endpoints and not in_use:
                    del self.gates[endpoint_id]

    def _check_idle(self, connection: TlsConnection, now: int) -> None:
        endpoint = self.dispatcher.pool.endpoints.get(connection.endpoint_id)
        if (
            endpoint is None
            or endpoint.transport != TLS_TRANSPORT
            or endpoint.address != connection.address
            or connection.retire_at <= now
        ):
            self._drop(connection)
        elif connection.replace_at and connection.replace_at <= now:
            self._replace(endpoint, connection, now)
        elif not self._may_reuse(connection, endpoint) or self._has_stalled_record(connection, now):
            self._drop(connection)
        elif not connection.tls.alive():
            self._on_idle_connection_ended(connection)

    def _replace(self, endpoint: PoolEndpoint, connection: TlsConnection, now: int) -> None:
        """Close an outdated connection if it is rarely used or replaced; otherwise open a replacement.

        At its `retire_at` the connection is closed in any case.
        """
        has_replacement = any(
            not other.replace_at for other in self.connections if other.endpoint_id == endpoint.id
        )
        if has_replacement or now - connection.idle_since > REPLACE_IF_USED_WITHIN:
            self._drop(connection)
        elif not self.gates[endpoint.id].connections.opening:
            self.open(endpoint, 1)

    @staticmethod
    def _has_stalled_record(connection: TlsConnection, now: int) -> bool:
        """Return whether the rest of a partially received record has not arrived in time."""
        idle_time = now - connection.idle_since
        return not connection.tls.machine.quiescent and idle_time > PARTIAL_RECORD_TIMEOUT

    async def watch_files(self) -> None:
        """Read the partners' files again whenever they change, until cancelled."""
        while True:
            await asyncio.sleep(FILE_POLL_SECONDS)
            await self.reload_certificates()

    async def reload_certificates(self, include_unchanged: bool = False) -> None:
        """Read changed files, or with `include_unchanged` all files, once and in a thread."""
        for partner, stamps in await asyncio.to_thread(self.partners.changed_files, include_unchanged):
            loaded = await asyncio.to_thread(self.partners.read_files, partner)
            self.partners.apply_files(partner, stamps, loaded)

    async def watch_certificate_expiry(self) -> None:
        """Log warnings about our own certificates that expire soon, until cancelled."""
        while True:
            self.partners.warn_of_expiry()
            await asyncio.sleep(EXPIRY_CHECK_SECONDS)
