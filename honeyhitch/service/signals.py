"""Handlers of the signals that stop the process or reload its configuration."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable, Iterable


class StopSignal:
    """The request to stop: the first of the signals sets `received`, and later ones change nothing."""

    def __init__(self, loop: asyncio.AbstractEventLoop, signals: Iterable[signal.Signals]) -> None:
        self.received = asyncio.Event()
        for number in signals:
            loop.add_signal_handler(number, self.received.set)


def on_reload(loop: asyncio.AbstractEventLoop, callback: Callable[[], None]) -> None:
    """Call `callback` on each SIGHUP, which would end the process if it were not handled."""
    loop.add_signal_handler(signal.SIGHUP, callback)
