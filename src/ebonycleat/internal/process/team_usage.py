"""How much of a target each team has been using lately."""

import math
from collections.abc import Mapping

DECAY_TIME_S = 2
"""Usage is a decaying sum; shorter memories mistake bursts for surplus."""

SHARE_TOLERANCE = 1.5
"""A team inside its rate stays below this multiple of its share."""

MIN_USAGE = 0.01


class TeamUsage:
    """Decaying usage per team, compared with weighted shares."""

    def __init__(self) -> None:
        """Start with equal weights and no usage."""
        self.weights: Mapping[str, float] = {}
        self.usage: dict[str, float] = {}
        self.decayed_at: float = 0

    def record_dispatch(self, team: str, cost: float, now: float) -> None:
        """Add one started call."""
        self.decay(now)
        self.usage[team] = self.usage.get(team, 0) + cost

    def is_over_share(self, team: str, now: float) -> bool:
        """Whether the team takes far more than its share of recent work."""
        self.decay(now)
        used = self.usage.get(team, 0)
        if not used or len(self.usage) == 1:
            return False
        total_weight = sum(map(self.weight, self.usage))
        share = self.weight(team) / total_weight
        return used > SHARE_TOLERANCE * share * sum(self.usage.values())

    def weight(self, team: str) -> float:
        """Weight of a team; teams without one count as 1."""
        return self.weights.get(team, 1)

    def decay(self, now: float) -> None:
        """Age all usage; called often, acts every tenth of the memory."""
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
