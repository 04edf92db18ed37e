"""Conversion of the journal's records of outages to events of the policy."""

from __future__ import annotations

from honeyhitch.journal.records import OutageNoted
from honeyhitch.policy.events import Event, OutageKnown
from honeyhitch.policy.outage_evidence import OutageHistory


def outage_known(outage: OutageNoted) -> Event:
    """Return the event that tells the policy of an outage in the journal."""
    history = OutageHistory(
        failing_since=outage.failing_since,
        only_rejections=outage.only_rejections,
        recovered_at=outage.recovered_at,
        outage_duration=outage.outage_duration,
        slow_start_ends_at=outage.slow_start_ends_at,
    )
    return OutageKnown(outage.destination, outage.endpoint, history)
