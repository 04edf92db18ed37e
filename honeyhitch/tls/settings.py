"""The operator's TLS settings as typed values, and which partner's terms apply to an endpoint."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from pathlib import Path

from honeyhitch.time_units import SECOND


class Scope(Enum):
    """What a partner's table is matched with; a narrower scope has precedence."""

    ENDPOINT = "member"
    DEST = "dest"
    KIND = "kind"
    BROKER = "broker"  # the MQTT broker; matches no endpoint


@dataclass(frozen=True, slots=True)
class Terms:
    """The settings for connections to one partner. Times are in nanoseconds."""

    server_name: str = ""  # name that its certificate must contain; the endpoint address's host if empty
    ca: Path | None = None  # a file, or a directory of files; the system's roots if None
    crl: Path | None = None
    certificate: Path | None = None  # our own, with its chain
    key: Path | None = None
    key_password_env: str = ""
    least_version: str = "1.2"
    pins: tuple[bytes, ...] = ()  # SHA-256 of the partner's SubjectPublicKeyInfo; one of them must match
    resume: bool = True
    handshakes: int = 4  # concurrent handshakes, over all dispatchers
    handshake_rate: float = 8.0  # full handshakes a second, over all dispatchers
    handshake_timeout: int = 3 * SECOND
    retire_within: int = 30 * SECOND  # time to close connections whose terms have changed
    warn_days: int = 14  # days; a certificate that expires sooner is logged


@dataclass(frozen=True, slots=True)
class Partner:
    """One `[[tls.partner]]`: its terms, and the endpoints that they apply to."""

    scope: Scope
    value: str  # the endpoint's id, the destination's number or the name of the kind
    terms: Terms

    @property
    def name(self) -> str:
        """The partner's name in the log."""
        return f"{self.scope.value}:{self.value}"


@dataclass(frozen=True, slots=True)
class TlsSettings:
    """All partners that are reached over TLS."""

    partners: tuple[Partner, ...]

    def find_partner(self, endpoint_id: str, destination: int, kind: str) -> Partner | None:
        """Return the partner with the narrowest scope that matches; None for an endpoint without TLS."""
        by_precedence = ((Scope.ENDPOINT, endpoint_id), (Scope.DEST, str(destination)), (Scope.KIND, kind))
        for scope, value in by_precedence:
            for partner in self.partners:
                if partner.scope is scope and partner.value == value:
                    return partner
        return None
