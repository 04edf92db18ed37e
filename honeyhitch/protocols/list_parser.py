"""Parses lists in discovery's form incrementally, and keeps only the members that are needed.

A list with every destination of a large deployment is neither held in memory as a whole nor parsed in one
turn of the event loop. Each member is decoded by the standard library's JSON decoder once it is complete.
"""

from __future__ import annotations

import codecs
import json
import re
from collections.abc import Callable
from typing import Any

MEMBERS_START = re.compile(r'"members"\s*:\s*\[')
MEMBER_SEPARATORS = " \t\r\n,"
MAX_FRAGMENT_LENGTH = 1 << 16  # characters of one member, or of the text around the members
MAX_KEPT_MEMBERS = 100_000  # of one list
MAX_QUOTED_LENGTH = 80  # characters of malformed input that are quoted in an error


class ListError(ValueError):
    """The input is not a list in discovery's form."""


class ListParser:
    """Fed bytes, it returns each list once it is complete, with the members for which `keep_member` is true.

    `keep_member` is given a member in discovery's form.
    """

    def __init__(self, keep_member: Callable[[dict[str, Any]], bool]) -> None:
        self.keep_member = keep_member
        self._decoder = json.JSONDecoder()
        self._utf8 = codecs.getincrementaldecoder("utf-8")()
        self._text = ""  # decoded, and not parsed yet
        self._head: str | None = None  # of the current list, up to its first member
        self._members_complete = False
        self._members: list[dict[str, Any]] = []

    @property
    def unparsed_length(self) -> int:
        """Characters that are kept until more of the list comes."""
        return len(self._text)

    def feed(self, data: bytes) -> list[dict[str, Any]]:
        """Parse received bytes; returns the lists that are complete now.

        Raises ListError, after which the parser cannot be used any more.
        """
        try:
            self._text += self._utf8.decode(data)
        except UnicodeDecodeError as error:
            raise ListError(f"list: not UTF-8: {error}") from error
        lists: list[dict[str, Any]] = []
        while (complete := self._parse_list()) is not None:
            lists.append(complete)
        if len(self._text) > MAX_FRAGMENT_LENGTH:
            raise ListError(
                f"list: one part is longer than {MAX_FRAGMENT_LENGTH} characters: {self._quoted()}"
            )
        return lists

    def _quoted(self) -> str:
        return repr(self._text[:MAX_QUOTED_LENGTH])

    def _parse_list(self) -> dict[str, Any] | None:
        if self._head is None:
            self._head = self._parse_head()
        if self._head is None:
            return None
        if not self._members_complete and not self._parse_members():
            return None
        return self._parse_tail(self._head)

    def _parse_head(self) -> str | None:
        self._text = self._text.lstrip()
        if self._text and self._text[0] != "{":
            raise ListError(f"list: expected an object, got {self._quoted()}")
        start = MEMBERS_START.search(self._text)
        if start is None:
            return None
        head = self._text[: start.end()]
        self._text = self._text[start.end() :]
        self._members = []
        self._members_complete = False
        return head

    def _parse_members(self) -> bool:
        """Parse the members that are complete; true at the end of the array."""
        text = self._text
        position = 0
        while True:
            while position < len(text) and text[position] in MEMBER_SEPARATORS:
                position += 1
            if position == len(text) or text[position] == "]":
                break
            try:
                member, position = self._decoder.raw_decode(text, position)
            except ValueError:
                break  # incomplete, or malformed: that grows until it exceeds the limit
            self._add_member(member)
        self._text = text[position:]
        self._members_complete = self._text.startswith("]")
        return self._members_complete

    def _add_member(self, member: object) -> None:
        if not isinstance(member, dict):
            quoted = str(member)[:MAX_QUOTED_LENGTH]
            raise ListError(f"list: members: expected an object, got {quoted!r}")
        if self.keep_member(member):
            self._members.append(member)
        if len(self._members) > MAX_KEPT_MEMBERS:
            raise ListError(f"list: more than {MAX_KEPT_MEMBERS} members are wanted")

    def _parse_tail(self, head: str) -> dict[str, Any] | None:
        """The whole list without its members is the head and what follows them."""
        try:
            fields, end = self._decoder.raw_decode(head + self._text)
        except ValueError:
            return None
        self._text = self._text[end - len(head) :]
        self._head = None
        return {**fields, "members": self._members}
