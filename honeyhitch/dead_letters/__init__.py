"""Undelivered messages: kept, shown, and resent only by rule. Begun; the design is
docs/design/undelivered.md.
"""
