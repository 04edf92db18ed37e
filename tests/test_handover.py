"""Tests that during a hand-over each message has one owner, even if either of the two processes is killed."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import os
import socket
import threading
from pathlib import Path
from typing import Any

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from honeyhitch import config
from honeyhitch.journal.directory import FIRST_SLOT, SECOND_SLOT, StateDirectory, StateDirectoryInUseError
from honeyhitch.journal.follower import JournalFollower
from honeyhitch.journal.journal import Journal
from honeyhitch.journal.journal_file import JournalVersionError
from honeyhitch.journal.records import JournalOwner
from honeyhitch.journal.transactions import Ending, Transaction
from honeyhitch.policy.events import Outcome
from honeyhitch.policy.settings import Idempotency
from honeyhitch.service.handover import ProcessHandover
from honeyhitch.service.run import run
from honeyhitch.transports import sockets

from .polling import poll_condition
from .program import Peer, run_async_test, running_program, write_config_files
from .rig import STANDARD_CLASS, START, DispatcherRig, VirtualTime, endpoint_row
from .world import SECOND as S

RETENTION = 20 * S


def transaction(name: str) -> Transaction:
    return Transaction(name, 0, 1, START + 20 * S, b"body", key=f"k-{name}")


def open_journal(folder: Path, slot: int = FIRST_SLOT, disk: int = 3_000_000, now: int = START) -> Journal:
    name = {FIRST_SLOT: "journal", SECOND_SLOT: "journal-2"}[slot]
    return Journal(folder, disk, lambda: now, lambda _: RETENTION, file_name=name)


def test_a_third_process_is_refused_and_a_slot_is_free_once_its_process_has_ended(tmp_path: Path) -> None:
    first, second = StateDirectory(tmp_path), StateDirectory(tmp_path)
    assert (first.slot, second.slot) == (FIRST_SLOT, SECOND_SLOT)
    with pytest.raises(StateDirectoryInUseError):
        StateDirectory(tmp_path)
    assert not second.lock_slot(FIRST_SLOT)
    first.close()
    assert second.lock_slot(FIRST_SLOT)


def test_a_start_during_a_take_over_waits_and_is_not_taken_for_a_third_process(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    time, state_directories = VirtualTime(), list[StateDirectory]()
    old, new = Process(tmp_path, time), Process(tmp_path, time)
    start_thread = threading.Thread(target=lambda: state_directories.append(StateDirectory(tmp_path)))
    take_over = Journal.take_over

    def delayed_take_over(*arguments: Any) -> Any:
        start_thread.start()
        start_thread.join(0.05)
        assert not state_directories, "the process that starts waits for the take-over"
        return take_over(*arguments)

    monkeypatch.setattr(Journal, "take_over", delayed_take_over)
    old.kill()
    new.handover.check_peer()
    start_thread.join(10)
    assert state_directories[0].slot == SECOND_SLOT
    assert new.state_directory.slot == FIRST_SLOT


class Process(DispatcherRig):
    """A stand-in for a dispatcher process in an upgrade; `kill` ends it and leaves its files as they are."""

    def __init__(self, folder: Path, time: VirtualTime, **rig_arguments: Any) -> None:
        self.state_directory = StateDirectory(folder)
        super().__init__(folder, time, **rig_arguments)

    def make_journal(self, folder: Path, max_journal_bytes: int) -> Journal:
        file_name = self.state_directory.journal_path(self.state_directory.slot).name
        return Journal(folder, max_journal_bytes, self.time.now, lambda _: RETENTION, file_name=file_name)

    def resume(self) -> None:
        self.reported_calls: list[int | None] = []  # reported numbers of the peer's calls in flight
        self.journal.record_owner("n0")
        self.handover = ProcessHandover(
            self.state_directory,
            self.journal,
            self.dispatcher,
            lambda _, calls_in_flight: self.reported_calls.append(calls_in_flight),
        )
        self.handover.start()
        self.dispatcher.recover()
        self.handover.recovered = True

    def kill(self) -> None:
        self.dispatcher.sending = self.dispatcher.accepting = False
        self.state_directory.close()
        self.handover.close()
        self.journal.close()

    def held(self) -> set[str]:
        return self.dispatcher.messages.by_id.keys() - self.journal.handed_over.keys()


def test_the_new_process_resumes_the_messages_of_the_old_one(tmp_path: Path) -> None:
    time = VirtualTime()
    old = Process(tmp_path, time)
    old.submit("a")
    (call,) = old.advance(0.1)
    new = Process(tmp_path, time)
    assert new.dispatcher.peer_process is not None
    assert not new.held()
    assert not new.advance(0.5)
    old.end(call, Outcome.CONNECT_FAILED)
    old.dispatcher.hand_over()
    assert old.submit("b")
    assert not old.advance(0.5), "the old process starts no new call"
    old.kill()
    new.handover.check_peer()
    assert new.held() == {"a", "b"}
    assert new.dispatcher.peer_process is None
    assert new.state_directory.slot == FIRST_SLOT
    sent_ids = [message.id for call in new.advance(2) for message in call.messages]
    assert sorted(sent_ids) == ["a", "b"]
    assert [file.name for file in sorted(tmp_path.glob("journal*"))] == ["journal"], "the original file name"


def test_a_process_that_hands_over_pools_no_connection_that_its_successor_could_use(tmp_path: Path) -> None:
    """Both processes share the endpoint's connection limit: idle connections of one would block the other."""
    time = VirtualTime()
    old = Process(tmp_path, time)
    old.submit("a")
    (call,) = old.advance(0.1)
    assert not old.closed_endpoints
    old.dispatcher.hand_over()
    assert sorted(old.closed_endpoints) == ["s-1", "s-2"]
    old.dispatcher.hand_over()
    assert len(old.closed_endpoints) == 2, "the pooled connections are closed only once"
    old.end(call, Outcome.DELIVERED)
    assert old.closed_endpoints[2:] == ["s-1"], "the connection left by the last call is closed"


