"""Updates of the state of an endpoint and its destination from the outcome of an attempt."""

from __future__ import annotations

from honeyhitch.policy.endpoint_call import EndpointCall
from honeyhitch.policy.events import AttemptEnded, Outcome
from honeyhitch.policy.message import PendingMessage

LOW_LIMIT_REMAINING = 0.15  # remaining fraction of the reported limit below which the rate is reduced


def reflects_destination_health(event: AttemptEnded, call: EndpointCall) -> bool:
    """Return whether the outcome reflects the destination rather than only this attempt or connection."""
    if event.outcome in (Outcome.CANCELLED, Outcome.NOT_SENT) or event.connection_stale:
        return False
    if event.outcome is not Outcome.TIMEOUT:
        return True
    # A timeout that was shortened to the message's deadline says nothing about the destination.
    return event.elapsed >= call.endpoint.state.latency.overdue_after()


def reduce_messages_per_call(event: AttemptEnded, call: EndpointCall) -> None:
    """Lower the endpoint's messages per call after a whole call failed: any message may be the cause."""
    whole_call_failed = (
        not call.pending_messages and not call.any_delivered and not event.outcome.proves_not_executed
    )
    if whole_call_failed and call.message_count > 1:
        call.endpoint.state.max_messages_per_call = call.message_count / 2


def learn_from_outcome(event: AttemptEnded, call: EndpointCall, message: PendingMessage, now: int) -> bool:
    """Update the state of the endpoint that an attempt reached; return whether its destination recovered."""
    endpoint = call.endpoint
    state = endpoint.state
    endpoint.connection_limit_failures = 0
    state.answered_calls += 1
    state.rate.reported_limit = event.rate_limit or state.rate.reported_limit
    state.honor_retry_after(now + event.retry_after)  # a successful response may carry Retry-After, too
    nearly_exhausted = event.limit_remaining < LOW_LIMIT_REMAINING
    if nearly_exhausted and state.rate.reported_limit and not state.rate.is_limited:
        state.rate.reduce_rate(now)
    delivered = event.outcome is Outcome.DELIVERED
    rejected = event.outcome is Outcome.REJECTED
    # The messages of a call together have the weight of one outcome, or less if none of them was delivered.
    if not rejected:
        weight = 1 / (call.message_count if call.any_delivered else call.message_count**2)
        endpoint.record_class_outcome(now, message.class_index, not delivered, weight)
        state.circuit.call_failures.record(now, not delivered, weight)
    if delivered:
        return state.record_success(now, call, event.elapsed)
    state.record_failure(now, call, rejected, event.retry_after)
    return False
