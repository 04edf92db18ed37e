"""The commands that change undelivered messages; each leaves an audit record."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Iterator
from typing import Any

import click

from honeyhitch.cli.undelivered.access import Access
from honeyhitch.cli.undelivered.options import Command, access, filters, named


def changing(why: str) -> Callable[[Command], Command]:
    """The options of a command that changes records: which ones, why, and whether only to say so."""

    def decorate(command: Command) -> Command:
        for option in (
            click.option("--json", "as_json", is_flag=True, help="For programs."),
            click.option("--dry-run", is_flag=True, help="Say what would be done, and do nothing."),
            click.option("--all", "everything", is_flag=True, help="Where nothing is named or filtered."),
            click.option(why, "why", required=True, help="Goes into the audit record."),
            click.argument("names", metavar="[ID]...", nargs=-1),
        ):
            command = option(command)
        return command

    return decorate


def chosen_ones(
    store: Access, names: tuple[str, ...], chosen: dict[str, str], everything: bool
) -> Iterator[dict[str, str]]:
    """The filters that together choose the records; nothing named chooses nothing."""
    if names and chosen:
        raise click.UsageError("name records or filter them, not both")
    if not names and not chosen and not everything:
        raise click.UsageError("name records, filter them, or say --all")
    if names:
        return iter([{"seq": str(seq)} for name in names for seq in named(store, name)])
    return iter([chosen])


def change(
    store: Access,
    verb: str,
    names: tuple[str, ...],
    chosen: dict[str, str],
    why: str,
    everything: bool,
    dry_run: bool,
    as_json: bool,
) -> None:
    """Have a change made to the chosen records, some at a time, and say what was done; exit 1 if nothing."""
    done, left = 0, 0
    for words in chosen_ones(store, names, chosen, everything):
        told = {"verb": verb, "filter": words, "why": why, "dry_run": dry_run}
        for page in store.pages("change", told):
            done, left = done + len(page["done"]), left + len(page["left"])
            if as_json:
                click.echo(json.dumps(page))
                continue
            for one in page["done"]:
                click.echo(f"{'would ' if dry_run else ''}{verb} {one['seq']} {one['id']}")
            for one in page["left"]:
                click.echo(f"left {one['seq']} {one['id']}: {one['why']}")
    if not as_json:
        click.echo(f"{done} {'would be done' if dry_run else 'done'}, {left} left")
    sys.exit(0 if done else 1)


def verb(why: str) -> Callable[[Command], click.Command]:
    """A command that changes records, with the function's name and words; `why` is the option for it."""

    def decorate(told: Command) -> click.Command:
        def command(store: Access, **options: Any) -> None:
            change(store, told.__name__, **options)

        command.__name__, command.__doc__ = told.__name__, told.__doc__
        return click.command()(changing(why)(filters(access(command))))

    return decorate


@verb("--why")
def discard() -> None:
    """Say of records that nothing more will be done for them."""


@verb("--why")
def settle() -> None:
    """Say of records that they are settled: the partner has them, or they were done in another way."""


@verb("--evidence")
def release() -> None:
    """Free records that may have run: the partner has confirmed, as named, that they were not applied."""


@verb("--why")
def resend() -> None:
    """Have records resent whatever the rules say, as soon as nothing can be applied twice.

    It is done by a running dispatcher, behind live traffic; while none runs, by the next one.
    """


@click.command()
@click.option("--altered", is_flag=True, help="The one record named, which was altered on disk.")
@changing("--why")
@filters
@access
def purge(
    store: Access,
    names: tuple[str, ...],
    chosen: dict[str, str],
    why: str,
    everything: bool,
    dry_run: bool,
    as_json: bool,
    altered: bool,
) -> None:
    """Delete records that are settled or discarded; their audit records stay."""
    count = 0
    for words in chosen_ones(store, names, chosen, everything):
        told = {"filter": words, "why": why, "dry_run": dry_run, "altered": altered}
        count += sum(page["count"] for page in store.pages("purge", told))
    told = {"count": count, "dry_run": dry_run}
    click.echo(json.dumps(told) if as_json else f"{count} {'would be' if dry_run else 'were'} deleted")


@click.command()
@access
def rekey(store: Access) -> None:
    """Seal everything with a new key; the old one proves till all is done.

    It may be broken off at any moment, and goes on when it is asked for again.
    """
    told: dict[str, Any] = {"step": "start"}
    while told["step"]:
        answer = store.ask("rekey", told)
        told = {"step": answer["next"], "after": answer.get("after", 0)}
    if answer["left"]:
        raise click.ClickException(f"{answer['left']} records are not proved: the old keys stay (see verify)")
    click.echo(f"everything is sealed with key {answer['key']}")
