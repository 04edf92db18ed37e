"""Starts, runs and stops one dispatcher."""

from __future__ import annotations

import asyncio
import os
import signal
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import replace
from random import Random
from typing import TYPE_CHECKING, Any

import uvloop

from honeyhitch import __version__, logs
from honeyhitch.config import Config, ConfigError
from honeyhitch.config.deployment import Address, ControlSettings
from honeyhitch.dispatcher.delivery import DispatcherState, Phase
from honeyhitch.dispatcher.dispatcher import Dispatcher
from honeyhitch.endpoints.pool import EndpointPool, PoolError
from honeyhitch.journal.directory import FIRST_SLOT, StateDirectory, StateDirectoryInUseError
from honeyhitch.journal.journal import Journal, JournalVersionError
from honeyhitch.journal.transactions import Transaction
from honeyhitch.protocols import resp
from honeyhitch.protocols.agent_check import AgentSession, HealthSession
from honeyhitch.protocols.control import CommandRegistry, ControlRequest
from honeyhitch.protocols.management import ManagementSession
from honeyhitch.protocols.transaction_parser import TransactionParser
from honeyhitch.service import features as optional_parts
from honeyhitch.service import shutdown
from honeyhitch.service.descriptors import MONITORING_CONNECTIONS, descriptor_budget
from honeyhitch.service.handover import ProcessHandover
from honeyhitch.service.signals import StopSignal, on_reload
from honeyhitch.transports import sockets
from honeyhitch.transports.client_server import ClientServer, ServerSession
from honeyhitch.transports.discovery import Discovery
from honeyhitch.transports.http_transport import HttpTransport
from honeyhitch.transports.tasks import LoopScheduler, Tasks

if TYPE_CHECKING:  # what a start without an operator's file needs none of
    from honeyhitch.dead_letters.service import DeadLetterService
    from honeyhitch.service.fleet import FleetService
    from honeyhitch.transports.control import ControlServer

log = logs.get()
REDELIVERY = 600 * 10**9  # ns for which ids are remembered that a broker may hand in again
AT_START_ONLY = ("name", "listen", "management", "state", "seed", "limits", "known", "settings", "operator")


