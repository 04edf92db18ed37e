"""Peers, proxies and shims that misbehave on purpose, for tests of real processes on loopback."""
