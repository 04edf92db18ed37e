"""Parser of the tables `[undelivered]` and `[[undelivered.rule]]` of the operator's file."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import Any

from honeyhitch.config.deployment import ConfigError
from honeyhitch.config.values import ConfigTable
from honeyhitch.dead_letters.settings import Action, DeadLetterSettings, ResendSettings, Rule, StoreLimits
from honeyhitch.policy.events import Outcome
from honeyhitch.policy.settings import Settings
from honeyhitch.time_units import DAY, SECOND

BYTES_PER_MEGABYTE = 1_000_000
MAX_MEGABYTES = 1_000_000
MAX_RECORDS = 100_000_000
MAX_DAYS = 3650
MAX_DURATION_SECONDS = 365 * DAY // SECOND
MIN_RETENTION_SECONDS = 60
MAX_CAPACITY_FRACTION = 0.5
MAX_NAME_LENGTH = 64
MAX_RESENDS = 1000
MIN_RATE = 0.001  # resends per second
MAX_RATE = 1000  # resends per second
FRONTENDS = ("resp", "mqtt", "app")
ENDINGS = ("failed", "rejected")
REASONS = (
    *(outcome.value for outcome in Outcome if outcome is not Outcome.DELIVERED),
    "not-tried",
    "lost",
)


def parse_dead_letters(value: object, settings: Settings) -> DeadLetterSettings:
    """Return the settings of `[undelivered]`, which enables the store.

    Raise ConfigError if a value is invalid or the extra is not installed.
    """
    table = ConfigTable(value, "undelivered")
    defaults = DeadLetterSettings()
    directory = table.optional("folder", str)
    megabytes = table.get("max-mb", float, defaults.limits.max_bytes / BYTES_PER_MEGABYTE)
    max_records = table.get("max-count", int, defaults.limits.max_records)
    days = table.get("max-days", float, defaults.limits.max_age / DAY)
    compress_min_bytes = table.get("compress-from", int, defaults.compress_min_bytes)
    rule_rows = table.get("rule", list, [])
    resend_settings = _parse_resend_settings(table, settings)
    table.reject_unknown_keys()
    if directory == "":
        raise table.invalid("folder", "must not be empty")
    if not 1 <= megabytes <= MAX_MEGABYTES:
        raise table.invalid("max-mb", f"expected 1 to {MAX_MEGABYTES}, got {megabytes:g}")
    if not 1 <= max_records <= MAX_RECORDS:
        raise table.invalid("max-count", f"expected 1 to {MAX_RECORDS}, got {max_records}")
    if not 0 < days <= MAX_DAYS:
        raise table.invalid("max-days", f"expected above 0 and at most {MAX_DAYS}, got {days:g}")
    if compress_min_bytes < 0:
        raise table.invalid("compress-from", f"must not be negative, got {compress_min_bytes}")
    rules = _parse_rules(rule_rows, settings)
    _check_extra()
    return DeadLetterSettings(
        directory=Path(directory) if directory is not None else None,
        limits=StoreLimits(int(megabytes * BYTES_PER_MEGABYTE), max_records, int(days * DAY)),
        compress_min_bytes=compress_min_bytes,
        rules=rules,
        resend_settings=resend_settings,
    )


def _parse_duration(table: ConfigTable, key: str, default: int, min_seconds: float = 0.0) -> int:
    """Return a duration in nanoseconds. The file gives it in seconds; the default is in nanoseconds."""
    seconds = table.seconds(key, default)
    if not min_seconds <= seconds <= MAX_DURATION_SECONDS:
        raise table.invalid(
            key, f"expected seconds from {min_seconds:g} to {MAX_DURATION_SECONDS}, got {seconds:g}"
        )
    return int(seconds * SECOND)


def _parse_resend_settings(table: ConfigTable, settings: Settings) -> ResendSettings:
    defaults = ResendSettings()
    default_copies = "here" if settings.instance_count == 1 else "anywhere"
    copies = table.choice("copies", ("here", "anywhere"), default_copies)
    fraction = table.get("share", float, defaults.capacity_fraction)
    if not 0 < fraction <= MAX_CAPACITY_FRACTION:
        raise table.invalid(
            "share", f"expected above 0 and at most {MAX_CAPACITY_FRACTION}, got {fraction:g}"
        )
    return ResendSettings(
        client_retry_grace=_parse_duration(table, "copy-grace", defaults.client_retry_grace),
        duplicates_elsewhere=copies == "anywhere",
        duplicate_retention=_parse_duration(
            table, "copy-memory", defaults.duplicate_retention, MIN_RETENTION_SECONDS
        ),
        capacity_fraction=fraction,
    )


def _parse_rules(rows: list[Any], settings: Settings) -> tuple[Rule, ...]:
    """Return the rules in the order of the file. Raise ConfigError for a rule that no record can reach."""
    rules = list[Rule]()
    for index, row in enumerate(rows):
        table = ConfigTable(row, f"undelivered.rule.{index}")
        rule = _parse_rule(table, f"rule {index}", settings)
        for earlier_index, earlier in enumerate(rules):
            earlier_path = f"undelivered.rule.{earlier_index}"
            if earlier.name == rule.name:
                raise table.invalid("name", f"{rule.name!r} is the name of {earlier_path}, too")
            if earlier.covers(rule):
                raise ConfigError(f"{table.path}: never reached, {earlier_path} matches each of its records")
        rules.append(rule)
    return tuple(rules)


def _parse_rule(table: ConfigTable, default_name: str, settings: Settings) -> Rule:
    defaults = Rule("", Action.HOLD)
    action = Action(table.choice("action", [action.value for action in Action], ""))
    rule = Rule(
        name=table.get("name", str, default_name),
        action=action,
        destinations=_parse_numbers(table, "dest"),
        classes=_parse_choices(table, "class", settings.class_names),
        tenants=_parse_choices(table, "tenant", settings.tenant_names),
        frontends=_parse_choices(table, "front", FRONTENDS),
        endings=_parse_choices(table, "ending", ENDINGS),
        reasons=_parse_choices(table, "reason", REASONS),
        may_have_executed=table.optional("may-have-run", bool),
        min_age=_parse_duration(table, "older-than", 0),
        max_resends=table.get("most-times", int, defaults.max_resends),
        max_age=_parse_duration(table, "most-age", defaults.max_age, 1),
        min_healthy_duration=_parse_duration(table, "healthy", defaults.min_healthy_duration),
        retry_pause=_parse_duration(table, "pause", defaults.retry_pause, 1),
        rate_per_second=table.get("rate", float, defaults.rate_per_second),
    )
    table.reject_unknown_keys()
    _check_rule(table, rule)
    return rule


def _check_rule(table: ConfigTable, rule: Rule) -> None:
    if not rule.name or len(rule.name) > MAX_NAME_LENGTH:
        raise table.invalid("name", f"expected 1 to {MAX_NAME_LENGTH} characters, got {rule.name!r}")
    if not 1 <= rule.max_resends <= MAX_RESENDS:
        raise table.invalid("most-times", f"expected 1 to {MAX_RESENDS}, got {rule.max_resends}")
    if not MIN_RATE <= rule.rate_per_second <= MAX_RATE:
        raise table.invalid(
            "rate", f"expected {MIN_RATE} to {MAX_RATE} a second, got {rule.rate_per_second:g}"
        )


def _parse_list(table: ConfigTable, key: str) -> list[Any]:
    """Return the value as a list; a single value becomes a list of one item."""
    value = table.unread.pop(key, [])
    return value if isinstance(value, list) else [value]


def _parse_numbers(table: ConfigTable, key: str) -> frozenset[int]:
    values = _parse_list(table, key)
    for value in values:
        if isinstance(value, bool) or not isinstance(value, int):
            raise table.invalid(key, f"expected a number or a list of numbers, got {value!r}")
    return frozenset(values)


def _parse_choices(table: ConfigTable, key: str, choices: Sequence[str]) -> frozenset[str]:
    values = _parse_list(table, key)
    for value in values:
        if value not in choices:
            raise table.invalid(key, f"expected one of {', '.join(choices)}, got {value!r}")
    return frozenset(values)


def _check_extra() -> None:
    """Raise ConfigError unless the libraries that the store needs are installed."""
    try:
        import honeyhitch.dead_letters.store  # noqa: F401 imported only to check that its libraries are installed
    except ImportError as error:
        raise ConfigError(f"undelivered: needs the extra honeyhitch[undelivered] ({error})") from error
