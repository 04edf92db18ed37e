"""Reads lists in discovery's form as their bytes come, and keeps only the members that are wanted.

A list that names every destination of a large deployment is neither held whole nor read in one turn of the
loop. Each member is decoded by the standard library's JSON decoder as soon as it is whole.
"""

from __future__ import annotations

import codecs
import json
import re
from collections.abc import Callable
from typing import Any

MEMBERS = re.compile(r'"members"\s*:\s*\[')
BETWEEN = " \t\r\n,"  # what may stand between members
MOST_PART = 1 << 16  # characters of one member, or of what stands around them
MOST_KEPT = 100_000  # members of one list


class ListError(ValueError):
    """What came is no list in discovery's form."""


class ListParser:
    """Fed bytes, it gives each object once it is whole, with the wanted ones of its members."""

    def __init__(self, wanted: Callable[[dict[str, Any]], bool]) -> None:
        self.wanted = wanted
        self._decoder = json.JSONDecoder()
        self._utf8 = codecs.getincrementaldecoder("utf-8")()
        self._text = ""
        self._head: str | None = None  # of the object that is being read, up to its first member
        self._in_tail = False  # its last member has been read
        self._rows = list[dict[str, Any]]()

    def feed(self, data: bytes) -> list[dict[str, Any]]:
        """The objects that are whole now. Raises ListError, after which nothing more can be read."""
        try:
            self._text += self._utf8.decode(data)
        except UnicodeDecodeError as error:
            raise ListError(f"list: not UTF-8: {error}") from error
        found = list[dict[str, Any]]()
        while (told := self._next()) is not None:
            found.append(told)
        if len(self._text) > MOST_PART:
            raise ListError(f"list: one part is longer than {MOST_PART} characters: {self._text[:80]!r}")
        return found

    def _next(self) -> dict[str, Any] | None:
        if self._head is None and not self._read_head():
            return None
        if not self._in_tail and not self._read_members():
            return None
        return self._read_tail()

    def _read_head(self) -> bool:
        self._text = self._text.lstrip()
        if self._text and self._text[0] != "{":
            raise ListError(f"list: expected an object, got {self._text[:80]!r}")
        begin = MEMBERS.search(self._text)
        if begin is None:
            return False
        self._head, self._text = self._text[: begin.end()], self._text[begin.end() :]
        self._rows, self._in_tail = [], False
        return True

    def _read_members(self) -> bool:
        at, text = 0, self._text
        while True:
            while at < len(text) and text[at] in BETWEEN:
                at += 1
            if at == len(text) or text[at] == "]":
                break
            try:
                row, at = self._decoder.raw_decode(text, at)
            except ValueError:
                break  # the rest of it is still to come; what can be no member grows over the bound
            self._keep(row)
        self._text = text[at:]
        self._in_tail = self._text.startswith("]")
        return self._in_tail

    def _keep(self, row: object) -> None:
        if not isinstance(row, dict):
            raise ListError(f"list: members: expected an object, got {str(row)[:80]!r}")
        if self.wanted(row):
            self._rows.append(row)
        if len(self._rows) > MOST_KEPT:
            raise ListError(f"list: more than {MOST_KEPT} members are wanted")

    def _read_tail(self) -> dict[str, Any] | None:
        assert self._head is not None
        try:
            told, end = self._decoder.raw_decode(self._head + self._text)
        except ValueError:
            return None
        self._text = self._text[end - len(self._head) :]
        self._head = None
        return {**told, "members": self._rows}
