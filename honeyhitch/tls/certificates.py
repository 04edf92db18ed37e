"""What a certificate says, read from its DER with `cryptography`: names, times, the digest of its key."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from datetime import datetime

from cryptography import x509
from cryptography.hazmat.primitives.serialization import Encoding, PublicFormat

from honeyhitch.time_units import SECOND

DAY = 24 * 3600 * SECOND


@dataclass(frozen=True, slots=True)
class Facts:
    """One certificate. Times are Unix times in nanoseconds."""

    subject: str
    issuer: str
    issuer_der: bytes
    serial: int
    names: tuple[str, ...]  # DNS names and IP addresses of the SAN (RFC 5280, 4.2.1.6)
    not_before: int
    not_after: int
    pin: bytes  # SHA-256 of the SubjectPublicKeyInfo, as in RFC 7469, 2.4

    def days_left(self, now: int) -> float:
        """Till its end; below 0 once that has passed."""
        return (self.not_after - now) / DAY


def unix(when: datetime) -> int:
    """Nanoseconds since 1970."""
    return int(when.timestamp()) * SECOND


def facts(certificate: x509.Certificate) -> Facts:
    """What it says."""
    names: list[str] = []
    try:
        san = certificate.extensions.get_extension_for_class(x509.SubjectAlternativeName).value
        names += san.get_values_for_type(x509.DNSName)
        names += [str(address) for address in san.get_values_for_type(x509.IPAddress)]
    except (x509.ExtensionNotFound, ValueError):
        pass  # without names it is refused anyway
    spki = certificate.public_key().public_bytes(Encoding.DER, PublicFormat.SubjectPublicKeyInfo)
    return Facts(
        subject=certificate.subject.rfc4514_string(),
        issuer=certificate.issuer.rfc4514_string(),
        issuer_der=certificate.issuer.public_bytes(),
        serial=certificate.serial_number,
        names=tuple(names),
        not_before=unix(certificate.not_valid_before_utc),
        not_after=unix(certificate.not_valid_after_utc),
        pin=hashlib.sha256(spki).digest(),
    )


def of_der(der: bytes) -> Facts:
    """What a certificate in DER says; ValueError if it cannot be read."""
    return facts(x509.load_der_x509_certificate(der))
