"""Closes connections of rejected clients so that the clients can read the last reply (a lingering close).

If a connection were closed while its client still sends, the connection would be reset, and the reply could
be lost with it.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket

from honeyhitch.transports import sockets
from honeyhitch.transports.clients import Client

READ_SECONDS = 0.5  # in which a client may read the last reply
MAX_DISCARDED_BYTES = 131_072  # of what a client still sends, before its connection is closed
DEFAULT_MAX_CONNECTIONS = 8


def shut_down(client: Client) -> None:
    """Shut a connection down; its task reads the end and closes the socket."""
    with contextlib.suppress(OSError):
        client.sock.shutdown(socket.SHUT_RDWR)


class LingeringClose:
    """The connections on which clients may still read the last reply; at most `max_connections`."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.max_connections = DEFAULT_MAX_CONNECTIONS
        self.clients: dict[Client, None] = {}  # the oldest first

    def close(self, client: Client, reply: bytes) -> None:
        """Send the last reply, and send nothing afterwards."""
        with contextlib.suppress(OSError):
            client.sock.send(reply)
            client.sock.shutdown(socket.SHUT_WR)
        client.state_since = self.loop.time()
        self.clients[client] = None
        if len(self.clients) > self.max_connections:
            self.close_oldest()

    def close_oldest(self) -> None:
        """Shut down the connection whose client has had the most time to read the reply."""
        oldest = next(iter(self.clients))
        del self.clients[oldest]
        shut_down(oldest)

    def close_expired(self) -> None:
        """Shut down the connections whose clients have had READ_SECONDS."""
        closed_before = self.loop.time() - READ_SECONDS
        for client in [other for other in self.clients if other.state_since < closed_before]:
            del self.clients[client]
            shut_down(client)

    async def discard_input(self, client: Client) -> None:
        """Read and drop what a client still sends, until it ends the connection or sends too much.

        After READ_SECONDS the connection is shut down, and ends as well.
        """
        remaining = MAX_DISCARDED_BYTES
        with contextlib.suppress(OSError):
            while remaining > 0:
                await sockets.wait_readable(self.loop, client.sock)
                received = len(client.sock.recv(remaining))
                if not received:
                    return
                remaining -= received
