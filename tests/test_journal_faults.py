"""The journal while writes to its disk fail, and after the disk has recovered."""

from __future__ import annotations

import contextlib
import errno
import itertools
import os
from collections.abc import Callable
from pathlib import Path

import pytest

from honeyhitch.journal.clock_anchor import AnchorFile, ClockAnchor
from honeyhitch.journal.journal import Journal
from honeyhitch.journal.journal_file import DISK_BLOCK_BYTES, JournalFullError
from honeyhitch.journal.transactions import Ending, Transaction

from .rig import START, DispatcherRig, VirtualTime, retention
from .world import MS, SECOND


def open_journal(directory: Path) -> Journal:
    return Journal(directory, 3_000_000, lambda: START, retention)


def message(name: str) -> Transaction:
    return Transaction(name, 0, 1, START + 20 * SECOND, b"body", key=f"k-{name}")


class FailingDisk:
    """Replaces the system calls that change files: while `failing`, they fail, and writes leave a half."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, error: int) -> None:
        self.failing = False
        self.error = error
        self.write = os.write
        monkeypatch.setattr(os, "write", self._write)
        for name in ("ftruncate", "rename"):
            monkeypatch.setattr(os, name, self._unless_failing(getattr(os, name)))

    def _write(self, fd: int, data: bytes) -> int:
        if not self.failing:
            return self.write(fd, data)
        written = self.write(fd, data[: len(data) // 2])
        if self.error:
            raise OSError(self.error, os.strerror(self.error))
        return written

    def _unless_failing(self, function):  # type: ignore[no-untyped-def]
        def call(*arguments):  # type: ignore[no-untyped-def]
            if self.failing:
                raise OSError(errno.EIO, os.strerror(errno.EIO))
            return function(*arguments)

        return call


@pytest.fixture(params=[0, errno.EIO, errno.ENOSPC], ids=["short write", "EIO", "ENOSPC"])
def disk(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> FailingDisk:
    return FailingDisk(monkeypatch, request.param)


# Guards against records that follow an incomplete one: a replay ends there, so later messages were lost.
def test_records_after_a_failed_write_are_replayed(tmp_path: Path, disk: FailingDisk) -> None:
    journal = open_journal(tmp_path)
    journal.record_accepted(message("before"))
    disk.failing = True
    for name in ("rejected", "rejected too"):
        with pytest.raises(JournalFullError):
            journal.record_accepted(message(name))
    disk.failing = False
    journal.record_accepted(message("after"))
    journal.close()
    assert set(open_journal(tmp_path).messages.by_id) == {"before", "after"}


# Guards against a replacement that fails halfway and leaves the journal without its file.
def test_a_journal_whose_replacement_fails_goes_on_with_its_file(tmp_path: Path, disk: FailingDisk) -> None:
    journal = open_journal(tmp_path)
    journal.record_accepted(message("before"))
    descriptors = len(os.listdir("/proc/self/fd"))
    disk.failing = True
    assert not journal.replace_file(journal.snapshot(), journal.path, journal.new_path)
    disk.failing = False
    assert len(os.listdir("/proc/self/fd")) == descriptors
    journal.record_accepted(message("after"))
    journal.close()
    assert set(open_journal(tmp_path).messages.by_id) == {"before", "after"}


# Guards against a start that fails because an incomplete record cannot be removed yet.
def test_a_journal_opens_while_its_incomplete_end_cannot_be_removed(
    tmp_path: Path, disk: FailingDisk
) -> None:
    journal = open_journal(tmp_path)
    journal.record_accepted(message("before"))
    os.write(journal.file.fd, b"\x10\x00\x00")  # part of a record's header
    journal.close()
    disk.failing = True
    journal = open_journal(tmp_path)
    disk.failing = False
    journal.record_accepted(message("after"))
    journal.close()
    assert set(open_journal(tmp_path).messages.by_id) == {"before", "after"}


# Guards against endings that are missing in the journal after the disk has recovered: the next process sent
# the messages again.
def test_what_happened_while_the_disk_failed_is_recorded_once_it_has_recovered(
    tmp_path: Path, disk: FailingDisk
) -> None:
    journal = open_journal(tmp_path)
    delivered, rejected, attempted = (message(name) for name in ("delivered", "rejected", "attempted"))
    for transaction in (delivered, rejected, attempted):
        journal.record_accepted(transaction)
    journal.record_attempt(attempted, START, 0)
    disk.failing = True
    journal.record_end(delivered, Ending.DELIVERED)
    journal.record_decision(rejected, Ending.REJECTED, 250)
    journal.record_not_executed(attempted, 0)
    assert not journal.write_postponed()
    with pytest.raises(JournalFullError):
        journal.record_attempt(attempted, START, 0)
    disk.failing = False
    assert journal.write_postponed()
    journal.close()
    replayed = open_journal(tmp_path).messages
    assert set(replayed.by_id) == {"rejected", "attempted"}
    assert replayed.by_id["rejected"].ending is Ending.REJECTED
    assert replayed.by_id["attempted"].first_possible_execution() is None
    assert "delivered" in replayed.concluded


def test_a_compaction_keeps_what_was_postponed(tmp_path: Path, disk: FailingDisk) -> None:
    journal = open_journal(tmp_path)
    transactions = [message(f"m{number}") for number in range(20)]
    for transaction in transactions:
        journal.record_accepted(transaction)
    disk.failing = True
    for transaction in transactions[1:]:
        journal.record_end(transaction, Ending.DELIVERED)
    disk.failing = False
    journal.compact()
    journal.record_not_executed(transactions[0], 0)
    journal.close()
    assert set(open_journal(tmp_path).messages.by_id) == {"m0"}


# Guards against an answer that is sent although its decision is not in the journal: after a kill, the next
# process sent a message again whose client had been told to submit it again.
def test_an_early_answer_waits_until_its_decision_is_recorded(tmp_path: Path, disk: FailingDisk) -> None:
    rig = DispatcherRig(tmp_path)
    rig.submit("m")
    disk.failing = True
    rig.dispatcher.conclude(rig.journal.messages.by_id["m"], Ending.REJECTED)
    rig.dispatcher.write_postponed_records()
    assert not rig.answers
    disk.failing = False
    rig.dispatcher.write_postponed_records()
    rig.dispatcher.write_postponed_records()
    assert [answered.id for answered in rig.answers] == ["m"]


def test_an_answer_is_sent_at_the_deadline_even_if_the_disk_still_fails(
    tmp_path: Path, disk: FailingDisk
) -> None:
    rig = DispatcherRig(tmp_path)
    rig.submit("m", left=2 * SECOND)
    disk.failing = True
    rig.dispatcher.conclude(rig.journal.messages.by_id["m"], Ending.REJECTED)
    rig.advance(1.9)
    assert not rig.answers
    rig.advance(0.2)
    assert [answered.id for answered in rig.answers] == ["m"]


# Guards against attempts that a failing disk uses up: the message was given up without a call.
def test_a_failing_disk_uses_up_no_attempt(tmp_path: Path, disk: FailingDisk) -> None:
    rig = DispatcherRig(tmp_path)
    disk.failing = False
    rig.submit("m")
    disk.failing = True
    assert not rig.advance(5)
    disk.failing = False
    calls = rig.advance(0.5)
    assert [transaction.id for call in calls for transaction in call.messages] == ["m"]
    assert not rig.answers
    assert rig.journal.messages.by_id["m"].attempt_count == 1


def fill(record: Callable[[int], None]) -> None:
    """Write records until the journal has no space for another one."""
    with contextlib.suppress(JournalFullError):
        for number in itertools.count():
            record(number)


class EarlyTime(VirtualTime):
    """Virtual time whose timers are a little early, as those of an event loop may be."""

    def call_at(self, when: int, callback: Callable[[], None]) -> None:
        super().call_at(when - MS // 2, callback)


# Guards against an answer whose timer is a fraction of a millisecond early and that is never sent.
def test_an_answer_is_sent_at_the_deadline_even_if_its_timer_is_early(
    tmp_path: Path, disk: FailingDisk
) -> None:
    rig = DispatcherRig(tmp_path, EarlyTime())
    rig.submit("m", left=2 * SECOND)
    disk.failing = True
    rig.dispatcher.conclude(rig.journal.messages.by_id["m"], Ending.REJECTED)
    rig.advance(2.1)
    assert [answered.id for answered in rig.answers] == ["m"]


# Guards against a state directory that exceeds the disk limit with the clock and a full journal.
def test_a_full_state_directory_stays_within_its_limit(tmp_path: Path) -> None:
    max_bytes = 40_000
    journal = Journal(tmp_path, max_bytes, lambda: START, retention)
    assert AnchorFile(tmp_path, ClockAnchor.now()).write()
    (tmp_path / "clock.new").write_text("x")
    fill(lambda number: journal.record_accepted(message(f"m{number}")))
    held = list(journal.messages.by_id.values())
    fill(lambda number: journal.record_attempt(held[number % len(held)], START, 0))
    journal.new_path.write_bytes(journal.snapshot())  # a compaction that was killed before its end
    sizes = [path.stat().st_size for path in tmp_path.iterdir()]
    blocks = sum(-(-size // DISK_BLOCK_BYTES) for size in sizes) + 1  # and the directory
    assert blocks * DISK_BLOCK_BYTES <= max_bytes
