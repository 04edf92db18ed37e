"""Decisions: which endpoint, when, when again, when to reject. No input or output, no clock."""
