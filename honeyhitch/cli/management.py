"""The commands that call a running dispatcher at its `management` address."""

from __future__ import annotations

import json
import os
import socket
import sys
from collections.abc import Callable
from typing import Any

import click

from honeyhitch import config as configuration
from honeyhitch.protocols.management import ManagementReply

ANSWER_TIMEOUT_SECONDS = 3.0  # seconds; an answer is owed within 1
COLUMNS = ("ok", "shed", "errors", "tries")


def _where(at: str | None, path: str | None) -> configuration.Address:
    """The address: as said, as the variable says, or as the configuration's file does."""
    try:
        told = at or os.environ.get("ROUTER_MANAGEMENT")
        if told:
            return configuration.Address.parse(told, "management")
        found = configuration.read(os.environ, path).management
    except configuration.ConfigError as error:
        raise click.ClickException(str(error)) from error
    if found is None:
        raise click.ClickException("management: not set; name it with --at, ROUTER_MANAGEMENT or in the file")
    return found


def _call(at: configuration.Address, call: str) -> tuple[bool, str, dict[str, Any]]:
    answer = ManagementReply()
    try:
        with socket.create_connection((at.host, at.port), timeout=ANSWER_TIMEOUT_SECONDS) as sock:
            sock.sendall(call.encode() + b"\r\n")
            while (data := sock.recv(65536)) and not answer.feed(data):
                pass
        return answer.result()
    except (OSError, ValueError) as error:
        raise click.ClickException(f"no answer from {at}: {error}") from error


def call_figures(at: str | None, path: str | None, call: str) -> dict[str, Any]:
    """The figures that a running dispatcher answers a call with. Raises ClickException if it gives none."""
    address = _where(at, path)
    yes, why, figures = _call(address, call)
    if not yes:
        raise click.ClickException(f"{address}: {why or 'no answer'}")
    return figures


def management_options(command: Callable[..., None]) -> Callable[..., None]:
    for option in (
        click.option("--json", "as_json", is_flag=True, help="For programs."),
        click.option(
            "--config", "path", type=click.Path(), help="The JSON file; ROUTER_CONFIG names it otherwise."
        ),
        click.option("--at", help="HOST:PORT; ROUTER_MANAGEMENT or the configuration names it otherwise."),
    ):
        command = option(command)
    return command


@click.command()
@management_options
def status(at: str | None, path: str | None, as_json: bool) -> None:
    """Say whether a dispatcher takes clients; exit code 0 if it does."""
    address = _where(at, path)
    yes, why, _ = _call(address, "status")
    told = {"ready": yes, "told": why, "at": str(address)}
    click.echo(json.dumps(told) if as_json else f"{address}: {why or ('ready' if yes else 'no answer')}")
    sys.exit(0 if yes else 1)


@click.command()
@management_options
def stats(at: str | None, path: str | None, as_json: bool) -> None:
    """Print the figures of a dispatcher; they count from its process's start."""
    figures = call_figures(at, path, "stats")
    if as_json:
        click.echo(json.dumps(figures))
        return
    rows = [("class", *COLUMNS)]
    rows += [(name, *(str(row[key]) for key in COLUMNS)) for name, row in figures["responses"].items()]
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    for row in rows:
        click.echo("  ".join(cell.rjust(width) for cell, width in zip(row, widths, strict=True)))
    for name, value in figures.items():
        if name != "responses":
            click.echo(f"{name}: {value}")
