"""The tables `[undelivered]` and `[[undelivered.rule]]` of the operator's file."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import Any

from honeyhitch.config.deployment import ConfigError
from honeyhitch.config.values import ConfigTable
from honeyhitch.dead_letters.settings import (
    Action,
    DeadLetterSettings,
    ResendSettings,
    Rule,
    StoreLimits,
)
from honeyhitch.policy.events import Outcome
from honeyhitch.policy.settings import Settings
from honeyhitch.time_units import DAY, SECOND

MEGABYTE = 1_000_000
MAX_DAYS = 3650
MAX_SPAN_SECONDS = 365 * 86400  # seconds
FRONTENDS = ("resp", "mqtt", "app")
ENDINGS = ("failed", "rejected")
OUTCOMES = [outcome.value for outcome in Outcome if outcome is not Outcome.DELIVERED]
REASONS = (*OUTCOMES, "not-tried", "lost")


def parse_dead_letters(told: object, settings: Settings) -> DeadLetterSettings:
    """`[undelivered]`; there being such a table turns it on."""
    table, standard = ConfigTable(told, "undelivered"), DeadLetterSettings()
    limits = standard.limits
    folder = table.optional("folder", str)
    size = table.get("max-mb", float, limits.max_bytes / MEGABYTE)
    count = table.get("max-count", int, limits.max_records)
    days = table.get("max-days", float, limits.max_age / DAY)
    compress_from = table.get("compress-from", int, standard.compress_min_bytes)
    rows = table.get("rule", list, [])
    terms = _terms(table, settings)
    table.reject_unknown_keys()
    if folder == "":
        raise ConfigError("undelivered.folder: must not be empty")
    if not 1 <= size <= 1_000_000:
        raise ConfigError(f"undelivered.max-mb: expected 1 to 1000000, got {size:g}")
    if not 1 <= count <= 100_000_000:
        raise ConfigError(f"undelivered.max-count: expected 1 to 100000000, got {count}")
    if not 0 < days <= MAX_DAYS:
        raise ConfigError(f"undelivered.max-days: expected above 0 and at most {MAX_DAYS}, got {days:g}")
    if compress_from < 0:
        raise ConfigError("undelivered.compress-from: must not be negative")
    rules = _rules(rows, settings)
    _libraries()
    path = Path(folder) if folder is not None else None
    return DeadLetterSettings(
        path, StoreLimits(int(size * MEGABYTE), count, int(days * DAY)), compress_from, rules, terms
    )


def _span(table: ConfigTable, key: str, default: int, least: float = 0.0) -> int:
    seconds = table.get(key, float, default / SECOND)
    if not least <= seconds <= MAX_SPAN_SECONDS:
        raise ConfigError(
            f"{table.path}.{key}: expected seconds from {least:g} to {MAX_SPAN_SECONDS}, got {seconds:g}"
        )
    return int(seconds * SECOND)


def _terms(table: ConfigTable, settings: Settings) -> ResendSettings:
    standard = ResendSettings()
    copies = table.choice(
        "copies", ("here", "anywhere"), "here" if settings.instance_count == 1 else "anywhere"
    )
    share = table.get("share", float, standard.capacity_fraction)
    if not 0 < share <= 0.5:
        raise ConfigError(f"{table.path}.share: expected above 0 and at most 0.5, got {share:g}")
    return ResendSettings(
        client_retry_grace=_span(table, "copy-grace", standard.client_retry_grace),
        duplicates_elsewhere=copies == "anywhere",
        duplicate_retention=_span(table, "copy-memory", standard.duplicate_retention, 60),
        capacity_fraction=share,
    )


def _rules(rows: list[Any], settings: Settings) -> tuple[Rule, ...]:
    """The rules in the order of the file. One that no record could reach is a mistake."""
    rules: list[Rule] = []
    for i, row in enumerate(rows):
        at = f"undelivered.rule.{i}"
        rule = _rule(ConfigTable(row, at), f"rule {i}", settings)
        for j, other in enumerate(rules):
            if other.name == rule.name:
                raise ConfigError(f"{at}.name: {rule.name!r} is the name of undelivered.rule.{j}, too")
            if other.covers(rule):
                raise ConfigError(f"{at}: never reached, undelivered.rule.{j} matches whatever it does")
        rules.append(rule)
    return tuple(rules)


def _rule(table: ConfigTable, name: str, settings: Settings) -> Rule:
    standard = Rule("", Action.HOLD)
    action = Action(table.choice("action", [one.value for one in Action], ""))
    rule = Rule(
        name=table.get("name", str, name),
        action=action,
        destinations=frozenset(_numbers(table, "dest")),
        classes=_words(table, "class", settings.class_names),
        tenants=_words(table, "tenant", settings.tenant_names),
        frontends=_words(table, "front", FRONTENDS),
        endings=_words(table, "ending", ENDINGS),
        reasons=_words(table, "reason", REASONS),
        may_have_executed=table.optional("may-have-run", bool),
        min_age=_span(table, "older-than", 0),
        max_resends=table.get("most-times", int, standard.max_resends),
        max_age=_span(table, "most-age", standard.max_age, 1),
        min_healthy_duration=_span(table, "healthy", standard.min_healthy_duration),
        retry_pause=_span(table, "pause", standard.retry_pause, 1),
        rate_per_second=table.get("rate", float, standard.rate_per_second),
    )
    table.reject_unknown_keys()
    if not rule.name or len(rule.name) > 64:
        raise ConfigError(f"{table.path}.name: expected 1 to 64 characters")
    if not 1 <= rule.max_resends <= 1000:
        raise ConfigError(f"{table.path}.most-times: expected 1 to 1000, got {rule.max_resends}")
    if not 0.001 <= rule.rate_per_second <= 1000:
        raise ConfigError(f"{table.path}.rate: expected 0.001 to 1000 a second, got {rule.rate_per_second:g}")
    return rule


def _list(table: ConfigTable, key: str) -> list[Any]:
    told = table.unread.pop(key, [])
    return told if isinstance(told, list) else [told]


def _numbers(table: ConfigTable, key: str) -> list[int]:
    told = _list(table, key)
    for one in told:
        if isinstance(one, bool) or not isinstance(one, int):
            raise ConfigError(f"{table.path}.{key}: expected a number or a list of numbers, got {one!r}")
    return told


def _words(table: ConfigTable, key: str, among: Sequence[str]) -> frozenset[str]:
    told = _list(table, key)
    for one in told:
        if one not in among:
            raise ConfigError(f"{table.path}.{key}: expected one of {', '.join(among)}, got {one!r}")
    return frozenset(told)


def _libraries() -> None:
    try:
        from honeyhitch.dead_letters import store

        store.Store
    except ImportError as error:
        raise ConfigError(f"undelivered: needs the extra honeyhitch[undelivered] ({error})") from error
