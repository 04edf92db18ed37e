"""Destinations partitioned over the dispatchers of a fleet: who owns which, and what quota of its limit.

Nothing here does I/O: clock and view are passed in. See docs/design/partitioning.md.
"""
