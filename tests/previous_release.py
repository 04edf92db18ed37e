"""Runs `serve` with the listeners of release 0.2.0, as the old process of an upgrade.

That release shares its clients' address alone, tells other processes nothing about itself, and answers
balancers with the state of its own process.
"""

from __future__ import annotations

import errno
from dataclasses import replace
from pathlib import Path
from unittest import mock

from honeyhitch.cli.main import main
from honeyhitch.service import listeners, peer_check, status
from honeyhitch.service.service import Service
from honeyhitch.transports.client_server import ClientServer

create_server = listeners._create_server  # noqa: SLF001


def create_unshared_server(service: Service, listener: listeners.Listener) -> ClientServer:
    """Share the address of clients alone."""
    return create_server(service, replace(listener, shared=listener.setting == peer_check.LISTEN))


def refuse_record(path: Path) -> None:
    """Create no description of the process."""
    raise OSError(errno.ENOENT, "the release writes no such file", str(path))


if __name__ == "__main__":
    with (
        mock.patch.object(listeners, "_create_server", create_unshared_server),
        mock.patch.object(listeners, "dispatcher_state", status.service_state),
        mock.patch("honeyhitch.journal.directory.ProcessRecord", refuse_record),
    ):
        main()
