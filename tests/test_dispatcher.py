"""Tests of the dispatcher with stand-in ports, in virtual time."""

from __future__ import annotations

import dataclasses
from pathlib import Path

import pytest

from honeyhitch.endpoints.endpoint import PoolEndpoint
from honeyhitch.journal.transactions import Ending
from honeyhitch.policy.events import Outcome
from honeyhitch.policy.settings import DestinationKind

from .rig import ENDPOINT_LIST, STANDARD_CLASS, DispatcherRig, VirtualTime, endpoint_row
from .world import MS, SECOND


def test_a_message_is_sent_immediately_and_its_delivery_concludes_it(tmp_path: Path) -> None:
    rig = DispatcherRig(tmp_path)
    assert rig.submit("a")
    (call,) = rig.advance(0.1)
    assert call.endpoint.id == "s-1"
    assert [message.id for message in call.messages] == ["a"]
    rig.end(call, Outcome.DELIVERED)
    assert not rig.dispatcher.messages.by_id
    assert not rig.answers


def test_sends_of_one_round_share_a_call_up_to_the_limit_of_the_kind(tmp_path: Path) -> None:
    rig = DispatcherRig(tmp_path)
    for name in "abcde":
        rig.submit(name, dest=2)
    calls = rig.advance(0.006)
    assert sorted(len(call.messages) for call in calls) == [2, 3]
    assert all(call.endpoint.id == "s-2" for call in calls)


def test_more_than_max_messages_are_rejected_with_a_retry_after(tmp_path: Path) -> None:
    rig = DispatcherRig(tmp_path)
    assert all(rig.submit(f"m{i}") for i in range(8))
    assert not rig.submit("m8")
    assert rig.submit("m3"), "a duplicate of a held message is neither rejected nor held twice"
    assert len(rig.dispatcher.messages) == 8


def test_a_retry_after_holds_for_the_entire_destination_on_every_transport(tmp_path: Path) -> None:
    # One partner is reached over two protocols: a Retry-After received on the first applies to the second.
    rig = DispatcherRig(tmp_path)
    rig.dispatcher.pool.pin(PoolEndpoint("topic", "partner/1", 1, transport="mqtt"))
    rig.dispatcher.apply_list_update(rig.dispatcher.pool.update(ENDPOINT_LIST))
    rig.submit("a")
    (call,) = rig.advance(0.1)
    rig.end(call, Outcome.REJECTED, retry_after=2 * SECOND)
    received_at = rig.time.time
    rig.submit("b")
    assert not rig.advance(1.9)
    later_calls = rig.advance(3)
    assert later_calls
    assert all(call.sent_at >= received_at + 2 * SECOND for call in later_calls)


def test_a_retry_after_with_a_delivered_batch_applies_to_the_destination(tmp_path: Path) -> None:
    rig = DispatcherRig(tmp_path)
    rig.submit("a", dest=2)
    (call,) = rig.advance(0.1)
    rig.end(call, Outcome.DELIVERED, retry_after=2 * SECOND)
    rig.submit("b", dest=2)
    assert not rig.advance(1.9)
    assert rig.advance(1)


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT])
def test_a_message_with_a_key_is_not_repeated_outside_its_deduplication_window(
    tmp_path: Path, outcome: Outcome
) -> None:
    rig = DispatcherRig(tmp_path)
    rig.submit("a")
    (first,) = rig.advance(0.1)
    rig.end(first, outcome)
    while not rig.answers:
        for call in rig.advance(0.5):
            assert call.sent_at <= first.sent_at + 5 * SECOND
            rig.end(call, outcome)
    assert rig.answers[0].ending is Ending.REJECTED
    assert not rig.advance(30)


def test_a_message_that_expires_ends_while_its_call_stays_in_flight(tmp_path: Path) -> None:
    rig = DispatcherRig(tmp_path)
    rig.submit("short", dest=2, left=200 * MS)
    rig.submit("long", dest=2)
    (call,) = rig.advance(0.1)
    rig.advance(0.2)
    assert [answer.id for answer in rig.answers] == ["short"]
    # The reply is too late for one message, so it is unknown whether the reply counts for the other.
    rig.end(call, Outcome.DELIVERED)
    assert list(rig.dispatcher.messages.by_id) == ["long"]
    assert len(rig.answers) == 1
    (repeated,) = rig.advance(1)
    assert [message.id for message in repeated.messages] == ["long"]
    assert repeated.attempt_numbers == [1]
    rig.end(repeated, Outcome.DELIVERED)
    assert not rig.dispatcher.messages.by_id
    assert len(rig.answers) == 1


