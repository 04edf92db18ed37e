"""The hand-over between two processes on the same state directory, during an upgrade.

The other process is the peer. Its journal is followed while it runs, and taken over as soon as the kernel has
released its lock. See docs/design/upgrades.md.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace

from honeyhitch import logs
from honeyhitch.dispatcher.dispatcher import Dispatcher
from honeyhitch.journal.directory import FIRST_SLOT, SECOND_SLOT, StateDirectory
from honeyhitch.journal.follower import JournalFollower
from honeyhitch.journal.journal import Journal
from honeyhitch.journal.journal_file import JournalFullError
from honeyhitch.journal.transactions import Transaction
from honeyhitch.policy.events import Event, OutageKnown, RetryAfterReceived

log = logs.get_logger()
PEER_POLL_SECONDS = 0.02  # between checks while a peer runs
IDLE_POLL_SECONDS = 0.25  # between checks while no peer runs

PeerChanged = Callable[[bool, int | None], None]


class ProcessHandover:
    """Follows the peer, receives the messages it hands over, and takes its journal over once it has ended.

    It is the dispatcher's `PeerProcess` while the peer runs.
    """

    def __init__(
        self,
        state_directory: StateDirectory,
        journal: Journal,
        dispatcher: Dispatcher,
        on_change: PeerChanged,
    ) -> None:
        """Create the hand-over for a process that has locked its slot of the state directory.

        `on_change` is called with whether a peer runs and with the number of calls that the peer has in
        flight, which is None until the peer hands over its messages.
        """
        self.state_directory = state_directory
        self.journal = journal
        self.dispatcher = dispatcher
        self.on_change = on_change
        self.follower = self._new_follower()
        self.peer_running = False
        self.peer_calls_in_flight: int | None = None  # None until the peer hands over
        self.recovered = False  # whether the dispatcher has resumed the messages of the journal

    def _new_follower(self) -> JournalFollower:
        path = self.state_directory.journal_path(self.state_directory.other_slot)
        journal = self.journal
        return JournalFollower(
            path, journal.messages.max_remembered, journal.retention, journal.current_names
        )

    def start(self) -> None:
        """Check for a peer for the first time, before the dispatcher resumes the messages of the journal."""
        self.check_peer()
        if not self.peer_running:
            self.journal.reclaim()
        # An earlier process in this slot may have recorded that it was handing over.
        self.journal.record_calls_in_flight(None)

    async def watch(self) -> None:
        """Check the peer until cancelled."""
        while True:
            await asyncio.sleep(PEER_POLL_SECONDS if self.peer_running else IDLE_POLL_SECONDS)
            self.check_peer()

    def check_peer(self) -> None:
        """Check whether a peer holds the other slot, and take over the journal of a peer that has ended."""
        if self._no_second_slot():
            self._set_peer_running(False)
            return
        with self.state_directory.exclusive():
            peer_ended = self.state_directory.lock_slot(self.state_directory.other_slot)
            if peer_ended:
                self._take_over_journal()
        if peer_ended:
            return
        self._set_peer_running(True)
        self._read_peer_journal()
        if self.recovered and self.dispatcher.sending:
            self._receive_messages()

    def _no_second_slot(self) -> bool:
        """Return whether this process holds the first slot and no process has written to the second."""
        directory = self.state_directory
        return directory.slot == FIRST_SLOT and not directory.journal_path(SECOND_SLOT).exists()

    def _set_peer_running(self, running: bool) -> None:
        if running == self.peer_running:
            return
        self.peer_running = running
        self.dispatcher.peer_process = self if running else None
        log.info(
            "handover.peer-started" if running else "handover.peer-ended",
            slot=self.state_directory.other_slot,
        )
        self.peer_calls_in_flight = None
        self.on_change(running, None)

    def _receive_messages(self) -> None:
        """Record the messages that the peer hands over in this process's journal, then resume them.

        Those that the journal has no room for are tried again with each check, and end at their deadlines.
        """
        if self.follower.calls_in_flight != self.peer_calls_in_flight:
            self.peer_calls_in_flight = self.follower.calls_in_flight
            self.on_change(True, self.peer_calls_in_flight)
        received: list[Transaction] = []
        for message_id, message in (self.follower.handed_over | self._returned_messages()).items():
            if message_id in self.journal.handed_over or not self.journal.has_accepted(message_id):
                copy = _copy(message)
                try:
                    self.journal.record_accepted(copy)
                except JournalFullError as error:  # space is freed as messages of this process end
                    log.warning("handover.journal-full", error=str(error), key="messages")
                    if not self._end_if_due(copy):
                        continue
                else:
                    received.append(copy)
            self.follower.handed_over.pop(message_id, None)
        if received:
            log.info("handover.messages-received", messages=len(received))
            self.dispatcher.take_over(received, [])

    def _end_if_due(self, message: Transaction) -> bool:
        """End a message that cannot be received if its time is up; return whether it has ended."""
        return self.journal.clock() >= message.deadline and self.dispatcher.conclude_without_room(message)

    def _returned_messages(self) -> dict[str, Transaction]:
        """Return messages handed over to the peer that the peer never accepted, once it hands over itself.

        From then on the peer accepts no message, so these messages belong to this process again.
        """
        if self.follower.calls_in_flight is None:
            return {}
        return {
            message_id: message
            for message_id, message in self.journal.handed_over.items()
            if not self.follower.has_accepted(message_id)
        }

    def _take_over_journal(self) -> None:
        """Merge the journal of a peer that has ended. Its lock is held here, so no process writes to it."""
        directory = self.state_directory
        self.follower.read()
        self.journal.peer_bytes = self.follower.read_bytes
        try:
            messages, dead_letters = self.journal.take_over(
                self.follower, directory.journal_path(FIRST_SLOT), directory.journal_path(SECOND_SLOT)
            )
        except JournalFullError as error:  # space is freed as messages of this process end
            log.error("handover.journal-full", error=str(error))
            return
        directory.move_to_first_slot()
        self.follower.close()
        partner_events = self._partner_events()
        self.follower = self._new_follower()
        self.journal.peer_bytes = 0
        self._set_peer_running(False)
        self.dispatcher.apply_partner_events(partner_events)
        if messages:
            log.info("handover.journal-taken-over", messages=len(messages))
        if self.recovered:
            self.dispatcher.take_over(messages, dead_letters)

    @property
    def peer_accepts_messages(self) -> bool:
        """Whether a peer runs that has not begun to hand its messages over."""
        ended = self.state_directory.other_slot in self.state_directory.locks  # not taken over yet
        return self.peer_running and not ended and self.follower.calls_in_flight is None

    @property
    def peer_message_count(self) -> int:
        """The number of messages that the peer holds, as far as its journal was read."""
        return len(self.follower.messages)

    def peer_listens(self) -> bool:
        """Return whether the peer has opened its listeners; a peer without a description is taken to have."""
        description = self.state_directory.read_peer_description()
        return description is None or description.serving

    def close(self) -> None:
        """Close the peer's journal."""
        self.follower.close()

    # The methods of `PeerProcess`, which the dispatcher calls while a peer runs.

    def partner_events(self) -> list[Event]:
        """Return each Retry-After and outage that the peer knows and that has not expired.

        Its endpoint may be listed in this process only after the peer has learned of it.
        """
        self._read_peer_journal()
        return self._partner_events()

    def has_accepted(self, message_id: str) -> bool:
        """Return whether the peer has accepted this message."""
        self.follower.read()
        return self.follower.has_accepted(message_id)

    def _read_peer_journal(self) -> None:
        self.follower.read()
        self.journal.peer_bytes = self.follower.reserved_bytes()

    def _partner_events(self) -> list[Event]:
        now = self.journal.clock()
        retry_after: list[Event] = [
            RetryAfterReceived(destination, endpoint, until)
            for (destination, endpoint), until in self.follower.retry_after_until.items()
            if until > now
        ]
        outages: list[Event] = [
            OutageKnown(outage.destination, outage.endpoint, outage.history)
            for outage in self.follower.outages.values()
            if not outage.history.expired(now)
        ]
        return retry_after + outages


def _copy(message: Transaction) -> Transaction:
    """Return a copy that this process may change; the follower keeps using the original."""
    return replace(
        message,
        possible_executions=list(message.possible_executions),
        attempt_history=list(message.attempt_history),
    )
