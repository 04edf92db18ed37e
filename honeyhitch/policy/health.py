"""The condition of destinations as the module sees them, for figures and for resends. It decides nothing."""

from __future__ import annotations

from dataclasses import dataclass

from honeyhitch.policy.engine import DeliveryPolicy
from honeyhitch.policy.state import RISKY_SHARE, Destination


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


def destination_health(brain: DeliveryPolicy, destination: int, now: int) -> DestinationHealth:
    """The destination's condition; one that nothing is known of is not listed. `now` in nanoseconds."""
    dest = brain.dests.get(destination) or Destination()
    lanes = list({endpoint.lane: None for endpoint in dest.endpoints.values() if endpoint.listed})
    well = [lane for lane in lanes if not lane.out and lane.tally.share(now) < RISKY_SHARE]
    queues = [queue for key, queue in dest.queues.items() if not key[2]]
    return DestinationHealth(
        listed=bool(lanes),
        unhealthy=not well,
        in_slow_start=any(now - lane.back_at < brain.s.slow_start_duration for lane in lanes),
        retry_after_until=min((lane.wait_until for lane in well), default=0),
        has_queued_messages=any(queue.head(brain.now) is not None for queue in queues),
        quota=sum(lane.part() for lane in well),
        last_sent_at=max((lane.last_send for lane in lanes), default=0),
        concurrent_calls=brain.used,
    )


def ejected_endpoints(brain: DeliveryPolicy, now: int) -> int:
    """Listed endpoints that nothing goes to at present. `now` in nanoseconds."""
    listed = (e for dest in brain.dests.values() for e in dest.endpoints.values() if e.listed)
    return sum(e.lane.out or max(e.lane.wait_until, e.shut) > now for e in listed)
