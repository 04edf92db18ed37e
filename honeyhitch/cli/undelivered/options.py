"""Options shared by the commands on undelivered messages: the choice of records and access to the store."""

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
MAX_SEQUENCE_DIGITS = 18  # digits of a record's number
MAX_NAMED_RECORDS = 1000  # records with the same message id
Command = Callable[..., Any]


class TimeParameter(click.ParamType[int]):
    """A time: a date, a date with a time, or an age (`90m`, `2h`, `7d`). The zone is UTC unless given."""

    name = "time"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> int:
        """Return the Unix time in nanoseconds. Raise BadParameter for an invalid time."""
        if isinstance(value, int):
            return value
        if match := re.fullmatch(r"(\d{1,6})([smhd])", value):
            age = datetime.timedelta(seconds=int(match[1]) * SECONDS_PER_UNIT[match[2]])
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
    """A command option that chooses records, with the name of the store filter that it sets."""

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
    """Add the options that choose records to a command, which receives them as `record_filter`."""

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
    """Return a command that is called with the store as its first argument."""

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
    """Return the options and arguments that click has attached to a function so far."""
    parameters: list[click.Parameter] = getattr(command, "__click_params__", [])
    return parameters


@dataclass(frozen=True, slots=True)
class ChangeRequest:
    """The options of a command that changes records: the records, the reason and whether it is a dry run."""

    names: tuple[str, ...]  # message ids or record numbers
    record_filter: dict[str, str]
    everything: bool  # all records; needed if neither names nor filters are given
    reason: str
    dry_run: bool
    as_json: bool

    def filters(self, store: StoreAccess) -> list[dict[str, str]]:
        """Return the filters that together choose the records.

        Raise UsageError if both names and filters are given, or if neither is given without --all.
        """
        if self.names and self.record_filter:
            raise click.UsageError("name records or filter them, not both")
        if not self.names and not self.record_filter and not self.everything:
            raise click.UsageError("name records, filter them, or say --all")
        if not self.names:
            return [self.record_filter]
        return [{"seq": str(sequence)} for name in self.names for sequence in record_sequences(store, name)]


def change_options(reason_option: str) -> Callable[[Command], Command]:
    """Return a decorator that adds the options of a command that changes records.

    The command receives the store and a ChangeRequest. `reason_option` is the option for the reason, which
    goes into the audit entry.
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
            **other_options: Any,
        ) -> Any:
            request = ChangeRequest(names, record_filter, everything, change_reason, dry_run, as_json)
            return command(store, request, **other_options)

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
    """Return the numbers of the records with this message id, or else `name` itself as a record number.

    Raise ClickException if there is no record with this id and `name` is not a number.
    """
    page = store.execute("list", {"filter": {"id": name}, "most": MAX_NAMED_RECORDS})
    if page["records"]:
        return [record["seq"] for record in page["records"]]
    if name.isascii() and name.isdigit() and len(name) <= MAX_SEQUENCE_DIGITS:
        return [int(name)]
    raise click.ClickException(f"{name}: there is no record with this id")
