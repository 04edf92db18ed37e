"""Partitioned destinations in one process: watches the fleet's view, routes messages, applies quotas."""

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
from honeyhitch.partitioning.settings import FleetSettings
from honeyhitch.partitioning.view import MAX_INSTANCES
from honeyhitch.protocols.discovery_backoff import WatchBackoff
from honeyhitch.protocols.list_parser import ParsedList, RowList
from honeyhitch.protocols.resp import Route, busy_reply
from honeyhitch.time_units import MILLISECOND, SECOND
from honeyhitch.transports.list_watch import ListWatch
from honeyhitch.transports.peers import Forwarder, PeerConnections

log = logs.get_logger()
VIEW_FILE_NAME = "fleet-view.json"  # file in the state directory
MAX_SAVED_VIEW_BYTES = 250_000
SAVE_INTERVAL = 60 * SECOND  # after a restart while control is silent, leases count from the last save
REFRESH_CHECK_SECONDS = 0.25  # between checks for quotas that change with time
NO_OWNER_REPLY = busy_reply(BUSY_RETRY_AFTER)


class FleetService:
    """Keeps the view, routes messages, and applies this instance's quotas to the dispatcher.

    It implements `Router` for client sessions and `QuotaSource` for the dispatcher. See
    docs/design/partitioning.md.
    """

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
        """Create the service of one instance.

        `refetch` requests discovery's complete list. It is called when this instance becomes a candidate for
        more partitions.
        """
        self.fleet = Fleet(settings)
        self.settings = settings
        self.dispatcher = dispatcher
        self.scheduler = scheduler
        self.loop = loop
        self.path = state / VIEW_FILE_NAME
        self.rng = rng
        self.refetch = refetch
        self.connections = PeerConnections(loop, settings.peer_connections)
        self.forwarder = Forwarder(
            dispatcher.settings,
            settings.name,
            self._owner_addresses,
            self.connections,
            scheduler.now,
            NO_OWNER_REPLY,
        )
        self.forwarder.owner_name = self._name_at
        self._named_view = self.fleet.view  # the view from which `_names` was made
        self._names: dict[str, str] = {}  # of the instances, by address
        self.max_instances = MAX_INSTANCES  # of the view
        self.lost_partitions = set[int]()  # partitions without a quota whose messages are still held
        self._quota_fractions: dict[int, float] = {}  # by partition, as last applied to the dispatcher
        self._saved_at = 0
        self._refresh_at: int | None = 0  # when a quota may next change without an update
        self._lease_was_valid = False  # at the last refresh
        dispatcher.quota_source = self
        dispatcher.pool.accepts_destination = self.fleet.is_candidate
        dispatcher.pool.quota_fraction = self._current_quota_fraction

    # Routing, quotas and reports.

    @property
    def ready(self) -> bool:
        """Whether there is a view, received by this process or saved by an earlier one."""
        return bool(self.fleet.view.instances)

    def quota_fraction(self, destination: int, now: int) -> float:
        """Return the fraction of its zone's quota of a destination that this instance may use, 0 to 1.

        `now` is a Unix time in nanoseconds.
        """
        return self.fleet.quota_fraction(destination, now)

    def _current_quota_fraction(self, destination: int) -> float:
        return self.quota_fraction(destination, self.scheduler.now())

    def has_destination(self, destination: int) -> bool:
        """Return whether a destination exists.

        The result is True for a destination that this instance is not a candidate for: the owners of that
        destination check it.
        """
        return not self.fleet.is_candidate(destination) or self.dispatcher.pool.has_destination(destination)

    def route(self, transaction: Transaction, forwarded: bool) -> Route:
        """Return where a message goes.

        A message that this process has accepted before stays here and is answered as accepted.
        """
        if self.dispatcher.journal.has_accepted(transaction.id):
            return Route.LOCAL
        if self._current_quota_fraction(transaction.destination) > 0:
            return Route.LOCAL
        if forwarded or not self.ready:
            return Route.REJECT
        return Route.FORWARD  # if there is no owner to ask, the forwarder rejects the message too

    def describe(self) -> dict[str, Any]:
        """Return the current view, as the management call `fleet` reports it."""
        status = self.fleet.status(self.scheduler.now())
        age = status.heartbeat_age
        return {
            "name": self.settings.name,
            "zone": self.settings.zone,
            "region": self.settings.region,
            "revision": status.revision,
            "instances": status.instance_count,
            "ready": status.ready_count,
            "heartbeat_age_ms": age // MILLISECOND if age is not None else None,
            "partitions": self.settings.partitions,
            "holds": status.held_partitions,
            "keeps": status.candidate_partitions,
            "problem": status.problem,
        }

    def describe_owners(self, destination: int) -> dict[str, Any]:
        """Return the owners of a destination by zone, as the management call `owner` reports them."""
        partition = self.fleet.partition(destination)
        candidates = {
            zone: [
                f"{instance.name} {instance.phase.value}"
                for instance in self.fleet.candidates(zone, partition)
            ]
            for zone in self.settings.zones
        }
        return {
            "destination": destination,
            "partition": partition,
            "portion": self._current_quota_fraction(destination),
            "zones": candidates,
        }

    def _name_at(self, address: str) -> str:
        """Return the name of the instance that the view lists at an address, or no text if there is none."""
        view = self.fleet.view
        if view is not self._named_view:
            self._named_view = view
            self._names = {instance.address: instance.name for instance in view.instances.values()}
        return self._names.get(address, "")

    def _owner_addresses(self, destination: int) -> list[str]:
        owners = self.fleet.owners(destination, self.scheduler.now())
        return [instance.address for instance in owners]

    # The view.

    def restore(self) -> None:
        """Read the view that an earlier process saved. A file that cannot be read is logged and ignored."""
        try:
            saved = json.loads(self.path.read_bytes())
            self.fleet.restore(saved, self.scheduler.now())
        except FileNotFoundError:
            return
        except (OSError, ValueError) as error:  # a FleetViewError is a ValueError
            log.warning("fleet.saved-view-rejected", error=str(error))

    async def watch(self) -> None:
        """Watch the view until cancelled. The current view stays valid while the view's agent is silent."""
        instance_count = max(1, len(self.fleet.view.instances))
        backoff = WatchBackoff(
            self.rng,
            instance_count,
            has_list=self.ready,
            address_changed=False,
            drain_grace=self.settings.lease / SECOND,
        )
        watch = ListWatch(
            self.settings.view,
            self.loop,
            backoff,
            self._revision,
            lambda: RowList(self.max_instances),
            self._apply_received,
        )
        await watch.run()

    def _revision(self) -> int:
        return self.fleet.view.revision

    def _apply_received(self, update: ParsedList[RowList]) -> None:
        self.apply_update({**update.fields, "members": update.collector.rows})

    def apply_update(self, update: dict[str, Any]) -> None:
        """Apply a list, change or heartbeat in discovery's form. Raise FleetViewError if it is faulty."""
        previous_view = self.fleet.view
        previous_partitions = self.fleet.candidate_partitions
        now = self.scheduler.now()
        try:
            self.fleet.apply_update(update, now)
        except ClockError as error:  # the view was applied, the heartbeat was not
            log.warning("fleet.clock-rejected", error=str(error), key=self.settings.view)
        view = self.fleet.view
        if previous_view.revision != view.revision:
            log.info("fleet.view-applied", revision=view.revision, key=self.settings.view)
        if not self.fleet.candidate_partitions <= previous_partitions:
            self.refetch()
        if previous_view.instances != view.instances or now - self._saved_at >= SAVE_INTERVAL:
            self._save(now)
        if previous_view is not view or self._lease_was_valid is not self.fleet.lease_valid(now):
            self.refresh_quotas()

    def _save(self, now: int) -> None:
        data = json.dumps(self.fleet.snapshot(), separators=(",", ":")).encode()
        if len(data) > MAX_SAVED_VIEW_BYTES:
            log.warning("fleet.view-not-saved", bytes=len(data), max_bytes=MAX_SAVED_VIEW_BYTES)
            return
        new_path = self.path.with_suffix(".new")
        try:
            new_path.write_bytes(data)
            os.replace(new_path, self.path)
        except OSError as error:
            log.warning("fleet.view-not-saved", error=str(error))
        self._saved_at = now

    # Quotas that change.

    async def watch_expiry(self) -> None:
        """Refresh the quotas as leases begin or expire without an update, until cancelled."""
        while True:
            await asyncio.sleep(REFRESH_CHECK_SECONDS)
            self.refresh_if_due()

    def refresh_if_due(self) -> None:
        """Refresh the quotas if one may have changed with time, or messages of lost partitions are held."""
        due = self._refresh_at is not None and self.scheduler.now() >= self._refresh_at
        if due or self.lost_partitions:
            self.refresh_quotas()

    def refresh_quotas(self) -> None:
        """Apply changed quotas to the dispatcher, and return the messages of partitions that were lost."""
        now = self.scheduler.now()
        self._refresh_at = self.fleet.next_quota_change(now)
        self._lease_was_valid = self.fleet.lease_valid(now)
        changed = self._update_quota_fractions(now)
        self.lost_partitions = {
            partition for partition in self.lost_partitions | changed if not self._quota_fractions[partition]
        }
        if changed:
            self._apply_changed_quotas(changed)
        if self.lost_partitions:
            self._return_lost_messages(now)

    def _update_quota_fractions(self, now: int) -> set[int]:
        """Recompute the quotas as of `now`, and return the partitions whose quota has changed."""
        changed = set[int]()
        for partition in self.fleet.candidate_partitions | self._quota_fractions.keys():
            fraction = self.fleet.held_quota(partition, now).quota_fraction(self.settings.reserve)
            if fraction != self._quota_fractions.get(partition, 0.0):
                changed.add(partition)
                self._quota_fractions[partition] = fraction
        return changed

    def _apply_changed_quotas(self, partitions: set[int]) -> None:
        """List the endpoints of these partitions again, with the rates that follow from the new quotas."""
        update = self.dispatcher.pool.changed_listings(
            lambda destination: self.fleet.partition(destination) in partitions
        )
        if update.listings:
            self.dispatcher.apply_list_update(update)

    def _return_lost_messages(self, now: int) -> None:
        """Return unattempted messages of lost partitions, and forget lost partitions without messages."""
        messages = self.dispatcher.messages.by_id.values()
        held_destinations = {message.destination for message in messages}
        partition = self.fleet.partition
        lost_destinations = {
            destination for destination in held_destinations if partition(destination) in self.lost_partitions
        }
        for destination in lost_destinations:
            if not self.fleet.awaits_lease(destination, now):
                self.dispatcher.return_unattempted(destination, BUSY_RETRY_AFTER)
        self.lost_partitions = {partition(destination) for destination in lost_destinations}

    def close(self) -> None:
        """Close the connections to other instances."""
        self.connections.close()
