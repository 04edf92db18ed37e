"""Runs a dispatcher process until a signal stops it."""

from __future__ import annotations

import asyncio
import signal

import uvloop

from honeyhitch import logs
from honeyhitch.config import Config
from honeyhitch.service.assembly import assemble
from honeyhitch.service.reload import ConfigReader, reload
from honeyhitch.service.shutdown import close, drain_and_stop
from honeyhitch.service.signals import StopSignal, ignore_signals, on_reload, unblock_signals
from honeyhitch.service.start import start

log = logs.get_logger()


async def run(config: Config, read_config: ConfigReader) -> None:
    """Serve until SIGTERM or SIGINT, then drain and stop.

    On SIGHUP, apply the configuration that `read_config` returns. Raise ConfigError if the service cannot
    start with `config`.
    """
    loop = asyncio.get_running_loop()
    # Installed first, so that signals that arrive during assembly are handled after it.
    on_reload(loop, lambda: reload(service, read_config))
    stop = StopSignal(loop, (signal.SIGTERM, signal.SIGINT))
    unblock_signals()
    service = assemble(config)
    try:
        start(service)
        log.info("service.started", held=len(service.dispatcher.messages))
        await stop.received.wait()
        await drain_and_stop(service)
        log.info("service.stopped", held=len(service.dispatcher.messages))
    finally:
        await close(service)


def serve(config: Config, read_config: ConfigReader) -> None:
    """Call `run` on a uvloop event loop. Raise ConfigError if the service cannot start."""

    async def run_and_ignore_signals() -> None:
        try:
            await run(config, read_config)
        finally:
            ignore_signals(asyncio.get_running_loop())

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run_and_ignore_signals())
