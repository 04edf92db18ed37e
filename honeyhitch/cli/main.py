"""The command line."""

from __future__ import annotations

import os
import secrets
import socket
import sys
from importlib import import_module
from typing import NoReturn

import click

from honeyhitch import __version__, logs
from honeyhitch import config as configuration

GROUPS = {
    "fleet": "honeyhitch.cli.fleet",
    "stats": "honeyhitch.cli.management",
    "status": "honeyhitch.cli.management",
    "tls": "honeyhitch.cli.tls",
    "undelivered": "honeyhitch.cli.undelivered",
}


class Main(click.Group):
    """Commands with modules of their own are imported when asked for: `serve` starts without them."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """All names, in the order of the alphabet."""
        return sorted({*super().list_commands(ctx), *GROUPS})

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """The command of this name."""
        if cmd_name in GROUPS and cmd_name not in self.commands:
            self.add_command(getattr(import_module(GROUPS[cmd_name]), cmd_name))
        return super().get_command(ctx, cmd_name)


@click.group(cls=Main)
def main() -> None:
    """A dispatcher of messages to outside receivers."""


@main.command()
@click.option("--config", "path", type=click.Path(), help="The JSON file; ROUTER_CONFIG names it otherwise.")
@click.option("--operator", type=click.Path(), help="An operator's TOML file; or ROUTER_OPERATOR names it.")
@click.option("--log-format", type=click.Choice(logs.FORMATS), help="How events are written.")
@click.option("--log-level", type=click.Choice(logs.LEVELS), help="From which level on.")
def serve(path: str | None, operator: str | None, log_format: str | None, log_level: str | None) -> None:
    """Run one dispatcher in the foreground till SIGTERM; SIGHUP makes it read its configuration again."""
    from honeyhitch.service.run import serve as run

    config = _read(path, operator)
    logs.setup(log_format or config.operator.log_format, log_level or config.operator.log_level)
    try:
        run(config, lambda before: configuration.read(os.environ, path, operator, before))
    except configuration.ConfigError as error:
        _refused(error)


@main.command()
@click.option("--config", "path", type=click.Path(), help="The JSON file; ROUTER_CONFIG names it otherwise.")
@click.option("--operator", type=click.Path(), help="An operator's TOML file; or ROUTER_OPERATOR names it.")
def check(path: str | None, operator: str | None) -> None:
    """Read the configuration and say what is wrong with it, or how it was understood."""
    config = _read(path, operator)
    click.echo(f"name {config.name}, listens on {config.listen}, discovery at {config.discovery}")
    click.echo(
        f"journal in {config.state}, at most {config.limits.disk_bytes} bytes;"
        f" {config.limits.sockets} sockets"
    )
    click.echo(f"{config.settings}")


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(__version__)


@main.command()
@click.argument("address")
@click.argument("body")
@click.option("--dest", type=int, required=True, help="The number of the destination.")
@click.option("--class", "cls", default="standard", show_default=True, help="The class, as in the settings.")
@click.option("--tenant", default="", help="The tenant, as in the settings.")
@click.option("--left", type=int, default=20_000, show_default=True, help="Milliseconds it may take.")
@click.option("--key", default="", help="Its idempotency key; a fresh one otherwise.")
def send(address: str, body: str, dest: int, cls: str, tenant: str, left: int, key: str) -> None:
    """Hand one message in at ADDRESS (HOST:PORT) and print the answer."""
    name = secrets.token_hex(8)
    fields = f"c={cls},t={tenant},d={left},dest={dest},k={key or name}"
    parts = [b"ENQUEUE", b"0" * 16, name.encode(), fields.encode(), body.encode()]
    request = b"*5\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(part), part) for part in parts)
    try:
        told = configuration.Address.parse(address, "address")
        with socket.create_connection((told.host, told.port), timeout=5) as sock:
            sock.sendall(request)
            answer = sock.makefile("rb").readline().decode(errors="replace").strip()
    except (OSError, configuration.ConfigError) as error:
        raise click.ClickException(str(error)) from error
    click.echo(f"{name} {answer}")
    sys.exit(0 if answer.startswith("+") else 1)


def _read(path: str | None, operator: str | None) -> configuration.Config:
    try:
        return configuration.read(os.environ, path, operator)
    except configuration.ConfigError as error:
        _refused(error)


def _refused(error: configuration.ConfigError) -> NoReturn:
    click.echo(f"configuration: {error}", err=True)
    sys.exit(2)
