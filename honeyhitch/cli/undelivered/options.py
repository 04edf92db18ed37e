"""What the commands on undelivered messages share: how records are chosen, and how times are shown."""

from __future__ import annotations

import datetime
import re
from collections.abc import Callable
from typing import Any

import click

from honeyhitch.cli.undelivered.access import Access

SPANS = {"s": 1, "m": 60, "h": 3600, "d": 86400}


class Moment(click.ParamType[int]):
    """A time: a date, a date with a time, or how long ago (`90m`, `2h`, `7d`); UTC where no zone is said."""

    name = "time"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> int:
        """Unix time in nanoseconds."""
        if isinstance(value, int):
            return value
        if found := re.fullmatch(r"(\d{1,6})([smhd])", value):
            past = datetime.timedelta(seconds=int(found[1]) * SPANS[found[2]])
            return int((datetime.datetime.now(datetime.UTC) - past).timestamp()) * 10**9
        try:
            told = datetime.datetime.fromisoformat(value)
        except ValueError:
            self.fail(f"expected a date, a time, or how long ago (2h), got {value!r}", param, ctx)
        told = told if told.tzinfo is not None else told.replace(tzinfo=datetime.UTC)
        return int(told.timestamp() * 1000) * 10**6


STANDINGS = ["kept", "sending", "settled", "replaced", "discarded"]
FILTERS = (
    ("--dest", "destination", int, "The number of the destination."),
    ("--class", "cls", str, "The class, as in the settings."),
    ("--tenant", "tenant", str, "The tenant, as in the settings."),
    ("--front", "front", click.Choice(["resp", "mqtt", "app"]), "The front that took it."),
    ("--ending", "ending", click.Choice(["failed", "rejected"]), "What its client was told."),
    ("--reason", "reason", str, "The last attempt's outcome; or not-tried, lost."),
    (
        "--standing",
        "standing",
        click.Choice(["kept", "sending", "settled", "discarded"]),
        "What became of it.",
    ),
    ("--key", "key", str, "The idempotency key."),
    ("--since", "since", Moment(), "Ended at or after this time, or within this span (2h)."),
    ("--until", "until", Moment(), "Ended before this time."),
)
Command = Callable[..., Any]


def filters(command: Command) -> Command:
    """The options that choose records; the command gets them as `chosen`."""

    def with_filter(**told: Any) -> Any:
        chosen = {name: told.pop(name) for _, name, _, _ in FILTERS}
        ran = told.pop("ran")
        words = {name: str(value) for name, value in chosen.items() if value is not None}
        return command(chosen=words | ({"may_have_run": ran} if ran else {}), **told)

    with_filter.__name__, with_filter.__doc__ = command.__name__, command.__doc__
    wrapped: Command = with_filter
    for flag, name, kind, text in reversed(FILTERS):
        wrapped = click.option(flag, name, type=kind, help=text)(wrapped)
    wrapped = click.option("--may-have-run", "ran", flag_value="yes", help="Only those that may.")(wrapped)
    wrapped = click.option("--never-ran", "ran", flag_value="no", help="Only those that did not.")(wrapped)
    wrapped.__click_params__ += getattr(command, "__click_params__", [])  # type: ignore[attr-defined]
    return wrapped


def access(command: Command) -> Command:
    """Give a command the store."""

    @click.pass_context
    def with_access(context: click.Context, /, **told: Any) -> Any:
        return command(context.obj(), **told)

    with_access.__name__, with_access.__doc__ = command.__name__, command.__doc__
    with_access.__click_params__ = getattr(command, "__click_params__", [])  # type: ignore[attr-defined]
    return with_access


def moment(at: int | None) -> str:
    """A time for people, UTC to the second."""
    if at is None:
        return "-"
    told = datetime.datetime.fromtimestamp(at / 10**9, datetime.UTC)
    return told.strftime("%Y-%m-%d %H:%M:%S")


def table(rows: list[tuple[Any, ...]], headers: tuple[str, ...]) -> str:
    """A table for people."""
    from tabulate import tabulate

    return tabulate(rows, headers, tablefmt="simple", disable_numparse=True)


def named(store: Access, name: str) -> list[int]:
    """The places of the records with this message id, or with this number."""
    page = store.ask("list", {"filter": {"id": name}, "most": 1000})
    if page["records"]:
        return [one["seq"] for one in page["records"]]
    if name.isascii() and name.isdigit() and len(name) < 19:
        return [int(name)]
    raise click.ClickException(f"{name}: there is no record with this id")