def test_a_restart_resumes_inside_the_deduplication_window_only(tmp_path: Path) -> None:
    rig = DispatcherRig(tmp_path)
    rig.submit("a")
    assert len(rig.advance(0.1)) == 1
    recovered = DispatcherRig(tmp_path, rig.time)
    (repeated,) = recovered.advance(0.1)
    assert repeated.messages[0].attempt_count == 2
    assert repeated.attempt_numbers == [1]
    assert repeated.messages[0].body == b"body"
    rig.time.advance(6)
    expired = DispatcherRig(tmp_path, rig.time)
    assert not expired.advance(1)
    assert [answer.ending for answer in expired.answers] == [Ending.REJECTED]


@pytest.mark.parametrize("down_for", [0.2, 0.6, 1.1, 4.0])
@pytest.mark.parametrize("restarts", [1, 3])
def test_a_deduplication_window_of_one_second_holds_over_restarts(
    tmp_path: Path, down_for: float, restarts: int
) -> None:
    """A message that may have been executed is only repeated inside its window, whenever restarts happen."""
    message_class = dataclasses.replace(STANDARD_CLASS, deduplication_window=SECOND)
    time = VirtualTime()
    rig = DispatcherRig(tmp_path, time, classes=(message_class,))
    rig.submit("a")
    calls = rig.advance(0.05)
    (first,) = calls
    for _ in range(restarts):
        time.advance(down_for)
        rig = DispatcherRig(tmp_path, time, classes=(message_class,))
        calls += rig.advance(0.05)
    for _ in range(4):  # each further call may have been executed as well
        for call in rig.calls:
            if any(call.pending):
                rig.end(call, Outcome.RESET)
        calls += rig.advance(1.5)
    assert all(call.sent_at <= first.sent_at + SECOND for call in calls)
    assert (len(calls) > 1) is (down_for < 1), "the message is repeated if its window is still open"
    assert not rig.dispatcher.messages.by_id
    assert all(answer.ending is Ending.REJECTED for answer in rig.answers)


# Guards against a key that is executed twice: its message was rejected after an attempt that may have been
# executed, and comes again inside the window, but can be sent only after it.
@pytest.mark.parametrize("restarted", [False, True])
@pytest.mark.parametrize("resubmissions", [1, 2])
def test_a_copy_of_a_rejected_message_is_not_sent_after_the_window_of_the_first_one(
    tmp_path: Path, restarted: bool, resubmissions: int
) -> None:
    rig = DispatcherRig(tmp_path)
    rig.submit("a", key="k")
    (first,) = rig.advance(0.1)
    rig.end(first, Outcome.RESET)
    (second,) = rig.advance(1)
    rig.end(second, Outcome.REJECTED, retry_after=5 * SECOND)  # until the window is over
    rig.advance(0.1)
    assert [answer.ending for answer in rig.answers] == [Ending.REJECTED]
    if restarted:
        rig.journal.compact()
        rig.journal.close()
        rig = DispatcherRig(tmp_path, rig.time)
        rig.dispatcher.retry_after_received(rig.dispatcher.pool.endpoints["s-1"], 5 * SECOND)
    for number in range(resubmissions):
        assert rig.submit(f"copy-{number}", key="k", recovered_from_journal=True)
        rig.advance(1)
    later = [call for call in rig.advance(20) if call.sent_at > first.sent_at + 5 * SECOND]
    assert not later
    assert not rig.dispatcher.messages.by_id


def test_a_copy_of_a_rejected_message_is_sent_inside_the_window_of_the_first_one(tmp_path: Path) -> None:
    rig = DispatcherRig(tmp_path)
    rig.submit("a", key="k", left=2 * SECOND)
    (first,) = rig.advance(0.1)
    rig.end(first, Outcome.RESET)
    (second,) = rig.advance(1)
    rig.end(second, Outcome.REJECTED, retry_after=2 * SECOND)
    rig.advance(0.1)
    rig.submit("copy", key="k")
    (call,) = rig.advance(2.5)
    assert call.sent_at <= first.sent_at + 5 * SECOND


def test_a_restart_repeats_an_unconfirmed_answer_and_nothing_else(tmp_path: Path) -> None:
    rig = DispatcherRig(tmp_path)
    rig.confirms_answers = False
    rig.submit("a", dest=9, left=SECOND)  # no endpoint serves it
    rig.advance(2)
    assert len(rig.answers) == 1
    restarted = DispatcherRig(tmp_path, rig.time)
    assert [answer.id for answer in restarted.answers] == ["a"]
    assert not restarted.advance(30)
    assert not DispatcherRig(tmp_path, rig.time).answers


