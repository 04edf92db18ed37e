"""Tests of which failed calls mark their connection as stale, in addition to those in tests/programs."""

from __future__ import annotations

import socket

import pytest
import uvloop

from honeyhitch.dispatcher.delivery import Call
from honeyhitch.endpoints.endpoint import PoolEndpoint
from honeyhitch.policy.events import Outcome
from honeyhitch.protocols import http1
from honeyhitch.protocols.buffer import Buffer
from honeyhitch.transports.channel import PlainChannel
from honeyhitch.transports.http_transport import CallProgress, Connection, failed_result

from .rig import START
from .test_exchanges import messages


@pytest.mark.parametrize(
    ("reused", "written", "received", "outcome", "expected_outcome", "stale"),
    [
        pytest.param(
            True,
            True,
            b"",
            Outcome.RESET,
            Outcome.RESET,
            True,
            id="a reused one that breaks after the request",
        ),
        pytest.param(
            True,
            False,
            b"",
            Outcome.RESET,
            Outcome.CONNECT_FAILED,
            True,
            id="a reused one that breaks before it",
        ),
        pytest.param(False, True, b"", Outcome.RESET, Outcome.RESET, False, id="a new one that breaks"),
        pytest.param(
            True,
            True,
            b"HTTP/1.1 5",
            Outcome.RESET,
            Outcome.RESET,
            False,
            id="a reused one that began to answer",
        ),
        pytest.param(
            True, True, b"", Outcome.TIMEOUT, Outcome.TIMEOUT, False, id="a reused one that stays silent"
        ),
        pytest.param(
            True,
            True,
            b"HTTP/1.1 200 OK",
            Outcome.RESET,
            Outcome.DELIVERED,
            False,
            id="a reused one that breaks after a 200",
        ),
    ],
)
def test_a_reused_connection_that_breaks_without_a_response_is_stale(
    reused: bool, written: bool, received: bytes, outcome: Outcome, expected_outcome: Outcome, stale: bool
) -> None:
    endpoint = PoolEndpoint("m", "127.0.0.1:9", 1)
    parser = http1.ResponseParser()
    if received:
        parser.feed(received)
    with socket.socket() as sock:
        progress = CallProgress()
        channel = PlainChannel(uvloop.new_event_loop(), sock)
        progress.connection = Connection(channel, endpoint.address, Buffer(), parser, START if reused else 0)
        progress.written = written
        call = Call(endpoint, messages(1), [0], [0], START, [True])
        result = failed_result(call, progress, outcome)
    assert (result.outcomes[0][0], result.connection_stale) == (expected_outcome, stale)
