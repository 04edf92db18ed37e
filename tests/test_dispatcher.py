"""The core between stand-in ports, in virtual time."""

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


def test_a_message_is_sent_at_once_and_its_delivery_ends_it(tmp_path: Path) -> None:
    stand = DispatcherRig(tmp_path)
    assert stand.submit("a")
    (call,) = stand.run(0.1)
    assert call.endpoint.id == "s-1"
    assert [part.id for part in call.messages] == ["a"]
    stand.end(call, Outcome.DELIVERED)
    assert not stand.dispatcher.messages.by_id
    assert not stand.answers


def test_sends_of_one_round_share_a_call_up_to_what_the_kind_allows(tmp_path: Path) -> None:
    stand = DispatcherRig(tmp_path)
    for name in "abcde":
        stand.submit(name, dest=2)
    calls = stand.run(0.006)
    assert sorted(len(call.messages) for call in calls) == [2, 3]
    assert all(call.endpoint.id == "s-2" for call in calls)


def test_more_than_max_open_is_turned_away_with_a_time_to_come_back(tmp_path: Path) -> None:
    stand = DispatcherRig(tmp_path)
    assert all(stand.submit(f"m{i}") for i in range(8))
    assert not stand.submit("m8")
    assert stand.submit("m3"), "one that is held is not turned away, nor taken twice"
    assert len(stand.dispatcher.messages) == 8


def test_a_told_wait_holds_for_the_whole_destination_on_every_carrier(tmp_path: Path) -> None:
    # One partner over two wires: what it tells on the one binds on the other.
    stand = DispatcherRig(tmp_path)
    stand.dispatcher.pool.pin(PoolEndpoint("topic", "partner/1", 1, transport="mqtt"))
    stand.dispatcher.apply_list_update(stand.dispatcher.pool.update(ENDPOINT_LIST))
    stand.submit("a")
    (call,) = stand.run(0.1)
    stand.end(call, Outcome.REJECTED, retry_after=2 * SECOND)
    told = stand.time.time
    stand.submit("b")
    assert not stand.run(1.9)
    later = stand.run(3)
    assert later
    assert all(call.sent_at >= told + 2 * SECOND for call in later)


def test_a_batch_that_is_delivered_and_tells_a_wait_binds_too(tmp_path: Path) -> None:
    stand = DispatcherRig(tmp_path)
    stand.submit("a", dest=2)
    (call,) = stand.run(0.1)
    stand.end(call, Outcome.DELIVERED, retry_after=2 * SECOND)
    stand.submit("b", dest=2)
    assert not stand.run(1.9)
    assert stand.run(1)


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT])
def test_a_keyed_message_is_not_sent_again_outside_its_window(tmp_path: Path, outcome: Outcome) -> None:
    stand = DispatcherRig(tmp_path)
    stand.submit("a")
    (first,) = stand.run(0.1)
    stand.end(first, outcome)
    while not stand.answers:
        for call in stand.run(0.5):
            assert call.sent_at <= first.sent_at + 5 * SECOND
            stand.end(call, outcome)
    assert stand.answers[0].ending is Ending.REJECTED
    assert not stand.run(30)


def test_one_part_out_of_time_ends_while_its_call_goes_on(tmp_path: Path) -> None:
    stand = DispatcherRig(tmp_path)
    stand.submit("short", dest=2, left=200 * MS)
    stand.submit("long", dest=2)
    (call,) = stand.run(0.1)
    stand.run(0.2)
    assert [answer.id for answer in stand.answers] == ["short"]
    stand.end(call, Outcome.DELIVERED)  # too late for one part: it may not count for the other
    assert list(stand.dispatcher.messages.by_id) == ["long"]
    assert len(stand.answers) == 1
    (again,) = stand.run(1)
    assert [part.id for part in again.messages] == ["long"]
    assert again.attempt_numbers == [1]
    stand.end(again, Outcome.DELIVERED)
    assert not stand.dispatcher.messages.by_id
    assert len(stand.answers) == 1


def test_a_restart_resumes_inside_the_window_only(tmp_path: Path) -> None:
    stand = DispatcherRig(tmp_path)
    stand.submit("a")
    assert len(stand.run(0.1)) == 1
    late = DispatcherRig(tmp_path, stand.time)
    (again,) = late.run(0.1)
    assert again.messages[0].attempt_count == 2
    assert again.attempt_numbers == [1]
    assert again.messages[0].body == b"body"
    stand.time.run(6)
    gone = DispatcherRig(tmp_path, stand.time)
    assert not gone.run(1)
    assert [answer.ending for answer in gone.answers] == [Ending.REJECTED]


