"""The clock of leases and deadlines."""

import time


def boottime_s() -> float:
    """Seconds since the machine started, including pauses.

    Leases must be found expired after a pause; the clock of event loops
    stands still while the machine sleeps.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
