"""The components of one dispatcher process, on which `start`, `reload` and `shutdown` act."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from random import Random
from typing import TYPE_CHECKING, Any

from honeyhitch import logs
from honeyhitch.config import Config
from honeyhitch.dispatcher.dispatcher import Dispatcher
from honeyhitch.endpoints.pool import EndpointPool
from honeyhitch.journal.clock_anchor import AnchorFile, ClockAnchor
from honeyhitch.journal.directory import FIRST_SLOT
from honeyhitch.journal.process_record import ProcessDescription
from honeyhitch.protocols.control import CommandRegistry
from honeyhitch.service.descriptors import descriptor_budget, idle_limits
from honeyhitch.service.handover import ProcessHandover
from honeyhitch.service.memory_limits import MemoryLimits
from honeyhitch.service.open_state import open_clock, open_journal, open_state_directory
from honeyhitch.service.peer_check import unshareable_features
from honeyhitch.service.start_retry import StartRetry
from honeyhitch.service.state_writer import StateWriter
from honeyhitch.transports.client_server import ClientServer
from honeyhitch.transports.discovery import Discovery
from honeyhitch.transports.http_transport import HttpTransport
from honeyhitch.transports.tasks import LoopScheduler, Tasks

if TYPE_CHECKING:  # loaded only for configured features
    from honeyhitch.dead_letters.service import DeadLetterService
    from honeyhitch.service.fleet import FleetService
    from honeyhitch.transports.control import ControlServer

CLOSING_DIVISOR = 16  # of the clients' descriptors, for rejected clients that may read the last reply
DISCOVERY_SEED = 0xD15C  # mixed into the dispatcher's seed to make a separate random stream


class Service:
    """One dispatcher with its transports, journal and listeners. It belongs to the running event loop."""

    def __init__(self, config: Config, listen: bool = True) -> None:
        """Build the parts of every service. Raise ConfigError if the state directory cannot be used."""
        self.config = config
        self.loop = asyncio.get_running_loop()
        self.tasks = Tasks(self.loop)
        self.start_retry = StartRetry()
        self.state_directory = open_state_directory(config, listen, self.start_retry)
        self.clock_anchor = open_clock(config, self.state_directory, self.start_retry)
        self.scheduler = LoopScheduler(self.loop, self.clock_anchor.anchor.offset)
        self.journal = open_journal(config, self.state_directory, self.scheduler.now, self.start_retry)
        self._follow_wall_clock_if_unused()
        self.journal.record_owner(config.name)
        self.journal.record_names()
        pool = EndpointPool(config.settings)
        self.dispatcher = Dispatcher(config.settings, config.seed, pool, self.journal, self.scheduler)
        self.state_writer = StateWriter(self.loop, self._write_state)
        self.journal.on_postponed = self.state_writer.retry_later
        self.state_writer.retry_later()
        self.handover = ProcessHandover(
            self.state_directory, self.journal, self.dispatcher, self.divide_limits
        )
        self.memory = MemoryLimits(config)
        self.max_clients, max_idle = descriptor_budget(config)
        self.idle_limits = idle_limits(config, max_idle)
        http = HttpTransport(self.dispatcher, self.scheduler, self.tasks, self.idle_limits.http)
        self.idle_pools = [http]  # transports that pool idle connections to endpoints, with equal limits
        discovery_rng = Random(config.seed ^ DISCOVERY_SEED)
        self.discovery = Discovery(str(config.discovery), self.dispatcher, self.tasks, discovery_rng)
        self.dispatcher.transports["http"] = http
        self.dispatcher.frontends["resp"] = self.discovery.notices
        self.background_tasks: list[Callable[[], Awaitable[None]]] = [
            http.sweep,
            report_suppressed_events,
            self.handover.watch,
            self.memory.return_unused,
        ]
        self.servers: list[ClientServer] = []
        self.shared_servers: list[ClientServer] = []  # those at whose address the peer may listen as well
        self.clients: ClientServer | None = None  # the server to which clients submit messages
        self.limit_dividers: list[Callable[[int], None]] = []  # called with the number of processes
        self.commands = CommandRegistry()
        self.control: ControlServer | None = None
        self.dead_letters: DeadLetterService | None = None
        self.fleet: FleetService | None = None
        self.reload_certificates: Callable[[bool], Coroutine[Any, Any, None]] | None = None

    def divide_limits(self, peer_running: bool, peer_calls_in_flight: int | None) -> None:
        """Divide the limits evenly when another process of this dispatcher starts or ends, and at the start.

        `peer_calls_in_flight` is None until the other process hands over its messages. From then on this
        process may use every call slot that the other one does not use.
        """
        processes = 1 + peer_running
        for divide in self.limit_dividers:
            divide(processes)
        plan = self.memory.divide(processes)
        self.dispatcher.limit_messages(plan.message_bytes)
        self.discovery.limit_endpoints(plan.max_endpoints)
        if self.fleet is not None:
            self.fleet.max_instances = plan.max_instances
        if not peer_running:
            for server in self.shared_servers:
                server.listens_second = False
        call_slots = self.config.settings.max_concurrent_calls
        if peer_calls_in_flight is None:
            own_slots = call_slots // processes
        else:
            own_slots = call_slots - peer_calls_in_flight
        self.dispatcher.policy.limit_concurrent_calls(max(1, min(own_slots, plan.max_calls)))
        self.max_clients, max_idle = descriptor_budget(self.config, processes)
        for transport in self.idle_pools:
            transport.set_max_idle(max(1, max_idle // len(self.idle_pools)))
        if self.clients is not None:
            self.limit_clients(self.clients)

    def limit_clients(self, server: ClientServer) -> None:
        """Apply the limits on descriptors and memory to the server to which clients submit messages."""
        closing = self.max_clients // CLOSING_DIVISOR
        server.lingering.max_connections = closing
        server.set_max_clients(min(self.max_clients - closing, self.memory.plan.max_clients))

    def _follow_wall_clock_if_unused(self) -> None:
        """Use the time of the wall clock if no process has left a time in the state directory."""
        other_journal = self.state_directory.journal_path(self.state_directory.other_slot)
        alone = self.state_directory.slot == FIRST_SLOT and not other_journal.exists()
        if not alone or not self.journal.is_empty:
            return
        self.clock_anchor = AnchorFile(self.config.state, ClockAnchor.now())
        self.clock_anchor.write()
        self.scheduler.offset = self.clock_anchor.anchor.offset

    def _write_state(self) -> bool:
        """Write what could not be written to the state directory; return whether nothing is left."""
        anchor_written = self.clock_anchor.write()
        return self.dispatcher.write_postponed_records() and anchor_written

    def client_requests_finished(self) -> bool:
        """Return whether no client of this process has a request in progress."""
        return self.clients is None or self.clients.quiescent

    def shared_requests_finished(self) -> bool:
        """Return whether no request is in progress at an address at which the peer listens as well."""
        return all(server.quiescent for server in self.shared_servers)

    def describe_listeners(self) -> None:
        """Tell the other process of this dispatcher at which addresses this one listens."""
        description = ProcessDescription(
            serving=True,
            shared_addresses=tuple(server.address for server in self.shared_servers),
            features=unshareable_features(self.config),
        )
        self.state_directory.describe(description)


async def report_suppressed_events() -> None:
    """Log periodically how many repeated events were suppressed."""
    while True:
        await asyncio.sleep(logs.BURST_SECONDS)
        logs.flush()
