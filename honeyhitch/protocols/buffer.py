"""The receive buffer of a connection, which grows on demand and is compacted in place."""

from __future__ import annotations

from honeyhitch.memory.budget import MemoryAccount

INITIAL_CAPACITY = 4096  # bytes
MIN_READ_SPACE = 2048  # minimum number of free bytes offered to a read
DEFAULT_LIMIT = 1 << 20  # maximum number of unread bytes of a connection


class BufferOverflowError(Exception):
    """The unread bytes of a connection have reached the limit of its buffer."""


class Buffer:
    """Received bytes that are not consumed yet, in `data[start:end]`.

    `limit` is the maximum number of bytes that the buffer holds. An empty buffer holds no memory. What it
    holds beyond INITIAL_CAPACITY is counted in `account` if there is one.
    """

    __slots__ = ("account", "data", "end", "limit", "start")

    def __init__(self, limit: int = DEFAULT_LIMIT, account: MemoryAccount | None = None) -> None:
        self.data = bytearray()
        self.start = 0
        self.end = 0
        self.limit = limit
        self.account = account

    def __len__(self) -> int:
        """Return the number of unread bytes."""
        return self.end - self.start

    def free_space(self) -> memoryview:
        """Return the writable space after the unread bytes; the caller fills it and then calls `advance`.

        The caller must release the view before it uses the buffer again. Raise BufferOverflowError if the
        limit is reached, and MemoryLimitError if the account does not allow the buffer to grow.
        """
        if len(self.data) - self.end < MIN_READ_SPACE and self.start:
            unread = self.end - self.start
            self.data[:unread] = self.data[self.start : self.end]
            self.start = 0
            self.end = unread
        if len(self.data) - self.end < MIN_READ_SPACE:
            self._grow()
        return memoryview(self.data)[self.end :]

    def _grow(self) -> None:
        capacity = len(self.data)
        if capacity >= self.limit:
            raise BufferOverflowError(f"receive buffer: {len(self)} bytes are unread, limit {self.limit}")
        new_capacity = min(self.limit, max(INITIAL_CAPACITY, 2 * capacity))
        if self.account is not None and new_capacity > INITIAL_CAPACITY:
            self.account.grow(new_capacity - max(capacity, INITIAL_CAPACITY))
        if capacity:
            self.data.extend(bytes(new_capacity - capacity))
        else:
            self.data = bytearray(new_capacity)

    def advance(self, count: int) -> None:
        """Add the first `count` bytes of the free space to the unread bytes."""
        self.end += count

    def feed(self, data: bytes) -> None:
        """Append bytes that were not read from a socket (protocols layered on another one, tests)."""
        while data:
            with self.free_space() as space:
                count = min(len(space), len(data))
                space[:count] = data[:count]
            self.advance(count)
            data = data[count:]

    def find(self, pattern: bytes, offset: int = 0, limit: int | None = None) -> int:
        """Return the position of `pattern` relative to the first unread byte, or -1.

        The search starts at `offset` and covers `limit` bytes, or all remaining bytes.
        """
        end = self.end if limit is None else min(self.end, self.start + offset + limit)
        position = self.data.find(pattern, self.start + offset, end)
        return position - self.start if position >= 0 else -1

    def peek(self, offset: int, count: int) -> bytes:
        """Return a copy of up to `count` unread bytes from `offset`; the bytes stay in the buffer."""
        return bytes(self.data[self.start + offset : min(self.end, self.start + offset + count)])

    def consume(self, count: int) -> None:
        """Discard the first `count` unread bytes."""
        self.start += count
        if self.start >= self.end:
            self.release()

    def release(self) -> None:
        """Discard all bytes, and the memory that holds them."""
        if self.account is not None and len(self.data) > INITIAL_CAPACITY:
            self.account.shrink(len(self.data) - INITIAL_CAPACITY)
        self.data = bytearray()
        self.start = self.end = 0

    def consume_all(self) -> bytes:
        """Return all unread bytes and empty the buffer."""
        data = self.peek(0, len(self))
        self.consume(len(self))
        return data
