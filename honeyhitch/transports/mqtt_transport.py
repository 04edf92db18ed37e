"""The MQTT front and the carrier for members behind a broker, each on sessions of its own.

Intake and answers are sessions that the broker keeps, so that nothing taken or answered is lost with a
connection. Calls go out on sessions that end with their connection, so that none is ever repeated by itself.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from honeyhitch import logs
from honeyhitch.config.deployment import MqttSettings
from honeyhitch.dispatcher.delivery import Call, CallResult
from honeyhitch.dispatcher.dispatcher import Dispatcher
from honeyhitch.endpoints.endpoint import PoolEndpoint
from honeyhitch.journal.transactions import Transaction
from honeyhitch.policy.events import Outcome
from honeyhitch.protocols import mqtt_messages as messages
from honeyhitch.protocols.buffer import Buffer
from honeyhitch.protocols.mqtt import OutgoingPublish, Session
from honeyhitch.protocols.mqtt_packets import Packet
from honeyhitch.protocols.transaction_parser import FieldError, TransactionParser
from honeyhitch.transports import sockets
from honeyhitch.transports.channel import Channel, PlainChannel
from honeyhitch.transports.tasks import LoopScheduler, Tasks

log = logs.get()
DRAIN_TIMEOUT_SECONDS, DRAIN_POLL_SECONDS = (
    20.0,
    0.05,
)  # seconds that calls in flight have before a link is made anew, and between looks
CONNECT_TIMEOUT_SECONDS = 5.0  # seconds to connect, and for the server's CONNACK
IMPLEMENTATION_SPECIFIC_ERROR = 0x83  # PUBACK: implementation specific error
MAX_REJECTED_IDS = 10_000  # ids of which a redelivery is told
QUOTA_RETRY_DELAY = 1_000_000_000  # ns before an answer goes again that the broker had no room for


class BrokerConnector(Protocol):
    """How connections to the broker are made."""

    async def connect(self, address: str) -> Channel:
        """A new one; OSError if it does not come up."""

    async def wait_until_outdated(self, channel: Channel) -> None:
        """Returns once it should make room for a new one."""


class PlainConnector:
    """Plain TCP."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop

    async def connect(self, address: str) -> Channel:
        """A new one."""
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            return PlainChannel(self.loop, await sockets.connect(self.loop, address))

    async def wait_until_outdated(self, channel: Channel) -> None:
        """Never."""
        await asyncio.Event().wait()


class BrokerLink:
    """One session's connection to the broker, made anew when it breaks."""

    def __init__(
        self, address: str, session: Session, tasks: Tasks, connector: BrokerConnector | None = None
    ) -> None:
        self.address, self.session, self.loop = address, session, tasks.loop
        self.connector = connector or PlainConnector(tasks.loop)
        self.wake = asyncio.Event()

    async def run(self) -> None:
        """One connection, till it breaks."""
        channel = await self.connector.connect(self.address)
        self.session.open()
        try:
            async with asyncio.TaskGroup() as group:
                for work in (self._read(channel), self._write(channel), self._ping(), self._renew(channel)):
                    group.create_task(work)
        except BaseExceptionGroup as several:
            raise several.exceptions[0] from None
        finally:
            channel.close()
            self.session.connection_lost()

    async def _renew(self, channel: Channel) -> None:
        """Leave a connection that holds no more, once nothing is in flight on it."""
        await self.connector.wait_until_outdated(channel)
        self.session.paused = True  # nothing new goes out on it
        until = self.loop.time() + DRAIN_TIMEOUT_SECONDS
        while self.session.outgoing and self.loop.time() < until:
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        raise ConnectionAbortedError("made anew: what it was verified with has changed")

    async def _read(self, channel: Channel) -> None:
        buffer = Buffer()
        while True:
            patience = 1.5 * self.session.keep_alive if self.session.connected else CONNECT_TIMEOUT_SECONDS
            async with asyncio.timeout(patience or None):
                count = await channel.read(buffer)
            if not count:
                raise ConnectionResetError("the broker closed the connection")
            self.session.receive(buffer)
            self.wake.set()

    async def _write(self, channel: Channel) -> None:
        while True:
            if data := self.session.take_output():
                await channel.send(data)
            else:
                self.wake.clear()
                await self.wake.wait()

    async def _ping(self) -> None:
        while True:
            await asyncio.sleep(self.session.keep_alive / 2 or CONNECT_TIMEOUT_SECONDS)
            if self.session.connected and self.session.keep_alive:
                self.session.ping()
                self.wake.set()


