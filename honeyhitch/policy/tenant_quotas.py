"""Quotas of tenants: messages beyond a quota have a reduced weight."""

from __future__ import annotations

from honeyhitch.policy.settings import Settings
from honeyhitch.time_units import SECOND


class _TokenBucket:
    """The number of messages that a tenant may still submit with their full weight."""

    def __init__(self) -> None:
        self.tokens = 0.0
        self.updated_at = 0  # ns


class TenantQuotas:
    """The share of each tenant's rate that this instance has, as a token bucket of one second."""

    def __init__(self, settings: Settings) -> None:
        self._rates = [rate / settings.instance_count for rate in settings.tenant_rates]
        self._over_quota_weight = settings.over_quota_weight
        self._buckets = [_TokenBucket() for _ in settings.tenant_rates]

    def weight(self, tenant: int, now: int) -> float:
        """Count a message of this tenant; return the factor to apply to its weight, 1 inside the quota."""
        rate = self._rates[tenant]
        bucket = self._buckets[tenant]
        refilled = bucket.tokens + rate * (now - bucket.updated_at + 1) / SECOND
        tokens = min(max(1.0, rate), refilled)
        within_quota = tokens >= 1
        bucket.tokens = tokens - within_quota
        bucket.updated_at = now
        return 1.0 if within_quota else self._over_quota_weight
