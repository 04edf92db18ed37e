"""Features that are off unless the operator's file configures them, with one module for each.

`assembly` and `start` import a module only if its feature is configured, so that a `serve` without features
loads none of their dependencies.
"""
