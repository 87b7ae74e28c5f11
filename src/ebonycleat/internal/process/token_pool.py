"""Pools the parts of team rates that nodes of a zone lend to their leader.

The leader gives single tokens to the nodes of its zone that have callers, and
to other zones what its own zone will not need soon.
"""

import math
from collections.abc import Mapping

from ebonycleat.internal.process.token_store import (
    DemandMean,
    TokenRequest,
    TokenStore,
)

TOKEN_LIFETIME_S = 0.4
"""How long a token may wait at the node that drew it. Tokens kept longer would
add to the burst that a team gets in a sliding window."""

PART_LEASE_S = 0.8
"""How long a part stays lent; the leases are renewed every 0.2 s."""

MAX_CLOCK_DRIFT = 0.01
"""The clocks of two nodes may differ in speed by this fraction. The owner of a
part therefore waits longer for the end of a lease, and refills more slowly."""

RESERVED_DEMAND_S = 0.25
"""A leader keeps tokens for this duration of its own zone's demand before it
gives any to another zone; zones exchange tokens every 0.2 s."""

ROUNDING_ERROR = 1e-9
"""Sums of fractions can fall short of a whole token by rounding errors of this
size."""


class TeamPool:
    """The parts of one team's rate and burst that nodes lent to this one."""

    def __init__(self, now: float) -> None:
        """Start without parts."""
        self.lent_until: dict[str, float] = {}
        self.part_rate_per_s: float = 0
        self.part_burst: float = 0
        self.level: float = 0
        self.refilled_at = now
        # Tokens that were drawn from the pools of other zones.
        self.other_zone_tokens = TokenStore()
        self.demand = DemandMean(now)

    @property
    def burst(self) -> float:
        """Largest level: the sum of the bursts of all parts that are lent."""
        return self.part_burst * len(self.lent_until)

    def refill(self, now: float) -> None:
        """Drop parts whose lease ended, and add tokens for the elapsed time."""
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
        """Adopt a changed part, which is the same for each lender."""
        self.refill(now)
        self.part_rate_per_s = rate_per_s / (1 + MAX_CLOCK_DRIFT)
        self.part_burst = burst
        self.level = min(self.level, self.burst)

    def hold_part(self, node: str, level: float, now: float) -> None:
        """Hold a node's part, and the level that it lent, until the lease ends."""
        self.refill(now)
        self.lent_until[node] = now + PART_LEASE_S
        self.level = min(self.burst, self.level + max(0, level))

    def draw(self, wanted: float, prefetch: float, now: float) -> float:
        """Give up to ``wanted`` tokens to a node of the zone.

        Up to ``prefetch`` more are given only while the pool is more than half
        full, because then enough tokens remain if these expire unused. Only
        whole tokens are given: a node cannot spend a fraction, which would
        expire there.
        """
        self.refill(now)
        available = self.level + self.other_zone_tokens.count(now)
        requested = wanted
        if self.level > self.burst / 2:
            requested += prefetch
        given = min(
            math.ceil(requested), math.floor(available + ROUNDING_ERROR)
        )
        self.demand.record(max(wanted, given))
        if given <= 0:
            return 0
        self.level -= given - self.other_zone_tokens.take(given, now)
        return given

    def draw_for_other_zone(self, wanted: float, now: float) -> float:
        """Give another zone tokens that this zone will not need soon."""
        self.refill(now)
        reserved = min(self.demand.rate_per_s * RESERVED_DEMAND_S, self.burst)
        given = max(
            0, min(math.ceil(wanted), math.floor(self.level - reserved))
        )
        self.level -= given
        return given

    def shortage(self, now: float) -> float:
        """Return the tokens that this zone will need beyond those in the pool."""
        self.refill(now)
        available = self.level + self.other_zone_tokens.count(now)
        return max(0, self.demand.rate_per_s * TOKEN_LIFETIME_S - available)


class TokenPool:
    """The pools of all teams at the leader of a zone."""

    def __init__(self) -> None:
        """Start without teams."""
        self.teams: dict[str, TeamPool] = {}
        self.parts: Mapping[str, tuple[float, float]] = {}

    def configure(
        self,
        parts: Mapping[str, tuple[float, float]],
        now: float,
    ) -> None:
        """Adopt the rate and the burst of one part of each team."""
        self.parts = parts
        for team in tuple(self.teams):
            part = parts.get(team)
            if part is None:
                self.teams.pop(team)
            else:
                self.teams[team].configure(*part, now)

    def find_team(self, team: str, now: float) -> TeamPool | None:
        """Return the pool of a team, None if the team has no limit."""
        part = self.parts.get(team)
        if part is None:
            return None
        pool = self.teams.get(team)
        if pool is None:
            pool = TeamPool(now)
            pool.configure(*part, now)
            self.teams[team] = pool
        return pool

    def hold_part(self, team: str, node: str, level: float, now: float) -> None:
        """Hold a node's part of a team until the lease ends."""
        pool = self.find_team(team, now)
        if pool is not None:
            pool.hold_part(node, level, now)

    def draw(self, request: TokenRequest, now: float) -> float:
        """Give tokens to a node of the zone, and return how many."""
        pool = self.find_team(request.team, now)
        if pool is None:
            return 0
        return pool.draw(max(0, request.wanted), max(0, request.prefetch), now)

    def draw_for_other_zone(self, request: TokenRequest, now: float) -> float:
        """Give tokens to another zone, and return how many."""
        pool = self.teams.get(request.team)
        return (
            0
            if pool is None
            else pool.draw_for_other_zone(max(0, request.wanted), now)
        )

    def create_requests(self, now: float) -> list[TokenRequest]:
        """Return the tokens that this zone needs from other zones."""
        requests = []
        for team, pool in self.teams.items():
            pool.demand.update(now)
            tokens = pool.shortage(now)
            if tokens > 0:
                requests.append(TokenRequest(team, tokens, 0))
        return requests

    def add_other_zone_tokens(
        self, team: str, tokens: float, requested_at: float
    ) -> None:
        """Add tokens from another zone; they expire counted from the request."""
        pool = self.teams.get(team)
        if pool is not None:
            pool.other_zone_tokens.add(tokens, requested_at + TOKEN_LIFETIME_S)
