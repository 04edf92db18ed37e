"""Commands that write undelivered messages to files: the export and the accountants' report."""

from __future__ import annotations

import csv
import json
import sqlite3
import sys
import time
from collections.abc import Callable
from contextlib import ExitStack
from typing import IO, Any

import click

from honeyhitch.cli.undelivered.formatting import format_time
from honeyhitch.cli.undelivered.options import filter_options, store_access
from honeyhitch.cli.undelivered.store_access import StoreAccess

PAGE_SIZE = 200  # records per request
# A spreadsheet evaluates a cell that starts with one of these characters.
FORMULA_STARTS = ("=", "+", "-", "@", "\t", "\r")
CSV_COLUMNS = (
    "seq", "id", "key", "cls", "tenant", "destination", "front", "came_at", "deadline", "ended_at", "ending",
    "reason", "come_back", "may_have_run", "first_ran", "attempts", "standing", "settled_by", "evidence",
    "resends", "resend_id", "intact", "body",
)  # fmt: skip
RecordWriter = Callable[[dict[str, Any]], Any]


@click.command()
@click.option("--format", "form", type=click.Choice(["csv", "jsonl"]), default="csv", show_default=True)
@click.option("--output", type=click.Path(), help="A file; it must not be there yet.")
@filter_options
@store_access
def export(store: StoreAccess, record_filter: dict[str, str], form: str, output: str | None) -> None:
    """Write the chosen records whole, a page at a time: as CSV for spreadsheets, or as JSON lines.

    In CSV a text that a spreadsheet would take for a formula gets a ' before it; JSON lines are exact.
    """
    with ExitStack() as files:
        try:
            output_file: IO[str] = (
                files.enter_context(open(output, "x", newline="")) if output else sys.stdout
            )
        except OSError as error:
            raise click.ClickException(f"{output}: {error.strerror}") from error
        count = 0
        write = _csv_writer(output_file) if form == "csv" else _json_lines_writer(output_file)
        arguments = {"filter": record_filter, "most": PAGE_SIZE, "bodies": True}
        for page in store.pages("list", arguments):
            for record in page["records"]:
                write(record)
                count += 1
        click.echo(f"{count} records", err=True)


def _json_lines_writer(output_file: IO[str]) -> RecordWriter:
    return lambda record: output_file.write(json.dumps(record) + "\n")


def _csv_writer(output_file: IO[str]) -> RecordWriter:
    writer = csv.writer(output_file)
    writer.writerow(CSV_COLUMNS)
    return lambda record: writer.writerow(_csv_row(record))


def _csv_row(record: dict[str, Any]) -> list[Any]:
    values = {**record, "body": record.get("body", record.get("body_hex", ""))}
    for name in ("came_at", "deadline", "ended_at"):
        values[name] = format_time(record[name])
    values["first_ran"] = format_time(record["first_ran"]) if record["first_ran"] is not None else ""
    values["attempts"] = len(record["attempts"])
    return [_csv_cell(values[name]) for name in CSV_COLUMNS]


def _csv_cell(value: Any) -> Any:
    return f"'{value}" if isinstance(value, str) and value.startswith(FORMULA_STARTS) else value


@click.command()
@click.option("--output", type=click.Path(), required=True, help="The HTML file; it must not be there yet.")
@click.option("--title", default="Undelivered messages", show_default=True, help="The page's title.")
@click.option("--amount-field", default="", help="The amount's path in JSON bodies, such as invoice.total.")
@filter_options
@store_access
def report(
    store: StoreAccess, record_filter: dict[str, str], output: str, title: str, amount_field: str
) -> None:
    """Write a page for the accountants: by partner, tenant, reason and day, with what became of it all."""
    local_store = store.open_store()
    from honeyhitch.dead_letters.filters import FilterError, RecordFilter
    from honeyhitch.dead_letters.report import Report

    summary = Report(store.settings.resend_settings, time.time_ns(), amount_field)
    try:
        parsed_filter = RecordFilter.parse(record_filter)
        count = sum(group.count for group in local_store.count_by(parsed_filter, ()))
        stored = local_store.iterate(parsed_filter)
        with click.progressbar(stored, length=count, label="records", file=sys.stderr) as records:
            summary.add(records)
    except (FilterError, sqlite3.Error) as error:
        raise click.ClickException(str(error)) from error
    finally:
        local_store.close()
    try:
        with open(output, "x", encoding="utf-8") as file:
            file.write(summary.html(title))
    except OSError as error:
        raise click.ClickException(f"{output}: {error.strerror}") from error
    click.echo(f"{sum(cell.count for cell in summary.total.values())} messages in {output}")
