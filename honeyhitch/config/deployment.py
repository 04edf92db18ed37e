"""What a deployment sets up, as typed values, and the error of a value that cannot be used.

The other modules of this package read the files; whoever uses a value imports its type from here.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from honeyhitch.addresses import split_host_port
from honeyhitch.dead_letters.settings import DeadLetterSettings
from honeyhitch.partitioning.settings import FleetSettings
from honeyhitch.tls.settings import Partner, TlsSettings


class ConfigError(Exception):
    """A value that cannot be used; the message names its key."""


@dataclass(frozen=True, slots=True)
class Address:
    """Where something listens, or is reached."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: object, name: str) -> Address:
        """From HOST:PORT; `name` is its key. Raises ConfigError."""
        try:
            return cls(*split_host_port(str(text)))
        except ValueError:
            raise ConfigError(f"{name}: expected HOST:PORT, got {text!r}") from None

    def __str__(self) -> str:
        """HOST:PORT."""
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class ResourceLimits:
    """What the machine grants to the process; it must not use more."""

    sockets: int = 1024  # file descriptors
    disk_bytes: int = 3_000_000  # in the state directory


@dataclass(frozen=True, slots=True)
class MqttEndpoint:
    """An endpoint of the pool that is reached through the broker."""

    id: str
    topic: str
    destination: int
    kind: str = ""
    zone: str = ""
    rate: float = 1.0  # as an endpoint of a list states it


@dataclass(frozen=True, slots=True)
class MqttSettings:
    """The MQTT frontend and transport, as the operator's file sets them up."""

    broker: str  # HOST:PORT
    intake: str  # the topic filter of submitted messages
    client_id: str
    keep_alive_seconds: int = 20
    session_expiry_seconds: int = 3600
    username: str | None = None
    password: bytes | None = None
    endpoints: tuple[MqttEndpoint, ...] = ()
    tls: Partner | None = None


@dataclass(frozen=True, slots=True)
class ControlSettings:
    """The control socket."""

    path: Path | None = None  # `control.sock` in the state directory where it is not set

    def path_in(self, state_directory: Path) -> Path:
        """The path of the socket."""
        return self.path if self.path is not None else state_directory / "control.sock"


@dataclass(frozen=True, slots=True)
class OperatorSettings:
    """What an operator's file adds; nothing of it is on by itself."""

    mqtt: MqttSettings | None = None
    agent_check: Address | None = None
    health: Address | None = None
    log_format: str = "console"
    log_level: str = "info"
    tls: TlsSettings | None = None
    dead_letters: DeadLetterSettings | None = None
    control: ControlSettings | None = None
    fleet: FleetSettings | None = None
