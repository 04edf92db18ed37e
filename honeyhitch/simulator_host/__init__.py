"""Runs the policy for a simulator over standard input and output: a line parser and a host of instances."""