def test_queued_messages_resume_in_the_new_process_while_calls_of_the_old_one_are_in_flight(
    tmp_path: Path,
) -> None:
    time = VirtualTime()
    old = Process(tmp_path, time)
    old.submit("a")
    (call,) = old.advance(0.1)
    old.submit("b")
    new = Process(tmp_path, time)
    new.handover.check_peer()
    assert not new.held(), "nothing is handed over before the old process is told to stop"
    assert new.reported_calls == [None]
    old.dispatcher.hand_over()
    new.handover.check_peer()
    assert (old.held(), new.held()) == ({"a"}, {"b"})
    assert new.reported_calls == [None, 1], "the old process reports that one slot is in use"
    assert [message.id for call in new.advance(0.5) for message in call.messages] == ["b"]
    assert old.dispatcher.metrics_snapshot()["active"] == new.dispatcher.metrics_snapshot()["active"] == 1
    old.submit("c")
    old.end(call, Outcome.CONNECT_FAILED)  # does not end the message, which the new process resumes
    old.dispatcher.hand_over()
    new.handover.check_peer()
    assert (old.held(), new.held()) == (set(), {"a", "b", "c"})
    assert new.reported_calls == [None, 1, 0]
    assert not old.advance(1), "the old process starts no call for these messages"
    old.dispatcher.withdraw("b")
    old.dispatcher.conclude(old.dispatcher.messages.by_id["c"], Ending.FAILED)
    assert not old.answers, "the old process answers none of these messages"
    for call in new.calls:
        new.end(call, Outcome.DELIVERED)
    old.kill()
    new.handover.check_peer()
    assert "b" in new.dispatcher.messages.concluded
    assert "b" not in new.held()
    assert new.reported_calls[-1] is None


