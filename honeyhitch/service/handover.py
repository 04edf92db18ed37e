"""The other process on the same state folder, while an upgrade lasts: its journal is followed, and what it
leaves is taken over as soon as the kernel has let go of its lock.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace

from honeyhitch import logs
from honeyhitch.dispatcher.dispatcher import Dispatcher
from honeyhitch.journal.directory import FIRST_SLOT, SECOND_SLOT, StateDirectory
from honeyhitch.journal.follower import JournalFollower
from honeyhitch.journal.journal import Journal, JournalFullError
from honeyhitch.policy.events import Event, RetryAfterReceived

log = logs.get()
PEER_POLL_SECONDS, IDLE_POLL_SECONDS = (
    0.02,
    0.25,
)  # seconds between looks while another process is there, and while none is


class ProcessHandover:
    """Sees the other process come and go. `changed` is called with whether one is there, and how many calls
    it has out if it passes on what it holds.
    """

    def __init__(
        self,
        state_directory: StateDirectory,
        journal: Journal,
        dispatcher: Dispatcher,
        on_change: Callable[[bool, int | None], None],
    ) -> None:
        self.state_directory, self.journal, self.dispatcher, self.on_change = (
            state_directory,
            journal,
            dispatcher,
            on_change,
        )
        self.follower = self._new_follower()
        self.peer_running = self.recovered = (
            False  # the latter: the dispatcher goes on with what the journal held
        )
        self.peer_calls_in_flight: int | None = None

    def _new_follower(self) -> JournalFollower:
        path = self.state_directory.journal_path(self.state_directory.other_slot)
        return JournalFollower(path, self.journal.messages.max_remembered, self.journal.retention)

    def start(self) -> None:
        """The first look, before the dispatcher goes on with what the journal holds."""
        self.check_peer()
        if not self.peer_running:
            self.journal.reclaim()
        self.journal.record_calls_in_flight(None)  # one that had this place before may have passed on

    def check_peer(self) -> None:
        """See whether another process holds the other place; if one left something there, take it over."""
        if (
            self.state_directory.slot == FIRST_SLOT
            and not self.state_directory.journal_path(SECOND_SLOT).exists()
        ):
            self._set_peer_running(False)
            return
        with self.state_directory.exclusive():
            gone = self.state_directory.lock_slot(self.state_directory.other_slot)
            if gone:
                self._take_over_journal()
        if not gone:
            self._set_peer_running(True)
            self._read_peer_journal()
            if self.recovered and self.dispatcher.sending:
                self._receive_messages()

    def _set_peer_running(self, there: bool) -> None:
        if there != self.peer_running:
            self.peer_running = there
            self.dispatcher.peer_process = self if there else None
            log.info(
                "handover.peer-started" if there else "handover.peer-ended",
                place=self.state_directory.other_slot,
            )
            self.peer_calls_in_flight = None
            self.on_change(there, None)

    def _receive_messages(self) -> None:
        """Go on with what the other one passes on: from here on it is in this process's journal, too.

        One that passes on takes up nothing more: what was passed on to it and it does not know comes back.
        """
        if self.follower.calls_in_flight != self.peer_calls_in_flight:
            self.peer_calls_in_flight = self.follower.calls_in_flight
            self.on_change(True, self.peer_calls_in_flight)
        came, mine, theirs = [], self.journal, self.follower
        back = (
            {}
            if theirs.calls_in_flight is None
            else {k: v for k, v in mine.handed_over.items() if not theirs.has_accepted(k)}
        )
        for name, one in (theirs.handed_over | back).items():
            if name in mine.handed_over or not mine.has_accepted(name):
                copy = replace(
                    one,
                    possible_executions=list(one.possible_executions),
                    attempt_history=list(one.attempt_history),
                )
                try:
                    mine.record_accepted(copy)
                except JournalFullError as error:  # what is held here ends with time
                    log.warning("handover.journal-full", error=str(error))
                    break
                came.append(copy)
            theirs.handed_over.pop(name, None)
        if came:
            log.info("handover.messages-received", messages=len(came))
            self.dispatcher.take_over(came, [])

    def _take_over_journal(self) -> None:
        """Nobody writes the other journal any more, and the lock keeps it so."""
        self.follower.read()
        first, second = (
            self.state_directory.journal_path(FIRST_SLOT),
            self.state_directory.journal_path(SECOND_SLOT),
        )
        self.journal.peer_bytes = self.follower.read_bytes
        try:
            new, late = self.journal.take_over(self.follower, first, second)
        except JournalFullError as error:  # what is held here ends with time, and then there is room
            log.error("handover.journal-full", error=str(error))
            return
        self.state_directory.slot = FIRST_SLOT
        self.state_directory.unlock_slot(SECOND_SLOT)
        self.follower.close()
        waits, self.follower, self.journal.peer_bytes = self._retry_after_events(), self._new_follower(), 0
        self._set_peer_running(False)
        self.dispatcher.apply_retry_after(waits)
        if new:
            log.info("handover.journal-taken-over", messages=len(new))
        if self.recovered:
            self.dispatcher.take_over(new, late)

    async def watch(self) -> None:
        """Look for ever."""
        while True:
            await asyncio.sleep(PEER_POLL_SECONDS if self.peer_running else IDLE_POLL_SECONDS)
            self.check_peer()

    def close(self) -> None:
        """Let go of the other's journal."""
        self.follower.close()

    # What the dispatcher asks while another process is there.

    def retry_after_events(self) -> list[Event]:
        """The waits that the other process was told, all that last: a member may be listed here only now."""
        self._read_peer_journal()
        return self._retry_after_events()

    def _read_peer_journal(self) -> None:
        self.follower.read()
        self.journal.peer_bytes = self.follower.reserved_bytes()

    def _retry_after_events(self) -> list[Event]:
        now = self.journal.clock()
        waits = self.follower.retry_after_until.items()
        return [
            RetryAfterReceived(destination, name, until)
            for (destination, name), until in waits
            if until > now
        ]

    def has_accepted(self, name: str) -> bool:
        """The other process has taken this message on."""
        self.follower.read()
        return self.follower.has_accepted(name)
