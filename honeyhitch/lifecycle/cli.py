"""The command line."""

from __future__ import annotations

import os
import sys
from importlib import metadata

import click

from honeyhitch.lifecycle import config as configuration


@click.group()
def main() -> None:
    """A dispatcher of messages to outside receivers."""


@main.command()
@click.option("--config", "path", type=click.Path(), help="The JSON file; ROUTER_CONFIG names it otherwise.")
@click.option("--operator", type=click.Path(), help="An operator's TOML file; or ROUTER_OPERATOR names it.")
def serve(path: str | None, operator: str | None) -> None:
    """Run one dispatcher in the foreground till SIGTERM."""
    from honeyhitch.lifecycle.serve import serve as run

    run(_read(path, operator))


@main.command()
@click.option("--config", "path", type=click.Path(), help="The JSON file; ROUTER_CONFIG names it otherwise.")
@click.option("--operator", type=click.Path(), help="An operator's TOML file; or ROUTER_OPERATOR names it.")
def check(path: str | None, operator: str | None) -> None:
    """Read the configuration and say what is wrong with it, or how it was understood."""
    config = _read(path, operator)
    click.echo(f"name {config.name}, listens on {config.listen}, discovery at {config.discovery}")
    click.echo(
        f"journal in {config.state}, at most {config.limits.disk} bytes; {config.limits.sockets} sockets"
    )
    click.echo(f"{config.settings}")


@main.command()
def version() -> None:
    """Print the version."""
    try:
        click.echo(metadata.version("honeyhitch"))
    except metadata.PackageNotFoundError:
        click.echo("not installed as a package")


def _read(path: str | None, operator: str | None) -> configuration.Config:
    try:
        return configuration.read(os.environ, path, operator)
    except configuration.ConfigError as error:
        click.echo(f"configuration: {error}", err=True)
        sys.exit(2)
