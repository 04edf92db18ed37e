"""The one place where configuration is read, checked and given its defaults."""

from __future__ import annotations

import json
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any, TypeVar

from honeyhitch import interface as api

EFFECTS = {"pure": api.Effect.SAFE, "token": api.Effect.KEYED, "side_effect": api.Effect.UNSAFE}
T = TypeVar("T")
FIXED_SOCKETS = 32  # standard streams, loop, journal, listeners, discovery, broker, one just accepted
LEAST_ROOM = 16  # descriptors for calls, clients and idle connections together


class ConfigError(Exception):
    """A value that cannot be used; the message names its key."""


def whole(text: str, name: str) -> int:
    if not text.removeprefix("-").isascii() or not text.removeprefix("-").isdigit():
        raise ConfigError(f"{name}: expected a whole number, got {text!r}")
    return int(text)


def decimal(text: str, name: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = float("nan")
    if value - value != 0:
        raise ConfigError(f"{name}: expected a number, got {text!r}")
    return value


def pick(table: dict[str, T], text: str, name: str) -> T:
    if text not in table:
        raise ConfigError(f"{name}: expected one of {', '.join(table)}, got {text!r}")
    return table[text]


def _flatten(value: object, path: str, into: dict[str, str]) -> None:
    if isinstance(value, dict):
        for name, inner in value.items():
            _flatten(inner, f"{path}.{name}" if path else str(name), into)
    elif isinstance(value, list) and any(isinstance(inner, dict) for inner in value):
        into[f"{path}.count"] = str(len(value))
        for i, inner in enumerate(value):
            _flatten(inner, f"{path}.{i}", into)
    elif isinstance(value, list):
        into[path] = ",".join(_plain(inner) for inner in value)
    elif value is not None:
        into[path] = _plain(value)


def _plain(value: object) -> str:
    return str(value).lower() if isinstance(value, bool) else str(value)


class Pairs:
    """The path=value pairs of an instance's settings; unknown paths are never looked at."""

    def __init__(self, values: dict[str, str]) -> None:
        self.values = values

    @classmethod
    def of_words(cls, words: list[str]) -> Pairs:
        """From the words of a line, each path=value."""
        return cls(dict(word.partition("=")[::2] for word in words))

    @classmethod
    def of_nested(cls, value: object) -> Pairs:
        """From nested JSON: paths are joined by dots, plain lists by commas, lists of objects get a count."""
        values: dict[str, str] = {}
        _flatten(value, "", values)
        return cls(values)

    def text(self, path: str, default: str | None = None) -> str:
        """The value of a path; one without a default must be there."""
        value = self.values.get(path, default)
        if value is None:
            raise ConfigError(f"{path}: this setting is missing")
        return value

    def whole(self, path: str, default: str | None = None) -> int:
        """The value as a whole number."""
        return whole(self.text(path, default), path)

    def number(self, path: str, default: str | None = None) -> float:
        """The value as a number."""
        return decimal(self.text(path, default), path)

    def flag(self, path: str, default: str | None = None) -> bool:
        """The value as true or false."""
        return pick({"true": True, "false": False, "1": True, "0": False}, self.text(path, default), path)

    def items(self, path: str) -> list[str]:
        """The value as a list of plain values."""
        text = self.text(path, "")
        return text.split(",") if text else []

    def message_class(self, i: int) -> api.MessageClass:
        """Class number i."""
        at = f"classes.{i}."
        return api.MessageClass(
            effect=pick(EFFECTS, self.text(at + "semantics"), at + "semantics"),
            aim=self.whole(at + "aim"),
            deadline=self.whole(at + "deadline"),
            worth=self.number(at + "worth", "1"),
            late_share=self.number(at + "late-share", "0"),
            group=api.Group.ALL if self.text(at + "group", "all") == "all" else api.Group.ZONE,
            window=self.whole(at + "window", "0"),
            in_order=self.flag(at + "by-arrival", "false"),
            aim_stretch=self.number(at + "aim-stretch", "0"),
            name=self.text(at + "name", ""),
        )

    def kinds(self) -> tuple[api.Kind, ...]:
        """The kinds of destination."""
        apart = [word in ("true", "1") for word in self.items("family-info.own-limits")]
        sizes = [whole(word, "family-info.per-call") for word in self.items("family-info.per-call")]
        names = self.items("shapes")
        count = max(len(names), len(apart), len(sizes), 1)
        names += [""] * (count - len(names))
        apart += [False] * (count - len(apart))
        sizes += [1] * (count - len(sizes))
        return tuple(api.Kind(*row) for row in zip(apart, sizes, names, strict=True))

    def settings(self) -> api.Settings:
        """All of it, in the module's terms."""
        scales = {s.value: s for s in api.Scale} | {"live": api.Scale.ROUGH}
        tenants = range(self.whole("tenants.count", "0"))
        return api.Settings(
            classes=tuple(self.message_class(i) for i in range(self.whole("classes.count"))),
            kinds=self.kinds(),
            slots=self.whole("family-info.call-slots"),
            fall_multiple=self.number("invariants.fall-multiple"),
            cold_share=self.number("invariants.cold-share"),
            cold=self.whole("invariants.cold"),
            order_pause=self.whole("invariants.order-pause", "0"),
            instances=self.whole("replicas-of-me", "1"),
            zone=self.whole("zone", "0"),
            max_attempts=self.whole("caps.most-tries", "5"),
            cancel=self.flag("caps.cancel", "false"),
            retry_after=self.flag("caps.retry-after", "true"),
            max_retry_after=self.whole("caps.max-retry-after", "0"),
            connect_timeout=self.whole("caps.connect-timeout", "0"),
            must_ask=self.text("discovery", "automatic") == "subscribe",
            resolution=self.whole("resolution", "0"),
            decay=pick({d.value: d for d in api.Decay}, self.text("family-info.decay", "line"), "decay"),
            scale=pick(scales, self.text("weights", "off"), "weights"),
            price_cross_zone=self.number("prices.cross-zone", "0"),
            tenant_rates=tuple(self.number(f"tenants.{i}.quota-rps") for i in tenants),
            over_share_worth=self.number("over-share-worth", "1"),
            tenant_names=tuple(self.text(f"tenants.{i}.name", "") for i in tenants),
            zone_names=tuple(self.items("zones")),
            report_fields=tuple(self.items("report.fields")),
            max_open=self.whole("caps.max-open", str(1 << 30)),
            conn_idle=self.whole("caps.conn-idle", "0"),
        )


@dataclass(frozen=True, slots=True)
class Address:
    """Where something listens."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: object, name: str) -> Address:
        """From HOST:PORT."""
        host, _, port = str(text).rpartition(":")
        if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
            raise ConfigError(f"{name}: expected HOST:PORT, got {text!r}")
        return cls(host, int(port))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class Limits:
    """What the machine grants; going over it is a crash."""

    sockets: int = 1024  # descriptors
    disk: int = 3_000_000  # bytes in the lasting folder


@dataclass(frozen=True, slots=True)
class MqttMember:
    """A pool member behind the broker."""

    id: str
    topic: str
    destination: int
    kind: str = ""
    zone: str = ""
    rate: float = 1.0


@dataclass(frozen=True, slots=True)
class MqttSetup:
    """The MQTT front, as the operator's file sets it up."""

    broker: str
    intake: str
    client_id: str
    keep_alive: int = 20  # seconds
    session_expiry: int = 3600  # seconds
    username: str | None = None
    password: bytes | None = None
    members: tuple[MqttMember, ...] = ()


@dataclass(frozen=True, slots=True)
class Operator:
    """What an operator's file adds; nothing of it is on by itself."""

    mqtt: MqttSetup | None = None
    agent_check: Address | None = None
    health: Address | None = None


@dataclass(frozen=True, slots=True)
class Config:
    """What one dispatcher is told at its start; what the module needs of it is in `settings`."""

    name: str
    listen: Address
    discovery: Address
    state: Path
    seed: int
    limits: Limits
    known: dict[str, Any]
    settings: api.Settings
    operator: Operator
    words: dict[str, Any]  # the file's own words at the start, for what a variable can say too


def _seed(value: object) -> int:
    try:
        return int(value, 16) if isinstance(value, str) else int(value)  # type: ignore[call-overload]
    except (TypeError, ValueError):
        raise ConfigError(f"seed: expected a number or hexadecimal digits, got {value!r}") from None


def _json(path: str) -> dict[str, Any]:
    try:
        value = json.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError(f"ROUTER_CONFIG: cannot read {path}: {error.strerror}") from error
    except ValueError as error:
        raise ConfigError(f"ROUTER_CONFIG: {path} is not JSON: {error}") from error
    if not isinstance(value, dict):
        raise ConfigError(f"ROUTER_CONFIG: expected an object in {path}")
    return value


def _limits(told: object) -> Limits:
    told = told if isinstance(told, dict) else {}
    numbers = {name: told.get(name, default) for name, default in (("sockets", 1024), ("disk_mb", 3))}
    for name, value in numbers.items():
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not value > 0:
            raise ConfigError(f"limits.{name}: expected a number above 0, got {value!r}")
    return Limits(sockets=int(numbers["sockets"]), disk=int(numbers["disk_mb"] * 1_000_000))


class _Table:
    """One table of the operator's file. What is not asked for is a mistake, and is named."""

    def __init__(self, told: object, at: str) -> None:
        if not isinstance(told, dict):
            raise ConfigError(f"{at}: expected a table")
        self.left, self.at = dict(told), at

    def get(self, name: str, form: type[T], default: T | None = None) -> T:
        """A value of this type; one without a default must be there."""
        value = self.left.pop(name, default)
        if form is float and isinstance(value, int):
            value = float(value)
        if isinstance(value, form) and not (form is not bool and isinstance(value, bool)):
            return value
        raise ConfigError(
            f"{self.at}.{name}: " + ("missing" if value is None else f"expected {form.__name__}")
        )

    def maybe(self, name: str, form: type[T]) -> T | None:
        """A value of this type, or None."""
        return self.get(name, form) if name in self.left else None

    def done(self) -> None:
        """Everything was asked for."""
        for name in self.left:
            raise ConfigError(f"{self.at}.{name}: no such key")


def _topic(text: str, name: str, wild: bool) -> str:
    if not text or "\0" in text or (not wild and ("+" in text or "#" in text)):
        raise ConfigError(f"{name}: expected {'a topic filter' if wild else 'one topic name'}, got {text!r}")
    return text


def _mqtt(told: object, name: str, settings: api.Settings) -> MqttSetup:
    table = _Table(told, "mqtt")
    members = []
    for i, row in enumerate(table.get("member", list, [])):
        inner = _Table(row, f"mqtt.member.{i}")
        member = MqttMember(
            id=inner.get("id", str),
            topic=_topic(inner.get("topic", str), f"{inner.at}.topic", False),
            destination=inner.get("dest", int),
            kind=inner.get("kind", str, settings.kinds[0].name),
            zone=inner.get("zone", str, ""),
            rate=inner.get("rate", float, 1.0),
        )
        if member.kind not in [kind.name for kind in settings.kinds]:
            raise ConfigError(f"{inner.at}.kind: not a kind in the settings: {member.kind!r}")
        inner.done()
        members.append(member)
    password = table.maybe("password", str)
    setup = MqttSetup(
        broker=str(Address.parse(table.get("broker", str), "mqtt.broker")),
        intake=_topic(table.get("intake", str, "honeyhitch/intake"), "mqtt.intake", True),
        client_id=table.get("client-id", str, name),
        keep_alive=table.get("keep-alive", int, 20),
        session_expiry=table.get("session-expiry", int, 3600),
        username=table.maybe("username", str),
        password=None if password is None else password.encode(),
        members=tuple(members),
    )
    for key, value, least in (
        ("keep-alive", setup.keep_alive, 1),
        ("session-expiry", setup.session_expiry, 1),
    ):
        if value < least:
            raise ConfigError(f"mqtt.{key}: expected at least {least}, got {value}")
    table.done()
    return setup


def _operator(path: str, name: str, settings: api.Settings) -> Operator:
    if not path:
        return Operator()
    try:
        told = tomllib.loads(Path(path).read_text())
    except OSError as error:
        raise ConfigError(f"ROUTER_OPERATOR: cannot read {path}: {error.strerror}") from error
    except ValueError as error:
        raise ConfigError(f"ROUTER_OPERATOR: {path} is not TOML: {error}") from error
    table = _Table(told, path)
    beside = _Table(table.get("beside", dict, {}), "beside")
    addresses = {key: beside.maybe(key, str) for key in ("agent-check", "health")}
    beside.done()
    mqtt = table.maybe("mqtt", dict)
    table.done()
    parsed = {key: Address.parse(text, f"beside.{key}") if text else None for key, text in addresses.items()}
    setup = _mqtt(mqtt, name, settings) if mqtt is not None else None
    return Operator(setup, parsed["agent-check"], parsed["health"])


def read(
    environ: Mapping[str, str],
    path: str | None = None,
    operator: str | None = None,
    before: Config | None = None,
) -> Config:
    """The configuration: the file named in ROUTER_CONFIG, the other variables before its own words, and
    the operator's file where ROUTER_OPERATOR or the command line names one.

    With `before` it is read again by a process that runs. Its variables are as old as its start and cannot
    follow a new file: where the file no longer says what it said then, the file wins.
    """
    path = path or environ.get("ROUTER_CONFIG", "")
    if not path:
        raise ConfigError("ROUTER_CONFIG: this variable is missing; it names the configuration's JSON file")
    told = _json(path)
    words = {key: told.get(key) for key in ("name", "listen", "discovery", "state")}
    first = before.words if before is not None else words
    values = {
        key: word if word and word != first[key] else environ.get(f"ROUTER_{key.upper()}") or word
        for key, word in words.items()
    }
    for key, value in values.items():
        if not value:
            raise ConfigError(f"{key}: missing; give it in the file or as ROUTER_{key.upper()}")
    if not isinstance(told.get("settings"), dict):
        raise ConfigError("settings: expected an object")
    try:
        settings = Pairs.of_nested(told["settings"]).settings()
    except (ConfigError, ValueError) as error:
        raise ConfigError(f"settings.{error}") from error
    limits = _limits(told.get("limits"))
    room = limits.sockets - FIXED_SOCKETS
    if room < LEAST_ROOM:
        raise ConfigError(
            f"limits.sockets: expected at least {FIXED_SOCKETS + LEAST_ROOM}, got {limits.sockets}"
        )
    settings = replace(settings, slots=min(settings.slots, room // 2))  # a call is a descriptor
    known = told.get("known") or {"revision": 0, "complete": True, "members": []}
    if not isinstance(known, dict):
        raise ConfigError("known: expected an object in discovery's form")
    return Config(
        name=str(values["name"]),
        listen=Address.parse(values["listen"], "listen"),
        discovery=Address.parse(values["discovery"], "discovery"),
        state=Path(str(values["state"])),
        seed=_seed(told.get("seed", 0)),
        limits=limits,
        known=known,
        settings=settings,
        operator=_operator(operator or environ.get("ROUTER_OPERATOR", ""), str(values["name"]), settings),
        words=first,
    )
