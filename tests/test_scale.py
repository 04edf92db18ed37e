"""What a fleet of many instances changes: little seen by each, and sums over all of them."""

from __future__ import annotations

from honeyhitch.policy.actions import CloseIdleConnections, Fail, Reject, SetTimer
from honeyhitch.policy.engine import DeliveryPolicy
from honeyhitch.policy.events import (
    EndpointListing,
    EndpointListUpdate,
    EndpointStatus,
    Event,
    Outcome,
    UpdateMode,
)
from honeyhitch.policy.idle_connections import ANSWERS_BEFORE_POOLING
from tests.world import MS, SECOND, World, settings

ONE = (EndpointListing("a", 0, listed_rate=20.0),)
TWO = (EndpointListing("a", 0, listed_rate=20.0), EndpointListing("b", 0, listed_rate=20.0))


def closes(world: World) -> int:
    return sum(isinstance(a, CloseIdleConnections) for _, a in world.log)


def deliver(world: World, name: str, cls: int = 0, after: int = 100 * MS) -> str:
    """Hand a message in, let it be delivered, and name the endpoint it went to."""
    world.batch([world.hand_in(name, cls)])
    world.batch([world.end(name, Outcome.DELIVERED)], at=world.now + after)
    return world.sends(name)[-1][1].endpoint


def test_idle_connections_close_once_a_connect_of_the_kind_failed() -> None:
    world = World(settings(instance_count=50), (*ONE, EndpointListing("z", 1, listed_rate=20.0)))
    for i in range(ANSWERS_BEFORE_POOLING):
        deliver(world, f"m{i}")
    proof = closes(world)
    for i in range(40):
        deliver(world, f"n{i}")
    assert proof in (ANSWERS_BEFORE_POOLING - 1, ANSWERS_BEFORE_POOLING)
    assert closes(world) - proof <= 12
    world.batch([world.hand_in("z", dest=1)])
    world.batch([world.end("z", Outcome.CONNECT_FAILED)], at=world.now + 10 * MS)
    before = closes(world)
    for i in range(10):
        deliver(world, f"o{i}")
    assert closes(world) - before >= 10


def test_a_few_instances_keep_their_connections() -> None:
    world = World(settings(instance_count=3), ONE)
    world.batch([world.hand_in("m")])
    world.batch([world.end("m", Outcome.CONNECT_FAILED)], at=10 * MS)
    world.run(2 * SECOND)
    world.batch([world.end("m", Outcome.DELIVERED)], at=world.now + 50 * MS)
    assert closes(world) == 0


def test_one_failure_is_enough_where_nothing_else_is_known() -> None:
    world = World(settings(instance_count=200), ONE)
    world.batch([world.hand_in("m")])
    world.batch([world.end("m", Outcome.ERROR)], at=50 * MS)
    world.batch([world.hand_in("n"), world.hand_in("o")], at=60 * MS)
    assert not world.sends("n")
    assert not world.sends("o")
    world.run(400 * MS)
    assert len(world.sends()) == 2  # one trial, at the ladder's first step


def test_one_failure_among_known_successes_changes_nothing() -> None:
    world = World(settings(), ONE)
    for i in range(4):
        deliver(world, f"g{i}")
    world.batch([world.hand_in("m")])
    world.batch([world.end("m", Outcome.ERROR)], at=world.now + 50 * MS)
    world.batch([world.hand_in("n"), world.hand_in("o")], at=world.now + 10 * MS)
    assert world.sends("n")
    assert world.sends("o")


def test_one_failure_and_one_good_trial_bring_no_ramp() -> None:
    world = World(settings(instance_count=200), (EndpointListing("a", 0, listed_rate=5.0),))
    world.batch([world.hand_in("m")])
    world.batch([world.end("m", Outcome.ERROR)], at=50 * MS)
    world.run(SECOND)
    world.batch([world.end("m", Outcome.DELIVERED)], at=world.now + 50 * MS)
    world.batch([world.hand_in("n")], at=world.now + 10 * MS)
    world.batch([world.end("n", Outcome.DELIVERED), world.hand_in("o")], at=world.now + 90 * MS)
    assert world.sends("n")
    assert world.sends("o")


def test_trials_of_a_whole_fleet_stay_inside_the_budget_of_a_cold_destination() -> None:
    """Sixty instances that were all told of one long outage; the sum of what they send at its return."""
    capacity, back_at, count = 20.0, 12 * SECOND, 60
    given = settings(instance_count=count)
    fleet = [World(given, (EndpointListing("a", 0, listed_rate=capacity),), seed) for seed in range(count)]
    sent: list[int] = []
    for number, world in enumerate(fleet):
        world.batch([world.hand_in("m")])
        handed, shift = 0, 4 * SECOND * number // count
        while world.now < back_at + 2 * SECOND:
            out = [n for n, k in world.messages.items() if k.attempts and k.attempts[-1].outcome is None]
            told = Outcome.DELIVERED if world.now >= back_at else Outcome.CONNECT_FAILED
            events: list[Event] = [world.end(name, told) for name in out]
            if (world.now + shift) // (4 * SECOND) > handed:  # a quarter of a message a second
                handed += 1
                events.append(world.hand_in(f"n{handed}"))
            if events:
                world.batch(events)
            world.run(world.now + 50 * MS)
        sent += [at for at, _ in world.sends()]
    inside = sum(back_at <= at < back_at + 2 * SECOND for at in sent)
    cold = (
        given.slow_start_fraction + (1 - given.slow_start_fraction) * 2 * SECOND / given.slow_start_duration
    )
    assert inside <= given.overload_factor * cold * capacity * 2


