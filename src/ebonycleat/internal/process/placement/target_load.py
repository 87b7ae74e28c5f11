"""What a gate knows of the load and the speed of its target.

The target reports its load with each response. Its figures include calls that
this gate has not sent, for example those that an earlier process of the node
has left behind.
"""

from ebonycleat.internal.connection.platform_interfaces import TargetLoad
from ebonycleat.internal.process.placement.target_pace import (
    PACE_HALF_LIFE_S,
    USUAL_PACE,
    check_pace,
    decay_pace,
)

SMOOTHING_FACTOR = 0.1
"""Weight of one run in the mean service time of its route."""

MAX_ROUTES = 1024
"""Limit of routes with a mean. A fleet has fewer; more names could come only
from a faulty node."""

MAX_CALLS_PER_SLOT = 1000
"""A target that reports more calls than this for each slot reports nonsense."""


class TargetLoadTracker:
    """Reported load of one target, and service times at its usual pace.

    The service times are divided by the pace during the run. Otherwise a slow
    moment of a VM would count twice: as its pace and as slow runs.
    """

    def __init__(self) -> None:
        """Start without reports: the target runs at its usual pace."""
        self.pace = USUAL_PACE
        self.other_calls = 0
        self.reported_at: float = 0
        self.overall_s: float = 0
        self.mean_s_by_route: dict[str, float] = {}

    def reset(self) -> None:
        """Forget what an earlier process of the target has reported."""
        self.pace = USUAL_PACE
        self.other_calls = 0
        self.overall_s = 0
        self.mean_s_by_route = {}

    def record_report(
        self, load: TargetLoad | None, own_calls: int, now: float
    ) -> None:
        """Adopt the load that came with a response, None if there is none.

        ``own_calls`` is how many of the calls at the target this gate sent.
        """
        if load is None:
            return
        self.pace = check_pace(load.pace)
        self.reported_at = now
        calls = load.running + load.waiting
        is_possible = (
            0 < load.slots and calls <= load.slots * MAX_CALLS_PER_SLOT
        )
        self.other_calls = max(0, calls - own_calls) if is_possible else 0

    def pace_at(self, now: float) -> float:
        """Return the pace to assume now."""
        if self.pace == USUAL_PACE:
            return USUAL_PACE
        return decay_pace(self.pace, now - self.reported_at)

    def other_calls_at(self, now: float) -> int:
        """Return how many calls of others to assume at the target now."""
        if not self.other_calls:
            return 0
        age_s = max(0, now - self.reported_at)
        return round(self.other_calls * 2 ** (-age_s / PACE_HALF_LIFE_S))

    def record_run(
        self, route: str, service_s: float, pace_when_sent: float, now: float
    ) -> None:
        """Record the duration in seconds of a successful run.

        The pace during the run is taken as the mean of those at its ends.
        """
        usual_s = service_s
        if pace_when_sent != USUAL_PACE or self.pace != USUAL_PACE:
            usual_s *= 2 / (pace_when_sent + self.pace_at(now))
        self.overall_s = _move_mean(self.overall_s, usual_s)
        mean_s = self.mean_s_by_route.get(route, 0)
        if mean_s or len(self.mean_s_by_route) < MAX_ROUTES:
            self.mean_s_by_route[route] = _move_mean(mean_s, usual_s)

    def service_s(self, route: str) -> float:
        """Return the mean seconds of a route at the usual pace.

        It is 0 if the route has not run yet. Without a route the mean over
        all routes is returned.
        """
        if route:
            return self.mean_s_by_route.get(route, 0)
        return self.overall_s


def _move_mean(mean_s: float, sample_s: float) -> float:
    if mean_s:
        return mean_s + (sample_s - mean_s) * SMOOTHING_FACTOR
    return sample_s
