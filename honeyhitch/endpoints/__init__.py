"""The endpoints that discovery has named."""
