"""Mistakes in the operator's file and in the files that it names, reloads of files, and the session cache."""

from __future__ import annotations

import dataclasses
import ssl
import time
from pathlib import Path
from random import Random
from types import SimpleNamespace
from typing import Any, cast

import pytest

from honeyhitch import config
from honeyhitch.tls.material import MaterialError, load
from honeyhitch.tls.partners import Partners
from honeyhitch.tls.sessions import SessionCache, SessionKey
from honeyhitch.tls.settings import Partner, Scope, Terms, TlsSettings

from .authority import Authority
from .program import write_config_files
from .world import SECOND, settings


@pytest.fixture(scope="module")
def pki(tmp_path_factory: pytest.TempPathFactory) -> Authority:
    return Authority(tmp_path_factory.mktemp("pki"))


PARTNER = "[[tls.partner]]\ndest = 1\n"


@pytest.mark.parametrize(
    ("text", "expected_error"),
    [
        ("[tls]", "tls.partner: at least one is needed"),
        ("[[tls.partner]]", "tls.partner.0: expected exactly one of member, dest and kind"),
        (PARTNER + 'kind = "small"', "tls.partner.0: expected exactly one of member, dest and kind"),
        (PARTNER + PARTNER, "tls.partner.1.dest: 1 is matched by tls.partner.0, too"),
        ('[[tls.partner]]\nkind = "tiny"', "tls.partner.0.kind: not a kind in the settings"),
        ('[[tls.partner]]\ndest = "1"', "tls.partner.0.dest: expected int"),
        ('[[tls.partner]]\nmember = ""', "tls.partner.0.member: must not be empty"),
        (PARTNER + 'least-version = "1.1"', "tls.partner.0.least-version: expected one of 1.2, 1.3"),
        (PARTNER + 'pins = ["abc"]', "tls.partner.0.pins.0: expected the SHA-256"),
        (PARTNER + "pins = [3]", "tls.partner.0.pins.0: expected the SHA-256"),
        (PARTNER + "handshakes = 0", "tls.partner.0.handshakes: expected at least 1"),
        (PARTNER + "handshake-rate = 0", "tls.partner.0.handshake-rate: expected more than 0"),
        (PARTNER + "handshake-rate = inf", "tls.partner.0.handshake-rate: expected more than 0"),
        (PARTNER + "handshake-timeout = 0", "tls.partner.0.handshake-timeout: expected seconds above 0"),
        (PARTNER + "retire-within = -1", "tls.partner.0.retire-within: expected seconds above 0"),
        (PARTNER + "warn-days = -1", "tls.partner.0.warn-days: must not be negative"),
        (PARTNER + 'server-name = "a b"', "tls.partner.0.server-name: expected a host name"),
        (PARTNER + "verify = false", "tls.partner.0.verify: no such key"),
        ("[tls]\nearly-data = true\n" + PARTNER, "tls.early-data: no such key"),
        ("[tls]\nhandshakes = 0\n" + PARTNER, "tls.handshakes: expected at least 1"),
        (PARTNER + 'certificate = "x"', "tls.partner.0.key: missing; certificate and key go together"),
        (PARTNER + 'key = "x"', "tls.partner.0.certificate: missing"),
        (PARTNER + 'ca = "/nowhere/ca.pem"', "tls.partner.0.ca: cannot read /nowhere/ca.pem"),
        (PARTNER + 'ca = ""', "tls.partner.0.ca: must not be empty"),
        ('[mqtt]\nbroker = "b:1"\n[mqtt.tls]\nca = "/nowhere"', "mqtt.tls.ca: cannot read /nowhere"),
        ('[mqtt]\nbroker = "b:1"\n[mqtt.tls]\ndest = 1', "mqtt.tls.dest: no such key"),
    ],
)
def test_each_mistake_in_the_operators_file_names_its_key(
    tmp_path: Path, text: str, expected_error: str
) -> None:
    with pytest.raises(config.ConfigError) as error:
        config.read({}, *write_config_files(tmp_path, 6379, 8500, [], text))
    assert str(error.value).startswith(expected_error), error.value


