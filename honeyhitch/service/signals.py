"""Signals that ask the process to stop, or to read its configuration again."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable, Iterable


class StopSignal:
    """`received` is set by the first of the signals; a second one changes nothing."""

    def __init__(self, loop: asyncio.AbstractEventLoop, signals: Iterable[signal.Signals]) -> None:
        self.received = asyncio.Event()
        for number in signals:
            loop.add_signal_handler(number, self.received.set)


def on_reload(loop: asyncio.AbstractEventLoop, callback: Callable[[], None]) -> None:
    """Call `callback` on each SIGHUP, which would end the process otherwise."""
    loop.add_signal_handler(signal.SIGHUP, callback)
