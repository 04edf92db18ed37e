"""What a deployment sets up, as typed values; nothing here reads a file, and nothing decides.

The files are read in `lifecycle/config`; whoever uses a value imports its type from here.
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
    """Where something listens."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: object, name: str) -> Address:
        """From HOST:PORT."""
        try:
            return cls(*split_host_port(str(text)))
        except ValueError:
            raise ConfigError(f"{name}: expected HOST:PORT, got {text!r}") from None

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class ResourceLimits:
    """What the machine grants; going over it is a crash."""

    sockets: int = 1024  # descriptors
    disk_bytes: int = 3_000_000  # bytes in the lasting folder


@dataclass(frozen=True, slots=True)
class MqttEndpoint:
    """A pool member behind the broker."""

    id: str
    topic: str
    destination: int
    kind: str = ""
    zone: str = ""
    rate: float = 1.0


@dataclass(frozen=True, slots=True)
class MqttSettings:
    """The MQTT front, as the operator's file sets it up."""

    broker: str
    intake: str
    client_id: str
    keep_alive_seconds: int = 20  # seconds
    session_expiry_seconds: int = 3600  # seconds
    username: str | None = None
    password: bytes | None = None
    endpoints: tuple[MqttEndpoint, ...] = ()
    tls: Partner | None = None


@dataclass(frozen=True, slots=True)
class ControlSettings:
    """The control socket."""

    path: Path | None = None  # in the state folder where it is not set

    def path_in(self, state_directory: Path) -> Path:
        """Where the socket is."""
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
