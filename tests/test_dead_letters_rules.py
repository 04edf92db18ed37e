"""Tests of resend rules (matching, order and timing), of how they are read, and of the pacing of resends."""

from __future__ import annotations

import dataclasses
from pathlib import Path
from typing import Any

import pytest

from honeyhitch import config
from honeyhitch.dead_letters.pacing import MAX_PROBE_INTERVAL, MIN_PROBE_INTERVAL, ResendPacing, RuleRates
from honeyhitch.dead_letters.records import Record, RecordStatus
from honeyhitch.dead_letters.rules import Step, plan_record
from honeyhitch.dead_letters.settings import Action, DeadLetterSettings, ResendSettings, Rule
from honeyhitch.policy.health import DestinationHealth

from .dead_letter_records import make_record
from .program import write_config_files
from .rig import START
from .world import SECOND

NOW = START + 100 * SECOND
DUPLICATES_HERE = ResendSettings(client_retry_grace=10 * SECOND, duplicates_elsewhere=False)
DUPLICATES_ELSEWHERE = dataclasses.replace(DUPLICATES_HERE, duplicates_elsewhere=True)
RESEND = Rule("r", Action.RESEND, retry_pause=10 * SECOND)


def plan_of(
    record: Record, *rules: Rule, resend_settings: ResendSettings = DUPLICATES_HERE, now: int = NOW
) -> tuple[str, str]:
    """Return the step and the reason of a record's plan; a resend takes a second."""
    plan = plan_record(record, rules, resend_settings, now, SECOND)
    return plan.step.value, plan.reason


