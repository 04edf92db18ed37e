"""The other process on the same state folder, while an upgrade lasts: its journal is followed, and what it
leaves is taken over as soon as the kernel has let go of its lock.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace

from honeyhitch import logs
from honeyhitch.dispatcher.dispatcher import Dispatcher
from honeyhitch.journal.directory import FIRST, SECOND, StateFolder
from honeyhitch.journal.follower import Follower
from honeyhitch.journal.journal import Journal, JournalFull
from honeyhitch.policy import interface as api

log = logs.get()
LOOK, REST = 0.02, 0.25  # seconds between looks while another process is there, and while none is


class Beside:
    """Sees the other process come and go. `changed` is called with whether one is there, and how many calls
    it has out if it passes on what it holds.
    """

    def __init__(
        self,
        folder: StateFolder,
        journal: Journal,
        dispatcher: Dispatcher,
        changed: Callable[[bool, int | None], None],
    ) -> None:
        self.folder, self.journal, self.dispatcher, self.changed = folder, journal, dispatcher, changed
        self.follower = self._fresh()
        self.there = self.resumed = False  # the latter: the dispatcher goes on with what the journal held
        self.out: int | None = None

    def _fresh(self) -> Follower:
        path = self.folder.journal(self.folder.other)
        return Follower(path, self.journal.held.most, self.journal.remember)

    def begin(self) -> None:
        """The first look, before the dispatcher goes on with what the journal holds."""
        self.look()
        if not self.there:
            self.journal.take_back()
        self.journal.calls_out(None)  # one that had this place before may have passed on

    def look(self) -> None:
        """See whether another process holds the other place; if one left something there, take it over."""
        if self.folder.place == FIRST and not self.folder.journal(SECOND).exists():
            self._now(False)
            return
        with self.folder.alone():
            gone = self.folder.lock(self.folder.other)
            if gone:
                self._inherit()
        if not gone:
            self._now(True)
            self._read()
            if self.resumed and self.dispatcher.sending:
                self._take_up()

    def _now(self, there: bool) -> None:
        if there != self.there:
            self.there = there
            self.dispatcher.beside = self if there else None
            log.info("beside.came" if there else "beside.went", place=self.folder.other)
            self.out = None
            self.changed(there, None)

    def _take_up(self) -> None:
        """Go on with what the other one passes on: from here on it is in this process's journal, too.

        One that passes on takes up nothing more: what was passed on to it and it does not know comes back.
        """
        if self.follower.out != self.out:
            self.out = self.follower.out
            self.changed(True, self.out)
        came, mine, theirs = [], self.journal, self.follower
        back = {} if theirs.out is None else {k: v for k, v in mine.passed.items() if not theirs.knows(k)}
        for name, one in (theirs.passed | back).items():
            if name in mine.passed or not mine.knows(name):
                copy = replace(one, ran=list(one.ran), tries=list(one.tries))
                try:
                    mine.taken(copy)
                except JournalFull as error:  # what is held here ends with time
                    log.warning("beside.no-room", error=str(error))
                    break
                came.append(copy)
            theirs.passed.pop(name, None)
        if came:
            log.info("beside.passed", messages=len(came))
            self.dispatcher.take_up(came, [])

    def _inherit(self) -> None:
        """Nobody writes the other journal any more, and the lock keeps it so."""
        self.follower.read()
        first, second = self.folder.journal(FIRST), self.folder.journal(SECOND)
        self.journal.beside = self.follower.at
        try:
            new, late = self.journal.take_over(self.follower, first, second)
        except JournalFull as error:  # what is held here ends with time, and then there is room
            log.error("beside.no-room", error=str(error))
            return
        self.folder.place = FIRST
        self.folder.unlock(SECOND)
        self.follower.close()
        waits, self.follower, self.journal.beside = self._waits(), self._fresh(), 0
        self._now(False)
        self.dispatcher.told_elsewhere(waits)
        if new:
            log.info("beside.inherited", messages=len(new))
        if self.resumed:
            self.dispatcher.take_up(new, late)

    async def watch(self) -> None:
        """Look for ever."""
        while True:
            await asyncio.sleep(LOOK if self.there else REST)
            self.look()

    def close(self) -> None:
        """Let go of the other's journal."""
        self.follower.close()

    # What the dispatcher asks while another process is there.

    def news(self) -> list[api.Event]:
        """The waits that the other process was told, all that last: a member may be listed here only now."""
        self._read()
        return self._waits()

    def _read(self) -> None:
        self.follower.read()
        self.journal.beside = self.follower.room()

    def _waits(self) -> list[api.Event]:
        now = self.journal.clock()
        waits = self.follower.waits.items()
        return [api.Told(destination, name, until) for (destination, name), until in waits if until > now]

    def knows(self, name: str) -> bool:
        """The other process has taken this message on."""
        self.follower.read()
        return self.follower.knows(name)
