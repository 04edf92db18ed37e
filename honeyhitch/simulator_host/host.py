"""Hosts policy instances for a simulator: collects the events of a batch and writes the resulting actions."""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple, TextIO

from honeyhitch import logs
from honeyhitch.config.deployment import ConfigError
from honeyhitch.config.instance import SettingsReader
from honeyhitch.config.values import parse_integer
from honeyhitch.policy.actions import RecordOutage, ReportHealth
from honeyhitch.policy.engine import DeliveryPolicy
from honeyhitch.policy.events import (
    EndpointListing,
    EndpointListUpdate,
    Event,
    MessageWithdrawn,
    TimerFired,
    UpdateMode,
)
from honeyhitch.simulator_host.lines import (
    WireError,
    check_health_result,
    format_action,
    format_policy_error,
    format_ready,
    parse_arrival,
    parse_attempt_ended,
    parse_listing,
    parse_update_mode,
)

log = logs.get_logger()
PAGE_COUNT = 16  # number of endpoint-list pages that `ledger` lines may define
MAX_QUOTED_LENGTH = 80  # characters of an invalid line that its error quotes


class Instance:
    """A hosted policy with its report fields and the events that it has not handled yet."""

    def __init__(self, policy: DeliveryPolicy, report_fields: tuple[str, ...]) -> None:
        self.policy = policy
        self.report_fields = report_fields
        self.events: list[Event] = []


class Batch(NamedTuple):
    """The batch whose lines are being read."""

    now: int  # the simulator's clock in nanoseconds
    number: str  # as written in the `tick` line


@dataclass
class IncompletePage:
    """A page of the endpoint list that still lacks some of its `endpoint` lines."""

    number: int
    size: int
    listings: list[EndpointListing] = field(default_factory=list)

    @property
    def missing(self) -> int:
        """The number of `endpoint` lines that have not been read yet."""
        return self.size - len(self.listings)


class LineHandler(NamedTuple):
    """The number of values of a line with a given name, and the function that handles them."""

    value_count: int
    handle: Callable[[list[str]], object]


