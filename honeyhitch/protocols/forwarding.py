"""Forwarding of a message to the instance that owns its destination: the request and the possible outcomes.

The request is the `ENQUEUE` command that clients send, with the remaining time of the message and the field
`via`, which tells the owner not to forward the message again, and `to`, the name of the owner: an instance
of another name at its address accepts nothing. The owner's reply is relayed unchanged.

On a connection that carried an earlier request, a `PING` with the message's id follows, whose reply repeats
the id. It shows that the reply before it belongs to this message, and is not the reply to an earlier one that
the network delivered twice.
"""

from __future__ import annotations

from dataclasses import dataclass

from honeyhitch.journal.transactions import Transaction
from honeyhitch.policy.settings import Settings
from honeyhitch.protocols.resp import FORWARDED_BY_FIELD, MAX_LINE_BYTES, MISDIRECTED_REPLY, OWNER_FIELD
from honeyhitch.time_units import MILLISECOND

UNUSED_KEY = b"0" * 16  # the key argument of ENQUEUE, which has no meaning
# For a request that an owner may have accepted without a reply: neither +OK nor -BUSY would be true.
UNANSWERED_REPLY = b"-ERR owner: did not reply, and may have accepted the message\r\n"
MAX_QUOTED_LENGTH = 40  # bytes of a malformed reply that are quoted in an error


@dataclass(frozen=True, slots=True)
class Relayed:
    """The owner replied; `reply` includes the line end."""

    reply: bytes

    @property
    def misdirected(self) -> bool:
        """Whether another instance has the address of the owner; it did not accept the message."""
        return self.reply == MISDIRECTED_REPLY


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
    """The request was written to a reused connection, which gave no reply that belongs to the request.

    A dispatcher may close a connection between two requests. If it does so while a request is in transit, the
    request is sent once more on a new connection (protocol page). The owner recognizes the id of a message
    that it has accepted already, so the request may be repeated to this owner only.
    """


ForwardOutcome = Relayed | NothingWritten | Unanswered | ConnectionEnded


def encode_request(
    settings: Settings, transaction: Transaction, instance: str, now: int, owner: str = ""
) -> bytes | None:
    """Return the request as forwarded by `instance` to `owner`, or None if the deadline has passed.

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
    if owner:
        fields[OWNER_FIELD] = owner
    text = ",".join(f"{name}={value}" for name, value in fields.items())
    return _encode_command(b"ENQUEUE", UNUSED_KEY, transaction.id.encode(), text.encode(), transaction.body)


def encode_confirmation_request(message_id: str) -> bytes:
    """Return the request that follows on a reused connection; its reply repeats the message's id."""
    return _encode_command(b"PING", message_id.encode())


def _encode_command(*arguments: bytes) -> bytes:
    return b"*%d\r\n" % len(arguments) + b"".join(map(_encode_bulk_string, arguments))


def _encode_bulk_string(value: bytes) -> bytes:
    return b"$%d\r\n%s\r\n" % (len(value), value)


class ReplyReader:
    """Parses the reply of an owner: one line with a RESP simple string or error.

    With `confirmed_id`, the reply to the confirmation request, which is this id, must follow.
    """

    def __init__(self, confirmed_id: str | None = None) -> None:
        self.awaits_confirmation = False  # the reply was received, and not yet its confirmation
        self._data = b""
        self._confirmation = b"" if confirmed_id is None else _encode_bulk_string(confirmed_id.encode())

    def feed(self, data: bytes) -> bytes | None:
        """Add received bytes; return the reply, or None while it or its confirmation is incomplete.

        Raise ValueError for a malformed reply, and for one that is not confirmed.
        """
        self._data += data
        quoted = self._data[:MAX_QUOTED_LENGTH]
        if self._data[:1] not in (b"+", b"-"):
            raise ValueError(f"reply: expected a line with + or -, got {quoted!r}")
        end = self._data.find(b"\r\n") + 2
        if end < 2:
            if len(self._data) > MAX_LINE_BYTES:
                raise ValueError(f"reply: longer than {MAX_LINE_BYTES} bytes")
            return None
        confirmation = self._data[end:]
        if not self._confirmation.startswith(confirmation):
            raise ValueError(f"reply: more than one line, or one to another message: {quoted!r}")
        self.awaits_confirmation = confirmation != self._confirmation
        return None if self.awaits_confirmation else self._data[:end]
