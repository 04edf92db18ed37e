"""Lists from discovery that are late, repeated or broken: each has one stated outcome."""

from __future__ import annotations

import copy
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from honeyhitch import config
from honeyhitch.endpoints.list_rows import PoolError
from honeyhitch.endpoints.pool import EndpointPool
from honeyhitch.policy.events import EndpointStatus

from .program import SETTINGS, write
from .rig import endpoint_row
from .world import settings


def pool() -> EndpointPool:
    made = EndpointPool(settings())
    made.update({"revision": 5, "complete": True, "members": [endpoint_row("a", 1), endpoint_row("b", 1)]})
    return made


def change(revision: object, *members: object) -> dict[str, Any]:
    return {"revision": revision, "complete": False, "members": list(members)}


def test_a_late_change_does_not_bring_back_what_went_since() -> None:
    one = pool()
    one.update(change(6, endpoint_row("a", 1, phase="Terminating")))
    one.update(change(7, endpoint_row("b", 1, phase="Gone")))
    with pytest.raises(PoolError, match="revision"):  # the watch breaks, and the whole list is asked for
        one.update(change(4, endpoint_row("a", 1), endpoint_row("b", 1)))
    assert one.revision == 7
    assert one.endpoints["a"].status is EndpointStatus.DRAINING
    assert "b" not in one.endpoints


def test_a_repeated_change_is_harmless_and_a_whole_list_of_any_revision_holds() -> None:
    one = pool()
    for _ in range(2):
        one.update(change(6, endpoint_row("c", 2)))
    assert sorted(one.endpoints) == ["a", "b", "c"]
    one.update(
        {"revision": 2, "complete": True, "members": [endpoint_row("a", 1)]}
    )  # an agent that counts anew
    assert sorted(one.endpoints) == ["a"]
    assert one.revision == 2


@pytest.mark.parametrize(
    ("bad", "named"),
    [
        ({"size": float("nan")}, "size"),
        ({"size": float("inf")}, "size"),
        ({"size": -1}, "size"),
        ({"host_port": "x"}, "host_port"),
        ({"host_port": "127.0.0.1:65536"}, "host_port"),
        ({"host_port": "127.0.0.1:" + chr(0x661)}, "host_port"),
        ({"cell": float("inf")}, "members"),
        ({"cell": "q"}, "members"),
        ({"size": None}, "members"),
    ],
)
def test_a_row_that_cannot_be_read_is_named_and_changes_nothing(bad: dict[str, Any], named: str) -> None:
    one = pool()
    with pytest.raises(PoolError, match=named):
        one.update(change(6, endpoint_row("c", 1), {**endpoint_row("d", 1), **bad}))
    assert sorted(one.endpoints) == ["a", "b"]
    assert one.revision == 5


@pytest.mark.parametrize("revision", [None, "x", float("inf"), float("nan"), [1]])
def test_a_revision_that_is_no_number_is_no_crash(revision: object) -> None:
    with pytest.raises(PoolError):
        pool().update(change(revision, endpoint_row("c", 1)))


@pytest.mark.parametrize("value", [0, -3])
def test_a_count_below_one_is_named_by_the_platforms_key(tmp_path: Path, value: int) -> None:
    told = copy.deepcopy(SETTINGS) | {"replicas-of-me": value}
    with pytest.raises(config.ConfigError, match=r"settings\.replicas-of-me: must be at least 1"):
        config.read({}, *write(tmp_path, 1, 1, [], settings=told))
    del told["replicas-of-me"]
    assert config.read({}, *write(tmp_path, 1, 1, [], settings=told)).settings.instance_count == 1


@pytest.mark.parametrize("row", [7, "s-1", None, [], {}])
@pytest.mark.parametrize(
    "keeps",
    [None, lambda _: True, lambda _: False],
    ids=["all are kept", "each is asked for and kept", "each is asked for and left out"],
)
def test_a_row_that_is_no_member_is_a_pool_error_whatever_is_kept(
    row: object, keeps: Callable[[int], bool] | None
) -> None:
    one = EndpointPool(settings())
    one.accepts_destination = keeps
    with pytest.raises(PoolError, match="members"):
        one.update({"revision": 1, "complete": True, "members": [row]})
