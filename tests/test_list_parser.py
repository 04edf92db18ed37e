"""Lists read piece by piece: the same as the whole, at any cut, with the wanted members alone."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from honeyhitch.protocols.discovery import WatchError, WatchParser
from honeyhitch.protocols.list_parser import MAX_FRAGMENT_LENGTH, ListError, ListParser

from .rig import endpoint_row

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
def test_objects_cut_anywhere_are_read_as_they_were_written(
    told: list[dict[str, Any]], size: int, indent: int | None
) -> None:
    data = b"\n\n".join(json.dumps(one, indent=indent).encode() for one in told) + b"\n"
    reader, found = ListParser(lambda row: row["cell"] % 2 == 0), list[dict[str, Any]]()
    for at in range(0, len(data), size):
        found += reader.feed(data[at : at + size])
    kept = [{**one, "members": [row for row in one["members"] if row["cell"] % 2 == 0]} for one in told]
    assert found == kept


@pytest.mark.parametrize(
    ("data", "problem"),
    [
        (b"[1]", "expected an object"),
        (b'{"members":[7]}', "members: expected an object"),
        (b'{"members":[{"id": ' + b"x" * (MAX_FRAGMENT_LENGTH + 1), "one part is longer"),
        (b'{"note": "' + b"x" * (MAX_FRAGMENT_LENGTH + 1), "one part is longer"),
        (b'{"members":[]' + b" " * (MAX_FRAGMENT_LENGTH + 1), "one part is longer"),
        (b'{"members":[{"id":"\xff"', "not UTF-8"),
    ],
)
def test_what_is_no_list_is_an_error_and_is_not_waited_for_without_end(data: bytes, problem: str) -> None:
    with pytest.raises(ListError, match=problem):
        ListParser(lambda _: True).feed(data)


def test_a_watch_that_keeps_what_is_wanted_takes_a_list_over_every_bound_and_then_changes() -> None:
    """25 MB, of which it keeps one member in a thousand, and never more than a piece besides."""
    members = [endpoint_row(f"s-{number:08x}", number) for number in range(190_000)]
    whole = json.dumps({"revision": 7, "complete": True, "members": members}).encode()
    assert len(whole) > 20_000_000
    watch, found = WatchParser(lambda row: row["cell"] % 1000 == 0), list[dict[str, Any]]()
    found += watch.feed(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    piece = 1 << 16
    for at in range(0, len(whole), piece):
        part = whole[at : at + piece]
        found += watch.feed(b"%x\r\n%s\r\n" % (len(part), part))
    assert [len(one["members"]) for one in found] == [190]
    assert found[0]["complete"]
    assert watch.list_parser is not None
    assert watch.list_parser.unparsed_length <= piece
    change = json.dumps({"revision": 8, "complete": False, "members": [endpoint_row("s-1", 1000)]}).encode()
    for text in (b"\n", change, b"\n"):
        found += watch.feed(b"%x\r\n%s\r\n" % (len(text), text))
    assert found[1]["revision"] == 8
    assert len(found) == 2


def test_a_watch_says_what_was_wrong_with_a_list() -> None:
    watch = WatchParser(lambda _: True)
    watch.feed(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    with pytest.raises(WatchError, match="members: expected an object"):
        watch.feed(b'd\r\n{"members":[7\r\n3\r\n]}\n\r\n')
