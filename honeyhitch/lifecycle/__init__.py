"""Start and stop: configuration, signals, serving and the command line."""
