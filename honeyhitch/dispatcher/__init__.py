"""The dispatcher: admission, rounds of the policy, calls and their outcomes, final answers, recovery."""
