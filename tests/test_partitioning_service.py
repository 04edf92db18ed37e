"""Changes of one dispatcher's quotas, in virtual time, with test doubles of its ports and no socket."""

from __future__ import annotations

import json
from pathlib import Path
from random import Random
from typing import Any, cast

import pytest

from honeyhitch.journal.transactions import Ending, Transaction
from honeyhitch.partitioning.view import InstancePhase
from honeyhitch.policy.events import Outcome
from honeyhitch.protocols import forwarding, resp
from honeyhitch.protocols.buffer import Buffer
from honeyhitch.protocols.resp import Route
from honeyhitch.protocols.transaction_parser import TransactionParser
from honeyhitch.service import fleet as fleet_module
from honeyhitch.service.fleet import VIEW_FILE_NAME, FleetService

from .fleet_control import LEASE, MS, SKEW, START, entry, fleet_settings
from .rig import SETTINGS, DispatcherRig, endpoint_row
from .world import SECOND, settings

ROWS = [entry(f"{zone}-{number}", zone) for zone in ("a1", "a2", "b1", "b2") for number in range(3)]
NAME = "a1-0"
# A view saved by the program at commit a5e6918, which later versions must be able to read.
SAVED_BY_A5E6918 = Path(__file__).parent / "fixtures" / "fleet-view-1" / VIEW_FILE_NAME


