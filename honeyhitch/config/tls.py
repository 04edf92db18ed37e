"""Parser of the tables `[tls]`, `[[tls.partner]]` and `[mqtt.tls]` of the operator's file."""

from __future__ import annotations

import base64
import binascii
import math
import time
from collections.abc import Mapping
from pathlib import Path

from honeyhitch.config.deployment import ConfigError
from honeyhitch.config.values import ConfigTable
from honeyhitch.policy.settings import Settings
from honeyhitch.time_units import DAY, SECOND
from honeyhitch.tls.settings import Partner, Scope, Terms, TlsSettings

TERM_KEYS = (
    "server-name", "ca", "crl", "certificate", "key", "key-password-env", "least-version", "pins", "resume",
    "handshakes", "handshake-rate", "handshake-timeout", "retire-within", "warn-days",
)  # fmt: skip
PARTNER_SCOPES = (Scope.ENDPOINT, Scope.DEST, Scope.KIND)
MAX_DURATION_SECONDS = DAY // SECOND
MAX_NAME_LENGTH = 253  # characters of a host name (RFC 1035)
PIN_BYTES = 32  # length of a SHA-256 digest
PIN_HEX_DIGITS = 2 * PIN_BYTES


def parse_tls(value: object, settings: Settings | None, environ: Mapping[str, str]) -> TlsSettings:
    """Return the settings of `[tls]` with its partners. Raise ConfigError if a value is invalid.

    Terms in `[tls]` itself are defaults for each partner. Without `settings`, kinds are not checked.
    """
    table = ConfigTable(value, "tls")
    rows = table.get("partner", list, [])
    defaults = {key: table.unread.pop(key) for key in TERM_KEYS if key in table.unread}
    table.reject_unknown_keys()
    # Checked here, so that an error in the defaults is reported under `[tls]` and not under a partner.
    _parse_terms(ConfigTable(dict(defaults), "tls"))
    partners = list[Partner]()
    for index, row in enumerate(rows):
        partner_table = ConfigTable(row, f"tls.partner.{index}")
        scope, scope_value = _parse_scope(partner_table, settings)
        _check_unique(partner_table, scope, scope_value, partners)
        partner_table.unread = {**defaults, **partner_table.unread}
        partners.append(Partner(scope, scope_value, _parse_terms(partner_table)))
    if not partners:
        raise ConfigError("tls.partner: at least one is needed; [tls] alone does not enable TLS")
    for index, partner in enumerate(partners):
        check_files(partner, f"tls.partner.{index}", environ)
    return TlsSettings(tuple(partners))


def _check_unique(table: ConfigTable, scope: Scope, scope_value: str, partners: list[Partner]) -> None:
    for index, other in enumerate(partners):
        if (other.scope, other.value) == (scope, scope_value):
            raise table.invalid(scope.value, f"{scope_value} is matched by tls.partner.{index}, too")


def parse_broker_tls(value: object, environ: Mapping[str, str]) -> Partner:
    """Return the broker's partner from `[mqtt.tls]`, which has a partner's keys, or raise ConfigError."""
    partner = Partner(Scope.BROKER, "mqtt", _parse_terms(ConfigTable(value, "mqtt.tls")))
    check_files(partner, "mqtt.tls", environ)
    return partner


def check_files(partner: Partner, path: str, environ: Mapping[str, str]) -> None:
    """Raise ConfigError, naming the key and the file, if a partner's files cannot be used."""
    try:
        from honeyhitch.tls import material
    except ImportError as error:
        raise ConfigError(f"{path}: needs the extra honeyhitch[tls] ({error})") from error
    try:
        material.load(partner.terms, environ, time.time_ns())
    except material.MaterialError as error:
        raise ConfigError(f"{path}.{error}") from error


