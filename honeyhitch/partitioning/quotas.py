"""Computes the quota that one instance holds of its zone's limit, from view, clock and heartbeats.

A destination's limit is divided evenly over all zones. In each zone the quota has two parts:

- the reserved part belongs to the home instance: the first candidate of the partition, ready or not. An
  instance that has joined is home to no partition until the reserve lease of the home instance before it
  has certainly expired;
- the leased part belongs to the owner: the first candidate that is ready, once the leases of all possible
  earlier owners have certainly expired.

Each part is held only as long as a heartbeat of the control machines is recent enough. The result does not
depend on earlier views or actions of an instance, so that a missed revision cannot raise the sum of all
quotas above the limit (docs/design/partitioning.md).
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from honeyhitch.partitioning.settings import FleetSettings
from honeyhitch.partitioning.view import Instance


@dataclass(frozen=True, slots=True)
class HeldQuota:
    """The parts that one instance holds of its zone's quota of a partition."""

    reserved: bool = False
    leased: bool = False

    def quota_fraction(self, reserve_fraction: float) -> float:
        """Return the held fraction of the zone's quota, 0 to 1; `reserve_fraction` is the reserved part."""
        return reserve_fraction * self.reserved + (1 - reserve_fraction) * self.leased


NO_QUOTA = HeldQuota()


class ExpectedHolder(NamedTuple):
    """The instance of a zone that accepts messages for a partition, and whether it holds a quota yet."""

    instance: Instance | None
    holds_quota: bool


def held_quota(
    settings: FleetSettings, candidates: Sequence[Instance], now: int, last_heartbeat: int | None
) -> HeldQuota:
    """Return the parts of its zone's quota that the instance `settings.name` holds now.

    `candidates` are the candidates of the partition in this zone, best first. `last_heartbeat` is when the
    last heartbeat received was issued. Times are Unix times in nanoseconds.
    """
    if last_heartbeat is None or not any(candidate.name == settings.name for candidate in candidates):
        return NO_QUOTA
    reserve_valid = now < last_heartbeat + settings.reserve_lease - settings.clock_skew
    lease_valid = now < last_heartbeat + settings.lease - settings.clock_skew
    return HeldQuota(
        reserved=reserve_valid and _is_home(settings, candidates, now),
        leased=lease_valid and _is_owner(settings, candidates, now),
    )


def _is_home(settings: FleetSettings, candidates: Sequence[Instance], now: int) -> bool:
    for candidate in candidates:
        home_from = candidate.joined_at + settings.reserve_lease if candidate.joined_at else 0
        if now >= home_from + settings.clock_skew:
            return candidate.name == settings.name
        if now >= home_from - settings.clock_skew:  # by its own clock, this candidate may already be home
            return False
    return False


def _is_owner(settings: FleetSettings, candidates: Sequence[Instance], now: int) -> bool:
    owner = first_ready(candidates)
    if owner is None or owner.name != settings.name:
        return False
    return now >= _lease_starts_at(settings, candidates, owner)


def _lease_starts_at(settings: FleetSettings, candidates: Sequence[Instance], owner: Instance) -> int:
    """Return when the leases of all possible earlier owners have certainly expired; 0 means long ago."""
    last_change = 0
    for candidate in candidates:
        last_change = max(last_change, candidate.phase_since, candidate.joined_at)
        if candidate is owner:
            break
    return last_change + settings.lease + settings.clock_skew if last_change else 0


def first_ready(candidates: Sequence[Instance]) -> Instance | None:
    """Return the owner of a partition's leased part by the current view, or None if none is ready."""
    return next((candidate for candidate in candidates if candidate.ready), None)


def expected_holder(
    settings: FleetSettings, candidates: Sequence[Instance], now: int, lease_valid: bool
) -> ExpectedHolder:
    """Return the instance that accepts messages for a partition in the zone of these candidates.

    The owner by the current view accepts them. It holds no quota while it waits for the lease of another
    instance to expire. While leases are not valid here, an owner that is not the home instance counts as
    holding none either: control is silent here and may be silent there, too.
    """
    owner = first_ready(candidates)
    if owner is None:
        return ExpectedHolder(None, holds_quota=False)
    leased = lease_valid and now >= _lease_starts_at(settings, candidates, owner)
    return ExpectedHolder(owner, holds_quota=owner is candidates[0] or leased)
