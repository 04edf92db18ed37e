"""The mechanism and each guard, one small case each."""

from __future__ import annotations

import itertools
from collections import Counter

import pytest

from honeyhitch.policy.actions import Fail, Reject, Send, SetTimer, Subscribe
from honeyhitch.policy.events import (
    EndpointListing,
    EndpointListUpdate,
    EndpointStatus,
    Event,
    MessageWithdrawn,
    Outcome,
    RetryAfterReceived,
    TimerFired,
    UpdateMode,
)
from honeyhitch.policy.settings import DestinationKind
from tests.world import MS, SECOND, World, settings

FALL = 2 * SECOND
ONE = (EndpointListing("a", 0, listed_rate=20.0),)
TWO = (EndpointListing("a", 0, listed_rate=20.0), EndpointListing("b", 0, listed_rate=20.0))


def fail_all(name: str, outcome: Outcome, world: World, cls: int = 0) -> list[int]:
    """Fail every attempt at once; the pauses between outcome and next try."""
    world.batch([world.hand_in(name, cls)])
    pauses = []
    while not world.messages[name].over:
        ended = world.now
        tries = len(world.messages[name].attempts)
        world.batch([world.end(name, outcome)])
        while len(world.messages[name].attempts) == tries and not world.messages[name].over:
            world.run(world.now + 5 * MS)
        if not world.messages[name].over:
            pauses.append(world.now - ended)
    return pauses


def test_first_try_leaves_at_once() -> None:
    world = World(settings(), ONE)
    assert any(isinstance(a, Send) for a in world.batch([world.hand_in("m")]))


def test_ladder_grows_with_jitter_and_ends_after_five() -> None:
    first, second = set(), set()
    for seed in range(8):
        world = World(settings(), TWO, seed)
        pauses = fail_all("m", Outcome.RESET, world)
        assert len(world.messages["m"].attempts) <= 5
        assert 200 * MS <= pauses[0] <= 310 * MS
        assert 800 * MS <= pauses[1] <= 1210 * MS
        first.add(pauses[0])
        second.add(pauses[1])
    assert len(first) > 2
    assert len(second) > 2


def test_fewer_attempts_where_the_settings_say_so() -> None:
    world = World(settings(max_attempts=2), TWO)
    fail_all("m", Outcome.RESET, world)
    assert len(world.messages["m"].attempts) == 2


@pytest.mark.parametrize(("instances", "most"), [(1, 700 * MS), (2, 1400 * MS), (200, 16 * SECOND)])
def test_a_full_table_is_asked_again_as_often_as_the_fleet_bears(instances: int, most: int) -> None:
    """Each asks less often the more of them there are, so that the few are not shut out for long."""
    world, tried = World(settings(instance_count=instances), ONE), list[int]()
    for number in range(60):
        world.batch([world.hand_in(f"m{number}", cls=0)])
    while world.now < 15 * SECOND:
        for name, known in list(world.messages.items()):
            if not known.over and known.attempts and known.attempts[-1].outcome is None:
                tried.append(world.now)
                world.batch([world.end(name, Outcome.REJECTED, connection_limited=True)])
        world.run(world.now + 50 * MS)
    gaps = [after - before for before, after in itertools.pairwise(sorted(set(tried)))]
    assert max(gaps) <= most + 100 * MS
    assert instances > 2 or max(gaps) > 0.4 * most, "and it is no hammering"


def test_untold_refusal_doubles_the_step() -> None:
    world = World(settings(), TWO)
    assert 400 * MS <= fail_all("m", Outcome.REJECTED, world)[0] <= 610 * MS


def test_told_wait_is_used_and_binds_the_destination() -> None:
    world = World(settings(), TWO)
    world.batch([world.hand_in("m")])
    world.batch([world.end("m", Outcome.REJECTED, wait=1500 * MS)], at=50 * MS)
    world.batch([world.hand_in("n")], at=100 * MS)
    world.run(1540 * MS)
    assert not world.sends("n")
    assert len(world.sends("m")) == 1
    world.run(3 * SECOND)
    assert world.sends("n")
    assert len(world.sends("m")) == 2


