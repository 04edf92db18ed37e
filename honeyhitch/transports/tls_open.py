"""Opening a connection to a TLS partner as its terms have it: the one way in for calls, the broker and
checks.
"""

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
    """An open connection and what it was verified with."""

    channel: TlsChannel
    key: SessionKey
    peer: CertificateInfo


async def open_verified(
    loop: asyncio.AbstractEventLoop, partners: Partners, known: PartnerState, address: str
) -> VerifiedConnection:
    """Connect, shake hands within the partner's time, and verify. TlsError names what failed, STALLED if the
    time was up; nothing is left open then.
    """
    key = partners.session_key(known, address)
    try:
        async with asyncio.timeout(known.partner.terms.handshake_timeout / SECOND):
            machine = partners.create_machine(known, key)
            channel = await open_tls(loop, address, machine)
    except TimeoutError:
        raise TlsError(Failure.STALLED) from None
    try:
        return VerifiedConnection(channel, key, partners.verify(known, machine))
    except TlsError:
        channel.close()
        raise