@pytest.mark.parametrize(
    ("changes", "rule", "expected"),
    [
        ({}, RESEND, ("resend", "never-ran")),
        ({"status": RecordStatus.RESENDING}, RESEND, ("nothing", "sending")),
        ({"status": RecordStatus.SETTLED}, RESEND, ("nothing", "settled")),
        ({}, dataclasses.replace(RESEND, action=Action.HOLD), ("nothing", "held-by-rule")),
        ({}, dataclasses.replace(RESEND, action=Action.DISCARD), ("discard", "discarded-by-rule")),
        ({}, dataclasses.replace(RESEND, destinations=frozenset({2})), ("nothing", "no-rule")),
        ({}, dataclasses.replace(RESEND, destinations=frozenset({1, 2})), ("resend", "never-ran")),
        ({}, dataclasses.replace(RESEND, tenants=frozenset({"other"})), ("nothing", "no-rule")),
        ({}, dataclasses.replace(RESEND, may_have_executed=True), ("nothing", "no-rule")),
        ({}, dataclasses.replace(RESEND, min_age=101 * SECOND), ("later", "no-rule")),
        ({"resend_count": 3}, RESEND, ("nothing", "resent-often-enough")),
        ({"resend_count": 1, "changed_at": NOW - 9 * SECOND}, RESEND, ("later", "paused")),
        ({"resend_count": 2, "changed_at": NOW - 19 * SECOND}, RESEND, ("later", "paused")),
        ({"resend_count": 2, "changed_at": NOW - 20 * SECOND}, RESEND, ("resend", "never-ran")),
        ({}, dataclasses.replace(RESEND, max_age=100 * SECOND), ("nothing", "too-old")),
        ({"client_retry_at": NOW - 9 * SECOND}, RESEND, ("later", "told-to-come-again")),
        ({"first_possible_execution": NOW - 3 * SECOND}, RESEND, ("resend", "inside-window")),
        ({"first_possible_execution": NOW - 5 * SECOND}, RESEND, ("nothing", "window-over")),
        (
            {"first_possible_execution": NOW - SECOND, "zone_scoped": True},
            RESEND,
            ("nothing", "key-not-known-there"),
        ),
        (
            {"first_possible_execution": NOW, "idempotency": "unsafe"},
            RESEND,
            ("nothing", "unsafe-may-have-run"),
        ),
        (
            {"first_possible_execution": NOW, "idempotency": "unsafe", "evidence": "x"},
            RESEND,
            ("resend", "released"),
        ),
        ({"resend_request": "me: x", "resend_count": 9}, RESEND, ("resend", "never-ran")),
        (
            {"resend_request": "me: x", "first_possible_execution": NOW, "idempotency": "unsafe"},
            RESEND,
            ("nothing", "unsafe-may-have-run"),
        ),
    ],
    ids=[
        "a pending record is resent",
        "a record that is being resent is left alone",
        "a settled record is left alone",
        "a rule holds it",
        "a rule discards it",
        "a rule for another destination does not match",
        "a rule for its destination and another matches",
        "a rule for another tenant does not match",
        "a rule for executed messages does not match",
        "a rule for older records matches later",
        "a record that was resent often enough is left alone",
        "the pause after the first resend is not over",
        "the pause after the second resend is twice as long",
        "the pause after the second resend is over",
        "a message that is too old is left alone",
        "the client may still submit it again",
        "a keyed message inside its window is resent",
        "a keyed message after its window is left alone",
        "a key that only one zone knows is left alone",
        "an unsafe message that may have been executed is left alone",
        "an unsafe message that was released is resent",
        "a resend that a person asked for needs no rule",
        "a person's request does not make an unsafe message safe",
    ],
)
def test_plan_of_a_record(changes: dict[str, Any], rule: Rule, expected: tuple[str, str]) -> None:
    assert plan_of(make_record(**changes), rule) == expected


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({}, ("resend", "never-ran")),
        ({"client_retry_at": START}, ("nothing", "window-over")),
        ({"client_retry_at": START, "idempotency": "safe"}, ("resend", "safe")),
        ({"client_retry_at": START, "idempotency": "unsafe"}, ("nothing", "copy-unseen")),
        ({"recovered_from_journal": True, "idempotency": "unsafe"}, ("nothing", "copy-unseen")),
        ({"client_retry_at": START, "idempotency": "unsafe", "evidence": "x"}, ("resend", "released")),
        ({"client_retry_at": START, "deduplication_window": 200 * SECOND}, ("resend", "inside-window")),
    ],
    ids=[
        "no client was asked to submit it again",
        "a keyed message whose window is over",
        "a safe message",
        "an unsafe message",
        "an unsafe message recovered from the journal",
        "an unsafe message that was released",
        "a keyed message inside its window",
    ],
)
def test_plan_if_duplicates_may_go_to_another_dispatcher(
    changes: dict[str, Any], expected: tuple[str, str]
) -> None:
    assert plan_of(make_record(**changes), RESEND, resend_settings=DUPLICATES_ELSEWHERE) == expected
    if "client_retry_at" in changes:  # a duplicate without a key is never recognised
        assert plan_of(make_record(**changes, key=""), RESEND) == expected


def test_the_first_matching_rule_applies_and_a_rule_for_older_records_applies_later() -> None:
    old = Rule("old", Action.DISCARD, min_age=200 * SECOND)
    assert plan_of(make_record(), old, RESEND) == ("resend", "never-ran")
    assert plan_of(make_record(), old, RESEND, now=START + 200 * SECOND) == ("discard", "discarded-by-rule")
    plan_before = plan_record(make_record(), (old, Rule("h", Action.HOLD)), DUPLICATES_HERE, NOW, SECOND)
    assert plan_before.step is Step.POSTPONE
    assert plan_before.retry_at == START + 200 * SECOND


# Reading of rules from the operator's file.

VALID_OPERATOR_FILE = """
[undelivered]
copies = "here"
share = 0.2

[[undelivered.rule]]
name = "one"
action = "resend"
dest = 1
class = ["standard"]
tenant = "studio"
may-have-run = false
rate = 2
healthy = 0.5

[[undelivered.rule]]
action = "discard"
older-than = 3600
"""


def read_settings(folder: Path, text: str, **overrides: Any) -> DeadLetterSettings:
    """Return the settings of `[undelivered]` in an operator's file with this text."""
    settings = config.read(
        {}, *write_config_files(folder, 6379, 8500, [], text, **overrides)
    ).operator.dead_letters
    assert settings is not None
    return settings


