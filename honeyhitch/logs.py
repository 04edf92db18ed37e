"""Structured logging: the only setup of logging, and the only interface through which modules log.

An event has a dotted name, such as `accept.failed`, and named fields. It is written to standard error as a
human-readable line (`console`) or as one JSON object (`json`). Nothing is logged for a message that is
delivered.

Repeated events are rate-limited per event name and value of the field `key`: for each pair, `BURST_EVENTS`
events are logged in `BURST_SECONDS`. The first event that is logged after a burst, or `flush`, states in the
field `left_out` how many events were suppressed. The table of names and keys is bounded.
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
BURST_EVENTS = 5  # events of one name and key that are logged in a burst
BURST_SECONDS = 10.0
MAX_KEYS = 1024  # pairs of name and key that are counted; the least recently used pair is dropped first

Event = structlog.typing.EventDict


class SuppressedEvents(NamedTuple):
    """The number of events of one name and key that were not logged."""

    name: str
    key: str
    event_count: int


@dataclass(slots=True)
class _Burst:
    """The counts of events of one name and key since `started_at`, in seconds of the limiter's clock."""

    started_at: float
    passed: int = 0
    suppressed: int = 0


class EventLimiter:
    """A structlog processor that passes the first events of each name and key, and counts the rest."""

    def __init__(
        self,
        clock: Callable[[], float],
        burst: int = BURST_EVENTS,
        burst_seconds: float = BURST_SECONDS,
    ) -> None:
        """Let `burst` events of each name and key pass in `burst_seconds`; `clock` returns seconds."""
        self.clock = clock
        self.burst = burst
        self.burst_seconds = burst_seconds
        self.bursts: OrderedDict[tuple[str, str], _Burst] = OrderedDict()

    def __call__(self, _logger: Any, _method: str, event: Event) -> Event:
        """Return the event with the count of events suppressed before it. Raise DropEvent over the limit."""
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

    def take_suppressed(self, include_unfinished: bool = False) -> list[SuppressedEvents]:
        """Remove and return the counts of suppressed events in bursts that are over.

        With `include_unfinished` the bursts that are not over are included, too. Each count is returned once.
        """
        now = self.clock()
        suppressed: list[SuppressedEvents] = []
        for (name, key), burst in list(self.bursts.items()):
            if include_unfinished or now - burst.started_at >= self.burst_seconds:
                if burst.suppressed:
                    suppressed.append(SuppressedEvents(name, key, burst.suppressed))
                del self.bursts[name, key]
        return suppressed


_limiter = EventLimiter(time.monotonic)


def setup(log_format: str = "console", level: str = "info", stream: TextIO | None = None) -> None:
    """Log events of this level and above in this format to `stream` (standard error unless given).

    Raise ValueError for an unknown format or level.
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


def get_logger(**fields: Any) -> structlog.typing.FilteringBoundLogger:
    """Return a logger that adds these fields to each of its events."""
    logger: structlog.typing.FilteringBoundLogger = structlog.get_logger(**fields)
    return logger


def flush(include_unfinished: bool = False) -> None:
    """Log how many events were suppressed in bursts that are over.

    With `include_unfinished`, as at the end of the process, the bursts that are not over are included, too.
    """
    for name, key, count in _limiter.take_suppressed(include_unfinished):
        get_logger().info(name, key=key, left_out=count)


setup()
