"""The table `[mqtt]` of the operator's file."""

from __future__ import annotations

from collections.abc import Mapping

from honeyhitch.config import tls
from honeyhitch.config.deployment import Address, ConfigError, MqttEndpoint, MqttSettings
from honeyhitch.config.values import ConfigTable
from honeyhitch.policy.settings import Settings


def _topic(text: str, name: str, wild: bool) -> str:
    if not text or "\0" in text or (not wild and ("+" in text or "#" in text)):
        raise ConfigError(f"{name}: expected {'a topic filter' if wild else 'one topic name'}, got {text!r}")
    return text


def parse_mqtt(told: object, name: str, settings: Settings, environ: Mapping[str, str]) -> MqttSettings:
    """The front, its session and the members behind the broker."""
    table = ConfigTable(told, "mqtt")
    members = []
    for i, row in enumerate(table.get("member", list, [])):
        inner = ConfigTable(row, f"mqtt.member.{i}")
        member = MqttEndpoint(
            id=inner.get("id", str),
            topic=_topic(inner.get("topic", str), f"{inner.path}.topic", False),
            destination=inner.get("dest", int),
            kind=inner.get("kind", str, settings.kinds[0].name),
            zone=inner.get("zone", str, ""),
            rate=inner.get("rate", float, 1.0),
        )
        if member.kind not in [kind.name for kind in settings.kinds]:
            raise ConfigError(f"{inner.path}.kind: not a kind in the settings: {member.kind!r}")
        inner.reject_unknown_keys()
        members.append(member)
    password, secure = table.optional("password", str), table.optional("tls", dict)
    parse_mqtt = MqttSettings(
        broker=str(Address.parse(table.get("broker", str), "mqtt.broker")),
        intake=_topic(table.get("intake", str, "honeyhitch/intake"), "mqtt.intake", True),
        client_id=table.get("client-id", str, name),
        keep_alive_seconds=table.get("keep-alive", int, 20),
        session_expiry_seconds=table.get("session-expiry", int, 3600),
        username=table.optional("username", str),
        password=None if password is None else password.encode(),
        endpoints=tuple(members),
        tls=tls.parse_broker_tls(secure, environ) if secure is not None else None,
    )
    for key, value, least in (
        ("keep-alive", parse_mqtt.keep_alive_seconds, 1),
        ("session-expiry", parse_mqtt.session_expiry_seconds, 1),
    ):
        if value < least:
            raise ConfigError(f"mqtt.{key}: expected at least {least}, got {value}")
    table.reject_unknown_keys()
    return parse_mqtt
