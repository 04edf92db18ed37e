"""Creates certificates while a test runs: authorities, server and client certificates, and CRLs."""

from __future__ import annotations

import datetime
import ipaddress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec, rsa
from cryptography.x509.oid import ExtendedKeyUsageOID, NameOID

DAY = datetime.timedelta(days=1)


def distinguished_name(common_name: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, common_name)])


def new_key(kind: str = "ecdsa") -> Any:
    return rsa.generate_private_key(65537, 2048) if kind == "rsa" else ec.generate_private_key(ec.SECP256R1())


def pem(certificate: x509.Certificate) -> bytes:
    return certificate.public_bytes(serialization.Encoding.PEM)


def key_pem(key: Any, password: bytes | None = None) -> bytes:
    encryption = serialization.BestAvailableEncryption(password) if password else serialization.NoEncryption()
    return bytes(key.private_bytes(serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, encryption))


@dataclass
class Issued:
    """A certificate and its key, and the files that hold them."""

    certificate: x509.Certificate
    key: Any
    cert_file: Path
    key_file: Path


class Authority:
    """A certificate authority that writes what it issues, certificates and CRLs, to files in a folder."""

    def __init__(self, folder: Path, common_name: str = "Test CA") -> None:
        self.folder, self.common_name, self.issued_count = folder, common_name, 0
        self.key = new_key()
        now = datetime.datetime.now(datetime.UTC)
        public_key = self.key.public_key()
        self.certificate = (
            x509.CertificateBuilder()
            .subject_name(distinguished_name(common_name))
            .issuer_name(distinguished_name(common_name))
            .public_key(public_key)
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - 400 * DAY)
            .not_valid_after(now + 400 * DAY)
            .add_extension(x509.BasicConstraints(True, None), True)
            .add_extension(x509.SubjectKeyIdentifier.from_public_key(public_key), False)
            .add_extension(_usage(sign_certificates=True), True)
            .sign(self.key, hashes.SHA256())
        )
        self.file = folder / f"{common_name.replace(' ', '-')}.pem"
        self.file.write_bytes(pem(self.certificate))

    def issue(
        self,
        names: tuple[str, ...] = ("localhost", "127.0.0.1"),
        start: float = -1,
        end: float = 30,
        extended_key_usage: x509.ObjectIdentifier = ExtendedKeyUsageOID.SERVER_AUTH,
        kind: str = "ecdsa",
        key: Any = None,
        password: bytes | None = None,
        file: str = "",
    ) -> Issued:
        """Issue a certificate that is valid from `start` to `end`, in days from now, and write its files."""
        self.issued_count += 1
        key = key or new_key(kind)
        now = datetime.datetime.now(datetime.UTC)
        general_names: list[x509.GeneralName] = []
        for host in names:
            try:
                general_names.append(x509.IPAddress(ipaddress.ip_address(host)))
            except ValueError:
                general_names.append(x509.DNSName(host))
        builder = (
            x509.CertificateBuilder()
            .subject_name(distinguished_name(names[0] if names else "nobody"))
            .issuer_name(distinguished_name(self.common_name))
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now + start * DAY)
            .not_valid_after(now + end * DAY)
            .add_extension(x509.BasicConstraints(False, None), True)
            .add_extension(_usage(), True)
            .add_extension(x509.ExtendedKeyUsage([extended_key_usage]), False)
            .add_extension(x509.AuthorityKeyIdentifier.from_issuer_public_key(self.key.public_key()), False)
        )
        if general_names:
            builder = builder.add_extension(x509.SubjectAlternativeName(general_names), False)
        certificate = builder.sign(self.key, hashes.SHA256())
        file = file or f"{self.common_name.replace(' ', '-')}-{self.issued_count}"
        issued = Issued(certificate, key, self.folder / f"{file}.crt", self.folder / f"{file}.key")
        issued.cert_file.write_bytes(pem(certificate))
        issued.key_file.touch(0o600)
        issued.key_file.chmod(0o600)
        issued.key_file.write_bytes(key_pem(key, password))
        return issued

    def crl(self, *revoked: Issued, end: float = 7, file: str = "crl.pem") -> Path:
        """Write a CRL whose next update is in `end` days, and return its path."""
        now = datetime.datetime.now(datetime.UTC)
        builder = (
            x509.CertificateRevocationListBuilder()
            .issuer_name(distinguished_name(self.common_name))
            .last_update(now - 2 * DAY)
            .next_update(now + end * DAY)
        )
        for issued in revoked:
            entry = x509.RevokedCertificateBuilder().serial_number(issued.certificate.serial_number)
            builder = builder.add_revoked_certificate(entry.revocation_date(now - DAY).build())
        path = self.folder / file
        temporary_path = path.with_suffix(".new")
        temporary_path.write_bytes(
            builder.sign(self.key, hashes.SHA256()).public_bytes(serialization.Encoding.PEM)
        )
        temporary_path.replace(path)
        return path


def _usage(sign_certificates: bool = False) -> x509.KeyUsage:
    return x509.KeyUsage(
        digital_signature=True,
        content_commitment=False,
        key_encipherment=False,
        data_encipherment=False,
        key_agreement=False,
        key_cert_sign=sign_certificates,
        crl_sign=sign_certificates,
        encipher_only=False,
        decipher_only=False,
    )
