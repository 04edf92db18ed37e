"""The control socket: a Unix-domain socket (0600) that answers processes of the same user, and root."""

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
from honeyhitch.protocols import control
from honeyhitch.protocols.buffer import Buffer, BufferOverflowError
from honeyhitch.protocols.control import CommandRegistry, ControlError
from honeyhitch.transports import sockets
from honeyhitch.transports.tasks import Tasks

log = logs.get()
MAX_CONNECTIONS = 8  # connections at once
IDLE_TIMEOUT_SECONDS = 30.0  # seconds a connection may say nothing
ACCEPT_RETRY_SECONDS = 0.05  # seconds before accepting again when no descriptor was left
PEER_CREDENTIALS = struct.Struct("3i")  # pid, uid, gid, as SO_PEERCRED gives them (unix(7))


class ControlSocketError(Exception):
    """The socket cannot be made; the message says why."""


def peer_uid(sock: socket.socket) -> int:
    """The uid of who is at the other end."""
    told = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, PEER_CREDENTIALS.size)
    return int(PEER_CREDENTIALS.unpack(told)[1])


def user_name(uid: int) -> str:
    """A user's name, or the number where there is none."""
    try:
        return pwd.getpwuid(uid).pw_name
    except KeyError:
        return str(uid)


class ControlServer:
    """One control socket and its connections."""

    def __init__(self, path: Path, commands: CommandRegistry, tasks: Tasks) -> None:
        self.path, self.commands, self.tasks, self.loop = path, commands, tasks, tasks.loop
        self.open_connections = 0
        self.listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self.listener.setblocking(False)
        try:
            self._bind()
        except OSError as error:
            self.listener.close()
            raise ControlSocketError(f"{path}: {error.strerror or error}") from error

    def _bind(self) -> None:
        if self.path.is_socket():  # of a process that is gone, or of one that still serves
            with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as trial, contextlib.suppress(OSError):
                trial.connect(str(self.path))
                raise ControlSocketError(f"{self.path}: another process answers there")
            self.path.unlink(missing_ok=True)
        before = os.umask(0o177)  # nobody else may connect, not even for a moment
        try:
            self.listener.bind(str(self.path))
        finally:
            os.umask(before)
        self.listener.listen(MAX_CONNECTIONS)

    async def accept(self) -> None:
        """Accept connections for ever."""
        while True:
            try:
                sock, _ = await self.loop.sock_accept(self.listener)
            except OSError as error:
                log.warning("control.accept-failed", error=str(error))
                await asyncio.sleep(ACCEPT_RETRY_SECONDS)
                continue
            sock.setblocking(False)
            uid = peer_uid(sock)
            if uid not in (os.getuid(), 0):
                log.warning("control.refused", uid=uid, key=str(uid))
            if uid not in (os.getuid(), 0) or self.open_connections >= MAX_CONNECTIONS:
                sock.close()
                continue
            self.open_connections += 1
            self.tasks.start(self._serve(sock, user_name(uid)))

    async def _serve(self, sock: socket.socket, who: str) -> None:
        machine, buffer = control.ControlRequestParser(who), Buffer()
        try:
            while not machine.closing:
                async with asyncio.timeout(IDLE_TIMEOUT_SECONDS):
                    if not await sockets.read(self.loop, sock, buffer):
                        return
                broken: ControlError | None = None
                try:
                    machine.feed(buffer.consume_all())
                except ControlError as error:
                    broken = error
                asked, machine.requests = machine.requests, []
                for i, one in enumerate(asked):
                    last = machine.closing and broken is None and i == len(asked) - 1
                    await self.loop.sock_sendall(sock, await self._answer(one, last))
                if broken is not None:
                    await self.loop.sock_sendall(sock, _refused(broken, close=True))
        except (OSError, BufferOverflowError, TimeoutError):
            pass  # it went away, or says nothing
        finally:
            self.open_connections -= 1
            sock.close()

    async def _answer(self, asked: control.ControlRequest, close: bool) -> bytes:
        try:
            return control.encode_response(HTTPStatus.OK, await self.commands.execute(asked), close)
        except ControlError as error:
            return _refused(error, close)
        except Exception as error:
            log.error("control.failed", path=asked.path, exc_info=error)
            why = f"{type(error).__name__}: {error}"
            return control.encode_response(HTTPStatus.INTERNAL_SERVER_ERROR, {"error": why}, close)

    def close(self) -> None:
        """Stop listening, and take the socket away."""
        self.listener.close()
        self.path.unlink(missing_ok=True)


def _refused(error: ControlError, close: bool) -> bytes:
    return control.encode_response(error.status, {"error": error.reason}, close)
