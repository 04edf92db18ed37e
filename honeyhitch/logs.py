"""Structured events: the one place where logging is set up, and the one way in which modules log.

An event has a name in dots, such as `accept.failed`, and named fields. It is written to standard error as a
line for people (`console`) or as one JSON object (`json`). Nothing is logged for a message that goes well.

Events that repeat are limited by name and `key` (a field): of each, `BURST` pass in a `SPAN`, and the
next one that passes, or `flush`, says how many were left out in a field `left_out`. The table of keys is
bounded.
"""

from __future__ import annotations

import logging
import sys
import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TextIO

import structlog

FORMATS = ("console", "json")
LEVELS = ("debug", "info", "warning", "error")
BURST_EVENTS, BURST_SECONDS = (
    5,
    10.0,
)  # events of one name and key that pass, and the seconds after which as many pass again
MAX_KEYS = 1024  # names and keys that are told apart; the one unheard for longest is forgotten first

Event = structlog.typing.EventDict


@dataclass(slots=True)
class _EventCount:
    since: float
    passed: int = 0
    left_out: int = 0


class EventLimiter:
    """Lets the first events of each name and key pass, and counts the rest; its clock gives seconds."""

    def __init__(
        self, clock: Callable[[], float], burst: int = BURST_EVENTS, burst_seconds: float = BURST_SECONDS
    ) -> None:
        self.clock, self.burst, self.burst_seconds = clock, burst, burst_seconds
        self.counts: OrderedDict[tuple[str, str], _EventCount] = OrderedDict()

    def __call__(self, _logger: Any, _method: str, event: Event) -> Event:
        """As a structlog processor: the event, or DropEvent for one too many."""
        now, name = self.clock(), (str(event.get("event", "")), str(event.get("key", "")))
        one = self.counts.get(name)
        if one is None or now - one.since >= self.burst_seconds:
            left_out = one.left_out if one is not None else 0
            one = self.counts[name] = _EventCount(now)
            if left_out:
                event["left_out"] = left_out
        self.counts.move_to_end(name)
        if len(self.counts) > MAX_KEYS:
            self.counts.popitem(last=False)
        if one.passed >= self.burst:
            one.left_out += 1
            raise structlog.DropEvent
        one.passed += 1
        return event

    def take_suppressed(self, everything: bool = False) -> list[tuple[str, str, int]]:
        """Names, keys and counts of what was left out and whose span has passed; each is told once."""
        now, told = self.clock(), []
        for (name, key), one in list(self.counts.items()):
            if everything or now - one.since >= self.burst_seconds:
                if one.left_out:
                    told.append((name, key, one.left_out))
                del self.counts[name, key]
        return told


_limiter = EventLimiter(time.monotonic)


def setup(form: str = "console", level: str = "info", stream: TextIO | None = None) -> None:
    """Write events in this form from this level on, to `stream` (standard error unless given).

    ValueError names a form or level that does not exist.
    """
    if form not in FORMATS:
        raise ValueError(f"log format: expected one of {', '.join(FORMATS)}, got {form!r}")
    if level not in LEVELS:
        raise ValueError(f"log level: expected one of {', '.join(LEVELS)}, got {level!r}")
    global _limiter
    _limiter = EventLimiter(time.monotonic)
    shape: list[structlog.typing.Processor]
    if form == "json":
        shape = [structlog.processors.format_exc_info, structlog.processors.JSONRenderer(default=str)]
    else:
        plain = structlog.dev.plain_traceback
        shape = [
            structlog.dev.ConsoleRenderer(colors=(stream or sys.stderr).isatty(), exception_formatter=plain)
        ]
    structlog.configure(
        processors=[
            _limiter,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            *shape,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelNamesMapping()[level.upper()]),
        logger_factory=lambda *_: structlog.PrintLogger(stream or sys.stderr),
        cache_logger_on_first_use=False,
    )


def get(**fields: Any) -> structlog.typing.FilteringBoundLogger:
    """A logger; the fields stand in each of its events."""
    logger: structlog.typing.FilteringBoundLogger = structlog.get_logger(**fields)
    return logger


def flush(everything: bool = False) -> None:
    """Say of each name and key whose span has passed how many events were left out; at the end, of all."""
    for name, key, count in _limiter.take_suppressed(everything):
        get().info(name, key=key, left_out=count)


setup()