@pytest.mark.parametrize("received", [False, True])
@pytest.mark.parametrize("ended", [False, True])
@pytest.mark.parametrize("killed_first", ["old", "new"])
@pytest.mark.parametrize("compact", [False, True])
def test_a_message_handed_over_has_one_owner_whichever_process_is_killed(
    tmp_path: Path, received: bool, ended: bool, killed_first: str, compact: bool
) -> None:
    time = VirtualTime()
    old = Process(tmp_path, time)
    old.submit("a")
    new = Process(tmp_path, time)
    old.dispatcher.hand_over()
    if compact:
        old.journal.replace_file(old.journal.snapshot(), old.journal.path, old.journal.new_path)
    if received:
        new.handover.check_peer()
        if ended:
            new.dispatcher.conclude(new.dispatcher.messages.by_id["a"], Ending.DELIVERED)
    killed_process, surviving_process = (old, new) if killed_first == "old" else (new, old)
    killed_process.kill()
    surviving_process.handover.check_peer()
    expected_ids = set() if received and ended else {"a"}
    assert surviving_process.held() == expected_ids
    surviving_process.kill()
    restarted = Process(tmp_path, time)
    assert restarted.held() == expected_ids
    assert not restarted.journal.handed_over
    assert restarted.journal.calls_in_flight is None
    restarted.kill()
    assert Process(tmp_path, time).held() == expected_ids


def test_a_start_reclaims_messages_handed_over_to_a_process_that_never_recorded_them(tmp_path: Path) -> None:
    time = VirtualTime()
    old, new = Process(tmp_path, time), Process(tmp_path, time)
    old.submit("a")
    old.dispatcher.hand_over()
    old.kill()
    new.kill()
    (tmp_path / "journal-2").unlink()
    restarted = Process(tmp_path, time)
    assert restarted.held() == {"a"}
    assert [message.id for call in restarted.advance(1) for message in call.messages] == ["a"]


def test_a_process_that_hands_over_leaves_its_successor_the_disk_space_it_needs(tmp_path: Path) -> None:
    """Both processes hold the same messages for a while, so half of a full journal's messages fit twice."""
    time, disk, count = VirtualTime(), 200_000, 0
    old = Process(tmp_path, time, max_journal_bytes=disk, max_messages=1000)
    while old.submit(f"m{count}"):
        if count % 4:  # most records in the file are of ended messages
            old.dispatcher.conclude(old.dispatcher.messages.by_id[f"m{count}"], Ending.REJECTED)
        count += 1
    for name in sorted(old.held())[::2]:
        old.dispatcher.conclude(old.dispatcher.messages.by_id[name], Ending.REJECTED)
    new, expected_ids = Process(tmp_path, time, max_journal_bytes=disk, max_messages=1000), old.held()
    new.handover.partner_events()  # as in a round; also reads how much disk space the other process uses
    old.dispatcher.hand_over()
    new.handover.check_peer()
    assert new.held() == expected_ids
    assert not old.held()
    assert new.submit("one more")
    assert sum(file.stat().st_size for file in tmp_path.iterdir()) < disk


def test_a_start_in_the_slot_of_a_process_that_handed_over_does_not_hand_over_itself(tmp_path: Path) -> None:
    time = VirtualTime()
    old, new = Process(tmp_path, time), Process(tmp_path, time)
    old.submit("a")
    old.dispatcher.hand_over()
    new.handover.check_peer()
    old.kill()
    restarted = Process(tmp_path, time)  # before the new process has checked its peer
    assert restarted.journal.calls_in_flight is None
    assert restarted.state_directory.slot == FIRST_SLOT
    new.handover.check_peer()
    assert new.reported_calls[-1] is None
    assert new.held() == {"a"}
    assert not restarted.held()


def test_a_message_is_not_handed_over_without_disk_space_for_its_record(tmp_path: Path) -> None:
    time = VirtualTime()
    old, new = Process(tmp_path, time), Process(tmp_path, time)
    old.submit("a")
    old.journal.max_bytes = 1000
    old.dispatcher.hand_over()
    new.handover.check_peer()
    assert old.held() == {"a"}
    assert not new.held()
    old.journal.max_bytes, new.journal.max_bytes = 3_000_000, 1000
    old.dispatcher.hand_over()
    new.handover.check_peer()
    assert not new.held(), "a message without journal space is neither taken over nor lost"
    new.journal.max_bytes = 3_000_000
    new.handover.check_peer()
    assert new.held() == {"a"}
    assert not old.held()


def submit_large(process: Process, name: str, left: int = 20 * S) -> bool:
    """Submit a message with a body of 60,000 bytes for a destination without endpoints."""
    message = Transaction(name, 0, 3, START + left, bytes(60_000), key=f"k-{name}")
    return process.dispatcher.submit(message).accepted


