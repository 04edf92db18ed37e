"""Restarts and upgrades with other lists of classes, tenants or zones than those of the held messages."""

from __future__ import annotations

import dataclasses
from pathlib import Path
from typing import Any

import pytest

from honeyhitch.journal.follower import JournalFollower
from honeyhitch.journal.journal import Journal
from honeyhitch.journal.settings_names import UNKNOWN, SettingsNames
from honeyhitch.journal.transactions import Ending, Transaction

from .agent import Agent
from .polling import poll_condition
from .processes import CountingEndpoint, request_line
from .program import SETTINGS, run_async_test, running_program
from .rig import START, DispatcherRig, endpoint_row, retention
from .world import SECOND

BEFORE = SettingsNames(("payment", "standard"), ("studio", "press"), ("hq", "annex"))
MAX_BYTES = 100_000


def open_journal(directory: Path, names: SettingsNames | None) -> Journal:
    journal = Journal(directory, MAX_BYTES, lambda: START, retention, current_names=names)
    journal.record_names()
    return journal


def record_payment(directory: Path, names: SettingsNames | None) -> None:
    """Leave a journal with one payment of the press, which may have run in the annex."""
    journal = open_journal(directory, names)
    message = Transaction("m", 0, 1, START + 20 * SECOND, b"body", tenant=1)
    journal.record_accepted(message)
    journal.record_attempt(message, START, zone=1)
    journal.close()


def held_message(journal: Journal | JournalFollower) -> tuple[int, int, int]:
    """Return the class, the tenant and the zone of the execution."""
    message = journal.messages.by_id["m"]
    return message.class_index, message.tenant, message.possible_executions[0].zone


@pytest.mark.parametrize(
    ("after", "expected"),
    [
        (BEFORE, (0, 1, 1)),
        (SettingsNames(("notice", "payment"), ("other", "press"), ("west", "hq", "annex")), (1, 1, 2)),
        (SettingsNames(("standard",), ("studio",), ("hq",)), (UNKNOWN, 0, UNKNOWN)),
    ],
)
# Guards against a message that is read as one of another class after a change of the settings (review/1).
def test_indices_follow_their_names(
    tmp_path: Path, after: SettingsNames, expected: tuple[int, int, int]
) -> None:
    record_payment(tmp_path, BEFORE)
    follower = JournalFollower(tmp_path / "journal", 100, retention, after)
    follower.read()
    assert held_message(follower) == expected
    journal = open_journal(tmp_path, after)
    assert held_message(journal) == expected
    journal.close()
    reopened = open_journal(tmp_path, after)  # no index is translated twice
    assert held_message(reopened) == expected
    reopened.compact()
    reopened.close()
    assert held_message(open_journal(tmp_path, after)) == expected


# Guards against an index beyond the end of a list, which ended the round that resumes the journal.
def test_indices_without_names_are_those_of_the_settings_that_contain_them(tmp_path: Path) -> None:
    record_payment(tmp_path, None)  # as an earlier version does
    assert held_message(open_journal(tmp_path, BEFORE)) == (0, 1, 1)


def test_an_index_without_a_name_beyond_the_lists_is_unknown(tmp_path: Path) -> None:
    journal = open_journal(tmp_path, None)
    journal.record_accepted(Transaction("m", 2, 1, START + SECOND, b"body", tenant=5))
    journal.close()
    message = open_journal(tmp_path, BEFORE).messages.by_id["m"]
    assert (message.class_index, message.tenant) == (UNKNOWN, 0)


class NamedRig(DispatcherRig):
    """A dispatcher whose journal knows the settings' names."""

    def make_journal(self, folder: Path, max_journal_bytes: int) -> Journal:
        names = SettingsNames(
            tuple(message_class.name for message_class in self.settings.classes), ("studio",), ("hq",)
        )
        journal = Journal(folder, max_journal_bytes, self.time.now, retention, current_names=names)
        journal.record_names()
        return journal


# Guards against a message that is sent by the rules of another class, or never answered, as its own is gone.
def test_messages_of_a_class_that_is_gone_are_ended_at_once(tmp_path: Path) -> None:
    rig = NamedRig(tmp_path)
    rig.submit("ran")
    assert rig.advance(0.1)
    rig.submit("waits", dest=2)
    (standard,) = rig.settings.classes
    restarted = NamedRig(tmp_path, rig.time, classes=(dataclasses.replace(standard, name="notice"),))
    assert not restarted.advance(5)
    assert {message.id: message.ending for message in restarted.answers} == {
        "ran": Ending.FAILED,
        "waits": Ending.REJECTED,
    }
    assert not restarted.journal.messages.by_id


# Guards against a payment that is sent again after a class was added in front of its own (review/1).
def test_a_payment_in_flight_is_not_sent_again_after_a_restart_with_one_more_class(tmp_path: Path) -> None:
    payment: dict[str, Any] = {
        "name": "payment",
        "semantics": "side_effect",
        "aim": 1_000_000_000,
        "deadline": 20_000_000_000,
    }
    notice = {**payment, "name": "notice", "semantics": "pure"}
    command = b"ENQUEUE 0 m c=payment,t=studio,d=3000,dest=1 body".split()
    request = b"*5\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(value), value) for value in command)

    async def work() -> None:
        endpoint = await CountingEndpoint(lambda: None, replies=False).start()
        members = [{**endpoint_row("s-1", 1), "host_port": f"127.0.0.1:{endpoint.port}"}]
        agent = await Agent(members).start()
        settings = {**SETTINGS, "classes": [payment]}
        async with running_program(tmp_path, agent.port, members, settings=settings) as port:
            assert await request_line(port, request) == b"+OK\r\n"
            await poll_condition(lambda: endpoint.calls["m"])
        endpoint.replies = True
        settings = {**SETTINGS, "classes": [notice, payment]}
        async with running_program(tmp_path, agent.port, members, settings=settings):
            await poll_condition(lambda: "m" in agent.notices)
        assert endpoint.calls["m"] == 1

    run_async_test(work())
