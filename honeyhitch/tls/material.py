"""Loads trust roots, revocation lists, and our own certificate and key from files, and checks them all.

This is the only module that builds an `ssl.SSLContext`. A file that cannot be used raises a MaterialError
that names the setting and the file. Files may be replaced while the process runs: they are read once into
memory, checked against each other, and loaded into OpenSSL. A file that changes while it is read raises a
MaterialError, too, and the material that was loaded before stays in use.
"""

from __future__ import annotations

import hashlib
import ssl
import stat
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives.asymmetric.types import PrivateKeyTypes, PublicKeyTypes
from cryptography.hazmat.primitives.serialization import (
    Encoding,
    PublicFormat,
    load_pem_private_key,
)

from honeyhitch.time_units import NEVER
from honeyhitch.tls import certificates
from honeyhitch.tls.certificates import CertificateInfo
from honeyhitch.tls.failures import Failure, TlsError
from honeyhitch.tls.settings import Terms

MAX_FILE_BYTES = 8 << 20  # maximum size of one file
TLS_VERSIONS = {"1.2": ssl.TLSVersion.TLSv1_2, "1.3": ssl.TLSVersion.TLSv1_3}
CRL_BEGIN = b"-----BEGIN X509 CRL"
GROUP_AND_OTHERS = 0o077  # permission bits
RevokedCertificates = frozenset[tuple[bytes, int]]  # pairs of an issuer in DER and a serial number


class MaterialError(Exception):
    """A file that cannot be used; the message begins with `key`, its setting in the partner's table."""

    def __init__(self, key: str, problem: str) -> None:
        super().__init__(f"{key}: {problem}")
        self.key = key


@dataclass(frozen=True, slots=True)
class Material:
    """The TLS context and checks for connections to a partner; `digest` changes with any file's content."""

    context: ssl.SSLContext
    digest: str
    own_certificate: CertificateInfo | None
    revoked: RevokedCertificates
    crl_until: int  # ns; the earliest next update of a revocation list, NEVER if there is none
    pins: tuple[bytes, ...]

    def find_objection(self, certificate: CertificateInfo, now: int) -> TlsError | None:
        """Return the error for which a partner's certificate is rejected, or None.

        OpenSSL does not check pins, and checks revocation and validity in full handshakes only.
        """
        if self.pins and certificate.pin not in self.pins:
            return TlsError(Failure.PIN_MISMATCH, f"its key has the pin {certificate.pin.hex()}")
        if (certificate.issuer_der, certificate.serial) in self.revoked:
            return TlsError(Failure.REVOKED, f"serial {certificate.serial:x}")
        if certificate.not_after <= now:
            return TlsError(Failure.EXPIRED, certificate.subject)
        return None

    def valid_until(self, certificate: CertificateInfo) -> int:
        """Return the Unix time in nanoseconds until which the verification of a certificate is valid."""
        return min(certificate.not_after, self.crl_until)


@dataclass(frozen=True, slots=True)
class _File:
    """A file that the terms name, with its setting and its content."""

    key: str
    path: Path
    content: bytes


def _read(key: str, path: Path) -> bytes:
    try:
        if path.stat().st_size > MAX_FILE_BYTES:
            raise MaterialError(key, f"{path} is longer than {MAX_FILE_BYTES} bytes")
        return path.read_bytes()
    except OSError as error:
        raise MaterialError(key, f"cannot read {path}: {error.strerror}") from error


def _list_files(key: str, path: Path) -> list[Path]:
    """Return the file itself, or the files of a directory except hidden ones."""
    try:
        if not path.is_dir():
            return [path]
        files = sorted(
            entry for entry in path.iterdir() if entry.is_file() and not entry.name.startswith(".")
        )
    except OSError as error:
        raise MaterialError(key, f"cannot read {path}: {error.strerror}") from error
    if not files:
        raise MaterialError(key, f"no file in the folder {path}")
    return files


def named_files(terms: Terms) -> list[tuple[str, Path]]:
    """Return every file that the terms name, with its setting; directories are listed at each call.

    Raise MaterialError if a file or directory cannot be read, or a directory has no files.
    """
    settings = (("ca", terms.ca), ("crl", terms.crl), ("certificate", terms.certificate), ("key", terms.key))
    return [(key, file) for key, path in settings if path is not None for file in _list_files(key, path)]


def file_stamps(terms: Terms) -> tuple[object, ...]:
    """Return a value that changes when a file is written or replaced; cheap enough to poll."""
    stamps: list[object] = []
    try:
        for key, path in named_files(terms):
            status = path.stat()
            stamps.append((key, str(path), status.st_mtime_ns, status.st_size, status.st_ino, status.st_mode))
    except (OSError, MaterialError) as error:
        stamps.append(str(error))
    return tuple(stamps)


def load(terms: Terms, environ: Mapping[str, str], now: int) -> Material:
    """Read and check all files, and return the material. `now` is a Unix time in nanoseconds.

    Raise MaterialError for a file that cannot be used or that changes while it is read.
    """
    files = [_File(key, path, _read(key, path)) for key, path in named_files(terms)]
    context = _create_context(terms)
    for file in files:
        if file.key == "ca":
            _load_trust(context, file)
    revoked, crl_until = _load_revocations(context, [file for file in files if file.key == "crl"])
    own_certificate = None
    if terms.certificate is not None:
        own_certificate = _load_own_certificate(context, terms, files, environ, now)
    for file in files:  # OpenSSL has read some of the files again, by path
        if _read(file.key, file.path) != file.content:
            raise MaterialError(file.key, f"{file.path} changed while it was read")
    return Material(context, _digest(files), own_certificate, revoked, crl_until, terms.pins)


