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

MEMBERS_START = re.compile(r'"members"\s*:\s*\[')
MEMBER_SEPARATORS = " \t\r\n,"  # what may stand between members
MAX_FRAGMENT_LENGTH = 1 << 16  # characters of one member, or of what stands around them
MAX_KEPT_MEMBERS = 100_000  # members of one list


class ListError(ValueError):
    """What came is no list in discovery's form."""


class ListParser:
    """Fed bytes, it gives each object once it is whole, with the wanted ones of its members."""

    def __init__(self, keep_member: Callable[[dict[str, Any]], bool]) -> None:
        self.keep_member = keep_member
        self._decoder = json.JSONDecoder()
        self._utf8 = codecs.getincrementaldecoder("utf-8")()
        self._text = ""
        self._head: str | None = None  # of the object that is being read, up to its first member
        self._members_complete = False  # its last member has been read
        self._members = list[dict[str, Any]]()

    def feed(self, data: bytes) -> list[dict[str, Any]]:
        """The objects that are whole now. Raises ListError, after which nothing more can be read."""
        try:
            self._text += self._utf8.decode(data)
        except UnicodeDecodeError as error:
            raise ListError(f"list: not UTF-8: {error}") from error
        found = list[dict[str, Any]]()
        while (told := self._next()) is not None:
            found.append(told)
        if len(self._text) > MAX_FRAGMENT_LENGTH:
            raise ListError(
                f"list: one part is longer than {MAX_FRAGMENT_LENGTH} characters: {self._text[:80]!r}"
            )
        return found

    def _next(self) -> dict[str, Any] | None:
        if self._head is None and not self._read_head():
            return None
        if not self._members_complete and not self._read_members():
            return None
        return self._read_tail()

    def _read_head(self) -> bool:
        self._text = self._text.lstrip()
        if self._text and self._text[0] != "{":
            raise ListError(f"list: expected an object, got {self._text[:80]!r}")
        begin = MEMBERS_START.search(self._text)
        if begin is None:
            return False
        self._head, self._text = self._text[: begin.end()], self._text[begin.end() :]
        self._members, self._members_complete = [], False
        return True

    def _read_members(self) -> bool:
        at, text = 0, self._text
        while True:
            while at < len(text) and text[at] in MEMBER_SEPARATORS:
                at += 1
            if at == len(text) or text[at] == "]":
                break
            try:
                row, at = self._decoder.raw_decode(text, at)
            except ValueError:
                break  # the rest of it is still to come; what can be no member grows over the bound
            self._add_member(row)
        self._text = text[at:]
        self._members_complete = self._text.startswith("]")
        return self._members_complete

    def _add_member(self, row: object) -> None:
        if not isinstance(row, dict):
            raise ListError(f"list: members: expected an object, got {str(row)[:80]!r}")
        if self.keep_member(row):
            self._members.append(row)
        if len(self._members) > MAX_KEPT_MEMBERS:
            raise ListError(f"list: more than {MAX_KEPT_MEMBERS} members are wanted")

    def _read_tail(self) -> dict[str, Any] | None:
        assert self._head is not None
        try:
            told, end = self._decoder.raw_decode(self._head + self._text)
        except ValueError:
            return None
        self._text = self._text[end - len(self._head) :]
        self._head = None
        return {**told, "members": self._members}
