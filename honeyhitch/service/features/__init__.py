"""The features that are off unless the operator's file asks for them: one module assembles each.

`assembly` and `start` import a module of these only for a feature that is set up, so that a plain `serve`
loads none of what they need.
"""
