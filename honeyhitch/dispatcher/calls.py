"""Starts calls: groups the sends of a round into calls and checks each call right before its first byte."""

from __future__ import annotations

from functools import partial

from honeyhitch import logs
from honeyhitch.dispatcher.context import DispatcherContext
from honeyhitch.dispatcher.delivery import Call
from honeyhitch.dispatcher.outcomes import CallOutcomes
from honeyhitch.endpoints.endpoint import PoolEndpoint
from honeyhitch.journal.journal_file import JournalFullError
from honeyhitch.policy.actions import Send
from honeyhitch.policy.events import RetryAfterReceived
from honeyhitch.time_units import MILLISECOND

log = logs.get_logger()
QUOTA_CHECK_INTERVAL = 250 * MILLISECOND  # between checks whether this instance holds a quota
JOURNAL_RETRY_INTERVAL = 100 * MILLISECOND  # between attempts to record an attempt on a failing disk


class CallStarter:
    """Groups messages into calls, passes the calls to their transports, and decides which may start."""

    def __init__(self, context: DispatcherContext, outcomes: CallOutcomes) -> None:
        self.context = context
        self.outcomes = outcomes

    def send_all(self, sends: list[Send]) -> None:
        """Start calls for the sends of one round.

        Messages of one class for the same endpoint share calls, up to the number of messages per call of its
        kind. Messages of other classes have other timeouts: one that timed out would be sent again while its
        call is still in flight for the others.
        """
        groups: dict[tuple[str, int], list[Send]] = {}
        for send in sends:
            class_index = self.context.messages.by_id[send.message].class_index
            groups.setdefault((send.endpoint, class_index), []).append(send)
        for (endpoint_id, _), group in groups.items():
            endpoint = self.context.pool.endpoints[endpoint_id]
            max_messages = self.context.settings.kind(endpoint.kind).max_messages_per_call
            for start in range(0, len(group), max_messages):
                self._send(endpoint, group[start : start + max_messages])

    def _send(self, endpoint: PoolEndpoint, sends: list[Send]) -> None:
        context = self.context
        now = context.scheduler.now()
        call = Call(endpoint, [], [], [], now, [])
        for send in sends:
            message = context.messages.by_id[send.message]  # held: the policy sends no message that it ended
            call.messages.append(message)
            call.attempt_numbers.append(message.attempt_count)
            call.timeouts.append(send.timeout)
            call.pending.append(True)
            context.calls_in_flight[message.id] = call
        longest_timeout = call.timeout
        for message, timeout in zip(call.messages, call.timeouts, strict=True):
            if timeout < longest_timeout:  # limited by this message's deadline; the others may wait longer
                context.scheduler.call_at(
                    now + timeout, partial(self.outcomes.message_expired, call, message)
                )
        context.transports[endpoint.transport].start(call)

    def start_call(self, call: Call) -> bool:
        """Check a call right before its first byte and return whether any of its messages may start.

        Each message that starts is written to the journal. A message that must not start any more is removed
        from the call, and no attempt is used up. The check is needed because a connection takes time to open:
        meanwhile a Retry-After may have been received, the endpoint may have started to drain or moved to
        another address, or the process may have started to shut down.
        """
        now = self.context.scheduler.now()
        reachable = self._is_reachable(call.endpoint) and self._has_quota(call.endpoint, now)
        for index, message in enumerate(call.messages):
            if not call.pending[index]:
                continue
            if self.context.sending and reachable and self.context.policy.may_start(now, message.id):
                self._record_attempt(call, index, now)
            else:
                self.outcomes.message_not_started(call, index)
        started = [index for index, pending in enumerate(call.pending) if pending]
        call.messages = [call.messages[index] for index in started]
        call.attempt_numbers = [call.attempt_numbers[index] for index in started]
        call.timeouts = [call.timeouts[index] for index in started]
        call.pending = [True] * len(started)
        call.started = True
        return bool(started)

    def _record_attempt(self, call: Call, index: int, now: int) -> None:
        try:
            self.context.journal.record_attempt(
                call.messages[index], now, call.endpoint.zone, call.endpoint.id
            )
        except JournalFullError as error:  # an attempt that cannot be recorded must not be sent
            log.warning("journal.full", record="attempt", error=str(error))
            self._pause(call.endpoint, now + JOURNAL_RETRY_INTERVAL)
            self.outcomes.message_not_started(call, index)

    def _is_reachable(self, endpoint: PoolEndpoint) -> bool:
        """Return whether the endpoint is still listed with the same address and destination."""
        listed = self.context.pool.endpoints.get(endpoint.id)
        return (
            listed is not None
            and listed.address == endpoint.address
            and listed.destination == endpoint.destination
        )

    def _has_quota(self, endpoint: PoolEndpoint, now: int) -> bool:
        """Return whether this instance holds a quota of the destination's limit.

        Without a quota, make the policy wait for `QUOTA_CHECK_INTERVAL` before the next attempt.
        """
        quota_source = self.context.quota_source
        if quota_source is None or quota_source.quota_fraction(endpoint.destination, now) > 0:
            return True
        self._pause(endpoint, now + QUOTA_CHECK_INTERVAL)
        return False

    def _pause(self, endpoint: PoolEndpoint, until: int) -> None:
        """Make the policy start no call to the endpoint before this time."""
        self.context.event_queue.enqueue(RetryAfterReceived(endpoint.destination, endpoint.id, until))
