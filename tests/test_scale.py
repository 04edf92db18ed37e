"""The policy in a fleet of many instances, each of which gets few responses."""

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
from honeyhitch.time_units import MILLISECOND, SECOND
from tests.world import World, settings

ONE_ENDPOINT = (EndpointListing("a", 0, listed_rate=20.0),)
OTHER_DESTINATION = EndpointListing("z", 1, listed_rate=20.0)
TWO_ENDPOINTS = (EndpointListing("a", 0, listed_rate=20.0), EndpointListing("b", 0, listed_rate=20.0))


def closed_connections(world: World) -> int:
    return sum(isinstance(a, CloseIdleConnections) for _, a in world.log)


def deliver(world: World, name: str, class_index: int = 0, after: int = 100 * MILLISECOND) -> str:
    """Submit a message and deliver it; return the endpoint that it was sent to."""
    world.batch([world.submit(name, class_index)])
    world.batch([world.end_attempt(name, Outcome.DELIVERED)], at=world.now + after)
    return world.sends(name)[-1][1].endpoint


def test_idle_connections_are_closed_after_a_failed_connect_of_their_kind() -> None:
    world = World(settings(instance_count=50), (*ONE_ENDPOINT, OTHER_DESTINATION))
    for i in range(ANSWERS_BEFORE_POOLING):
        deliver(world, f"m{i}")
    closed_at_first = closed_connections(world)
    for i in range(40):
        deliver(world, f"n{i}")
    assert closed_at_first in (ANSWERS_BEFORE_POOLING - 1, ANSWERS_BEFORE_POOLING)
    assert closed_connections(world) - closed_at_first <= 12
    world.batch([world.submit("z", destination=1)])
    world.batch([world.end_attempt("z", Outcome.CONNECT_FAILED)], at=world.now + 10 * MILLISECOND)
    before = closed_connections(world)
    for i in range(10):
        deliver(world, f"o{i}")
    assert closed_connections(world) - before >= 10


def test_few_instances_pool_their_connections() -> None:
    world = World(settings(instance_count=3), ONE_ENDPOINT)
    world.batch([world.submit("m")])
    world.batch([world.end_attempt("m", Outcome.CONNECT_FAILED)], at=10 * MILLISECOND)
    world.run(2 * SECOND)
    world.batch([world.end_attempt("m", Outcome.DELIVERED)], at=world.now + 50 * MILLISECOND)
    assert closed_connections(world) == 0


def test_a_single_failure_ejects_a_destination_with_no_known_success() -> None:
    world = World(settings(instance_count=200), ONE_ENDPOINT)
    world.batch([world.submit("m")])
    world.batch([world.end_attempt("m", Outcome.ERROR)], at=50 * MILLISECOND)
    world.batch([world.submit("n"), world.submit("o")], at=60 * MILLISECOND)
    assert not world.sends("n")
    assert not world.sends("o")
    world.run(400 * MILLISECOND)
    assert len(world.sends()) == 2  # the second send is a probe, at the first backoff step


def test_a_single_failure_among_successes_ejects_nothing() -> None:
    world = World(settings(), ONE_ENDPOINT)
    for i in range(4):
        deliver(world, f"g{i}")
    world.batch([world.submit("m")])
    world.batch([world.end_attempt("m", Outcome.ERROR)], at=world.now + 50 * MILLISECOND)
    world.batch([world.submit("n"), world.submit("o")], at=world.now + 10 * MILLISECOND)
    assert world.sends("n")
    assert world.sends("o")


def test_a_single_failure_and_a_successful_probe_start_no_slow_start() -> None:
    world = World(settings(instance_count=200), (EndpointListing("a", 0, listed_rate=5.0),))
    world.batch([world.submit("m")])
    world.batch([world.end_attempt("m", Outcome.ERROR)], at=50 * MILLISECOND)
    world.run(SECOND)
    world.batch([world.end_attempt("m", Outcome.DELIVERED)], at=world.now + 50 * MILLISECOND)
    world.batch([world.submit("n")], at=world.now + 10 * MILLISECOND)
    world.batch(
        [world.end_attempt("n", Outcome.DELIVERED), world.submit("o")], at=world.now + 90 * MILLISECOND
    )
    assert world.sends("n")
    assert world.sends("o")


def test_probes_of_a_fleet_stay_below_the_overload_of_a_destination_in_slow_start() -> None:
    """Sixty instances detect one long outage; the total of their sends after its end is checked."""
    capacity, recovers_at, count = 20.0, 12 * SECOND, 60
    given = settings(instance_count=count)
    fleet = [World(given, (EndpointListing("a", 0, listed_rate=capacity),), seed) for seed in range(count)]
    sent: list[int] = []
    for number, world in enumerate(fleet):
        world.batch([world.submit("m")])
        submitted = 0
        phase = 4 * SECOND * number // count
        while world.now < recovers_at + 2 * SECOND:
            in_flight = world.attempts_in_flight()
            outcome = Outcome.DELIVERED if world.now >= recovers_at else Outcome.CONNECT_FAILED
            events: list[Event] = [world.end_attempt(name, outcome) for name in in_flight]
            if (world.now + phase) // (4 * SECOND) > submitted:  # a quarter of a message per second
                submitted += 1
                events.append(world.submit(f"n{submitted}"))
            if events:
                world.batch(events)
            world.run(world.now + 50 * MILLISECOND)
        sent += [at for at, _ in world.sends()]
    inside = sum(recovers_at <= at < recovers_at + 2 * SECOND for at in sent)
    slow_start_fraction = (
        given.slow_start_fraction + (1 - given.slow_start_fraction) * 2 * SECOND / given.slow_start_duration
    )
    assert inside <= given.overload_factor * slow_start_fraction * capacity * 2


