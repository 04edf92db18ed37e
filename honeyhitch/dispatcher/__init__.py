"""The dispatcher: admission, policy rounds, calls and their outcomes, final answers, and recovery."""
