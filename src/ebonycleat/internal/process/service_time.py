"""Expected service times per route.

A gate uses them to refuse calls that could not finish by their deadline.
"""

import dataclasses

SMOOTHING_FACTOR = 0.1
HALF_LIFE_S = 1
"""An estimate decays while no answer confirms it. If it exceeded every
deadline, no call would start, and so none could correct it."""

MAX_ROUTES = 1024


@dataclasses.dataclass(slots=True)
class ServiceTimeEstimate:
    """Moving mean of the service times of one route, in seconds."""

    mean_s: float
    updated_at: float


class ServiceTimes:
    """Moving means of the service times, per route and over all routes."""

    def __init__(self) -> None:
        """Start without estimates."""
        self.by_route: dict[str, ServiceTimeEstimate] = {}
        self.overall_s: float = 0

    def record(self, route: str, service_s: float, now: float) -> None:
        """Record the service time of one success."""
        self.overall_s = _move_mean(self.overall_s, service_s)
        estimate = self.by_route.get(route)
        if estimate is None:
            if len(self.by_route) >= MAX_ROUTES:
                self.by_route.pop(next(iter(self.by_route)))
            self.by_route[route] = ServiceTimeEstimate(service_s, now)
            return
        estimate.mean_s = _move_mean(estimate.mean_s, service_s)
        estimate.updated_at = now

    def expected_s(self, route: str, now: float) -> float:
        """Return the expected seconds of a route, 0 if it is not known.

        Without answers for ``HALF_LIFE_S``, the estimate begins to halve
        every ``HALF_LIFE_S``.
        """
        estimate = self.by_route.get(route)
        if estimate is None:
            return 0
        age_s = max(0, now - estimate.updated_at - HALF_LIFE_S)
        return estimate.mean_s * 2 ** (-age_s / HALF_LIFE_S)


def _move_mean(mean_s: float, sample_s: float) -> float:
    return (
        mean_s + (sample_s - mean_s) * SMOOTHING_FACTOR if mean_s else sample_s
    )
