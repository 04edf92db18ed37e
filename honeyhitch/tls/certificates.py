"""Fields of X.509 certificates, parsed with `cryptography`: names, validity and the digest of the key."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from datetime import datetime

from cryptography import x509
from cryptography.hazmat.primitives.serialization import Encoding, PublicFormat

from honeyhitch.time_units import DAY, SECOND


@dataclass(frozen=True, slots=True)
class CertificateInfo:
    """The fields of one certificate that are used here. Times are Unix times in nanoseconds."""

    subject: str
    issuer: str
    issuer_der: bytes
    serial: int
    names: tuple[str, ...]  # DNS names and IP addresses of the SAN (RFC 5280, 4.2.1.6)
    not_before: int
    not_after: int
    pin: bytes  # SHA-256 of the SubjectPublicKeyInfo, as in RFC 7469, 2.4

    def days_left(self, now: int) -> float:
        """Return the days until the certificate expires; negative after its expiry."""
        return (self.not_after - now) / DAY


def unix_nanoseconds(when: datetime) -> int:
    """Return a time as a Unix time in nanoseconds, cut to whole seconds."""
    return int(when.timestamp()) * SECOND


def describe(certificate: x509.Certificate) -> CertificateInfo:
    """Return the fields of a certificate. Raise ValueError if its key cannot be read."""
    public_key = certificate.public_key()
    key_info = public_key.public_bytes(Encoding.DER, PublicFormat.SubjectPublicKeyInfo)
    return CertificateInfo(
        subject=certificate.subject.rfc4514_string(),
        issuer=certificate.issuer.rfc4514_string(),
        issuer_der=certificate.issuer.public_bytes(),
        serial=certificate.serial_number,
        names=_alternative_names(certificate),
        not_before=unix_nanoseconds(certificate.not_valid_before_utc),
        not_after=unix_nanoseconds(certificate.not_valid_after_utc),
        pin=hashlib.sha256(key_info).digest(),
    )


def _alternative_names(certificate: x509.Certificate) -> tuple[str, ...]:
    """Return the DNS names and IP addresses of the SAN; OpenSSL rejects a certificate without any."""
    names: list[str] = []
    try:
        san = certificate.extensions.get_extension_for_class(x509.SubjectAlternativeName).value
        names += san.get_values_for_type(x509.DNSName)
        names += [str(address) for address in san.get_values_for_type(x509.IPAddress)]
    except (x509.ExtensionNotFound, ValueError):
        pass
    return tuple(names)


def describe_der(der: bytes) -> CertificateInfo:
    """Return the fields of a certificate in DER. Raise ValueError if it cannot be parsed."""
    return describe(x509.load_der_x509_certificate(der))
