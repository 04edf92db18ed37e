"""Reads the settings of an instance from either form: nested JSON, or path=value pairs of a simulator line.

Only this module knows the keys of the two forms; the policy uses other names for the same settings.
"""

from __future__ import annotations

from honeyhitch.config.deployment import ConfigError
from honeyhitch.config.values import parse_choice, parse_integer, parse_number
from honeyhitch.policy.settings import (
    DeduplicationScope,
    DestinationKind,
    Idempotency,
    LateDecay,
    ListedRateMeaning,
    MessageClass,
    Settings,
    SettingsError,
)
from honeyhitch.time_units import SECOND

IDEMPOTENCY_BY_KEYWORD = {
    "pure": Idempotency.IDEMPOTENT,
    "token": Idempotency.IDEMPOTENCY_KEY,
    "side_effect": Idempotency.NON_IDEMPOTENT,
}

# The name in an error about a deployment's settings, for each field that the policy checks.
NAME_IN_ERRORS = {
    "classes.latency_objective": "classes.aim",
    "classes.priority_weight": "classes.worth",
    "classes.late_weight_fraction": "classes.late_share",
    "classes.deduplication_window": "classes.window",
    "classes.objective_work_factor": "classes.aim_stretch",
    "kinds.max_messages_per_call": "kinds.per_call",
    "max_concurrent_calls": "slots",
    "overload_factor": "fall_multiple",
    "slow_start_fraction": "cold_share",
    "slow_start_duration": "cold",
    "ordering_pause": "order_pause",
    "instance_count": "instances",
    "max_messages": "max_open",
    "connection_idle_timeout": "conn_idle",
    "over_quota_weight": "over_share_worth",
}


TRUTH_VALUES = {"true": True, "false": False, "1": True, "0": False}
UNLIMITED_MESSAGES = 1 << 30
DEFAULT_DRAIN_GRACE = 2 * SECOND


def _flatten(value: object, path: str, values: dict[str, str]) -> None:
    """Add `value` to `values` below this path: paths are joined by dots, lists of objects get a count."""
    if isinstance(value, dict):
        for name, item in value.items():
            _flatten(item, f"{path}.{name}" if path else str(name), values)
    elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
        values[f"{path}.count"] = str(len(value))
        for index, item in enumerate(value):
            _flatten(item, f"{path}.{index}", values)
    elif isinstance(value, list):
        values[path] = ",".join(_format(item) for item in value)
    elif value is not None:
        values[path] = _format(value)


def _format(value: object) -> str:
    return str(value).lower() if isinstance(value, bool) else str(value)


