"""Connections to the MQTT broker over TLS, verified and limited by the same code as those to endpoints."""

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

log = logs.get_logger()
CHANGE_POLL_SECONDS = 0.25  # between checks for changed trust or a changed certificate of our own
RECONNECT_SPREAD_FRACTION = 0.5  # part of the partner's `retire_within` over which reconnects are spread


@dataclass(frozen=True, slots=True)
class _Validity:
    """The partner's generation at a connection's opening, and the end of its verification (Unix time, ns)."""

    generation: int
    valid_until: int


class TlsConnector:
    """Opens connections to the broker under the terms of the table `[mqtt.tls]`."""

    def __init__(self, loop: asyncio.AbstractEventLoop, partners: Partners, partner: PartnerState) -> None:
        self.loop = loop
        self.partners = partners
        self.partner = partner
        self.failures = 0  # number of consecutive lasting failures
        self.validity: dict[Channel, _Validity] = {}

    async def connect(self, address: str) -> Channel:
        """Connect to HOST:PORT as soon as the handshake budget allows.

        Raise TlsError if that fails, after a pause if the failure is lasting.
        """
        budget = self.partner.budget
        await self._wait_for_budget()
        start = budget.start(self.partners.now())
        try:
            opened = await open_verified(self.loop, self.partners, self.partner, address)
        except TlsError as error:
            await self._on_handshake_failed(error, start)
            raise
        except BaseException:
            budget.failed(start, outage=False)
            raise
        self.failures = 0
        budget.succeeded(start, self.partners.now(), opened.channel.machine.resumed)
        valid_until = self.partner.material.valid_until(opened.certificate)
        self.validity[opened.channel] = _Validity(opened.key.generation, valid_until)
        return opened.channel

    async def _wait_for_budget(self) -> None:
        while True:
            wait = self.partner.budget.ready_at(self.partners.now()) - self.partners.now()
            if wait <= 0:
                return
            await asyncio.sleep(wait / SECOND)

    async def _on_handshake_failed(self, error: TlsError, start: HandshakeStart) -> None:
        """Log the failure, and after a lasting one wait until the block ends or the partner's files change.

        Changed files may remove the cause of the failure.
        """
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
            blocked_until = now + self.partners.block_duration(self.failures)
            self.failures += 1
            await self._wait_for_change(self.partner.generation, blocked_until)

    async def _wait_for_change(self, generation: int, deadline: int) -> None:
        """Return once the partner's generation is not `generation`, or at `deadline` (Unix time in ns)."""
        while True:
            if generation != self.partner.generation or self.partners.now() >= deadline:
                return
            await asyncio.sleep(CHANGE_POLL_SECONDS)

    async def wait_until_outdated(self, channel: Channel) -> None:
        """Return once the partner's files have changed, or when the verification of the connection ends."""
        assert isinstance(channel, TlsChannel)
        validity = self.validity.pop(channel)
        await self._wait_for_change(validity.generation, validity.valid_until)
        if validity.generation != self.partner.generation:  # spreads the links' reconnects over time
            retire_within = self.partner.partner.terms.retire_within / SECOND
            spread = retire_within * RECONNECT_SPREAD_FRACTION
            await asyncio.sleep(self.partners.rng.uniform(0, spread))
