"""The condition of destinations as the module sees them, for figures and for resends. It decides nothing."""

from __future__ import annotations

from dataclasses import dataclass

from honeyhitch.policy.engine import DeliveryPolicy
from honeyhitch.policy.state import NON_IDEMPOTENT_FAILURE_FRACTION, Destination


@dataclass(frozen=True, slots=True)
class DestinationHealth:
    """How a destination stands, as the module sees it."""

    listed: bool  # it has a member that may get something new
    unhealthy: bool  # no member is well: out, or many calls fail
    in_slow_start: bool  # a member came back and may be cold
    retry_after_until: int  # told wait
    has_queued_messages: bool  # messages that are not behind others wait for it
    quota: float  # this instance's part of its capacity, in calls a second
    last_sent_at: int
    concurrent_calls: int  # slots, of all destinations


def destination_health(policy: DeliveryPolicy, destination: int, now: int) -> DestinationHealth:
    """The destination's condition; one that nothing is known of is not listed. `now` in nanoseconds."""
    dest = policy.destinations.get(destination) or Destination()
    lanes = list({endpoint.state: None for endpoint in dest.endpoints.values() if endpoint.listed})
    well = [
        lane
        for lane in lanes
        if not lane.ejected and lane.call_failures.failure_fraction(now) < NON_IDEMPOTENT_FAILURE_FRACTION
    ]
    queues = [queue for key, queue in dest.queues.items() if not key[2]]
    return DestinationHealth(
        listed=bool(lanes),
        unhealthy=not well,
        in_slow_start=any(now - lane.recovered_at < policy.settings.slow_start_duration for lane in lanes),
        retry_after_until=min((lane.retry_after_until for lane in well), default=0),
        has_queued_messages=any(queue.head(policy.now) is not None for queue in queues),
        quota=sum(lane.quota() for lane in well),
        last_sent_at=max((lane.last_sent_at for lane in lanes), default=0),
        concurrent_calls=policy.concurrent_calls,
    )


def ejected_endpoints(policy: DeliveryPolicy, now: int) -> int:
    """Listed endpoints that nothing goes to at present. `now` in nanoseconds."""
    listed = (e for dest in policy.destinations.values() for e in dest.endpoints.values() if e.listed)
    return sum(
        e.state.ejected or max(e.state.retry_after_until, e.connect_blocked_until) > now for e in listed
    )
