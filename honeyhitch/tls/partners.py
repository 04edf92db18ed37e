"""The state of each partner in the running process: files as last read, sessions, budget and warnings.

`material` reads the files; this module stores the result and calls the functions in `on_change`. Each change
of a partner's material begins a new generation. If files are unusable, the previous generation stays in
force.
"""

from __future__ import annotations

import ssl
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from random import Random

from honeyhitch import logs
from honeyhitch.policy.settings import Settings
from honeyhitch.time_units import DAY, SECOND
from honeyhitch.tls import material
from honeyhitch.tls.certificates import CertificateInfo, describe_der
from honeyhitch.tls.failures import Failure, TlsError
from honeyhitch.tls.handshake_budget import HandshakeBudget
from honeyhitch.tls.machine import TlsMachine
from honeyhitch.tls.material import Material, MaterialError
from honeyhitch.tls.sessions import SessionCache, SessionKey
from honeyhitch.tls.settings import Partner, TlsSettings

log = logs.get_logger()
INITIAL_BLOCK = SECOND  # ns without handshakes after a lasting failure
MAX_BLOCK = 60 * SECOND  # ns
MAX_BLOCK_DOUBLINGS = 10
BLOCK_JITTER = 0.2  # fraction of the block
# Limits the cache that saves parsing a certificate at each handshake, and the number of
# certificates for which a partner's state records the time of an expiry warning.
MAX_CACHED_CERTIFICATES = 1024

FileStamps = tuple[object, ...]


@dataclass(slots=True, eq=False)
class PartnerState:
    """One partner, and the material and the budget that its connections use now."""

    partner: Partner
    material: Material
    budget: HandshakeBudget
    generation: int = 0
    stamps: FileStamps = ()
    last_rejection: str = ""  # why the files were unusable when last read; empty if usable
    expiry_warned_at: dict[bytes, int] = field(default_factory=dict)  # ns, by the certificate's pin

    @property
    def name(self) -> str:
        """The partner's name in the log."""
        return self.partner.name