def test_a_valid_operator_file(tmp_path: Path) -> None:
    settings = read_settings(tmp_path, VALID_OPERATOR_FILE)
    first, second = settings.rules
    assert (first.name, first.destinations, first.classes) == ("one", frozenset({1}), frozenset({"standard"}))
    assert first.may_have_executed is False
    assert first.rate_per_second == 2.0
    assert first.min_healthy_duration == SECOND // 2
    assert (second.name, second.action, second.min_age) == ("rule 1", Action.DISCARD, 3600 * SECOND)
    assert settings.resend_settings.capacity_fraction == 0.2
    assert not settings.resend_settings.duplicates_elsewhere
    assert settings.directory_in(tmp_path) == tmp_path / "undelivered"


RULE = '[undelivered]\n[[undelivered.rule]]\naction = "resend"\n'
NEXT_RULE = '[[undelivered.rule]]\naction = "hold"\n'


@pytest.mark.parametrize(
    ("text", "error"),
    [
        ("undelivered = 1", "operator.toml.undelivered: expected dict"),
        ("[undelivered]\nfoldre = 'x'", "undelivered.foldre: no such key"),
        ("[undelivered]\nfolder = ''", "undelivered.folder: must not be empty"),
        ("[undelivered]\nmax-mb = 0", "undelivered.max-mb: expected 1 to 1000000, got 0"),
        ("[undelivered]\nmax-count = 0", "undelivered.max-count: expected 1 to"),
        ("[undelivered]\nmax-days = 99999", "undelivered.max-days: expected above 0 and at most 3650"),
        ("[undelivered]\ncompress-from = -1", "undelivered.compress-from: must not be negative"),
        ("[undelivered]\nshare = 0.9", "undelivered.share: expected above 0 and at most 0.5, got 0.9"),
        ("[undelivered]\ncopies = 'there'", "undelivered.copies: expected one of here, anywhere, got"),
        ("[undelivered]\ncopy-memory = 1", "undelivered.copy-memory: expected seconds from 60 to"),
        ("[undelivered]\nrule = 1", "undelivered.rule: expected list"),
        ("[undelivered]\nrule = [1]", "undelivered.rule.0: expected a table"),
        ("[undelivered]\n[[undelivered.rule]]\n", "undelivered.rule.0.action: expected one of resend, hold,"),
        (RULE + "class = 'gold'", "undelivered.rule.0.class: expected one of standard, got 'gold'"),
        (RULE + "tenant = ['studio', 'x']", "undelivered.rule.0.tenant: expected one of studio, got 'x'"),
        (RULE + "reason = 'bad luck'", "undelivered.rule.0.reason: expected one of error, refused,"),
        (RULE + "dest = 'one'", "undelivered.rule.0.dest: expected a number or a list of numbers, got 'one'"),
        (RULE + "dest = [true]", "undelivered.rule.0.dest: expected a number"),
        (RULE + "most-times = 0", "undelivered.rule.0.most-times: expected 1 to 1000, got 0"),
        (RULE + "rate = 0", "undelivered.rule.0.rate: expected 0.001 to 1000 a second, got 0"),
        (RULE + "healthy = -1", "undelivered.rule.0.healthy: expected seconds from 0 to"),
        (RULE + "pause = nan", "undelivered.rule.0.pause: expected seconds from 1 to"),
        (RULE + "colour = 'red'", "undelivered.rule.0.colour: no such key"),
        (RULE + "name = ''", "undelivered.rule.0.name: expected 1 to 64 characters"),
        (RULE + NEXT_RULE + "dest = 1", "undelivered.rule.1: never reached, undelivered.rule.0 matches"),
        (
            RULE + "dest = 1\nname = 'a'\n" + NEXT_RULE + "name = 'a'",
            "undelivered.rule.1.name: 'a' is the name",
        ),
        ("[control]\npath = 'here'", "control.path: expected an absolute path, got 'here'"),
        (f"[control]\npath = '/{'x' * 120}'", "control.path: over 107 bytes: /xxx"),
    ],
)  # fmt: skip
def test_an_invalid_setting_is_reported_with_its_key(tmp_path: Path, text: str, error: str) -> None:
    with pytest.raises(config.ConfigError) as error_info:
        read_settings(tmp_path, text)
    assert error in str(error_info.value)


