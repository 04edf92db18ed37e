"""The ASGI middleware around a Starlette application and around an application without a lifespan."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest
from starlette.applications import Starlette
from starlette.middleware import Middleware
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import Route

from honeyhitch import config
from honeyhitch.middleware import DispatcherMiddleware

from .program import Peer, free_port, run_async_test, write_config_files
from .rig import endpoint_row


async def deliver(request: Request) -> Response:
    time_left = float(request.query_params.get("left", "20"))
    destination = int(request.query_params.get("dest", "1"))
    await request.state.honeyhitch.deliver(
        destination, await request.body(), tenant="studio", time_left=time_left
    )
    return PlainTextResponse("delivered")


async def app_without_lifespan(scope: Any, _receive: Any, _send: Any) -> None:
    assert scope["type"] == "http", "the app does not support lifespan events"
    await scope["state"]["honeyhitch"].deliver(9, b"", time_left=0.1)


@contextlib.asynccontextmanager
async def lifespan(app: Any) -> AsyncIterator[list[dict[str, Any]]]:
    sent: list[dict[str, Any]] = []
    received: asyncio.Queue[dict[str, Any]] = asyncio.Queue()
    message_sent = asyncio.Event()

    async def send(message: Any) -> None:
        sent.append(message)
        message_sent.set()

    task = asyncio.ensure_future(app({"type": "lifespan", "state": {}}, received.get, send))
    received.put_nowait({"type": "lifespan.startup"})
    await message_sent.wait()
    yield sent
    received.put_nowait({"type": "lifespan.shutdown"})
    await task


async def post(app: Any, query: str, body: bytes = b"hi") -> tuple[int, dict[bytes, bytes]]:
    sent: list[dict[str, Any]] = []

    async def receive() -> dict[str, Any]:
        return {"type": "http.request", "body": body}

    async def send(message: Any) -> None:
        sent.append(message)

    scope = {"type": "http", "method": "POST", "path": "/", "query_string": query.encode(), "headers": []}
    await app(scope, receive, send)
    return sent[0]["status"], dict(sent[0]["headers"])


def make_config(folder: Path, agent: Peer, endpoint: Peer) -> config.Config:
    endpoint_rows = [{**endpoint_row("one", 1), "host_port": f"127.0.0.1:{endpoint.port}"}]
    endpoint_rows.append(endpoint_row("leaving", 9, phase="Terminating"))
    return config.read({}, *write_config_files(folder, free_port(), agent.port, endpoint_rows))


def test_an_application_delivers_and_a_reject_becomes_503(tmp_path: Path) -> None:
    async def work() -> None:
        agent, endpoint = await Peer().start(), await Peer().start()
        middlewares: list[DispatcherMiddleware] = []

        def middleware(inner: Any) -> DispatcherMiddleware:
            middlewares.append(DispatcherMiddleware(inner, make_config(tmp_path, agent, endpoint)))
            return middlewares[-1]

        routes = [Route("/", deliver, methods=["POST"])]
        app = Starlette(routes=routes, middleware=[Middleware(middleware)])
        async with lifespan(app) as sent:
            assert sent == [{"type": "lifespan.startup.complete"}]
            response = asyncio.ensure_future(post(app, ""))
            reader, writer = await endpoint.accept_connection()
            assert (await reader.readuntil(b"\r\n\r\nhi")).startswith(b"POST /v1/messages ")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            assert (await response)[0] == 200
            status, headers = await post(app, "dest=9&left=0.2")
            assert status == 503
            assert int(headers[b"retry-after"]) >= 1
            cancelled_request = asyncio.ensure_future(post(app, ""))
            endpoint.connection = None  # each call has a connection of its own
            reader, _ = await endpoint.accept_connection()
            await reader.readuntil(b"\r\n\r\nhi")
            cancelled_request.cancel()
            assert await reader.read(1) == b"", "cancelling a request aborts its call"
            service = middlewares[0].service
            assert service is not None
            assert not service.dispatcher.messages.by_id
        assert sent[-1] == {"type": "lifespan.shutdown.complete"}
        assert middlewares[0].service is None

    run_async_test(work())


def test_the_middleware_answers_the_lifespan_of_an_application_that_has_none(tmp_path: Path) -> None:
    async def work() -> None:
        agent, endpoint = await Peer().start(), await Peer().start()
        app = DispatcherMiddleware(app_without_lifespan, make_config(tmp_path, agent, endpoint))
        with pytest.raises(RuntimeError, match="lifespan"):
            await post(app, "")
        async with lifespan(app) as sent:
            assert sent == [{"type": "lifespan.startup.complete"}]
            assert (await post(app, ""))[0] == 503
        assert sent[-1] == {"type": "lifespan.shutdown.complete"}

    run_async_test(work())


def test_a_dispatcher_that_cannot_start_is_reported_to_the_server(monkeypatch: pytest.MonkeyPatch) -> None:
    async def work() -> None:
        monkeypatch.delenv("ROUTER_CONFIG", raising=False)
        sent: list[Any] = []

        async def receive() -> Any:
            return {"type": "lifespan.startup"}

        async def send(message: Any) -> None:
            sent.append(message)

        await DispatcherMiddleware(Starlette())({"type": "lifespan", "state": {}}, receive, send)
        assert [message["type"] for message in sent] == ["lifespan.startup.failed"]
        assert "ROUTER_CONFIG" in sent[0]["message"]

    run_async_test(work())
