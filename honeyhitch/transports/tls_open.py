"""Opening a connection to a TLS partner as its terms have it: the one way in for calls, the broker and
checks.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from honeyhitch.time_units import SECOND
from honeyhitch.tls.certificates import Facts
from honeyhitch.tls.failures import Failure, TlsError
from honeyhitch.tls.partners import Known, Partners
from honeyhitch.tls.sessions import Key
from honeyhitch.transports.tls_channel import TlsChannel, open_tls


@dataclass(slots=True)
class Opened:
    """An open connection and what it was verified with."""

    channel: TlsChannel
    key: Key
    peer: Facts


async def open_verified(
    loop: asyncio.AbstractEventLoop, partners: Partners, known: Known, address: str
) -> Opened:
    """Connect, shake hands within the partner's time, and verify. TlsError names what failed, STALLED if the
    time was up; nothing is left open then.
    """
    key = partners.key(known, address)
    try:
        async with asyncio.timeout(known.partner.terms.handshake_timeout / SECOND):
            machine = partners.machine(known, key)
            channel = await open_tls(loop, address, machine)
    except TimeoutError:
        raise TlsError(Failure.STALLED) from None
    try:
        return Opened(channel, key, partners.verified(known, machine))
    except TlsError:
        channel.close()
        raise
