"""The control socket: a Unix-domain socket (mode 0600) that serves processes of the same user and of root."""

from __future__ import annotations

import asyncio
import contextlib
import os
import pwd
import socket
import struct
from http import HTTPStatus
from pathlib import Path

from honeyhitch import logs
from honeyhitch.memory.budget import MemoryAccount, MemoryBudget
from honeyhitch.protocols.buffer import Buffer, BufferOverflowError
from honeyhitch.protocols.control import (
    MAX_BODY_BYTES,
    CommandRegistry,
    ControlError,
    ControlRequest,
    ControlRequestParser,
    encode_response,
)
from honeyhitch.transports import sockets
from honeyhitch.transports.tasks import Tasks

log = logs.get_logger()
MAX_CONNECTIONS = 8
IDLE_TIMEOUT_SECONDS = 30.0  # a connection on which nothing is received for this long is closed
ACCEPT_RETRY_SECONDS = 0.05  # pause after accept() failed because no file descriptor was left
PEER_CREDENTIALS = struct.Struct("3i")  # pid, uid and gid, as returned for SO_PEERCRED (unix(7))
OWNER_ONLY_UMASK = 0o177
ROOT_UID = 0


class ControlSocketError(Exception):
    """The control socket cannot be opened; the message contains its path and the reason."""


def peer_uid(sock: socket.socket) -> int:
    """Return the uid of the process at the other end of a Unix-domain socket."""
    credentials = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, PEER_CREDENTIALS.size)
    _, uid, _ = PEER_CREDENTIALS.unpack(credentials)
    return int(uid)


def user_name(uid: int) -> str:
    """Return the name of a user, or the uid as text if the user has no name."""
    try:
        return pwd.getpwuid(uid).pw_name
    except KeyError:
        return str(uid)


class ControlServer:
    """One control socket and its connections."""

    def __init__(self, path: Path, commands: CommandRegistry, tasks: Tasks) -> None:
        """Bind and listen. Raise ControlSocketError if that fails."""
        self.path = path
        self.commands = commands
        self.tasks = tasks
        self.loop = tasks.loop
        self.open_connections = 0
        self.bodies = MemoryBudget(MAX_BODY_BYTES)  # of all connections together
        self.listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self.listener.setblocking(False)
        try:
            self._bind()
        except OSError as error:
            self.listener.close()
            raise ControlSocketError(f"{path}: {error.strerror or error}") from error

    def _bind(self) -> None:
        if self.path.is_socket():
            self._remove_stale_socket()
        # The umask is set before bind(), so that no other user can connect, not even briefly.
        previous_umask = os.umask(OWNER_ONLY_UMASK)
        try:
            self.listener.bind(str(self.path))
        finally:
            os.umask(previous_umask)
        self.listener.listen(MAX_CONNECTIONS)

    def _remove_stale_socket(self) -> None:
        """Remove the socket of a process that has ended.

        Raise ControlSocketError if another process listens on the socket.
        """
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe, contextlib.suppress(OSError):
            probe.connect(str(self.path))
            raise ControlSocketError(f"{self.path}: another process listens on this socket")
        self.path.unlink(missing_ok=True)

    async def accept(self) -> None:
        """Accept connections until cancelled."""
        while True:
            try:
                sock, _ = await self.loop.sock_accept(self.listener)
            except OSError as error:
                log.warning("control.accept-failed", error=str(error))
                await asyncio.sleep(ACCEPT_RETRY_SECONDS)
                continue
            sock.setblocking(False)
            uid = peer_uid(sock)
            allowed = uid in (os.getuid(), ROOT_UID)
            if not allowed:
                log.warning("control.refused", uid=uid, key=str(uid))
            if not allowed or self.open_connections >= MAX_CONNECTIONS:
                sock.close()
                continue
            self.open_connections += 1
            self.tasks.start(self._serve(sock, user_name(uid)))

    async def _serve(self, sock: socket.socket, actor: str) -> None:
        account = MemoryAccount(self.bodies)
        parser = ControlRequestParser(actor, account)
        buffer = Buffer()
        try:
            while not parser.closing:
                async with asyncio.timeout(IDLE_TIMEOUT_SECONDS):
                    if not await sockets.read(self.loop, sock, buffer):
                        return
                await self._answer_requests(sock, parser, buffer.consume_all())
        except (OSError, BufferOverflowError, TimeoutError):
            pass  # the client closed the connection, sent more than the buffer holds, or nothing in time
        finally:
            account.close()
            self.open_connections -= 1
            sock.close()

    async def _answer_requests(self, sock: socket.socket, parser: ControlRequestParser, data: bytes) -> None:
        malformed: ControlError | None = None
        try:
            parser.feed(data)
        except ControlError as error:
            malformed = error
        requests = parser.requests
        parser.requests = []
        for index, request in enumerate(requests):
            if index and sockets.has_peer_left(sock):  # it does not wait for the replies, and may ask again
                log.info("control.client-left", unread=len(requests) - index, key=request.actor)
                return
            last = parser.closing and malformed is None and index == len(requests) - 1
            await self.loop.sock_sendall(sock, await self._execute(request, last))
        if malformed is not None:
            await self.loop.sock_sendall(sock, _encode_error(malformed, close=True))

    async def _execute(self, request: ControlRequest, close: bool) -> bytes:
        try:
            return encode_response(HTTPStatus.OK, await self.commands.execute(request), close)
        except ControlError as error:
            return _encode_error(error, close)
        except Exception as error:
            log.error("control.failed", path=request.path, exc_info=error)
            reason = f"{type(error).__name__}: {error}"
            return encode_response(HTTPStatus.INTERNAL_SERVER_ERROR, {"error": reason}, close)

    def close(self) -> None:
        """Stop listening, and remove the socket's file."""
        self.listener.close()
        self.path.unlink(missing_ok=True)


def _encode_error(error: ControlError, close: bool) -> bytes:
    return encode_response(error.status, {"error": error.reason}, close)
