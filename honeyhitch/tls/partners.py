"""Partners as the running process knows them: what their terms were last read as, sessions, budgets,
events.

Reading files is `material`'s part; this module holds the outcome and says who must be told. Each change of
what a partner's connections are made with is a new generation. What cannot be used leaves the old
generation whole.
"""

from __future__ import annotations

import ssl
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from random import Random

from honeyhitch import logs
from honeyhitch.policy.settings import Settings
from honeyhitch.time_units import SECOND
from honeyhitch.tls import material
from honeyhitch.tls.certificates import Facts, of_der
from honeyhitch.tls.failures import Failure, TlsError
from honeyhitch.tls.handshake_budget import HandshakeBudget
from honeyhitch.tls.machine import TlsMachine
from honeyhitch.tls.material import Material, MaterialError
from honeyhitch.tls.sessions import Key, SessionCache
from honeyhitch.tls.settings import Partner, TlsSettings

log = logs.get()
DAY = 24 * 3600 * SECOND
FIRST_PAUSE, MOST_PAUSE, SPREAD = SECOND, 60 * SECOND, 0.2  # ns, ns, share; between tries
MOST_PEERS = 1024  # certificates whose facts are remembered, to spare reading them at each handshake


@dataclass(slots=True, eq=False)
class Known:
    """One partner."""

    partner: Partner
    material: Material
    budget: HandshakeBudget
    generation: int = 0
    stamps: tuple[object, ...] = ()
    refused: str = ""  # what was wrong with the files when they were last looked at
    told_ends: dict[bytes, int] = field(default_factory=dict)  # pins, and when their end was last told

    @property
    def name(self) -> str:
        """As it is called in the log."""
        return self.partner.name


class Partners:
    """All partners. `now` gives Unix time in nanoseconds."""

    def __init__(
        self,
        setup: TlsSettings,
        settings: Settings,
        environ: Mapping[str, str],
        now: Callable[[], int],
        rng: Random,
    ) -> None:
        self.environ, self.now, self.rng, self.settings = environ, now, rng, settings
        self.sessions = SessionCache()
        self.peers: dict[bytes, Facts] = {}
        self.known = {partner: self._fresh(partner) for partner in setup.partners}
        self.setup = setup
        self.changed: list[Callable[[Known], None]] = []  # told of each new generation

    def _fresh(self, partner: Partner) -> Known:
        terms, s = partner.terms, self.settings
        budget = HandshakeBudget(
            terms.handshakes,
            terms.handshake_rate,
            s.instance_count,
            s.slow_start_fraction,
            s.slow_start_duration,
        )
        for what in HandshakeBudget.warnings(terms.handshakes, terms.handshake_rate, s.instance_count):
            log.warning("tls.budget-limited", partner=partner.name, what=what, key=partner.name)
        stamps = material.stamps(terms)
        return Known(partner, material.load(terms, self.environ, self.now()), budget, stamps=stamps)

    def of(self, member: str, destination: int, kind: str) -> Known | None:
        """The partner whose terms hold for this member; None if it is spoken to in plain."""
        partner = self.setup.partner_of(member, destination, kind)
        return self.known[partner] if partner is not None else None

    # Handshakes.

    def key(self, known: Known, address: str) -> Key:
        """Under which a connection's session is kept."""
        name = known.partner.terms.server_name or address.rpartition(":")[0]
        return Key(known.name, name, address, known.generation)

    def machine(self, known: Known, key: Key) -> TlsMachine:
        """For a new connection, with a session to resume if there is one."""
        session = self.sessions.get(key, self.now()) if known.partner.terms.resume else None
        own = known.material.own is not None
        try:
            return TlsMachine(known.material.context, key.server_name, session, own)
        except (ValueError, ssl.SSLError):  # a session that OpenSSL will not take is no reason to fail
            self.sessions.forget(key)
            return TlsMachine(known.material.context, key.server_name, None, own)

    def verified(self, known: Known, machine: TlsMachine) -> Facts:
        """Look at what OpenSSL does not: pins, and time and revocation if resumed. Raises TlsError."""
        der = machine.peer
        peer = self.peers.get(der)
        if peer is None:
            try:
                peer = of_der(der)
            except ValueError as error:
                raise TlsError(Failure.UNVERIFIED, str(error)) from error
            if len(self.peers) >= MOST_PEERS:
                self.peers.clear()
            self.peers[der] = peer
        objection = known.material.objection(peer, self.now())
        if objection is not None:
            raise objection
        self._near_end(known, peer, "partner")
        return peer

    def keep_session(self, known: Known, key: Key, machine: TlsMachine, peer: Facts) -> None:
        """Remember the connection's session for the next one, if it has one and its terms still hold."""
        if not machine.news or not machine.at_rest:
            return
        machine.news = False
        holds = known.partner.terms.resume and key.generation == known.generation
        if holds and self.sessions.wants(key, self.now()):
            session = machine.session()
            if session is not None:
                self.sessions.put(key, session, self.now(), known.material.until(peer))

    def pause(self, failures: int) -> int:
        """How long (ns) to leave a partner alone after so many lasting failures in a row; jittered."""
        return int(
            min(MOST_PAUSE, FIRST_PAUSE << min(failures, 10)) * self.rng.uniform(1 - SPREAD, 1 + SPREAD)
        )

    # Files that change.

    def look(self, everything: bool = False) -> list[tuple[Known, tuple[object, ...]]]:
        """Partners whose files look different from when they were last read, with how they look now."""
        seen = [(known, material.stamps(known.partner.terms)) for known in self.known.values()]
        return [(known, stamps) for known, stamps in seen if everything or stamps != known.stamps]

    def read(self, known: Known) -> Material | MaterialError:
        """Read a partner's files again; may run in a thread."""
        try:
            return material.load(known.partner.terms, self.environ, self.now())
        except MaterialError as error:
            return error

    def take(self, known: Known, stamps: tuple[object, ...], read: Material | MaterialError) -> bool:
        """Use what was read from now on; False if it cannot be used or is as before."""
        known.stamps = stamps
        if isinstance(read, MaterialError):
            if known.refused != str(read):
                log.error("tls.files-rejected", partner=known.name, error=str(read), kept="the old ones")
            known.refused = str(read)
            return False
        known.refused = ""
        if read.digest == known.material.digest:
            return False
        self._renew(known, read)
        return True

    def _renew(self, known: Known, read: Material) -> None:
        known.material, known.generation = read, known.generation + 1
        self.sessions.drop_before(known.name, known.generation)
        log.info("tls.files-reloaded", partner=known.name, generation=known.generation)
        for told in self.changed:
            told(known)

    def near_ends(self) -> None:
        """Tell of own certificates that near their end."""
        for known in self.known.values():
            if known.material.own is not None:
                self._near_end(known, known.material.own, "own")

    def _near_end(self, known: Known, facts: Facts, whose: str) -> None:
        now = self.now()
        left = facts.days_left(now)
        if left < known.partner.terms.warn_days and now - known.told_ends.get(facts.pin, -DAY) >= DAY:
            if len(known.told_ends) >= MOST_PEERS:
                known.told_ends.clear()
            known.told_ends[facts.pin] = now
            log.warning(
                "tls.certificate-expiring",
                partner=known.name,
                whose=whose,
                subject=facts.subject,
                days_left=round(left, 1),
                key=f"{known.name} {whose} {facts.pin.hex()}",
            )
