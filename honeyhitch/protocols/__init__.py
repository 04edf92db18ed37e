"""Wire protocols as sans-I/O state machines: they are fed bytes, and open no socket."""