@pytest.mark.parametrize("other", [False, True])
def test_what_cannot_outlive_a_told_wait_is_given_up_at_once(other: bool) -> None:
    """Before and after it was told, by this process or by the other one of an upgrade."""
    world = World(settings(max_concurrent_calls=1), ONE)
    world.batch([world.hand_in("out"), world.hand_in("queued", time_left=4 * SECOND)])
    world.batch([world.hand_in("long")], at=20 * MS)
    if other:
        world.batch([RetryAfterReceived(0, "a", 9 * SECOND)], at=40 * MS)
        world.waits[world.bound("a")] = 9 * SECOND
        world.batch([world.end("out", Outcome.ERROR)], at=50 * MS)
    else:
        world.batch([world.end("out", Outcome.REJECTED, wait=9 * SECOND)], at=50 * MS)
    world.batch([world.hand_in("late", time_left=5 * SECOND)], at=60 * MS)
    refused = {
        action.message: (at, action.retry_after) for at, action in world.log if isinstance(action, Reject)
    }
    assert refused == {"queued": (50 * MS, 3 * SECOND), "late": (60 * MS, 3 * SECOND)}
    world.run(10 * SECOND)
    assert world.sends("long") or world.messages["out"].attempts[1:], "what can outlive it waits, and goes"


def test_told_wait_binds_one_route_where_routes_are_apart() -> None:
    world = World(settings(kinds=(DestinationKind(limits_per_endpoint=True),)), TWO)
    world.batch([world.hand_in("m")])
    world.batch([world.end("m", Outcome.REJECTED, wait=2 * SECOND), world.hand_in("n")], at=50 * MS)
    assert world.sends("n")[0][1].endpoint != world.sends("m")[0][1].endpoint


def test_healthy_destination_holds_three_quarters_of_the_slots() -> None:
    world = World(settings(max_concurrent_calls=11), ONE)
    world.batch([world.hand_in(f"m{i}") for i in range(30)])
    assert len(world.sends()) == 8


def test_hang_is_met_by_single_trials_and_slots_stay_free() -> None:
    world = World(settings(max_concurrent_calls=12), (*ONE, EndpointListing("z", 1, listed_rate=20.0)))
    for i in range(60):
        world.batch([world.hand_in(f"m{i}")])
        world.run(world.now + 100 * MS)
    late = [at for at, _ in world.sends() if at > 2 * SECOND]
    assert 0 < len(late) <= 6
    world.batch([world.hand_in("other", dest=1)])
    assert world.sends("other")


def test_return_is_ramped_within_the_fall_budget() -> None:
    given = settings()
    world = World(given, (EndpointListing("a", 0, listed_rate=10.0),))
    back_at, count = 8 * SECOND, 0
    while world.now < 16 * SECOND:
        events: list[Event] = []
        for name, known in world.messages.items():
            if known.attempts and known.attempts[-1].outcome is None:
                up = world.now >= back_at
                events.append(world.end(name, Outcome.DELIVERED if up else Outcome.CONNECT_FAILED))
        for _ in range(2):
            count += 1
            events.append(world.hand_in(f"m{count}"))
        world.batch(events)
        world.run(world.now + 100 * MS)
    sent = [at for at, _ in world.sends() if at >= back_at]
    assert sent
    for start in sent:
        share = min(
            1.0,
            given.slow_start_fraction
            + (1 - given.slow_start_fraction) * (start + FALL - back_at) / given.slow_start_duration,
        )
        inside = sum(start <= at < start + FALL for at in sent)
        assert inside <= given.overload_factor * share * 10.0 * FALL / SECOND + 2


def test_unsafe_is_failed_after_an_error_and_retried_after_a_failed_connection() -> None:
    world = World(settings(), TWO)
    world.batch([world.hand_in("m", 3), world.hand_in("n", 3)])
    actions = world.batch([world.end("m", Outcome.ERROR), world.end("n", Outcome.CONNECT_FAILED)], at=MS)
    assert Fail("m") in actions
    world.run(23 * SECOND)  # an unsafe message waits until the failures have faded
    assert len(world.sends("n")) == 2


def test_keyed_ends_with_its_window_while_it_waits() -> None:
    world = World(settings(), ONE)
    world.batch([world.hand_in("m", 1), world.hand_in("n")])
    world.batch([world.end("m", Outcome.RESET)], at=100 * MS)
    world.batch([world.end("n", Outcome.REJECTED, wait=9 * SECOND)], at=200 * MS)
    world.run(7 * SECOND)
    answer = world.messages["m"].answers
    assert len(answer) == 1
    assert answer[0][1] == "Reject"
    assert answer[0][0] <= 6 * SECOND


