"""What part of a zone's share of a limit one instance holds, as a function of view, clock and heartbeats.

A destination's limit is split evenly over all zones. In each zone a share has two parts:

- the reserved part, with its home: the first candidate of the partition, ready or not. An instance that has
  joined is home to nothing until the reserve lease of the one before it has certainly run out;
- the leased part, with its owner: the first candidate that is ready, once the leases of all who may have
  owned it before have certainly run out.

Each part is held only as long as a heartbeat of the control machines is recent enough. Nothing depends on
what an instance did or saw before, so that a missed revision cannot break the sum.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from honeyhitch.partitioning.settings import FleetSettings
from honeyhitch.partitioning.view import Instance


@dataclass(frozen=True, slots=True)
class HeldQuota:
    """What one instance holds of its zone's share of a partition's limits."""

    reserved: bool = False
    leased: bool = False

    def quota_fraction(self, reserve_fraction: float) -> float:
        """The part of the share, 0 to 1."""
        return reserve_fraction * self.reserved + (1 - reserve_fraction) * self.leased


NO_QUOTA = HeldQuota()


def held_quota(
    settings: FleetSettings, candidates: Sequence[Instance], now: int, last_heartbeat: int | None
) -> HeldQuota:
    """What `settings.name` holds now, with the partition's candidates in its zone, best first, and the time
    at which the last heartbeat that it heard was issued. Times are Unix times in nanoseconds.
    """
    if last_heartbeat is None or not any(one.name == settings.name for one in candidates):
        return NO_QUOTA
    reserve_lasts = now < last_heartbeat + settings.reserve_lease - settings.clock_skew
    lease_lasts = now < last_heartbeat + settings.lease - settings.clock_skew
    return HeldQuota(
        reserved=reserve_lasts and _is_home(settings, candidates, now),
        leased=lease_lasts and _is_owner(settings, candidates, now),
    )


def _is_home(settings: FleetSettings, candidates: Sequence[Instance], now: int) -> bool:
    for one in candidates:
        starts = one.joined_at + settings.reserve_lease if one.joined_at else 0
        if now >= starts + settings.clock_skew:
            return one.name == settings.name
        if now >= starts - settings.clock_skew:  # it may have begun, by its own clock
            return False
    return False


def _is_owner(settings: FleetSettings, candidates: Sequence[Instance], now: int) -> bool:
    owner = first_ready(candidates)
    if owner is None or owner.name != settings.name:
        return False
    return now >= _lease_starts_at(settings, candidates, owner)


def _lease_starts_at(settings: FleetSettings, candidates: Sequence[Instance], owner: Instance) -> int:
    """When the leases of all who may have owned the leased part before have certainly run out."""
    latest = 0
    for one in candidates:
        latest = max(latest, one.phase_since, one.joined_at)
        if one is owner:
            break
    return latest + settings.lease + settings.clock_skew if latest else 0


def first_ready(candidates: Sequence[Instance]) -> Instance | None:
    """The owner of a partition's leased part, as far as the view tells."""
    return next((one for one in candidates if one.ready), None)


def expected_holder(
    settings: FleetSettings, candidates: Sequence[Instance], now: int, leases_last: bool
) -> tuple[Instance | None, bool]:
    """The instance that takes messages for a partition in a zone, as far as the view tells, and whether it
    holds a part by now. One that waits for another's lease to run out does not; nor does one that is not the
    home where leases do not last, as control is silent here and may be so there.
    """
    owner = first_ready(candidates)
    if owner is None:
        return None, False
    leased = leases_last and now >= _lease_starts_at(settings, candidates, owner)
    return owner, owner is candidates[0] or leased
