"""The MQTT frontend: accepts messages from the intake topic, and publishes each final answer.

The broker keeps both sessions when a connection breaks, so that no message and no answer is lost.
"""

from __future__ import annotations

from honeyhitch import logs
from honeyhitch.dispatcher.fair_share import new_submitter
from honeyhitch.journal.transactions import Transaction
from honeyhitch.protocols import mqtt_messages
from honeyhitch.protocols.mqtt_packets import FIRST_ERROR_REASON, Packet
from honeyhitch.protocols.transaction_parser import MAX_ID_LENGTH, FieldError, TransactionParser
from honeyhitch.time_units import MILLISECOND, SECOND
from honeyhitch.transports.mqtt_link import MqttContext

log = logs.get_logger()
IMPLEMENTATION_SPECIFIC_ERROR = 0x83  # reason code of PUBACK
MAX_REJECTED_IDS = 10_000  # message ids of rejected messages that are kept to recognize a redelivery
MAX_UNCONFIRMED_ANSWERS = 1024  # beyond which no further message is read
QUOTA_RETRY_DELAY = SECOND  # ns before an answer that exceeded the broker's quota is published again


class MqttFrontend:
    """Submits the messages of the intake topic, and publishes each answer to the message's response topic."""

    def __init__(self, context: MqttContext) -> None:
        settings = context.settings
        dispatcher = context.dispatcher
        self.dispatcher = dispatcher
        self.scheduler = context.scheduler
        self.transaction_parser = TransactionParser(
            dispatcher.settings, dispatcher.pool.has_destination, dispatcher.metrics.message_invalid
        )
        expiry = settings.session_expiry_seconds
        self.intake = context.create_session("intake", expiry, clean_start=False)
        self.intake.subscriptions = [settings.intake]
        self.intake.on_publish = self._on_publish
        self.replies = context.create_session("answers", expiry)
        self.intake_link = context.create_link(self.intake)
        self.replies_link = context.create_link(self.replies)
        self.intake_link.may_read = self._may_accept
        self.links = (self.intake_link, self.replies_link)
        self.submitter = new_submitter()
        self.rejected: dict[str, None] = {}  # the latest ids of rejected messages, oldest first

    def _may_accept(self) -> bool:
        """Return whether the broker takes the answers, so that further messages may be read."""
        return len(self.replies.queue) + len(self.replies.outgoing) < MAX_UNCONFIRMED_ANSWERS

    def _on_publish(self, packet: Packet) -> None:
        if self.dispatcher.draining or not self.dispatcher.accepting:
            # Without an acknowledgement the broker delivers the message to the next process, or to another
            # dispatcher.
            return
        message_id = dict(packet.user).get("id", "")[:MAX_ID_LENGTH]
        try:
            reply_context = mqtt_messages.encode_reply_context(packet)
        except FieldError as error:  # the publish does not say where to send an answer
            log.warning("intake.rejected", error=str(error))
            self.intake.acknowledge(packet, IMPLEMENTATION_SPECIFIC_ERROR)
            return
        if message_id not in self.rejected:
            rejection = self._submit(packet, reply_context, message_id)
            if rejection is not None:
                self._remember_rejected(message_id)
                self._publish(rejection, None)
        # The acknowledgement must come last: the message or its rejection is now in the journal, so the
        # broker may discard it.
        self.intake.acknowledge(packet)
        self.intake_link.output_ready.set()

    def _submit(self, packet: Packet, reply_context: str, message_id: str) -> Packet | None:
        """Submit a message; return the answer if the journal takes neither the message nor its rejection.

        The answer to an invalid message is returned as well. It is not repeated after a kill.
        """
        try:
            transaction = mqtt_messages.parse_transaction(
                self.transaction_parser, packet, self.scheduler.now()
            )
            transaction.submitter = self.submitter
            admission = self.dispatcher.submit(transaction)
        except FieldError as error:
            return mqtt_messages.encode_answer(reply_context, message_id, "error", {"reason": str(error)})
        if admission.accepted or self.dispatcher.record_rejection(transaction, admission.retry_after):
            return None
        details: dict[str, object] = {"again_ms": admission.retry_after // MILLISECOND}
        return mqtt_messages.encode_answer(reply_context, message_id, "deferred", details)

    def _remember_rejected(self, message_id: str) -> None:
        # Messages without an id cannot be distinguished, so each delivery of such a message is answered.
        if message_id:
            self.rejected[message_id] = None
        if len(self.rejected) > MAX_REJECTED_IDS:
            del self.rejected[next(iter(self.rejected))]

    def answer(self, transaction: Transaction) -> None:
        """Publish the final answer to an accepted message."""
        self._publish(mqtt_messages.encode_final_answer(transaction), transaction)

    def _publish(self, answer: Packet, transaction: Transaction | None) -> None:
        def on_done(acknowledgement: Packet | None, _may_have_been_sent: bool) -> None:
            if acknowledgement is not None and acknowledgement.reason == mqtt_messages.QUOTA_EXCEEDED:
                retry_at = self.scheduler.now() + QUOTA_RETRY_DELAY
                self.scheduler.call_at(retry_at, lambda: self._publish(answer, transaction))
                return
            _log_if_unconfirmed(answer, acknowledgement)
            if transaction is not None:
                self.dispatcher.answer_sent(transaction)

        self.replies.publish(answer, on_done)
        self.replies_link.output_ready.set()


def _log_if_unconfirmed(answer: Packet, acknowledgement: Packet | None) -> None:
    if acknowledgement is None:
        problem = "no acknowledgement"
    elif acknowledgement.reason >= FIRST_ERROR_REASON:
        problem = f"reason {acknowledgement.reason:#x}"
    else:
        return
    log.warning("answer.unconfirmed", topic=answer.topic, reason=problem, key=answer.topic)