def test_keyed_by_zone_stays_in_its_zone() -> None:
    world = World(settings(), (EndpointListing("a", 0, zone=0), EndpointListing("b", 0, zone=1)))
    world.batch([world.hand_in("m", 2)])
    first = world.sends("m")[0][1].endpoint
    world.batch([world.end("m", Outcome.ERROR)], at=10 * MS)
    world.run(3 * SECOND)
    assert [a.endpoint for _, a in world.sends("m")][:2] == [first, first]


def test_a_timer_that_rings_early_is_set_again() -> None:
    world = World(settings(), ())
    world.batch([world.hand_in("m")])
    first = world.timer
    assert first is not None
    world.brain.handle(first - 500, [TimerFired()])
    world.now = first - 500
    again = world.brain.handle(first - 400, [TimerFired()])
    assert SetTimer(first) in again


def test_order_key_waits_for_the_head_and_then_rests() -> None:
    world = World(settings(), TWO)
    world.batch(
        [world.hand_in("m", 4, ordering_key=9), world.hand_in("n", 4, ordering_key=9), world.hand_in("f", 4)]
    )
    assert not world.sends("n")
    assert world.sends("f")
    world.batch([world.end("m", Outcome.TIMEOUT), world.end("f", Outcome.DELIVERED)], at=SECOND)
    assert not world.sends("n")
    world.run(16 * SECOND)  # the failures must fade for an unsafe message
    assert world.sends("n")[0][0] >= SECOND + 100 * MS


def test_order_moves_on_when_the_head_is_withdrawn_in_flight() -> None:
    world = World(settings(), TWO)
    world.batch([world.hand_in("m", 4, ordering_key=9), world.hand_in("n", 4, ordering_key=9)])
    world.batch([MessageWithdrawn("m")], at=50 * MS)
    assert not world.sends("n")
    world.batch([world.end("m", Outcome.CANCELLED)], at=80 * MS)
    world.run(SECOND)
    assert world.sends("n")


def test_drain_is_obeyed_on_hearing() -> None:
    world = World(settings(), ONE)
    drain = EndpointListUpdate(UpdateMode.CHANGES, (EndpointListing("a", 0, status=EndpointStatus.DRAINING),))
    world.batch([drain, world.hand_in("m")])
    world.run(17 * SECOND)
    assert not world.sends("m")
    assert world.messages["m"].answers[0][1] == "Reject"


def test_full_list_drops_what_it_does_not_name() -> None:
    world = World(settings(), TWO)
    world.batch([EndpointListUpdate(UpdateMode.FULL, (TWO[1],))])
    world.batch([world.hand_in(f"m{i}") for i in range(4)])
    assert {a.endpoint for _, a in world.sends()} == {"b"}


def test_unknown_destination_is_held_until_it_is_learned_of() -> None:
    world = World(settings(), ONE)
    world.batch([world.hand_in("m", dest=5)])
    assert not world.messages["m"].over
    world.batch([EndpointListUpdate(UpdateMode.CHANGES, (EndpointListing("x", 5),))], at=SECOND)
    assert world.sends("m")


def test_message_without_time_is_answered_at_once() -> None:
    world = World(settings(), ())
    world.batch([world.hand_in("m", time_left=0)])
    assert world.messages["m"].over


def test_asks_again_with_growing_pauses_where_discovery_must_be_asked() -> None:
    world = World(settings(must_subscribe=True), ONE)
    asks = [at for at, a in world.log if isinstance(a, Subscribe)]
    assert asks == [0]
    for _ in range(5):
        before = len(asks)
        world.batch([EndpointListUpdate(UpdateMode.FAILED)])
        while len(asks) == before:
            world.run(world.now + 5 * MS)
            asks = [at for at, a in world.log if isinstance(a, Subscribe)]
    gaps = [b - a for a, b in itertools.pairwise(asks)]
    assert gaps == sorted(gaps)
    assert gaps[-1] <= 10 * SECOND


def test_one_call_takes_several_messages_and_one_slot() -> None:
    world = World(settings(kinds=(DestinationKind(max_messages_per_call=3),), max_concurrent_calls=2), ONE)
    events: list[Event] = [world.hand_in(f"m{i}") for i in range(5)]
    for event in events:
        world.take(event)
    sends = [a for a in world.brain.handle(0, events) if isinstance(a, Send)]
    assert len(sends) == 3
    assert world.brain.concurrent_calls == 1


