"""Tests of the endpoint pool with lists from discovery that are outdated, repeated or malformed."""

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

from .program import SETTINGS, write_config_files
from .rig import endpoint_row
from .world import settings


@pytest.fixture
def endpoint_pool() -> EndpointPool:
    """Return a pool with endpoints a and b, from a complete list of revision 5."""
    endpoint_pool = EndpointPool(settings())
    endpoint_pool.update(
        {"revision": 5, "complete": True, "members": [endpoint_row("a", 1), endpoint_row("b", 1)]}
    )
    return endpoint_pool


def change(revision: object, *rows: object) -> dict[str, Any]:
    return {"revision": revision, "complete": False, "members": list(rows)}


def test_a_late_change_does_not_restore_endpoints_removed_since(endpoint_pool: EndpointPool) -> None:
    endpoint_pool.update(change(6, endpoint_row("a", 1, phase="Terminating")))
    endpoint_pool.update(change(7, endpoint_row("b", 1, phase="Gone")))
    with pytest.raises(PoolError, match="revision"):  # discovery then requests a complete list
        endpoint_pool.update(change(4, endpoint_row("a", 1), endpoint_row("b", 1)))
    assert endpoint_pool.revision == 7
    assert endpoint_pool.endpoints["a"].status is EndpointStatus.DRAINING
    assert "b" not in endpoint_pool.endpoints


def test_a_repeated_change_is_harmless_and_a_complete_list_of_any_revision_counts(
    endpoint_pool: EndpointPool,
) -> None:
    for _ in range(2):
        endpoint_pool.update(change(6, endpoint_row("c", 2)))
    assert sorted(endpoint_pool.endpoints) == ["a", "b", "c"]
    # A list from an agent whose revisions restarted.
    endpoint_pool.update({"revision": 2, "complete": True, "members": [endpoint_row("a", 1)]})
    assert sorted(endpoint_pool.endpoints) == ["a"]
    assert endpoint_pool.revision == 2


@pytest.mark.parametrize(
    ("invalid_fields", "error_field"),
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
        ({"id": "x" * 257}, "id: 257 characters"),
        ({"host_port": "x" * 257 + ":9"}, "host_port: 259 characters"),
        ({"cell": 1 << 64}, "cell: expected at most"),
        ({"flavor": ["large"]}, "flavor: expected a text or a number"),
    ],
)
def test_an_unreadable_row_is_named_and_changes_nothing(
    endpoint_pool: EndpointPool, invalid_fields: dict[str, Any], error_field: str
) -> None:
    with pytest.raises(PoolError, match=error_field):
        endpoint_pool.update(change(6, endpoint_row("c", 1), {**endpoint_row("d", 1), **invalid_fields}))
    assert sorted(endpoint_pool.endpoints) == ["a", "b"]
    assert endpoint_pool.revision == 5


@pytest.mark.parametrize("revision", [None, "x", float("inf"), float("nan"), [1]])
def test_a_revision_that_is_no_number_is_a_pool_error(endpoint_pool: EndpointPool, revision: object) -> None:
    with pytest.raises(PoolError):
        endpoint_pool.update(change(revision, endpoint_row("c", 1)))


@pytest.mark.parametrize("value", [0, -3])
def test_a_count_below_one_is_reported_under_its_key(tmp_path: Path, value: int) -> None:
    file_settings = copy.deepcopy(SETTINGS) | {"replicas-of-me": value}
    with pytest.raises(config.ConfigError, match=r"settings\.replicas-of-me: must be at least 1"):
        config.read({}, *write_config_files(tmp_path, 1, 1, [], settings=file_settings))
    del file_settings["replicas-of-me"]
    assert (
        config.read(
            {}, *write_config_files(tmp_path, 1, 1, [], settings=file_settings)
        ).settings.instance_count
        == 1
    )


@pytest.mark.parametrize("row", [7, "s-1", None, [], {}])
@pytest.mark.parametrize(
    "accepts_destination",
    [None, lambda _: True, lambda _: False],
    ids=["no filter", "a filter that accepts all", "a filter that accepts none"],
)
def test_a_row_that_is_no_object_is_a_pool_error_whatever_the_pool_accepts(
    row: object, accepts_destination: Callable[[int], bool] | None
) -> None:
    endpoint_pool = EndpointPool(settings())
    endpoint_pool.accepts_destination = accepts_destination
    with pytest.raises(PoolError, match="members"):
        endpoint_pool.update({"revision": 1, "complete": True, "members": [row]})


def started(name: str, cell: int, started_ms: int, port: int = 9) -> dict[str, Any]:
    return {**endpoint_row(name, cell), "up_since_ms": started_ms, "host_port": f"127.0.0.1:{port}"}


