"""Messages of different classes that are sent to one endpoint in one round, in virtual time."""

from __future__ import annotations

import dataclasses
from pathlib import Path

from honeyhitch.journal.transactions import Transaction
from honeyhitch.policy.settings import Idempotency

from .rig import STANDARD_CLASS, DispatcherRig
from .world import SECOND

BATCH_DESTINATION = 2
CLASSES = (
    dataclasses.replace(STANDARD_CLASS, idempotency=Idempotency.IDEMPOTENT, deduplication_window=0),
    dataclasses.replace(STANDARD_CLASS, idempotency=Idempotency.NON_IDEMPOTENT, deduplication_window=0),
)


# Guards against a message that times out in a call whose other messages have a longer timeout, and is sent
# again while that call is still in flight.
def test_no_message_is_sent_again_while_its_call_is_in_flight_for_another_class(tmp_path: Path) -> None:
    rig = DispatcherRig(tmp_path, classes=CLASSES)
    for index in range(len(CLASSES)):
        deadline = rig.time.time + 20 * SECOND
        rig.dispatcher.submit(Transaction(f"m{index}", index, BATCH_DESTINATION, deadline, b"body"))
    calls = rig.advance(0.1)
    assert sorted(message.id for call in calls for message in call.messages) == ["m0", "m1"]
    ended = {id(call): call.sent_at + call.timeout for call in calls}  # no call is answered
    for _ in range(300):
        for call in rig.advance(0.05):
            for earlier in calls:
                in_flight = {message.id for message in earlier.messages if ended[id(earlier)] > call.sent_at}
                assert not in_flight & {message.id for message in call.messages}
            calls.append(call)
            ended[id(call)] = call.sent_at + call.timeout
