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
from honeyhitch.dispatcher.dispatcher import BUSY_RETRY_AFTER, Dispatcher
from honeyhitch.dispatcher.ports import Scheduler
from honeyhitch.journal.transactions import Transaction
from honeyhitch.partitioning.fleet import ClockError, Fleet
from honeyhitch.partitioning.settings import SECOND, FleetSettings
from honeyhitch.protocols.discovery_backoff import WatchBackoff
from honeyhitch.protocols.resp import Route, busy_reply
from honeyhitch.time_units import MILLISECOND
from honeyhitch.transports.list_watch import ListWatch
from honeyhitch.transports.peers import Forwarder, PeerConnections

log = logs.get()
VIEW_FILE_NAME = "fleet-view.json"  # in the state folder
MAX_SAVED_VIEW_BYTES = 250_000  # bytes of it
SAVE_INTERVAL = 60 * SECOND  # ns; a restart while control is silent counts its leases from the last one
REFRESH_CHECK_SECONDS = 0.25  # seconds between looks at what has changed with the time
NO_OWNER_REPLY = busy_reply(BUSY_RETRY_AFTER)


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
        self.loop, self.path, self.rng, self.refetch = loop, state / VIEW_FILE_NAME, rng, refetch
        self.connections = PeerConnections(loop, settings.peer_connections)
        self.forwarder = Forwarder(
            dispatcher.settings,
            settings.name,
            self._addresses,
            self.connections,
            scheduler.now,
            NO_OWNER_REPLY,
        )
        self._quota_fractions: dict[int, float] = {}  # by partition, as the module was told last
        self.lost_partitions = set[int]()  # partitions without a portion, of which messages are held
        self._saved_at = 0
        self._refresh_at: int | None = 0  # when a portion may change though nothing is heard
        self._lease_was_valid = False  # at the last look
        dispatcher.quota_source = self
        dispatcher.pool.keeps_destination = self.fleet.is_candidate
        dispatcher.pool.quota_fraction = lambda destination: self.quota_fraction(destination, scheduler.now())

    # What others ask.

    @property
    def ready(self) -> bool:
        """Whether there is a view, of this process or of one before it."""
        return bool(self.fleet.view.instances)

    def quota_fraction(self, destination: int, now: int) -> float:
        """The part of its zone's share of a limit that this instance may use."""
        return self.fleet.quota_fraction(destination, now)

    def has_destination(self, destination: int) -> bool:
        """Whether there is such a destination, as far as can be told: of others their owners know."""
        return not self.fleet.is_candidate(destination) or self.dispatcher.pool.has_destination(destination)

    def route(self, transaction: Transaction, forwarded: bool) -> Route:
        """Where a transaction goes. One that is held here already stays: it is answered as accepted."""
        now, destination = self.scheduler.now(), transaction.destination
        if self.dispatcher.journal.has_accepted(transaction.id) or self.quota_fraction(destination, now) > 0:
            return Route.LOCAL
        if forwarded or not self.ready:
            return Route.REJECT
        return Route.FORWARD  # where there is no owner to ask, the forwarder refuses it as well

    def describe(self) -> dict[str, Any]:
        """The view in force, for operators."""
        status = self.fleet.status(self.scheduler.now())
        return {
            "name": self.settings.name,
            "zone": self.settings.zone,
            "region": self.settings.region,
            "revision": status.revision,
            "instances": status.instance_count,
            "ready": status.ready_count,
            "heartbeat_age_ms": status.heartbeat_age // MILLISECOND
            if status.heartbeat_age is not None
            else None,
            "partitions": self.settings.partitions,
            "holds": status.held_partitions,
            "keeps": status.candidate_partitions,
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
            self.settings.view, self.loop, asking, lambda: self.fleet.view.revision, self.apply_update
        ).run()

    def apply_update(self, update: dict[str, Any]) -> None:
        """Take over a list, a change or a heartbeat. Raises FleetViewError where it cannot be used."""
        before, kept = self.fleet.view, self.fleet.candidate_partitions
        now = self.scheduler.now()
        try:
            self.fleet.apply_update(update, now)
        except ClockError as error:  # the view is good, the heartbeat is not
            log.warning("fleet.clock-rejected", error=str(error), key=self.settings.view)
        if before.revision != self.fleet.view.revision:
            log.info("fleet.view-applied", revision=self.fleet.view.revision, key=self.settings.view)
        if not self.fleet.candidate_partitions <= kept:
            self.refetch()
        if before.instances != self.fleet.view.instances or now - self._saved_at >= SAVE_INTERVAL:
            self._save(now)
        if before is not self.fleet.view or self._lease_was_valid is not self.fleet.lease_valid(now):
            self.refresh_quotas()

    async def watch_expiry(self) -> None:
        """Follow what changes with the time alone: leases that run out, and those that were waited for."""
        while True:
            await asyncio.sleep(REFRESH_CHECK_SECONDS)
            self.refresh_if_due()

    def refresh_if_due(self) -> None:
        """Look if a portion may have changed with the time, or if messages of lost partitions are held."""
        due = self._refresh_at is not None and self.scheduler.now() >= self._refresh_at
        if due or self.lost_partitions:
            self.refresh_quotas()

    def refresh_quotas(self) -> None:
        """Tell the module of portions that have changed, and hand back what is another instance's now."""
        now, changed = self.scheduler.now(), set[int]()
        self._refresh_at, self._lease_was_valid = (
            self.fleet.next_quota_change(now),
            self.fleet.lease_valid(now),
        )
        for partition in self.fleet.candidate_partitions | self._quota_fractions.keys():
            portion = self.fleet.held_quota(partition, now).quota_fraction(self.settings.reserve)
            if portion != self._quota_fractions.get(partition, 0.0):
                changed.add(partition)
                self._quota_fractions[partition] = portion
        self.lost_partitions = {
            one for one in self.lost_partitions | changed if not self._quota_fractions[one]
        }
        if changed:
            pool = self.dispatcher.pool
            news = pool.changed_listings(lambda destination: self.fleet.partition(destination) in changed)
            if news.listings:
                self.dispatcher.apply_list_update(news)
        if self.lost_partitions:
            self._return_lost_messages(now)

    def _return_lost_messages(self, now: int) -> None:
        """Of partitions that were lost; those of which nothing is held any more need no further look."""
        held = {one.destination for one in self.dispatcher.messages.by_id.values()}
        held = {one for one in held if self.fleet.partition(one) in self.lost_partitions}
        for destination in held:
            if not self.fleet.awaits_lease(destination, now):
                self.dispatcher.return_unattempted(destination, BUSY_RETRY_AFTER)
        self.lost_partitions = {self.fleet.partition(destination) for destination in held}

    def _save(self, now: int) -> None:
        data = json.dumps(self.fleet.snapshot(), separators=(",", ":")).encode()
        if len(data) > MAX_SAVED_VIEW_BYTES:
            log.warning("fleet.view-not-saved", bytes=len(data), most=MAX_SAVED_VIEW_BYTES)
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
