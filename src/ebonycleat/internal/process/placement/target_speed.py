"""How long calls take at a target, relative to other targets of its service.

The service times of different routes differ by a factor of 30, so the mean
over all routes says more about which calls a target happened to get than about
its speed. Each service time is therefore compared with the mean of the same
route over all targets.
"""

import dataclasses

USUAL_RATIO = 1.0
MIN_RATIO = 0.0625
MAX_RATIO = 16.0
"""Bounds of one comparison, so that one odd time does not count for long."""

MAX_SERVICE_S = 600.0
"""Longer reported times are taken for a fault of the gate's node."""

RATIO_SMOOTHING_FACTOR = 0.125
"""Weight of one answer in a target's ratio."""

ROUTE_SMOOTHING_FACTOR = 0.05
"""Weight of one answer in the mean of its route. It is smaller than that of
the ratio, because the mean is made of the answers of several targets."""

RATIO_HALF_LIFE_S = 10
"""Without answers the difference of a ratio from 1 halves in this many seconds,
so that a target that was slow gets calls again which show its speed."""

FASTEST_DRIFT = 0.01
"""Part of its difference from 1 that the smallest ratio of a service loses
with each answer, so that it follows when the fastest target leaves."""

MAX_ROUTES = 1024
MAX_SERVICES = 1024


class TargetSpeed:
    """Ratio of the service times of one target to those of all; 1 is usual."""

    def __init__(self) -> None:
        """Start as a target that is neither fast nor slow."""
        self.ratio = USUAL_RATIO
        self.updated_at: float = 0

    def record(self, relative: float, now: float) -> float:
        """Move the ratio towards that of one answer; return it."""
        ratio = self.ratio_at(now)
        self.ratio = ratio + (relative - ratio) * RATIO_SMOOTHING_FACTOR
        self.updated_at = now
        return self.ratio

    def ratio_at(self, now: float) -> float:
        """Return the ratio; an old one loses weight."""
        age_s = now - self.updated_at
        if age_s < 1 or self.ratio == USUAL_RATIO:
            return self.ratio
        weight = 2 ** (-age_s / RATIO_HALF_LIFE_S)
        return USUAL_RATIO + (self.ratio - USUAL_RATIO) * weight


@dataclasses.dataclass(slots=True)
class ServiceSpeed:
    """Mean service time of a service in seconds, and its smallest ratio."""

    mean_s: float
    fastest: float = USUAL_RATIO


class RouteTimes:
    """Mean service times of routes, over all targets that run them."""

    def __init__(self) -> None:
        """Start without a mean."""
        self.mean_s_by_route: dict[str, float] = {}

    def compare(self, route: str, service_s: float) -> float:
        """Return a service time relative to the mean, which it then moves."""
        mean_s = self.mean_s_by_route.get(route)
        if mean_s is None:
            if len(self.mean_s_by_route) >= MAX_ROUTES:
                self.mean_s_by_route.pop(next(iter(self.mean_s_by_route)))
            mean_s = service_s
        relative = min(MAX_RATIO, max(MIN_RATIO, service_s / mean_s))
        mean_s += mean_s * (relative - 1) * ROUTE_SMOOTHING_FACTOR
        self.mean_s_by_route[route] = mean_s
        return relative


class SpeedTable:
    """Compares the service times of the targets that an entry calls.

    A target whose gate reports no service times is judged by the latencies
    that the entry sees. These include the queue and the link, so they are
    compared with one another only, and no target is drawn more often for them.
    """

    def __init__(self) -> None:
        """Start without service times."""
        self.reported = RouteTimes()
        self.observed = RouteTimes()
        self.by_service: dict[str, ServiceSpeed] = {}

    def record_answer(
        self,
        target: TargetSpeed,
        service: str,
        route: str,
        reported_s: float,
        latency_s: float,
        now: float,
    ) -> None:
        """Compare one answer of a target of ``service``.

        ``reported_s`` is the mean of the route that the gate reports, 0 if it
        reports none, and ``latency_s`` what the entry has seen.
        """
        if 0 < reported_s <= MAX_SERVICE_S:
            service_s = reported_s
            relative = self.reported.compare(route, reported_s)
        elif latency_s > 0:
            service_s = latency_s
            relative = self.observed.compare(route, latency_s)
        else:
            return
        ratio = target.record(relative, now)
        speed = self.by_service.get(service)
        if speed is None:
            if len(self.by_service) >= MAX_SERVICES:
                self.by_service.pop(next(iter(self.by_service)))
            speed = ServiceSpeed(service_s)
            self.by_service[service] = speed
        speed.mean_s += (service_s - speed.mean_s) * ROUTE_SMOOTHING_FACTOR
        if service_s != reported_s:
            return
        drifted = speed.fastest + (USUAL_RATIO - speed.fastest) * FASTEST_DRIFT
        speed.fastest = min(ratio, drifted)

    def mean_s(self, service: str, default_s: float) -> float:
        """Return the mean seconds of a call to a service, if known.

        It is the same for all targets of the service and gives their scores
        the unit; it does not change their order.
        """
        speed = self.by_service.get(service)
        return default_s if speed is None else speed.mean_s

    def fastest_ratio(self, service: str) -> float:
        """Return the smallest ratio among the targets of a service."""
        speed = self.by_service.get(service)
        return USUAL_RATIO if speed is None else speed.fastest
