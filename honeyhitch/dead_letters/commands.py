"""Offers the store's operations on the control socket, as POST /undelivered/NAME with JSON arguments."""

from __future__ import annotations

import sqlite3
from http import HTTPStatus
from typing import Any

from honeyhitch.dead_letters import operations
from honeyhitch.dead_letters.files import StoreError
from honeyhitch.dead_letters.service import DeadLetterService, StoreBusyError
from honeyhitch.protocols.control import CommandRegistry, ControlError, ControlRequest

PREFIX = "/undelivered/"


def register(commands: CommandRegistry, service: DeadLetterService) -> None:
    """Add a control command for each operation on the store."""

    async def execute(request: ControlRequest) -> dict[str, Any]:
        try:
            operation = request.path.removeprefix(PREFIX)
            return await service.execute(operation, request.arguments, request.actor)
        except operations.OperationError as error:
            raise ControlError(HTTPStatus.BAD_REQUEST, str(error)) from error
        except (StoreBusyError, StoreError, sqlite3.Error, OSError) as error:
            raise ControlError(HTTPStatus.SERVICE_UNAVAILABLE, str(error)) from error

    for name in (*operations.READS, *operations.WRITES):
        commands.add("POST", PREFIX + name, execute)
