"""The journal of accepted messages and what a replay of it gives."""
