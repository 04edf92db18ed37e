"""The server side of RESP2 for the clients of the platform, without I/O.

The commands are ENQUEUE, PING and QUIT (protocol page).
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Protocol

from honeyhitch.dispatcher.delivery import Admission
from honeyhitch.dispatcher.fair_share import new_submitter
from honeyhitch.journal.transactions import Transaction
from honeyhitch.protocols.buffer import Buffer
from honeyhitch.protocols.server_session import ServerSession
from honeyhitch.protocols.transaction_parser import MAX_BODY_BYTES, FieldError, TransactionParser
from honeyhitch.time_units import MILLISECOND

CRLF = b"\r\n"
MAX_ARGUMENTS = 64  # arguments of one command
MAX_COMMAND_BYTES = MAX_BODY_BYTES + 4096  # total bytes of the arguments of one command
MAX_LINE_BYTES = 1024  # bytes of a line with a count or with an inline command
MAX_COUNT_DIGITS = 9  # digits of the number of arguments, or of the length of an argument
MAX_REPLIES_PER_TURN = 16  # commands answered before other connections are served
MAX_REPLY_BYTES_PER_TURN = 4096  # bytes of replies after which other connections are served
MAX_FIELDS = 64  # of a submitted message
MAX_PING_BYTES = 1024  # bytes that a PING may ask to have sent back
OVERLOAD_RETRY_AFTER = 500 * MILLISECOND  # for a message that was not read, or whose client has left
MAX_CONSECUTIVE_ERRORS = 32  # consecutive invalid commands after which the connection is closed
ENQUEUE_ARGUMENTS = 5  # the command, a key, an id, fields and a body
FORWARDED_BY_FIELD = "via"  # its value is the instance that forwarded the message
OWNER_FIELD = "to"  # its value is the instance to which the message was forwarded
# The reply to a message that was forwarded to another instance, which had this address before.
MISDIRECTED_REPLY = b"-MISDIRECTED not this instance\r\n"
ERROR_PREFIX = b"-ERR"


class FramingError(Exception):
    """The stream can no longer be split into commands; the connection has to be closed."""


def _read_line(buffer: Buffer) -> bytes | None:
    end = buffer.find(CRLF, 0, MAX_LINE_BYTES + 2)
    if end < 0:
        if len(buffer) > MAX_LINE_BYTES:
            raise FramingError(f"line: longer than {MAX_LINE_BYTES} bytes")
        return None
    line = buffer.peek(0, end)
    buffer.consume(end + 2)
    return line


def _parse_count(line: bytes, marker: bytes, name: str, maximum: int) -> int:
    digits = line[1:]
    if line[:1] != marker or not digits.isdigit() or len(digits) > MAX_COUNT_DIGITS:
        raise FramingError(f"{name}: expected {marker.decode()} and a number")
    count = int(digits)
    if count > maximum:
        raise FramingError(f"{name}: at most {maximum} allowed")
    return count


def _split_inline_command(line: bytes) -> list[bytes]:
    if not line.isascii() or (line and not line.replace(b" ", b"").isalnum()):
        raise FramingError("array: expected * and a number")
    return line.split()


class CommandReader:
    """Reads commands argument by argument, so that a command in many chunks is not parsed repeatedly."""

    def __init__(self) -> None:
        self.remaining_arguments = 0
        self.argument_length = -1  # bytes of the next argument; -1 while unknown
        self.command_size = 0  # total bytes of the arguments whose length is known
        self.arguments: list[bytes] = []

    @property
    def pending_bytes(self) -> int:
        """The bytes of the arguments of an incomplete command that were read."""
        return sum(map(len, self.arguments)) if self.remaining_arguments else 0

    def discard(self) -> None:
        """Drop the arguments of an incomplete command, which cannot be completed afterwards."""
        self.arguments = []

    def read_command(self, buffer: Buffer) -> list[bytes] | None:
        """Consume and return the arguments of the next command, or return None while it is incomplete.

        Raise FramingError for bytes that are not a command and for a command over a limit.
        """
        if not self.remaining_arguments:
            line = _read_line(buffer)
            if line is None:
                return None
            if line[:1] != b"*":
                return _split_inline_command(line)
            self.remaining_arguments = _parse_count(line, b"*", "array", MAX_ARGUMENTS)
            self.command_size = 0
            self.arguments = []
        while self.remaining_arguments:
            argument = self._read_argument(buffer)
            if argument is None:
                return None
            self.arguments.append(argument)
            self.remaining_arguments -= 1
        return self.arguments

    def _read_argument(self, buffer: Buffer) -> bytes | None:
        if self.argument_length < 0:
            line = _read_line(buffer)
            if line is None:
                return None
            self.argument_length = _parse_count(line, b"$", "bulk", MAX_BODY_BYTES)
            self.command_size += self.argument_length
            if self.command_size > MAX_COMMAND_BYTES:
                raise FramingError(f"command: at most {MAX_COMMAND_BYTES} bytes allowed")
        length = self.argument_length
        if len(buffer) < length + 2:
            return None
        data = buffer.peek(0, length + 2)
        if data[length:] != CRLF:
            raise FramingError("bulk: expected CR LF after its bytes")
        buffer.consume(length + 2)
        self.argument_length = -1
        return data[:length]


def parse_fields(text: bytes) -> dict[str, str]:
    """Return the fields of a text such as `a=1,b=2`.

    Raise FieldError for bytes that are not ASCII, and for more than MAX_FIELDS fields.
    """
    if text.count(b",") >= MAX_FIELDS:
        raise FieldError(f"fields: at most {MAX_FIELDS} allowed")
    try:
        fields = (field.partition("=") for field in text.decode("ascii").split(","))
    except UnicodeDecodeError as error:
        raise FieldError("fields: expected name=value, set apart by commas") from error
    return {name: value for name, _, value in fields}


def busy_reply(retry_after: int) -> bytes:
    """Return the reply to a message that is not accepted; `retry_after` is in nanoseconds, 0 if unknown."""
    if not retry_after:
        return b"-BUSY\r\n"
    return b"-BUSY %d\r\n" % (retry_after // MILLISECOND)


def error_reply(reason: object) -> bytes:
    """Return the reply to an invalid command."""
    return f"-ERR {reason}\r\n".encode()


class Route(Enum):
    """The routing decision for a submitted message, in a fleet that partitions the destinations."""

    LOCAL = "local"  # this instance may accept the message
    FORWARD = "forward"  # another instance owns the destination
    REJECT = "reject"  # this instance can neither accept nor forward the message


class Router(Protocol):
    """Decides which instance handles a message before the message is accepted."""

    def route(self, transaction: Transaction, forwarded: bool) -> Route:
        """Return the routing decision for a message.

        `forwarded`: another instance forwarded the message to this one, so it must not be forwarded again.
        """

    retry_after: int  # ns, sent to the client with a rejection


class Session(ServerSession):
    """One client's connection. The transport feeds received bytes to `receive`.

    `forward`: a transaction whose destination another instance owns; the transport forwards the transaction
    and sends the reply to the client before it calls `receive` again.
    """

    overload_reply = busy_reply(OVERLOAD_RETRY_AFTER)

    def __init__(
        self,
        transaction_parser: TransactionParser,
        submit: Callable[[Transaction], Admission],
        is_ready: Callable[[], bool],
        clock: Callable[[], int],
        router: Router | None = None,
        instance: str = "",
    ) -> None:
        """Initialize: `submit` offers a transaction to the dispatcher, `clock` returns Unix time in ns.

        `instance` is the name of this dispatcher.
        """
        super().__init__()
        self.transaction_parser = transaction_parser
        self.submit = submit
        self.is_ready = is_ready
        self.clock = clock
        self.router = router
        self.instance = instance
        self.command_reader = CommandReader()
        self.consecutive_errors = 0
        self.submitter = new_submitter()
        self.client_left = False

    @property
    def pending_bytes(self) -> int:
        """The bytes of the arguments of an incomplete command."""
        return self.command_reader.pending_bytes

    def discard(self) -> None:
        """Drop an incomplete command."""
        self.command_reader.discard()

    def receive(self, buffer: Buffer, max_requests: int | None = None, client_left: bool = False) -> bytes:
        """Execute the complete commands in the buffer and return their replies, in order.

        At most `max_requests`, or MAX_REPLIES_PER_TURN, commands are executed, none after one that sets
        `forward`, and none after MAX_REPLY_BYTES_PER_TURN bytes of replies. With `client_left`, a submitted
        message is not accepted: its client may have closed its connection, and may submit the message again.
        """
        self.client_left = client_left
        max_replies = min(MAX_REPLIES_PER_TURN, max_requests or MAX_REPLIES_PER_TURN)
        reply_bytes = 0
        replies: list[bytes] = []
        self.has_more_requests = False
        self.has_partial_request = False
        self.forward = None
        while not self.closing:
            if len(replies) >= max_replies or reply_bytes >= MAX_REPLY_BYTES_PER_TURN:
                self.has_more_requests = len(buffer) > 0
                break
            try:
                command = self.command_reader.read_command(buffer)
            except FramingError as error:
                replies.append(error_reply(error))
                self.closing = True
                break
            if command is None:
                self.has_partial_request = self.command_reader.remaining_arguments > 0 or len(buffer) > 0
                break
            reply = self._execute(command)
            if self.forward is not None:
                self.has_more_requests = len(buffer) > 0
                break
            replies.append(reply)
            reply_bytes += len(reply)
            self.consecutive_errors = self.consecutive_errors + 1 if reply.startswith(ERROR_PREFIX) else 0
            if self.consecutive_errors == MAX_CONSECUTIVE_ERRORS:
                self.closing = True
        return b"".join(replies)

    def _execute(self, command: list[bytes]) -> bytes:
        if not command:
            return error_reply("command: empty, expected ENQUEUE or PING")
        name = command[0].upper()
        if name == b"PING":
            return self._ping(command)
        if name == b"QUIT":
            self.closing = True
            return b"+OK\r\n"
        if name != b"ENQUEUE":
            return error_reply("command: unknown, expected ENQUEUE or PING")
        try:
            return self._enqueue(command)
        except FieldError as error:
            return error_reply(error)

    def _ping(self, command: list[bytes]) -> bytes:
        if not self.is_ready():
            return b"-LOADING not ready\r\n"
        if len(command) > 1 and len(command[1]) > MAX_PING_BYTES:
            return error_reply(f"PING: at most {MAX_PING_BYTES} bytes allowed")
        if len(command) > 1:
            return b"$%d\r\n%s\r\n" % (len(command[1]), command[1])
        return b"+PONG\r\n"

    def _enqueue(self, command: list[bytes]) -> bytes:
        if len(command) != ENQUEUE_ARGUMENTS:
            raise FieldError("ENQUEUE: expected a key, an id, fields and a body")
        _, _, message_id, text, body = command
        fields = parse_fields(text)
        transaction = self.transaction_parser.parse(message_id, fields, body, self.clock())
        if FORWARDED_BY_FIELD in fields and fields.get(OWNER_FIELD, self.instance) != self.instance:
            return MISDIRECTED_REPLY
        if self.client_left:
            self.rejected_requests += 1
            return busy_reply(OVERLOAD_RETRY_AFTER)
        if self.router is not None:
            route = self.router.route(transaction, FORWARDED_BY_FIELD in fields)
            if route is Route.FORWARD:
                self.forward = transaction
                return b""
            if route is Route.REJECT:
                return busy_reply(self.router.retry_after)
        transaction.submitter = self.submitter
        admission = self.submit(transaction)
        if admission.accepted:
            return b"+OK\r\n"
        return busy_reply(admission.retry_after)
