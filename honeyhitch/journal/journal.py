"""The journal: append-only, with a length and a checksum before each record.

A record is written before the act that it covers. What a write leaves in the file survives the process,
so nothing is synced. A torn tail is cut when the journal is opened.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import astuple
from pathlib import Path

from honeyhitch import logs
from honeyhitch.journal.state import LARGEST, Account, pack, unpack
from honeyhitch.journal.transactions import Ending, Transaction, Try

log = logs.get()
DISK_A_NAME = 600  # bytes of the disk for each id or key that is remembered; it takes some 45 of them
PIECE = 1000  # ids or keys in one record
BLOCK = 512  # the disk counts files in whole blocks
TAKE_SHARE, WRITE_SHARE, COMPACT_SHARE = 0.75, 0.95, 0.3  # of the disk: take, write at all, tidy up
WORTH = 0.125  # of the file; for less it is not written anew, which costs milliseconds

VERSION = 1  # of the records' form


class JournalUnusable(Exception):
    """The journal is not this program's to go on with."""


class JournalFull(Exception):
    """There is no room for the record, even after compaction."""


class Journal(Account):
    """The file, and the account of what it holds: `held` is what a replay would give."""

    def __init__(
        self,
        folder: Path,
        disk: int,
        clock: Callable[[], int],
        remember: Callable[[Transaction], int],
        detailed: bool = False,
        file: str = "journal",
    ) -> None:
        self.path, self.spare, self.disk = folder / file, folder / f"{file}.new", disk
        self.beside = 0  # bytes that another process uses of the same disk
        self.rest = 0  # bytes of the last compaction's file beyond `live`
        super().__init__(disk // DISK_A_NAME, remember)
        self.clock, self.detailed = clock, detailed  # members, outcomes and times are there for later readers
        self.spare.unlink(missing_ok=True)  # a compaction that was cut short; the old file still holds all
        self.fd = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)
        self.size = 0
        self._replay()
        if self.version > VERSION:
            self.close()
            raise JournalUnusable(
                f"{self.path} has form {self.version}, this program knows {VERSION} at most"
            )

    def close(self) -> None:
        """Let go of the file."""
        os.close(self.fd)

    # What is written, each before the act that it covers.

    def taken(self, transaction: Transaction) -> None:
        """Before a client hears that it was taken on; refused for lack of room with JournalFull."""
        self._write(self._whole(transaction), transaction.body, TAKE_SHARE)
        self._hold(transaction)

    def attempt(self, transaction: Transaction, at: int, zone: int, member: str = "") -> None:
        """Right before the first byte of a call."""
        number = transaction.attempts
        fields: dict[str, object] = {"t": "attempt", "id": transaction.id, "n": number}
        fields |= {"at": at, "zone": zone}
        self._write(fields | ({"to": member} if self.detailed else {}))
        transaction.attempts += 1
        transaction.ran.append((number, at, zone))
        if self.detailed:
            transaction.tries.append(Try(number, member, at))

    def outcome(self, transaction: Transaction, told: Try) -> None:
        """How an attempt ended, for those who read it later; nothing that is decided rests on it."""
        if self.detailed:
            fields: dict[str, object] = {"t": "outcome", "id": transaction.id, "n": told.number}
            fields |= {"to": told.member, "at": told.at}  # of one that never began this is all there is
            self._note(fields | {"as": told.outcome, "took": told.took, "wait": told.wait, "why": told.why})
            transaction.tries = [*(one for one in transaction.tries if one.number != told.number), told]

    def never_ran(self, transaction: Transaction, number: int) -> None:
        """The outcome of an attempt proves that it never ran; other outcomes change nothing. It counts as an
        attempt, also where it never began.
        """
        self._note({"t": "never", "id": transaction.id, "n": number})
        transaction.attempts = max(transaction.attempts, number + 1)
        transaction.ran = [ran for ran in transaction.ran if ran[0] != number]

    def decided(self, transaction: Transaction, ending: Ending, come_back: int, keep: bool = False) -> None:
        """Before a final answer is sent: from now on it is this one and no other.

        With `keep` the message stays here, also after its answer was sent, until `kept`.
        """
        fields: dict[str, object] = {"t": "decided", "id": transaction.id, "as": ending.value}
        fields["back"] = come_back
        if keep:
            transaction.ended_at, transaction.keep = self.clock(), True
            fields |= {"at": transaction.ended_at, "keep": True}
        self._note(fields)
        transaction.ending, transaction.come_back = ending, come_back

    def kept(self, transaction: Transaction) -> None:
        """The store has it, or has let it go: it need not stay here for that any longer."""
        self._note({"t": "kept", "id": transaction.id, "at": transaction.ended_at})
        self._moved(transaction.id, transaction.ended_at)

    def end(self, transaction: Transaction, ending: Ending) -> None:
        """After the final answer was sent: nothing more is owed."""
        self._note({"t": "end", "id": transaction.id, "as": ending.value, "at": self.clock()})
        self._end(transaction, ending, self.clock())

    def begin(self, name: str) -> None:
        """Write down whose it is and in which form, for a process that comes beside this one."""
        if (self.name, self.version) != (name, VERSION):
            self.name, self.version = name, VERSION
            self._note(self._born())

    def wait(self, destination: int, member: str, until: int) -> None:
        """A member told to wait: the process beside this one heeds it, too."""
        self.waits[destination, member] = until
        self._note({"t": "wait", "dest": destination, "of": member, "until": until})

    def pass_on(self, transactions: list[Transaction], out: int) -> None:
        """The process beside this one goes on with these, from the moment of the record; so many calls are
        out here. JournalFull, and they stay, if there is no room.

        The file is compacted once, before; from then on it only grows, so that the other one need not leave
        room for a compaction here.
        """
        if self.out is None:
            self.compact()
        for at in range(0, len(transactions), PIECE):
            part = {one.id: one for one in transactions[at : at + PIECE]}
            self._write({"t": "passed", "ids": list(part)})
            self.passed |= part
        self.calls_out(out)

    def calls_out(self, out: int | None) -> None:
        """So many calls are out of a process that passes on; None as long as it does not."""
        if out != self.out:
            self.out = out
            self._note({"t": "out", "n": out})

    def take_back(self) -> None:
        """Nobody is beside this process: what was passed on is its own."""
        if self.passed or self.out is not None:
            self.passed, self.out = {}, None
            self._note({"t": "back"})

    def _born(self) -> dict[str, object]:
        return {"t": "born", "v": self.version, "name": self.name}

    # What another process left, once its lock is free.

    def take_over(
        self, other: Account, path: Path, left: Path
    ) -> tuple[list[Transaction], list[Transaction]]:
        """Hold what another journal holds as well, and what it remembers. Returned are those new here, and
        those that only wait for the store.

        What was passed on counts as the other one has it; what that does not know comes back, and is new.
        One file with both takes the place of `path` at one stroke, and only then is `left` removed: after a
        kill in between, the one at `path` counts. JournalFull, with all as it was, if there is no room.
        """
        known = self.held
        before = dict(known.by_id), dict(known.ended), dict(known.keys), dict(known.unmoved)
        sums = self.passed, self.out, self.live, self.waiting, dict(self.sizes)
        theirs = {name for name in self.passed if other.knows(name)}
        for name in theirs:
            del known.by_id[name]
            self.live -= self.sizes.pop(name)
        back = [one for name, one in self.passed.items() if name not in theirs]
        self.passed, self.out = {}, None
        ids = known.by_id.keys() | known.ended.keys()
        new = [one for one in other.held.by_id.values() if one.id not in ids]
        late = [one for key, one in other.held.unmoved.items() if key not in known.unmoved]
        for transaction in new:
            self._hold(transaction)
        for transaction in late:
            self._leave_to_store(transaction)
        self.waits = other.waits | self.waits
        known.ended = other.held.ended | known.ended
        known.keys = other.held.keys | known.keys
        spare = path.with_name(f"{path.name}.new")
        if not self._rewrite(self._all(), path, spare):
            known.by_id, known.ended, known.keys, known.unmoved = before
            self.passed, self.out, self.live, self.waiting, self.sizes = sums
            raise JournalFull("no room for what another process left")
        self.path, self.spare = path, spare
        left.unlink(missing_ok=True)
        return new + back, late

    def _whole(self, transaction: Transaction) -> dict[str, object]:
        fields: dict[str, object] = {
            name: getattr(transaction, name)
            for name in ("id", "cls", "destination", "deadline", "key", "tenant", "came_again", "front")
        }
        fields |= {"t": "taken", "reply": transaction.reply, "attempts": transaction.attempts}
        fields |= {"ran": transaction.ran, "back": transaction.come_back}
        if transaction.keep or self.detailed:
            fields |= {"came_at": transaction.came_at, "ended_at": transaction.ended_at}
            fields |= {"keep": transaction.keep, "moved": transaction.moved}
            fields["tries"] = [astuple(one) for one in transaction.tries]
        return fields | {"as": transaction.ending.value if transaction.ending else None}

    def _replay(self) -> None:
        data = self.path.read_bytes()
        for fields, body, end in unpack(data):
            self._apply(fields, body)
            self.size = end
        if self.size < len(data):  # the torn tail of a process that was killed in a write
            os.ftruncate(self.fd, self.size)
        self.waits.clear()  # a restart ends them (protocol page)
        self.held.forget(self.clock())

    # The file.

    def _note(self, fields: dict[str, object]) -> None:
        """A record that only lessens what is owed: left out for lack of room, a replay repeats harmlessly."""
        try:
            self._write(fields)
        except JournalFull as error:
            log.error("journal.failed", error=str(error))

    def _write(self, fields: dict[str, object], body: bytes = b"", share: float = WRITE_SHARE) -> None:
        record = pack(fields, body)
        if len(record) > LARGEST:
            raise JournalFull("the record is too long")
        if self.size > max(COMPACT_SHARE * self.disk, 2 * self.live):
            self._tidy(0)
        # Old and new file lie side by side while one is compacted, so both must always fit.
        least = self.live + self.beside + 2 * len(record) + 4 * BLOCK - share * self.disk
        if self.size + least > 0:
            self._tidy(self.size + least)
            if self.size + least > 0:
                raise JournalFull("the disk's share is used up")
        try:
            written = os.write(self.fd, record)
        except OSError as error:
            raise JournalFull(str(error)) from error
        if written < len(record):  # a disk that filled up midway: leave no torn record in the middle
            os.ftruncate(self.fd, self.size)
            raise JournalFull("a write was cut short")
        self.size += written

    def _tidy(self, wanted: float) -> None:
        """Compact if that makes so much room, in bytes, and enough to be worth it: a full journal would be
        written anew for every message that it refuses otherwise.
        """
        gain = self.size - self.live - self.rest
        if self.out is None and gain >= max(wanted, WORTH * self.size):
            self.compact()

    def compact(self) -> None:
        """Write what is still of use to a new file and put it in the old one's place at one stroke."""
        data = self._all()
        self.rest = len(data) - self.live
        if len(data) < self.size:
            self._rewrite(data, self.path, self.spare)

    def _all(self) -> bytes:
        self.held.forget(self.clock())
        self.waits = {key: until for key, until in self.waits.items() if until > self.clock()}
        ended, keys = list(self.held.ended.items()), list(self.held.keys.items())
        parts = [pack(self._born())] if self.version else []
        parts += [  # in pieces, so that no record outgrows what a replay accepts
            pack({"t": "past", "ended": dict(ended[at : at + PIECE]), "keys": dict(keys[at : at + PIECE])})
            for at in range(0, max(len(ended), len(keys)), PIECE)
        ]
        parts += [pack(self._whole(known), known.body) for known in self.held.by_id.values()]
        late = self.held.unmoved.values()
        parts += [pack(self._whole(known) | {"over": True}, known.body) for known in late]
        names = list(self.passed)
        parts += [pack({"t": "passed", "ids": names[at : at + PIECE]}) for at in range(0, len(names), PIECE)]
        parts += [pack({"t": "out", "n": self.out})] if self.out is not None else []
        for (destination, member), until in self.waits.items():
            parts.append(pack({"t": "wait", "dest": destination, "of": member, "until": until}))
        return b"".join(parts)

    def _rewrite(self, data: bytes, path: Path, spare: Path) -> bool:
        if self.size + self.beside + len(data) + 4 * BLOCK > self.disk:
            return False
        try:
            fd = os.open(spare, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)
            try:
                done = os.write(fd, data)
            except OSError:
                done = -1
            if done < len(data):
                os.close(fd)
                spare.unlink(missing_ok=True)
                return False
            os.rename(spare, path)
        except OSError:
            return False
        os.close(self.fd)
        self.fd, self.size = fd, len(data)
        return True