@pytest.mark.parametrize("down_for", [0.2, 0.6, 1.1, 4.0])
@pytest.mark.parametrize("restarts", [1, 3])
def test_a_window_of_one_second_holds_over_restarts(tmp_path: Path, down_for: float, restarts: int) -> None:
    """A message that may have run goes again inside its window alone, however the restarts lie in it."""
    window = dataclasses.replace(STANDARD_CLASS, deduplication_window=SECOND)
    time = VirtualTime()
    stand = DispatcherRig(tmp_path, time, classes=(window,))
    stand.submit("a")
    calls = stand.run(0.05)
    (first,) = calls
    for _ in range(restarts):
        time.run(down_for)
        stand = DispatcherRig(tmp_path, time, classes=(window,))
        calls += stand.run(0.05)
    for _ in range(4):  # each further one may have run, too
        for call in stand.calls:
            if any(call.pending):
                stand.end(call, Outcome.RESET)
        calls += stand.run(1.5)
    assert all(call.sent_at <= first.sent_at + SECOND for call in calls)
    assert (len(calls) > 1) is (down_for < 1), "it does go again where there is time"
    assert not stand.dispatcher.messages.by_id
    assert all(one.ending is Ending.REJECTED for one in stand.answers)


def test_a_restart_repeats_an_unconfirmed_answer_and_nothing_else(tmp_path: Path) -> None:
    stand = DispatcherRig(tmp_path)
    stand.confirms_answers = False
    stand.submit("a", dest=9, left=SECOND)  # no member serves it
    stand.run(2)
    assert len(stand.answers) == 1
    again = DispatcherRig(tmp_path, stand.time)
    assert [answer.id for answer in again.answers] == ["a"]
    assert not again.run(30)
    assert not DispatcherRig(tmp_path, stand.time).answers


def test_a_restart_past_the_deadline_answers_at_once(tmp_path: Path) -> None:
    stand = DispatcherRig(tmp_path)
    stand.submit("a")
    stand.time.run(0)
    stand.time.time += 60 * SECOND
    again = DispatcherRig(tmp_path, stand.time)
    again.run(0.01)
    assert [answer.id for answer in again.answers] == ["a"]


def test_a_key_delivered_lately_bounds_a_copy_and_another_front_is_told(tmp_path: Path) -> None:
    stand = DispatcherRig(tmp_path)
    stand.submit("a", key="k")
    (call,) = stand.run(0.1)
    stand.end(call, Outcome.DELIVERED)
    stand.run(1)
    again = DispatcherRig(tmp_path, stand.time)  # the key is remembered over a restart
    again.submit("b", key="k")
    (copy,) = again.run(0.1)
    again.end(copy, Outcome.DELIVERED)
    again.submit("c", key="k", frontend="mqtt")
    again.run(0.1)
    assert [(answer.id, answer.ending) for answer in again.answers] == [("c", Ending.DELIVERED)]
    again.run(4.5)  # inside the copy's window, but past the first one's
    again.submit("d", key="k")
    assert not again.run(1), "outside the first one's window a copy would run"
    assert again.answers[-1].id == "d"
    assert again.answers[-1].ending is Ending.REJECTED
    again.run(30)
    again.submit("e", key="k")
    assert again.run(1), "what is long past is no copy"


