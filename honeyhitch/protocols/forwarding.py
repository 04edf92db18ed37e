"""Passing a transaction on to the instance that owns its destination: the request, and how it ended.

The request is the same `ENQUEUE` that clients send, with what is left of its time and the field `via`, by
which the next instance knows that it must not pass it on again. The owner's reply is relayed as it is.
"""

from __future__ import annotations

from dataclasses import dataclass

from honeyhitch.journal.transactions import Transaction
from honeyhitch.policy.settings import Settings
from honeyhitch.protocols.resp import FORWARDED_BY_FIELD, MAX_LINE_BYTES
from honeyhitch.time_units import MILLISECOND

UNUSED_KEY = b"0" * 16  # the first argument, which means nothing


@dataclass(frozen=True, slots=True)
class Relayed:
    """The owner's reply, with its line end."""

    reply: bytes


@dataclass(frozen=True, slots=True)
class NothingWritten:
    """No byte of the request went out: another instance may be asked."""


@dataclass(frozen=True, slots=True)
class Unanswered:
    """The request, or a part of it, was written and no reply came: the owner may have accepted it."""


@dataclass(frozen=True, slots=True)
class ConnectionEnded:
    """The request was written to a kept connection, which ended with no byte of a reply.

    A dispatcher may close a connection between two requests. Where that crosses one which it has not read,
    the request is sent once more on a new connection (protocol page). The owner knows it by its id if it has
    accepted it, so that only this owner may be asked again.
    """


ForwardOutcome = Relayed | NothingWritten | Unanswered | ConnectionEnded


def encode_request(settings: Settings, transaction: Transaction, instance: str, now: int) -> bytes | None:
    """The request as it is passed on by `instance`, or None where no time is left. `now` is a Unix time in
    nanoseconds; the time passed since the client sent it counts against `d`.
    """
    left = (transaction.deadline - now) // MILLISECOND
    if left < 1:
        return None
    fields = {"c": settings.classes[transaction.class_index].name, "d": str(left)}
    fields["dest"] = str(transaction.destination)
    if settings.tenant_names:
        fields["t"] = settings.tenant_names[transaction.tenant]
    if transaction.key:
        fields["k"] = transaction.key
    if transaction.recovered_from_journal:
        fields["again"] = "1"
    fields[FORWARDED_BY_FIELD] = instance
    text = ",".join(f"{name}={value}" for name, value in fields.items())
    parts = (b"ENQUEUE", UNUSED_KEY, transaction.id.encode(), text.encode(), transaction.body)
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%s\r\n" % (len(part), part) for part in parts)


class ReplyReader:
    """Fed bytes of a connection to an owner, it gives the reply once it is whole.

    A reply is one line: a simple string or an error. Anything else, or more than one line, is no reply.
    """

    def __init__(self) -> None:
        self._data = b""

    def feed(self, data: bytes) -> bytes | None:
        """The reply, or None while it is not whole. Raises ValueError for what can be none."""
        self._data += data
        if self._data[:1] not in (b"+", b"-"):
            raise ValueError(f"reply: expected a line with + or -, got {self._data[:40]!r}")
        end = self._data.find(b"\r\n")
        if end < 0 and len(self._data) > MAX_LINE_BYTES:
            raise ValueError(f"reply: longer than {MAX_LINE_BYTES} bytes")
        if 0 <= end < len(self._data) - 2:
            raise ValueError(f"reply: more than one line: {self._data[:40]!r}")
        return self._data if end >= 0 else None