# Guards against a call that reaches another destination at an address that changed hands.
@pytest.mark.parametrize("complete", [True, False])
def test_an_endpoint_is_gone_once_a_process_that_started_later_has_its_address(complete: bool) -> None:
    pool = EndpointPool(settings())
    pool.update({"revision": 1, "complete": True, "members": [started("old", 1, 1000)]})
    rows = [started("new", 2, 2000)] + ([started("old", 1, 1000)] if complete else [])
    update = pool.update({"revision": 2, "complete": complete, "members": rows})
    assert set(pool.endpoints) == {"new"}
    statuses = {listing.endpoint: listing.status for listing in update.listings}
    assert statuses["new"] is EndpointStatus.READY
    assert complete or statuses["old"] is EndpointStatus.GONE
    pool.update({"revision": 3, "members": [started("old", 1, 1000)]})  # listed again, by a late change
    assert set(pool.endpoints) == {"new"}
    pool.update({"revision": 4, "members": [started("old", 1, 1000, port=10)]})
    assert set(pool.endpoints) == {"new", "old"}
    pool.update({"revision": 5, "members": [started("old", 1, 3000)]})
    assert set(pool.endpoints) == {"old"}


def test_endpoints_that_started_together_may_share_an_address() -> None:
    pool = EndpointPool(settings())
    rows = [started("one", 1, 1000), started("two", 2, 1000)]
    pool.update({"revision": 1, "complete": True, "members": rows})
    assert set(pool.endpoints) == {"one", "two"}
    pool.update({"revision": 2, "members": [started("three", 2, 1000)]})
    assert set(pool.endpoints) == {"one", "two", "three"}
    pool.update({"revision": 3, "members": [started("four", 2, 1001)]})
    assert set(pool.endpoints) == {"four"}


def crowded_pool() -> EndpointPool:
    """Return a pool that has room for two endpoints, and holds two."""
    pool = EndpointPool(settings())
    pool.limit_endpoints(2)
    rows = [started("one", 1, 0, 1), started("two", 2, 0, 2)]
    pool.update({"revision": 1, "complete": True, "members": rows})
    return pool


# Guards against a list that is refused as a whole, with the drains and removals in it, because some of its
# endpoints do not fit.
@pytest.mark.parametrize("complete", [True, False])
def test_of_a_list_with_too_many_endpoints_all_but_the_new_ones_is_applied(complete: bool) -> None:
    pool = crowded_pool()
    drained = started("one", 1, 0, 1) | {"phase": "Terminating"}
    rows = [started("three", 3, 0, 3), drained, started("four", 1, 0, 4), started("two", 2, 0, 2)]
    update = pool.update({"revision": 2, "complete": complete, "members": rows})
    assert {listing.endpoint: listing.status for listing in update.listings} == {
        "one": EndpointStatus.DRAINING,
        "two": EndpointStatus.READY,
    }
    assert set(pool.endpoints) == {"one", "two"}
    assert pool.revision == 2
    assert pool.left_out.count == 2
    assert [pool.lacks_endpoints(number) for number in (1, 2, 3)] == [False, False, True]
    assert pool.has_destination(3)
    assert not pool.has_room_for_left_out
    pool.update(change(3, {"id": "one", "phase": "Gone"}))
    assert set(pool.endpoints) == {"two"}
    assert pool.has_room_for_left_out
    pool.update({"revision": 4, "complete": True, "members": rows[0:1] + rows[3:]})
    assert set(pool.endpoints) == {"two", "three"}
    assert not pool.left_out.count
    assert not pool.lacks_endpoints(3)


def test_an_endpoint_takes_the_room_of_one_that_goes_in_the_same_update() -> None:
    pool = crowded_pool()
    pool.update(change(2, started("three", 3, 0, 3), {"id": "one", "phase": "Gone"}))
    assert set(pool.endpoints) == {"two", "three"}
    assert not pool.left_out.count


# Guards against a second process of an upgrade, beside which replaced endpoints would be refused.
def test_a_lower_limit_keeps_the_endpoints_and_their_room() -> None:
    pool = crowded_pool()
    pool.limit_endpoints(1)
    pool.update(change(2, {"id": "one", "phase": "Gone"}))
    pool.update(change(3, started("three", 3, 0, 3)))
    assert set(pool.endpoints) == {"two", "three"}


def test_a_left_out_endpoint_supersedes_one_that_started_earlier_at_its_address() -> None:
    pool = crowded_pool()
    update = pool.update(change(2, started("three", 3, 1000, 1), started("four", 4, 1000, 4)))
    assert ("one", EndpointStatus.GONE) in [(item.endpoint, item.status) for item in update.listings]
    assert "one" not in pool.endpoints
    assert set(pool.endpoints) == {"two", "three"}


def test_the_first_endpoint_of_each_destination_comes_before_further_ones() -> None:
    pool = EndpointPool(settings())
    pool.limit_endpoints(3)
    rows = [started("a", 1, 0, 1) | {"phase": "Terminating"}]
    rows += [
        started(name, cell, 0, port) for port, (name, cell) in enumerate((("b", 1), ("c", 1), ("d", 2)), 2)
    ]
    pool.update({"revision": 1, "complete": True, "members": rows})
    assert set(pool.endpoints) == {"b", "c", "d"}


# Guards against memory that grows with the rows of a list, however many are new or are repeated.
def test_the_rows_of_a_list_that_are_kept_are_limited() -> None:
    pool = crowded_pool()
    rows = pool.new_rows()
    for number in range(100):
        rows.add(started(f"new-{number}", number, 0, 9))
        rows.add(started("one", number, 0, 1))
    assert set(rows.rows) == {"new-0", "new-1", "new-2", "new-3", "one"}
    assert rows.left_out.count == 96
    assert rows.rows["one"].destination == 99