def test_a_restart_past_the_deadline_answers_immediately(tmp_path: Path) -> None:
    rig = DispatcherRig(tmp_path)
    rig.submit("a")
    rig.time.advance(0)
    rig.time.time += 60 * SECOND
    restarted = DispatcherRig(tmp_path, rig.time)
    restarted.advance(0.01)
    assert [answer.id for answer in restarted.answers] == ["a"]


def test_a_copy_of_a_delivered_key_keeps_the_first_window_and_is_answered_over_mqtt(tmp_path: Path) -> None:
    rig = DispatcherRig(tmp_path)
    rig.submit("a", key="k")
    (call,) = rig.advance(0.1)
    rig.end(call, Outcome.DELIVERED)
    rig.advance(1)
    restarted = DispatcherRig(tmp_path, rig.time)  # the key is remembered over a restart
    restarted.submit("b", key="k")
    (copy,) = restarted.advance(0.1)
    restarted.end(copy, Outcome.DELIVERED)
    restarted.submit("c", key="k", frontend="mqtt")
    restarted.advance(0.1)
    assert [(answer.id, answer.ending) for answer in restarted.answers] == [("c", Ending.DELIVERED)]
    restarted.advance(4.5)  # inside the copy's own window, but after the window of the first message
    restarted.submit("d", key="k")
    assert not restarted.advance(1), "a duplicate is not sent after the first window"
    assert restarted.answers[-1].id == "d"
    assert restarted.answers[-1].ending is Ending.REJECTED
    restarted.advance(30)
    restarted.submit("e", key="k")
    assert restarted.advance(1), "after the retention the message is not a duplicate"


