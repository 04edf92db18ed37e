"""Structured events: the one place where logging is set up, and the one way in which modules log.

An event has a name in dots, such as `accept.failed`, and named fields. It is written to standard error as a
line for people (`console`) or as one JSON object (`json`). Nothing is logged for a message that is delivered.

Events that repeat are limited by name and by the field `key`: of each, `BURST_EVENTS` pass in
`BURST_SECONDS`. The next one that passes, or `flush`, says in a field `left_out` how many did not. The table
of names and keys is bounded.
"""

from __future__ import annotations

import logging
import sys
import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple, TextIO

import structlog

FORMATS = ("console", "json")
LEVELS = ("debug", "info", "warning", "error")
BURST_EVENTS = 5  # of one name and key that pass in a burst
BURST_SECONDS = 10.0
MAX_KEYS = 1024  # names and keys that are counted; the one used least recently is dropped first

Event = structlog.typing.EventDict


class SuppressedEvents(NamedTuple):
    """How many events of one name and key did not pass."""

    name: str
    key: str
    event_count: int


@dataclass(slots=True)
class _Burst:
    """The events of one name and key since `started_at`, in seconds of the limiter's clock."""

    started_at: float
    passed: int = 0
    suppressed: int = 0


class EventLimiter:
    """Lets the first events of each name and key pass, and counts the rest. It is a structlog processor."""

    def __init__(
        self,
        clock: Callable[[], float],
        burst: int = BURST_EVENTS,
        burst_seconds: float = BURST_SECONDS,
    ) -> None:
        """`clock` gives seconds; `burst` events pass in `burst_seconds`."""
        self.clock = clock
        self.burst = burst
        self.burst_seconds = burst_seconds
        self.bursts: OrderedDict[tuple[str, str], _Burst] = OrderedDict()

    def __call__(self, _logger: Any, _method: str, event: Event) -> Event:
        """The event, with the count of those left out before it. Raises DropEvent for one too many."""
        now = self.clock()
        name_and_key = str(event.get("event", "")), str(event.get("key", ""))
        burst = self.bursts.get(name_and_key)
        if burst is None or now - burst.started_at >= self.burst_seconds:
            if burst is not None and burst.suppressed:
                event["left_out"] = burst.suppressed
            burst = self.bursts[name_and_key] = _Burst(now)
        self.bursts.move_to_end(name_and_key)
        if len(self.bursts) > MAX_KEYS:
            self.bursts.popitem(last=False)
        if burst.passed >= self.burst:
            burst.suppressed += 1
            raise structlog.DropEvent
        burst.passed += 1
        return event

    def take_suppressed(self, everything: bool = False) -> list[SuppressedEvents]:
        """What was left out in bursts that are over, or in all of them; each is reported once."""
        now = self.clock()
        suppressed: list[SuppressedEvents] = []
        for (name, key), burst in list(self.bursts.items()):
            if everything or now - burst.started_at >= self.burst_seconds:
                if burst.suppressed:
                    suppressed.append(SuppressedEvents(name, key, burst.suppressed))
                del self.bursts[name, key]
        return suppressed


_limiter = EventLimiter(time.monotonic)


def setup(log_format: str = "console", level: str = "info", stream: TextIO | None = None) -> None:
    """Write events in this format from this level on, to `stream` (standard error unless given).

    Raises ValueError for a format or level that does not exist.
    """
    if log_format not in FORMATS:
        raise ValueError(f"log format: expected one of {', '.join(FORMATS)}, got {log_format!r}")
    if level not in LEVELS:
        raise ValueError(f"log level: expected one of {', '.join(LEVELS)}, got {level!r}")
    global _limiter
    _limiter = EventLimiter(time.monotonic)
    structlog.configure(
        processors=[
            _limiter,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            *_renderers(log_format, stream or sys.stderr),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelNamesMapping()[level.upper()]),
        logger_factory=lambda *_: structlog.PrintLogger(stream or sys.stderr),
        cache_logger_on_first_use=False,
    )


def _renderers(log_format: str, stream: TextIO) -> list[structlog.typing.Processor]:
    if log_format == "json":
        return [structlog.processors.format_exc_info, structlog.processors.JSONRenderer(default=str)]
    return [
        structlog.dev.ConsoleRenderer(
            colors=stream.isatty(), exception_formatter=structlog.dev.plain_traceback
        )
    ]


def get(**fields: Any) -> structlog.typing.FilteringBoundLogger:
    """A logger that adds these fields to each of its events."""
    logger: structlog.typing.FilteringBoundLogger = structlog.get_logger(**fields)
    return logger


def flush(everything: bool = False) -> None:
    """Log how many events were left out in bursts that are over, or in all of them, as at the end."""
    for name, key, count in _limiter.take_suppressed(everything):
        get().info(name, key=key, left_out=count)


setup()
