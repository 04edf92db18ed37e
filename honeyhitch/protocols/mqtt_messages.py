"""Conversion between MQTT publishes and submitted messages, final answers and calls to endpoints.

This module maps the user properties of the platform's protocol to the terms of this program.
"""

from __future__ import annotations

import base64
import json

from honeyhitch.dispatcher.delivery import Call, CallResult
from honeyhitch.journal.transactions import Ending, Transaction
from honeyhitch.policy.events import Outcome
from honeyhitch.protocols.calls import encode_batch_body, parse_load_report, parse_retry_after
from honeyhitch.protocols.mqtt_packets import FIRST_ERROR_REASON, Packet, Properties
from honeyhitch.protocols.mqtt_packets import Kind as PacketKind
from honeyhitch.protocols.transaction_parser import FieldError, TransactionParser
from honeyhitch.time_units import MILLISECOND, SECOND

# Reason codes of PUBACK (MQTT 5.0, 3.4.2.1).
QUOTA_EXCEEDED = 0x97
NO_SUBSCRIBERS = 0x10
ANSWER_QOS = 2
CALL_QOS = 1
MAX_REPLY_CONTEXT_BYTES = 4096  # response topic and correlation data of a publish, encoded for the journal
UNDELIVERABLE = "undeliverable"
STATUS_BY_ENDING = {Ending.DELIVERED: "delivered", Ending.REJECTED: "deferred", Ending.FAILED: UNDELIVERABLE}


def encode_reply_context(packet: Packet) -> str:
    """Return the response topic and correlation data of a publish as JSON, which the journal stores.

    Raise FieldError if the response topic is missing, empty or contains a wildcard, and if both together are
    too long.
    """
    topic = packet.properties.get("response_topic")
    if not isinstance(topic, str) or not topic or "+" in topic or "#" in topic:
        raise FieldError("response topic: expected one topic name")
    correlation = packet.properties.get("correlation", b"")
    data = base64.b64encode(correlation if isinstance(correlation, bytes) else b"").decode()
    reply_context = json.dumps({"topic": topic, "data": data}, separators=(",", ":"))
    if len(reply_context) > MAX_REPLY_CONTEXT_BYTES:
        raise FieldError(f"response topic and correlation data: over {MAX_REPLY_CONTEXT_BYTES} bytes")
    return reply_context


def parse_transaction(parser: TransactionParser, packet: Packet, now: int) -> Transaction:
    """Return the transaction that a publish submits; its user properties are the fields.

    `now` is a Unix time in nanoseconds. Raise FieldError for a missing or invalid field.
    """
    reply_context = encode_reply_context(packet)
    fields = dict(packet.user)
    transaction = parser.parse(fields.get("id", "").encode(), fields, packet.payload, now)
    expiry = packet.properties.get("message_expiry")
    if isinstance(expiry, int):  # in seconds; the server subtracts the time for which it held the publish
        transaction.deadline = min(transaction.deadline, now + expiry * SECOND)
    transaction.frontend = "mqtt"
    transaction.reply_context = reply_context
    return transaction


def encode_answer(reply_context: str, message_id: str, status: str, details: dict[str, object]) -> Packet:
    """Return the publish of one final answer."""
    context = json.loads(reply_context)
    properties: Properties = {"content_type": "application/json"}
    if context["data"]:
        properties["correlation"] = base64.b64decode(context["data"])
    content = {"id": message_id, "status": status, **details}
    return Packet(
        PacketKind.PUBLISH,
        topic=context["topic"],
        payload=json.dumps(content, separators=(",", ":")).encode(),
        qos=ANSWER_QOS,
        properties=properties,
        user=[("id", message_id), ("status", status)],
    )


def encode_final_answer(transaction: Transaction) -> Packet:
    """Return the publish of the final answer to an accepted message that has ended."""
    ending = transaction.ending or Ending.FAILED
    details: dict[str, object] = {}
    if ending is Ending.REJECTED and transaction.retry_after:
        details["again_ms"] = max(1, transaction.retry_after // MILLISECOND)
    status = STATUS_BY_ENDING.get(ending, UNDELIVERABLE)
    return encode_answer(transaction.reply_context, transaction.id, status, details)


def encode_call(call: Call, time_left: int) -> Packet:
    """Return the publish of one call, with one message or a batch; `time_left` is in nanoseconds."""
    user = [("left-ms", str(max(1, time_left // MILLISECOND)))]
    if len(call.messages) == 1:
        message = call.messages[0]
        user.append(("id", message.id))
        if message.key:
            user.append(("key", message.key))
        payload = message.body
    else:
        user.append(("batch", str(len(call.messages))))
        payload = encode_batch_body(call.messages)
    return Packet(PacketKind.PUBLISH, topic=call.endpoint.address, payload=payload, qos=CALL_QOS, user=user)


def interpret_acknowledgement(
    call: Call, acknowledgement: Packet | None, may_have_been_sent: bool
) -> CallResult:
    """Return the result of a call whose publish has ended.

    `acknowledgement` is None if the connection was lost before one was received. `may_have_been_sent`: the
    publish may have reached the server.
    """
    count = len(call.messages)
    if acknowledgement is None:
        return CallResult.uniform(Outcome.RESET if may_have_been_sent else Outcome.CONNECT_FAILED, count)
    result = _result_of_reason(acknowledgement.reason, count)
    headers = {name.lower(): value for name, value in acknowledgement.user}
    result.retry_after = parse_retry_after(headers)
    result.reported = parse_load_report(headers.get("x-pressure", ""))
    return result


def _result_of_reason(reason: int, count: int) -> CallResult:
    if reason == NO_SUBSCRIBERS:  # the server accepted the call, but no subscriber received or executed it
        return CallResult.uniform(Outcome.CONNECT_FAILED, count)
    if reason == QUOTA_EXCEEDED:
        return CallResult.uniform(Outcome.REJECTED, count)
    if reason >= FIRST_ERROR_REASON:
        return CallResult.uniform(Outcome.ERROR, count)
    return CallResult.uniform(Outcome.DELIVERED, count, True)
