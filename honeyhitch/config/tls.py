"""The tables `[tls]`, `[[tls.partner]]` and `[mqtt.tls]` of the operator's file."""

from __future__ import annotations

import base64
import binascii
import time
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from honeyhitch.config.deployment import ConfigError
from honeyhitch.config.values import ConfigTable
from honeyhitch.policy.settings import Settings
from honeyhitch.tls.settings import Partner, Scope, Terms, TlsSettings

SECOND = 10**9  # ns
KEYS = (
    "server-name", "ca", "crl", "certificate", "key", "key-password-env", "least-version", "pins", "resume",
    "handshakes", "handshake-rate", "handshake-timeout", "retire-within", "warn-days",
)  # fmt: skip
SCOPES = (Scope.MEMBER, Scope.DEST, Scope.KIND)


def parse_tls(told: object, settings: Settings | None, environ: Mapping[str, str]) -> TlsSettings:
    """`[tls]` with its partners; the defaults stand in `[tls]` itself. Without settings no kind is known to
    be wrong.
    """
    table = ConfigTable(told, "tls")
    rows = table.get("partner", list, [])
    defaults = {key: table.unread.pop(key) for key in KEYS if key in table.unread}
    table.reject_unknown_keys()
    _terms(ConfigTable(dict(defaults), "tls"))  # a mistake in the defaults is named as theirs
    partners: list[Partner] = []
    for i, row in enumerate(rows):
        inner = ConfigTable(row, f"tls.partner.{i}")
        scope, value = _scope(inner, settings)
        for j, other in enumerate(partners):
            if (other.scope, other.value) == (scope, value):
                raise ConfigError(f"{inner.path}.{scope.value}: {value} is matched by tls.partner.{j}, too")
        inner.unread = {**defaults, **inner.unread}
        partners.append(Partner(scope, value, _terms(inner)))
    if not partners:
        raise ConfigError("tls.partner: at least one is needed; [tls] alone turns nothing on")
    for i, partner in enumerate(partners):
        check_files(partner, f"tls.partner.{i}", environ)
    return TlsSettings(tuple(partners))


def parse_broker_tls(told: object, environ: Mapping[str, str]) -> Partner:
    """`[mqtt.tls]`, with the same keys as a partner's table."""
    partner = Partner(Scope.BROKER, "mqtt", _terms(ConfigTable(told, "mqtt.tls")))
    check_files(partner, "mqtt.tls", environ)
    return partner


def check_files(partner: Partner, at: str, environ: Mapping[str, str]) -> None:
    """Refuse files that cannot be used, with key and file named."""
    try:
        from honeyhitch.tls import material
    except ImportError as error:
        raise ConfigError(f"{at}: needs the extra honeyhitch[tls] ({error})") from error
    try:
        material.load(partner.terms, environ, time.time_ns())
    except material.MaterialError as error:
        raise ConfigError(f"{at}.{error}") from error


def _scope(table: ConfigTable, settings: Settings | None) -> tuple[Scope, str]:
    named = [scope for scope in SCOPES if scope.value in table.unread]
    if len(named) != 1:
        raise ConfigError(f"{table.path}: expected exactly one of member, dest and kind")
    scope = named[0]
    if scope is Scope.DEST:
        return scope, str(table.get("dest", int))
    value = table.get(scope.value, str)
    kinds = [kind.name for kind in settings.kinds] if settings is not None else [value]
    if scope is Scope.KIND and value not in kinds:
        raise ConfigError(f"{table.path}.kind: not a kind in the settings: {value!r}")
    if not value:
        raise ConfigError(f"{table.path}.{scope.value}: must not be empty")
    return scope, value


def _terms(table: ConfigTable) -> Terms:
    standard = Terms()

    def path(key: str) -> Path | None:
        text = table.optional(key, str)
        if text == "":
            raise ConfigError(f"{table.path}.{key}: must not be empty")
        return Path(text) if text is not None else None

    def span(key: str, default: int) -> int:
        seconds = table.get(key, float, default / SECOND)
        if not 0 < seconds <= 24 * 3600:
            raise ConfigError(
                f"{table.path}.{key}: expected seconds above 0 and at most a day, got {seconds:g}"
            )
        return int(seconds * SECOND)

    terms = Terms(
        server_name=_name(table),
        ca=path("ca"),
        crl=path("crl"),
        certificate=path("certificate"),
        key=path("key"),
        key_password_env=table.get("key-password-env", str, ""),
        least_version=table.choice("least-version", ("1.2", "1.3"), standard.least_version),
        pins=tuple(_pin(one, f"{table.path}.pins.{i}") for i, one in enumerate(table.get("pins", list, []))),
        resume=table.get("resume", bool, standard.resume),
        handshakes=table.get("handshakes", int, standard.handshakes),
        handshake_rate=table.get("handshake-rate", float, standard.handshake_rate),
        handshake_timeout=span("handshake-timeout", standard.handshake_timeout),
        retire_within=span("retire-within", standard.retire_within),
        warn_days=table.get("warn-days", int, standard.warn_days),
    )
    table.reject_unknown_keys()
    if (terms.certificate is None) != (terms.key is None):
        missing = "key" if terms.key is None else "certificate"
        raise ConfigError(f"{table.path}.{missing}: missing; certificate and key go together")
    if terms.handshakes < 1:
        raise ConfigError(f"{table.path}.handshakes: expected at least 1, got {terms.handshakes}")
    if not 0 < terms.handshake_rate < float("inf"):
        raise ConfigError(f"{table.path}.handshake-rate: expected more than 0, got {terms.handshake_rate:g}")
    if terms.warn_days < 0:
        raise ConfigError(f"{table.path}.warn-days: must not be negative")
    return terms


def _name(table: ConfigTable) -> str:
    name = table.get("server-name", str, "")
    if name.startswith(".") or "\0" in name or any(c.isspace() for c in name) or len(name) > 253:
        raise ConfigError(f"{table.path}.server-name: expected a host name or an IP address, got {name!r}")
    return name


def _pin(told: Any, at: str) -> bytes:
    """SHA-256 in base64 or hexadecimal digits, with or without `sha256/` before it."""
    text = told.removeprefix("sha256/") if isinstance(told, str) else ""
    try:
        pin = bytes.fromhex(text) if len(text) == 64 else base64.b64decode(text, validate=True)
    except (ValueError, binascii.Error):
        pin = b""
    if len(pin) != 32:
        raise ConfigError(f"{at}: expected the SHA-256 of a public key in base64 or hexadecimal digits")
    return pin