class FleetServiceRig(DispatcherRig):
    """One dispatcher of a fleet; the test sends its heartbeats."""

    refetched = 0

    def before_recovery(self) -> None:
        self.dispatcher.scheduler = self.time
        loop = cast(Any, None)  # for connections to other instances, which these tests do not use
        self.fleet = FleetService(
            fleet_settings(NAME, "a1"),
            self.dispatcher,
            self.time,
            loop,
            self.directory,
            Random(1),
            self.refetch,
        )
        self.fleet.restore()

    def __init__(self, folder: Path, **settings_overrides: Any) -> None:
        self.directory = folder
        listed = [{**endpoint_row(f"s-{number}", number), "size": 40.0} for number in range(1, 60)]
        endpoint_list = {"revision": 1, "complete": True, "members": listed}
        super().__init__(folder, endpoint_list=endpoint_list, instance_count=4, **settings_overrides)

    def refetch(self) -> None:
        self.refetched += 1

    def receive_update(
        self, revision: int = 1, complete: bool = True, members: Any = ROWS, **overrides: Any
    ) -> None:
        """Receive a list, a change or a heartbeat from the control machines."""
        update = {"revision": revision, "complete": complete, "members": members, "issued_ms": self.now // MS}
        self.fleet.apply_update({**update, **overrides})

    @property
    def now(self) -> int:
        return self.time.time

    def run_with_heartbeats(self, seconds: int, revision: int = 1) -> None:
        """Let time pass with a heartbeat in each second."""
        for _ in range(seconds):
            self.receive_update(revision, False, [])
            self.time.advance(1)
            self.fleet.refresh_if_due()

    def destination_with_home(self, home: str | None = None) -> int:
        """Return a destination that this instance is home to.

        With `home`, return one that the instance `home` is home to, with this instance as second candidate.
        """
        for number in range(1, 60):
            names = [
                instance.name
                for instance in self.fleet.fleet.candidates("a1", self.fleet.fleet.partition(number))
            ]
            if names[0] == NAME if home is None else names == [home, NAME]:
                return number
        raise AssertionError(f"no listed destination has {home or NAME} as its home")

    def route(self, number: int, forwarded: bool = False) -> Route:
        return self.fleet.route(Transaction("probe", 0, number, self.now + SECOND, b""), forwarded)


def restarted_rig(folder: Path, **settings_overrides: Any) -> FleetServiceRig:
    """Return a rig that restored the view of an earlier process, as after a restart."""
    first_rig = FleetServiceRig(folder / "first", **settings_overrides)
    first_rig.receive_update()
    saved = (folder / "first" / VIEW_FILE_NAME).read_bytes()
    (folder / "next").mkdir()
    (folder / "next" / VIEW_FILE_NAME).write_bytes(saved)
    return FleetServiceRig(folder / "next", **settings_overrides)


@pytest.fixture(autouse=True)
def folders(tmp_path: Path) -> None:
    (tmp_path / "first").mkdir()


def test_before_any_view_the_instance_owns_nothing_and_the_first_view_makes_it_ask_for_lists(
    tmp_path: Path,
) -> None:
    rig = FleetServiceRig(tmp_path / "first")
    assert not rig.fleet.ready
    assert rig.route(1) is Route.REJECT
    assert not rig.dispatcher.pool.endpoints
    rig.receive_update()
    assert rig.fleet.ready
    assert rig.refetched == 1
    rig.receive_update(1, False, [])
    assert rig.refetched == 1, "the lists are requested only once"


def test_only_destinations_it_may_own_are_kept_of_a_list(tmp_path: Path) -> None:
    rig = restarted_rig(tmp_path)
    listed_destinations = {endpoint.destination for endpoint in rig.dispatcher.pool.endpoints.values()}
    assert listed_destinations == {number for number in range(1, 60) if rig.fleet.fleet.is_candidate(number)}
    assert 0 < len(listed_destinations) < 59
    other = next(number for number in range(1, 60) if number not in listed_destinations)
    assert rig.fleet.has_destination(other), "the owner of the destination may list it"
    change = {"revision": 2, "complete": False, "members": [endpoint_row("s-9999", other)]}
    assert not rig.dispatcher.pool.update(change).listings


def test_messages_are_accepted_for_owned_destinations_and_forwarded_for_others(tmp_path: Path) -> None:
    rig = restarted_rig(tmp_path)
    rig.receive_update()
    mine, other = rig.destination_with_home(), rig.destination_with_home(home="a1-1")
    assert rig.route(mine) is Route.LOCAL
    assert rig.route(mine, forwarded=True) is Route.LOCAL
    assert rig.route(other) is Route.FORWARD
    assert rig.route(other, forwarded=True) is Route.REJECT
    assert rig.submit("held", mine)
    held = Transaction("held", 0, mine, rig.now + SECOND, b"")
    rig.time.advance(LEASE / SECOND + 30)
    assert rig.fleet.route(held, False) is Route.LOCAL, "the reserved quota lasts while control is silent"


def test_nothing_is_sent_once_the_quota_has_expired_and_unattempted_messages_are_returned(
    tmp_path: Path,
) -> None:
    """The second candidate owns the leased part while the first one is away, until control is silent."""
    rig = restarted_rig(tmp_path)
    number = rig.destination_with_home(home="a1-1")
    away = entry("a1-1", "a1", "Terminating", since=rig.now)
    rig.receive_update(2, False, [away])
    assert rig.fleet.quota_fraction(number, rig.now) == 0
    assert rig.fleet.fleet.awaits_lease(destination=number, now=rig.now)
    rig.run_with_heartbeats(4, 2)
    assert rig.fleet.quota_fraction(number, rig.now) == 0.25
    rig.receive_update(2, False, [])
    assert rig.submit("sent", number)
    (call,) = rig.advance(0.1)
    rig.end(call, Outcome.DELIVERED)
    lease_ends = rig.fleet.fleet.last_heartbeat + LEASE - SKEW  # type: ignore[operator]
    rig.time.advance((lease_ends - rig.now) / SECOND + 0.001)
    assert rig.submit("late", number)
    assert not rig.advance(1), "the quota has expired before the first byte"
    rig.fleet.refresh_if_due()
    late = next(answer for answer in rig.answers if answer.id == "late")
    assert late.ending is Ending.REJECTED
    assert late.retry_after > 0
    assert "late" not in rig.dispatcher.messages.by_id


def test_a_call_in_flight_keeps_its_end_and_a_possibly_executed_message_is_not_returned(
    tmp_path: Path,
) -> None:
    rig = restarted_rig(tmp_path)
    number = rig.destination_with_home()
    rig.receive_update()
    assert rig.submit("out", number)
    assert rig.submit("ran", number)
    calls = rig.advance(0.1)
    rig.end(calls[-1], Outcome.ERROR)
    own_row = next(row for row in ROWS if row["id"] == NAME)
    rig.receive_update(2, False, [{**own_row, "phase": "Gone"}])
    assert rig.fleet.quota_fraction(number, rig.now) == 0
    names = {part.id for call in calls for part in call.messages}
    assert names <= set(rig.dispatcher.messages.by_id), "no message is answered because the quota was lost"
    assert not rig.advance(2), "neither message is sent again"
    rig.end(calls[0], Outcome.DELIVERED)
    assert calls[0].messages[0].id not in rig.dispatcher.messages.by_id


def test_a_message_in_flight_as_its_quota_was_lost_is_returned_once_its_call_proves_it_unexecuted(
    tmp_path: Path,
) -> None:
    rig = restarted_rig(tmp_path)
    number = rig.destination_with_home()
    rig.receive_update()
    assert rig.submit("out", number)
    (call,) = rig.advance(0.1)
    own_row = next(row for row in ROWS if row["id"] == NAME)
    rig.receive_update(2, False, [{**own_row, "phase": "Gone"}])
    rig.time.advance(1)
    rig.fleet.refresh_if_due()
    assert "out" in rig.dispatcher.messages.by_id, "the message stays while its call is in flight"
    rig.end(call, Outcome.REJECTED)
    rig.time.advance(0.2)
    rig.fleet.refresh_if_due()
    assert [answer.ending for answer in rig.answers] == [Ending.REJECTED]
    rig.fleet.refresh_if_due()
    assert not rig.fleet.lost_partitions, "no lost partition is left to check"


def test_the_policy_applies_the_quota_to_listed_and_to_reported_limits(tmp_path: Path) -> None:
    rig = restarted_rig(tmp_path)
    number = rig.destination_with_home()
    rig.run_with_heartbeats(2)
    state = rig.dispatcher.policy.destinations[number].state
    assert state is not None
    assert state.rate.quota() == 40.0 / 1.0 / 4 / 1 or state.rate.quota() == 10.0
    assert rig.submit("a", number)
    (call,) = rig.advance(0.1)
    rig.end(call, Outcome.DELIVERED, reported={"x1": 20.0})
    rig.advance(0.1)
    assert state.rate.quota() == 5.0
    rig.time.advance(LEASE / SECOND)
    rig.fleet.refresh_if_due()
    rig.advance(0.1)
    assert rig.submit("b", number)
    (call,) = rig.advance(0.1)
    rig.end(call, Outcome.DELIVERED, reported={"x1": 20.0})
    rig.advance(0.1)
    assert state.rate.quota() == 3.75, "three quarters of the quota remain while control is silent"


def test_a_saved_view_that_cannot_be_read_is_ignored(tmp_path: Path) -> None:
    for text in ("", "{", "[]", '{"form": 9}', json.dumps({"form": 1, "revision": 1, "members": 3})):
        (tmp_path / "first" / VIEW_FILE_NAME).write_text(text)
        assert not FleetServiceRig(tmp_path / "first").fleet.ready


def test_a_view_that_a5e6918_saved_is_read(tmp_path: Path) -> None:
    (tmp_path / "first" / VIEW_FILE_NAME).write_bytes(SAVED_BY_A5E6918.read_bytes())
    fleet = FleetServiceRig(tmp_path / "first").fleet.fleet
    assert fleet.view.revision == 8
    assert fleet.last_heartbeat == START
    assert sorted(fleet.view.instances) == sorted([*(row["id"] for row in ROWS), "b2-n1"])
    away, joined = fleet.view.instances["a1-1"], fleet.view.instances["b2-n1"]
    assert (away.phase, away.phase_since) == (InstancePhase.TERMINATING, START + 5 * SECOND)
    assert (joined.zone, joined.region, joined.address) == ("b2", "west", "10.0.0.1:6379")
    assert (joined.phase_since, joined.joined_at) == (START + 6 * SECOND, START + 6 * SECOND)


def test_the_view_that_a5e6918_saved_is_saved_with_the_same_bytes(tmp_path: Path) -> None:
    """A deployment may return to an earlier version, which must be able to read the saved view."""
    rig = FleetServiceRig(tmp_path / "first")
    rig.receive_update(7)
    away = entry("a1-1", "a1", "Terminating", since=START + 5 * SECOND)
    joined = entry("b2-n1", "b2", since=START + 6 * SECOND, joined=START + 6 * SECOND)
    rig.receive_update(8, False, [away, joined])
    assert (tmp_path / "first" / VIEW_FILE_NAME).read_bytes() == SAVED_BY_A5E6918.read_bytes()


def test_a_view_too_large_to_save_is_still_used(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(fleet_module, "MAX_SAVED_VIEW_BYTES", 100)
    rig = FleetServiceRig(tmp_path / "first")
    rig.receive_update()
    assert rig.fleet.ready
    assert not (tmp_path / "first" / VIEW_FILE_NAME).exists()


def test_a_forwarded_request_names_the_time_left_and_the_instance_that_forwarded_it() -> None:
    policy_settings = settings(**SETTINGS)
    now = 1_700_000_000 * SECOND
    message = Transaction("id", 0, 7, now + 900 * MS, b"a\r\nb", key="k", recovered_from_journal=True)
    data = forwarding.encode_request(policy_settings, message, NAME, now + 100 * MS)
    assert data is not None
    reader, buffer = resp.CommandReader(), Buffer()
    with buffer.free_space() as space:
        space[: len(data)] = data
    buffer.advance(len(data))
    parts = reader.read_command(buffer)
    assert parts is not None
    fields = resp.parse_fields(parts[3])
    assert fields == {
        "c": "standard",
        "t": "studio",
        "d": "800",
        "k": "k",
        "dest": "7",
        "again": "1",
        "via": NAME,
    }
    parsed = TransactionParser(policy_settings, lambda _: True).parse(parts[2], fields, parts[4], now)
    assert (parsed.id, parsed.body, parsed.key, parsed.recovered_from_journal) == ("id", b"a\r\nb", "k", True)
    assert forwarding.encode_request(policy_settings, message, NAME, message.deadline - MS // 2) is None
