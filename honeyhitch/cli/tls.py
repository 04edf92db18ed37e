"""`honeyhitch tls`: checks the TLS settings, their files and the certificates that partners present."""

from __future__ import annotations

import asyncio
import base64
import json
import os
import sys
import time
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING, Any, NoReturn

import click

from honeyhitch import config as configuration
from honeyhitch.endpoints.list_rows import PoolError
from honeyhitch.endpoints.pool import EndpointPool
from honeyhitch.policy.settings import DestinationKind, Idempotency, MessageClass, Settings
from honeyhitch.time_units import DAY
from honeyhitch.tls.settings import Partner, Scope, TlsSettings

if TYPE_CHECKING:
    from honeyhitch.tls.certificates import CertificateInfo
    from honeyhitch.tls.partners import Partners
    from honeyhitch.transports.tls_probe import ProbeResult

# Replaces an instance's settings if only files are checked; trust and server names do not depend on it.
PLACEHOLDER_SETTINGS = Settings(
    classes=(MessageClass(Idempotency.IDEMPOTENT, latency_objective=1, deadline=1),),
    kinds=(DestinationKind(),),
    max_concurrent_calls=1,
    overload_factor=1.0,
    slow_start_fraction=1.0,
    slow_start_duration=1,
)
Target = tuple[Partner, str]  # a partner, and the HOST:PORT to connect to
# A report on a partner's files or on a connection to an address, as printed with --json.
Report = dict[str, Any]


@click.group()
def tls() -> None:
    """Look at TLS towards partners."""


@tls.command()
@click.option("--operator", type=click.Path(), required=True, help="The operator's TOML file.")
@click.option("--config", "path", type=click.Path(), help="The JSON file, whose `known` list names members.")
@click.option("--connect", is_flag=True, help="Shake hands with each known member and each --address.")
@click.option("--address", "addresses", multiple=True, help="HOST:PORT to try with every partner's terms.")
@click.option("--warn-days", type=int, help="Warn of certificates that end sooner; or `warn-days`.")
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def check(
    operator: str,
    path: str | None,
    connect: bool,
    addresses: tuple[str, ...],
    warn_days: int | None,
    as_json: bool,
) -> None:
    """Say of each partner what its files hold and, with --connect, what it shows; exit 1 on a failure."""
    try:
        configured = configuration.read_tls(operator, os.environ)
        config = configuration.read(os.environ, path, operator) if path else None
        for address in addresses:
            configuration.Address.parse(address, "--address")
    except configuration.ConfigError as error:
        _fail(f"configuration: {error}")
    if not configured:
        _fail("no [[tls.partner]] and no [mqtt.tls]: nothing is spoken to over TLS")
    from honeyhitch.tls.partners import Partners  # read_tls loaded the files, so the extra is installed

    settings = config.settings if config is not None else PLACEHOLDER_SETTINGS
    partners = Partners(TlsSettings(tuple(configured)), settings, os.environ, time.time_ns, Random())
    reports = [_report_files(partners, partner, warn_days) for partner in configured]
    if connect:
        targets = _known_targets(config, configured)
        targets += [(partner, address) for partner in configured for address in addresses]
        if not targets:
            _fail("--connect: no member is known; name --config or --address")
        reports += asyncio.run(_report_connections(partners, targets, warn_days))
    click.echo(json.dumps(reports, indent=2) if as_json else "\n".join(map(_format_report, reports)))
    sys.exit(1 if any(report["failure"] for report in reports) else 0)


def _fail(message: str) -> NoReturn:
    click.echo(message, err=True)
    sys.exit(1)


def _known_targets(config: configuration.Config | None, configured: list[Partner]) -> list[Target]:
    """Return the endpoints of the configuration's `known` list that have a partner, and the MQTT broker."""
    if config is None:
        return []
    pool = EndpointPool(config.settings)
    try:
        pool.apply_known(config.known)
    except PoolError as error:
        raise click.ClickException(f"known: {error}") from error
    targets = list[Target]()
    tls_settings = TlsSettings(tuple(configured))
    for endpoint in pool.endpoints.values():
        kind = config.settings.kind(endpoint.kind).name
        partner = tls_settings.find_partner(endpoint.id, endpoint.destination, kind)
        if partner is not None:
            targets.append((partner, endpoint.address))
    if config.operator.mqtt is not None:
        broker = config.operator.mqtt.broker
        targets += [(partner, broker) for partner in configured if partner.scope is Scope.BROKER]
    return targets


