"""Counts the calls that the requests of each route cause.

A node counts the requests that its target runs and the calls that the target
makes for them. Two routes may need the same overloaded service, and requests
of one may make ten times as many calls to it. Admission by priority must know
this, because a request of the other route takes only a tenth of the capacity.
"""

import collections

DECAY_INTERVAL_S = 1.0
DECAY_FACTOR = 0.7
"""Counts are multiplied by this each interval, so that they cover about three
seconds. That is some hundred requests of a busy route, and a change in a
route's calls still shows soon."""

MIN_RUNS = 5
"""With fewer runs on a route, its calls per run depend on chance."""

MAX_CALLS_PER_RUN = 1000.0
MIN_CALLS_PER_RUN = 0.05
"""Limits of the calls per run. Beyond them one route would outweigh all
others."""

MAX_ROUTES = 1024
"""Limit of counted routes, and of called routes per route; fleets have
fewer."""


class RouteCallCounts:
    """Decaying counts of the local target's runs and calls, by route.

    ``calls`` has the calls by the route of the request that they are made
    for, then by called route. Calls whose request is not known count under
    the empty route.
    """

    def __init__(self) -> None:
        """Start without counts."""
        self.runs: dict[str, float] = {}
        self.calls: dict[str, dict[str, float]] = collections.defaultdict(dict)
        self.decayed_at: float = 0

    def record_run(self, route: str, now: float) -> None:
        """Count a request that begins to run at the target."""
        self.decay(now)
        if route in self.runs or len(self.runs) < MAX_ROUTES:
            self.runs[route] = self.runs.get(route, 0) + 1

    def record_call(self, parent_route: str, route: str, now: float) -> None:
        """Count a call that the target makes for a request."""
        self.decay(now)
        calls = self.calls[parent_route]
        if route in calls or len(calls) < MAX_ROUTES:
            calls[route] = calls.get(route, 0) + 1

    def calls_per_run(self, parent_route: str, route: str) -> float:
        """Return the calls on ``route`` per request on ``parent_route``.

        The empty parent route stands for all requests. The result is 1
        with fewer than ``MIN_RUNS`` runs, or without calls.
        """
        calls = self.calls.get(parent_route, {}).get(route, 0)
        runs = self.runs.get(parent_route, 0)
        if not parent_route:
            runs = sum(self.runs.values())
        if runs < MIN_RUNS or not calls:
            return 1
        return min(MAX_CALLS_PER_RUN, max(MIN_CALLS_PER_RUN, calls / runs))

    def decay(self, now: float) -> None:
        """Decay the counts by the intervals that have passed."""
        steps = int((now - self.decayed_at) / DECAY_INTERVAL_S)
        if steps < 1:
            return
        self.decayed_at = now
        factor = DECAY_FACTOR**steps
        for counts in (self.runs, *self.calls.values()):
            for name in counts:
                counts[name] *= factor
