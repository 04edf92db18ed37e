"""Commands that change undelivered messages. Every change is recorded in an audit entry."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from typing import Any

import click

from honeyhitch.cli.undelivered.options import ChangeRequest, Command, change_options, store_access
from honeyhitch.cli.undelivered.store_access import StoreAccess


def change_records(store: StoreAccess, change: str, request: ChangeRequest) -> None:
    """Change the chosen records page by page, print the result and exit; code 1 if none was changed."""
    done_count = 0
    left_count = 0
    for record_filter in request.filters(store):
        arguments = {
            "verb": change,
            "filter": record_filter,
            "why": request.reason,
            "dry_run": request.dry_run,
        }
        for page in store.pages("change", arguments):
            done_count += len(page["done"])
            left_count += len(page["left"])
            _show_page(page, change, request)
    if not request.as_json:
        click.echo(f"{done_count} {'would be done' if request.dry_run else 'done'}, {left_count} left")
    sys.exit(0 if done_count else 1)


def _show_page(page: dict[str, Any], change: str, request: ChangeRequest) -> None:
    if request.as_json:
        click.echo(json.dumps(page))
        return
    for record in page["done"]:
        click.echo(f"{'would ' if request.dry_run else ''}{change} {record['seq']} {record['id']}")
    for record in page["left"]:
        click.echo(f"left {record['seq']} {record['id']}: {record['why']}")


def change_command(reason_option: str) -> Callable[[Command], click.Command]:
    """Return a decorator that turns a function's name and docstring into a command that changes records."""

    def decorate(described: Command) -> click.Command:
        name = described.__name__

        def command(store: StoreAccess, request: ChangeRequest) -> None:
            change_records(store, name, request)

        command.__name__ = name
        command.__doc__ = described.__doc__
        return click.command()(change_options(reason_option)(command))

    return decorate


@change_command("--why")
def discard() -> None:
    """Say of records that nothing more will be done for them."""


@change_command("--why")
def settle() -> None:
    """Say of records that they are settled: the partner has them, or they were done in another way."""


@change_command("--evidence")
def release() -> None:
    """Free records that may have run: the partner has confirmed, as named, that they were not applied."""


@change_command("--why")
def resend() -> None:
    """Have records resent whatever the rules say, as soon as nothing can be applied twice.

    It is done by a running dispatcher, behind live traffic; while none runs, by the next one.
    """


@click.command()
@click.option("--altered", is_flag=True, help="The one record named, which was altered on disk.")
@change_options("--why")
def purge(store: StoreAccess, request: ChangeRequest, altered: bool) -> None:
    """Delete records that are settled or discarded; their audit records stay."""
    count = 0
    for record_filter in request.filters(store):
        arguments = {
            "filter": record_filter,
            "why": request.reason,
            "dry_run": request.dry_run,
            "altered": altered,
        }
        count += sum(page["count"] for page in store.pages("purge", arguments))
    if request.as_json:
        click.echo(json.dumps({"count": count, "dry_run": request.dry_run}))
    else:
        click.echo(f"{count} {'would be' if request.dry_run else 'were'} deleted")


@click.command()
@store_access
def rekey(store: StoreAccess) -> None:
    """Seal everything with a new key; the old one proves till all is done.

    It may be broken off at any moment, and goes on when it is asked for again.
    """
    arguments: dict[str, Any] = {"step": "start"}
    while arguments["step"]:
        answer = store.execute("rekey", arguments)
        arguments = {"step": answer["next"], "after": answer.get("after", 0)}
    if answer["left"]:
        raise click.ClickException(f"{answer['left']} records are not proved: the old keys stay (see verify)")
    click.echo(f"everything is sealed with key {answer['key']}")