def test_a_full_journal_turns_away_and_never_crashes(tmp_path: Path) -> None:
    stand = DispatcherRig(tmp_path, disk=60_000, max_messages=10_000)
    taken = [stand.submit(f"m{i}") for i in range(300)]
    assert taken[0]
    assert not taken[-1]
    stand.run(40)
    used = sum(-(-file.stat().st_size // 512) * 512 for file in tmp_path.iterdir())
    assert used <= 60_000
    for call in stand.calls:
        stand.end(call, Outcome.TIMEOUT)
    stand.run(30)
    assert not stand.dispatcher.messages.by_id, "all that was taken got its end"
    assert stand.submit("later")


def test_a_member_that_drains_gets_nothing_new(tmp_path: Path) -> None:
    stand = DispatcherRig(tmp_path)
    stand.run(0.1)
    changes = {"revision": 2, "complete": False, "members": [endpoint_row("s-1", 1, phase="Terminating")]}
    stand.dispatcher.apply_list_update(stand.dispatcher.pool.update(changes))
    stand.submit("a")
    assert not stand.run(1)


def test_what_cannot_outlive_a_restart_is_given_up_before_it(tmp_path: Path) -> None:
    stand = DispatcherRig(tmp_path)
    stand.submit("first")
    (call,) = stand.run(0.1)
    stand.end(call, Outcome.REJECTED, retry_after=2 * SECOND)
    stand.submit("brief", left=3 * SECOND)
    stand.submit("long", left=12 * SECOND)
    stand.run(1)
    assert not stand.answers
    stand.dispatcher.stop_deciding(2500 * MS)
    (answer,) = stand.answers
    assert answer.id == "brief"
    assert answer.ending is Ending.REJECTED
    assert answer.retry_after > 0
    assert {"first", "long"} == set(stand.dispatcher.messages.by_id)
    assert not stand.run(20), "nothing is decided any more"


def test_a_call_that_is_out_at_a_restart_keeps_its_own_end(tmp_path: Path) -> None:
    stand = DispatcherRig(tmp_path)
    stand.submit("out", left=2 * SECOND)
    (call,) = stand.run(0.1)
    stand.dispatcher.stop_deciding(5 * SECOND)
    assert not stand.answers
    stand.end(call, Outcome.DELIVERED)
    assert not stand.dispatcher.messages.by_id
    assert not stand.answers


@pytest.mark.parametrize("apart", [True, False])
def test_a_told_wait_outlasts_a_member_that_goes_and_comes_back(tmp_path: Path, apart: bool) -> None:
    kinds = (
        DestinationKind(max_messages_per_call=3, name="large"),
        DestinationKind(limits_per_endpoint=apart, name="small"),
    )
    stand = DispatcherRig(tmp_path, kinds=kinds)
    stand.submit("a")
    (call,) = stand.run(0.1)
    stand.end(call, Outcome.REJECTED, retry_after=3 * SECOND)
    ends = stand.time.time + 3 * SECOND
    for revision, phase in ((2, "Gone"), (3, "Ready")):
        told = {"revision": revision, "members": [endpoint_row("s-1", 1, phase=phase)]}
        stand.dispatcher.apply_list_update(stand.dispatcher.pool.update(told))
        stand.run(0.1)
    stand.submit("b")
    calls = stand.run(6)
    assert calls
    assert all(one.sent_at >= ends for one in calls), "started before the Retry-After was over"


def test_a_restart_ends_what_was_told_before_it(tmp_path: Path) -> None:
    stand = DispatcherRig(tmp_path)
    assert stand.submit("a", left=2 * SECOND)
    stand.dispatcher.journal.record_retry_after(1, "s-1", stand.time.time + 10 * SECOND)
    again = DispatcherRig(tmp_path, stand.time)
    tried = [part.id for call in again.run(1) for part in call.messages]
    assert tried == ["a"], "it is attempted"
    assert not again.answers, "and not rejected for a Retry-After that the restart ended"


@pytest.mark.parametrize("how", ["late", "no tries", "nobody waits"])
def test_a_told_wait_binds_whatever_became_of_the_call(tmp_path: Path, how: str) -> None:
    """A batch that passed, but after the time of one of its messages; one whose messages have no tries left;
    and one whose last message was withdrawn as the answer came."""
    stand = DispatcherRig(tmp_path)
    stand.submit("brief", dest=2, left=2 * SECOND)
    stand.submit("long", dest=2)
    (call,) = stand.run(0.1)
    assert len(call.messages) == 2
    if how == "late":
        stand.run(2)  # the time of the first is over
    elif how == "nobody waits":
        for part in call.messages:
            stand.dispatcher.withdraw(part.id)
    outcome = Outcome.NOT_SENT if how == "no tries" else Outcome.DELIVERED
    stand.end(call, outcome, retry_after=3 * SECOND)
    ends = stand.time.time + 3 * SECOND
    stand.run(0.1)
    stand.submit("next", dest=2)
    calls = stand.run(6)
    assert calls
    assert all(one.sent_at >= ends for one in calls), "started before the Retry-After was over"


@pytest.mark.parametrize("whole", [True, False])
@pytest.mark.parametrize("waits", [True, False])
def test_a_member_listed_for_another_destination_gets_nothing_of_the_first(
    tmp_path: Path, whole: bool, waits: bool
) -> None:
    """Under the same id: a message for the first one, waiting or come later, is none of its business."""
    stand = DispatcherRig(tmp_path)
    if waits:
        stand.submit("before")
        (call,) = stand.run(0.01)
        stand.end(call, Outcome.REJECTED)  # it waits on the ladder
    rows = [endpoint_row("s-1", 7), *([endpoint_row("s-2", 2, "large")] if whole else [])]
    stand.dispatcher.apply_list_update(
        stand.dispatcher.pool.update({"revision": 2, "complete": whole, "members": rows})
    )
    stand.submit("first")
    stand.submit("other", dest=7)
    calls = stand.run(5)
    assert [(part.id, one.endpoint.id) for one in calls for part in one.messages] == [("other", "s-1")]
    stand.dispatcher.apply_list_update(
        stand.dispatcher.pool.update({"revision": 3, "complete": False, "members": [endpoint_row("s-3", 1)]})
    )
    later = [(part.id, one.endpoint.id) for one in stand.run(5) for part in one.messages]
    assert set(later) == {("first", "s-3"), *([("before", "s-3")] if waits else [])}
