"""A broker that publishes at full speed and loses the answers makes a real process exceed no limit."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from honeyhitch.protocols.mqtt_packets import Kind, Packet

from .broker import Broker, ClientSession
from .faults.limited import limited_dispatcher, list_endpoint, ordinary_clients
from .polling import poll_condition
from .processes import CountingEndpoint
from .program import run_async_test

PUBLISHES = 3000
BATCH = 20  # publishes between two writes
MEMORY_MB = 48


def publish(number: int, padding: int) -> Packet:
    """Return an invalid publish whose id and correlation data have this length."""
    packet = Packet(Kind.PUBLISH, id=number, topic="in", payload=b"body", qos=1)
    packet.properties = {"response_topic": "re/client", "correlation": bytes(padding)}
    packet.user = [("id", f"{number:x}".rjust(padding, "0")), ("c", "none")]
    return packet


# Guards against answers that a broker does not take and that are kept without a limit.
@pytest.mark.parametrize("padding", [64, 30_000])
def test_answers_that_a_broker_does_not_take_exceed_no_limit(tmp_path: Path, padding: int) -> None:
    async def work() -> None:
        endpoint, broker = await CountingEndpoint(lambda: None).start(), Broker()
        await broker.start()
        broker.answers_lost = True
        agent = await list_endpoint(endpoint.port)
        operator = f'[mqtt]\nbroker = "127.0.0.1:{broker.port}"\nintake = "in"\n'
        async with limited_dispatcher(tmp_path, agent, MEMORY_MB, operator=operator) as dispatcher:
            await poll_condition(lambda: broker.subscribed("n0-intake"))
            publisher = ClientSession()
            async with ordinary_clients(dispatcher.port) as clients:
                for number in range(PUBLISHES if padding < BATCH * BATCH else PUBLISHES // 3):
                    broker._handle_publish(publisher, publish(number, padding))  # noqa: SLF001
                    broker.published.clear()
                    writer = broker.sessions["n0-intake"].writer
                    if writer is not None and not number % BATCH:
                        await asyncio.sleep(0.005)
                await asyncio.sleep(1.0)
            assert dispatcher.check(*clients) == []

    run_async_test(work())
