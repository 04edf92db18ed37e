"""What the outcome of an attempt tells of the endpoint and its destination."""

from __future__ import annotations

from honeyhitch.policy.call import Call
from honeyhitch.policy.events import AttemptEnded, Outcome
from honeyhitch.policy.message import PendingMessage

LOW_LIMIT_REMAINING = 0.15  # fraction of the reported limit from which the rate is reduced


def tells_of_health(event: AttemptEnded, call: Call) -> bool:
    """Whether the outcome says anything of the destination, as opposed to this attempt or connection."""
    if event.outcome in (Outcome.CANCELLED, Outcome.NOT_SENT) or event.connection_stale:
        return False
    if event.outcome is not Outcome.TIMEOUT:
        return True
    # A time-out that was cut to the message's own deadline says nothing.
    return event.elapsed >= call.endpoint.state.latency.overdue_after()


def note_broken_call(event: AttemptEnded, call: Call) -> None:
    """Take fewer messages into a call after one broke as a whole: any of them may have broken it."""
    broken = not call.pending_messages and not call.any_delivered and not event.outcome.proves_not_executed
    if broken and call.message_count > 1:
        call.endpoint.state.max_messages_per_call = call.message_count / 2


def learn_from_outcome(event: AttemptEnded, call: Call, message: PendingMessage, now: int) -> bool:
    """Learn from an attempt that reached the endpoint; true if the destination recovers by it."""
    endpoint = call.endpoint
    state = endpoint.state
    endpoint.connection_limit_failures = 0
    state.answered_calls += 1
    state.rate.reported_limit = event.rate_limit or state.rate.reported_limit
    state.honor_retry_after(now + event.retry_after)  # a call may succeed and still ask for a pause
    nearly_exhausted = event.limit_remaining < LOW_LIMIT_REMAINING
    if nearly_exhausted and state.rate.reported_limit and not state.rate.is_limited:
        state.rate.reduce_rate(now)
    delivered = event.outcome is Outcome.DELIVERED
    rejected = event.outcome is Outcome.REJECTED
    if not rejected:  # the messages of one call weigh as one, those of a broken call still less
        weight = 1 / (call.message_count if call.any_delivered else call.message_count**2)
        endpoint.failures_by_class[message.class_index].record(now, not delivered, weight)
        state.circuit.call_failures.record(now, not delivered, weight)
    if delivered:
        return state.record_success(now, call, event.elapsed)
    state.record_failure(now, call, rejected, event.retry_after)
    return False
