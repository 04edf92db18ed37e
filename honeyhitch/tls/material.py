"""Trust, lists of revocations, and our own certificate and key, read from files and checked whole.

This is the one place that builds an `ssl.SSLContext`. A mistake is a MaterialError that names key and file.
Files may be replaced while the process runs: they are read once into memory, checked against each other, and
handed to OpenSSL; if they changed on the way, that is a mistake, too, and what was there before stays in use.
"""

from __future__ import annotations

import hashlib
import os
import ssl
import stat
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives.serialization import (
    Encoding,
    PublicFormat,
    load_pem_private_key,
)

from honeyhitch.tls import certificates
from honeyhitch.tls.certificates import Facts
from honeyhitch.tls.failures import Failure, TlsError
from honeyhitch.tls.settings import Terms

MOST_FILE = 8 << 20  # bytes of one file; a longer one is a mistake
VERSIONS = {"1.2": ssl.TLSVersion.TLSv1_2, "1.3": ssl.TLSVersion.TLSv1_3}


class MaterialError(Exception):
    """A file that cannot be used; the message begins with its key, below the partner's table."""

    def __init__(self, key: str, what: str) -> None:
        super().__init__(f"{key}: {what}")
        self.key = key


@dataclass(frozen=True, slots=True)
class Material:
    """What connections to a partner are made with. `digest` changes when any file's content does."""

    context: ssl.SSLContext
    digest: str
    own: Facts | None
    revoked: frozenset[tuple[bytes, int]]  # issuers in DER with serial numbers
    crl_until: int  # the earliest next update of a list; far away if there is none
    pins: tuple[bytes, ...]

    def objection(self, peer: Facts, now: int) -> TlsError | None:
        """Why this partner's certificate is not taken, beside what OpenSSL verifies in a full handshake."""
        if self.pins and peer.pin not in self.pins:
            return TlsError(Failure.PIN_MISMATCH, f"its key has the pin {peer.pin.hex()}")
        if (peer.issuer_der, peer.serial) in self.revoked:
            return TlsError(Failure.REVOKED, f"serial {peer.serial:x}")
        if peer.not_after <= now:
            return TlsError(Failure.EXPIRED, peer.subject)
        return None

    def until(self, peer: Facts) -> int:
        """How long what was verified of the peer holds."""
        return min(peer.not_after, self.crl_until)


def _read(key: str, path: Path) -> bytes:
    try:
        if path.stat().st_size > MOST_FILE:
            raise MaterialError(key, f"{path} is longer than {MOST_FILE} bytes")
        return path.read_bytes()
    except OSError as error:
        raise MaterialError(key, f"cannot read {path}: {error.strerror}") from error


def _files(key: str, path: Path) -> list[Path]:
    try:
        if not path.is_dir():
            return [path]
        found = sorted(one for one in path.iterdir() if one.is_file() and not one.name.startswith("."))
    except OSError as error:
        raise MaterialError(key, f"cannot read {path}: {error.strerror}") from error
    if not found:
        raise MaterialError(key, f"no file in the folder {path}")
    return found


def paths(terms: Terms) -> list[tuple[str, Path]]:
    """Every file that the terms name, with its key; folders are listed anew each time."""
    named = (("ca", terms.ca), ("crl", terms.crl), ("certificate", terms.certificate), ("key", terms.key))
    return [(key, one) for key, path in named if path is not None for one in _files(key, path)]


def stamps(terms: Terms) -> tuple[object, ...]:
    """What changes when a file is written or replaced: cheap enough to look at every second."""
    told: list[object] = []
    try:
        for key, path in paths(terms):
            seen = path.stat()
            told.append((key, str(path), seen.st_mtime_ns, seen.st_size, seen.st_ino, seen.st_mode))
    except (OSError, MaterialError) as error:
        told.append(str(error))
    return tuple(told)


