"""The platform's front: RESP2 from clients, as a machine that is fed bytes and knows no socket."""

from __future__ import annotations

from collections.abc import Callable

from honeyhitch import interface as api
from honeyhitch.core import Offered
from honeyhitch.memory.buffer import Buffer
from honeyhitch.memory.transactions import Transaction

MOST_ARGS = 64
MOST_BULK = 65536  # bytes; a body holds no more
MOST_LINE = 1024  # bytes of a line that holds a number or an inline command
MS = 1_000_000  # ns
WORD = 128  # bytes of an id or a key


class FramingError(Exception):
    """What follows cannot be told apart any more: the connection has to be closed."""


class FieldError(ValueError):
    """A command that was read whole, with a field that cannot be used."""


def _line(buffer: Buffer, at: int) -> tuple[bytes, int] | None:
    end = buffer.find(b"\r\n", at, MOST_LINE + 2)
    if end < 0:
        if len(buffer) - at > MOST_LINE:
            raise FramingError(f"line: longer than {MOST_LINE} bytes")
        return None
    return buffer.peek(at, end - at), end + 2


def _count(line: bytes, mark: bytes, name: str, most: int) -> int:
    digits = line[1:]
    if line[:1] != mark or not digits.isdigit() or len(digits) > 9:
        raise FramingError(f"{name}: expected {mark.decode()} and a number")
    if int(digits) > most:
        raise FramingError(f"{name}: at most {most} allowed")
    return int(digits)


def read_command(buffer: Buffer) -> list[bytes] | None:
    """The next whole command, which is consumed; None while some of it is still to come."""
    head = _line(buffer, 0)
    if head is None:
        return None
    line, at = head
    if line[:1] != b"*":
        if not line.isascii() or not (line.replace(b" ", b"").isalnum() or not line):
            raise FramingError("array: expected * and a number")
        buffer.consume(at)
        return line.split()
    parts: list[bytes] = []
    for _ in range(_count(line, b"*", "array", MOST_ARGS)):
        head = _line(buffer, at)
        if head is None:
            return None
        line, at = head
        length = _count(line, b"$", "bulk", MOST_BULK)
        if len(buffer) < at + length + 2:
            return None
        parts.append(buffer.peek(at, length))
        if buffer.peek(at + length, 2) != b"\r\n":
            raise FramingError("bulk: expected CR LF after its bytes")
        at += length + 2
    buffer.consume(at)
    return parts


def _word(value: bytes, name: str) -> str:
    if not 0 < len(value) <= WORD or not value.isascii() or not all(33 <= byte <= 126 for byte in value):
        raise FieldError(f"{name}: expected 1 to {WORD} printable characters without spaces")
    return value.decode()


def _number(fields: dict[str, str], name: str) -> int:
    text = fields.get(name, "")
    if not text.isascii() or not text.isdigit() or len(text) > 15:
        raise FieldError(f"{name}: expected a whole number, got {text[:40]!r}")
    return int(text)


def _pick(names: tuple[str, ...], fields: dict[str, str], name: str) -> int:
    if fields.get(name) not in names:
        raise FieldError(f"{name}: not a name in the settings: {fields.get(name, '')[:40]!r}")
    return names.index(fields[name])


class Fields:
    """Builds transactions from names and values as the settings name them, for every front."""

    def __init__(self, settings: api.Settings) -> None:
        self.classes = tuple(cls.name for cls in settings.classes)
        self.tenants, self.settings = settings.tenant_names, settings

    def transaction(self, name: bytes, fields: dict[str, str], body: bytes, now: int) -> Transaction:
        """One transaction, or FieldError naming the field at fault. Unknown names are skipped."""
        if len(body) > MOST_BULK:
            raise FieldError(f"body: longer than {MOST_BULK} bytes")
        cls = _pick(self.classes, fields, "c")
        key = fields.get("k", "")
        if not key and self.settings.classes[cls].effect is api.Effect.KEYED:
            raise FieldError("k: needed in a keyed class")
        return Transaction(
            id=_word(name, "id"),
            cls=cls,
            destination=_number(fields, "dest"),
            deadline=now + _number(fields, "d") * MS,
            body=body,
            key=_word(key.encode(), "k") if key else "",
            tenant=_pick(self.tenants, fields, "t") if self.tenants else 0,
            came_again="1" in (fields.get("r"), fields.get("again")),
        )


def pairs(text: bytes) -> dict[str, str]:
    """Names and values from `a=1,b=2`."""
    try:
        return {
            name: value
            for name, _, value in (part.partition("=") for part in text.decode("ascii").split(","))
        }
    except UnicodeDecodeError as error:
        raise FieldError("fields: expected name=value, set apart by commas") from error


class Session:
    """One client's connection: bytes in, replies out. `closing` is set when it must be closed."""

    opening = b""

    def __init__(
        self,
        fields: Fields,
        offer: Callable[[Transaction], Offered],
        ready: Callable[[], bool],
        clock: Callable[[], int],
    ) -> None:
        self.fields, self.offer, self.ready, self.clock = fields, offer, ready, clock
        self.closing = False

    def receive(self, buffer: Buffer) -> bytes:
        """Replies to all whole commands in the buffer, in their order."""
        replies: list[bytes] = []
        while not self.closing:
            try:
                command = read_command(buffer)
            except FramingError as error:
                replies.append(f"-ERR {error}\r\n".encode())
                self.closing = True
                break
            if command is None:
                break
            if command:
                replies.append(self._reply(command))
        return b"".join(replies)

    def _reply(self, command: list[bytes]) -> bytes:
        name = command[0].upper()
        if name == b"PING":
            if not self.ready():
                return b"-LOADING not ready\r\n"
            if len(command) > 1:
                return b"$%d\r\n%s\r\n" % (len(command[1]), command[1])
            return b"+PONG\r\n"
        if name == b"QUIT":
            self.closing = True
            return b"+OK\r\n"
        if name != b"ENQUEUE":
            return b"-ERR command: unknown, expected ENQUEUE or PING\r\n"
        try:
            return self._enqueue(command)
        except FieldError as error:
            return f"-ERR {error}\r\n".encode()

    def _enqueue(self, command: list[bytes]) -> bytes:
        if len(command) != 5:
            raise FieldError("ENQUEUE: expected a key, an id, fields and a body")
        _, _, name, fields, body = command
        offered = self.offer(self.fields.transaction(name, pairs(fields), body, self.clock()))
        if offered.taken:
            return b"+OK\r\n"
        return b"-BUSY %d\r\n" % (offered.come_back // MS) if offered.come_back else b"-BUSY\r\n"
