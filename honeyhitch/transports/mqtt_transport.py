"""Sends calls to endpoints behind an MQTT broker.

The session for calls ends with its connection, so that the MQTT protocol never sends a call again by itself.
"""

from __future__ import annotations

from functools import partial

from honeyhitch.dispatcher.delivery import Call, CallResult
from honeyhitch.endpoints.endpoint import PoolEndpoint
from honeyhitch.policy.events import Outcome
from honeyhitch.protocols import mqtt_messages
from honeyhitch.protocols.mqtt import OutgoingPublish
from honeyhitch.protocols.mqtt_packets import Packet
from honeyhitch.transports.mqtt_link import MqttContext


class MqttTransport:
    """The transport for the endpoints that the operator configured behind the broker."""

    def __init__(self, context: MqttContext) -> None:
        self.dispatcher = context.dispatcher
        self.scheduler = context.scheduler
        self.session = context.create_session("calls", session_expiry=0)
        self.link = context.create_link(self.session)
        self.running: dict[Call, OutgoingPublish | None] = {}

    def start(self, call: Call) -> None:
        """Publish a call; without a connection the call fails as one that cannot have been executed."""
        self.running[call] = None
        if not self.session.connected:
            result = CallResult.uniform(Outcome.CONNECT_FAILED, len(call.messages))
            self.scheduler.call_at(self.scheduler.now(), lambda: self._finish(call, result))
            return
        packet = mqtt_messages.encode_call(call, call.timeout)
        publish = self.session.publish(
            packet, partial(self._on_done, call), partial(self._create_packet, call)
        )
        if call in self.running:  # the call may have ended during `publish`
            self.running[call] = publish
        self.link.output_ready.set()
        self.scheduler.call_at(call.sent_at + call.timeout, lambda: self._stop(call, Outcome.TIMEOUT))

    def _on_done(self, call: Call, acknowledgement: Packet | None, may_have_been_sent: bool) -> None:
        self._finish(call, mqtt_messages.interpret_acknowledgement(call, acknowledgement, may_have_been_sent))

    def _create_packet(self, call: Call) -> Packet | None:
        """Return the packet to send, with the time that remains now, or None if the call is withdrawn."""
        if self.dispatcher.start_call(call):
            return mqtt_messages.encode_call(call, call.sent_at + call.timeout - self.scheduler.now())
        self._finish(call, CallResult([]))
        return None

    def _finish(self, call: Call, result: CallResult) -> None:
        if call not in self.running:
            return
        publish = self.running.pop(call)
        if publish is not None and publish.sent:
            self.dispatcher.call_written(call)
        self.dispatcher.call_ended(call, result)

    def _stop(self, call: Call, outcome: Outcome) -> None:
        publish = self.running.get(call)
        if publish is None:
            return
        self.session.withdraw(publish, partial(self._on_late_acknowledgement, call))
        if not publish.sent:  # the publish was still waiting for the broker's receive maximum
            outcome = Outcome.CONNECT_FAILED
        self._finish(call, CallResult.uniform(outcome, len(call.messages)))

    def _on_late_acknowledgement(
        self, call: Call, acknowledgement: Packet | None, may_have_been_sent: bool
    ) -> None:
        result = mqtt_messages.interpret_acknowledgement(call, acknowledgement, may_have_been_sent)
        self.dispatcher.retry_after_received(call.endpoint, result.retry_after)

    def cancel(self, call: Call) -> None:
        """Stop waiting for a call. A publish that was sent cannot be revoked, so the call may be executed."""
        self._stop(call, Outcome.CANCELLED)

    def close_idle(self, _endpoint: PoolEndpoint) -> None:
        """Do nothing, because all endpoints share one connection, which is always in use."""
