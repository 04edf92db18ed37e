"""Incremental parsing of lists: the result does not depend on how the input is split into chunks."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from honeyhitch.protocols.discovery import WatchError, WatchParser
from honeyhitch.protocols.list_parser import (
    MAX_FRAGMENT_LENGTH,
    MEAN_ROW_LENGTH,
    ListError,
    ListParser,
    ParsedList,
    RowList,
)

from .rig import endpoint_row


class SelectedRows(RowList):
    """Keeps the rows whose `cell` is a multiple of a number."""

    def __init__(self, divisor: int) -> None:
        super().__init__()
        self.divisor = divisor

    def add(self, row: dict[str, Any]) -> None:
        if row["cell"] % self.divisor == 0:
            super().add(row)


def documents(parsed: list[ParsedList[SelectedRows]]) -> list[dict[str, Any]]:
    """Return lists in the form in which they were written."""
    return [{**item.fields, "members": item.collector.rows} for item in parsed]


texts = st.text(max_size=8)
rows = st.builds(
    lambda name, cell, more: {**endpoint_row(name, cell), "note": more, "inner": {"members": [1, "]"]}},
    texts,
    st.integers(0, 9),
    texts,
)
lists = st.builds(
    lambda found, number, complete: {"revision": number, "members": found, "complete": complete},
    st.lists(rows, max_size=6),
    st.integers(0, 1 << 53),
    st.booleans(),
)


@given(st.lists(lists, min_size=1, max_size=4), st.integers(1, 40), st.sampled_from([None, 2]))
def test_lists_split_anywhere_are_parsed_as_they_were_written(
    written: list[dict[str, Any]], size: int, indent: int | None
) -> None:
    data = b"\n\n".join(json.dumps(item, indent=indent).encode() for item in written) + b"\n"
    parser = ListParser(lambda: SelectedRows(2))
    found: list[dict[str, Any]] = []
    for at in range(0, len(data), size):
        found += documents(parser.feed(data[at : at + size]))
    expected = [
        {**item, "members": [row for row in item["members"] if row["cell"] % 2 == 0]} for item in written
    ]
    assert found == expected


@pytest.mark.parametrize(
    ("data", "problem"),
    [
        (b"[1]", "expected an object"),
        (b'{"members":[7]}', "members: expected an object"),
        (b'{"members":[{"id": ' + b"x" * (MAX_FRAGMENT_LENGTH + 1), "one part is longer"),
        (b'{"note": "' + b"x" * (MAX_FRAGMENT_LENGTH + 1), "one part is longer"),
        (b'{"members":[]' + b" " * (MAX_FRAGMENT_LENGTH + 1), "one part is longer"),
        (b'{"members":[{"id":"\xff"', "not UTF-8"),
        (b'{"revision":5}\n', "members: expected an array"),
        (b'{"inner":{"members":[]},"revision":5}\n', "members: expected an array"),
        (b'{"revision":5}\n{"revision":6,"members":[]}\n', "members: expected an array"),
        (b'{"members":[' + b"[" * 20_000, "nested too deeply"),
        (b'{"members":[{"id":1},\n\n{"id":2}]}\n', "got an empty line"),
        (b'{"members":[{"id":1}],\n\n"revision":1}\n', "got an empty line"),
        (b'{"members":[{"id":1},\n \t\n', "got an empty line"),
        (b'{"revision":1,\n\n"members":[]}\n', "got an empty line"),
    ],
)
def test_a_malformed_list_is_an_error_after_a_bounded_length(data: bytes, problem: str) -> None:
    with pytest.raises(ListError, match=problem):
        ListParser(RowList).feed(data)


# Guards against a drain that is lost with the rest of an incomplete change, of which no byte ever comes.
@given(st.integers(1, 12))
def test_an_empty_line_within_a_list_is_an_error_however_it_is_split(size: int) -> None:
    data = b'{"revision":7,"members":[{"id":"a"},\n\n'
    parser = ListParser(RowList)
    chunks = [data[at : at + size] for at in range(0, len(data), size)]
    with pytest.raises(ListError, match="got an empty line"):
        list(map(parser.feed, chunks))


# Guards against the view of a fleet that takes more memory than its number of instances allows.
def test_rows_that_are_too_long_together_are_an_error() -> None:
    row = b'{"id":"%s"}' % (b"x" * MEAN_ROW_LENGTH)
    assert len(ListParser(lambda: RowList(2)).feed(b'{"members":[%s]}' % row)) == 1
    with pytest.raises(ListError, match="longer than"):
        ListParser(lambda: RowList(2)).feed(b'{"members":[%s,%s]}' % (row, row))


def test_a_list_of_more_rows_than_allowed_is_an_error() -> None:
    assert len(ListParser(lambda: RowList(2)).feed(b'{"members":[{},{}]}')) == 1
    with pytest.raises(ListError, match="more than 2 members"):
        ListParser(lambda: RowList(2)).feed(b'{"members":[{},{},{}]}')


def test_a_watch_that_keeps_few_rows_parses_a_list_over_every_limit_and_then_a_change() -> None:
    """The list has 25 MB. One row in a thousand is kept, and at most one chunk of text is buffered."""
    members = [endpoint_row(f"s-{number:08x}", number) for number in range(190_000)]
    data = json.dumps({"revision": 7, "complete": True, "members": members}).encode()
    assert len(data) > 20_000_000
    watch = WatchParser(lambda: SelectedRows(1000))
    updates: list[dict[str, Any]] = []
    updates += documents(watch.feed(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"))
    chunk_size = 1 << 16
    for start in range(0, len(data), chunk_size):
        chunk = data[start : start + chunk_size]
        updates += documents(watch.feed(b"%x\r\n%s\r\n" % (len(chunk), chunk)))
    assert [len(update["members"]) for update in updates] == [190]
    assert updates[0]["complete"]
    assert watch.list_parser.unparsed_length <= chunk_size
    change = json.dumps({"revision": 8, "complete": False, "members": [endpoint_row("s-1", 1000)]}).encode()
    for text in (b"\n", change, b"\n"):
        updates += documents(watch.feed(b"%x\r\n%s\r\n" % (len(text), text)))
    assert updates[1]["revision"] == 8
    assert len(updates) == 2


def test_the_error_of_a_watch_includes_the_error_of_its_list() -> None:
    watch = WatchParser(RowList)
    watch.feed(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    with pytest.raises(WatchError, match="members: expected an object"):
        watch.feed(b'd\r\n{"members":[7\r\n3\r\n]}\n\r\n')
