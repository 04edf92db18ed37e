"""One dispatcher process: assembly, start, reload, shutdown, signals and the hand-over between two processes.

`service` holds the parts, `assembly` builds them with one module per feature from `features/`, and `start`,
`reload` and `shutdown` act on these parts. `run` runs the process from its start to its end.
"""
