"""Parser of the table `[mqtt]` of the operator's file, which enables the MQTT frontend and transport."""

from __future__ import annotations

from collections.abc import Mapping

from honeyhitch.config import tls
from honeyhitch.config.deployment import Address, ConfigError, MqttEndpoint, MqttSettings
from honeyhitch.config.values import ConfigTable
from honeyhitch.policy.settings import Settings


def parse_mqtt(value: object, name: str, settings: Settings, environ: Mapping[str, str]) -> MqttSettings:
    """Return the settings of the frontend, its session and the endpoints behind the broker.

    `name` is the name of the instance, and the default client id. Raise ConfigError if a value is invalid.
    """
    table = ConfigTable(value, "mqtt")
    rows = table.get("member", list, [])
    endpoints = tuple(
        _parse_endpoint(ConfigTable(row, f"mqtt.member.{index}"), settings) for index, row in enumerate(rows)
    )
    password = table.optional("password", str)
    tls_table = table.optional("tls", dict)
    parsed = MqttSettings(
        broker=str(Address.parse(table.get("broker", str), "mqtt.broker")),
        intake=_topic_filter(table.get("intake", str, "honeyhitch/intake"), "mqtt.intake"),
        client_id=table.get("client-id", str, name),
        keep_alive_seconds=table.get("keep-alive", int, 20),
        session_expiry_seconds=table.get("session-expiry", int, 3600),
        username=table.optional("username", str),
        password=None if password is None else password.encode(),
        endpoints=endpoints,
        tls=tls.parse_broker_tls(tls_table, environ) if tls_table is not None else None,
    )
    for key, seconds in (
        ("keep-alive", parsed.keep_alive_seconds),
        ("session-expiry", parsed.session_expiry_seconds),
    ):
        if seconds < 1:
            raise table.invalid(key, f"expected at least 1, got {seconds}")
    table.reject_unknown_keys()
    return parsed


def _parse_endpoint(table: ConfigTable, settings: Settings) -> MqttEndpoint:
    endpoint = MqttEndpoint(
        id=table.get("id", str),
        topic=_topic_name(table.get("topic", str), f"{table.path}.topic"),
        destination=table.get("dest", int),
        kind=table.get("kind", str, settings.kinds[0].name),
        zone=table.get("zone", str, ""),
        rate=table.get("rate", float, 1.0),
    )
    if endpoint.kind not in [kind.name for kind in settings.kinds]:
        raise table.invalid("kind", f"not a kind in the settings: {endpoint.kind!r}")
    table.reject_unknown_keys()
    return endpoint


def _topic_filter(text: str, name: str) -> str:
    if not text or "\0" in text:
        raise ConfigError(f"{name}: expected a topic filter, got {text!r}")
    return text


def _topic_name(text: str, name: str) -> str:
    if not text or "\0" in text or "+" in text or "#" in text:
        raise ConfigError(f"{name}: expected a topic name without wildcards, got {text!r}")
    return text
