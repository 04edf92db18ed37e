"""Typed values of a deployment's configuration, and the error for a value that cannot be used.

The other modules of this package read the files; code that uses a value imports its type from this module.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from honeyhitch.addresses import split_host_port
from honeyhitch.dead_letters.settings import DeadLetterSettings
from honeyhitch.partitioning.settings import FleetSettings
from honeyhitch.tls.settings import Partner, TlsSettings

ANY_HOST = "0.0.0.0"  # the host of a listener on all addresses of the machine


class ConfigError(Exception):
    """Raised for a value that cannot be used. The message names the value's key."""


@dataclass(frozen=True, slots=True)
class Address:
    """A host and a port to listen on or to connect to."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: object, name: str) -> Address:
        """Parse HOST:PORT. Raise ConfigError, which calls the value `name`, for any other text."""
        try:
            return cls(*split_host_port(str(text)))
        except ValueError:
            raise ConfigError(f"{name}: expected HOST:PORT, got {text!r}") from None

    def overlaps(self, other: Address) -> bool:
        """Return whether listeners on both addresses would get the same connections."""
        all_hosts = ANY_HOST in (self.host, other.host)
        return self.port == other.port and (self.host == other.host or all_hosts)

    def __str__(self) -> str:
        """Return the address as HOST:PORT."""
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class ResourceLimits:
    """The limits on resources that the process must not exceed."""

    sockets: int = 1024  # number of file descriptors
    memory_bytes: int = 1_000_000_000  # resident memory of all processes
    disk_bytes: int = 3_000_000  # size of the files in the state directory


@dataclass(frozen=True, slots=True)
class MqttEndpoint:
    """An endpoint of the pool that is reached through the MQTT broker."""

    id: str
    topic: str
    destination: int
    kind: str = ""
    zone: str = ""
    rate: float = 1.0  # the listed rate, as in the endpoint list of discovery


@dataclass(frozen=True, slots=True)
class MqttSettings:
    """The settings of the MQTT frontend and transport in the operator's file."""

    broker: str  # HOST:PORT
    intake: str  # topic filter on which messages are submitted
    client_id: str
    keep_alive_seconds: int = 20
    session_expiry_seconds: int = 3600
    username: str | None = None
    password: bytes | None = None
    endpoints: tuple[MqttEndpoint, ...] = ()
    tls: Partner | None = None


@dataclass(frozen=True, slots=True)
class ControlSettings:
    """The settings of the control socket."""

    path: Path | None = None  # if None, `control.sock` in the state directory

    def socket_path(self, state_directory: Path) -> Path:
        """Return the path of the socket for this state directory."""
        return self.path if self.path is not None else state_directory / "control.sock"


@dataclass(frozen=True, slots=True)
class OperatorSettings:
    """The settings of the operator's file. Every feature is off unless the file enables it."""

    mqtt: MqttSettings | None = None
    agent_check: Address | None = None
    health: Address | None = None
    log_format: str = "console"
    log_level: str = "info"
    tls: TlsSettings | None = None
    dead_letters: DeadLetterSettings | None = None
    control: ControlSettings | None = None
    fleet: FleetSettings | None = None
