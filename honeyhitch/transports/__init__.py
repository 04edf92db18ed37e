"""Network I/O: connects, accepts, reads and writes for the state machines in `honeyhitch.protocols`."""
