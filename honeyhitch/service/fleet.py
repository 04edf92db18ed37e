"""Partitioned destinations in one process: the view's watch, routing, and what follows as shares change."""

from __future__ import annotations

import asyncio
import json
import os
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

from honeyhitch import logs
from honeyhitch.dispatcher.admission import BUSY_RETRY_AFTER
from honeyhitch.dispatcher.dispatcher import Dispatcher
from honeyhitch.dispatcher.ports import Scheduler
from honeyhitch.journal.transactions import Transaction
from honeyhitch.partitioning.fleet import ClockError, Fleet
from honeyhitch.partitioning.settings import SECOND, FleetSettings
from honeyhitch.protocols.discovery_backoff import WatchBackoff
from honeyhitch.protocols.resp import MS, Route
from honeyhitch.transports.list_watch import ListWatch
from honeyhitch.transports.peers import Forwarder, PeerConnections

log = logs.get()
FILE = "fleet-view.json"  # in the state folder
MOST_SAVED = 250_000  # bytes of it
SAVE_EVERY = 60 * SECOND  # ns; a restart while control is silent counts its leases from the last one
LOOK_EVERY = 0.25  # seconds between looks at what has changed with the time
REFUSAL = b"-BUSY %d\r\n" % (BUSY_RETRY_AFTER // MS)


class FleetService:
    """Keeps the view, decides where transactions go, and tells the core what this instance may use."""

    retry_after = BUSY_RETRY_AFTER

    def __init__(
        self,
        settings: FleetSettings,
        dispatcher: Dispatcher,
        scheduler: Scheduler,
        loop: asyncio.AbstractEventLoop,
        state: Path,
        rng: Random,
        refetch: Callable[[], None],
    ) -> None:
        """`refetch` asks discovery for its whole list anew, after more partitions are kept than before."""
        self.fleet = Fleet(settings)
        self.settings, self.dispatcher, self.scheduler = settings, dispatcher, scheduler
        self.loop, self.path, self.rng, self.refetch = loop, state / FILE, rng, refetch
        self.connections = PeerConnections(loop, settings.peer_connections)
        self.forwarder = Forwarder(
            dispatcher.settings, settings.name, self._addresses, self.connections, scheduler.now, REFUSAL
        )
        self._portions: dict[int, float] = {}  # by partition, as the module was told last
        self._lost = set[int]()  # partitions without a portion, of which messages are held
        self._saved_at = 0
        self._look_at: int | None = 0  # when a portion may change though nothing is heard
        self._lease_lasted = False  # at the last look
        dispatcher.quota_source = self
        dispatcher.pool.keeps_destination = self.fleet.keeps
        dispatcher.pool.quota_fraction = lambda destination: self.quota_fraction(destination, scheduler.now())

    # What others ask.

    @property
    def ready(self) -> bool:
        """Whether there is a view, of this process or of one before it."""
        return bool(self.fleet.view.instances)

    def quota_fraction(self, destination: int, now: int) -> float:
        """The part of its zone's share of a limit that this instance may use."""
        return self.fleet.quota_fraction(destination, now)

    def serves(self, destination: int) -> bool:
        """Whether there is such a destination, as far as can be told: of others their owners know."""
        return not self.fleet.keeps(destination) or self.dispatcher.pool.has_destination(destination)

    def route(self, transaction: Transaction, forwarded: bool) -> Route:
        """Where a transaction goes. One that is held here already stays: it is answered as accepted."""
        now, destination = self.scheduler.now(), transaction.destination
        if self.dispatcher.journal.has_accepted(transaction.id) or self.quota_fraction(destination, now) > 0:
            return Route.LOCAL
        if forwarded or not self.ready:
            return Route.REFUSE
        return Route.FORWARD  # where there is no owner to ask, the forwarder refuses it as well

    def describe(self) -> dict[str, Any]:
        """The view in force, for operators."""
        status = self.fleet.status(self.scheduler.now())
        return {
            "name": self.settings.name,
            "zone": self.settings.zone,
            "region": self.settings.region,
            "revision": status.revision,
            "instances": status.instances,
            "ready": status.ready,
            "heartbeat_age_ms": status.age // MS if status.age is not None else None,
            "partitions": self.settings.partitions,
            "holds": status.partitions,
            "keeps": status.candidate_for,
            "problem": status.problem,
        }

    def describe_owners(self, destination: int) -> dict[str, Any]:
        """Who may be sent messages for a destination, by zone, and what this instance holds of it."""
        partition = self.fleet.partition(destination)
        candidates = {
            zone: [f"{one.name} {one.phase.value}" for one in self.fleet.candidates(zone, partition)]
            for zone in self.settings.zones
        }
        portion = self.quota_fraction(destination, self.scheduler.now())
        return {"destination": destination, "partition": partition, "portion": portion, "zones": candidates}

    def _addresses(self, destination: int) -> list[str]:
        return [one.address for one in self.fleet.owners(destination, self.scheduler.now())]

    # What runs.

    def restore(self) -> None:
        """Read what an earlier process saved. A file that cannot be read is as good as none."""
        try:
            saved = json.loads(self.path.read_bytes())
            self.fleet.restore(saved, self.scheduler.now())
        except FileNotFoundError:
            return
        except (OSError, ValueError) as error:  # a FleetViewError is a ValueError
            log.warning("fleet.saved-view-rejected", error=str(error))

    async def watch(self) -> None:
        """Watch the view for ever; the one in force stays while its agent is silent."""
        size, lease = max(1, len(self.fleet.view.instances)), self.settings.lease / SECOND
        asking = WatchBackoff(self.rng, size, self.ready, False, lease)
        await ListWatch(
            self.settings.view, self.loop, asking, lambda: self.fleet.view.revision, self.take
        ).run()

    def take(self, told: dict[str, Any]) -> None:
        """Take over a list, a change or a heartbeat. Raises FleetViewError where it cannot be used."""
        before, kept = self.fleet.view, self.fleet.kept
        now = self.scheduler.now()
        try:
            self.fleet.take(told, now)
        except ClockError as error:  # the view is good, the heartbeat is not
            log.warning("fleet.clock-rejected", error=str(error), key=self.settings.view)
        if before.revision != self.fleet.view.revision:
            log.info("fleet.view-applied", revision=self.fleet.view.revision, key=self.settings.view)
        if not self.fleet.kept <= kept:
            self.refetch()
        if before.instances != self.fleet.view.instances or now - self._saved_at >= SAVE_EVERY:
            self._save(now)
        if before is not self.fleet.view or self._lease_lasted is not self.fleet.lease_lasts(now):
            self.look()

    async def care(self) -> None:
        """Follow what changes with the time alone: leases that run out, and those that were waited for."""
        while True:
            await asyncio.sleep(LOOK_EVERY)
            self.look_if_due()

    def look_if_due(self) -> None:
        """Look if a portion may have changed with the time, or if messages of lost partitions are held."""
        due = self._look_at is not None and self.scheduler.now() >= self._look_at
        if due or self._lost:
            self.look()

    def look(self) -> None:
        """Tell the module of portions that have changed, and hand back what is another instance's now."""
        now, changed = self.scheduler.now(), set[int]()
        self._look_at, self._lease_lasted = self.fleet.next_change(now), self.fleet.lease_lasts(now)
        for partition in self.fleet.kept | self._portions.keys():
            portion = self.fleet.held(partition, now).quota_fraction(self.settings.reserve)
            if portion != self._portions.get(partition, 0.0):
                changed.add(partition)
                self._portions[partition] = portion
        self._lost = {one for one in self._lost | changed if not self._portions[one]}
        if changed:
            pool = self.dispatcher.pool
            news = pool.changed_listings(lambda destination: self.fleet.partition(destination) in changed)
            if news.listings:
                self.dispatcher.apply_list_update(news)
        if self._lost:
            self._hand_back(now)

    def _hand_back(self, now: int) -> None:
        """Of partitions that were lost; those of which nothing is held any more need no further look."""
        held = {one.destination for one in self.dispatcher.messages.by_id.values()}
        held = {one for one in held if self.fleet.partition(one) in self._lost}
        for destination in held:
            if not self.fleet.awaits(destination, now):
                self.dispatcher.return_unattempted(destination, BUSY_RETRY_AFTER)
        self._lost = {self.fleet.partition(destination) for destination in held}

    def _save(self, now: int) -> None:
        data = json.dumps(self.fleet.saved(), separators=(",", ":")).encode()
        if len(data) > MOST_SAVED:
            log.warning("fleet.view-not-saved", bytes=len(data), most=MOST_SAVED)
            return
        spare = self.path.with_suffix(".new")
        try:
            spare.write_bytes(data)
            os.replace(spare, self.path)
        except OSError as error:
            log.warning("fleet.view-not-saved", error=str(error))
        self._saved_at = now

    def close(self) -> None:
        """Let go of connections."""
        self.connections.close()
