"""Callers of the control socket together hold no more than one body may have, and few values of it."""

from __future__ import annotations

from http import HTTPStatus

import pytest

from honeyhitch.memory.budget import MemoryAccount, MemoryBudget
from honeyhitch.protocols.control import MAX_BODY_BYTES, MAX_VALUES, ControlError, ControlRequestParser


def request(body: bytes) -> bytes:
    return b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


# Guards against a body that is small, and takes many times its size once it is decoded.
def test_a_body_with_very_many_values_is_refused() -> None:
    parser = ControlRequestParser("user")
    with pytest.raises(ControlError, match="values") as refused:
        parser.feed(request(b'{"a":[' + b"[]," * MAX_VALUES + b"[]]}"))
    assert refused.value.status is HTTPStatus.REQUEST_ENTITY_TOO_LARGE
    parser = ControlRequestParser("user")
    parser.feed(request(b'{"a":[' + b"1," * (MAX_VALUES - 2) + b"1]}"))
    assert len(parser.requests) == 1


# Guards against several callers that send large bodies at once.
def test_large_bodies_share_one_budget() -> None:
    budget = MemoryBudget(MAX_BODY_BYTES)
    parsers = [ControlRequestParser("user", MemoryAccount(budget)) for _ in range(2)]
    body = b'{"a":"' + b"x" * (MAX_BODY_BYTES - 100) + b'"}'
    parsers[0].feed(request(body)[:-10])
    with pytest.raises(ControlError) as refused:
        parsers[1].feed(request(body))
    assert refused.value.status is HTTPStatus.SERVICE_UNAVAILABLE
    parsers[0].feed(body[-10:])
    assert len(parsers[0].requests) == 1
    assert budget.used == 0