def _expiry_warnings(certificates: list[CertificateInfo], warn_days: int) -> list[str]:
    now = time.time_ns()
    warnings = list[str]()
    for certificate in certificates:
        days = certificate.days_left(now)
        if days < warn_days:
            warnings.append(f"{certificate.subject} ends in {days:.1f} days")
    return warnings


def _report_certificate(certificate: CertificateInfo) -> dict[str, Any]:
    return {
        "subject": certificate.subject,
        "issuer": certificate.issuer,
        "names": list(certificate.names),
        "days_left": round(certificate.days_left(time.time_ns()), 1),
        "pin": _format_pin(certificate.pin),
    }


def _format_pin(pin: bytes) -> str:
    return "sha256/" + base64.b64encode(pin).decode()


def _report_files(partners: Partners, partner: Partner, warn_days: int | None) -> Report:
    material = partners.states[partner].material
    own, terms = material.own_certificate, partner.terms
    report: Report = {
        "partner": partner.name,
        "failure": "",
        "reason": "",
        "trust": str(terms.ca) if terms.ca is not None else "the system's roots",
        "pins": [_format_pin(pin) for pin in terms.pins],
        "own": _report_certificate(own) if own is not None else None,
        "warnings": _expiry_warnings(
            [own] if own is not None else [], terms.warn_days if warn_days is None else warn_days
        ),
    }
    if terms.crl is not None:
        _add_revocation_list(report, terms.crl, (material.crl_until - time.time_ns()) / DAY)
    return report


def _add_revocation_list(report: Report, path: Path, days_left: float) -> None:
    report["crl_days_left"] = round(days_left, 1)
    if days_left <= 0:
        report["failure"] = "crl-unusable"
        report["reason"] = f"{path} is out of date"
    elif days_left < 1:
        report["warnings"].append(f"{path} is out of date in less than a day")


async def _report_connections(
    partners: Partners, targets: list[Target], warn_days: int | None
) -> list[Report]:
    from honeyhitch.transports.tls_probe import probe

    reports = list[Report]()
    for partner, address in targets:
        result = await probe(partners, partners.states[partner], address)
        partner_warn_days = partner.terms.warn_days if warn_days is None else warn_days
        reports.append(_report_connection(partner, address, result, partner_warn_days))
    return reports


def _report_connection(partner: Partner, address: str, result: ProbeResult, warn_days: int) -> Report:
    return {
        "partner": partner.name,
        "address": address,
        "failure": result.failure,
        "reason": result.reason,
        "version": result.version,
        "cipher": result.cipher,
        "resumes": result.resumes,
        "chain": [_report_certificate(certificate) for certificate in result.chain],
        "warnings": _expiry_warnings(result.chain, warn_days),
    }


def _format_report(report: Report) -> str:
    state = f"FAILED {report['failure']} {report['reason']}".rstrip() if report["failure"] else "good"
    lines = [f"{report['partner']} {report.get('address', 'files')}: {state}"]
    if report.get("version"):
        resumes = "resumes" if report["resumes"] else "does not resume"
        lines.append(f"  {report['version']}, {report['cipher']}, {resumes}")
    if "trust" in report:
        lines.append(f"  trusts {report['trust']}; {len(report['pins'])} pins")
    certificates = [report["own"]] if report.get("own") else report.get("chain", [])
    for certificate in certificates:
        names = f" for {', '.join(certificate['names'])}" if certificate["names"] else ""
        subject = f"{certificate['subject']}{names}, by {certificate['issuer']}"
        lines.append(f"  {subject}, {certificate['days_left']} days left")
        lines.append(f"    {certificate['pin']}")
    lines += [f"  warning: {text}" for text in report["warnings"]]
    return "\n".join(lines)
