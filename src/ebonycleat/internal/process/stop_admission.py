"""Decides which requests a node still takes while it stops.

The load it answers: callers go on sending until they notice that the node is
not ready, some of them to the last moment. A request that is still running at
the end of the stop loses its answer, so it is refused while it has not run.

An estimate of its run time decides first: those callers may not have noticed
the stop, and most of their requests end in time. Later only the deadline does,
because an estimate is wrong for the slowest requests of a route.
"""

import dataclasses

from ebonycleat.internal.request.call import Call
from ebonycleat.internal.request.refusal import (
    Reason,
    Refusal,
    refuse_not_run,
)

WINDOW_S = 10.0
"""The slowest runs are those of the present window and of the one before."""

RUN_TIME_FACTOR = 1.5
"""A run may take this many times as long as the slowest recent one of its
route."""

ANSWER_RESERVE_S = 0.1
"""Time for passing the answer on after the run."""

RETRY_AFTER_S = 0.3
"""Callers come back on a new connection, which leads to a node that is ready."""

STOPPING_REFUSAL = refuse_not_run(
    Reason.DRAINING,
    'the node stops before an answer is expected; send the request '
    'again on a new connection',
    retry_after_s=RETRY_AFTER_S,
)


class SlowestRuns:
    """The slowest recent run of each route, in seconds."""

    def __init__(self) -> None:
        """Start without any run."""
        self.window_started_at: float = 0
        self.current: dict[str, float] = {}
        self.previous: dict[str, float] = {}

    def record(self, route: str, run_s: float, now: float) -> None:
        """Note how long a run took, its wait for a slot included."""
        self.turn_window(now)
        self.current[route] = max(self.current.get(route, 0), run_s)

    def find(self, route: str, now: float) -> float | None:
        """Return the slowest recent run of a route, None without any."""
        self.turn_window(now)
        run_times = [
            window[route]
            for window in (self.current, self.previous)
            if route in window
        ]
        return max(run_times, default=None)

    def turn_window(self, now: float) -> None:
        """Begin a new window when the present one has ended.

        Runs are kept while no new ones are recorded.
        """
        if now - self.window_started_at >= WINDOW_S:
            self.window_started_at = now
            if self.current:
                self.previous = self.current
            self.current = {}


@dataclasses.dataclass(frozen=True, slots=True)
class StopTimes:
    """When a stopping node begins to refuse requests, and when it ends.

    Estimates of run times count until ``estimates_until``. All are seconds on
    the clock of the node.
    """

    refuses_from: float
    estimates_until: float
    ends_at: float


class StopAdmission:
    """Refuses requests that would still be running when the node ends.

    ``times`` is None until the node stops.
    """

    def __init__(self) -> None:
        """Start for a node that does not stop."""
        self.slowest_runs = SlowestRuns()
        self.times: StopTimes | None = None

    def check(self, call: Call, now: float) -> Refusal | None:
        """Return why a call must not start now, None if it may."""
        if self.times is None or now < self.times.refuses_from:
            return None
        if self.latest_end(call, now, self.times) <= self.times.ends_at:
            return None
        return STOPPING_REFUSAL

    def latest_end(self, call: Call, now: float, times: StopTimes) -> float:
        """Return when the answer to a call is expected at the latest.

        The deadline is the only time by which each call ends.
        """
        end = call.deadline
        slowest_s = self.slowest_runs.find(call.route, now)
        if slowest_s is not None and now < times.estimates_until:
            end = min(end, now + slowest_s * RUN_TIME_FACTOR)
        return end + ANSWER_RESERVE_S
