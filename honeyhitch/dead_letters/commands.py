"""The store's operations as verbs of the control socket: POST /undelivered/NAME with their values as JSON."""

from __future__ import annotations

import sqlite3
from http import HTTPStatus
from typing import Any

from honeyhitch.dead_letters import operations
from honeyhitch.dead_letters.files import StoreError
from honeyhitch.dead_letters.service import DeadLetterService, StoreBusyError
from honeyhitch.protocols.control import CommandRegistry, ControlError, ControlRequest

PREFIX = "/undelivered/"


def register(verbs: CommandRegistry, keeping: DeadLetterService) -> None:
    """Add them all."""

    async def do(asked: ControlRequest) -> dict[str, Any]:
        try:
            return await keeping.ask(asked.path.removeprefix(PREFIX), asked.arguments, asked.actor)
        except operations.OperationError as error:
            raise ControlError(HTTPStatus.BAD_REQUEST, str(error)) from error
        except (StoreBusyError, StoreError, sqlite3.Error, OSError) as error:
            raise ControlError(HTTPStatus.SERVICE_UNAVAILABLE, str(error)) from error

    for name in (*operations.READS, *operations.WRITES):
        verbs.add("POST", PREFIX + name, do)
