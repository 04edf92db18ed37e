"""Builds transactions from the fields of submitted messages, for all frontends.

This module maps the field names of the platform's protocol (`c`, `d`, `dest`, `k`, `t`, `r`, `again`) to the
terms of this program.
"""

from __future__ import annotations

from collections.abc import Callable

from honeyhitch.journal.transactions import Transaction
from honeyhitch.policy.settings import Idempotency, Settings
from honeyhitch.time_units import MILLISECOND

MAX_BODY_BYTES = 65536
MAX_ID_LENGTH = 128  # bytes of a message id or an idempotency key
MAX_DIGITS = 15  # digits of a number
MAX_QUOTED_LENGTH = 40  # characters of an invalid value that are quoted in an error
DEADLINE_TOLERANCE_MS = 50  # ms by which field `d` may exceed the deadline of the class (protocol page)
FIRST_PRINTABLE = 0x21  # "!", the first ASCII character after the space
LAST_PRINTABLE = 0x7E  # "~"


class FieldError(ValueError):
    """A message with a missing or invalid field; the error text begins with the name of the field."""


class TransactionParser:
    """Checks the fields of a message against the settings, and builds its transaction.

    `has_destination` returns whether a destination is served. `on_invalid` is called for each message that is
    rejected because of a field, with its class index; it is not called if the class is missing or unknown.
    """

    def __init__(
        self,
        settings: Settings,
        has_destination: Callable[[int], bool],
        on_invalid: Callable[[int], None] = lambda _: None,
    ) -> None:
        self.settings = settings
        self.has_destination = has_destination
        self.on_invalid = on_invalid
        self.class_names = tuple(cls.name for cls in settings.classes)
        self.tenant_names = settings.tenant_names

    def parse(self, message_id: bytes, fields: dict[str, str], body: bytes, now: int) -> Transaction:
        """Return the transaction of one message; unknown fields are ignored.

        `now` is a Unix time in nanoseconds; the time limit of the message starts at `now`. With the field `r`
        or `again` set to 1, the message is treated like one that was recovered from the journal. Raise
        FieldError for a missing or invalid field.
        """
        try:
            return self._build(message_id, fields, body, now)
        except FieldError:
            if (class_name := fields.get("c")) in self.class_names:
                self.on_invalid(self.class_names.index(class_name))
            raise

    def _build(self, message_id: bytes, fields: dict[str, str], body: bytes, now: int) -> Transaction:
        if len(body) > MAX_BODY_BYTES:
            raise FieldError(f"body: longer than {MAX_BODY_BYTES} bytes")
        class_index = _parse_name(self.class_names, fields, "c")
        message_class = self.settings.classes[class_index]
        key = fields.get("k", "")
        if not key and message_class.idempotency is Idempotency.IDEMPOTENCY_KEY:
            raise FieldError("k: needed in a keyed class")
        destination = _parse_number(fields, "dest")
        time_left = _parse_number(fields, "d")
        if not self.has_destination(destination):  # such a message could only wait until its deadline
            raise FieldError(f"dest: no such destination: {destination}")
        max_time_left = message_class.deadline // MILLISECOND
        if not 0 < time_left <= max_time_left + DEADLINE_TOLERANCE_MS:
            raise FieldError(f"d: expected 1 to {max_time_left} milliseconds in this class, got {time_left}")
        return Transaction(
            id=_parse_id(message_id, "id"),
            class_index=class_index,
            destination=destination,
            deadline=now + min(time_left, max_time_left) * MILLISECOND,
            body=body,
            key=_parse_id(key.encode(), "k") if key else "",
            tenant=_parse_name(self.tenant_names, fields, "t") if self.tenant_names else 0,
            recovered_from_journal="1" in (fields.get("r"), fields.get("again")),
        )


def _parse_id(value: bytes, name: str) -> str:
    is_printable = value.isascii() and all(FIRST_PRINTABLE <= byte <= LAST_PRINTABLE for byte in value)
    if not 0 < len(value) <= MAX_ID_LENGTH or not is_printable:
        raise FieldError(f"{name}: expected 1 to {MAX_ID_LENGTH} printable characters without spaces")
    return value.decode()


def _parse_number(fields: dict[str, str], name: str) -> int:
    text = fields.get(name, "")
    if not text.isascii() or not text.isdigit() or len(text) > MAX_DIGITS:
        raise FieldError(f"{name}: expected a whole number, got {text[:MAX_QUOTED_LENGTH]!r}")
    return int(text)


def _parse_name(names: tuple[str, ...], fields: dict[str, str], name: str) -> int:
    """Return the index of the field's value in `names`. Raise FieldError if it is not one of them."""
    value = fields.get(name)
    if value not in names:
        raise FieldError(f"{name}: not a name in the settings: {(value or '')[:MAX_QUOTED_LENGTH]!r}")
    return names.index(value)
