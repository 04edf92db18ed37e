"""How the command line reaches a store: through the dispatcher that has it, or by itself if none runs."""

from __future__ import annotations

import getpass
import os
import sqlite3
from collections.abc import Iterator
from contextlib import nullcontext
from pathlib import Path
from typing import Any

import click

from honeyhitch import config as configuration
from honeyhitch.dead_letters.settings import Limits, Terms
from honeyhitch.transports.control_client import ControlClient, ControlCommandError


class Access:
    """One store, found by the configuration or by its folder. Errors end the command with one clear line."""

    def __init__(self, path: str | None, operator: str | None, folder: str | None) -> None:
        self.client: ControlClient | None = None
        self.limits, self.compress_from, self.terms = Limits(), 512, Terms()
        if folder is not None:
            self.folder = Path(folder)
            return
        try:
            config = configuration.read(os.environ, path, operator)
        except configuration.ConfigError as error:
            raise click.ClickException(f"configuration: {error}; or name the folder with --store") from error
        setup = config.operator.undelivered
        if setup is None:
            raise click.ClickException("undelivered: the operator's file has no such table, or is not named")
        self.folder, self.limits, self.terms = setup.at(config.state), setup.limits, setup.terms
        self.compress_from = setup.compress_from
        if config.operator.control is not None:
            self.client = ControlClient(config.operator.control.at(config.state))

    def ask(self, name: str, told: dict[str, Any]) -> dict[str, Any]:
        """Have an operation done (undelivered/operations.py)."""
        if self.client is not None:
            try:
                return self.client.request("POST", f"/undelivered/{name}", told)
            except ControlCommandError as error:
                raise click.ClickException(str(error)) from error
            except OSError:
                self.client = None  # no dispatcher runs: the store is there all the same
        return self._directly(name, told)

    def state(self) -> dict[str, Any]:
        """How the running dispatcher stands."""
        if self.client is None:
            raise click.ClickException("state: name the configuration of a running dispatcher")
        try:
            return self.client.request("GET", "/state")
        except (ControlCommandError, OSError) as error:
            raise click.ClickException(f"state: no dispatcher answers: {error}") from error

    def _directly(self, name: str, told: dict[str, Any]) -> dict[str, Any]:
        from honeyhitch.dead_letters import operations

        store = self.store(writes=name in operations.WRITES)
        try:
            with store.at_once() if store.lock >= 0 else nullcontext():
                return operations.done(store, name, told, getpass.getuser())
        except (operations.OperationError, sqlite3.Error) as error:
            raise click.ClickException(str(error)) from error
        finally:
            store.close()

    def store(self, writes: bool = False) -> Any:
        """The store itself, here in this process; a dispatcher that has it is not in a reader's way."""
        try:
            from honeyhitch.dead_letters.files import StoreError
            from honeyhitch.dead_letters.store import Store
        except ImportError as error:
            raise click.ClickException(f"needs the extra honeyhitch[undelivered] ({error})") from error
        try:
            return Store(self.folder, self.limits, self.compress_from, writes=writes, terms=self.terms)
        except StoreError as error:
            raise click.ClickException(str(error)) from error

    def pages(self, name: str, told: dict[str, Any]) -> Iterator[dict[str, Any]]:
        """Each page of a long operation's answer."""
        while True:
            page = self.ask(name, told)
            yield page
            if not page["more"]:
                return
            told = {**told, **({"after": page["after"]} if "after" in page else {})}