def test_little_allowance_in_a_report_paces_before_a_refusal() -> None:
    world = World(settings(), ONE)
    world.batch([world.hand_in("m")])
    world.batch([world.end("m", Outcome.DELIVERED, limit_remaining=0.01, rate_limit=4.0)], at=100 * MS)
    world.batch([world.hand_in(f"n{i}") for i in range(6)], at=200 * MS)
    assert len(world.sends()) < 4


def test_worth_beyond_a_tenants_share_goes_last() -> None:
    given = settings(tenant_rates=(100.0, 1.0), over_quota_weight=0.1, max_concurrent_calls=1)
    world = World(given, TWO)
    world.batch([world.hand_in("first")], at=SECOND)
    world.batch([world.hand_in("t1", tenant=1), world.hand_in("t2", tenant=1, dest=1)], at=2 * SECOND)
    assert world.brain.messages["t1"].priority_weight == 1.0
    assert world.brain.messages["t2"].priority_weight == 0.1


def test_a_clump_at_a_quiet_destination_is_paced_at_its_part_not_at_its_flow() -> None:
    world = World(settings(), (EndpointListing("a", 0, listed_rate=4.0),))
    world.batch([world.hand_in(f"m{i}") for i in range(6)], at=20 * SECOND)
    told = [world.end(f"m{i}", Outcome.REJECTED) for i in range(6)]
    world.batch(told, at=20 * SECOND + 50 * MS)
    while world.now < 22_100 * MS:
        world.run(world.now + 50 * MS)
        out = [n for n, k in world.messages.items() if k.attempts[-1].outcome is None]
        world.batch([world.end(n, Outcome.DELIVERED) for n in out])
    assert sum(k.over for k in world.messages.values()) >= 5


def test_late_and_repeated_events_are_ignored() -> None:
    world = World(settings(), ONE)
    world.batch([world.hand_in("m")])
    done = world.end("m", Outcome.DELIVERED)
    world.batch([done])
    assert world.brain.handle(MS, [done, MessageWithdrawn("m"), MessageWithdrawn("x")]) == []


def test_an_event_outside_the_interface_raises() -> None:
    with pytest.raises(KeyError):
        World(settings(), ONE).brain.handle(1, ["noise"])  # type: ignore[list-item]


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("max_concurrent_calls", 0),
        ("slow_start_fraction", 0.0),
        ("slow_start_duration", 0),
        ("classes", ()),
        ("max_attempts", 0),
        ("zone", -1),
    ],
)
def test_bad_settings_name_the_field(field: str, value: object) -> None:
    with pytest.raises(ValueError, match=field):
        settings(**{field: value})


def test_line_limits_of_the_policy_modules() -> None:
    from pathlib import Path

    for module in Path(__file__).parent.parent.joinpath("honeyhitch", "policy").glob("*.py"):
        lines = module.read_text().splitlines()
        assert sum(bool(line.strip()) for line in lines) <= 500
        assert max(len(line) for line in lines) <= 110
        assert lines[0].startswith('"""')


def test_little_time_left_is_no_age_unless_it_came_again() -> None:
    world = World(settings(max_concurrent_calls=4, can_cancel=False), ONE)
    world.batch([world.hand_in(f"out{i}") for i in range(3)])  # three quarters of the slots
    world.batch([world.hand_in("long"), world.hand_in("old", time_left=SECOND, recovered_from_journal=True)])
    world.batch([world.hand_in("hasty", time_left=SECOND)], at=10 * MS)
    for name in ("out0", "out1", "out2"):
        world.batch([world.end(name, Outcome.DELIVERED)], at=world.now + 60 * MS)
        world.run(world.now + 60 * MS)
    assert [a.message for _, a in world.sends()[3:]] == ["hasty", "long", "old"]


def test_a_batch_that_breaks_goes_again_in_smaller_ones_and_counts_once() -> None:
    world = World(settings(kinds=(DestinationKind(max_messages_per_call=16),)), ONE)
    names = [f"m{i}" for i in range(16)]
    world.batch([world.hand_in("first")])
    world.batch([world.end("first", Outcome.DELIVERED)], at=50 * MS)
    world.batch([world.hand_in(name) for name in names], at=60 * MS)
    assert sum(at == 60 * MS for at, _ in world.sends()) == 16, "one call holds them all"
    world.batch([world.end(name, Outcome.RESET) for name in names], at=100 * MS)
    world.batch([world.hand_in("other")], at=110 * MS)
    assert world.sends("other"), "one broken call is one failure, however much it carried"
    world.batch([world.end("other", Outcome.DELIVERED)], at=160 * MS)
    world.run(600 * MS)
    together = Counter(at for at, _ in world.sends() if at > 160 * MS)
    assert together
    assert max(together.values()) <= 9


