"""Max-min fair shares of a service's capacity among the teams of an entry.

A team that asks for less than its share gets all that it asks for, and the rest
goes to teams that ask for more, in proportion to their weights. So there is one
level: no team gets more than its weight times the level, and a team that asks
for less is not limited at all. The level is recomputed a few times a second
from the demand of the teams that had any lately; on the path of a request only
the record of its team is read.
"""

import dataclasses
import itertools
import math
from collections.abc import Iterable

from ebonycleat.internal.process.team_weights import TeamWeights

DEMAND_TIME_S = 2.0
"""Time constant with which demand decays. A team without demand for as long is
dropped."""

RECOMPUTE_INTERVAL_S = 0.1
RECOMPUTE_S_PER_TEAM = 0.0005
"""Recomputing takes some 0.3 ms with 500 teams, so with many teams it is done
less often: it takes at most about a thousandth of a core for each class of a
service that is short."""

MIN_CORRECTION_REQUESTS = 10
CORRECTION_EXPONENT = 0.1
CORRECTION_MEMORY = 0.9
MAX_CORRECTION = 3.0
"""The correction follows the requests of about the last 10 intervals, and
changes by a tenth of their deviation in each, so that it does not swing."""

LIMITED_RATIO = 0.9
"""A team counts as limited to its share if it is granted less than this part of
what its class is granted."""

UNLIMITED_LEVEL = math.inf


@dataclasses.dataclass(slots=True)
class TeamDemand:
    """Decaying count of the calls that one team asks for.

    ``fraction`` is the part of them that the team was last granted.
    """

    calls: float
    counted_at: float
    fraction: float

    def calls_at(self, now: float) -> float:
        """Return the count, decayed up to ``now``."""
        return self.calls * math.exp((self.counted_at - now) / DEMAND_TIME_S)


def find_fair_level(
    demands: Iterable[tuple[float, float]], capacity: float
) -> float:
    """Return the level up to which each team is served, per unit of weight.

    ``demands`` has a demand and a positive weight for each team. The result is
    ``UNLIMITED_LEVEL`` if the capacity is enough for all.
    """
    by_need = sorted(
        (demand / weight, demand, weight) for demand, weight in demands
    )
    # Sums from the end: what subtraction leaves of very different weights may
    # be 0 or negative.
    open_weights = list(
        itertools.accumulate(weight for _, _, weight in reversed(by_need))
    )
    left = capacity
    for need, demand, _ in by_need:
        level = left / open_weights.pop()
        if need > level:
            return max(0, level)
        left -= demand
    return UNLIMITED_LEVEL


@dataclasses.dataclass(frozen=True, slots=True)
class TeamShare:
    """Why a team is limited, for the log.

    ``calls_per_s`` is what the team asks for at the service, ``team_fraction``
    what it is granted of it, and ``class_fraction`` what its class is.
    """

    service: str
    calls_per_s: float
    weight: float
    team_fraction: float
    class_fraction: float


class GrantCorrection:
    """Corrects the capacity by what was granted of it.

    A team that sends less than a request in ``DEMAND_TIME_S`` counts as asking
    for nothing between its requests and for much at each of them. With many
    such teams up to a third too much or too little was granted.
    """

    def __init__(self) -> None:
        """Start without a correction."""
        self.factor: float = 1
        self.requests: float = 0
        self.due: float = 0
        self.granted: float = 0

    def count(self, granted: float, due: float) -> None:
        """Count one request, and which fractions were granted and due."""
        self.requests += 1
        self.granted += granted
        self.due += due

    def update(self) -> None:
        """Adapt the factor to the requests of the last intervals."""
        if self.requests >= MIN_CORRECTION_REQUESTS:
            ratio = self.due / max(self.granted, 1)
            factor = self.factor * ratio**CORRECTION_EXPONENT
            self.factor = min(MAX_CORRECTION, max(1 / MAX_CORRECTION, factor))
        self.requests *= CORRECTION_MEMORY
        self.due *= CORRECTION_MEMORY
        self.granted *= CORRECTION_MEMORY


class TeamShares:
    """Divides what is admitted of one priority class among its teams."""

    def __init__(self, weights: TeamWeights) -> None:
        """Start without demand; the weights are shared and may change."""
        self.weights = weights
        self.demands: dict[str, TeamDemand] = {}
        self.level = UNLIMITED_LEVEL
        self.recomputed_at = -math.inf
        self.correction = GrantCorrection()

    def count(self, team: str, calls: float, now: float) -> None:
        """Count the calls that one request of a team causes."""
        demand = self.demands.get(team)
        if demand is None:
            fraction = self.grant(team, calls)
            self.demands[team] = TeamDemand(calls, now, fraction)
        else:
            demand.calls = demand.calls_at(now) + calls
            demand.counted_at = now

    def grant(self, team: str, calls: float) -> float:
        """Return the part of a team's demand that is below the level.

        Requests that cause next to no calls, or none, are granted.
        """
        if calls <= 0:
            return 1
        return min(1, self.weights.weight(team) * self.level / calls)

    def fraction(self, team: str, class_fraction: float, now: float) -> float:
        """Return the part of a team's requests to be admitted.

        ``class_fraction`` is the part of the whole class, and the team must
        have been counted.
        """
        interval_s = max(
            RECOMPUTE_INTERVAL_S, len(self.demands) * RECOMPUTE_S_PER_TEAM
        )
        if now - self.recomputed_at >= interval_s:
            self.recompute(class_fraction, now)
        fraction = self.demands[team].fraction
        self.correction.count(fraction, class_fraction)
        return fraction

    def describe(
        self, service: str, team: str, class_fraction: float, now: float
    ) -> TeamShare | None:
        """Return the share of a team that is limited more than its class."""
        demand = self.demands.get(team)
        if demand is None or demand.fraction >= class_fraction * LIMITED_RATIO:
            return None
        return TeamShare(
            service,
            demand.calls_at(now) / DEMAND_TIME_S,
            self.weights.weight(team),
            demand.fraction,
            class_fraction,
        )

    def recompute(self, class_fraction: float, now: float) -> None:
        """Drop teams without recent demand, and divide the class anew."""
        self.recomputed_at = now
        self.demands = {
            team: demand
            for team, demand in self.demands.items()
            if now - demand.counted_at < DEMAND_TIME_S
        }
        by_weight = [
            (demand.calls_at(now), self.weights.weight(team))
            for team, demand in self.demands.items()
        ]
        total = sum(calls for calls, _ in by_weight)
        self.correction.update()
        capacity = class_fraction * total * self.correction.factor
        self.level = find_fair_level(by_weight, capacity)
        for team, demand in self.demands.items():
            demand.fraction = self.grant(team, demand.calls_at(now))
