"""The one buffer of a connection: it grows as it needs and is compacted in place."""

from __future__ import annotations

INITIAL_CAPACITY = 4096  # bytes a fresh buffer has
MIN_READ_SPACE = 2048  # bytes a read is offered at least


class BufferOverflowError(Exception):
    """More bytes were kept unread than the connection may hold."""


class Buffer:
    """Bytes read and not yet consumed lie from `start` to `end` in `data`."""

    __slots__ = ("data", "end", "limit", "start")

    def __init__(self, limit: int = 1 << 20) -> None:
        self.data, self.start, self.end, self.limit = bytearray(INITIAL_CAPACITY), 0, 0, limit

    def __len__(self) -> int:
        return self.end - self.start

    def free_space(self) -> memoryview:
        """Free space to read into; release it before anything else is done with the buffer."""
        if len(self.data) - self.end < MIN_READ_SPACE and self.start:
            held = self.end - self.start
            self.data[:held] = self.data[self.start : self.end]
            self.start, self.end = 0, held
        if len(self.data) - self.end < MIN_READ_SPACE:
            if len(self.data) >= self.limit:
                raise BufferOverflowError(f"over {self.limit} bytes are unread")
            self.data.extend(bytes(min(len(self.data), self.limit - len(self.data))))
        return memoryview(self.data)[self.end :]

    def advance(self, count: int) -> None:
        """So many bytes were read into the room."""
        self.end += count

    def feed(self, data: bytes) -> None:
        """Put bytes in as a read would; for tests and for machines that stand behind another."""
        while data:
            with self.free_space() as room:
                count = min(len(room), len(data))
                room[:count] = data[:count]
            self.advance(count)
            data = data[count:]

    def find(self, pattern: bytes, offset: int = 0, limit: int | None = None) -> int:
        """Where `what` stands, counted from the start, or -1; only `within` bytes are searched."""
        end = self.end if limit is None else min(self.end, self.start + offset + limit)
        at = self.data.find(pattern, self.start + offset, end)
        return at - self.start if at >= 0 else -1

    def peek(self, offset: int, count: int) -> bytes:
        """Bytes that stay in the buffer."""
        return bytes(self.data[self.start + offset : min(self.end, self.start + offset + count)])

    def consume(self, count: int) -> None:
        """Forget so many bytes from the start."""
        self.start += count
        if self.start >= self.end:
            self.start = self.end = 0

    def consume_all(self) -> bytes:
        """All bytes, which are consumed."""
        data = self.peek(0, len(self))
        self.consume(len(self))
        return data
