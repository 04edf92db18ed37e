"""The memory of this process, as the operating system counts it."""

from __future__ import annotations

import ctypes
import os
from pathlib import Path

STATISTICS = Path("/proc/self/statm")  # proc(5); the second value is the number of resident pages
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def resident_bytes() -> int:
    """Return the resident memory of this process, or 0 if the system does not tell it."""
    try:
        return int(STATISTICS.read_text().split()[1]) * PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return 0


def return_free_memory() -> None:
    """Return memory that the allocator of the C library keeps unused to the system, if it can."""
    try:
        ctypes.CDLL(None).malloc_trim(0)
    except (OSError, AttributeError):  # another C library than glibc
        return
