"""Rates of teams over the whole fleet, without an owner to agree on.

Each node owns a fixed part of every team's rate and burst, one of as many as
there are nodes. It lends its parts, by leases of under a second, to the leader
of its zone, which pools them and gives single tokens to the nodes that have
callers. A part is used either by its owner or by the one node that holds the
lease, so a cut, a crash or a second leader can lose tokens and never double
them.
"""

from collections.abc import Iterable

from ebonycleat.internal.process.token_pool import (
    MAX_CLOCK_DRIFT,
    PART_LEASE_S,
    TOKEN_LIFETIME_S,
    TokenPool,
)
from ebonycleat.internal.process.token_store import (
    DemandMean,
    TokenStore,
    TokenRequest,
)
from ebonycleat.internal.version.mesh_configuration import MeshTeam

NODE_COUNT_DECREASE_DELAY_S = 8.0
"""A node that left the list may still serve callers while it stops; its part
passes to the others only after the longest planned stop."""

PREFETCH_S = 0.3
"""Demand for which a node draws tokens ahead of need, a little less than their
life: a team within its rate then costs one question for many requests."""

MIN_PREFETCH_DEMAND_PER_S = 0.3
"""Below this a team's tokens drawn ahead would mostly expire."""


class QuotaPart:
    """This node's part of one team's rate and burst."""

    def __init__(self, now: float) -> None:
        """Start empty: the process may have spent its part before."""
        self.rate_per_s: float = 0
        self.burst: float = 0
        self.level: float = 0
        self.refilled_at = now
        self.lent_until: float | None = None

    def configure(self, rate_per_s: float, burst: float, now: float) -> None:
        """Adopt a changed part; what was filled beyond it is dropped."""
        self.refill(now)
        self.rate_per_s = rate_per_s / (1 + MAX_CLOCK_DRIFT)
        self.burst = burst
        self.level = min(self.level, burst)

    def refill(self, now: float) -> None:
        """Bring the level up to date; a part that is lent does not fill."""
        if self.lent_until is not None:
            if now < self.lent_until:
                return
            self.refilled_at = self.lent_until
            self.lent_until = None
        elapsed_s = max(0, now - self.refilled_at)
        self.refilled_at = now
        self.level = min(self.burst, self.level + elapsed_s * self.rate_per_s)

    def is_lent(self, now: float) -> bool:
        """Whether another node may use the part."""
        return self.lent_until is not None and now < self.lent_until

    def lend(self, now: float) -> float:
        """Lend the part or renew the lease; returns the level lent."""
        self.refill(now)
        level = self.level
        self.level = 0
        until = now + PART_LEASE_S * (1 + MAX_CLOCK_DRIFT)
        self.lent_until = max(until, self.lent_until or 0)
        return level

    def spend(self, tokens: float, now: float) -> float:
        """Use tokens of a part that is not lent; returns how many."""
        self.refill(now)
        if self.is_lent(now):
            return 0
        taken = min(tokens, self.level)
        self.level -= taken
        return taken


class NodeQuotas:
    """All teams' tokens at one node."""

    def __init__(self) -> None:
        """Start without teams."""
        self.limits: dict[str, MeshTeam] = {}
        self.own_parts: dict[str, QuotaPart] = {}
        self.drawn_tokens: dict[str, TokenStore] = {}
        self.demands: dict[str, DemandMean] = {}
        self.pool = TokenPool()
        self.part_count = 0
        self.fewer_since: float | None = None

    def set_teams(self, teams: Iterable[MeshTeam], now: float) -> None:
        """Adopt the limits of a configuration."""
        self.limits = {team.name: team for team in teams if team.rate_per_s > 0}
        for name in tuple(self.own_parts):
            if name not in self.limits:
                self.own_parts.pop(name)
                self.drawn_tokens.pop(name)
                self.demands.pop(name)
        self.configure_parts(now)

    def set_node_count(self, count: int, now: float) -> None:
        """Adopt the number of nodes among which rates are divided.

        More nodes count at once, fewer only after a while.
        """
        if count >= self.part_count:
            self.fewer_since = None
            if count > self.part_count:
                self.part_count = count
                self.configure_parts(now)
            return
        if self.fewer_since is None:
            self.fewer_since = now
        elif now - self.fewer_since > NODE_COUNT_DECREASE_DELAY_S:
            self.fewer_since = None
            self.part_count = count
            self.configure_parts(now)

    def configure_parts(self, now: float) -> None:
        """Give each team this node's part."""
        if not self.part_count:
            return
        parts = {
            name: (
                team.rate_per_s / self.part_count,
                team.burst / self.part_count,
            )
            for name, team in self.limits.items()
        }
        for name, part in parts.items():
            if name not in self.own_parts:
                self.own_parts[name] = QuotaPart(now)
                self.drawn_tokens[name] = TokenStore()
                self.demands[name] = DemandMean(now)
            self.own_parts[name].configure(*part, now)
        self.pool.configure(parts, now)

    def is_limited(self, team: str) -> bool:
        """Whether a team's requests need tokens."""
        return team in self.limits

    def spend_token(self, team: str, now: float) -> bool:
        """Spend one token that is at this node."""
        own = self.own_parts.get(team)
        if own is None:
            return False
        drawn = self.drawn_tokens[team]
        own.refill(now)
        usable = 0 if own.is_lent(now) else own.level
        if drawn.count(now) + usable < 1:
            return False
        own.spend(1 - drawn.take(1, now), now)
        return True

    def record_demand(self, team: str) -> None:
        """Count one request of a team."""
        demand = self.demands.get(team)
        if demand is not None:
            demand.record()

    def lend_all(self, now: float) -> dict[str, float]:
        """Lend all own parts for one lease; returns the levels."""
        for demand in self.demands.values():
            demand.update(now)
        return {name: own.lend(now) for name, own in self.own_parts.items()}

    def create_request(self, team: str, waiting: int, now: float) -> TokenRequest:
        """Tokens for requests that wait, and ahead of those to come."""
        demand = self.demands.get(team)
        if demand is None:
            # Nothing is divided before the number of nodes is known.
            return TokenRequest(team, waiting, 0)
        needed = demand.rate_per_s * PREFETCH_S + 1
        ahead = max(0, needed - self.drawn_tokens[team].count(now))
        return TokenRequest(team, waiting, ahead)

    def create_prefetch_requests(self, now: float) -> list[TokenRequest]:
        """Tokens ahead of need for all teams that have callers here."""
        wants = [
            self.create_request(name, 0, now)
            for name, demand in self.demands.items()
            if demand.rate_per_s > MIN_PREFETCH_DEMAND_PER_S
        ]
        return [one for one in wants if one.prefetch >= 1]

    def add_tokens(self, team: str, tokens: float, asked_at: float) -> None:
        """Hold tokens from the pool; they expire counted from the ask."""
        drawn = self.drawn_tokens.get(team)
        if drawn is not None and tokens > 0:
            drawn.add(tokens, asked_at + TOKEN_LIFETIME_S)