# Guards against messages that neither process sends or ends, because a larger one before them does not fit.
def test_messages_behind_one_that_does_not_fit_are_received(tmp_path: Path) -> None:
    time, disk = VirtualTime(), 500_000
    old = Process(tmp_path, time, max_journal_bytes=disk, max_messages=1000)
    accepted = [f"large-{number}" for number in range(10) if submit_large(old, f"large-{number}")]
    assert len(accepted) > 2
    new = Process(tmp_path, time, max_journal_bytes=disk, max_messages=1000)
    assert old.submit("small")
    new.handover.partner_events()  # as in a round
    old.dispatcher.hand_over()
    new.handover.check_peer()
    assert not new.held() >= set(accepted), "the journals have no room for all of them twice"
    assert "small" in new.held()
    assert [message.id for call in new.advance(0.1) for message in call.messages] == ["small"]


# Guards against messages that count as lost, as no process ends them while the old one waits for its calls.
@pytest.mark.parametrize("killed", [False, True])
@pytest.mark.parametrize("attempted", [False, True])
def test_a_message_that_does_not_fit_until_its_deadline_is_ended(
    tmp_path: Path, killed: bool, attempted: bool
) -> None:
    time = VirtualTime()
    # A message that was attempted may only be rejected if a second execution does no harm.
    idempotency = Idempotency.NON_IDEMPOTENT if attempted else Idempotency.IDEMPOTENT
    classes = (dataclasses.replace(STANDARD_CLASS, idempotency=idempotency),)
    arguments: dict[str, Any] = {"max_journal_bytes": 500_000, "max_messages": 1000, "classes": classes}
    old = Process(tmp_path, time, **arguments)
    accepted = [f"large-{number}" for number in range(10) if submit_large(old, f"large-{number}", 3 * S)]
    for message in old.dispatcher.messages.by_id.values():
        if attempted:
            old.journal.record_attempt(message, START, 0)
    new = Process(tmp_path, time, **arguments)
    new.handover.partner_events()
    old.dispatcher.hand_over()
    new.handover.check_peer()
    left_out = set(accepted) - new.held()
    assert left_out
    new.advance(3.02)
    new.handover.check_peer()
    new.advance(0.1)
    expected = Ending.FAILED if attempted else Ending.REJECTED
    endings = {message.id: message.ending for message in new.answers}
    assert {name: endings.get(name) for name in left_out} == dict.fromkeys(left_out, expected)
    assert len(new.answers) == len(accepted), "each message has one answer"
    if killed:
        new.kill()
        new = Process(tmp_path, time, **arguments)
    old.kill()
    new.handover.check_peer()
    assert not new.held()
    new.advance(1)
    assert not new.answers or not killed, "no message is answered again"


def test_a_process_that_hands_over_reserves_no_room_for_a_compaction(tmp_path: Path) -> None:
    time, disk = VirtualTime(), 500_000
    old = Process(tmp_path, time, max_journal_bytes=disk, max_messages=1000)
    while submit_large(old, f"large-{len(old.held())}"):
        pass
    old.journal.peer_bytes = disk // 3
    old.dispatcher.hand_over()
    assert not old.held(), "the hand-over itself can be recorded"
    assert sum(file.stat().st_size for file in tmp_path.iterdir()) < disk


# Guards against a later, shorter wait that replaces the one in force, in the journal or in a merge of two.
@pytest.mark.parametrize("killed", [False, True])
def test_the_longest_of_several_waits_holds_in_the_other_process(tmp_path: Path, killed: bool) -> None:
    time = VirtualTime()
    old, new = Process(tmp_path, time), Process(tmp_path, time)
    endpoint = old.dispatcher.pool.endpoints["s-1"]
    old.dispatcher.retry_after_received(endpoint, 3 * S)
    old.dispatcher.retry_after_received(endpoint, 1 * S)
    new.dispatcher.retry_after_received(new.dispatcher.pool.endpoints["s-1"], 2 * S)
    if killed:
        old.kill()
    new.handover.check_peer()
    new.submit("a")
    assert not new.advance(2.9)
    assert new.journal.retry_after_until.get((1, "s-1")) == START + (3 if killed else 2) * S
    assert new.advance(0.2)


