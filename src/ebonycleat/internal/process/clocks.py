"""The clocks that the nodes use."""

import functools
import time

NANOSECONDS_PER_MS = 1_000_000


boottime_s = functools.partial(time.clock_gettime, time.CLOCK_BOOTTIME)
"""Seconds since the machine started, including time in which it was suspended.

A lease that ran out while the machine was suspended must be found expired
afterwards, and the clock of event loops stops during a suspension. The clock
is read about 20 times per request, so it is not wrapped in a Python function.
"""


def unix_time_ms() -> int:
    """Return the Unix time in milliseconds.

    This clock may jump, so it is used only to order the starts of a node or
    of a target.
    """
    return time.time_ns() // NANOSECONDS_PER_MS
