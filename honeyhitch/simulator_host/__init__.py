"""The policy on a simulator's standard input and output: a parser of its lines, and the host of instances."""
