"""The clocks of a process."""

import functools
import time

NANOSECONDS_PER_MS = 1_000_000


boottime_s = functools.partial(time.clock_gettime, time.CLOCK_BOOTTIME)
"""Seconds since the machine started, including pauses.

Leases must be found expired after a pause; the clock of event loops stands
still while the machine sleeps. Read about 20 times a request, so there is no
function of Python around it.
"""


def unix_time_ms() -> int:
    """Unix time in milliseconds; it may jump, and orders nothing but starts."""
    return time.time_ns() // NANOSECONDS_PER_MS
