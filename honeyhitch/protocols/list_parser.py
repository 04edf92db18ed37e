"""Incremental parser of discovery's JSON lists and changes.

A row is an element of the `members` array. The list of a large deployment contains every destination, and it
may be indented, so its text is neither held in memory as a whole nor parsed in one iteration of the event
loop. The standard library's JSON decoder decodes each row once it is complete, and a collector keeps what it
needs of the row.
"""

from __future__ import annotations

import codecs
import json
import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Generic, Protocol, TypeVar

MEMBERS_START = re.compile(r'"members"\s*:\s*\[')
# A heartbeat: it never comes within an object.
EMPTY_LINE = re.compile(r"\n[ \t\r]*\n")
ROW_SEPARATORS = " \t\r\n,"
MAX_FRAGMENT_LENGTH = 1 << 16  # characters of one row, or of the text before or after the rows
MAX_LIST_LENGTH = 1 << 27  # characters of one list, so that a list without an end is an error
MAX_ROWS = 100_000  # rows of one list that a RowList keeps
MEAN_ROW_LENGTH = 512  # characters of a row that a RowList keeps, in the mean
MAX_QUOTED_LENGTH = 80  # characters of malformed input that are quoted in an error


class ListError(ValueError):
    """The input is not a list in discovery's JSON form, or exceeds a limit."""


class RowCollector(Protocol):
    """Receives the rows of one list or change, in their order."""

    def add(self, row: dict[str, Any]) -> None:
        """Keep what is needed of a row as decoded from JSON. Raise ValueError if it cannot be used."""


C = TypeVar("C", bound=RowCollector)


@dataclass(frozen=True, slots=True)
class ParsedList(Generic[C]):
    """One list or change: its fields without the rows, and the collector that received them."""

    fields: dict[str, Any]
    collector: C


class RowList:
    """A collector that keeps all rows as they are, at most `max_rows` of them.

    Together they may have MEAN_ROW_LENGTH characters for each row that is allowed.
    """

    def __init__(self, max_rows: int = MAX_ROWS) -> None:
        self.max_rows = max_rows
        self.rows: list[dict[str, Any]] = []
        self._length = 0

    def add(self, row: dict[str, Any]) -> None:
        """Keep a row. Raise ListError if there are too many, or if they are too long."""
        if len(self.rows) >= self.max_rows:
            raise ListError(f"more than {self.max_rows} members")
        self._length += len(str(row))
        if self._length > self.max_rows * MEAN_ROW_LENGTH:
            raise ListError(f"members: longer than {self.max_rows * MEAN_ROW_LENGTH} characters")
        self.rows.append(row)