def _parse_scope(table: ConfigTable, settings: Settings | None) -> tuple[Scope, str]:
    """Return the scope of a partner's table and the value that it matches in that scope."""
    scopes = [scope for scope in PARTNER_SCOPES if scope.value in table.unread]
    if len(scopes) != 1:
        raise ConfigError(
            f"{table.path}: expected exactly one of member, dest and kind, got {len(scopes)} of them"
        )
    scope = scopes[0]
    if scope is Scope.DEST:
        return scope, str(table.get("dest", int))
    scope_value = table.get(scope.value, str)
    kinds = [kind.name for kind in settings.kinds] if settings is not None else [scope_value]
    if scope is Scope.KIND and scope_value not in kinds:
        raise table.invalid("kind", f"not a kind in the settings: {scope_value!r}")
    if not scope_value:
        raise table.invalid(scope.value, "must not be empty")
    return scope, scope_value


def _parse_terms(table: ConfigTable) -> Terms:
    defaults = Terms()
    terms = Terms(
        server_name=_parse_server_name(table),
        ca=_parse_path(table, "ca"),
        crl=_parse_path(table, "crl"),
        certificate=_parse_path(table, "certificate"),
        key=_parse_path(table, "key"),
        key_password_env=table.get("key-password-env", str, ""),
        least_version=table.choice("least-version", ("1.2", "1.3"), defaults.least_version),
        pins=_parse_pins(table),
        resume=table.get("resume", bool, defaults.resume),
        handshakes=table.get("handshakes", int, defaults.handshakes),
        handshake_rate=table.get("handshake-rate", float, defaults.handshake_rate),
        handshake_timeout=_parse_duration(table, "handshake-timeout", defaults.handshake_timeout),
        retire_within=_parse_duration(table, "retire-within", defaults.retire_within),
        warn_days=table.get("warn-days", int, defaults.warn_days),
    )
    table.reject_unknown_keys()
    _check_terms(table, terms)
    return terms


def _check_terms(table: ConfigTable, terms: Terms) -> None:
    if (terms.certificate is None) != (terms.key is None):
        missing = "key" if terms.key is None else "certificate"
        raise table.invalid(missing, "missing; certificate and key go together")
    if terms.handshakes < 1:
        raise table.invalid("handshakes", f"expected at least 1, got {terms.handshakes}")
    if not 0 < terms.handshake_rate < math.inf:
        raise table.invalid(
            "handshake-rate", f"expected more than 0 and finite, got {terms.handshake_rate:g}"
        )
    if terms.warn_days < 0:
        raise table.invalid("warn-days", f"must not be negative, got {terms.warn_days}")


def _parse_path(table: ConfigTable, key: str) -> Path | None:
    text = table.optional(key, str)
    if text == "":
        raise table.invalid(key, "must not be empty")
    return Path(text) if text is not None else None


def _parse_duration(table: ConfigTable, key: str, default: int) -> int:
    """Return a duration in nanoseconds. The file gives it in seconds; the default is in nanoseconds."""
    seconds = table.seconds(key, default)
    if not 0 < seconds <= MAX_DURATION_SECONDS:
        raise table.invalid(key, f"expected seconds above 0 and at most a day, got {seconds:g}")
    return int(seconds * SECOND)


def _parse_server_name(table: ConfigTable) -> str:
    name = table.get("server-name", str, "")
    forbidden = "\0" in name or any(character.isspace() for character in name)
    if name.startswith(".") or forbidden or len(name) > MAX_NAME_LENGTH:
        raise table.invalid("server-name", f"expected a host name or an IP address, got {name!r}")
    return name


def _parse_pins(table: ConfigTable) -> tuple[bytes, ...]:
    values = table.get("pins", list, [])
    return tuple(_parse_pin(value, f"{table.path}.pins.{index}") for index, value in enumerate(values))


def _parse_pin(value: object, path: str) -> bytes:
    """Return the bytes of a SHA-256 digest given in base64 or hexadecimal, with an optional `sha256/`."""
    text = value.removeprefix("sha256/") if isinstance(value, str) else ""
    try:
        is_hex = len(text) == PIN_HEX_DIGITS
        pin = bytes.fromhex(text) if is_hex else base64.b64decode(text, validate=True)
    except (ValueError, binascii.Error):
        pin = b""
    if len(pin) != PIN_BYTES:
        raise ConfigError(
            f"{path}: expected the SHA-256 of a public key in base64 or hexadecimal digits, got {value!r}"
        )
    return pin