def load(terms: Terms, environ: Mapping[str, str], now: int) -> Material:
    """Read and check everything. MaterialError names what is wrong; `now` is Unix time in nanoseconds."""
    told = paths(terms)
    contents = {path: _read(key, path) for key, path in told}
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)  # verifies chain, name and time
    context.minimum_version = VERSIONS[terms.least_version]
    context.hostname_checks_common_name = False  # names count in the SAN only (RFC 9525, 2)
    context.options |= ssl.OP_NO_RENEGOTIATION | ssl.OP_NO_COMPRESSION
    context.post_handshake_auth = False
    if terms.ca is None:
        context.load_default_certs(ssl.Purpose.SERVER_AUTH)
    for key, path in told:
        if key == "ca":
            _trust(context, path, contents[path])
    revoked, crl_until = _revocations(context, [(p, contents[p]) for key, p in told if key == "crl"])
    own = None
    if terms.certificate is not None:
        own = _own(context, terms, contents, environ, now)
    for key, path in told:  # OpenSSL has read some of them by name
        if _read(key, path) != contents[path]:
            raise MaterialError(key, f"{path} changed while it was read")
    digest = hashlib.sha256()
    for key, path in told:
        digest.update(f"{key}\0{path}\0{len(contents[path])}\0".encode() + contents[path])
    return Material(context, digest.hexdigest(), own, revoked, crl_until, terms.pins)


def _trust(context: ssl.SSLContext, path: Path, content: bytes) -> None:
    try:
        certificates_read = x509.load_pem_x509_certificates(content)
        context.load_verify_locations(cadata=content.decode("ascii", "ignore"))
    except (ValueError, ssl.SSLError) as error:
        raise MaterialError("ca", f"no certificates in PEM in {path}: {error}") from error
    if not certificates_read:
        raise MaterialError("ca", f"no certificates in PEM in {path}")


def _revocations(
    context: ssl.SSLContext, files: list[tuple[Path, bytes]]
) -> tuple[frozenset[tuple[bytes, int]], int]:
    revoked: set[tuple[bytes, int]] = set()
    until = 1 << 62
    for path, content in files:
        lists = [b"-----BEGIN X509 CRL" + part for part in content.split(b"-----BEGIN X509 CRL")[1:]]
        if not lists:
            raise MaterialError("crl", f"no list of revocations in PEM in {path}")
        try:
            for text in lists:
                crl = x509.load_pem_x509_crl(text)
                issuer = crl.issuer.public_bytes()
                revoked.update((issuer, entry.serial_number) for entry in crl)
                if crl.next_update_utc is not None:
                    until = min(until, certificates.unix(crl.next_update_utc))
            context.load_verify_locations(cafile=str(path))
        except (ValueError, OSError) as error:  # ssl.SSLError is an OSError
            raise MaterialError("crl", f"cannot be used: {path}: {error}") from error
    if files:
        context.verify_flags |= ssl.VERIFY_CRL_CHECK_LEAF
    return frozenset(revoked), until


def _own(
    context: ssl.SSLContext, terms: Terms, contents: dict[Path, bytes], environ: Mapping[str, str], now: int
) -> Facts:
    certificate, key = terms.certificate, terms.key
    assert certificate is not None and key is not None  # checked with the settings
    if (mode := stat.S_IMODE(os.stat(key).st_mode)) & 0o077:
        raise MaterialError("key", f"others can read or change {key} (mode {mode:o}); it must be 600 or 400")
    password: bytes | None = None
    if terms.key_password_env:
        if terms.key_password_env not in environ:
            raise MaterialError("key-password-env", f"no variable {terms.key_password_env}")
        password = environ[terms.key_password_env].encode()
    try:
        leaf = x509.load_pem_x509_certificates(contents[certificate])[0]
    except (ValueError, IndexError) as error:
        raise MaterialError("certificate", f"no certificate in PEM in {certificate}: {error}") from error
    try:
        private = load_pem_private_key(contents[key], password)
    except (ValueError, TypeError) as error:
        raise MaterialError("key", f"cannot be read: {key}: {error}") from error
    form = Encoding.DER, PublicFormat.SubjectPublicKeyInfo
    if private.public_key().public_bytes(*form) != leaf.public_key().public_bytes(*form):
        raise MaterialError("key", f"{key} does not belong to the certificate in {certificate}")
    told = certificates.facts(leaf)
    if told.not_after <= now:
        raise MaterialError("certificate", f"{certificate} has expired ({leaf.not_valid_after_utc:%Y-%m-%d})")
    if told.not_before > now:
        raise MaterialError(
            "certificate", f"{certificate} is not valid before {leaf.not_valid_before_utc:%Y-%m-%d}"
        )
    try:
        context.load_cert_chain(certificate, key, password or b"")
    except (ssl.SSLError, OSError) as error:
        raise MaterialError("key", f"{key} with {certificate}: {error}") from error
    return told
