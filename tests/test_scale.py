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
    return sum(isinstance(a, CloseIdleConnections) for _, a in world.action_log)


def deliver(world: World, name: str, class_index: int = 0, latency: int = 100 * MILLISECOND) -> str:
    """Submit a message and deliver it; return the endpoint that it was sent to."""
    world.batch([world.new_message(name, class_index)])
    world.batch([world.attempt_ended(name, Outcome.DELIVERED)], now=world.now + latency)
    return world.sends(name)[-1][1].endpoint


def test_idle_connections_are_closed_after_a_failed_connect_of_their_kind() -> None:
    world = World(settings(instance_count=50), (*ONE_ENDPOINT, OTHER_DESTINATION))
    for i in range(ANSWERS_BEFORE_POOLING):
        deliver(world, f"m{i}")
    closed_initially = closed_connections(world)
    for i in range(40):
        deliver(world, f"n{i}")
    assert closed_initially in (ANSWERS_BEFORE_POOLING - 1, ANSWERS_BEFORE_POOLING)
    assert closed_connections(world) - closed_initially <= 12
    world.batch([world.new_message("z", destination=1)])
    world.batch([world.attempt_ended("z", Outcome.CONNECT_FAILED)], now=world.now + 10 * MILLISECOND)
    closed_before = closed_connections(world)
    for i in range(10):
        deliver(world, f"o{i}")
    assert closed_connections(world) - closed_before >= 10


def test_few_instances_pool_their_connections() -> None:
    world = World(settings(instance_count=3), ONE_ENDPOINT)
    world.batch([world.new_message("m")])
    world.batch([world.attempt_ended("m", Outcome.CONNECT_FAILED)], now=10 * MILLISECOND)
    world.advance_to(2 * SECOND)
    world.batch([world.attempt_ended("m", Outcome.DELIVERED)], now=world.now + 50 * MILLISECOND)
    assert closed_connections(world) == 0


def test_a_single_failure_ejects_a_destination_with_no_known_success() -> None:
    world = World(settings(instance_count=200), ONE_ENDPOINT)
    world.batch([world.new_message("m")])
    world.batch([world.attempt_ended("m", Outcome.ERROR)], now=50 * MILLISECOND)
    world.batch([world.new_message("n"), world.new_message("o")], now=60 * MILLISECOND)
    assert not world.sends("n")
    assert not world.sends("o")
    world.advance_to(400 * MILLISECOND)
    assert len(world.sends()) == 2  # the second send is a probe, at the first backoff step


def test_a_single_failure_among_successes_ejects_nothing() -> None:
    world = World(settings(), ONE_ENDPOINT)
    for i in range(4):
        deliver(world, f"g{i}")
    world.batch([world.new_message("m")])
    world.batch([world.attempt_ended("m", Outcome.ERROR)], now=world.now + 50 * MILLISECOND)
    world.batch([world.new_message("n"), world.new_message("o")], now=world.now + 10 * MILLISECOND)
    assert world.sends("n")
    assert world.sends("o")


def test_a_single_failure_and_a_successful_probe_start_no_slow_start() -> None:
    world = World(settings(instance_count=200), (EndpointListing("a", 0, listed_rate=5.0),))
    world.batch([world.new_message("m")])
    world.batch([world.attempt_ended("m", Outcome.ERROR)], now=50 * MILLISECOND)
    world.advance_to(SECOND)
    world.batch([world.attempt_ended("m", Outcome.DELIVERED)], now=world.now + 50 * MILLISECOND)
    world.batch([world.new_message("n")], now=world.now + 10 * MILLISECOND)
    world.batch(
        [world.attempt_ended("n", Outcome.DELIVERED), world.new_message("o")],
        now=world.now + 90 * MILLISECOND,
    )
    assert world.sends("n")
    assert world.sends("o")


