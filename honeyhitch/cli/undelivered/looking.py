"""The commands that look at undelivered messages."""

from __future__ import annotations

import csv
import datetime
import json
import sqlite3
import sys
import time
from collections.abc import Callable
from contextlib import ExitStack
from typing import IO, Any

import click

from honeyhitch.cli.undelivered.access import Access
from honeyhitch.cli.undelivered.options import access, filters, moment, named, table

COLUMNS = ("seq", "id", "ended", "dest", "class", "tenant", "ending", "reason", "ran", "tries", "standing")
FORMULA = ("=", "+", "-", "@", "\t", "\r")  # a spreadsheet would run a cell that starts so
EXPORTED = (
    "seq", "id", "key", "cls", "tenant", "destination", "front", "came_at", "deadline", "ended_at", "ending",
    "reason", "come_back", "may_have_run", "first_ran", "attempts", "standing", "settled_by", "evidence",
    "resends", "resend_id", "intact", "body",
)  # fmt: skip


def row(one: dict[str, Any]) -> tuple[Any, ...]:
    """A record in the list."""
    standing = one["standing"] if one["intact"] else "ALTERED"
    standing += " released" if one["evidence"] else ""
    ran = "maybe" if one["may_have_run"] else "never"
    names = one["seq"], one["id"], moment(one["ended_at"]), one["destination"], one["cls"], one["tenant"]
    return (*names, one["ending"], one["reason"], ran, len(one["attempts"]), standing)


@click.command("list")
@click.option("--limit", type=click.IntRange(1), default=50, show_default=True, help="How many at most.")
@click.option("--after", type=click.IntRange(0), default=0, help="Go on after this record.")
@click.option("--newest-first", is_flag=True, help="In the reverse order.")
@click.option("--json", "as_json", is_flag=True, help="For programs.")
@filters
@access
def list_command(
    store: Access, chosen: dict[str, str], limit: int, after: int, newest_first: bool, as_json: bool
) -> None:
    """List records in the order in which they came."""
    told: dict[str, Any] = {"filter": chosen, "after": after, "newest_first": newest_first}
    found: list[dict[str, Any]] = []
    more = True
    while more and len(found) < limit:
        page = store.ask("list", {**told, "most": min(1000, limit - len(found))})
        found += page["records"]
        told["after"], more = page["after"], page["more"]
    if as_json:
        click.echo(json.dumps({"records": found, "after": told["after"], "more": more}))
        return
    if not found:
        click.echo("none")
        return
    click.echo(table([row(one) for one in found], COLUMNS))
    if more:
        click.echo(f"there may be more: --after {told['after']}")


@click.command()
@click.argument("name", metavar="ID")
@click.option("--json", "as_json", is_flag=True, help="For programs.")
@access
def show(store: Access, name: str, as_json: bool) -> None:
    """Show a record whole, with its attempts and what was done to it; ID is the message's or the record's."""
    found = [store.ask("show", {"seq": seq}) for seq in named(store, name)]
    if as_json:
        click.echo(json.dumps(found, indent=2))
        return
    for one in found:
        click.echo(text_of(one["record"], one["audit"]))


def text_of(one: dict[str, Any], audit: list[dict[str, Any]]) -> str:
    """A record for people."""
    times = ("came_at", "deadline", "ended_at", "first_ran", "changed_at")
    left_out = ("attempts", "body", "body_hex", "intact", "fault")
    lines = [] if one["intact"] else [f"ALTERED ON DISK: {one['fault']}"]
    for name, value in one.items():
        if name not in left_out:
            spans = f"{value / 10**9:g} s" if name in ("come_back", "window") else value
            lines.append(f"{name.replace('_', ' '):14} {moment(value) if name in times else spans}")
    rows: list[tuple[Any, ...]] = [
        (
            each["number"],
            each["member"],
            moment(each["at"]),
            each["outcome"] + (f" ({each['why']})" if each["why"] else ""),
            f"{each['took'] / 10**6:.0f} ms",
            f"{each['wait'] / 10**6:.0f} ms" if each["wait"] else "-",
            "maybe" if each["may_have_run"] else "never",
        )
        for each in one["attempts"]
    ]
    lines += (
        ["", table(rows, ("attempt", "member", "at", "outcome", "took", "told wait", "ran"))] if rows else []
    )
    if "body" in one:
        lines += ["", "body:", one["body"]]
    elif "body_hex" in one:
        lines += ["", "body in hexadecimal digits:", one["body_hex"]]
    rows = [
        (moment(each["at"]), each["who"], each["what"], each["why"], "" if each["intact"] else "ALTERED")
        for each in audit
    ]
    lines += ["", table(rows, ("at", "who", "what", "why", ""))] if rows else []
    return "\n".join([*lines, ""])


@click.command()
@click.option(
    "--by",
    multiple=True,
    type=click.Choice(
        ["destination", "cls", "tenant", "front", "ending", "reason", "standing", "may_have_run", "day"]
    ),
    default=("standing", "may_have_run"),
    show_default=True,
    help="What to count by; may be given several times.",
)
@click.option("--json", "as_json", is_flag=True, help="For programs.")
@filters
@access
def stats(store: Access, chosen: dict[str, str], by: tuple[str, ...], as_json: bool) -> None:
    """Count records, and say how full the store is and what it had to drop."""
    told = store.ask("stats", {"filter": chosen, "by": list(by)})
    if as_json:
        click.echo(json.dumps(told))
        return
    shown: dict[str, Callable[[Any], str]] = {
        "may_have_run": lambda ran: "maybe" if ran else "never",
        "day": day,
    }
    rows = [
        (*(shown.get(name, str)(group[name]) for name in by), group["count"], int(group["bytes"]))
        for group in told["groups"]
    ]
    click.echo(table(rows, (*by, "count", "bytes of bodies")))
    limits = told["limits"]
    click.echo(
        f"\n{told['count']} of {limits['count']} records, {int(told['bytes'])} of {limits['bytes']} bytes"
    )
    for one in told["dropped"]:
        ran = "may have run" if one["may_have_run"] else "never ran"
        click.echo(f"dropped for {one['why']}: {one['count']} that {ran}, {one['bytes']} bytes")


