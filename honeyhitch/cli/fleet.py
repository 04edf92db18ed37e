"""Commands that show a fleet from the view of one dispatcher, which they call at its `management` address."""

from __future__ import annotations

import json

import click

from honeyhitch.cli.management import fetch_figures, management_options


@click.group()
def fleet() -> None:
    """Look at partitioned destinations as a running dispatcher sees them."""


@fleet.command()
@management_options
def show(at: str | None, path: str | None, as_json: bool) -> None:
    """Print the view in force, how old it is, and what this instance owns."""
    figures = fetch_figures(at, path, "fleet")
    if as_json:
        click.echo(json.dumps(figures))
        return
    heartbeat_age = figures["heartbeat_age_ms"]
    click.echo(f"instance     {figures['name']} in zone {figures['zone']}, region {figures['region']}")
    click.echo(f"view         revision {figures['revision']}")
    click.echo(f"heartbeat    {'none yet' if heartbeat_age is None else f'{heartbeat_age} ms old'}")
    click.echo(f"instances    {figures['instances']}, of which {figures['ready']} ready")
    click.echo(
        f"partitions   holds {figures['holds']} and keeps {figures['keeps']} of {figures['partitions']}"
    )
    if figures["problem"]:
        click.echo(f"refused      {figures['problem']}")


@fleet.command()
@click.argument("destination", type=click.IntRange(0))
@management_options
def owner(destination: int, at: str | None, path: str | None, as_json: bool) -> None:
    """Print who may own DESTINATION in each zone, the first that is Ready before the others."""
    figures = fetch_figures(at, path, f"owner {destination}")
    if as_json:
        click.echo(json.dumps(figures))
        return
    click.echo(f"destination  {destination}, partition {figures['partition']}")
    click.echo(f"this one     may use {figures['portion']:.0%} of its zone's share")
    for zone, candidates in figures["zones"].items():
        click.echo(f"{zone:12} {', '.join(candidates) or 'nobody'}")
