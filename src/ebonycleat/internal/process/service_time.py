"""Expected service times per route, for shedding before the start."""

import dataclasses

SMOOTHING_FACTOR = 0.1
HALF_LIFE_S = 1
"""An estimate that no answer confirms must fade: while it exceeds every
deadline no call starts, and so none could correct it."""

MAX_ROUTES = 1024


@dataclasses.dataclass(slots=True)
class ServiceTimeEstimate:
    """Moving mean of one route, in seconds."""

    mean_s: float
    updated_at: float


class ServiceTimes:
    """Moving means per route and over all routes."""

    def __init__(self) -> None:
        """Start without estimates."""
        self.by_route: dict[str, ServiceTimeEstimate] = {}
        self.overall_s: float = 0

    def record(self, route: str, service_s: float, now: float) -> None:
        """Learn from one success."""
        self.overall_s = _moved(self.overall_s, service_s)
        known = self.by_route.get(route)
        if known is None:
            if len(self.by_route) >= MAX_ROUTES:
                self.by_route.pop(next(iter(self.by_route)))
            self.by_route[route] = ServiceTimeEstimate(service_s, now)
            return
        known.mean_s = _moved(known.mean_s, service_s)
        known.updated_at = now

    def expected_s(self, route: str, now: float) -> float:
        """Expected seconds; fades without answers; zero when unknown."""
        known = self.by_route.get(route)
        if known is None:
            return 0
        age_s = max(0, now - known.updated_at - HALF_LIFE_S)
        return known.mean_s * 2 ** (-age_s / HALF_LIFE_S)


def _moved(mean_s: float, sample_s: float) -> float:
    return (
        mean_s + (sample_s - mean_s) * SMOOTHING_FACTOR if mean_s else sample_s
    )
