"""Access of the command line to a store: through the dispatcher that writes it, or directly if none runs."""

from __future__ import annotations

import getpass
import os
import sqlite3
from collections.abc import Iterator
from contextlib import nullcontext
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from honeyhitch import config as configuration
from honeyhitch.dead_letters.settings import DeadLetterSettings
from honeyhitch.transports.control_client import ControlClient, ControlCommandError

if TYPE_CHECKING:
    from honeyhitch.dead_letters.store import Store


class StoreAccess:
    """Access to one store, which is located by the configuration or by its directory.

    Every error is raised as click.ClickException with a one-line message, which ends the command.
    """

    def __init__(self, path: str | None, operator: str | None, directory: str | None) -> None:
        self.client: ControlClient | None = None
        self.settings = DeadLetterSettings()
        if directory is not None:
            self.directory = Path(directory)
            return
        try:
            config = configuration.read(os.environ, path, operator)
        except configuration.ConfigError as error:
            raise click.ClickException(f"configuration: {error}; or name the folder with --store") from error
        if config.operator.dead_letters is None:
            raise click.ClickException(
                "undelivered: the operator's file has no table [undelivered], or no such file was named"
            )
        self.settings = config.operator.dead_letters
        self.directory = self.settings.directory_in(config.state)
        if config.operator.control is not None:
            self.client = ControlClient(config.operator.control.socket_path(config.state))

    def execute(self, operation: str, arguments: dict[str, Any]) -> dict[str, Any]:
        """Execute an operation of dead_letters/operations.py and return its answer.

        If no dispatcher runs, the operation is executed in this process.
        """
        if self.client is not None:
            try:
                return self.client.request("POST", f"/undelivered/{operation}", arguments)
            except ControlCommandError as error:
                raise click.ClickException(str(error)) from error
            except OSError:
                self.client = None  # no dispatcher is running; the store is opened directly
        return self._execute_directly(operation, arguments)

    def dispatcher_state(self) -> dict[str, Any]:
        """Return the state of the running dispatcher. Raise ClickException if no dispatcher answers."""
        if self.client is None:
            raise click.ClickException("state: name the configuration of a running dispatcher")
        try:
            return self.client.request("GET", "/state")
        except (ControlCommandError, OSError) as error:
            raise click.ClickException(f"state: no dispatcher answers: {error}") from error

    def _execute_directly(self, operation: str, arguments: dict[str, Any]) -> dict[str, Any]:
        from honeyhitch.dead_letters import operations

        store = self.open_store(writes=operation in operations.WRITES)
        try:
            with store.transaction() if store.writable else nullcontext():
                return operations.execute(store, operation, arguments, getpass.getuser())
        except (operations.OperationError, sqlite3.Error) as error:
            raise click.ClickException(str(error)) from error
        finally:
            store.close()

    def open_store(self, writes: bool = False) -> Store:
        """Open the store in this process. Reading it does not block a dispatcher that writes it."""
        try:
            from honeyhitch.dead_letters.files import StoreError
            from honeyhitch.dead_letters.store import Store
        except ImportError as error:
            raise click.ClickException(f"needs the extra honeyhitch[undelivered] ({error})") from error
        try:
            return Store(
                self.directory,
                self.settings.limits,
                self.settings.compress_min_bytes,
                writes=writes,
                resend_settings=self.settings.resend_settings,
            )
        except StoreError as error:
            raise click.ClickException(str(error)) from error

    def pages(self, operation: str, arguments: dict[str, Any]) -> Iterator[dict[str, Any]]:
        """Execute an operation whose answer comes in pages, and yield each page."""
        while True:
            page = self.execute(operation, arguments)
            yield page
            if not page["more"]:
                return
            if "after" in page:
                arguments = {**arguments, "after": page["after"]}
