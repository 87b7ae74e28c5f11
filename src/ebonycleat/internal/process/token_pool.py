"""The parts of rates that nodes of a zone lent to their leader.

The leader gives single tokens to the nodes that have callers, and to other
zones what its own will not need soon.
"""

import math
from collections.abc import Mapping

from ebonycleat.internal.process.tokens import (
    Demand,
    ParcelStore,
    TokenWant,
)

TOKEN_LIFE_S = 0.4
"""How long a single token may wait at the node that drew it. Tokens kept
longer would add to the burst of their team in a sliding window."""

LEASE_S = 0.8
"""How long a part stays lent; leases are renewed each 0.2 s."""

CLOCK_DRIFT = 0.01
"""Clocks of two nodes may differ in speed by this share; an owner waits
longer by it, and fills more slowly."""

KEPT_S = 0.25
"""Demand of the own zone for which a leader keeps tokens before it gives any
to another zone; zones exchange each 0.2 s."""

ROUNDING = 1e-9
"""Sums of fractions miss a whole token by errors of this size."""


class PooledTeam:
    """One team's parts that nodes lent to this one."""

    def __init__(self, now: float) -> None:
        """Start without parts."""
        self.lent_until: dict[str, float] = {}
        self.part_rate_per_s: float = 0
        self.part_burst: float = 0
        self.level: float = 0
        self.filled_at = now
        self.drawn_elsewhere = ParcelStore()
        self.own_demand = Demand(now)

    @property
    def burst(self) -> float:
        """Largest level: the bursts of all parts that are lent."""
        return self.part_burst * len(self.lent_until)

    def fill(self, now: float) -> None:
        """Bring the level up to date, and let leases expire."""
        elapsed_s = max(0, now - self.filled_at)
        self.filled_at = now
        ended = [
            node for node, until in self.lent_until.items() if until <= now
        ]
        for node in ended:
            self.level -= self.level / len(self.lent_until)
            self.lent_until.pop(node)
        rate_per_s = self.part_rate_per_s * len(self.lent_until)
        self.level = min(self.burst, self.level + elapsed_s * rate_per_s)

    def configure(self, rate_per_s: float, burst: float, now: float) -> None:
        """Adopt a changed part, the same for each lender."""
        self.fill(now)
        self.part_rate_per_s = rate_per_s / (1 + CLOCK_DRIFT)
        self.part_burst = burst
        self.level = min(self.level, self.burst)

    def lend(self, node: str, level: float, now: float) -> None:
        """Hold a node's part until its lease ends."""
        self.fill(now)
        self.lent_until[node] = now + LEASE_S
        self.level = min(self.burst, self.level + max(0, level))

    def draw(self, wanted: float, ahead: float, now: float) -> float:
        """Give up to ``wanted`` tokens to a node of the zone.

        Those ``ahead`` of need are given only while the pool is over half
        full: then none is missing if they expire. Only whole tokens leave: a
        fraction would expire at a node that cannot spend it.
        """
        self.fill(now)
        here = self.level + self.drawn_elsewhere.total(now)
        asked = wanted
        if self.level > self.burst / 2:
            asked += ahead
        given = min(math.ceil(asked), math.floor(here + ROUNDING))
        self.own_demand.note(max(wanted, given))
        if given <= 0:
            return 0
        self.level -= given - self.drawn_elsewhere.draw(given, now)
        return given

    def spare(self, wanted: float, now: float) -> float:
        """Give another zone what the own zone will not need soon."""
        self.fill(now)
        kept = min(self.own_demand.per_s * KEPT_S, self.burst)
        given = max(0, min(math.ceil(wanted), math.floor(self.level - kept)))
        self.level -= given
        return given

    def missing(self, now: float) -> float:
        """Tokens that the own zone will need beyond what is here."""
        self.fill(now)
        here = self.level + self.drawn_elsewhere.total(now)
        return max(0, self.own_demand.per_s * TOKEN_LIFE_S - here)


class TokenPool:
    """The parts that nodes of a zone lent to their leader."""

    def __init__(self) -> None:
        """Start empty."""
        self.teams: dict[str, PooledTeam] = {}
        self.parts: Mapping[str, tuple[float, float]] = {}

    def configure(
        self,
        parts: Mapping[str, tuple[float, float]],
        now: float,
    ) -> None:
        """Adopt the rate and the burst of one part of each team."""
        self.parts = parts
        for name in tuple(self.teams):
            part = parts.get(name)
            if part is None:
                self.teams.pop(name)
            else:
                self.teams[name].configure(*part, now)

    def team(self, name: str, now: float) -> PooledTeam | None:
        """Return the pool of a limited team."""
        part = self.parts.get(name)
        if part is None:
            return None
        pooled = self.teams.get(name)
        if pooled is None:
            pooled = PooledTeam(now)
            pooled.configure(*part, now)
            self.teams[name] = pooled
        return pooled

    def lend(self, name: str, node: str, level: float, now: float) -> None:
        """Hold a node's part of a team."""
        pooled = self.team(name, now)
        if pooled is not None:
            pooled.lend(node, level, now)

    def draw(self, want: TokenWant, now: float) -> float:
        """Give tokens to a node of the zone."""
        pooled = self.team(want.team, now)
        if pooled is None:
            return 0
        return pooled.draw(max(0, want.wanted), max(0, want.ahead), now)

    def spare(self, want: TokenWant, now: float) -> float:
        """Give tokens to another zone."""
        pooled = self.teams.get(want.team)
        return 0 if pooled is None else pooled.spare(max(0, want.wanted), now)

    def missing(self, now: float) -> list[TokenWant]:
        """Tokens wanted from other zones."""
        wants = []
        for name, pooled in self.teams.items():
            pooled.own_demand.measure(now)
            tokens = pooled.missing(now)
            if tokens > 0:
                wants.append(TokenWant(name, tokens, 0))
        return wants

    def receive(self, name: str, tokens: float, asked_at: float) -> None:
        """Hold tokens from another zone; they expire from the ask on."""
        pooled = self.teams.get(name)
        if pooled is not None:
            pooled.drawn_elsewhere.add(tokens, asked_at + TOKEN_LIFE_S)
