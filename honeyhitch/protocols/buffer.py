"""The receive buffer of a connection: it grows on demand and is compacted in place."""

from __future__ import annotations

INITIAL_CAPACITY = 4096  # bytes
MIN_READ_SPACE = 2048  # bytes that every read is offered at least
DEFAULT_LIMIT = 1 << 20  # bytes that a connection may leave unread


class BufferOverflowError(Exception):
    """The connection holds more unread bytes than its limit allows."""


class Buffer:
    """Received bytes that are not consumed yet: `data[start:end]`.

    `limit` is the largest number of bytes that it holds.
    """

    __slots__ = ("data", "end", "limit", "start")

    def __init__(self, limit: int = DEFAULT_LIMIT) -> None:
        self.data = bytearray(INITIAL_CAPACITY)
        self.start = 0
        self.end = 0
        self.limit = limit

    def __len__(self) -> int:
        """The number of unread bytes."""
        return self.end - self.start

    def free_space(self) -> memoryview:
        """Writable space after the unread bytes, for a read to fill; call `advance` afterwards.

        Release the view before the buffer is used again. Raises BufferOverflowError at the limit.
        """
        if len(self.data) - self.end < MIN_READ_SPACE and self.start:
            unread = self.end - self.start
            self.data[:unread] = self.data[self.start : self.end]
            self.start = 0
            self.end = unread
        if len(self.data) - self.end < MIN_READ_SPACE:
            if len(self.data) >= self.limit:
                raise BufferOverflowError(f"over {self.limit} bytes are unread")
            self.data.extend(bytes(min(len(self.data), self.limit - len(self.data))))
        return memoryview(self.data)[self.end :]

    def advance(self, count: int) -> None:
        """Count as received the first `count` bytes of the free space."""
        self.end += count

    def feed(self, data: bytes) -> None:
        """Append bytes, for protocols that are layered on another one, and for tests."""
        while data:
            with self.free_space() as space:
                count = min(len(space), len(data))
                space[:count] = data[:count]
            self.advance(count)
            data = data[count:]

    def find(self, pattern: bytes, offset: int = 0, limit: int | None = None) -> int:
        """The position of `pattern` among the unread bytes, or -1.

        The search starts at `offset` and covers `limit` bytes, or all.
        """
        end = self.end if limit is None else min(self.end, self.start + offset + limit)
        position = self.data.find(pattern, self.start + offset, end)
        return position - self.start if position >= 0 else -1

    def peek(self, offset: int, count: int) -> bytes:
        """A copy of up to `count` unread bytes from `offset`, which stay in the buffer."""
        return bytes(self.data[self.start + offset : min(self.end, self.start + offset + count)])

    def consume(self, count: int) -> None:
        """Discard `count` bytes from the start."""
        self.start += count
        if self.start >= self.end:
            self.start = self.end = 0

    def consume_all(self) -> bytes:
        """All unread bytes; the buffer is empty afterwards."""
        data = self.peek(0, len(self))
        self.consume(len(self))
        return data