def test_duplicates_elsewhere_is_false_for_one_instance_and_true_by_default(tmp_path: Path) -> None:
    assert not read_settings(tmp_path, "[undelivered]").resend_settings.duplicates_elsewhere
    assert ResendSettings().duplicates_elsewhere


# Pacing of resends.

HEALTHY = DestinationHealth(True, False, False, 0, False, 10.0, 0, 0)


def health_with(**changes: Any) -> DestinationHealth:
    """Return the health of a healthy destination with these changes."""
    return dataclasses.replace(HEALTHY, **changes)


def test_resends_use_a_fraction_of_the_slots_and_of_the_rate() -> None:
    pacing = ResendPacing(0.1, 40)
    assert pacing.max_concurrent_resends == 4
    assert pacing.available_resends(1, HEALTHY, NOW) == 1, "one resend at a time until a call is delivered"
    pacing.resend_started(1, NOW)
    assert pacing.available_resends(1, HEALTHY, NOW + SECOND) == 0
    pacing.call_delivered(1)
    assert pacing.available_resends(1, HEALTHY, NOW + SECOND) == 1, "a tenth of the rate of ten per second"
    pacing.resend_ended(1)
    for i in range(20):
        now = NOW + 10 * SECOND + i * SECOND // 10
        if pacing.available_resends(1, HEALTHY, now):
            pacing.resend_started(1, now)
            pacing.resend_ended(1)
    assert pacing.destinations[1].tokens < 1, "at most two saved resends and one more per second"
    fast = health_with(quota=10_000.0)
    for destination in range(2, 10):
        available = pacing.available_resends(destination, fast, NOW + 60 * SECOND)
        for _ in range(available):
            pacing.resend_started(destination, NOW + 60 * SECOND)
    assert pacing.resends_in_flight == 4


@pytest.mark.parametrize(
    "condition",
    [
        health_with(listed=False),
        health_with(in_slow_start=True),
        health_with(has_queued_messages=True),
        health_with(retry_after_until=NOW + 1),
        health_with(concurrent_calls=36),
        health_with(unhealthy=True, last_sent_at=NOW),
    ],
    ids=[
        "the destination has no listed endpoint",
        "the destination is in slow start",
        "live messages are queued for the destination",
        "the destination has sent Retry-After",
        "live traffic needs the call slots",
        "the destination is unhealthy and was just called",
    ],
)
def test_conditions_under_which_no_resend_may_start(condition: DestinationHealth) -> None:
    assert ResendPacing(0.1, 40).available_resends(1, condition, NOW) == 0


def test_an_unhealthy_destination_without_traffic_is_probed_at_growing_intervals() -> None:
    pacing = ResendPacing(0.1, 40)
    now = NOW
    probes: list[int] = []
    unhealthy = health_with(unhealthy=True, quota=0.0, last_sent_at=NOW)
    while now < NOW + 3600 * SECOND:
        if pacing.available_resends(1, unhealthy, now):
            probes.append(now)
            pacing.resend_started(1, now)
            pacing.resend_ended(1)
        now += SECOND
    intervals = [later - earlier for earlier, later in zip([NOW, *probes], probes, strict=False)]
    assert intervals[0] == MIN_PROBE_INTERVAL
    assert intervals == sorted(intervals)
    assert intervals[-1] == MAX_PROBE_INTERVAL
    assert pacing.healthy_duration(1, now) == 0
    pacing.observe(1, HEALTHY, now)
    assert pacing.healthy_duration(1, now + 5 * SECOND) == 5 * SECOND


def test_a_rule_does_not_exceed_its_rate() -> None:
    rates = RuleRates()
    acquired = sum(rates.acquire("r", 2.0, NOW + i * SECOND // 100) for i in range(1000))
    assert 19 <= acquired <= 22
    assert sum(rates.acquire("slow", 0.01, NOW + i * SECOND) for i in range(250)) == 3
