"""Connections to the MQTT broker over TLS, with the same machine, trust and budget as those to endpoints."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from honeyhitch import logs
from honeyhitch.time_units import SECOND
from honeyhitch.tls.failures import TlsError
from honeyhitch.tls.handshake_budget import HandshakeStart
from honeyhitch.tls.partners import Partners, PartnerState
from honeyhitch.transports.channel import Channel
from honeyhitch.transports.tls_channel import TlsChannel
from honeyhitch.transports.tls_open import open_verified

log = logs.get()
CHANGE_POLL_SECONDS = 0.25  # between checks for new trust or a new certificate
RECONNECT_SPREAD_FRACTION = 0.5  # of the partner's `retire_within`, over which links reconnect


@dataclass(frozen=True, slots=True)
class _Validity:
    """The generation that a connection was made under, and when its verification ends (Unix time in ns)."""

    generation: int
    until: int


class TlsConnector:
    """Connects to the broker as `[mqtt.tls]` says."""

    def __init__(self, loop: asyncio.AbstractEventLoop, partners: Partners, partner: PartnerState) -> None:
        self.loop = loop
        self.partners = partners
        self.partner = partner
        self.failures = 0  # lasting ones in a row
        self.validity: dict[Channel, _Validity] = {}

    async def connect(self, address: str) -> Channel:
        """Connect to HOST:PORT as soon as the budget allows.

        Raises TlsError, after a pause if the failure is a lasting one.
        """
        budget = self.partner.budget
        await self._wait_for_budget()
        start = budget.start(self.partners.now())
        try:
            opened = await open_verified(self.loop, self.partners, self.partner, address)
        except TlsError as error:
            await self._handshake_failed(error, start)
            raise
        except BaseException:
            budget.failed(start, outage=False)
            raise
        self.failures = 0
        budget.succeeded(start, self.partners.now(), opened.channel.machine.resumed)
        until = self.partner.material.valid_until(opened.certificate)
        self.validity[opened.channel] = _Validity(opened.key.generation, until)
        return opened.channel

    async def _wait_for_budget(self) -> None:
        while True:
            wait = self.partner.budget.ready_at(self.partners.now()) - self.partners.now()
            if wait <= 0:
                return
            await asyncio.sleep(wait / SECOND)

    async def _handshake_failed(self, error: TlsError, start: HandshakeStart) -> None:
        """Report it; after a lasting failure wait, unless files change, which may repair it."""
        lasting = error.failure.lasting
        now = self.partners.now()
        self.partner.budget.failed(start, outage=not lasting)
        log.warning(
            "tls.handshake-failed",
            partner=self.partner.name,
            failure=error.failure.label,
            reason=error.reason,
            key=f"{self.partner.name} {error.failure.label}",
        )
        if lasting:
            until = now + self.partners.block_duration(self.failures)
            self.failures += 1
            await self._wait_for_change(self.partner.generation, until)

    async def _wait_for_change(self, generation: int, until: int) -> None:
        """Return once the partner's files have changed, or at a Unix time in nanoseconds."""
        while True:
            if generation != self.partner.generation or self.partners.now() >= until:
                return
            await asyncio.sleep(CHANGE_POLL_SECONDS)

    async def wait_until_outdated(self, channel: Channel) -> None:
        """Return once files have changed, or when the verification of the connection ends."""
        assert isinstance(channel, TlsChannel)
        validity = self.validity.pop(channel)
        await self._wait_for_change(validity.generation, validity.until)
        if validity.generation != self.partner.generation:  # not all links at the same moment
            retire_within = self.partner.partner.terms.retire_within / SECOND
            spread = retire_within * RECONNECT_SPREAD_FRACTION
            await asyncio.sleep(self.partners.rng.uniform(0, spread))
