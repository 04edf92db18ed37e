"""Opens and verifies connections to a TLS partner under its terms: for calls, the broker and checks."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from honeyhitch.time_units import SECOND
from honeyhitch.tls.certificates import CertificateInfo
from honeyhitch.tls.failures import Failure, TlsError
from honeyhitch.tls.partners import Partners, PartnerState
from honeyhitch.tls.sessions import SessionKey
from honeyhitch.transports.tls_channel import TlsChannel, open_tls


@dataclass(slots=True)
class VerifiedConnection:
    """An open connection, its session key, and the partner's certificate that was verified."""

    channel: TlsChannel
    key: SessionKey
    certificate: CertificateInfo


async def open_verified(
    loop: asyncio.AbstractEventLoop, partners: Partners, partner: PartnerState, address: str
) -> VerifiedConnection:
    """Connect to HOST:PORT, complete the handshake within the partner's timeout, and verify the partner.

    Raise TlsError, with the connection closed, on failure; after a timeout its failure is STALLED.
    """
    key = partners.session_key(partner, address)
    try:
        async with asyncio.timeout(partner.partner.terms.handshake_timeout / SECOND):
            machine = partners.create_machine(partner, key)
            channel = await open_tls(loop, address, machine)
    except TimeoutError:
        raise TlsError(Failure.STALLED) from None
    try:
        return VerifiedConnection(channel, key, partners.verify(partner, machine))
    except TlsError:
        channel.close()
        raise
