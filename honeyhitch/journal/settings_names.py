"""Translates the indices of classes, tenants and zones in a journal if the settings have changed.

A record contains the index of a class, a tenant or a zone. A journal therefore also records the names to
which the indices of its later records belong.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

UNKNOWN = -1  # index of a class or a zone that the settings no longer contain
FALLBACK_TENANT = 0  # a tenant decides only about quotas


@dataclass(frozen=True, slots=True)
class SettingsNames:
    """The names of the settings' lists, in their order. A list may contain empty names."""

    classes: tuple[str, ...]
    tenants: tuple[str, ...]
    zones: tuple[str, ...]


class IndexTranslation:
    """Translates the indices of a journal's records into those of the settings in force.

    `stored` is None for the records of an earlier version, whose indices belong to the settings in force if
    these contain them. Nothing is translated if `current` is None.
    """

    def __init__(self, stored: SettingsNames | None, current: SettingsNames | None) -> None:
        self.current = current
        self.stored = stored or current
        self.changed = current is not None and self.stored != current

    def class_index(self, index: int) -> int:
        """Return the index of a message's class, or UNKNOWN."""
        if self.current is None or self.stored is None:
            return index
        return _translate(index, self.stored.classes, self.current.classes)

    def tenant(self, index: int) -> int:
        """Return the index of a message's tenant, or that of the first tenant if it is gone."""
        if self.current is None or self.stored is None or not self.current.tenants:
            return index
        return max(FALLBACK_TENANT, _translate(index, self.stored.tenants, self.current.tenants))

    def zone(self, index: int) -> int:
        """Return the index of an attempt's zone, or UNKNOWN, which is no endpoint's zone."""
        if not self.changed or self.current is None or self.stored is None:
            return index
        return _translate(index, self.stored.zones, self.current.zones)


def _translate(index: int, stored: Sequence[str], current: Sequence[str]) -> int:
    name = stored[index] if 0 <= index < len(stored) else ""
    if 0 <= index < len(current) and current[index] == name:
        return index
    return current.index(name) if name and name in current else UNKNOWN
