"""The tables `[undelivered]` and `[[undelivered.rule]]` of the operator's file."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import Any

from honeyhitch.config.deployment import ConfigError
from honeyhitch.config.values import Table
from honeyhitch.dead_letters.settings import DAY, SECOND, Action, DeadLetterSettings, Limits, Rule, Terms
from honeyhitch.policy.events import Outcome
from honeyhitch.policy.settings import Settings

MB = 1_000_000
MOST_DAYS = 3650
MOST_SPAN = 365 * 86400  # seconds
FRONTS = ("resp", "mqtt", "app")
ENDINGS = ("failed", "rejected")
OUTCOMES = [outcome.value for outcome in Outcome if outcome is not Outcome.DELIVERED]
REASONS = (*OUTCOMES, "not-tried", "lost")


def setup(told: object, settings: Settings) -> DeadLetterSettings:
    """`[undelivered]`; there being such a table turns it on."""
    table, standard = Table(told, "undelivered"), DeadLetterSettings()
    limits = standard.limits
    folder = table.maybe("folder", str)
    size = table.get("max-mb", float, limits.size / MB)
    count = table.get("max-count", int, limits.count)
    days = table.get("max-days", float, limits.age / DAY)
    compress_from = table.get("compress-from", int, standard.compress_from)
    rows = table.get("rule", list, [])
    terms = _terms(table, settings)
    table.done()
    if folder == "":
        raise ConfigError("undelivered.folder: must not be empty")
    if not 1 <= size <= 1_000_000:
        raise ConfigError(f"undelivered.max-mb: expected 1 to 1000000, got {size:g}")
    if not 1 <= count <= 100_000_000:
        raise ConfigError(f"undelivered.max-count: expected 1 to 100000000, got {count}")
    if not 0 < days <= MOST_DAYS:
        raise ConfigError(f"undelivered.max-days: expected above 0 and at most {MOST_DAYS}, got {days:g}")
    if compress_from < 0:
        raise ConfigError("undelivered.compress-from: must not be negative")
    rules = _rules(rows, settings)
    _libraries()
    path = Path(folder) if folder is not None else None
    return DeadLetterSettings(
        path, Limits(int(size * MB), count, int(days * DAY)), compress_from, rules, terms
    )


def _span(table: Table, key: str, default: int, least: float = 0.0) -> int:
    seconds = table.get(key, float, default / SECOND)
    if not least <= seconds <= MOST_SPAN:
        raise ConfigError(
            f"{table.at}.{key}: expected seconds from {least:g} to {MOST_SPAN}, got {seconds:g}"
        )
    return int(seconds * SECOND)


def _terms(table: Table, settings: Settings) -> Terms:
    standard = Terms()
    copies = table.choice(
        "copies", ("here", "anywhere"), "here" if settings.instance_count == 1 else "anywhere"
    )
    share = table.get("share", float, standard.share)
    if not 0 < share <= 0.5:
        raise ConfigError(f"{table.at}.share: expected above 0 and at most 0.5, got {share:g}")
    return Terms(
        grace=_span(table, "copy-grace", standard.grace),
        elsewhere=copies == "anywhere",
        memory=_span(table, "copy-memory", standard.memory, 60),
        share=share,
    )


def _rules(rows: list[Any], settings: Settings) -> tuple[Rule, ...]:
    """The rules in the order of the file. One that no record could reach is a mistake."""
    rules: list[Rule] = []
    for i, row in enumerate(rows):
        at = f"undelivered.rule.{i}"
        rule = _rule(Table(row, at), f"rule {i}", settings)
        for j, other in enumerate(rules):
            if other.name == rule.name:
                raise ConfigError(f"{at}.name: {rule.name!r} is the name of undelivered.rule.{j}, too")
            if other.covers(rule):
                raise ConfigError(f"{at}: never reached, undelivered.rule.{j} matches whatever it does")
        rules.append(rule)
    return tuple(rules)


def _rule(table: Table, name: str, settings: Settings) -> Rule:
    standard = Rule("", Action.HOLD)
    action = Action(table.choice("action", [one.value for one in Action], ""))
    rule = Rule(
        name=table.get("name", str, name),
        action=action,
        destinations=frozenset(_numbers(table, "dest")),
        classes=_words(table, "class", settings.class_names),
        tenants=_words(table, "tenant", settings.tenant_names),
        fronts=_words(table, "front", FRONTS),
        endings=_words(table, "ending", ENDINGS),
        reasons=_words(table, "reason", REASONS),
        may_have_run=table.maybe("may-have-run", bool),
        older_than=_span(table, "older-than", 0),
        most_times=table.get("most-times", int, standard.most_times),
        most_age=_span(table, "most-age", standard.most_age, 1),
        healthy=_span(table, "healthy", standard.healthy),
        pause=_span(table, "pause", standard.pause, 1),
        rate=table.get("rate", float, standard.rate),
    )
    table.done()
    if not rule.name or len(rule.name) > 64:
        raise ConfigError(f"{table.at}.name: expected 1 to 64 characters")
    if not 1 <= rule.most_times <= 1000:
        raise ConfigError(f"{table.at}.most-times: expected 1 to 1000, got {rule.most_times}")
    if not 0.001 <= rule.rate <= 1000:
        raise ConfigError(f"{table.at}.rate: expected 0.001 to 1000 a second, got {rule.rate:g}")
    return rule


def _list(table: Table, key: str) -> list[Any]:
    told = table.left.pop(key, [])
    return told if isinstance(told, list) else [told]


def _numbers(table: Table, key: str) -> list[int]:
    told = _list(table, key)
    for one in told:
        if isinstance(one, bool) or not isinstance(one, int):
            raise ConfigError(f"{table.at}.{key}: expected a number or a list of numbers, got {one!r}")
    return told


def _words(table: Table, key: str, among: Sequence[str]) -> frozenset[str]:
    told = _list(table, key)
    for one in told:
        if one not in among:
            raise ConfigError(f"{table.at}.{key}: expected one of {', '.join(among)}, got {one!r}")
    return frozenset(told)


def _libraries() -> None:
    try:
        from honeyhitch.dead_letters import store

        store.Store
    except ImportError as error:
        raise ConfigError(f"undelivered: needs the extra honeyhitch[undelivered] ({error})") from error