class SettingsReader:
    """The path=value pairs of an instance's settings. Unknown paths are ignored.

    The methods raise ConfigError, which names the path at fault.
    """

    def __init__(self, values: dict[str, str]) -> None:
        self.values = values

    @classmethod
    def from_pairs(cls, pairs: list[str]) -> SettingsReader:
        """Read the words of a simulator line, each of the form path=value."""
        values = dict[str, str]()
        for pair in pairs:
            path, _, value = pair.partition("=")
            values[path] = value
        return cls(values)

    @classmethod
    def from_nested(cls, value: object) -> SettingsReader:
        """Read nested JSON: paths are joined by dots, plain lists by commas, lists of objects get a count."""
        values = dict[str, str]()
        _flatten(value, "", values)
        return cls(values)

    def text(self, path: str, default: str | None = None) -> str:
        """Return the value of a path. Raise ConfigError if both the value and a default are missing."""
        value = self.values.get(path, default)
        if value is None:
            raise ConfigError(f"{path}: this setting is missing")
        return value

    def integer(self, path: str, default: str | None = None) -> int:
        """Return the value as a whole number."""
        return parse_integer(self.text(path, default), path)

    def positive_integer(self, path: str, default: str | None = None) -> int:
        """Return the value as a whole number of at least 1."""
        value = self.integer(path, default)
        if value < 1:
            raise ConfigError(f"{path}: must be at least 1, got {value}")
        return value

    def number(self, path: str, default: str | None = None) -> float:
        """Return the value as a number."""
        return parse_number(self.text(path, default), path)

    def flag(self, path: str, default: str | None = None) -> bool:
        """Return the value as a boolean."""
        return parse_choice(TRUTH_VALUES, self.text(path, default), path)

    def items(self, path: str) -> list[str]:
        """Return the items of a comma-separated value; a missing value has no items."""
        text = self.text(path, "")
        return text.split(",") if text else []

    def message_class(self, index: int) -> MessageClass:
        """Return the message class with this index."""
        prefix = f"classes.{index}."
        semantics = self.text(prefix + "semantics")
        return MessageClass(
            idempotency=parse_choice(IDEMPOTENCY_BY_KEYWORD, semantics, prefix + "semantics"),
            latency_objective=self.integer(prefix + "aim"),
            deadline=self.integer(prefix + "deadline"),
            priority_weight=self.number(prefix + "worth", "1"),
            late_weight_fraction=self.number(prefix + "late-share", "0"),
            deduplication_scope=self._deduplication_scope(prefix),
            deduplication_window=self.integer(prefix + "window", "0"),
            ordered=self.flag(prefix + "by-arrival", "false"),
            objective_work_factor=self.number(prefix + "aim-stretch", "0"),
            name=self.text(prefix + "name", ""),
        )

    def _deduplication_scope(self, prefix: str) -> DeduplicationScope:
        covers_all_zones = self.text(prefix + "group", "all") == "all"
        return DeduplicationScope.ALL if covers_all_zones else DeduplicationScope.ZONE

    def kinds(self) -> tuple[DestinationKind, ...]:
        """Return the kinds of destination. Lists shorter than the longest one are padded with defaults."""
        own_limits = [text in ("true", "1") for text in self.items("family-info.own-limits")]
        sizes = [parse_integer(text, "family-info.per-call") for text in self.items("family-info.per-call")]
        names = self.items("shapes")
        count = max(len(names), len(own_limits), len(sizes), 1)
        names += [""] * (count - len(names))
        own_limits += [False] * (count - len(own_limits))
        sizes += [1] * (count - len(sizes))
        return tuple(DestinationKind(*values) for values in zip(own_limits, sizes, names, strict=True))

    def settings(self) -> Settings:
        """Return all settings in the policy's terms. Raise ConfigError for an invalid value."""
        try:
            return self._settings()
        except SettingsError as error:
            name = NAME_IN_ERRORS.get(error.field, error.field)
            raise ConfigError(f"{name}: {error.reason}") from error

    def _settings(self) -> Settings:
        rate_meanings = {meaning.value: meaning for meaning in ListedRateMeaning}
        rate_meanings["live"] = ListedRateMeaning.ROUGH
        late_decays = {decay.value: decay for decay in LateDecay}
        tenants = range(self.integer("tenants.count", "0"))
        return Settings(
            classes=tuple(self.message_class(index) for index in range(self.integer("classes.count"))),
            kinds=self.kinds(),
            max_concurrent_calls=self.positive_integer("family-info.call-slots"),
            overload_factor=self.number("invariants.fall-multiple"),
            slow_start_fraction=self.number("invariants.cold-share"),
            slow_start_duration=self.positive_integer("invariants.cold"),
            ordering_pause=self.integer("invariants.order-pause", "0"),
            instance_count=self.positive_integer("replicas-of-me", "1"),
            zone=self.integer("zone", "0"),
            max_attempts=self.positive_integer("caps.most-tries", "5"),
            can_cancel=self.flag("caps.cancel", "false"),
            sends_retry_after=self.flag("caps.retry-after", "true"),
            max_retry_after=self.integer("caps.max-retry-after", "0"),
            connect_timeout=self.integer("caps.connect-timeout", "0"),
            must_subscribe=self.text("discovery", "automatic") == "subscribe",
            resolution=self.integer("resolution", "0"),
            late_decay=parse_choice(late_decays, self.text("family-info.decay", "line"), "decay"),
            listed_rate_meaning=parse_choice(rate_meanings, self.text("weights", "off"), "weights"),
            cross_zone_cost=self.number("prices.cross-zone", "0"),
            tenant_rates=tuple(self.number(f"tenants.{index}.quota-rps") for index in tenants),
            over_quota_weight=self.number("over-share-worth", "1"),
            tenant_names=tuple(self.text(f"tenants.{index}.name", "") for index in tenants),
            zone_names=tuple(self.items("zones")),
            report_fields=tuple(self.items("report.fields")),
            max_messages=self.positive_integer("caps.max-open", str(UNLIMITED_MESSAGES)),
            connection_idle_timeout=self.integer("caps.conn-idle", "0"),
            drain_grace=self.integer("invariants.drain-grace", str(DEFAULT_DRAIN_GRACE)),
        )
