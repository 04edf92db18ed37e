"""The journal of accepted messages, and the state that a replay of it restores."""
