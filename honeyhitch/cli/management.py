"""Commands that call a running dispatcher at its `management` address."""

from __future__ import annotations

import json
import os
import socket
import sys
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import click

from honeyhitch import config as configuration
from honeyhitch.protocols.management import ManagementReply

REPLY_TIMEOUT_SECONDS = 3.0  # a dispatcher has to reply within 1 s
READ_BYTES = 65536  # at most, in one read from the socket
RESPONSE_COLUMNS = ("ok", "shed", "errors", "tries")
RESPONSES = "responses"  # key of the figures per message class


@dataclass(frozen=True, slots=True)
class ManagementCall:
    """A dispatcher's reply to one request at its `management` address."""

    accepted: bool
    message: str
    figures: dict[str, Any]


def _find_address(at: str | None, path: str | None) -> configuration.Address:
    """Return the `management` address from the option, the environment or the file, in this order.

    Raise ClickException if none of them names an address or if the address is invalid.
    """
    try:
        text = at or os.environ.get("ROUTER_MANAGEMENT")
        if text:
            return configuration.Address.parse(text, "management")
        address = configuration.read(os.environ, path).management
    except configuration.ConfigError as error:
        raise click.ClickException(str(error)) from error
    if address is None:
        raise click.ClickException("management: not set; name it with --at, ROUTER_MANAGEMENT or in the file")
    return address


def _call(address: configuration.Address, request: str) -> ManagementCall:
    reply = ManagementReply()
    try:
        with socket.create_connection((address.host, address.port), timeout=REPLY_TIMEOUT_SECONDS) as sock:
            sock.sendall(request.encode() + b"\r\n")
            complete = False
            while not complete and (data := sock.recv(READ_BYTES)):
                complete = reply.feed(data)
        return ManagementCall(*reply.result())
    except (OSError, ValueError) as error:
        raise click.ClickException(f"no answer from {address}: {error}") from error


def fetch_figures(at: str | None, path: str | None, request: str) -> dict[str, Any]:
    """Return the figures that a running dispatcher replies with. Raise ClickException if it sends none."""
    address = _find_address(at, path)
    reply = _call(address, request)
    if not reply.accepted:
        raise click.ClickException(f"{address}: {reply.message or 'no answer'}")
    return reply.figures


def management_options(command: Callable[..., None]) -> Callable[..., None]:
    """Add the options of a command that calls a running dispatcher: `at`, `path` and `as_json`."""
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
    address = _find_address(at, path)
    reply = _call(address, "status")
    if as_json:
        click.echo(json.dumps({"ready": reply.accepted, "told": reply.message, "at": str(address)}))
    else:
        click.echo(f"{address}: {reply.message or ('ready' if reply.accepted else 'no answer')}")
    sys.exit(0 if reply.accepted else 1)


@click.command()
@management_options
def stats(at: str | None, path: str | None, as_json: bool) -> None:
    """Print the figures of a dispatcher; they count from its process's start."""
    figures = fetch_figures(at, path, "stats")
    if as_json:
        click.echo(json.dumps(figures))
        return
    for line in _format_responses(figures[RESPONSES]):
        click.echo(line)
    for name, value in figures.items():
        if name != RESPONSES:
            click.echo(f"{name}: {value}")


@click.command()
@management_options
def limits(at: str | None, path: str | None, as_json: bool) -> None:
    """Print what a dispatcher holds of its limits, and how often it closed or refused for which reason."""
    figures = fetch_figures(at, path, "limits")
    if as_json:
        click.echo(json.dumps(figures))
        return
    for line in _format_tree(figures):
        click.echo(line)


def _format_tree(values: dict[str, Any], indent: str = "") -> list[str]:
    """Return a line for each value, with nested values indented below their name."""
    lines: list[str] = []
    for name, value in values.items():
        nested = isinstance(value, dict)
        lines.append(f"{indent}{name}:" if nested else f"{indent}{name}: {value}")
        if nested:
            lines += _format_tree(value, indent + "  ")
    return lines


def _format_responses(responses: dict[str, dict[str, Any]]) -> list[str]:
    """Return the lines of a table with a row per message class and right-aligned cells."""
    rows: list[tuple[str, ...]] = [("class", *RESPONSE_COLUMNS)]
    for class_name, counts in responses.items():
        rows.append((class_name, *(str(counts[column]) for column in RESPONSE_COLUMNS)))
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return ["  ".join(cell.rjust(width) for cell, width in zip(row, widths, strict=True)) for row in rows]
