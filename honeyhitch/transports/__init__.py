"""Thin drivers: they read and write sockets for the machines beside them."""
