"""The control socket, through which an operator's commands reach the running process."""

from __future__ import annotations

from honeyhitch import logs
from honeyhitch.config.deployment import ControlSettings
from honeyhitch.service.service import Service
from honeyhitch.transports.control import ControlServer, ControlSocketError

log = logs.get_logger()


def open_control_socket(service: Service, settings: ControlSettings) -> None:
    """Listen on the control socket. If this fails, log the error and serve messages without the socket."""
    try:
        service.control = ControlServer(
            settings.socket_path(service.config.state), service.commands, service.tasks
        )
    except ControlSocketError as error:
        log.error("control.not-opened", error=str(error))
        return
    service.tasks.run_forever(service.control.accept)
