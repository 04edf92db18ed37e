"""Forwarding of a message to the instance that owns its destination: the request and the possible outcomes.

The request is the `ENQUEUE` command that clients send, with the remaining time of the message and the field
`via`, which tells the owner not to forward the message again. The owner's reply is relayed unchanged.
"""

from __future__ import annotations

from dataclasses import dataclass

from honeyhitch.journal.transactions import Transaction
from honeyhitch.policy.settings import Settings
from honeyhitch.protocols.resp import FORWARDED_BY_FIELD, MAX_LINE_BYTES
from honeyhitch.time_units import MILLISECOND

UNUSED_KEY = b"0" * 16  # the key argument of ENQUEUE, which has no meaning
MAX_QUOTED_LENGTH = 40  # bytes of a malformed reply that are quoted in an error


@dataclass(frozen=True, slots=True)
class Relayed:
    """The owner replied; `reply` includes the line end."""

    reply: bytes


@dataclass(frozen=True, slots=True)
class NothingWritten:
    """No byte of the request was written, so the message may be forwarded to another instance."""


@dataclass(frozen=True, slots=True)
class Unanswered:
    """At least part of the request may have been written, but no reply was received.

    The owner may have accepted the message.
    """


@dataclass(frozen=True, slots=True)
class ConnectionEnded:
    """The request was written to a reused connection, which ended before any byte of a reply.

    A dispatcher may close a connection between two requests. If it does so while a request is in transit, the
    request is sent once more on a new connection (protocol page). The owner recognizes the id of a message
    that it has accepted already, so the request may be repeated to this owner only.
    """


ForwardOutcome = Relayed | NothingWritten | Unanswered | ConnectionEnded


def encode_request(settings: Settings, transaction: Transaction, instance: str, now: int) -> bytes | None:
    """Return the request as forwarded by `instance`, or None if the deadline of the message has passed.

    `now` is a Unix time in nanoseconds. The field `d` is the time that remains of the client's time limit.
    """
    time_left = (transaction.deadline - now) // MILLISECOND
    if time_left < 1:
        return None
    fields = {
        "c": settings.classes[transaction.class_index].name,
        "d": str(time_left),
        "dest": str(transaction.destination),
    }
    if settings.tenant_names:
        fields["t"] = settings.tenant_names[transaction.tenant]
    if transaction.key:
        fields["k"] = transaction.key
    if transaction.recovered_from_journal:
        fields["again"] = "1"
    fields[FORWARDED_BY_FIELD] = instance
    text = ",".join(f"{name}={value}" for name, value in fields.items())
    arguments = (b"ENQUEUE", UNUSED_KEY, transaction.id.encode(), text.encode(), transaction.body)
    encoded = [b"$%d\r\n%s\r\n" % (len(argument), argument) for argument in arguments]
    return b"*%d\r\n" % len(arguments) + b"".join(encoded)


class ReplyReader:
    """Parses the reply of an owner: one line with a RESP simple string or error."""

    def __init__(self) -> None:
        self._data = b""

    def feed(self, data: bytes) -> bytes | None:
        """Add received bytes; return the reply, or None while it is incomplete.

        Raise ValueError for a malformed reply.
        """
        self._data += data
        quoted = self._data[:MAX_QUOTED_LENGTH]
        if self._data[:1] not in (b"+", b"-"):
            raise ValueError(f"reply: expected a line with + or -, got {quoted!r}")
        end = self._data.find(b"\r\n")
        if end < 0:
            if len(self._data) > MAX_LINE_BYTES:
                raise ValueError(f"reply: longer than {MAX_LINE_BYTES} bytes")
            return None
        if end < len(self._data) - 2:
            raise ValueError(f"reply: more than one line: {quoted!r}")
        return self._data
