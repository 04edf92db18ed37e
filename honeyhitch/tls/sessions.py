"""Sessions to resume, bounded in number; each is kept no longer than what was verified with it still holds.

OpenSSL verifies neither chain nor name nor time again when a session is resumed (RFC 8446, 4.6.1 leaves
that to the client), so the cache does what verification would: the key holds whatever was verified against,
and the end is the earliest of the ticket's own, the partner certificate's notAfter and the list of
revocations' next update. It takes its clock as an argument (Unix time in nanoseconds).
"""

from __future__ import annotations

import ssl
from collections import OrderedDict
from dataclasses import dataclass

from honeyhitch.time_units import SECOND

DAY = 24 * 3600 * SECOND
MOST_LIFE = 7 * DAY  # RFC 8446, 4.6.1: no ticket lives longer


@dataclass(frozen=True, slots=True)
class Key:
    """Whose session it is, and under which trust, own certificate and pins it was made (`generation`)."""

    partner: str
    server_name: str
    address: str
    generation: int


@dataclass(slots=True)
class _Kept:
    session: ssl.SSLSession
    made: int
    until: int
    given: int = 0  # times it was offered


class SessionCache:
    """At most `most` sessions, one a key; the one unused for longest makes room."""

    def __init__(self, most: int = 4096) -> None:
        self.most = most
        self.kept: OrderedDict[Key, _Kept] = OrderedDict()
        self.once: OrderedDict[Key, None] = OrderedDict()  # whose servers take a ticket once only

    def put(self, key: Key, session: ssl.SSLSession, now: int, until: int) -> None:
        """Keep a session, at most until then."""
        life = session.ticket_lifetime_hint if session.has_ticket else session.timeout
        until = min(until, now + MOST_LIFE, now + (life or session.timeout) * SECOND)
        if until > now:
            self.kept[key] = _Kept(session, now, until)
            self.kept.move_to_end(key)
        while len(self.kept) > self.most:
            self.kept.popitem(last=False)

    def wants(self, key: Key, now: int) -> bool:
        """Whether a newer session is worth copying out of a connection, which takes OpenSSL as long as a
        third of a handshake: there is none, half of its life is over, or the server takes each ticket once.
        """
        one = self.kept.get(key)
        return one is None or now >= (one.made + one.until) // 2 or (one.given > 0 and key in self.once)

    def get(self, key: Key, now: int) -> ssl.SSLSession | None:
        """The session to resume, if one still holds."""
        one = self.kept.get(key)
        if one is None:
            return None
        if one.until <= now:
            del self.kept[key]
            return None
        self.kept.move_to_end(key)
        one.given += 1
        return one.session

    def forget(self, key: Key) -> None:
        """The server did not resume it, or it is no longer wanted."""
        one = self.kept.pop(key, None)
        if one is not None and one.given > 1:  # it took it before: once may be all that it does
            self.once[key] = None
            if len(self.once) > self.most:
                self.once.popitem(last=False)

    def drop_before(self, partner: str, generation: int) -> None:
        """Forget what was verified under an earlier generation of the partner's terms."""
        for key in [key for key in self.kept if key.partner == partner and key.generation < generation]:
            del self.kept[key]

    def __len__(self) -> int:
        return len(self.kept)
