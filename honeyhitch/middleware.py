"""ASGI middleware: runs a dispatcher during an application's lifespan and lets its handlers send messages.

An application in the same process submits messages without a socket and waits for their delivery:

    await request.state.honeyhitch.deliver(destination, body)
"""

from __future__ import annotations

import asyncio
import math
import os
import secrets
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

from honeyhitch import config as configuration
from honeyhitch.dispatcher.dispatcher import Dispatcher
from honeyhitch.journal.transactions import Ending, Transaction
from honeyhitch.protocols.transaction_parser import TransactionParser
from honeyhitch.service.assembly import assemble
from honeyhitch.service.service import Service
from honeyhitch.service.shutdown import close, drain_and_stop
from honeyhitch.service.start import start
from honeyhitch.time_units import MILLISECOND, SECOND

FRONTEND = "app"  # the name of this frontend in the journal
STATE_KEY = "honeyhitch"  # key of the frontend in the state of each ASGI scope
ID_BYTES = 8  # random bytes in a message id
MILLISECONDS_PER_SECOND = SECOND // MILLISECOND

Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
App = Callable[[Message, Receive, Send], Awaitable[None]]


class RejectedError(Exception):
    """Raised for a message that was not executed; it may be submitted again after `retry_after` seconds."""

    def __init__(self, retry_after: float) -> None:
        super().__init__(f"message rejected; retry after {retry_after:g} s")
        self.retry_after = retry_after


class UndeliverableError(Exception):
    """Raised for a message that failed permanently. The exception's argument is the message id."""


