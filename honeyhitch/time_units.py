"""Units of time: the program counts in integer nanoseconds, in the Unix epoch where it is a time of day."""

MILLISECOND = 10**6
SECOND = 10**9
MINUTE = 60 * SECOND
HOUR = 60 * MINUTE
DAY = 24 * HOUR

NEVER = 1 << 62  # later than any time that is handled
