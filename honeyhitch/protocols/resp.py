"""The platform's front: RESP2 from clients, as a machine that is fed bytes and knows no socket."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Protocol

from honeyhitch.dispatcher.delivery import Admission
from honeyhitch.journal.transactions import Transaction
from honeyhitch.policy.settings import Idempotency, Settings
from honeyhitch.protocols.buffer import Buffer
from honeyhitch.time_units import MILLISECOND

MAX_ARGUMENTS = 64
MAX_BULK_BYTES = 65536  # bytes; a body holds no more
MAX_COMMAND_BYTES = MAX_BULK_BYTES + 4096  # bytes of all parts of one command
MAX_LINE_BYTES = 1024  # bytes of a line that holds a number or an inline command
DEADLINE_TOLERANCE_MS = (
    50  # ms by which time limits on sockets are longer than those of the settings (protocol page)
)
MAX_ID_LENGTH = 128  # bytes of an id or a key
MAX_REPLIES_PER_TURN = 16  # commands answered before other connections have their turn
FORWARDED_BY_FIELD = "via"  # the field that names the instance which passed a request on
MAX_CONSECUTIVE_ERRORS = 32  # commands in a row that cannot be used, after which the connection is closed


class FramingError(Exception):
    """What follows cannot be told apart any more: the connection has to be closed."""


class FieldError(ValueError):
    """A command that was read whole, with a field that cannot be used."""


def _line(buffer: Buffer) -> bytes | None:
    end = buffer.find(b"\r\n", 0, MAX_LINE_BYTES + 2)
    if end < 0:
        if len(buffer) > MAX_LINE_BYTES:
            raise FramingError(f"line: longer than {MAX_LINE_BYTES} bytes")
        return None
    line = buffer.peek(0, end)
    buffer.consume(end + 2)
    return line


def _count(line: bytes, mark: bytes, name: str, most: int) -> int:
    digits = line[1:]
    if line[:1] != mark or not digits.isdigit() or len(digits) > 9:
        raise FramingError(f"{name}: expected {mark.decode()} and a number")
    if int(digits) > most:
        raise FramingError(f"{name}: at most {most} allowed")
    return int(digits)


class CommandReader:
    """Reads commands part by part, so that one that comes byte by byte is not read over and over."""

    def __init__(self) -> None:
        self.remaining_arguments, self.argument_length, self.command_size = (
            0,
            -1,
            0,
        )  # parts to come; the next one's length; bytes so far
        self.arguments: list[bytes] = []

    def read_command(self, buffer: Buffer) -> list[bytes] | None:
        """The next whole command, which is consumed; None while some of it is still to come."""
        if not self.remaining_arguments:
            line = _line(buffer)
            if line is None:
                return None
            if line[:1] != b"*":
                if not line.isascii() or not (line.replace(b" ", b"").isalnum() or not line):
                    raise FramingError("array: expected * and a number")
                return line.split()
            self.remaining_arguments, self.command_size, self.arguments = (
                _count(line, b"*", "array", MAX_ARGUMENTS),
                0,
                [],
            )
        while self.remaining_arguments:
            if self.argument_length < 0:
                line = _line(buffer)
                if line is None:
                    return None
                self.argument_length = _count(line, b"$", "bulk", MAX_BULK_BYTES)
                self.command_size += self.argument_length
                if self.command_size > MAX_COMMAND_BYTES:
                    raise FramingError(f"command: at most {MAX_COMMAND_BYTES} bytes allowed")
            if len(buffer) < self.argument_length + 2:
                return None
            part = buffer.peek(0, self.argument_length + 2)
            if part[self.argument_length :] != b"\r\n":
                raise FramingError("bulk: expected CR LF after its bytes")
            buffer.consume(self.argument_length + 2)
            self.arguments.append(part[: self.argument_length])
            self.remaining_arguments, self.argument_length = self.remaining_arguments - 1, -1
        return self.arguments


def _word(value: bytes, name: str) -> str:
    if (
        not 0 < len(value) <= MAX_ID_LENGTH
        or not value.isascii()
        or not all(33 <= byte <= 126 for byte in value)
    ):
        raise FieldError(f"{name}: expected 1 to {MAX_ID_LENGTH} printable characters without spaces")
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


class TransactionParser:
    """Builds transactions from names and values as the settings name them, for every front."""

    def __init__(
        self,
        settings: Settings,
        has_destination: Callable[[int], bool],
        on_invalid: Callable[[int], None] = lambda cls: None,
    ) -> None:
        self.on_invalid = on_invalid  # told the class of each message that failed for a field
        self.class_names = tuple(cls.name for cls in settings.classes)
        self.tenant_names, self.settings, self.has_destination = (
            settings.tenant_names,
            settings,
            has_destination,
        )

    def parse(self, message_id: bytes, fields: dict[str, str], body: bytes, now: int) -> Transaction:
        """One transaction, or FieldError naming the field at fault. Unknown names are skipped."""
        try:
            return self._transaction(message_id, fields, body, now)
        except FieldError:
            if (cls := fields.get("c")) in self.class_names:
                self.on_invalid(self.class_names.index(cls))
            raise

    def _transaction(self, name: bytes, fields: dict[str, str], body: bytes, now: int) -> Transaction:
        if len(body) > MAX_BULK_BYTES:
            raise FieldError(f"body: longer than {MAX_BULK_BYTES} bytes")
        cls = _pick(self.class_names, fields, "c")
        key = fields.get("k", "")
        if not key and self.settings.classes[cls].idempotency is Idempotency.IDEMPOTENCY_KEY:
            raise FieldError("k: needed in a keyed class")
        destination, left = _number(fields, "dest"), _number(fields, "d")
        if not self.has_destination(
            destination
        ):  # nothing could ever be done for it but to hold it to its end
            raise FieldError(f"dest: no such destination: {destination}")
        most = self.settings.classes[cls].deadline // MILLISECOND
        if not 0 < left <= most + DEADLINE_TOLERANCE_MS:
            raise FieldError(f"d: expected 1 to {most} milliseconds in this class, got {left}")
        return Transaction(
            id=_word(name, "id"),
            class_index=cls,
            destination=destination,
            deadline=now + min(left, most) * MILLISECOND,
            body=body,
            key=_word(key.encode(), "k") if key else "",
            tenant=_pick(self.tenant_names, fields, "t") if self.tenant_names else 0,
            recovered_from_journal="1" in (fields.get("r"), fields.get("again")),
        )


def parse_fields(text: bytes) -> dict[str, str]:
    """Names and values from `a=1,b=2`."""
    try:
        return {
            name: value
            for name, _, value in (part.partition("=") for part in text.decode("ascii").split(","))
        }
    except UnicodeDecodeError as error:
        raise FieldError("fields: expected name=value, set apart by commas") from error


def busy_reply(retry_after: int) -> bytes:
    """The reply to a message that is not accepted; `retry_after` is in nanoseconds, 0 where none is known."""
    if not retry_after:
        return b"-BUSY\r\n"
    return b"-BUSY %d\r\n" % (retry_after // MILLISECOND)


class Route(Enum):
    """What becomes of a transaction where a fleet shares the destinations."""

    LOCAL = "local"  # this instance may accept it
    FORWARD = "forward"  # another instance owns its destination
    REJECT = "refuse"  # none can be asked


class Router(Protocol):
    """Decides where a transaction goes before it is accepted."""

    def route(self, transaction: Transaction, forwarded: bool) -> Route:
        """`forwarded`: another instance has passed it on already, and it must not be passed on again."""

    retry_after: int  # ns; told with a refusal


class Session:
    """One client's connection: bytes in, replies out. `closing` is set when it must be closed, `more` when
    whole commands wait for the connection's next turn, and `half` while the end of one is still to come.

    `forward` is a transaction that another instance owns: its reply is the driver's to bring, and nothing
    further is read before.
    """

    greeting = b""

    def __init__(
        self,
        transaction_parser: TransactionParser,
        submit: Callable[[Transaction], Admission],
        is_ready: Callable[[], bool],
        clock: Callable[[], int],
        router: Router | None = None,
    ) -> None:
        self.transaction_parser, self.submit, self.is_ready, self.clock = (
            transaction_parser,
            submit,
            is_ready,
            clock,
        )
        self.router = router
        self.forward: Transaction | None = None
        self.closing = self.has_more_requests = self.has_partial_request = False
        self.command_reader, self.consecutive_errors = CommandReader(), 0

    def receive(self, buffer: Buffer) -> bytes:
        """Replies to whole commands in the buffer, in their order, up to one turn's worth."""
        replies: list[bytes] = []
        self.has_more_requests = self.has_partial_request = False
        self.forward = None
        while not self.closing:
            if len(replies) == MAX_REPLIES_PER_TURN:
                self.has_more_requests = len(buffer) > 0
                break
            try:
                command = self.command_reader.read_command(buffer)
            except FramingError as error:
                replies.append(f"-ERR {error}\r\n".encode())
                self.closing = True
                break
            if command is None:
                self.has_partial_request = self.command_reader.remaining_arguments > 0 or len(buffer) > 0
                break
            reply = self._reply(command)
            if self.forward is not None:
                self.has_more_requests = len(buffer) > 0
                break
            replies.append(reply)
            self.consecutive_errors = self.consecutive_errors + 1 if replies[-1].startswith(b"-ERR") else 0
            self.closing = self.closing or self.consecutive_errors == MAX_CONSECUTIVE_ERRORS
        return b"".join(replies)

    def _reply(self, command: list[bytes]) -> bytes:
        if not command:
            return b"-ERR command: empty, expected ENQUEUE or PING\r\n"
        name = command[0].upper()
        if name == b"PING":
            if not self.is_ready():
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
        _, _, name, text, body = command
        fields = parse_fields(text)
        transaction = self.transaction_parser.parse(name, fields, body, self.clock())
        if self.router is not None:
            route = self.router.route(transaction, FORWARDED_BY_FIELD in fields)
            if route is Route.FORWARD:
                self.forward = transaction
                return b""
            if route is Route.REJECT:
                return busy_reply(self.router.retry_after)
        admission = self.submit(transaction)
        if admission.accepted:
            return b"+OK\r\n"
        return busy_reply(admission.retry_after)