def test_a_class_that_fails_at_an_endpoint_goes_to_another_and_other_classes_stay() -> None:
    world = World(settings(), TWO_ENDPOINTS)
    where = deliver(world, "g0")
    other = {"a": "b", "b": "a"}[where]
    for i in range(3):
        deliver(world, f"g{i + 1}")
    world.batch([world.submit("m", 1)])
    assert world.sends("m")[0][1].endpoint == where
    world.batch([world.end_attempt("m", Outcome.ERROR)], at=world.now + 50 * MILLISECOND)
    world.run(world.now + SECOND)
    assert world.sends("m")[1][1].endpoint == other
    world.batch([world.end_attempt("m", Outcome.DELIVERED)], at=world.now + 50 * MILLISECOND)
    assert deliver(world, "n", 1) == other
    for i in range(3):
        assert deliver(world, f"p{i}") in (where, other)
    assert not any(isinstance(a, Reject | Fail) for _, a in world.log)


def test_a_hanging_call_leaves_the_second_slot_to_other_destinations() -> None:
    world = World(settings(max_concurrent_calls=2), (*ONE_ENDPOINT, OTHER_DESTINATION))
    world.batch([world.submit("m"), world.submit("n")])
    assert len(world.sends()) == 1
    world.batch([world.submit("z", destination=1)], at=10 * MILLISECOND)
    assert world.sends("z")


def test_a_destination_limited_below_a_call_a_second_is_not_starved() -> None:
    world = World(settings(instance_count=200), (EndpointListing("a", 0, listed_rate=10.0),))
    world.batch([world.submit("m")])
    world.batch([world.end_attempt("m", Outcome.REJECTED)], at=50 * MILLISECOND)
    world.run(15 * SECOND)
    world.batch([world.submit("n", 1)])
    world.run(world.now + 19 * SECOND)
    assert world.sends("n")


def test_a_rate_limited_destination_sets_no_timer_for_each_event() -> None:
    world = World(settings(instance_count=20), (*ONE_ENDPOINT, OTHER_DESTINATION))
    world.batch([world.submit("m")])
    world.batch([world.end_attempt("m", Outcome.REJECTED), world.submit("w")], at=50 * MILLISECOND)
    before = len(world.log)
    for i in range(50):
        world.batch([world.submit(f"z{i}", destination=1)])
        world.batch([world.end_attempt(f"z{i}", Outcome.DELIVERED)], at=world.now + 5 * MILLISECOND)
    timers = sum(isinstance(a, SetTimer) for _, a in world.log[before:])
    assert timers <= 10


def test_removed_endpoints_and_concluded_keys_are_forgotten_over_a_long_run() -> None:
    world = World(settings(), (EndpointListing("e0", 0, listed_rate=20.0),))
    for i in range(200):
        removed = EndpointListing(f"e{i}", 0, status=EndpointStatus.GONE)
        world.batch(
            [
                EndpointListUpdate(
                    UpdateMode.CHANGES, (EndpointListing(f"e{i + 1}", 0, listed_rate=20.0), removed)
                )
            ]
        )
        world.batch([world.submit(f"k{i}", 4, ordering_key=i), world.submit(f"m{i}")])
        world.batch(
            [world.end_attempt(f"k{i}", Outcome.DELIVERED), world.end_attempt(f"m{i}", Outcome.DELIVERED)]
        )
        world.run(world.now + 500 * MILLISECOND)
    world.run(world.now + 30 * SECOND)
    policy: DeliveryPolicy = world.policy
    assert [len(d.endpoints) for d in policy.destinations.values()] == [1]
    assert not policy.ordered_queues
    assert not policy.messages
    assert len(policy.scheduler) <= 1


def test_a_complete_list_forgets_unlisted_endpoints() -> None:
    world = World(settings(), TWO_ENDPOINTS)
    world.batch([EndpointListUpdate(UpdateMode.FULL, (TWO_ENDPOINTS[1],))])
    assert list(world.policy.destinations[0].endpoints) == ["b"]


def test_non_idempotent_messages_held_by_one_failure_are_not_sent_at_one_moment() -> None:
    """Instances that detect one failure together must not send the messages held by it together."""
    sent_at = []
    for seed in range(20):
        world = World(settings(instance_count=200), (EndpointListing("a", 0, listed_rate=5.0),), seed)
        world.batch([world.submit("m", 3)])
        world.batch([world.end_attempt("m", Outcome.CONNECT_FAILED)], at=50 * MILLISECOND)
        world.run(20 * SECOND)
        sent_at.append(world.sends("m")[1][0])
    assert max(sent_at) - min(sent_at) > 5 * SECOND
