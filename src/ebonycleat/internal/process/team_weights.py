"""Weights by which teams share what is short: a target or a service."""

from collections.abc import Mapping

MIN_WEIGHT = 1e-6
MAX_WEIGHT = 1e9
"""Bounds of the weights, in requests a second. The configuration allows any
rate; sums and quotients of weights within these stay finite and positive."""


class TeamWeights:
    """Weights of the teams; a team without a rate weighs like the smallest.

    ``has_unlimited`` tells whether some team has no rate. Only such a team can
    take most of a service from others: the rates bound all others, over the
    whole fleet and not only at one entry.
    """

    def __init__(self) -> None:
        """Start with equal weights."""
        self.by_team: Mapping[str, float] = {}
        self.smallest: float = 1
        self.has_unlimited = False

    def set_rates(self, rates: Mapping[str, float]) -> None:
        """Use the configured rates of the teams as their weights."""
        self.by_team = {
            team: min(MAX_WEIGHT, max(MIN_WEIGHT, rate))
            for team, rate in rates.items()
            if rate > 0
        }
        self.smallest = min(self.by_team.values(), default=1)
        self.has_unlimited = len(self.by_team) < len(rates)

    def weight(self, team: str) -> float:
        """Return the weight of a team, always positive."""
        return self.by_team.get(team, self.smallest)
