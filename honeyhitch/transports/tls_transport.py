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
from honeyhitch.tls.certificates import Facts
from honeyhitch.tls.connection_gate import EndpointConnections
from honeyhitch.tls.failures import Failure, TlsError
from honeyhitch.tls.handshake_budget import RETRY, Start
from honeyhitch.tls.machine import Phase
from honeyhitch.tls.partners import Known, Partners
from honeyhitch.tls.sessions import Key
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
LOOK = 0.25  # seconds between looks at connections that are to go
FILES = 2.0  # seconds between looks at the files
ENDS = 3600.0  # seconds between looks at our own certificates' ends
NOT_THE_SESSIONS = (Failure.UNREACHABLE, Failure.STALLED, Failure.HANDSHAKE_CUT, Failure.OVERLOADED)
SOON = 0.01  # seconds for which an idle connection is not yet watched
HALT = 2 * SECOND  # ns that an idle connection has for the rest of a record
REPLACE = 10 * SECOND  # ns; one used within this is replaced before it goes


@dataclass(slots=True, eq=False)
class TlsConnection(Connection):
    """One connection, with what it was verified by."""

    tls: TlsChannel = field(kw_only=True)  # the channel, by its own type
    known: Known = field(kw_only=True)
    key: Key = field(kw_only=True)
    peer: Facts = field(kw_only=True)
    retire_at: int = field(kw_only=True)  # ns; the end of what was verified, or sooner
    watched: bool = False  # the loop tells when something comes on it
    due: int = 0  # ns; from when it is to go once it is replaced, 0 if not


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
        self.doors: dict[str, tuple[EndpointConnections, Known]] = {}
        self.conns: dict[TlsConnection, str] = {}  # all that are up, and whose
        self.unwatched: dict[TlsConnection, str] = {}  # idle for so short that nobody watches them yet
        self.looking = False  # for those, soon
        partners.changed.append(self._renewed)

    # Opening.

    def open(self, member: PoolEndpoint, calls: int) -> None:
        """Connections for so many more calls are wanted."""
        door, known = self._door(member)
        for _ in range(calls - door.opening):
            now = self.scheduler.now()
            if not self._room_for_one():
                self._tell(door, RETRY)
                return
            start = door.start(now)
            if start is None:
                if not door.opening:
                    self._tell(door)
                return
            self.tasks.start(self._open(member, door, known, start))

    def _door(self, member: PoolEndpoint) -> tuple[EndpointConnections, Known]:
        known = self.partners.of(member.id, member.destination, self.settings.kind(member.kind).name)
        assert known is not None  # `Pool.carrier_of` sends others to the plain carrier
        told = self.doors.get(member.id)
        if told is None:
            door = EndpointConnections(member.id, member.destination, known.budget, self.partners.pause)
            told = self.doors[member.id] = door, known
        told[0].destination = member.destination
        return told

    def _room_for_one(self) -> bool:
        """Whether a descriptor is left for a connection; the longest idle of all makes room."""
        idle = sum(len(ones) for ones in self.idle.values())
        opening = sum(door.opening for door, _ in self.doors.values())
        if idle + opening < self.max_idle:
            return True
        if not idle:
            return False
        self._drop_oldest()
        return True

    def _drop_oldest(self) -> None:
        oldest = min((ones[0].idle_since, name) for name, ones in self.idle.items() if ones)[1]
        self._drop(oldest, self._resting(oldest)[0])

    def _resting(self, name: str) -> list[TlsConnection]:
        """A copy of the member's idle connections, the latest used last."""
        return [one for one in self.idle.get(name, []) if isinstance(one, TlsConnection)]

    async def _open(
        self, member: PoolEndpoint, door: EndpointConnections, known: Known, start: Start
    ) -> None:
        key = self.partners.key(known, member.address)
        try:
            opened = await open_verified(self.loop, self.partners, known, member.address)
        except TlsError as error:
            if error.failure not in NOT_THE_SESSIONS:
                self.partners.sessions.forget(key)
            self._failed(member, door, known, start, error)
        except BaseException:
            door.given_up(start, self.scheduler.now())
            raise
        else:
            now, resumed = self.scheduler.now(), opened.channel.machine.resumed
            connection = TlsConnection(
                opened.channel,
                member.address,
                Buffer(),
                http1.ResponseParser(max_bytes=MAX_RESPONSE_BYTES),
                tls=opened.channel,
                known=known,
                key=key,
                peer=opened.peer,
                retire_at=known.material.until(opened.peer),
                idle_since=now,
                used=True,  # by its handshake: a full table would have shown there
            )
            if not resumed:  # the session offered, if any, is worth nothing there
                self.partners.sessions.forget(key)
            if key.generation != known.generation:  # the files changed under the handshake
                self._outdated([connection], known)
            self.conns[connection] = member.id
            door.opened(start, now, resumed)
            self._rest(member.id, connection)
            self._tell(door)

    def _failed(
        self, member: PoolEndpoint, door: EndpointConnections, known: Known, start: Start, error: TlsError
    ) -> None:
        self._log("tls.handshake-failed", member.id, known, error, f"{member.id} {error.failure.label}")
        self.dispatcher.apply_connection_capacity(door.failed(start, self.scheduler.now(), error))

    def _tell(self, door: EndpointConnections, shut: int = 0) -> None:
        room = door.room(self.scheduler.now())
        if shut > room.connect_blocked_for:
            room = replace(room, connect_blocked_for=shut)
        self.dispatcher.apply_connection_capacity(room)

    # Idle connections. Each is watched, so that an end is known before a call is.

    def _rest(self, name: str, connection: TlsConnection) -> None:
        self.idle.setdefault(name, []).append(connection)
        if not self.looking:
            self.looking = True
            self.loop.call_later(SOON, self._watch)
        self.unwatched[connection] = name
        self._stirred(name, connection)  # what came with the handshake or behind the answer
        self._enforce_idle_limit()

    def _watch(self) -> None:
        """Those that the next call has not taken at once, as it does under load, are watched from now on."""
        fresh, self.unwatched, self.looking = self.unwatched, {}, False
        for connection, name in fresh.items():
            connection.watched = True
            self.loop.add_reader(connection.channel.sock, self._stirred, name, connection)
            self._stirred(name, connection)

    def _unwatch(self, connection: TlsConnection) -> None:
        if connection.watched:
            connection.watched = False
            self.loop.remove_reader(connection.channel.sock)
        self.unwatched.pop(connection, None)

    def _stirred(self, name: str, connection: TlsConnection) -> None:
        tls = connection.tls
        if tls.alive():
            if tls.machine.news:
                self.partners.keep_session(connection.known, connection.key, tls.machine, connection.peer)
        else:
            self._ended(name, connection)

    def _ended(self, name: str, connection: TlsConnection) -> None:
        """The partner ended one that was idle, or said what nobody asked for."""
        failure = connection.tls.machine.failure
        if failure is not None and failure.failure is Failure.OUR_CERTIFICATE_REFUSED:
            self._log("tls.connection-rejected", name, connection.known, failure, name)
        self._blame(name, failure)
        self._drop(name, connection)

    def _blame(self, name: str, failure: TlsError | None) -> None:
        """An open connection ended: the member refuses us, or has perhaps restarted."""
        if failure is None or failure.failure is not Failure.OUR_CERTIFICATE_REFUSED:
            self._lost(name)
        elif name in self.doors:
            self.doors[name][0].bar(self.scheduler.now())

    @staticmethod
    def _log(event: str, name: str, known: Known, error: TlsError, key: str) -> None:
        failure = error.failure.label
        log.warning(event, partner=known.name, member=name, failure=failure, reason=error.reason, key=key)

    def _lost(self, name: str) -> None:
        """The partner ended a connection: with most of them, it may have restarted."""
        if name in self.doors:
            known = self.doors[name][1]
            left = sum(1 for one in self.conns if one.known is known) - 1
            known.budget.broke(self.scheduler.now(), left)

    def _drop(self, name: str, connection: TlsConnection) -> None:
        """Close one that is idle."""
        self._unwatch(connection)
        if connection in self.idle.get(name, []):
            self.idle[name].remove(connection)
            if not self.idle[name]:
                del self.idle[name]
        connection.channel.close()
        self._gone(name, connection, busy=False)

    def _gone(self, name: str, connection: TlsConnection, busy: bool) -> None:
        if self.conns.pop(connection, None) is None or name not in self.doors:
            return
        door = self.doors[name][0]
        if busy:
            door.busy -= 1
        else:
            door.ready -= 1
        self._tell(door)

    def close_idle(self, member: PoolEndpoint) -> None:
        """Close the idle connections to a member."""
        for connection in self._resting(member.id):
            self._drop(member.id, connection)

    # Calls.

    async def _connection(self, member: PoolEndpoint) -> Connection:
        now, idle = self.scheduler.now(), self.idle.get(member.id, [])
        for connection in reversed(idle[:]):
            assert isinstance(connection, TlsConnection)
            if connection.retire_at <= now or not self._may_reuse(connection, member):
                self._drop(member.id, connection)
            elif not connection.tls.alive():
                self._ended(member.id, connection)
            elif connection.tls.machine.at_rest:
                self._unwatch(connection)
                idle.remove(connection)
                door = self.doors[member.id][0]
                door.ready, door.busy = door.ready - 1, door.busy + 1
                return connection
        raise NoConnectionError(f"{member.id}: its last connection has gone")

    def _release(self, member: PoolEndpoint, connection: Connection) -> None:
        assert isinstance(connection, TlsConnection)
        now = self.scheduler.now()
        connection.idle_since = now
        machine = connection.tls.machine
        if connection.retire_at <= now or machine.phase is not Phase.OPEN or machine.plain:
            connection.channel.close()
            self._gone(member.id, connection, busy=True)
            return
        if member.id not in self.doors or member.id not in self.dispatcher.pool.endpoints:
            self.conns.pop(connection, None)
            connection.channel.close()
            return
        door = self.doors[member.id][0]
        door.ready, door.busy = door.ready + 1, door.busy - 1
        self._rest(member.id, connection)

    def _close(self, member: PoolEndpoint, progress: CallProgress) -> None:
        connection, name = progress.connection, member.id
        if isinstance(connection, TlsConnection):
            if (failure := connection.tls.machine.failure) is not None:
                self._log(
                    "tls.call-broken", name, connection.known, failure, f"{name} {failure.failure.label}"
                )
                self._blame(name, failure)
            connection.channel.close()
            self._gone(name, connection, busy=True)

    # What holds no more.

    def _renewed(self, known: Known) -> None:
        """New trust, lists or an own certificate: what was made with the old goes gradually."""
        self._outdated([one for one in self.conns if one.known is known], known)
        for door, whose in self.doors.values():
            if whose is known:
                door.unbar()
                self._tell(door)

    def _outdated(self, connections: list[TlsConnection], known: Known) -> None:
        now, within = self.scheduler.now(), known.partner.terms.retire_within
        times = retirement.plan(len(connections), now, within, self.partners.rng) if connections else []
        for one, at in zip(connections, times, strict=True):
            if known.material.objection(one.peer, now) is not None:
                one.retire_at = now  # no further call, but the one that is out goes on
            else:
                one.due = min(one.due or at, at)
                one.retire_at = min(one.retire_at, now + within)

    async def sweep(self) -> None:
        """Close what has been idle for long, is no longer in the pool, or holds no more."""
        while True:
            await asyncio.sleep(LOOK)
            now = self.scheduler.now()
            for name in list(self.idle):
                for connection in self._resting(name):
                    self._look_at(name, connection, now)
            for name, (door, _) in list(self.doors.items()):
                if name not in self.dispatcher.pool.endpoints and not door.open and not door.opening:
                    del self.doors[name]

    def _look_at(self, name: str, connection: TlsConnection, now: int) -> None:
        member = self.dispatcher.pool.endpoints.get(name)
        if (
            member is None
            or member.transport != TLS_TRANSPORT
            or member.address != connection.address
            or connection.retire_at <= now
        ):
            self._drop(name, connection)
        elif connection.due and connection.due <= now:
            fresh = any(not one.due for one, whose in self.conns.items() if whose == name)
            if fresh or now - connection.idle_since > REPLACE:
                self._drop(name, connection)
            elif not self.doors[name][0].opening:
                self.open(member, 1)  # its replacement first; it goes in any case at `retire_at`
        elif not self._may_reuse(connection, member) or self._halting(connection, now):
            self._drop(name, connection)
        elif not connection.tls.alive():
            self._ended(name, connection)

    @staticmethod
    def _halting(connection: TlsConnection, now: int) -> bool:
        """A record that was begun does not go on."""
        return not connection.tls.machine.at_rest and now - connection.idle_since > HALT

    async def watch_files(self) -> None:
        """Read files again when they change; reading is done beside the loop."""
        while True:
            await asyncio.sleep(FILES)
            await self.reload_certificates()

    async def reload_certificates(self, everything: bool = False) -> None:
        """Once."""
        for known, stamps in await asyncio.to_thread(self.partners.look, everything):
            read = await asyncio.to_thread(self.partners.read, known)
            self.partners.take(known, stamps, read)

    async def watch_ends(self) -> None:
        """Tell of our own certificates that near their end."""
        while True:
            self.partners.near_ends()
            await asyncio.sleep(ENDS)
