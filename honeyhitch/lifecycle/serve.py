"""Starts, runs and stops one dispatcher."""

from __future__ import annotations

import asyncio
import signal
import sys
from collections.abc import Awaitable, Callable

import uvloop

from honeyhitch.core import Dispatcher
from honeyhitch.lifecycle.config import Config, MqttSetup
from honeyhitch.lifecycle.signals import Stop
from honeyhitch.memory.journal import Journal
from honeyhitch.memory.pool import Pool, PoolError, PoolMember
from honeyhitch.wire import resp
from honeyhitch.wire.drivers.broker import MqttCarrier, MqttFront
from honeyhitch.wire.drivers.discovery import Discovery
from honeyhitch.wire.drivers.members import HttpCarrier
from honeyhitch.wire.drivers.tasks import LoopScheduler, Tasks
from honeyhitch.wire.drivers.virtual_server import VirtualServer

SPARE_SOCKETS = 200  # of the limit: for members, discovery, the journal and the like
ACCEPT_ON, SEND_ON, LEAVE_AT = 0.6, 2.8, 3.3  # seconds after SIGTERM; SIGKILL comes after 3.7 at the soonest


async def run(config: Config) -> None:
    """Serve until a signal to stop has been obeyed."""
    loop = asyncio.get_running_loop()
    tasks, scheduler = Tasks(loop), LoopScheduler(loop)
    settings = config.settings
    config.state.mkdir(parents=True, exist_ok=True)
    remember = max(cls.deadline for cls in settings.classes)
    journal = Journal(config.state, config.limits.disk, scheduler.now, remember)
    dispatcher = Dispatcher(settings, config.seed, Pool(settings), journal, scheduler)
    carrier = HttpCarrier(dispatcher, scheduler, tasks)
    discovery = Discovery(str(config.discovery), dispatcher, tasks)
    dispatcher.carriers["http"], dispatcher.fronts["resp"] = carrier, discovery
    works: list[Callable[[], Awaitable[None]]] = [discovery.watch, discovery.notify, carrier.sweep]
    if config.operator.mqtt is not None:
        works += _mqtt(config.operator.mqtt, dispatcher, scheduler, tasks)
    try:
        dispatcher.news(dispatcher.pool.update(config.known, cached=True))
    except PoolError as error:
        print(f"known: {error}", file=sys.stderr)
    dispatcher.resume()
    fields = resp.Fields(settings)
    clients = VirtualServer(
        (config.listen.host, config.listen.port),
        lambda: resp.Session(fields, dispatcher.offer, lambda: dispatcher.taking, scheduler.now),
        max(16, config.limits.sockets - SPARE_SOCKETS),
        tasks,
    )
    for work in (clients.accept, *works):
        tasks.keep(work)
    stop = Stop(loop, (signal.SIGTERM, signal.SIGINT))
    await stop.asked.wait()
    await _leave(dispatcher, clients, loop)
    await tasks.stop()
    journal.close()


def _mqtt(
    setup: MqttSetup, dispatcher: Dispatcher, scheduler: LoopScheduler, tasks: Tasks
) -> list[Callable[[], Awaitable[None]]]:
    front, carrier = (
        MqttFront(setup, dispatcher, scheduler, tasks),
        MqttCarrier(setup, dispatcher, scheduler, tasks),
    )
    dispatcher.fronts["mqtt"], dispatcher.carriers["mqtt"] = front, carrier
    pool = dispatcher.pool
    for told in setup.members:
        kind, zone = (
            pool.kinds.index(told.kind),
            pool.zones.index(told.zone) if told.zone in pool.zones else 0,
        )
        pool.fix(PoolMember(told.id, told.topic, told.destination, kind, zone, told.rate, carrier="mqtt"))
    return [link.run for link in (*front.links, carrier.link)]


async def _leave(dispatcher: Dispatcher, clients: VirtualServer, loop: asyncio.AbstractEventLoop) -> None:
    """Stop taking; let what is held finish for a bounded time; the journal keeps the rest."""
    began = loop.time()
    dispatcher.taking = False
    clients.close_idle()
    while loop.time() - began < LEAVE_AT:
        gone = loop.time() - began
        if gone > ACCEPT_ON and not dispatcher.held.by_id:
            return
        if gone > SEND_ON:
            dispatcher.sending = False
            if not dispatcher.out:
                return
        await asyncio.sleep(0.02)


def serve(config: Config) -> None:
    """Run on uvloop till told to stop."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run(config))
