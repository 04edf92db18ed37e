"""A bounded cache of TLS sessions to resume; each is kept only as long as its verification is valid.

OpenSSL verifies neither chain nor name nor validity again when a session is resumed (RFC 8446, 4.6.1 leaves
these checks to the client), so the cache makes up for them: its key contains everything that the session was
verified against, and a session expires with its ticket, the partner certificate's notAfter or the revocation
list's next update, whichever is first. Times are Unix times in nanoseconds, and the clock is an argument.
"""

from __future__ import annotations

import ssl
from collections import OrderedDict
from dataclasses import dataclass

from honeyhitch.time_units import DAY, SECOND

MAX_LIFETIME = 7 * DAY  # ns; the longest lifetime of a ticket (RFC 8446, 4.6.1)
DEFAULT_MAX_SESSIONS = 4096


@dataclass(frozen=True, slots=True)
class SessionKey:
    """The peer of a session, and the generation of trust, own certificate and pins that it was made under."""

    partner: str
    server_name: str
    address: str
    generation: int


@dataclass(slots=True)
class _CachedSession:
    session: ssl.SSLSession
    created_at: int
    valid_until: int
    use_count: int = 0  # how often the session was offered to the server

    @property
    def midpoint(self) -> int:
        """The Unix time in nanoseconds at which half of the session's lifetime is over."""
        return (self.created_at + self.valid_until) // 2


class SessionCache:
    """At most `max_sessions` sessions, one for each key; the least recently used one is dropped first."""

    def __init__(self, max_sessions: int = DEFAULT_MAX_SESSIONS) -> None:
        self.max_sessions = max_sessions
        self.sessions: OrderedDict[SessionKey, _CachedSession] = OrderedDict()
        self.single_use: OrderedDict[SessionKey, None] = OrderedDict()  # servers that accept each ticket once

    def __len__(self) -> int:
        """Return the number of sessions."""
        return len(self.sessions)

    def put(self, key: SessionKey, session: ssl.SSLSession, now: int, valid_until: int) -> None:
        """Cache a session at most until `valid_until`, its ticket's expiry and MAX_LIFETIME from now."""
        hint = session.ticket_lifetime_hint if session.has_ticket else session.timeout
        lifetime = (hint or session.timeout) * SECOND
        valid_until = min(valid_until, now + MAX_LIFETIME, now + lifetime)
        if valid_until > now:
            self.sessions[key] = _CachedSession(session, now, valid_until)
            self.sessions.move_to_end(key)
        while len(self.sessions) > self.max_sessions:
            self.sessions.popitem(last=False)

    def needs_newer(self, key: SessionKey, now: int) -> bool:
        """Return whether a new session is worth copying from a connection.

        The copy costs OpenSSL a third of a handshake. It is worth this cost if no session is cached, if half
        of the cached session's lifetime is over, or if the cached session was used and the server accepts
        each ticket once.
        """
        cached = self.sessions.get(key)
        if cached is None or now >= cached.midpoint:
            return True
        return cached.use_count > 0 and key in self.single_use

    def get(self, key: SessionKey, now: int) -> ssl.SSLSession | None:
        """Return the session to resume, or None if there is no valid one."""
        cached = self.sessions.get(key)
        if cached is None:
            return None
        if cached.valid_until <= now:
            del self.sessions[key]
            return None
        self.sessions.move_to_end(key)
        cached.use_count += 1
        return cached.session

    def forget(self, key: SessionKey) -> None:
        """Remove the session of a key, because it was not accepted or the handshake failed."""
        cached = self.sessions.pop(key, None)
        # A session that was offered more than once was accepted before: the server may accept it only once.
        if cached is not None and cached.use_count > 1:
            self.single_use[key] = None
            if len(self.single_use) > self.max_sessions:
                self.single_use.popitem(last=False)

    def drop_before(self, partner: str, generation: int) -> None:
        """Drop the sessions that were verified under an earlier generation of the partner's terms."""
        outdated = [key for key in self.sessions if key.partner == partner and key.generation < generation]
        for key in outdated:
            del self.sessions[key]
