"""The service: assembly of the parts, start, shutdown, signals and the hand-over between two processes."""
