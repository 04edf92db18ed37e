"""What the operator's file says of TLS, as typed values, and which partner's terms hold for a pool member."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from pathlib import Path

from honeyhitch.time_units import SECOND


class Scope(Enum):
    """What a partner's table is matched by; the narrower wins."""

    MEMBER = "member"
    DEST = "dest"
    KIND = "kind"
    BROKER = "broker"  # the MQTT link, which no member is matched with


@dataclass(frozen=True, slots=True)
class Terms:
    """How one partner is spoken to. Times are in nanoseconds."""

    server_name: str = ""  # the name its certificate must bear; the host of the member's address if empty
    ca: Path | None = None  # a file, or a folder of files; the system's roots if None
    crl: Path | None = None
    certificate: Path | None = None  # our own, with its chain
    key: Path | None = None
    key_password_env: str = ""
    least_version: str = "1.2"
    pins: tuple[bytes, ...] = ()  # SHA-256 of the partner's SubjectPublicKeyInfo; any of them will do
    resume: bool = True
    handshakes: int = 4  # at once, over all dispatchers
    handshake_rate: float = 8.0  # full handshakes a second, over all dispatchers
    handshake_timeout: int = 3 * SECOND
    retire_within: int = 30 * SECOND  # for connections made under terms that hold no more
    warn_days: int = 14  # an end of a certificate that is nearer is told


@dataclass(frozen=True, slots=True)
class Partner:
    """One `[[tls.partner]]`: its terms, and whom they hold for."""

    scope: Scope
    value: str  # of the scope: a member's id, a destination's number, or a kind's name
    terms: Terms

    @property
    def name(self) -> str:
        """As it is called in the log."""
        return f"{self.scope.value}:{self.value}"


@dataclass(frozen=True, slots=True)
class TlsSettings:
    """All partners that are spoken to over TLS."""

    partners: tuple[Partner, ...]

    def partner_of(self, member: str, destination: int, kind: str) -> Partner | None:
        """The narrowest that matches; None if this member is spoken to in plain."""
        wanted = ((Scope.MEMBER, member), (Scope.DEST, str(destination)), (Scope.KIND, kind))
        for scope, value in wanted:
            for partner in self.partners:
                if partner.scope is scope and partner.value == value:
                    return partner
        return None
