"""A process that starts with an outdated list sends nothing by it that discovery would have prevented."""

from __future__ import annotations

import asyncio
import copy
from pathlib import Path

import pytest

from .agent import Agent
from .processes import CountingEndpoint, killed_at_end, listening_port, spawn, wait_until_serving
from .program import SETTINGS, enqueue, run_async_test, write_config_files
from .rig import endpoint_row

LARGE_FLEET = 48  # the first requests of so many dispatchers to discovery are spread over a second
SETTLE_SECONDS = 1.5


# Guards against a message that reaches another partner, whose endpoint has taken over an address of the list
# `known`, before discovery has answered for the first time.
@pytest.mark.parametrize("instances", [LARGE_FLEET])
def test_after_a_start_no_call_goes_to_an_address_that_another_destination_has(
    tmp_path: Path, instances: int
) -> None:
    async def work() -> None:
        endpoint = await CountingEndpoint(lambda: None).start()
        address = {"host_port": f"127.0.0.1:{endpoint.port}"}
        agent = await Agent([endpoint_row("e-2", 2) | address]).start()
        agent.revision = 2

        def send_list() -> None:
            listed = agent.complete_list()
            agent.watches[-1].write(b"%x\r\n%s\r\n" % (len(listed), listed))

        agent.on_watch = send_list
        settings = copy.deepcopy(SETTINGS) | {"replicas-of-me": instances}
        known = [endpoint_row("e-1", 1) | address]
        port = listening_port()
        path, _ = write_config_files(tmp_path, port, agent.port, known, settings=settings)
        process = await spawn(path)
        async with killed_at_end([process]):
            await wait_until_serving(process, port)
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(enqueue("m"))
            assert (await reader.readline()).startswith(b"+OK")
            await asyncio.sleep(SETTLE_SECONDS)
            writer.close()
        assert not endpoint.calls

    run_async_test(work())