def test_each_file_that_cannot_be_used_is_refused_with_key_and_file_named(
    pki: Authority, tmp_path: Path
) -> None:
    good, other = pki.issue(), pki.issue()
    expired = pki.issue(start=-9, end=-1)
    early = pki.issue(start=2)
    encrypted = pki.issue(password=b"secret")
    readable_key = pki.issue()
    readable_key.key_file.chmod(0o640)
    malformed, empty = tmp_path / "junk.pem", tmp_path / "empty"
    malformed.write_bytes(b"-----BEGIN CERTIFICATE-----\nnot\n-----END CERTIFICATE-----\n")
    empty.mkdir()

    def own(certificate: Any, key: Any, **options: Any) -> Terms:
        return Terms(ca=pki.file, certificate=certificate, key=key, **options)

    for terms, key, file, expected_error in (
        (own(good.cert_file, other.key_file), "key", other.key_file, "does not belong"),
        (own(good.cert_file, readable_key.key_file), "key", readable_key.key_file, "others can read"),
        (own(expired.cert_file, expired.key_file), "certificate", expired.cert_file, "has expired"),
        (own(early.cert_file, early.key_file), "certificate", early.cert_file, "is not valid before"),
        (own(malformed, good.key_file), "certificate", malformed, "no certificate in PEM"),
        (own(good.cert_file, tmp_path / "none"), "key", tmp_path / "none", "cannot read"),
        (own(encrypted.cert_file, encrypted.key_file), "key", encrypted.key_file, "cannot be read"),
        (
            own(encrypted.cert_file, encrypted.key_file, key_password_env="NONE"),
            "key-password-env",
            "NONE",
            "no",
        ),
        (
            own(encrypted.cert_file, encrypted.key_file, key_password_env="WRONG"),
            "key",
            encrypted.key_file,
            "cannot",
        ),
        (Terms(ca=malformed), "ca", malformed, "no certificates in PEM"),
        (Terms(ca=empty), "ca", empty, "no file in the folder"),
        (Terms(ca=good.key_file), "ca", good.key_file, "no certificates in PEM"),
        (Terms(ca=pki.file, crl=pki.file), "crl", pki.file, "no list of revocations"),
    ):
        with pytest.raises(MaterialError) as error:
            load(terms, {"WRONG": "guess"}, time.time_ns())
        assert str(error.value).startswith(f"{key}: "), error.value
        assert str(file) in str(error.value), error.value
        assert expected_error in str(error.value)
    material = load(
        own(encrypted.cert_file, encrypted.key_file, key_password_env="RIGHT"),
        {"RIGHT": "secret"},
        time.time_ns(),
    )
    assert material.own_certificate is not None
    assert material.own_certificate.names == ("localhost", "127.0.0.1")


def test_all_files_of_a_directory_of_roots_are_read(pki: Authority, tmp_path: Path) -> None:
    other = Authority(tmp_path, "Other CA")
    folder = tmp_path / "roots"
    folder.mkdir()
    for i, file in enumerate((pki.file, other.file)):
        (folder / f"{i}.pem").write_bytes(file.read_bytes())
    material = load(Terms(ca=folder), {}, time.time_ns())
    assert material.context.cert_store_stats()["x509_ca"] == 2
    assert material.context.verify_mode is ssl.CERT_REQUIRED
    assert material.context.check_hostname
    assert load(Terms(), {}, time.time_ns()).context.verify_mode is ssl.CERT_REQUIRED


def test_the_partner_with_the_narrowest_scope_applies() -> None:
    wide, middle, narrow = (
        Partner(scope, value, Terms(handshakes=i))
        for i, (scope, value) in enumerate(((Scope.KIND, "k"), (Scope.DEST, "7"), (Scope.ENDPOINT, "m")), 1)
    )
    tls_settings = TlsSettings((wide, middle, narrow))
    assert tls_settings.find_partner("m", 7, "k") is narrow
    assert tls_settings.find_partner("n", 7, "k") is middle
    assert tls_settings.find_partner("n", 8, "k") is wide
    assert tls_settings.find_partner("n", 8, "j") is None


def test_defaults_apply_to_each_partner_without_its_own_value(pki: Authority, tmp_path: Path) -> None:
    text = f'[tls]\nca = "{pki.file}"\nhandshakes = 7\n{PARTNER}[[tls.partner]]\ndest = 2\nhandshakes = 9\n'
    tls_settings = config.read({}, *write_config_files(tmp_path, 6379, 8500, [], text)).operator.tls
    assert tls_settings is not None
    assert [partner.terms.handshakes for partner in tls_settings.partners] == [7, 9]
    assert {partner.terms.ca for partner in tls_settings.partners} == {pki.file}


class Clock:
    def __init__(self) -> None:
        self.now = time.time_ns()


def create_partners(terms: Terms, clock: Clock) -> Partners:
    tls_settings = TlsSettings((Partner(Scope.DEST, "1", terms),))
    return Partners(tls_settings, settings(), {}, lambda: clock.now, Random(1))