class Partners:
    """The state of all partners. `now` returns the Unix time in nanoseconds.

    The functions in `on_change` are called with a partner's state at each new generation.
    """

    def __init__(
        self,
        tls_settings: TlsSettings,
        settings: Settings,
        environ: Mapping[str, str],
        now: Callable[[], int],
        rng: Random,
    ) -> None:
        """Read the files of all partners. Raise MaterialError for a file that cannot be used."""
        self.tls_settings = tls_settings
        self.settings = settings
        self.environ = environ
        self.now = now
        self.rng = rng
        self.sessions = SessionCache()
        self.certificate_cache: dict[bytes, CertificateInfo] = {}  # by DER encoding
        self.states = {partner: self._create_state(partner) for partner in tls_settings.partners}
        self.on_change: list[Callable[[PartnerState], None]] = []

    def _create_state(self, partner: Partner) -> PartnerState:
        terms = partner.terms
        settings = self.settings
        budget = HandshakeBudget(
            terms.handshakes,
            terms.handshake_rate,
            settings.instance_count,
            settings.slow_start_fraction,
            settings.slow_start_duration,
        )
        warnings = HandshakeBudget.warnings(terms.handshakes, terms.handshake_rate, settings.instance_count)
        for warning in warnings:
            log.warning("tls.budget-limited", partner=partner.name, warning=warning, key=partner.name)
        stamps = material.file_stamps(terms)
        loaded = material.load(terms, self.environ, self.now())
        return PartnerState(partner, loaded, budget, stamps=stamps)

    def find(self, endpoint_id: str, destination: int, kind: str) -> PartnerState | None:
        """Return the state of an endpoint's partner; None for an endpoint without TLS."""
        partner = self.tls_settings.find_partner(endpoint_id, destination, kind)
        return self.states[partner] if partner is not None else None

    # Handshakes.

    def set_process_count(self, processes: int) -> None:
        """Divide the handshake limits evenly among the processes of this dispatcher."""
        for state in self.states.values():
            state.budget.set_process_count(processes)

    def session_key(self, state: PartnerState, address: str) -> SessionKey:
        """Return the session cache's key for connections to `address`, a HOST:PORT."""
        host, _, _ = address.rpartition(":")
        server_name = state.partner.terms.server_name or host
        return SessionKey(state.name, server_name, address, state.generation)

    def create_machine(self, state: PartnerState, key: SessionKey) -> TlsMachine:
        """Return the machine of a new connection, with a session to resume if one is cached."""
        session = self.sessions.get(key, self.now()) if state.partner.terms.resume else None
        context = state.material.context
        has_own_certificate = state.material.own_certificate is not None
        try:
            return TlsMachine(context, key.server_name, session, has_own_certificate)
        except (ValueError, ssl.SSLError):  # OpenSSL does not accept the session
            self.sessions.forget(key)
            return TlsMachine(context, key.server_name, None, has_own_certificate)

    def verify(self, state: PartnerState, machine: TlsMachine) -> CertificateInfo:
        """Check what OpenSSL does not check: pins, and validity and revocation after a resumption.

        Return the partner's certificate. Raise TlsError if it is rejected.
        """
        certificate = self._describe(machine.peer_certificate)
        objection = state.material.find_objection(certificate, self.now())
        if objection is not None:
            raise objection
        self._warn_if_expiring(state, certificate, "partner")
        return certificate

    def _describe(self, der: bytes) -> CertificateInfo:
        certificate = self.certificate_cache.get(der)
        if certificate is not None:
            return certificate
        try:
            certificate = describe_der(der)
        except ValueError as error:
            raise TlsError(Failure.UNVERIFIED, str(error)) from error
        if len(self.certificate_cache) >= MAX_CACHED_CERTIFICATES:
            self.certificate_cache.clear()
        self.certificate_cache[der] = certificate
        return certificate

    def keep_session(
        self, state: PartnerState, key: SessionKey, machine: TlsMachine, certificate: CertificateInfo
    ) -> None:
        """Cache the connection's session for the next connection, if its terms are still in force."""
        if not machine.may_have_ticket or not machine.quiescent:
            return
        machine.may_have_ticket = False
        in_force = state.partner.terms.resume and key.generation == state.generation
        if not in_force or not self.sessions.needs_newer(key, self.now()):
            return
        session = machine.session()
        if session is not None:
            self.sessions.put(key, session, self.now(), state.material.valid_until(certificate))

    def block_duration(self, failures: int) -> int:
        """Return the nanoseconds without handshakes after a lasting failure, with jitter.

        `failures` is the number of lasting failures in a row before this one.
        """
        block = min(MAX_BLOCK, INITIAL_BLOCK << min(failures, MAX_BLOCK_DOUBLINGS))
        return int(block * self.rng.uniform(1 - BLOCK_JITTER, 1 + BLOCK_JITTER))

    # Changes of files.

    def changed_files(self, include_unchanged: bool = False) -> list[tuple[PartnerState, FileStamps]]:
        """Return the partners whose files have changed since they were last read, with the new stamps.

        With `include_unchanged`, return all partners. Reads the file system, so call it in a thread.
        """
        current = [(state, material.file_stamps(state.partner.terms)) for state in self.states.values()]
        return [(state, stamps) for state, stamps in current if include_unchanged or stamps != state.stamps]

    def read_files(self, state: PartnerState) -> Material | MaterialError:
        """Read a partner's files again; return the material or the error. May run in a thread."""
        try:
            return material.load(state.partner.terms, self.environ, self.now())
        except MaterialError as error:
            return error

    def apply_files(self, state: PartnerState, stamps: FileStamps, loaded: Material | MaterialError) -> bool:
        """Put files that were read into force; return False if they are unusable or unchanged."""
        state.stamps = stamps
        if isinstance(loaded, MaterialError):
            if state.last_rejection != str(loaded):
                log.error(
                    "tls.files-rejected", partner=state.name, error=str(loaded), in_force="the previous files"
                )
            state.last_rejection = str(loaded)
            return False
        state.last_rejection = ""
        if loaded.digest == state.material.digest:
            return False
        self._begin_generation(state, loaded)
        return True

    def _begin_generation(self, state: PartnerState, loaded: Material) -> None:
        state.material = loaded
        state.generation += 1
        self.sessions.drop_before(state.name, state.generation)
        log.info("tls.files-reloaded", partner=state.name, generation=state.generation)
        for callback in self.on_change:
            callback(state)

    def warn_of_expiry(self) -> None:
        """Log a warning for each of our own certificates that expires soon."""
        for state in self.states.values():
            if state.material.own_certificate is not None:
                self._warn_if_expiring(state, state.material.own_certificate, "own")

    def _warn_if_expiring(self, state: PartnerState, certificate: CertificateInfo, owner: str) -> None:
        """Log a warning for a certificate that expires soon, at most once a day."""
        now = self.now()
        days_left = certificate.days_left(now)
        if days_left >= state.partner.terms.warn_days:
            return
        if now - state.expiry_warned_at.get(certificate.pin, -DAY) < DAY:
            return
        if len(state.expiry_warned_at) >= MAX_CACHED_CERTIFICATES:
            state.expiry_warned_at.clear()
        state.expiry_warned_at[certificate.pin] = now
        log.warning(
            "tls.certificate-expiring",
            partner=state.name,
            whose=owner,
            subject=certificate.subject,
            days_left=round(days_left, 1),
            key=f"{state.name} {owner} {certificate.pin.hex()}",
        )