class Host:
    """The policy instances of this process, which handle batches of events and reply on `output`."""

    def __init__(self, output: TextIO) -> None:
        self.instances: dict[str, Instance] = {}
        self._output = output
        self._pages: dict[int, tuple[EndpointListing, ...]] = {}
        self._incomplete_page: IncompletePage | None = None
        self._batch: Batch | None = None
        self._clock = 0
        self._deciding_instances: dict[str, None] = {}  # names, in the order of their first line in a batch
        self._line_handlers = {
            "ledger": LineHandler(2, self._start_page),
            "endpoint": LineHandler(7, self._add_listing),
            "down": LineHandler(1, self._stop_instance),
            "membership": LineHandler(4, self._queue_list_update),
            "arrival": LineHandler(9, lambda values: self._queue_event(values[0], parse_arrival(values))),
            "returned": LineHandler(9, self._queue_attempt_end),
            "abandoned": LineHandler(
                2, lambda values: self._queue_event(values[0], MessageWithdrawn(values[1]))
            ),
            "fired": LineHandler(2, lambda values: self._queue_event(values[0], TimerFired())),
            "accepted": LineHandler(5, lambda values: self._select_instance(values[0])),
            "health_result": LineHandler(5, self._check_health_result),
            "note_from": LineHandler(3, lambda values: self._select_instance(values[0])),
        }

    @property
    def in_batch(self) -> bool:
        """Whether a batch has been started and not committed yet."""
        return self._batch is not None

    def handle_line(self, line: str) -> None:
        """Handle one line of input.

        Raise ConfigError, or its subclass WireError, for a line that the wire does not allow.
        """
        name, *values = line.split(" ")
        if self._batch is None:
            if line:
                self._start_batch(line, name, values)
            return
        if self._incomplete_page is not None and name != "endpoint":
            missing = self._incomplete_page.missing
            raise WireError(f"expected {missing} more 'endpoint' lines, got {line[:MAX_QUOTED_LENGTH]!r}")
        if name == "commit":
            if values:
                raise WireError(f"commit: expected no values, got {len(values)}")
            self._commit(self._batch)
        elif name == "power_on":
            self._start_instance(values)
        elif name in self._line_handlers:
            handler = self._line_handlers[name]
            if len(values) != handler.value_count:
                raise WireError(f"{name}: expected {handler.value_count} values, got {len(values)}")
            handler.handle(values)
        else:
            raise WireError(f"expected an event or 'commit', got {line[:MAX_QUOTED_LENGTH]!r}")

    def _start_batch(self, line: str, name: str, values: list[str]) -> None:
        if name != "tick" or len(values) != 2:
            raise WireError(f"expected 'tick CLOCK NUMBER', got {line[:MAX_QUOTED_LENGTH]!r}")
        now = parse_integer(values[0], "clock")
        number = values[1]
        parse_integer(number, "batch number")
        if now < self._clock:
            raise WireError(f"clock: expected at least {self._clock}, the last batch's clock, got {now}")
        self._clock = now
        self._batch = Batch(now, number)

    def _select_instance(self, name: str) -> Instance:
        """Return the running instance of this name and let it decide when the batch is committed.

        Raise WireError if no instance of this name is running.
        """
        instance = self.instances.get(name)
        if instance is None:
            raise WireError(f"expected the name of a running instance, got {name!r}")
        self._deciding_instances[name] = None
        return instance

    def _queue_event(self, name: str, event: Event) -> None:
        self._select_instance(name).events.append(event)

    def _start_instance(self, values: list[str]) -> None:
        if len(values) < 2:
            raise WireError(f"power_on: expected an instance, a seed and settings, got {len(values)} values")
        name, seed, *pairs = values
        try:
            settings = SettingsReader.from_pairs(pairs).settings()
        except (ConfigError, ValueError) as error:
            raise WireError(f"power_on: {error}") from error
        policy = DeliveryPolicy(settings, parse_integer(seed, "seed"))
        self.instances[name] = Instance(policy, settings.report_fields)
        self._deciding_instances[name] = None

    def _stop_instance(self, values: list[str]) -> None:
        name = values[0]
        self._select_instance(name)
        del self.instances[name]
        del self._deciding_instances[name]

    def _start_page(self, values: list[str]) -> None:
        page = parse_integer(values[0], "page")
        size = parse_integer(values[1], "hosts")
        if not 0 <= page < PAGE_COUNT or size < 0:
            raise WireError(
                f"ledger: expected a page from 0 to {PAGE_COUNT - 1} and a size from 0, got {page} {size}"
            )
        self._pages[page] = ()
        self._incomplete_page = IncompletePage(page, size) if size else None

    def _add_listing(self, values: list[str]) -> None:
        page = self._incomplete_page
        if page is None:
            raise WireError("endpoint: expected a 'ledger' line before it that announces this endpoint")
        page.listings.append(parse_listing(values))
        if not page.missing:
            self._pages[page.number] = tuple(page.listings)
            self._incomplete_page = None

    def _queue_list_update(self, values: list[str]) -> None:
        mode = parse_update_mode(values[1])
        if mode is UpdateMode.FAILED:
            self._queue_event(values[0], EndpointListUpdate(mode))
            return
        page = parse_integer(values[2], "page")
        if page not in self._pages:
            raise WireError(f"membership: expected a page that an earlier 'ledger' line defined, got {page}")
        self._queue_event(values[0], EndpointListUpdate(mode, self._pages[page]))

    def _queue_attempt_end(self, values: list[str]) -> None:
        instance = self._select_instance(values[0])
        instance.events.append(parse_attempt_ended(values, instance.report_fields))

    def _check_health_result(self, values: list[str]) -> None:
        self._select_instance(values[0])
        check_health_result(values)

    def _commit(self, batch: Batch) -> None:
        """Let each selected instance handle its events, write the reply and end the batch."""
        lines: list[str] = []
        for name in self._deciding_instances:
            lines += self._decide(name, batch.now)
        lines.append(format_ready(batch.number))
        self._output.write("\n".join(lines))
        self._output.flush()
        self._batch = None
        self._deciding_instances = {}

    def _decide(self, name: str, now: int) -> list[str]:
        instance = self.instances[name]
        events = instance.events
        instance.events = []
        lines: list[str] = []
        try:
            for action in instance.policy.handle(now, events):
                if not isinstance(action, ReportHealth | RecordOutage):
                    lines.append(format_action(name, action))
        except Exception as error:  # any error of a policy is reported on the wire; the host continues
            log.exception("policy.failed", instance=name)
            lines.append(format_policy_error(name, error))
        return lines


def main() -> int:
    """Handle standard input until it ends.

    Return 0 if the input ended between batches, and 1 if it ended inside a batch or held an invalid line.
    """
    sys.stdin.reconfigure(encoding="utf-8")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    host = Host(sys.stdout)
    line_number = 0
    try:
        for line_number, line in enumerate(sys.stdin, 1):
            host.handle_line(line.rstrip("\n"))
        if host.in_batch:
            raise WireError("end of input inside a batch: expected 'commit'")
    except (ConfigError, UnicodeDecodeError) as error:
        log.error("input.line-rejected", line=line_number, error=str(error))
        return 1
    return 0
