"""Looks at a partner over TLS as the dispatcher would, without sending it a message: for `honeyhitch tls
check`.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from honeyhitch.protocols.buffer import Buffer
from honeyhitch.tls.certificates import CertificateInfo, describe_der
from honeyhitch.tls.failures import TlsError
from honeyhitch.tls.partners import Partners, PartnerState
from honeyhitch.transports.tls_open import open_verified

TICKET_TIMEOUT_SECONDS = 0.5  # seconds that a server has to send a ticket, or to refuse our certificate


@dataclass(slots=True)
class ProbeResult:
    """What one address showed. `failure` is the name of what is wrong, empty if nothing is."""

    partner: str
    address: str
    failure: str = ""
    reason: str = ""
    version: str = ""
    cipher: str = ""
    resumes: bool = False
    chain: list[CertificateInfo] = field(default_factory=list)


async def probe(partners: Partners, known: PartnerState, address: str) -> ProbeResult:
    """Two handshakes: the first in full, the second with the session that the first left."""
    seen = ProbeResult(known.name, address)
    try:
        for again in (False, True):
            await _once(partners, known, address, seen, again)
    except TlsError as error:
        seen.failure, seen.reason = error.failure.label, error.reason
    return seen


async def _once(
    partners: Partners, known: PartnerState, address: str, seen: ProbeResult, again: bool
) -> None:
    opened = await open_verified(asyncio.get_running_loop(), partners, known, address)
    channel, machine = opened.channel, opened.channel.machine
    try:
        if again:
            seen.resumes = machine.resumed
            return
        seen.version, seen.cipher = machine.version, machine.cipher
        seen.chain = [describe_der(der) for der in machine.chain()]
        try:  # in TLS 1.3 tickets come now, or the refusal of our certificate
            async with asyncio.timeout(TICKET_TIMEOUT_SECONDS):
                await channel.read(Buffer())
        except TimeoutError:
            pass
        partners.keep_session(known, opened.key, machine, opened.peer)
    finally:
        channel.close()
