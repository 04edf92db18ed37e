"""Wire protocols as sans-I/O state machines, which are fed bytes and never open a socket."""
