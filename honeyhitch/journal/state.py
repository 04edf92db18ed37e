"""What a journal's records add up to: the transactions held, and what is remembered of those that ended.

The process that writes a journal keeps this account, and so does one that reads the journal of the process
beside it.
"""

from __future__ import annotations

import json
import struct
import zlib
from collections.abc import Callable, Iterator

from honeyhitch.journal.transactions import Ending, Held, Transaction, Try

HEAD = struct.Struct("<II")  # length and checksum of what follows
SPLIT = struct.Struct("<I")  # length of the JSON in a record; the body follows it
LARGEST = 1 << 20  # bytes in one record; a greater length is a torn one


def pack(fields: dict[str, object], body: bytes = b"") -> bytes:
    """One record as it lies in the file."""
    text = json.dumps(fields, separators=(",", ":")).encode()
    payload = SPLIT.pack(len(text)) + text + body
    return HEAD.pack(len(payload), zlib.crc32(payload)) + payload


def unpack(data: bytes) -> Iterator[tuple[dict[str, object], bytes, int]]:
    """The whole records at the front of `data`: fields, body and where each ends."""
    at = 0
    while at + HEAD.size <= len(data):
        length, checksum = HEAD.unpack_from(data, at)
        payload = data[at + HEAD.size : at + HEAD.size + length]
        if not SPLIT.size <= length <= LARGEST or len(payload) < length or zlib.crc32(payload) != checksum:
            return
        (split,) = SPLIT.unpack_from(payload)
        try:
            fields = json.loads(payload[SPLIT.size : SPLIT.size + split])
        except ValueError:
            return
        at += HEAD.size + length
        yield fields, payload[SPLIT.size + split :], at


class Account:
    """`held` is what a replay of the records gives."""

    def __init__(self, most: int, remember: Callable[[Transaction], int]) -> None:
        self.remember, self.held = remember, Held(most)
        self.live = 0  # bytes of the records that compaction would keep, roughly
        self.waiting = 0  # and of these, what belongs to messages that only wait for the store
        self.sizes: dict[str, int] = {}
        self.waits: dict[tuple[int, str], int] = {}  # told by a member of a destination: until when
        self.passed: dict[str, Transaction] = {}  # held here, but the process beside this one goes on with it
        self.out: int | None = None  # calls out of one that passes on; none that has not begun to
        # Of the dispatcher, and of the journal's form; 0 before there was one.
        self.name, self.version = "", 0

    def _hold(self, transaction: Transaction) -> None:
        self.live -= self.sizes.get(transaction.id, 0)  # one that was passed on may come back
        self.passed.pop(transaction.id, None)
        self.held.by_id[transaction.id] = transaction
        self.sizes[transaction.id] = size = self._room(transaction)
        self.live += size

    def knows(self, name: str) -> bool:
        """It is held, or was and is remembered."""
        return name in self.held.by_id or name in self.held.ended

    def _leave_to_store(self, transaction: Transaction) -> None:
        """It was answered, and only waits for the store."""
        self.held.unmoved[transaction.id, transaction.ended_at] = transaction
        size = self._room(transaction)
        self.live, self.waiting = self.live + size, self.waiting + size

    def _end(self, transaction: Transaction, ending: Ending, at: int) -> None:
        transaction.ending = ending
        self.held.by_id.pop(transaction.id, None)
        self.passed.pop(transaction.id, None)
        size = self.sizes.pop(transaction.id, 0)
        if transaction.keep and not transaction.moved:
            self.held.unmoved[transaction.id, transaction.ended_at] = transaction
            self.waiting += size
        else:
            self.live -= size
        until = at + self.remember(transaction)
        self.held.ended[transaction.id] = until
        first = transaction.first_ran()
        if ending is Ending.DELIVERED and transaction.key and first is not None:
            # A copy's own first attempt is later: the window counts from the earliest one.
            first = min(first, self.held.delivered(transaction, at) or first)
            self.held.keys[self.held.key(transaction)] = (*first, until)

    @staticmethod
    def _room(transaction: Transaction) -> int:  # bytes, with its later records
        return len(transaction.body) + 512

    def _moved(self, name: str, at: int) -> None:
        if (known := self.held.by_id.get(name)) is not None and known.ended_at == at and known.keep:
            known.moved = True  # its answer is still to be sent
        elif (left := self.held.unmoved.pop((name, at), None)) is not None:
            left.moved = True
            self.live, self.waiting = self.live - self._room(left), self.waiting - self._room(left)

    def _apply(self, fields: dict[str, object], body: bytes) -> None:
        kind = fields.pop("t", None)
        if kind == "taken":
            ending, back = fields.pop("as"), fields.pop("back")
            ran = [(int(n), int(at), int(zone)) for n, at, zone in fields.pop("ran")]  # type: ignore[attr-defined]
            tries, over = fields.pop("tries", ()), fields.pop("over", False)
            transaction = Transaction(body=body, ran=ran, **fields)  # type: ignore[arg-type]
            transaction.tries = [Try(*told) for told in tries]  # type: ignore[attr-defined]
            transaction.ending, transaction.come_back = Ending(ending) if ending else None, int(str(back))
            if over:  # answered: it only waits for the store
                self._leave_to_store(transaction)
            else:
                self._hold(transaction)
        elif kind == "wait":
            self.waits[int(str(fields["dest"])), str(fields["of"])] = int(str(fields["until"]))
        elif kind == "born":
            self.name, self.version = str(fields["name"]), int(str(fields["v"]))
        elif kind == "kept":
            self._moved(str(fields["id"]), int(str(fields["at"])))
        elif kind == "passed":
            names = (str(name) for name in fields["ids"])  # type: ignore[attr-defined]
            self.passed.update({name: self.held.by_id[name] for name in names if name in self.held.by_id})
        elif kind == "out":
            self.out = None if fields["n"] is None else int(str(fields["n"]))
        elif kind == "back":
            self.passed, self.out = {}, None
        elif kind == "past":
            self.held.ended.update(fields["ended"])  # type: ignore[call-overload]
            self.held.keys.update({key: tuple(row) for key, row in fields["keys"].items()})  # type: ignore[attr-defined]
        elif (known := self.held.by_id.get(str(fields.get("id")))) is not None:
            number = int(str(fields.get("n", 0)))
            if kind == "attempt":
                known.attempts = number + 1
                known.ran.append((number, int(str(fields["at"])), int(str(fields["zone"]))))
                if "to" in fields:
                    known.tries.append(Try(number, str(fields["to"]), int(str(fields["at"]))))
            elif kind == "outcome":
                told = next((one for one in known.tries if one.number == number), None)
                if told is None:  # it never began
                    told = Try(number, str(fields.get("to", "")), int(str(fields.get("at", 0))))
                    known.tries.append(told)
                told.outcome, told.why = str(fields["as"]), str(fields["why"])
                told.took, told.wait = int(str(fields["took"])), int(str(fields["wait"]))
            elif kind == "never":
                known.attempts = max(known.attempts, number + 1)
                known.ran = [ran for ran in known.ran if ran[0] != number]
            elif kind == "decided":
                known.ending, known.come_back = Ending(fields["as"]), int(str(fields["back"]))
                known.ended_at, known.keep = int(str(fields.get("at", 0))), bool(fields.get("keep", False))
            elif kind == "end":
                self._end(known, Ending(fields["as"]), int(str(fields["at"])))
