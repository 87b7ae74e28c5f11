"""Recent usage of a target by team, compared with the teams' shares."""

import math

from ebonycleat.internal.process.team_weights import TeamWeights

DECAY_TIME_S = 2
"""Time constant of the decay of usage. With a shorter one, bursts of a team
would count as being over its share."""

SHARE_TOLERANCE = 1.5
"""The usage of a team that keeps to its rate stays below this multiple of its
share."""

MIN_USAGE = 0.01


class TeamUsage:
    """Decaying usage of a target by team, with the teams' weights."""

    def __init__(self) -> None:
        """Start with equal weights and no usage."""
        self.weights = TeamWeights()
        self.usage: dict[str, float] = {}
        self.decayed_at: float = 0

    def record_dispatch(self, team: str, cost: float, now: float) -> None:
        """Add the cost of one dispatched call to its team's usage."""
        self.decay(now)
        self.usage[team] = self.usage.get(team, 0) + cost

    def is_over_share(self, team: str, now: float) -> bool:
        """Tell whether a team uses far more than its share.

        The share is weighted among the teams with recent usage; a single
        team is never over its share.
        """
        self.decay(now)
        used = self.usage.get(team, 0)
        if not used or len(self.usage) == 1:
            return False
        total_weight = sum(map(self.weights.weight, self.usage))
        share = self.weights.weight(team) / total_weight
        return used > SHARE_TOLERANCE * share * sum(self.usage.values())

    def decay(self, now: float) -> None:
        """Decay all usage, at most once per tenth of the time constant."""
        elapsed_s = now - self.decayed_at
        if elapsed_s < DECAY_TIME_S / 10:
            return
        self.decayed_at = now
        factor = math.exp(-elapsed_s / DECAY_TIME_S)
        self.usage = {
            team: used * factor
            for team, used in self.usage.items()
            if used * factor >= MIN_USAGE
        }