class MqttFrontend:
    """Takes transactions from the intake topic and answers each where its publish says."""

    def __init__(
        self,
        settings: MqttSettings,
        dispatcher: Dispatcher,
        scheduler: LoopScheduler,
        tasks: Tasks,
        connector: BrokerConnector | None = None,
    ) -> None:
        self.dispatcher, self.scheduler = dispatcher, scheduler
        self.transaction_parser = TransactionParser(
            dispatcher.settings, dispatcher.pool.has_destination, dispatcher.metrics.message_invalid
        )
        self.intake = Session(
            f"{settings.client_id}-intake",
            settings.session_expiry_seconds,
            settings.keep_alive_seconds,
            clean_start=False,
        )
        self.intake.subscriptions, self.intake.on_publish = [settings.intake], self._on_publish
        self.replies = Session(
            f"{settings.client_id}-answers", settings.session_expiry_seconds, settings.keep_alive_seconds
        )
        for session in (self.intake, self.replies):
            session.username, session.password = settings.username, settings.password
        self.links = [
            BrokerLink(settings.broker, session, tasks, connector) for session in (self.intake, self.replies)
        ]
        self.rejected: dict[str, None] = {}  # the latest ids answered without being taken on

    def _on_publish(self, packet: Packet) -> None:
        if self.dispatcher.draining or not self.dispatcher.accepting:
            return  # not acknowledged: the broker hands it to the next process, or to another dispatcher
        now = self.scheduler.now()
        name = dict(packet.user).get("id", "")
        try:
            reply = messages.encode_reply_context(packet)
        except FieldError as error:  # there is no place to answer
            log.warning("intake.rejected", error=str(error))
            self.intake.acknowledge(packet, IMPLEMENTATION_SPECIFIC_ERROR)
            return
        if name not in self.rejected:
            try:
                admission = self.dispatcher.submit(
                    messages.parse_transaction(self.transaction_parser, packet, now)
                )
                more: dict[str, object] = {"again_ms": admission.retry_after // 1_000_000}
                answer = None if admission.accepted else messages.encode_answer(reply, name, "deferred", more)
            except FieldError as error:
                answer = messages.encode_answer(reply, name, "error", {"reason": str(error)})
            if answer is not None:
                if name:  # what names no id cannot be told from another such, and is answered each time
                    self.rejected[name] = None
                if len(self.rejected) > MAX_REJECTED_IDS:
                    del self.rejected[next(iter(self.rejected))]
                self._publish(answer, None)
        # Only now: what was taken on is in the journal, so the broker may forget it.
        self.intake.acknowledge(packet)
        self.links[0].wake.set()

    def answer(self, transaction: Transaction) -> None:
        """Send the final answer of a transaction that was taken on."""
        self._publish(messages.encode_final_answer(transaction), transaction)

    def _publish(self, answer: Packet, transaction: Transaction | None) -> None:
        def done(ack: Packet | None, _: bool) -> None:
            if ack is not None and ack.reason == messages.QUOTA_EXCEEDED:
                self.scheduler.call_at(
                    self.scheduler.now() + QUOTA_RETRY_DELAY, lambda: self._publish(answer, transaction)
                )
                return
            if ack is None or ack.reason >= 0x80:
                told = "no acknowledgement" if ack is None else f"reason {ack.reason:#x}"
                log.warning("answer.unconfirmed", topic=answer.topic, told=told, key=answer.topic)
            if transaction is not None:
                self.dispatcher.answer_sent(transaction)

        self.replies.publish(answer, done)
        self.links[1].wake.set()


class MqttTransport:
    """Carries calls to members that the operator set up behind the broker."""

    def __init__(
        self,
        settings: MqttSettings,
        dispatcher: Dispatcher,
        scheduler: LoopScheduler,
        tasks: Tasks,
        connector: BrokerConnector | None = None,
    ) -> None:
        self.dispatcher, self.scheduler = dispatcher, scheduler
        self.session = Session(f"{settings.client_id}-calls", 0, settings.keep_alive_seconds)
        self.session.username, self.session.password = settings.username, settings.password
        self.link = BrokerLink(settings.broker, self.session, tasks, connector)
        self.running: dict[Call, OutgoingPublish | None] = {}

    def start(self, call: Call) -> None:
        """Publish it; without a connection it cannot have run."""
        self.running[call] = None
        if not self.session.connected:
            result = CallResult.uniform(Outcome.CONNECT_FAILED, len(call.messages))
            self.scheduler.call_at(self.scheduler.now(), lambda: self._finish(call, result))
            return

        def done(ack: Packet | None, left: bool) -> None:
            self._finish(call, messages.interpret_acknowledgement(call, ack, left))

        def begin() -> Packet | None:
            if self.dispatcher.start_call(call):
                return messages.encode_call(call, call.sent_at + call.timeout - self.scheduler.now())
            self._finish(call, CallResult([]))
            return None

        one = self.session.publish(messages.encode_call(call, call.timeout), done, begin)
        if call in self.running:  # it may have ended by now
            self.running[call] = one
        self.link.wake.set()
        self.scheduler.call_at(call.sent_at + call.timeout, lambda: self._stop(call, Outcome.TIMEOUT))

    def _finish(self, call: Call, result: CallResult) -> None:
        if call in self.running:
            one = self.running.pop(call)
            if one is not None and one.sent:
                self.dispatcher.call_written(call)
            self.dispatcher.call_ended(call, result)

    def _stop(self, call: Call, outcome: Outcome) -> None:
        one = self.running.get(call)
        if one is not None:

            def late(ack: Packet | None, left: bool) -> None:
                self.dispatcher.retry_after_received(
                    call.endpoint, messages.interpret_acknowledgement(call, ack, left).retry_after
                )

            self.session.withdraw(one, late)
            never = not one.sent  # it still waited for the broker's receive maximum
            self._finish(
                call, CallResult.uniform(Outcome.CONNECT_FAILED if never else outcome, len(call.messages))
            )

    def cancel(self, call: Call) -> None:
        """Stop waiting for it. A publish cannot be called back: it may have run."""
        self._stop(call, Outcome.CANCELLED)

    def close_idle(self, member: PoolEndpoint) -> None:
        """All members share one connection, which is never idle in this sense."""
