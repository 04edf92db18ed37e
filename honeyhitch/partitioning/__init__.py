"""Partitions destinations over the dispatchers of a fleet: which instance owns which, and with what quota.

This package does no I/O: the time and the view are passed in. See docs/design/partitioning.md.
"""
