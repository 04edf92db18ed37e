"""The server side of a protocol on one connection, without I/O: what all such protocols have in common."""

from __future__ import annotations

from abc import ABC, abstractmethod

from honeyhitch.journal.transactions import Transaction
from honeyhitch.protocols.buffer import Buffer


class ServerSession(ABC):
    """The requests and replies of one connection.

    A subclass sets `greeting`, which is sent before the first request is read, and `overload_reply`, which
    tells a client that its incomplete request is not read any further and has no effect.
    """

    greeting = b""
    overload_reply = b""

    def __init__(self) -> None:
        self.closing = False  # the connection must be closed
        self.has_more_requests = False  # the buffer may contain further complete requests
        self.has_partial_request = False  # the last request is incomplete
        # A transaction that another instance of the fleet has to answer. The reply of that instance must be
        # sent before any further request is handled.
        self.forward: Transaction | None = None
        self.rejected_requests = 0  # complete requests that were rejected because their client had left

    @property
    def pending_bytes(self) -> int:
        """The bytes of an incomplete request that the session holds, apart from those in the buffer."""
        return 0

    @abstractmethod
    def receive(self, buffer: Buffer, max_requests: int | None = None, client_left: bool = False) -> bytes:
        """Return the replies to complete requests in the buffer; some remain if `has_more_requests`.

        At most `max_requests` are answered, where the protocol has several on a connection. With
        `client_left`, the client sends no more and may have closed its connection: no request takes effect.
        """

    def discard(self) -> None:  # noqa: B027  # most protocols hold nothing of an incomplete request
        """Release what the session holds of an incomplete request."""