def test_a_full_journal_rejects_and_never_crashes(tmp_path: Path) -> None:
    rig = DispatcherRig(tmp_path, max_journal_bytes=60_000, max_messages=10_000)
    accepted = [rig.submit(f"m{i}") for i in range(300)]
    assert accepted[0]
    assert not accepted[-1]
    rig.advance(40)
    used = sum(-(-file.stat().st_size // 512) * 512 for file in tmp_path.iterdir())
    assert used <= 60_000
    for call in rig.calls:
        rig.end(call, Outcome.TIMEOUT)
    rig.advance(30)
    assert not rig.dispatcher.messages.by_id, "each accepted message was concluded"
    assert rig.submit("later")


def test_a_draining_endpoint_gets_nothing_new(tmp_path: Path) -> None:
    rig = DispatcherRig(tmp_path)
    rig.advance(0.1)
    changes = {"revision": 2, "complete": False, "members": [endpoint_row("s-1", 1, phase="Terminating")]}
    rig.dispatcher.apply_list_update(rig.dispatcher.pool.update(changes))
    rig.submit("a")
    assert not rig.advance(1)


def test_messages_that_cannot_outlive_a_restart_are_rejected_before_it(tmp_path: Path) -> None:
    rig = DispatcherRig(tmp_path)
    rig.submit("first")
    (call,) = rig.advance(0.1)
    rig.end(call, Outcome.REJECTED, retry_after=2 * SECOND)
    rig.submit("brief", left=3 * SECOND)
    rig.submit("long", left=12 * SECOND)
    rig.advance(1)
    assert not rig.answers
    rig.dispatcher.stop_deciding(2500 * MS)
    (answer,) = rig.answers
    assert answer.id == "brief"
    assert answer.ending is Ending.REJECTED
    assert answer.retry_after > 0
    assert {"first", "long"} == set(rig.dispatcher.messages.by_id)
    assert not rig.advance(20), "no call is started after stop_deciding"


def test_a_call_in_flight_at_a_restart_ends_by_its_outcome(tmp_path: Path) -> None:
    rig = DispatcherRig(tmp_path)
    rig.submit("out", left=2 * SECOND)
    (call,) = rig.advance(0.1)
    rig.dispatcher.stop_deciding(5 * SECOND)
    assert not rig.answers
    rig.end(call, Outcome.DELIVERED)
    assert not rig.dispatcher.messages.by_id
    assert not rig.answers


@pytest.mark.parametrize(
    "limits_per_endpoint", [True, False], ids=["limits of each endpoint", "limits of the destination"]
)
def test_a_retry_after_outlasts_an_endpoint_that_leaves_the_list_and_returns(
    tmp_path: Path, limits_per_endpoint: bool
) -> None:
    kinds = (
        DestinationKind(max_messages_per_call=3, name="large"),
        DestinationKind(limits_per_endpoint=limits_per_endpoint, name="small"),
    )
    rig = DispatcherRig(tmp_path, kinds=kinds)
    rig.submit("a")
    (call,) = rig.advance(0.1)
    rig.end(call, Outcome.REJECTED, retry_after=3 * SECOND)
    retry_after_until = rig.time.time + 3 * SECOND
    for revision, phase in ((2, "Gone"), (3, "Ready")):
        change = {"revision": revision, "members": [endpoint_row("s-1", 1, phase=phase)]}
        rig.dispatcher.apply_list_update(rig.dispatcher.pool.update(change))
        rig.advance(0.1)
    rig.submit("b")
    calls = rig.advance(6)
    assert calls
    assert all(call.sent_at >= retry_after_until for call in calls), "a call started during the Retry-After"


def test_a_restart_ends_each_retry_after_received_before_it(tmp_path: Path) -> None:
    rig = DispatcherRig(tmp_path)
    assert rig.submit("a", left=2 * SECOND)
    rig.dispatcher.journal.record_retry_after(1, "s-1", rig.time.time + 10 * SECOND)
    restarted = DispatcherRig(tmp_path, rig.time)
    attempted = [message.id for call in restarted.advance(1) for message in call.messages]
    assert attempted == ["a"], "the message is attempted"
    assert not restarted.answers, "the message is not rejected for a Retry-After that the restart ended"


@pytest.mark.parametrize("how", ["delivered too late", "no attempts left", "withdrawn"])
def test_a_retry_after_applies_however_its_call_ended(tmp_path: Path, how: str) -> None:
    """The Retry-After of a call counts even if no outcome of the call does.

    The cases are a batch delivered after one of its messages expired, a batch whose messages have no attempts
    left, and a batch whose messages were all withdrawn before the reply arrived.
    """
    rig = DispatcherRig(tmp_path)
    rig.submit("brief", dest=2, left=2 * SECOND)
    rig.submit("long", dest=2)
    (call,) = rig.advance(0.1)
    assert len(call.messages) == 2
    if how == "delivered too late":
        rig.advance(2)  # the first message expires
    elif how == "withdrawn":
        for message in call.messages:
            rig.dispatcher.withdraw(message.id)
    outcome = Outcome.NOT_SENT if how == "no attempts left" else Outcome.DELIVERED
    rig.end(call, outcome, retry_after=3 * SECOND)
    retry_after_until = rig.time.time + 3 * SECOND
    rig.advance(0.1)
    rig.submit("next", dest=2)
    calls = rig.advance(6)
    assert calls
    assert all(call.sent_at >= retry_after_until for call in calls), "a call started during the Retry-After"


@pytest.mark.parametrize("complete", [True, False], ids=["a complete list", "a change"])
@pytest.mark.parametrize("backing_off", [True, False], ids=["one message backs off", "none was sent before"])
def test_an_endpoint_listed_for_another_destination_gets_nothing_of_the_first(
    tmp_path: Path, complete: bool, backing_off: bool
) -> None:
    """The endpoint keeps its id; messages for its first destination wait for another endpoint there."""
    rig = DispatcherRig(tmp_path)
    if backing_off:
        rig.submit("before")
        (call,) = rig.advance(0.01)
        rig.end(call, Outcome.REJECTED)  # the message waits before its next attempt
    rows = [endpoint_row("s-1", 7), *([endpoint_row("s-2", 2, "large")] if complete else [])]
    rig.dispatcher.apply_list_update(
        rig.dispatcher.pool.update({"revision": 2, "complete": complete, "members": rows})
    )
    rig.submit("first")
    rig.submit("other", dest=7)
    calls = rig.advance(5)
    assert [(message.id, call.endpoint.id) for call in calls for message in call.messages] == [
        ("other", "s-1")
    ]
    rig.dispatcher.apply_list_update(
        rig.dispatcher.pool.update({"revision": 3, "complete": False, "members": [endpoint_row("s-3", 1)]})
    )
    later_sends = [(message.id, call.endpoint.id) for call in rig.advance(5) for message in call.messages]
    assert set(later_sends) == {("first", "s-3"), *([("before", "s-3")] if backing_off else [])}


# Guards against a copy of a request that is accepted after the original was rejected: its client has been
# told that the message has no effect, and submits it elsewhere.
def test_a_copy_of_a_rejected_message_is_rejected_until_its_retry_after_has_passed(tmp_path: Path) -> None:
    rig = DispatcherRig(tmp_path, max_messages=1)
    assert rig.submit("held")
    (call,) = rig.advance(0.1)
    assert not rig.submit("rejected")
    rig.end(call, Outcome.DELIVERED)
    rig.advance(0.1)
    assert not rig.submit("rejected"), "there is room now, but the client was told otherwise"
    assert rig.submit("other")
    rig.end(rig.advance(0.1)[0], Outcome.DELIVERED)
    rig.advance(0.4)
    assert rig.submit("rejected")
    assert not rig.dispatcher.admission.rejected_until
