"""The `honeyhitch` command and its subcommands that need no module of their own."""

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

COMMAND_MODULES = {
    "fleet": "honeyhitch.cli.fleet",
    "limits": "honeyhitch.cli.management",
    "stats": "honeyhitch.cli.management",
    "status": "honeyhitch.cli.management",
    "tls": "honeyhitch.cli.tls",
    "undelivered": "honeyhitch.cli.undelivered",
}
MESSAGE_ID_BYTES = 8
REQUEST_KEY = b"0" * 16  # the first argument of ENQUEUE
SEND_TIMEOUT_SECONDS = 5
CONFIG_ERROR_EXIT_CODE = 2


class LazyGroup(click.Group):
    """A command group that imports COMMAND_MODULES on use only, so that `serve` starts without them."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands in alphabetical order."""
        return sorted({*super().list_commands(ctx), *COMMAND_MODULES})

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return the command of this name and import its module if needed; None for an unknown name."""
        if cmd_name in COMMAND_MODULES and cmd_name not in self.commands:
            self.add_command(getattr(import_module(COMMAND_MODULES[cmd_name]), cmd_name))
        return super().get_command(ctx, cmd_name)


@click.group(cls=LazyGroup)
def main() -> None:
    """A dispatcher of messages to outside receivers."""


@main.command()
@click.option("--config", "path", type=click.Path(), help="The JSON file; ROUTER_CONFIG names it otherwise.")
@click.option("--operator", type=click.Path(), help="An operator's TOML file; or ROUTER_OPERATOR names it.")
@click.option("--log-format", type=click.Choice(logs.FORMATS), help="How events are written.")
@click.option("--log-level", type=click.Choice(logs.LEVELS), help="From which level on.")
def serve(path: str | None, operator: str | None, log_format: str | None, log_level: str | None) -> None:
    """Run one dispatcher in the foreground till SIGTERM; SIGHUP makes it read its configuration again."""
    from honeyhitch.service.run import serve as serve_dispatcher

    config = _read_config(path, operator)
    logs.setup(log_format or config.operator.log_format, log_level or config.operator.log_level)
    try:
        serve_dispatcher(config, lambda previous: configuration.read(os.environ, path, operator, previous))
    except configuration.ConfigError as error:
        _exit_on_config_error(error)


@main.command()
@click.option("--config", "path", type=click.Path(), help="The JSON file; ROUTER_CONFIG names it otherwise.")
@click.option("--operator", type=click.Path(), help="An operator's TOML file; or ROUTER_OPERATOR names it.")
def check(path: str | None, operator: str | None) -> None:
    """Read the configuration and say what is wrong with it, or how it was understood."""
    config = _read_config(path, operator)
    click.echo(f"name {config.name}, listens on {config.listen}, discovery at {config.discovery}")
    click.echo(
        f"journal in {config.state}, at most {config.limits.disk_bytes} bytes;"
        f" {config.limits.sockets} sockets; {config.limits.memory_bytes} bytes of memory"
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
    message_id = secrets.token_hex(MESSAGE_ID_BYTES)
    fields = f"c={cls},t={tenant},d={left},dest={dest},k={key or message_id}"
    request = _encode_command([b"ENQUEUE", REQUEST_KEY, message_id.encode(), fields.encode(), body.encode()])
    try:
        dispatcher = configuration.Address.parse(address, "address")
        with socket.create_connection(
            (dispatcher.host, dispatcher.port), timeout=SEND_TIMEOUT_SECONDS
        ) as sock:
            sock.sendall(request)
            answer = sock.makefile("rb").readline().decode(errors="replace").strip()
    except (OSError, configuration.ConfigError) as error:
        raise click.ClickException(str(error)) from error
    click.echo(f"{message_id} {answer}")
    sys.exit(0 if answer.startswith("+") else 1)


def _encode_command(arguments: list[bytes]) -> bytes:
    """Encode a command of the RESP2 protocol."""
    head = b"*%d\r\n" % len(arguments)
    return head + b"".join(b"$%d\r\n%s\r\n" % (len(argument), argument) for argument in arguments)


def _read_config(path: str | None, operator: str | None) -> configuration.Config:
    try:
        return configuration.read(os.environ, path, operator)
    except configuration.ConfigError as error:
        _exit_on_config_error(error)


def _exit_on_config_error(error: configuration.ConfigError) -> NoReturn:
    click.echo(f"configuration: {error}", err=True)
    sys.exit(CONFIG_ERROR_EXIT_CODE)