def test_the_old_process_takes_over_from_a_new_one_that_was_killed(tmp_path: Path) -> None:
    time = VirtualTime()
    old = Process(tmp_path, time)
    new = Process(tmp_path, time)
    old.handover.check_peer()
    assert old.dispatcher.peer_process is not None
    new.submit("a")
    new.kill()
    old.handover.check_peer()
    assert old.held() == {"a"}
    assert old.dispatcher.peer_process is None
    assert not (tmp_path / "journal-2").exists()


def test_a_retry_after_received_by_one_process_applies_to_the_other_even_after_its_end(
    tmp_path: Path,
) -> None:
    time = VirtualTime()
    old = Process(tmp_path, time)
    old.submit("a")
    (call,) = old.advance(0.1)
    new = Process(tmp_path, time)
    old.end(call, Outcome.REJECTED, retry_after=2 * S)
    received_at = time.time
    new.submit("b")
    assert not new.advance(1)
    old.dispatcher.hand_over()
    old.kill()
    new.handover.check_peer()
    calls = new.advance(4)
    assert calls
    assert all(call.sent_at >= received_at + 2 * S for call in calls)


def test_a_retry_after_received_before_the_new_process_started_applies_to_it(tmp_path: Path) -> None:
    time = VirtualTime()
    old = Process(tmp_path, time)
    old.submit("a")
    (call,) = old.advance(0.1)
    old.end(call, Outcome.REJECTED, retry_after=2 * S)
    old.journal.compact()
    new = Process(tmp_path, time)
    new.submit("b")
    assert not new.advance(1.9)
    assert new.advance(2)


def test_a_retry_after_of_a_removed_endpoint_applies_to_its_replacements(tmp_path: Path) -> None:
    time = VirtualTime()
    old = Process(tmp_path, time)
    old.submit("a")
    (call,) = old.advance(0.1)
    new = Process(tmp_path, time)
    new.dispatcher.apply_list_update(
        new.dispatcher.pool.update({"revision": 2, "complete": True, "members": [endpoint_row("s-9", 1)]})
    )
    old.end(call, Outcome.REJECTED, retry_after=2 * S)
    received_at = time.time
    new.submit("b")
    assert not new.advance(1.9)
    assert all(call.sent_at >= received_at + 2 * S and call.endpoint.id == "s-9" for call in new.advance(2))


def test_an_id_submitted_to_both_processes_is_accepted_once(tmp_path: Path) -> None:
    time = VirtualTime()
    old = Process(tmp_path, time)
    old.submit("a")
    (call,) = old.advance(0.1)
    new = Process(tmp_path, time)
    assert new.submit("a")
    assert not new.held(), "the old process has accepted the message"
    old.end(call, Outcome.DELIVERED)
    assert new.submit("a")
    assert not new.held()
    assert not new.advance(1), "a duplicate is not sent after the final answer"


def test_a_kill_between_the_two_writes_of_a_take_over_leaves_one_owner(tmp_path: Path) -> None:
    time = VirtualTime()
    old, new = Process(tmp_path, time), Process(tmp_path, time)
    old.submit("a")
    new.submit("b")
    removed_journal = (tmp_path / "journal-2").read_bytes()
    old.kill()
    new.handover.check_peer()
    new.dispatcher.conclude(new.dispatcher.messages.by_id["b"], Ending.UNANSWERED)
    new.kill()
    (tmp_path / "journal-2").write_bytes(removed_journal)  # as if the file had not been removed yet
    restarted = Process(tmp_path, time)
    assert restarted.held() == {"a"}


def test_a_journal_of_a_later_version_is_refused(tmp_path: Path) -> None:
    journal = open_journal(tmp_path)
    journal.append(JournalOwner(99, "n0"))
    with pytest.raises(JournalVersionError, match="format version is 99"):
        open_journal(tmp_path)


