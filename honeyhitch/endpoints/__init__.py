"""The endpoints that discovery has listed."""
