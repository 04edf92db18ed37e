"""Incremental parser of discovery's JSON lists, which keeps only the required rows.

A row is an element of the `members` array. The list of a large deployment contains every destination, so it
is neither held in memory as a whole nor parsed in one iteration of the event loop. The standard library's
JSON decoder decodes each row once it is complete.
"""

from __future__ import annotations

import codecs
import json
import re
from collections.abc import Callable
from typing import Any

MEMBERS_START = re.compile(r'"members"\s*:\s*\[')
ROW_SEPARATORS = " \t\r\n,"
MAX_FRAGMENT_LENGTH = 1 << 16  # characters of one row, or of the text before or after the rows
MAX_KEPT_ROWS = 100_000  # rows of one list
MAX_QUOTED_LENGTH = 80  # characters of malformed input that are quoted in an error


class ListError(ValueError):
    """The input is not a list in discovery's JSON form, or exceeds a limit."""


class ListParser:
    """Parses a stream of lists, and keeps the rows for which `keep_row` returns true.

    `keep_row` is called with each row as decoded from JSON.
    """

    def __init__(self, keep_row: Callable[[dict[str, Any]], bool], max_rows: int = MAX_KEPT_ROWS) -> None:
        """Keep at most `max_rows` rows of a list."""
        self.keep_row = keep_row
        self.max_rows = max_rows
        self._decoder = json.JSONDecoder()
        self._utf8 = codecs.getincrementaldecoder("utf-8")()
        self._text = ""  # decoded from UTF-8 and not parsed yet
        self._head: str | None = None  # text of the current list before its first row
        self._rows_complete = False
        self._rows: list[dict[str, Any]] = []

    @property
    def unparsed_length(self) -> int:
        """The number of characters that are buffered until more of the list is received."""
        return len(self._text)

    def feed(self, data: bytes) -> list[dict[str, Any]]:
        """Parse received bytes and return the lists that they complete.

        Raise ListError for a malformed list and for one that exceeds a limit; the parser cannot be used
        afterwards.
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
        if not self._rows_complete and not self._parse_rows():
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
        self._rows = []
        self._rows_complete = False
        return head

    def _parse_rows(self) -> bool:
        """Parse the rows that are complete; return whether the end of the array is reached."""
        text = self._text
        position = 0
        while True:
            while position < len(text) and text[position] in ROW_SEPARATORS:
                position += 1
            if position == len(text) or text[position] == "]":
                break
            try:
                row, position = self._decoder.raw_decode(text, position)
            except ValueError:
                break  # incomplete, or malformed: malformed text accumulates up to MAX_FRAGMENT_LENGTH
            self._add_row(row)
        self._text = text[position:]
        self._rows_complete = self._text.startswith("]")
        return self._rows_complete

    def _add_row(self, row: object) -> None:
        if not isinstance(row, dict):
            quoted = str(row)[:MAX_QUOTED_LENGTH]
            raise ListError(f"list: members: expected an object, got {quoted!r}")
        if self.keep_row(row):
            self._rows.append(row)
        if len(self._rows) > self.max_rows:
            raise ListError(f"list: more than {self.max_rows} members have to be kept")

    def _parse_tail(self, head: str) -> dict[str, Any] | None:
        """Return the list, or None while the text after its rows is incomplete.

        The text before and after the rows is decoded as one object with an empty `members` array.
        """
        try:
            fields, end = self._decoder.raw_decode(head + self._text)
        except ValueError:
            return None
        self._text = self._text[end - len(head) :]
        self._head = None
        return {**fields, "members": self._rows}