class Service:
    """One dispatcher with all that stands around it; it belongs to the running loop."""

    def __init__(self, config: Config, listen: bool = True) -> None:
        self.config, self.loop = config, asyncio.get_running_loop()
        settings, self.tasks, self.scheduler = config.settings, Tasks(self.loop), LoopScheduler(self.loop)
        self.state_directory = self._hold(config, listen)
        longest = max(cls.deadline for cls in settings.classes)
        # A broker may hand an id in again long after; a client of the other front does so at once or never.
        try:
            self.journal = Journal(
                config.state,
                config.limits.disk,
                self.scheduler.now,
                lambda ended: max(longest, REDELIVERY) if ended.frontend == "mqtt" else longest,
                detailed=config.operator.undelivered is not None,
                file_name=self.state_directory.journal_path(self.state_directory.slot).name,
            )
        except (JournalVersionError, OSError) as error:
            raise ConfigError(f"state: {error}") from error
        self.journal.record_owner(config.name)
        pool = EndpointPool(settings)
        self.dispatcher = Dispatcher(settings, config.seed, pool, self.journal, self.scheduler)
        self.handover = ProcessHandover(self.state_directory, self.journal, self.dispatcher, self._shared)
        self.max_clients, most_idle = descriptor_budget(config)
        secure = config.operator.tls is not None  # then both carriers keep idle connections
        most_plain = max(1, most_idle // 2) if secure else most_idle
        carrier = HttpTransport(self.dispatcher, self.scheduler, self.tasks, most_plain)
        self.idle_pools = [carrier]  # those that keep idle connections to members, in even parts
        self.discovery = Discovery(
            str(config.discovery), self.dispatcher, self.tasks, Random(config.seed ^ 0xD15C)
        )
        self.dispatcher.transports["http"], self.dispatcher.frontends["resp"] = carrier, self.discovery
        self.background_work: list[Callable[[], Awaitable[None]]] = [
            carrier.sweep,
            self.report_suppressed_events,
            self.handover.watch,
        ]
        self.reload_certificates: Callable[[bool], Coroutine[Any, Any, None]] | None = None
        way = optional_parts.add_tls(self, max(1, most_idle - most_plain))
        if config.operator.mqtt is not None:
            optional_parts.add_mqtt(self, config.operator.mqtt, way)
        self.servers: list[ClientServer] = []
        self.clients: ClientServer | None = None  # the one of them for clients
        self.commands = CommandRegistry()
        self.control: ControlServer | None = None
        self.commands.add("GET", "/state", self._state)
        self.dead_letters: DeadLetterService | None = None
        self.fleet: FleetService | None = None
        if config.operator.fleet is not None:
            optional_parts.add_fleet(self, config.operator.fleet, listen)
        if config.operator.undelivered is not None:
            optional_parts.add_undelivered(self, config.operator.undelivered)

    @staticmethod
    def _hold(config: Config, listen: bool) -> StateDirectory:
        """A place in the lasting folder. The first one's holder must find nobody at its address: one that
        listens there without a place is an earlier version, which shares neither, or another dispatcher.
        """
        try:
            folder = StateDirectory(config.state)
        except (StateDirectoryInUseError, OSError) as error:
            raise ConfigError(f"state: {error}") from error
        if listen and folder.slot == FIRST_SLOT:
            try:
                sockets.check_address_unused((config.listen.host, config.listen.port))
            except OSError as error:
                folder.close()
                raise ConfigError(f"listen: cannot listen on {config.listen}: {error.strerror}") from error
        return folder

    def _shared(self, shared: bool, out: int | None) -> None:
        """Another process of this dispatcher came or went: slots and places are shared out evenly. Once it
        passes on what it holds, the slots that its last calls do not use are this one's.
        """
        slots = self.config.settings.max_concurrent_calls
        self.dispatcher.policy.limit_concurrent_calls(
            max(1, slots // (1 + shared) if out is None else slots - out)
        )
        self.max_clients, most_idle = descriptor_budget(self.config, 1 + shared)
        for carrier in self.idle_pools:
            carrier.set_max_idle(max(1, most_idle // len(self.idle_pools)))
        if self.clients is not None:
            self.clients.set_max_clients(self.max_clients)

    def state(self) -> DispatcherState:
        """Whether it accepts new work; before a fleet's first view it cannot tell what is its own."""
        state = self.dispatcher.state()
        if self.fleet is not None and not self.fleet.ready and state.phase is Phase.READY:
            return replace(state, phase=Phase.STARTING)
        return state

    async def _state(self, asked: ControlRequest) -> dict[str, Any]:
        state = self.dispatcher.state()
        told: dict[str, Any] = {
            "phase": state.phase.value,
            "held": state.message_count,
            "most": state.max_messages,
        }
        if self.dead_letters is not None:
            told["undelivered"] = self.dead_letters.metrics()
        return told | {"pid": os.getpid(), "name": self.config.name, "version": __version__}

    def start(self, listen: bool = True) -> None:
        """Replay the journal, then serve. Without `listen` only the library's callers hand in."""
        dispatcher, config = self.dispatcher, self.config
        if self.fleet is not None:
            self.fleet.restore()
        try:
            dispatcher.apply_list_update(dispatcher.pool.update(config.known, cached=True))
        except PoolError as error:
            log.warning("list.known-rejected", error=str(error))
        self.handover.start()
        if self.handover.peer_running:
            if (other := self.handover.follower.name) != config.name:
                raise ConfigError(f"name: the state folder is held by {other!r}, which runs")
            self._refuse_beside()
        if self.dead_letters is not None:  # what is handed in may be a copy of what is kept
            dispatcher.accepting = False
            self.dead_letters.begin(self._resume)
        else:
            self._resume()
        if listen:
            served = dispatcher.pool.has_destination if self.fleet is None else self.fleet.has_destination
            fields = TransactionParser(config.settings, served, dispatcher.metrics.message_invalid)
            self.clients = self._listen(
                "listen",
                config.listen,
                lambda: resp.Session(
                    fields,
                    dispatcher.submit,
                    lambda: self.state().phase is Phase.READY,
                    self.scheduler.now,
                    self.fleet,
                ),
                self.max_clients,
                shared=True,
                forward=None if self.fleet is None else self.fleet.forwarder.forward,
            )
            if self.handover.peer_running:
                log.info(
                    "listen.address-shared", steered=sockets.prefer_second_listener(self.clients.listener)
                )
        beside, state = config.operator, self.state
        calls: tuple[tuple[str, Address | None, Callable[[], ServerSession]], ...] = (
            ("beside.agent-check", beside.agent_check, lambda: AgentSession(state)),
            ("beside.health", beside.health, lambda: HealthSession(state)),
            (
                "management",
                config.management,
                lambda: ManagementSession(state, dispatcher.metrics_snapshot, self.fleet),
            ),
        )
        for name, address, session in calls:
            if address is not None:
                self._listen(name, address, session, MONITORING_CONNECTIONS, once=name == "management")
        if beside.control is not None:
            self._control(beside.control)
        for work in self.background_work:
            self.tasks.run_forever(work)
        # Before a fleet's first view nothing of a list would be kept: it is asked for once that has come.
        self.discovery.start(watch=self.fleet is None or self.fleet.ready)

    def _refuse_beside(self) -> None:
        """What two processes cannot have at once yet: a store, a socket in the folder, a broker's session."""
        operator = self.config.operator
        told: dict[str, object] = {"undelivered": operator.undelivered, "control": operator.control}
        told |= {"mqtt": operator.mqtt, "fleet": operator.fleet}  # each process would use the whole share
        for key, setup in told.items():
            if setup is not None:
                raise ConfigError(f"{key}: cannot be had beside a running process; stop that one first")

    def _take_rules(self, new: Config) -> None:
        """Rules for undelivered messages change at once; the rest of that table holds from a start on."""
        told = new.operator.undelivered
        if self.dead_letters is None or told is None or self.config.operator.undelivered is None:
            return
        if told.rules != self.config.operator.undelivered.rules:
            self.dead_letters.resending.replace_rules(told.rules)
            log.info("reload.rules-replaced", rules=len(told.rules))
        beside = replace(self.config.operator.undelivered, rules=told.rules)
        self.config = replace(self.config, operator=replace(self.config.operator, undelivered=beside))

    def _resume(self) -> None:
        self.dispatcher.accepting = not self.dispatcher.draining and self.dispatcher.sending
        self.dispatcher.recover()
        self.handover.recovered = True

    def _control(self, setup: ControlSettings) -> None:
        from honeyhitch.transports.control import ControlServer, ControlSocketError

        try:
            self.control = ControlServer(setup.at(self.config.state), self.commands, self.tasks)
        except ControlSocketError as error:  # messages are served all the same
            log.error("control.not-opened", error=str(error))
            return
        self.tasks.run_forever(self.control.accept)

    def reload(self, read: Callable[[Config], Config]) -> None:
        """Take over a new configuration: nothing held is lost, and with a faulty one all stays as it is.
        Files of TLS partners are read again in any case; those that cannot be used stay as they were, too.
        """
        if self.reload_certificates is not None:
            self.tasks.start(self.reload_certificates(True))
        try:
            new = read(self.config)
        except Exception as error:  # whatever is wrong with a file must not end a process that serves
            what = error if isinstance(error, ConfigError) else repr(error)
            log.error("reload.rejected", error=str(what), kept="the configuration as it was")
            return
        if new.discovery != self.config.discovery:
            log.info("reload.discovery-moved", before=str(self.config.discovery), now=str(new.discovery))
            self.discovery.move(str(new.discovery))
        self._take_rules(new)
        for name in AT_START_ONLY:
            if getattr(new, name) != getattr(self.config, name):
                log.warning("reload.restart-required", setting=name, key=name)
        self.config = new

    def _listen(
        self,
        name: str,
        address: Address,
        session: Callable[[], ServerSession],
        most: int,
        once: bool = False,
        shared: bool = False,
        forward: Callable[[Transaction], Awaitable[bytes | None]] | None = None,
    ) -> ClientServer:
        try:
            server = ClientServer(
                (address.host, address.port), session, most, self.tasks, once, shared, forward
            )
        except OSError as error:
            raise ConfigError(f"{name}: cannot listen on {address}: {error.strerror}") from error
        self.servers.append(server)
        self.tasks.run_forever(server.accept)
        self.tasks.run_forever(server.sweep)
        return server

    def servers_settled(self) -> bool:
        """No client of this process has a request on its way."""
        return self.clients is None or self.clients.quiescent

    async def report_suppressed_events(self) -> None:
        """Say from time to time which repeated events were left out of the log."""
        while True:
            await asyncio.sleep(logs.BURST_SECONDS)
            logs.flush()

    async def close(self) -> None:
        """Let go of everything at once, as a kill would."""
        self.dispatcher.accepting = self.dispatcher.sending = False
        for server in self.servers:
            server.close()
        if self.control is not None:
            self.control.close()
        await self.tasks.stop()
        if self.dead_letters is not None:
            await self.dead_letters.stop()
        if self.fleet is not None:
            self.fleet.close()
        self.handover.close()
        self.journal.close()
        self.state_directory.close()
        logs.flush(everything=True)


async def run(config: Config, read: Callable[[Config], Config]) -> None:
    """Serve until a signal to stop has been obeyed; `read` reads the configuration again."""
    loop = asyncio.get_running_loop()  # signals that come while the service is set up wait for it
    on_reload(loop, lambda: service.reload(read))
    stop = StopSignal(loop, (signal.SIGTERM, signal.SIGINT))
    service = Service(config)
    try:
        service.start()
        await stop.received.wait()
        await shutdown.drain_and_stop(service)
    finally:
        await service.close()


def serve(config: Config, read: Callable[[Config], Config]) -> None:
    """Run on uvloop till told to stop."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run(config, read))
