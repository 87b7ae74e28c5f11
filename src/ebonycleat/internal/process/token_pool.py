"""The parts of rates that nodes of a zone lent to their leader.

The leader gives single tokens to the nodes that have callers, and to other
zones what its own will not need soon.
"""

import math
from collections.abc import Mapping

from ebonycleat.internal.process.token_store import (
    DemandMean,
    TokenStore,
    TokenRequest,
)

TOKEN_LIFETIME_S = 0.4
"""How long a single token may wait at the node that drew it. Tokens kept
longer would add to the burst of their team in a sliding window."""

PART_LEASE_S = 0.8
"""How long a part stays lent; leases are renewed each 0.2 s."""

MAX_CLOCK_DRIFT = 0.01
"""Clocks of two nodes may differ in speed by this share; an owner waits
longer by it, and fills more slowly."""

RESERVED_DEMAND_S = 0.25
"""Demand of the own zone for which a leader keeps tokens before it gives any
to another zone; zones exchange each 0.2 s."""

ROUNDING = 1e-9
"""Sums of fractions miss a whole token by errors of this size."""


class TeamPool:
    """One team's parts that nodes lent to this one."""

    def __init__(self, now: float) -> None:
        """Start without parts."""
        self.lent_until: dict[str, float] = {}
        self.part_rate_per_s: float = 0
        self.part_burst: float = 0
        self.level: float = 0
        self.refilled_at = now
        self.zone_tokens = TokenStore()
        self.demand = DemandMean(now)

    @property
    def burst(self) -> float:
        """Largest level: the bursts of all parts that are lent."""
        return self.part_burst * len(self.lent_until)

    def refill(self, now: float) -> None:
        """Bring the level up to date, and let leases expire."""
        elapsed_s = max(0, now - self.refilled_at)
        self.refilled_at = now
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
        self.refill(now)
        self.part_rate_per_s = rate_per_s / (1 + MAX_CLOCK_DRIFT)
        self.part_burst = burst
        self.level = min(self.level, self.burst)

    def hold_part(self, node: str, level: float, now: float) -> None:
        """Hold a node's part until its lease ends."""
        self.refill(now)
        self.lent_until[node] = now + PART_LEASE_S
        self.level = min(self.burst, self.level + max(0, level))

    def draw(self, wanted: float, ahead: float, now: float) -> float:
        """Give up to ``wanted`` tokens to a node of the zone.

        Those ``ahead`` of need are given only while the pool is over half
        full: then none is missing if they expire. Only whole tokens leave: a
        fraction would expire at a node that cannot spend it.
        """
        self.refill(now)
        here = self.level + self.zone_tokens.count(now)
        asked = wanted
        if self.level > self.burst / 2:
            asked += ahead
        given = min(math.ceil(asked), math.floor(here + ROUNDING))
        self.demand.record(max(wanted, given))
        if given <= 0:
            return 0
        self.level -= given - self.zone_tokens.take(given, now)
        return given

    def draw_for_zone(self, wanted: float, now: float) -> float:
        """Give another zone what the own zone will not need soon."""
        self.refill(now)
        kept = min(self.demand.rate_per_s * RESERVED_DEMAND_S, self.burst)
        given = max(0, min(math.ceil(wanted), math.floor(self.level - kept)))
        self.level -= given
        return given

    def shortage(self, now: float) -> float:
        """Tokens that the own zone will need beyond what is here."""
        self.refill(now)
        here = self.level + self.zone_tokens.count(now)
        return max(0, self.demand.rate_per_s * TOKEN_LIFETIME_S - here)


class TokenPool:
    """The parts that nodes of a zone lent to their leader."""

    def __init__(self) -> None:
        """Start empty."""
        self.teams: dict[str, TeamPool] = {}
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

    def find_team(self, name: str, now: float) -> TeamPool | None:
        """Return the pool of a limited team."""
        part = self.parts.get(name)
        if part is None:
            return None
        pooled = self.teams.get(name)
        if pooled is None:
            pooled = TeamPool(now)
            pooled.configure(*part, now)
            self.teams[name] = pooled
        return pooled

    def hold_part(self, name: str, node: str, level: float, now: float) -> None:
        """Hold a node's part of a team."""
        pooled = self.find_team(name, now)
        if pooled is not None:
            pooled.hold_part(node, level, now)

    def draw(self, want: TokenRequest, now: float) -> float:
        """Give tokens to a node of the zone."""
        pooled = self.find_team(want.team, now)
        if pooled is None:
            return 0
        return pooled.draw(max(0, want.wanted), max(0, want.prefetch), now)

    def draw_for_zone(self, want: TokenRequest, now: float) -> float:
        """Give tokens to another zone."""
        pooled = self.teams.get(want.team)
        return 0 if pooled is None else pooled.draw_for_zone(max(0, want.wanted), now)

    def create_requests(self, now: float) -> list[TokenRequest]:
        """Tokens wanted from other zones."""
        wants = []
        for name, pooled in self.teams.items():
            pooled.demand.update(now)
            tokens = pooled.shortage(now)
            if tokens > 0:
                wants.append(TokenRequest(name, tokens, 0))
        return wants

    def add_zone_tokens(self, name: str, tokens: float, asked_at: float) -> None:
        """Hold tokens from another zone; they expire from the ask on."""
        pooled = self.teams.get(name)
        if pooled is not None:
            pooled.zone_tokens.add(tokens, asked_at + TOKEN_LIFETIME_S)
