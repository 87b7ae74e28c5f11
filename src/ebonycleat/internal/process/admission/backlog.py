"""Early refusal and Retry-After by the time that the queue needs.

The time is estimated as the number of calls that start before a call, times
the mean time between two starts. The estimate can be far too long for a while,
for instance after a pause of the target, and only calls that run correct it.
A refused call costs its caller everything, whereas one that waits in vain
costs no work of the target. Refusal therefore needs a margin, and a queue
that is long compared with the slots.
"""

import dataclasses

REFUSAL_MARGIN = 1.5
"""A call is refused if the calls ahead need this many times the time until its
latest start. Calls ahead also leave the queue without running, and the mean
service time of other routes may be longer."""

MIN_CALLS_AHEAD = 4
"""No call is refused behind fewer calls, nor behind fewer than there are slots:
so short a queue is drained by the calls that run, however wrong the estimate
is."""

DRAIN_FRACTION = 0.5
"""Fraction of the backlog after which a call that found no room may return.
Calls of the queue also expire, so it shrinks faster than by starts."""

MIN_DRAIN_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Backlog:
    """What an arriving call would find in the queue of a gate.

    ``calls_ahead`` calls start before it, one every ``start_interval_s``.
    ``time_left_s`` is the time until its latest start.
    """

    calls_ahead: float
    start_interval_s: float
    time_left_s: float

    @property
    def needed_s(self) -> float:
        """Seconds until the calls ahead have started."""
        return self.calls_ahead * self.start_interval_s

    def is_too_long(self, slots: float) -> bool:
        """Tell whether the call could not start in time, by a margin.

        ``slots`` is how many calls run at most, by slots and by start rate.
        """
        if self.calls_ahead < max(MIN_CALLS_AHEAD, slots):
            return False
        return self.needed_s > self.time_left_s * REFUSAL_MARGIN

    def drain_s(self) -> float:
        """Return after how many seconds such a call should return.

        By then the queue fits into the time that the call has now, and is at
        most half as long.
        """
        excess_s = self.needed_s - self.time_left_s
        return max(MIN_DRAIN_S, self.needed_s * DRAIN_FRACTION, excess_s)