def test_changed_files_are_applied_completely_or_not_at_all(pki: Authority, tmp_path: Path) -> None:
    first, second = pki.issue(), pki.issue()
    cert, key = tmp_path / "own.crt", tmp_path / "own.key"
    cert.write_bytes(first.cert_file.read_bytes())
    key.touch(0o600)
    key.write_bytes(first.key_file.read_bytes())
    partners = create_partners(Terms(ca=pki.file, certificate=cert, key=key), Clock())
    state = partners.find("m", 1, "")
    assert state is not None
    assert partners.changed_files() == []
    generations: list[int] = []
    partners.on_change.append(lambda changed: generations.append(changed.generation))

    def reload_changed_files() -> list[bool]:
        return [
            partners.apply_files(changed, stamps, partners.read_files(changed))
            for changed, stamps in partners.changed_files()
        ]

    new_certificate = second.cert_file.read_bytes()
    # The certificate file is empty, then half written, and then complete, but still with the old key file.
    for content in (b"", new_certificate[: len(new_certificate) // 2], new_certificate):
        cert.write_bytes(content)
        assert reload_changed_files() == [False]
        assert state.generation == 0
        assert state.last_rejection
        assert reload_changed_files() == [], "unchanged files are not read again"
    key.write_bytes(second.key_file.read_bytes())
    assert reload_changed_files() == [True]
    assert generations == [1]
    assert not state.last_rejection
    cert.write_bytes(new_certificate)  # the same content again
    assert reload_changed_files() == [False]
    assert state.generation == 1
    key.unlink()
    assert reload_changed_files() == [False]
    assert state.generation == 1
    assert "cannot read" in state.last_rejection


def test_an_expiring_certificate_is_logged_once_a_day(
    pki: Authority, monkeypatch: pytest.MonkeyPatch
) -> None:
    expiring = pki.issue(end=5)
    clock, warnings = Clock(), list[dict[str, Any]]()
    partners = create_partners(
        Terms(ca=pki.file, certificate=expiring.cert_file, key=expiring.key_file, warn_days=14), clock
    )
    from honeyhitch.tls import partners as module

    fake = SimpleNamespace(warning=lambda event, **fields: warnings.append({"event": event, **fields}))
    monkeypatch.setattr(module, "log", fake)
    for hours in (0, 1, 2, 25):
        clock.now += hours * 3600 * SECOND
        partners.warn_of_expiry()
    assert len(warnings) == 2
    assert warnings[0]["whose"] == "own"
    assert 4 < warnings[0]["days_left"] <= 5


def test_a_session_expires_with_its_verification() -> None:
    def session(hint: int, ticket: bool = True) -> ssl.SSLSession:
        return cast(
            ssl.SSLSession, SimpleNamespace(has_ticket=ticket, ticket_lifetime_hint=hint, timeout=7200)
        )

    cache, key = SessionCache(max_sessions=3), SessionKey("dest:1", "localhost", "127.0.0.1:1", 0)
    now = 100 * SECOND
    cache.put(key, session(300), now, now + 50 * SECOND)  # the certificate expires before the ticket
    assert cache.get(key, now + 49 * SECOND) is not None
    assert cache.get(key, now + 50 * SECOND) is None
    assert len(cache) == 0
    cache.put(key, session(300), now, now + 5000 * SECOND)
    assert cache.get(key, now + 299 * SECOND) is not None
    assert cache.get(key, now + 300 * SECOND) is None
    cache.put(key, session(0), now, now - 1)
    assert len(cache) == 0, "an expired certificate leaves no session to resume"
    cache.put(key, session(30 * 24 * 3600), now, 1 << 62)
    assert cache.get(key, now + 8 * 24 * 3600 * SECOND) is None, "sessions expire in 7 days (RFC 8446, 4.6.1)"
    for i in range(9):
        cache.put(dataclasses.replace(key, address=str(i)), session(300), now, 1 << 62)
    assert len(cache) == 3
    key_changes: tuple[dict[str, Any], ...] = (
        {"server_name": "other"},
        {"generation": 1},
        {"partner": "dest:2"},
    )
    for key_change in key_changes:
        other_key = dataclasses.replace(key, address="8", **key_change)
        assert cache.get(other_key, now) is None
    cache.drop_before("dest:1", 1)
    assert len(cache) == 0


def test_a_newer_session_is_copied_only_when_it_is_worth_the_cost() -> None:
    session = cast(ssl.SSLSession, SimpleNamespace(has_ticket=True, ticket_lifetime_hint=100, timeout=7200))
    cache, key, now = SessionCache(), SessionKey("dest:1", "localhost", "127.0.0.1:1", 0), 100 * SECOND
    assert cache.needs_newer(key, now)
    cache.put(key, session, now, 1 << 62)
    assert not cache.needs_newer(key, now)
    assert cache.needs_newer(key, now + 50 * SECOND)
    for _ in range(2):  # a server that accepts each ticket once rejects its second use
        cache.get(key, now)
    cache.forget(key)
    cache.put(key, session, now, 1 << 62)
    assert not cache.needs_newer(key, now)
    cache.get(key, now)
    assert cache.needs_newer(key, now)
