"""What the end of a call says of its connection, beside what the programs in tests/programs show."""

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
from honeyhitch.transports.http_transport import CallProgress, Connection, HttpTransport

from .rig import START
from .test_exchanges import parts


@pytest.mark.parametrize(
    ("kept", "written", "came", "outcome", "told", "stale"),
    [
        (True, True, b"", Outcome.RESET, Outcome.RESET, True),
        (True, False, b"", Outcome.RESET, Outcome.CONNECT_FAILED, True),
        (False, True, b"", Outcome.RESET, Outcome.RESET, False),
        (True, True, b"HTTP/1.1 5", Outcome.RESET, Outcome.RESET, False),
        (True, True, b"", Outcome.TIMEOUT, Outcome.TIMEOUT, False),
        (True, True, b"HTTP/1.1 200 OK", Outcome.RESET, Outcome.DELIVERED, False),
    ],
)
def test_a_kept_connection_that_breaks_without_a_word_is_stale(
    kept: bool, written: bool, came: bytes, outcome: Outcome, told: Outcome, stale: bool
) -> None:
    member = PoolEndpoint("m", "127.0.0.1:9", 1)
    machine = http1.ResponseParser()
    if came:
        machine.feed(came)
    with socket.socket() as sock:
        progress = CallProgress()
        channel = PlainChannel(uvloop.new_event_loop(), sock)
        progress.connection = Connection(channel, member.address, Buffer(), machine, START if kept else 0)
        progress.written = written
        call = Call(member, parts(1), [0], [0], START, [True])
        result = HttpTransport._failed_result(call, progress, outcome)
    assert (result.outcomes[0][0], result.connection_stale) == (told, stale)
