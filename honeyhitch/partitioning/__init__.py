"""Destinations partitioned over the dispatchers of a fleet: who owns which, and what share of its limit.

Nothing here does input or output: clock and view are passed in. See docs/design/partitioning.md.
"""
