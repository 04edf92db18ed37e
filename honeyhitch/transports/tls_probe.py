"""Connects to a partner over TLS as the service does, without a message, for `honeyhitch tls check`."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field

from honeyhitch.protocols.buffer import Buffer
from honeyhitch.tls.certificates import CertificateInfo, describe_der
from honeyhitch.tls.failures import TlsError
from honeyhitch.tls.partners import Partners, PartnerState
from honeyhitch.transports.tls_open import VerifiedConnection, open_verified

TICKET_TIMEOUT_SECONDS = 0.5  # time for the server to send a ticket, or to reject our certificate


@dataclass(slots=True)
class ProbeResult:
    """The result for one address. `failure` is the name of the failure, empty after a success."""

    partner: str
    address: str
    failure: str = ""
    reason: str = ""
    version: str = ""
    cipher: str = ""
    resumes: bool = False
    chain: list[CertificateInfo] = field(default_factory=list)


async def probe(partners: Partners, partner: PartnerState, address: str) -> ProbeResult:
    """Perform two handshakes with HOST:PORT, the second with the session of the first, and return the result.

    A failure of either handshake is recorded in the result.
    """
    result = ProbeResult(partner.name, address)
    loop = asyncio.get_running_loop()
    try:
        opened = await open_verified(loop, partners, partner, address)
        try:
            await _inspect(partners, partner, opened, result)
        finally:
            opened.channel.close()
        opened = await open_verified(loop, partners, partner, address)
        result.resumes = opened.channel.machine.resumed
        opened.channel.close()
    except TlsError as error:
        result.failure = error.failure.label
        result.reason = error.reason
    return result


async def _inspect(
    partners: Partners, partner: PartnerState, opened: VerifiedConnection, result: ProbeResult
) -> None:
    machine = opened.channel.machine
    result.version = machine.version
    result.cipher = machine.cipher
    result.chain = [describe_der(der) for der in machine.chain()]
    # In TLS 1.3 the server sends tickets, or rejects our certificate, after the handshake.
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(TICKET_TIMEOUT_SECONDS):
            await opened.channel.read(Buffer())
    partners.keep_session(partner, opened.key, machine, opened.certificate)
