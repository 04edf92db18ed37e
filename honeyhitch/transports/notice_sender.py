"""Sends notices of messages' final answers to the platform's agent."""

from __future__ import annotations

import asyncio
from http import HTTPStatus

from honeyhitch import logs
from honeyhitch.dispatcher.dispatcher import Dispatcher
from honeyhitch.journal.transactions import Transaction
from honeyhitch.protocols import http1, notices
from honeyhitch.protocols.buffer import Buffer
from honeyhitch.transports import sockets
from honeyhitch.transports.list_watch import send_request

log = logs.get_logger()


class NoticeSender:
    """The frontend for clients that use RESP: it tells the agent at `address` (HOST:PORT) how messages end.

    `pending` holds the transactions whose notices the agent has not confirmed yet.
    """

    def __init__(self, address: str, dispatcher: Dispatcher, loop: asyncio.AbstractEventLoop) -> None:
        self.address = address
        self.dispatcher = dispatcher
        self.loop = loop
        self.pending: list[Transaction] = []
        self._added = asyncio.Event()

    def answer(self, transaction: Transaction) -> None:
        """Send the agent a notice of the final answer."""
        self.pending.append(transaction)
        self._added.set()

    async def run(self) -> None:
        """Send notices until cancelled.

        Unconfirmed notices are sent again. The agent responds immediately, so a connection without a response
        is considered dead, and a second notice of the same final answer is harmless.
        """
        response_timeout = notices.response_timeout()
        while True:
            if not self.pending:
                self._added.clear()
                await self._added.wait()
            batch = self.pending[: notices.MAX_NOTICES_PER_REQUEST]
            try:
                async with asyncio.timeout(response_timeout.current):
                    await self._post(batch)
            except (OSError, http1.HttpError) as error:
                response_timeout.record_failure()
                log.warning("notices.unconfirmed", error=f"{type(error).__name__}: {error}", key=self.address)
                await asyncio.sleep(response_timeout.retry_pause)
                continue
            response_timeout.record_response()
            del self.pending[: len(batch)]
            for transaction in batch:
                self.dispatcher.answer_sent(transaction)

    async def _post(self, batch: list[Transaction]) -> None:
        """Send notices in one request, on a connection that carries no other request.

        On a shared connection, a response that is delivered twice would confirm notices that the agent did
        not receive. Raise OSError if the connection breaks or the agent rejects the request, and HttpError if
        the response is malformed.
        """
        sock = await sockets.connect(self.loop, self.address)
        try:
            request = notices.encode_request(batch, self.address)
            response = await send_request(self.loop, sock, Buffer(), request)
        finally:
            sock.close()
        if response.status != HTTPStatus.NO_CONTENT:
            raise ConnectionError(
                f"notices: expected HTTP status {HTTPStatus.NO_CONTENT}, got {response.status}"
            )
