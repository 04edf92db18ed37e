"""The MQTT links over TLS: the same machine, trust and budget of handshakes as towards pool members."""

from __future__ import annotations

import asyncio

from honeyhitch import logs
from honeyhitch.time_units import SECOND
from honeyhitch.tls.failures import TlsError
from honeyhitch.tls.handshake_budget import HandshakeStart
from honeyhitch.tls.partners import Partners, PartnerState
from honeyhitch.transports.channel import Channel
from honeyhitch.transports.tls_channel import TlsChannel
from honeyhitch.transports.tls_open import open_verified

log = logs.get()
CHANGE_POLL_SECONDS = 0.25  # seconds between looks for new trust or a new certificate


class TlsConnector:
    """Makes connections to the broker as `[mqtt.tls]` says."""

    def __init__(self, loop: asyncio.AbstractEventLoop, partners: Partners, known: PartnerState) -> None:
        self.loop, self.partners, self.known, self.failures = loop, partners, known, 0
        self.made: dict[Channel, tuple[int, int]] = {}  # under which generation, and until when it holds

    async def connect(self, address: str) -> Channel:
        """A new one, as soon as the budget allows. TlsError names what failed, after the pause it earns."""
        known = self.known
        while (wait := known.budget.ready_at(self.partners.now()) - self.partners.now()) > 0:
            await asyncio.sleep(wait / SECOND)
        start = known.budget.start(self.partners.now())
        try:
            opened = await open_verified(self.loop, self.partners, known, address)
        except TlsError as error:
            await self._failed(error, start)
            raise
        except BaseException:
            known.budget.failed(start, outage=False)
            raise
        self.failures = 0
        known.budget.succeeded(start, self.partners.now(), opened.channel.machine.resumed)
        self.made[opened.channel] = opened.key.generation, known.material.valid_until(opened.peer)
        return opened.channel

    async def _failed(self, error: TlsError, start: HandshakeStart) -> None:
        """Tell of it, and after a lasting failure wait, unless files change that may mend it."""
        known, lasting, now = self.known, error.failure.lasting, self.partners.now()
        known.budget.failed(start, outage=not lasting)
        log.warning(
            "tls.handshake-failed",
            partner=known.name,
            failure=error.failure.label,
            reason=error.reason,
            key=f"{known.name} {error.failure.label}",
        )
        if lasting:
            generation, until = known.generation, now + self.partners.block_duration(self.failures)
            self.failures += 1
            while generation == known.generation and self.partners.now() < until:
                await asyncio.sleep(CHANGE_POLL_SECONDS)

    async def wait_until_outdated(self, channel: Channel) -> None:
        """Returns once files have changed, or what was verified has come to its end."""
        assert isinstance(channel, TlsChannel)
        generation, until = self.made.pop(channel)
        while generation == self.known.generation and self.partners.now() < until:
            await asyncio.sleep(CHANGE_POLL_SECONDS)
        if generation != self.known.generation:  # each link goes at a moment of its own
            within = self.known.partner.terms.retire_within / SECOND / 2
            await asyncio.sleep(self.partners.rng.uniform(0, within))