class AppFrontend:
    """The frontend of an application in the same process: submits messages and awaits their final answers."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        self.dispatcher = dispatcher
        self.parser = TransactionParser(dispatcher.settings, dispatcher.pool.has_destination)
        self.pending: dict[str, asyncio.Future[Transaction]] = {}

    def answer(self, transaction: Transaction) -> None:
        """Pass a final answer to the caller that waits for it, and record the answer as sent.

        After a restart of the process no caller waits, and the answer is only recorded as sent.
        """
        waiter = self.pending.pop(transaction.id, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(transaction)
        self.dispatcher.answer_sent(transaction)

    def submit(
        self,
        destination: int,
        body: bytes,
        *,
        cls: str | None = None,
        key: str = "",
        tenant: str | None = None,
        time_left: float | None = None,
    ) -> str:
        """Submit a message without waiting for its final answer; return its id.

        Unless given, `cls` is the first class of the settings, `tenant` the first tenant, `key` the id, and
        `time_left`, in seconds, the deadline of the first class. Raise RejectedError if the dispatcher
        does not accept the message, and ValueError naming an invalid field.
        """
        settings = self.dispatcher.settings
        if time_left is None:
            time_left = settings.classes[0].deadline / SECOND
        if tenant is None:
            tenant = next(iter(settings.tenant_names), "")
        message_id = secrets.token_hex(ID_BYTES)
        fields = {
            "c": settings.classes[0].name if cls is None else cls,
            "dest": str(destination),
            "k": key or message_id,
            "d": str(max(0, int(time_left * MILLISECONDS_PER_SECOND))),
            "t": tenant,
        }
        now = self.dispatcher.scheduler.now()
        transaction = self.parser.parse(message_id.encode(), fields, body, now)
        transaction.frontend = FRONTEND
        admission = self.dispatcher.submit(transaction)
        if not admission.accepted:
            raise RejectedError(admission.retry_after / SECOND)
        return message_id

    async def deliver(self, destination: int, body: bytes, **options: Any) -> str:
        """Submit a message and wait until it is delivered; return its id.

        `options` are those of `submit`. Raise RejectedError if the message was not executed and may be
        submitted again, UndeliverableError if it failed permanently, and ValueError naming an invalid field.
        Cancelling the caller withdraws the message: no further attempt is made.
        """
        message_id = self.submit(destination, body, **options)
        waiter = self.pending[message_id] = asyncio.get_running_loop().create_future()
        try:
            ended = await waiter
        except asyncio.CancelledError:
            self.dispatcher.withdraw(message_id)
            raise
        finally:
            self.pending.pop(message_id, None)
        if ended.ending is Ending.REJECTED:
            raise RejectedError(ended.retry_after / SECOND)
        if ended.ending is not Ending.DELIVERED:
            raise UndeliverableError(message_id)
        return message_id


class DispatcherMiddleware:
    """An ASGI application wrapped with a dispatcher; its `scope["state"]["honeyhitch"]` is the `AppFrontend`.

    The dispatcher starts before the application's own startup and stops after its shutdown. If the
    application raises RejectedError before its response has begun, the client gets 503 with Retry-After. Add
    it as the framework's own middleware: a middleware inside it that replies 500 to every exception would
    hide the error.
    """

    def __init__(self, app: App, config: configuration.Config | None = None, listen: bool = False) -> None:
        """Wrap `app`.

        Without `config` the dispatcher reads its configuration as `serve` does, from the files that the
        environment variables name. With `listen` it also accepts clients on its listening address.
        """
        self.app = app
        self.config = config
        self.listen = listen
        self.service: Service | None = None
        self.frontend: AppFrontend | None = None

    async def __call__(self, scope: Message, receive: Receive, send: Send) -> None:
        """Handle one ASGI scope. Raise RuntimeError if the server has not run the lifespan protocol."""
        if scope["type"] == "lifespan":
            await _Lifespan(self, scope, receive, send).run()
            return
        if self.frontend is None:
            raise RuntimeError(
                "the dispatcher is not running: the ASGI server must run the lifespan protocol"
            )
        scope.setdefault("state", {})[STATE_KEY] = self.frontend
        if scope["type"] == "http":
            await self._handle_request(scope, receive, send)
        else:
            await self.app(scope, receive, send)

    async def _handle_request(self, scope: Message, receive: Receive, send: Send) -> None:
        response_started = False

        async def observe_response(message: Message) -> None:
            nonlocal response_started
            response_started = response_started or message["type"] == "http.response.start"
            await send(message)

        try:
            await self.app(scope, receive, observe_response)
        except RejectedError as error:
            if response_started:
                raise
            await _send_unavailable(send, error.retry_after)

    async def start(self) -> None:
        """Start the dispatcher. Raise ConfigError if its configuration cannot be used."""
        service = assemble(self.config or configuration.read(os.environ), self.listen)
        frontend = AppFrontend(service.dispatcher)
        service.dispatcher.frontends[FRONTEND] = frontend
        try:
            start(service, self.listen)
        except BaseException:
            await close(service)
            raise
        self.service = service
        self.frontend = frontend

    async def stop(self) -> None:
        """Drain and stop the dispatcher if it is running."""
        service = self.service
        self.service = None
        self.frontend = None
        if service is not None:
            await drain_and_stop(service)
            await close(service)


class _Lifespan:
    """The lifespan of the dispatcher, around the lifespan of the application if the application has one."""

    def __init__(
        self, middleware: DispatcherMiddleware, scope: Message, receive: Receive, send: Send
    ) -> None:
        self.middleware = middleware
        self.scope = scope
        self.receive = receive
        self.send = send
        self.startup_received = False
        self.startup_completed = False
        self.finished = False

    async def run(self) -> None:
        """Run until the server has shut the application down or the startup has failed."""
        try:
            await self.middleware.app(self.scope, self._receive_startup, self._observe_events)
        except Exception as error:
            if self._dispatcher_failed():
                await self.send({"type": "lifespan.startup.failed", "message": str(error)})
                return
            if self.startup_completed:
                await self.middleware.stop()
                raise
        if not self.finished:
            await self._run_without_application()

    def _dispatcher_failed(self) -> bool:
        """Return whether the dispatcher could not start."""
        return self.startup_received and self.middleware.service is None and not self.finished

    async def _receive_startup(self) -> Message:
        message = await self.receive()
        if message["type"] == "lifespan.startup":
            self.startup_received = True
            await self.middleware.start()
            self.scope.setdefault("state", {})[STATE_KEY] = self.middleware.frontend
        return message

    async def _observe_events(self, message: Message) -> None:
        if message["type"] == "lifespan.startup.complete":
            self.startup_completed = True
        else:
            self.finished = True
            await self.middleware.stop()
        await self.send(message)

    async def _run_without_application(self) -> None:
        """Answer the server's lifespan events for an application that does not handle them."""
        if not self.startup_received:
            await self._receive_startup()
        await self.send({"type": "lifespan.startup.complete"})
        await self.receive()
        await self.middleware.stop()
        await self.send({"type": "lifespan.shutdown.complete"})


async def _send_unavailable(send: Send, retry_after: float) -> None:
    """Reply 503 with `retry_after` seconds in the Retry-After header, rounded up to at least 1."""
    headers = [
        (b"retry-after", str(max(1, math.ceil(retry_after))).encode()),
        (b"content-type", b"text/plain"),
        (b"content-length", b"0"),
    ]
    await send({"type": "http.response.start", "status": 503, "headers": headers})
    await send({"type": "http.response.body", "body": b""})
