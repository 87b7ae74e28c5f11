"""The clocks of a process."""

import time

NANOSECONDS_PER_MS = 1_000_000


def boottime_s() -> float:
    """Seconds since the machine started, including pauses.

    Leases must be found expired after a pause; the clock of event loops
    stands still while the machine sleeps.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def time_of_day_ms() -> int:
    """Unix time in milliseconds; it may jump, and orders nothing but starts."""
    return time.time_ns() // NANOSECONDS_PER_MS
