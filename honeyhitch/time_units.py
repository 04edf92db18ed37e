"""Units of time: times are integer nanoseconds, and a time of day is counted from the Unix epoch."""

MILLISECOND = 10**6
SECOND = 10**9
MINUTE = 60 * SECOND
HOUR = 60 * MINUTE
DAY = 24 * HOUR

NEVER = 1 << 62  # later than any time that occurs
