"""What MQTT publishes mean here: transactions that come in, final answers, calls to pool members."""

from __future__ import annotations

import base64
import json

from honeyhitch.dispatcher.delivery import Call, CallResult
from honeyhitch.journal.transactions import Ending, Transaction
from honeyhitch.policy.events import Outcome
from honeyhitch.protocols.calls import encode_batch_body, parse_load_report, parse_retry_after
from honeyhitch.protocols.mqtt_packets import Kind as PacketKind
from honeyhitch.protocols.mqtt_packets import Packet, Properties
from honeyhitch.protocols.transaction_parser import FieldError, TransactionParser
from honeyhitch.time_units import MILLISECOND, SECOND

QUOTA_EXCEEDED, NO_SUBSCRIBERS = 0x97, 0x10
STATUS = {Ending.DELIVERED: "delivered", Ending.REJECTED: "deferred", Ending.FAILED: "undeliverable"}


def encode_reply_context(packet: Packet) -> str:
    """What is needed to answer a publish later, or FieldError where it names no topic to answer on."""
    topic, correlation = packet.properties.get("response_topic"), packet.properties.get("correlation", b"")
    if not isinstance(topic, str) or not topic or "+" in topic or "#" in topic:
        raise FieldError("response topic: expected one topic name")
    data = base64.b64encode(correlation if isinstance(correlation, bytes) else b"").decode()
    return json.dumps({"topic": topic, "data": data}, separators=(",", ":"))


def parse_transaction(fields: TransactionParser, packet: Packet, now: int) -> Transaction:
    """The transaction that a publish hands in; named like the other front's fields."""
    reply, told = encode_reply_context(packet), dict(packet.user)
    taken = fields.parse(told.get("id", "").encode(), told, packet.payload, now)
    expiry = packet.properties.get("message_expiry")
    if isinstance(expiry, int):  # the server counts it down while it holds the publish
        taken.deadline = min(taken.deadline, now + expiry * SECOND)
    taken.frontend, taken.reply_context = "mqtt", reply
    return taken


def encode_answer(reply: str, name: str, status: str, more: dict[str, object]) -> Packet:
    """One final answer."""
    to = json.loads(reply)
    properties: Properties = {"content_type": "application/json"}
    if to["data"]:
        properties["correlation"] = base64.b64decode(to["data"])
    body = json.dumps({"id": name, "status": status, **more}, separators=(",", ":")).encode()
    user = [("id", name), ("status", status)]
    return Packet(
        PacketKind.PUBLISH, topic=to["topic"], payload=body, qos=2, properties=properties, user=user
    )


def encode_final_answer(ended: Transaction) -> Packet:
    """The final answer to a transaction that was taken on."""
    ending = ended.ending or Ending.FAILED
    more: dict[str, object] = {}
    if ending is Ending.REJECTED and ended.retry_after:
        more["again_ms"] = max(1, ended.retry_after // MILLISECOND)
    return encode_answer(ended.reply_context, ended.id, STATUS.get(ending, "undeliverable"), more)


def encode_call(out: Call, left: int) -> Packet:
    """The publish that carries one call: a message, or several as the lines of a batch."""
    user = [("left-ms", str(max(1, left // MILLISECOND)))]
    packet = Packet(PacketKind.PUBLISH, topic=out.endpoint.address, qos=1, user=user)
    if len(out.messages) == 1:
        (part,) = out.messages
        user += [("id", part.id), ("key", part.key)] if part.key else [("id", part.id)]
        packet.payload = part.body
    else:
        user.append(("batch", str(len(out.messages))))
        packet.payload = encode_batch_body(out.messages)
    return packet


def interpret_acknowledgement(out: Call, ack: Packet | None, left: bool) -> CallResult:
    """What the acknowledgement of a call says, or the lack of one; `left`: it may have gone out."""
    count = len(out.messages)
    if ack is None:
        return CallResult.uniform(Outcome.RESET if left else Outcome.CONNECT_FAILED, count)
    if ack.reason == NO_SUBSCRIBERS:  # taken by the server, but nobody is there: it has not run
        result = CallResult.uniform(Outcome.CONNECT_FAILED, count)
    elif ack.reason == QUOTA_EXCEEDED:
        result = CallResult.uniform(Outcome.REJECTED, count)
    elif ack.reason >= 0x80:
        result = CallResult.uniform(Outcome.ERROR, count)
    else:
        result = CallResult.uniform(Outcome.DELIVERED, count, True)
    told = {name.lower(): value for name, value in ack.user}
    result.retry_after, result.reported = (
        parse_retry_after(told),
        parse_load_report(told.get("x-pressure", "")),
    )
    return result