def day(number: int) -> str:
    """A day for people, from days since 1970."""
    return (datetime.date(1970, 1, 1) + datetime.timedelta(days=number)).isoformat()


@click.command()
@click.option("--format", "form", type=click.Choice(["csv", "jsonl"]), default="csv", show_default=True)
@click.option("--output", type=click.Path(), help="A file; it must not be there yet.")
@filters
@access
def export(store: Access, chosen: dict[str, str], form: str, output: str | None) -> None:
    """Write the chosen records whole, a page at a time: as CSV for spreadsheets, or as JSON lines.

    In CSV a text that a spreadsheet would take for a formula gets a ' before it; JSON lines are exact.
    """
    with ExitStack() as files:
        try:
            out: IO[str] = files.enter_context(open(output, "x", newline="")) if output else sys.stdout
        except OSError as error:
            raise click.ClickException(f"{output}: {error.strerror}") from error
        count = 0
        write = _csv(out) if form == "csv" else _lines(out)
        for page in store.pages("list", {"filter": chosen, "most": 200, "bodies": True}):
            for one in page["records"]:
                write(one)
                count += 1
        click.echo(f"{count} records", err=True)


def _lines(out: IO[str]) -> Callable[[dict[str, Any]], Any]:
    return lambda one: out.write(json.dumps(one) + "\n")


def _csv(out: IO[str]) -> Callable[[dict[str, Any]], Any]:
    writer = csv.writer(out)
    writer.writerow(EXPORTED)

    def cell(value: Any) -> Any:
        return f"'{value}" if isinstance(value, str) and value.startswith(FORMULA) else value

    def write(one: dict[str, Any]) -> None:
        told = {**one, "body": one.get("body", one.get("body_hex", ""))}
        told |= {name: moment(one[name]) for name in ("came_at", "deadline", "ended_at")}
        told["first_ran"] = moment(one["first_ran"]) if one["first_ran"] is not None else ""
        told["attempts"] = len(one["attempts"])
        writer.writerow([cell(told[name]) for name in EXPORTED])

    return write


@click.command()
@access
def state(store: Access) -> None:
    """Say how the running dispatcher stands, and what waits for the store or is being resent, as JSON."""
    click.echo(json.dumps(store.state(), indent=2))


@click.command()
@click.option("--json", "as_json", is_flag=True, help="For programs.")
@access
def verify(store: Access, as_json: bool) -> None:
    """Look at the file and at every seal; exit 1 if anything was altered or is damaged."""
    opened, faults = store.store(), list[str]()
    try:
        for line in opened.verify():
            faults.append(line)
            if not as_json:
                click.echo(line)
    except sqlite3.Error as error:
        faults.append(f"file: {error}")
        if not as_json:
            click.echo(faults[-1])
    finally:
        opened.close()
    told = {"records": opened.count, "faults": faults}
    click.echo(json.dumps(told) if as_json else f"{opened.count} records, {len(faults)} faults")
    sys.exit(1 if faults else 0)


@click.command()
@click.option("--json", "as_json", is_flag=True, help="For programs.")
@access
def audit(store: Access, as_json: bool) -> None:
    """List every audit record, oldest first."""
    for page in store.pages("audit", {"most": 200}):
        for one in page["audit"]:
            altered = "" if one["intact"] else " ALTERED"
            names = f"{one['who']} {one['what']} {one['seq']} {one['id']}"
            text = f"{moment(one['at'])} {names}: {one['why']}{altered}"
            click.echo(json.dumps(one) if as_json else text)


@click.command()
@click.option("--output", type=click.Path(), required=True, help="The HTML file; it must not be there yet.")
@click.option("--title", default="Undelivered messages", show_default=True, help="The page's title.")
@click.option("--amount-field", default="", help="The amount's path in JSON bodies, such as invoice.total.")
@filters
@access
def report(store: Access, chosen: dict[str, str], output: str, title: str, amount_field: str) -> None:
    """Write a page for the accountants: by partner, tenant, reason and day, with what became of it all."""
    opened = store.store()
    from honeyhitch.dead_letters.filters import Filter, FilterError
    from honeyhitch.dead_letters.report import Report

    told = Report(store.terms, time.time_ns(), amount_field)
    try:
        wanted = Filter.parse(chosen)
        count = sum(group["count"] for group in opened.counted(wanted, ()))
        with click.progressbar(opened.all(wanted), length=count, label="records", file=sys.stderr) as records:
            told.add(records)
    except (FilterError, sqlite3.Error) as error:
        raise click.ClickException(str(error)) from error
    finally:
        opened.close()
    try:
        with open(output, "x", encoding="utf-8") as file:
            file.write(told.html(title))
    except OSError as error:
        raise click.ClickException(f"{output}: {error.strerror}") from error
    click.echo(f"{sum(cell.count for cell in told.total.values())} messages in {output}")
