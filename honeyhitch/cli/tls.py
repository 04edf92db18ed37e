"""`honeyhitch tls`: what an operator asks of the TLS settings and of the partners."""

from __future__ import annotations

import asyncio
import base64
import json
import os
import sys
import time
from random import Random
from typing import TYPE_CHECKING, Any

import click

from honeyhitch import config as configuration
from honeyhitch.endpoints.pool import EndpointPool, PoolError
from honeyhitch.policy.settings import DestinationKind, Idempotency, MessageClass, Settings
from honeyhitch.tls.settings import Partner, Scope, TlsSettings

if TYPE_CHECKING:
    from honeyhitch.tls.certificates import CertificateInfo
    from honeyhitch.tls.partners import Partners

# For a look at files alone: what an instance would be told matters to neither trust nor names.
PLACEHOLDER_SETTINGS = Settings(
    classes=(MessageClass(Idempotency.IDEMPOTENT, latency_objective=1, deadline=1),),
    kinds=(DestinationKind(),),
    max_concurrent_calls=1,
    overload_factor=1.0,
    slow_start_fraction=1.0,
    slow_start_duration=1,
)


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
        told = configuration.read_tls(operator, os.environ)
        config = configuration.read(os.environ, path, operator) if path else None
        for address in addresses:
            configuration.Address.parse(address, "--address")
    except configuration.ConfigError as error:
        click.echo(f"configuration: {error}", err=True)
        sys.exit(1)
    if not told:
        click.echo("no [[tls.partner]] and no [mqtt.tls]: nothing is spoken to over TLS", err=True)
        sys.exit(1)
    from honeyhitch.tls.partners import Partners  # the files could be read, so the extra is there

    settings = config.settings if config is not None else PLACEHOLDER_SETTINGS
    partners = Partners(TlsSettings(tuple(told)), settings, os.environ, time.time_ns, Random())
    reports = [_files(partners, partner, warn_days) for partner in told]
    if connect:
        targets = _targets(config, told) + [(partner, one) for partner in told for one in addresses]
        if not targets:
            click.echo("--connect: no member is known; name --config or --address", err=True)
            sys.exit(1)
        reports += asyncio.run(_connect(partners, targets, warn_days))
    click.echo(json.dumps(reports, indent=2) if as_json else "\n".join(map(_text, reports)))
    sys.exit(1 if any(report["failure"] for report in reports) else 0)


def _targets(config: configuration.Config | None, told: list[Partner]) -> list[tuple[Partner, str]]:
    if config is None:
        return []
    pool, found = EndpointPool(config.settings), []
    try:
        pool.update(config.known)
    except PoolError as error:
        raise click.ClickException(f"known: {error}") from error
    setup = TlsSettings(tuple(told))
    for member in pool.endpoints.values():
        kind = config.settings.kind(member.kind).name
        partner = setup.find_partner(member.id, member.destination, kind)
        if partner is not None:
            found.append((partner, member.address))
    if config.operator.mqtt is not None:
        broker = config.operator.mqtt.broker
        found += [(partner, broker) for partner in told if partner.scope is Scope.BROKER]
    return found


def _warnings(facts: list[CertificateInfo], within: int) -> list[str]:
    now = time.time_ns()
    left = [(one, one.days_left(now)) for one in facts]
    return [f"{one.subject} ends in {days:.1f} days" for one, days in left if days < within]


def _facts(one: CertificateInfo) -> dict[str, Any]:
    return {
        "subject": one.subject,
        "issuer": one.issuer,
        "names": list(one.names),
        "days_left": round(one.days_left(time.time_ns()), 1),
        "pin": "sha256/" + base64.b64encode(one.pin).decode(),
    }


def _files(partners: Partners, partner: Partner, warn_days: int | None) -> dict[str, Any]:
    known = partners.states[partner]
    own, terms = known.material.own, partner.terms
    within = terms.warn_days if warn_days is None else warn_days
    report: dict[str, Any] = {"partner": partner.name, "failure": "", "reason": ""}
    report["trust"] = str(terms.ca) if terms.ca is not None else "the system's roots"
    report["pins"] = ["sha256/" + base64.b64encode(pin).decode() for pin in terms.pins]
    report["own"] = _facts(own) if own is not None else None
    report["warnings"] = _warnings([own] if own is not None else [], within)
    crl_days = (known.material.crl_until - time.time_ns()) / (24 * 3600 * 10**9)
    if terms.crl is not None:
        report["crl_days_left"] = round(crl_days, 1)
        if crl_days <= 0:
            report["failure"], report["reason"] = "crl-unusable", f"{terms.crl} is out of date"
        elif crl_days < 1:
            report["warnings"].append(f"{terms.crl} is out of date in less than a day")
    return report


async def _connect(
    partners: Partners, targets: list[tuple[Partner, str]], warn_days: int | None
) -> list[dict[str, Any]]:
    from honeyhitch.transports.tls_probe import probe

    reports = []
    for partner, address in targets:
        seen = await probe(partners, partners.states[partner], address)
        within = partner.terms.warn_days if warn_days is None else warn_days
        reports.append(
            {
                "partner": partner.name,
                "address": address,
                "failure": seen.failure,
                "reason": seen.reason,
                "version": seen.version,
                "cipher": seen.cipher,
                "resumes": seen.resumes,
                "chain": [_facts(one) for one in seen.chain],
                "warnings": _warnings(seen.chain, within),
            }
        )
    return reports


def _text(report: dict[str, Any]) -> str:
    told = f"{report['reason']}" if report["reason"] else ""
    state = f"FAILED {report['failure']} {told}".rstrip() if report["failure"] else "good"
    lines = [f"{report['partner']} {report.get('address', 'files')}: {state}"]
    if report.get("version"):
        resumes = "resumes" if report["resumes"] else "does not resume"
        lines.append(f"  {report['version']}, {report['cipher']}, {resumes}")
    if "trust" in report:
        lines.append(f"  trusts {report['trust']}; {len(report['pins'])} pins")
    for one in [report["own"]] if report.get("own") else report.get("chain", []):
        names = f" for {', '.join(one['names'])}" if one["names"] else ""
        lines.append(f"  {one['subject']}{names}, by {one['issuer']}, {one['days_left']} days left")
        lines.append(f"    {one['pin']}")
    lines += [f"  warning: {text}" for text in report["warnings"]]
    return "\n".join(lines)
