"""Signals that ask the process to stop."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Iterable


class Stop:
    """`asked` is set by the first of the signals; a second one changes nothing."""

    def __init__(self, loop: asyncio.AbstractEventLoop, signals: Iterable[signal.Signals]) -> None:
        self.asked = asyncio.Event()
        for number in signals:
            loop.add_signal_handler(number, self.asked.set)