def test_probes_of_a_fleet_stay_below_the_overload_of_a_destination_in_slow_start() -> None:
    """Sixty instances detect one long outage; the total of their sends after its end is checked."""
    capacity, recovers_at, count = 20.0, 12 * SECOND, 60
    fleet_settings = settings(instance_count=count)
    fleet = [
        World(fleet_settings, (EndpointListing("a", 0, listed_rate=capacity),), seed) for seed in range(count)
    ]
    sent_at: list[int] = []
    for number, world in enumerate(fleet):
        world.batch([world.new_message("m")])
        submitted = 0
        phase = 4 * SECOND * number // count
        while world.now < recovers_at + 2 * SECOND:
            in_flight = world.attempts_in_flight()
            outcome = Outcome.DELIVERED if world.now >= recovers_at else Outcome.CONNECT_FAILED
            events: list[Event] = [world.attempt_ended(name, outcome) for name in in_flight]
            if (world.now + phase) // (4 * SECOND) > submitted:  # a quarter of a message per second
                submitted += 1
                events.append(world.new_message(f"n{submitted}"))
            if events:
                world.batch(events)
            world.advance_to(world.now + 50 * MILLISECOND)
        sent_at += [at for at, _ in world.sends()]
    sends_in_window = sum(recovers_at <= at < recovers_at + 2 * SECOND for at in sent_at)
    slow_start_fraction = (
        fleet_settings.slow_start_fraction
        + (1 - fleet_settings.slow_start_fraction) * 2 * SECOND / fleet_settings.slow_start_duration
    )
    assert sends_in_window <= fleet_settings.overload_factor * slow_start_fraction * capacity * 2


def test_a_class_that_fails_at_an_endpoint_goes_to_another_and_other_classes_stay() -> None:
    world = World(settings(), TWO_ENDPOINTS)
    first_endpoint = deliver(world, "g0")
    other_endpoint = {"a": "b", "b": "a"}[first_endpoint]
    for i in range(3):
        deliver(world, f"g{i + 1}")
    world.batch([world.new_message("m", 1)])
    assert world.sends("m")[0][1].endpoint == first_endpoint
    world.batch([world.attempt_ended("m", Outcome.ERROR)], now=world.now + 50 * MILLISECOND)
    world.advance_to(world.now + SECOND)
    assert world.sends("m")[1][1].endpoint == other_endpoint
    world.batch([world.attempt_ended("m", Outcome.DELIVERED)], now=world.now + 50 * MILLISECOND)
    assert deliver(world, "n", 1) == other_endpoint
    for i in range(3):
        assert deliver(world, f"p{i}") in (first_endpoint, other_endpoint)
    assert not any(isinstance(a, Reject | Fail) for _, a in world.action_log)


def test_a_hanging_call_leaves_the_second_slot_to_other_destinations() -> None:
    world = World(settings(max_concurrent_calls=2), (*ONE_ENDPOINT, OTHER_DESTINATION))
    world.batch([world.new_message("m"), world.new_message("n")])
    assert len(world.sends()) == 1
    world.batch([world.new_message("z", destination=1)], now=10 * MILLISECOND)
    assert world.sends("z")


def test_a_destination_limited_below_a_call_a_second_is_not_starved() -> None:
    world = World(settings(instance_count=200), (EndpointListing("a", 0, listed_rate=10.0),))
    world.batch([world.new_message("m")])
    world.batch([world.attempt_ended("m", Outcome.REJECTED)], now=50 * MILLISECOND)
    world.advance_to(15 * SECOND)
    world.batch([world.new_message("n", 1)])
    world.advance_to(world.now + 19 * SECOND)
    assert world.sends("n")


def test_a_rate_limited_destination_sets_no_timer_for_each_event() -> None:
    world = World(settings(instance_count=20), (*ONE_ENDPOINT, OTHER_DESTINATION))
    world.batch([world.new_message("m")])
    world.batch([world.attempt_ended("m", Outcome.REJECTED), world.new_message("w")], now=50 * MILLISECOND)
    log_length = len(world.action_log)
    for i in range(50):
        world.batch([world.new_message(f"z{i}", destination=1)])
        world.batch([world.attempt_ended(f"z{i}", Outcome.DELIVERED)], now=world.now + 5 * MILLISECOND)
    timers = sum(isinstance(a, SetTimer) for _, a in world.action_log[log_length:])
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
        world.batch([world.new_message(f"k{i}", 4, ordering_key=i), world.new_message(f"m{i}")])
        world.batch(
            [world.attempt_ended(f"k{i}", Outcome.DELIVERED), world.attempt_ended(f"m{i}", Outcome.DELIVERED)]
        )
        world.advance_to(world.now + 500 * MILLISECOND)
    world.advance_to(world.now + 30 * SECOND)
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
        world.batch([world.new_message("m", 3)])
        world.batch([world.attempt_ended("m", Outcome.CONNECT_FAILED)], now=50 * MILLISECOND)
        world.advance_to(20 * SECOND)
        sent_at.append(world.sends("m")[1][0])
    assert max(sent_at) - min(sent_at) > 5 * SECOND
