"""What the commands on undelivered messages share: how records are chosen, and how the store is passed."""

from __future__ import annotations

import datetime
import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import click

from honeyhitch.cli.undelivered.store_access import StoreAccess
from honeyhitch.time_units import MILLISECOND, SECOND

SECONDS_PER_UNIT = {"s": 1, "m": 60, "h": 3600, "d": 86400}
MAX_SEQUENCE_DIGITS = 18
MAX_NAMED_RECORDS = 1000  # with the same id
Command = Callable[..., Any]


class TimeParameter(click.ParamType[int]):
    """A time: a date, a date with a time, or how long ago (`90m`, `2h`, `7d`); UTC where no zone is said."""

    name = "time"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> int:
        """Unix time in nanoseconds."""
        if isinstance(value, int):
            return value
        if found := re.fullmatch(r"(\d{1,6})([smhd])", value):
            age = datetime.timedelta(seconds=int(found[1]) * SECONDS_PER_UNIT[found[2]])
            return int((datetime.datetime.now(datetime.UTC) - age).timestamp()) * SECOND
        try:
            time = datetime.datetime.fromisoformat(value)
        except ValueError:
            self.fail(f"expected a date, a time, or how long ago (2h), got {value!r}", param, ctx)
        if time.tzinfo is None:
            time = time.replace(tzinfo=datetime.UTC)
        return int(time.timestamp() * 1000) * MILLISECOND


@dataclass(frozen=True, slots=True)
class FilterOption:
    """An option that chooses records, and the filter of an operation that it sets."""

    flag: str
    filter_name: str
    type: Any
    help: str


STATUSES = ["kept", "sending", "settled", "discarded"]
FILTER_OPTIONS = (
    FilterOption("--dest", "destination", int, "The number of the destination."),
    FilterOption("--class", "cls", str, "The class, as in the settings."),
    FilterOption("--tenant", "tenant", str, "The tenant, as in the settings."),
    FilterOption("--front", "front", click.Choice(["resp", "mqtt", "app"]), "The front that took it."),
    FilterOption("--ending", "ending", click.Choice(["failed", "rejected"]), "What its client was told."),
    FilterOption("--reason", "reason", str, "The last attempt's outcome; or not-tried, lost."),
    FilterOption("--standing", "standing", click.Choice(STATUSES), "What became of it."),
    FilterOption("--key", "key", str, "The idempotency key."),
    FilterOption(
        "--since", "since", TimeParameter(), "Ended at or after this time, or within this span (2h)."
    ),
    FilterOption("--until", "until", TimeParameter(), "Ended before this time."),
)


def filter_options(command: Command) -> Command:
    """The options that choose records; the command gets them as `record_filter`."""

    def with_filter(**options: Any) -> Any:
        record_filter = dict[str, str]()
        for option in FILTER_OPTIONS:
            value = options.pop(option.filter_name)
            if value is not None:
                record_filter[option.filter_name] = str(value)
        if may_have_executed := options.pop("may_have_executed"):
            record_filter["may_have_run"] = may_have_executed
        return command(record_filter=record_filter, **options)

    wrapped: Command = _copy_name(with_filter, command)
    for option in reversed(FILTER_OPTIONS):
        wrapped = click.option(option.flag, option.filter_name, type=option.type, help=option.help)(wrapped)
    executed = "may_have_executed"
    wrapped = click.option("--may-have-run", executed, flag_value="yes", help="Only those that may.")(wrapped)
    wrapped = click.option("--never-ran", executed, flag_value="no", help="Only those that did not.")(wrapped)
    wrapped.__click_params__ += _parameters(command)  # type: ignore[attr-defined]
    return wrapped


def store_access(command: Command) -> Command:
    """Pass a command the store as its first argument."""

    @click.pass_context
    def with_store(context: click.Context, /, **options: Any) -> Any:
        return command(context.obj(), **options)

    wrapped = _copy_name(with_store, command)
    wrapped.__click_params__ = _parameters(command)  # type: ignore[attr-defined]
    return wrapped


def _copy_name(wrapped: Command, command: Command) -> Command:
    wrapped.__name__ = command.__name__
    wrapped.__doc__ = command.__doc__
    return wrapped


def _parameters(command: Command) -> list[click.Parameter]:
    """The options and arguments that click has noted at a function so far."""
    parameters: list[click.Parameter] = getattr(command, "__click_params__", [])
    return parameters


@dataclass(frozen=True, slots=True)
class ChangeRequest:
    """What every command that changes records is asked: which ones, why, and whether only to say so."""

    names: tuple[str, ...]  # message ids, or records' numbers
    record_filter: dict[str, str]
    everything: bool  # where nothing is named or filtered
    reason: str
    dry_run: bool
    as_json: bool

    def filters(self, store: StoreAccess) -> list[dict[str, str]]:
        """The filters that together choose the records; nothing named chooses nothing."""
        if self.names and self.record_filter:
            raise click.UsageError("name records or filter them, not both")
        if not self.names and not self.record_filter and not self.everything:
            raise click.UsageError("name records, filter them, or say --all")
        if not self.names:
            return [self.record_filter]
        return [{"seq": str(sequence)} for name in self.names for sequence in record_sequences(store, name)]


def change_options(reason_option: str) -> Callable[[Command], Command]:
    """The options of a command that changes records; it gets the store and a ChangeRequest.

    `reason_option` is the option for the reason, which goes into the audit entry.
    """

    def decorate(command: Command) -> Command:
        def with_request(
            store: StoreAccess,
            *,
            names: tuple[str, ...],
            record_filter: dict[str, str],
            everything: bool,
            change_reason: str,
            dry_run: bool,
            as_json: bool,
            **more: Any,
        ) -> Any:
            request = ChangeRequest(names, record_filter, everything, change_reason, dry_run, as_json)
            return command(store, request, **more)

        wrapped = filter_options(store_access(_copy_name(with_request, command)))
        for option in (
            click.option("--json", "as_json", is_flag=True, help="For programs."),
            click.option("--dry-run", is_flag=True, help="Say what would be done, and do nothing."),
            click.option("--all", "everything", is_flag=True, help="Where nothing is named or filtered."),
            click.option(reason_option, "change_reason", required=True, help="Goes into the audit record."),
            click.argument("names", metavar="[ID]...", nargs=-1),
        ):
            wrapped = option(wrapped)
        return wrapped

    return decorate


def record_sequences(store: StoreAccess, name: str) -> list[int]:
    """The numbers of the records with this message id, or with this number."""
    page = store.execute("list", {"filter": {"id": name}, "most": MAX_NAMED_RECORDS})
    if page["records"]:
        return [record["seq"] for record in page["records"]]
    if name.isascii() and name.isdigit() and len(name) <= MAX_SEQUENCE_DIGITS:
        return [int(name)]
    raise click.ClickException(f"{name}: there is no record with this id")
