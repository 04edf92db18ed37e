"""ASGI middleware: it gives an application the dispatcher and runs it over the application's lifespan."""

from __future__ import annotations

import asyncio
import math
import os
import secrets
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

from honeyhitch import config as configuration
from honeyhitch.dispatcher.delivery import Admission
from honeyhitch.dispatcher.dispatcher import Dispatcher
from honeyhitch.journal.transactions import Ending, Transaction
from honeyhitch.protocols.transaction_parser import TransactionParser
from honeyhitch.service.assembly import assemble
from honeyhitch.service.service import Service
from honeyhitch.service.shutdown import close, drain_and_stop
from honeyhitch.service.start import start

SECOND = 10**9  # ns
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
App = Callable[[Message, Receive, Send], Awaitable[None]]


class RejectedError(Exception):
    """The message was not done; handing it in again after `come_back` seconds is harmless."""

    def __init__(self, retry_after: float) -> None:
        super().__init__(f"rejected; come back after {retry_after:g} s")
        self.retry_after = retry_after


class UndeliverableError(Exception):
    """The message failed for good."""


class AppFrontend:
    """The front of an application in the same process: it hands in and waits for final answers."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        self.dispatcher, self.fields = (
            dispatcher,
            TransactionParser(dispatcher.settings, dispatcher.pool.has_destination),
        )
        self.pending: dict[str, asyncio.Future[Transaction]] = {}

    def answer(self, transaction: Transaction) -> None:
        """A final answer; after a restart of the process nobody waits for it any more."""
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
        """Hand a message in without waiting for its end; its id. Raises Rejected.

        ValueError names a field that cannot be used.
        """
        settings = self.dispatcher.settings
        left = settings.classes[0].deadline / SECOND if time_left is None else time_left
        name = secrets.token_hex(8)
        told = {"c": settings.classes[0].name if cls is None else cls, "dest": str(destination)}
        told |= {"k": key or name, "d": str(max(0, int(left * 1000)))}
        told["t"] = tenant if tenant is not None else next(iter(settings.tenant_names), "")
        now = self.dispatcher.scheduler.now()
        transaction = self.fields.parse(name.encode(), told, body, now)
        transaction.frontend = "app"
        admission: Admission = self.dispatcher.submit(transaction)
        if not admission.accepted:
            raise RejectedError(admission.retry_after / SECOND)
        return name

    async def deliver(self, destination: int, body: bytes, **more: Any) -> str:
        """Hand a message in and wait till it is delivered; its id. Raises Rejected or Undeliverable.

        A caller that is cancelled withdraws the message: nothing more is tried for it.
        """
        name = self.submit(destination, body, **more)
        waiter = self.pending[name] = asyncio.get_running_loop().create_future()
        try:
            ended = await waiter
        except asyncio.CancelledError:
            self.dispatcher.withdraw(name)
            raise
        finally:
            self.pending.pop(name, None)
        if ended.ending is Ending.REJECTED:
            raise RejectedError(ended.retry_after / SECOND)
        if ended.ending is not Ending.DELIVERED:
            raise UndeliverableError(name)
        return name


class DispatcherMiddleware:
    """Wraps an ASGI application. In it, `scope["state"]["honeyhitch"]` is the AppFront.

    The dispatcher starts before the application's own start and stops after its end. An application that
    lets Rejected out before it has begun to answer gives its client 503 with Retry-After. Add it as the
    framework's own middleware: outside of one that answers 500 for every exception it would come too late.
    """

    def __init__(self, app: App, config: configuration.Config | None = None, listen: bool = False) -> None:
        self.app, self.config, self.listen = app, config, listen
        self.service: Service | None = None
        self.frontend: AppFrontend | None = None

    async def __call__(self, scope: Message, receive: Receive, send: Send) -> None:
        """One ASGI scope."""
        if scope["type"] == "lifespan":
            await self._lifespan(scope, receive, send)
            return
        if self.frontend is None:
            raise RuntimeError("the dispatcher is not running: the server must run the lifespan")
        scope.setdefault("state", {})["honeyhitch"] = self.frontend
        if scope["type"] != "http":
            await self.app(scope, receive, send)
            return
        begun = False

        async def watched(message: Message) -> None:
            nonlocal begun
            begun = begun or message["type"] == "http.response.start"
            await send(message)

        try:
            await self.app(scope, receive, watched)
        except RejectedError as reject:
            if begun:
                raise
            wait = str(max(1, math.ceil(reject.retry_after))).encode()
            headers = [(b"retry-after", wait), (b"content-type", b"text/plain"), (b"content-length", b"0")]
            await send({"type": "http.response.start", "status": 503, "headers": headers})
            await send({"type": "http.response.body", "body": b""})

    async def _start(self) -> None:
        service = assemble(self.config or configuration.read(os.environ), self.listen)
        front = service.dispatcher.frontends["app"] = AppFrontend(service.dispatcher)
        try:
            start(service, self.listen)
        except BaseException:
            await close(service)
            raise
        self.service, self.frontend = service, front

    async def _stop(self) -> None:
        service, self.service, self.frontend = self.service, None, None
        if service is not None:
            await drain_and_stop(service)
            await close(service)

    async def _lifespan(self, scope: Message, receive: Receive, send: Send) -> None:
        """The application's own lifespan runs inside the dispatcher's, if it has one."""
        asked = up = finished = False

        async def inner_receive() -> Message:
            nonlocal asked
            message = await receive()
            if message["type"] == "lifespan.startup":
                asked = True
                await self._start()
                scope.setdefault("state", {})["honeyhitch"] = self.frontend
            return message

        async def inner_send(message: Message) -> None:
            nonlocal up, finished
            up = up or message["type"] == "lifespan.startup.complete"
            if message["type"] != "lifespan.startup.complete":
                finished = True
                await self._stop()
            await send(message)

        try:
            await self.app(scope, inner_receive, inner_send)
        except Exception as error:
            if asked and self.service is None and not finished:  # the dispatcher could not start
                await send({"type": "lifespan.startup.failed", "message": str(error)})
                return
            if up:
                await self._stop()
                raise
        if not finished:  # the application knows no lifespan; the dispatcher has one all the same
            if not asked:
                await inner_receive()
            await send({"type": "lifespan.startup.complete"})
            await receive()
            await self._stop()
            await send({"type": "lifespan.shutdown.complete"})