class Two(RuleBasedStateMachine):
    """Takes, attempts, ends, compactions, kills and starts of two processes: what was taken and has not ended
    is held by one living process, or by none that lives and by the next one to look."""

    def __init__(self) -> None:
        super().__init__()
        import tempfile

        self.root = tempfile.TemporaryDirectory(dir="/dev/shm" if Path("/dev/shm").is_dir() else None)
        self.folder, self.time = Path(self.root.name), VirtualTime()
        self.alive: list[Process] = []
        self.owed: set[str] = set()
        self.count = 0

    def teardown(self) -> None:
        for process in self.alive:
            process.kill()
        self.root.cleanup()

    @precondition(lambda self: len(self.alive) < 2)
    @rule()
    def start(self) -> None:
        self.alive.append(Process(self.folder, self.time))

    @precondition(lambda self: self.alive)
    @rule(data=st.data())
    def take(self, data: st.DataObject) -> None:
        name = f"m{self.count}"
        self.count += 1
        if data.draw(st.sampled_from(self.alive)).submit(name):
            self.owed.add(name)

    @precondition(lambda self: self.alive)
    @rule(data=st.data(), ending=st.sampled_from(list(Ending)))
    def end(self, data: st.DataObject, ending: Ending) -> None:
        process = data.draw(st.sampled_from(self.alive))
        if process.held():
            name = data.draw(st.sampled_from(sorted(process.held())))
            process.dispatcher.conclude(process.dispatcher.messages.by_id[name], ending)
            self.owed.discard(name)

    @precondition(lambda self: self.alive)
    @rule(data=st.data())
    def attempt(self, data: st.DataObject) -> None:
        process = data.draw(st.sampled_from(self.alive))
        for held in list(process.dispatcher.messages.by_id.values())[:1]:
            process.journal.record_attempt(held, self.time.time, 0)

    @precondition(lambda self: self.alive)
    @rule(data=st.data())
    def compact(self, data: st.DataObject) -> None:
        data.draw(st.sampled_from(self.alive)).journal.compact()

    @precondition(lambda self: self.alive)
    @rule(data=st.data())
    def kill(self, data: st.DataObject) -> None:
        process = data.draw(st.sampled_from(self.alive))
        self.alive.remove(process)
        process.kill()

    @precondition(lambda self: self.alive)
    @rule(cut=st.integers(0, 40))
    def torn(self, cut: int) -> None:
        """A kill in the midst of a write: what it covered was not said yet."""
        process = self.alive.pop()
        process.kill()
        with process.journal.path.open("ab") as file:
            file.write(bytes(range(1, cut + 1)))

    @precondition(lambda self: len(self.alive) == 2)
    @rule(data=st.data())
    def hand_over(self, data: st.DataObject) -> None:
        data.draw(st.sampled_from(self.alive)).dispatcher.hand_over()

    @precondition(lambda self: self.alive)
    @rule()
    def look(self) -> None:
        for process in self.alive:
            process.handover.check_peer()
        holds = [process.held() for process in self.alive]
        assert len(holds) < 2 or not holds[0] & holds[1], "never two owners"
        passed = set().union(*(process.journal.handed_over for process in self.alive))
        going = any(process.dispatcher.sending for process in self.alive)
        assert set().union(*holds) == self.owed if going else self.owed <= passed.union(*holds)
        size = sum(file.stat().st_size for file in self.folder.iterdir())
        assert size <= 3_000_000


TestTwo = Two.TestCase


def test_a_follower_reads_a_file_that_grows_is_replaced_or_is_truncated(tmp_path: Path) -> None:
    journal = open_journal(tmp_path)
    follower = JournalFollower(tmp_path / "journal", 100, lambda _: RETENTION)
    for number in range(3):
        journal.record_accepted(transaction(f"m{number}"))
        follower.read()
    journal.record_end(journal.messages.by_id["m0"], Ending.DELIVERED)
    journal.compact()
    journal.record_accepted(transaction("m3"))
    follower.read()
    assert set(follower.messages.by_id) == {"m1", "m2", "m3"}
    assert "m0" in follower.messages.concluded
    os.write(journal.file.fd, b"\x10\x00\x00")  # part of a record's header
    follower.read()
    os.ftruncate(journal.file.fd, journal.size)
    journal.record_accepted(transaction("m4"))
    follower.read()
    assert set(follower.messages.by_id) == {"m1", "m2", "m3", "m4"}


