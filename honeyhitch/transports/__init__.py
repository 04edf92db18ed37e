"""Sockets: they connect, accept, read and write for the state machines in `honeyhitch.protocols`."""
