"""Settings like those of a small deployment."""

from __future__ import annotations

import copy
from typing import Any

from review.second.rig import SECOND

MILLISECOND = SECOND // 1000
STANDARD = {
    "name": "standard",
    "semantics": "token",
    "group": "all",
    "window": 5 * SECOND,
    "aim": 2500 * MILLISECOND,
    "deadline": 20 * SECOND,
    "late-share": 0.3,
    "stream": False,
    "worth": 1.0,
}
SETTINGS: dict[str, Any] = {
    "replicas-of-me": 2,
    "ordinal": 0,
    "classes": [STANDARD],
    "shapes": ["large-partner", "small-partner"],
    "zones": ["kumamoto-hq"],
    "zone": 0,
    "tenants": [{"name": "studio", "fraction": 1.0, "quota-rps": 50.0}],
    "over-share-worth": 0.05,
    "family-info": {"call-slots": 13, "per-call": [20, 1], "own-limits": [False, False], "decay": "line"},
    "caps": {
        "cancel": True,
        "conn-idle": 15 * SECOND,
        "connect-timeout": 1500 * MILLISECOND,
        "max-open": 160,
        "max-retry-after": 2 * SECOND,
        "max-streams": 8,
        "most-tries": 12,
        "peers": False,
        "probes": True,
        "retry-after": True,
        "second-copies": False,
    },
    "clients": {"marks-retry": True},
    "discovery": "automatic",
    "domain-type": "deliver",
    "invariants": {
        "answer-slack": 20 * MILLISECOND,
        "cold": 14 * SECOND,
        "cold-share": 0.31,
        "drain-grace": 2 * SECOND,
        "fall": 3 * SECOND,
        "fall-multiple": 1.5,
    },
    "report": {"how": "off", "fields": []},
    "resolution": 5 * MILLISECOND,
    "weights": "rough",
}


def settings(**changes: Any) -> dict[str, Any]:
    """Return a copy of the settings with other values for some keys."""
    return copy.deepcopy(SETTINGS) | changes
