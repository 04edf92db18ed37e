"""Log events: both formats, the limit on repeated events, and no events for a delivered message."""

from __future__ import annotations

import io
import json
from collections.abc import Iterator
from pathlib import Path

import pytest
import structlog
from click.testing import CliRunner

from honeyhitch import logs
from honeyhitch.cli.main import main

from .program import Peer, run_async_test, running_program
from .rig import endpoint_row
from .test_exchanges import decode_escapes
from .test_program import ENQUEUE, receive


@pytest.fixture(autouse=True)
def restore_log_setup() -> Iterator[None]:
    yield
    logs.setup()


def events(stream: io.StringIO) -> list[dict[str, object]]:
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def test_an_event_has_named_fields_in_both_forms() -> None:
    stream = io.StringIO()
    logs.setup("json", "info", stream)
    logs.get_logger(part="core").warning("journal.full", record="attempt")
    logs.get_logger().debug("below.the.level")
    (event,) = events(stream)
    assert event.pop("timestamp")
    assert event == {"event": "journal.full", "level": "warning", "part": "core", "record": "attempt"}
    stream = io.StringIO()
    logs.setup("console", "info", stream)
    try:
        raise RuntimeError("a fault")
    except RuntimeError:
        logs.get_logger().exception("call.failed", member="one")
    first_line = stream.getvalue().splitlines()[0]
    assert "call.failed" in first_line
    assert "member=one" in first_line
    assert "RuntimeError: a fault" in stream.getvalue()


@pytest.mark.parametrize(("log_format", "level"), [("xml", "info"), ("json", "loud")])
def test_an_unknown_format_or_level_is_refused(log_format: str, level: str) -> None:
    with pytest.raises(ValueError, match="expected one of"):
        logs.setup(log_format, level)
    result = CliRunner().invoke(main, ["serve", "--log-format", log_format, "--log-level", level])
    assert result.exit_code == 2
    assert "xml" in result.output or "loud" in result.output


def test_repeats_are_limited_by_name_and_key_and_counted() -> None:
    now = [0.0]
    limiter = logs.EventLimiter(lambda: now[0], burst=2, burst_seconds=10.0)

    def passes(name: str, key: str = "") -> bool:
        try:
            limiter(None, "info", {"event": name, "key": key})
        except structlog.DropEvent:
            return False
        return True

    assert [passes("a", "x") for _ in range(5)] == [True, True, False, False, False]
    assert passes("a", "y"), "each key has its own count"
    assert passes("b", "x"), "each name has its own count"
    now[0] = 10.0
    assert limiter(None, "info", {"event": "a", "key": "x"}) == {"event": "a", "key": "x", "left_out": 3}
    assert [passes("a", "x") for _ in range(2)] == [True, False]
    now[0] = 20.0
    assert limiter.take_suppressed() == [("a", "x", 1)]
    assert limiter.take_suppressed() == []


def test_the_table_of_keys_is_bounded() -> None:
    limiter = logs.EventLimiter(lambda: 0.0)
    for i in range(3 * logs.MAX_KEYS):
        limiter(None, "info", {"event": "a", "key": str(i)})
    assert len(limiter.bursts) == logs.MAX_KEYS


def test_suppressed_events_are_counted_at_the_end() -> None:
    stream = io.StringIO()
    logs.setup("json", "info", stream)
    for _ in range(logs.BURST_EVENTS + 7):
        logs.get_logger().warning("accept.failed", error="no descriptor")
    logs.flush(include_unfinished=True)
    logged = events(stream)
    assert len(logged) == logs.BURST_EVENTS + 1
    assert logged[-1]["left_out"] == 7


def test_nothing_is_logged_for_a_message_that_is_delivered(tmp_path: Path) -> None:
    stream = io.StringIO()
    logs.setup("json", "debug", stream)

    async def work() -> None:
        agent, endpoint, client = await Peer().start(), await Peer().start(), Peer()
        endpoint_rows = [{**endpoint_row("one", 1), "host_port": f"127.0.0.1:{endpoint.port}"}]
        async with running_program(tmp_path, agent.port, endpoint_rows) as port:
            stream.truncate(0)
            await client.dial(port)
            assert client.connection is not None
            client.connection[1].write(decode_escapes(ENQUEUE))
            await receive(client, b"+OK\r\n")
            reader, writer = await endpoint.accept_connection()
            await reader.readuntil(b"body")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            client.connection[1].write(b"PING\r\n")
            await receive(client, b"+PONG\r\n")
            while b'"end"' not in (tmp_path / "state" / "journal").read_bytes():
                client.connection[1].write(b"PING\r\n")
                await receive(client, b"+PONG\r\n")
            # The only event expected here reports that the scripted agent does not answer.
            assert [event for event in events(stream) if event.get("work") != "Discovery.watch"] == []

    run_async_test(work())
