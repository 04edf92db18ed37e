"""Whether a destination may be out, judged by the failures and rejections since its latest success."""

from __future__ import annotations

from typing import NamedTuple

from honeyhitch.time_units import NEVER, SECOND

MIN_OUTAGE = 2 * SECOND  # failures for a shorter time are taken for failures of single calls
# Rejections alone may come from a limit that all instances share.
MIN_OUTAGE_BY_REJECTIONS = 3 * SECOND
MAX_LIMITED = 10 * SECOND  # rejections for a longer time are not taken for those of a limit


class OutageHistory(NamedTuple):
    """What an instance knows of the latest outage of a destination; it outlives the process.

    Times are nanoseconds, 0 if they are unknown. The history of a destination without an outage is all 0.
    """

    failing_since: int = 0  # the first failure since the latest success
    only_rejections: bool = True  # since then
    recovered_at: int = 0  # when the latest slow start began
    outage_duration: int = 0  # before that slow start
    slow_start_ends_at: int = 0
    ends_by: int = 0  # when the destination takes calls again by its latest Retry-After

    @property
    def latest_at(self) -> int:
        """The time of the latest change that the history describes, 0 if there was no outage."""
        return max(self.failing_since, self.recovered_at)

    def expired(self, now: int) -> bool:
        """Return whether the history says nothing about the time from `now` on."""
        return not self.failing_since and self.slow_start_ends_at <= now


class OutageEvidence:
    """The time during which a destination has only failed or rejected calls. Times are nanoseconds.

    A single failure is enough to begin it: an instance that sends few calls sees no more of an outage, and
    all such instances together can overload a destination that returns (rule 4).
    """

    __slots__ = ("_success_at", "ends_by", "failing_since", "only_rejections")

    def __init__(self) -> None:
        self.failing_since: int | None = None  # the first failure since the latest success
        self.only_rejections = True  # since then
        self.ends_by = 0  # when the destination takes calls again by its latest Retry-After, 0 if unknown
        self._success_at = -NEVER

    def record_failure(self, now: int, rejected: bool, retry_after: int = 0) -> None:
        """Record a call that failed or was rejected for any reason.

        At the end of a Retry-After a call would be accepted, so an outage lasts no longer than that.
        """
        self.ends_by = now + retry_after if retry_after else 0
        if self.failing_since is None:
            self.failing_since = now
            self.only_rejections = True
        self.only_rejections &= rejected

    def record_success(self, now: int) -> None:
        """Record a delivery that was sent after the latest failed call."""
        self.failing_since = None
        self._success_at = now

    def restore(self, history: OutageHistory) -> bool:
        """Apply the failures that another process of this instance saw; return whether they were unknown."""
        if not self._success_at < history.failing_since:
            return False
        if self.failing_since is not None and self.failing_since <= history.failing_since:
            return False
        self.only_rejections = history.only_rejections
        self.failing_since = history.failing_since
        self.ends_by = history.ends_by
        return True

    def duration(self, now: int) -> int:
        """Return for how long the destination may have been out; 0 without a failure since a success."""
        if self.failing_since is None:
            return 0
        return (min(now, self.ends_by) if self.ends_by else now) - self.failing_since

    def suggests_outage(self, now: int) -> bool:
        """Return whether the destination has failed for so long that it may be out."""
        return self.duration(now) > (MIN_OUTAGE_BY_REJECTIONS if self.only_rejections else MIN_OUTAGE)

    def may_be_limited(self, now: int) -> bool:
        """Return whether the failures may also be the rejections of a limit."""
        return self.only_rejections and self.duration(now) < MAX_LIMITED
