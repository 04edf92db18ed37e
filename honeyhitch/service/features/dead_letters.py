"""The store of undelivered messages, with its commands; needs the extra `honeyhitch[undelivered]`."""

from __future__ import annotations

from honeyhitch.dead_letters.commands import register
from honeyhitch.dead_letters.service import DeadLetterService
from honeyhitch.dead_letters.settings import DeadLetterSettings
from honeyhitch.service.service import Service


def add_dead_letters(service: Service, settings: DeadLetterSettings) -> None:
    """Store messages that end undelivered, and resend them by rule or on request."""
    service.dead_letters = DeadLetterService(
        settings, service.config.state, service.dispatcher, service.scheduler, service.loop
    )
    service.background_tasks.append(service.dead_letters.maintain)
    register(service.commands, service.dead_letters)
