"""Handlers of the signals that stop the process or reload its configuration.

The signals are blocked until the handlers are installed, and ignored after the service has been closed. Their
default action would end a process that has just started, or change the exit code of one that ends.
"""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable, Iterable

HANDLED_SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)


def unblock_signals() -> None:
    """Deliver the signals from now on, those that are pending first."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)


def ignore_signals(loop: asyncio.AbstractEventLoop) -> None:
    """Ignore the signals until the end of the process."""
    for number in HANDLED_SIGNALS:
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)


class StopSignal:
    """The request to stop: the first of the signals sets `received`, and later ones change nothing."""

    def __init__(self, loop: asyncio.AbstractEventLoop, signals: Iterable[signal.Signals]) -> None:
        self.received = asyncio.Event()
        for number in signals:
            loop.add_signal_handler(number, self.received.set)


def on_reload(loop: asyncio.AbstractEventLoop, callback: Callable[[], None]) -> None:
    """Call `callback` on each SIGHUP, which would end the process if it were not handled."""
    loop.add_signal_handler(signal.SIGHUP, callback)
