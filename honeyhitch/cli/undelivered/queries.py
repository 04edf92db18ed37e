"""Commands that show undelivered messages, the state of the store and its faults."""

from __future__ import annotations

import json
import sqlite3
import sys
from typing import Any

import click

from honeyhitch.cli.undelivered.formatting import (
    LIST_COLUMNS,
    format_day,
    format_executed,
    format_record,
    format_table,
    format_time,
    list_row,
)
from honeyhitch.cli.undelivered.options import filter_options, record_sequences, store_access
from honeyhitch.cli.undelivered.store_access import StoreAccess

MAX_PAGE_SIZE = 1000  # records in one answer
AUDIT_PAGE_SIZE = 200
GROUP_NAMES = [
    "destination", "cls", "tenant", "front", "ending", "reason", "standing", "may_have_run", "day",
]  # fmt: skip


@click.command("list")
@click.option("--limit", type=click.IntRange(1), default=50, show_default=True, help="How many at most.")
@click.option("--after", type=click.IntRange(0), default=0, help="Go on after this record.")
@click.option("--newest-first", is_flag=True, help="In the reverse order.")
@click.option("--json", "as_json", is_flag=True, help="For programs.")
@filter_options
@store_access
def list_command(
    store: StoreAccess,
    record_filter: dict[str, str],
    limit: int,
    after: int,
    newest_first: bool,
    as_json: bool,
) -> None:
    """List records in the order in which they came."""
    records: list[dict[str, Any]] = []
    more = True
    while more and len(records) < limit:
        arguments = {
            "filter": record_filter,
            "after": after,
            "newest_first": newest_first,
            "most": min(MAX_PAGE_SIZE, limit - len(records)),
        }
        page = store.execute("list", arguments)
        records += page["records"]
        after = page["after"]
        more = page["more"]
    if as_json:
        click.echo(json.dumps({"records": records, "after": after, "more": more}))
        return
    if not records:
        click.echo("none")
        return
    click.echo(format_table([list_row(record) for record in records], LIST_COLUMNS))
    if more:
        click.echo(f"there may be more: --after {after}")


@click.command()
@click.argument("name", metavar="ID")
@click.option("--json", "as_json", is_flag=True, help="For programs.")
@store_access
def show(store: StoreAccess, name: str, as_json: bool) -> None:
    """Show a record whole, with its attempts and what was done to it; ID is the message's or the record's."""
    answers = [store.execute("show", {"seq": sequence}) for sequence in record_sequences(store, name)]
    if as_json:
        click.echo(json.dumps(answers, indent=2))
        return
    for answer in answers:
        click.echo(format_record(answer["record"], answer["audit"]))


@click.command()
@click.option(
    "--by",
    multiple=True,
    type=click.Choice(GROUP_NAMES),
    default=("standing", "may_have_run"),
    show_default=True,
    help="What to count by; may be given several times.",
)
@click.option("--json", "as_json", is_flag=True, help="For programs.")
@filter_options
@store_access
def stats(store: StoreAccess, record_filter: dict[str, str], by: tuple[str, ...], as_json: bool) -> None:
    """Count records, and say how full the store is and what it had to drop."""
    answer = store.execute("stats", {"filter": record_filter, "by": list(by)})
    if as_json:
        click.echo(json.dumps(answer))
        return
    rows = [_group_row(group, by) for group in answer["groups"]]
    click.echo(format_table(rows, (*by, "count", "bytes of bodies")))
    limits = answer["limits"]
    records = f"{answer['count']} of {limits['count']} records"
    click.echo(f"\n{records}, {int(answer['bytes'])} of {limits['bytes']} bytes")
    for dropped in answer["dropped"]:
        executed = "may have run" if dropped["may_have_run"] else "never ran"
        count = f"{dropped['count']} that {executed}"
        click.echo(f"dropped for {dropped['why']}: {count}, {dropped['bytes']} bytes")


def _group_row(group: dict[str, Any], by: tuple[str, ...]) -> tuple[Any, ...]:
    values = [_format_group_value(name, group[name]) for name in by]
    return (*values, group["count"], int(group["bytes"]))


def _format_group_value(name: str, value: Any) -> str:
    if name == "may_have_run":
        return format_executed(value)
    return format_day(value) if name == "day" else str(value)


@click.command()
@store_access
def state(store: StoreAccess) -> None:
    """Say how the running dispatcher stands, and what waits for the store or is being resent, as JSON."""
    click.echo(json.dumps(store.dispatcher_state(), indent=2))


@click.command()
@click.option("--json", "as_json", is_flag=True, help="For programs.")
@store_access
def verify(store: StoreAccess, as_json: bool) -> None:
    """Look at the file and at every seal; exit 1 if anything was altered or is damaged."""
    local_store = store.open_store()
    faults = list[str]()

    def add_fault(line: str) -> None:
        faults.append(line)
        if not as_json:
            click.echo(line)

    try:
        for line in local_store.verify():
            add_fault(line)
    except sqlite3.Error as error:
        add_fault(f"file: {error}")
    finally:
        local_store.close()
    if as_json:
        click.echo(json.dumps({"records": local_store.record_count, "faults": faults}))
    else:
        click.echo(f"{local_store.record_count} records, {len(faults)} faults")
    sys.exit(1 if faults else 0)


@click.command()
@click.option("--json", "as_json", is_flag=True, help="For programs.")
@store_access
def audit(store: StoreAccess, as_json: bool) -> None:
    """List every audit record, oldest first."""
    for page in store.pages("audit", {"most": AUDIT_PAGE_SIZE}):
        for entry in page["audit"]:
            click.echo(json.dumps(entry) if as_json else _format_audit_entry(entry))


def _format_audit_entry(entry: dict[str, Any]) -> str:
    altered = "" if entry["intact"] else " ALTERED"
    subject = f"{entry['who']} {entry['what']} {entry['seq']} {entry['id']}"
    return f"{format_time(entry['at'])} {subject}: {entry['why']}{altered}"