def test_new_connections_go_to_the_newer_listener_and_the_queue_of_the_older_one_stays() -> None:
    def open_listener(port: int = 0) -> socket.socket:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.bind(("127.0.0.1", port))
        sock.listen(64)
        sock.setblocking(False)
        return sock

    def count_accepted(sock: socket.socket) -> int:
        count = 0
        while True:
            try:
                sock.accept()[0].close()
                count += 1
            except BlockingIOError:
                return count

    old_listener = open_listener()
    address = old_listener.getsockname()
    clients = [socket.create_connection(address) for _ in range(8)]
    new_listener = open_listener(address[1])
    if not sockets.prefer_listener(new_listener, sockets.SECOND_LISTENER):
        pytest.skip("this system cannot steer")
    clients += [socket.create_connection(address) for _ in range(32)]
    assert (count_accepted(old_listener), count_accepted(new_listener)) == (8, 32)
    assert sockets.prefer_listener(new_listener, sockets.FIRST_LISTENER)  # the new one ends first
    clients += [socket.create_connection(address) for _ in range(32)]
    assert (count_accepted(old_listener), count_accepted(new_listener)) == (32, 0)
    assert sockets.prefer_listener(new_listener, sockets.SECOND_LISTENER)
    old_listener.close()
    clients += [socket.create_connection(address) for _ in range(8)]
    assert count_accepted(new_listener) == 8
    for sock in (*clients, new_listener):
        sock.close()


def test_an_address_that_another_program_uses_is_refused_before_the_journal_is_opened(tmp_path: Path) -> None:
    """An earlier version neither shares its address nor locks a slot, so its journal must stay unchanged."""

    async def check_refusal() -> None:
        other_program = await Peer().start()
        path, _ = write_config_files(tmp_path, other_program.port, 9, [])
        with pytest.raises(config.ConfigError, match=r"^listen: cannot listen on 127.0.0.1:\d+: Address"):
            await run(config.read({}, path), lambda before: before)
        assert not list((tmp_path / "state").glob("journal*"))

    run_async_test(check_refusal())


FLEET = '[fleet]\nview = "127.0.0.1:9"\nzone = "a"\n[fleet.regions]\neast = ["a"]\n'


def set_state_directory(config_file: Path, directory: Path) -> None:
    settings = json.loads(config_file.read_text()) | {"state": str(directory)}
    config_file.write_text(json.dumps(settings))


@pytest.mark.parametrize(
    ("changed_settings", "operator", "error_text"),
    [
        ({"name": "n1"}, None, "name: expected 'n0', which runs on the same state directory, got 'n1'"),
        (
            {},
            "[control]",
            "control: cannot be used while another process of this dispatcher runs; stop that one first",
        ),
        (
            {},
            FLEET,
            "fleet: cannot be used while another process of this dispatcher runs; stop that one first",
        ),
        ({}, None, ""),
    ],
)
def test_a_second_process_starts_or_is_refused_with_the_key_at_fault(
    tmp_path: Path, changed_settings: dict[str, str], operator: str | None, error_text: str
) -> None:
    """A second process fails with the key at fault, or both accept clients and a third process fails."""

    async def start_second_process() -> None:
        agent = await Peer().start()
        async with running_program(tmp_path, agent.port, [endpoint_row("s", 1)]) as port:
            second_directory = tmp_path / "second"
            second_directory.mkdir()
            path = write_config_files(
                second_directory,
                port,
                agent.port,
                [endpoint_row("s", 1)],
                operator,
                **{"name": "n0", **changed_settings},
            )
            set_state_directory(Path(path[0]), tmp_path / "state")
            task = asyncio.ensure_future(run(config.read({}, *path), lambda before: before))
            if error_text:
                with pytest.raises(config.ConfigError) as error:
                    await task
                assert str(error.value) == error_text
                return
            second_journal = tmp_path / "state" / "journal-2"
            await poll_condition(second_journal.exists, interval=0.01)
            with pytest.raises(config.ConfigError, match=r"^state: two processes hold"):
                await run(config.read({}, *path), lambda before: before)
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"PING\r\n")
            assert await reader.readline() == b"+PONG\r\n"
            writer.close()
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    run_async_test(start_second_process())
