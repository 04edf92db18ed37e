"""The settings of an instance, in both forms in which they come: nested JSON, and words of a line."""

from __future__ import annotations

from honeyhitch.config.deployment import ConfigError
from honeyhitch.config.values import decimal, pick, whole
from honeyhitch.policy import interface as api

EFFECTS = {"pure": api.Effect.SAFE, "token": api.Effect.KEYED, "side_effect": api.Effect.UNSAFE}


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

    def count(self, path: str, default: str | None = None) -> int:
        """The value as a whole number of at least 1."""
        value = self.whole(path, default)
        if value < 1:
            raise ConfigError(f"{path}: must be at least 1, got {value}")
        return value

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
            slots=self.count("family-info.call-slots"),
            fall_multiple=self.number("invariants.fall-multiple"),
            cold_share=self.number("invariants.cold-share"),
            cold=self.count("invariants.cold"),
            order_pause=self.whole("invariants.order-pause", "0"),
            instances=self.count("replicas-of-me", "1"),
            zone=self.whole("zone", "0"),
            max_attempts=self.count("caps.most-tries", "5"),
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
            max_open=self.count("caps.max-open", str(1 << 30)),
            conn_idle=self.whole("caps.conn-idle", "0"),
            drain_grace=self.whole("invariants.drain-grace", "2000000000"),
        )
