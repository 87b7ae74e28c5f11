"""How many calls the requests of each route cause, as the own target's node
sees them.

Two routes may need the same full service and one of them ten times as much of
it for each request. Whoever admits by importance has to know that: a request
that costs little may pass for a tenth of the room.
"""

import collections

DECAY_INTERVAL_S = 1.0
DECAY_FACTOR = 0.7
"""Counts keep this part each second, so they cover about three seconds: some
hundred requests of a busy route, and a changed route is noticed soon."""

MIN_RUNS = 5
"""With fewer runs on a route its figure is chance."""

MAX_CALLS_PER_RUN = 1000.0
MIN_CALLS_PER_RUN = 0.05
"""Bounds of a figure: beyond them it would hide all other routes."""

MAX_ROUTES = 1024
"""Pairs of routes that are counted; fleets have fewer."""


class RouteCosts:
    """Calls that requests at the own target cause, by route and called route.

    Calls whose request is not known count under the empty route.
    """

    def __init__(self) -> None:
        """Start without counts."""
        self.runs: dict[str, float] = {}
        self.calls: dict[str, dict[str, float]] = collections.defaultdict(dict)
        self.decayed_at: float = 0

    def record_run(self, route: str, now: float) -> None:
        """Count a request that begins to run."""
        self.decay(now)
        if route in self.runs or len(self.runs) < MAX_ROUTES:
            self.runs[route] = self.runs.get(route, 0) + 1

    def record_call(self, parent_route: str, route: str, now: float) -> None:
        """Count a call that the own target makes."""
        self.decay(now)
        calls = self.calls[parent_route]
        if route in calls or len(calls) < MAX_ROUTES:
            calls[route] = calls.get(route, 0) + 1

    def calls_per_run(self, parent_route: str, route: str) -> float:
        """Calls on ``route`` for each request; 1 while nothing is known."""
        calls = self.calls.get(parent_route, {}).get(route, 0)
        runs = self.runs.get(parent_route, 0)
        if not parent_route:
            runs = sum(self.runs.values())
        if runs < MIN_RUNS or not calls:
            return 1
        return min(MAX_CALLS_PER_RUN, max(MIN_CALLS_PER_RUN, calls / runs))

    def decay(self, now: float) -> None:
        """Let old counts fade."""
        steps = int((now - self.decayed_at) / DECAY_INTERVAL_S)
        if steps < 1:
            return
        self.decayed_at = now
        keep = DECAY_FACTOR**steps
        for counts in (self.runs, *self.calls.values()):
            for name in counts:
                counts[name] *= keep
