"""Connections to an MQTT broker: each carries one session, and is reopened when it breaks."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from honeyhitch.config.deployment import MqttSettings
from honeyhitch.dispatcher.dispatcher import Dispatcher
from honeyhitch.protocols.buffer import Buffer
from honeyhitch.protocols.mqtt import Session
from honeyhitch.transports import sockets
from honeyhitch.transports.channel import Channel, PlainChannel
from honeyhitch.transports.tasks import LoopScheduler, Tasks

CONNECT_TIMEOUT_SECONDS = 5.0  # to connect, and again for the server's CONNACK
DRAIN_TIMEOUT_SECONDS = 20.0  # maximum wait for publishes in flight before a connection is replaced
DRAIN_POLL_SECONDS = 0.05
READ_PAUSE_SECONDS = 0.05  # between checks whether the session may read on
READ_TIMEOUT_FACTOR = 1.5  # times the keep-alive (MQTT 5.0, 3.1.2.10)


class BrokerConnector(Protocol):
    """Opens connections to the broker."""

    async def connect(self, address: str) -> Channel:
        """Connect to HOST:PORT. Raise OSError if that fails."""

    async def wait_until_outdated(self, channel: Channel) -> None:
        """Return once the connection should be replaced by a new one."""


class PlainConnector:
    """Opens unencrypted connections to the broker."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop

    async def connect(self, address: str) -> Channel:
        """Connect to HOST:PORT. Raise OSError if that fails, TimeoutError after CONNECT_TIMEOUT_SECONDS."""
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            return PlainChannel(self.loop, await sockets.connect(self.loop, address))

    async def wait_until_outdated(self, _channel: Channel) -> None:
        """Never return, because an unencrypted connection does not become outdated."""
        await asyncio.Event().wait()


class BrokerLink:
    """The connection of one session to the broker at HOST:PORT.

    The caller sets `output_ready` after it has given the session something to send. While `may_read` returns
    false, nothing more is read, so that the broker keeps what it has.
    """

    def __init__(
        self, address: str, session: Session, tasks: Tasks, connector: BrokerConnector | None = None
    ) -> None:
        self.address = address
        self.session = session
        self.loop = tasks.loop
        self.connector = connector or PlainConnector(tasks.loop)
        self.output_ready = asyncio.Event()
        self.may_read: Callable[[], bool] = lambda: True

    async def run(self) -> None:
        """Open one connection and serve it until it ends; then raise OSError, TimeoutError or MqttError."""
        channel = await self.connector.connect(self.address)
        self.session.open()
        jobs = (
            self._read(channel),
            self._write(channel),
            self._send_pings(),
            self._drain_when_outdated(channel),
        )
        try:
            async with asyncio.TaskGroup() as group:
                for job in jobs:
                    group.create_task(job)
        except BaseExceptionGroup as failures:
            raise failures.exceptions[0] from None
        finally:
            channel.close()
            self.session.connection_lost()

    async def _drain_when_outdated(self, channel: Channel) -> None:
        """Raise ConnectionAbortedError once the connection is outdated.

        Publishes in flight are awaited first, for at most DRAIN_TIMEOUT_SECONDS.
        """
        await self.connector.wait_until_outdated(channel)
        self.session.paused = True
        deadline = self.loop.time() + DRAIN_TIMEOUT_SECONDS
        while True:
            if not self.session.outgoing or self.loop.time() >= deadline:
                break
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        raise ConnectionAbortedError(
            f"{self.address}: reconnecting, because the verification of the connection is outdated"
        )

    async def _read(self, channel: Channel) -> None:
        buffer = Buffer()
        while True:
            if self.session.connected and not self.may_read():
                await asyncio.sleep(READ_PAUSE_SECONDS)
                continue
            async with asyncio.timeout(self._read_timeout()):
                count = await channel.read(buffer)
            if not count:
                raise ConnectionResetError(f"{self.address}: the broker closed the connection")
            self.session.receive(buffer)
            self.output_ready.set()

    def _read_timeout(self) -> float | None:
        """Return the time in seconds without data after which the connection is considered dead.

        None means no limit, if the session has no keep-alive.
        """
        if not self.session.connected:
            return CONNECT_TIMEOUT_SECONDS
        return READ_TIMEOUT_FACTOR * self.session.keep_alive or None

    async def _write(self, channel: Channel) -> None:
        while True:
            if data := self.session.take_output():
                await channel.send(data)
            else:
                self.output_ready.clear()
                await self.output_ready.wait()

    async def _send_pings(self) -> None:
        while True:
            await asyncio.sleep(self.session.keep_alive / 2 or CONNECT_TIMEOUT_SECONDS)
            if self.session.connected and self.session.keep_alive:
                self.session.ping()
                self.output_ready.set()


@dataclass(frozen=True, slots=True)
class MqttContext:
    """The objects that the MQTT frontend and the MQTT transport share.

    `connector` opens the connections to the broker; if it is None, they are not encrypted.
    """

    settings: MqttSettings
    dispatcher: Dispatcher
    scheduler: LoopScheduler
    tasks: Tasks
    connector: BrokerConnector | None = None

    def create_session(self, suffix: str, session_expiry: int, clean_start: bool = True) -> Session:
        """Return a session whose client id ends in `suffix`; `session_expiry` is in seconds."""
        session = Session(
            f"{self.settings.client_id}-{suffix}",
            session_expiry,
            self.settings.keep_alive_seconds,
            clean_start=clean_start,
        )
        session.username = self.settings.username
        session.password = self.settings.password
        return session

    def create_link(self, session: Session) -> BrokerLink:
        """Return the link that connects a session to the broker."""
        return BrokerLink(self.settings.broker, session, self.tasks, self.connector)