class ListParser(Generic[C]):
    """Parses a stream of lists and changes. `new_collector` returns the collector of the next one."""

    def __init__(self, new_collector: Callable[[], C]) -> None:
        self.new_collector = new_collector
        self._decoder = json.JSONDecoder()
        self._utf8 = codecs.getincrementaldecoder("utf-8")()
        self._text = ""  # decoded from UTF-8 and not parsed yet
        self._head: str | None = None  # text of the current list before its first row
        self._rows_complete = False
        self._list_length = 0  # characters of the current list
        self._collector = new_collector()

    @property
    def unparsed_length(self) -> int:
        """The number of characters that are buffered until more of the list is received."""
        return len(self._text)

    @property
    def in_list(self) -> bool:
        """Whether a list or change has begun and is not complete."""
        return self._head is not None or bool(self._text.strip())

    def feed(self, data: bytes) -> list[ParsedList[C]]:
        """Parse received bytes and return the lists and changes that they complete.

        Raise ListError for a malformed list and for one that exceeds a limit; the parser cannot be used
        afterwards.
        """
        try:
            text = self._utf8.decode(data)
        except UnicodeDecodeError as error:
            raise ListError(f"not UTF-8: {error}") from error
        self._text += text
        self._list_length += len(text)
        lists: list[ParsedList[C]] = []
        while (complete := self._parse_list()) is not None:
            lists.append(complete)
        self._check_unparsed()
        return lists

    def _check_unparsed(self) -> None:
        """Raise ListError if the rest of the current list is not to be expected."""
        if len(self._text) > MAX_FRAGMENT_LENGTH:
            raise ListError(f"one part is longer than {MAX_FRAGMENT_LENGTH} characters: {self._quoted()}")
        if self._list_length > MAX_LIST_LENGTH:
            raise ListError(f"longer than {MAX_LIST_LENGTH} characters")
        if self.in_list:
            self._reject_empty_line(self._text)

    @staticmethod
    def _reject_empty_line(text: str, start: int = 0, end: int | None = None) -> None:
        """Raise ListError if a part of a list contains an empty line: only a heartbeat is one."""
        end = len(text) if end is None else end
        if EMPTY_LINE.search(text, start, end) is not None:
            quoted = text[start:end][:MAX_QUOTED_LENGTH]
            raise ListError(f"expected the rest of an object, got an empty line: {quoted!r}")

    def _quoted(self) -> str:
        return repr(self._text[:MAX_QUOTED_LENGTH])

    def _parse_list(self) -> ParsedList[C] | None:
        if self._head is None:
            self._text = self._text.lstrip()
            self._list_length = len(self._text)
            if not self._text:
                return None
            self._head = self._parse_head()
        if self._head is None:
            self._check_lacks_rows()
            return None
        if not self._rows_complete and not self._parse_rows():
            return None
        return self._parse_tail(self._head)

    def _parse_head(self) -> str | None:
        """Return the text of an object up to its first row, or None while it is incomplete or has no rows."""
        if self._text[0] != "{":
            raise ListError(f"expected an object, got {self._text[0]!r}")
        start = MEMBERS_START.search(self._text)
        if start is None:
            return None
        head = self._text[: start.end()]
        try:
            json.loads(head + "]}")
        except (ValueError, RecursionError):
            return None  # `members` is part of an inner object, or of the next object
        self._reject_empty_line(head)
        self._text = self._text[start.end() :]
        self._collector = self.new_collector()
        self._rows_complete = False
        return head

    def _check_lacks_rows(self) -> None:
        """Raise ListError if an object is complete, although no array of rows has begun."""
        if self._decode(self._text, 0) is not None:
            raise ListError(f"members: expected an array in the object {self._quoted()}")

    def _decode(self, text: str, position: int) -> tuple[Any, int] | None:
        """Return the JSON value at a position and the position behind it, or None if it is incomplete.

        A malformed value counts as incomplete; its text accumulates up to MAX_FRAGMENT_LENGTH.
        """
        try:
            return self._decoder.raw_decode(text, position)
        except ValueError:
            return None
        except RecursionError as error:
            raise ListError(f"nested too deeply: {self._quoted()}") from error

    def _parse_rows(self) -> bool:
        """Parse the rows that are complete; return whether the end of the array is reached."""
        text = self._text
        position = 0
        while True:
            start = position
            while position < len(text) and text[position] in ROW_SEPARATORS:
                position += 1
            self._reject_empty_line(text, start, position)
            if position == len(text):
                position = start  # the separators may be the beginning of an empty line
                break
            if text[position] == "]":
                break
            decoded = self._decode(text, position)
            if decoded is None:
                break
            row, position = decoded
            self._add_row(row)
        self._text = text[position:]
        self._rows_complete = self._text.startswith("]")
        return self._rows_complete

    def _add_row(self, row: object) -> None:
        if not isinstance(row, dict):
            quoted = str(row)[:MAX_QUOTED_LENGTH]
            raise ListError(f"members: expected an object, got {quoted!r}")
        try:
            self._collector.add(row)
        except ListError:
            raise
        except ValueError as error:
            raise ListError(f"members: {error}") from error

    def _parse_tail(self, head: str) -> ParsedList[C] | None:
        """Return the list, or None while the text after its rows is incomplete.

        The text before and after the rows is decoded as one object with an empty `members` array.
        """
        decoded = self._decode(head + self._text, 0)
        if decoded is None:
            return None
        fields, end = decoded
        self._reject_empty_line(self._text, 0, end - len(head))
        self._text = self._text[end - len(head) :]
        self._head = None
        del fields["members"]
        return ParsedList(fields, self._collector)