def _create_context(terms: Terms) -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)  # verifies chain, name and validity
    context.minimum_version = TLS_VERSIONS[terms.least_version]
    context.hostname_checks_common_name = False  # only the names in the SAN count (RFC 9525, 2)
    context.options |= ssl.OP_NO_RENEGOTIATION | ssl.OP_NO_COMPRESSION
    context.post_handshake_auth = False
    if terms.ca is None:
        context.load_default_certs(ssl.Purpose.SERVER_AUTH)
    return context


def _digest(files: list[_File]) -> str:
    digest = hashlib.sha256()
    for file in files:
        digest.update(f"{file.key}\0{file.path}\0{len(file.content)}\0".encode() + file.content)
    return digest.hexdigest()


def _load_trust(context: ssl.SSLContext, file: _File) -> None:
    try:
        roots = x509.load_pem_x509_certificates(file.content)
        context.load_verify_locations(cadata=file.content.decode("ascii", "ignore"))
    except (ValueError, ssl.SSLError) as error:
        raise MaterialError("ca", f"no certificates in PEM in {file.path}: {error}") from error
    if not roots:
        raise MaterialError("ca", f"no certificates in PEM in {file.path}")


def _load_revocations(context: ssl.SSLContext, files: list[_File]) -> tuple[RevokedCertificates, int]:
    """Return the revoked certificates, and the earliest next update of a list in Unix nanoseconds.

    The next update is NEVER if no list has one. Raise MaterialError for a list that cannot be used.
    """
    revoked: set[tuple[bytes, int]] = set()
    next_update = NEVER
    for file in files:
        pem_blocks = [CRL_BEGIN + block for block in file.content.split(CRL_BEGIN)[1:]]
        if not pem_blocks:
            raise MaterialError("crl", f"no list of revocations in PEM in {file.path}")
        try:
            for block in pem_blocks:
                crl = x509.load_pem_x509_crl(block)
                issuer = crl.issuer.public_bytes()
                revoked.update((issuer, entry.serial_number) for entry in crl)
                if crl.next_update_utc is not None:
                    next_update = min(next_update, certificates.unix_nanoseconds(crl.next_update_utc))
            context.load_verify_locations(cafile=str(file.path))
        except (ValueError, OSError) as error:  # ssl.SSLError is an OSError
            raise MaterialError("crl", f"cannot be used: {file.path}: {error}") from error
    if files:
        context.verify_flags |= ssl.VERIFY_CRL_CHECK_LEAF
    return frozenset(revoked), next_update


def _load_own_certificate(
    context: ssl.SSLContext, terms: Terms, files: list[_File], environ: Mapping[str, str], now: int
) -> CertificateInfo:
    certificate_path = terms.certificate
    key_path = terms.key
    assert certificate_path is not None  # checked when the settings were read
    assert key_path is not None
    contents = {file.path: file.content for file in files}
    _check_key_permissions(key_path)
    password = _key_password(terms, environ)
    certificate = _parse_certificate(certificate_path, contents[certificate_path])
    private_key = _parse_private_key(key_path, contents[key_path], password)
    if _public_bytes(private_key.public_key()) != _public_bytes(certificate.public_key()):
        raise MaterialError("key", f"{key_path} does not belong to the certificate in {certificate_path}")
    info = certificates.describe(certificate)
    if info.not_after <= now:
        expired_on = f"{certificate.not_valid_after_utc:%Y-%m-%d}"
        raise MaterialError("certificate", f"{certificate_path} has expired ({expired_on})")
    if info.not_before > now:
        valid_from = f"{certificate.not_valid_before_utc:%Y-%m-%d}"
        raise MaterialError("certificate", f"{certificate_path} is not valid before {valid_from}")
    try:
        context.load_cert_chain(certificate_path, key_path, password or b"")
    except (ssl.SSLError, OSError) as error:
        raise MaterialError("key", f"{key_path} with {certificate_path}: {error}") from error
    return info


def _check_key_permissions(path: Path) -> None:
    mode = stat.S_IMODE(path.stat().st_mode)
    if mode & GROUP_AND_OTHERS:
        raise MaterialError("key", f"others can read or change {path} (mode {mode:o}); it must be 600 or 400")


def _key_password(terms: Terms, environ: Mapping[str, str]) -> bytes | None:
    variable = terms.key_password_env
    if not variable:
        return None
    if variable not in environ:
        raise MaterialError("key-password-env", f"the environment has no variable {variable}")
    return environ[variable].encode()


def _parse_certificate(path: Path, content: bytes) -> x509.Certificate:
    try:
        return x509.load_pem_x509_certificates(content)[0]
    except (ValueError, IndexError) as error:
        raise MaterialError("certificate", f"no certificate in PEM in {path}: {error}") from error


def _parse_private_key(path: Path, content: bytes, password: bytes | None) -> PrivateKeyTypes:
    try:
        return load_pem_private_key(content, password)
    except (ValueError, TypeError) as error:
        raise MaterialError("key", f"cannot be read: {path}: {error}") from error


def _public_bytes(public_key: PublicKeyTypes) -> bytes:
    return public_key.public_bytes(Encoding.DER, PublicFormat.SubjectPublicKeyInfo)