def test_a_class_that_fails_at_one_endpoint_goes_to_another_and_the_rest_stay() -> None:
    world = World(settings(), TWO)
    where = deliver(world, "g0")
    other = {"a": "b", "b": "a"}[where]
    for i in range(3):
        deliver(world, f"g{i + 1}")
    world.batch([world.hand_in("m", 1)])
    assert world.sends("m")[0][1].endpoint == where
    world.batch([world.end("m", Outcome.ERROR)], at=world.now + 50 * MS)
    world.run(world.now + SECOND)
    assert world.sends("m")[1][1].endpoint == other
    world.batch([world.end("m", Outcome.DELIVERED)], at=world.now + 50 * MS)
    assert deliver(world, "n", 1) == other
    for i in range(3):
        assert deliver(world, f"p{i}") in (where, other)
    assert not any(isinstance(a, Reject | Fail) for _, a in world.log)


def test_one_hung_call_of_two_leaves_the_other_slot_to_others() -> None:
    world = World(settings(max_concurrent_calls=2), (*ONE, EndpointListing("z", 1, listed_rate=20.0)))
    world.batch([world.hand_in("m"), world.hand_in("n")])
    assert len(world.sends()) == 1
    world.batch([world.hand_in("z", dest=1)], at=10 * MS)
    assert world.sends("z")


def test_a_paced_lane_under_a_call_a_second_is_not_starved() -> None:
    world = World(settings(instance_count=200), (EndpointListing("a", 0, listed_rate=10.0),))
    world.batch([world.hand_in("m")])
    world.batch([world.end("m", Outcome.REJECTED)], at=50 * MS)
    world.run(15 * SECOND)
    world.batch([world.hand_in("n", 1)])
    world.run(world.now + 19 * SECOND)
    assert world.sends("n")


def test_looking_at_a_paced_destination_sets_no_timer_for_each_event() -> None:
    world = World(settings(instance_count=20), (*ONE, EndpointListing("z", 1, listed_rate=20.0)))
    world.batch([world.hand_in("m")])
    world.batch([world.end("m", Outcome.REJECTED), world.hand_in("w")], at=50 * MS)
    before = len(world.log)
    for i in range(50):
        world.batch([world.hand_in(f"z{i}", dest=1)])
        world.batch([world.end(f"z{i}", Outcome.DELIVERED)], at=world.now + 5 * MS)
    timers = sum(isinstance(a, SetTimer) for _, a in world.log[before:])
    assert timers <= 10


def test_gone_endpoints_and_ended_keys_are_forgotten_over_a_long_run() -> None:
    world = World(settings(), (EndpointListing("e0", 0, listed_rate=20.0),))
    for i in range(200):
        gone = EndpointListing(f"e{i}", 0, status=EndpointStatus.GONE)
        world.batch(
            [
                EndpointListUpdate(
                    UpdateMode.CHANGES, (EndpointListing(f"e{i + 1}", 0, listed_rate=20.0), gone)
                )
            ]
        )
        world.batch([world.hand_in(f"k{i}", 4, ordering_key=i), world.hand_in(f"m{i}")])
        world.batch([world.end(f"k{i}", Outcome.DELIVERED), world.end(f"m{i}", Outcome.DELIVERED)])
        world.run(world.now + 500 * MS)
    world.run(world.now + 30 * SECOND)
    brain: DeliveryPolicy = world.brain
    assert [len(d.endpoints) for d in brain.destinations.values()] == [1]
    assert not brain.ordered_queues
    assert not brain.messages
    assert len(brain.scheduler) <= 1


def test_a_full_list_forgets_what_it_does_not_name() -> None:
    world = World(settings(), TWO)
    world.batch([EndpointListUpdate(UpdateMode.FULL, (TWO[1],))])
    assert list(world.brain.destinations[0].endpoints) == ["b"]


def test_unsafe_messages_of_one_clump_are_not_let_go_at_one_moment() -> None:
    """Each instance was told of one failure at the same time; held messages must not leave together."""
    let_go = []
    for seed in range(20):
        world = World(settings(instance_count=200), (EndpointListing("a", 0, listed_rate=5.0),), seed)
        world.batch([world.hand_in("m", 3)])
        world.batch([world.end("m", Outcome.CONNECT_FAILED)], at=50 * MS)
        world.run(20 * SECOND)
        let_go.append(world.sends("m")[1][0])
    assert max(let_go) - min(let_go) > 5 * SECOND
