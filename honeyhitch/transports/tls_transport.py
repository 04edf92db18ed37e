"""Calls to pool members over TLS. Connections are opened ahead of calls, which never wait for a handshake.

The module is told how many calls a member's open connections take (`interface.Room`) and asks for more when
messages wait (`interface.Open`); `tls.door` and `tls.budget-limited` decide whether a handshake may start. A
handshake is no attempt and holds no slot. A connection goes when it is idle for long, when its partner ends
it, and when what it was verified with holds no more: then gradually, and never under a call.
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
from honeyhitch.transports.tls_open import open_verified

log = logs.get()
SWEEP_INTERVAL_SECONDS = 0.25  # seconds between looks at connections that are to go
FILE_POLL_SECONDS = 2.0  # seconds between looks at the files
EXPIRY_CHECK_SECONDS = 3600.0  # seconds between looks at our own certificates' ends
SESSION_KEEPING_FAILURES = (Failure.UNREACHABLE, Failure.STALLED, Failure.HANDSHAKE_CUT, Failure.OVERLOADED)
WATCH_DELAY_SECONDS = 0.01  # seconds for which an idle connection is not yet watched
PARTIAL_RECORD_TIMEOUT = 2 * SECOND  # ns that an idle connection has for the rest of a record
REPLACE_IF_USED_WITHIN = 10 * SECOND  # ns; one used within this is replaced before it goes


@dataclass(slots=True, eq=False)
class TlsConnection(Connection):
    """One connection, with what it was verified by."""

    tls: TlsChannel = field(kw_only=True)  # the channel, by its own type
    partner: PartnerState = field(kw_only=True)
    key: SessionKey = field(kw_only=True)
    peer: CertificateInfo = field(kw_only=True)
    retire_at: int = field(kw_only=True)  # ns; the end of what was verified, or sooner
    watched: bool = False  # the loop tells when something comes on it
    replace_at: int = 0  # ns; from when it is to go once it is replaced, 0 if not


class TlsTransport(HttpTransport):
    """The carrier for members that a partner's table in the operator's file matches."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        scheduler: LoopScheduler,
        tasks: Tasks,
        max_idle: int,
        partners: Partners,
    ) -> None:
        super().__init__(dispatcher, scheduler, tasks, max_idle)  # connections idle or in a handshake
        self.partners = partners
        self.gates: dict[str, tuple[EndpointConnections, PartnerState]] = {}
        self.connections: dict[TlsConnection, str] = {}  # all that are up, and whose
        self.unwatched: dict[TlsConnection, str] = {}  # idle for so short that nobody watches them yet
        self.watch_scheduled = False  # for those, soon
        partners.on_change.append(self._on_partner_changed)

    # Opening.

    def open(self, member: PoolEndpoint, calls: int) -> None:
        """Connections for so many more calls are wanted."""
        door, known = self._gate(member)
        for _ in range(calls - door.opening):
            now = self.scheduler.now()
            if not self._free_descriptor():
                self._report_capacity(door, RETRY_DELAY)
                return
            start = door.start(now)
            if start is None:
                if not door.opening:
                    self._report_capacity(door)
                return
            self.tasks.start(self._open(member, door, known, start))

    def _gate(self, member: PoolEndpoint) -> tuple[EndpointConnections, PartnerState]:
        known = self.partners.find(member.id, member.destination, self.settings.kind(member.kind).name)
        assert known is not None  # `Pool.carrier_of` sends others to the plain carrier
        told = self.gates.get(member.id)
        if told is None:
            door = EndpointConnections(
                member.id, member.destination, known.budget, self.partners.block_duration
            )
            told = self.gates[member.id] = door, known
        told[0].destination = member.destination
        return told

    def _free_descriptor(self) -> bool:
        """Whether a descriptor is left for a connection; the longest idle of all makes room."""
        idle = sum(len(ones) for ones in self.idle.values())
        opening = sum(door.opening for door, _ in self.gates.values())
        if idle + opening < self.max_idle:
            return True
        if not idle:
            return False
        self._drop_oldest()
        return True

    def _drop_oldest(self) -> None:
        oldest = min((ones[0].idle_since, name) for name, ones in self.idle.items() if ones)[1]
        self._drop(oldest, self._idle_connections(oldest)[0])

    def _idle_connections(self, name: str) -> list[TlsConnection]:
        """A copy of the member's idle connections, the latest used last."""
        return [one for one in self.idle.get(name, []) if isinstance(one, TlsConnection)]

    async def _open(
        self, member: PoolEndpoint, door: EndpointConnections, known: PartnerState, start: HandshakeStart
    ) -> None:
        key = self.partners.session_key(known, member.address)
        try:
            opened = await open_verified(self.loop, self.partners, known, member.address)
        except TlsError as error:
            if error.failure not in SESSION_KEEPING_FAILURES:
                self.partners.sessions.forget(key)
            self._handshake_failed(member, door, known, start, error)
        except BaseException:
            door.abandoned(start, self.scheduler.now())
            raise
        else:
            now, resumed = self.scheduler.now(), opened.channel.machine.resumed
            connection = TlsConnection(
                opened.channel,
                member.address,
                Buffer(),
                http1.ResponseParser(max_bytes=MAX_RESPONSE_BYTES),
                tls=opened.channel,
                partner=known,
                key=key,
                peer=opened.peer,
                retire_at=known.material.valid_until(opened.peer),
                idle_since=now,
                used=True,  # by its handshake: a full table would have shown there
            )
            if not resumed:  # the session offered, if any, is worth nothing there
                self.partners.sessions.forget(key)
            if key.generation != known.generation:  # the files changed under the handshake
                self._retire([connection], known)
            self.connections[connection] = member.id
            door.opened(start, now, resumed)
            self._add_idle(member.id, connection)
            self._report_capacity(door)

    def _handshake_failed(
        self,
        member: PoolEndpoint,
        door: EndpointConnections,
        known: PartnerState,
        start: HandshakeStart,
        error: TlsError,
    ) -> None:
        self._log("tls.handshake-failed", member.id, known, error, f"{member.id} {error.failure.label}")
        self.dispatcher.apply_connection_capacity(door.failed(start, self.scheduler.now(), error))

    def _report_capacity(self, door: EndpointConnections, shut: int = 0) -> None:
        room = door.capacity(self.scheduler.now())
        if shut > room.connect_blocked_for:
            room = replace(room, connect_blocked_for=shut)
        self.dispatcher.apply_connection_capacity(room)

    # Idle connections. Each is watched, so that an end is known before a call is.

    def _add_idle(self, name: str, connection: TlsConnection) -> None:
        self.idle.setdefault(name, []).append(connection)
        if not self.watch_scheduled:
            self.watch_scheduled = True
            self.loop.call_later(WATCH_DELAY_SECONDS, self._watch_idle)
        self.unwatched[connection] = name
        self._on_idle_data(name, connection)  # what came with the handshake or behind the answer
        self._enforce_idle_limit()

    def _watch_idle(self) -> None:
        """Those that the next call has not taken at once, as it does under load, are watched from now on."""
        fresh, self.unwatched, self.watch_scheduled = self.unwatched, {}, False
        for connection, name in fresh.items():
            connection.watched = True
            self.loop.add_reader(connection.channel.sock, self._on_idle_data, name, connection)
            self._on_idle_data(name, connection)

    def _unwatch(self, connection: TlsConnection) -> None:
        if connection.watched:
            connection.watched = False
            self.loop.remove_reader(connection.channel.sock)
        self.unwatched.pop(connection, None)

    def _on_idle_data(self, name: str, connection: TlsConnection) -> None:
        tls = connection.tls
        if tls.alive():
            if tls.machine.may_have_ticket:
                self.partners.keep_session(connection.partner, connection.key, tls.machine, connection.peer)
        else:
            self._idle_ended(name, connection)

    def _idle_ended(self, name: str, connection: TlsConnection) -> None:
        """The partner ended one that was idle, or said what nobody asked for."""
        failure = connection.tls.machine.failure
        if failure is not None and failure.failure is Failure.OUR_CERTIFICATE_REJECTED:
            self._log("tls.connection-rejected", name, connection.partner, failure, name)
        self._record_loss(name, failure)
        self._drop(name, connection)

    def _record_loss(self, name: str, failure: TlsError | None) -> None:
        """An open connection ended: the member refuses us, or has perhaps restarted."""
        if failure is None or failure.failure is not Failure.OUR_CERTIFICATE_REJECTED:
            self._connection_lost(name)
        elif name in self.gates:
            self.gates[name][0].block(self.scheduler.now())

    @staticmethod
    def _log(event: str, name: str, known: PartnerState, error: TlsError, key: str) -> None:
        failure = error.failure.label
        log.warning(event, partner=known.name, member=name, failure=failure, reason=error.reason, key=key)

    def _connection_lost(self, name: str) -> None:
        """The partner ended a connection: with most of them, it may have restarted."""
        if name in self.gates:
            known = self.gates[name][1]
            left = sum(1 for one in self.connections if one.partner is known) - 1
            known.budget.connection_lost(self.scheduler.now(), left)

    def _drop(self, name: str, connection: TlsConnection) -> None:
        """Close one that is idle."""
        self._unwatch(connection)
        if connection in self.idle.get(name, []):
            self.idle[name].remove(connection)
            if not self.idle[name]:
                del self.idle[name]
        connection.channel.close()
        self._remove(name, connection, busy=False)

    def _remove(self, name: str, connection: TlsConnection, busy: bool) -> None:
        if self.connections.pop(connection, None) is None or name not in self.gates:
            return
        door = self.gates[name][0]
        if busy:
            door.busy -= 1
        else:
            door.idle -= 1
        self._report_capacity(door)

    def close_idle(self, member: PoolEndpoint) -> None:
        """Close the idle connections to a member."""
        for connection in self._idle_connections(member.id):
            self._drop(member.id, connection)

    # Calls.

    async def _connection(self, member: PoolEndpoint) -> Connection:
        now, idle = self.scheduler.now(), self.idle.get(member.id, [])
        for connection in reversed(idle[:]):
            assert isinstance(connection, TlsConnection)
            if connection.retire_at <= now or not self._may_reuse(connection, member):
                self._drop(member.id, connection)
            elif not connection.tls.alive():
                self._idle_ended(member.id, connection)
            elif connection.tls.machine.quiescent:
                self._unwatch(connection)
                idle.remove(connection)
                door = self.gates[member.id][0]
                door.idle, door.busy = door.idle - 1, door.busy + 1
                return connection
        raise NoConnectionError(f"{member.id}: its last connection has gone")

    def _release(self, member: PoolEndpoint, connection: Connection) -> None:
        assert isinstance(connection, TlsConnection)
        now = self.scheduler.now()
        connection.idle_since = now
        machine = connection.tls.machine
        if connection.retire_at <= now or machine.phase is not Phase.OPEN or machine.plaintext:
            connection.channel.close()
            self._remove(member.id, connection, busy=True)
            return
        if member.id not in self.gates or member.id not in self.dispatcher.pool.endpoints:
            self.connections.pop(connection, None)
            connection.channel.close()
            return
        door = self.gates[member.id][0]
        door.idle, door.busy = door.idle + 1, door.busy - 1
        self._add_idle(member.id, connection)

    def _close(self, member: PoolEndpoint, progress: CallProgress) -> None:
        connection, name = progress.connection, member.id
        if isinstance(connection, TlsConnection):
            if (failure := connection.tls.machine.failure) is not None:
                self._log(
                    "tls.call-broken", name, connection.partner, failure, f"{name} {failure.failure.label}"
                )
                self._record_loss(name, failure)
            connection.channel.close()
            self._remove(name, connection, busy=True)

    # What holds no more.

    def _on_partner_changed(self, known: PartnerState) -> None:
        """New trust, lists or an own certificate: what was made with the old goes gradually."""
        self._retire([one for one in self.connections if one.partner is known], known)
        for door, whose in self.gates.values():
            if whose is known:
                door.unblock()
                self._report_capacity(door)

    def _retire(self, connections: list[TlsConnection], known: PartnerState) -> None:
        now, within = self.scheduler.now(), known.partner.terms.retire_within
        times = (
            retirement.plan_retirement(len(connections), now, within, self.partners.rng)
            if connections
            else []
        )
        for one, at in zip(connections, times, strict=True):
            if known.material.find_objection(one.peer, now) is not None:
                one.retire_at = now  # no further call, but the one that is out goes on
            else:
                one.replace_at = min(one.replace_at or at, at)
                one.retire_at = min(one.retire_at, now + within)

    async def sweep(self) -> None:
        """Close what has been idle for long, is no longer in the pool, or holds no more."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_SECONDS)
            now = self.scheduler.now()
            for name in list(self.idle):
                for connection in self._idle_connections(name):
                    self._check_idle(name, connection, now)
            for name, (door, _) in list(self.gates.items()):
                if name not in self.dispatcher.pool.endpoints and not door.open and not door.opening:
                    del self.gates[name]

    def _check_idle(self, name: str, connection: TlsConnection, now: int) -> None:
        member = self.dispatcher.pool.endpoints.get(name)
        if (
            member is None
            or member.transport != TLS_TRANSPORT
            or member.address != connection.address
            or connection.retire_at <= now
        ):
            self._drop(name, connection)
        elif connection.replace_at and connection.replace_at <= now:
            fresh = any(not one.replace_at for one, whose in self.connections.items() if whose == name)
            if fresh or now - connection.idle_since > REPLACE_IF_USED_WITHIN:
                self._drop(name, connection)
            elif not self.gates[name][0].opening:
                self.open(member, 1)  # its replacement first; it goes in any case at `retire_at`
        elif not self._may_reuse(connection, member) or self._has_stalled_record(connection, now):
            self._drop(name, connection)
        elif not connection.tls.alive():
            self._idle_ended(name, connection)

    @staticmethod
    def _has_stalled_record(connection: TlsConnection, now: int) -> bool:
        """A record that was begun does not go on."""
        return not connection.tls.machine.quiescent and now - connection.idle_since > PARTIAL_RECORD_TIMEOUT

    async def watch_files(self) -> None:
        """Read files again when they change; reading is done beside the loop."""
        while True:
            await asyncio.sleep(FILE_POLL_SECONDS)
            await self.reload_certificates()

    async def reload_certificates(self, everything: bool = False) -> None:
        """Once."""
        for known, stamps in await asyncio.to_thread(self.partners.changed_files, everything):
            read = await asyncio.to_thread(self.partners.read_files, known)
            self.partners.apply_files(known, stamps, read)

    async def watch_ends(self) -> None:
        """Tell of our own certificates that near their end."""
        while True:
            self.partners.warn_of_expiry()
            await asyncio.sleep(EXPIRY_CHECK_SECONDS)