def test_a_faulty_part_of_a_batch_that_passed_leaves_its_size() -> None:
    world = World(settings(kinds=(DestinationKind(max_messages_per_call=8),)), ONE)
    names = [f"m{i}" for i in range(8)]
    world.batch([world.hand_in(name) for name in names])
    ends = [world.end(name, Outcome.ERROR if name == "m7" else Outcome.DELIVERED) for name in names]
    world.batch(ends, at=50 * MS)
    world.batch([world.hand_in(f"n{i}") for i in range(8)], at=60 * MS)
    assert sum(at == 60 * MS for at, _ in world.sends()) == 8


@pytest.mark.parametrize(("stale", "sent"), [(True, 3), (False, 0)])
def test_kept_connections_that_broke_do_not_put_a_destination_out(stale: bool, sent: int) -> None:
    world = World(settings(), ONE)
    names = [f"m{i}" for i in range(4)]
    world.batch([world.hand_in(name) for name in names])
    world.batch([world.end(name, Outcome.RESET, connection_stale=stale) for name in names], at=60 * MS)
    world.batch([world.hand_in(f"n{i}") for i in range(3)], at=70 * MS)
    assert sum(at == 70 * MS for at, _ in world.sends()) == sent


def test_the_pace_follows_a_limit_that_is_told_to_be_back() -> None:
    world = World(settings(max_concurrent_calls=40), ONE)
    counts: list[int] = []
    for limit in (2.0, 20.0):  # a limit that fell for ten seconds, and is back
        before = len(world.sends())
        for i in range(100):
            name = f"{limit}-{i}"
            events: list[Event] = [
                world.end(one, Outcome.DELIVERED if limit > 2 else Outcome.REJECTED, rate_limit=limit)
                for one, known in world.messages.items()
                if known.attempts and known.attempts[-1].outcome is None
            ]
            world.batch([*events, world.hand_in(name)])
            world.run(world.now + 100 * MS)
        counts.append(len(world.sends()) - before)
    assert counts[1] > 85, "a hundred were asked for at half the limit"


def test_a_message_without_the_time_for_an_answer_is_given_up_at_once() -> None:
    world = World(settings(max_concurrent_calls=4), ONE)
    world.batch([world.hand_in(f"out{i}") for i in range(3)])
    world.batch([world.hand_in("hasty", time_left=300 * MS)], at=10 * MS)
    world.run(280 * MS)  # a first answer is taken to need 200 ms, and half of that is out of reach
    assert [(type(a), at) for at, a in world.log if getattr(a, "message", "") == "hasty"] == [
        (Reject, 200 * MS)
    ]


def test_time_outs_cut_to_a_message_do_not_put_its_destination_out() -> None:
    world = World(settings(), ONE)
    world.batch([world.hand_in(f"m{i}", time_left=150 * MS) for i in range(5)])
    world.run(SECOND)
    world.batch([world.hand_in(f"n{i}") for i in range(4)])
    assert sum(at == world.now for at, _ in world.sends()) == 4


def test_a_hasty_message_is_tried_again_inside_the_time_it_has() -> None:
    world = World(settings(), TWO)
    world.batch([world.hand_in("m", time_left=600 * MS)])
    world.batch([world.end("m", Outcome.RESET)], at=50 * MS)
    world.run(600 * MS)
    assert len(world.sends("m")) == 2


@pytest.mark.parametrize(("cls", "together"), [(3, False), (1, True)])
def test_what_ends_soon_does_not_ride_with_others_where_a_time_out_is_the_end(
    cls: int, together: bool
) -> None:
    world = World(settings(kinds=(DestinationKind(max_messages_per_call=16),)), ONE)
    world.batch([world.hand_in("brief", cls=cls, time_left=SECOND), world.hand_in("long", cls=cls)])
    assert len({at for at, _ in world.sends()}) == 1, "first tries go at once"
    calls = {id(world.brain.messages[name].call) for name in ("brief", "long")}
    assert (len(calls) == 1) is together
